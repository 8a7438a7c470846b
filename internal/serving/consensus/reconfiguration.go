package consensus

import (
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// A learner replaces a voter in one joint change, never by the voter's silence alone: there has to be a
// learner that has caught up with the commit index. The number of voters never falls.
//
// Nothing says which voter a learner is meant to replace. It replaces the voter at its own address, to whose
// disk it succeeds; otherwise one whose shutdown was requested after the learner joined, as in a planned
// replacement; otherwise the one that became silent last. A former voter that comes back with its disk, after
// a shutdown or a partition, is the next learner to replace a silent voter.

const (
	unresponsiveVoterTimeout = 2200 * time.Millisecond // of silence, after which a learner may replace a voter
	learnerMinimumWait       = 1500 * time.Millisecond // of a learner, until it may replace a silent voter
	plannedReplacementMargin = 600 * time.Millisecond  // after a shutdown request, for learners to be seen
	learnerDiscoveryTime     = 1200 * time.Millisecond // of leading, until all learners have asked to join
)

// IsVoter reports whether this replica is a voter by the newest membership in its log.
func (n *Node) IsVoter() bool { return n.membership.contains(n.id) }

// changeMembership proposes the next membership if one is due and the one before it is committed.
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

// nextMembership returns the membership that should follow the present one, and whether there is one.
func (n *Node) nextMembership() (membership, bool) {
	if n.membership.isJoint() {
		return n.membership.afterJoint(), true
	}
	for _, learner := range n.Learners() {
		if !learner.CaughtUp || learner.ShuttingDown {
			continue
		}
		if next, due := n.membershipWith(learner); due {
			return next, true
		}
	}
	return membership{}, false
}

// membershipWith returns the membership in which a learner is a voter, and whether it may become one now.
func (n *Node) membershipWith(learner Learner) (membership, bool) {
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

// reportsSuccessor reports whether the leader tells a replica that a learner may replace it, so that it waits
// if it is shutting down. A shutdown may have been requested that the leader does not know of yet.
func (n *Node) reportsSuccessor(id string) bool {
	if p := n.progress[id]; p != nil && p.shuttingDown {
		return n.mayHaveSuccessor(p.shutdownAt)
	}
	return n.mayHaveSuccessor(n.now)
}

// mayHaveSuccessor reports whether there may be a learner to replace a voter whose shutdown was requested at
// shutdownAt. A leader that has just been elected does not know its learners yet.
func (n *Node) mayHaveSuccessor(shutdownAt time.Duration) bool {
	if n.membership.isJoint() || n.now-n.leaderSince < learnerDiscoveryTime {
		return true
	}
	return slices.ContainsFunc(n.Learners(), func(learner Learner) bool {
		return !learner.ShuttingDown && n.joinedBefore(learner, shutdownAt) &&
			n.voterAt(Address(learner.Replica)) == ""
	})
}

// voterAt returns the voter at an address, or "".
func (n *Node) voterAt(address string) string {
	for _, id := range n.membership.replicas {
		if Address(id) == address {
			return id
		}
	}
	return ""
}

// joinedBefore reports whether a learner was there when a shutdown was requested. Learners that were there
// when this incarnation began may have been.
func (n *Node) joinedBefore(learner Learner, shutdownAt time.Duration) bool {
	return learner.Since <= max(shutdownAt+plannedReplacementMargin, n.startedAt+learnerDiscoveryTime)
}

// shuttingDownVoter returns a voter whose shutdown was requested after a learner joined, or "". A leader that
// shuts down transfers the leadership first.
func (n *Node) shuttingDownVoter(learner Learner) string {
	for _, id := range n.membership.replicas {
		if p := n.progress[id]; p != nil && p.shuttingDown && n.joinedBefore(learner, p.shutdownAt) {
			return id
		}
	}
	return ""
}

// unresponsiveVoter returns the voter that became silent last, of those that have been silent for
// unresponsiveVoterTimeout, or "". A voter whose address has a learner with a new disk is left to that
// learner.
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
