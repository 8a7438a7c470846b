package policy

import (
	"math"
	"math/rand"
	"testing"
)

// A customer's set grows and shrinks in service, as its requests say, while gateways come, knowing nothing,
// and end: at no moment do all parts together let more through than the rate limit's one store holds. Guards
// against parts of another whole: a share of two is none of three.
func TestChangingSets(t *testing.T) {
	const rate, depth, most = 20.0, 30.0, 6
	for seed := range int64(10) {
		rng := rand.New(rand.NewSource(seed))
		c := settingsFor(Idempotent, func(c *Settings) {
			c.GatewayCount, c.AllowGossip = most, false
			c.Plans[0] = Plan{QuotaPerSecond: 500, QuotaBurst: 1000, RateLimitPerSecond: rate, RateLimitBurst: depth,
				ValueFactor: 1}
		})
		var hosts [most]*host
		now, set, level, in := 1000.0, 2, depth, 0
		begin := func(i int) {
			x := c
			x.GatewayIndex = i
			hosts[i] = newHost(t, x, rng.Int63(), 200)
			hosts[i].advanceTo(now)
			hosts[i].engine.rateLimitBase = now
		}
		for i := range set {
			begin(i)
		}
		for end := now + 60000; now < end; now += 10 {
			level = math.Min(level+rate/100, depth)
			if rng.Intn(200) == 0 { // those beyond the new set have ended before it holds
				was := set
				set = 1 + rng.Intn(most)
				for i := was; i < set; i++ {
					begin(i)
				}
			}
			for i := range set {
				hosts[i].advanceTo(now)
				hosts[i].drainDecisions()
			}
			// Bursts at some, so that others have their parts whole when the set changes.
			at, n := rng.Intn(set), 0
			if rng.Intn(20) == 0 {
				n = rng.Intn(20)
			}
			for range n {
				h := hosts[at]
				s := h.submit(Request{Customer: 7, Units: 1, SetSize: set, TimeLeftMillis: 3000})
				if s.final == 0 {
					level--
					in++
					h.endAttempt(s, 0, Succeeded, 1)
				}
			}
			if level < -1e-6 {
				t.Fatalf("seed %d: %.2f units beyond the rate limit with %d of them", seed, -level, set)
			}
		}
		if in < 100 {
			t.Errorf("seed %d: only %d let in", seed, in)
		}
	}
}

// The number of gateways changes in service: what those that are no more had said counts no more, new
// ones are told, and what was decided on goes on.
func TestSetGatewayCount(t *testing.T) {
	c := settingsFor(Idempotent, func(c *Settings) { c.GatewayCount = 3 })
	h := newHost(t, c, 1, 3)
	s := h.newRequest(7, 1)
	for range 40 {
		h.advanceTo(h.now + 100)
		h.engine.ReceiveReports(2, []Report{{Customer: 7, DemandPerSecond: 40}})
		h.newRequest(7, 1)
	}
	// the third falls silent: its demand is held
	h.advance(3 * h.engine.derived.reportIntervalMillis * silentAfterIntervals)
	a := &h.engine.accounts[h.engine.accountByCustomer[7]]
	if a.silentPeerDemand == 0 || a.setSize != 3 {
		t.Fatalf("held %v, of %d", a.silentPeerDemand, a.setSize)
	}
	h.engine.SetGatewayCount(2)
	if h.drainDecisions(); a.silentPeerDemand != 0 || a.setSize != 2 || len(h.engine.peers) != 2 ||
		h.engine.derived.gatewayCount != 2 {
		t.Errorf("without the third: held %v, of %d", a.silentPeerDemand, a.setSize)
	}
	h.engine.ReceiveReports(2, []Report{{Customer: 7, DemandPerSecond: 40}}) // its last word comes late
	if a.peerDemand > 40.0/1000 {
		t.Errorf("one that is no more is heard: %v", a.peerDemand)
	}
	h.endAttempt(s, 0, Succeeded, 20)
	h.engine.SetGatewayCount(5)
	h.reported = nil
	for range 40 {
		h.advanceTo(h.now + 100)
		h.drainDecisions()
		h.submit(Request{Customer: 7, Units: 1, SetSize: 5, TimeLeftMillis: 3000})
	}
	peers := map[int]bool{}
	for _, d := range h.reported {
		peers[d.Peer] = true
	}
	if a = &h.engine.accounts[h.engine.accountByCustomer[7]]; len(peers) != 4 || a.setSize != 5 {
		t.Errorf("told %v, of %d", peers, a.setSize)
	}
	for i := range uint64(30) { // sets all round the ring, as it shrinks and grows at random
		h.submit(Request{Customer: 100 + i, Units: 1, SetSize: 1 + int(i)%5, FirstGateway: int(i*7) % 5,
			TimeLeftMillis: 3000})
		h.engine.ReceiveReports(1+int(i)%4, []Report{{Customer: 200 + i, DemandPerSecond: 9}})
	}
	for i := range 40 {
		h.engine.SetGatewayCount(1 + i*7%9)
		h.advance(300)
	}
	h.engine.SetGatewayCount(5)
	h.engine.SetGatewayCount(0) // it is one of them itself
	if h.engine.derived.gatewayCount != 5 {
		t.Error("fewer than itself")
	}
}

// What a peer's earlier run told does not count beside what its new one tells. Guards against a demand that
// is counted twice while one restarts, at the cost of all the others.
func TestPeerRestarted(t *testing.T) {
	shares := map[bool]float64{}
	for _, told := range []bool{false, true} {
		h := newHost(t, settingsFor(Idempotent, nil), 1, 3)
		said := 0.0
		for i := range 60 {
			h.advanceTo(h.now + 100)
			if h.newRequest(7, 2); i%4 == 0 {
				h.engine.ReceiveReports(1, []Report{{Customer: 7, DemandPerSecond: 20, PreviousDemandPerSecond: said}})
				said = 20 * math.Exp(-400.0/demandWindowMillis)
			}
		}
		if told {
			h.engine.PeerRestarted(1)
		}
		// it knows nothing of what it had told
		h.engine.ReceiveReports(1, []Report{{Customer: 7, DemandPerSecond: 20}})
		a := &h.engine.accounts[h.engine.accountByCustomer[7]]
		if shares[told] = a.sharePerMilli * 1000; told && math.Abs(a.peerDemand*1000-20) > 5 {
			t.Errorf("the others ask %.1f", a.peerDemand*1000)
		}
		h.engine.PeerRestarted(0)
		h.engine.PeerRestarted(7)
		h.drainDecisions()
	}
	if shares[true] < shares[false]*1.15 {
		t.Errorf("a share of %.2f with its return known, %.2f without", shares[true], shares[false])
	}
}
