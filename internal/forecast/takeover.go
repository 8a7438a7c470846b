package forecast

import (
	"cmp"
	"slices"
)

// takeover is where a part of a region's requests goes after a loss: a region, how many attempts find a
// gateway, and how many find none before the first that does.
type takeover struct {
	region, attempts, failedBefore int
	part                           float64
}

// takeoversOf returns, by plan, what becomes of the requests of a region's gateways, in a fixed order; the
// part whose gateways are all lost; and the part that has no attempt left when it would find one. Clients
// go round their sets.
func (f *fleet) takeoversOf(from int, s *scenario) (all [][]takeover, none, late []float64) {
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

func (f *fleet) findTakeovers(from int, s *scenario) (all [][]takeover, none, late []float64) {
	most := f.rules.ClientAttempts
	none, late = make([]float64, len(f.plans)), make([]float64, len(f.plans))
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
				none[q] += e.demand
			case h.attempts == 0:
				late[q] += e.demand
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
			none[q], late[q] = none[q]/sum, late[q]/sum
		} else if s.gatewaysLost[from] { // nothing was told of sets
			none[q] = 1
		} else {
			list = []takeover{{from, most, 0, 1}}
		}
		slices.SortFunc(list, func(a, b takeover) int {
			return cmp.Or(a.region-b.region, a.attempts-b.attempts, a.failedBefore-b.failedBefore)
		})
		all = append(all, list)
	}
	if f.rules.FailsOver {
		f.failOver(all, none, s)
	}
	return all, none, late
}

// takeoverOf returns where the requests of a set go. A gateway that is not known counts as one of the
// set's own region.
func (f *fleet) takeoverOf(e *customerSet, s *scenario) takeover {
	most := f.rules.ClientAttempts
	h := takeover{region: -1}
	for k := 0; k < max(most, len(e.regions)) && (k < most || h.region < 0); k++ {
		at := e.regions[(e.position+k)%len(e.regions)]
		dead := at >= 0 && s.gatewaysLost[at]
		if dead && h.region < 0 {
			h.failedBefore++
		}
		if !dead && h.region < 0 {
			if h.region = at; at < 0 {
				h.region = e.region
			}
		}
		if !dead && k < most {
			h.attempts++
		}
	}
	if f.rules.TakeoverMillis > 0 || most == 1 { // clients know by then where to go
		h.attempts, h.failedBefore = most, 0
	}
	return h
}

// failOver adds the takeovers of clients whose gateways are all lost: by all that are left, alike.
func (f *fleet) failOver(all [][]takeover, none []float64, s *scenario) {
	most := f.rules.ClientAttempts
	living := 0
	for h := range f.regions {
		if !s.gatewaysLost[h] {
			living += f.gateways[h]
		}
	}
	for q := range f.plans {
		for h := range f.regions {
			if none[q] > 0 && !s.gatewaysLost[h] && f.gateways[h] > 0 {
				all[q] = append(all[q], takeover{h, most, 0, none[q] * float64(f.gateways[h]) / float64(living)})
			}
		}
	}
}
