package policy

import (
	"math"
	"math/rand"
	"testing"
)

// charterFor is a plain charter: one product, one plan of rate 10 with 2 s of burst.
func charterFor(r Idempotency, change func(*Settings)) Settings {
	c := Settings{GatewayCount: 2, MaxRequestUnits: 1, MaxAttempts: 3, AllowHedging: true, AllowCancel: true,
		AllowRetryAfter: true, MaxRetryAfterMillis: 2000, AllowGossip: true, PeerMessagesPerSecond: 60,
		ReportsPerMessage: 31, ColdCapacityFraction: 0.2,
		WarmUpMillis: 10000, TotalWeight: 1,
		Products: []Product{{LatencyTargetMillis: 1000, Value: 1, Idempotency: r, DedupWindowMillis: 5000}},
		Plans:    []Plan{{QuotaPerSecond: 10, QuotaBurst: 20, ValueFactor: 1, ExcessCostFraction: 1}}}
	if change != nil {
		change(&c)
	}
	return c
}

// host drives one gatekeeper and keeps its rules: it knows each txn's submissions and final answers.
type host struct {
	t    *testing.T
	g    *Engine
	c    Settings
	now  float64
	next uint64
	txns map[uint64]*seen
	told []Decision // Tell, with its reports copied
	sent []Decision // Submit
	gone int        // a worker that drains
}

type seen struct {
	Request
	expiry float64
	subs   []Decision
	out    []bool
	mayRun bool
	first  float64 // when the first submission that may have run was sent
	sentAt []float64
	final  DecisionKind
	wait   float64
}

func newHost(t *testing.T, c Settings, seed int64, workers int) *host {
	h := &host{t: t, g: New(c, seed), c: c, now: 1000, txns: map[uint64]*seen{}, gone: -1}
	h.g.AdvanceTo(h.now)
	var list []Endpoint
	for i := range workers {
		list = append(list, Endpoint{Worker: i, Active: true})
	}
	h.g.UpdateEndpoints(list, false)
	h.pull()
	return h
}

func (h *host) at(now float64) {
	h.now = now
	h.g.AdvanceTo(now)
}

// txn brings a txn of a customer and pulls what is decided on it.
func (h *host) txn(customer uint64, units float64) *seen {
	return h.arrive(Request{Customer: customer, Units: units, SetSize: h.c.GatewayCount, TimeLeftMillis: 3000})
}

func (h *host) arrive(a Request) *seen {
	h.next++
	a.ID = h.next
	s := &seen{Request: a, expiry: h.now + a.TimeLeftMillis}
	h.txns[a.ID] = s
	h.g.AddRequest(a)
	h.pull()
	return s
}

// ask brings txns of customer 7 at a rate a second, each settled at once if let in, and does after each.
func (h *host) ask(perS, ms float64, after func()) {
	for end := h.now + ms; h.now < end; {
		h.at(h.now + 1000/perS)
		if s := h.txn(7, 1); s.final == 0 {
			h.ended(s, 0, Succeeded, 20)
		}
		if after != nil {
			after()
		}
	}
}

func (h *host) ended(s *seen, n int, o Outcome, took float64) {
	s.out[n] = false
	switch o {
	case Failed, TimedOut, ConnectionLost, Cancelled:
		if !s.mayRun || s.sentAt[n] < s.first {
			s.first = s.sentAt[n]
		}
		s.mayRun = true
	case Succeeded:
		if s.final == 0 {
			s.final = Submit
		}
	}
	h.g.AttemptEnded(s.ID, n, o, took, s.final != 0)
	h.pull()
}

// pull takes all decisions, and fails the test on one that breaks a rule.
func (h *host) pull() {
	h.t.Helper()
	for range 10000 {
		d, ok := h.g.NextDecision()
		if !ok {
			return
		}
		switch d.Kind {
		case SendReports:
			d.Reports = append([]Report(nil), d.Reports...)
			h.told = append(h.told, d)
		case Submit, Reject, RejectUncertain:
			h.judge(d)
		}
	}
	h.t.Fatal("decisions without end")
}

func (h *host) judge(d Decision) {
	h.t.Helper()
	s := h.txns[d.RequestID]
	p := h.c.Products[s.Product]
	out := 0
	for _, o := range s.out {
		if o {
			out++
		}
	}
	switch {
	case s.final != 0:
		h.t.Fatalf("txn %d: %+v after its final answer", d.RequestID, d)
	case d.Kind == Submit && h.now >= s.expiry:
		h.t.Fatalf("txn %d: submitted after its expiry", d.RequestID)
	case d.Kind == Submit && out > 0 && !h.c.AllowHedging:
		h.t.Fatalf("txn %d: two submissions at once", d.RequestID)
	case d.Kind == Submit && d.Worker == h.gone:
		h.t.Fatalf("txn %d: submitted to worker %d, which drains", d.RequestID, d.Worker)
	case d.Kind == Submit && len(s.subs) >= max(h.c.MaxAttempts, 1):
		h.t.Fatalf("txn %d: one submission too many", d.RequestID)
	case d.Kind != RejectUncertain && p.Idempotency == NonIdempotent && (s.mayRun || out > 0):
		h.t.Fatalf("txn %d: %+v although it may have run", d.RequestID, d)
	case d.Kind == Submit && p.Idempotency == Deduplicated && s.mayRun && h.now > s.first+p.DedupWindowMillis:
		h.t.Fatalf("txn %d: repeated after its window", d.RequestID)
	case d.Kind == Reject && p.Idempotency == Deduplicated && p.DedupScope != DedupAcrossFleet &&
		(s.mayRun || out > 0):
		h.t.Fatalf("txn %d: declined outside group all", d.RequestID)
	}
	if d.Kind != Submit {
		s.final, s.wait = d.Kind, d.WaitMillis
		if h.now > s.expiry+5 {
			h.t.Fatalf("txn %d: answered %v ms late", d.RequestID, h.now-s.expiry)
		}
		return
	}
	s.subs, s.out, s.sentAt = append(s.subs, d), append(s.out, true), append(s.sentAt, h.now)
	h.sent = append(h.sent, d)
}

// run brings txns at a rate a second; end says how each submission ends and when, NotSent that it never does.
func (h *host) run(until, perS float64, rng *rand.Rand, take func() Request,
	end func(*seen, int) (Outcome, float64)) {
	type event struct {
		at float64
		s  *seen
		n  int
		o  Outcome
	}
	var events []event
	known := map[*seen]int{}
	arrival := h.now
	for h.now < until+5000 {
		h.at(h.now + 4)
		for arrival < h.now && arrival < until {
			arrival += rng.ExpFloat64() * 1000 / perS
			h.arrive(take())
		}
		for id := uint64(1); id <= h.next; id++ {
			s := h.txns[id]
			for ; known[s] < len(s.subs); known[s]++ {
				o, took := end(s, known[s])
				at := h.now + took
				if o == NotSent || at > s.expiry {
					o, at = TimedOut, s.expiry
				}
				events = append(events, event{at, s, known[s], o})
			}
		}
		keep := events[:0]
		for _, e := range events {
			if e.at > h.now {
				keep = append(keep, e)
				continue
			}
			h.ended(e.s, e.n, e.o, h.now-e.s.sentAt[e.n])
		}
		events = keep
		h.pull()
	}
	for id, s := range h.txns {
		if s.final == 0 {
			h.t.Fatalf("txn %d got no final answer", id)
		}
	}
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-6*math.Max(1, math.Abs(b)) }
