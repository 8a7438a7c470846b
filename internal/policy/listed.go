package policy

import (
	"cmp"
	"math"
	"slices"
)

// This file holds the list of workers as decisions use it, and decides nothing. One worker's change costs
// what it changes and a move of the places behind it, not a look at each worker: at 110,000 workers that held
// all txns up for 80 ms. What it gives is to the last bit what a look at all of them in order gives.

// oneByOne is how many changes are put in one after another; more are cheaper merged into the list.
const oneByOne = 16

// Where a worker stands.
const (
	out    = uint8(iota) // not among the ready ones
	listed               // among them
	fresh                // it is to be, and is not in its places yet
)

// manner is how a list is taken.
type manner uint8

const (
	byOne   manner = iota // entry by entry
	byMerge               // merged
	byAll                 // all workers are gone over
)

// begins makes room for a list, takes all workers off where it is whole, and tells how it is taken.
func (g *Engine) begins(list []Endpoint, partial bool) manner {
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
	switch {
	case !partial:
		return byAll
	case len(list) <= oneByOne:
		return byOne
	}
	g.brought, g.chilled, g.struck = g.brought[:0], g.chilled[:0], false
	return byMerge
}

// posted gives the worker of an entry of the list, a new one if another had its place. Where the entry
// changes its place among the ready ones it is taken off them.
func (g *Engine) posted(p Endpoint, how manner) *worker {
	for len(g.kinds) <= p.MachineKind {
		g.kinds = append(g.kinds, kind{})
	}
	i := p.Worker
	w := &g.workers[i]
	switch {
	case how == byAll || g.in[i] == out:
	case p.Replaced || !p.Active || g.ranks[i] == 0:
		g.strike(i, how)
	case p.StartedAtMillis != w.StartedAtMillis && w.warm:
		w.warm = false
		g.warm--
		if how == byOne {
			g.cold = inserted(g.cold, i)
		} else {
			g.chilled = append(g.chilled, i)
		}
	}
	if p.Replaced {
		clear(w.turned)
		*w = worker{turned: w.turned, wary: w.wary, refer: w.refer}
		g.ranks[i] = 0
	}
	if g.ranks[i] == 0 {
		g.in[i] = out // where it is ranked anew it has another place by rank
		g.ranks[i] = g.rng.Float64()
	}
	return w
}

// relist puts a worker whose entry was taken among the ready ones. Until time is reckoned with it is cold.
func (g *Engine) relist(i int, how manner) {
	w := &g.workers[i]
	if how == byAll || !w.listed || g.in[i] != out {
		return
	}
	w.warm = false
	if how == byMerge {
		g.in[i], g.brought = fresh, append(g.brought, i)
		return
	}
	g.in[i] = listed
	g.ready, g.cold = inserted(g.ready, i), inserted(g.cold, i)
	at, _ := slices.BinarySearchFunc(g.ranked, i, g.byRank)
	g.ranked = slices.Insert(g.ranked, at, i)
}

// strike takes a worker off the ready ones.
func (g *Engine) strike(i int, how manner) {
	g.in[i] = out
	warm := g.workers[i].warm
	if g.workers[i].warm = false; warm {
		g.warm--
	}
	if how == byMerge {
		g.struck = true
		return
	}
	g.ready, g.cold = removed(g.ready, i), removed(g.cold, i)
	if at, found := slices.BinarySearchFunc(g.ranked, i, g.byRank); found {
		g.ranked = slices.Delete(g.ranked, at, at+1)
	}
}

// lists ends a list: it puts what has changed of the ready workers in its places.
func (g *Engine) lists(how manner) {
	switch g.rated = false; how {
	case byAll:
		g.list()
		return
	case byMerge:
		g.merge()
	}
	g.renew()
}

// merge takes those struck off the ready ones, and puts the fresh ones among them.
func (g *Engine) merge() {
	slices.Sort(g.brought) // an entry may have come twice
	g.brought = slices.DeleteFunc(slices.Compact(g.brought), func(i int) bool { return g.in[i] != fresh })
	g.chilled = append(slices.DeleteFunc(g.chilled, func(i int) bool { return g.in[i] == out }), g.brought...)
	slices.Sort(g.chilled)
	g.chilled = slices.Compact(g.chilled)
	if g.struck {
		g.ready, g.cold, g.ranked = g.stayed(g.ready), g.stayed(g.cold), g.stayed(g.ranked)
	}
	g.ready = merged(g.ready, g.brought, cmp.Compare[int])
	g.cold = merged(g.cold, g.chilled, cmp.Compare[int])
	slices.SortFunc(g.brought, g.byRank)
	g.ranked = merged(g.ranked, g.brought, g.byRank)
	for _, i := range g.brought {
		g.in[i] = listed
	}
}

// stayed gives those of all that are in their places still.
func (g *Engine) stayed(all []int) []int {
	n := 0
	for _, i := range all {
		if g.in[i] == listed {
			all[n] = i
			n++
		}
	}
	return all[:n]
}

// merged puts more into all. Both are in order.
func merged(all, more []int, order func(a, b int) int) []int {
	end := len(all) // of those that have not moved
	all = append(all, more...)
	for k := len(more) - 1; k >= 0; k-- {
		at, _ := slices.BinarySearchFunc(all[:end], more[k], order)
		copy(all[at+k+1:], all[at:end])
		all[at+k], end = more[k], at
	}
	return all
}

// byRank orders workers by rank.
func (g *Engine) byRank(a, b int) int {
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
func (g *Engine) list() {
	g.rated = false
	g.ranked = slices.DeleteFunc(g.ranked, func(i int) bool { return g.in[i] == out || !g.workers[i].listed })
	g.ready, g.cold, g.brought, g.warm = g.ready[:0], g.cold[:0], g.brought[:0], 0
	for i := range g.workers {
		w := &g.workers[i]
		if !w.listed {
			g.in[i] = out
			continue
		}
		if g.in[i] == out {
			g.in[i], g.brought = listed, append(g.brought, i)
		}
		g.ready = append(g.ready, i)
		if w.warm = g.warmth(w.StartedAtMillis) >= 1; w.warm {
			g.warm++
		} else {
			g.cold = append(g.cold, i)
		}
	}
	slices.SortFunc(g.brought, g.byRank)
	g.ranked = merged(g.ranked, g.brought, g.byRank)
	g.renew()
}

// renew reckons with what time has changed of the ready workers: which are warm by now, what all can do, and
// what is open to each sort of txn.
func (g *Engine) renew() {
	cold, at := g.cold[:0], 0
	g.able = 0
	for _, i := range g.cold {
		w := &g.workers[i]
		part := g.warmth(w.StartedAtMillis)
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
				if w.wary = true; g.in[i] != out && !w.full {
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
func (g *Engine) meanRating() float64 {
	if !g.rated {
		g.rated, g.rating = true, 0
		for n, i := range g.ready {
			if d := g.workers[i].SizeRating - g.rating; d != 0 {
				g.rating += d / float64(n+1)
			}
		}
	}
	return g.rating
}

// marks gives what a worker has turned away, by sort of txn, to be changed.
func (g *Engine) marks(w *worker) []mark {
	if w.turned == nil {
		w.turned = make([]mark, len(g.openTo))
	}
	g.noted(w)
	return w.turned
}

// noted has a worker looked at for what speaks against it.
func (g *Engine) noted(w *worker) {
	if !w.wary {
		w.wary = true
		g.wary = append(g.wary, w.Worker)
	}
}

// unrefer ends what submissions refer to.
func (g *Engine) unrefer(subs []submission) {
	for i := range subs {
		g.workers[subs[i].worker].refer--
	}
}

// Vacant tells whether no txn in hand has been sent to a worker: if it is gone its place may be another's.
func (g *Engine) WorkerUnreferenced(wi int) bool {
	return wi >= len(g.workers) || g.workers[wi].refer == 0
}
