package forecast

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"willowdeck/internal/policy"
)

// scenario is a fleet after a loss.
type scenario struct {
	gatewaysLost []bool    // by hall: its gatekeepers are lost
	workersLost  []bool    // its workers are
	slowFactor   []float64 // how many times as long its workers take
	partitions   [][]int   // halls that reach each other
	admitted     []float64 // by plan: the part of what is asked that quotas let in

	takeovers                      [][][]takeover // by hall and plan, once they are known
	withoutGateway, withoutAttempt [][]float64
	setShares                      [][]setShare // by plan
}

// result is how a scenario serves; rates are per ms.
type result struct {
	value, inTime, late, wasted, orphans                         float64
	rejected                                                     []float64 // by plan
	requested, served, utilization, answerMillis, windowCapacity []float64 // by hall
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
	c.Orphans = roundSignificant(first.orphans * 1000)
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
	p.LostValue, p.Wasted = roundSignificant(p.LostValue), roundSignificant(p.Wasted)
	p.CreditDrawn = roundSignificant(p.CreditDrawn)
	p.roundValues()
}

// expectedAttempts returns the mean number of attempts per request, where each fails by chance.
func expectedAttempts(fails float64, most int) float64 {
	if fails >= 1-1e-9 {
		return float64(most)
	}
	return (1 - math.Pow(fails, float64(most))) / (1 - fails)
}

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
			h := takeover{region: -1}
			for k := 0; k < max(most, len(e.regions)) && (k < most || h.region < 0); k++ {
				at := e.regions[(e.position+k)%len(e.regions)]
				dead := at >= 0 && s.gatewaysLost[at]
				if dead && h.region < 0 {
					h.failedBefore++
				}
				if !dead && h.region < 0 {
					if h.region = at; at < 0 {
						h.region = from
					}
				}
				if !dead && k < most {
					h.attempts++
				}
			}
			if f.rules.TakeoverMillis > 0 || most == 1 { // clients know by then where to go
				h.attempts, h.failedBefore = most, 0
			}
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
	if !f.rules.FailsOver {
		return all, none, late
	}
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
	return all, none, late
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
func (f *fleet) evaluatePartition(s *scenario, halls []int, come [][]demandByAttempts, o *result) {
	np := len(f.products)
	keepers, able := 0.0, 0.0
	parts := make([]float64, len(f.regions)) // of the island's txns, by hall of worker
	sum, far, all := 0.0, 0.0, 0.0
	for _, x := range halls {
		if !s.gatewaysLost[x] {
			keepers += float64(f.gateways[x])
		}
		if s.workersLost[x] {
			continue
		}
		able += f.warmWorkers[x]
	}
	fresh := make([]demandByAttempts, len(f.flows)) // as quotas let it through
	rates := make([]float64, len(f.regions))
	for i := range fresh {
		fresh[i] = demandByAttempts{make([]float64, f.rules.ClientAttempts+1),
			make([]float64, f.rules.ClientAttempts+1)}
		for _, g := range halls {
			for k, r := range come[g][i].rate {
				fresh[i].rate[k] += r * s.admitted[i/np]
				fresh[i].failedBefore[k] += come[g][i].failedBefore[k] * s.admitted[i/np]
				rates[g] += r
				o.rejected[i/np] += r * (1 - s.admitted[i/np])
			}
		}
	}
	for _, g := range halls {
		o.requested[g] += rates[g]
	}
	for _, g := range halls { // each hall's gatekeepers go on to favour the workers that they favour now
		mine := 0.0
		for _, x := range halls {
			if !s.workersLost[x] {
				mine += f.served[g][x]
			}
		}
		for _, x := range halls {
			if !s.workersLost[x] && mine > 0 {
				parts[x] += rates[g] * f.served[g][x] / mine
			} else if !s.workersLost[x] && able > 0 {
				parts[x] += rates[g] * f.warmWorkers[x] / able
			}
		}
	}
	for _, x := range halls {
		sum += parts[x]
	}
	if keepers == 0 || able == 0 || sum == 0 {
		for i := range fresh {
			o.rejected[i/np] += fresh[i].sum()
		}
		return
	}
	slow := 0.0
	for _, x := range halls {
		parts[x] /= sum
		slow += parts[x] * s.slowFactor[x]
	}
	for _, g := range halls {
		rate := rates[g]
		for _, x := range halls {
			if f.answerMillis[g][x] > 0 && f.answerMillis[x][x] > 0 {
				far += rate * parts[x] * math.Max(f.answerMillis[g][x]-f.answerMillis[x][x], 0)
			}
		}
		all += rate
	}
	way := f.rules.NetworkMillis
	if all > 0 {
		way += far / all
	}
	pool := &workerPool{f: f, demand: fresh, gateways: keepers, cores: able * f.cores, warmWorkers: able,
		networkMillis: way, slowFactor: slow}
	for i := range fresh {
		pool.rates = append(pool.rates, fresh[i].sum())
	}
	pool.solve()
	for i := range fresh {
		q, p := i/np, i%np
		done, late := pool.completed(i)
		o.value += f.value(q, p) * done * (1 - late*(1-f.charter.Products[p].LateValueFraction))
		o.inTime += done * (1 - late)
		o.late += done * late
		o.rejected[q] += pool.rates[i] - done
		o.wasted += done * late
		for _, x := range halls {
			o.served[x] += parts[x] * done
		}
	}
	o.overloaded = o.overloaded || pool.overloaded
	for _, x := range halls {
		if !s.workersLost[x] && f.warmWorkers[x] > 0 {
			work := pool.usedCores() * parts[x] / (f.warmWorkers[x] * f.cores)
			o.utilization[x] = math.Min(work, 1)
			o.answerMillis[x] = pool.answerMillis
			o.windowCapacity[x] = pool.window * keepers * parts[x]
		}
	}
	if short := pool.wantedCores()/f.cores - able; short > 0 {
		var names []string
		for _, x := range halls {
			if !s.workersLost[x] {
				names = append(names, f.regions[x])
			}
		}
		o.shortages = append(o.shortages, fmt.Sprintf("workers: %.4g more warm ones in %s", roundSignificant(short),
			strings.Join(names, ", ")))
	}
}

// workerPool is identical gateways before identical workers.
type workerPool struct {
	f                                    *fleet
	demand                               []demandByAttempts // by sort
	rates                                []float64          // their sums
	gateways, warmWorkers, networkMillis float64
	cores, slowFactor                    float64
	admitted                             []float64 // by sort, the part of tries that are let in
	utilization, answerMillis, window    float64   // of the cores; ms of an answer; submissions
	// The use at which answers are as slow as the module lets them be.
	target     float64
	overloaded bool
	scratch    []float64
}

func (p *workerPool) serviceMillis(i int) float64 {
	return p.f.serviceMillis[i%len(p.f.products)] * p.slowFactor
}

// queue is the queue of one worker: gateways see little of what others have in flight there.
func (p *workerPool) queue() queueModel {
	return queueModel{p.f.cores, p.meanServiceMillis(), p.f.serviceCV2}
}

// meanServiceMillis is the mean core time of a request.
func (p *workerPool) meanServiceMillis() float64 {
	sum, all := 0.0, 0.0
	for i, r := range p.rates {
		sum, all = sum+r*p.serviceMillis(i), all+r
	}
	return sum / math.Max(all, 1e-12)
}

// admittedShare is the part of a class's requests that are admitted at one of their attempts.
func (p *workerPool) admittedShare(i int) float64 {
	if p.rates[i] <= 0 {
		return 0
	}
	sum := 0.0
	for k, r := range p.demand[i].rate {
		sum += r * (1 - math.Pow(1-p.admitted[i], float64(k)))
	}
	return sum / p.rates[i]
}

func (c *demandByAttempts) sum() (sum float64) {
	for _, r := range c.rate {
		sum += r
	}
	return sum
}

// usedCores is how many cores the admitted requests take.
func (p *workerPool) usedCores() (sum float64) {
	for i, r := range p.rates {
		sum += r * p.admittedShare(i) * p.serviceMillis(i)
	}
	return sum
}

// wantedCores is how many cores all requests would take at the utilization that the policy holds.
func (p *workerPool) wantedCores() (sum float64) {
	for i, r := range p.rates {
		sum += r * p.serviceMillis(i)
	}
	return sum / math.Max(p.target, 1e-3)
}

// solve finds the window and utilization at which the pool is in equilibrium.
func (p *workerPool) solve() {
	q := p.queue()
	sla, all := 0.0, 0.0 // mean of one over it
	for i, r := range p.rates {
		sla, all = sla+r/p.f.charter.Products[i%len(p.f.products)].LatencyTargetMillis, all+r
	}
	sla /= math.Max(all, 1e-12)
	p.target = bisect(0, maxUtilization, fineSteps, func(use float64) float64 {
		return (p.networkMillis+q.serviceMillis+q.meanWait(use))*sla - p.f.behaviour.LatencyTargetFraction
	})
	p.admitted = slices.Repeat([]float64{1}, len(p.rates))
	tried, turned := 0.0, p.f.reason[policy.ReasonOverload]+p.f.reason[policy.ReasonNoWorker]
	for i := range p.f.flows {
		tried += p.f.flows[i].Requested
	}
	now := math.Min(turned/math.Max(tried, 1e-12), 1)
	for i := range p.admitted {
		p.admitted[i] = 1 - now
	}
	least := p.f.behaviour.LeastWindow(p.warmWorkers)
	p.utilization = p.usedCores() / p.cores
	p.answerMillis, p.window = p.networkMillis+q.serviceMillis+q.meanWait(p.utilization), least
	for _, w := range p.f.reports {
		p.window = math.Max(p.window, w.Window)
	}
	if p.utilization <= p.target {
		return
	}
	p.overloaded = true
	p.answerMillis = p.networkMillis + q.serviceMillis + q.meanWait(p.target)
	reach := func(w float64) float64 {
		p.estimateAdmission(w)
		return p.usedCores()/p.cores - p.target
	}
	p.window = least
	if reach(least) < 0 {
		most := math.Min(2*(least+p.answerMillis*all/p.gateways), maxInFlight)
		p.window = bisect(least, most, coarseSteps, reach)
		p.estimateAdmission(p.window)
	}
	// Even the least windows are too much.
	if p.utilization = p.usedCores() / p.cores; p.utilization > maxUtilization {
		for i := range p.admitted {
			p.admitted[i] *= maxUtilization / p.utilization
		}
		p.utilization = maxUtilization
		p.answerMillis = p.window * p.gateways / math.Max(p.usedCores()/p.meanServiceMillis(), 1e-12)
	}
}

// estimateAdmission estimates which part of attempts a window admits, with rejected ones that are retried.
func (p *workerPool) estimateAdmission(window float64) {
	var at [depthLevels + 1]int // one more than the place in kinds of the sorts with such a part of the window
	var kinds []windowClass
	shade := func(i int) int {
		d := p.f.behaviour.WindowFraction[i%len(p.f.products)][i/len(p.f.products)]
		return min(max(int(d*depthLevels+0.5), 0), depthLevels)
	}
	for i := range p.admitted {
		p.admitted[i] = 1
		if s := shade(i); at[s] == 0 && p.rates[i] > 0 {
			kinds = append(kinds, windowClass{depth: float64(s) / depthLevels})
			at[s] = len(kinds)
		}
	}
	for range admissionIterations {
		for k := range kinds {
			kinds[k].rate = 0
		}
		for i, r := range p.rates {
			if r <= 0 {
				continue
			}
			k := &kinds[at[shade(i)]-1]
			for n, r := range p.demand[i].rate {
				k.rate += r * expectedAttempts(1-p.admitted[i], n) / p.gateways
			}
		}
		p.scratch = windowAdmission(kinds, window, p.answerMillis, p.scratch)
		for i, r := range p.rates {
			if r > 0 {
				p.admitted[i] += (p.scratch[at[shade(i)]-1] - p.admitted[i]) / 2
			}
		}
	}
}

// admissionIterations is how often retries are estimated anew; each iteration halves the remaining error.
const admissionIterations = 8

// completed returns the rate of a class's answered requests, and which part of them is late: a client
// counts from its first attempt, with the pauses before the others, and the wait at a worker has an
// exponential tail.
func (p *workerPool) completed(i int) (rate, late float64) {
	r := &p.f.rules
	sla := p.f.charter.Products[i%len(p.f.products)].LatencyTargetMillis
	q := p.queue()
	chance, mean := q.wait(p.utilization)
	rate = p.rates[i] * p.admittedShare(i)
	if rate <= 0 {
		return 0, 0
	}
	pause := r.ClientBackoffMillis / 2
	if p.f.charter.AllowRetryAfter {
		pause = math.Min(p.f.behaviour.RetryAfterTargets*sla, p.f.charter.MaxRetryAfterMillis)
	}
	over := func(spent float64) float64 {
		left := sla - spent - p.networkMillis - p.serviceMillis(i)
		if left <= 0 {
			return 1
		}
		return chance * math.Exp(-left/mean)
	}
	sum, weights := 0.0, 0.0
	for lives, r := range p.demand[i].rate {
		first := p.demand[i].failedBefore[lives] / math.Max(r,
			1e-12) * (p.f.rules.ClientBackoffMillis/2 + p.networkMillis)
		for k := range lives {
			w := r * p.admitted[i] * math.Pow(1-p.admitted[i], float64(k))
			weights += w
			sum += w * over(first+float64(k)*(pause+p.networkMillis))
		}
	}
	return rate, sum / math.Max(weights, 1e-12)
}
