package raftlog

import (
	"time"

	"willowdeck/internal/bootclock"
)

// StateMachine gives the log's entries a meaning. The session's goroutine alone calls its methods, which must
// not block.
type StateMachine interface {
	// Apply applies a committed entry. All replicas apply the same entries in the same order. An error is fatal
	// to the session: this replica can't go on.
	Apply(data []byte) error
	// Snapshot encodes the state that Apply has made.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot; empty data stand for the initial state.
	Restore(data []byte) error
	// Poll is called whenever something may have changed, at least once a tick, and returns what the state
	// machine wants done.
	Poll(GroupState) Requests
	// ReadConfirmed reports that all that was committed when a read began, at startMillis of BootClockMillis,
	// has been applied.
	ReadConfirmed(startMillis float64)
}

// GroupState is the raft group as this replica sees it.
type GroupState struct {
	Now        time.Time
	IsLeader   bool
	Term       uint64
	LeaderName string // the leader's host; empty while none is known
	IsVoter    bool   // this replica's disk is a voter
}

// Requests is what a StateMachine wants done. Each request may be lost: the state machine repeats what it
// still needs.
type Requests struct {
	ReadIndex bool     // confirm with a quorum that the state applied here is the latest
	Proposals [][]byte // entries to be appended
}

// BootClockMillis is the clock by which the age of reads is counted, in milliseconds since the machine's
// boot. It goes on while the process is stalled and while the machine sleeps, as do the clocks of the
// gateways that act on leases.
func BootClockMillis() float64 { return float64(bootclock.Nanos()) / 1e6 }
