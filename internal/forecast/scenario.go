package forecast

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// scenario is a fleet after a loss.
type scenario struct {
	gatewaysLost []bool    // by region: its gateways are lost
	workersLost  []bool    // its workers are
	slowFactor   []float64 // how many times as long its workers take
	partitions   [][]int   // regions that reach each other
	admitted     []float64 // by plan: the part of the requests that quotas admit

	takeovers                      [][][]takeover // by region and plan, once they are known
	withoutGateway, withoutAttempt [][]float64
	setShares                      [][]setShare // by plan
}

// result is how a scenario serves; rates are per ms.
type result struct {
	value, inTime, late, wasted, orphans                         float64
	rejected                                                     []float64 // by plan
	requested, served, utilization, answerMillis, windowCapacity []float64 // by region
	shortages                                                    []string  // which room is missing
	overloaded                                                   bool
}

// baseline evaluates the fleet as it is in the same way as after a loss: the cost of a loss is the
// difference of the two, so that much of the model's error cancels.
func (f *fleet) baseline() *result { return f.evaluate(f.newScenario(Loss{})) }

func (f *fleet) newScenario(l Loss) *scenario {
	n := len(f.regions)
	s := &scenario{gatewaysLost: make([]bool, n), workersLost: make([]bool, n), slowFactor: make([]float64, n)}
	var rest []int
	for x, name := range f.regions {
		s.slowFactor[x] = 1
		lost := slices.Contains(l.Regions, name)
		switch {
		case lost && l.Kind == LoseLinks:
			s.partitions = append(s.partitions, []int{x})
			continue
		case lost:
			s.gatewaysLost[x], s.workersLost[x] = true, l.Kind != LoseGateways
		case l.Kind == LoseRegionSlowNeighbours:
			s.slowFactor[x] = f.rules.SlowFactor
		}
		rest = append(rest, x)
	}
	s.partitions = append(s.partitions, rest)
	s.admitted = f.admittedByQuota(s, false)
	return s
}

// costOf estimates the cost of a loss.
func (f *fleet) costOf(l Loss, base *result) Cost {
	c := Cost{Loss: l}
	s := f.newScenario(l)
	now := f.currentState()
	moved := f.rebalanceMillis()
	s.admitted = f.admittedByQuota(s, true)
	first := f.evaluate(s)
	if !first.overloaded { // else nothing is lent
		if c.Before.CreditDrawn = f.drawCredit(s, moved); c.Before.CreditDrawn > 0 {
			first = f.evaluate(s)
		}
	}
	c.Before.fill(f, s, now, base, first)
	short := f.findShortages(s)
	s.admitted = f.admittedByQuota(s, false)
	after := f.evaluate(s)
	c.After.fill(f, s, now, base, after)
	c.Missing = append(after.shortages, short...)
	c.Orphans = toSignificantDigits(first.orphans * 1000)
	f.estimateImmediate(&c, s)
	return c
}

// fill states a result as a change of what is measured now.
func (p *Phase) fill(f *fleet, s *scenario, now State, base, o *result) {
	less := func(v, by float64) float64 { return math.Max(v-1000*by, 0) }
	p.LostValue = math.Min(1000*(base.value-o.value), now.Value)
	p.Value, p.InTime = less(now.Value, base.value-o.value), less(now.InTime, base.inTime-o.inTime)
	p.Late, p.Wasted = less(now.Late, base.late-o.late), 1000*o.wasted
	p.Rejected = nil
	for q, d := range now.Rejected {
		p.Rejected = append(p.Rejected, PlanRate{d.Name, less(d.Rate, base.rejected[q]-o.rejected[q])})
	}
	for x := range f.regions {
		h := f.stateOf(x)
		h.Requested, h.Utilization = 1000*o.requested[x], o.utilization[x]
		h.MeanMillis, h.WindowCapacity = o.answerMillis[x], o.windowCapacity[x]
		if base.served[x] > 0 {
			h.Succeeded = now.Regions[x].Succeeded * o.served[x] / base.served[x]
		}
		if s.gatewaysLost[x] {
			h.Gatekeepers = 0
		}
		if s.workersLost[x] {
			h.Workers, h.WarmWorkers = 0, 0
		}
		p.Regions = append(p.Regions, h)
	}
	p.LostValue, p.Wasted = toSignificantDigits(p.LostValue), toSignificantDigits(p.Wasted)
	p.CreditDrawn = toSignificantDigits(p.CreditDrawn)
	p.limitDigits()
}

// expectedAttempts returns the mean number of attempts per request, where each fails by chance.
func expectedAttempts(fails float64, most int) float64 {
	if fails >= 1-1e-9 {
		return float64(most)
	}
	return (1 - math.Pow(fails, float64(most))) / (1 - fails)
}

// demandByAttempts is the requests of a class, per ms, by how many of their attempts find a gateway, with
// the mean number of those that find none before.
type demandByAttempts struct{ rate, failedBefore []float64 }

// demand returns the requests by region that they reach first and by class, as far as a scenario has
// gateways for them; those that have none of their own left, by plan; and those lost by that, by class.
func (f *fleet) demand(s *scenario) (all [][]demandByAttempts, orphans, lost []float64) {
	n, np, most := len(f.regions), len(f.products), f.rules.ClientAttempts
	all = grid[demandByAttempts](n, len(f.flows))
	orphans, lost = make([]float64, len(f.plans)), make([]float64, len(f.flows))
	for h := range all {
		for i := range all[h] {
			all[h][i] = demandByAttempts{make([]float64, most+1), make([]float64, most+1)}
		}
	}
	for g := range f.regions {
		to, none, late := f.takeoversOf(g, s)
		for i := range f.flows {
			fresh, q := f.requested[g][i]*f.firstAttemptShare(i), i/np
			for _, h := range to[q] {
				c := &all[h.region][i]
				c.rate[h.attempts] += fresh * h.part
				c.failedBefore[h.attempts] += fresh * h.part * float64(h.failedBefore)
			}
			orphans[q] += fresh * none[q]
			lost[i] += fresh * late[q]
			if !f.rules.FailsOver || !s.hasGateway(f) {
				lost[i] += fresh * none[q]
			}
		}
	}
	return all, orphans, lost
}

// hasGateway reports whether any gateway is left.
func (s *scenario) hasGateway(f *fleet) bool {
	for x := range f.regions {
		if !s.gatewaysLost[x] && f.gateways[x] > 0 {
			return true
		}
	}
	return false
}

// firstAttemptShare is the part of a class's attempts that are their clients' first.
func (f *fleet) firstAttemptShare(i int) float64 {
	if x := &f.flows[i]; x.Requested > 0 {
		return 1 / expectedAttempts(math.Min((x.Rejected+x.Failed)/x.Requested, 1), f.rules.ClientAttempts)
	}
	return 1
}

// evaluate evaluates a scenario.
func (f *fleet) evaluate(s *scenario) *result {
	n := len(f.regions)
	o := &result{rejected: make([]float64, len(f.plans)), requested: make([]float64, n),
		served:      make([]float64, n),
		utilization: make([]float64, n), answerMillis: make([]float64, n), windowCapacity: make([]float64, n)}
	all, orphans, lost := f.demand(s)
	for q := range f.plans {
		o.orphans += orphans[q]
	}
	for i, r := range lost {
		o.rejected[i/len(f.products)] += r
	}
	for _, is := range s.partitions {
		f.evaluatePartition(s, is, all, o)
	}
	return o
}

// evaluatePartition evaluates regions that reach each other: their gateways as alike, before their workers
// as one pool that is used as it is now.
func (f *fleet) evaluatePartition(s *scenario, regions []int, demand [][]demandByAttempts, o *result) {
	gateways, warmWorkers := 0.0, 0.0
	for _, x := range regions {
		if !s.gatewaysLost[x] {
			gateways += float64(f.gateways[x])
		}
		if !s.workersLost[x] {
			warmWorkers += f.warmWorkers[x]
		}
	}
	admitted, rates := f.admitByQuota(s, regions, demand, o)
	parts, sum := f.workerShares(s, regions, rates, warmWorkers)
	if gateways == 0 || warmWorkers == 0 || sum == 0 {
		for i := range admitted {
			o.rejected[i/len(f.products)] += admitted[i].sum()
		}
		return
	}
	slow := 0.0
	for _, x := range regions {
		parts[x] /= sum
		slow += parts[x] * s.slowFactor[x]
	}
	pool := &workerPool{f: f, demand: admitted, gateways: gateways, cores: warmWorkers * f.cores,
		warmWorkers: warmWorkers, networkMillis: f.networkMillis(regions, rates, parts), slowFactor: slow}
	for i := range admitted {
		pool.rates = append(pool.rates, admitted[i].sum())
	}
	pool.solve()
	o.addPool(pool, s, regions, parts)
}

// admitByQuota returns the requests that quotas admit, by class, and the rate of all requests by region.
func (f *fleet) admitByQuota(s *scenario, regions []int, demand [][]demandByAttempts, o *result) (
	admitted []demandByAttempts, rates []float64) {
	np := len(f.products)
	admitted, rates = make([]demandByAttempts, len(f.flows)), make([]float64, len(f.regions))
	for i := range admitted {
		admitted[i] = demandByAttempts{make([]float64, f.rules.ClientAttempts+1),
			make([]float64, f.rules.ClientAttempts+1)}
		for _, g := range regions {
			for k, r := range demand[g][i].rate {
				admitted[i].rate[k] += r * s.admitted[i/np]
				admitted[i].failedBefore[k] += demand[g][i].failedBefore[k] * s.admitted[i/np]
				rates[g] += r
				o.rejected[i/np] += r * (1 - s.admitted[i/np])
			}
		}
	}
	for _, g := range regions {
		o.requested[g] += rates[g]
	}
	return admitted, rates
}

// workerShares returns how the requests are shared by the regions' workers, and the sum of these shares: each
// region's gateways go on to prefer the workers that they prefer now.
func (f *fleet) workerShares(s *scenario, regions []int, rates []float64, warmWorkers float64) (
	parts []float64, sum float64) {
	parts = make([]float64, len(f.regions))
	for _, g := range regions {
		own := 0.0
		for _, x := range regions {
			if !s.workersLost[x] {
				own += f.served[g][x]
			}
		}
		for _, x := range regions {
			if !s.workersLost[x] && own > 0 {
				parts[x] += rates[g] * f.served[g][x] / own
			} else if !s.workersLost[x] && warmWorkers > 0 {
				parts[x] += rates[g] * f.warmWorkers[x] / warmWorkers
			}
		}
	}
	for _, x := range regions {
		sum += parts[x]
	}
	return parts, sum
}

// networkMillis is the mean time on the network of an answer.
func (f *fleet) networkMillis(regions []int, rates, parts []float64) float64 {
	far, all := 0.0, 0.0
	for _, g := range regions {
		rate := rates[g]
		for _, x := range regions {
			if f.answerMillis[g][x] > 0 && f.answerMillis[x][x] > 0 {
				far += rate * parts[x] * math.Max(f.answerMillis[g][x]-f.answerMillis[x][x], 0)
			}
		}
		all += rate
	}
	network := f.rules.NetworkMillis
	if all > 0 {
		network += far / all
	}
	return network
}

// addPool adds what a solved pool of a partition serves, by the regions' parts of it.
func (o *result) addPool(pool *workerPool, s *scenario, regions []int, parts []float64) {
	f := pool.f
	np := len(f.products)
	for i := range pool.rates {
		q, p := i/np, i%np
		done, late := pool.completed(i)
		o.value += f.value(q, p) * done * (1 - late*(1-f.settings.Products[p].LateValueFraction))
		o.inTime += done * (1 - late)
		o.late += done * late
		o.rejected[q] += pool.rates[i] - done
		o.wasted += done * late
		for _, x := range regions {
			o.served[x] += parts[x] * done
		}
	}
	o.overloaded = o.overloaded || pool.overloaded
	for _, x := range regions {
		if !s.workersLost[x] && f.warmWorkers[x] > 0 {
			work := pool.usedCores() * parts[x] / (f.warmWorkers[x] * f.cores)
			o.utilization[x] = math.Min(work, 1)
			o.answerMillis[x] = pool.answerMillis
			o.windowCapacity[x] = pool.window * pool.gateways * parts[x]
		}
	}
	if short := pool.wantedCores()/f.cores - pool.warmWorkers; short > 0 {
		var names []string
		for _, x := range regions {
			if !s.workersLost[x] {
				names = append(names, f.regions[x])
			}
		}
		o.shortages = append(o.shortages, fmt.Sprintf("workers: %.4g more warm ones in %s",
			toSignificantDigits(short), strings.Join(names, ", ")))
	}
}

func (c *demandByAttempts) sum() (sum float64) {
	for _, r := range c.rate {
		sum += r
	}
	return sum
}
