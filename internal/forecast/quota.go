package forecast

import (
	"fmt"
	"math"

	"willowdeck/internal/policy"
)

// utilizationOf returns the utilization that stands for a step of policy.UtilizationBounds.
func utilizationOf(i int) float64 {
	switch b := policy.UtilizationBounds; {
	case i == 0:
		return b[0] / 2
	case i < len(b):
		return (b[i-1] + b[i]) / 2
	default:
		return b[len(b)-1] * 1.5
	}
}

// demandAtUse is the demand of customers at a utilization, which is their demand over their rate.
type demandAtUse struct{ utilization, demand float64 }

// demandByUse returns a plan's demand by its customers' utilization, and the mean size of its requests.
// What gateways see of a customer at a time varies by chance about its demand: that part of the spread is
// removed, as far as it would be there if all came by chance alone (a Poisson stream, seen through an
// exponential memory of a second), so that what buckets even out is not taken for need.
func (f *fleet) demandByUse(plan int) (use [len(policy.UtilizationBounds) + 1]demandAtUse,
	size, all float64) {
	customers, mean, squares := 0.0, 0.0, 0.0
	for _, w := range f.reports {
		customers += w.Customers[plan].Customers * f.scale
		for i, d := range w.Customers[plan].DemandByUtilization {
			use[i].demand += d
			all += d
		}
	}
	if all == 0 || customers == 0 {
		return use, 1, 0
	}
	units, txns := 0.0, 0.0
	for p := range f.products {
		i := plan*len(f.products) + p
		units += f.flows[i].Units * f.firstAttemptShare(i) * 1000
		txns += f.flows[i].Requested * f.firstAttemptShare(i) * 1000
	}
	for i := range use {
		use[i].utilization = utilizationOf(i)
		mean += use[i].utilization * use[i].demand / all
		squares += use[i].utilization * use[i].utilization * use[i].demand / all
	}
	spread := math.Max(squares-mean*mean, 0)
	// Sizes differ a little.
	chance := mean * mean / (2 * math.Max(txns/customers*demandMemorySeconds, 0.1)) * 1.1
	truly := math.Max(spread-chance, 0)
	narrow := 0.0
	if spread > 0 {
		narrow = math.Sqrt(truly / spread)
	}
	// as demand sees it
	usual := units / customers / f.settings.Plans[plan].QuotaPerSecond * (1 + truly/(mean*mean))
	for i := range use {
		use[i].utilization = math.Max(usual+narrow*(use[i].utilization-mean), usual/20)
	}
	return use, math.Max(units/math.Max(txns, 1e-9), 1), all
}

// demandMemorySeconds is the time constant of the policy's demand estimate.
const demandMemorySeconds = 1.0

// rebalanceMillis is how long after a loss the demand reported by lost gateways still counts.
func (f *fleet) rebalanceMillis() float64 {
	return math.Max(f.behaviour.LostAfterMillis+f.behaviour.LostHoldMillis, f.behaviour.SilentAfterMillis)
}

// admittedByQuota returns, by plan, the part of customers' requests that quotas and rate limits admit
// while their gateways in some regions are silent. early is the mean until quota shares have moved: the
// last demand of the lost gateways still counts for so long, so that the others' parts of a rate add up to
// less than it.
func (f *fleet) admittedByQuota(s *scenario, early bool) []float64 {
	let := make([]float64, len(f.plans))
	for q := range f.plans {
		if let[q] = 1; f.settings.Plans[q].QuotaPerSecond <= 0 || f.behaviour.AllowsExcess[q] {
			continue
		}
		use, size, all := f.demandByUse(q)
		if all == 0 {
			continue
		}
		parts, come := f.setSharesOf(q, s), f.reachableShare(q, s)
		sum := 0.0
		for i := range use {
			if d := use[i].demand; d > 0 {
				for _, p := range parts {
					sum += d / all * p.weight * f.admittedShare(q, use[i].utilization*come, size, p, early)
				}
			}
		}
		let[q] = sum
	}
	return let
}

// reachableShare is the part of a plan's demand that finds a gateway.
func (f *fleet) reachableShare(plan int, s *scenario) float64 {
	sum, all := 0.0, 0.0
	np := len(f.products)
	for g := range f.regions {
		rate := 0.0
		for p := range f.products {
			rate += f.requested[g][plan*np+p]
		}
		_, none, late := f.takeoversOf(g, s)
		all += rate
		gone := late[plan]
		if !f.rules.FailsOver {
			gone += none[plan]
		}
		sum += rate * (1 - gone)
	}
	if all == 0 {
		return 1
	}
	return sum / all
}

// shortestTarget is the shortest latency target, ms.
func (f *fleet) shortestTarget() float64 {
	least := math.Inf(1)
	for _, p := range f.settings.Products {
		least = math.Min(least, p.LatencyTargetMillis)
	}
	return least
}

// setShare is the part of a plan's demand whose sets have lost so many of their gateways.
type setShare struct {
	weight, lost float64 // lost is of the set's gateways
	size         int
}

// setSharesOf returns a plan's sets by size and the part lost; computed once per scenario.
func (f *fleet) setSharesOf(plan int, s *scenario) []setShare {
	if s.setShares == nil {
		for q := range f.plans {
			s.setShares = append(s.setShares, f.newSetShares(q, s.gatewaysLost))
		}
	}
	return s.setShares[plan]
}

func (f *fleet) newSetShares(plan int, mute []bool) (all []setShare) {
	sum := 0.0
	for _, e := range f.customerSets[plan] {
		lost := 0
		for h, n := range e.gatewaysByRegion {
			if mute[h] {
				lost += n
			}
		}
		if lost == len(e.regions) {
			continue // others serve its customers, as far as they do
		}
		p := setShare{e.demand, float64(lost) / float64(len(e.regions)), len(e.regions)}
		sum += p.weight
		known := false
		for i := range all {
			if all[i].lost == p.lost && all[i].size == p.size {
				all[i].weight, known = all[i].weight+p.weight, true
			}
		}
		if !known {
			all = append(all, p)
		}
	}
	if sum <= 0 {
		return []setShare{{1, 0, 1}}
	}
	for i := range all {
		all[i].weight /= sum
	}
	return all
}

// tokenBucket is a bucket that fills at a rate and holds depth, with demand of a mean and a variance, all
// in units and seconds. Its level is modelled as a Brownian motion between zero and its depth (Harrison,
// Brownian motion and stochastic flow systems, 1985): what it cannot give is what holds the motion up at
// zero.
type tokenBucket struct{ rate, depth, demand, variance float64 }

// shortage is the part of its demand that a bucket cannot give in the long run.
func (s tokenBucket) shortage() float64 {
	drift := s.rate - s.demand
	x := 2 * drift * s.depth / s.variance
	push := s.variance / (2 * s.depth)
	if math.Abs(x) > 1e-6 {
		push = drift / math.Expm1(x)
	}
	return math.Min(math.Max(push/s.demand, 0), 1)
}

// meanLevel is the part of its depth that a bucket holds in the long run, on average.
func (s tokenBucket) meanLevel() float64 {
	x := 2 * (s.rate - s.demand) * s.depth / s.variance
	if math.Abs(x) < 1e-3 {
		return 0.5
	}
	return math.Min(math.Max(-1/math.Expm1(-x)-1/x, 0), 1)
}

// shortageDuring is the mean shortage over so many seconds that begin with a part of the depth in the
// bucket: until it is empty for the first time there is none. The spread of that time is a first
// passage's.
func (s tokenBucket) shortageDuring(secs, full float64) float64 {
	if secs <= 0 {
		return 0
	}
	drift, v, y := s.rate-s.demand, s.variance, full*s.depth
	x := 2 * drift * s.depth / v
	until := y * (2*s.depth - y) / v
	if math.Abs(x) > 1e-3 {
		grown := math.Exp(math.Min(x, 500)) * -math.Expm1(-2*drift*y/v)
		until = v/(2*drift*drift)*grown - y/drift
	}
	until = math.Max(until, 1e-9)
	even := 1.0 // how far it is by chance alone
	if drift < 0 {
		even = math.Min(v/math.Max(-drift*y, 1e-9), 1)
	}
	sharp := math.Max(1-until/secs, 0)
	blurred := 1 - until/secs*(1-math.Exp(-secs/until))
	return s.shortage() * (even*blurred + (1-even)*sharp)
}

// admittedShare is the part of its demand that is admitted of a customer of some utilization and size of
// requests. The largest shortage counts: that of the quota's one bucket, of its shares together, of each
// share by itself as far as a retry at another gateway finds no more, and the same of a rate limit.
func (f *fleet) admittedShare(plan int, use, size float64, p setShare, early bool) float64 {
	c, m := &f.settings.Plans[plan], &f.behaviour
	if use <= 0 {
		return 1
	}
	demand := use * c.QuotaPerSecond
	n, living := float64(p.size), math.Max(float64(p.size)*(1-p.lost), 1)
	span := (f.rebalanceMillis() - m.SilentAfterMillis) / 1000
	waits := 0.0 // what is rejected comes again while that is of use, as if the store were so much deeper
	if f.rules.ClientAttempts > 1 {
		waits = demand * f.shortestTarget() / 1000
	}
	// steady is of a store that has filled at a rate, and now does at another.
	steady := func(was, rate, depth, of float64) float64 {
		depth += waits
		s := tokenBucket{rate / of, math.Max(depth/of, size), demand / of, 1.1 * demand / of * size}
		if early && p.lost > 0 {
			before := s
			before.rate = was / of
			return s.shortageDuring(span, before.meanLevel())
		}
		return s.shortage()
	}
	part := 1.0
	switch {
	case p.lost > 0 && early:
		// Those lost count by the last demand that they told. Where their last message did not name the customer,
		// as one that asks seldom, they count as the mean of the others, which by now have all of its demand.
		told := 1 - math.Exp(-demand/size/n*m.ReportSpanMillis(p.size)/1000)
		held := told*p.lost + (1-told)*p.lost/math.Max(1-p.lost, 1/n)
		part = m.FloorFraction*(1-p.lost) + (1-m.FloorFraction)/(1+held)
	case p.lost > 0:
		part = m.FloorFraction*(1-p.lost) + 1 - m.FloorFraction
	}
	short := math.Max(steady(c.QuotaPerSecond, c.QuotaPerSecond*part, c.QuotaBurst*part, 1),
		math.Pow(steady(c.QuotaPerSecond, c.QuotaPerSecond*part, c.QuotaBurst*part, living),
			float64(f.rules.ClientAttempts)))
	if !m.QuotaUnseen[plan] && p.size > 1 {
		rate := c.QuotaPerSecond
		if early && p.lost > 0 { // what the silent ones may spend is kept from the one store, too
			rate *= math.Max(1-p.lost*n/(n-1)*(1-part/living), 0)
		}
		kept := demand * (n - 1) / n * m.ReserveMillis(p.size) / 1000
		short = math.Max(short, steady(c.QuotaPerSecond, rate, c.QuotaBurst-kept, 1))
	}
	if c.RateLimitPerSecond > 0 {
		rate, depth := c.RateLimitPerSecond*(1-p.lost), c.RateLimitBurst*(1-p.lost)
		short = math.Max(short, steady(c.RateLimitPerSecond, rate, depth, 1))
		short = math.Max(short, math.Pow(steady(c.RateLimitPerSecond, rate, depth, living),
			float64(f.rules.ClientAttempts)))
	}
	if early && p.lost > 0 {
		moved := span + m.SilentAfterMillis/1000
		whole := setShare{p.weight, 0, p.size}
		return ((moved-span)*f.admittedShare(plan, use, size, whole, false) + span*(1-short)) / moved
	}
	return 1 - short
}

// drawCredit has customers borrow what quotas keep from them until shares have moved, as far as the
// gateways that are left hold credit: they get no more while others of a set are silent. It returns the
// units.
func (f *fleet) drawCredit(s *scenario, ms float64) (drawn float64) {
	whole := f.admittedByQuota(f.newScenario(Loss{}), false)
	for q := range f.plans {
		demand := 0.0
		for _, w := range f.reports {
			demand += w.Customers[q].DemandPerSecond * f.scale
		}
		short := (whole[q] - s.admitted[q]) * demand * ms / 1000
		line := 0.0
		for g := range f.regions {
			if !s.gatewaysLost[g] {
				line += f.credit[g][q]
			}
		}
		if short > 0 && line > 0 {
			lent := math.Min(short, line)
			drawn += lent
			s.admitted[q] += lent / (demand * ms / 1000)
		}
	}
	return drawn
}

// findShortages names what quotas and rate limits reject, and the requests that no gateway takes over.
func (f *fleet) findShortages(s *scenario) (all []string) {
	whole, after := f.admittedByQuota(f.newScenario(Loss{}), false), f.admittedByQuota(s, false)
	for q, plan := range f.plans {
		demand := 0.0
		for _, w := range f.reports {
			demand += w.Customers[q].DemandPerSecond * f.scale
		}
		if v := (whole[q] - s.admitted[q]) * demand; v > 0.005*demand {
			all = append(all, fmt.Sprintf("quota: %.4g units/s of %s until shares have moved, %.4g then",
				toSignificantDigits(v),
				plan, toSignificantDigits(math.Max((whole[q]-after[q])*demand, 0))))
		}
	}
	_, orphans, _ := f.demand(s)
	for q, plan := range f.plans {
		if orphans[q] > 0 {
			all = append(all, fmt.Sprintf("gatekeepers: none of theirs is left for %.4g txns/s of %s",
				toSignificantDigits(orphans[q]*1000), plan))
		}
	}
	return all
}

// estimateImmediate estimates what a loss costs at once: requests in flight at lost workers that may not
// be repeated, those in flight at lost gateways whose clients do not retry, and what arrives until clients
// have moved.
func (f *fleet) estimateImmediate(c *Cost, s *scenario) {
	np := len(f.products)
	worth, once, all := 0.0, 0.0, 0.0
	for i := range f.flows {
		v, r := f.value(i/np, i%np), f.flows[i].Succeeded*f.serviceMillis[i%np]
		worth, all = worth+v*r, all+r
		if f.settings.Products[i%np].Idempotency == policy.NonIdempotent {
			once += v * r
		}
	}
	if all == 0 {
		return
	}
	worth, once = worth/all, once/all
	island := make([]int, len(f.regions))
	for i, is := range s.partitions {
		for _, x := range is {
			island[x] = i
		}
	}
	for g := range f.regions {
		for x, n := range f.inFlight[g] {
			cut := s.workersLost[x] || island[g] != island[x]
			switch in := float64(n) * f.scale; {
			case s.gatewaysLost[g]:
				if f.rules.ClientAttempts == 1 {
					c.Immediate += in * worth
				}
				if !cut {
					c.Wasted += in
				}
			case cut:
				c.Immediate += in * once
				c.Wasted += in
			}
		}
		if s.gatewaysLost[g] {
			for i, r := range f.requested[g] {
				c.Immediate += f.value(i/np, i%np) * r * f.rules.TakeoverMillis
			}
		}
	}
	c.Immediate, c.Wasted = toSignificantDigits(c.Immediate), toSignificantDigits(c.Wasted)
}
