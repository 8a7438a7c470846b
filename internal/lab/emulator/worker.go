package emulator

import (
	"math"
	"slices"

	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/invariants"
)

// worker is a machine that runs transactions: some cores before one queue. Its process may end and start
// anew.
type worker struct {
	sim           *simulation
	index         int
	incarnation   int
	startedMillis float64 // start of its process; 0 is long ago
	dead          bool
	draining      bool
	unresponsive  bool
	slowFactor    float64
	failureRate   float64
	lossRate      float64
	busyCores     int
	inbound       int // attempts on their way to it
	queue         []*attempt
	running       []*attempt // attempts that its cores run
}

// active reports whether the endpoint list has the worker as active.
func (x *worker) active() bool { return !x.dead && !x.draining }

// endpoint returns the worker's entry in the endpoint list.
func (x *worker) endpoint(replaced bool) policy.Endpoint {
	since := x.startedMillis
	if since > 0 {
		since += clockOffsetMillis
	}
	return policy.Endpoint{Worker: x.index, Zone: x.sim.scenario.region(x.index), Active: x.active(),
		StartedAtMillis: since,
		Replaced:        replaced}
}

// capacityFraction returns the fraction of its capacity that the worker has now.
func (x *worker) capacityFraction() float64 {
	spec := &x.sim.scenario.Workers
	if x.startedMillis <= 0 || x.sim.nowMillis >= x.startedMillis+spec.WarmUpSeconds*1000 {
		return 1
	}
	age, warmUp := x.sim.nowMillis-x.startedMillis, spec.WarmUpSeconds*1000
	return spec.ColdCapacityFraction + (1-spec.ColdCapacityFraction)*age/warmUp
}

// receive takes an attempt.
func (x *worker) receive(a *attempt) {
	x.inbound--
	switch {
	case !x.sim.reachable(a.gatekeeper, x):
	case x.incarnation != a.workerIncarnation || x.dead:
		a.respond(policy.ConnectionLost, invariants.MayHaveRun)
	case x.unresponsive:
	case x.busyCores < x.sim.scenario.Workers.Cores:
		x.run(a)
	case len(x.queue) < x.sim.scenario.Workers.Queue:
		x.queue = append(x.queue, a)
	default:
		x.sim.result.WorkerRejections++
		a.respond(policy.Overloaded, invariants.NeverRan)
	}
}

// run runs an attempt on a free core.
func (x *worker) run(a *attempt) {
	sim, spec := x.sim, &x.sim.scenario.Workers
	x.busyCores++
	incarnation := x.incarnation
	serviceMillis := spec.ServiceMillis * a.work * x.slowFactor / x.capacityFraction()
	if spec.Exponential {
		serviceMillis *= sim.workRand.ExpFloat64()
	} else {
		serviceMillis *= math.Exp(spec.ServiceSigma * sim.workRand.NormFloat64())
	}
	fails, loses := sim.workRand.Float64() < x.failureRate, sim.workRand.Float64() < x.lossRate
	if fails {
		serviceMillis *= sim.workRand.Float64() // half of these have taken effect by then
	}
	half := sim.workRand.Float64() < 0.5
	sim.schedule(serviceMillis, func() {
		if x.incarnation != incarnation || x.dead {
			return // the process has died: kill has responded
		}
		x.busyCores--
		x.running = slices.DeleteFunc(x.running, func(o *attempt) bool { return o == a })
		if !fails || half {
			sim.judge.AttemptRan(sim.nowMillis, a.transaction.id, a.writtenIndex)
			sim.recordRun(x)
		}
		switch {
		case x.unresponsive || loses:
		case fails:
			a.respond(policy.Failed, invariants.MayHaveRun)
		default:
			a.respond(policy.Succeeded, invariants.Answered)
		}
		x.runNext()
	})
	x.running = append(x.running, a)
}

// runNext has free cores run what is queued.
func (x *worker) runNext() {
	for x.busyCores < x.sim.scenario.Workers.Cores && len(x.queue) > 0 && !x.unresponsive {
		a := x.queue[0]
		x.queue = x.queue[1:]
		if a.ended { // cancelled: its connection ended before it began
			continue
		}
		x.run(a)
	}
}

// kill ends the process. Connections of what it ran or queued break.
func (x *worker) kill() {
	if x.dead {
		return
	}
	x.dead = true
	for _, a := range append(x.running, x.queue...) {
		if !a.ended {
			a.respond(policy.ConnectionLost, invariants.MayHaveRun)
		}
	}
	x.running, x.queue, x.busyCores = nil, nil, 0
	x.announce()
}

// drain takes the worker off the endpoint list, and ends its process after the drain time.
func (x *worker) drain() {
	x.draining = true
	x.announce()
	incarnation := x.incarnation
	x.sim.schedule(x.sim.scenario.Workers.DrainSeconds*1000, func() {
		if x.incarnation == incarnation {
			x.kill()
		}
	})
}

// start starts a new process, cold.
func (x *worker) start() {
	x.incarnation++
	x.dead, x.draining, x.unresponsive, x.busyCores, x.startedMillis = false, false, false, 0, x.sim.nowMillis
	x.queue, x.running = nil, nil
	x.sim.judge.WorkerStarted(x.sim.nowMillis, x.index)
	x.announce()
}

// announce sends the worker's state to every instance.
func (x *worker) announce() {
	for _, g := range x.sim.gatekeepers {
		g.receiveEndpointUpdate(x)
	}
}
