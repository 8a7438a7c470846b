package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/pathhealth"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/wirepb"
)

const (
	// rebuildDelayFactor is the least delay from a change to the next build, in times of the last build's
	// duration: it bounds the processor time that changes in quick succession take.
	rebuildDelayFactor = 2
	maxRebuildDelay    = 150 * time.Millisecond
	// evacuationMarginSeconds covers the delay with which the end of an evacuation reaches the edge.
	evacuationMarginSeconds = 0.5
)

// routeCache holds decoded routes by their text: most stay the same from one configuration to the next.
type routeCache map[string]*configuration.Route

// tableBuilder builds routing tables from the state that the agent feeds. One goroutine uses it.
type tableBuilder struct {
	settings       *settings.Settings
	routes         routeCache               // of the last table
	document       *configuration.Document  // of the last table
	routeSet       *routeSet                // of document
	maxEdges       int                      // the most edges that were known at any time
	edgeCountKnown bool                     // a core that had heard of all edges has fed this process
	evacuated      map[string]bool          // zones, as of the last table
	warmingZones   map[string]time.Duration // zones back from evacuation: until when their workers warm up
}

func newTableBuilder(config *settings.Settings) *tableBuilder {
	return &tableBuilder{
		settings: config, routes: routeCache{},
		evacuated: map[string]bool{}, warmingZones: map[string]time.Duration{},
	}
}

// keepTableCurrent builds a new table whenever the store changes, until the context ends.
func (e *Edge) keepTableCurrent(ctx context.Context) {
	builder := newTableBuilder(e.settings)
	for {
		changed := e.store.Changed()
		begun := time.Now()
		e.updateTable(builder)
		delay := min(rebuildDelayFactor*time.Since(begun), maxRebuildDelay)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		time.Sleep(delay) // changes in quick succession are built into one table
	}
}

// updateTable puts a new table in force, where the store holds a usable configuration.
func (e *Edge) updateTable(builder *tableBuilder) {
	previous := e.table.Load()
	next, err := builder.build(e.now(), e.store.Snapshot())
	if err != nil {
		e.logger.Error("new configuration is unusable: the previous one stays in force", zap.Error(err))
		return
	}
	if next == nil {
		return
	}
	e.table.Store(next)
	if previous == nil {
		close(e.tableReady)
		e.notifyStatusChange()
	}
	if previous == nil || previous.generation != next.generation {
		e.logger.Info("configuration in force", zap.Uint64("generation", next.generation))
	}
}

// build returns the table for a snapshot, or nil where it holds no configuration.
func (b *tableBuilder) build(now time.Duration, snapshot stateview.Snapshot) (*routingTable, error) {
	if snapshot.Document == nil {
		return nil, nil
	}
	routes, err := b.routeSetOf(snapshot.Document)
	if err != nil {
		return nil, err
	}
	table := &routingTable{
		routeSet: routes, generation: snapshot.Document.Generation,
		services: map[string]*configuration.Service{}, workersByService: map[string][]worker{},
		addresses: map[string]string{}, demands: snapshot.Demands,
	}
	services, err := snapshot.Document.Services()
	if err != nil {
		return nil, err
	}
	longestWarmupSeconds := 0.0
	for i := range services {
		table.services[services[i].Name] = &services[i]
		longestWarmupSeconds = max(longestWarmupSeconds, services[i].WarmupSeconds)
	}
	if table.limits, err = snapshot.Document.Limits(); err != nil {
		return nil, err
	}
	b.updateEvacuations(now, snapshot.Evacuated, longestWarmupSeconds)
	b.addMembers(table, snapshot)
	b.edgeCountKnown = b.edgeCountKnown || snapshot.Synced && snapshot.QuorumContact
	if b.edgeCountKnown {
		table.edgeCount = b.maxEdges
	}
	return table, nil
}

// routeSetOf returns the routes of a configuration. They are those of the last table where it has not
// changed.
func (b *tableBuilder) routeSetOf(document *configuration.Document) (*routeSet, error) {
	if document == b.document {
		return b.routeSet, nil
	}
	set := &routeSet{routesByHost: map[string][]*configuration.Route{}, maxStreamGapMillis: map[string]float64{}}
	decoded := make(routeCache, len(document.Routes()))
	all := make([]*configuration.Route, 0, len(document.Routes()))
	for _, text := range document.Routes() {
		route := b.routes[text]
		if route == nil {
			route = &configuration.Route{}
			if err := json.Unmarshal([]byte(text), route); err != nil {
				return nil, err
			}
		}
		decoded[text] = route
		all = append(all, route)
		host := route.Match().Host
		set.routesByHost[host] = append(set.routesByHost[host], route)
		set.addStreamGap(route)
	}
	for _, routes := range set.routesByHost {
		slices.SortFunc(routes, compareRoutes)
	}
	set.priorityRanks = priorityRanks(all)
	b.document, b.routeSet, b.routes = document, set, decoded
	return set, nil
}

// compareRoutes orders the routes of a host by precedence: the longest prefix first. Configurations that
// earlier builds have accepted may give one prefix to two routes; the same one has to take precedence at each
// edge.
func compareRoutes(x, y *configuration.Route) int {
	return cmp.Or(
		cmp.Compare(len(y.PathPrefix), len(x.PathPrefix)),
		cmp.Compare(x.PathPrefix, y.PathPrefix),
		cmp.Compare(x.Hostname, y.Hostname),
	)
}

// addStreamGap tightens maxStreamGapMillis of the services that a route leads to.
func (s *routeSet) addStreamGap(route *configuration.Route) {
	if route.TargetGapMs <= 0 {
		return
	}
	for _, split := range route.Backends() {
		if strictest, known := s.maxStreamGapMillis[split.Backend]; !known || route.TargetGapMs < strictest {
			s.maxStreamGapMillis[split.Backend] = route.TargetGapMs
		}
	}
}

// updateEvacuations records which zones' workers may be warming up: the end of an evacuation says that they
// may have begun to, shortly before it.
func (b *tableBuilder) updateEvacuations(now time.Duration, evacuated []string, warmupSeconds float64) {
	current := map[string]bool{}
	for _, zone := range evacuated {
		current[zone] = true
	}
	for zone := range b.evacuated {
		if !current[zone] {
			warmup := time.Duration((warmupSeconds + evacuationMarginSeconds) * float64(time.Second))
			b.warmingZones[zone] = now + warmup
		}
	}
	b.evacuated = current
	maps.DeleteFunc(b.warmingZones, func(_ string, until time.Duration) bool { return now >= until })
}

// addMembers adds the workers and edges of a snapshot to a table.
func (b *tableBuilder) addMembers(table *routingTable, snapshot stateview.Snapshot) {
	edges := 0
	for _, entry := range snapshot.Entries {
		if entry.Record.Deleted {
			continue
		}
		if edge := entry.Record.GetEdge(); edge != nil {
			edges++
			b.addPeer(table, edge)
		}
		if record := entry.Record.GetWorker(); record != nil {
			b.addWorker(table, record, entry.WarmingUntil)
		}
	}
	b.maxEdges = max(b.maxEdges, edges, 1)
}

// addWorker adds a worker to a table: to those that may get requests unless it or its zone is being emptied.
func (b *tableBuilder) addWorker(table *routingTable, record *wirepb.Worker, warmingUntil time.Duration) {
	table.addresses[record.InstanceId] = record.Address
	if record.Draining || b.evacuated[record.Zone] {
		return
	}
	service := table.services[record.Service]
	table.workersByService[record.Service] = append(table.workersByService[record.Service], worker{
		Worker: loadbalancer.Worker{
			Instance: record.InstanceId, Address: record.Address, Zone: record.Zone,
			Region: b.settings.Zones[record.Zone], Capacity: int(record.Capacity),
			Engine: service != nil && service.Engine != nil,
		},
		warmingUntil: max(warmingUntil, b.warmingZones[record.Zone]),
	})
}

// addPeer adds an edge to a table, unless it is this one or has no valid address.
func (b *tableBuilder) addPeer(table *routingTable, edge *wirepb.Edge) {
	address, err := netip.ParseAddrPort(edge.InternalAddress)
	if err != nil || edge.Name == b.settings.NodeName {
		return
	}
	if edge.Linked {
		table.linkedPeers++
	}
	domain := pathhealth.FailureDomain{Zone: edge.Zone, Region: edge.Region}
	table.peers = append(table.peers, peer{
		Target:  pathhealth.Target{Name: edge.Name, FailureDomain: domain, Linked: edge.Linked},
		address: address,
	})
}
