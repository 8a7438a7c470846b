package consensus

import (
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	// maxAppendBytes is the maximum size of the entries in one message, unless a single entry is larger.
	maxAppendBytes = 64 << 10
	// maxInFlightBytes is the size of the sent and unacknowledged entries from which on no more are sent.
	maxInFlightBytes = 192 << 10
	// retransmitTimeout is the time without progress after which entries are sent again.
	retransmitTimeout = 600 * time.Millisecond
)

// broadcastAppend sends each tracked replica the entries that it lacks, and advances the commit index.
func (n *Node) broadcastAppend() {
	for _, id := range n.trackedReplicas() {
		n.sendAppend(id, false)
	}
	n.advanceCommit()
}

// appendEntry appends an entry to the leader's log and returns its index.
func (n *Node) appendEntry(kind wirepb.EntryKind, data []byte) uint64 {
	entry := &wirepb.Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(entry)
	n.enqueueWrite(WriteBatch{Entries: []*wirepb.Entry{entry}})
	return entry.Index
}

// sendAppend sends a replica the entries, or chunks of the snapshot, that it lacks. If heartbeat is true and
// there are no entries to send, it sends a message without entries.
func (n *Node) sendAppend(id string, heartbeat bool) {
	p := n.progress[id]
	if _, available := n.log.term(p.nextIndex - 1); !available {
		n.sendSnapshotChunks(id, p)
		if heartbeat {
			n.sendEntries(id, 0, nil)
		}
		return
	}
	p.snapshotTransfer = nil
	if !p.replicating {
		if heartbeat {
			n.sendEntries(id, p.nextIndex-1, nil)
		}
		return
	}
	if n.replicateEntries(id, p) == 0 && heartbeat {
		n.sendEntries(id, min(p.receivedIndex, p.nextIndex-1), nil)
	}
}

// replicateEntries sends entries until maxInFlightBytes are in flight, and returns the number of messages
// sent. A replica that does not respond may still receive messages; see sendToUnresponsive.
func (n *Node) replicateEntries(id string, p *progress) int {
	if !n.recentlyActive(id) {
		return n.sendToUnresponsive(id, p)
	}
	if p.nextIndex-1 > p.receivedIndex && n.now-p.lastProgressAt > retransmitTimeout {
		p.nextIndex = p.receivedIndex + 1
		p.lastProgressAt = n.now
	}
	sent := 0
	for n.log.sizeBetween(p.receivedIndex, p.nextIndex-1) < maxInFlightBytes {
		entries := n.log.entriesFrom(p.nextIndex, maxAppendBytes)
		if len(entries) == 0 {
			break
		}
		if p.nextIndex == p.receivedIndex+1 {
			p.lastProgressAt = n.now
		}
		n.sendEntries(id, p.nextIndex-1, entries)
		p.nextIndex += uint64(len(entries))
		sent++
	}
	return sent
}

// sendToUnresponsive sends one message with entries to a replica that does not respond, at most once per
// retransmitTimeout. It returns the number of messages sent.
func (n *Node) sendToUnresponsive(id string, p *progress) int {
	entries := n.log.entriesFrom(p.receivedIndex+1, maxAppendBytes)
	if len(entries) == 0 || n.now-p.lastProgressAt < retransmitTimeout {
		return 0
	}
	p.lastProgressAt = n.now
	n.sendEntries(id, p.receivedIndex, entries)
	return 1
}

// sendEntries sends the entries that follow the index previous. Without entries the message is a heartbeat.
func (n *Node) sendEntries(id string, previous uint64, entries []*wirepb.Entry) {
	m := &wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_APPEND, To: id, Term: n.term, HeartbeatRound: n.heartbeatRound,
		LogIndex: previous, Entries: entries, CommitIndex: n.commitIndex, Established: n.IsEstablishedLeader(),
		SuccessorKnown: n.reportsSuccessor(id),
	}
	m.LogTerm, _ = n.log.term(previous)
	n.send(m)
}

// handleAppendReply updates a replica's progress, advances the commit index, and sends the replica the
// entries that it lacks.
func (n *Node) handleAppendReply(m *wirepb.Consensus) {
	p := n.progress[m.From]
	if n.role != Leader || m.Term != n.term || p == nil {
		return
	}
	wasInactive := !n.recentlyActive(m.From)
	n.recordResponse(p, m.HeartbeatRound)
	p.shuttingDown = m.ShuttingDown
	p.shutdownAt = n.now - time.Duration(m.ShuttingDownMs)*time.Millisecond
	n.confirmReads()
	if m.Reject {
		if p.handleRejection(m) {
			n.sendAppend(m.From, true)
		}
		return
	}
	p.updateReceived(n.now, m.ReceivedIndex)
	if wasInactive && p.replicating {
		p.nextIndex = p.receivedIndex + 1 // the entries in flight are considered lost
	}
	if m.LogIndex > p.matchIndex {
		p.matchIndex = m.LogIndex
		n.advanceCommit()
	}
	if n.role == Leader && n.progress[m.From] != nil {
		n.sendAppend(m.From, false)
	}
}
