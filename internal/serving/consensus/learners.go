package consensus

import (
	"cmp"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	learnerTimeout       = 2200 * time.Millisecond // without a response, after which a learner is not tracked
	commitSampleInterval = 400 * time.Millisecond
)

// Learner is a replica that follows the log without a vote and waits to become a voter.
type Learner struct {
	Replica      string
	Since        time.Duration // when its first message arrived
	MatchIndex   uint64        // up to which the log is durable there
	CaughtUp     bool
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

// commitSamples remembers the commit index of a little while ago. A learner that has reached it follows
// closely, whatever the rate of entries.
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

// requestJoin asks all replicas that the caller can reach to be tracked by the leader. It is done by a
// replica that receives nothing from a leader, at most once per joinInterval.
func (n *Node) requestJoin() {
	if n.now < n.nextJoinAt || n.leaderRecentlyActive() {
		return
	}
	n.nextJoinAt = n.now + joinInterval
	n.send(&wirepb.Consensus{Kind: wirepb.ConsensusKind_CONSENSUS_JOIN, Term: n.term, LogIndex: n.durableIndex})
}

// handleJoin tracks a replica that receives nothing from the leader. Followers forward its request to the
// leader.
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

// forwardJoin sends a join request to the leader, once: a forwarded one has an addressee.
func (n *Node) forwardJoin(m *wirepb.Consensus) {
	if m.To != "" || n.leader == m.From || !n.leaderRecentlyActive() {
		return
	}
	n.ready.Messages = append(n.ready.Messages, &wirepb.Consensus{
		Kind: m.Kind, From: m.From, To: n.leader, Term: m.Term, LogIndex: m.LogIndex,
	})
}

// removeInactiveLearners ends the tracking of learners that do not respond.
func (n *Node) removeInactiveLearners() {
	for id, p := range n.progress {
		if !n.membership.contains(id) && n.now-p.lastContact > learnerTimeout {
			delete(n.progress, id)
		}
	}
}

// learnerAt reports whether a learner has an address.
func (n *Node) learnerAt(address string) bool {
	for id := range n.progress {
		if Address(id) == address && !n.membership.contains(id) {
			return true
		}
	}
	return false
}
