package core

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/gorilla/mux"

	"willowdeck/internal/serving/control"
	"willowdeck/internal/serving/wirepb"
)

// heartbeatRequest is the body of a heartbeat, in which a worker reports its state.
type heartbeatRequest struct {
	Backend         string  `json:"backend"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Generation      string  `json:"generation"` // of the worker's software
	Capacity        float64 `json:"capacity"`   // concurrent requests
	State           string  `json:"state"`
	ColdRemainingMs float64 `json:"cold_remaining_ms"`
	Sequence        uint64  `json:"sequence"` // rises with each heartbeat of an incarnation
}

const stateDraining = "draining" // value of heartbeatRequest.State

// heartbeat converts the request of the incarnation instance.
func (r *heartbeatRequest) heartbeat(instance string) control.Heartbeat {
	worker := &wirepb.Worker{
		InstanceId: instance, Service: r.Backend, Address: r.Address, Zone: r.Zone,
		Capacity: uint32(max(r.Capacity, 0)), Software: r.Generation,
		Draining: r.State == stateDraining, WarmupRemainingMs: int64(r.ColdRemainingMs),
	}
	return control.Heartbeat{Worker: worker, Sequence: r.Sequence}
}

// heartbeat handles a heartbeat of a worker's incarnation.
func (c *Core) heartbeat(w http.ResponseWriter, r *http.Request) {
	memory := c.reportMemory.Open()
	defer func() { memory.Release(c.now()) }()
	if !c.admit(w, c.reportMemory, memory, reportMemoryFactor*bodyBytes(r, maxHeartbeatBytes)) {
		return
	}
	var body heartbeatRequest
	text, err := readBody(w, r, maxHeartbeatBytes, reportTimeout)
	if err == nil {
		err = json.Unmarshal(text, &body)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "heartbeat: send a complete JSON object")
		return
	}
	if _, _, err := net.SplitHostPort(body.Address); err != nil || body.Backend == "" {
		writeError(w, http.StatusBadRequest, "heartbeat: give backend and address (IP:PORT)")
		return
	}
	heartbeat := body.heartbeat(mux.Vars(r)["id"])
	c.acknowledge(w, func(done func(bool)) { c.engine.Heartbeat(heartbeat, done) })
}

// deregister handles the end of a worker's incarnation.
func (c *Core) deregister(w http.ResponseWriter, r *http.Request) {
	instance := mux.Vars(r)["id"]
	c.acknowledge(w, func(done func(bool)) { c.engine.Deregister(instance, done) })
}

// acknowledge applies a report of a worker and responds with success once the report is replicated. One that
// was applied and is not known to be replicated gets 504: it may take effect.
func (c *Core) acknowledge(w http.ResponseWriter, apply func(done func(acknowledged bool))) {
	outcomes := make(chan bool, 1)
	if !c.enqueue(func() { apply(func(outcome bool) { outcomes <- outcome }) }) {
		writeError(w, http.StatusServiceUnavailable, "this core has stopped, nothing was done: call another core")
		return
	}
	acknowledged := false
	select {
	case acknowledged = <-outcomes:
	case <-c.stop:
	}
	if !acknowledged {
		writeError(w, http.StatusGatewayTimeout, "no majority of the core has answered: call another core")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
