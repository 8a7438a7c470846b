package policy

import (
	"math/rand"
	"testing"
)

// Guards against a fleet in which a worker is drawn by nobody or by far too many, a gateway that draws
// from none, and, when six in ten workers are replaced, one that goes to strangers alone.
func TestSubset(t *testing.T) {
	for _, c := range []struct{ gatekeepers, workers, near int }{
		{1, 1, 1}, {1, 60, 60}, {3, 5, 5}, {3, 60, 60}, {80, 1, 1}, {80, 5, 5}, {80, 60, 19}, {80, 200, 63},
		{300, 60, 16}, {300, 200, 17},
	} {
		drawn, stayed, of := make([]int, 2*c.workers), 0, 0
		seeds := rand.New(rand.NewSource(7))
		for me := range c.gatekeepers {
			g := New(manyGatewaySettings(c.gatekeepers, func(c *Settings) { c.GatewayIndex = me }), seeds.Int63())
			g.AdvanceTo(1000)
			var list []Endpoint
			for w := range c.workers {
				list = append(list, Endpoint{Worker: w, Active: true, Replaced: true})
			}
			g.UpdateEndpoints(list, false)
			if len(g.subset) != c.near {
				t.Fatalf("%+v: %d are drawn from", c, len(g.subset))
			}
			before := map[int]bool{}
			for _, w := range g.subset {
				drawn[w]++
				before[w] = true
			}
			for w := range list {
				if list[w].Replaced = false; w < c.workers*6/10 {
					list[w].Worker = c.workers + w
				}
			}
			g.UpdateEndpoints(list, false)
			for _, w := range g.subset {
				if w < c.workers {
					of++
					if before[w] {
						stayed++
					}
				}
			}
		}
		least, most := drawn[0], drawn[0]
		for _, n := range drawn[:c.workers] {
			least, most = min(least, n), max(most, n)
		}
		mean := float64(c.gatekeepers*c.near) / float64(c.workers)
		if float64(least) < mean/3 || float64(most) > 2*mean {
			t.Errorf("%+v: a worker is drawn by %d to %d gateways, %.1f on average", c, least, most, mean)
		}
		if stayed*10 < of*8 {
			t.Errorf("%+v: of %d workers that stayed and are drawn, %d were drawn before", c, of, stayed)
		}
	}
}

// Guards against cold workers whose budget goes unused because they are looked at seldom: thirty-six of sixty
// did a fifth of what they could while the warm ones ran full.
func TestWarmingWorkersAreExamined(t *testing.T) {
	used := 0
	for seed := range int64(20) {
		h := newHost(t, manyGatewaySettings(80, func(c *Settings) {
			c.WarmUpMillis, c.WarmingCapacityFraction = 20000,
				0.2
		}), seed,
			60)
		h.ageStores()
		h.advanceTo(h.now + 1000)
		var list []Endpoint
		for w := range 60 {
			list = append(list, Endpoint{Worker: w, Active: true, StartedAtMillis: float64(w/54) * h.now})
		}
		h.engine.UpdateEndpoints(list, false)
		for w := 54; w < 60; w++ { // as if their budgets had come together
			h.engine.workers[w].slowStartDebt = 0
		}
		rng := rand.New(rand.NewSource(seed))
		for i := range 80 {
			h.advanceTo(h.now + 20)
			s := h.newRequest(uint64(1000+i), 1)
			if n := len(s.attempts); n > 0 && s.attempts[0].Worker >= 54 {
				used++
			}
			h.endAttempt(s, 0, Succeeded, 20+100*rng.ExpFloat64())
		}
	}
	if used < 80 {
		t.Errorf("of 120 budgets of cold workers, %d were used", used)
	}
}
