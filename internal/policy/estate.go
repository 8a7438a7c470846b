package policy

import (
	"math"
	"reflect"
)

// This file holds what a gatekeeper leaves to the process that takes its place on the same machine. Times are
// those of the clock that both go by.

// Estate is all that a successor takes over. The host names the workers and kinds for it.
type HandoffState struct {
	Settings            Settings // in which all is reckoned
	AtMillis            float64
	StartedAtMillis     float64
	RateLimitBaseMillis float64
	Customers           []CustomerState
	Workers             []WorkerState
	Kinds               []MachineKindState
	Peers               []PeerState

	Window, Pressure, WindowCutAtMillis, ResponseMillis, MeanWorkerLoad    float64
	WarmWorkUnits, WarmWorkUnitsPerWorker, WarmWorkAtMillis                float64
	SlowRequests, SlowRequestsAtMillis, LostRequests, LostRequestsAtMillis float64
	ShortDeadlineSuccess, AttemptMillis                                    []float64 // by plan
	NextReportAtMillis                                                     float64
}

// Customer is what is known of one customer, in the module's own units.
type CustomerState struct {
	ID                                                                                               uint64
	Plan, SetSize, FirstGateway, Requests, InFlight, SilentPeers                                     int
	ShareTokens, QuotaTokens, FilledAtMillis                                                         float64
	PeerDemand, PeerSpentUnits, SilentPeerDemand, PeerDemandAtMillis                                 float64
	OwnDemand, RecentDemand, LastRequestAtMillis, CoolSinceMillis                                    float64
	RateLimitFullAtMillis, UnreportedUnits, ReportedDemand, ReportedAtMillis, PreviousReportedDemand float64
	Hot                                                                                              bool
	UncollectedRepayment, CreditAtMillis                                                             float64
}

// Standing is what is known of one worker.
type WorkerState struct {
	Worker                                                                              int
	StartedAtMillis                                                                     float64
	ResponseMillis, ResponseAtMillis, ReportedLoad, ReportedLoadAtMillis, HeardAtMillis float64
	Suspicion, SuspicionAtMillis                                                        float64
	Rejections, RejectionsAtMillis                                                      []float64
	Overloaded                                                                          bool
	SlowStartAtMillis, SlowStartDebtUnits                                               float64
}

// Pace is what is known of a kind of machine.
type MachineKindState struct {
	MachineKind               int
	ResponseMillis, Responses float64
}

// Hearing is what is known of one peer.
type PeerState struct {
	HeardAtMillis, ReportedAtMillis, ReportDueSinceMillis, ReportsHeardAtMillis float64
	Silent, Lost                                                                bool
	LastReports                                                                 []Report
}

// Retire gives what a successor takes over. From then on this gatekeeper only ends the txns in hand: it lets
// nothing in, sends nothing to cold workers and tells peers nothing, as its parts of all these are another's.
func (g *Engine) HandOff() HandoffState {
	g.retired = true
	for i := range g.txns { // what is kept may yet be sent on from here: to the successor it is spent
		if t := &g.txns[i]; t.live && t.kept {
			coming, pass := t.coming, t.pass
			t.coming = false
			g.spend(t)
			t.coming, t.pass = coming, pass
		}
	}
	e := HandoffState{Settings: g.signed, AtMillis: g.now, StartedAtMillis: g.started,
		RateLimitBaseMillis: g.base, Window: g.window,
		Pressure: g.press, WindowCutAtMillis: g.cutAt, ResponseMillis: g.pace,
		MeanWorkerLoad: g.load, WarmWorkUnits: g.warmDone, WarmWorkUnitsPerWorker: g.warmEach,
		WarmWorkAtMillis: g.warmAt, SlowRequests: g.long.score,
		SlowRequestsAtMillis: g.long.since, LostRequests: g.astray.score, LostRequestsAtMillis: g.astray.since,
		NextReportAtMillis: g.nextTell}
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
		s := WorkerState{Worker: i, StartedAtMillis: w.StartedAtMillis, ResponseMillis: w.pace,
			ResponseAtMillis: w.paced, ReportedLoad: w.load, ReportedLoadAtMillis: w.told,
			HeardAtMillis: w.heard, Suspicion: w.distrust.score, SuspicionAtMillis: w.distrust.since,
			Overloaded:        w.full,
			SlowStartAtMillis: w.coldAt, SlowStartDebtUnits: w.coldDebt}
		s.Rejections, s.RejectionsAtMillis = make([]float64, len(g.openTo)), make([]float64, len(g.openTo))
		for k, m := range w.turned {
			s.Rejections[k], s.RejectionsAtMillis[k] = m.score, m.since
		}
		e.Workers = append(e.Workers, s)
	}
	for i, k := range g.kinds {
		e.Kinds = append(e.Kinds, MachineKindState{i, k.pace, k.answers})
	}
	for i := range g.peers {
		p := &g.peers[i]
		e.Peers = append(e.Peers, PeerState{p.heard, p.told, p.owes, p.spoke, p.silent, p.gone,
			append([]Report(nil), p.last...)})
	}
	for i := range g.plans {
		e.ShortDeadlineSuccess, e.AttemptMillis = append(e.ShortDeadlineSuccess, g.plans[i].tight),
			append(e.AttemptMillis, g.plans[i].stay)
	}
	return e
}

// Resume takes over what a predecessor on this machine has left, before the first txn, and has it changed to
// this charter from the one that it went by. What does not fit is not taken. The worker of a Standing, and a
// kind, are this gatekeeper's own indices.
func (g *Engine) RestoreHandoff(e HandoffState) {
	if len(e.ShortDeadlineSuccess) != len(g.plans) || e.AtMillis > g.now+stopped {
		return
	}
	if mine := g.signed; !reflect.DeepEqual(mine, e.Settings) {
		if !g.Reconfigure(e.Settings) {
			return
		}
		defer g.Reconfigure(mine)
	}
	if len(e.Peers) != len(g.peers) {
		return
	}
	g.base = e.RateLimitBaseMillis
	g.started, g.window, g.press, g.cutAt, g.pace = e.StartedAtMillis, e.Window, e.Pressure, e.WindowCutAtMillis,
		e.ResponseMillis
	g.load, g.warmDone, g.warmEach, g.warmAt = e.MeanWorkerLoad, e.WarmWorkUnits, e.WarmWorkUnitsPerWorker,
		e.WarmWorkAtMillis
	g.long, g.astray, g.nextTell = mark{e.SlowRequests, e.SlowRequestsAtMillis}, mark{e.LostRequests,
		e.LostRequestsAtMillis}, e.NextReportAtMillis
	for i := range g.plans {
		g.plans[i].tight, g.plans[i].stay = e.ShortDeadlineSuccess[i], e.AttemptMillis[i]
		g.plans[i].restate()
	}
	for _, k := range e.Kinds {
		if k.MachineKind < len(g.kinds) {
			g.kinds[k.MachineKind] = kind{k.ResponseMillis, k.Responses}
		}
	}
	for _, s := range e.Workers {
		if s.Worker >= len(g.workers) || g.workers[s.Worker].StartedAtMillis != s.StartedAtMillis ||
			len(s.Rejections) != len(g.plans)*len(g.products) || len(s.RejectionsAtMillis) != len(s.Rejections) {
			continue // what started anew since is another process, cold, and keeps what is known of that
		}
		w := &g.workers[s.Worker]
		w.pace, w.paced, w.load, w.told, w.heard = s.ResponseMillis, s.ResponseAtMillis, s.ReportedLoad,
			s.ReportedLoadAtMillis, s.HeardAtMillis
		w.distrust, w.full, w.coldAt, w.coldDebt = mark{s.Suspicion, s.SuspicionAtMillis}, s.Overloaded,
			s.SlowStartAtMillis, s.SlowStartDebtUnits
		clear(w.turned)
		for i := range s.Rejections {
			if s.Rejections[i] != 0 {
				g.marks(w)[i] = mark{s.Rejections[i], s.RejectionsAtMillis[i]}
			}
		}
		g.noted(w)
	}
	for i, p := range e.Peers {
		g.peers[i] = peer{p.HeardAtMillis, p.ReportedAtMillis, p.ReportDueSinceMillis, p.ReportsHeardAtMillis,
			p.Silent, p.Lost, p.LastReports}
	}
	g.muted()
	for _, k := range e.Customers {
		if k.Plan < 0 || k.Plan >= len(g.plans) || k.SetSize < 0 || k.SetSize > g.charter.n || k.FirstGateway < 0 ||
			k.FirstGateway >= g.charter.n {
			continue
		}
		if _, known := g.byKey[uint32(k.ID)]; known {
			continue
		}
		c := &g.accounts[g.open(k.ID, k.Plan)]
		c.n, c.first, c.txns, c.holding, c.level, c.whole = k.SetSize, k.FirstGateway, k.Requests, k.SilentPeers,
			k.ShareTokens, k.QuotaTokens
		c.filled, c.others, c.flow, c.held, c.heard = k.FilledAtMillis, k.PeerDemand, k.PeerSpentUnits,
			k.SilentPeerDemand, k.PeerDemandAtMillis
		c.demand, c.lately, c.seen, c.coolSince = k.OwnDemand, k.RecentDemand, k.LastRequestAtMillis,
			k.CoolSinceMillis
		c.ceilingAt, c.unsaid, c.said, c.saidAt = k.RateLimitFullAtMillis, k.UnreportedUnits, k.ReportedDemand,
			k.ReportedAtMillis
		c.known, c.hot, c.lent, c.out, c.lag, c.dealt = k.PreviousReportedDemand, k.Hot, k.InFlight, k.InFlight,
			k.UncollectedRepayment, k.CreditAtMillis
		if c.n == 0 {
			g.heardOnly++
		}
		g.reshare(c)
	}
	g.list()
}

// Alone tells that the predecessor has ended: none of its submissions is out any more.
func (g *Engine) PredecessorEnded() {
	for i := range g.accounts {
		c := &g.accounts[i]
		c.out, c.lent = c.out-c.lent, 0
	}
}

// Residue is what a former life of this gatekeeper has left that did not end in peace.
type CrashState struct {
	RateLimitBaseMillis              float64 // ceilings of all other customers are taken as spent at this time
	RateLimits                       []SpentRateLimit
	Window, Pressure, ResponseMillis float64 // nought where they are not known, or too old to go by
}

// Spent says when a customer's slice of its ceiling is full again.
type SpentRateLimit struct {
	Customer     uint64
	Plan         int
	FullAtMillis float64
}

// Remember takes a former life's residue, before the first txn. What it does not know, or what does not fit
// this charter, is as after any start.
func (g *Engine) RestoreCrashState(r CrashState) {
	g.base = math.Min(r.RateLimitBaseMillis, g.base)
	for _, s := range r.RateLimits {
		if _, known := g.byKey[uint32(s.Customer)]; known || s.Plan < 0 || s.Plan >= len(g.plans) ||
			g.heardOnly >= mostHeard {
			g.base = math.Max(g.base, s.FullAtMillis) // later than true, for all that are not known
			continue
		}
		g.accounts[g.open(s.Customer, s.Plan)].ceilingAt = s.FullAtMillis
		g.heardOnly++ // its first txn fills the rest in
	}
	if r.Window > 0 && r.ResponseMillis > 0 && r.Pressure >= 0 {
		g.window, g.press, g.pace = math.Max(g.window, r.Window), r.Pressure, r.ResponseMillis
	}
}

// Pressure tells how pressed the gatekeeper is, as a residue has it.
func (g *Engine) Congestion() (window, press, pace float64) { return g.window, g.press, g.pace }

// Residue gives what is spent of ceilings, for a life after this one.
func (g *Engine) CrashState() (base float64, all []SpentRateLimit) {
	for i := range g.accounts {
		c := &g.accounts[i]
		if full := g.full(c); c.live && full > g.now {
			all = append(all, SpentRateLimit{c.customer, c.plan, full})
		}
	}
	return g.base, all
}

// Resize tells that there are so many gatekeepers from now on.
func (g *Engine) SetGatewayCount(n int) {
	if c := g.signed; n != g.charter.n && n > c.GatewayIndex {
		c.GatewayCount = n
		g.Reconfigure(c)
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
func (g *Engine) Reconfigure(c Settings) bool {
	n := max(c.GatewayCount, 1)
	if c.GatewayIndex != g.charter.me || n <= c.GatewayIndex || len(c.Plans) != len(g.plans) ||
		len(c.Products) != len(g.products) {
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
		f.plans[i].narrow(&c, c.Plans[i].WithheldFraction)
		f.plans[i].recorded = lesser(f.plans[i].ceilRate, g.first[i].RateLimitPerSecond/1000)
		g.rebase(&f.plans[i], told.Plans[i], c.Plans[i])
	}
	if c.QuotaWithoutGossip { // what would be told of demand is not what is asked
		f.charter.talks, f.charter.tellAt = false, 0
	}
	// What the others have spent in between is not known, unless all of it is as after a start.
	unknown := (told.QuotaWithoutGossip || c.QuotaWithoutGossip) && !g.fresh
	switch {
	case c.QuotaWithoutGossip && !told.QuotaWithoutGossip:
		g.fresh = len(g.byKey) == 0
	case !c.QuotaWithoutGossip && told.QuotaWithoutGossip && !g.fresh:
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
func (p *plan) narrow(c *Settings, withheld float64) {
	p.ceilDepth *= 1 - withheld
	if withheld < 1 { // one that is shut still fills
		p.ceilRate *= 1 - withheld
	}
	if c.QuotaWithoutGossip {
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
func (g *Engine) rebase(p *plan, from, to Plan) {
	had := from.RateLimitBurst
	if from.RateLimitPerSecond <= 0 {
		had = 0
	}
	if to.RateLimitPerSecond > 0 && to.RateLimitBurst > had {
		g.base = math.Max(g.base, g.now-had/to.RateLimitPerSecond*1000)
	}
}

// respent is the moment at which a customer's slice of a ceiling that has changed is full again.
func (g *Engine) respent(a *account, was *plan, from, to Plan) float64 {
	p := &g.plans[a.plan]
	if to.RateLimitPerSecond <= 0 {
		return a.ceilingAt
	}
	units := to.RateLimitBurst
	if from.RateLimitPerSecond > 0 {
		spent := math.Max(a.ceilingAt-g.now, 0) * was.ceilRate
		units = math.Min(spent+math.Max(to.RateLimitBurst-from.RateLimitBurst, 0), to.RateLimitBurst)
	}
	if was.shut() && a.n > 0 { // it may have been opened meanwhile, and then has not been taken as spent
		units = math.Max(units, to.RateLimitBurst-math.Max(g.now-g.base, 0)*to.RateLimitPerSecond/1000)
	}
	return g.now + units/p.ceilRate
}

// Recall tells that submission n of a txn, the newest, never began: what it was decided by had run out. The
// txn is decided on anew, the first time as if it had just come; what it took stays taken. It is false where
// that can't be, and the submission has Ended as NotSent.
func (g *Engine) RetractAttempt(id uint64, n int) bool {
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
func (g *Engine) PeerRestarted(from int) {
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
			c.others = math.Max(c.others-r.DemandPerSecond/1000*math.Exp((p.heard-g.now)/g.plans[c.plan].memory), 0)
			g.reshare(c)
		}
	}
	p.last = p.last[:0]
}
