package policy

import (
	"math"
	"math/rand"
	"testing"
)

// burst brings txns of a customer of one gatekeeper at once, and gives how many were let in.
func (h *host) burst(n int) (in int) {
	for range n {
		if s := h.arrive(Request{Customer: 7, Units: 1, SetSize: 1, TimeLeftMillis: 3000}); s.final == 0 {
			in++
			h.ended(s, 0, Succeeded, 1)
		}
	}
	return in
}

// rechartered is a gatekeeper that is alone, old enough for all its stores to be full.
func rechartered(t *testing.T, p Plan) *host {
	c := charterFor(Idempotent, func(c *Settings) {
		c.GatewayCount, c.AllowGossip, c.Plans = 3, false, []Plan{p}
	})
	h := newHost(t, c, 1, 200)
	h.at(1e6)
	return h
}

// withheld withholds a part of all ceilings; where it is some, quotas are narrow too.
func withheld(c Settings, part float64) Settings {
	c.QuotaWithoutGossip, c.Plans = part > 0, append([]Plan(nil), c.Plans...)
	for i := range c.Plans {
		c.Plans[i].WithheldFraction = part
	}
	return c
}

func ceiling(rate, depth float64) Plan {
	return Plan{QuotaPerSecond: 1e5, QuotaBurst: 1e5, RateLimitPerSecond: rate, RateLimitBurst: depth,
		ValueFactor: 1}
}

// A ceiling that changes in service holds no more by the change, from that moment on, and fills at its new
// pace. Guards against a change that gives what was spent back, or gives a new depth for nothing.
func TestRecharterCeiling(t *testing.T) {
	narrow := func(part float64) func(*Settings) {
		return func(c *Settings) { *c = withheld(*c, 1-part) }
	}
	set := func(p Plan) func(*Settings) { return func(c *Settings) { c.Plans = []Plan{p} } }
	for _, c := range []struct {
		name     string
		from     Plan
		spent    int // before
		change   []func(*Settings)
		at, in1s int // let in at the change, and a second later
	}{
		{"up, full", ceiling(10, 20), 0, []func(*Settings){set(ceiling(30, 50))}, 20, 30},
		{"up, spent", ceiling(10, 20), 20, []func(*Settings){set(ceiling(30, 50))}, 0, 30},
		{"down, full", ceiling(30, 50), 0, []func(*Settings){set(ceiling(10, 20))}, 20, 10},
		{"down, part spent", ceiling(30, 50), 15, []func(*Settings){set(ceiling(10, 20))}, 5, 10},
		{"down, more spent", ceiling(30, 50), 40, []func(*Settings){set(ceiling(10, 20))}, 0, 10},
		{"down and up again", ceiling(30, 50), 15,
			[]func(*Settings){set(ceiling(10, 20)), set(ceiling(30, 50))}, 5, 30},
		{"new", Plan{QuotaPerSecond: 1e5, QuotaBurst: 1e5, ValueFactor: 1}, 9,
			[]func(*Settings){set(ceiling(10, 20))}, 0, 10},
		{"none any more", ceiling(10, 20), 20, []func(*Settings){set(Plan{QuotaPerSecond: 1e5, QuotaBurst: 1e5,
			ValueFactor: 1})},
			100, 100},
		{"half of it", ceiling(10, 20), 0, []func(*Settings){narrow(0.5)}, 10, 5},
		{"half of it, of which some is spent", ceiling(10, 20), 4, []func(*Settings){narrow(0.5)}, 6, 5},
		{"half of it, all spent", ceiling(10, 20), 20, []func(*Settings){narrow(0.5)}, 0, 0},
		{"half of it and back", ceiling(10, 20), 4,
			[]func(*Settings){narrow(0.5), func(c *Settings) { *c = withheld(*c, 0) }}, 16, 10},
		{"shut", ceiling(10, 20), 0, []func(*Settings){narrow(0)}, 0, 0},
		{"shut and back", ceiling(10, 20), 4,
			[]func(*Settings){narrow(0), func(c *Settings) { *c = withheld(*c, 0) }}, 16, 10},
		{"one that never fills", ceiling(10, 20), 0, []func(*Settings){set(ceiling(0, 20))}, 0, 0},
		{"one that never filled", ceiling(0, 20), 0, []func(*Settings){set(ceiling(10, 20))}, 0, 10},
		{"another number", ceiling(10, 20), 4, []func(*Settings){func(c *Settings) { c.GatewayCount = 2 }}, 16, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := rechartered(t, c.from)
			if in := h.burst(c.spent); in != c.spent {
				t.Fatalf("%d of %d let in before", in, c.spent)
			}
			now := h.c
			for _, f := range c.change {
				if f(&now); !h.g.Reconfigure(now) {
					t.Fatal("not taken up")
				}
			}
			if in := h.burst(100); in != c.at {
				t.Errorf("%d let in at the change, not %d", in, c.at)
			}
			h.at(h.now + 1000)
			if in := h.burst(100); in != c.in1s {
				t.Errorf("%d let in a second later, not %d", in, c.in1s)
			}
		})
	}
}

// A process that starts while nothing passes takes what it meets as spent, as after any start.
func TestShutAtTheStart(t *testing.T) {
	c := charterFor(Idempotent, func(c *Settings) { c.GatewayCount, c.Plans = 1, []Plan{ceiling(10, 20)} })
	h := newHost(t, c, 1, 200)
	h.g.Reconfigure(withheld(c, 1))
	h.at(h.now + 100)
	if in := h.burst(5); in != 0 {
		t.Errorf("%d let in while shut", in)
	}
	h.at(h.now + 900)
	h.g.Reconfigure(c)
	if in := h.burst(100); in != 10 {
		t.Errorf("%d let in a second after the start, not 10", in)
	}
}

// What fits no other charter is not taken.
func TestRecharterRefuses(t *testing.T) {
	h := rechartered(t, ceiling(10, 20))
	for i, change := range []func(*Settings){
		func(c *Settings) { c.GatewayIndex = 1 },
		func(c *Settings) { c.GatewayIndex, c.GatewayCount = 2, 2 },
		func(c *Settings) { c.Plans = nil },
		func(c *Settings) { c.Products = nil },
	} {
		c := h.c
		if change(&c); h.g.Reconfigure(c) {
			t.Errorf("change %d is taken up", i)
		}
	}
}

// Whatever changes, a life after this one never finds more in a ceiling than this one has: its record is read
// by the charter of the start. Guards against a record in the pace of other rules.
func TestRecordOverChanges(t *testing.T) {
	for seed := range int64(8) {
		rng := rand.New(rand.NewSource(seed))
		plan := func() Plan { return ceiling(1+50*rng.Float64(), 1+99*rng.Float64()) }
		h := rechartered(t, plan())
		start, now := h.c, h.c
		for range 200 {
			h.at(h.now + 500*rng.Float64())
			switch rng.Intn(4) {
			case 0:
				now.Plans = []Plan{plan()}
				h.g.Reconfigure(now)
			case 1:
				now = withheld(now, float64(rng.Intn(3))/2)
				h.g.Reconfigure(now)
			default:
				h.burst(rng.Intn(20))
			}
			base, all := h.g.CrashState()
			// Both live on, unmoved, and the later one takes the rules up after a while.
			later := rechartered(t, start.Plans[0])
			later.at(h.now)
			later.g.rateLimitBase = later.now // its start
			later.g.RestoreCrashState(CrashState{RateLimitBaseMillis: base, RateLimits: all})
			gap := 300 * rng.Float64()
			whole := withheld(now, 0)
			for _, x := range []*host{h, later} {
				x.at(h.now + gap)
				x.at(math.Max(h.now, later.now))
				x.g.Reconfigure(whole)
			}
			at := func(x *host) float64 { // as its next txn finds it
				h.next++
				x.g.accountFor(Request{ID: h.next, Customer: 7, SetSize: 1})
				return x.g.accounts[x.g.accountByCustomer[7]].rateLimitFullAt
			}
			if a, b := math.Max(at(h), h.now), math.Max(at(later), h.now); b < a-1e-3 {
				t.Fatalf("seed %d: full in %.1f ms, a later life says in %.1f", seed, a-h.now, b-h.now)
			}
			h.g.Reconfigure(now)
		}
	}
}

// A gatekeeper that is cut off lets in no more than its message-free slice of a quota, however hot its
// customers were and whatever was said before: rate / N x alpha, and a slice's store.
func TestNarrowQuota(t *testing.T) {
	for _, c := range []struct {
		name string
		n    int
		plan Plan
	}{
		{"few", 4, Plan{QuotaPerSecond: 100, QuotaBurst: 100, ValueFactor: 1}},
		{"two", 2, Plan{QuotaPerSecond: 50, QuotaBurst: 200, ValueFactor: 1}},
		{"many", 20, Plan{QuotaPerSecond: 100, QuotaBurst: 100, ValueFactor: 1}},
		{"beyond the quota for a fee", 4, Plan{QuotaPerSecond: 100, QuotaBurst: 100, ValueFactor: 1,
			ExcessValueFraction: 1}},
		{"sparse", 40, Plan{QuotaPerSecond: 20, QuotaBurst: 10, ValueFactor: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ch := charterFor(Idempotent, func(x *Settings) { x.GatewayCount, x.Plans = c.n, []Plan{c.plan} })
			h := newHost(t, ch, 1, 200)
			h.ask(400, 3000, nil) // hot
			ch.QuotaWithoutGossip = true
			h.g.Reconfigure(ch)
			slice := coldShareFraction * c.plan.QuotaPerSecond / float64(c.n)
			most := math.Max(coldShareFraction*c.plan.QuotaBurst/float64(c.n), 1)
			for _, customer := range []uint64{7, 8} { // one that is known, and one that comes new
				in, span := 0, 10000.0
				for end := h.now + span; h.now < end; {
					h.at(h.now + 5)
					if s := h.txn(customer, 1); s.final == 0 {
						in++
						h.ended(s, 0, Succeeded, 20)
					}
				}
				if got, may := float64(in), slice*span/1000+most+1; got > may || got < 0.8*slice*span/1000 {
					t.Errorf("customer %d: %v let in in 10 s, of at most %.1f", customer, got, may)
				}
			}
			ch.QuotaWithoutGossip = false
			h.g.Reconfigure(ch)
			h.txn(7, 1)
			a := &h.g.accounts[h.g.accountByCustomer[7]]
			if a.quotaTokens > 0 {
				t.Errorf("%v of what peers may have spent", a.quotaTokens)
			}
			h.ask(400, 3000, nil)
			if math.IsNaN(a.sharePerMilli) || math.IsNaN(a.shareTokens) || math.IsInf(a.decayedDemand, 0) {
				t.Errorf("share %v, level %v, demand %v", a.sharePerMilli, a.shareTokens, a.decayedDemand)
			}
		})
	}
}

// A clearance lapses where nothing passes any more, and a txn whose submission never began is decided on
// anew.
func TestLapseAndRecall(t *testing.T) {
	h := rechartered(t, ceiling(10, 20))
	s := h.arrive(Request{Customer: 7, Units: 1, SetSize: 1, TimeLeftMillis: 3000})
	if s.final != 0 || len(s.subs) != 1 {
		t.Fatalf("final %v, %d submissions", s.final, len(s.subs))
	}
	cleared := h.arrive(Request{Customer: 7, Units: 1, SetSize: 1, ClearanceMillis: 5000})
	h.g.Reconfigure(withheld(h.c, 1))
	if h.pull(); cleared.final != Reject {
		t.Errorf("a clearance ends with %v", cleared.final)
	}
	h.g.RetractAttempt(s.ID, 0)
	s.subs, s.out, s.sentAt = nil, nil, nil
	if h.pull(); s.final != Reject || len(s.subs) != 0 {
		t.Errorf("final %v, %d submissions", s.final, len(s.subs))
	}
	h.g.Reconfigure(h.c)
	s = h.arrive(Request{Customer: 7, Units: 1, SetSize: 1, TimeLeftMillis: 3000})
	h.g.RetractAttempt(s.ID, 0)
	s.subs, s.out, s.sentAt = nil, nil, nil
	if h.pull(); s.final != 0 || len(s.subs) != 1 {
		t.Errorf("final %v, %d submissions", s.final, len(s.subs))
	}
	h.g.RetractAttempt(s.ID, 1)
	h.g.RetractAttempt(99, 0)
	h.ended(s, 0, Succeeded, 1)
}

// A start that waits for its first lease is as any start: nothing is held back for having waited.
func TestFreshStart(t *testing.T) {
	c := charterFor(Idempotent, nil)
	h := newHost(t, c, 1, 200)
	h.g.Reconfigure(withheld(c, 1))
	h.at(h.now + 10)
	h.txn(7, 1)
	h.g.Reconfigure(c)
	h.txn(8, 1)
	for _, customer := range []uint32{7, 8} {
		a := &h.g.accounts[h.g.accountByCustomer[customer]]
		if a.quotaTokens < coldShareFraction*c.Plans[0].QuotaBurst-2 {
			t.Errorf("customer %d: %v in its one store", customer, a.quotaTokens)
		}
	}
	h.g.Reconfigure(withheld(c, 1)) // but not for having been cut off
	h.g.Reconfigure(c)
	h.txn(9, 1)
	for _, customer := range []uint32{7, 8, 9} {
		if a := &h.g.accounts[h.g.accountByCustomer[customer]]; a.quotaTokens > 0 {
			t.Errorf("customer %d: %v in its one store", customer, a.quotaTokens)
		}
	}
}

// Whatever changes, in whatever order, all figures stay numbers and within their bounds.
func TestRecharterAnyhow(t *testing.T) {
	for seed := range int64(5) {
		rng := rand.New(rand.NewSource(seed))
		now := charterFor(Idempotent, func(c *Settings) {
			c.GatewayCount, c.Plans = 6, []Plan{ceiling(20, 20), {QuotaPerSecond: 40, QuotaBurst: 10, ValueFactor: 1},
				{MaxInFlight: 6, ValueFactor: 1}}
		})
		h := newHost(t, now, seed, 50)
		for range 600 {
			h.at(h.now + 150*rng.Float64())
			h.pull()
			switch rng.Intn(6) {
			case 0:
				now = withheld(now, float64(rng.Intn(4))/3)
				now.GatewayCount = 1 + rng.Intn(40)
				if rng.Intn(2) == 0 {
					now.Plans[0].RateLimitPerSecond, now.Plans[0].RateLimitBurst = 100*rng.Float64(), 100*rng.Float64()
					now.Plans[1].QuotaPerSecond = 100 * rng.Float64()
				}
				h.g.Reconfigure(now)
			case 1:
				h.g.ReceiveReports(rng.Intn(6), []Report{{Customer: uint64(rng.Intn(9)), DemandPerSecond: 50 *
					rng.Float64()}})
			case 2:
				h.rest(float64(rng.Intn(3000)))
			default:
				s := h.arrive(Request{Customer: uint64(rng.Intn(9)), Plan: rng.Intn(3), Units: 1,
					SetSize: 1 + rng.Intn(now.GatewayCount), TimeLeftMillis: 3000})
				if s.final == 0 {
					h.ended(s, 0, Succeeded, 20)
				}
			}
			for i := range h.g.accounts {
				a := &h.g.accounts[i]
				for _, v := range []float64{a.shareTokens, a.quotaTokens, a.sharePerMilli, a.rateLimitFullAt,
					a.peerDemand, a.silentPeerDemand, a.decayedDemand} {
					if a.live && (math.IsNaN(v) || math.IsInf(v, 0)) {
						t.Fatalf("seed %d: %+v", seed, *a)
					}
				}
				if a.live && a.silentPeers > now.GatewayCount {
					t.Fatalf("seed %d: %d are held of %d", seed, a.silentPeers, now.GatewayCount)
				}
			}
		}
	}
}
