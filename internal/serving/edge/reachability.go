package edge

import "willowdeck/internal/serving/configuration"

// reachabilityInput is what the reachability of all routes depends on. Both are immutable, so that pointers
// tell whether they have changed.
type reachabilityInput struct {
	table     *routingTable
	suspected *map[string]bool
}

// updateReachability reports to the core whether some route has workers, but none that there seems to be a
// path to: other edges may serve it.
func (e *Edge) updateReachability(table *routingTable) {
	input := reachabilityInput{table: table, suspected: e.paths.suspectedZones.Load()}
	if input == e.reachabilityInput {
		return
	}
	e.reachabilityInput = input
	if unreachable := table.hasUnreachableRoute(*input.suspected); unreachable != e.unreachableRoute.Load() {
		e.unreachableRoute.Store(unreachable)
		e.notifyStatusChange()
	}
}

// hasUnreachableRoute reports whether some route has workers, but only in suspected zones.
func (t *routingTable) hasUnreachableRoute(suspected map[string]bool) bool {
	if len(suspected) == 0 {
		return false
	}
	for _, routes := range t.routesByHost {
		for _, route := range routes {
			if t.unreachable(route, suspected) {
				return true
			}
		}
	}
	return false
}

func (t *routingTable) unreachable(route *configuration.Route, suspected map[string]bool) bool {
	hasWorkers := false
	for _, split := range route.Backends() {
		for _, worker := range t.workersByService[split.Backend] {
			if !allowed(route.AllowedRegions, worker.Region) {
				continue
			}
			if !suspected[worker.Zone] {
				return false
			}
			hasWorkers = true
		}
	}
	return hasWorkers
}
