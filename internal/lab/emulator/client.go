package emulator

import (
	"willowdeck/internal/lab/workload"
)

// client is one transaction as its client sees it, through all its attempts.
type client struct {
	sim             *simulation
	arrival         workload.Arrival
	firstSentMillis float64 // when the first attempt was due
	attempts        int
}

// responseKind is a response as the client sees it.
type responseKind uint8

// The kinds of responses.
const (
	completed responseKind = iota
	rejected
	uncertain   // the transaction may have run
	unreachable // no instance there, or it died
	timedOut    // no response in time
)

// send sends the transaction to the next instance of its customer's set.
func (c *client) send() {
	sim := c.sim
	c.attempts++
	sim.result.Requests++
	count, setSize := len(sim.gatekeepers), sim.scenario.setSize(c.arrival.Plan)
	first := int(uint64(c.arrival.Customer+1) * 0x9E3779B97F4A7C15 >> 33 % uint64(count))
	target := sim.gatekeepers[(first+(c.arrival.SetOffset+c.attempts-1)%setSize)%count]
	deadlineMillis := sim.nowMillis +
		sim.scenario.Products[c.arrival.Product].LatencyTargetMillis*sim.scenario.Clients.TimeoutFactor
	sim.schedule(sim.drawDelay(sim.scenario.Network.ClientMillis), func() {
		target.receive(c, first,
			deadlineMillis)
	})
}

// receive takes a response, or finds out that there is none, and retries after a backoff if it may.
func (c *client) receive(kind responseKind, backoffMillis float64) {
	sim := c.sim
	switch kind {
	case completed:
		sim.result.Completed++
		sim.recordCompleted(c)
		return
	case rejected:
		sim.result.Rejected++
	case uncertain:
		sim.result.Uncertain++
	case unreachable:
		sim.result.Unreachable++
	}
	if c.attempts > sim.scenario.Clients.Retries || kind == uncertain &&
		sim.scenario.Products[c.arrival.Product].Idempotency == "once" {
		sim.result.Abandoned++
		return
	}
	if backoffMillis <= 0 {
		backoffMillis = sim.networkRand.Float64() * sim.scenario.Clients.MaxBackoffMillis
	}
	sim.schedule(backoffMillis, c.send)
}
