package control

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

const (
	slowStartTolerance = 200 * time.Millisecond
	workerContactRetention  = 10 * time.Minute
)

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Worker   *wirepb.Worker
	Sequence uint64 // rises with each heartbeat of an incarnation
}

// workerTable notes when each incarnation was last heard, and at which core.
type workerTable struct {
	contacts     map[string]workerContact   // anywhere
	inconclusiveAt map[string]time.Duration // when a silence proved nothing, last
	localContacts map[string]time.Duration // at this core
}

type workerContact struct {
	at   time.Duration
	core string // internal address; "": this one
}

func newWorkerTable() workerTable {
	return workerTable{
		contacts: map[string]workerContact{}, localContacts: map[string]time.Duration{},
		inconclusiveAt: map[string]time.Duration{},
	}
}

func (t *workerTable) observe(instance, core string, at time.Duration) {
	if known, ok := t.contacts[instance]; !ok || at >= known.at {
		t.contacts[instance] = workerContact{at: at, core: core}
	}
}

func (t *workerTable) observeLocal(instance string, at time.Duration) {
	t.observe(instance, "", at)
	t.localContacts[instance] = at
}

func (t *workerTable) recentLocalContacts(now, within time.Duration) []*wirepb.Heard {
	var recent []*wirepb.Heard
	for instance, at := range t.localContacts {
		if age := now - at; age < within+100*time.Millisecond {
			recent = append(recent, &wirepb.Heard{InstanceId: instance, AgeMs: uint32(age / time.Millisecond)})
		}
	}
	slices.SortFunc(recent, func(x, y *wirepb.Heard) int { return strings.Compare(x.InstanceId, y.InstanceId) })
	return recent
}

func (t *workerTable) removeOld(now time.Duration) {
	for instance, contact := range t.contacts {
		if now-contact.at > workerContactRetention {
			delete(t.contacts, instance)
			delete(t.localContacts, instance)
			delete(t.inconclusiveAt, instance)
		}
	}
}

// Heartbeat takes a worker's word. done is called once: with true where the worker may rely on it that all
// cores know, or will know, what it has said.
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
	worker.Draining = draining || departure != nil && heartbeat.Sequence <= departure.Order
	e.publishWorker(now, heartbeat)
	if !draining || departure != nil {
		e.processReady()
		done(true)
		return
	}
	e.commitDeparture(&wirepb.Departure{InstanceId: instance, Order: heartbeat.Sequence}, done)
}

// publishWorker tells the others where a heartbeat says something new.
func (e *Engine) publishWorker(now time.Duration, heartbeat Heartbeat) {
	worker := heartbeat.Worker
	record := &wirepb.Record{
		Key: catalog.WorkerKey(worker.InstanceId), Order: heartbeat.Sequence,
		Value: &wirepb.Record_Worker{Worker: worker},
	}
	held := e.mirror.Get(record.Key)
	if held != nil && (held.Record.Order >= heartbeat.Sequence || unchanged(now, held, worker)) {
		return
	}
	if e.publish(record) {
		e.deletePredecessors(worker)
	}
}

// sameWorker reports whether a heartbeat says nothing new.
func unchanged(now time.Duration, held *catalog.Entry, worker *wirepb.Worker) bool {
	known := held.Record.GetWorker()
	if held.Record.Deleted || known == nil {
		return false
	}
	slowStartUntil := now + time.Duration(worker.ColdRemainingMs)*time.Millisecond
	if difference := max(slowStartUntil, now) - max(held.ColdUntil, now); difference.Abs() > slowStartTolerance {
		return false
	}
	compared := proto.Clone(worker).(*wirepb.Worker)
	compared.ColdRemainingMs = known.ColdRemainingMs
	return proto.Equal(compared, known)
}

// dropPredecessors drops earlier incarnations at a worker's address: it has been given to this one.
func (e *Engine) deletePredecessors(worker *wirepb.Worker) {
	var entries []*catalog.Entry
	e.mirror.WithCatalog(func(_ time.Duration, held *catalog.Catalog) bool {
		entries = held.AtAddress(worker.Address)
		return false
	})
	for _, entry := range entries {
		if entry.Record.GetWorker().InstanceId != worker.InstanceId {
			e.publishDeletion(entry.Record, catalog.Final)
		}
	}
}

func (e *Engine) publishDeletion(record *wirepb.Record, order uint64) {
	e.publish(&wirepb.Record{Key: record.Key, Order: order, Deleted: true, Value: record.Value})
}

// Deregister takes a worker out for good. done is called as for Heartbeat.
func (e *Engine) Deregister(instance string, done func(acknowledged bool)) {
	e.advanceTime()
	e.publishDeregistration(instance)
	if e.machine.Departure(instance).GetFinal() {
		e.processReady()
		done(true)
		return
	}
	e.commitDeparture(&wirepb.Departure{InstanceId: instance, Order: catalog.Final, Final: true}, done)
}

func (e *Engine) publishDeregistration(instance string) {
	e.publish(&wirepb.Record{
		Key: catalog.WorkerKey(instance), Order: catalog.Final, Deleted: true,
		Value: &wirepb.Record_Worker{Worker: &wirepb.Worker{InstanceId: instance}},
	})
}

// depart has the replicas agree on it that a worker leaves, so that whoever was told so can rely on it
// whatever machines are lost.
func (e *Engine) commitDeparture(departure *wirepb.Departure, done func(acknowledged bool)) {
	command := &wirepb.Command{Change: &wirepb.Command_Departure{Departure: departure}}
	e.Submit(command, func(reply *wirepb.CallReply) {
		done(reply.Outcome == wirepb.Outcome_OUTCOME_TAKEN)
	})
}

// applyDeparture makes the catalog agree with a committed departure. It mostly does so already.
func (e *Engine) applyDeparture(departure *wirepb.Departure) {
	held := e.mirror.Get(catalog.WorkerKey(departure.InstanceId))
	if held == nil {
		return // the table of departures is asked when the worker is told of again
	}
	if departure.Final {
		if held.Record.Order < catalog.Final {
			e.publishDeregistration(departure.InstanceId)
		}
		return
	}
	if held.Record.Deleted || held.Record.GetWorker().GetDraining() ||
		held.Record.Order >= departure.Order {
		return
	}
	record := proto.Clone(held.Record).(*wirepb.Record)
	record.Order = departure.Order
	record.GetWorker().Draining = true
	record.GetWorker().ColdRemainingMs = int64(max(held.ColdUntil-e.now(), 0) / time.Millisecond)
	e.publish(record)
}

func (e *Engine) applyDepartures() {
	for _, departure := range e.machine.Departures() {
		e.applyDeparture(departure)
	}
}
