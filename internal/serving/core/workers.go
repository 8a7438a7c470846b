package core

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

const (
	missedHeartbeats = 3.6 // heartbeat intervals of silence at all cores, after which a worker is dropped
	coldTolerance    = 200 * time.Millisecond
	forgetWorker     = 10 * time.Minute
	edgeLife         = 90 * time.Second // of an edge's record after its last link was lost
	coreLife         = 20 * time.Second // of a core's record after it last spoke
)

// workerTable notes when each incarnation was last heard, here or at another core.
type workerTable struct {
	heard     map[string]time.Duration // anywhere
	heardHere map[string]time.Duration
	confirmed map[string]uint64 // by record key: the newest order that a majority is known to hold
}

func newWorkerTable() workerTable {
	return workerTable{
		heard: map[string]time.Duration{}, heardHere: map[string]time.Duration{}, confirmed: map[string]uint64{},
	}
}

func (t *workerTable) hear(instance string, at time.Duration) {
	t.heard[instance] = max(t.heard[instance], at)
}

func (t *workerTable) confirm(record *wirepb.Record) {
	t.confirmed[record.Key] = max(t.confirmed[record.Key], record.Order)
}

func (t *workerTable) heardLately(now, within time.Duration) []*wirepb.Heard {
	var list []*wirepb.Heard
	for instance, at := range t.heardHere {
		if age := now - at; age < within+100*time.Millisecond {
			list = append(list, &wirepb.Heard{InstanceId: instance, AgeMs: uint32(age / time.Millisecond)})
		}
	}
	return list
}

func (t *workerTable) forgetOld(now time.Duration) {
	for instance, at := range t.heard {
		if now-at > forgetWorker {
			delete(t.heard, instance)
			delete(t.heardHere, instance)
			delete(t.confirmed, catalog.WorkerKey(instance))
		}
	}
}

// heartbeatBody is what a worker says of itself.
type heartbeatBody struct {
	Backend         string  `json:"backend"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Generation      string  `json:"generation"`
	Capacity        float64 `json:"capacity"`
	State           string  `json:"state"`
	ColdRemainingMs float64 `json:"cold_remaining_ms"`
	RemainingMs     float64 `json:"remaining_ms"`
	Sequence        uint64  `json:"sequence"`
}

func (c *Core) heartbeat(w http.ResponseWriter, r *http.Request) {
	var body heartbeatBody
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeat))
	if err == nil {
		err = json.Unmarshal(text, &body)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, "heartbeat: send the JSON object whole")
		return
	}
	if _, _, err := net.SplitHostPort(body.Address); err != nil || body.Backend == "" {
		refuse(w, http.StatusBadRequest, "heartbeat: give backend and address (IP:PORT)")
		return
	}
	instance := mux.Vars(r)["id"]
	if !c.awaitReplicas(func() *wirepb.Record { return c.takeHeartbeat(instance, &body) }) {
		refuse(w, http.StatusServiceUnavailable, "no majority of the core has answered: call another core")
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

// takeHeartbeat notes a heartbeat. It returns the record that a majority must hold before the answer, or nil.
func (c *Core) takeHeartbeat(instance string, body *heartbeatBody) *wirepb.Record {
	now := c.now()
	c.workers.hear(instance, now)
	c.workers.heardHere[instance] = now
	worker := &wirepb.Worker{
		InstanceId: instance, Service: body.Backend, Address: body.Address, Zone: body.Zone,
		Capacity: uint32(max(body.Capacity, 0)), Software: body.Generation,
		Draining: body.State == "draining", ColdRemainingMs: int64(body.ColdRemainingMs),
	}
	record := &wirepb.Record{
		Key: catalog.WorkerKey(instance), Order: body.Sequence, Value: &wirepb.Record_Worker{Worker: worker},
	}
	held := c.heldEntry(record.Key)
	if held == nil || held.Record.Order < body.Sequence && !sameWorker(now, held, worker) {
		if c.publish(record) != nil {
			c.dropPredecessors(worker)
		}
	}
	if !worker.Draining {
		return nil
	}
	return c.unconfirmed(instance)
}

func (c *Core) heldEntry(key string) *catalog.Entry { return c.replica.Get(key) }

// sameWorker reports whether a heartbeat says nothing new.
func sameWorker(now time.Duration, held *catalog.Entry, worker *wirepb.Worker) bool {
	known := held.Record.GetWorker()
	if held.Record.Deleted || known == nil {
		return false
	}
	coldUntil := now + time.Duration(worker.ColdRemainingMs)*time.Millisecond
	if difference := max(coldUntil, now) - max(held.ColdUntil, now); difference.Abs() > coldTolerance {
		return false
	}
	compared := proto.Clone(worker).(*wirepb.Worker)
	compared.ColdRemainingMs = known.ColdRemainingMs
	return proto.Equal(compared, known)
}

// unconfirmed returns the worker's held record unless a majority is known to have it.
func (c *Core) unconfirmed(instance string) *wirepb.Record {
	held := c.heldEntry(catalog.WorkerKey(instance))
	if held == nil || c.workers.confirmed[held.Record.Key] >= held.Record.Order {
		return nil
	}
	return held.Record
}

// dropPredecessors drops earlier incarnations at a worker's address: it has been given to this one.
func (c *Core) dropPredecessors(worker *wirepb.Worker) {
	var present []*catalog.Entry
	c.replica.WithCatalog(func(_ time.Duration, held *catalog.Catalog) bool {
		present = held.AtAddress(worker.Address)
		return false
	})
	for _, entry := range present {
		if entry.Record.GetWorker().InstanceId != worker.InstanceId {
			c.publishDeletion(entry.Record, catalog.Final)
		}
	}
}

func (c *Core) publishDeletion(record *wirepb.Record, order uint64) *wirepb.Record {
	deletion := &wirepb.Record{Key: record.Key, Order: order, Deleted: true, Value: record.Value}
	return c.publish(deletion)
}

func (c *Core) deregister(w http.ResponseWriter, r *http.Request) {
	instance := mux.Vars(r)["id"]
	prepare := func() *wirepb.Record {
		key := catalog.WorkerKey(instance)
		c.publish(&wirepb.Record{
			Key: key, Order: catalog.Final, Deleted: true,
			Value: &wirepb.Record_Worker{Worker: &wirepb.Worker{InstanceId: instance}},
		})
		return c.unconfirmed(instance)
	}
	if !c.awaitReplicas(prepare) {
		refuse(w, http.StatusServiceUnavailable, "no majority of the core has answered: call another core")
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

// sweep is the acting replica's care: it drops workers that no core hears, and edges and cores that are gone.
func (c *Core) sweep() {
	now := c.now()
	c.workers.forgetOld(now)
	c.replica.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		held.Expire(now)
		return false
	})
	if !c.node.Acting() || now < settledAfter {
		return
	}
	silence := time.Duration(missedHeartbeats * float64(c.settings.HeartbeatEvery))
	for _, entry := range c.replica.View().Entries {
		record := entry.Record
		if record.Deleted {
			continue
		}
		switch value := record.Value.(type) {
		case *wirepb.Record_Worker:
			heard := max(c.workers.heard[value.Worker.InstanceId], entry.Merged)
			if now-heard > silence {
				c.publishDeletion(record, record.Order)
			}
		case *wirepb.Record_Edge:
			if !value.Edge.Linked && now-entry.Merged > edgeLife {
				c.publishDeletion(record, record.Order)
			}
		case *wirepb.Record_Core:
			heard, known := c.inbound[value.Core.Address]
			if value.Core.Replica != c.identity && now-entry.Merged > coreLife && (!known || now-heard > coreLife) {
				c.publishDeletion(record, record.Order)
			}
		}
	}
}
