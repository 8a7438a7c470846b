package policy // which txns are let in: quotas, the shares that they are divided into, and pressure

import "math"

// admit decides on a txn's first submission: BySettled lets it in, else the reason and when to return.
func (g *Engine) admit(t *txn) (FinalReason, float64) {
	c, p := &g.accounts[t.acct], &g.plans[t.plan]
	if g.retired {
		return ReasonOverload, 0
	}
	room := float64(g.inHand) < g.room()*g.depth[t.product][t.plan] &&
		float64(g.outOf[g.sort(t)]) < math.Max(g.room()*g.openTo[g.sort(t)], 1)
	if p.ceilRate > 0 || p.ceilDepth > 0 {
		rate, depth := p.ceilRate/float64(c.n), p.ceilDepth/float64(c.n)
		if wait := gcraWait(c.ceilingAt, g.now, rate, depth, t.units+c.kept); wait > 0 {
			return ReasonRateLimit, wait
		}
	}
	limit := p.open
	if p.out > 0 && p.open%c.n == 0 { // parts of the limit are whole submissions, which need no split
		limit, t.inside = p.open/c.n, true
	} else if p.rate > 0 {
		wait := g.sliceWait(c, t.draws)
		if !g.blind(c) {
			wait = math.Min(wait, g.roomWait(c, t.draws))
		}
		if t.inside = wait <= 0; !t.inside && !(p.excess && g.spare()) && !g.borrow(t, c) {
			return ReasonQuota, wait
		}
	}
	if p.open > 0 && c.out >= limit {
		if t.inside = false; !(p.excess && g.spare()) {
			return ReasonQuota, g.pace
		}
	}
	// Guards against tries too short for the fleet: their work is done for nobody and comes again. It may hurt
	// a fast product beside very slow ones. What is not hopeless is tried where most such tries succeed.
	left := t.expiry - g.now
	t.tight = left < tightAt*g.pace
	if !room || left < hopeless*g.pace || t.tight && p.tight < tightWorth && g.rng.Float64() > tightTry {
		return ReasonOverload, adviseBusy * g.products[t.product].sla
	}
	return ReasonSucceeded, 0
}

// spare tells whether there is capacity for txns beyond a quota: little of the window is in use, and answers
// are quick. Among many gatekeepers each has few submissions out, however pressed the fleet.
func (g *Engine) spare() bool {
	return float64(g.inHand) < spareAt*g.window && g.press < spareUse*slaUse
}

// fill brings a customer's slice, and the quota's one store as far as it is known here, up to now.
func (g *Engine) fill(c *account) {
	p := &g.plans[c.plan]
	dt := g.now - c.filled
	if dt <= 0 {
		return
	}
	rate := p.rate
	if c.hot && c.n > 1 {
		// Guards against peers that spend unheard: their messages or ours are lost, or they are cut off.
		rate -= (rate - c.share) * float64(g.unheard(c)) / float64(c.n-1)
	}
	c.whole = math.Min(c.whole+dt*rate, g.holds(p, p.rate))
	c.level = math.Min(c.level+dt*c.share, g.holds(p, c.share))
	c.others = math.Max(c.others*math.Exp(-dt/p.memory), 0)
	c.flow *= math.Exp(-dt / flowMemory)
	c.filled = g.now
}

// roomWait is how long until the quota's store, as known here, has the units and peers' unheard; 0 is now.
func (g *Engine) roomWait(c *account, units float64) float64 {
	g.fill(c)
	before := g.own(c) - units/g.plans[c.plan].memory
	reserve := math.Max(c.flow/flowMemory, before*float64(min(c.n-1, alike)))
	unheard := hearsay * g.charter.period
	if g.prompt(c) {
		unheard = soon
	}
	short := units + c.keptDraws + reserve*unheard - c.whole
	return math.Max(short/g.plans[c.plan].rate, 0)
}

// sliceWait is how long until a customer's own slice has the units; 0 is now.
func (g *Engine) sliceWait(c *account, units float64) float64 {
	g.fill(c)
	if units += c.keptDraws; c.level >= units-1e-9 {
		return 0
	}
	share := c.share
	if g.sparse(c) {
		share = g.credited(c)
	}
	if share <= 0 {
		return math.MaxFloat64
	}
	return (units - c.level) / share
}

// account finds or opens the account of an arrival, and fills in what only a txn tells.
func (g *Engine) account(a Request) int32 {
	ai, ok := g.byKey[uint32(a.Customer)]
	if !ok {
		ai = g.open(a.Customer&math.MaxUint32, a.Plan)
	}
	c := &g.accounts[ai]
	n, first := min(max(a.SetSize, 1), g.charter.n), max(a.FirstGateway, 0)%g.charter.n
	if c.n != n || c.first != first || c.plan != a.Plan { // new, known from peers alone, of another set or plan
		p, from, most := &g.plans[a.Plan], g.base, math.Inf(1)
		if ok && c.n == 0 {
			g.heardOnly--
		} else if ok && (c.n != n || c.first != first) { // others may have had its part meanwhile, or have it still
			from, most = g.now, c.level
		}
		if c.plan != a.Plan {
			c.whole = g.holds(p, p.rate)
		}
		c.plan, c.n, c.first = a.Plan, n, first
		if p.ceilRate > 0 {
			// A former life of this gatekeeper may have spent its whole slice just before it ended.
			c.ceilingAt = math.Max(c.ceilingAt, from+p.ceilDepth/p.ceilRate)
		}
		if c.level = math.Min(g.startLevel(c), most); g.sparse(c) {
			c.level = p.draw(a.Units) * g.rng.Float64() // of many that fill slowly, chance spreads the turns
		}
		g.reshare(c)
	}
	return ai
}

// startLevel is what a slice holds at first: full, though without the rounding up to the largest txn, which
// over all gatekeepers of a large set would come to many times the quota's burst.
func (g *Engine) startLevel(c *account) float64 { return g.coldSlice(c) * g.plans[c.plan].burst }

// coldSlice is what a cold customer runs at, units a ms.
func (g *Engine) coldSlice(c *account) float64 {
	return g.plans[c.plan].rate / float64(max(c.n, 1)) * alpha
}

// reshare sets a customer's share: the cold slice, or the floor and its part of the rest by demand.
func (g *Engine) reshare(c *account) {
	rate, n := g.plans[c.plan].rate, float64(max(c.n, 1))
	if g.sparse(c) { // the rest is credited as demand comes
		c.share = rate * beta / n
		return
	}
	if !c.hot {
		c.share = g.coldSlice(c)
		return
	}
	own, total := g.own(c), g.total(c)
	if total <= 0 {
		c.share = rate / n
		return
	}
	c.share = rate*beta/n + rate*(1-beta)*own/total
}

// total is a customer's demand at all its gatekeepers, as far as it is known here.
func (g *Engine) total(c *account) float64 {
	p, others := &g.plans[c.plan], c.others
	if age := (g.now - g.started) / g.charter.period; p.sparse && age < 1 { // not all have spoken yet
		others /= math.Max(age, firstWords)
	}
	known := g.own(c) + others*p.regain
	total := known + c.held
	if c.n > 1 { // a silent peer that never spoke of the customer counts as the mean of those that may speak
		mute := g.unheard(c)
		total += known / float64(max(c.n-mute, 1)) * float64(max(mute-c.holding, 0))
	}
	return total
}

// sparse tells whether a customer's slices are too small to hold a txn, over many gatekeepers.
func (g *Engine) sparse(c *account) bool {
	return g.plans[c.plan].sparse && c.n > 0 && g.startLevel(c) < g.plans[c.plan].largest
}

// prompt tells whether a customer's set is so small that each txn sent on is told at once.
func (g *Engine) prompt(c *account) bool {
	return g.charter.tellAt > 0 && !g.retired && c.n > 1 && c.n <= promptAt
}

// blind tells whether news of a customer's whole store comes too late to go by.
func (g *Engine) blind(c *account) bool { return !g.prompt(c) && g.sparse(c) }

// credit puts in a sparse slice what units asked here bring it of the split, rate x (1 - beta) x own / total,
// at once and not over the memory: a gatekeeper that sees a txn in many seconds would have it too late.
func (g *Engine) credit(c *account, units float64) {
	p, total := &g.plans[c.plan], g.total(c)
	// Guards against bursts that end before a word of them comes: what was asked here in the last second, scaled
	// up by this gatekeeper's usual part of the customer's demand, is taken to be asked at the peers too.
	lately := c.lately * math.Exp((c.seen-g.now)/demandMemory)
	usual := math.Max(g.own(c)-lately*demandMemory/p.memory, 0) / math.Max(total, 1e-9)
	total = math.Max(total, lately/math.Min(usual+1/float64(c.n), 1))
	if part := p.rate * (1 - beta) / math.Max(total, 1e-12); part < 1 {
		c.level += units * part
	} else {
		c.level = math.Max(c.level, units)
	}
}

// mostOut is how many submissions a quota on those out should have out on average: where one more earns no
// more than it costs, as many gatekeepers that don't see each other's meet by chance.
func mostOut(p Plan) float64 {
	best, most, step := 0.0, 0.0, math.Max(outStep, float64(p.MaxInFlight)/outSteps)
	for a := step; a <= float64(p.MaxInFlight); a += step {
		inside, term := 0.0, math.Exp(-a)
		for k := range p.MaxInFlight { // Poisson: fewer than the limit are out
			inside, term = inside+term, term*a/float64(k+1)
		}
		if earns := a * (inside + (1-inside)*math.Min(p.ExcessValueFraction-p.ExcessCostFraction,
			0)); earns > best {
			best, most = earns, a
		}
	}
	return most
}

// pressed takes one answer's time over its SLA time, and moves the window.
func (g *Engine) pressed(x float64) {
	g.press += pressGain * (math.Min(x, 1) - g.press)
	switch {
	case g.press > slaUse && g.now-g.cutAt > cutPause:
		g.cutAt = g.now
		used := math.Min(g.window, float64(g.inHand)+1)
		g.window = math.Max(used*math.Max(slaUse/g.press, mostCut), g.leastWindow())
	case g.press < eager*slaUse && float64(g.inHand)+1 > usedAt*g.window: // with the one that has just ended
		g.window += leap * math.Min(g.window/leastSwing, 1)
	case g.press < slaUse && float64(g.inHand) > usedAt*g.window:
		g.window += growth / math.Max(g.window, 1)
	}
}

// room is how many submissions may be out now.
func (g *Engine) room() float64 { return g.window + g.surge*math.Exp((g.thawed-g.now)/surgeFade) }

// leastWindow is what the window starts at and keeps, leastOf the same of any part. Few txns swing much, and
// no other gatekeeper can lend its room: without the allowance many decline while workers idle.
func (g *Engine) leastWindow() float64 {
	return leastOf(leastDepth * math.Max(g.able, 1) / float64(g.charter.n))
}

func leastOf(part float64) float64 { return part + math.Min(leastSwing*math.Sqrt(part), leastSum*part) }
