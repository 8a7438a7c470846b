package emulator

import (
	"math"
	"math/rand"
)

// Fault is a fault that lasts for a while.
type Fault struct {
	Kind        string  `toml:"kind"` // one of FaultKinds
	FromSeconds float64 `toml:"from_s"`
	ToSeconds   float64 `toml:"to_s"`
	Fraction    float64 `toml:"part"`   // of the workers or instances, rounded up
	Factor      float64 `toml:"factor"` // slow: of the service time; fail, lose: fraction of the transactions
	Regions     []int   `toml:"halls"`  // the lost regions; for other kinds those affected, in place of Fraction
}

// The kinds of faults.
const (
	faultDrain          = "drain"
	faultKill           = "kill"
	faultSlow           = "slow"
	faultFail           = "fail"
	faultSilent         = "silent"
	faultLose           = "lose"
	faultIsolate        = "cut"
	faultStall          = "stall"
	faultRestart        = "restart"
	faultRollingRestart = "roll"
	faultRegion         = "hall"
	faultGatekeepers    = "keepers"
	faultLinks          = "links"
)

// FaultKinds are the values of Fault.Kind, with what each does.
var FaultKinds = map[string]string{
	faultDrain:          "workers drain, go, and come back as new processes, cold, at the end",
	faultKill:           "workers die, and come back cold at the end",
	faultSlow:           "workers take factor times as long",
	faultFail:           "workers answer factor of the transactions with an error",
	faultSilent:         "workers take transactions, run none and answer none",
	faultLose:           "factor of the answers of these workers get lost on their way",
	faultIsolate:        "gatekeepers neither receive from nor reach their peers",
	faultStall:          "gatekeepers stall",
	faultRestart:        "gatekeepers are killed, and start without state at the end",
	faultRollingRestart: "gatekeepers are killed one after another over the span, and each starts again at once",
	faultRegion:         "regions are lost, workers and gatekeepers, and come back as new processes",
	faultGatekeepers:    "the gatekeepers of regions are killed, and start without state at the end",
	faultLinks:          "regions are cut off from each other and all others; clients reach their gatekeepers",
}

// scheduleFaults schedules the faults. Each draws its workers and instances, whether it needs them or not.
func (sim *simulation) scheduleFaults() {
	rng := rand.New(rand.NewSource(sim.seed ^ 0x5DEECE66D))
	for _, fault := range sim.scenario.Faults {
		workers := pickFraction(fault.Fraction, len(sim.workers), rng)
		gatekeepers := pickFraction(fault.Fraction, len(sim.gatekeepers), rng)
		if len(fault.Regions) > 0 {
			workers = sim.scenario.inRegions(fault.Regions, len(sim.workers))
			gatekeepers = sim.scenario.inRegions(fault.Regions, len(sim.gatekeepers))
		}
		sim.scheduleWorkerFault(fault, workers)
		sim.scheduleGatekeeperFault(fault, gatekeepers)
	}
}

// scheduleWorkerFault schedules what a fault does to workers, if anything.
func (sim *simulation) scheduleWorkerFault(fault Fault, workers []int) {
	each := func(begin, end func(*worker)) {
		sim.scheduleSpan(fault, workers, func(i int) { begin(sim.workers[i]) }, func(i int) { end(sim.workers[i]) })
	}
	switch fault.Kind {
	case faultDrain:
		each((*worker).drain, (*worker).start)
	case faultKill, faultRegion:
		each((*worker).kill, (*worker).start)
	case faultSlow:
		each(func(x *worker) { x.slowFactor *= fault.Factor }, func(x *worker) { x.slowFactor /= fault.Factor })
	case faultFail:
		each(func(x *worker) { x.failureRate = fault.Factor }, func(x *worker) { x.failureRate = 0 })
	case faultLose:
		each(func(x *worker) { x.lossRate = fault.Factor }, func(x *worker) { x.lossRate = 0 })
	case faultSilent:
		each(func(x *worker) { x.unresponsive = true }, func(x *worker) {
			x.unresponsive = false
			x.runNext()
		})
	}
}

// scheduleGatekeeperFault schedules what a fault does to instances and to links between regions, if anything.
func (sim *simulation) scheduleGatekeeperFault(fault Fault, gatekeepers []int) {
	each := func(begin, end func(*gatekeeper)) {
		sim.scheduleSpan(fault, gatekeepers, func(i int) { begin(sim.gatekeepers[i]) },
			func(i int) { end(sim.gatekeepers[i]) })
	}
	restartLater := func(g *gatekeeper) { sim.schedule(sim.scenario.Gatekeepers.StartMillis, g.restart) }
	switch fault.Kind {
	case faultIsolate:
		each(func(g *gatekeeper) { g.isolated = true }, func(g *gatekeeper) { g.isolated = false })
	case faultStall:
		each((*gatekeeper).stall, (*gatekeeper).resume)
	case faultRestart, faultRegion, faultGatekeepers:
		each((*gatekeeper).kill, restartLater)
	case faultLinks:
		sim.scheduleSpan(fault, fault.Regions, func(region int) { sim.isolatedRegions[region] = true },
			func(region int) { delete(sim.isolatedRegions, region) })
	case faultRollingRestart:
		for position, i := range gatekeepers {
			g := sim.gatekeepers[i]
			atSeconds := fault.FromSeconds +
				(fault.ToSeconds-fault.FromSeconds)*float64(position)/float64(max(len(gatekeepers), 1))
			sim.schedule(atSeconds*1000, func() {
				g.kill()
				restartLater(g)
			})
		}
	}
}

// scheduleSpan schedules begin for each member at the start of a fault, and end at its end.
func (sim *simulation) scheduleSpan(fault Fault, members []int, begin, end func(int)) {
	sim.schedule(fault.FromSeconds*1000, func() {
		for _, i := range members {
			begin(i)
		}
	})
	sim.schedule(fault.ToSeconds*1000, func() {
		for _, i := range members {
			end(i)
		}
	})
}

// pickFraction returns a random fraction of the numbers below n, rounded up.
func pickFraction(fraction float64, n int, rng *rand.Rand) []int {
	count := int(math.Ceil(fraction*float64(n) - 1e-9))
	return rng.Perm(n)[:min(max(count, 0), n)]
}
