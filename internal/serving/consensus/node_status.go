package consensus

import (
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// Leader returns the identity of the leader of this term, or "" if it is not known.
func (n *Node) Leader() string { return n.leader }

// IsEstablishedLeader reports whether this replica leads and has committed an entry of its own term: it then
// knows all that was committed before.
func (n *Node) IsEstablishedLeader() bool {
	return n.role == Leader && n.commitIndex >= n.termStartIndex
}

// InSync reports whether this replica is an established leader, or receives from the leader and has what the
// leader had committed when it sent its last message. A replica whose own messages are lost may still receive
// and yet lack entries that are not sent to it any more.
func (n *Node) InSync() bool {
	if n.role == Leader {
		return n.IsEstablishedLeader()
	}
	return n.leader != "" && n.hasCaughtUp && n.now-n.lastInSyncAt < ElectionTimeout
}

// HasCaughtUp reports whether the state of this incarnation has reached at some time what a leader had
// committed when it sent a message.
func (n *Node) HasCaughtUp() bool { return n.hasCaughtUp }

// LeaderClock returns the clock of the leader of Term in microseconds; on a follower it is a lower bound.
func (n *Node) LeaderClock() uint64 {
	if n.role == Leader {
		return uint64(n.now / time.Microsecond)
	}
	return n.leaderContact.leaderClock(n.now)
}

// Term returns the present term.
func (n *Node) Term() uint64 { return n.term }

// Voters returns the voters, those of both lists of a joint membership, in their agreed order.
func (n *Node) Voters() []string { return n.membership.voters() }

// Peers returns the other replicas that this one has to reach, sorted: the voters, and on the leader the
// learners.
func (n *Node) Peers() []string {
	ids := slices.DeleteFunc(n.membership.voters(), func(id string) bool { return id == n.id })
	for id := range n.progress {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Applied returns the index up to which entries have been returned in Ready.CommittedEntries.
func (n *Node) Applied() uint64 { return n.appliedIndex }

// UncommittedEntries returns the entries that this replica has and does not know to be committed.
func (n *Node) UncommittedEntries() []*wirepb.Entry { return n.log.entriesAfter(n.commitIndex) }

// LogBytes returns the size of the entries since the last snapshot.
func (n *Node) LogBytes() int { return n.log.sizeBetween(n.log.snapshot.Index, n.log.lastIndex()) }
