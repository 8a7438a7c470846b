package proxy

import (
	"testing"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
)

// What holds the lock up for lists and for their changes is told apart, and grows only.
func TestHolds(t *testing.T) {
	c := policy.Charter{Gatekeepers: 1, Products: []policy.Product{{SLA: 500}}, Plans: []policy.Plan{{}}}
	d := NewDesk(c, 1, 0,
		func(int, []byte) {}, func(int) {})
	defer d.Stop()
	h := d.Holds()
	if l, c, r := h.List.Load(), h.Change.Load(), h.Rules.Load(); l != 0 || c != 0 || r != 0 {
		t.Errorf("at first: %d, %d, %d us", l, c, r)
	}
	l := vast(20000)
	d.Roster(l)
	first := h.List.Load()
	if first == 0 || h.Change.Load() != 0 {
		t.Errorf("after a list: %d and %d us", first, h.Change.Load())
	}
	w := l.Workers[:5000]
	for i := range w {
		w[i].Active = false
	}
	d.Roster(endpoints.List{Version: 2, Workers: w})
	if h.Change.Load() == 0 || h.List.Load() != first {
		t.Errorf("after changes: %d and %d us", h.List.Load(), h.Change.Load())
	}
}
