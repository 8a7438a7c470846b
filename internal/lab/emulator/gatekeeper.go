package emulator

import (
	"math/rand"

	"willowdeck/internal/forecast"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/invariants"
)

// gatekeeper is one gateway instance, through its incarnations.
type gatekeeper struct {
	sim                      *simulation
	index                    int
	seeds                    *rand.Rand // source of the seeds of its incarnations
	decider                  decider
	incarnation              int
	up                       bool
	stalled                  bool // inputs are pending until it resumes
	pending                  []func()
	isolated                 bool // from its peers
	transactions             map[uint64]*transaction
	timerAtMillis            float64
	endpoints                []endpointView       // by worker
	lender                   *lender              // nil where no plan has a line of credit
	handoff                  *policy.HandoffState // state of the former incarnation; nil where none is retained
	checkpoint               policy.HandoffState  // the newest checkpoint
	peerIncarnations         []int                // by peer: its incarnation in its last message
	checkpointedIncarnations []int                // peerIncarnations in the newest checkpoint
	meter                    *forecast.Meter
	rejections               rejectionStreak
}

// endpointView is what an instance knows of a worker from the endpoint list.
type endpointView struct {
	active      bool
	incarnation int
}

// start begins an incarnation. It knows the endpoint list as it is now, and what Retained says of the former
// incarnation.
func (g *gatekeeper) start() {
	g.incarnation++
	g.up, g.stalled, g.pending = true, false, nil
	g.transactions, g.timerAtMillis = map[uint64]*transaction{}, 0
	g.decider = g.sim.newDecider(g.index, g.seeds.Int63())
	if engine, ok := g.decider.(*policy.Engine); ok {
		g.startLending(engine)
	}
	g.endpoints = make([]endpointView, len(g.sim.workers))
	var endpoints []policy.Endpoint
	for i, worker := range g.sim.workers {
		g.endpoints[i] = endpointView{worker.active(), worker.incarnation}
		if !worker.active() {
			g.sim.judge.AvailabilityNotified(g.sim.nowMillis, g.index, i, false)
		}
		g.sim.judge.StartNotified(g.index, i, worker.startedMillis)
		endpoints = append(endpoints, worker.endpoint(true))
	}
	g.input(func(b decider) { b.UpdateEndpoints(endpoints, false) })
	if engine, ok := g.decider.(*policy.Engine); ok && g.handoff != nil {
		engine.RestoreHandoff(g.retained(*g.handoff))
		engine.PredecessorEnded()
		for i := range endpoints {
			endpoints[i].Replaced = false // else all that was retained of them would be dropped
		}
		engine.UpdateEndpoints(endpoints, true) // sets the window, where that is not retained
		if retained := g.sim.scenario.Gatekeepers.Retained; retained&RetainCheckpoints != 0 &&
			retained&RetainQuotas == 0 {
			g.sim.result.RestoredCustomers += int64(engine.RestoreCheckpoint(g.checkpoint,
				retained&RetainIncarnations != 0))
		}
	}
	g.handoff = nil
	g.peerIncarnations = make([]int, g.sim.scenario.Gatekeepers.Count)
	copy(g.peerIncarnations, g.checkpointedIncarnations)
}

// kill ends the incarnation at once. Clients of its transactions in flight find it unreachable.
func (g *gatekeeper) kill() {
	if !g.up {
		return
	}
	g.up = false
	if engine, ok := g.decider.(*policy.Engine); ok && g.sim.scenario.Gatekeepers.Retained > 0 {
		engine.AdvanceTo(g.sim.clockMillis())
		e := engine.HandOff()
		g.handoff = &e
	}
	g.sim.judge.GatewayCrashed(g.index)
	for _, t := range orderedByID(g.transactions) {
		if !t.answered {
			t.answered = true
			g.sim.result.DiedInFlight++
			g.sim.schedule(g.sim.scenario.Network.ClientMillis, func() { t.client.receive(unreachable, 0) })
		}
	}
	g.transactions = nil
}

// restart starts an instance that is down.
func (g *gatekeeper) restart() {
	if !g.up {
		g.start()
	}
}

// orderedByID returns transactions by their numbers: the order of a map differs from run to run.
func orderedByID(transactions map[uint64]*transaction) []*transaction {
	ordered := make([]*transaction, 0, len(transactions))
	for _, t := range transactions {
		ordered = append(ordered, t)
	}
	for i := 1; i < len(ordered); i++ {
		for k := i; k > 0 && ordered[k].id < ordered[k-1].id; k-- {
			ordered[k], ordered[k-1] = ordered[k-1], ordered[k]
		}
	}
	return ordered
}

// stall stops the instance until resume.
func (g *gatekeeper) stall() { g.stalled = g.up }

// resume passes on the inputs that arrived during a stall.
func (g *gatekeeper) resume() {
	g.stalled = false
	pending := g.pending
	g.pending = nil
	for _, input := range pending {
		input()
	}
}

// input passes one input to the decider and executes its decisions. A stalled instance does so later.
func (g *gatekeeper) input(input func(decider)) {
	if !g.up {
		return
	}
	if g.stalled {
		g.pending = append(g.pending, func() { g.input(input) })
		return
	}
	g.decider.AdvanceTo(g.sim.clockMillis())
	input(g.decider)
	engine, lends := g.decider.(*policy.Engine)
	lends = lends && g.lender != nil
	for {
		decision, ok := g.decider.NextDecision()
		if lends {
			g.lender.executeDecisions(engine)
		}
		if !ok {
			return
		}
		g.execute(decision)
	}
}

// execute executes one decision.
func (g *gatekeeper) execute(d policy.Decision) {
	sim := g.sim
	switch d.Kind {
	case policy.SetTimer:
		d.AtMillis -= clockOffsetMillis
		if g.timerAtMillis > sim.nowMillis && g.timerAtMillis <= d.AtMillis {
			return
		}
		g.timerAtMillis = d.AtMillis
		incarnation := g.incarnation
		sim.schedule(d.AtMillis-sim.nowMillis, func() {
			if g.incarnation == incarnation {
				if g.timerAtMillis <= sim.nowMillis {
					g.timerAtMillis = 0
				}
				g.input(func(decider) {})
			}
		})
		return
	case policy.SendReports:
		g.sendReports(d)
		return
	}
	t := g.transactions[d.RequestID]
	if t == nil {
		sim.result.StrayDecisions++
		return
	}
	switch d.Kind {
	case policy.Submit:
		g.submit(t, d)
	case policy.Cancel:
		if a := t.attempts[d.Attempt]; !a.ended {
			g.attemptEnded(a, policy.Cancelled, invariants.MayHaveRun)
		}
	case policy.Reject:
		g.respond(t, invariants.Declined, rejected, d.WaitMillis)
	case policy.RejectUncertain:
		g.respond(t, invariants.Voided, uncertain, 0)
	}
}

// receiveEndpointUpdate delivers a worker's state to the instance, after the delay of the endpoint list.
func (g *gatekeeper) receiveEndpointUpdate(worker *worker) {
	sim, incarnation := g.sim, g.incarnation
	sim.schedule(sim.networkRand.Float64()*sim.scenario.Network.EndpointUpdateMillis, func() {
		if !g.up || g.incarnation != incarnation {
			return
		}
		replaced := g.endpoints[worker.index].incarnation != worker.incarnation
		g.endpoints[worker.index] = endpointView{worker.active(), worker.incarnation}
		sim.judge.AvailabilityNotified(sim.nowMillis, g.index, worker.index, worker.active())
		sim.judge.StartNotified(g.index, worker.index, worker.startedMillis)
		endpoint := worker.endpoint(replaced)
		g.input(func(b decider) { b.UpdateEndpoints([]policy.Endpoint{endpoint}, true) })
	})
}
