package control

import (
	"go.uber.org/zap"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

// handleConsensus passes a message of another replica to this one.
func (e *Engine) handleConsensus(message *wirepb.Consensus) {
	if message.To != "" && message.To != e.options.Identity {
		return // addressed to a replica with another disk at the same address
	}
	if message.From != e.options.Identity {
		e.node.Step(e.now(), message)
	}
}

// processReady carries out what the replica's Ready returns: it sends messages, starts writes, applies
// snapshots and committed entries, and completes reads.
func (e *Engine) processReady() {
	ready := e.node.Ready()
	for _, message := range ready.Messages {
		e.sendConsensus(message)
	}
	for _, batch := range ready.Writes {
		e.environment.Write(batch, func() { e.completeWrite(batch) })
	}
	if ready.Snapshot != nil {
		if err := e.machine.Restore(ready.Snapshot.Data); err != nil {
			e.logger.Fatal("cannot restore the leader's snapshot", zap.Error(err))
		}
	}
	for _, entry := range ready.CommittedEntries {
		e.apply(entry)
	}
	if ready.Snapshot != nil {
		e.applyDepartures()
	}
	if ready.Snapshot != nil || len(ready.CommittedEntries) > 0 {
		e.publishCommitted()
		e.compact()
	}
	for _, read := range ready.ReadStates {
		e.completeRead(read.RequestID)
	}
}

// completeWrite is called once a batch is durable. It sends the messages that had to wait for the batch, and
// reports to the replica that the batch is durable.
func (e *Engine) completeWrite(batch consensus.WriteBatch) {
	e.advanceTime()
	for _, message := range batch.Messages {
		e.sendConsensus(message)
	}
	e.node.Persisted(e.now(), batch)
	e.processReady()
}

// sendConsensus sends a message of this replica to its addressee, or to all cores if it has none.
func (e *Engine) sendConsensus(message *wirepb.Consensus) {
	envelope := &wirepb.Envelope{Body: &wirepb.Envelope_Consensus{Consensus: message}}
	if message.To == "" {
		e.broadcast(envelope)
		return
	}
	e.environment.Send(e.options.AddressOf(consensus.Address(message.To)), envelope)
}

// apply applies a committed command to the state machine, and completes the request that proposed it.
// Entries of other kinds are ignored.
func (e *Engine) apply(entry *wirepb.Entry) {
	if entry.Kind != wirepb.EntryKind_ENTRY_COMMAND {
		return
	}
	before := e.machine.Generation()
	result, err := e.machine.Apply(entry.Data)
	if err != nil {
		e.logger.Fatal("cannot apply a committed command", zap.Uint64("index", entry.Index), zap.Error(err))
	}
	if generation := e.machine.Generation(); generation != before {
		e.logger.Info("configuration in force", zap.Uint64("generation", generation))
	}
	if departure := result.Departure; departure != nil {
		e.applyDeparture(departure)
	}
	e.completeCommand(result)
}

// publishCommitted publishes the committed state to the state view.
func (e *Engine) publishCommitted() {
	e.stateView.SetCommitted(e.node.Applied(), e.machine.Document(), e.machine.Evacuated())
}

// compact takes a snapshot if the log exceeds maxLogBytes or its segment maxSegmentBytes, and then drops the
// entries that the snapshot covers.
func (e *Engine) compact() {
	if e.compacting || e.node.LogBytes() < maxLogBytes && e.environment.SegmentBytes() < maxSegmentBytes {
		return
	}
	data, err := e.machine.Snapshot()
	if err != nil {
		e.logger.Error("cannot encode a snapshot", zap.Error(err))
		return
	}
	snapshot := e.node.CreateSnapshot(data)
	e.compacting = true
	e.environment.Rewrite(e.node.DurableStateAfter(snapshot), func() {
		e.compacting = false
		e.node.Compact(snapshot)
	})
}
