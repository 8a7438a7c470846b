package consensus

import (
	"time"

	"willowdeck/internal/serving/wirepb"
)

const leadershipTransferInterval = 250 * time.Millisecond

// departure is what a replica that is to stop goes by.
type shutdownState struct {
	requested       bool
	requestedAt     time.Duration
	leaderContacted bool // the leader has spoken since
	successorKnown  bool // and knows a replica that may take over a seat
	nextTransferAt  time.Duration
}

// milliseconds returns for how long the departure has been under way.
func (d *shutdownState) elapsedMillis(now time.Duration) uint64 {
	if !d.requested {
		return 0
	}
	return uint64((now - d.requestedAt) / time.Millisecond)
}

// heard notes what the leader says.
func (d *shutdownState) observeLeader(successorKnown bool) {
	d.leaderContacted = d.requested
	d.successorKnown = successorKnown
}

// Leave begins the end of this replica's part: it hands the lead over, and asks that its seat be taken over.
// Its caller goes on with it until MayStop.
func (n *Node) BeginShutdown() {
	if n.shutdown.requested {
		return
	}
	n.shutdown = shutdownState{requested: true, requestedAt: n.now}
	if n.role != Leader && n.leader != "" {
		n.sendAppendReply(n.leader, n.heartbeatRound)
	}
	n.transferLeadership()
}

// MayStop reports whether a leaving replica is not needed any more: its seat was taken over and the change is
// committed, or a leader has said that there is nobody to take it over. Without a leader it is needed.
func (n *Node) SafeToStop() bool {
	if !n.membership.contains(n.id) && n.commitIndex >= n.membershipIndex {
		return true
	}
	if n.role == Leader {
		return n.transferTarget() == "" && !n.mayHaveSuccessor(n.shutdown.requestedAt)
	}
	return n.shutdown.leaderContacted && n.InSync() && !n.shutdown.successorKnown
}

// handingOver reports whether this replica leads and is to pass the lead on.
func (n *Node) transferringLeadership() bool {
	return n.role == Leader && n.shutdown.requested && n.transferTarget() != ""
}

// handOver asks a replica that has the whole log to take the lead over (Ongaro's dissertation, section 3.10).
func (n *Node) transferLeadership() {
	if !n.transferringLeadership() || n.now < n.shutdown.nextTransferAt {
		return
	}
	n.shutdown.nextTransferAt = n.now + leadershipTransferInterval
	target := n.transferTarget()
	if n.progress[target].matchIndex < n.log.lastIndex() {
		return
	}
	n.send(&wirepb.Consensus{Kind: wirepb.ConsensusKind_CONSENSUS_TAKE_OVER, To: target, Term: n.term})
}

// successorInLead returns the replica that has the most of the log among those that answer, the first in the
// agreed order of several.
func (n *Node) transferTarget() string {
	target := ""
	for _, id := range n.membership.replicas {
		p := n.progress[id]
		if p == nil || p.shuttingDown || !n.recentlyActive(id) {
			continue
		}
		if target == "" || p.matchIndex > n.progress[target].matchIndex {
			target = id
		}
	}
	return target
}

// stepTakeOver stands for election at once.
func (n *Node) handleTimeoutNow(m *wirepb.Consensus) {
	if m.Term != n.term || m.From != n.leader || n.role != Follower || n.shutdown.requested || !n.membership.contains(n.id) {
		return
	}
	n.campaign(true)
}
