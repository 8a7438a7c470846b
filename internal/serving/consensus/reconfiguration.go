package consensus

import (
	"cmp"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// The seats of the quorum. A seat passes from one replica to another in one joint change, never by silence
// alone: there has to be a learner, a replica without a vote, that holds all that is committed. The number of
// seats never falls.
//
// Nothing says which seat a learner is meant for. It gets that of the disk before it at its address; else
// that of one which was told to stop after it came, as in a planned replacement; else that of the one which
// fell silent last. A replica that was told to stop and comes back with its disk is at once the next for a
// silent seat; one that was only cut off as well.

const (
	learnerTimeout           = 2200 * time.Millisecond // after which a learner is forgotten
	unresponsiveVoterTimeout = 2200 * time.Millisecond // of silence, after which a learner may take a seat
	learnerMinimumWait       = 1500 * time.Millisecond // that a learner waits for a seat which is free for sure
	plannedReplacementMargin = 600 * time.Millisecond  // by which a learner may be heard of after the order to stop
	learnerDiscoveryTime     = 1200 * time.Millisecond // of leading, until all learners have asked to join
	commitSampleInterval     = 400 * time.Millisecond
)

// Learner is a replica that waits for a seat.
type Learner struct {
	Replica      string
	Since        time.Duration // when this replica first heard of it
	MatchIndex   uint64        // the index up to which it has the log
	CaughtUp     bool
	ShuttingDown bool
}

// Learners returns those that the leader knows of, in the order of their coming.
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

// commitMarks remembers what was committed a little while ago: a learner that has as much follows closely,
// however fast entries come.
type commitSamples struct {
	older, newer uint64
	nextAt       time.Duration
}

func (m *commitSamples) observe(now time.Duration, commit uint64) {
	if now >= m.nextAt {
		m.older, m.newer = m.newer, commit
		m.nextAt = now + commitSampleInterval
	}
}

// Seated reports whether this replica has a seat, as far as it knows.
func (n *Node) IsVoter() bool { return n.membership.contains(n.id) }

// stepJoin takes up a replica that no leader speaks to. Others hand its word on to the leader.
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

func (n *Node) forwardJoin(m *wirepb.Consensus) {
	if m.To != "" || n.leader == m.From || !n.leaderRecentlyActive() {
		return
	}
	n.ready.Messages = append(n.ready.Messages, &wirepb.Consensus{
		Kind: m.Kind, From: m.From, To: n.leader, Term: m.Term, LogIndex: m.LogIndex,
	})
}

// changeMembership carries out one step where one is due and the step before it is committed.
func (n *Node) changeMembership() {
	if !n.IsEstablishedLeader() || n.commitIndex < n.membershipIndex {
		return
	}
	n.removeInactiveLearners()
	next, due := n.nextMembership()
	if !due || !next.hasQuorum(n.recentlyActive) {
		return
	}
	for _, id := range next.voters() {
		n.trackProgress(id)
	}
	n.membership = next
	n.membershipIndex = n.appendEntry(wirepb.EntryKind_ENTRY_MEMBERSHIP, next.encode())
	n.broadcastAppend()
}

func (n *Node) recentlyActive(id string) bool { return n.respondedWithin(id, ElectionTimeout) }

func (n *Node) removeInactiveLearners() {
	for id, p := range n.progress {
		if !n.membership.contains(id) && n.now-p.lastContact > learnerTimeout {
			delete(n.progress, id)
		}
	}
}

// nextMembership returns the membership that should follow the present one, and whether there is one.
func (n *Node) nextMembership() (membership, bool) {
	if n.membership.isJoint() {
		return n.membership.afterJoint(), true
	}
	for _, learner := range n.Learners() {
		if !learner.CaughtUp || learner.ShuttingDown {
			continue
		}
		if next, due := n.replaced(learner); due {
			return next, true
		}
	}
	return membership{}, false
}

// seat returns the membership in which a learner has a seat, and whether there is one for it.
func (n *Node) replaced(learner Learner) (membership, bool) {
	if replaced := n.voterAt(Address(learner.Replica)); replaced != "" && replaced != n.id {
		return n.membership.withReplacement(replaced, learner.Replica), true
	}
	if len(n.membership.replicas) < n.options.Voters {
		return n.membership.withVoter(learner.Replica), true
	}
	replaced := n.shuttingDownVoter(learner)
	if replaced == "" && n.now-learner.Since >= learnerMinimumWait {
		replaced = n.unresponsiveVoter()
	}
	if replaced == "" {
		return membership{}, false
	}
	return n.membership.withReplacement(replaced, learner.Replica), true
}

// successorOf reports whether a replica that leaves should wait: there may be one that takes its seat over.
// One that the leader does not know to leave may have been told to stop meanwhile.
func (n *Node) reportsSuccessor(id string) bool {
	if p := n.progress[id]; p != nil && p.shuttingDown {
		return n.mayHaveSuccessor(p.shutdownAt)
	}
	return n.mayHaveSuccessor(n.now)
}

// hasSuccessor reports whether there may be a replica for the seat of one that was told to stop at a
// moment. A leader that has just been elected does not know yet.
func (n *Node) mayHaveSuccessor(shutdownAt time.Duration) bool {
	if n.membership.isJoint() || n.now-n.leaderSince < learnerDiscoveryTime {
		return true
	}
	return slices.ContainsFunc(n.Learners(), func(learner Learner) bool {
		return !learner.ShuttingDown && n.joinedBefore(learner, shutdownAt) && n.voterAt(Address(learner.Replica)) == ""
	})
}

// seatAt returns the replica with a seat at an address.
func (n *Node) voterAt(address string) string {
	for _, id := range n.membership.replicas {
		if Address(id) == address {
			return id
		}
	}
	return ""
}

// cameBefore reports whether a learner was there when a replica was told to stop. Learners that were there
// when this life began may have been.
func (n *Node) joinedBefore(learner Learner, shutdownAt time.Duration) bool {
	return learner.Since <= max(shutdownAt+plannedReplacementMargin, n.startedAt+learnerDiscoveryTime)
}

// leavingSeat returns a replica that was told to stop after a learner came. One that leads hands the lead
// over first.
func (n *Node) shuttingDownVoter(learner Learner) string {
	for _, id := range n.membership.replicas {
		if p := n.progress[id]; p != nil && p.shuttingDown && n.joinedBefore(learner, p.shutdownAt) {
			return id
		}
	}
	return ""
}

// silentSeat returns the replica that became silent last, among those that have been silent for long. A seat
// whose address has a new disk is left to that one.
func (n *Node) unresponsiveVoter() string {
	voter, newestContact := "", time.Duration(0)
	for _, id := range n.membership.replicas {
		p := n.progress[id]
		if p == nil || n.now-p.lastContact <= unresponsiveVoterTimeout || n.learnerAt(Address(id)) {
			continue
		}
		if voter == "" || p.lastContact > newestContact {
			voter, newestContact = id, p.lastContact
		}
	}
	return voter
}

func (n *Node) learnerAt(address string) bool {
	for id := range n.progress {
		if Address(id) == address && !n.membership.contains(id) {
			return true
		}
	}
	return false
}
