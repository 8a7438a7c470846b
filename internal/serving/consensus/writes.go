package consensus

import (
	"time"

	"willowdeck/internal/serving/wirepb"
)

// Persisted reports that a batch of Ready.Writes is durable. Batches have to be reported in the order of
// their making. A batch that a later one replaces in part is no evidence of what the disk will store, even if
// the log has the same entry again.
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

// diskStalled reports whether the oldest pending write has taken too long for this replica to campaign.
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

// hardState returns the present hard state.
func (n *Node) hardState() *wirepb.HardState {
	return &wirepb.HardState{Term: n.term, VotedFor: n.votedFor, CommitIndex: n.commitIndex}
}
