package forecast

import (
	"cmp"
	"slices"
)

// takeover describes where a part of a region's requests goes after a loss: the region whose gateways take
// them over, how many of their attempts reach a gateway, and how many fail before the first that does. part
// is the fraction of the region's requests of a plan.
type takeover struct {
	region, attempts, failedBefore int
	part                           float64
}

// takeoversOf returns, by plan: where the requests of a region's gateways go, in a fixed order; the
// fraction orphaned, whose gateways are all lost; and the fraction exhausted, whose attempts all fail
// before they reach a remaining gateway. A client uses the gateways of its set in turn. The results are
// computed once per scenario.
func (f *fleet) takeoversOf(from int, s *scenario) (all [][]takeover, orphaned, exhausted []float64) {
	if s.takeovers == nil {
		n := len(f.regions)
		s.takeovers, s.withoutGateway, s.withoutAttempt = make([][][]takeover, n), make([][]float64,
			n), make([][]float64, n)
		for x := range f.regions {
			s.takeovers[x], s.withoutGateway[x], s.withoutAttempt[x] = f.findTakeovers(x, s)
		}
	}
	return s.takeovers[from], s.withoutGateway[from], s.withoutAttempt[from]
}

// findTakeovers computes the results of takeoversOf.
func (f *fleet) findTakeovers(from int, s *scenario) (all [][]takeover, orphaned, exhausted []float64) {
	limit := f.assumptions.ClientAttempts
	orphaned, exhausted = make([]float64, len(f.plans)), make([]float64, len(f.plans))
	for q := range f.plans {
		parts, sum := map[takeover]float64{}, 0.0
		for _, e := range f.customerSets[q] {
			if e.region != from {
				continue
			}
			sum += e.demand
			h := f.takeoverOf(&e, s)
			switch {
			case h.region < 0 || s.gatewaysLost[h.region]:
				orphaned[q] += e.demand
			case h.attempts == 0:
				exhausted[q] += e.demand
			default:
				parts[h] += e.demand
			}
		}
		var list []takeover
		for h, d := range parts {
			h.part = d / sum
			list = append(list, h)
		}
		if sum > 0 {
			orphaned[q], exhausted[q] = orphaned[q]/sum, exhausted[q]/sum
		} else if s.gatewaysLost[from] { // no sets were reported
			orphaned[q] = 1
		} else {
			list = []takeover{{from, limit, 0, 1}}
		}
		slices.SortFunc(list, func(a, b takeover) int {
			return cmp.Or(a.region-b.region, a.attempts-b.attempts, a.failedBefore-b.failedBefore)
		})
		all = append(all, list)
	}
	if f.assumptions.FailsOver {
		f.failOver(all, orphaned, s)
	}
	return all, orphaned, exhausted
}

// takeoverOf returns where the requests of a set go. A gateway without a report counts as one in the region
// of the set's reporting gateway. The region is negative if all gateways of the set are lost.
func (f *fleet) takeoverOf(e *customerSet, s *scenario) takeover {
	limit := f.assumptions.ClientAttempts
	h := takeover{region: -1}
	for k := 0; k < max(limit, len(e.regions)) && (k < limit || h.region < 0); k++ {
		at := e.regions[(e.position+k)%len(e.regions)]
		lost := at >= 0 && s.gatewaysLost[at]
		if lost && h.region < 0 {
			h.failedBefore++
		}
		if !lost && h.region < 0 {
			if h.region = at; at < 0 {
				h.region = e.region
			}
		}
		if !lost && k < limit {
			h.attempts++
		}
	}
	if f.assumptions.TakeoverMillis > 0 || limit == 1 { // clients go to a remaining gateway directly
		h.attempts, h.failedBefore = limit, 0
	}
	return h
}

// failOver adds takeovers of the clients whose gateways are all lost: they are divided evenly among all
// remaining gateways.
func (f *fleet) failOver(all [][]takeover, orphaned []float64, s *scenario) {
	limit := f.assumptions.ClientAttempts
	remaining := 0
	for h := range f.regions {
		if !s.gatewaysLost[h] {
			remaining += f.gateways[h]
		}
	}
	for q := range f.plans {
		for h := range f.regions {
			if orphaned[q] > 0 && !s.gatewaysLost[h] && f.gateways[h] > 0 {
				all[q] = append(all[q], takeover{h, limit, 0, orphaned[q] * float64(f.gateways[h]) / float64(remaining)})
			}
		}
	}
}
