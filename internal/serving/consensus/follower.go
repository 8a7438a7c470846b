package consensus

import "willowdeck/internal/serving/wirepb"

// acceptLeader records a message from the leader of the current term, and follows that leader.
func (n *Node) acceptLeader(m *wirepb.Consensus) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.leaderContact.observe(n.now, m.From, m.Term, m.HeartbeatRound)
	n.leaderSeen = true
	n.heartbeatRound = m.HeartbeatRound
	n.shutdown.observeLeader(m.SuccessorKnown)
	n.resetElectionDeadline()
}

// handleAppend appends the leader's entries if the log matches at the entry before them, and advances the
// commit index.
func (n *Node) handleAppend(m *wirepb.Consensus) {
	if m.Term < n.term {
		n.rejectStaleTerm(m.From)
		return
	}
	n.acceptLeader(m)
	if m.LogIndex < n.commitIndex {
		n.skipCommitted(m)
	}
	if term, ok := n.log.term(m.LogIndex); !ok || term != m.LogTerm {
		n.sendAppendRejection(m)
		return
	}
	n.appendEntries(m.Entries)
	last := m.LogIndex + uint64(len(m.Entries))
	n.matchIndex = max(n.matchIndex, last)
	n.commitTo(min(m.CommitIndex, n.matchIndex))
	if m.Established && n.commitIndex >= m.CommitIndex {
		n.hasCaughtUp = true
		n.lastInSyncAt = n.leaderContact.lastContact
	}
	n.sendAppendReply(m.From, m.HeartbeatRound)
}

// rejectStaleTerm replies to the leader of an earlier term with the current term, so that it steps down.
func (n *Node) rejectStaleTerm(to string) {
	n.send(&wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_APPEND_REPLY, To: to, Term: n.term, Reject: true,
	})
}

// skipCommitted removes the entries from m that are already committed on this replica.
func (n *Node) skipCommitted(m *wirepb.Consensus) {
	for len(m.Entries) > 0 && m.LogIndex < n.commitIndex {
		m.LogIndex = m.Entries[0].Index
		m.LogTerm = m.Entries[0].Term
		m.Entries = m.Entries[1:]
	}
	if m.LogIndex < n.commitIndex {
		m.LogIndex = n.commitIndex
		m.LogTerm, _ = n.log.term(n.commitIndex)
	}
}

// sendAppendRejection reports to the leader that the logs do not match at the entry that precedes those of m,
// with a hint at which index they may match.
func (n *Node) sendAppendRejection(m *wirepb.Consensus) {
	hint := min(m.LogIndex, n.log.lastIndex()+1)
	if hint > 0 {
		hint--
	}
	n.send(&wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_APPEND_REPLY, To: m.From, Term: n.term, Reject: true,
		LogIndex: max(
			hint,
			n.commitIndex,
		), RejectedIndex: m.LogIndex, HeartbeatRound: m.HeartbeatRound, ShuttingDown: n.shutdown.requested,
		ShuttingDownMs: n.shutdown.elapsedMillis(n.now),
	})
}

// appendEntries appends the entries that the log lacks, after truncating it where it conflicts with them.
func (n *Node) appendEntries(entries []*wirepb.Entry) {
	for i, entry := range entries {
		term, exists := n.log.term(entry.Index)
		if exists && term == entry.Term {
			continue
		}
		if exists {
			n.log.truncate(entry.Index)
			n.durableIndex = min(n.durableIndex, entry.Index-1)
		}
		n.log.append(entries[i:]...)
		if exists {
			n.enqueueReplacingWrite(WriteBatch{Entries: entries[i:]})
		} else {
			n.enqueueWrite(WriteBatch{Entries: entries[i:]})
		}
		n.membership, n.membershipIndex = n.log.membership()
		return
	}
}

// sendAppendReply reports to the leader the index up to which this replica's log matches the leader's, and
// the index up to which that part is durable. Entries beyond matchIndex may conflict with the leader's, and
// do not count.
func (n *Node) sendAppendReply(leader string, round uint64) {
	n.send(&wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_APPEND_REPLY, To: leader, Term: n.term,
		LogIndex: min(n.durableIndex, n.matchIndex), ReceivedIndex: n.matchIndex, HeartbeatRound: round,
		ShuttingDown: n.shutdown.requested, ShuttingDownMs: n.shutdown.elapsedMillis(n.now),
	})
}
