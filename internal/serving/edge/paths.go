package edge

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/pathhealth"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/wirepb"
)

// pathInterval is how often it is looked whether a probe is due or overdue.
const pathInterval = 30 * time.Millisecond

// paths is what this edge knows of the ways to other zones. What requests read is one map for all of them.
type paths struct {
	mu        sync.Mutex
	watch     *pathhealth.Detector
	zones     map[string]string               // the region of each zone
	published atomic.Pointer[map[string]bool] // the zones that are suspected
}

func newPaths(config *settings.Settings, first uint64) *paths {
	own := pathhealth.FailureDomain{Zone: config.Zone, Region: config.Region}
	p := &paths{watch: pathhealth.New(own, first), zones: config.Zones}
	p.published.Store(&map[string]bool{})
	return p
}

// suspected reports whether there seems to be no path to a zone.
func (p *paths) suspected(zone string) bool { return (*p.published.Load())[zone] }

// due returns the probes to be sent now.
func (p *paths) due(now time.Duration, t *table) []pathhealth.Probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make([]pathhealth.Target, len(t.targets))
	for i := range t.targets {
		targets[i] = t.targets[i].Target
	}
	probes := p.watch.DueProbes(now, targets)
	p.publish(now)
	return probes
}

func (p *paths) answered(now time.Duration, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watch.RecordAnswer(now, number)
	p.publish(now)
}

// proven takes the word that a worker has answered a message sent at that time.
func (p *paths) proven(sentAt time.Duration, w worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watch.ConfirmPath(sentAt, pathhealth.FailureDomain{Zone: w.Zone, Region: w.Region})
}

// publish makes known which zones are suspected. The caller holds the lock.
func (p *paths) publish(now time.Duration) {
	suspected := map[string]bool{}
	for zone, region := range p.zones {
		if p.watch.Suspected(now, pathhealth.FailureDomain{Zone: zone, Region: region}) {
			suspected[zone] = true
		}
	}
	if !maps.Equal(suspected, *p.published.Load()) {
		p.published.Store(&suspected)
	}
}

// noteImpairment tells the core where some route that has workers has none that there seems to be a path to:
// other edges may serve it.
func (e *Edge) noteImpairment(t *table) {
	suspected := e.paths.published.Load()
	if t == e.impairment.table && suspected == e.impairment.suspected {
		return
	}
	e.impairment = impairment{table: t, suspected: suspected}
	if impaired := t.cutOff(*suspected); impaired != e.impaired.Load() {
		e.impaired.Store(impaired)
		e.tellAgent()
	}
}

// impairment is what the last look at all routes went by.
type impairment struct {
	table     *table
	suspected *map[string]bool
}

// cutOff reports whether some route has workers, but only in suspected zones.
func (t *table) cutOff(suspected map[string]bool) bool {
	if len(suspected) == 0 {
		return false
	}
	for _, routes := range t.hosts {
		for _, route := range routes {
			if t.routeCutOff(route, suspected) {
				return true
			}
		}
	}
	return false
}

func (t *table) routeCutOff(route *configuration.Route, suspected map[string]bool) bool {
	known := false
	for _, split := range route.Backends() {
		for _, worker := range t.workers[split.Backend] {
			if !allowed(route, worker.Region) {
				continue
			}
			if !suspected[worker.Zone] {
				return false
			}
			known = true
		}
	}
	return known
}

// watchPaths sends probes until the context ends, and logs which zones become suspected, or reachable again.
func (e *Edge) watchPaths(ctx context.Context, datagrams *datagrams) {
	ticker := time.NewTicker(pathInterval)
	defer ticker.Stop()
	logged := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t := e.table.Load()
		if t == nil {
			continue
		}
		for _, probe := range e.paths.due(e.now(), t) {
			e.sendProbe(datagrams, t, probe)
		}
		logged = e.logPaths(logged)
		e.noteImpairment(t)
	}
}

func (e *Edge) sendProbe(datagrams *datagrams, t *table, probe pathhealth.Probe) {
	for _, target := range t.targets {
		if target.Name == probe.Target {
			body := &wirepb.EdgeDatagram_Probe{Probe: &wirepb.PathProbe{Number: probe.Number}}
			datagrams.send(&wirepb.EdgeDatagram{Body: body}, target.address)
			return
		}
	}
}

func (e *Edge) logPaths(logged map[string]bool) map[string]bool {
	suspected := *e.paths.published.Load()
	for zone := range suspected {
		if !logged[zone] {
			e.logger.Info("no path to a zone", zap.String("zone", zone))
		}
	}
	for zone := range logged {
		if !suspected[zone] {
			e.logger.Info("path to a zone is back", zap.String("zone", zone))
		}
	}
	return suspected
}
