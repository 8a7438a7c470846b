package feed

import (
	"maps"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// demandLife is how long an edge's last demand counts: suspicion (6 s), then hold (10 s), as the design says.
const demandLife = 16 * time.Second

// SetDemands takes the demands that one edge reports of itself. They replace its earlier ones.
func (r *Replica) SetDemands(demands []*wirepb.Demand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.applyDemands(demands) {
		r.notify()
	}
}

func (r *Replica) applyDemands(demands []*wirepb.Demand) bool {
	changed := false
	for _, demand := range demands {
		key := demand.Edge + "/" + demand.InstanceId
		held, known := r.demands[key]
		if known && held.demand.Number >= demand.Number {
			continue
		}
		r.demands[key] = demandEntry{demand: demand, heard: r.clock()}
		changed = true
	}
	return changed
}

// liveDemands returns the demands that still count, in a fixed order.
func (r *Replica) liveDemands() []*wirepb.Demand {
	now := r.clock()
	maps.DeleteFunc(r.demands, func(_ string, entry demandEntry) bool { return now-entry.heard > demandLife })
	demands := make([]*wirepb.Demand, 0, len(r.demands))
	for _, key := range slices.Sorted(maps.Keys(r.demands)) {
		demands = append(demands, r.demands[key].demand)
	}
	return demands
}
