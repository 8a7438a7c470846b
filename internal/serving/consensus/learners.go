package consensus

import (
	"cmp"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	// learnerTimeout is how long a learner may fail to respond before the leader stops tracking it.
	learnerTimeout = 2200 * time.Millisecond
	// commitSampleInterval is the interval between two samples of the commit index, see commitSamples.
	commitSampleInterval = 400 * time.Millisecond
)

// Learner is a replica that receives the log without a vote, until it becomes a voter.
type Learner struct {
	Replica      string
	Since        time.Duration // when its first message arrived
	MatchIndex   uint64        // the log is durable on the learner up to this index
	CaughtUp     bool          // it has reached a recent commit index, see commitSamples
	ShuttingDown bool
}

// Learners returns the learners that the leader tracks, in the order of their first contact.
func (n *Node) Learners() []Learner {
	var learners []Learner
	for _, id := range n.trackedReplicas() {
		p := n.progress[id]
		if n.membership.contains(id) {
			continue
		}
		learners = append(learners, Learner{
			Replica: id, Since: n.firstContact(id), MatchIndex: p.matchIndex, ShuttingDown: p.shuttingDown,
			CaughtUp: p.matchIndex >= n.commitSamples.older && n.recentlyActive(id),
		})
	}
	slices.SortStableFunc(learners, func(x, y Learner) int { return cmp.Compare(x.Since, y.Since) })
	return learners
}

// commitSamples keeps the commit index of one to two commitSampleInterval ago. A learner that has reached
// it has caught up. The criterion is one of time, so that it does not depend on the rate of new entries.
type commitSamples struct {
	older, newer uint64
	nextAt       time.Duration
}

// observe samples the commit index every commitSampleInterval.
func (m *commitSamples) observe(now time.Duration, commit uint64) {
	if now >= m.nextAt {
		m.older, m.newer = m.newer, commit
		m.nextAt = now + commitSampleInterval
	}
}

// requestJoin requests that the leader track this replica. The request has no addressee: the caller sends
// it to all replicas that it can reach. Only a replica that receives nothing from a leader sends it, at
// most once per joinInterval.
func (n *Node) requestJoin() {
	if n.now < n.nextJoinAt || n.leaderRecentlyActive() {
		return
	}
	n.nextJoinAt = n.now + joinInterval
	n.send(&wirepb.Consensus{Kind: wirepb.ConsensusKind_CONSENSUS_JOIN, Term: n.term, LogIndex: n.durableIndex})
}

// handleJoin handles the join request of a replica. The leader begins to track the replica; a follower
// forwards the request to the leader.
func (n *Node) handleJoin(m *wirepb.Consensus) {
	if n.role != Leader {
		n.forwardJoin(m)
		return
	}
	if n.progress[m.From] == nil {
		n.trackProgress(m.From)
		n.progress[m.From].nextIndex = min(m.LogIndex, n.log.lastIndex()) + 1
	}
	n.progress[m.From].shuttingDown = false
	n.sendAppend(m.From, true)
}

// forwardJoin forwards a join request to the leader. A request that has an addressee was forwarded already,
// and is not forwarded again.
func (n *Node) forwardJoin(m *wirepb.Consensus) {
	if m.To != "" || n.leader == m.From || !n.leaderRecentlyActive() {
		return
	}
	n.ready.Messages = append(n.ready.Messages, &wirepb.Consensus{
		Kind: m.Kind, From: m.From, To: n.leader, Term: m.Term, LogIndex: m.LogIndex,
	})
}

// removeInactiveLearners stops tracking learners that have not responded within learnerTimeout.
func (n *Node) removeInactiveLearners() {
	for id, p := range n.progress {
		if !n.membership.contains(id) && n.now-p.lastContact > learnerTimeout {
			delete(n.progress, id)
		}
	}
}

// learnerAt reports whether there is a learner at an address.
func (n *Node) learnerAt(address string) bool {
	for id := range n.progress {
		if Address(id) == address && !n.membership.contains(id) {
			return true
		}
	}
	return false
}
