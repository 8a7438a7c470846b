package consensus

import (
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	maxAppendBytes          = 64 << 10  // of entries in one message
	maxInFlightBytes        = 192 << 10 // of entries whose receipt is not yet confirmed
	defaultRetainedLogBytes = 1 << 20   // of entries that a snapshot covers, for replicas a little behind
	retransmitTimeout       = 600 * time.Millisecond
)

// peer is what the leader knows of another replica. It is first asked where its log agrees with the leader's;
// then entries are streamed to it, a bounded part of them on their way at a time.
type progress struct {
	matchIndex       uint64        // on its disk
	receivedIndex    uint64        // known to be in its log
	nextIndex        uint64        // to be sent
	replicating      bool          // its log agrees with the leader's up to received
	lastProgressAt   time.Duration // when received last grew, or entries were sent again
	lastContact      time.Duration // when the newest round that it has answered began
	ackedRound       uint64        // that round
	shuttingDown     bool          // it stops as soon as its seat is taken over
	shutdownAt       time.Duration // when it was told to stop
	snapshotTransfer *outgoingSnapshot
}

// addPeer begins to follow another replica's progress.
func (n *Node) trackProgress(id string) {
	if id == n.id || n.progress[id] != nil {
		return
	}
	n.progress[id] = &progress{nextIndex: n.log.lastIndex() + 1, lastContact: n.lastContact(id), lastProgressAt: n.now}
}

func (n *Node) tickLeader() {
	if !n.quorumActive() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.now >= n.nextHeartbeatAt {
		n.broadcastHeartbeat()
	}
	n.commitSamples.observe(n.now, n.commitIndex)
	n.changeMembership()
	n.transferLeadership()
}

// quorumHeard reports whether a quorum has answered a round that began lately.
func (n *Node) quorumActive() bool {
	return n.membership.hasQuorum(func(id string) bool { return n.respondedWithin(id, quorumTimeout) })
}

// heardWithin reports whether a replica, this one included, has answered within a time.
func (n *Node) respondedWithin(id string, duration time.Duration) bool {
	return id == n.id || n.progress[id] != nil && n.now-n.progress[id].lastContact < duration
}

// startRound sends a heartbeat, with whatever is missing, to everyone. Rounds are numbered by the leader's
// clock, so that an answer says how old it is.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatRound = max(n.heartbeatRound+1, uint64(n.now/time.Microsecond))
	n.nextHeartbeatAt = n.now + HeartbeatInterval
	for _, id := range n.trackedReplicas() {
		n.sendAppend(id, true)
	}
}

// broadcast sends what is missing to everyone.
func (n *Node) broadcastAppend() {
	for _, id := range n.trackedReplicas() {
		n.sendAppend(id, false)
	}
	n.advanceCommit()
}

// sortedPeers keeps the order of messages the same in each replay.
func (n *Node) trackedReplicas() []string {
	ids := make([]string, 0, len(n.progress))
	for id := range n.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) appendEntry(kind wirepb.EntryKind, data []byte) uint64 {
	entry := &wirepb.Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(entry)
	n.enqueueWrite(WriteBatch{Entries: []*wirepb.Entry{entry}})
	return entry.Index
}

// sendAppend sends a replica what it lacks. A heartbeat goes out even where there is nothing to send.
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

// streamEntries sends entries for as long as few are on their way, and returns how many messages went out. A
// replica that does not answer may hear: it gets one message now and then.
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

func (n *Node) sendToUnresponsive(id string, p *progress) int {
	entries := n.log.entriesFrom(p.receivedIndex+1, maxAppendBytes)
	if len(entries) == 0 || n.now-p.lastProgressAt < retransmitTimeout {
		return 0
	}
	p.lastProgressAt = n.now
	n.sendEntries(id, p.receivedIndex, entries)
	return 1
}

func (n *Node) sendEntries(id string, previous uint64, entries []*wirepb.Entry) {
	m := &wirepb.Consensus{
		Kind: wirepb.ConsensusKind_CONSENSUS_APPEND, To: id, Term: n.term, Round: n.heartbeatRound,
		LogIndex: previous, Entries: entries, Commit: n.commitIndex, Acting: n.IsEstablishedLeader(),
		Successor: n.reportsSuccessor(id),
	}
	m.LogTerm, _ = n.log.term(previous)
	n.send(m)
}

func (n *Node) handleAppendReply(m *wirepb.Consensus) {
	p := n.progress[m.From]
	if n.role != Leader || m.Term != n.term || p == nil {
		return
	}
	wasInactive := !n.recentlyActive(m.From)
	n.recordResponse(p, m.Round)
	p.shuttingDown = m.Leaving
	p.shutdownAt = n.now - time.Duration(m.LeavingMs)*time.Millisecond
	n.confirmReads()
	if m.Reject {
		if p.handleRejection(m) {
			n.sendAppend(m.From, true)
		}
		return
	}
	p.updateReceived(n.now, m.Received)
	if wasInactive && p.replicating {
		p.nextIndex = p.receivedIndex + 1 // what was on its way is lost
	}
	if m.LogIndex > p.matchIndex {
		p.matchIndex = m.LogIndex
		n.advanceCommit()
	}
	if n.role == Leader && n.progress[m.From] != nil {
		n.sendAppend(m.From, false)
	}
}

// seekAgreement goes back to where the logs may agree. It returns false for the answer to a message that is
// not the last one of its kind.
func (p *progress) handleRejection(m *wirepb.Consensus) bool {
	if m.Rejected < p.matchIndex || !p.replicating && m.Rejected != p.nextIndex-1 {
		return false
	}
	p.replicating = false
	p.receivedIndex = p.matchIndex
	p.nextIndex = max(min(m.Rejected, m.LogIndex+1), p.matchIndex+1)
	return true
}

// noteReceived takes up how far a replica's log agrees with the leader's.
func (p *progress) updateReceived(now time.Duration, received uint64) {
	if !p.replicating {
		if received+1 < p.nextIndex {
			return // not the answer to what it was asked
		}
		p.replicating = true
		p.receivedIndex = received
		p.nextIndex = received + 1
		p.lastProgressAt = now
		return
	}
	if received > p.receivedIndex {
		p.receivedIndex = received
		p.lastProgressAt = now
	}
	p.nextIndex = max(p.nextIndex, p.receivedIndex+1)
}

// heardFrom notes that a replica has answered a round.
func (n *Node) recordResponse(p *progress, round uint64) {
	p.ackedRound = max(p.ackedRound, round)
	p.lastContact = max(p.lastContact, time.Duration(round)*time.Microsecond)
}

// advanceCommit commits what a quorum has on disk, if it is of this term (Ongaro and Ousterhout, section
// 5.4.2).
func (n *Node) advanceCommit() {
	candidate := n.membership.quorumIndex(func(id string) uint64 {
		switch {
		case id == n.id:
			return n.durableIndex
		case n.progress[id] != nil:
			return n.progress[id].matchIndex
		}
		return 0
	})
	if candidate <= n.commitIndex {
		return
	}
	if term, ok := n.log.term(candidate); !ok || term != n.term {
		return
	}
	n.commitTo(candidate)
	n.hasCaughtUp = n.hasCaughtUp || n.IsEstablishedLeader()
	if !n.membership.contains(n.id) && n.commitIndex >= n.membershipIndex {
		n.becomeFollower(n.term, "")
		return
	}
	for _, id := range n.trackedReplicas() {
		n.sendAppend(id, true) // followers apply soon
	}
}

func (n *Node) confirmReads() {
	n.pendingReads = slices.DeleteFunc(n.pendingReads, func(read pendingRead) bool {
		confirmed := n.membership.hasQuorum(func(id string) bool {
			return id == n.id || n.progress[id] != nil && n.progress[id].ackedRound >= read.round
		})
		if confirmed {
			n.ready.ReadStates = append(n.ready.ReadStates, ReadState{RequestID: read.requestID, Index: read.index})
		}
		return confirmed
	})
}
