package invariants

import (
	"fmt"
	"math"
)

// attempt is one delivery of a request to a worker.
type attempt struct {
	worker     int
	sentAt     float64
	inFlight   bool
	mayHaveRun bool // valid once it is no longer in flight
	ran        bool // a worker has reported its run
}

// request is a request from its arrival until nothing more can be observed of it.
type request struct {
	gateway, product, plan, customer int
	units, expiry                    float64
	attempts                         []attempt
	answered                         bool
	excused                          bool // no answer is owed any more
	runs                             int
}

// Checker checks one run. It is not safe for concurrent use.
type Checker struct {
	rules       Rules
	requests    map[uint64]*request
	unavailable map[gatewayWorker]float64 // since when the gateway is notified not to send there
	coldWorkers map[int]*warmingWorker
	buckets     map[int]*bucket // by customer
	violations  []Violation     // the first maxViolations
	counts      [6]int          // of all violations, by rule
	overloads   int
	maxLoad     float64  // largest load of a cold worker, as a fraction of what overloads it
	pending     []uint64 // requests in the order of their arrival, until they are dropped
}

// gatewayWorker is a gateway's view of a worker.
type gatewayWorker struct{ gateway, worker int }

// maxViolations bounds the violations that are kept; all are counted.
const maxViolations = 100

// New returns a checker with the rules' parameters.
func New(r Rules) *Checker {
	return &Checker{rules: r, requests: map[uint64]*request{}, unavailable: map[gatewayWorker]float64{},
		coldWorkers: map[int]*warmingWorker{}, buckets: map[int]*bucket{}}
}

// Violations returns the first violations, and the number of all by rule.
func (c *Checker) Violations() (first []Violation, counts [6]int) { return c.violations, c.counts }

// violate records a violation.
func (c *Checker) violate(rule int, at float64, gateway int, id uint64, format string, args ...any) {
	if c.counts[rule]++; len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{rule, at, gateway, id, fmt.Sprintf(format, args...)})
	}
}

// RequestReceived records that a gateway received a request completely; its client waits until expiry.
func (c *Checker) RequestReceived(at float64, gateway int, id uint64, product, plan, customer int, units,
	expiry float64) {
	c.requests[id] = &request{gateway: gateway, product: product, plan: plan, customer: customer,
		units: units, expiry: expiry}
	c.pending = append(c.pending, id)
	for len(c.pending) > 0 && c.expire(at, c.pending[0]) {
		c.pending = c.pending[1:]
	}
}

// expire drops a request of which nothing more can be observed, and finds one that was never answered. It
// reports whether the request was dropped.
func (c *Checker) expire(at float64, id uint64) bool {
	t := c.requests[id]
	if at <= t.expiry+c.rules.Slack {
		return false
	}
	if !t.answered && !t.excused {
		c.violate(1, at, t.gateway, id, "no final answer by its expiry at %.1f", t.expiry)
		t.excused = true
	}
	if at < t.expiry+c.maxRunDelay() {
		return false
	}
	delete(c.requests, id)
	return true
}

// minRunDelayMillis is how long after its expiry a request is kept at least.
const minRunDelayMillis = 10000.0

// maxRunDelay returns how many milliseconds after its expiry a request's attempts may still run.
func (c *Checker) maxRunDelay() float64 {
	longest := minRunDelayMillis
	for _, p := range c.rules.Products {
		longest = math.Max(longest, p.Window)
	}
	return longest
}

// AttemptSent records that an attempt was sent completely to a worker, and checks rules 1 to 5 for it.
func (c *Checker) AttemptSent(at float64, gateway int, id uint64, worker int) {
	t := c.requests[id]
	if t == nil {
		c.violate(1, at, gateway, id, "sent to worker %d, and never taken", worker)
		return
	}
	if t.answered {
		c.violate(1, at, gateway, id, "sent to worker %d after its final answer", worker)
	}
	c.checkRepeat(at, gateway, id, t, worker)
	if since, known := c.unavailable[gatewayWorker{gateway, worker}]; known && at > since+c.rules.Grace {
		c.violate(3, at, gateway, id, "sent to worker %d, told to drain or gone at %.1f", worker, since)
	}
	c.checkWarmUp(at, gateway, id, t, worker)
	if len(t.attempts) == 0 {
		c.checkCeiling(at, gateway, id, t)
	}
	t.attempts = append(t.attempts, attempt{worker: worker, sentAt: at, inFlight: true})
}

// checkRepeat checks rule 2 for one more attempt.
func (c *Checker) checkRepeat(at float64, gateway int, id uint64, t *request, worker int) {
	p := &c.rules.Products[t.product]
	for i := range t.attempts {
		s := &t.attempts[i]
		if s.inFlight && !c.rules.Overlap {
			c.violate(2, at, gateway, id, "submission %d is out when %d is sent", i, len(t.attempts))
		}
		if !s.inFlight && !s.mayHaveRun {
			continue
		}
		switch {
		case p.Repeat == Once:
			c.violate(2, at, gateway, id, "once-only: %d may have run when %d is sent", i, len(t.attempts))
		case p.Repeat == Referenced && at > s.sentAt+p.Window+c.rules.Slack:
			c.violate(2, at, gateway, id, "referenced: %d may have run %.1f ms before, past the window", i,
				at-s.sentAt)
		case p.Repeat == Referenced && p.SharesReferences != nil && !p.SharesReferences(s.worker, worker):
			c.violate(2, at, gateway, id, "referenced: %d may have run outside the group of worker %d", i, worker)
		}
	}
}

// AttemptEnded records that attempt n of a request is no longer in flight, and what its end proves.
func (c *Checker) AttemptEnded(_ float64, id uint64, n int, e End) {
	if t := c.requests[id]; t != nil && n < len(t.attempts) {
		s := &t.attempts[n]
		s.inFlight = false
		s.mayHaveRun = s.ran || e != NeverRan
	}
}

// AttemptRan records that a worker has run attempt n of a request, and checks rule 2 for it.
func (c *Checker) AttemptRan(at float64, id uint64, n int) {
	t := c.requests[id]
	if t == nil || n >= len(t.attempts) {
		return
	}
	t.attempts[n].ran = true
	if t.runs++; t.runs > 1 && c.rules.Products[t.product].Repeat == Once {
		c.violate(2, at, t.gateway, id, "once-only, and run %d times", t.runs)
	}
}

// RequestAnswered records a request's final answer, and checks rules 1 and 2 for it.
func (c *Checker) RequestAnswered(at float64, id uint64, f Final) {
	t := c.requests[id]
	if t == nil {
		return
	}
	switch {
	case t.answered:
		c.violate(1, at, t.gateway, id, "a second final answer")
	case at > t.expiry+c.rules.Slack && !t.excused:
		c.violate(1, at, t.gateway, id, "answered %.1f ms after its expiry", at-t.expiry)
	}
	t.answered = true
	if f != Declined || c.rules.Products[t.product].Repeat != Once {
		return
	}
	for i := range t.attempts {
		if s := &t.attempts[i]; s.inFlight || s.mayHaveRun {
			c.violate(2, at, t.gateway, id, "once-only, declined when %d may have run", i)
		}
	}
}

// ClientLeft records that a request's client waits no longer, or has lost its gateway: no answer is owed.
func (c *Checker) ClientLeft(id uint64) {
	if t := c.requests[id]; t != nil {
		t.excused = true
	}
}

// GatewayCrashed records that a gateway has crashed: it owes no answer, and all that it had in flight may
// have run. A new process in its place has been notified of nothing.
func (c *Checker) GatewayCrashed(gateway int) {
	for _, t := range c.requests {
		if t.gateway != gateway {
			continue
		}
		t.excused = true
		for i := range t.attempts {
			if s := &t.attempts[i]; s.inFlight {
				s.inFlight, s.mayHaveRun = false, true
			}
		}
	}
	for view := range c.unavailable {
		if view.gateway == gateway {
			delete(c.unavailable, view)
		}
	}
}

// AvailabilityNotified records that a gateway was notified whether it may send to a worker.
func (c *Checker) AvailabilityNotified(at float64, gateway, worker int, active bool) {
	view := gatewayWorker{gateway, worker}
	if _, known := c.unavailable[view]; active {
		delete(c.unavailable, view)
	} else if !known {
		c.unavailable[view] = at
	}
}

// Close checks the pending requests at the run's end.
func (c *Checker) Close(at float64) {
	for _, id := range c.pending {
		c.expire(at, id)
	}
}
