package drain

import (
	"testing"
	"time"
)

const (
	begunAt = 100 * time.Second
	endAt   = begunAt + 7600*time.Millisecond
	limit   = 12 * time.Second // of a stream
)

var testRoute = Route{Host: "h", PathPrefix: "/r/"}

// TestTake has requests come at times of a shutdown. A request that is taken late and outlasts the process is
// cut off after it was passed on (LOST).
func TestTake(t *testing.T) {
	for _, c := range []struct {
		name      string
		after     time.Duration // since the begin of the shutdown
		timeLimit time.Duration
		usual     time.Duration // that responses of the route have taken; 0: none is known
		taken     bool
	}{
		{"a short limit", 0, 3 * time.Second, 0, true},
		{"a short limit, late", 4 * time.Second, 3 * time.Second, 0, true},
		{"a limit that ends with the process", 4600 * time.Millisecond, 3 * time.Second, 0, true},
		{"a limit beyond the end", 4601 * time.Millisecond, 3 * time.Second, time.Second, false},
		{"usually short", 2400 * time.Millisecond, limit, 4 * time.Second, true},
		{"usually too long", 2400 * time.Millisecond, limit, 6 * time.Second, false},
		{"nothing known", 0, limit, 0, false},
		{"usually short, late", 2500 * time.Millisecond, limit, time.Second, false},
		{"at the end", 7600 * time.Millisecond, 0, time.Millisecond, false},
	} {
		gate := NewGate()
		if c.usual > 0 {
			gate.RecordDuration(testRoute, c.usual/2)
			gate.RecordDuration(testRoute, c.usual)
		}
		if !gate.Take(begunAt, testRoute, limit) {
			t.Errorf("%s: refused before the shutdown", c.name)
		}
		gate.Begin(begunAt, endAt)
		gate.Begin(begunAt+time.Second, endAt+time.Second) // a second signal changes nothing
		if taken := gate.Take(begunAt+c.after, testRoute, c.timeLimit); taken != c.taken {
			t.Errorf("%s: taken %v", c.name, taken)
		}
	}
}

// TestOldDurationsAreForgotten lets one long response give way to later ones.
func TestOldDurationsAreForgotten(t *testing.T) {
	gate := NewGate()
	gate.RecordDuration(testRoute, 9*time.Second)
	for range durationsPerRoute {
		gate.RecordDuration(testRoute, time.Second)
	}
	gate.Begin(begunAt, endAt)
	if !gate.Take(begunAt, testRoute, limit) {
		t.Error("refused for a response that is long ago")
	}
	gate.Retain(func(Route) bool { return false })
	if gate.Take(begunAt, testRoute, limit) {
		t.Error("a route that is gone is remembered")
	}
}

// TestClose refuses what enters after the last request in flight has left: nobody waits for it.
func TestClose(t *testing.T) {
	gate := NewGate()
	gate.Begin(begunAt, endAt)
	gate.Enter()
	if gate.CloseIfIdle() {
		t.Error("closed with a request in flight")
	}
	gate.Leave()
	if !gate.CloseIfIdle() || !gate.Closed() {
		t.Error("not closed")
	}
	if gate.Take(begunAt, testRoute, 0) {
		t.Error("taken after the close")
	}
}
