package forecast

import (
	"fmt"
	"math"

	"willowdeck/internal/policy"
)

// utilizationOf returns the utilization that represents step i of policy.UtilizationBounds.
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

// demandAtUse is the total demand of customers with a utilization, which is demand over quota of a customer.
type demandAtUse struct{ utilization, demand float64 }

// demandByUse returns a plan's demand by its customers' utilization, the mean size of its requests in
// units, and the sum of the demand. Gateways' demand estimates vary randomly about a customer's mean
// demand, and token buckets even out that variation, so it is removed from the variance of the
// utilizations. It is assumed to be that of a Poisson stream in an estimate with an exponential memory of
// demandMemorySeconds.
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
	units, requests := 0.0, 0.0
	for p := range f.products {
		i := plan*len(f.products) + p
		units += f.flows[i].Units * f.firstAttemptShare(i) * 1000
		requests += f.flows[i].Requested * f.firstAttemptShare(i) * 1000
	}
	for i := range use {
		use[i].utilization = utilizationOf(i)
		mean += use[i].utilization * use[i].demand / all
		squares += use[i].utilization * use[i].utilization * use[i].demand / all
	}
	variance := math.Max(squares-mean*mean, 0)
	// 10% is added since request sizes differ a little.
	random := mean * mean / (2 * math.Max(requests/customers*demandMemorySeconds, 0.1)) * 1.1
	remaining := math.Max(variance-random, 0)
	scaleDown := 0.0
	if variance > 0 {
		scaleDown = math.Sqrt(remaining / variance)
	}
	// The mean weighted by demand is above the mean over customers.
	meanUse := units / customers / f.settings.Plans[plan].QuotaPerSecond * (1 + remaining/(mean*mean))
	for i := range use {
		use[i].utilization = math.Max(meanUse+scaleDown*(use[i].utilization-mean), meanUse/20)
	}
	return use, math.Max(units/math.Max(requests, 1e-9), 1), all
}

// demandMemorySeconds is the time constant of the policy's demand estimate.
const demandMemorySeconds = 1.0

// rebalanceMillis returns how long after a loss the policy still counts the demand reported by lost gateways.
func (f *fleet) rebalanceMillis() float64 {
	return math.Max(f.behaviour.LostAfterMillis+f.behaviour.LostHoldMillis, f.behaviour.SilentAfterMillis)
}

// admittedByQuota returns, by plan, the fraction of customers' requests that quotas and rate limits admit
// after a loss. If early is set, it is the mean until quota shares have moved. During that time the last
// demand reported by lost gateways still counts, so the remaining gateways' shares add up to less than the
// quota.
func (f *fleet) admittedByQuota(s *scenario, early bool) []float64 {
	admitted := make([]float64, len(f.plans))
	for q := range f.plans {
		if admitted[q] = 1; f.settings.Plans[q].QuotaPerSecond <= 0 || f.behaviour.AllowsExcess[q] {
			continue
		}
		use, size, all := f.demandByUse(q)
		if all == 0 {
			continue
		}
		parts, reachable := f.setSharesOf(q, s), f.reachableShare(q, s)
		sum := 0.0
		for i := range use {
			if d := use[i].demand; d > 0 {
				for _, p := range parts {
					sum += d / all * p.weight * f.admittedShare(q, use[i].utilization*reachable, size, p, early)
				}
			}
		}
		admitted[q] = sum
	}
	return admitted
}

// reachableShare returns the fraction of a plan's demand that reaches a remaining gateway.
func (f *fleet) reachableShare(plan int, s *scenario) float64 {
	sum, all := 0.0, 0.0
	np := len(f.products)
	for g := range f.regions {
		rate := 0.0
		for p := range f.products {
			rate += f.requested[g][plan*np+p]
		}
		_, withoutGateway, withoutAttempt := f.takeoversOf(g, s)
		all += rate
		lost := withoutAttempt[plan]
		if !f.assumptions.FailsOver {
			lost += withoutGateway[plan]
		}
		sum += rate * (1 - lost)
	}
	if all == 0 {
		return 1
	}
	return sum / all
}

// shortestTarget returns the shortest latency target of all products, in ms.
func (f *fleet) shortestTarget() float64 {
	least := math.Inf(1)
	for _, p := range f.settings.Products {
		least = math.Min(least, p.LatencyTargetMillis)
	}
	return least
}

// setShare is the fraction of a plan's demand whose sets have the same size and have lost the same fraction
// of their gateways.
type setShare struct {
	weight, lost float64 // fractions of the plan's demand, and of the set's gateways
	size         int
}

// setSharesOf returns a plan's sets by size and fraction lost. They are computed once per scenario.
func (f *fleet) setSharesOf(plan int, s *scenario) []setShare {
	if s.setShares == nil {
		for q := range f.plans {
			s.setShares = append(s.setShares, f.newSetShares(q, s.gatewaysLost))
		}
	}
	return s.setShares[plan]
}

// newSetShares computes the result of setSharesOf; gatewaysLost is by region.
func (f *fleet) newSetShares(plan int, gatewaysLost []bool) (all []setShare) {
	sum := 0.0
	for _, e := range f.customerSets[plan] {
		lost := 0
		for h, n := range e.gatewaysByRegion {
			if gatewaysLost[h] {
				lost += n
			}
		}
		if lost == len(e.regions) {
			continue // its customers use other gateways, if any
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

// tokenBucket is a token bucket with a fill rate and a depth, and a demand with a mean and a variance, in
// units and seconds. Its level is modelled as a Brownian motion that is reflected at zero and at the depth
// (Harrison, Brownian motion and stochastic flow systems, 1985). The rejected demand is the reflection at
// zero.
type tokenBucket struct{ rate, depth, demand, variance float64 }

// shortage returns the fraction of the demand that the bucket rejects in the long run.
func (s tokenBucket) shortage() float64 {
	drift := s.rate - s.demand
	x := 2 * drift * s.depth / s.variance
	reflection := s.variance / (2 * s.depth)
	if math.Abs(x) > 1e-6 {
		reflection = drift / math.Expm1(x)
	}
	return math.Min(math.Max(reflection/s.demand, 0), 1)
}

// meanLevel returns the mean level in the long run, as a fraction of the depth.
func (s tokenBucket) meanLevel() float64 {
	x := 2 * (s.rate - s.demand) * s.depth / s.variance
	if math.Abs(x) < 1e-3 {
		return 0.5
	}
	return math.Min(math.Max(-1/math.Expm1(-x)-1/x, 0), 1)
}

// shortageDuring returns the mean shortage over the first secs seconds if the bucket begins with the fraction
// full of its depth. There is no shortage until the bucket is empty for the first time. That time varies as
// the first passage time of a Brownian motion.
func (s tokenBucket) shortageDuring(secs, full float64) float64 {
	if secs <= 0 {
		return 0
	}
	drift, v, y := s.rate-s.demand, s.variance, full*s.depth
	x := 2 * drift * s.depth / v
	emptyAfter := y * (2*s.depth - y) / v
	if math.Abs(x) > 1e-3 {
		grown := math.Exp(math.Min(x, 500)) * -math.Expm1(-2*drift*y/v)
		emptyAfter = v/(2*drift*drift)*grown - y/drift
	}
	emptyAfter = math.Max(emptyAfter, 1e-9)
	exponentialPart := 1.0 // 1: emptyAfter is the mean of an exponential distribution; 0: it is constant
	if drift < 0 {
		exponentialPart = math.Min(v/math.Max(-drift*y, 1e-9), 1)
	}
	ifConstant := math.Max(1-emptyAfter/secs, 0)
	ifExponential := 1 - emptyAfter/secs*(1-math.Exp(-secs/emptyAfter))
	return s.shortage() * (exponentialPart*ifExponential + (1-exponentialPart)*ifConstant)
}

// admittedShare returns the fraction of a customer's demand that is admitted, for a utilization and a mean
// request size. The largest shortage counts: that of the whole quota's bucket, of all quota shares together,
// of each share alone if retries at other gateways are rejected too, and the last two of the rate limit.
func (f *fleet) admittedShare(plan int, use, size float64, p setShare, early bool) float64 {
	c, m := &f.settings.Plans[plan], &f.behaviour
	if use <= 0 {
		return 1
	}
	demand := use * c.QuotaPerSecond
	n, remaining := float64(p.size), math.Max(float64(p.size)*(1-p.lost), 1)
	// span is the time from when lost gateways count as silent until their shares have moved, in seconds.
	span := (f.rebalanceMillis() - m.SilentAfterMillis) / 1000
	// Clients that retry do so until the latency target. That has the effect of a bucket that is deeper by the
	// demand of that time.
	retried := 0.0
	if f.assumptions.ClientAttempts > 1 {
		retried = demand * f.shortestTarget() / 1000
	}
	// steady returns the shortage of a bucket that is divided into equal parts and is filled at rate, and was
	// filled at rateBefore until the loss.
	steady := func(rateBefore, rate, depth, parts float64) float64 {
		depth += retried
		s := tokenBucket{rate / parts, math.Max(depth/parts, size), demand / parts, 1.1 * demand / parts * size}
		if early && p.lost > 0 {
			before := s
			before.rate = rateBefore / parts
			return s.shortageDuring(span, before.meanLevel())
		}
		return s.shortage()
	}
	part := 1.0 // fraction of the quota that the remaining gateways' shares add up to
	switch {
	case p.lost > 0 && early:
		// Lost gateways count with the demand that they reported last. If their last report did not include the
		// customer, because it sends few requests, they count with the mean of the others, which now have all of
		// its demand.
		reported := 1 - math.Exp(-demand/size/n*m.ReportSpanMillis(p.size)/1000)
		lostDemand := reported*p.lost + (1-reported)*p.lost/math.Max(1-p.lost, 1/n)
		part = m.FloorFraction*(1-p.lost) + (1-m.FloorFraction)/(1+lostDemand)
	case p.lost > 0:
		part = m.FloorFraction*(1-p.lost) + 1 - m.FloorFraction
	}
	largestShortage := math.Max(steady(c.QuotaPerSecond, c.QuotaPerSecond*part, c.QuotaBurst*part, 1),
		math.Pow(steady(c.QuotaPerSecond, c.QuotaPerSecond*part, c.QuotaBurst*part, remaining),
			float64(f.assumptions.ClientAttempts)))
	if !m.QuotaUnseen[plan] && p.size > 1 {
		rate := c.QuotaPerSecond
		if early && p.lost > 0 { // what silent gateways may spend is reserved from the whole quota, too
			rate *= math.Max(1-p.lost*n/(n-1)*(1-part/remaining), 0)
		}
		reserved := demand * (n - 1) / n * m.ReserveMillis(p.size) / 1000
		largestShortage = math.Max(largestShortage, steady(c.QuotaPerSecond, rate, c.QuotaBurst-reserved, 1))
	}
	if c.RateLimitPerSecond > 0 {
		rate, depth := c.RateLimitPerSecond*(1-p.lost), c.RateLimitBurst*(1-p.lost)
		largestShortage = math.Max(largestShortage, steady(c.RateLimitPerSecond, rate, depth, 1))
		largestShortage = math.Max(largestShortage, math.Pow(steady(c.RateLimitPerSecond, rate, depth, remaining),
			float64(f.assumptions.ClientAttempts)))
	}
	if early && p.lost > 0 {
		// Until the lost gateways count as silent, nothing changes.
		total := span + m.SilentAfterMillis/1000
		unchanged := setShare{p.weight, 0, p.size}
		return ((total-span)*f.admittedShare(plan, use, size, unchanged, false) + span*(1-largestShortage)) / total
	}
	return 1 - largestShortage
}

// drawCredit lets customers borrow, in the ms milliseconds until quota shares have moved, the units that
// quotas reject because of the loss. They borrow at most the credit at the remaining gateways, which get no
// more while other gateways of a set are silent. It adds the requests that are admitted on credit to
// s.admitted and returns the units borrowed.
func (f *fleet) drawCredit(s *scenario, ms float64) (drawn float64) {
	withoutLoss := f.admittedByQuota(f.newScenario(Loss{}), false)
	for q := range f.plans {
		demand := 0.0
		for _, w := range f.reports {
			demand += w.Customers[q].DemandPerSecond * f.scale
		}
		rejected := (withoutLoss[q] - s.admitted[q]) * demand * ms / 1000
		available := 0.0
		for g := range f.regions {
			if !s.gatewaysLost[g] {
				available += f.credit[g][q]
			}
		}
		if rejected > 0 && available > 0 {
			borrowed := math.Min(rejected, available)
			drawn += borrowed
			s.admitted[q] += borrowed / (demand * ms / 1000)
		}
	}
	return drawn
}

// findShortages describes the demand that quotas and rate limits reject because of a loss, and the requests
// whose clients' gateways are all lost.
func (f *fleet) findShortages(s *scenario) (all []string) {
	withoutLoss, after := f.admittedByQuota(f.newScenario(Loss{}), false), f.admittedByQuota(s, false)
	for q, plan := range f.plans {
		demand := 0.0
		for _, w := range f.reports {
			demand += w.Customers[q].DemandPerSecond * f.scale
		}
		if v := (withoutLoss[q] - s.admitted[q]) * demand; v > 0.005*demand {
			all = append(all, fmt.Sprintf("quota: %.4g units/s of %s until shares have moved, %.4g then",
				toSignificantDigits(v),
				plan, toSignificantDigits(math.Max((withoutLoss[q]-after[q])*demand, 0))))
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

// estimateImmediate estimates the immediate cost of a loss: non-idempotent requests in flight at workers that
// are lost or unreachable, requests in flight at lost gateways whose clients do not retry, and requests that
// arrive at lost gateways until clients have moved.
func (f *fleet) estimateImmediate(c *Cost, s *scenario) {
	np := len(f.products)
	meanValue, nonIdempotent, all := 0.0, 0.0, 0.0
	for i := range f.flows {
		v, r := f.value(i/np, i%np), f.flows[i].Succeeded*f.serviceMillis[i%np]
		meanValue, all = meanValue+v*r, all+r
		if f.settings.Products[i%np].Idempotency == policy.NonIdempotent {
			nonIdempotent += v * r
		}
	}
	if all == 0 {
		return
	}
	meanValue, nonIdempotent = meanValue/all, nonIdempotent/all
	partition := make([]int, len(f.regions))
	for i, members := range s.partitions {
		for _, x := range members {
			partition[x] = i
		}
	}
	for g := range f.regions {
		for x, n := range f.inFlight[g] {
			unreachable := s.workersLost[x] || partition[g] != partition[x]
			switch attempts := float64(n) * f.scale; {
			case s.gatewaysLost[g]:
				if f.assumptions.ClientAttempts == 1 {
					c.Immediate += attempts * meanValue
				}
				if !unreachable {
					c.Wasted += attempts
				}
			case unreachable:
				c.Immediate += attempts * nonIdempotent
				c.Wasted += attempts
			}
		}
		if s.gatewaysLost[g] {
			for i, r := range f.requested[g] {
				c.Immediate += f.value(i/np, i%np) * r * f.assumptions.TakeoverMillis
			}
		}
	}
	c.Immediate, c.Wasted = toSignificantDigits(c.Immediate), toSignificantDigits(c.Wasted)
}
