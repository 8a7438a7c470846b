package forecast

import (
	"math"
	"slices"

	"willowdeck/internal/policy"
)

// workerPool is identical gateways before identical workers.
type workerPool struct {
	f                                    *fleet
	demand                               []demandByAttempts // by sort
	rates                                []float64          // their sums
	gateways, warmWorkers, networkMillis float64
	cores, slowFactor                    float64
	admitted                             []float64 // by class, the part of attempts that are admitted
	utilization, answerMillis, window    float64   // of the cores; ms of an answer; attempts
	// The use at which answers are as slow as the policy lets them be.
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
		sla, all = sla+r/p.f.settings.Products[i%len(p.f.products)].LatencyTargetMillis, all+r
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
	var at [depthLevels + 1]int // one more than the place in kinds of the classes with such a part of the window
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
	sla := p.f.settings.Products[i%len(p.f.products)].LatencyTargetMillis
	q := p.queue()
	chance, mean := q.wait(p.utilization)
	rate = p.rates[i] * p.admittedShare(i)
	if rate <= 0 {
		return 0, 0
	}
	pause := r.ClientBackoffMillis / 2
	if p.f.settings.AllowRetryAfter {
		pause = math.Min(p.f.behaviour.RetryAfterTargets*sla, p.f.settings.MaxRetryAfterMillis)
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
