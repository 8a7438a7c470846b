package edge

import (
	"encoding/json"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/pathhealth"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/wirepb"
)

// table is what requests are handled by: one moment's configuration and workers. It is not changed once made.
type table struct {
	generation uint64
	hosts      map[string][]*configuration.Route // the longest prefix first
	services   map[string]*configuration.Service
	limits     configuration.Limits
	workers    map[string][]worker // by service; those that may get new requests
	instances  map[string]bool     // all that are known
	addresses  map[string]string   // of the same
	edges      int                 // N, never counted too low; 0: not known yet
	demands    []*wirepb.Demand
	peers      []peer // the other edges that live
	targets    []target
	pauses     map[string]float64 // by service: the ms that its streams may pause, by the strictest route
}

// peer is another edge, by where it hears of loads.
type peer struct {
	name    string
	address netip.AddrPort
}

// target is another edge that the path to its place can be proven with.
type target struct {
	pathhealth.Target
	address netip.AddrPort
}

// worker is one that may get requests.
type worker struct {
	loadbalancer.Worker
	coldUntil time.Duration
}

// routeCache keeps decoded routes by their text: most stay as they are from one configuration to the next.
type routeCache map[string]*configuration.Route

// tableBuilder makes tables out of what the agent feeds.
type tableBuilder struct {
	settings  *settings.Settings
	routes    routeCache
	edges     int                      // the most edges that were known at any time
	settled   bool                     // a core that has heard of all edges has told of them, in this life
	evacuated map[string]bool          // zones, as of the last table
	coldZones map[string]time.Duration // zones taken back lately: until when their workers count as cold
}

func newTableBuilder(config *settings.Settings) *tableBuilder {
	return &tableBuilder{
		settings: config, routes: routeCache{},
		evacuated: map[string]bool{}, coldZones: map[string]time.Duration{},
	}
}

// build returns the table for a view, or nil where no configuration is known yet.
func (b *tableBuilder) build(now time.Duration, view stateview.Snapshot) (*table, error) {
	if view.Document == nil {
		return nil, nil
	}
	t := &table{
		generation: view.Document.Generation, services: map[string]*configuration.Service{},
		workers: map[string][]worker{}, pauses: map[string]float64{},
		instances: map[string]bool{}, addresses: map[string]string{}, demands: view.Demands,
	}
	if err := b.buildRoutes(t, view.Document); err != nil {
		return nil, err
	}
	services, err := view.Document.Services()
	if err != nil {
		return nil, err
	}
	longestCold := 0.0
	for i := range services {
		t.services[services[i].Name] = &services[i]
		longestCold = max(longestCold, services[i].WarmupSeconds)
	}
	if t.limits, err = view.Document.Limits(); err != nil {
		return nil, err
	}
	b.noteEvacuations(now, view.Evacuated, longestCold)
	b.buildWorkers(now, t, view)
	b.settled = b.settled || view.Synced && view.QuorumContact
	if b.settled {
		t.edges = b.edges
	}
	return t, nil
}

func (b *tableBuilder) buildRoutes(t *table, document *configuration.Document) error {
	kept := make(routeCache, len(document.Routes()))
	t.hosts = map[string][]*configuration.Route{}
	for _, raw := range document.Routes() {
		route := b.routes[raw]
		if route == nil {
			route = &configuration.Route{}
			if err := json.Unmarshal([]byte(raw), route); err != nil {
				return err
			}
		}
		kept[raw] = route
		host := strings.ToLower(route.Hostname)
		t.hosts[host] = append(t.hosts[host], route)
		t.notePause(route)
	}
	b.routes = kept
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(x, y *configuration.Route) int {
			return len(y.PathPrefix) - len(x.PathPrefix)
		})
	}
	return nil
}

func (t *table) notePause(route *configuration.Route) {
	if route.TargetGapMs <= 0 {
		return
	}
	for _, split := range route.Backends() {
		if strictest, known := t.pauses[split.Backend]; !known || route.TargetGapMs < strictest {
			t.pauses[split.Backend] = route.TargetGapMs
		}
	}
}

// noteEvacuations keeps which zones' workers may have turned cold: an evacuation's end says that they may
// have, shortly before it.
func (b *tableBuilder) noteEvacuations(now time.Duration, evacuated []string, coldSeconds float64) {
	current := map[string]bool{}
	for _, zone := range evacuated {
		current[zone] = true
	}
	for zone := range b.evacuated {
		if !current[zone] {
			b.coldZones[zone] = now + time.Duration((coldSeconds+evacuationMargin)*float64(time.Second))
		}
	}
	b.evacuated = current
	maps.DeleteFunc(b.coldZones, func(_ string, until time.Duration) bool { return now >= until })
}

func (b *tableBuilder) buildWorkers(now time.Duration, t *table, view stateview.Snapshot) {
	edges := 0
	for _, entry := range view.Entries {
		if entry.Record.Deleted {
			continue
		}
		if edge := entry.Record.GetEdge(); edge != nil {
			edges++
			b.addPeer(t, edge)
		}
		told := entry.Record.GetWorker()
		if told == nil {
			continue
		}
		t.instances[told.InstanceId] = true
		t.addresses[told.InstanceId] = told.Address
		if told.Draining || b.evacuated[told.Zone] {
			continue
		}
		service := t.services[told.Service]
		t.workers[told.Service] = append(t.workers[told.Service], worker{
			Worker: loadbalancer.Worker{
				Instance: told.InstanceId, Address: told.Address, Zone: told.Zone,
				Region: b.settings.Zones[told.Zone], Capacity: int(told.Capacity),
				Engine: service != nil && service.Engine != nil,
			},
			coldUntil: max(entry.WarmingUntil, b.coldZones[told.Zone]),
		})
	}
	b.edges = max(b.edges, edges, 1)
}

func (b *tableBuilder) addPeer(t *table, edge *wirepb.Edge) {
	address, err := netip.ParseAddrPort(edge.InternalAddress)
	if err != nil || edge.Name == b.settings.NodeName {
		return
	}
	if edge.Linked {
		t.peers = append(t.peers, peer{name: edge.Name, address: address})
	}
	place := pathhealth.FailureDomain{Zone: edge.Zone, Region: edge.Region}
	t.targets = append(t.targets, target{
		Target: pathhealth.Target{Name: edge.Name, FailureDomain: place, Linked: edge.Linked}, address: address,
	})
}

// manyEdges stands for a number of edges that is not known: an edge's part of the slack is next to nothing
// then.
const manyEdges = 10_000

// budgetEdges returns how many edges share the retry budget's slack, never too few.
func (t *table) budgetEdges() int {
	if t.edges == 0 {
		return manyEdges
	}
	return t.edges
}

// route returns the route of a request, or nil.
func (t *table) route(host, path string) *configuration.Route {
	for _, route := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// hostName returns a Host header's name, without port and in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
