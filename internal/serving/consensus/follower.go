package consensus

import "willowdeck/internal/serving/wirepb"

// followLeader notes that the acting replica of the present term has spoken.
func (n *Node) followLeader(m *wirepb.Consensus) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.leaderHeard = n.now
	n.everHeard = true
	n.everLed = true
	n.round = m.Round
	n.resetDeadline()
}

func (n *Node) stepAppend(m *wirepb.Consensus) {
	if m.Term < n.term {
		n.send(&wirepb.Consensus{
			Kind: wirepb.ConsensusKind_CONSENSUS_APPEND_REPLY, To: m.From, Term: n.term, Reject: true,
		})
		return
	}
	n.followLeader(m)
	if m.LogIndex < n.commit {
		n.skipKnown(m)
	}
	if term, ok := n.log.term(m.LogIndex); !ok || term != m.LogTerm {
		n.rejectAppend(m)
		return
	}
	n.takeEntries(m.Entries)
	last := m.LogIndex + uint64(len(m.Entries))
	n.matched = max(n.matched, last)
	n.setCommit(min(m.Commit, last))
	n.replyAppend(m.From, m.Round)
}

// skipKnown leaves out of m the entries that are committed here already.
func (n *Node) skipKnown(m *wirepb.Consensus) {
	for len(m.Entries) > 0 && m.LogIndex < n.commit {
		m.LogIndex = m.Entries[0].Index
		m.LogTerm = m.Entries[0].Term
		m.Entries = m.Entries[1:]
	}
	if m.LogIndex < n.commit {
		m.LogIndex = n.commit
		m.LogTerm, _ = n.log.term(n.commit)
	}
}

func (n *Node) rejectAppend(m *wirepb.Consensus) {
	hint := min(m.LogIndex, n.log.lastIndex()+1)
	if hint > 0 {
		hint--
	}
	n.send(&wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_APPEND_REPLY, To: m.From, Term: n.term, Reject: true,
		LogIndex: max(hint, n.commit), Round: m.Round,
	})
}

// takeEntries appends what is new, after dropping what contradicts it.
func (n *Node) takeEntries(entries []*wirepb.Entry) {
	for i, entry := range entries {
		if term, ok := n.log.term(entry.Index); ok {
			if term == entry.Term {
				continue
			}
			n.log.truncate(entry.Index)
			n.durable = min(n.durable, entry.Index-1)
		}
		n.log.append(entries[i:]...)
		n.persist(Persist{Entries: entries[i:]})
		break
	}
	n.members, n.membersIndex = n.log.membership()
}

// replyAppend tells the acting replica what is on this disk. Entries that contradict the acting replica's
// are never among it: they were dropped when its first message after them was taken.
func (n *Node) replyAppend(leader string, round uint64) {
	n.send(&wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_APPEND_REPLY, To: leader, Term: n.term,
		LogIndex: min(n.durable, n.matched), Round: round,
	})
}

func (n *Node) stepSnapshot(m *wirepb.Consensus) {
	if m.Term < n.term {
		return
	}
	n.followLeader(m)
	if m.Snapshot.Index <= n.commit {
		n.matched = max(n.matched, n.commit)
		n.replyAppend(m.From, m.Round)
		return
	}
	if term, ok := n.log.term(m.Snapshot.Index); ok && term == m.Snapshot.Term {
		// A late snapshot: the log goes on behind it, and what was acknowledged there has to stay.
		n.matched = max(n.matched, m.Snapshot.Index)
		n.setCommit(m.Snapshot.Index)
		n.replyAppend(m.From, m.Round)
		return
	}
	n.log.snapshot = m.Snapshot
	n.log.entries = nil
	n.commit = m.Snapshot.Index
	n.applied = m.Snapshot.Index
	n.durable = 0
	n.matched = m.Snapshot.Index
	n.members, n.membersIndex = n.log.membership()
	n.output.Committed = nil
	n.output.Restore = m.Snapshot
	n.persist(Persist{HardState: n.hardState(), Snapshot: m.Snapshot})
}
