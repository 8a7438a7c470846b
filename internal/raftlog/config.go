package raftlog

import "time"

// ProtocolVersion is the version of the messages between daemons. A message of another version is rejected.
const ProtocolVersion = 1

// Sizes.
const (
	maxMessageBytes = 32 << 20 // of a message: a snapshot of ten of the longest rulesets
	maxEntryBytes   = 2 << 20  // of an entry: 10,000 members and 4,096 worker states take half of it
)

// Bounds of queues and tables.
const (
	maxQueuedMessages     = 512 // raft messages that wait for one peer: seconds of them
	maxConcurrentRequests = 32  // requests that are decoded at once, from all peers
	maxInboundBatches     = 256 // requests that wait for the session, and calls that wait for it
	maxPeerSeqs           = 64  // disks whose write sequence numbers are remembered
	maxRequestedReads     = 16  // ReadIndex requests in flight
	maxRemovedMembers     = 64  // removed disks that are remembered
	maxUnappliedEntries   = 32  // entries appended and not applied, above which proposals are dropped
	retainedEntries       = 64  // entries kept before a snapshot, for followers that are a little behind
)

// Times. A leader is missed after electionTicks to twice as many: 400 to 800 ms by default.
const (
	defaultTickInterval    = 50 * time.Millisecond
	defaultHelloInterval   = 250 * time.Millisecond
	defaultSnapshotEntries = 256 // entries applied between two snapshots
	electionTicks          = 8
	heartbeatTicks         = 1

	requestTimeout     = time.Second             // of one request: longer than it takes to miss a leader
	storeReopenDelay   = 2 * time.Second         // before a store that failed is opened again
	peerReportsTimeout = 1500 * time.Millisecond // for all peers to report on this disk, before most suffice
	livenessWindow     = 2 * time.Second         // a disk that was in contact within it is not replaced
	peerSeqsInterval   = time.Second             // between two writes of the peers' sequence numbers
)

// Host is a host of the raft group: its name, and the HOST:PORT at which its daemon serves the others.
type Host struct{ Name, Address string }

// Config is a daemon's configuration of the raft group. Intervals and SnapshotEntries that are zero take
// their defaults.
type Config struct {
	Cluster          string            // the group's name, the same at all its daemons
	HostName         string            // this daemon's name among Hosts
	Listen           string            // HOST:PORT for the other daemons
	StorePath        string            // the file of the log
	Hosts            []Host            // all hosts of the group, this one included
	AddressOverrides map[string]string // by a host's address: the address that is dialled in its place
	Bootstrap        bool              // form a new group once all hosts are up with empty stores
	HelloInterval    time.Duration     // between two hellos to each peer
	TickInterval     time.Duration     // raft's unit of time
	SnapshotEntries  uint64            // entries applied between two snapshots

	writeFault func() error               // injected by tests: the error of a write to the store
	sendFault  func(address string) error // injected by tests: the error of a request to an address
}

// withDefaults fills in what is zero.
func (c Config) withDefaults() Config {
	if c.TickInterval <= 0 {
		c.TickInterval = defaultTickInterval
	}
	if c.HelloInterval <= 0 {
		c.HelloInterval = defaultHelloInterval
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = defaultSnapshotEntries
	}
	return c
}
