package control

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

const (
	// slowStartTolerance is the largest difference between the end of a worker's slow start as reported and as
	// recorded that does not count as a change.
	slowStartTolerance = 200 * time.Millisecond

	// workerContactRetention is how long the time of a worker's last heartbeat is kept.
	workerContactRetention = 10 * time.Minute
)

// Heartbeat is a worker's report of its state.
type Heartbeat struct {
	Worker   *wirepb.Worker
	Sequence uint64 // increases with each heartbeat of an incarnation
}

// Heartbeat handles a worker's heartbeat. done is called once, with true if the heartbeat is acknowledged:
// the worker may rely on all cores receiving what it has reported, now or later.
func (e *Engine) Heartbeat(heartbeat Heartbeat, done func(acknowledged bool)) {
	now := e.advanceTime()
	worker := heartbeat.Worker
	instance := worker.InstanceId
	e.workers.observeLocal(instance, now)
	departure := e.machine.Departure(instance)
	if departure.GetFinal() {
		e.processReady()
		done(true)
		return
	}
	draining := worker.Draining
	worker.Draining = draining || departure != nil && heartbeat.Sequence <= departure.Version
	e.publishWorker(now, heartbeat)
	if !draining || departure != nil {
		e.processReady()
		done(true)
		return
	}
	e.commitDeparture(&wirepb.Departure{InstanceId: instance, Version: heartbeat.Sequence}, done)
}

// publishWorker publishes a worker's record if the heartbeat differs from the record in the catalog. The
// heartbeat of a worker whose record was deleted is ignored while its address belongs to another one: it is a
// late one.
func (e *Engine) publishWorker(now time.Duration, heartbeat Heartbeat) {
	worker := heartbeat.Worker
	record := &wirepb.Record{
		Key: catalog.WorkerKey(worker.InstanceId), Version: heartbeat.Sequence,
		Value: &wirepb.Record_Worker{Worker: worker},
	}
	others := e.othersAtAddress(worker)
	if existing := e.stateView.Get(record.Key); existing != nil {
		late := existing.Record.Deleted && len(others) > 0
		if late || existing.Record.Version >= heartbeat.Sequence || unchanged(now, existing, worker) {
			return
		}
	}
	if e.publish(record) {
		e.deletePredecessors(others)
	}
}

// unchanged reports whether a heartbeat reports the same state as the worker's record in the catalog.
func unchanged(now time.Duration, existing *catalog.Entry, worker *wirepb.Worker) bool {
	known := existing.Record.GetWorker()
	if existing.Record.Deleted || known == nil {
		return false
	}
	warmingUntil := now + time.Duration(worker.WarmupRemainingMs)*time.Millisecond
	difference := max(warmingUntil, now) - max(existing.WarmingUntil, now)
	if difference.Abs() > slowStartTolerance {
		return false
	}
	compared := proto.Clone(worker).(*wirepb.Worker)
	compared.WarmupRemainingMs = known.WarmupRemainingMs
	return proto.Equal(compared, known)
}

// othersAtAddress returns the records of other worker incarnations at the address of a worker.
func (e *Engine) othersAtAddress(worker *wirepb.Worker) []*catalog.Entry {
	var entries []*catalog.Entry
	e.stateView.WithCatalog(func(_ time.Duration, records *catalog.Catalog) bool {
		entries = records.WorkersAtAddress(worker.Address)
		return false
	})
	return slices.DeleteFunc(entries, func(entry *catalog.Entry) bool {
		return entry.Record.GetWorker().InstanceId == worker.InstanceId
	})
}

// deletePredecessors deletes the records of earlier worker incarnations at an address. The deletions are not
// final: where a late heartbeat was taken for that of a successor, the worker at the address comes back once
// the other one is silent.
func (e *Engine) deletePredecessors(entries []*catalog.Entry) {
	for _, entry := range entries {
		e.publishDeletion(entry.Record, entry.Record.Version)
	}
}

// Deregister removes a worker incarnation permanently. done is called once, with true if the removal is
// committed.
func (e *Engine) Deregister(instance string, done func(acknowledged bool)) {
	e.advanceTime()
	e.publishDeregistration(instance)
	if e.machine.Departure(instance).GetFinal() {
		e.processReady()
		done(true)
		return
	}
	e.commitDeparture(&wirepb.Departure{InstanceId: instance, Version: catalog.FinalVersion, Final: true}, done)
}

// publishDeregistration publishes that a worker has deregistered.
func (e *Engine) publishDeregistration(instance string) {
	e.publish(&wirepb.Record{
		Key: catalog.WorkerKey(instance), Version: catalog.FinalVersion, Deleted: true,
		Value: &wirepb.Record_Worker{Worker: &wirepb.Worker{InstanceId: instance}},
	})
}
