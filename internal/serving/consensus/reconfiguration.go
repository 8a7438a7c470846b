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
	learnerSilence  = 2200 * time.Millisecond // after which a learner is forgotten
	silentSeat      = 2200 * time.Millisecond // of silence, after which a learner may take a seat
	learnerPatience = 1500 * time.Millisecond // that a learner waits for a seat which is free for sure
	plannedMargin   = 600 * time.Millisecond  // by which a learner may be heard of after the order to stop
	learnersKnown   = 1200 * time.Millisecond // of leading, until all learners have asked to join
	markInterval    = 400 * time.Millisecond
)

// Learner is a replica that waits for a seat.
type Learner struct {
	Replica  string
	Since    time.Duration // when this replica first heard of it
	Match    uint64        // the index up to which it has the log
	CaughtUp bool
	Leaving  bool
}

// Learners returns those that the leader knows of, in the order of their coming.
func (n *Node) Learners() []Learner {
	var learners []Learner
	for _, id := range n.sortedPeers() {
		p := n.peers[id]
		if n.members.has(id) {
			continue
		}
		learners = append(learners, Learner{
			Replica: id, Since: n.firstSeen(id), Match: p.match, Leaving: p.leaving,
			CaughtUp: p.match >= n.marks.older && n.answers(id),
		})
	}
	slices.SortStableFunc(learners, func(x, y Learner) int { return cmp.Compare(x.Since, y.Since) })
	return learners
}

// commitMarks remembers what was committed a little while ago: a learner that has as much follows closely,
// however fast entries come.
type commitMarks struct {
	older, newer uint64
	nextAt       time.Duration
}

func (m *commitMarks) note(now time.Duration, commit uint64) {
	if now >= m.nextAt {
		m.older, m.newer = m.newer, commit
		m.nextAt = now + markInterval
	}
}

// Seated reports whether this replica has a seat, as far as it knows.
func (n *Node) Seated() bool { return n.members.has(n.id) }

// stepJoin takes up a replica that no leader speaks to. Others hand its word on to the leader.
func (n *Node) stepJoin(m *wirepb.Consensus) {
	if n.role != Leader {
		n.forwardJoin(m)
		return
	}
	if n.peers[m.From] == nil {
		n.addPeer(m.From)
		n.peers[m.From].next = min(m.LogIndex, n.log.lastIndex()) + 1
	}
	n.peers[m.From].leaving = false
	n.sendAppend(m.From, true)
}

func (n *Node) forwardJoin(m *wirepb.Consensus) {
	if m.To != "" || n.leader == m.From || !n.heardLeaderLately() {
		return
	}
	n.output.Messages = append(n.output.Messages, &wirepb.Consensus{
		Kind: m.Kind, From: m.From, To: n.leader, Term: m.Term, LogIndex: m.LogIndex,
	})
}

// changeMembership carries out one step where one is due and the step before it is committed.
func (n *Node) changeMembership() {
	if !n.Acting() || n.commit < n.membersIndex {
		return
	}
	n.forgetSilentLearners()
	next, due := n.nextMembership()
	if !due || !next.quorum(n.answers) {
		return
	}
	for _, id := range next.voters() {
		n.addPeer(id)
	}
	n.members = next
	n.membersIndex = n.appendEntry(wirepb.EntryKind_ENTRY_MEMBERSHIP, next.encode())
	n.broadcast()
}

func (n *Node) answers(id string) bool { return n.heardWithin(id, ElectionTimeout) }

func (n *Node) forgetSilentLearners() {
	for id, p := range n.peers {
		if !n.members.has(id) && n.now-p.heard > learnerSilence {
			delete(n.peers, id)
		}
	}
}

// nextMembership returns the membership that should follow the present one, and whether there is one.
func (n *Node) nextMembership() (membership, bool) {
	if n.members.joint() {
		return n.members.settled(), true
	}
	for _, learner := range n.Learners() {
		if !learner.CaughtUp || learner.Leaving {
			continue
		}
		if next, due := n.seat(learner); due {
			return next, true
		}
	}
	return membership{}, false
}

// seat returns the membership in which a learner has a seat, and whether there is one for it.
func (n *Node) seat(learner Learner) (membership, bool) {
	if seat := n.seatAt(Address(learner.Replica)); seat != "" && seat != n.id {
		return n.members.replacing(seat, learner.Replica), true
	}
	if len(n.members.replicas) < n.options.Seats {
		return n.members.with(learner.Replica), true
	}
	seat := n.leavingSeat(learner)
	if seat == "" && n.now-learner.Since >= learnerPatience {
		seat = n.silentSeat()
	}
	if seat == "" {
		return membership{}, false
	}
	return n.members.replacing(seat, learner.Replica), true
}

// successorOf reports whether a replica that leaves should wait: there may be one that takes its seat over.
// One that the leader does not know to leave may have been told to stop meanwhile.
func (n *Node) successorOf(id string) bool {
	if p := n.peers[id]; p != nil && p.leaving {
		return n.hasSuccessor(p.leftAt)
	}
	return n.hasSuccessor(n.now)
}

// hasSuccessor reports whether there may be a replica for the seat of one that was told to stop at a
// moment. A leader that has just been elected does not know yet.
func (n *Node) hasSuccessor(leftAt time.Duration) bool {
	if n.members.joint() || n.now-n.leadsSince < learnersKnown {
		return true
	}
	return slices.ContainsFunc(n.Learners(), func(learner Learner) bool {
		return !learner.Leaving && n.cameBefore(learner, leftAt) && n.seatAt(Address(learner.Replica)) == ""
	})
}

// seatAt returns the replica with a seat at an address.
func (n *Node) seatAt(address string) string {
	for _, id := range n.members.replicas {
		if Address(id) == address {
			return id
		}
	}
	return ""
}

// cameBefore reports whether a learner was there when a replica was told to stop. Learners that were there
// when this life began may have been.
func (n *Node) cameBefore(learner Learner, leftAt time.Duration) bool {
	return learner.Since <= max(leftAt+plannedMargin, n.born+learnersKnown)
}

// leavingSeat returns a replica that was told to stop after a learner came. One that leads hands the lead
// over first.
func (n *Node) leavingSeat(learner Learner) string {
	for _, id := range n.members.replicas {
		if p := n.peers[id]; p != nil && p.leaving && n.cameBefore(learner, p.leftAt) {
			return id
		}
	}
	return ""
}

// silentSeat returns the replica that became silent last, among those that have been silent for long. A seat
// whose address has a new disk is left to that one.
func (n *Node) silentSeat() string {
	seat, newest := "", time.Duration(0)
	for _, id := range n.members.replicas {
		p := n.peers[id]
		if p == nil || n.now-p.heard <= silentSeat || n.learnerAt(Address(id)) {
			continue
		}
		if seat == "" || p.heard > newest {
			seat, newest = id, p.heard
		}
	}
	return seat
}

func (n *Node) learnerAt(address string) bool {
	for id := range n.peers {
		if Address(id) == address && !n.members.has(id) {
			return true
		}
	}
	return false
}
