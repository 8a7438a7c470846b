package emulator

import "math"

// lateView is what the policy goes by that sees the true state late: all workers, and all that any instance
// has taken from quotas, as they were a delay ago. An instance knows its own use of quotas at once.
type lateView struct {
	sim            *simulation
	delayMillis    float64          // ms
	intervalMillis float64          // between two samples
	samples        [][]workerSample // the oldest first, each by worker
	quotas         map[int]*lateQuota
}

// workerSample is a worker's state at a moment.
type workerSample struct {
	up                            bool
	load, slowFactor, failureRate float64
	capacityFraction              float64
}

// samplesPerDelay is how many samples of the workers are taken within the delay.
const samplesPerDelay = 8

// lateQuota is a customer's quota as it is seen late: a bucket from which all older use was taken, and the
// recent use.
type lateQuota struct {
	tokenBucket
	recent []spending
}

// spending is a use of a quota.
type spending struct {
	atMillis, units float64
	gatekeeper      int // gatekeeper
}

// viewLate returns the late view, which samples the workers from its first use on.
func (sim *simulation) viewLate() *lateView {
	if sim.lateView == nil {
		sim.lateView = &lateView{sim: sim, delayMillis: sim.scenario.Network.EndpointUpdateMillis,
			intervalMillis: math.Max(sim.scenario.Network.EndpointUpdateMillis/samplesPerDelay, 1),
			quotas:         map[int]*lateQuota{}}
		sim.lateView.sample()
	}
	return sim.lateView
}

// sample records the state of the workers, and schedules the next sample.
func (v *lateView) sample() {
	samples := make([]workerSample, len(v.sim.workers))
	for i, worker := range v.sim.workers {
		samples[i] = workerSample{up: worker.active() && !worker.unresponsive, load: float64(worker.busyCores +
			len(worker.queue) + worker.inbound),
			slowFactor: worker.slowFactor, failureRate: worker.failureRate + worker.lossRate,
			capacityFraction: worker.capacityFraction()}
	}
	if v.samples = append(v.samples, samples); len(v.samples) > int(v.delayMillis/v.intervalMillis)+1 {
		v.samples = v.samples[1:]
	}
	v.sim.schedule(v.intervalMillis, v.sample)
}

// admit takes units from a quota as an instance sees it, or returns how long to wait.
func (v *lateView) admit(index, customer int, rate, depth, units float64) (waitMillis float64, ok bool) {
	now := v.sim.nowMillis
	quota := v.quotas[customer]
	if quota == nil {
		quota = &lateQuota{tokenBucket: tokenBucket{tokens: depth, filledAtMillis: now - v.delayMillis}}
		v.quotas[customer] = quota
	}
	for len(quota.recent) > 0 && quota.recent[0].atMillis <= now-v.delayMillis {
		// what is beyond the quota takes nothing: it is charged
		quota.take(quota.recent[0].atMillis, rate, depth, quota.recent[0].units)
		quota.recent = quota.recent[1:]
	}
	// others have used what was refilled since
	tokens := math.Min(quota.tokens+(now-v.delayMillis-quota.filledAtMillis)*rate/1000, depth)
	for _, past := range quota.recent {
		if past.gatekeeper == index {
			tokens -= past.units
		}
	}
	if tokens < units-1e-9 {
		return (units - tokens) / rate * 1000, false
	}
	quota.recent = append(quota.recent, spending{now, units, index})
	return 0, true
}

// chooseWorker returns the better of two random workers that were up and pass a draw by their capacity, or
// else any active one; -1 where there is none.
func (v *lateView) chooseWorker(b *baseline) int {
	samples, views := v.samples[0], v.sim.gatekeepers[b.index].endpoints
	best, fallback, candidates := -1, -1, 0
	for _, i := range b.rng.Perm(len(samples)) {
		if !views[i].active {
			continue
		}
		fallback = i
		if sample := &samples[i]; !sample.up || b.rng.Float64() > sample.capacityFraction {
			continue
		}
		if best < 0 || samples[i].cost() < samples[best].cost() {
			best = i
		}
		if candidates++; candidates == 2 {
			break
		}
	}
	if best < 0 {
		return fallback
	}
	return best
}

// cost orders workers: loaded, slow and failing ones cost more.
func (g *workerSample) cost() float64 { return (g.load + 1) * g.slowFactor * (1 + 20*g.failureRate) }
