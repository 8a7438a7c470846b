package edge

import (
	"math"
	"time"

	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/wirepb"
)

// The methods of this file record in the load balancer what requests, health checks and other edges show of
// workers.

// recordFirstToken records that a worker has prefilled a request's prompt.
func (d *decisions) recordFirstToken(now time.Duration, request *loadbalancer.Request, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordFirstToken(now, request, instance)
	d.balancer.RecordSuccess(now, instance)
}

// releasePrefill records that a request leaves a worker before its first token.
func (d *decisions) releasePrefill(request *loadbalancer.Request, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.ReleasePrefill(request, instance)
}

// recordNotExecuted takes back what was assumed of a prompt that its worker has not prefilled and will not.
func (d *decisions) recordNotExecuted(now time.Duration, request *loadbalancer.Request, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordNotExecuted(now, request, instance)
}

// release records that a request is no longer in flight at a worker.
func (d *decisions) release(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.Release(instance)
}

// recordSuccess records that a worker answered a health check.
func (d *decisions) recordSuccess(now time.Duration, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordSuccess(now, instance)
}

// recordFailure records that a worker could not be reached, or broke off a response.
func (d *decisions) recordFailure(now time.Duration, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordFailure(now, instance)
}

// recordConnectionBreak records that a worker broke off a connection, to this edge or another one.
func (d *decisions) recordConnectionBreak(now time.Duration, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordConnectionBreak(now, instance)
}

// recordUnresponsive records that a worker does not answer health checks, of this edge or, with byPeer, of
// another one. It returns whether that was known already.
func (d *decisions) recordUnresponsive(now time.Duration, instance string, byPeer bool) (alreadyKnown bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.RecordUnresponsive(now, instance, byPeer)
}

// recordReplaced records that another worker answers at a worker's address.
func (d *decisions) recordReplaced(now time.Duration, instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordReplaced(now, instance)
}

// recordSelfReport records a worker's own load report: requests that run and that are queued.
func (d *decisions) recordSelfReport(now time.Duration, instance string, running, waiting float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !math.IsNaN(running) && !math.IsNaN(waiting) {
		d.balancer.RecordSelfReport(now, instance, running, waiting)
	}
}

// recordPeerLoads records another edge's load report.
func (d *decisions) recordPeerLoads(now time.Duration, report *wirepb.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerLoads.Record(now, report)
}

// recordPeerPrefill records a prompt that another edge has sent to a worker.
func (d *decisions) recordPeerPrefill(now time.Duration, notice *wirepb.PrefillNotice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.RecordPeerPrefill(now, loadbalancer.PrefillNotice{
		Instance: notice.InstanceId, PrefillMillis: float64(notice.PrefillMs), Long: notice.InterruptsStreams,
	})
}

// loadReport returns what this edge has in flight, at most at maxWorkers. The caller adds sender and number.
func (d *decisions) loadReport(maxWorkers int) *wirepb.LoadReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := &wirepb.LoadReport{}
	for _, load := range d.balancer.OwnLoads() {
		if len(report.Loads) == maxWorkers {
			break
		}
		report.Loads = append(report.Loads, &wirepb.WorkerLoad{
			InstanceId: load.Instance, InFlight: uint32(load.InFlight), PrefillTokens: uint32(load.PrefillTokens),
		})
	}
	return report
}
