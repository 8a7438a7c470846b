package consensus

import (
	"time"
)

// tickLeader does the periodic work of the leader. A leader that has lost contact with the quorum steps down
// instead (check-quorum).
func (n *Node) tickLeader() {
	if !n.quorumActive() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.now >= n.nextHeartbeatAt {
		n.broadcastHeartbeat()
	}
	n.commitSamples.observe(n.now, n.commitIndex)
	n.changeMembership()
	n.transferLeadership()
}

// quorumActive reports whether a quorum has acknowledged a heartbeat round within quorumTimeout.
func (n *Node) quorumActive() bool {
	return n.membership.hasQuorum(func(id string) bool { return n.respondedWithin(id, quorumTimeout) })
}

// broadcastHeartbeat begins a heartbeat round: it sends each tracked replica a heartbeat, with the entries
// that it lacks. A round is numbered by the leader's clock in microseconds, so that the round in a reply
// shows the age of the heartbeat that it acknowledges.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatRound = max(n.heartbeatRound+1, uint64(n.now/time.Microsecond))
	n.nextHeartbeatAt = n.now + HeartbeatInterval
	for _, id := range n.trackedReplicas() {
		n.sendAppend(id, true)
	}
}

// advanceCommit commits the entries that a quorum has made durable, if the last of them is of the current
// term (Ongaro and Ousterhout, section 5.4.2).
func (n *Node) advanceCommit() {
	candidate := n.membership.quorumIndex(func(id string) uint64 {
		switch {
		case id == n.id:
			return n.durableIndex
		case n.progress[id] != nil:
			return n.progress[id].matchIndex
		}
		return 0
	})
	if candidate <= n.commitIndex {
		return
	}
	if term, ok := n.log.term(candidate); !ok || term != n.term {
		return
	}
	n.commitTo(candidate)
	n.hasCaughtUp = n.hasCaughtUp || n.IsEstablishedLeader()
	if !n.membership.contains(n.id) && n.commitIndex >= n.membershipIndex {
		n.becomeFollower(n.term, "")
		return
	}
	for _, id := range n.trackedReplicas() {
		n.sendAppend(id, true) // followers need not wait for the next round to apply
	}
}
