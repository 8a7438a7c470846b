package policy

import (
	"math"
	"reflect"
)

// This file holds what a gatekeeper leaves to the process that takes its place on the same machine. Times are
// those of the clock that both go by.

// Estate is all that a successor takes over. The host names the workers and kinds for it.
type Estate struct {
	Signed    Charter // in which all is reckoned
	At        float64
	Started   float64
	Base      float64
	Customers []Customer
	Workers   []Standing
	Kinds     []Pace
	Peers     []Hearing

	Window, Press, CutAt, Pace, Load float64
	WarmDone, WarmEach, WarmAt       float64
	Long, LongAt, Astray, AstrayAt   float64
	Tight, Stay                      []float64 // by plan
	NextTell                         float64
}

// Customer is what is known of one customer, in the module's own units.
type Customer struct {
	Key                                    uint64
	Plan, N, First, Txns, Out, Holding     int
	Level, Whole, Filled                   float64
	Others, Flow, Held, Heard              float64
	Demand, Lately, Seen, CoolSince        float64
	CeilingAt, Unsaid, Said, SaidAt, Known float64
	Hot                                    bool
	Lag, Dealt                             float64
}

// Standing is what is known of one worker.
type Standing struct {
	Worker                         int
	Since                          float64
	Pace, Paced, Load, Told, Heard float64
	Distrust, DistrustAt           float64
	Turned, TurnedAt               []float64
	Full                           bool
	ColdAt, ColdDebt               float64
}

// Pace is what is known of a kind of machine.
type Pace struct {
	Kind          int
	Pace, Answers float64
}

// Hearing is what is known of one peer.
type Hearing struct {
	Heard, Told, Owes, Spoke float64
	Silent, Gone             bool
	Last                     []Report
}

// Retire gives what a successor takes over. From then on this gatekeeper only ends the txns in hand: it lets
// nothing in, sends nothing to cold workers and tells peers nothing, as its parts of all these are another's.
func (g *Gatekeeper) Retire() Estate {
	g.retired = true
	for i := range g.txns { // what is kept may yet be sent on from here: to the successor it is spent
		if t := &g.txns[i]; t.live && t.kept {
			coming, pass := t.coming, t.pass
			t.coming = false
			g.spend(t)
			t.coming, t.pass = coming, pass
		}
	}
	e := Estate{Signed: g.signed, At: g.now, Started: g.started, Base: g.base, Window: g.window,
		Press: g.press, CutAt: g.cutAt, Pace: g.pace,
		Load: g.load, WarmDone: g.warmDone, WarmEach: g.warmEach, WarmAt: g.warmAt, Long: g.long.score,
		LongAt: g.long.since, Astray: g.astray.score, AstrayAt: g.astray.since, NextTell: g.nextTell}
	for i := range g.accounts {
		if c := &g.accounts[i]; c.live {
			e.Customers = append(e.Customers, c.leaves())
		}
	}
	for i := range g.workers {
		w := &g.workers[i]
		if !w.listed {
			continue
		}
		s := Standing{Worker: i, Since: w.Since, Pace: w.pace, Paced: w.paced, Load: w.load, Told: w.told,
			Heard: w.heard, Distrust: w.distrust.score, DistrustAt: w.distrust.since, Full: w.full,
			ColdAt: w.coldAt, ColdDebt: w.coldDebt}
		s.Turned, s.TurnedAt = make([]float64, len(g.openTo)), make([]float64, len(g.openTo))
		for k, m := range w.turned {
			s.Turned[k], s.TurnedAt[k] = m.score, m.since
		}
		e.Workers = append(e.Workers, s)
	}
	for i, k := range g.kinds {
		e.Kinds = append(e.Kinds, Pace{i, k.pace, k.answers})
	}
	for i := range g.peers {
		p := &g.peers[i]
		e.Peers = append(e.Peers, Hearing{p.heard, p.told, p.owes, p.spoke, p.silent, p.gone,
			append([]Report(nil), p.last...)})
	}
	for i := range g.plans {
		e.Tight, e.Stay = append(e.Tight, g.plans[i].tight), append(e.Stay, g.plans[i].stay)
	}
	return e
}

// Resume takes over what a predecessor on this machine has left, before the first txn, and has it changed to
// this charter from the one that it went by. What does not fit is not taken. The worker of a Standing, and a
// kind, are this gatekeeper's own indices.
func (g *Gatekeeper) Resume(e Estate) {
	if len(e.Tight) != len(g.plans) || e.At > g.now+stopped {
		return
	}
	if mine := g.signed; !reflect.DeepEqual(mine, e.Signed) {
		if !g.Recharter(e.Signed) {
			return
		}
		defer g.Recharter(mine)
	}
	if len(e.Peers) != len(g.peers) {
		return
	}
	g.base = e.Base
	g.started, g.window, g.press, g.cutAt, g.pace = e.Started, e.Window, e.Press, e.CutAt, e.Pace
	g.load, g.warmDone, g.warmEach, g.warmAt = e.Load, e.WarmDone, e.WarmEach, e.WarmAt
	g.long, g.astray, g.nextTell = mark{e.Long, e.LongAt}, mark{e.Astray, e.AstrayAt}, e.NextTell
	for i := range g.plans {
		g.plans[i].tight, g.plans[i].stay = e.Tight[i], e.Stay[i]
		g.plans[i].restate()
	}
	for _, k := range e.Kinds {
		if k.Kind < len(g.kinds) {
			g.kinds[k.Kind] = kind{k.Pace, k.Answers}
		}
	}
	for _, s := range e.Workers {
		if s.Worker >= len(g.workers) || g.workers[s.Worker].Since != s.Since ||
			len(s.Turned) != len(g.plans)*len(g.products) || len(s.TurnedAt) != len(s.Turned) {
			continue // what started anew since is another process, cold, and keeps what is known of that
		}
		w := &g.workers[s.Worker]
		w.pace, w.paced, w.load, w.told, w.heard = s.Pace, s.Paced, s.Load, s.Told, s.Heard
		w.distrust, w.full, w.coldAt, w.coldDebt = mark{s.Distrust, s.DistrustAt}, s.Full, s.ColdAt, s.ColdDebt
		clear(w.turned)
		for i := range s.Turned {
			if s.Turned[i] != 0 {
				g.marks(w)[i] = mark{s.Turned[i], s.TurnedAt[i]}
			}
		}
		g.noted(w)
	}
	for i, p := range e.Peers {
		g.peers[i] = peer{p.Heard, p.Told, p.Owes, p.Spoke, p.Silent, p.Gone, p.Last}
	}
	g.muted()
	for _, k := range e.Customers {
		if k.Plan < 0 || k.Plan >= len(g.plans) || k.N < 0 || k.N > g.charter.n || k.First < 0 ||
			k.First >= g.charter.n {
			continue
		}
		if _, known := g.byKey[uint32(k.Key)]; known {
			continue
		}
		c := &g.accounts[g.open(k.Key, k.Plan)]
		c.n, c.first, c.txns, c.holding, c.level, c.whole = k.N, k.First, k.Txns, k.Holding, k.Level, k.Whole
		c.filled, c.others, c.flow, c.held, c.heard = k.Filled, k.Others, k.Flow, k.Held, k.Heard
		c.demand, c.lately, c.seen, c.coolSince = k.Demand, k.Lately, k.Seen, k.CoolSince
		c.ceilingAt, c.unsaid, c.said, c.saidAt = k.CeilingAt, k.Unsaid, k.Said, k.SaidAt
		c.known, c.hot, c.lent, c.out, c.lag, c.dealt = k.Known, k.Hot, k.Out, k.Out, k.Lag, k.Dealt
		if c.n == 0 {
			g.heardOnly++
		}
		g.reshare(c)
	}
	g.list()
}

// Alone tells that the predecessor has ended: none of its submissions is out any more.
func (g *Gatekeeper) Alone() {
	for i := range g.accounts {
		c := &g.accounts[i]
		c.out, c.lent = c.out-c.lent, 0
	}
}

// Residue is what a former life of this gatekeeper has left that did not end in peace.
type Residue struct {
	Base                float64 // ceilings of all other customers are taken as spent at this time
	Ceilings            []Spent
	Window, Press, Pace float64 // nought where they are not known, or too old to go by
}

// Spent says when a customer's slice of its ceiling is full again.
type Spent struct {
	Customer uint64
	Plan     int
	Full     float64
}

// Remember takes a former life's residue, before the first txn. What it does not know, or what does not fit
// this charter, is as after any start.
func (g *Gatekeeper) Remember(r Residue) {
	g.base = math.Min(r.Base, g.base)
	for _, s := range r.Ceilings {
		if _, known := g.byKey[uint32(s.Customer)]; known || s.Plan < 0 || s.Plan >= len(g.plans) ||
			g.heardOnly >= mostHeard {
			g.base = math.Max(g.base, s.Full) // later than true, for all that are not known
			continue
		}
		g.accounts[g.open(s.Customer, s.Plan)].ceilingAt = s.Full
		g.heardOnly++ // its first txn fills the rest in
	}
	if r.Window > 0 && r.Pace > 0 && r.Press >= 0 {
		g.window, g.press, g.pace = math.Max(g.window, r.Window), r.Press, r.Pace
	}
}

// Pressure tells how pressed the gatekeeper is, as a residue has it.
func (g *Gatekeeper) Pressure() (window, press, pace float64) { return g.window, g.press, g.pace }

// Residue gives what is spent of ceilings, for a life after this one.
func (g *Gatekeeper) Residue() (base float64, all []Spent) {
	for i := range g.accounts {
		c := &g.accounts[i]
		if full := g.full(c); c.live && full > g.now {
			all = append(all, Spent{c.customer, c.plan, full})
		}
	}
	return g.base, all
}

// Resize tells that there are so many gatekeepers from now on.
func (g *Gatekeeper) Resize(n int) {
	if c := g.signed; n != g.charter.n && n > c.Me {
		c.Gatekeepers = n
		g.Recharter(c)
	}
}

// Recharter tells that another charter is in force from now on: other rates and depths of the same plans,
// another number of gatekeepers, another part withheld. It is false, and nothing changes, where more of
// it differs. This one keeps its place, and so do the others that stay; those beyond the number have ended.
// Customers' parts follow their sets, as their txns say.
//
// No store holds more by the change. What was spent of a ceiling stays spent, in units: one that grows fills
// at its new pace from what there was, one that shrinks holds at most its new depth less what is spent, and
// a new one holds nothing. Where a part is withheld, all that is spent counts against the rest; where it is
// given free again, what was not spent of it is there.
func (g *Gatekeeper) Recharter(c Charter) bool {
	n := max(c.Gatekeepers, 1)
	if c.Me != g.charter.me || n <= c.Me || len(c.Plans) != len(g.plans) || len(c.Products) != len(g.products) {
		return false
	}
	for i := n; i < g.charter.n; i++ {
		g.silence(i, false, false) // nothing is held for those that are no more
	}
	if n != g.charter.n { // sets may change, and customers not known here be spent at those that had been theirs
		g.base = g.now
	}
	for i := range g.accounts {
		if a := &g.accounts[i]; a.live {
			g.fill(a)
			if a.n > 0 && (a.first >= n || a.n > n) { // its next txn says what its set is now
				a.ceilingAt = math.Max(a.ceilingAt, g.now+g.plans[a.plan].spentFor())
			}
			a.n, a.first = min(a.n, n), a.first%n
		}
	}
	f, was, told := New(c, 0), g.plans, g.signed // for what follows from the charter
	if g.first == nil {
		g.first = told.Plans
	}
	for i := range f.plans {
		f.plans[i].tight, f.plans[i].stay = was[i].tight, was[i].stay
		f.plans[i].restate()
		f.plans[i].narrow(&c, c.Plans[i].Withheld)
		f.plans[i].recorded = lesser(f.plans[i].ceilRate, g.first[i].CeilingRate/1000)
		g.rebase(&f.plans[i], told.Plans[i], c.Plans[i])
	}
	if c.Narrow { // what would be told of demand is not what is asked
		f.charter.talks, f.charter.tellAt = false, 0
	}
	// What the others have spent in between is not known, unless all of it is as after a start.
	unknown := (told.Narrow || c.Narrow) && !g.fresh
	switch {
	case c.Narrow && !told.Narrow:
		g.fresh = len(g.byKey) == 0
	case !c.Narrow && told.Narrow && !g.fresh:
		g.widened = g.now
	}
	copy(f.peers, g.peers)
	g.signed, g.charter, g.plans, g.peers, g.mute, g.owed = c, f.charter, f.plans, f.peers, f.mute, f.owed
	g.muted()
	for i := range g.accounts {
		if a := &g.accounts[i]; a.live {
			p := &g.plans[a.plan]
			a.ceilingAt = g.respent(a, &was[a.plan], told.Plans[a.plan], c.Plans[a.plan])
			if unknown {
				a.hot, a.others, a.held, a.holding, a.whole = false, 0, 0, 0, 0
			}
			g.reshare(a)
			a.level, a.whole = math.Min(a.level, g.holds(p, a.share)), math.Min(a.whole, g.holds(p, p.rate))
		}
	}
	for i := range g.txns {
		if t := &g.txns[i]; t.live && t.pass == granted && g.plans[t.plan].shut() { // its clearance lapses
			t.expiry = math.Min(t.expiry, g.now)
			g.due = append(g.due, int32(i))
		}
	}
	g.list()
	g.window = math.Max(g.window, g.leastWindow())
	return true
}

// narrow leaves a plan what is this gatekeeper's own. Where its quota goes without words all peers count as
// unheard: the split leaves each gatekeeper an even part of alpha x rate, which is the cold slice.
func (p *plan) narrow(c *Charter, withheld float64) {
	p.ceilDepth *= 1 - withheld
	if withheld < 1 { // one that is shut still fills
		p.ceilRate *= 1 - withheld
	}
	if c.Narrow {
		p.sparse, p.excess = false, false
		p.rate, p.out = p.rate*alpha, p.out*alpha
		p.restate()
	}
}

// shut tells whether nothing passes under a plan's ceiling.
func (p *plan) shut() bool {
	return p.ceilRate > 0 && p.ceilDepth <= 0 || p.ceilRate <= 0 && p.ceilDepth > 0
}

// lesser gives the lower one of two rates, of which 0 is none.
func lesser(a, b float64) float64 {
	if a > 0 && b > 0 {
		return math.Min(a, b)
	}
	return math.Max(a, b)
}

// rebase sees that customers that are not known find no more in a ceiling that grows, or is new, than those
// that are. It falls on all plans: there is one base.
func (g *Gatekeeper) rebase(p *plan, from, to Plan) {
	had := from.CeilingDepth
	if from.CeilingRate <= 0 {
		had = 0
	}
	if to.CeilingRate > 0 && to.CeilingDepth > had {
		g.base = math.Max(g.base, g.now-had/to.CeilingRate*1000)
	}
}

// respent is the moment at which a customer's slice of a ceiling that has changed is full again.
func (g *Gatekeeper) respent(a *account, was *plan, from, to Plan) float64 {
	p := &g.plans[a.plan]
	if to.CeilingRate <= 0 {
		return a.ceilingAt
	}
	units := to.CeilingDepth
	if from.CeilingRate > 0 {
		spent := math.Max(a.ceilingAt-g.now, 0) * was.ceilRate
		units = math.Min(spent+math.Max(to.CeilingDepth-from.CeilingDepth, 0), to.CeilingDepth)
	}
	if was.shut() && a.n > 0 { // it may have been opened meanwhile, and then has not been taken as spent
		units = math.Max(units, to.CeilingDepth-math.Max(g.now-g.base, 0)*to.CeilingRate/1000)
	}
	return g.now + units/p.ceilRate
}

// Recall tells that submission n of a txn, the newest, never began: what it was decided by had run out. The
// txn is decided on anew, the first time as if it had just come; what it took stays taken. It is false where
// that can't be, and the submission has Ended as NotSent.
func (g *Gatekeeper) Recall(id uint64, n int) bool {
	slot, ok := g.byID[id]
	if !ok || n < 0 || n != len(g.txns[slot].subs)-1 || !g.txns[slot].subs[n].out {
		return false
	}
	t := &g.txns[slot]
	g.back(t, &t.subs[n])
	g.unrefer(t.subs[n:])
	t.subs = t.subs[:n]
	if n == 0 {
		g.unkeep(t)
	}
	if g.plans[t.plan].shut() { // also one that was cleared, or has been sent before
		t.expiry = math.Min(t.expiry, g.now)
	}
	g.due = append(g.due, slot)
	return true
}

// spentFor is how long a slice of a plan's ceiling that is spent takes to be full, ms; 0 where there is none.
func (p *plan) spentFor() float64 {
	if p.ceilRate <= 0 {
		return 0
	}
	return p.ceilDepth / p.ceilRate
}

// Returned tells that a peer has started anew, knowing nothing: what its former life told counts no more. It
// will tell its demand from nought on, and both would be counted.
func (g *Gatekeeper) Returned(from int) {
	if from < 0 || from >= g.charter.n || from == g.charter.me {
		return
	}
	p := &g.peers[from]
	if p.silent {
		g.silence(from, false, false)
	}
	for _, r := range p.last {
		if ai, ok := g.byKey[uint32(r.Customer)]; ok {
			c := &g.accounts[ai]
			g.fill(c)
			c.others = math.Max(c.others-r.Demand/1000*math.Exp((p.heard-g.now)/g.plans[c.plan].memory), 0)
			g.reshare(c)
		}
	}
	p.last = p.last[:0]
}
