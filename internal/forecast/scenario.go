package forecast

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// scenario tells what a loss leaves of a fleet.
type scenario struct {
	gatewaysLost []bool    // by region: whether its gateways are lost
	workersLost  []bool    // by region: whether its workers are lost
	slowFactor   []float64 // by region: factor on its workers' service times
	partitions   [][]int   // sets of regions that reach each other
	admitted     []float64 // by plan: fraction of the requests that quotas admit

	// Results of findTakeovers by region and plan, computed by the first call of takeoversOf. withoutGateway is
	// the fraction orphaned, and withoutAttempt the fraction exhausted.
	takeovers                      [][][]takeover
	withoutGateway, withoutAttempt [][]float64
	setShares                      [][]setShare // by plan, computed by the first call of setSharesOf
}

// result tells how the fleet serves in a scenario. Rates are per ms.
type result struct {
	value, inTime, late, wasted, orphans                         float64
	rejected                                                     []float64 // by plan
	requested, served, utilization, answerMillis, windowCapacity []float64 // by region
	shortages                                                    []string  // descriptions of missing workers
	overloaded                                                   bool      // in some partition
}

// baseline evaluates the fleet without a loss by the same model. The cost of a loss is the difference of
// the two results, so that much of the model's error cancels.
func (f *fleet) baseline() *result { return f.evaluate(f.newScenario(Loss{})) }

// newScenario returns the scenario of a loss once quota shares have moved.
func (f *fleet) newScenario(l Loss) *scenario {
	n := len(f.regions)
	s := &scenario{gatewaysLost: make([]bool, n), workersLost: make([]bool, n), slowFactor: make([]float64, n)}
	var remaining []int
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
			s.slowFactor[x] = f.assumptions.SlowFactor
		}
		remaining = append(remaining, x)
	}
	s.partitions = append(s.partitions, remaining)
	s.admitted = f.admittedByQuota(s, false)
	return s
}

// costOf estimates the cost of a loss.
func (f *fleet) costOf(l Loss, base *result) Cost {
	c := Cost{Loss: l}
	s := f.newScenario(l)
	now := f.currentState()
	rebalance := f.rebalanceMillis()
	s.admitted = f.admittedByQuota(s, true)
	first := f.evaluate(s)
	if !first.overloaded { // otherwise gateways do not lend
		if c.Before.CreditDrawn = f.drawCredit(s, rebalance); c.Before.CreditDrawn > 0 {
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

// fill sets p to the measured state now, changed by the difference of the results o and base. The requests,
// utilization, answer times and windows of regions are those of o.
func (p *Phase) fill(f *fleet, s *scenario, now State, base, o *result) {
	less := func(v, difference float64) float64 { return math.Max(v-1000*difference, 0) }
	p.LostValue = math.Min(1000*(base.value-o.value), now.Value)
	p.Value, p.InTime = less(now.Value, base.value-o.value), less(now.InTime, base.inTime-o.inTime)
	p.Late, p.Wasted = less(now.Late, base.late-o.late), 1000*o.wasted
	p.Rejected = nil
	for q, unserved := range now.Rejected {
		p.Rejected = append(p.Rejected,
			PlanRate{unserved.Name, less(unserved.Rate, base.rejected[q]-o.rejected[q])})
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

// expectedAttempts returns the mean number of attempts per request if each fails with probability failure and
// there are at most limit.
func expectedAttempts(failure float64, limit int) float64 {
	if failure >= 1-1e-9 {
		return float64(limit)
	}
	return (1 - math.Pow(failure, float64(limit))) / (1 - failure)
}

// demandByAttempts holds the requests of a class by the number of their attempts that reach a gateway (the
// index): their rate per ms, and the rate of attempts that fail at a lost gateway before the first that does.
type demandByAttempts struct{ rate, failedBefore []float64 }

// demand returns the requests by the region whose gateways they reach first and by class; orphans, the rate
// of requests by plan whose clients' gateways are all lost; and lost, the rate by class of requests that
// reach no gateway.
func (f *fleet) demand(s *scenario) (all [][]demandByAttempts, orphans, lost []float64) {
	n, np, limit := len(f.regions), len(f.products), f.assumptions.ClientAttempts
	all = grid[demandByAttempts](n, len(f.flows))
	orphans, lost = make([]float64, len(f.plans)), make([]float64, len(f.flows))
	for h := range all {
		for i := range all[h] {
			all[h][i] = demandByAttempts{make([]float64, limit+1), make([]float64, limit+1)}
		}
	}
	for g := range f.regions {
		takeovers, orphaned, exhausted := f.takeoversOf(g, s)
		for i := range f.flows {
			first, q := f.requested[g][i]*f.firstAttemptShare(i), i/np
			for _, h := range takeovers[q] {
				c := &all[h.region][i]
				c.rate[h.attempts] += first * h.part
				c.failedBefore[h.attempts] += first * h.part * float64(h.failedBefore)
			}
			orphans[q] += first * orphaned[q]
			lost[i] += first * exhausted[q]
			if !f.assumptions.FailsOver || !s.hasGateway(f) {
				lost[i] += first * orphaned[q]
			}
		}
	}
	return all, orphans, lost
}

// hasGateway reports whether any gateway remains.
func (s *scenario) hasGateway(f *fleet) bool {
	for x := range f.regions {
		if !s.gatewaysLost[x] && f.gateways[x] > 0 {
			return true
		}
	}
	return false
}

// firstAttemptShare returns the fraction of a class's requests at gateways that are first attempts of
// clients.
func (f *fleet) firstAttemptShare(i int) float64 {
	if x := &f.flows[i]; x.Requested > 0 {
		return 1 / expectedAttempts(math.Min((x.Rejected+x.Failed)/x.Requested, 1), f.assumptions.ClientAttempts)
	}
	return 1
}

// evaluate returns how the fleet serves in a scenario.
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
	for _, members := range s.partitions {
		f.evaluatePartition(s, members, all, o)
	}
	return o
}

// evaluatePartition adds to o how regions that reach each other serve. Their gateways are taken as
// identical and their workers as one pool, whose parts are used in the proportions of now.
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

// admitByQuota returns the requests that quotas admit, by class, and the rate of all requests by region. It
// adds the requests and the rejected ones to o.
func (f *fleet) admitByQuota(s *scenario, regions []int, demand [][]demandByAttempts, o *result) (
	admitted []demandByAttempts, rates []float64) {
	np := len(f.products)
	admitted, rates = make([]demandByAttempts, len(f.flows)), make([]float64, len(f.regions))
	for i := range admitted {
		admitted[i] = demandByAttempts{make([]float64, f.assumptions.ClientAttempts+1),
			make([]float64, f.assumptions.ClientAttempts+1)}
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

// workerShares returns how the requests are divided among the workers of the regions, and the sum of these
// parts. The gateways of each region keep the proportions in which they use the remaining workers now; if
// they use none of these now, they use all in proportion to the capacity.
func (f *fleet) workerShares(s *scenario, regions []int, rates []float64, warmWorkers float64) (
	parts []float64, sum float64) {
	parts = make([]float64, len(f.regions))
	for _, g := range regions {
		total := 0.0
		for _, x := range regions {
			if !s.workersLost[x] {
				total += f.served[g][x]
			}
		}
		for _, x := range regions {
			if !s.workersLost[x] && total > 0 {
				parts[x] += rates[g] * f.served[g][x] / total
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

// networkMillis returns the mean network time of an answer.
func (f *fleet) networkMillis(regions []int, rates, parts []float64) float64 {
	remote, all := 0.0, 0.0
	for _, g := range regions {
		rate := rates[g]
		for _, x := range regions {
			if f.answerMillis[g][x] > 0 && f.answerMillis[x][x] > 0 {
				remote += rate * parts[x] * math.Max(f.answerMillis[g][x]-f.answerMillis[x][x], 0)
			}
		}
		all += rate
	}
	network := f.assumptions.NetworkMillis
	if all > 0 {
		network += remote / all
	}
	return network
}

// addPool adds to o what the solved pool of a partition serves; parts are the regions' parts of the pool.
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
	if shortage := pool.wantedCores()/f.cores - pool.warmWorkers; shortage > 0 {
		var names []string
		for _, x := range regions {
			if !s.workersLost[x] {
				names = append(names, f.regions[x])
			}
		}
		o.shortages = append(o.shortages, fmt.Sprintf("workers: %.4g more warm ones in %s",
			toSignificantDigits(shortage), strings.Join(names, ", ")))
	}
}

// sum returns the rate of all requests.
func (c *demandByAttempts) sum() (sum float64) {
	for _, r := range c.rate {
		sum += r
	}
	return sum
}
