package drain

import (
	"sync"
	"time"
)

// uncertainPeriod is how long after the begin of the shutdown a request is taken that is only likely to be
// finished. Most clients still have an answer of the directory that names this process. After it, a request
// is taken only if its time limit ends before the process does.
const uncertainPeriod = 2500 * time.Millisecond

// Route identifies a route.
type Route struct{ Host, PathPrefix string }

// Gate counts the requests in flight and decides which further ones are taken. It is safe for concurrent use.
type Gate struct {
	mu        sync.Mutex // guards what follows
	inFlight  int
	begun     bool          // the process shuts down
	begunAt   time.Duration // valid if begun is set
	end       time.Duration // when requests in flight are cut off; valid if begun is set
	closed    bool          // no further request is taken
	durations map[Route]*recentDurations
}

// NewGate returns the gate of a process that does not shut down.
func NewGate() *Gate { return &Gate{durations: map[Route]*recentDurations{}} }

// Begin records that the process shuts down: requests in flight at end are cut off.
func (g *Gate) Begin(now, end time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.begun {
		g.begun, g.begunAt, g.end = true, now, end
	}
}

// Enter counts a request as in flight, taken or not, until Leave.
func (g *Gate) Enter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
}

// Leave ends what Enter has begun.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
}

// InFlight returns how many requests are in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Draining reports whether the process shuts down.
func (g *Gate) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.begun
}

// Closed reports whether nothing more is passed on, retries of requests in flight included.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// RecordDuration records how long a complete response on a route has taken.
func (g *Gate) RecordDuration(route Route, duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	recent := g.durations[route]
	if recent == nil {
		recent = &recentDurations{}
		g.durations[route] = recent
	}
	recent.add(duration)
}

// Retain forgets the routes that known rejects.
func (g *Gate) Retain(known func(route Route) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for route := range g.durations {
		if !known(route) {
			delete(g.durations, route)
		}
	}
}

// Take reports whether a request on a route, whose time limit ends after timeLimit, may be passed on.
func (g *Gate) Take(now time.Duration, route Route, timeLimit time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.begun {
		return true
	}
	left := g.end - now
	switch {
	case g.closed || left <= 0:
		return false
	case timeLimit <= left:
		return true
	case now-g.begunAt >= uncertainPeriod:
		return false
	}
	recent := g.durations[route]
	return recent != nil && recent.longest() <= left
}

// TimeLeft returns the time until requests in flight are cut off, and 0 where the process does not shut down.
func (g *Gate) TimeLeft(now time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.begun {
		return 0
	}
	return max(g.end-now, 0)
}

// CloseIfIdle ends the taking of requests if none is in flight, and reports whether it has. A request that
// enters later is refused.
func (g *Gate) CloseIfIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight > 0 {
		return false
	}
	g.closed = true
	return true
}

// Close ends the taking of requests.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}
