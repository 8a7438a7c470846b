package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	livenessInterval = 60 * time.Millisecond
	// of a worker that has requests of ours in hand, until it is probed
	silenceMost   = 280 * time.Millisecond
	probeFraction = 2                      // of a request's time to connect: a probe is repeated
	probesFailed  = 2                      // in a row, after which a worker counts as dead
	probeAgain    = 500 * time.Millisecond // between probes of a dead worker
	probeFor      = 20 * time.Second       // after which a dead worker is left to the core's word
)

// liveness watches the workers that have requests of this edge in hand. One that says nothing on any
// connection is probed by a new connection. If that fails as well, requests that may be repeated are taken
// away from it; others stay, since silence is no reason to end an answer. A dead worker is probed until it
// answers, so that no request has to.
type liveness struct {
	mu      sync.Mutex
	workers map[string]*watchedWorker // by instance
}

type watchedWorker struct {
	address   string
	zone      string
	timeout   time.Duration // of a probe
	heard     time.Time
	failed    int       // probes in a row
	deadSince time.Time // zero: alive, as far as known
	nextProbe time.Time
	probing   bool
	told      bool                // to the other edges, by this one; belongs to whoever probes
	requests  map[*attempt]func() // in hand; what ends one that may be repeated, or nil
}

func newWatchedWorker(w worker, timeout time.Duration) *watchedWorker {
	return &watchedWorker{
		address: w.Address, zone: w.Zone, timeout: timeout, requests: map[*attempt]func(){},
	}
}

func newLiveness() *liveness { return &liveness{workers: map[string]*watchedWorker{}} }

// begin notes that a request is in hand at a worker. interrupt ends it where the worker is found dead; nil:
// it stays.
func (l *liveness) begin(a *attempt, timeout time.Duration, interrupt func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workers[a.worker.Instance]
	if w == nil {
		w = newWatchedWorker(a.worker, timeout)
		l.workers[a.worker.Instance] = w
	}
	if len(w.requests) == 0 {
		w.heard = time.Now()
	}
	w.requests[a] = interrupt
}

// end notes that a request has left a worker.
func (l *liveness) end(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workers[a.worker.Instance]
	if w == nil {
		return
	}
	delete(w.requests, a)
	if len(w.requests) == 0 && w.deadSince.IsZero() && !w.probing {
		delete(l.workers, a.worker.Instance)
	}
}

// hear notes a sign of life.
func (l *liveness) hear(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.workers[instance]; w != nil {
		w.heard = time.Now()
		w.failed = 0
		w.deadSince = time.Time{}
	}
}

// suspect has a worker probed that could not be reached.
func (l *liveness) suspect(a *attempt, timeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workers[a.worker.Instance]
	if w == nil {
		w = newWatchedWorker(a.worker, timeout)
		l.workers[a.worker.Instance] = w
	}
	if w.deadSince.IsZero() {
		w.deadSince = time.Now()
		w.nextProbe = time.Now().Add(probeAgain)
	}
}

// hint has a worker that has requests in hand probed soon: another edge finds it dead.
func (l *liveness) hint(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.workers[instance]; w != nil && len(w.requests) > 0 && w.deadSince.IsZero() {
		w.heard = time.Time{}
	}
}

// due returns the instances to be probed now, and marks them.
func (l *liveness) due() map[string]*watchedWorker {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	list := map[string]*watchedWorker{}
	for instance, w := range l.workers {
		if !w.deadSince.IsZero() && now.Sub(w.deadSince) > probeFor && len(w.requests) == 0 && !w.probing {
			delete(l.workers, instance)
			continue
		}
		silent := len(w.requests) > 0 && now.Sub(w.heard) > silenceMost
		if w.probing || now.Before(w.nextProbe) || !silent && w.deadSince.IsZero() {
			continue
		}
		w.probing = true
		list[instance] = w
	}
	return list
}

// probed takes a probe's outcome. It returns what ends the requests of a worker that has just been found
// dead.
func (l *liveness) probed(instance string, w *watchedWorker, alive bool) (interrupts []func(), dead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.probing = false
	if alive {
		w.heard = time.Now()
		w.failed = 0
		w.deadSince = time.Time{}
		if len(w.requests) == 0 {
			delete(l.workers, instance)
		}
		return nil, false
	}
	w.failed++
	if w.failed < probesFailed && w.deadSince.IsZero() {
		return nil, false
	}
	if w.deadSince.IsZero() {
		w.deadSince = time.Now()
	}
	w.nextProbe = time.Now().Add(probeAgain)
	for a, interrupt := range w.requests {
		if interrupt != nil {
			interrupts = append(interrupts, interrupt)
			w.requests[a] = nil
		}
	}
	return interrupts, true
}

// keepLiveness probes silent workers until the context ends.
func (e *Edge) keepLiveness(ctx context.Context) {
	ticker := time.NewTicker(livenessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for instance, w := range e.liveness.due() {
			go e.probe(instance, w)
		}
	}
}

func (e *Edge) probe(instance string, w *watchedWorker) {
	connection, err := net.DialTimeout("tcp4", w.address, w.timeout/probeFraction)
	if err == nil {
		connection.Close()
	}
	interrupts, dead := e.liveness.probed(instance, w, err == nil)
	switch {
	case err == nil:
		w.told = false
		e.decide.alive(e.now(), instance)
	case dead:
		e.pool.CloseIdle(w.address)
		if known := e.decide.dead(e.now(), instance, false); !known || w.told {
			w.told = true // the other edges need not say the same
			e.tellDead(w.zone, &wirepb.DeadNotice{InstanceId: instance})
		}
	}
	for _, interrupt := range interrupts {
		interrupt()
	}
}
