package edge

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"willowdeck/internal/serving/pathhealth"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/wirepb"
)

// pathTick is how often due probes are sent and unanswered ones are counted.
const pathTick = 30 * time.Millisecond

// pathMonitor tells which zones there seems to be no network path to. It is safe for concurrent use; requests
// read its result without a lock.
type pathMonitor struct {
	regionByZone   map[string]string               // all zones; immutable
	suspectedZones atomic.Pointer[map[string]bool] // the published map is immutable

	mu       sync.Mutex // guards detector
	detector *pathhealth.Detector
}

// newPathMonitor returns a monitor whose probes are numbered from firstProbe on.
func newPathMonitor(config *settings.Settings, firstProbe uint64) *pathMonitor {
	own := pathhealth.FailureDomain{Zone: config.Zone, Region: config.Region}
	p := &pathMonitor{detector: pathhealth.New(own, firstProbe), regionByZone: config.Zones}
	p.suspectedZones.Store(&map[string]bool{})
	return p
}

// suspected reports whether there seems to be no path to a zone.
func (p *pathMonitor) suspected(zone string) bool { return (*p.suspectedZones.Load())[zone] }

// dueProbes returns the probes to be sent now.
func (p *pathMonitor) dueProbes(now time.Duration, table *routingTable) []pathhealth.Probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make([]pathhealth.Target, len(table.peers))
	for i := range table.peers {
		targets[i] = table.peers[i].Target
	}
	probes := p.detector.DueProbes(now, targets)
	p.publish(now)
	return probes
}

// recordAnswer records the answer to a probe.
func (p *pathMonitor) recordAnswer(now time.Duration, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detector.RecordAnswer(now, number)
	p.publish(now)
}

// confirm records that a worker has answered a request sent at sentAt.
func (p *pathMonitor) confirm(sentAt time.Duration, w worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detector.ConfirmPath(sentAt, pathhealth.FailureDomain{Zone: w.Zone, Region: w.Region})
}

// publish updates suspectedZones. p.mu must be held.
func (p *pathMonitor) publish(now time.Duration) {
	suspected := map[string]bool{}
	for zone, region := range p.regionByZone {
		if p.detector.Suspected(now, pathhealth.FailureDomain{Zone: zone, Region: region}) {
			suspected[zone] = true
		}
	}
	if !maps.Equal(suspected, *p.suspectedZones.Load()) {
		p.suspectedZones.Store(&suspected)
	}
}

// monitorPaths sends probes until the context ends, and logs which zones become suspected, or reachable
// again.
func (e *Edge) monitorPaths(ctx context.Context, socket *datagramSocket) {
	ticker := time.NewTicker(pathTick)
	defer ticker.Stop()
	logged := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		table := e.table.Load()
		if table == nil {
			continue
		}
		for _, probe := range e.paths.dueProbes(e.now(), table) {
			sendProbe(socket, table, probe)
		}
		logged = e.logPathChanges(logged)
		e.updateReachability(table)
	}
}

// sendProbe sends a probe to the peer that it is for.
func sendProbe(socket *datagramSocket, table *routingTable, probe pathhealth.Probe) {
	for _, peer := range table.peers {
		if peer.Name == probe.Target {
			body := &wirepb.EdgeDatagram_Probe{Probe: &wirepb.PathProbe{Number: probe.Number}}
			socket.send(&wirepb.EdgeDatagram{Body: body}, peer.address)
			return
		}
	}
}

// logPathChanges logs how the suspected zones differ from those that were logged, and returns them.
func (e *Edge) logPathChanges(logged map[string]bool) map[string]bool {
	suspected := *e.paths.suspectedZones.Load()
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
