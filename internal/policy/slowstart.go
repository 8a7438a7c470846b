package policy

import (
	"math"
)

const (
	// warmingOverloadFraction is the part of what a worker withstands that the turns of all gateways come to,
	// with the warm ones at their most.
	warmingOverloadFraction = 0.5
	// warmingBlindIntervalMillis is the time between units to a warming worker, over all gateways, while no warm
	// one has been seen.
	warmingBlindIntervalMillis = 1000.0
	// warmWorkWindowMillis is the time constant of the mean work of warm workers.
	warmWorkWindowMillis = 5000.0
	// minWarmWorkSpanMillis is the time that the first means are taken over, at least.
	minWarmWorkSpanMillis = 500.0
	// warmUpStretchFactor stretches the stated warm-up before a worker counts as warm.
	warmUpStretchFactor = 1.1
)

// meanUnits returns the size of a medium request.
func (derived *derivedSettings) meanUnits() float64 { return (1 + derived.maxRequestUnits) / 2 }

// warmWorkUnits returns the units done by warm workers, decayed to now.
func (e *Engine) warmWorkUnits() float64 {
	return e.warmUnits * math.Exp((e.warmUnitsAt-e.now)/warmWorkWindowMillis)
}

// recordWarmWork adds the units done by a warm worker, in sum and for each warm worker there is. A worker
// that is no longer listed does not count for the latter: the number of the others may just have fallen.
func (e *Engine) recordWarmWork(worker *workerRecord, units float64) {
	if e.warmFraction(worker.StartedAtMillis) < 1 {
		return
	}
	fade := math.Exp((e.warmUnitsAt - e.now) / warmWorkWindowMillis)
	e.warmUnits, e.warmUnitsPerWorker, e.warmUnitsAt = e.warmUnits*fade+units, e.warmUnitsPerWorker*fade, e.now
	if worker.warm && worker.inEndpoints {
		e.warmUnitsPerWorker += units / float64(e.warmCount)
	}
}

// warmFraction returns the estimated fraction of its capacity that a worker has, from the stated least
// capacity and longest warm-up.
func (e *Engine) warmFraction(since float64) float64 {
	if since <= 0 || e.derived.warmUpMillis <= 0 || e.now-since >= e.derived.warmUpMillis {
		return 1
	}
	return e.derived.warmingCapacityFraction + (1-e.derived.warmingCapacityFraction)*math.Max(e.now-since,
		0)/e.derived.warmUpMillis
}

// hasTurn tells whether it is this gateway's turn at a worker that is warming up. Guards against turns that
// all gateways have saved and use at once: a turn lasts as long as such a worker withstands overload, the
// next one is earned anew.
func (e *Engine) hasTurn(worker *workerRecord) bool {
	if worker.slowStartDebt > 0 {
		worker.slowStartDebt = math.Max(worker.slowStartDebt-
			(e.now-worker.slowStartAt)*e.warmingRate(worker.StartedAtMillis), 0)
		worker.slowStartAt = e.now
	} else if e.derived.turnMillis > 0 && e.now-worker.slowStartAt > e.derived.turnMillis {
		worker.slowStartDebt, worker.slowStartAt = e.derived.meanUnits(), e.now
	}
	return worker.slowStartDebt <= 0
}

// warmingRate returns this gateway's budget for a worker that is warming up, units a ms: the work that it
// sees a warm worker do, times the warm fraction. All gateways' parts of the warm load add up to no more
// than a warm worker's capacity, so together they stay under the worker's present capacity whichever
// gateways are alive. The work is divided among those that were warm when it was done: divided among those
// left of a lost region it would come to many times that.
func (e *Engine) warmingRate(since float64) float64 {
	if as := [...]float64{e.now, e.startedAt, e.warmUnitsAt, e.warmUnitsPerWorker}; as != e.cachedWarmRateKey {
		span := math.Max(warmWorkWindowMillis*(1-math.Exp((e.startedAt-e.now)/warmWorkWindowMillis)),
			minWarmWorkSpanMillis)
		e.cachedWarmRateKey, e.cachedWarmRate = as,
			e.warmUnitsPerWorker*math.Exp((e.warmUnitsAt-e.now)/warmWorkWindowMillis)/span
	}
	least := e.derived.warmingCapacityFraction / (warmingBlindIntervalMillis * float64(e.derived.gatewayCount))
	return math.Max(e.derived.warmingLoadFraction*e.warmFraction(since)*e.cachedWarmRate, least)
}
