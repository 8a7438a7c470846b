package policy

import (
	"math"
	"testing"
)

// What is shown to those who look ahead is what decisions go by: a customer's demand by the use of its rate,
// the set that it comes through, workers by hall and what they can do.
func TestSight(t *testing.T) {
	c := Charter{Gatekeepers: 6, LargestUnits: 1, MaxSubmissions: 2, MayTell: true, PeerInPerS: 100,
		ReportsPerTell: 31, ColdFrom: 0.5, WarmUp: 8000, Whole: 1,
		Products: []Product{{SLA: 500, Value: 1}, {SLA: 500, Value: 2}},
		Plans:    []Plan{{Rate: 100, Burst: 100, Factor: 1}, {Rate: 10, Burst: 10, Factor: 1}}}
	g := New(c, 1)
	now := 1e9
	g.Clock(now)
	g.Roster([]Posting{{Worker: 0, Zone: 0, Active: true}, {Worker: 1, Zone: 1, Active: true},
		{Worker: 2, Zone: 1, Active: true, Since: now}, {Worker: 3, Zone: 1}}, false)
	for range 300 { // 3 s: 20 units a second of one, 10 of another that comes through all
		now += 10
		g.Clock(now)
		g.Take(Arrival{ID: uint64(now), Customer: 5, Units: 0.2, SetSize: 2, First: 3, Left: 400})
		if int(now)%20 == 0 {
			g.Take(Arrival{ID: uint64(now) + 1<<40, Customer: 6, Plan: 1, Units: 0.2, SetSize: 6, First: 2, Left: 400})
		}
		for {
			d, ok := g.Next()
			if !ok {
				break
			}
			if d.Kind == Submit {
				g.Ended(d.Txn, d.N, Settled, 5, false)
			}
		}
	}
	var s Sight
	g.Look(&s, 0)
	if len(s.Halls) != 2 || s.Halls[0].Workers != 1 || s.Halls[1].Workers != 2 ||
		!(s.Halls[1].Able > 1.5) || !(s.Halls[1].Able < 2) {
		t.Errorf("halls %+v", s.Halls)
	}
	if p := s.Plans[0]; math.Abs(p.Customers-0.5) > 1e-9 || math.Abs(p.Demand-19) > 3 ||
		p.Use[1] < 0.9*p.Demand && p.Use[0] < 0.9*p.Demand {
		t.Errorf("plan %+v", p) // demand here of a fifth of the rate, or twice that at two gatekeepers
	}
	if p := s.Plans[1]; math.Abs(p.Customers-1.0/6) > 1e-9 || p.Use[len(UseSteps)]+p.Use[9]+p.Use[10]+p.Use[11]+
		p.Use[12]+p.Use[13] < 0.9*p.Demand {
		t.Errorf("plan %+v", p)
	}
	want := []SetSight{{0, 3, 2, s.Plans[0].Demand}, {1, 0, 6, s.Plans[1].Demand}}
	if len(s.Sets) != 2 || s.Sets[0] != want[0] || s.Sets[1] != want[1] {
		t.Errorf("sets %+v, not %+v", s.Sets, want)
	}
	if n := testing.AllocsPerRun(100, func() { g.Look(&s, 0) }); n != 0 {
		t.Errorf("a second look takes %v allocations", n)
	}
	for k := range 2 * MostSets { // more sets than are told apart: their demand is told all the same
		g.Take(Arrival{ID: uint64(k) + 1<<41, Customer: uint64(100 + k), Units: 1, SetSize: 1 + k%5, First: k % 6,
			Left: 400})
		c := &g.accounts[g.byKey[uint32(100+k)]]
		c.n, c.first = 1+k, 0 // as a larger fleet would have it
	}
	g.Look(&s, 0)
	if len(s.Sets) != MostSets || s.Others <= 0 {
		t.Errorf("%d sets, others %v", len(s.Sets), s.Others)
	}
	m := MannerOf(c)
	if m.Suspicion+m.Hold != suspicion+hold || m.Unheard != toldFor*m.Period ||
		!m.Prompt == (c.Gatekeepers > promptAt) || math.Abs(m.LeastWindow(3)-g.leastWindowOf(3)) > 1e-9 {
		t.Errorf("manner %+v", m)
	}
}

func (g *Gatekeeper) leastWindowOf(able float64) float64 {
	g.able = able
	return g.leastWindow()
}

func BenchmarkLook(b *testing.B) {
	c := Charter{Gatekeepers: 300, LargestUnits: 1, MaxSubmissions: 2, MayTell: true, PeerInPerS: 60,
		ReportsPerTell: 31, Products: []Product{{SLA: 500, Value: 1}},
		Plans: []Plan{{Rate: 100, Burst: 100, Factor: 1}}}
	g := New(c, 1)
	g.Clock(1e9)
	for i := range 10000 {
		g.Take(Arrival{ID: uint64(i) + 1, Customer: uint64(i), Units: 1, SetSize: 8, First: i % 300, Left: 400})
	}
	var s Sight
	b.ReportAllocs()
	for b.Loop() {
		for at := g.Look(&s, 0); at > 0; {
			at = g.Look(&s, at)
		}
	}
}
