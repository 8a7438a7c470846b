package consensus

import (
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// progress is the leader's view of another replica. The leader first probes where that replica's log matches
// its own (replicating is false); then it streams entries, with a bounded number of bytes in flight.
type progress struct {
	matchIndex       uint64        // up to which the log is durable there
	receivedIndex    uint64        // up to which its log is known to match, durable or not
	nextIndex        uint64        // of the next entry to send
	replicating      bool          // its log matches up to receivedIndex; false: probing
	lastProgressAt   time.Duration // when receivedIndex last grew, or entries were retransmitted
	lastContact      time.Duration // when the newest heartbeat round that it acknowledged began
	ackedRound       uint64        // that heartbeat round
	shuttingDown     bool          // it stops as soon as another voter has replaced it
	shutdownAt       time.Duration // when its shutdown was requested
	snapshotTransfer *outgoingSnapshot
}

// handleRejection moves nextIndex back to where the logs may match. It returns false for a stale rejection:
// one that does not answer the latest probe.
func (p *progress) handleRejection(m *wirepb.Consensus) bool {
	if m.RejectedIndex < p.matchIndex || !p.replicating && m.RejectedIndex != p.nextIndex-1 {
		return false
	}
	p.replicating = false
	p.receivedIndex = p.matchIndex
	p.nextIndex = max(min(m.RejectedIndex, m.LogIndex+1), p.matchIndex+1)
	return true
}

// updateReceived records up to which index a replica's log matches the leader's.
func (p *progress) updateReceived(now time.Duration, received uint64) {
	if !p.replicating {
		if received+1 < p.nextIndex {
			return // not the reply to the latest probe
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
