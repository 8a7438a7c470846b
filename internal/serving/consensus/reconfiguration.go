package consensus

import (
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// A voter is replaced only by a learner that has caught up, by means of one joint membership; it is never
// removed for its silence alone. The number of voters therefore never decreases.
//
// A learner does not state which voter it is meant to replace. The leader chooses the first of these
// possibilities: the learner replaces the voter at its own address, whose disk its new disk replaces; it is
// added if there are fewer voters than Options.Voters; it replaces a voter whose shutdown was requested
// after the learner joined, as in a planned replacement; it replaces the voter that became silent last. A
// former voter that returns with its disk, after a shutdown or a network partition, becomes a learner and
// may in turn replace a silent voter.

const (
	// unresponsiveVoterTimeout is how long a voter has to be silent before a learner may replace it.
	unresponsiveVoterTimeout = 2200 * time.Millisecond
	// learnerMinimumWait is how long a learner waits, from its first message, before it may replace a silent
	// voter.
	learnerMinimumWait = 1500 * time.Millisecond
	// plannedReplacementMargin is how long after a shutdown request the first message of a learner may arrive
	// for the learner to count as one that joined before the request.
	plannedReplacementMargin = 600 * time.Millisecond
	// learnerDiscoveryTime is the time within which all learners have asked a new leader, or a new incarnation
	// of a replica, to join.
	learnerDiscoveryTime = 1200 * time.Millisecond
)

// IsVoter reports whether this replica is a voter in the newest membership of its log.
func (n *Node) IsVoter() bool { return n.membership.contains(n.id) }

// changeMembership proposes the next membership if a change is due, the current membership is committed,
// and a quorum of the next one has responded recently.
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

// nextMembership returns the membership that should follow the current one, and whether a change is due.
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

// membershipWith returns the membership in which a learner has become a voter, and whether it may become one
// now.
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

// reportsSuccessor returns the SuccessorKnown flag of the leader's messages to a replica: whether a learner
// may replace it. A replica that is shutting down waits while the flag is set. For a replica that has not
// reported a shutdown, the flag is computed as if the shutdown were requested now, since the report may be
// under way.
func (n *Node) reportsSuccessor(id string) bool {
	if p := n.progress[id]; p != nil && p.shuttingDown {
		return n.mayHaveSuccessor(p.shutdownAt)
	}
	return n.mayHaveSuccessor(n.now)
}

// mayHaveSuccessor reports whether there may be a learner to replace a voter whose shutdown was requested
// at shutdownAt. It returns true while the membership is joint, and on a leader that has just been elected,
// since it does not know all learners yet.
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

// joinedBefore reports whether a learner may have joined before a shutdown was requested. It returns true for
// learners whose first message arrived soon after this incarnation began: they may have joined earlier.
func (n *Node) joinedBefore(learner Learner, shutdownAt time.Duration) bool {
	return learner.Since <= max(shutdownAt+plannedReplacementMargin, n.startedAt+learnerDiscoveryTime)
}

// shuttingDownVoter returns a voter whose shutdown was requested after a learner joined, or "". It does not
// return the leader itself, which transfers the leadership before it is replaced.
func (n *Node) shuttingDownVoter(learner Learner) string {
	for _, id := range n.membership.replicas {
		if p := n.progress[id]; p != nil && p.shuttingDown && n.joinedBefore(learner, p.shutdownAt) {
			return id
		}
	}
	return ""
}

// unresponsiveVoter returns, of the voters that have been silent for longer than unresponsiveVoterTimeout,
// the one that became silent last, or "" if there is none. It leaves out voters at whose address there is a
// learner with a new disk: that learner replaces them.
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
