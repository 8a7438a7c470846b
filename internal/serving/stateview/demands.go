package stateview

import (
	"maps"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// demandExpiry is how long an edge's last demand counts after it was received. By design it is the sum of the
// suspicion period (6 s) and the hold period that follows it (10 s).
const demandExpiry = 16 * time.Second

// demandEntry is the newest demand of one edge for one worker.
type demandEntry struct {
	demand     *wirepb.Demand
	receivedAt time.Duration
}

// MergeDemands merges the demands that one edge reports. It wakes no subscriber: demands are forwarded with
// the next heartbeats. Each edge reports once a second, and forwarding each report to each edge in a
// message of its own would need a number of messages that grows with the square of the number of edges.
func (s *Store) MergeDemands(demands []*wirepb.Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeDemands(demands)
}

func demandKey(demand *wirepb.Demand) string { return demand.Edge + "/" + demand.InstanceId }

// mergeDemands stores each demand whose sequence number is greater than that of the stored one. s.mu must be
// held.
func (s *Store) mergeDemands(demands []*wirepb.Demand) {
	for _, demand := range demands {
		existing, known := s.demands[demandKey(demand)]
		if !known || existing.demand.Sequence < demand.Sequence {
			s.demands[demandKey(demand)] = demandEntry{demand: demand, receivedAt: s.clock()}
		}
	}
}

// unexpiredDemands drops the demands that have expired and returns the others, in the order of their keys.
// s.mu must be held.
func (s *Store) unexpiredDemands() []*wirepb.Demand {
	now := s.clock()
	maps.DeleteFunc(s.demands, func(_ string, entry demandEntry) bool {
		return now-entry.receivedAt > demandExpiry
	})
	demands := make([]*wirepb.Demand, 0, len(s.demands))
	for _, key := range slices.Sorted(maps.Keys(s.demands)) {
		demands = append(demands, s.demands[key].demand)
	}
	return demands
}

// demandsSince returns the demands that are newer than those already sent on a link. sent maps demandKey to
// the sequence number that was sent last. The second result is that map after the returned demands are
// sent. s.mu must be held.
func (s *Store) demandsSince(sent map[string]uint64) ([]*wirepb.Demand, map[string]uint64) {
	unexpired := s.unexpiredDemands()
	if len(unexpired) == 0 {
		return nil, nil
	}
	var missing []*wirepb.Demand
	next := make(map[string]uint64, len(unexpired))
	for _, demand := range unexpired {
		key := demandKey(demand)
		next[key] = demand.Sequence
		if sent[key] < demand.Sequence {
			missing = append(missing, demand)
		}
	}
	return missing, next
}
