package proxy

import (
	"testing"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
)

// The lock times of full lists and of changes are recorded separately, and only grow.
func TestLockTimes(t *testing.T) {
	c := policy.Settings{GatewayCount: 1, Products: []policy.Product{{LatencyTargetMillis: 500}},
		Plans: []policy.Plan{{}}}
	d := NewDispatcher(c, 1, 0,
		func(int, []byte) {}, func(int) {})
	defer d.Stop()
	lockTimes := d.LockTimes()
	fullList, change := lockTimes.FullListMicros.Load(), lockTimes.ChangeMicros.Load()
	if ruleset := lockTimes.RulesetMicros.Load(); fullList != 0 || change != 0 || ruleset != 0 {
		t.Errorf("at first: %d, %d, %d us", fullList, change, ruleset)
	}
	list := listOf(20000)
	d.ApplyEndpoints(list)
	first := lockTimes.FullListMicros.Load()
	if first == 0 || lockTimes.ChangeMicros.Load() != 0 {
		t.Errorf("after a list: %d and %d us", first, lockTimes.ChangeMicros.Load())
	}
	w := list.Workers[:5000]
	for i := range w {
		w[i].Active = false
	}
	d.ApplyEndpoints(endpoints.List{Version: 2, Workers: w})
	if lockTimes.ChangeMicros.Load() == 0 || lockTimes.FullListMicros.Load() != first {
		t.Errorf("after changes: %d and %d us", lockTimes.FullListMicros.Load(), lockTimes.ChangeMicros.Load())
	}
}
