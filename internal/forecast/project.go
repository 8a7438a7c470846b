package forecast

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"willowdeck/internal/policy"
)

// stage is a fleet as a loss leaves it.
type stage struct {
	mute    []bool    // by hall: its gatekeepers are lost
	gone    []bool    // its workers are
	slow    []float64 // how many times as long its workers take
	islands [][]int   // halls that reach each other
	let     []float64 // by plan: the part of what is asked that quotas let in

	heirs      [][][]heir // by hall and plan, once they are known
	none, late [][]float64
	parts      [][]share // by plan
}

// outcome is how a stage does; rates a ms.
type outcome struct {
	value, inTime, late, wasted, orphans float64
	declined                             []float64 // by plan
	asked, run, use, pace, room          []float64 // by hall
	short                                []string  // which room is missing
	pressed                              bool
}

// base is the fleet as it is, reckoned in the same way as after a loss: what a loss costs is the difference
// of the two, so that much of what the reckoning gets wrong cancels.
func (f *fleet) base() *outcome { return f.play(f.stage(Loss{})) }

func (f *fleet) stage(l Loss) *stage {
	n := len(f.names)
	s := &stage{mute: make([]bool, n), gone: make([]bool, n), slow: make([]float64, n)}
	var rest []int
	for x, name := range f.names {
		s.slow[x] = 1
		lost := slices.Contains(l.Halls, name)
		switch {
		case lost && l.Kind == Links:
			s.islands = append(s.islands, []int{x})
			continue
		case lost:
			s.mute[x], s.gone[x] = true, l.Kind != Keepers
		case l.Kind == Slowed:
			s.slow[x] = f.rules.Slow
		}
		rest = append(rest, x)
	}
	s.islands = append(s.islands, rest)
	s.let = f.quotas(s, false)
	return s
}

// cost reckons a loss.
func (f *fleet) cost(l Loss, base *outcome) Cost {
	c := Cost{Loss: l}
	s := f.stage(l)
	now := f.now()
	moved := f.moved()
	s.let = f.quotas(s, true)
	first := f.play(s)
	if !first.pressed { // else nothing is lent
		if c.First.Credit = f.borrow(s, moved); c.First.Credit > 0 {
			first = f.play(s)
		}
	}
	c.First.fill(f, s, now, base, first)
	short := f.missing(s)
	s.let = f.quotas(s, false)
	after := f.play(s)
	c.After.fill(f, s, now, base, after)
	c.Missing = append(after.short, short...)
	c.Orphans = round4(first.orphans * 1000)
	f.atOnce(&c, s)
	return c
}

// fill puts an outcome as a change of what is measured now.
func (p *Phase) fill(f *fleet, s *stage, now State, base, o *outcome) {
	less := func(v, by float64) float64 { return math.Max(v-1000*by, 0) }
	p.Lost = math.Min(1000*(base.value-o.value), now.Value)
	p.Value, p.InTime = less(now.Value, base.value-o.value), less(now.InTime, base.inTime-o.inTime)
	p.Late, p.Wasted = less(now.Late, base.late-o.late), 1000*o.wasted
	p.Declined = nil
	for q, d := range now.Declined {
		p.Declined = append(p.Declined, Named{d.Name, less(d.Rate, base.declined[q]-o.declined[q])})
	}
	for x := range f.names {
		h := f.stateOf(x)
		h.Asked, h.Use, h.Pace, h.Room = 1000*o.asked[x], o.use[x], o.pace[x], o.room[x]
		if base.run[x] > 0 {
			h.Run = now.Halls[x].Run * o.run[x] / base.run[x]
		}
		if s.mute[x] {
			h.Gatekeepers = 0
		}
		if s.gone[x] {
			h.Workers, h.Able = 0, 0
		}
		p.Halls = append(p.Halls, h)
	}
	p.Lost, p.Wasted, p.Credit = round4(p.Lost), round4(p.Wasted), round4(p.Credit)
	p.round()
}

// tries gives how often txns come, for each that its client means to send, where each try fails by chance.
func tries(fails float64, most int) float64 {
	if fails >= 1-1e-9 {
		return float64(most)
	}
	return (1 - math.Pow(fails, float64(most))) / (1 - fails)
}

// heir is where a part of what comes first through a hall's gatekeepers goes: a hall, how many of its tries
// find a gatekeeper, and how many find none before the first that does.
type heir struct {
	hall, lives, before int
	part                float64
}

// heirs gives, by plan, what becomes of what comes first through a hall's gatekeepers, in a fixed order, the
// part whose gatekeepers are all lost, and the part that has no try left when it would find one. Clients go
// round their sets.
func (f *fleet) heirs(from int, s *stage) (all [][]heir, none, late []float64) {
	if s.heirs == nil {
		n := len(f.names)
		s.heirs, s.none, s.late = make([][][]heir, n), make([][]float64, n), make([][]float64, n)
		for x := range f.names {
			s.heirs[x], s.none[x], s.late[x] = f.follow(x, s)
		}
	}
	return s.heirs[from], s.none[from], s.late[from]
}

func (f *fleet) follow(from int, s *stage) (all [][]heir, none, late []float64) {
	most := f.rules.Tries
	none, late = make([]float64, len(f.plans)), make([]float64, len(f.plans))
	for q := range f.plans {
		parts, sum := map[heir]float64{}, 0.0
		for _, e := range f.rings[q] {
			if e.from != from {
				continue
			}
			sum += e.demand
			h := heir{hall: -1}
			for k := 0; k < max(most, len(e.halls)) && (k < most || h.hall < 0); k++ {
				at := e.halls[(e.place+k)%len(e.halls)]
				dead := at >= 0 && s.mute[at]
				if dead && h.hall < 0 {
					h.before++
				}
				if !dead && h.hall < 0 {
					if h.hall = at; at < 0 {
						h.hall = from
					}
				}
				if !dead && k < most {
					h.lives++
				}
			}
			if f.rules.Takeover > 0 || most == 1 { // clients know by then where to go
				h.lives, h.before = most, 0
			}
			switch {
			case h.hall < 0 || s.mute[h.hall]:
				none[q] += e.demand
			case h.lives == 0:
				late[q] += e.demand
			default:
				parts[h] += e.demand
			}
		}
		var list []heir
		for h, d := range parts {
			h.part = d / sum
			list = append(list, h)
		}
		if sum > 0 {
			none[q], late[q] = none[q]/sum, late[q]/sum
		} else if s.mute[from] { // nothing was told of sets
			none[q] = 1
		} else {
			list = []heir{{from, most, 0, 1}}
		}
		slices.SortFunc(list, func(a, b heir) int {
			return cmp.Or(a.hall-b.hall, a.lives-b.lives, a.before-b.before)
		})
		all = append(all, list)
	}
	if !f.rules.Elsewhere {
		return all, none, late
	}
	living := 0
	for h := range f.names {
		if !s.mute[h] {
			living += f.keepers[h]
		}
	}
	for q := range f.plans {
		for h := range f.names {
			if none[q] > 0 && !s.mute[h] && f.keepers[h] > 0 {
				all[q] = append(all[q], heir{h, most, 0, none[q] * float64(f.keepers[h]) / float64(living)})
			}
		}
	}
	return all, none, late
}

// coming is what clients mean to send of a sort, txns an ms, by how many of their tries find a gatekeeper,
// with the mean of those that find none before.
type coming struct{ rate, before []float64 }

// demand is what clients mean to send, by hall that it reaches first and by sort, as far as a stage has
// gatekeepers for it; what has none of its own left, by plan; and what is lost with that, by sort.
func (f *fleet) demand(s *stage) (all [][]coming, orphans, lost []float64) {
	n, np, most := len(f.names), len(f.products), f.rules.Tries
	all = grid[coming](n, len(f.flows))
	orphans, lost = make([]float64, len(f.plans)), make([]float64, len(f.flows))
	for h := range all {
		for i := range all[h] {
			all[h][i] = coming{make([]float64, most+1), make([]float64, most+1)}
		}
	}
	for g := range f.names {
		to, none, late := f.heirs(g, s)
		for i := range f.flows {
			fresh, q := f.asked[g][i]*f.first(i), i/np
			for _, h := range to[q] {
				c := &all[h.hall][i]
				c.rate[h.lives] += fresh * h.part
				c.before[h.lives] += fresh * h.part * float64(h.before)
			}
			orphans[q] += fresh * none[q]
			lost[i] += fresh * late[q]
			if !f.rules.Elsewhere || !s.lives(f) {
				lost[i] += fresh * none[q]
			}
		}
	}
	return all, orphans, lost
}

// lives tells whether any gatekeeper is left.
func (s *stage) lives(f *fleet) bool {
	for x := range f.names {
		if !s.mute[x] && f.keepers[x] > 0 {
			return true
		}
	}
	return false
}

// first is the part of a sort's tries that are their clients' first ones.
func (f *fleet) first(i int) float64 {
	if x := &f.flows[i]; x.Asked > 0 {
		return 1 / tries(math.Min((x.Declined+x.Voided)/x.Asked, 1), f.rules.Tries)
	}
	return 1
}

// play reckons a stage.
func (f *fleet) play(s *stage) *outcome {
	n := len(f.names)
	o := &outcome{declined: make([]float64, len(f.plans)), asked: make([]float64, n), run: make([]float64, n),
		use: make([]float64, n), pace: make([]float64, n), room: make([]float64, n)}
	all, orphans, lost := f.demand(s)
	for q := range f.plans {
		o.orphans += orphans[q]
	}
	for i, r := range lost {
		o.declined[i/len(f.products)] += r
	}
	for _, is := range s.islands {
		f.island(s, is, all, o)
	}
	return o
}

// island reckons halls that reach each other: their gatekeepers as one kind, before their workers as one pool
// that is used as it is used now.
func (f *fleet) island(s *stage, halls []int, come [][]coming, o *outcome) {
	np := len(f.products)
	keepers, able := 0.0, 0.0
	parts := make([]float64, len(f.names)) // of the island's txns, by hall of worker
	sum, far, all := 0.0, 0.0, 0.0
	for _, x := range halls {
		if !s.mute[x] {
			keepers += float64(f.keepers[x])
		}
		if s.gone[x] {
			continue
		}
		able += f.able[x]
	}
	fresh := make([]coming, len(f.flows)) // as quotas let it through
	rates := make([]float64, len(f.names))
	for i := range fresh {
		fresh[i] = coming{make([]float64, f.rules.Tries+1), make([]float64, f.rules.Tries+1)}
		for _, g := range halls {
			for k, r := range come[g][i].rate {
				fresh[i].rate[k] += r * s.let[i/np]
				fresh[i].before[k] += come[g][i].before[k] * s.let[i/np]
				rates[g] += r
				o.declined[i/np] += r * (1 - s.let[i/np])
			}
		}
	}
	for _, g := range halls {
		o.asked[g] += rates[g]
	}
	for _, g := range halls { // each hall's gatekeepers go on to favour the workers that they favour now
		mine := 0.0
		for _, x := range halls {
			if !s.gone[x] {
				mine += f.run[g][x]
			}
		}
		for _, x := range halls {
			if !s.gone[x] && mine > 0 {
				parts[x] += rates[g] * f.run[g][x] / mine
			} else if !s.gone[x] && able > 0 {
				parts[x] += rates[g] * f.able[x] / able
			}
		}
	}
	for _, x := range halls {
		sum += parts[x]
	}
	if keepers == 0 || able == 0 || sum == 0 {
		for i := range fresh {
			o.declined[i/np] += fresh[i].sum()
		}
		return
	}
	slow := 0.0
	for _, x := range halls {
		parts[x] /= sum
		slow += parts[x] * s.slow[x]
	}
	for _, g := range halls {
		rate := rates[g]
		for _, x := range halls {
			if f.took[g][x] > 0 && f.took[x][x] > 0 {
				far += rate * parts[x] * math.Max(f.took[g][x]-f.took[x][x], 0)
			}
		}
		all += rate
	}
	way := f.rules.Way
	if all > 0 {
		way += far / all
	}
	pool := &pool{f: f, come: fresh, keepers: keepers, cores: able * f.cores, able: able, way: way, slow: slow}
	for i := range fresh {
		pool.fresh = append(pool.fresh, fresh[i].sum())
	}
	pool.settle()
	for i := range fresh {
		q, p := i/np, i%np
		done, late := pool.done(i)
		o.value += f.worth(q, p) * done * (1 - late*(1-f.charter.Products[p].LateValueFraction))
		o.inTime += done * (1 - late)
		o.late += done * late
		o.declined[q] += pool.fresh[i] - done
		o.wasted += done * late
		for _, x := range halls {
			o.run[x] += parts[x] * done
		}
	}
	o.pressed = o.pressed || pool.pressed
	for _, x := range halls {
		if !s.gone[x] && f.able[x] > 0 {
			work := pool.work() * parts[x] / (f.able[x] * f.cores)
			o.use[x] = math.Min(work, 1)
			o.pace[x] = pool.out
			o.room[x] = pool.window * keepers * parts[x]
		}
	}
	if short := pool.wanted()/f.cores - able; short > 0 {
		var names []string
		for _, x := range halls {
			if !s.gone[x] {
				names = append(names, f.names[x])
			}
		}
		o.short = append(o.short, fmt.Sprintf("workers: %.4g more warm ones in %s", round4(short),
			strings.Join(names, ", ")))
	}
}

// pool is gatekeepers alike before workers alike.
type pool struct {
	f                  *fleet
	come               []coming  // by sort
	fresh              []float64 // their sums
	keepers, able, way float64
	cores, slow        float64
	passes             []float64 // by sort, the part of tries that are let in
	use, out, window   float64   // of the cores; ms of an answer; submissions
	target             float64   // the use at which answers are as slow as the module lets them be
	pressed            bool
	into               []float64
}

func (p *pool) usual(i int) float64 { return p.f.usual[i%len(p.f.products)] * p.slow }

// queue is a worker: gatekeepers see little of what others have in hand there, so each is taken by itself.
func (p *pool) queue() servers { return servers{p.f.cores, p.mean(), p.f.cv2} }

// mean is what a usual txn takes, ms.
func (p *pool) mean() float64 {
	sum, all := 0.0, 0.0
	for i, r := range p.fresh {
		sum, all = sum+r*p.usual(i), all+r
	}
	return sum / math.Max(all, 1e-12)
}

// last gives the part of the txns of a sort that are let in at one of their tries.
func (p *pool) last(i int) float64 {
	if p.fresh[i] <= 0 {
		return 0
	}
	sum := 0.0
	for k, r := range p.come[i].rate {
		sum += r * (1 - math.Pow(1-p.passes[i], float64(k)))
	}
	return sum / p.fresh[i]
}

func (c *coming) sum() (sum float64) {
	for _, r := range c.rate {
		sum += r
	}
	return sum
}

// work is what txns that are let in take of the cores.
func (p *pool) work() (sum float64) {
	for i, r := range p.fresh {
		sum += r * p.last(i) * p.usual(i)
	}
	return sum
}

// wanted is how many cores all txns would take at the use that the module holds.
func (p *pool) wanted() (sum float64) {
	for i, r := range p.fresh {
		sum += r * p.usual(i)
	}
	return sum / math.Max(p.target, 1e-3)
}

// settle finds at which window and use the pool comes to rest.
func (p *pool) settle() {
	q := p.queue()
	sla, all := 0.0, 0.0 // mean of one over it
	for i, r := range p.fresh {
		sla, all = sla+r/p.f.charter.Products[i%len(p.f.products)].LatencyTargetMillis, all+r
	}
	sla /= math.Max(all, 1e-12)
	p.target = bisect(0, mostUse, finely, func(use float64) float64 {
		return (p.way+q.s+q.wq(use))*sla - p.f.manner.LatencyTargetFraction
	})
	p.passes = slices.Repeat([]float64{1}, len(p.fresh))
	tried, turned := 0.0, p.f.reason[policy.ReasonOverload]+p.f.reason[policy.ReasonNoWorker]
	for i := range p.f.flows {
		tried += p.f.flows[i].Asked
	}
	now := math.Min(turned/math.Max(tried, 1e-12), 1)
	for i := range p.passes {
		p.passes[i] = 1 - now
	}
	least := p.f.manner.LeastWindow(p.able)
	p.use = p.work() / p.cores
	p.out, p.window = p.way+q.s+q.wq(p.use), least
	for _, w := range p.f.words {
		p.window = math.Max(p.window, w.Window)
	}
	if p.use <= p.target {
		return
	}
	p.pressed = true
	p.out = p.way + q.s + q.wq(p.target)
	reach := func(w float64) float64 {
		p.pass(w)
		return p.work()/p.cores - p.target
	}
	p.window = least
	if reach(least) < 0 {
		most := math.Min(2*(least+p.out*all/p.keepers), mostOut)
		p.window = bisect(least, most, coarsely, reach)
		p.pass(p.window)
	}
	if p.use = p.work() / p.cores; p.use > mostUse { // even the least windows are too much
		for i := range p.passes {
			p.passes[i] *= mostUse / p.use
		}
		p.use = mostUse
		p.out = p.window * p.keepers / math.Max(p.work()/p.mean(), 1e-12)
	}
}

// pass reckons which part of tries a window lets in, with those that it turns away coming again.
func (p *pool) pass(window float64) {
	var at [shades + 1]int // one more than the place in kinds of the sorts with such a part of the window
	var kinds []flowing
	shade := func(i int) int {
		d := p.f.manner.WindowFraction[i%len(p.f.products)][i/len(p.f.products)]
		return min(max(int(d*shades+0.5), 0), shades)
	}
	for i := range p.passes {
		p.passes[i] = 1
		if s := shade(i); at[s] == 0 && p.fresh[i] > 0 {
			kinds = append(kinds, flowing{depth: float64(s) / shades})
			at[s] = len(kinds)
		}
	}
	for range passes {
		for k := range kinds {
			kinds[k].rate = 0
		}
		for i, r := range p.fresh {
			if r <= 0 {
				continue
			}
			k := &kinds[at[shade(i)]-1]
			for n, r := range p.come[i].rate {
				k.rate += r * tries(1-p.passes[i], n) / p.keepers
			}
		}
		p.into = admits(kinds, window, p.out, p.into)
		for i, r := range p.fresh {
			if r > 0 {
				p.passes[i] += (p.into[at[shade(i)]-1] - p.passes[i]) / 2
			}
		}
	}
}

// passes is how often the tries that come again are reckoned anew; each halves what is left to go.
const passes = 8

// done gives how many txns of a sort are settled, and which part of them late: a client counts from its first
// try, with the pauses before the others, and the wait at a worker has an exponential tail.
func (p *pool) done(i int) (rate, late float64) {
	r := &p.f.rules
	sla := p.f.charter.Products[i%len(p.f.products)].LatencyTargetMillis
	q := p.queue()
	chance, mean := q.wait(p.use)
	rate = p.fresh[i] * p.last(i)
	if rate <= 0 {
		return 0, 0
	}
	pause := r.Back / 2
	if p.f.charter.AllowRetryAfter {
		pause = math.Min(p.f.manner.RetryAfterTargets*sla, p.f.charter.MaxRetryAfterMillis)
	}
	over := func(spent float64) float64 {
		left := sla - spent - p.way - p.usual(i)
		if left <= 0 {
			return 1
		}
		return chance * math.Exp(-left/mean)
	}
	sum, weights := 0.0, 0.0
	for lives, r := range p.come[i].rate {
		first := p.come[i].before[lives] / math.Max(r, 1e-12) * (p.f.rules.Back/2 + p.way)
		for k := range lives {
			w := r * p.passes[i] * math.Pow(1-p.passes[i], float64(k))
			weights += w
			sum += w * over(first+float64(k)*(pause+p.way))
		}
	}
	return rate, sum / math.Max(weights, 1e-12)
}
