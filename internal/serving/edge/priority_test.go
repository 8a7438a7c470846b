package edge

import (
	"testing"

	"willowdeck/internal/serving/configuration"
)

// TestPriorityRanks ranks routes by latency target as far as the operator's priorities allow.
func TestPriorityRanks(t *testing.T) {
	route := func(priority int, targetMillis float64, services ...string) *configuration.Route {
		r := &configuration.Route{Priority: priority, TargetLatencyMs: targetMillis}
		for _, service := range services {
			r.TrafficSplit = append(r.TrafficSplit, configuration.Split{Backend: service, Weight: 1})
		}
		return r
	}
	cases := []struct {
		name   string
		routes []*configuration.Route
		want   []int
	}{
		{"priorities as the targets say", []*configuration.Route{route(0, 600, "s"), route(1, 800, "s"),
			route(2, 1200, "s")}, []int{1, 2, 3}},
		{"one priority", []*configuration.Route{route(3, 1200, "s"), route(3, 600, "s")}, []int{3, 1}},
		{"the operator puts the slow one first", []*configuration.Route{route(0, 1200, "s"), route(1, 400, "s")},
			[]int{3, 4}},
		{"another service", []*configuration.Route{route(0, 1200, "s"), route(1, 400, "other")}, []int{3, 0}},
		{"a split between both", []*configuration.Route{route(0, 1200, "s"), route(1, 400, "other", "s")},
			[]int{3, 4}},
		{"no target", []*configuration.Route{route(0, 0, "s"), route(7, 0, "s")}, []int{5, 6}},
		{"more priorities than ranks", []*configuration.Route{route(0, 9000, "s"), route(1, 9000, "s"),
			route(2, 400, "s")}, []int{9, 9, 9}},
	}
	for _, c := range cases {
		ranks := priorityRanks(c.routes)
		for i, route := range c.routes {
			if ranks[route] != c.want[i] {
				t.Errorf("%s: route %d has rank %d, not %d", c.name, i, ranks[route], c.want[i])
			}
		}
	}
}
