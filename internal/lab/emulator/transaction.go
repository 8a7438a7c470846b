package emulator

import (
	"willowdeck/internal/forecast"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/invariants"
)

// transaction is a request of a client at one instance.
type transaction struct {
	client         *client
	id             uint64
	deadlineMillis float64
	answered       bool
	inFlight       int
	written        int // attempts that were sent: the checker knows of no others
	attempts       []*attempt
	product        int
	arrivedMillis  float64
}

// receive takes a client's request.
func (g *gatekeeper) receive(c *client, first int, deadlineMillis float64) {
	sim := g.sim
	if !g.up {
		sim.schedule(sim.scenario.Network.ClientMillis, func() { c.receive(unreachable, 0) })
		return
	}
	sim.lastID++
	t := &transaction{client: c, id: sim.lastID, deadlineMillis: deadlineMillis, product: c.arrival.Product,
		arrivedMillis: sim.nowMillis}
	g.meter.RequestReceived(c.arrival.Plan, c.arrival.Product, c.arrival.Units)
	g.transactions[t.id] = t
	incarnation := g.incarnation
	sim.judge.RequestReceived(sim.nowMillis, g.index, t.id, c.arrival.Product, c.arrival.Plan,
		c.arrival.Customer,
		c.arrival.Units, deadlineMillis)
	sim.schedule(deadlineMillis-sim.nowMillis, func() { // the client's time-out
		if !t.answered && g.incarnation == incarnation && g.stalled {
			t.answered = true // it is stalled: the client leaves and is owed no response
			sim.judge.ClientLeft(t.id)
			sim.result.StallTimeouts++
			g.meter.RequestEnded(c.arrival.Plan, c.arrival.Product, forecast.OutcomeOther, 0)
			c.receive(timedOut, 0)
			g.input(func(b decider) { b.ClientGone(t.id) })
			g.forget(t)
		}
	})
	g.input(func(b decider) {
		if t.answered {
			return
		}
		b.AddRequest(policy.Request{ID: t.id, Customer: uint64(c.arrival.Customer), Product: c.arrival.Product,
			Plan:  c.arrival.Plan,
			Units: c.arrival.Units, SetSize: sim.scenario.setSize(c.arrival.Plan), FirstGateway: first,
			TimeLeftMillis: deadlineMillis - sim.nowMillis})
	})
}

// respond gives a transaction's client its response.
func (g *gatekeeper) respond(t *transaction, final invariants.Final, kind responseKind,
	backoffMillis float64) {
	g.sim.judge.RequestAnswered(g.sim.nowMillis, t.id, final)
	if t.answered {
		return
	}
	if t.answered = true; len(t.attempts) == 0 {
		g.recordRejection()
	}
	g.meter.RequestEnded(t.client.arrival.Plan, t.product, forecastOutcomes[kind],
		g.sim.nowMillis-t.arrivedMillis)
	g.sim.schedule(g.sim.drawDelay(g.sim.scenario.Network.ClientMillis), func() {
		t.client.receive(kind,
			backoffMillis)
	})
	g.forget(t)
}

// forecastOutcomes maps responses to what the forecast's meter counts; others are of no concern to it.
var forecastOutcomes = map[responseKind]forecast.Outcome{completed: forecast.OutcomeSucceeded,
	rejected:  forecast.OutcomeRejected,
	uncertain: forecast.OutcomeFailed}

// forget drops a transaction of which nothing more can come.
func (g *gatekeeper) forget(t *transaction) {
	if t.answered && t.inFlight == 0 {
		delete(g.transactions, t.id)
	}
}

// rejectionStreak is what an instance has rejected since its last attempt.
type rejectionStreak struct {
	sinceMillis float64
	count       int
	counted     bool // it was counted in the result
}

// recordRejection records a request that ends without an attempt. An instance that rejected all of at least
// minCount requests for durationMillis counts once per streak.
func (g *gatekeeper) recordRejection() {
	const durationMillis, minCount = 4000, 15
	streak := &g.rejections
	if streak.count++; streak.count == 1 {
		streak.sinceMillis = g.sim.nowMillis
	}
	if streak.count >= minCount && g.sim.nowMillis-streak.sinceMillis >= durationMillis && !streak.counted {
		streak.counted = true
		g.sim.result.RejectingInstances++
	}
}
