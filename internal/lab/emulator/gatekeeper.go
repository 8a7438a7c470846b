package emulator

import (
	"math"
	"math/rand"

	"willowdeck/internal/forecast"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/invariants"
)

// gatekeeper is one instance, through its lives.
type gatekeeper struct {
	w       *world
	num     int
	source  *rand.Rand // seeds of its lives
	brain   brain
	life    int
	up      bool
	held    bool // it stands still
	pending []func()
	cut     bool // from its peers
	txns    map[uint64]*txn
	wakeAt  float64
	told    []told               // by worker: what it knows of the list
	lender  *lender              // nil where no plan has credit
	left    *policy.HandoffState // what its former life knew, as far as it is kept
	copied  policy.HandoffState  // the newest copy of what fades
	heard   []int                // by peer: its life when it was last heard
	known   []int                // the same as the newest copy has it
	meter   *forecast.Meter
	away    streak
}

// streak is what a gatekeeper has turned away since its last submission.
type streak struct {
	since float64
	n     int
	told  bool // it counts as one that turns all away
}

// refuse notes a try that ends without a submission. One that turns all away, for so long and so many,
// counts.
func (g *gatekeeper) refuse() {
	const most, many = 4000, 15
	r := &g.away
	if r.n++; r.n == 1 {
		r.since = g.w.now
	}
	if r.n >= many && g.w.now-r.since >= most && !r.told {
		r.told = true
		g.w.res.RefuseAll++
	}
}

type told struct {
	active bool
	life   int
}

// txn is a client's try at one gatekeeper.
type txn struct {
	c       *client
	id      uint64
	until   float64
	final   bool
	out     int
	sent    int // submissions that were written: the judge knows of no others
	subs    []*submission
	product int
	came    float64
}

// submission is one copy of a txn on its way to a worker, there, or back.
type submission struct {
	t       *txn
	n       int
	sent    int // which of those that were written it is
	g       *gatekeeper
	life    int // of its gatekeeper
	worker  *worker
	wlife   int
	began   float64
	written bool
	over    bool // its gatekeeper waits no longer
	work    float64
}

// start begins a life that knows nothing but the list as it is now.
func (g *gatekeeper) start() {
	g.life++
	g.up, g.held, g.pending = true, false, nil
	g.txns, g.wakeAt = map[uint64]*txn{}, 0
	g.brain = g.w.newBrain(g.num, g.source.Int63())
	if m, ok := g.brain.(*policy.Engine); ok {
		g.lend(m)
	}
	g.told = make([]told, len(g.w.workers))
	var list []policy.Endpoint
	for i, x := range g.w.workers {
		g.told[i] = told{x.listed(), x.life}
		if !x.listed() {
			g.w.judge.Told(g.w.now, g.num, i, false)
		}
		g.w.judge.Knows(g.num, i, x.since)
		list = append(list, x.posting(true))
	}
	g.input(func(b brain) { b.UpdateEndpoints(list, false) })
	if m, ok := g.brain.(*policy.Engine); ok && g.left != nil {
		m.RestoreHandoff(g.keep(*g.left))
		m.PredecessorEnded()
		for i := range list {
			list[i].Replaced = false // else all that was kept of them would go again
		}
		m.UpdateEndpoints(list, true) // its window, where that is not kept
		if what := g.w.s.Gatekeepers.Keeps; what&KeepCopies != 0 && what&KeepQuotas == 0 {
			g.w.res.Recalled += int64(m.RestoreCheckpoint(g.copied, what&KeepReturns != 0))
		}
	}
	g.left = nil
	g.heard = make([]int, g.w.s.Gatekeepers.Count)
	copy(g.heard, g.known)
}

// copies has the gatekeeper take a copy of what fades now and then, each at its own times, as long as it
// lives.
func (g *gatekeeper) copies() {
	_, phase := math.Modf(float64(g.num) * math.Phi)
	var again func()
	again = func() {
		if m, ok := g.brain.(*policy.Engine); ok && g.up && !g.held {
			for from := m.Checkpoint(&g.copied, 0, g.w.now); from > 0; from = m.Checkpoint(&g.copied, from, g.w.now) {
			}
			g.known = append(g.known[:0], g.heard...)
		}
		g.w.in(policy.CheckpointIntervalMillis, again)
	}
	g.w.in(phase*policy.CheckpointIntervalMillis, again)
}

// period is about the time within which a newcomer first speaks to its peers, ms: 400, or what they take in.
func (s *Scenario) period() float64 {
	return math.Max(400, 1000*float64(s.Gatekeepers.Count-1)/math.Max(s.Gatekeepers.PeerInPerS, 1))
}

// What a gatekeeper may keep over its death. No real one could keep it so whole and so fresh: each is the
// most that a snapshot, or a peer that was told, could ever bring.
const (
	KeepCeilings = 1 << iota // what was spent of them
	KeepQuotas               // levels of slices and stores, demand, and what peers said
	KeepWorkers              // their standing, paces and used turns
	KeepPressure             // window, pace and pressure
	KeepCopies               // quotas as a copy has them that is up to 100 ms old: what the program does
	KeepReturns              // no knowledge: peers learn that it has returned, as instances of a host do
	KeepCold                 // used turns of workers that are not warm, alone
)

// keep is what is left of an estate as a new life begins.
func (g *gatekeeper) keep(e policy.HandoffState) policy.HandoffState {
	what := g.w.s.Gatekeepers.Keeps
	if what&KeepQuotas == 0 {
		started := g.w.clock()
		if what&KeepCeilings != 0 {
			started = e.StartedAtMillis // ceilings of customers that it does not know are full
		}
		e.StartedAtMillis, e.RateLimitBaseMillis = g.w.clock(), started
		for i := range e.Peers {
			e.Peers[i] = policy.PeerState{}
		}
		for i := range e.ShortDeadlineSuccess { // as at a start
			e.ShortDeadlineSuccess[i] = 1
		}
		e.NextReportAtMillis = g.w.clock() + g.w.s.period()*g.source.Float64()
	}
	var customers []policy.CustomerState
	for _, c := range e.Customers {
		switch {
		case what&KeepCeilings == 0 && what&KeepQuotas == 0:
			continue
		case what&KeepQuotas == 0: // as of one that is known from peers alone: its first txn fills the rest in
			c = policy.CustomerState{ID: c.ID, Plan: c.Plan, FirstGateway: c.FirstGateway,
				RateLimitFullAtMillis: c.RateLimitFullAtMillis, QuotaTokens: math.Inf(1),
				FilledAtMillis: e.AtMillis, LastRequestAtMillis: e.AtMillis, CoolSinceMillis: e.AtMillis}
		case what&KeepCeilings == 0:
			if p := g.w.s.Plans[c.Plan]; p.Ceiling > 0 { // taken as spent, as at any start
				c.RateLimitFullAtMillis = g.w.clock() + p.CeilingDepth/p.Ceiling*1000
			}
		}
		customers = append(customers, c)
	}
	e.Customers = customers
	if what&KeepWorkers == 0 {
		if e.Kinds = nil; what&KeepCold == 0 {
			e.Workers = nil
		}
		for i, s := range e.Workers { // all else as of one that has just been listed
			e.Workers[i] = policy.WorkerState{Worker: s.Worker, StartedAtMillis: s.StartedAtMillis,
				HeardAtMillis: g.w.clock(), SlowStartAtMillis: s.SlowStartAtMillis,
				SlowStartDebtUnits: s.SlowStartDebtUnits, Rejections: make([]float64, len(s.Rejections)),
				RejectionsAtMillis: make([]float64, len(s.RejectionsAtMillis))}
		}
		e.WarmWorkUnits, e.WarmWorkAtMillis = 0, e.AtMillis
	}
	if what&KeepPressure == 0 {
		e.Window, e.Pressure, e.WindowCutAtMillis, e.ResponseMillis, e.MeanWorkerLoad = 0, 0, 0, 0, 0
		e.SlowRequests, e.LostRequests = 0, 0
	}
	return e
}

// kill ends a life at once.
func (g *gatekeeper) kill() {
	if !g.up {
		return
	}
	g.up = false
	if m, ok := g.brain.(*policy.Engine); ok && g.w.s.Gatekeepers.Keeps > 0 {
		m.AdvanceTo(g.w.clock())
		e := m.HandOff()
		g.left = &e
	}
	g.w.judge.Crashed(g.num)
	for _, t := range ordered(g.txns) {
		if !t.final {
			t.final = true
			g.w.res.Crashed++
			g.w.in(g.w.s.Network.ClientMS, func() { t.c.answered(refused, 0) })
		}
	}
	g.txns = nil
}

// ordered gives txns by their numbers: a map's own order would differ from run to run.
func ordered(m map[uint64]*txn) []*txn {
	all := make([]*txn, 0, len(m))
	for _, t := range m {
		all = append(all, t)
	}
	for i := 1; i < len(all); i++ {
		for k := i; k > 0 && all[k].id < all[k-1].id; k-- {
			all[k], all[k-1] = all[k-1], all[k]
		}
	}
	return all
}

// input gives the brain one input, and carries out what it decides.
func (g *gatekeeper) input(f func(brain)) {
	if !g.up {
		return
	}
	if g.held {
		g.pending = append(g.pending, func() { g.input(f) })
		return
	}
	g.brain.AdvanceTo(g.w.clock())
	f(g.brain)
	m, lends := g.brain.(*policy.Engine)
	lends = lends && g.lender != nil
	for {
		d, ok := g.brain.NextDecision()
		if lends {
			g.lender.settle(m)
		}
		if !ok {
			return
		}
		g.carry(d)
	}
}

// hold has it stand still, until release.
func (g *gatekeeper) hold() { g.held = g.up }

func (g *gatekeeper) release() {
	g.held = false
	all := g.pending
	g.pending = nil
	for _, f := range all {
		f()
	}
}

// arrive is a txn's arrival at the machine.
func (g *gatekeeper) arrive(c *client, firstOf int, until float64) {
	w := g.w
	if !g.up {
		w.in(w.s.Network.ClientMS, func() { c.answered(refused, 0) })
		return
	}
	w.ids++
	t := &txn{c: c, id: w.ids, until: until, product: c.a.Product, came: w.now}
	g.meter.Asked(c.a.Plan, c.a.Product, c.a.Units)
	g.txns[t.id] = t
	life := g.life
	w.judge.Taken(w.now, g.num, t.id, c.a.Product, c.a.Plan, c.a.Customer, c.a.Units, until)
	w.in(until-w.now, func() { // the client's own clock, with the slack of the answer's way
		if !t.final && g.life == life && g.held {
			t.final = true // it stands still: the client goes, and is owed nothing that it could get
			w.judge.Left(t.id)
			w.res.Silent++
			g.meter.Ended(c.a.Plan, c.a.Product, forecast.Other, 0)
			c.answered(silent, 0)
			g.input(func(b brain) { b.ClientGone(t.id) })
			g.drop(t)
		}
	})
	g.input(func(b brain) {
		if t.final {
			return
		}
		b.AddRequest(policy.Request{ID: t.id, Customer: uint64(c.a.Customer), Product: c.a.Product, Plan: c.a.Plan,
			Units: c.a.Units, SetSize: w.s.spread(c.a.Plan), FirstGateway: firstOf, TimeLeftMillis: until - w.now})
	})
}

// carry carries out one decision.
func (g *gatekeeper) carry(d policy.Decision) {
	w := g.w
	switch d.Kind {
	case policy.SetTimer:
		d.AtMillis -= dawn
		if g.wakeAt > w.now && g.wakeAt <= d.AtMillis {
			return
		}
		g.wakeAt = d.AtMillis
		life := g.life
		w.in(d.AtMillis-w.now, func() {
			if g.life == life {
				if g.wakeAt <= w.now {
					g.wakeAt = 0
				}
				g.input(func(brain) {})
			}
		})
		return
	case policy.SendReports:
		g.tell(d)
		return
	}
	t := g.txns[d.RequestID]
	if t == nil {
		w.res.Stray++
		return
	}
	switch d.Kind {
	case policy.Submit:
		g.submit(t, d)
	case policy.Cancel:
		if s := t.subs[d.Attempt]; !s.over {
			g.ended(s, policy.Cancelled, invariants.MayHaveRun)
		}
	case policy.Reject:
		g.final(t, invariants.Declined, declined, d.WaitMillis)
	case policy.RejectUncertain:
		g.final(t, invariants.Voided, voided, 0)
	}
}

// tell sends a message to a peer, if it gets there.
func (g *gatekeeper) tell(d policy.Decision) {
	w := g.w
	w.res.Messages++
	to := w.gks[d.Peer]
	lost := w.net.Float64() < w.s.Network.PeerLoss
	if delay := w.draw(w.s.Network.PeerMS); !lost && !g.cut && !to.cut &&
		w.joined(w.s.hall(g.num), w.s.hall(to.num)) {
		reports, from := append([]policy.Report(nil), d.Reports...), g.num
		life := g.life
		w.in(delay, func() { to.input(func(b brain) { to.hears(b, from, life, reports) }) })
	}
}

// hears takes a peer's message.
func (g *gatekeeper) hears(b brain, from, life int, reports []policy.Report) {
	if g.w.s.Gatekeepers.Keeps&KeepReturns != 0 {
		if life < g.heard[from] {
			return
		}
		if m, ok := b.(*policy.Engine); ok && g.heard[from] > 0 && life > g.heard[from] {
			m.PeerRestarted(from)
		}
		g.heard[from] = life
	}
	b.ReceiveReports(from, reports)
}

// final gives a txn's client its answer.
func (g *gatekeeper) final(t *txn, f invariants.Final, k answerKind, wait float64) {
	g.w.judge.Answered(g.w.now, t.id, f)
	if t.final {
		return
	}
	if t.final = true; len(t.subs) == 0 {
		g.refuse()
	}
	g.meter.Ended(t.c.a.Plan, t.product, ends[k], g.w.now-t.came)
	g.w.in(g.w.draw(g.w.s.Network.ClientMS), func() { t.c.answered(k, wait) })
	g.drop(t)
}

var ends = map[answerKind]forecast.Final{settled: forecast.Settled, declined: forecast.Declined,
	voided: forecast.Voided}

// drop forgets a txn of which nothing more can come.
func (g *gatekeeper) drop(t *txn) {
	if t.final && t.out == 0 {
		delete(g.txns, t.id)
	}
}

// submit sends a submission on its way.
func (g *gatekeeper) submit(t *txn, d policy.Decision) {
	w := g.w
	x := w.workers[d.Worker]
	s := &submission{t: t, n: len(t.subs), g: g, life: g.life, worker: x, wlife: g.told[d.Worker].life,
		began: w.now,
		work:  w.s.Products[t.product].Work}
	t.subs = append(t.subs, s)
	t.out++
	g.away.n = 0
	w.in(d.WaitMillis, func() {
		if g.life == s.life && g.up && !s.over {
			proof := invariants.MayHaveRun
			if !s.written {
				proof = invariants.NeverRan
			}
			g.ended(s, policy.TimedOut, proof)
		}
	})
	w.in(w.way(g, x), func() { // its connection has come up, or not
		switch {
		case !s.over && g.life == s.life && g.up && !w.reach(g, x):
			w.in(connects, func() {
				if !s.over && g.life == s.life && g.up {
					g.ended(s, policy.ConnectFailed, invariants.NeverRan)
				}
			})
		case s.over || g.life != s.life || !g.up:
		case t.final || !w.s.blind && (!g.told[x.at].active || g.told[x.at].life != s.wlife),
			d.SendBeforeMillis > 0 && w.now >= d.SendBeforeMillis: // a baseline's decision says nothing of it
			g.ended(s, policy.NotSent, invariants.NeverRan)
		case x.life != s.wlife || x.dead:
			g.ended(s, policy.ConnectFailed, invariants.NeverRan)
		default:
			s.written, s.sent = true, t.sent
			t.sent++
			w.res.Submissions++
			w.judge.Sent(w.now, g.num, t.id, x.at)
			x.coming++
			w.in(w.way(g, x), func() { x.take(s) })
		}
	})
}

// connects is how long a gatekeeper waits for a connection that does not come up, ms, as the program does.
const connects = 250

// answer brings a worker's answer back.
func (s *submission) answer(o policy.Outcome, proof invariants.End) {
	w := s.g.w
	if !w.reach(s.g, s.worker) {
		return
	}
	w.in(w.way(s.g, s.worker), func() {
		if s.g.life == s.life && s.g.up && !s.over {
			s.g.ended(s, o, proof)
		}
	})
}

// ended tells the brain how a submission ended. The first answer of a worker settles the txn.
func (g *gatekeeper) ended(s *submission, o policy.Outcome, proof invariants.End) {
	if s.over {
		return
	}
	s.over = true
	w, t := g.w, s.t
	t.out--
	if s.written {
		w.judge.Ended(w.now, t.id, s.sent, proof)
	}
	if g.held { // what stands still learns of it later, and its client too
		g.pending = append(g.pending, func() { g.learn(s, o) })
		return
	}
	g.learn(s, o)
}

func (g *gatekeeper) learn(s *submission, o policy.Outcome) {
	t := s.t
	over := t.final
	if o == policy.Succeeded && !t.final {
		g.final(t, invariants.Settled, settled, 0)
	}
	took, closed := g.w.now-s.began, t.final
	g.meter.Answered(g.w.s.hall(s.worker.at), t.product, o, took, over)
	g.input(func(b brain) { b.AttemptEnded(t.id, s.n, o, took, closed) })
	g.drop(t)
}

// hear has the news of a worker reach the gatekeeper.
func (g *gatekeeper) hear(x *worker) {
	w, life := g.w, g.life
	w.in(w.net.Float64()*w.s.Network.ListMS, func() {
		if !g.up || g.life != life {
			return
		}
		fresh := g.told[x.at].life != x.life
		g.told[x.at] = told{x.listed(), x.life}
		w.judge.Told(w.now, g.num, x.at, x.listed())
		w.judge.Knows(g.num, x.at, x.since)
		p := x.posting(fresh)
		g.input(func(b brain) { b.UpdateEndpoints([]policy.Endpoint{p}, true) })
	})
}

// part gives so many of n, rounded up, drawn from a source of its own.
func part(of float64, n int, rng *rand.Rand) []int {
	k := int(math.Ceil(of*float64(n) - 1e-9))
	return rng.Perm(n)[:min(max(k, 0), n)]
}
