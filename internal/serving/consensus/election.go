package consensus

import (
	"slices"

	"willowdeck/internal/serving/wirepb"
)

// preCampaign requests pre-votes: it asks the other voters whether they would grant a vote, without
// incrementing the term.
func (n *Node) preCampaign() {
	n.role = PreCandidate
	n.leader = ""
	n.votes = map[string]bool{n.id: true}
	if n.wonElection() {
		n.campaign(false)
		return
	}
	request := wirepb.Consensus{Kind: wirepb.ConsensusKind_CONSENSUS_PRE_VOTE, Term: n.term + 1}
	for _, m := range n.voteRequests(&request) {
		n.send(m)
	}
}

// campaign increments the term and requests votes. The requests are sent once this replica's vote for
// itself is durable. leadershipTransfer is true if the leader has requested the election.
func (n *Node) campaign(leadershipTransfer bool) {
	n.role = Candidate
	n.leader = ""
	n.term++
	n.votedFor = n.id
	n.votes = map[string]bool{n.id: true}
	n.resetElectionDeadline()
	request := wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_VOTE, Term: n.term, From: n.id, LeadershipTransfer: leadershipTransfer,
	}
	n.enqueueWrite(WriteBatch{HardState: n.hardState(), Messages: n.voteRequests(&request)})
	if n.wonElection() {
		n.becomeLeader()
	}
}

// wonElection reports whether a quorum has granted the vote or pre-vote.
func (n *Node) wonElection() bool {
	return n.membership.hasQuorum(func(id string) bool { return n.votes[id] })
}

// voteRequests returns a copy of a request for each other voter, with the index and term of the last log
// entry.
func (n *Node) voteRequests(request *wirepb.Consensus) []*wirepb.Consensus {
	var requests []*wirepb.Consensus
	for _, voter := range n.membership.voters() {
		if voter == n.id {
			continue
		}
		requests = append(requests, &wirepb.Consensus{
			Kind: request.Kind, From: request.From, To: voter, Term: request.Term,
			LeadershipTransfer: request.LeadershipTransfer,
			LogIndex:           n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
	return requests
}

// logIsUpToDate reports whether the candidate's log, described by m, is at least as up to date as this
// replica's (Ongaro and Ousterhout, section 5.4.1).
func (n *Node) logIsUpToDate(m *wirepb.Consensus) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.LogIndex >= n.log.lastIndex()
}

// handlePreVote grants or rejects a pre-vote; it does not reply while the leader is active. It does not
// check that the candidate or this replica is a voter, since this replica may not have received the entry
// yet that admitted it. The candidate decides by the membership in its own log whose votes count.
func (n *Node) handlePreVote(m *wirepb.Consensus) {
	if n.leaderRecentlyActive() {
		return
	}
	granted := m.Term > n.term && n.logIsUpToDate(m)
	term := m.Term
	if granted {
		n.deferTo(m.From)
	} else {
		term = n.term
	}
	n.send(&wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_PRE_VOTE_REPLY, To: m.From, Term: term, Reject: !granted,
	})
}

// deferTo postpones this replica's own campaign in favour of a candidate that precedes it in the order of
// voters, so that votes do not split.
func (n *Node) deferTo(candidate string) {
	voters := n.membership.voters()
	if slices.Index(voters, candidate) < slices.Index(voters, n.id) {
		n.electionDeadline = max(n.electionDeadline, n.now+voteTimeout)
		if n.role == PreCandidate {
			n.role = Follower
		}
	}
}

// handlePreVoteReply counts a pre-vote, and campaigns once a quorum has granted theirs.
func (n *Node) handlePreVoteReply(m *wirepb.Consensus) {
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, "")
		}
		return
	}
	if n.role != PreCandidate || m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	if n.wonElection() {
		n.campaign(false)
	}
}

// handleVote grants this replica's vote of the term to the first candidate whose log is up to date. A reply
// that grants the vote is sent once the vote is durable.
func (n *Node) handleVote(m *wirepb.Consensus) {
	if m.Term < n.term {
		return
	}
	canVote := n.votedFor == "" || n.votedFor == m.From
	granted := canVote && n.logIsUpToDate(m) && n.role != Leader
	reply := &wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_VOTE_REPLY, From: n.id, To: m.From, Term: n.term, Reject: !granted,
	}
	if !granted {
		n.send(reply)
		return
	}
	n.votedFor = m.From
	n.resetElectionDeadline()
	n.enqueueWrite(WriteBatch{HardState: n.hardState(), Messages: []*wirepb.Consensus{reply}})
}

// handleVoteReply counts a vote, and makes this replica the leader once a quorum has granted theirs.
func (n *Node) handleVoteReply(m *wirepb.Consensus) {
	if n.role != Candidate || m.Term != n.term || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.wonElection() {
		n.becomeLeader()
	}
}

// becomeLeader makes this replica the leader of the current term. It appends an empty entry, whose commitment
// also commits all entries of earlier terms, and sends the first heartbeat.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.heartbeatRound = 0
	n.leaderSince = n.now
	n.leaderSeen = true
	n.incomingSnapshot = nil
	n.progress = map[string]*progress{}
	for _, voter := range n.membership.voters() {
		n.trackProgress(voter)
	}
	n.termStartIndex = n.appendEntry(wirepb.EntryKind_ENTRY_NOOP, nil)
	n.commitSamples = commitSamples{older: n.termStartIndex, newer: n.termStartIndex}
	n.broadcastHeartbeat()
}
