package edge

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	livenessInterval = 60 * time.Millisecond
	// of a worker that has requests of ours in hand, until it is probed
	silenceMost  = 280 * time.Millisecond
	probesFailed = 2                      // in a row, after which a worker counts as dead
	probeAgain   = 500 * time.Millisecond // between probes of a dead worker
	probeFor     = 20 * time.Second       // after which a dead worker is left to the core's word
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
	timeout   time.Duration // of a probe
	heard     time.Time
	failed    int       // probes in a row
	deadSince time.Time // zero: alive, as far as known
	nextProbe time.Time
	probing   bool
	requests  map[*attempt]func() // in hand; what ends one that may be repeated, or nil
}

func newLiveness() *liveness { return &liveness{workers: map[string]*watchedWorker{}} }

// begin notes that a request is in hand at a worker. interrupt ends it where the worker is found dead; nil:
// it stays.
func (l *liveness) begin(a *attempt, timeout time.Duration, interrupt func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workers[a.worker.Instance]
	if w == nil {
		w = &watchedWorker{address: a.worker.Address, timeout: timeout, requests: map[*attempt]func(){}}
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
		w = &watchedWorker{address: a.worker.Address, timeout: timeout, requests: map[*attempt]func(){}}
		l.workers[a.worker.Instance] = w
	}
	if w.deadSince.IsZero() {
		w.deadSince = time.Now()
		w.nextProbe = time.Now().Add(probeAgain)
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

// dead returns the workers that do not answer.
func (l *liveness) dead() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for instance, w := range l.workers {
		if !w.deadSince.IsZero() && w.failed >= probesFailed {
			list = append(list, instance)
		}
	}
	return list
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
	connection, err := net.DialTimeout("tcp4", w.address, w.timeout)
	if err == nil {
		connection.Close()
	}
	interrupts, dead := e.liveness.probed(instance, w, err == nil)
	switch {
	case err == nil:
		e.decide.alive(instance)
	case dead:
		e.decide.failed(e.now(), instance)
		e.pool.Drop(w.address)
	}
	for _, interrupt := range interrupts {
		interrupt()
	}
}
