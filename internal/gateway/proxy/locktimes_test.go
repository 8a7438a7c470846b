package proxy

import (
	"testing"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
)

// What holds the lock up for lists and for their changes is told apart, and grows only.
func TestLockTimes(t *testing.T) {
	c := policy.Charter{Gatekeepers: 1, Products: []policy.Product{{SLA: 500}}, Plans: []policy.Plan{{}}}
	d := NewDispatcher(c, 1, 0,
		func(int, []byte) {}, func(int) {})
	defer d.Stop()
	h := d.LockTimes()
	if l, c, r := h.FullListMicros.Load(), h.ChangeMicros.Load(), h.RulesetMicros.Load(); l != 0 || c != 0 || r != 0 {
		t.Errorf("at first: %d, %d, %d us", l, c, r)
	}
	l := listOf(20000)
	d.ApplyEndpoints(l)
	first := h.FullListMicros.Load()
	if first == 0 || h.ChangeMicros.Load() != 0 {
		t.Errorf("after a list: %d and %d us", first, h.ChangeMicros.Load())
	}
	w := l.Workers[:5000]
	for i := range w {
		w[i].Active = false
	}
	d.ApplyEndpoints(endpoints.List{Version: 2, Workers: w})
	if h.ChangeMicros.Load() == 0 || h.FullListMicros.Load() != first {
		t.Errorf("after changes: %d and %d us", h.FullListMicros.Load(), h.ChangeMicros.Load())
	}
}
