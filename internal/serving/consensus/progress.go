package consensus

import (
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// progress is the leader's view of another replica. While replicating is false, the leader probes for the
// index up to which the logs match; afterwards it streams entries, with a bounded number of bytes in
// flight.
type progress struct {
	matchIndex       uint64            // the log is durable on the replica up to this index
	receivedIndex    uint64            // the replica's log is known to match up to this index, durable or not
	nextIndex        uint64            // index of the next entry to send
	replicating      bool              // the logs match up to receivedIndex; false: probing
	lastProgressAt   time.Duration     // when receivedIndex last increased, or entries were retransmitted
	lastContact      time.Duration     // when the newest heartbeat round that the replica acknowledged began
	ackedRound       uint64            // the newest heartbeat round that the replica acknowledged
	shuttingDown     bool              // the replica has reported that its shutdown was requested
	shutdownAt       time.Duration     // when its shutdown was requested
	snapshotTransfer *outgoingSnapshot // nil: none in progress
}

// handleRejection moves nextIndex back to an index where the logs may match. It returns false, and changes
// nothing, for a stale rejection, such as one that does not answer the latest probe.
func (p *progress) handleRejection(m *wirepb.Consensus) bool {
	if m.RejectedIndex < p.matchIndex || !p.replicating && m.RejectedIndex != p.nextIndex-1 {
		return false
	}
	p.replicating = false
	p.receivedIndex = p.matchIndex
	p.nextIndex = max(min(m.RejectedIndex, m.LogIndex+1), p.matchIndex+1)
	return true
}

// updateReceived records that the replica's log matches the leader's up to the index received.
func (p *progress) updateReceived(now time.Duration, received uint64) {
	if !p.replicating {
		if received+1 < p.nextIndex {
			return // the reply is not to the latest probe
		}
		p.replicating = true
		p.receivedIndex = received
		p.nextIndex = received + 1
		p.lastProgressAt = now
		return
	}
	if received > p.receivedIndex {
		p.receivedIndex = received
		p.lastProgressAt = now
	}
	p.nextIndex = max(p.nextIndex, p.receivedIndex+1)
}

// trackProgress begins to track another replica's progress.
func (n *Node) trackProgress(id string) {
	if id == n.id || n.progress[id] != nil {
		return
	}
	n.progress[id] = &progress{
		nextIndex: n.log.lastIndex() + 1, lastContact: n.lastContact(id), lastProgressAt: n.now,
	}
}

// trackedReplicas returns the replicas whose progress is tracked, sorted, so that a replayed run sends
// messages in the same order.
func (n *Node) trackedReplicas() []string {
	ids := make([]string, 0, len(n.progress))
	for id := range n.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// recordResponse records that a replica has acknowledged a heartbeat round.
func (n *Node) recordResponse(p *progress, round uint64) {
	p.ackedRound = max(p.ackedRound, round)
	p.lastContact = max(p.lastContact, time.Duration(round)*time.Microsecond)
}

// respondedWithin reports whether a replica has acknowledged a heartbeat round that began within a duration
// before now. It is true for this replica itself.
func (n *Node) respondedWithin(id string, duration time.Duration) bool {
	return id == n.id || n.progress[id] != nil && n.now-n.progress[id].lastContact < duration
}

// recentlyActive reports whether a replica has responded within the election time-out.
func (n *Node) recentlyActive(id string) bool { return n.respondedWithin(id, ElectionTimeout) }
