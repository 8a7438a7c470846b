package edge

import (
	"cmp"
	"math"
	"slices"

	"willowdeck/internal/serving/configuration"
)

// Priority ranks of requests at a worker; the lowest rank is the most urgent.
const (
	maxPriorityRank        = 9
	defaultPriorityRank    = 5     // of routes without a latency target
	mostUrgentTargetMillis = 400.0 // routes with this latency target or a tighter one have rank 0
	ranksPerDoubling       = 2.0   // of the latency target
)

// latencyRank returns the rank by a route's latency target: what has to begin soon goes before what can wait.
// Such requests are the small ones, too, which delay the others least.
func latencyRank(route *configuration.Route) int {
	if route.TargetLatencyMs <= 0 {
		return defaultPriorityRank
	}
	rank := math.Round(ranksPerDoubling * math.Log2(route.TargetLatencyMs/mostUrgentTargetMillis))
	return int(min(max(rank, 0), maxPriorityRank))
}

// priorityRanks returns the rank of each route: that by its latency target, raised where needed so that at no
// service a route goes before one that the operator gives a higher priority.
func priorityRanks(routes []*configuration.Route) map[*configuration.Route]int {
	ranks := make(map[*configuration.Route]int, len(routes))
	sorted := slices.Clone(routes)
	slices.SortFunc(sorted, func(x, y *configuration.Route) int { return cmp.Compare(x.Priority, y.Priority) })
	least := map[string]int{}   // the least rank of the current priority's routes, by service
	highest := map[string]int{} // the highest rank so far, by service
	for begin := 0; begin < len(sorted); {
		end := begin
		for end < len(sorted) && sorted[end].Priority == sorted[begin].Priority {
			end++
		}
		for _, route := range sorted[begin:end] {
			rank := latencyRank(route)
			for _, split := range route.Backends() {
				rank = max(rank, least[split.Backend])
			}
			ranks[route] = min(rank, maxPriorityRank)
			for _, split := range route.Backends() {
				highest[split.Backend] = max(highest[split.Backend], ranks[route])
			}
		}
		for service, rank := range highest {
			least[service] = rank + 1
		}
		begin = end
	}
	return ranks
}
