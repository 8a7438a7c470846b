package consensus

import (
	"slices"

	"willowdeck/internal/serving/wirepb"
)

// startPreVote asks the others whether they would vote, without raising the term.
func (n *Node) startPreVote() {
	n.role = PreCandidate
	n.leader = ""
	n.votes = map[string]bool{n.id: true}
	if len(n.votes) >= n.quorum() {
		n.startVote()
		return
	}
	n.askForVotes(wirepb.ConsensusKind_CONSENSUS_PRE_VOTE, n.term+1, n.send)
}

// startVote raises the term and stands for election. The requests go out once the own vote is on disk.
func (n *Node) startVote() {
	n.role = Candidate
	n.leader = ""
	n.term++
	n.votedFor = n.id
	n.votes = map[string]bool{n.id: true}
	n.resetDeadline()
	batch := Persist{HardState: n.hardState()}
	n.askForVotes(wirepb.ConsensusKind_CONSENSUS_VOTE, n.term, func(m *wirepb.Consensus) {
		m.From = n.id
		batch.Messages = append(batch.Messages, m)
	})
	n.persist(batch)
	if len(n.votes) >= n.quorum() {
		n.becomeLeader()
	}
}

func (n *Node) askForVotes(kind wirepb.ConsensusKind, term uint64, send func(*wirepb.Consensus)) {
	for _, member := range n.members {
		if member == n.id {
			continue
		}
		send(&wirepb.Consensus{
			Kind: kind, To: member, Term: term, LogIndex: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
}

// upToDate reports whether the log of the candidate in m holds all that this replica's may have committed.
func (n *Node) upToDate(m *wirepb.Consensus) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.LogIndex >= n.log.lastIndex()
}

func (n *Node) stepPreVote(m *wirepb.Consensus) {
	if !n.isMember(n.id) || n.heardLeaderLately() {
		return
	}
	granted := m.Term > n.term && n.upToDate(m)
	term := m.Term
	if granted {
		n.yieldTo(m.From)
	} else {
		term = n.term
	}
	n.send(&wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_PRE_VOTE_REPLY, To: m.From, Term: term, Reject: !granted,
	})
}

// yieldTo leaves the election to a candidate that comes earlier in the order, so that votes do not split.
func (n *Node) yieldTo(candidate string) {
	if slices.Index(n.members, candidate) < slices.Index(n.members, n.id) {
		n.deadline = max(n.deadline, n.now+voteTimeout)
		if n.role == PreCandidate {
			n.role = Follower
		}
	}
}

func (n *Node) stepPreVoteReply(m *wirepb.Consensus) {
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, "")
		}
		return
	}
	if n.role != PreCandidate || m.Term != n.term+1 || !n.isMember(m.From) {
		return
	}
	n.votes[m.From] = true
	if len(n.votes) >= n.quorum() {
		n.startVote()
	}
}

func (n *Node) stepVote(m *wirepb.Consensus) {
	if m.Term < n.term || !n.isMember(n.id) {
		return
	}
	free := n.votedFor == "" || n.votedFor == m.From
	granted := free && n.upToDate(m) && n.role != Leader
	reply := &wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_VOTE_REPLY, From: n.id, To: m.From, Term: n.term, Reject: !granted,
	}
	if !granted {
		n.send(reply)
		return
	}
	n.votedFor = m.From
	n.resetDeadline()
	n.persist(Persist{HardState: n.hardState(), Messages: []*wirepb.Consensus{reply}})
}

func (n *Node) stepVoteReply(m *wirepb.Consensus) {
	if n.role != Candidate || m.Term != n.term || m.Reject || !n.isMember(m.From) {
		return
	}
	n.votes[m.From] = true
	if len(n.votes) >= n.quorum() {
		n.becomeLeader()
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.everLed = true
	n.peers = map[string]*peer{}
	for _, member := range n.members {
		n.addPeer(member)
	}
	n.termStart = n.appendEntry(wirepb.EntryKind_ENTRY_NOOP, nil)
	n.startRound()
}
