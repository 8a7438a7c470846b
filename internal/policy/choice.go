package policy // which worker gets a txn

import "math"

// choose draws two workers at random and takes the one that own counts favour. More are looked at only if
// neither may be used or the better one is distrusted or answers slowly.
func (g *Engine) choose(t *txn) int {
	if len(g.ready) == 0 {
		return -1
	}
	best, cost := -1, math.Inf(1)
	look := func(w int) {
		if g.usable(t, w) {
			if c := g.cost(t, w); c < cost {
				best, cost = w, c
			}
		}
	}
	for range 2 {
		look(g.near[g.rng.Intn(len(g.near))])
	}
	// What cold ones can do is little, and goes unused where they are looked at seldom: one whose turn it is.
	for i, from := 0, g.rng.Intn(len(g.cold)+1); i < len(g.cold); i++ {
		if w := g.cold[(from+i)%len(g.cold)]; g.turn(&g.workers[w]) {
			look(w)
			break
		}
	}
	// Guards against jams at slow workers while fast ones have room, and covers workers that fail, are silent or
	// turn such txns away. Many gatekeepers alike could run as a herd, so no more than widest are looked at.
	slow := crowded * math.Min(g.products[t.product].sla, t.expiry-g.now)
	if best >= 0 && g.distrustOf(t, best) < distrusted && g.paceOf(&g.workers[best]) < slow {
		return best
	}
	for i := range min(len(g.ready), widest) {
		if len(g.ready) > widest {
			i = g.rng.Intn(len(g.ready))
		}
		look(g.ready[i])
	}
	return best
}

// aperture is how many of the listed workers a gatekeeper draws from. Guards against hundreds of gatekeepers
// that each see each worker once in many seconds, over a new connection each time.
func (g *Engine) aperture() int {
	part := int(math.Ceil(float64(len(g.ready)) * reach / float64(g.charter.n)))
	return min(max(part, widest), len(g.ready))
}

// usable tells whether the rules let a txn go to a listed worker.
func (g *Engine) usable(t *txn, wi int) bool {
	w := &g.workers[wi]
	for i := range t.subs {
		if t.subs[i].worker == wi && (t.subs[i].out || len(g.ready) > len(t.subs)) {
			return false
		}
	}
	if g.products[t.product].repeat == Deduplicated && (t.mayRun || t.out > 0) {
		b := &t.bond
		for i := len(t.subs) - 1; i >= 0 && !t.mayRun; i-- {
			if t.subs[i].out {
				b = &t.subs[i]
			}
		}
		group := g.products[t.product].group
		if group == DedupWithinZone && b.zone != w.Zone || group == DedupWithinCell && b.cell != w.Cell {
			return false
		}
	}
	return g.warmth(w.StartedAtMillis) >= 1 || !g.retired && g.turn(w)
}

func (g *Engine) cost(t *txn, wi int) float64 {
	w := &g.workers[wi]
	// A report only speaks against a worker, and while it is fresh: gatekeepers that all go for the one that has
	// little to do would run as a herd, and a worker that fails fast always has.
	busier := loadSays * math.Max(w.load/math.Max(g.load, 1)-1, 0) * math.Exp((w.told-g.now)/loadFade)
	return float64(w.inFlight+1) * math.Max(g.paceOf(w), 1) * (1 + g.distrustOf(t, wi) + busier)
}

// doubt notes a failure at a worker: by one where this gatekeeper sees each worker often. Among many
// gatekeepers it would forget before it comes there again, and lose a txn each time; then the failure weighs
// as often as the distrust fades between two visits, but no more than the usual answers that it took.
func (g *Engine) doubt(w *worker, took float64) {
	visits := refMemory * float64(len(g.ready)) / math.Max(g.warmWork(), 1)
	by := math.Min(rarely*visits/distrustFade, took/math.Max(g.pace, 1))
	w.distrust.add(math.Max(by, 1), g.now, distrustFade)
	g.noted(w)
}
