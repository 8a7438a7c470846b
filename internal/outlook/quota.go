package outlook

import (
	"fmt"
	"math"

	"willowdeck/logic"
)

// step gives the use that stands for a step of a sight's counts.
func step(i int) float64 {
	switch b := logic.UseSteps; {
	case i == 0:
		return b[0] / 2
	case i < len(b):
		return (b[i-1] + b[i]) / 2
	default:
		return b[len(b)-1] * 1.5
	}
}

// using is demand of customers of a use, which is their demand over their rate.
type using struct{ of, demand float64 }

// uses gives a plan's demand by its customers' use. What gatekeepers see of a customer at a moment swings by
// chance about what it asks: that part of the spread is taken out, as far as it would be there if all came by
// chance alone (a Poisson stream, seen through an exponential memory of a second), so that what stores even
// out is not taken for need.
func (f *fleet) uses(plan int) (use [len(logic.UseSteps) + 1]using, all float64) {
	customers, mean, squares := 0.0, 0.0, 0.0
	for _, w := range f.words {
		customers += w.Customers[plan].Customers * f.scaled
		for i, d := range w.Customers[plan].Use {
			use[i].demand += d
			all += d
		}
	}
	if all == 0 || customers == 0 {
		return use, 0
	}
	units, txns := 0.0, 0.0
	for p := range f.products {
		i := plan*len(f.products) + p
		units, txns = units+f.flows[i].Units*f.first(i)*1000, txns+f.flows[i].Asked*f.first(i)*1000
	}
	for i := range use {
		use[i].of = step(i)
		mean, squares = mean+use[i].of*use[i].demand/all, squares+use[i].of*use[i].of*use[i].demand/all
	}
	spread := math.Max(squares-mean*mean, 0)
	chance := mean * mean / (2 * math.Max(txns/customers*memory, 0.1)) * 1.1 // sizes differ a little
	truly := math.Max(spread-chance, 0)
	narrow := 0.0
	if spread > 0 {
		narrow = math.Sqrt(truly / spread)
	}
	usual := units / customers / f.charter.Plans[plan].Rate * (1 + truly/(mean*mean)) // as demand sees it
	for i := range use {
		use[i].of = math.Max(usual+narrow*(use[i].of-mean), usual/20)
	}
	return use, all
}

// memory is the design's smoothing of demand, s.
const memory = 1.0

// quotas gives the part of what customers ask that their quotas and ceilings let in, by plan, while their
// gatekeepers in some halls are silent. early has the mean until their shares have moved: the last demand of
// those lost still counts for so long, so the others' parts of a rate add up to less than it.
func (f *fleet) quotas(mute []bool, early bool) []float64 {
	let := make([]float64, len(f.plans))
	for q := range f.plans {
		if let[q] = 1; f.charter.Plans[q].Rate <= 0 || f.manner.Beyond[q] {
			continue
		}
		use, all := f.uses(q)
		if all == 0 {
			continue
		}
		parts := f.parts(q, mute)
		sum := 0.0
		for i := range use {
			if d := use[i].demand; d > 0 {
				for _, p := range parts {
					sum += d / all * p.weight * f.lets(q, use[i].of, p, early)
				}
			}
		}
		let[q] = sum
	}
	return let
}

// share is the part of a plan's demand whose sets have lost so many of their gatekeepers.
type share struct {
	weight, lost float64 // lost is of the set's gatekeepers
	size         int
}

// parts sums a plan's sets up by size and the part lost.
func (f *fleet) parts(plan int, mute []bool) (all []share) {
	sum := 0.0
	for _, e := range f.rings[plan] {
		lost := 0
		for _, h := range e.halls {
			if h >= 0 && mute[h] {
				lost++
			}
		}
		if lost == len(e.halls) {
			continue // others serve its customers, as far as they do
		}
		p := share{e.demand, float64(lost) / float64(len(e.halls)), len(e.halls)}
		sum += p.weight
		known := false
		for i := range all {
			if all[i].lost == p.lost && all[i].size == p.size {
				all[i].weight, known = all[i].weight+p.weight, true
			}
		}
		if !known {
			all = append(all, p)
		}
	}
	if sum <= 0 {
		return []share{{1, 0, 1}}
	}
	for i := range all {
		all[i].weight /= sum
	}
	return all
}

// lets gives the part of its demand that a customer of some use is let in.
func (f *fleet) lets(plan int, use float64, p share, early bool) float64 {
	c, m := &f.charter.Plans[plan], &f.manner
	if use <= 0 {
		return 1
	}
	most := func(rate, depth, ms float64) float64 { // of the demand, over so long
		stored := 0.0
		if use < rate/c.Rate && ms > 0 {
			stored = depth / c.Rate / (ms / 1000)
		}
		return math.Min((rate/c.Rate+stored)/use, 1)
	}
	base := most(c.Rate, 0, 0)
	if c.CeilingRate > 0 {
		base = math.Min(base, most(c.CeilingRate, 0, 0))
	}
	if p.lost == 0 {
		return base
	}
	span := m.Suspicion + m.Hold - m.Unheard
	// What is let in of the demand where a store fills at a rate and holds depth at the start.
	hold := func(rate, depth float64) float64 {
		if early && use < rate/c.Rate || early && rate < c.Rate && use < 1 {
			rate += depth / (span / 1000)
		}
		return math.Min(rate/c.Rate/use, 1)
	}
	part := m.Floors*(1-p.lost) + 1 - m.Floors
	if early {
		part = m.Floors*(1-p.lost) + (1-m.Floors)/(1+p.lost)
	}
	let := math.Min(base, hold(c.Rate*part, c.Burst*part))
	if early && !m.Blind[plan] && p.size > 1 { // what the silent ones may spend is kept from the one store, too
		n := float64(p.size)
		own := part / (n * (1 - p.lost))
		let = math.Min(let, hold(c.Rate*(1-p.lost*n/(n-1)*(1-own)), c.Burst))
	}
	if c.CeilingRate > 0 {
		let = math.Min(let, hold(c.CeilingRate*(1-p.lost), c.CeilingDepth*(1-p.lost)))
	}
	if early {
		let = (base*m.Unheard + let*span) / (m.Unheard + span)
	}
	return let
}

// borrow has customers borrow what quotas keep from them until shares have moved, where plans lend and
// workers are not pressed. It gives the units.
func (f *fleet) borrow(s *stage, base *outcome, ms float64) (drawn float64) {
	if base.pressed {
		return 0
	}
	whole := f.quotas(make([]bool, len(f.names)), false)
	for q := range f.plans {
		demand := 0.0
		for _, w := range f.words {
			demand += w.Customers[q].Demand * f.scaled
		}
		short := (whole[q] - s.let[q]) * demand * ms / 1000
		if line := f.credit[q].Line - f.credit[q].Open; short > 0 && line > 0 {
			lent := math.Min(short, line)
			drawn += lent
			s.let[q] += lent / (demand * ms / 1000)
		}
	}
	return drawn
}

// missing names what quotas and ceilings keep back, and gatekeepers that nobody stands in for.
func (f *fleet) missing(s *stage) (all []string) {
	whole := f.quotas(make([]bool, len(f.names)), false)
	after := f.quotas(s.mute, false)
	for q, plan := range f.plans {
		demand := 0.0
		for _, w := range f.words {
			demand += w.Customers[q].Demand * f.scaled
		}
		if v := (whole[q] - s.let[q]) * demand; v > 0.005*demand {
			all = append(all, fmt.Sprintf("quota: %.4g units/s of %s until shares have moved, %.4g then", round4(v), plan,
				round4(math.Max((whole[q]-after[q])*demand, 0))))
		}
	}
	_, orphans, _ := f.demand(s)
	for q, plan := range f.plans {
		if orphans[q] > 0 {
			all = append(all, fmt.Sprintf("gatekeepers: none of theirs is left for %.4g txns/s of %s",
				round4(orphans[q]*1000), plan))
		}
	}
	return all
}

// atOnce reckons what a loss costs in its first moment: txns in hand at lost workers that may not be repeated,
// those in hand at lost gatekeepers whose clients do not try again, and what is asked until clients have moved.
func (f *fleet) atOnce(c *Cost, s *stage) {
	np := len(f.products)
	worth, once, all := 0.0, 0.0, 0.0
	for i := range f.flows {
		v, r := f.worth(i/np, i%np), f.flows[i].Settled*f.usual[i%np]
		worth, all = worth+v*r, all+r
		if f.charter.Products[i%np].Repeat == logic.OnceOnly {
			once += v * r
		}
	}
	if all == 0 {
		return
	}
	worth, once = worth/all, once/all
	island := make([]int, len(f.names))
	for i, is := range s.islands {
		for _, x := range is {
			island[x] = i
		}
	}
	for g := range f.names {
		for x, n := range f.inHand[g] {
			cut := s.gone[x] || island[g] != island[x]
			switch in := float64(n) * f.scaled; {
			case s.mute[g]:
				if f.rules.Tries == 1 {
					c.AtOnce += in * worth
				}
				if !cut {
					c.Wasted += in
				}
			case cut:
				c.AtOnce += in * once
				c.Wasted += in
			}
		}
		if s.mute[g] {
			for i, r := range f.asked[g] {
				c.AtOnce += f.worth(i/np, i%np) * r * f.rules.Takeover
			}
		}
	}
	c.AtOnce, c.Wasted = round4(c.AtOnce), round4(c.Wasted)
}
