package forecast

import (
	"math"
	"slices"

	"willowdeck/internal/policy"
)

// workerPool models identical gateways that send requests to identical workers.
type workerPool struct {
	f                                    *fleet
	demand                               []demandByAttempts // by class
	rates                                []float64          // requests per ms, by class
	gateways, warmWorkers, networkMillis float64
	cores, slowFactor                    float64
	admitted                             []float64 // by class, fraction of attempts that are admitted
	utilization, answerMillis, window    float64   // window: attempts of one gateway
	// target is the utilization of the cores at which mean answer times reach the policy's latency bound.
	target     float64
	overloaded bool // the requests would exceed target
	scratch    []float64
}

// serviceMillis returns the core time of a request of a class.
func (p *workerPool) serviceMillis(i int) float64 {
	return p.f.serviceMillis[i%len(p.f.products)] * p.slowFactor
}

// queue returns the queue of one worker. Workers have separate queues, since gateways see little of what
// other gateways have in flight at a worker.
func (p *workerPool) queue() queueModel {
	return queueModel{p.f.cores, p.meanServiceMillis(), p.f.serviceCV2}
}

// meanServiceMillis returns the mean core time of a request.
func (p *workerPool) meanServiceMillis() float64 {
	sum, all := 0.0, 0.0
	for i, r := range p.rates {
		sum, all = sum+r*p.serviceMillis(i), all+r
	}
	return sum / math.Max(all, 1e-12)
}

// admittedShare returns the fraction of a class's requests that are admitted at one of their attempts.
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

// usedCores returns how many cores the admitted requests use.
func (p *workerPool) usedCores() (sum float64) {
	for i, r := range p.rates {
		sum += r * p.admittedShare(i) * p.serviceMillis(i)
	}
	return sum
}

// wantedCores returns how many cores all requests would need at the target utilization.
func (p *workerPool) wantedCores() (sum float64) {
	for i, r := range p.rates {
		sum += r * p.serviceMillis(i)
	}
	return sum / math.Max(p.target, 1e-3)
}

// solve finds the window and utilization at which the pool is in equilibrium, and the fractions admitted.
func (p *workerPool) solve() {
	q := p.queue()
	inverseTarget, all := 0.0, 0.0 // mean of the inverse of the latency target, weighted by rate
	for i, r := range p.rates {
		inverseTarget, all = inverseTarget+r/p.f.settings.Products[i%len(p.f.products)].LatencyTargetMillis, all+r
	}
	inverseTarget /= math.Max(all, 1e-12)
	p.target = bisect(0, maxUtilization, fineSteps, func(use float64) float64 {
		return (p.networkMillis+q.serviceMillis+q.meanWait(use))*inverseTarget - p.f.behaviour.LatencyTargetFraction
	})
	p.admitted = slices.Repeat([]float64{1}, len(p.rates))
	attempts, overloadRejections := 0.0, p.f.reason[policy.ReasonOverload]+p.f.reason[policy.ReasonNoWorker]
	for i := range p.f.flows {
		attempts += p.f.flows[i].Requested
	}
	// Below the target utilization, the fraction rejected now for overload or lack of workers is assumed.
	rejected := math.Min(overloadRejections/math.Max(attempts, 1e-12), 1)
	for i := range p.admitted {
		p.admitted[i] = 1 - rejected
	}
	minWindow := p.f.behaviour.LeastWindow(p.warmWorkers)
	p.utilization = p.usedCores() / p.cores
	p.answerMillis, p.window = p.networkMillis+q.serviceMillis+q.meanWait(p.utilization), minWindow
	for _, w := range p.f.reports {
		p.window = math.Max(p.window, w.Window)
	}
	if p.utilization <= p.target {
		return
	}
	p.overloaded = true
	p.answerMillis = p.networkMillis + q.serviceMillis + q.meanWait(p.target)
	excess := func(w float64) float64 {
		p.estimateAdmission(w)
		return p.usedCores()/p.cores - p.target
	}
	p.window = minWindow
	if excess(minWindow) < 0 {
		maxWindow := math.Min(2*(minWindow+p.answerMillis*all/p.gateways), maxInFlight)
		p.window = bisect(minWindow, maxWindow, coarseSteps, excess)
		p.estimateAdmission(p.window)
	}
	// The minimum windows may admit more than the workers can serve; then the excess is rejected.
	if p.utilization = p.usedCores() / p.cores; p.utilization > maxUtilization {
		for i := range p.admitted {
			p.admitted[i] *= maxUtilization / p.utilization
		}
		p.utilization = maxUtilization
		p.answerMillis = p.window * p.gateways / math.Max(p.usedCores()/p.meanServiceMillis(), 1e-12)
	}
}

// estimateAdmission estimates, by class, the fraction of attempts that a window admits if rejected requests
// are retried.
func (p *workerPool) estimateAdmission(window float64) {
	// Classes with the same step of depth are computed as one; at has one more than their index in merged.
	var at [depthLevels + 1]int
	var merged []windowClass
	depthStep := func(i int) int {
		d := p.f.behaviour.WindowFraction[i%len(p.f.products)][i/len(p.f.products)]
		return min(max(int(d*depthLevels+0.5), 0), depthLevels)
	}
	for i := range p.admitted {
		p.admitted[i] = 1
		if s := depthStep(i); at[s] == 0 && p.rates[i] > 0 {
			merged = append(merged, windowClass{depth: float64(s) / depthLevels})
			at[s] = len(merged)
		}
	}
	for range admissionIterations {
		for k := range merged {
			merged[k].rate = 0
		}
		for i, r := range p.rates {
			if r <= 0 {
				continue
			}
			k := &merged[at[depthStep(i)]-1]
			for n, r := range p.demand[i].rate {
				k.rate += r * expectedAttempts(1-p.admitted[i], n) / p.gateways
			}
		}
		p.scratch = windowAdmission(merged, window, p.answerMillis, p.scratch)
		for i, r := range p.rates {
			if r > 0 {
				p.admitted[i] += (p.scratch[at[depthStep(i)]-1] - p.admitted[i]) / 2
			}
		}
	}
}

// admissionIterations is the number of estimates of the retry rate; each iteration halves the remaining
// error.
const admissionIterations = 8

// completed returns the rate of a class's answered requests, and the fraction of them that is late. A
// request's time starts with its first attempt and includes the pauses before retries. The wait at a worker
// is taken as exponentially distributed.
func (p *workerPool) completed(i int) (rate, late float64) {
	r := &p.f.assumptions
	latencyTarget := p.f.settings.Products[i%len(p.f.products)].LatencyTargetMillis
	q := p.queue()
	waitProbability, mean := q.wait(p.utilization)
	rate = p.rates[i] * p.admittedShare(i)
	if rate <= 0 {
		return 0, 0
	}
	pause := r.ClientBackoffMillis / 2
	if p.f.settings.AllowRetryAfter {
		pause = math.Min(p.f.behaviour.RetryAfterTargets*latencyTarget, p.f.settings.MaxRetryAfterMillis)
	}
	lateProbability := func(elapsed float64) float64 {
		left := latencyTarget - elapsed - p.networkMillis - p.serviceMillis(i)
		if left <= 0 {
			return 1
		}
		return waitProbability * math.Exp(-left/mean)
	}
	sum, weights := 0.0, 0.0
	for attempts, r := range p.demand[i].rate {
		first := p.demand[i].failedBefore[attempts] / math.Max(r,
			1e-12) * (p.f.assumptions.ClientBackoffMillis/2 + p.networkMillis)
		for k := range attempts {
			w := r * p.admitted[i] * math.Pow(1-p.admitted[i], float64(k))
			weights += w
			sum += w * lateProbability(first+float64(k)*(pause+p.networkMillis))
		}
	}
	return rate, sum / math.Max(weights, 1e-12)
}
