package consensus

import (
	"time"

	"willowdeck/internal/serving/wirepb"
)

// A snapshot is sent in chunks with a bounded number in flight, so that heartbeats and calls on the same
// link are hardly delayed. The receiver keeps the chunks that have arrived when others are lost or the link
// fails. The leader sends a snapshot to one replica at a time.
const (
	defaultSnapshotChunkBytes = 32 << 10
	maxChunksInFlight         = 6
	// chunkRetransmitTimeout is the time without progress after which unacknowledged chunks are sent again.
	chunkRetransmitTimeout = 600 * time.Millisecond
	// transferStallTimeout is the time without progress after which a transfer to another replica may begin.
	transferStallTimeout = time.Second
	// maxSnapshotBytes is the size above which a snapshot counts as corrupt and its chunks are discarded.
	maxSnapshotBytes = 256 << 20
)

// outgoingSnapshot is the transfer of a snapshot to another replica.
type outgoingSnapshot struct {
	snapshot       *wirepb.Snapshot
	ackedBytes     uint64        // bytes that the replica has acknowledged
	sentBytes      uint64        // bytes that were sent; a retransmission begins again at ackedBytes
	started        bool          // a chunk was sent since the transfer or the retransmission began
	retransmitAt   time.Duration // when unacknowledged chunks are sent again unless acknowledgements arrive
	lastProgressAt time.Duration // when ackedBytes last increased
}

// incomingSnapshot is the part of a snapshot that has arrived.
type incomingSnapshot struct {
	leader      string
	index, term uint64
	data        []byte
}

// sendSnapshotChunks sends the next chunks of the snapshot to a replica that lacks entries that the log no
// longer has.
func (n *Node) sendSnapshotChunks(id string, p *progress) {
	if p.snapshotTransfer != nil && p.matchIndex >= p.snapshotTransfer.snapshot.Index {
		p.snapshotTransfer = nil // the replica has this snapshot; the log has been compacted since
	}
	if !n.recentlyActive(id) || p.snapshotTransfer == nil && n.snapshotTransferActive() {
		return
	}
	if p.snapshotTransfer == nil {
		p.snapshotTransfer = &outgoingSnapshot{snapshot: n.log.snapshot, lastProgressAt: n.now}
	}
	transfer := p.snapshotTransfer
	size := uint64(len(transfer.snapshot.Data))
	if n.now >= transfer.retransmitAt {
		transfer.sentBytes, transfer.started = transfer.ackedBytes, false
		transfer.retransmitAt = n.now + chunkRetransmitTimeout
	}
	window := maxChunksInFlight * uint64(n.options.SnapshotChunkBytes)
	for !transfer.started || transfer.sentBytes < size && transfer.sentBytes-transfer.ackedBytes < window {
		transfer.started = true
		n.sendSnapshotChunk(id, transfer, size)
	}
}

// sendSnapshotChunk sends the chunk that begins at transfer.sentBytes.
func (n *Node) sendSnapshotChunk(id string, transfer *outgoingSnapshot, size uint64) {
	end := min(transfer.sentBytes+uint64(n.options.SnapshotChunkBytes), size)
	n.send(&wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_SNAPSHOT_CHUNK, To: id, Term: n.term, HeartbeatRound: n.heartbeatRound,
		SuccessorKnown: n.reportsSuccessor(id),
		SnapshotChunk: &wirepb.SnapshotChunk{
			Index: transfer.snapshot.Index, Term: transfer.snapshot.Term, Membership: transfer.snapshot.Membership,
			Size: size, Offset: transfer.sentBytes, Data: transfer.snapshot.Data[transfer.sentBytes:end],
		},
	})
	transfer.sentBytes = end
}

// snapshotTransferActive reports whether a transfer to any replica has made progress within
// transferStallTimeout.
func (n *Node) snapshotTransferActive() bool {
	for _, p := range n.progress {
		if p.snapshotTransfer != nil && n.now-p.snapshotTransfer.lastProgressAt < transferStallTimeout {
			return true
		}
	}
	return false
}

// handleSnapshotReply records the acknowledged bytes and sends the next chunks.
func (n *Node) handleSnapshotReply(m *wirepb.Consensus) {
	p := n.progress[m.From]
	if n.role != Leader || m.Term != n.term || p == nil {
		return
	}
	n.recordResponse(p, m.HeartbeatRound)
	transfer := p.snapshotTransfer
	if transfer == nil || transfer.snapshot.Index != m.LogIndex || transfer.snapshot.Term != m.LogTerm {
		return
	}
	if m.SnapshotOffset > transfer.ackedBytes && m.SnapshotOffset <= uint64(len(transfer.snapshot.Data)) {
		transfer.ackedBytes = m.SnapshotOffset
		transfer.sentBytes = max(transfer.sentBytes, transfer.ackedBytes)
		transfer.lastProgressAt = n.now
		transfer.retransmitAt = n.now + chunkRetransmitTimeout
	}
	n.sendSnapshotChunks(m.From, p)
}

// handleSnapshotChunk stores a chunk, and installs the snapshot once it is complete.
func (n *Node) handleSnapshotChunk(m *wirepb.Consensus) {
	if m.Term < n.term {
		n.rejectStaleTerm(m.From)
		return
	}
	n.acceptLeader(m)
	chunk := m.SnapshotChunk
	if n.logCoversSnapshot(chunk) {
		n.incomingSnapshot = nil
		n.matchIndex = max(n.matchIndex, chunk.Index)
		n.commitTo(chunk.Index)
		n.sendAppendReply(m.From, m.HeartbeatRound)
		return
	}
	n.appendSnapshotChunk(m.From, chunk)
	n.send(&wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_SNAPSHOT_REPLY, To: m.From, Term: n.term,
		HeartbeatRound: m.HeartbeatRound,
		LogIndex:       chunk.Index, LogTerm: chunk.Term, SnapshotOffset: uint64(len(n.incomingSnapshot.data)),
	})
	if uint64(len(n.incomingSnapshot.data)) == chunk.Size {
		n.installSnapshot(&wirepb.Snapshot{
			Index: chunk.Index, Term: chunk.Term, Membership: chunk.Membership, Data: n.incomingSnapshot.data,
		})
	}
}

// logCoversSnapshot reports whether the log has all entries that a snapshot covers. Such a snapshot is
// late, and must not replace the log, which may have later entries that this replica has acknowledged.
func (n *Node) logCoversSnapshot(chunk *wirepb.SnapshotChunk) bool {
	term, exists := n.log.term(chunk.Index)
	return chunk.Index <= n.commitIndex || exists && term == chunk.Term
}

// appendSnapshotChunk appends a chunk if it follows the chunks of the same snapshot that have arrived.
func (n *Node) appendSnapshotChunk(leader string, chunk *wirepb.SnapshotChunk) {
	incoming := n.incomingSnapshot
	if incoming == nil || incoming.leader != leader || incoming.index != chunk.Index ||
		incoming.term != chunk.Term {
		incoming = &incomingSnapshot{leader: leader, index: chunk.Index, term: chunk.Term}
		n.incomingSnapshot = incoming
	}
	if chunk.Offset == uint64(len(incoming.data)) && chunk.Size <= maxSnapshotBytes {
		incoming.data = append(incoming.data, chunk.Data...)
	}
}

// installSnapshot replaces the log and the applied state by a snapshot.
func (n *Node) installSnapshot(snapshot *wirepb.Snapshot) {
	n.incomingSnapshot = nil
	n.log.reset(snapshot)
	n.commitIndex = snapshot.Index
	n.appliedIndex = snapshot.Index
	n.durableIndex = 0
	n.matchIndex = snapshot.Index
	n.membership, n.membershipIndex = n.log.membership()
	n.ready.CommittedEntries = nil
	n.ready.Snapshot = snapshot
	n.enqueueReplacingWrite(WriteBatch{HardState: n.hardState(), Snapshot: snapshot})
}
