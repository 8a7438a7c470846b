package policy

import (
	"math"
)

const (
	// warmingOverloadFraction is the part of the overload that a worker withstands (Settings.OverloadFactor)
	// which the turns of all gateways at a warming worker may add up to while the warm workers are at full
	// load.
	warmingOverloadFraction = 0.5
	// warmingMinRateMillis sets the minimum rate at which all gateways together send to a warming worker, even
	// if no warm worker's work has been seen yet: Settings.WarmingCapacityFraction units in this time.
	warmingMinRateMillis = 1000.0
	// warmWorkWindowMillis is the time constant of the averages of the work that warm workers do.
	warmWorkWindowMillis = 5000.0
	// minWarmWorkSpanMillis is the least time that these averages are taken over, which matters just after a
	// start.
	minWarmWorkSpanMillis = 500.0
	// warmUpStretchFactor multiplies the stated warm-up time (Settings.WarmUpMillis): a worker counts as warm
	// only after the product.
	warmUpStretchFactor = 1.1
)

// meanUnits returns the size of a medium request: the mean of 1 and of the largest size, in units.
func (derived *derivedSettings) meanUnits() float64 { return (1 + derived.maxRequestUnits) / 2 }

// warmWorkUnits returns the units done by warm workers, decayed to now.
func (e *Engine) warmWorkUnits() float64 {
	return e.warmUnits * math.Exp((e.warmUnitsAt-e.now)/warmWorkWindowMillis)
}

// recordWarmWork adds the units done by a warm worker to the total, and, divided by the number of warm
// workers, to the total per warm worker. A worker that is no longer listed does not count for the latter,
// as the number of listed workers may just have fallen.
func (e *Engine) recordWarmWork(worker *workerRecord, units float64) {
	if e.warmFraction(worker.StartedAtMillis) < 1 {
		return
	}
	decay := math.Exp((e.warmUnitsAt - e.now) / warmWorkWindowMillis)
	e.warmUnits, e.warmUnitsPerWorker, e.warmUnitsAt = e.warmUnits*decay+units, e.warmUnitsPerWorker*decay, e.now
	if worker.warm && worker.inEndpoints {
		e.warmUnitsPerWorker += units / float64(e.warmCount)
	}
}

// warmFraction returns the estimated fraction of its full capacity that a worker has which started at
// startedAt. It assumes the stated least capacity at the start and the longest stated warm-up.
func (e *Engine) warmFraction(startedAt float64) float64 {
	if startedAt <= 0 || e.derived.warmUpMillis <= 0 || e.now-startedAt >= e.derived.warmUpMillis {
		return 1
	}
	return e.derived.warmingCapacityFraction + (1-e.derived.warmingCapacityFraction)*math.Max(e.now-startedAt,
		0)/e.derived.warmUpMillis
}

// hasTurn reports whether this gateway may now send to a worker that is warming up: whether it has a turn.
// A turn that is not used within turnMillis, the time for which such a worker withstands overload, expires,
// and the gateway waits for the next one. Otherwise all gateways could save their turns and use them at
// once.
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

// warmingRate returns the rate at which this gateway may send to a worker that is warming up, in units per
// ms: the work that it sees one warm worker do, times the warm fraction. All gateways' parts of the load of
// a warm worker add up to at most its capacity. So together they stay below the current capacity of the
// warming worker, whichever gateways are alive. The work is divided by the number of workers that were warm
// when it was done. Divided by the number of workers left after the loss of a region, it would be many
// times too high.
func (e *Engine) warmingRate(workerStartedAt float64) float64 {
	if key := [...]float64{e.now, e.startedAt, e.warmUnitsAt, e.warmUnitsPerWorker}; key != e.cachedWarmRateKey {
		span := math.Max(warmWorkWindowMillis*(1-math.Exp((e.startedAt-e.now)/warmWorkWindowMillis)),
			minWarmWorkSpanMillis)
		e.cachedWarmRateKey, e.cachedWarmRate = key,
			e.warmUnitsPerWorker*math.Exp((e.warmUnitsAt-e.now)/warmWorkWindowMillis)/span
	}
	minRate := e.derived.warmingCapacityFraction / (warmingMinRateMillis * float64(e.derived.gatewayCount))
	return math.Max(e.derived.warmingLoadFraction*e.warmFraction(workerStartedAt)*e.cachedWarmRate, minRate)
}
