package consensus

import (
	"time"

	"willowdeck/internal/serving/wirepb"
)

// leadershipTransferInterval is the interval at which a leader that is shutting down repeats its request to
// another replica to take over the leadership.
const leadershipTransferInterval = 250 * time.Millisecond

// shutdownState is the state of a replica's graceful shutdown.
type shutdownState struct {
	requested       bool
	requestedAt     time.Duration
	leaderContacted bool          // the leader has sent a message since the shutdown was requested
	successorKnown  bool          // the leader has reported that a learner may replace this voter
	nextTransferAt  time.Duration // when a leader may next request another replica to take over
}

// elapsedMillis returns the time since the shutdown was requested in milliseconds, or 0 if none was
// requested.
func (d *shutdownState) elapsedMillis(now time.Duration) uint64 {
	if !d.requested {
		return 0
	}
	return uint64((now - d.requestedAt) / time.Millisecond)
}

// observeLeader records a message from the leader with its SuccessorKnown flag.
func (d *shutdownState) observeLeader(successorKnown bool) {
	d.leaderContacted = d.requested
	d.successorKnown = successorKnown
}

// BeginShutdown begins the graceful shutdown of this replica: a leader transfers its leadership, a follower
// requests that the leader replace it as a voter. The caller continues to call Tick and Step until SafeToStop
// returns true.
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

// SafeToStop reports whether a replica whose shutdown has begun is no longer needed: another voter has
// replaced it and that change is committed, or the leader has reported that no learner can replace it.
// Without a leader the replica is still needed. A leader may stop if no replica can take over the
// leadership and no learner can replace it.
func (n *Node) SafeToStop() bool {
	if !n.membership.contains(n.id) && n.commitIndex >= n.membershipIndex {
		return true
	}
	if n.role == Leader {
		return n.transferTarget() == "" && !n.mayHaveSuccessor(n.shutdown.requestedAt)
	}
	return n.shutdown.leaderContacted && n.InSync() && !n.shutdown.successorKnown
}

// transferringLeadership reports whether this replica is the leader, is shutting down, and there is a
// replica to which it can transfer the leadership.
func (n *Node) transferringLeadership() bool {
	return n.role == Leader && n.shutdown.requested && n.transferTarget() != ""
}

// transferLeadership requests the target of the transfer to campaign at once (Ongaro's dissertation,
// section 3.10), provided that the target has the entire log. It repeats the request every
// leadershipTransferInterval.
func (n *Node) transferLeadership() {
	if !n.transferringLeadership() || n.now < n.shutdown.nextTransferAt {
		return
	}
	n.shutdown.nextTransferAt = n.now + leadershipTransferInterval
	target := n.transferTarget()
	if n.progress[target].matchIndex < n.log.lastIndex() {
		return
	}
	n.send(&wirepb.Consensus{Kind: wirepb.ConsensusKind_CONSENSUS_TIMEOUT_NOW, To: target, Term: n.term})
}

// transferTarget returns the voter with the greatest match index of those that are recently active and not
// shutting down, or "" if there is none. Of several with the same index it returns the first in the agreed
// order.
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

// handleTimeoutNow campaigns at once, as the leader requests (TimeoutNow in Ongaro's dissertation).
func (n *Node) handleTimeoutNow(m *wirepb.Consensus) {
	if m.Term != n.term || m.From != n.leader || n.role != Follower || n.shutdown.requested ||
		!n.membership.contains(n.id) {
		return
	}
	n.campaign(true)
}
