package stateview

import (
	"maps"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// demandLife is how long an edge's last demand counts: suspicion (6 s), then hold (10 s), as the design says.
const demandLife = 16 * time.Second

// SetDemands takes the demands that one edge reports of itself. They go on with the next heartbeats: a
// period of a second does not need more, and a message for each report to each edge would grow with the
// square of the edges.
func (m *Mirror) SetDemands(demands []*wirepb.Demand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDemands(demands)
}

func demandKey(demand *wirepb.Demand) string { return demand.Edge + "/" + demand.InstanceId }

func (m *Mirror) applyDemands(demands []*wirepb.Demand) {
	for _, demand := range demands {
		held, known := m.demands[demandKey(demand)]
		if !known || held.demand.Number < demand.Number {
			m.demands[demandKey(demand)] = demandEntry{demand: demand, heard: m.clock()}
		}
	}
}

// liveDemands returns the demands that still count, in a fixed order.
func (m *Mirror) liveDemands() []*wirepb.Demand {
	now := m.clock()
	maps.DeleteFunc(m.demands, func(_ string, entry demandEntry) bool { return now-entry.heard > demandLife })
	demands := make([]*wirepb.Demand, 0, len(m.demands))
	for _, key := range slices.Sorted(maps.Keys(m.demands)) {
		demands = append(demands, m.demands[key].demand)
	}
	return demands
}

// demandsSince returns the demands that were not told yet, and what has been told with them.
func (m *Mirror) demandsSince(told map[string]uint64) ([]*wirepb.Demand, map[string]uint64) {
	live := m.liveDemands()
	if len(live) == 0 {
		return nil, nil
	}
	var missing []*wirepb.Demand
	next := make(map[string]uint64, len(live))
	for _, demand := range live {
		key := demandKey(demand)
		next[key] = demand.Number
		if told[key] < demand.Number {
			missing = append(missing, demand)
		}
	}
	return missing, next
}
