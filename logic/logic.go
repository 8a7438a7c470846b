// Package logic decides what a gatekeeper does with each txn: whether its customer's quota lets it in,
// which worker gets it, how long to wait, whether to submit again, and which final answer it gets.
//
// To use it: New with the Charter, then Clock before the inputs of a moment, then any of Roster, Take,
// Ended, Left and Hear, and then Next until it reports no more. Inputs only update what is known; every
// decision comes out of Next. A Gatekeeper is not safe for concurrent use and shares nothing with others.
// Its plain types are in iface.go, what it keeps in state.go; the mechanism, and each departure from it
// with its condition, in docs/design.md.
package logic

import (
	"math"
	"math/rand"
)

const (
	// The quota mechanism.
	demandMemory = 1000.0  // ms; the estimate is smoothed over one second, as the design says
	alpha        = 0.5     // share of rate/N that a cold customer runs at
	beta         = 0.05    // part of the rate that is kept as floors
	hotAt        = 0.8     // of the cold slice; own demand above it turns a customer hot
	period       = 400.0   // ms between reports; a quarter of the 1 s memory loses little of a jump
	cooldown     = 5000.0  // ms under the cold slice until a customer is cold again, or idle until dropped
	suspicion    = 6000.0  // ms of silence until a peer is suspected
	hold         = 10000.0 // ms after that during which its last demand still counts
	toldFor      = 3.5     // periods without a word from a peer that owes one until it is unheard
	hearsay      = 1.5     // periods in which peers may have spent unheard: one, its jitter and half again
	alike        = 3       // peers that are taken to see the same burst as this gatekeeper, at most
	flowMemory   = 5000.0  // ms over which what peers send on is averaged; several txns of a small quota
	lapse        = 2.0     // periods without a message after which talk with a peer starts anew
	tellBudget   = 0.95    // of the peers' intake that reports may fill; the rest is for jitter
	promptAt     = 8       // gatekeepers of a set up to which what is sent on is told at once, not each period
	promptPart   = 0.1     // of what reports may fill, for that
	tellMost     = 64.0    // messages of that in a row; a burst of a few customers
	soon         = 500.0   // ms in which peers may spend unheard where they tell at once: the way, and a loss
	mostHeard    = 4096    // customers known from peers alone; bounds what messages can make us keep

	fewPeers   = 8      // gatekeepers up to which a slice under one txn still fills in time
	freshNews  = 2.0    // periods; a burst that lasts so long is told of while it is used up
	longMemory = 5000.0 // ms; the longest that demand is smoothed over for a plan's burst
	firstWords = 0.1    // of the first period, taken to have passed at a start
	outStep    = 0.05   // submissions; the fineness of how many are to be out
	outSteps   = 800.0  // of these at most; a wide limit takes coarser ones, so that a start is quick

	// Workers.
	distrustFade = 3000.0  // ms; about what a restart or a short jam lasts
	turnedFade   = 15000.0 // ms; the same for a worker that turns one kind of txn away: it is seen rarely
	turnedAt     = 0.5     // of a mark; above it a worker is held to turn that kind of txn away
	rarely       = 4.0     // how much heavier a failure weighs for each fade between visits to a worker
	mostly       = 0.5     // of the workers that take a sort of txn, for its answers to tell of the fleet
	distrustMost = 12.0    // so that a worker is tried again within about three fades
	distrusted   = 1.0     // distrust above which a draw is not good enough and more workers are looked at
	reach        = 25.0    // gatekeepers that draw a worker, on average, at least; their chance evens out
	widest       = 16      // workers looked at when two draws are not good enough; all of a small fleet
	paceGain     = 0.1     // weight of the newest answer in a worker's pace
	paceFade     = 15000.0 // ms in which a worker's pace goes back to its kind's, as slow spells last
	loadSays     = 0.25    // of the cost, for a report of twice the usual load; it is late and noisy
	loadFade     = 1000.0  // ms; a report of load tells of some answers' time
	fullest      = 0.9     // of the cores; more in use tells no more of what is in hand
	fleetGain    = 0.025   // the same in the fleet's pace, which has many more answers
	patience     = 0.35    // of the SLA time; a worker must have said nothing for so long to count as silent
	crowded      = 0.25    // of the SLA time, or of the time left; after a slower draw more are looked at
	quiet        = 10.0    // usual answers that a silent worker owes in sum before its txns are moved
	overdue      = 8.0     // usual answers; a txn out for so long at a worker that goes on is long, or astray
	astrayFade   = 10000.0 // ms over which it counts what became of such txns
	lost         = 5.0     // usual answers; a txn silent or timed out after them is its worker's doing
	spareAt      = 0.5     // of the window; under it capacity counts as spare for txns beyond a quota
	spareUse     = 0.4     // of slaUse; and only while answers are as quick as this
	stopped      = 100.0   // ms that a wake comes late if the gatekeeper itself stood still; many beats
	surgeMost    = 10.0    // windows of room more after standing still; a stall of one or two SLA times
	surgeFade    = 300.0   // ms; two usual answers
	margin       = 1.0     // ms before its expiry at which a txn gets its final answer rather than a submission
	beat         = 20.0    // ms between looks at waiting txns; small against any SLA time
	calmBeat     = 100.0   // ms between them while none has waited for long; a look wakes an idle process

	// Workers that have just started.
	coldShare  = 0.5    // of what it bears, that all gatekeepers' turns come to with the warm ones at their most
	coldBlind  = 1000.0 // ms between units to a cold worker for all gatekeepers while no warm one has been seen
	refMemory  = 5000.0 // ms over which the work of warm workers is averaged
	refLeast   = 500.0  // ms of watching that the first averages are at least taken over
	warmMargin = 1.1    // the stated warm-up is stretched by this before a worker counts as warm

	// Pressure.
	slaUse     = 0.25  // of the SLA time, more where late answers earn; slower ones on average shrink the window
	pressGain  = 0.08  // weight of the newest answer in the pressure
	usedAt     = 0.7   // of the window; it grows only while more than this is in use
	leap       = 0.2   // growth of the window for each answer while the pressure is under eager; less if small
	eager      = 0.5   // of slaUse
	growth     = 1.0   // growth over one window's worth of answers otherwise
	leastDepth = 1.5   // txns in hand at each worker, by all gatekeepers, that the window starts at and keeps,
	leastSwing = 2.5   // and standard deviations of a gatekeeper's part above that: chance does not add up
	leastSum   = 2.0   // but no more of it: over all gatekeepers of a large set it adds up after all
	shedSpan   = 0.4   // the least valuable txns see a window smaller by this, where only the whole counts
	evenly     = 2.5   // how fast that falls with the worst plan's part of what counts
	lateWorth  = 2.0   // how much slower answers may get, in parts of slaUse, for each part that late ones earn
	mostCut    = 0.7   // the window is never cut below this part of it at once
	cutPause   = 150.0 // ms between cuts of the window; an answer's delay is the loop's
	tightAt    = 3.5   // usual answers; a txn whose client waits less is tight
	tightWorth = 0.65  // of a plan's tight txns settled in time; under it they waste more than they bring
	tightTry   = 0.1   // of them is tried all the same, to see when that changes
	tightGain  = 0.1   // weight of the newest
	hopeless   = 1.0   // usual answers; a txn whose client waits less is not worth a worker's time
	adviseBusy = 0.25  // of the SLA time; when to return after a decline under pressure

	// What the host of sockets goes by.
	IdleUse       = 0.5      // of the worker's idle limit; a connection idle for longer is dropped
	SpareFiles    = 16       // descriptors for all but clients and workers: a dozen, with the runtime's own
	ClientPart    = 0.6      // of the others; connections of clients, usual ones beside as many silent ones
	WorkerPart    = 0.4      // of the others; connections to workers, busy and idle
	MemoryPart    = 0.6      // of the memory; the runtime's soft limit, as files and the kernel's part count too
	GarbagePart   = 100      // per cent; a heap of a few MB levels off in seconds, at little work
	WholeTxn      = 2500.0   // ms for a client to send a head; honest ones take 2 s, it is owed a word in 3
	BodyPause     = 2000.0   // ms that a body or a long answer may pause, or be held up by who takes it
	LeastRate     = 16.0     // bytes a ms that a body comes at, at least, once it is long; honest ones give 64
	KernelBytes   = 64 << 10 // of it that the kernel may hold for one who takes it slowly; 1 s of the slowest
	PassBytes     = 16 << 10 // of a long body or answer in hand; a handful of the network's pieces
	IdleClient    = 5000.0   // ms until the place of a client that asks nothing is freed; over pauses in use
	IdleLong      = 2000.0   // ms without a txn after which a client's connection may be ended for another's
	Unfinished    = 300.0    // ms without a byte after which so may one that has sent part of a txn
	Unproven      = 100.0    // ms after which so may one that has sent no whole txn yet; usual ones do at once
	CrowdedAt     = 0.4      // of clients' places; above it connections end with their first answer
	LongestWait   = 3.6e6    // ms that a client may say it waits; more is no time to reckon with
	LongestMark   = 64       // bytes of a txn's mark; those in use have 16
	Linger        = 500.0    // ms in which a client that still sends may take the word that ends its connection
	LingerBytes   = 1 << 20  // that are read from it and dropped meanwhile; what is in flight when it hears
	AnswerPause   = 100.0    // ms that an answer may pause; whole ones of usual workers come within 20
	MostInterim   = 8        // interim answers ahead of one; more are no answer
	AcceptAgain   = 10.0     // ms until the next try to take a connection after one has failed
	AcceptNow     = 1.0      // ms that an accept takes at most where a connection waits for it
	WatchQuiet    = 2800.0   // ms for a watch to say something: it does each 2 s, and one word may be late
	WatchHead     = 1400.0   // ms for an agent at hand to answer; behind a silence two silent ones fit WatchDue
	WatchDue      = 6000.0   // ms after a silence or an end: what was missed counts as told
	WatchMoved    = 4000.0   // the same after a move to another discovery
	WatchAnswer   = 2200.0   // ms to an answer: 2 s in turn where lists are asked for, the way, and 100 spare
	FirstWord     = 50.0     // ms at a start for the list, where it is pushed: it is at hand, and txns may wait
	ListPiece     = 500      // entries of a long list taken in one go; at 110,000 workers txns wait 1 ms for it
	PieceApart    = 0.1      // ms between two of them; who waits for the lock would else lose it to the next
	LongestList   = 32 << 20 // bytes of a list in the watch; two and a half times that of 110,000 workers
	LongestEntry  = 16 << 10 // of one worker in it; usual ones have 124
	MostWorkers   = 200000   // in a list; 22 MB beside the texts of their names
	WatchAgain    = 100.0    // ms until the watch is opened anew; news must not wait long
	WatchSway     = 0.1      // of later pauses, left to chance; more makes more calls, which keep discovery down
	WatchEach     = 25.0     // ms of that for each gatekeeper that may ask at the same time; a call takes some
	WatchLonger   = 8.0      // times that at most; it doubles with each try that brings nothing
	OperatorCalls = 16       // operators' connections at once; silent ones give way
	OperatorBytes = 4096     // of an operator's call; head and body
	OperatorWait  = 800.0    // ms for a call to come whole, and for its answer to be taken; due in 1 s
	FiguresEach   = 150.0    // ms between looks at the module for operators' figures; they may be 500 ms old
	DrainAsked    = 300.0    // ms that connections go on coming after /up has said no; they come for 200
	DrainDone     = 1500.0   // ms after which a drain has ended the last idle connection; it has 4 s
	AcceptOn      = 450.0    // ms after the order to stop in which new connections are served; they come for 400
	StopIdle      = 200.0    // ms after that until all idle ones are ended; what comes after 700 may be lost
	StopLongest   = 3000.0   // ms of the longest wait of clients, at most, that the platform gives a stop,
	StopAll       = 500.0    // and ms beside it until all is given up: SIGKILL comes at 700, a look takes 100
)

// New starts a gatekeeper that knows nothing but its charter. Same seed and inputs, same decisions.
func New(c Charter, seed int64) *Gatekeeper {
	g := &Gatekeeper{rng: rand.New(rand.NewSource(seed)), byID: map[uint64]int32{}, byKey: map[uint32]int32{},
		beatAt: -1, tellPeer: -1, signed: c}
	n := max(c.Gatekeepers, 1)
	g.peers, g.mute, g.owed = make([]peer, n), make([]int, 2*n+1), make([]int, 2*n+1)
	g.charter = terms{me: c.Me, n: n, maxSubs: max(c.MaxSubmissions, 1), perTell: c.ReportsPerTell,
		overlap: c.MayOverlap, withdraw: c.MayWithdraw, advise: c.MayAdvise, maxAdvice: c.MaxAdvice,
		largest: math.Max(c.LargestUnits, 1), period: period, coldFrom: c.ColdFrom,
		warmUp: c.WarmUp * warmMargin, loadTold: c.LoadTold, turnFor: c.TipAfter, coldPart: 1,
		talks: c.MayTell && n > 1 && c.ReportsPerTell > 0}
	if c.Tips > 0 { // as far as the settings say what is too much
		g.charter.coldPart = coldShare * c.Tips
	}
	g.charter.tells, g.charter.cooldown = math.MaxInt16, cooldown
	if c.PeerInPerS > 0 { // what all peers send in a period must fit the intake
		perMs := c.PeerInPerS * tellBudget / 1000 / float64(max(n-1, 1))
		if n > promptAt && g.charter.talks { // fewer hear of all that soon as it is
			g.charter.tellAt = promptPart * perMs * float64(n-1)
			perMs *= 1 - promptPart
		}
		g.charter.period = math.Max(period, 1/perMs)
		g.charter.tells = int(g.charter.period*perMs + 1e-9)
		g.charter.cooldown = math.Max(cooldown, toldFor*g.charter.period) // customers stay hot between two words
	}
	var dearest, slowest float64
	for _, d := range c.Products {
		slowest = math.Max(slowest, d.SLA)
	}
	for _, p := range c.Plans {
		q := plan{rate: p.Rate / 1000, ceilRate: p.CeilingRate / 1000, ceilDepth: p.CeilingDepth, open: p.Open,
			excess: p.ExcessShare > p.ExcessFee, largest: g.charter.largest, memory: demandMemory, tight: 1}
		switch {
		case p.Rate > 0:
			q.burst = p.Burst / q.rate
		case p.Open > 0:
			q.out, q.stay, q.largest = mostOut(p), slaUse*slowest, 1
			q.restate()
		}
		if n > fewPeers && q.burst < freshNews*g.charter.period && q.rate*q.burst*alpha < q.largest*float64(n) {
			q.sparse, q.memory = true, max(demandMemory, g.charter.period, min(q.burst, longMemory))
		}
		// What a peer reports fades between its reports; this makes up for it on average.
		q.regain = g.charter.period / q.memory / (1 - math.Exp(-g.charter.period/q.memory))
		g.plans = append(g.plans, q)
		for _, d := range c.Products {
			dearest = math.Max(dearest, d.Value*p.Factor)
		}
	}
	span := shedSpan * math.Max(0, 1-evenly*c.WorstPlan/math.Max(c.WorstPlan+c.Whole, 1e-9))
	g.charter.slack = 1
	g.charter.calm = calmBeat // a txn that comes after a look can't be found silent sooner than patience allows
	for _, d := range c.Products {
		g.charter.calm = math.Max(math.Min(g.charter.calm, patience*d.SLA), beat)
		g.products = append(g.products, product{sla: d.SLA, window: d.Window, repeat: d.Repeat, group: d.Group})
		g.charter.slack += lateWorth * d.LateShare / float64(len(c.Products))
		row := make([]float64, len(c.Plans))
		for i, p := range c.Plans {
			row[i] = 1
			if dearest > 0 {
				row[i] = 1 - span*(1-d.Value*p.Factor/dearest)
			}
		}
		g.depth = append(g.depth, row)
	}
	g.outOf, g.openTo = make([]int, len(c.Plans)*len(c.Products)), make([]float64, len(c.Plans)*len(c.Products))
	return g
}

// WatchAfter is the pause before the watch is opened, ms, after so many tries in a row that cost discovery
// something in vain, by so many gatekeepers that may ask at once (none where lists are pushed), where what it
// has to tell counts as told in due ms. Chance is from 0 to 1. Guards against a fleet that asks as one.
func WatchAfter(tries, askers int, due, chance float64) float64 {
	most, each, least := max(due-WatchAnswer, 0), WatchEach*float64(askers), WatchAgain/2*float64(min(tries, 1))
	switch {
	case askers == 0: // it costs nobody anything, and what is missed counts as told at once
		return least * (1 + chance)
	case tries < 2:
		return max(min(each, most)*chance, least)
	}
	each *= min(math.Pow(2, float64(tries-1)), WatchLonger)
	return max(min(each, most), WatchAgain) * (1 - WatchSway*(1-chance))
}

// WatchSilent is how long a watch that has spoken may say nothing, ms. The askers spread in it, not after it.
func WatchSilent(askers int, chance float64) float64 {
	return WatchQuiet + WatchAfter(0, askers, WatchDue-WatchQuiet, chance)
}

// Clock sets the time, in ms, of the inputs and decisions that follow.
func (g *Gatekeeper) Clock(now float64) {
	if !g.begun {
		g.begun, g.started, g.base, g.now, g.warmAt = true, now, now, now, now
		g.nextTell = now + g.charter.period*g.rng.Float64()
	}
	// Guards against this gatekeeper itself being stopped for a while: what it finds then says nothing of how
	// long workers took. All that came meanwhile comes at once: it gets the room that would have been used in
	// turns, for a while. Where many stand still at the same time, that presses the fleet.
	if gap := now - g.wakeAt; g.wakeAt > 0 && gap > stopped {
		g.thawed = now
		g.surge = g.window * math.Min(gap/math.Max(g.pace, 1), surgeMost)
	}
	g.now = math.Max(g.now, now)
	if g.wakeAt <= g.now {
		g.wakeAt = 0
	}
}

// Roster updates the list of workers. Unless it is partial, workers that it does not name are gone.
func (g *Gatekeeper) Roster(list []Posting, partial bool) {
	how := g.begins(list, partial)
	for _, p := range list {
		w := g.posted(p, how)
		if p.Since != w.Since || w.Worker != p.Worker {
			// A fresh process: what its former life, and ours, sent it must be taken as spent. Where each of many
			// gatekeepers may send it one txn in minutes, chance spreads their turns from the start on.
			w.coldAt, w.coldDebt = g.now, g.rng.Float64()*g.charter.middling()
			w.distrust.score, w.heard = 0, g.now
			clear(w.turned)
		}
		w.Posting, w.listed = p, p.Active
		g.relist(p.Worker, how)
	}
	g.lists(how)
	if g.window == 0 {
		g.window = g.leastWindow()
	}
}

// Take accepts a txn. Its final answer comes out of Next, at the latest at its expiry.
func (g *Gatekeeper) Take(a Arrival) {
	slot, ai := place(&g.txns, &g.free), g.account(a)
	t := &g.txns[slot]
	*t = txn{id: a.ID, acct: ai, product: a.Product, plan: a.Plan, units: a.Units,
		expiry: g.now + a.Left, coming: a.Streams, subs: t.subs[:0], life: a.Clears, live: true}
	g.byID[a.ID] = slot
	g.due, g.nextBeat = append(g.due, slot), math.Min(g.nextBeat, t.expiry)
	c, p := &g.accounts[ai], &g.plans[a.Plan]
	g.fill(c)
	t.draws = p.draw(a.Units)
	if g.sparse(c) {
		g.credit(c, t.draws)
	}
	g.asked(c, t.draws)
	g.reshare(c)
}

// Ended tells how submission n of a txn ended, and whether that closed the txn, now or earlier.
func (g *Gatekeeper) Ended(id uint64, n int, o Outcome, took float64, closed bool) {
	slot, ok := g.byID[id]
	if !ok || n < 0 || n >= len(g.txns[slot].subs) || !g.txns[slot].subs[n].out {
		return
	}
	t := &g.txns[slot]
	s := &t.subs[n]
	w, p := g.back(t, s), &g.plans[t.plan]
	if p.out > 0 && o != NotSent {
		p.stay += fleetGain * (took - p.stay)
	}
	if t.tight && o == Settled {
		p.tight += tightGain * (1 - p.tight)
	} else if t.tight && o == TimedOut {
		p.tight -= tightGain * p.tight
	}
	sla := math.Max(g.products[t.product].sla, 1)
	if late := took > overdue*math.Max(g.pace, 1); late && o == Settled {
		g.long.add(1, g.now, astrayFade)
	} else if late && o == TimedOut && w.heard >= s.sent {
		g.astray.add(1, g.now, astrayFade)
	}
	if o <= Full || o == NoRoute || o == Cut {
		w.heard = g.now
	}
	switch o {
	case Settled:
		if s.sent < g.thawed {
			break
		}
		g.timed(w, took)
		g.earn(w, t.units)
		if g.openTo[g.sort(t)] > mostly { // else it is those few workers that are pressed
			g.pressed(took / sla / g.charter.slack)
		}
	case Fault, Cut:
		g.doubt(w, took)
		g.risk(t, s)
	case NoRoute:
		g.doubt(w, took)
	case Full:
		if g.turned(w, t); w.full {
			g.doubt(w, took)
			g.pressed(1)
		}
	case TimedOut:
		if !s.moved {
			g.doubt(w, took)
			if took < lost*g.pace { // where tries are short, late answers are never seen
				g.pressed(1)
			}
		}
		g.risk(t, s)
	case Withdrawn:
		g.risk(t, s)
	}
	if closed && !t.answered {
		t.answered = true
		g.tally.Final[BySettled]++
	}
	g.due = append(g.due, slot)
}

// turned notes that a worker turned a txn away as full. It counts as full for all only once it has done so to
// more than one plan and product, as far as there are more. Guards against workers that turn away one of them
// though they have room. A plan turned away by a part of the workers gets the rest's part of the window.
func (g *Gatekeeper) turned(w *worker, t *txn) {
	g.marks(w)[g.sort(t)].add(1, g.now, turnedFade)
	plan, product := len(g.plans) == 1, len(g.products) == 1
	for i := range w.turned {
		if g.turnsAway(w, i) {
			plan = plan || i/len(g.products) != t.plan
			product = product || i%len(g.products) != t.product
		}
	}
	w.full = plan && product
}

// turnsAway tells whether a worker is held to turn a sort of txn away.
func (g *Gatekeeper) turnsAway(w *worker, sort int) bool {
	return w.turned != nil && w.turned[sort].at(g.now, turnedFade) > turnedAt
}

// Hear takes a peer's reports. A message says nought of the customers that it does not name.
func (g *Gatekeeper) Hear(from int, reports []Report) {
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
		d := (r.Demand - r.Known) / 1000 // what is known of it is in the sum already
		if !(r.Demand >= 0) || math.IsInf(d, 0) || !(r.Known >= 0) || !(r.Spent >= 0) ||
			r.Plan < 0 || r.Plan >= len(g.plans) {
			continue
		}
		p.spoke = g.now
		p.says(r)
		ai, ok := g.byKey[uint32(r.Customer)]
		if !ok {
			if r.Demand == 0 || g.heardOnly >= mostHeard {
				continue
			}
			ai = g.open(r.Customer&math.MaxUint32, r.Plan)
			g.heardOnly++
		}
		c := &g.accounts[ai]
		g.fill(c)
		c.whole = math.Max(c.whole-r.Spent, 0)
		c.flow += r.Spent
		c.others = math.Max(c.others+d, 0)
		if r.Demand > 0 {
			c.heard = g.now
			if !c.hot {
				c.hot, c.coolSince = true, g.now
			}
		}
		g.reshare(c)
	}
}

// Next gives the next decision, or none.
func (g *Gatekeeper) Next() (Decision, bool) {
	for g.head < len(g.due) {
		if d, ok := g.step(g.due[g.head]); ok {
			return d, true
		}
		g.head++
	}
	g.due, g.head = g.due[:0], 0
	if d, ok := g.promptly(); ok {
		return d, true
	}
	if g.now >= g.nextBeat && len(g.byID) > 0 && g.beatAt < 0 {
		g.beatAt, g.nextBeat = 0, g.now+g.charter.calm
	}
	for g.beatAt >= 0 && g.beatAt < len(g.txns) {
		slot := int32(g.beatAt)
		g.watch(&g.txns[slot])
		if d, ok := g.step(slot); ok {
			return d, true
		}
		g.beatAt++
	}
	g.beatAt = -1
	if g.now >= g.nextTell && g.tellPeer < 0 {
		g.nextTell = g.now + g.charter.period
		g.sweep()
		if g.charter.talks && !g.retired {
			g.tellPeer, g.told, g.looked = 0, 0, 0
			g.newsFrom = g.rng.Intn(len(g.news) + 1)
		}
	}
	for g.tellPeer >= 0 {
		if d, ok := g.report(); ok {
			return d, true
		}
		g.tellPeer, g.told, g.looked = g.tellPeer+1, 0, 0
		if g.tellPeer == g.charter.n {
			g.tellPeer = -1
			for _, i := range g.news {
				g.accounts[i].unsaid = 0
			}
		}
	}
	return g.wake()
}

// watch looks at a waiting txn for a silent worker.
func (g *Gatekeeper) watch(t *txn) {
	if !t.live || t.answered || t.coming {
		return
	}
	p := &g.products[t.product]
	g.nextBeat = math.Min(g.nextBeat, math.Max(t.expiry, g.now+margin)) // beat may be beyond it
	for i := range t.subs {
		s := &t.subs[i]
		if !s.out || s.moved {
			continue
		}
		w, from := &g.workers[s.worker], math.Max(s.sent, g.thawed)
		if w.heard >= s.sent {
			// Guards against answers that get lost though their worker is well. A txn that is only long would be
			// long again, so it acts only while more of such age were never answered than late, once a txn.
			due := from + math.Max(patience*p.sla, overdue*math.Max(g.pace, w.pace))
			switch loses := g.astray.at(g.now, astrayFade) > g.long.at(g.now, astrayFade)+1; {
			case loses && g.now >= due && len(t.subs) == 1:
				s.moved, t.another = true, true
			case loses && g.now < due:
				g.nextBeat = math.Min(g.nextBeat, math.Max(due, g.now+beat))
			}
			continue
		}
		g.nextBeat = math.Min(g.nextBeat, math.Max(from+patience*p.sla, g.now+beat))
		age := g.now - from
		owes := age * float64(w.inFlight) / math.Max(g.pace, 1)
		if age < patience*p.sla {
			continue
		}
		// Guards against workers that take txns and answer none: a hang, a lost hall, a cut link. The place of
		// such a txn is free for others well before it is moved, as moving one that is only slow wastes its work.
		if owes > lost {
			g.seat(s, false)
		}
		if !s.placed && !s.moved && owes > quiet {
			s.moved, t.another = true, true
			g.doubt(w, age)
		}
	}
}

// step gives the next decision on one txn, or none.
func (g *Gatekeeper) step(slot int32) (Decision, bool) {
	t := &g.txns[slot]
	if !t.live || t.waits(g.now) {
		return Decision{}, false
	}
	if t.answered {
		if d, ok := g.withdraw(t); ok {
			return d, true
		}
		if t.out == 0 {
			g.unkeep(t)
			g.unrefer(t.subs)
			delete(g.byID, t.id)
			t.live = false
			g.free = append(g.free, slot)
		}
		return Decision{}, false
	}
	if t.out > 0 && (t.coming || g.now < t.expiry) {
		if !t.another {
			return Decision{}, false
		}
		t.another = false
		again := t.expiry-g.now > margin && g.now < g.mayRepeat(t, true)
		if again && !g.charter.overlap {
			return g.withdraw(t)
		}
		if again && float64(g.inHand) < g.room() {
			if w := g.choose(t); w >= 0 {
				return g.submit(t, w), true
			}
		}
		return Decision{}, false
	}
	if t.expiry-g.now <= margin && !t.coming {
		return g.giveUp(t, t.late(), 0), true
	}
	if len(t.subs) == 0 && t.pass != claimed {
		reason, wait := g.admit(t)
		if reason != BySettled {
			return g.giveUp(t, reason, wait), true
		} else if t.life > 0 {
			return g.grant(t), true
		}
	} else if g.now >= g.mayRepeat(t, false) {
		return g.giveUp(t, ByFailure, 0), true
	} else if float64(g.inHand) >= g.room() {
		return g.giveUp(t, ByPressure, adviseBusy*g.products[t.product].sla), true
	}
	w := g.choose(t)
	if w < 0 {
		return g.giveUp(t, ByNoWorker, adviseBusy*g.products[t.product].sla), true
	}
	return g.submit(t, w), true
}

// mayRepeat is until when a further submission may begin under the rule against double effects; 0 is never.
func (g *Gatekeeper) mayRepeat(t *txn, running bool) float64 {
	p := &g.products[t.product]
	switch {
	case len(t.subs) >= g.charter.maxSubs || t.poured:
		return 0
	case !t.mayRun && !running || p.repeat == InquiryLike:
		return math.Inf(1)
	case p.repeat == OnceOnly:
		return 0
	}
	from := t.bondAt
	for i := range t.subs {
		if s := &t.subs[i]; s.out && (!t.mayRun || s.sent < from) {
			from = s.sent
			break
		}
	}
	return from + p.window - beat
}

// giveUp ends a txn at once: declined where that promise holds, else voided.
func (g *Gatekeeper) giveUp(t *txn, why Reason, wait float64) Decision {
	t.answered = true
	g.tally.Final[why]++
	g.due = append(g.due, g.byID[t.id])
	p := &g.products[t.product]
	if t.out == 0 && !t.mayRun || p.repeat == InquiryLike || p.repeat == Referenced && p.group == GroupAll {
		g.tally.Declined++
		if !g.charter.advise {
			wait = 0
		}
		return Decision{Kind: Decline, Txn: t.id, Wait: math.Min(wait, g.charter.maxAdvice)}
	}
	g.tally.Voided++
	return Decision{Kind: Void, Txn: t.id}
}

func (g *Gatekeeper) submit(t *txn, wi int) Decision {
	latest := g.mayRepeat(t, t.out > 0)
	if len(t.subs) == 0 {
		g.spend(t)
	}
	w := &g.workers[wi]
	if g.warmth(w.Since) < 1 {
		w.coldAt, w.coldDebt = g.now, t.units
	}
	g.seat(g.away(t, wi), !t.coming)
	return g.order(t, wi, latest)
}

// choose draws two workers at random and takes the one that own counts favour. More are looked at only if
// neither may be used or the better one is distrusted or answers slowly.
func (g *Gatekeeper) choose(t *txn) int {
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
func (g *Gatekeeper) aperture() int {
	part := int(math.Ceil(float64(len(g.ready)) * reach / float64(g.charter.n)))
	return min(max(part, widest), len(g.ready))
}

// usable tells whether the rules let a txn go to a listed worker.
func (g *Gatekeeper) usable(t *txn, wi int) bool {
	w := &g.workers[wi]
	for i := range t.subs {
		if t.subs[i].worker == wi && (t.subs[i].out || len(g.ready) > len(t.subs)) {
			return false
		}
	}
	if g.products[t.product].repeat == Referenced && (t.mayRun || t.out > 0) {
		b := &t.bond
		for i := len(t.subs) - 1; i >= 0 && !t.mayRun; i-- {
			if t.subs[i].out {
				b = &t.subs[i]
			}
		}
		group := g.products[t.product].group
		if group == GroupZone && b.zone != w.Zone || group == GroupCell && b.cell != w.Cell {
			return false
		}
	}
	return g.warmth(w.Since) >= 1 || !g.retired && g.turn(w)
}

func (g *Gatekeeper) cost(t *txn, wi int) float64 {
	w := &g.workers[wi]
	// A report only speaks against a worker, and while it is fresh: gatekeepers that all go for the one that has
	// little to do would run as a herd, and a worker that fails fast always has.
	busier := loadSays * math.Max(w.load/math.Max(g.load, 1)-1, 0) * math.Exp((w.told-g.now)/loadFade)
	return float64(w.inFlight+1) * math.Max(g.paceOf(w), 1) * (1 + g.distrustOf(t, wi) + busier)
}

// doubt notes a failure at a worker: by one where this gatekeeper sees each worker often. Among many
// gatekeepers it would forget before it comes there again, and lose a txn each time; then the failure weighs
// as often as the distrust fades between two visits, but no more than the usual answers that it took.
func (g *Gatekeeper) doubt(w *worker, took float64) {
	visits := refMemory * float64(len(g.ready)) / math.Max(g.warmWork(), 1)
	by := math.Min(rarely*visits/distrustFade, took/math.Max(g.pace, 1))
	w.distrust.add(math.Max(by, 1), g.now, distrustFade)
	g.noted(w)
}

// warmth guesses which part of its capacity a worker has, from the stated least start and longest warm-up.
func (g *Gatekeeper) warmth(since float64) float64 {
	if since <= 0 || g.charter.warmUp <= 0 || g.now-since >= g.charter.warmUp {
		return 1
	}
	return g.charter.coldFrom + (1-g.charter.coldFrom)*math.Max(g.now-since, 0)/g.charter.warmUp
}

// turn tells whether it is this gatekeeper's turn at a worker that is not warm. Guards against turns that all
// have kept and use at once: one lasts as long as such a worker bears too much for, the next is earned anew.
func (g *Gatekeeper) turn(w *worker) bool {
	if w.coldDebt > 0 {
		w.coldDebt, w.coldAt = math.Max(w.coldDebt-(g.now-w.coldAt)*g.coldRate(w.Since), 0), g.now
	} else if g.charter.turnFor > 0 && g.now-w.coldAt > g.charter.turnFor {
		w.coldDebt, w.coldAt = g.charter.middling(), g.now
	}
	return w.coldDebt <= 0
}

// coldRate is this gatekeeper's budget for a worker that is not warm, in units a ms: what it sees a warm
// worker do, times the guessed warmth. Each gatekeeper's part of the warm load adds up to no more than a
// warm worker can do, so together they stay under the worker's present capacity whoever else is alive. What
// they did is shared by those that were warm then: by those left of a lost hall it would come to many times.
func (g *Gatekeeper) coldRate(since float64) float64 {
	if as := [...]float64{g.now, g.started, g.warmAt, g.warmEach}; as != g.coldAs {
		span := math.Max(refMemory*(1-math.Exp((g.started-g.now)/refMemory)), refLeast)
		g.coldAs, g.coldEach = as, g.warmEach*math.Exp((g.warmAt-g.now)/refMemory)/span
	}
	least := g.charter.coldFrom / (coldBlind * float64(g.charter.n))
	return math.Max(g.charter.coldPart*g.warmth(since)*g.coldEach, least)
}

// pressed takes one answer's time over its SLA time, and moves the window.
func (g *Gatekeeper) pressed(x float64) {
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
func (g *Gatekeeper) room() float64 {
	return g.window + g.surge*math.Exp((g.thawed-g.now)/surgeFade)
}

// leastWindow is what the window starts at and keeps, leastOf the same of any part. Few txns swing much, and
// no other gatekeeper can lend its room: without the allowance many decline while workers idle.
func (g *Gatekeeper) leastWindow() float64 {
	return leastOf(leastDepth * math.Max(g.able, 1) / float64(g.charter.n))
}

func leastOf(part float64) float64 {
	return part + math.Min(leastSwing*math.Sqrt(part), leastSum*part)
}

// admit decides on a txn's first submission: BySettled lets it in, else the reason and when to return.
func (g *Gatekeeper) admit(t *txn) (Reason, float64) {
	c, p := &g.accounts[t.acct], &g.plans[t.plan]
	if g.retired {
		return ByPressure, 0
	}
	room := float64(g.inHand) < g.room()*g.depth[t.product][t.plan] &&
		float64(g.outOf[g.sort(t)]) < math.Max(g.room()*g.openTo[g.sort(t)], 1)
	if p.ceilRate > 0 || p.ceilDepth > 0 {
		rate, depth := p.ceilRate/float64(c.n), p.ceilDepth/float64(c.n)
		if wait := gcraWait(c.ceilingAt, g.now, rate, depth, t.units+c.kept); wait > 0 {
			return ByCeiling, wait
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
			return ByQuota, wait
		}
	}
	if p.open > 0 && c.out >= limit {
		if t.inside = false; !(p.excess && g.spare()) {
			return ByQuota, g.pace
		}
	}
	// Guards against tries too short for the fleet: their work is done for nobody and comes again. It may hurt
	// a fast product beside very slow ones. What is not hopeless is tried where most such tries succeed.
	left := t.expiry - g.now
	t.tight = left < tightAt*g.pace
	if !room || left < hopeless*g.pace || t.tight && p.tight < tightWorth && g.rng.Float64() > tightTry {
		return ByPressure, adviseBusy * g.products[t.product].sla
	}
	return BySettled, 0
}

// spare tells whether there is capacity for txns beyond a quota: little of the window is in use, and answers
// are quick. Among many gatekeepers each has few submissions out, however pressed the fleet.
func (g *Gatekeeper) spare() bool {
	return float64(g.inHand) < spareAt*g.window && g.press < spareUse*slaUse
}

// fill brings a customer's slice, and the quota's one store as far as it is known here, up to now.
func (g *Gatekeeper) fill(c *account) {
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
func (g *Gatekeeper) roomWait(c *account, units float64) float64 {
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
func (g *Gatekeeper) sliceWait(c *account, units float64) float64 {
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
func (g *Gatekeeper) account(a Arrival) int32 {
	ai, ok := g.byKey[uint32(a.Customer)]
	if !ok {
		ai = g.open(a.Customer&math.MaxUint32, a.Plan)
	}
	c := &g.accounts[ai]
	n, first := min(max(a.SetSize, 1), g.charter.n), max(a.First, 0)%g.charter.n
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
func (g *Gatekeeper) startLevel(c *account) float64 { return g.coldSlice(c) * g.plans[c.plan].burst }

// coldSlice is what a cold customer runs at, units a ms.
func (g *Gatekeeper) coldSlice(c *account) float64 {
	return g.plans[c.plan].rate / float64(max(c.n, 1)) * alpha
}

// reshare sets a customer's share: the cold slice, or the floor and its part of the rest by demand.
func (g *Gatekeeper) reshare(c *account) {
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
func (g *Gatekeeper) total(c *account) float64 {
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
func (g *Gatekeeper) sparse(c *account) bool {
	return g.plans[c.plan].sparse && c.n > 0 && g.startLevel(c) < g.plans[c.plan].largest
}

// prompt tells whether a customer's set is so small that each txn sent on is told at once.
func (g *Gatekeeper) prompt(c *account) bool {
	return g.charter.tellAt > 0 && !g.retired && c.n > 1 && c.n <= promptAt
}

// blind tells whether news of a customer's whole store comes too late to go by.
func (g *Gatekeeper) blind(c *account) bool { return !g.prompt(c) && g.sparse(c) }

// credit puts in a sparse slice what units asked here bring it of the split, rate x (1 - beta) x own / total,
// at once and not over the memory: a gatekeeper that sees a txn in many seconds would have it too late.
func (g *Gatekeeper) credit(c *account, units float64) {
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
	best, most, step := 0.0, 0.0, math.Max(outStep, float64(p.Open)/outSteps)
	for a := step; a <= float64(p.Open); a += step {
		inside, term := 0.0, math.Exp(-a)
		for k := range p.Open { // Poisson: fewer than the limit are out
			inside, term = inside+term, term*a/float64(k+1)
		}
		if earns := a * (inside + (1-inside)*math.Min(p.ExcessShare-p.ExcessFee, 0)); earns > best {
			best, most = earns, a
		}
	}
	return most
}

// sweep looks for silent peers, turns customers hot and cold, renews their shares, gathers what is to be
// reported, and drops the idle customers.
func (g *Gatekeeper) sweep() {
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
func (g *Gatekeeper) promptly() (Decision, bool) {
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
func (g *Gatekeeper) report() (Decision, bool) {
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
	return Decision{Kind: Tell, Peer: to, Reports: g.reports}, true
}
