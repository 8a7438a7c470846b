package invariants

import (
	"math"
)

// maxInformedFraction is the fraction of the work that an overloaded cold worker got from gateways that knew
// of its start, up to which the overload violates no rule.
const maxInformedFraction = 2.0 / 3

// warmingWorker is a worker since its last start.
type warmingWorker struct {
	startedAt  float64
	overloaded bool
	knownBy    map[int]bool // gateways that were notified of the start
	arrivals   []arrival    // of the last OverloadWindow milliseconds
}

// arrival is a request that was sent to a cold worker.
type arrival struct {
	at, work float64
	informed bool // its gateway knew of the worker's start
}

// WorkerStarted records that a worker's process has started, with cold caches.
func (c *Checker) WorkerStarted(at float64, worker int) {
	c.coldWorkers[worker] = &warmingWorker{startedAt: at, knownBy: map[int]bool{}}
}

// StartNotified records that a gateway was notified of the start of a worker's process.
func (c *Checker) StartNotified(gateway, worker int, started float64) {
	if w := c.coldWorkers[worker]; w != nil && w.startedAt == started {
		w.knownBy[gateway] = true
	}
}

// checkWarmUp checks rule 4: a cold worker is overloaded when all gateways together send it more than N + 2
// root N + 2 units of mean work in OverloadWindow, N being what it survives in that time; two standard
// deviations
// of random arrivals are allowed for. An overload violates the rule where most of the work came from gateways
// that knew of the start.
func (c *Checker) checkWarmUp(at float64, gateway int, id uint64, t *request, worker int) {
	w := c.coldWorkers[worker]
	if w == nil || w.overloaded || at >= w.startedAt+c.rules.WarmUp {
		return
	}
	for len(w.arrivals) > 0 && w.arrivals[0].at <= at-c.rules.OverloadWindow {
		w.arrivals = w.arrivals[1:]
	}
	work := c.rules.Products[t.product].Work
	if work <= 0 {
		work = 1
	}
	w.arrivals = append(w.arrivals, arrival{at, work, w.knownBy[gateway]})
	sum, informed := 0.0, 0.0
	for _, a := range w.arrivals {
		if sum += a.work; a.informed {
			informed += a.work
		}
	}
	fraction := c.rules.WarmingFraction + (1-c.rules.WarmingFraction)*(at-w.startedAt)/c.rules.WarmUp
	n := c.rules.OverloadFactor * fraction * c.rules.Capacity * c.rules.OverloadWindow / 1000
	limit := n + 2*math.Sqrt(n) + 2
	c.maxLoad = math.Max(c.maxLoad, sum/limit)
	if sum <= limit {
		return
	}
	c.overloads, w.overloaded = c.overloads+1, true
	if informed > maxInformedFraction*sum {
		c.violate(4, at, gateway, id, "worker %d, started at %.1f, got %.1f of mean work in %v ms, bears %.1f",
			worker, w.startedAt, sum, c.rules.OverloadWindow, limit)
	}
}

// Overloads returns how many cold workers were overloaded, whoever knew of their start, and the largest load
// of any as a fraction of what overloads it.
func (c *Checker) Overloads() (n int, nearest float64) { return c.overloads, c.maxLoad }
