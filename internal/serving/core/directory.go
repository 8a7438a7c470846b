package core

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/control"
	"willowdeck/internal/serving/wirepb"
)

const (
	resolveTTL  = 1.0 // seconds
	resolveMost = 64  // addresses in an answer
	enoughNear  = 2   // edges of a zone or region that make further ones unnecessary
	enoughShare = 0.5 // of those that are known in the zone, with the same meaning
)

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
	edges := c.engine.Mirror().Of(catalog.Edges)
	near := nearEdges(edges, c.engine.SilentWriter, query.Get("zone"), query.Get("region"))
	if len(near) == 0 {
		refuse(w, http.StatusServiceUnavailable, "no edge is known yet: ask again soon")
		return
	}
	ttl := math.Min(resolveTTL, c.settings.Bounds.MaxResolveTTL.Seconds())
	answer(w, http.StatusOK, resolution{Addresses: near, TTL: ttl})
}

// nearEdges returns the edges that a client should use: of those that can be relied on the most, the ones of
// its zone, with those of its region where the zone has few, and all where the region has few. An edge whose
// core does not speak any more may be gone with it; one that is not ready cannot serve all routes. Such edges
// are better than none.
func nearEdges(entries []*catalog.Entry, silent func(origin string) bool, zone, region string) []string {
	var reliable, ready, known []*wirepb.Edge
	for _, entry := range entries {
		edge := entry.Record.GetEdge()
		if edge == nil || entry.Record.Deleted || edge.Address == "" {
			continue
		}
		known = append(known, edge)
		if !edge.Ready {
			continue
		}
		ready = append(ready, edge)
		if !silent(entry.Record.Origin) {
			reliable = append(reliable, edge)
		}
	}
	for _, choice := range [][]*wirepb.Edge{reliable, ready, known} {
		if len(choice) > 0 {
			return nearest(choice, known, zone, region)
		}
	}
	return nil
}

// nearest returns the addresses of the edges of a zone; where they are few, or few of those that are known
// there (what the others should bear would be too much for them), of its region; and of all where that has
// few, since leaving a region may leave the homes of a route.
func nearest(edges, known []*wirepb.Edge, zone, region string) []string {
	inZone := func(edge *wirepb.Edge) bool { return edge.Zone == zone }
	inRegion := func(edge *wirepb.Edge) bool { return edge.Region == region }
	usual := int(math.Ceil(enoughShare * float64(len(addresses(known, inZone)))))
	choice := addresses(edges, inZone)
	if len(choice) < max(enoughNear, usual) {
		choice = addresses(edges, inRegion)
	}
	if len(choice) < enoughNear {
		choice = addresses(edges, func(*wirepb.Edge) bool { return true })
	}
	return choice[:min(len(choice), resolveMost)]
}

func addresses(edges []*wirepb.Edge, wanted func(*wirepb.Edge) bool) []string {
	var list []string
	for _, edge := range edges {
		if wanted(edge) {
			list = append(list, edge.Address)
		}
	}
	return list
}

func (c *Core) status(w http.ResponseWriter, _ *http.Request) {
	reports := make(chan control.Status, 1)
	if !c.do(func() { reports <- c.engine.Status() }) {
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
