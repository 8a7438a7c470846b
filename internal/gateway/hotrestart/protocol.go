package hotrestart

import (
	"fmt"
	"path/filepath"
	"time"

	"willowdeck/internal/forwardauth/authcache"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/policy"
)

// Version is that of the protocol and of the stored form of HandoffState. Processes of different versions
// refuse each other's greeting.
const Version = 4

// HandoffState is what a process leaves to its successor.
type HandoffState struct {
	Draining       bool // operators have sent its clients away
	Policy         policy.HandoffState
	WorkerNames    map[int]string // by the workers' indices in Policy
	KindNames      map[int]string // names of kinds of machines, by their indices in Policy
	Clearances     []authcache.Clearance
	LastSentToPeer incarnation.MessageID // of the last message to peers; the successor's begin after it
}

// ClientConnection describes a client's connection that is handed off.
type ClientConnection struct {
	Proven    bool   // the client has sent more than one request on it
	ReadAhead []byte // bytes that were read from it and not yet processed
}

// The kinds of packets, given by their first byte.
const (
	greetingPacket     = 'h' // both ways: the version and the gateway's name
	stateChunkPacket   = 'p' // a chunk of the encoded state that is not the last
	lastChunkPacket    = 'w' // the last chunk of the encoded state
	peerSocketPacket   = 'u' // with the descriptor of the datagram socket that peers send to
	clientPacket       = 'c' // with a client's descriptor: one byte is Proven, the rest ReadAhead
	acknowledgedPacket = 'y' // from the successor: the state is complete
)

const (
	stateChunkBytes  = 32 << 10 // far below the largest packet that the kernel accepts
	maxStateBytes    = 64 << 20 // of the encoded state, which holds thousands of customers, not millions
	maxGreetingBytes = 256
	packetTimeout    = time.Second // for sending one packet, for a greeting and for the acknowledgement
)

// greeting is the packet that each side sends first.
func greeting(name string) []byte { return fmt.Appendf(nil, "%c%d %s", greetingPacket, Version, name) }

// SocketPath gives the path at which a gateway's process listens for its successor.
func SocketPath(dir, name string) string { return filepath.Join(dir, "willowdeck-"+name+".sock") }
