package raftlog

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// pendingRead is a confirmed read that waits for entries to be applied.
type pendingRead struct {
	index       uint64  // to be applied first
	startMillis float64 // when the read was requested, of BootClockMillis
}

// run takes part in the log until the session fails or ends.
func (s *session) run() (err error) {
	if s.rawNode, err = s.newRawNode(); err != nil {
		return err
	}
	ticker := time.NewTicker(s.node.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return nil
		case call := <-s.node.calls:
			call(s)
		case batch := <-s.node.inbound:
			s.stepMessages(batch)
		case result := <-s.results:
			s.finishWrites(result)
		case <-ticker.C:
			s.rawNode.Tick()
			if err := s.runPeriodicTasks(time.Now()); err != nil {
				return err
			}
		}
		s.stepQueuedBatches()
		if s.failure != nil {
			return s.failure
		}
		if err := s.processUpdates(); err != nil {
			return err
		}
	}
}

// stepQueuedBatches steps the batches that are queued already, so that one write covers them all.
func (s *session) stepQueuedBatches() {
	for range maxInboundBatches {
		if s.failure != nil {
			return
		}
		select {
		case batch := <-s.node.inbound:
			s.stepMessages(batch)
		default:
			return
		}
	}
}

// stepMessages passes a batch of messages from a peer to raft.
func (s *session) stepMessages(batch inboundBatch) {
	if batch.groupID != s.store.groupID() {
		if !s.store.isBlank() {
			return // the store has joined another group since the batch was accepted
		}
		s.store.setGroupID(batch.groupID) // written with the first update
	}
	s.store.recordPeerSeq(batch.fromDiskID, batch.writeSeq)
	for _, message := range batch.messages {
		if raft.IsLocalMsg(message.Type) {
			s.node.rejections.add(reasonMalformed,
				fmt.Sprintf("%s sends a %s, which is a local message", s.members[message.From], message.Type))
			continue
		}
		_ = s.rawNode.Step(message) // raft drops what it can't use, and its sender repeats what is needed
	}
}

// processUpdates writes, sends and applies what raft has ready, and carries out what the state machine
// requests. It does so at most twice: on a slow disk a state machine that repeats its requests would else
// keep the goroutine from the inbound messages.
func (s *session) processUpdates() error {
	for range 2 {
		if err := s.drainReady(); err != nil {
			return err
		}
		s.publish()
		status := s.rawNode.BasicStatus()
		s.observeLeader(status)
		s.updateState(status)
		requests := s.node.stateMachine.Poll(GroupState{
			Now:        time.Now(),
			IsLeader:   status.RaftState == raft.StateLeader,
			Term:       status.Term,
			LeaderName: s.members[status.Lead],
			IsVoter:    slices.Contains(s.confState.Voters, s.store.diskID()),
		})
		if status.Lead != 0 && (requests.ReadIndex || s.readDue) {
			s.requestRead()
		}
		for _, data := range requests.Proposals {
			s.propose(data)
		}
		if !s.rawNode.HasReady() {
			return nil
		}
	}
	return s.drainReady()
}

// observeLeader logs a change of the leader, and has the reads repeated that the last one did not confirm.
func (s *session) observeLeader(status raft.BasicStatus) {
	if status.Lead == s.leaderID {
		return
	}
	s.leaderID = status.Lead
	s.node.log.Info().Str("leader", s.members[status.Lead]).Uint64("term", status.Term).
		Msg("raft group: leader changed")
	s.readDue = true
}

// updateState sets the node's state after an update.
func (s *session) updateState(status raft.BasicStatus) {
	switch {
	case s.store.isBlank():
		s.node.setState(StateJoining, errBlankStore)
	case status.Lead == 0:
		s.node.setState(StateNoLeader, errNoMajority)
	default:
		s.node.setState(StateMember, nil)
	}
}

// drainReady handles all that raft has ready.
func (s *session) drainReady() error {
	for s.rawNode.HasReady() {
		if err := s.handleReady(); err != nil {
			return err
		}
		if s.failure != nil {
			return s.failure
		}
	}
	return nil
}

// handleReady handles one of raft's updates. What has to outlive a crash is written by the storeWriter;
// the messages that depend on it go out once it is durable (finishWrites).
func (s *session) handleReady() error {
	ready := s.rawNode.Ready()
	var toPeers []raftpb.Message
	for _, message := range ready.Messages {
		switch message.To {
		case raft.LocalAppendThread:
			s.enqueueAppend(message)
		case raft.LocalApplyThread:
			if err := s.applyCommitted(message); err != nil {
				return err
			}
		default:
			toPeers = append(toPeers, message)
		}
	}
	s.publish()
	s.sendMessages(toPeers)
	s.confirmReads(ready.ReadStates)
	return s.compactIfDue()
}

// enqueueAppend has the writer write what an append message holds, and then has its responses delivered.
func (s *session) enqueueAppend(message raftpb.Message) {
	update := &storeUpdate{
		hardState: raftpb.HardState{Term: message.Term, Vote: message.Vote, Commit: message.Commit},
		entries:   message.Entries,
	}
	if message.Snapshot != nil {
		update.snapshot = *message.Snapshot
		s.lastIndex = update.snapshot.Metadata.Index
	}
	if count := len(update.entries); count > 0 {
		s.lastIndex = update.entries[count-1].Index
	}
	s.writer.enqueue(storeTask{update: update, done: func(s *session) {
		s.finishAppend(update,
			message.Responses)
	}})
}

// finishWrites takes note of writes that are durable. After an error the session ends.
func (s *session) finishWrites(result storeResult) {
	s.node.writeSeq.Store(s.store.writeSeq.Load()) // before a message that depends on the write
	for _, task := range result.written {
		if task.done != nil {
			task.done(s)
		}
	}
	if result.err != nil {
		s.fail(result.err)
	}
}

// finishAppend delivers the responses to a durable update, which are for peers and for raft here. A snapshot
// replaces the applied state first.
func (s *session) finishAppend(update *storeUpdate, responses []raftpb.Message) {
	if !raft.IsEmptySnap(update.snapshot) {
		if err := s.restoreSnapshot(update.snapshot); err != nil {
			s.fail(err)
			return
		}
		s.node.log.Info().Uint64("index", s.appliedIndex).Msg("raft group: caught up by a snapshot")
	}
	s.publish()
	s.deliver(responses)
}

// deliver steps messages that are for raft here, and sends the others.
func (s *session) deliver(messages []raftpb.Message) {
	var toPeers []raftpb.Message
	for _, message := range messages {
		if message.To == s.store.diskID() {
			_ = s.rawNode.Step(message) // raft drops what it can't use
		} else {
			toPeers = append(toPeers, message)
		}
	}
	s.sendMessages(toPeers)
}

// applyCommitted applies the committed entries of a message, and delivers its responses.
func (s *session) applyCommitted(message raftpb.Message) error {
	for i := range message.Entries {
		if err := s.applyEntry(&message.Entries[i]); err != nil {
			return err
		}
	}
	s.deliver(message.Responses)
	return nil
}

// writeAndWait writes an update before raft runs here. It returns false if the session fails or ends first.
func (s *session) writeAndWait(update *storeUpdate) bool {
	written := false
	s.writer.enqueue(storeTask{update: update, done: func(*session) { written = true }})
	for !written && s.failure == nil {
		select {
		case <-s.ctx.Done():
			return false
		case result := <-s.results:
			s.finishWrites(result)
		}
	}
	s.lastIndex, _ = s.store.memory.LastIndex() // the memory storage has no error
	return written
}

// sendMessages queues messages to peers. A full queue drops a message, as raft expects of a network.
func (s *session) sendMessages(messages []raftpb.Message) {
	for _, message := range messages {
		if s.sendQueueTo(message.To).push(message) {
			continue
		}
		s.node.rejections.add(reasonQueueFull, "the queue of messages to "+s.members[message.To]+" is full")
		s.rawNode.ReportUnreachable(message.To)
		if message.Type == raftpb.MsgSnap {
			s.rawNode.ReportSnapshot(message.To, raft.SnapshotFailure)
		}
	}
}

// applyEntry applies a committed entry to the state machine or to the membership.
func (s *session) applyEntry(entry *raftpb.Entry) error {
	s.appliedIndex = entry.Index
	switch {
	case entry.Type != raftpb.EntryNormal:
		return s.applyConfChange(entry)
	case len(entry.Data) > 0: // a new leader's first entry is empty
		return s.node.stateMachine.Apply(entry.Data)
	default:
		return nil
	}
}

// propose submits an entry to raft. It is dropped while no leader is known or too much is unapplied: the
// state machine proposes again what it still needs.
func (s *session) propose(data []byte) {
	if s.rawNode == nil {
		return
	}
	if s.rawNode.BasicStatus().Lead != 0 && s.lastIndex < s.appliedIndex+maxUnappliedEntries {
		_ = s.rawNode.Propose(data)
	}
}

// requestRead requests a linearizable read (ReadIndex): confirmation by a quorum of what is committed from
// now on.
func (s *session) requestRead() {
	s.readDue = false
	s.lastReadID++
	if len(s.requestedReads) >= maxRequestedReads {
		clear(s.requestedReads) // lost, as those of a leader that was replaced are
	}
	s.requestedReads[s.lastReadID] = BootClockMillis()
	s.rawNode.ReadIndex(encodeUint64(s.lastReadID))
}

// confirmReads takes up the reads that a quorum has confirmed, and reports those whose entries are applied.
func (s *session) confirmReads(states []raft.ReadState) {
	for _, state := range states {
		id := binary.BigEndian.Uint64(state.RequestCtx)
		if startMillis, ok := s.requestedReads[id]; ok {
			delete(s.requestedReads, id)
			s.confirmedReads = append(s.confirmedReads, pendingRead{state.Index, startMillis})
		}
	}
	s.confirmedReads = slices.DeleteFunc(s.confirmedReads, func(read pendingRead) bool {
		if read.index > s.appliedIndex {
			return false
		}
		s.node.stateMachine.ReadConfirmed(read.startMillis)
		return true
	})
}
