package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

// commitDeparture commits a worker's departure to the replicated log, so that an acknowledged departure
// survives the loss of machines. done is called with true once the departure is committed, and with false
// if its outcome is not known in time.
func (e *Engine) commitDeparture(departure *wirepb.Departure, done func(acknowledged bool)) {
	command := &wirepb.Command{Change: &wirepb.Command_Departure{Departure: departure}}
	e.Submit(command, func(reply *wirepb.CallReply) {
		done(reply.Outcome == wirepb.Outcome_OUTCOME_ACCEPTED)
	})
}

// applyDeparture updates a worker's catalog record to match a committed departure: the record of a worker
// that has deregistered is deleted, that of a worker that drains is marked as draining. A record that
// matches already, or is newer, is not changed.
func (e *Engine) applyDeparture(departure *wirepb.Departure) {
	entry := e.stateView.Get(catalog.WorkerKey(departure.InstanceId))
	if entry == nil {
		return // handleCatalog applies the departure when a record of the worker arrives
	}
	if departure.Final {
		if entry.Record.Version < catalog.FinalVersion {
			e.publishDeregistration(departure.InstanceId)
		}
		return
	}
	if entry.Record.Deleted || entry.Record.GetWorker().GetDraining() ||
		entry.Record.Version >= departure.Version {
		return
	}
	record := proto.Clone(entry.Record).(*wirepb.Record)
	record.Version = departure.Version
	record.GetWorker().Draining = true
	record.GetWorker().WarmupRemainingMs = int64(max(entry.WarmingUntil-e.now(), 0) / time.Millisecond)
	e.publish(record)
}

// applyDepartures updates the catalog to match all committed departures.
func (e *Engine) applyDepartures() {
	for _, departure := range e.machine.Departures() {
		e.applyDeparture(departure)
	}
}
