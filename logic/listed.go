package logic

import (
	"cmp"
	"math"
	"slices"
)

// This file holds the list of workers as decisions use it, and decides nothing. One worker's change costs
// what it changes and a move of the places behind it, not a look at each worker: at 110,000 workers that held
// all txns up for 80 ms. What it gives is to the last bit what a look at all of them in order gives.

// oneByOne is how many changes are put in one after another; more are cheaper in one go over all workers.
const oneByOne = 64

// begins makes room for a list, takes all workers off where it is whole, and tells whether it changes few.
func (g *Gatekeeper) begins(list []Posting, partial bool) (few bool) {
	for i := 0; i < len(g.workers) && !partial; i++ {
		g.workers[i].listed = false
	}
	n := len(g.workers)
	for i := range list {
		n = max(n, list[i].Worker+1)
	}
	if more := n - len(g.workers); more > 0 {
		g.workers = slices.Grow(g.workers, more)[:n]
		g.ranks, g.in = slices.Grow(g.ranks, more)[:n], slices.Grow(g.in, more)[:n]
	}
	return partial && len(list) <= oneByOne
}

// posted gives the worker of an entry of the list, a new one if another had its place. Where one of few
// entries changes its place among the ready ones it is taken off them.
func (g *Gatekeeper) posted(p Posting, few bool) *worker {
	for len(g.kinds) <= p.Kind {
		g.kinds = append(g.kinds, kind{})
	}
	i := p.Worker
	w := &g.workers[i]
	switch {
	case !few || !g.in[i]:
	case p.New || !p.Active || g.ranks[i] == 0:
		g.strike(i)
	case p.Since != w.Since && w.warm:
		w.warm = false
		g.warm--
		g.cold = inserted(g.cold, i)
	}
	if p.New {
		clear(w.turned)
		*w = worker{turned: w.turned, wary: w.wary, refer: w.refer}
		g.ranks[i] = 0
	}
	if g.ranks[i] == 0 {
		g.in[i] = false // where it is ranked anew it has another place by rank
		g.ranks[i] = g.rng.Float64()
	}
	return w
}

// relist puts a worker among the ready ones, as one of few entries that may have changed.
func (g *Gatekeeper) relist(i int, few bool) {
	if w := &g.workers[i]; few && w.listed && !g.in[i] {
		g.in[i], w.warm = true, false
		g.ready, g.cold = inserted(g.ready, i), inserted(g.cold, i)
		at, _ := slices.BinarySearchFunc(g.ranked, i, g.byRank)
		g.ranked = slices.Insert(g.ranked, at, i)
	}
}

// strike takes a worker off the ready ones.
func (g *Gatekeeper) strike(i int) {
	g.in[i] = false
	g.ready = removed(g.ready, i)
	if g.workers[i].warm {
		g.warm--
	} else {
		g.cold = removed(g.cold, i)
	}
	if at, found := slices.BinarySearchFunc(g.ranked, i, g.byRank); found {
		g.ranked = slices.Delete(g.ranked, at, at+1)
	}
}

// byRank orders workers by rank.
func (g *Gatekeeper) byRank(a, b int) int {
	if c := cmp.Compare(g.ranks[a], g.ranks[b]); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

func inserted(all []int, i int) []int {
	at, found := slices.BinarySearch(all, i)
	if found {
		return all
	}
	return slices.Insert(all, at, i)
}

func removed(all []int, i int) []int {
	if at, found := slices.BinarySearch(all, i); found {
		return slices.Delete(all, at, at+1)
	}
	return all
}

// list gathers the workers that may be sent to. Those that were ready keep their order by rank.
func (g *Gatekeeper) list() {
	g.rated = false
	g.ranked = slices.DeleteFunc(g.ranked, func(i int) bool { return !g.in[i] || !g.workers[i].listed })
	stayed := len(g.ranked)
	g.ready, g.cold, g.warm = g.ready[:0], g.cold[:0], 0
	for i := range g.workers {
		w := &g.workers[i]
		if !w.listed {
			g.in[i] = false
			continue
		}
		if !g.in[i] {
			g.in[i] = true
			g.ranked = append(g.ranked, i)
		}
		g.ready = append(g.ready, i)
		if w.warm = g.warmth(w.Since) >= 1; w.warm {
			g.warm++
		} else {
			g.cold = append(g.cold, i)
		}
	}
	g.merge(stayed)
	g.renew()
}

// merge puts those of ranked from a place on in order, and among those before, which are.
func (g *Gatekeeper) merge(from int) {
	slices.SortFunc(g.ranked[from:], g.byRank)
	if from == 0 {
		return
	}
	fresh := slices.Clone(g.ranked[from:])
	for at, i := len(g.ranked)-1, from-1; len(fresh) > 0; at-- {
		if last := fresh[len(fresh)-1]; i < 0 || g.byRank(g.ranked[i], last) < 0 {
			g.ranked[at], fresh = last, fresh[:len(fresh)-1]
		} else {
			g.ranked[at] = g.ranked[i]
			i--
		}
	}
}

// renew reckons with what time has changed of the ready workers: which are warm by now, what all can do, and
// what is open to each sort of txn.
func (g *Gatekeeper) renew() {
	cold, at := g.cold[:0], 0
	g.able = 0
	for _, i := range g.cold {
		w := &g.workers[i]
		part := g.warmth(w.Since)
		if w.warm = part >= 1; w.warm {
			g.warm++
			continue
		}
		place := at + ahead(g.ready[at:], i)
		g.able, at = ones(g.able, place-at)+part, place+1
		cold = append(cold, i)
		g.turn(w)
	}
	g.cold, g.able = cold, ones(g.able, len(g.ready)-at)
	for k := range g.openTo {
		g.openTo[k] = float64(len(g.ready))
	}
	wary := g.wary[:0]
	for _, i := range g.wary {
		w := &g.workers[i]
		w.wary = w.distrust.at(g.now, distrustFade) >= distrusted
		for k := range g.openTo {
			if g.turnsAway(w, k) {
				if w.wary = true; g.in[i] && !w.full {
					g.openTo[k]--
				}
			}
		}
		if w.wary {
			wary = append(wary, i)
		}
	}
	g.wary = wary
	for k := range g.openTo {
		g.openTo[k] /= float64(max(len(g.ready), 1))
	}
	g.near = g.ranked[:g.aperture()]
}

// ahead is the place of i in all, which is in order and has it; what is near the start is found soonest.
func ahead(all []int, i int) int {
	far := 1
	for far < len(all) && all[far] <= i {
		far *= 2
	}
	at, _ := slices.BinarySearch(all[far/2:min(far, len(all))], i)
	return far/2 + at
}

// ones adds one to x so many times, each time rounded as a float64 is. Between two powers of two nothing is
// rounded off, so there one step does for many.
func ones(x float64, times int) float64 {
	for times > 0 {
		_, exp := math.Frexp(x)
		exact := int(math.Ceil(math.Ldexp(1, exp)-x)) - 1 // so often it stays below the next power of two
		if x < 1 || exact < 1 {
			exact = 1
		}
		exact = min(exact, times)
		x, times = x+float64(exact), times-exact
	}
	return x
}

// meanRating is the mean of the ready workers' ratings, gone over in order only where one is asked for after
// the list has changed: until each kind of machine has answered.
func (g *Gatekeeper) meanRating() float64 {
	if !g.rated {
		g.rated, g.rating = true, 0
		for n, i := range g.ready {
			if d := g.workers[i].Rating - g.rating; d != 0 {
				g.rating += d / float64(n+1)
			}
		}
	}
	return g.rating
}

// marks gives what a worker has turned away, by sort of txn, to be changed.
func (g *Gatekeeper) marks(w *worker) []mark {
	if w.turned == nil {
		w.turned = make([]mark, len(g.openTo))
	}
	g.noted(w)
	return w.turned
}

// noted has a worker looked at for what speaks against it.
func (g *Gatekeeper) noted(w *worker) {
	if !w.wary {
		w.wary = true
		g.wary = append(g.wary, w.Worker)
	}
}

// unrefer ends what submissions refer to.
func (g *Gatekeeper) unrefer(subs []submission) {
	for i := range subs {
		g.workers[subs[i].worker].refer--
	}
}

// Vacant tells whether no txn in hand has been sent to a worker: if it is gone its place may be another's.
func (g *Gatekeeper) Vacant(wi int) bool { return wi >= len(g.workers) || g.workers[wi].refer == 0 }
