package tally

import (
	"maps"
	"slices"

	"willowdeck/internal/serving/wirepb"
)

// HandleMessage handles a message from another core.
func (r *Replica) HandleMessage(message *wirepb.TallyMessage) {
	r.advanceTime()
	if message.Address == r.options.Address {
		return
	}
	p := r.observe(message)
	if p == nil {
		return
	}
	r.advanceDurable(p, message.Durable.GetSequences())
	switch message.Kind {
	case wirepb.TallyMessageKind_TALLY_STATE:
		if !p.stateReceived {
			p.stateReceived = true
			p.target = nil // updateTarget sets it to everything that the peer holds
		}
		p.received.advance(message.Received.GetSequences())
	case wirepb.TallyMessageKind_TALLY_PUSH:
		r.mergeRecords(p, message.Records)
	case wirepb.TallyMessageKind_TALLY_BATCH:
		r.pullPending = false
		r.mergeRecords(p, message.Records)
	case wirepb.TallyMessageKind_TALLY_PULL:
		p.received.advance(message.Received.GetSequences())
		r.answerPull(p, message.Received.GetSequences())
	case wirepb.TallyMessageKind_TALLY_CONFIRM: // carries only the durable vector, which is handled above
	}
	r.updateTarget(p)
	r.updateLateness()
	r.pullFrom(p)
	r.completeAdds()
}

// mergeRecords merges records from a peer, writes the new ones, and confirms them once they are durable.
func (r *Replica) mergeRecords(p *peer, records []*wirepb.TallyRecords) {
	var merged []*wirepb.TallyRecords
	for _, part := range records {
		if len(part.Adds) == 0 {
			continue
		}
		p.received.advance(Vector{part.Origin: part.First + uint64(len(part.Adds)) - 1})
		if added, _ := r.set.Merge(part); added != nil {
			merged = append(merged, added)
		}
	}
	if len(merged) == 0 {
		return
	}
	address := p.address
	r.write(merged, func() { r.confirm(address, merged) })
}

// confirm reports to a peer that records are durable here.
func (r *Replica) confirm(address string, records []*wirepb.TallyRecords) {
	confirmed := Vector{}
	for _, part := range records {
		confirmed[part.Origin] = r.durable[part.Origin]
	}
	message := r.message(wirepb.TallyMessageKind_TALLY_CONFIRM)
	message.Durable = vectorMessage(confirmed)
	r.environment.Send(address, message)
}

// pullFrom requests the records that a peer holds and this replica lacks, once they have been missing for
// pullDelay, or without delay during startGrace. A new pull is sent only after the previous one has been
// answered or pullTimeout has passed, so that several peers do not send the same records.
func (r *Replica) pullFrom(p *peer) {
	delay := pullDelay
	if r.active < startGrace {
		delay = 0
	}
	if !r.lags(p, delay) || r.pullPending && r.active-r.pullSentAt < pullTimeout {
		return
	}
	r.pullPending = true
	r.pullSentAt = r.active
	r.pulledFrom = p.address
	pull := r.message(wirepb.TallyMessageKind_TALLY_PULL)
	pull.Received = vectorMessage(r.set.Vector())
	r.environment.Send(p.address, pull)
}

// pullMissing requests missing records again, since an earlier pull or its answer may have been lost. It
// starts with the peer that follows the one asked last in the order of addresses: messages from that one
// may arrive while messages to it are lost.
func (r *Replica) pullMissing() {
	addresses := slices.Sorted(maps.Keys(r.peers))
	asked, _ := slices.BinarySearch(addresses, r.pulledFrom)
	for i := range addresses {
		address := addresses[(asked+1+i)%len(addresses)]
		if p := r.peers[address]; r.isActive(p) {
			r.updateTarget(p)
			r.pullFrom(p)
		}
	}
}

// answerPull sends a peer up to about maxBatchBytes of the records that it lacks.
func (r *Replica) answerPull(p *peer, vector Vector) {
	batch := r.message(wirepb.TallyMessageKind_TALLY_BATCH)
	batch.Records = r.set.Since(vector, maxBatchBytes)
	r.environment.Send(p.address, batch)
}
