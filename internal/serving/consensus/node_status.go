package consensus

import (
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// Leader returns the identity of the leader of the current term, or "" if it is not known.
func (n *Node) Leader() string { return n.leader }

// IsEstablishedLeader reports whether this replica is the leader and has committed an entry of its own
// term. It then knows all entries that were committed in earlier terms.
func (n *Node) IsEstablishedLeader() bool {
	return n.role == Leader && n.commitIndex >= n.termStartIndex
}

// InSync reports whether this replica is an established leader, or a follower that has reached a commit index
// that the leader sent within the election timeout. Receiving messages is not enough: the leader sends few
// entries to a replica whose replies are lost, so that such a replica may lack committed entries.
func (n *Node) InSync() bool {
	if n.role == Leader {
		return n.IsEstablishedLeader()
	}
	return n.leader != "" && n.hasCaughtUp && n.now-n.lastInSyncAt < ElectionTimeout
}

// HasCaughtUp reports whether this incarnation has at any time reached the commit index that an established
// leader sent, or has itself been an established leader.
func (n *Node) HasCaughtUp() bool { return n.hasCaughtUp }

// LeaderClock returns the clock of the leader of the current term, in microseconds. On a follower the result
// is a lower bound.
func (n *Node) LeaderClock() uint64 {
	if n.role == Leader {
		return uint64(n.now / time.Microsecond)
	}
	return n.leaderContact.leaderClock(n.now)
}

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Voters returns the voters in their agreed order; those of both lists if the membership is joint.
func (n *Node) Voters() []string { return n.membership.voters() }

// Peers returns the other replicas that this one has to reach, sorted: the other voters, and on the leader
// also the learners.
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

// UncommittedEntries returns the entries of the log that this replica does not know to be committed.
func (n *Node) UncommittedEntries() []*wirepb.Entry { return n.log.entriesAfter(n.commitIndex) }

// LogBytes returns the size of the entries since the last snapshot.
func (n *Node) LogBytes() int { return n.log.sizeBetween(n.log.snapshot.Index, n.log.lastIndex()) }
