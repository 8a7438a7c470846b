package raftlog

import (
	"strconv"
	"sync"

	"go.etcd.io/raft/v3/raftpb"
)

// The paths at which a daemon serves the others.
const (
	helloPath = "/council/hello"
	raftPath  = "/council/raft"
	joinPath  = "/council/join"
)

// messageHeader says who sends a message. It is part of each message between daemons.
type messageHeader struct {
	ProtocolVersion int      `json:"form"`
	Cluster         string   `json:"cluster"` // the group's name, as configured
	HostName        string   `json:"name"`
	DiskID          string   `json:"id"`                // hex; empty while no store is open
	ToDiskID        string   `json:"to,omitempty"`      // the receiver's disk, where that matters
	GroupID         string   `json:"council,omitempty"` // the group that the sender's disk belongs to
	WriteSeq        uint64   `json:"seq"`               // write sequence number of the sender's disk
	IsBlank         bool     `json:"blank,omitempty"`   // the sender's disk belongs to no group yet
	Hosts           []string `json:"hosts,omitempty"`   // names of the hosts, as configured
	DiscoveryIndex  int64    `json:"index,omitempty"`   // the highest at the sender's instances
}

// response answers a request, with what the peer knows of the requesting disk.
type response struct {
	messageHeader
	ForDiskID       string `json:"for"`    // the requesting disk
	HighestWriteSeq uint64 `json:"heard"`  // the highest write sequence number that the peer has seen of it
	Removed         bool   `json:"gone"`   // it was a member once and is none any more
	IsVoter         bool   `json:"voter"`  // the peer is a voter
	LeaderName      string `json:"leader"` // the leader's host, if the peer knows one
	Message         string `json:"says,omitempty"`
}

// request is a message to a peer: a header, with raft messages at raftPath.
type request struct {
	messageHeader
	Messages [][]byte `json:"messages,omitempty"` // raftpb.Message
}

// inboundBatch is the raft messages of one request, once it was accepted.
type inboundBatch struct {
	groupID    string
	fromDiskID uint64
	writeSeq   uint64
	messages   []raftpb.Message
}

// parseDiskID parses a disk ID as messages have it.
func parseDiskID(hex string) (uint64, error) { return strconv.ParseUint(hex, 16, 64) }

// The reasons for which a request is rejected: keys of Status.Rejections.
const (
	reasonTooLong         = "too_long"
	reasonMalformed       = "garbled"
	reasonProtocolVersion = "other_form"
	reasonOtherCluster    = "other_cluster"
	reasonUnknownHost     = "stranger"
	reasonOtherDisk       = "other_disk" // to a disk that was here before, or from a removed one
	reasonQueueFull       = "queue_full"
)

// rejectionError is the error of a request that is rejected.
type rejectionError struct {
	reason  string // one of the reason constants
	message string // for the sender and the operators
}

func (r *rejectionError) Error() string { return r.message }

// rejectionCounters counts rejections by reason.
type rejectionCounters struct {
	mu           sync.Mutex // guards the fields below
	counts       map[string]int64
	lastMessages map[string]string
}

func (r *rejectionCounters) add(reason, message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts, r.lastMessages = map[string]int64{}, map[string]string{}
	}
	r.counts[reason]++
	r.lastMessages[reason] = message
}

// snapshot returns copies of the counts and of the last messages, by reason.
func (r *rejectionCounters) snapshot() (counts map[string]int64, lastMessages map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts, lastMessages = map[string]int64{}, map[string]string{}
	for reason := range r.counts {
		counts[reason], lastMessages[reason] = r.counts[reason], r.lastMessages[reason]
	}
	return counts, lastMessages
}
