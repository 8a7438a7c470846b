package consensus

import (
	"time"

	"willowdeck/internal/serving/wirepb"
)

// Persisted reports that a batch of Ready.Writes is durable. Batches have to be reported in the order in
// which Ready returned them. A batch does not advance the durable index if a later batch replaces entries:
// the later one is still to be written over it, even if the log has the same entry again by now.
func (n *Node) Persisted(now time.Duration, batch WriteBatch) {
	n.now = now
	n.pendingWrites--
	n.writesPendingSince = now
	if batch.sequence < n.lastReplacingWrite {
		return
	}
	index, term := lastEntryOf(batch)
	if loggedTerm, ok := n.log.term(index); !ok || loggedTerm != term || index <= n.durableIndex {
		return
	}
	n.durableIndex = index
	if n.role == Leader {
		n.advanceCommit()
		return
	}
	if n.leader != "" {
		n.sendAppendReply(n.leader, n.heartbeatRound)
	}
}

// diskStalled reports whether the oldest pending write has taken longer than slowDiskThreshold. Such a
// replica does not campaign.
func (n *Node) diskStalled() bool {
	return n.pendingWrites > 0 && n.now-n.writesPendingSince > slowDiskThreshold
}

// enqueueWrite adds a batch to the pending writes.
func (n *Node) enqueueWrite(batch WriteBatch) {
	if n.pendingWrites == 0 {
		n.writesPendingSince = n.now
	}
	n.pendingWrites++
	n.lastWriteSequence++
	batch.sequence = n.lastWriteSequence
	n.ready.Writes = append(n.ready.Writes, batch)
}

// enqueueReplacingWrite adds a batch that replaces entries of earlier batches.
func (n *Node) enqueueReplacingWrite(batch WriteBatch) {
	n.enqueueWrite(batch)
	n.lastReplacingWrite = n.lastWriteSequence
}

// hardState returns the current hard state.
func (n *Node) hardState() *wirepb.HardState {
	return &wirepb.HardState{Term: n.term, VotedFor: n.votedFor, CommitIndex: n.commitIndex}
}
