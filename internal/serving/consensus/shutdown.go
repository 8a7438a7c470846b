package consensus

import (
	"time"

	"willowdeck/internal/serving/wirepb"
)

const leadershipTransferInterval = 250 * time.Millisecond

// shutdownState is the progress of a replica's graceful shutdown.
type shutdownState struct {
	requested       bool
	requestedAt     time.Duration
	leaderContacted bool // the leader has sent a message since the request
	successorKnown  bool // the leader knows a learner that may replace this voter
	nextTransferAt  time.Duration
}

// elapsedMillis returns the time since the shutdown was requested in milliseconds, 0 if it was not.
func (d *shutdownState) elapsedMillis(now time.Duration) uint64 {
	if !d.requested {
		return 0
	}
	return uint64((now - d.requestedAt) / time.Millisecond)
}

// observeLeader records a message of the leader.
func (d *shutdownState) observeLeader(successorKnown bool) {
	d.leaderContacted = d.requested
	d.successorKnown = successorKnown
}

// BeginShutdown begins the graceful shutdown of this replica: it transfers the leadership, and asks the
// leader to replace it as a voter. Its caller goes on calling Tick and Step until SafeToStop.
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

// SafeToStop reports whether a replica whose shutdown has begun is not needed any more: another voter has
// replaced it and the change is committed, or a leader has reported that no learner can replace it. Without a
// leader it is needed.
func (n *Node) SafeToStop() bool {
	if !n.membership.contains(n.id) && n.commitIndex >= n.membershipIndex {
		return true
	}
	if n.role == Leader {
		return n.transferTarget() == "" && !n.mayHaveSuccessor(n.shutdown.requestedAt)
	}
	return n.shutdown.leaderContacted && n.InSync() && !n.shutdown.successorKnown
}

// transferringLeadership reports whether this replica leads, is shutting down and has a replica to transfer
// the leadership to.
func (n *Node) transferringLeadership() bool {
	return n.role == Leader && n.shutdown.requested && n.transferTarget() != ""
}

// transferLeadership asks a replica that has the entire log to campaign at once (Ongaro's dissertation,
// section 3.10). It repeats the request every leadershipTransferInterval.
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

// transferTarget returns the recently active voter with the greatest match index, the first in the agreed
// order of several, or "" if there is none.
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

// handleTimeoutNow campaigns at once, at the request of the leader (TimeoutNow of Ongaro's dissertation).
func (n *Node) handleTimeoutNow(m *wirepb.Consensus) {
	if m.Term != n.term || m.From != n.leader || n.role != Follower || n.shutdown.requested ||
		!n.membership.contains(n.id) {
		return
	}
	n.campaign(true)
}
