package policy

import (
	"math"
	"math/rand"
	"testing"
)

// clear asks for a txn to be cleared for a life, and tells whether it was.
func (h *host) clear(a Request, life float64) (id uint64, granted bool) {
	h.next++
	a.ID, a.ClearanceMillis = h.next, life
	h.txns[a.ID] = &seen{Request: a, expiry: h.now + math.Max(life, a.TimeLeftMillis) + scanIntervalMillis}
	h.g.AddRequest(a)
	for {
		d, ok := h.g.NextDecision()
		switch {
		case !ok:
			return a.ID, granted
		case d.Kind == GrantClearance && d.RequestID == a.ID:
			granted = true
		case d.Kind == Submit || d.Kind == Reject || d.Kind == RejectUncertain:
			h.judge(d)
		}
	}
}

// rest lets time pass.
func (h *host) rest(ms float64) {
	for end := h.now + ms; h.now < end; {
		h.at(math.Min(h.now+20, end))
		h.pull()
	}
}

// A cleared txn takes its units once, whatever comes of it, and none where it never comes.
func TestClearance(t *testing.T) {
	c := charterFor(NonIdempotent, func(c *Settings) {
		c.GatewayCount, c.Plans[0] = 1, Plan{QuotaPerSecond: 1, QuotaBurst: 4, RateLimitPerSecond: 1,
			RateLimitBurst: 4, ValueFactor: 1,
			ExcessCostFraction: 1}
		c.MaxRequestUnits = 4
	})
	a := Request{Customer: 7, Units: 1, SetSize: 1, TimeLeftMillis: 1000}
	begin := func() (*host, *customerAccount) {
		h := newHost(t, c, 1, 3)
		h.at(h.now + 60000) // its ceiling counts as spent at a start
		h.clear(a, 500)
		h.rest(9000)
		h.clear(a, 500) // an idle customer may be dropped
		h.rest(600)
		return h, &h.g.accounts[h.g.accountByCustomer[7]]
	}
	h, acct := begin()
	if acct.reservedUnits != 0 || acct.inFlight != 0 || h.g.stats.FinalByReason[ReasonClearanceExpired] != 2 ||
		len(h.g.byID) != 0 {
		t.Fatalf("one that never came: %v kept, %d out, tally %v", acct.reservedUnits, acct.inFlight,
			h.g.stats.FinalByReason)
	}
	id, ok := h.clear(a, 500)
	level := acct.shareTokens
	if !ok || acct.reservedUnits != 1 || len(h.sent) != 0 {
		t.Fatalf("cleared %v, %v kept, %d submitted", ok, acct.reservedUnits, len(h.sent))
	}
	h.txns[id].expiry = h.now + 1000
	if !h.g.ClaimClearance(id, 1000, false) {
		t.Fatal("its txn is not known")
	}
	h.pull()
	if acct.reservedUnits != 0 || acct.inFlight != 1 || acct.shareTokens != level-1 || len(h.sent) != 1 {
		t.Errorf("come: %v kept, %d out, level %v of %v, %d submitted", acct.reservedUnits, acct.inFlight,
			acct.shareTokens, level,
			len(h.sent))
	}
	if h.g.ClaimClearance(id, 1000, false) {
		t.Error("claimed twice")
	}
	h.ended(h.txns[id], 0, Succeeded, 5)
	granted := 0
	for range 9 {
		if _, ok := h.clear(a, 5000); ok {
			granted++
		}
	}
	if granted != 3 {
		t.Errorf("%d cleared of 3 that are left", granted)
	}

	h, acct = begin()
	id, _ = h.clear(a, 500)
	h.g.ReleaseClearance(id)
	if h.pull(); acct.reservedUnits != 0 || acct.inFlight != 0 || h.g.ClaimClearance(id, 1000, false) {
		t.Errorf("released: %v kept, %d out", acct.reservedUnits, acct.inFlight)
	}
	id, _ = h.clear(a, 500)
	h.at(h.now + 505)
	if h.g.ClaimClearance(id, 1000, false) {
		t.Error("claimed after its time")
	}
	if h.pull(); acct.reservedUnits != 0 {
		t.Errorf("lapsed: %v kept", acct.reservedUnits)
	}
	id, _ = h.clear(a, 500)
	h.g.ClientGone(id)
	if h.pull(); acct.reservedUnits != 0 || acct.inFlight != 0 {
		t.Errorf("its client has left: %v kept, %d out", acct.reservedUnits, acct.inFlight)
	}
	id, _ = h.clear(a, 500)
	h.g.UpdateEndpoints(nil, false)
	level = acct.shareTokens
	h.txns[id].expiry = h.now + 1000
	h.g.ClaimClearance(id, 1000, false)
	if h.pull(); h.txns[id].final != Reject || acct.reservedUnits != 0 || acct.shareTokens != level {
		t.Errorf("no worker: final %v, %v kept, level %v", h.txns[id].final, acct.reservedUnits, acct.shareTokens)
	}
}

// Clearances that come, lapse or are given back at random never bring more to workers than the ceiling's one
// store holds, and at most as many lapse as it costs to wait for them. Guards against units that are given
// back to a store which would have run over meanwhile.
func TestClearedUnderCeiling(t *testing.T) {
	const rate, depth = 8.0, 6.0
	for seed := range int64(20) {
		c := charterFor(NonIdempotent, func(c *Settings) {
			c.GatewayCount = 1
			c.Plans[0] = Plan{QuotaPerSecond: 100, QuotaBurst: 1000, RateLimitPerSecond: rate, RateLimitBurst: depth,
				ValueFactor: 1}
		})
		rng := rand.New(rand.NewSource(seed))
		h := newHost(t, c, seed, 200)
		level, sent, open := depth, 0, map[uint64]bool{}
		for range 8000 {
			h.at(h.now + 5)
			h.pull()
			level = math.Min(level+rate*5/1000, depth)
			if rng.Float64() < 0.03 {
				if id, ok := h.clear(Request{Customer: 7, Units: 1, SetSize: 1, TimeLeftMillis: 1000}, 2000); ok {
					open[id] = true
				}
			}
			if rng.Float64() < 0.01 {
				h.txn(7, 1)
			}
			for id := range open {
				switch x := rng.Float64(); {
				case x < 0.002:
					h.txns[id].expiry = h.now + 1000
					h.g.ClaimClearance(id, 1000, false)
				case x < 0.003:
					h.g.ReleaseClearance(id)
				default:
					continue
				}
				h.pull()
				delete(open, id)
				break
			}
			for ; sent < len(h.sent); sent++ {
				level--
				h.ended(h.txns[h.sent[sent].RequestID], 0, Succeeded, 1)
			}
			if level < -1e-6 {
				t.Fatalf("seed %d: %v units beyond the ceiling", seed, -level)
			}
		}
		if float64(sent) < rate*8/2 {
			t.Errorf("seed %d: only %d sent", seed, sent)
		}
	}
}

// What a body that never comes whole gives back does not bring more than the ceiling's store holds.
func TestBodyGivenUpUnderCeiling(t *testing.T) {
	c := charterFor(Idempotent, func(c *Settings) {
		c.GatewayCount, c.Plans[0] = 1, Plan{QuotaPerSecond: 100, QuotaBurst: 1000, RateLimitPerSecond: 1,
			RateLimitBurst: 2, ValueFactor: 1}
	})
	h := newHost(t, c, 1, 200)
	h.at(h.now + 60000)
	h.ended(h.txn(7, 1), 0, Succeeded, 1)
	h.rest(4000) // its ceiling is full
	s := h.arrive(Request{Customer: 7, Units: 1, SetSize: 1, TimeLeftMillis: 1000, StreamsBody: true})
	h.g.BodyForwarded(s.ID, 0, 0)
	s.expiry = math.Inf(1)
	h.rest(4000) // full again
	before := len(h.sent)
	h.txn(7, 1)
	h.ended(s, 0, NotSent, 1)
	for range 4 {
		h.txn(7, 1)
	}
	if n := len(h.sent) - before; n != 2 {
		t.Errorf("%d submitted of 2 units that there are", n)
	}
}

// What is kept passes to a successor as spent: both may yet send it on.
func TestClearedAtReplacement(t *testing.T) {
	c := charterFor(NonIdempotent, func(c *Settings) { c.GatewayCount = 1 })
	old := newHost(t, c, 1, 3)
	a := Request{Customer: 7, Units: 1, SetSize: 1, TimeLeftMillis: 1000}
	id, _ := old.clear(a, 500)
	level := old.g.accounts[old.g.accountByCustomer[7]].shareTokens
	e := old.g.HandOff()
	next := newHost(t, c, 2, 3)
	next.g.RestoreHandoff(e)
	if got := next.g.accounts[next.g.accountByCustomer[7]].shareTokens; got != level-1 {
		t.Errorf("the successor has %v of %v", got, level)
	}
	old.txns[id].expiry = old.now + 500
	if !old.g.ClaimClearance(id, 500, false) {
		t.Error("it can't go on where it was cleared")
	}
	if old.pull(); len(old.sent) != 1 {
		t.Errorf("%d submitted", len(old.sent))
	}
	a.ID, a.ClearanceMillis, a.TimeLeftMillis = 99, 500, 1
	next.txns[99] = &seen{Request: a, expiry: next.now + 1000}
	next.g.ImportClearance(a)
	if next.pull(); !next.g.ClaimClearance(99, 1000, false) {
		t.Error("a clearance that is passed on is not known")
	}
	if next.pull(); len(next.sent) != 1 {
		t.Errorf("%d submitted of it", len(next.sent))
	}
}

// A gatekeeper that is killed over and over and remembers what it had spent, clearances and coming bodies
// included, keeps within its ceiling, and need not wait as one that knows nothing.
func TestRemembers(t *testing.T) {
	const rate, depth, seconds = 4.0, 12.0, 60.0
	c := charterFor(NonIdempotent, func(c *Settings) {
		c.GatewayCount = 1
		c.Plans[0] = Plan{QuotaPerSecond: 100, QuotaBurst: 1000, RateLimitPerSecond: rate, RateLimitBurst: depth,
			ValueFactor: 1}
	})
	sent := map[bool]int{}
	for _, remembers := range []bool{false, true} {
		rng := rand.New(rand.NewSource(1))
		h := newHost(t, c, 1, 200)
		level, full := depth, map[uint64]float64{}
		left := CrashState{RateLimitBaseMillis: h.now}
		for end := h.now + seconds*1000; h.now < end; {
			h.at(h.now + 10)
			h.pull()
			level = math.Min(level+rate/100, depth)
			if rng.Float64() < 0.02 { // killed, and there again a little later
				next := newHost(t, c, rng.Int63(), 200)
				next.at(h.now + 50)
				next.g.rateLimitBase = next.now
				level = math.Min(level+rate*0.05, depth)
				if h = next; remembers {
					left.RateLimits = left.RateLimits[:0]
					for of, at := range full {
						left.RateLimits = append(left.RateLimits, SpentRateLimit{of, 0, at})
					}
					h.g.RestoreCrashState(left)
				}
			}
			before := len(h.sent)
			if rng.Float64() < 0.1 {
				h.txn(7, 1)
			}
			if rng.Float64() < 0.05 {
				id, ok := h.clear(Request{Customer: 7, Units: 1, SetSize: 1, TimeLeftMillis: 1000}, 500)
				if h.txns[id].expiry = h.now + 1000; ok && rng.Intn(2) == 0 {
					h.g.ClaimClearance(id, 1000, false)
					h.pull()
				}
			}
			for _, d := range h.sent[before:] {
				level--
				sent[remembers]++
				full[7] = d.RateLimitFullAtMillis
				h.ended(h.txns[d.RequestID], 0, Succeeded, 1)
			}
			if level < -1e-6 {
				t.Fatalf("remembers %v: %v units beyond the ceiling", remembers, -level)
			}
		}
	}
	if float64(sent[true]) < 0.9*rate*seconds || float64(sent[false]) > 0.6*rate*seconds {
		t.Errorf("%d sent where it remembers, %d where not", sent[true], sent[false])
	}
	g := newHost(t, c, 1, 1).g
	base := g.rateLimitBase
	g.RestoreCrashState(CrashState{RateLimitBaseMillis: base - 9, RateLimits: []SpentRateLimit{{7, 9, base + 70},
		{8, -1, base + 20}}})
	if g.rateLimitBase != base+70 || len(g.accountByCustomer) != 0 {
		t.Errorf("of plans that there are not: base %v, %d customers", g.rateLimitBase-base,
			len(g.accountByCustomer))
	}
}
