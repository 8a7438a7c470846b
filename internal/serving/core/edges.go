package core

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

const (
	resolveTTL       = 1.0 // seconds
	resolveMost      = 64  // addresses in an answer
	enoughNear       = 2   // edges of a zone or region that make further ones unnecessary
	edgeOrderReserve = 1   // added to an edge's own order when its link is lost
)

// edgeLink is one agent's link to this core.
type edgeLink struct {
	edge       *wirepb.Edge
	order      uint64
	generation uint64 // of the configuration that the agent has
}

// linkEdge takes what an agent says of its edge.
func (c *Core) linkEdge(link *edgeLink, request *wirepb.FeedRequest) {
	link.generation = request.Generation
	if link.edge != nil && link.order == request.EdgeOrder && proto.Equal(link.edge, request.Edge) {
		return
	}
	link.edge = request.Edge
	link.order = request.EdgeOrder
	c.edges[request.Edge.Name] = link
	edge := proto.Clone(request.Edge).(*wirepb.Edge)
	edge.Linked = true
	c.publish(&wirepb.Record{
		Key: catalog.EdgeKey(edge.Name), Order: request.EdgeOrder, Value: &wirepb.Record_Edge{Edge: edge},
	})
}

// unlinkEdge notes that an agent's link is lost: no client is sent to its edge until the agent links anew,
// here or at another core.
func (c *Core) unlinkEdge(link *edgeLink) {
	if link.edge == nil || c.edges[link.edge.Name] != link {
		return
	}
	delete(c.edges, link.edge.Name)
	edge := proto.Clone(link.edge).(*wirepb.Edge)
	edge.Ready = false
	edge.Linked = false
	c.publish(&wirepb.Record{
		Key: catalog.EdgeKey(edge.Name), Order: link.order + edgeOrderReserve,
		Value: &wirepb.Record_Edge{Edge: edge},
	})
}

// directoryHandler answers clients who ask where to go.
func (c *Core) directoryHandler() http.Handler {
	handler := http.NewServeMux()
	handler.HandleFunc("GET /resolve", c.resolve)
	return handler
}

// resolution is the answer to a client.
type resolution struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttl_s"`
}

func (c *Core) resolve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	addresses := nearEdges(c.replica.Of(catalog.Edges), query.Get("zone"), query.Get("region"))
	if len(addresses) == 0 {
		refuse(w, http.StatusServiceUnavailable, "no edge is known yet: ask again soon")
		return
	}
	ttl := math.Min(resolveTTL, c.settings.Bounds.TTLMax.Seconds())
	answer(w, http.StatusOK, resolution{Addresses: addresses, TTL: ttl})
}

// nearEdges returns the ready edges that a client should use: those of its zone, with those of its region
// where the zone has few, and all where the region has few. Where none is ready, all that are known are
// better than nothing.
func nearEdges(entries []*catalog.Entry, zone, region string) []string {
	var inZone, inRegion, ready, known []string
	for _, entry := range entries {
		edge := entry.Record.GetEdge()
		if edge == nil || entry.Record.Deleted || edge.Address == "" {
			continue
		}
		known = append(known, edge.Address)
		if !edge.Ready {
			continue
		}
		ready = append(ready, edge.Address)
		if edge.Region == region {
			inRegion = append(inRegion, edge.Address)
		}
		if edge.Zone == zone {
			inZone = append(inZone, edge.Address)
		}
	}
	for _, choice := range [][]string{inZone, inRegion} {
		if len(choice) >= enoughNear {
			return choice[:min(len(choice), resolveMost)]
		}
	}
	if len(ready) > 0 {
		return ready[:min(len(ready), resolveMost)]
	}
	return known[:min(len(known), resolveMost)]
}

// statusReport is what /status tells an operator.
type statusReport struct {
	Replica    string         `json:"replica"`
	Leader     string         `json:"acting"`
	Epoch      uint64         `json:"epoch"`
	InTouch    bool           `json:"in_touch"`
	Members    []string       `json:"members"`
	Index      uint64         `json:"index"`
	Generation uint64         `json:"generation"`
	Evacuated  []string       `json:"evacuated"`
	Edges      []edgeStatus   `json:"edges"`
	Workers    []workerStatus `json:"workers"`
}

type edgeStatus struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Ready      bool   `json:"ready"`
	Linked     bool   `json:"linked"`
	Generation uint64 `json:"generation,omitempty"` // of edges whose agents are linked to this core
}

type workerStatus struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"` // ready, cold or draining
}

func (c *Core) status(w http.ResponseWriter, _ *http.Request) {
	reports := make(chan statusReport, 1)
	if !c.do(func() { reports <- c.report() }) {
		refuse(w, http.StatusServiceUnavailable, "this core is stopping: ask another one")
		return
	}
	select {
	case report := <-reports:
		body, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			refuse(w, http.StatusInternalServerError, err.Error())
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
		w.Write(append(body, '\n'))
	case <-c.stop:
		refuse(w, http.StatusServiceUnavailable, "this core is stopping: ask another one")
	}
}

func (c *Core) report() statusReport {
	view := c.replica.View()
	report := statusReport{
		Replica: c.identity, Leader: c.node.Leader(), Epoch: c.node.Term(), InTouch: c.node.InTouch(),
		Members: slices.Clone(c.node.Members()), Index: c.node.Applied(), Generation: c.machine.Generation(),
		Evacuated: c.machine.Evacuated(),
	}
	for _, entry := range view.Entries {
		if entry.Record.Deleted {
			continue
		}
		if edge := entry.Record.GetEdge(); edge != nil {
			report.Edges = append(report.Edges, edgeStatus{
				Name: edge.Name, Address: edge.Address, Zone: edge.Zone, Ready: edge.Ready, Linked: edge.Linked,
				Generation: c.linkedGeneration(edge.Name),
			})
		}
		if worker := entry.Record.GetWorker(); worker != nil {
			report.Workers = append(report.Workers, workerStatus{
				Instance: worker.InstanceId, Service: worker.Service, Address: worker.Address, Zone: worker.Zone,
				State: workerState(c.now(), entry),
			})
		}
	}
	return report
}

func (c *Core) linkedGeneration(name string) uint64 {
	if link := c.edges[name]; link != nil {
		return link.generation
	}
	return 0
}

func workerState(now time.Duration, entry *catalog.Entry) string {
	switch {
	case entry.Record.GetWorker().Draining:
		return "draining"
	case entry.ColdUntil > now:
		return "cold"
	}
	return "ready"
}
