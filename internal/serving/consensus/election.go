package consensus

import (
	"slices"

	"willowdeck/internal/serving/wirepb"
)

// startPreVote asks the others whether they would vote, without raising the term.
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

// startVote raises the term and stands for election. The requests go out once the own vote is on disk.
// takeOver says that the leader has asked for it.
func (n *Node) campaign(leadershipTransfer bool) {
	n.role = Candidate
	n.leader = ""
	n.term++
	n.votedFor = n.id
	n.votes = map[string]bool{n.id: true}
	n.resetElectionDeadline()
	request := wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_VOTE, Term: n.term, From: n.id, TakeOver: leadershipTransfer,
	}
	n.enqueueWrite(WriteBatch{HardState: n.hardState(), Messages: n.voteRequests(&request)})
	if n.wonElection() {
		n.becomeLeader()
	}
}

func (n *Node) wonElection() bool {
	return n.membership.hasQuorum(func(id string) bool { return n.votes[id] })
}

// requestsForVotes addresses a request to each other voter.
func (n *Node) voteRequests(request *wirepb.Consensus) []*wirepb.Consensus {
	var requests []*wirepb.Consensus
	for _, voter := range n.membership.voters() {
		if voter == n.id {
			continue
		}
		requests = append(requests, &wirepb.Consensus{
			Kind: request.Kind, From: request.From, To: voter, Term: request.Term, TakeOver: request.TakeOver,
			LogIndex: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
	return requests
}

// notBehind reports whether the log of the candidate in m holds all that this replica's may have committed.
func (n *Node) logIsUpToDate(m *wirepb.Consensus) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.LogIndex >= n.log.lastIndex()
}

// stepPreVote answers any candidate that asks: whose vote counts is for the candidate's log to say, since
// this replica may have been admitted by an entry that it has not received yet.
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

// yieldTo leaves the election to a candidate that comes earlier in the order, so that votes do not split.
func (n *Node) deferTo(candidate string) {
	voters := n.membership.voters()
	if slices.Index(voters, candidate) < slices.Index(voters, n.id) {
		n.electionDeadline = max(n.electionDeadline, n.now+voteTimeout)
		if n.role == PreCandidate {
			n.role = Follower
		}
	}
}

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

func (n *Node) handleVoteReply(m *wirepb.Consensus) {
	if n.role != Candidate || m.Term != n.term || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.wonElection() {
		n.becomeLeader()
	}
}

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
