package emulator

import (
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/invariants"
)

// attempt is one delivery of a transaction to one worker.
type attempt struct {
	transaction           *transaction
	index                 int
	writtenIndex          int // its number among those that were sent
	gatekeeper            *gatekeeper
	gatekeeperIncarnation int // when it began
	worker                *worker
	workerIncarnation     int
	startedMillis         float64
	written               bool
	ended                 bool // the instance does not wait for it any longer
	work                  float64
}

// connectTimeoutMillis is how long an instance waits for a connection, as the gateway does.
const connectTimeoutMillis = 250

// submit starts an attempt.
func (g *gatekeeper) submit(t *transaction, d policy.Decision) {
	sim := g.sim
	worker := sim.workers[d.Worker]
	a := &attempt{transaction: t, index: len(t.attempts), gatekeeper: g, gatekeeperIncarnation: g.incarnation,
		worker: worker, workerIncarnation: g.endpoints[d.Worker].incarnation,
		startedMillis: sim.nowMillis,
		work:          sim.scenario.Products[t.product].RelativeWork}
	t.attempts = append(t.attempts, a)
	t.inFlight++
	g.rejections.count = 0
	sim.schedule(d.WaitMillis, func() {
		if g.incarnation == a.gatekeeperIncarnation && g.up && !a.ended {
			proof := invariants.MayHaveRun
			if !a.written {
				proof = invariants.NeverRan
			}
			g.attemptEnded(a, policy.TimedOut, proof)
		}
	})
	sim.schedule(sim.workerDelay(g, worker), func() { // the connection is established, or not
		switch {
		case !a.ended && g.incarnation == a.gatekeeperIncarnation && g.up && !sim.reachable(g, worker):
			sim.schedule(connectTimeoutMillis, func() {
				if !a.ended && g.incarnation == a.gatekeeperIncarnation && g.up {
					g.attemptEnded(a, policy.ConnectFailed, invariants.NeverRan)
				}
			})
		case a.ended || g.incarnation != a.gatekeeperIncarnation || !g.up:
		case t.answered || !sim.scenario.skipEndpointCheck && (!g.endpoints[worker.index].active ||
			g.endpoints[worker.index].incarnation != a.workerIncarnation),
			d.SendBeforeMillis > 0 && sim.nowMillis >= d.SendBeforeMillis: // a baseline states none
			g.attemptEnded(a, policy.NotSent, invariants.NeverRan)
		case worker.incarnation != a.workerIncarnation || worker.dead:
			g.attemptEnded(a, policy.ConnectFailed, invariants.NeverRan)
		default:
			a.written, a.writtenIndex = true, t.written
			t.written++
			sim.result.Attempts++
			sim.judge.AttemptSent(sim.nowMillis, g.index, t.id, worker.index)
			worker.inbound++
			sim.schedule(sim.workerDelay(g, worker), func() { worker.receive(a) })
		}
	})
}

// respond carries a worker's response back to the instance.
func (a *attempt) respond(o policy.Outcome, proof invariants.End) {
	sim := a.gatekeeper.sim
	if !sim.reachable(a.gatekeeper, a.worker) {
		return
	}
	sim.schedule(sim.workerDelay(a.gatekeeper, a.worker), func() {
		if a.gatekeeper.incarnation == a.gatekeeperIncarnation && a.gatekeeper.up && !a.ended {
			a.gatekeeper.attemptEnded(a, o, proof)
		}
	})
}

// attemptEnded ends an attempt. A stalled instance learns of it later.
func (g *gatekeeper) attemptEnded(a *attempt, o policy.Outcome, proof invariants.End) {
	if a.ended {
		return
	}
	a.ended = true
	sim, t := g.sim, a.transaction
	t.inFlight--
	if a.written {
		sim.judge.AttemptEnded(sim.nowMillis, t.id, a.writtenIndex, proof)
	}
	if g.stalled { // what stands still learns of it later, and its client too
		g.pending = append(g.pending, func() { g.reportOutcome(a, o) })
		return
	}
	g.reportOutcome(a, o)
}

// reportOutcome tells the decider how an attempt ended. The first successful response of a worker answers the
// transaction.
func (g *gatekeeper) reportOutcome(a *attempt, o policy.Outcome) {
	t := a.transaction
	answeredBefore := t.answered
	if o == policy.Succeeded && !t.answered {
		g.respond(t, invariants.Succeeded, completed, 0)
	}
	latencyMillis, answered := g.sim.nowMillis-a.startedMillis, t.answered
	g.meter.AttemptEnded(g.sim.scenario.region(a.worker.index), t.product, o, latencyMillis, answeredBefore)
	g.input(func(b decider) { b.AttemptEnded(t.id, a.index, o, latencyMillis, answered) })
	g.forget(t)
}
