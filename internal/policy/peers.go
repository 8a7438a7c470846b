package policy // what peers are told, what is heard from them, and what is forgotten

import "math"

// Hear takes a peer's reports. A message says nought of the customers that it does not name.
func (g *Engine) ReceiveReports(from int, reports []Report) {
	if from < 0 || from >= g.charter.n || from == g.charter.me {
		return
	}
	p := &g.peers[from]
	if p.heard = g.now; p.silent {
		g.silence(from, false, false)
	}
	if len(reports) != 1 || len(p.last) > g.charter.perTell { // one may be told at once, between two periods
		p.last = p.last[:0]
	}
	for _, r := range reports {
		d := (r.DemandPerSecond - r.PreviousDemandPerSecond) / 1000 // what is known of it is in the sum already
		if !(r.DemandPerSecond >= 0) || math.IsInf(d, 0) || !(r.PreviousDemandPerSecond >= 0) ||
			!(r.SpentUnits >= 0) ||
			r.Plan < 0 || r.Plan >= len(g.plans) {
			continue
		}
		p.spoke = g.now
		p.says(r)
		ai, ok := g.byKey[uint32(r.Customer)]
		if !ok {
			if r.DemandPerSecond == 0 || g.heardOnly >= mostHeard {
				continue
			}
			ai = g.open(r.Customer&math.MaxUint32, r.Plan)
			g.heardOnly++
		}
		c := &g.accounts[ai]
		g.fill(c)
		c.whole = math.Max(c.whole-r.SpentUnits, 0)
		c.flow += r.SpentUnits
		c.others = math.Max(c.others+d, 0)
		if r.DemandPerSecond > 0 {
			c.heard = g.now
			if !c.hot {
				c.hot, c.coolSince = true, g.now
			}
		}
		g.reshare(c)
	}
}

// sweep looks for silent peers, turns customers hot and cold, renews their shares, gathers what is to be
// reported, and drops the idle customers.
func (g *Engine) sweep() {
	for i := range g.peers {
		p := &g.peers[i]
		quiet := g.now - math.Max(p.heard, p.owes)
		switch {
		case p.owes == 0 || i == g.charter.me:
		case !p.silent && quiet > toldFor*g.charter.period:
			g.silence(i, true, false)
		case p.silent && !p.gone && quiet > suspicion+hold:
			g.silence(i, true, true)
		}
	}
	g.renew()
	for i := range g.plans {
		g.plans[i].restate()
	}
	clear(g.owed)
	g.news = g.news[:0]
	for i := range g.accounts {
		c := &g.accounts[i]
		if !c.live {
			continue
		}
		g.fill(c)
		own, idle, slice := g.own(c), g.now-c.seen, g.coldSlice(c)
		if own > slice || c.n == 0 && idle < g.charter.cooldown {
			c.coolSince = g.now
		}
		// One txn makes no demand, unless the slice cannot hold it: then all that is known is what peers say.
		if !c.hot && own > hotAt*slice && slice > 0 && (c.txns > 1 || g.startLevel(c) < g.charter.largest) {
			c.hot = true
		}
		inUse := c.heard > 0 && g.now-c.heard < g.charter.cooldown
		if c.hot && g.now-c.coolSince > g.charter.cooldown && !inUse {
			c.hot = false
			c.others, c.held, c.holding = 0, 0, 0
		}
		g.reshare(c)
		if c.hot {
			g.gather(int32(i))
			continue
		}
		c.unsaid = 0
		p := &g.plans[c.plan]
		if idle > g.charter.cooldown && c.out == 0 && c.level >= g.startLevel(c)-1e-9 && c.ceilingAt <= g.now &&
			!inUse && c.whole >= g.holds(p, p.rate)-1e-9 {
			g.drop(int32(i))
		}
	}
	for i := range g.owed[1:] {
		g.owed[i+1] += g.owed[i]
	}
}

// promptly gives the next message that tells a small set at once what was sent on. Where that comes too often
// for the peers' intake it waits for the period's.
func (g *Engine) promptly() (Decision, bool) {
	for ; len(g.urgent) > 0; g.urgent, g.toldTo = append(g.urgent[:0], g.urgent[1:]...), 0 {
		c, at := &g.accounts[g.urgent[0]], g.charter.tellAt
		if !c.live || !g.prompt(c) || g.toldTo == 0 && gcraWait(g.saidAll, g.now, at, tellMost, float64(c.n)) > 0 {
			continue
		}
		if g.toldTo++; g.toldTo == 1 {
			g.saidAll = math.Max(g.saidAll, g.now) + float64(c.n)/at
			g.say(c)
		}
		if g.toldTo < c.n {
			return g.word(c, g.toldTo), true
		}
		c.unsaid = 0
	}
	return Decision{}, false
}

// report packs the next message of own demands for the customers that a peer shares: those with news, or a
// bare word that there is none. What the period's messages cannot hold is left out, from a random place on.
func (g *Engine) report() (Decision, bool) {
	n, to, p := g.charter.n, g.tellPeer, &g.peers[g.tellPeer]
	asks := p.spoke > 0 && g.now-p.spoke < lapse*g.charter.period // it spoke of customers, maybe not known here
	if to == g.charter.me || g.told >= g.charter.tells || g.owed[to]+g.owed[to+n] == 0 && !asks {
		return Decision{}, false
	}
	g.reports = g.reports[:0]
	for ; g.looked < len(g.news) && len(g.reports) < g.charter.perTell; g.looked++ {
		if c := &g.accounts[g.news[(g.newsFrom+g.looked)%len(g.news)]]; g.shared(c, to) {
			g.reports = append(g.reports, c.report())
		}
	}
	if len(g.reports) == 0 && g.told > 0 {
		return Decision{}, false
	}
	if g.now-p.told > lapse*g.charter.period {
		p.owes = g.now
	}
	p.told, g.told = g.now, g.told+1
	return Decision{Kind: SendReports, Peer: to, Reports: g.reports}, true
}
