package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	healthCheckTick = 60 * time.Millisecond // at which due checks are looked for
	// activityTimeout is how long a worker with requests in flight may send nothing before it is checked.
	activityTimeout = 280 * time.Millisecond
	// checkTimeoutDivisor divides a request's dial time-out for a check, which is repeated.
	checkTimeoutDivisor = 2
	// unresponsiveThreshold is how many checks in a row fail before a worker counts as unresponsive.
	unresponsiveThreshold = 2
	recheckInterval       = 500 * time.Millisecond // of an unresponsive worker
	// maxRecheckTime is how long an unresponsive worker without requests is checked; then it is left to the
	// core's health checks.
	maxRecheckTime = 20 * time.Second
)

// healthChecker monitors the workers that have requests of this edge in flight. One that sends nothing on any
// connection is checked by a new connection. If that fails as well, its idempotent requests are interrupted;
// others stay, since silence does not prove that a response is lost. An unresponsive worker is checked until
// it answers, so that no request has to find out. It is safe for concurrent use.
type healthChecker struct {
	mu      sync.Mutex                  // guards what follows, monitoredWorkers included
	workers map[string]*monitoredWorker // by instance
}

// monitoredWorker is a worker with requests in flight, or one that is unresponsive.
type monitoredWorker struct {
	address     string
	zone        string
	dialTimeout time.Duration // of requests; a check has a part of it

	lastActivityAt    time.Time
	failedChecks      int       // in a row
	unresponsiveSince time.Time // zero: responsive, as far as known
	nextCheckAt       time.Time
	checking          bool
	requests          map[*attempt]func() // in flight; the function interrupts an idempotent one, else nil

	peersNotified bool // by this edge, that it is unresponsive; only the running check uses it
}

func newHealthChecker() *healthChecker {
	return &healthChecker{workers: map[string]*monitoredWorker{}}
}

// worker returns the monitored worker of an attempt, which it creates for a new one. h.mu must be held.
func (h *healthChecker) worker(a *attempt, dialTimeout time.Duration) *monitoredWorker {
	w := h.workers[a.worker.Instance]
	if w == nil {
		w = &monitoredWorker{
			address: a.worker.Address, zone: a.worker.Zone, dialTimeout: dialTimeout,
			requests: map[*attempt]func(){},
		}
		h.workers[a.worker.Instance] = w
	}
	return w
}

// recordActivity records that the worker sent something. The checker's mu must be held.
func (w *monitoredWorker) recordActivity() {
	w.lastActivityAt = time.Now()
	w.failedChecks = 0
	w.unresponsiveSince = time.Time{}
}

// responsive reports whether the worker answers, as far as known. The checker's mu must be held.
func (w *monitoredWorker) responsive() bool { return w.unresponsiveSince.IsZero() }

// startRequest monitors a worker for as long as it has the request. interrupt ends the request where the
// worker becomes unresponsive; nil: the request stays.
func (h *healthChecker) startRequest(a *attempt, dialTimeout time.Duration, interrupt func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.worker(a, dialTimeout)
	if len(w.requests) == 0 {
		w.lastActivityAt = time.Now()
	}
	w.requests[a] = interrupt
}

// endRequest records that a request is no longer in flight.
func (h *healthChecker) endRequest(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.workers[a.worker.Instance]
	if w == nil {
		return
	}
	delete(w.requests, a)
	if len(w.requests) == 0 && w.responsive() && !w.checking {
		delete(h.workers, a.worker.Instance)
	}
}

// interruptAll ends all requests in flight at workers.
func (h *healthChecker) interruptAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.workers {
		for a := range w.requests {
			a.connection.Close()
		}
	}
}

// recordActivity records that a worker sent something on a connection.
func (h *healthChecker) recordActivity(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w := h.workers[instance]; w != nil {
		w.recordActivity()
	}
}

// recordUnreachable has a worker checked to which a request could not connect.
func (h *healthChecker) recordUnreachable(a *attempt, dialTimeout time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.worker(a, dialTimeout)
	if w.responsive() {
		w.unresponsiveSince = time.Now()
		w.nextCheckAt = time.Now().Add(recheckInterval)
	}
}

// expedite has a worker with requests in flight checked at once: another edge reports it unresponsive.
func (h *healthChecker) expedite(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w := h.workers[instance]; w != nil && len(w.requests) > 0 && w.responsive() {
		w.lastActivityAt = time.Time{}
	}
}

// startDueChecks returns the workers to be checked now, by instance. recordCheck must follow for each.
func (h *healthChecker) startDueChecks() map[string]*monitoredWorker {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	due := map[string]*monitoredWorker{}
	for instance, w := range h.workers {
		expired := !w.responsive() && now.Sub(w.unresponsiveSince) > maxRecheckTime
		if expired && len(w.requests) == 0 && !w.checking {
			delete(h.workers, instance)
			continue
		}
		silent := len(w.requests) > 0 && now.Sub(w.lastActivityAt) > activityTimeout
		if w.checking || now.Before(w.nextCheckAt) || !silent && w.responsive() {
			continue
		}
		w.checking = true
		due[instance] = w
	}
	return due
}

// recordCheck records the result of a check. It returns whether the worker is unresponsive, and the functions
// that interrupt its requests, each of them once.
func (h *healthChecker) recordCheck(
	instance string, w *monitoredWorker, answered bool,
) (interrupts []func(), unresponsive bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.checking = false
	if answered {
		w.recordActivity()
		if len(w.requests) == 0 {
			delete(h.workers, instance)
		}
		return nil, false
	}
	w.failedChecks++
	if w.failedChecks < unresponsiveThreshold && w.responsive() {
		return nil, false
	}
	if w.responsive() {
		w.unresponsiveSince = time.Now()
	}
	w.nextCheckAt = time.Now().Add(recheckInterval)
	for a, interrupt := range w.requests {
		if interrupt != nil {
			interrupts = append(interrupts, interrupt)
			w.requests[a] = nil
		}
	}
	return interrupts, true
}

// runHealthChecks checks workers when that is due, until the context ends.
func (e *Edge) runHealthChecks(ctx context.Context) {
	ticker := time.NewTicker(healthCheckTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for instance, w := range e.healthChecker.startDueChecks() {
			go e.checkHealth(instance, w)
		}
	}
}

// checkHealth checks one worker by a new connection, and acts on the result.
func (e *Edge) checkHealth(instance string, w *monitoredWorker) {
	connection, err := net.DialTimeout("tcp4", w.address, w.dialTimeout/checkTimeoutDivisor)
	if err == nil {
		connection.Close()
	}
	interrupts, unresponsive := e.healthChecker.recordCheck(instance, w, err == nil)
	switch {
	case err == nil:
		w.peersNotified = false
		e.decisions.recordSuccess(e.now(), instance)
	case unresponsive:
		e.connections.CloseIdle(w.address)
		alreadyKnown := e.decisions.recordUnresponsive(e.now(), instance, false)
		if !alreadyKnown || w.peersNotified {
			w.peersNotified = true // one edge notifies the others, as long as the worker is unresponsive
			e.notifyUnhealthy(w.zone, &wirepb.WorkerFailureNotice{InstanceId: instance})
		}
	}
	for _, interrupt := range interrupts {
		interrupt()
	}
}
