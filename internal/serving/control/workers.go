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
	coldTolerance = 200 * time.Millisecond
	forgetWorker  = 10 * time.Minute
)

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Worker   *wirepb.Worker
	Sequence uint64 // rises with each heartbeat of an incarnation
}

// workerTable notes when each incarnation was last heard, and at which core.
type workerTable struct {
	heard     map[string]heardWorker   // anywhere
	doubtedAt map[string]time.Duration // when a silence proved nothing, last
	heardHere map[string]time.Duration // at this core
}

type heardWorker struct {
	at   time.Duration
	core string // internal address; "": this one
}

func newWorkerTable() workerTable {
	return workerTable{
		heard: map[string]heardWorker{}, heardHere: map[string]time.Duration{},
		doubtedAt: map[string]time.Duration{},
	}
}

func (t *workerTable) hear(instance, core string, at time.Duration) {
	if known, ok := t.heard[instance]; !ok || at >= known.at {
		t.heard[instance] = heardWorker{at: at, core: core}
	}
}

func (t *workerTable) hearHere(instance string, at time.Duration) {
	t.hear(instance, "", at)
	t.heardHere[instance] = at
}

func (t *workerTable) heardLately(now, within time.Duration) []*wirepb.Heard {
	var list []*wirepb.Heard
	for instance, at := range t.heardHere {
		if age := now - at; age < within+100*time.Millisecond {
			list = append(list, &wirepb.Heard{InstanceId: instance, AgeMs: uint32(age / time.Millisecond)})
		}
	}
	slices.SortFunc(list, func(x, y *wirepb.Heard) int { return strings.Compare(x.InstanceId, y.InstanceId) })
	return list
}

func (t *workerTable) forgetOld(now time.Duration) {
	for instance, heard := range t.heard {
		if now-heard.at > forgetWorker {
			delete(t.heard, instance)
			delete(t.heardHere, instance)
			delete(t.doubtedAt, instance)
		}
	}
}

// Heartbeat takes a worker's word. done is called once: with true where the worker may rely on it that all
// cores know, or will know, what it has said.
func (e *Engine) Heartbeat(heartbeat Heartbeat, done func(acknowledged bool)) {
	now := e.awake()
	worker := heartbeat.Worker
	instance := worker.InstanceId
	e.workers.hearHere(instance, now)
	departure := e.machine.Departure(instance)
	if departure.GetFinal() {
		e.carryOut()
		done(true)
		return
	}
	said := worker.Draining
	worker.Draining = said || departure != nil && heartbeat.Sequence <= departure.Order
	e.publishWorker(now, heartbeat)
	if !said || departure != nil {
		e.carryOut()
		done(true)
		return
	}
	e.depart(&wirepb.Departure{InstanceId: instance, Order: heartbeat.Sequence}, done)
}

// publishWorker tells the others where a heartbeat says something new.
func (e *Engine) publishWorker(now time.Duration, heartbeat Heartbeat) {
	worker := heartbeat.Worker
	record := &wirepb.Record{
		Key: catalog.WorkerKey(worker.InstanceId), Order: heartbeat.Sequence,
		Value: &wirepb.Record_Worker{Worker: worker},
	}
	held := e.mirror.Get(record.Key)
	if held != nil && (held.Record.Order >= heartbeat.Sequence || sameWorker(now, held, worker)) {
		return
	}
	if e.publish(record) {
		e.dropPredecessors(worker)
	}
}

// sameWorker reports whether a heartbeat says nothing new.
func sameWorker(now time.Duration, held *catalog.Entry, worker *wirepb.Worker) bool {
	known := held.Record.GetWorker()
	if held.Record.Deleted || known == nil {
		return false
	}
	coldUntil := now + time.Duration(worker.ColdRemainingMs)*time.Millisecond
	if difference := max(coldUntil, now) - max(held.WarmingUntil, now); difference.Abs() > coldTolerance {
		return false
	}
	compared := proto.Clone(worker).(*wirepb.Worker)
	compared.ColdRemainingMs = known.ColdRemainingMs
	return proto.Equal(compared, known)
}

// dropPredecessors drops earlier incarnations at a worker's address: it has been given to this one.
func (e *Engine) dropPredecessors(worker *wirepb.Worker) {
	var present []*catalog.Entry
	e.mirror.WithCatalog(func(_ time.Duration, held *catalog.Catalog) bool {
		present = held.WorkersAtAddress(worker.Address)
		return false
	})
	for _, entry := range present {
		if entry.Record.GetWorker().InstanceId != worker.InstanceId {
			e.publishDeletion(entry.Record, catalog.FinalOrder)
		}
	}
}

func (e *Engine) publishDeletion(record *wirepb.Record, order uint64) {
	e.publish(&wirepb.Record{Key: record.Key, Order: order, Deleted: true, Value: record.Value})
}

// Deregister takes a worker out for good. done is called as for Heartbeat.
func (e *Engine) Deregister(instance string, done func(acknowledged bool)) {
	e.awake()
	e.publishDeregistration(instance)
	if e.machine.Departure(instance).GetFinal() {
		e.carryOut()
		done(true)
		return
	}
	e.depart(&wirepb.Departure{InstanceId: instance, Order: catalog.FinalOrder, Final: true}, done)
}

func (e *Engine) publishDeregistration(instance string) {
	e.publish(&wirepb.Record{
		Key: catalog.WorkerKey(instance), Order: catalog.FinalOrder, Deleted: true,
		Value: &wirepb.Record_Worker{Worker: &wirepb.Worker{InstanceId: instance}},
	})
}

// depart has the replicas agree on it that a worker leaves, so that whoever was told so can rely on it
// whatever machines are lost.
func (e *Engine) depart(departure *wirepb.Departure, done func(acknowledged bool)) {
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
		if held.Record.Order < catalog.FinalOrder {
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
	record.GetWorker().ColdRemainingMs = int64(max(held.WarmingUntil-e.now(), 0) / time.Millisecond)
	e.publish(record)
}

func (e *Engine) applyDepartures() {
	for _, departure := range e.machine.Departures() {
		e.applyDeparture(departure)
	}
}
