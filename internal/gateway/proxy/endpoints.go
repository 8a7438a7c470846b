package proxy

import (
	"time"

	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
)

// Ready tells whether some worker takes requests.
func (d *Dispatcher) Ready() bool { return d.ready.Load() }

// ApplyEndpoints takes a list of service discovery. Guards against lists that block all requests: a full
// list is reduced to its changes before the lock is taken, and a long one is applied in chunks. Until the
// last of them the dispatcher's readiness does not change.
func (d *Dispatcher) ApplyEndpoints(list endpoints.List) {
	d.applying.Lock()
	defer d.applying.Unlock()
	chunks := d.workers.Split(d.workers.Diff(list), policy.EndpointBatchSize)
	for i, chunk := range chunks {
		if i > 0 {
			time.Sleep(transport.Millis(policy.EndpointBatchIntervalMillis))
		}
		lockedMillis := d.lockPolicy()
		if len(chunks) == 1 {
			d.history.workersChanged(list)
		} else {
			d.history.workersChanged(chunk)
		}
		postings, ended := d.workers.Apply(chunk, d.policy.WorkerUnreferenced)
		if i == len(chunks)-1 {
			d.ready.Store(d.workers.AnyActive())
		}
		d.policy.UpdateEndpoints(postings, !chunk.Snapshot)
		d.flushAndUnlock()
		if list.Snapshot {
			d.recordLockTime(lockedMillis, &d.lockTimes.FullListMicros)
		} else {
			d.recordLockTime(lockedMillis, &d.lockTimes.ChangeMicros)
		}
		for _, worker := range ended {
			d.closeIdle(worker)
		}
	}
}
