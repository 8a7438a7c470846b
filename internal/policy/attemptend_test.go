package policy

import (
	"fmt"
	"math"
	"testing"
)

// A window for repeats that is shorter than an attempt, a look or the time of a connection: what may have run
// is not repeated past it, and gets its answer; what never ran is.
func TestShortWindows(t *testing.T) {
	for _, window := range []float64{0, 1, 15, 20, 30, 100, 400} {
		for _, took := range []float64{1, 14, 50, 150, 500} {
			for _, c := range []struct {
				o    Outcome
				repl bool // may always be repeated
			}{{ConnectionLost, false}, {TimedOut, false}, {ConnectFailed, true}, {Overloaded, true}, {NotSent, true}} {
				h := newHost(t, charterFor(Deduplicated, func(c *Settings) { c.Products[0].DedupWindowMillis = window }),
					1, 5)
				s := h.txn(7, 1)
				h.at(h.now + took)
				h.ended(s, 0, c.o, took)
				switch {
				case len(s.subs) > 1 && !c.repl && took >= window:
					t.Errorf("window %v: repeated after %v", window, took)
				case len(s.subs) == 1 && (c.repl || took < window-scanIntervalMillis-50):
					t.Errorf("window %v: not repeated after %v, outcome %d", window, took, c.o)
				case len(s.subs) == 1 && s.final == 0:
					t.Errorf("window %v: neither repeated nor answered after %v", window, took)
				}
			}
		}
	}
}

// Deadlines several times shorter than the looks at waiting txns: each gets its answer in time, by the wakes
// that the module asks for alone. Guards against a look just before an expiry that puts off the next one.
func TestShortDeadlines(t *testing.T) {
	for _, sla := range []float64{5, 20, 60, 100, 200} {
		for _, kind := range []Idempotency{Idempotent, Deduplicated, NonIdempotent} {
			h := newHost(t, charterFor(kind, func(c *Settings) { c.Products[0].LatencyTargetMillis = sla }), 1, 3)
			for i := range 20 {
				h.at(h.now + 333.3)
				h.pull()
				s := h.arrive(Request{Customer: 7, Units: 1, SetSize: 2, TimeLeftMillis: sla})
				if i%3 == 1 && s.final == 0 { // its first submission fails half way
					h.at(h.now + sla/2)
					h.ended(s, 0, ConnectionLost, sla/2)
				}
				for range 100 {
					if s.final != 0 {
						break
					}
					at := h.g.timerAt
					if at <= h.now || at > s.expiry {
						t.Fatalf("SLA %v, %d: at %v it wants to be woken at %v, for an expiry at %v", sla, kind, h.now, at,
							s.expiry)
					}
					h.at(at)
					h.pull()
				}
				if s.final == 0 || h.now > s.expiry {
					t.Fatalf("SLA %v, %d: final %v at %v, expiry %v", sla, kind, s.final, h.now, s.expiry)
				}
				for n, out := range s.out {
					if out {
						h.ended(s, n, Cancelled, sla)
					}
				}
			}
			if len(h.g.byID) != 0 || h.g.inFlight != 0 {
				t.Errorf("SLA %v, %d: %d txns and %d submissions are left", sla, kind, len(h.g.byID), h.g.inFlight)
			}
		}
	}
}

// The end of a submission, the end of its txn's time, the client's leaving and the next txn's coming cross in
// each order: one final answer, no submission after it, and nothing of it falls on the txn that has its slot.
func TestEndsThatCross(t *testing.T) {
	type step func(h *host, s *seen)
	ends := func(o Outcome) step {
		return func(h *host, s *seen) {
			if s.out[0] {
				h.ended(s, 0, o, h.now-s.sentAt[0])
			}
		}
	}
	again := func(h *host, s *seen) { // told twice
		if !s.out[0] {
			h.g.AttemptEnded(s.ID, 0, ConnectionLost, 1, s.final != 0)
			h.pull()
		}
	}
	expire := func(h *host, s *seen) {
		h.at(math.Max(h.now, s.expiry))
		h.pull()
	}
	leave := func(h *host, s *seen) {
		if s.final == 0 { // as the host does: what it has answered has not left
			h.g.ClientGone(s.ID)
			s.final = RejectUncertain
		}
		h.pull()
	}
	begun := func(h *host, s *seen) {
		if s.final == 0 && s.out[0] {
			s.final = Submit
			h.g.ResponseStarted(s.ID, 0)
		}
		h.pull()
	}
	stray := func(h *host, s *seen) {
		h.g.AttemptEnded(s.ID, 7, Succeeded, 1, true)
		h.g.AttemptEnded(s.ID, -1, Succeeded, 1, true)
		h.g.ResponseStarted(s.ID, 7)
		h.g.BodyForwarded(s.ID, 0, 0)
		h.g.RetractAttempt(s.ID, 3)
		h.pull()
	}
	steps := map[string]step{"settled": ends(Succeeded), "cut": ends(ConnectionLost),
		"never sent": ends(NotSent),
		"timed out":  ends(TimedOut), "withdrawn": ends(Cancelled), "again": again, "expiry": expire, "left": leave,
		"begun": begun, "stray": stray}
	for a, first := range steps {
		for b, second := range steps {
			for c, third := range steps {
				for _, kind := range []Idempotency{Idempotent, Deduplicated, NonIdempotent} {
					name := fmt.Sprint(a, ", ", b, ", ", c, " ", kind)
					h := newHost(t, charterFor(kind, func(c *Settings) { c.Plans[0] = Plan{} }), 1, 4)
					s := h.txn(7, 1)
					for _, do := range []step{first, second, third} {
						h.at(h.now + 10)
						do(h, s)
					}
					for n := 0; n < len(s.out); n++ { // all that is still out ends late, behind the answer
						expire(h, s)
						if s.out[n] {
							h.ended(s, n, ConnectionLost, 20)
						}
					}
					expire(h, s)
					if s.final == 0 || len(h.g.byID) > 0 || h.g.inFlight != 0 || h.g.accounts[0].inFlight != 0 {
						t.Fatalf("%s: final %v, %d in hand, %d out of the customer", name, s.final, h.g.inFlight,
							h.g.accounts[0].inFlight)
					}
					next := h.txn(8, 1) // it has the slot now
					h.g.AttemptEnded(s.ID, 0, Succeeded, 1, true)
					h.g.ClientGone(s.ID)
					h.g.ResponseStarted(s.ID, 0)
					h.pull()
					if next.final != 0 || len(next.subs) != 1 || len(h.g.byID) != 1 || h.g.inFlight != 1 {
						t.Fatalf("%s: a late word fell on the next one: %+v", name, next)
					}
				}
			}
		}
	}
}

// A txn whose client has left is never submitted again, wherever it was.
func TestNothingAfterLeft(t *testing.T) {
	for _, o := range []Outcome{Failed, Overloaded, TimedOut, ConnectFailed, ConnectionLost, Cancelled,
		NotSent} {
		for _, streams := range []bool{false, true} {
			h := newHost(t, charterFor(Idempotent, nil), 1, 4)
			s := h.arrive(Request{Customer: 7, Units: 1, SetSize: 2, TimeLeftMillis: 3000, StreamsBody: streams})
			h.g.ClientGone(s.ID)
			h.g.AttemptEnded(s.ID, 0, o, 5, true)
			s.final = RejectUncertain // host.judge fails on any submission from here on
			h.pull()
			h.at(h.now + 4000)
			h.pull()
			if len(h.g.byID) > 0 {
				t.Errorf("outcome %d: still in hand", o)
			}
		}
	}
	h := newHost(t, charterFor(Idempotent, nil), 1, 4)
	h.g.AddRequest(Request{ID: 99, Customer: 7, Units: 1, SetSize: 2, TimeLeftMillis: 3000})
	h.g.ClientGone(99) // in the same turn
	if d, ok := h.g.NextDecision(); ok && d.Kind == Submit {
		t.Errorf("%+v", d)
	}
}

// forget rests until a customer is forgotten, and no longer.
func (h *host) forget(customer uint32) {
	h.t.Helper()
	for range 1000 {
		if _, known := h.g.accountByCustomer[customer]; !known {
			return
		}
		h.rest(400)
	}
	c := h.g.accounts[h.g.accountByCustomer[customer]]
	h.t.Fatalf("never forgotten: %+v", c)
}

// A customer is not forgotten while anything of it is out or kept, nor before its ceiling is whole again.
func TestForgottenCustomers(t *testing.T) {
	ceiled := charterFor(Idempotent, func(c *Settings) {
		c.Plans[0] = Plan{QuotaPerSecond: 100, QuotaBurst: 200, RateLimitPerSecond: 0.5, RateLimitBurst: 20,
			ValueFactor: 1}
	})
	h := newHost(t, ceiled, 1, 3)
	h.at(h.now + 60000)
	s := h.arrive(Request{Customer: 7, Units: 1, SetSize: 2, TimeLeftMillis: 40000})
	up := h.arrive(Request{Customer: 8, Units: 1, SetSize: 2, TimeLeftMillis: 40000, StreamsBody: true})
	h.rest(30000)
	if h.g.accountByCustomer[7] == h.g.accountByCustomer[8] || len(h.g.accountByCustomer) != 2 {
		t.Fatalf("forgotten with a submission out: %v", h.g.accountByCustomer)
	}
	for _, x := range []*seen{s, up} {
		for n := 0; n < len(x.out); n++ {
			if x.out[n] {
				h.ended(x, n, Succeeded, 20)
			}
		}
	}
	level, at := 10.0, h.now // of the slice, as it is
	for range 5 {
		in := 0.0
		for range 30 {
			if x := h.txn(7, 1); x.final == 0 {
				h.ended(x, 0, Succeeded, 1)
				in++
			}
		}
		level, at = math.Min(level+(h.now-at)*0.25/1000, 10)-in, h.now
		if level < -1e-6 || in == 0 {
			t.Fatalf("%v at once, and %v are left of its slice", in, level)
		}
		h.forget(7)
	}
}

// One that knows nothing of a customer, or has forgotten it, takes its part of a set that has just changed as
// spent. Guards against what another had spent of the set as it was.
func TestForgottenBeforeResize(t *testing.T) {
	h := newHost(t, charterFor(Idempotent, func(c *Settings) {
		c.Plans[0] = Plan{QuotaPerSecond: 500, QuotaBurst: 1000, RateLimitPerSecond: 2, RateLimitBurst: 30,
			ValueFactor: 1}
	}), 1, 50)
	h.at(h.now + 60000)
	h.ended(h.txn(7, 1), 0, Succeeded, 1)
	h.forget(7)
	h.g.SetGatewayCount(1) // the other one has just spent its fifteen, and ended
	in := 0
	for i := range 120 {
		for c := range uint64(2) { // 7 was known once, 6 never
			if x := h.arrive(Request{Customer: 7 - c, Units: 1, SetSize: 1, TimeLeftMillis: 1000}); x.final == 0 {
				h.ended(x, 0, Succeeded, 1)
				in++
			}
		}
		h.at(h.now + 10)
		if most := 2 * (1 + 2*float64(i)/100); float64(in) > most {
			t.Fatalf("%d let in after %d ms, of %v that have come in", in, 10*i, most)
		}
	}
	if in == 0 {
		t.Error("nothing comes in at all")
	}
}
