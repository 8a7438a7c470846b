// Package policy decides what a gatekeeper does with each txn: whether its customer's quota lets it in,
// which worker gets it, how long to wait, whether to submit again, and which final answer it gets.
//
// To use it: New with the Charter, then Clock before the inputs of a moment, then any of Roster, Take,
// Ended, Left and Hear, and then Next until it reports no more. Inputs only update what is known; every
// decision comes out of Next. A Gatekeeper is not safe for concurrent use and shares nothing with others.
// Its plain types are in iface.go, what it keeps in state.go; the mechanism, and each departure from it
// with its condition, in docs/design.md.
package policy

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
	WorkerIdleFraction = 0.5 // of the worker's idle limit; a connection idle for longer is dropped
	// descriptors for all but clients and workers: a dozen, with the runtime's own
	ReservedDescriptors = 16
	// of the others; connections of clients, usual ones beside as many silent ones
	ClientConnectionFraction = 0.6
	WorkerConnectionFraction = 0.4 // of the others; connections to workers, busy and idle
	// of the memory; the runtime's soft limit, as files and the kernel's part count too
	MemoryLimitFraction = 0.6
	GCTargetPercent     = 100 // per cent; a heap of a few MB levels off in seconds, at little work
	// ms for a client to send a head; honest ones take 2 s, it is owed a word in 3
	RequestHeadTimeoutMillis = 2500.0
	// ms that a body or a long answer may pause, or be held up by who takes it
	BodyStallTimeoutMillis = 2000.0
	// bytes a ms that a body comes at, at least, once it is long; honest ones give 64
	MinBodyBytesPerMilli = 16.0
	// of it that the kernel may hold for one who takes it slowly; 1 s of the slowest
	SendBufferBytes = 64 << 10
	BodyChunkBytes  = 16 << 10 // of a long body or answer in hand; a handful of the network's pieces
	// ms until the place of a client that asks nothing is freed; over pauses in use
	ClientIdleTimeoutMillis = 5000.0
	// ms without a txn after which a client's connection may be ended for another's
	EvictIdleClientMillis = 2000.0
	// ms without a byte after which so may one that has sent part of a txn
	EvictPartialRequestMillis = 300.0
	// ms after which so may one that has sent no whole txn yet; usual ones do at once
	EvictNewClientMillis = 100.0
	// of clients' places; above it connections end with their first answer
	KeepAliveClientFraction = 0.4
	MaxClientWaitMillis     = 3.6e6 // ms that a client may say it waits; more is no time to reckon with
	MaxDedupKeyBytes        = 64    // bytes of a txn's mark; those in use have 16
	// ms in which a client that still sends may take the word that ends its connection
	LingerTimeoutMillis = 500.0
	// that are read from it and dropped meanwhile; what is in flight when it hears
	MaxLingerBytes = 1 << 20
	// ms that an answer may pause; whole ones of usual workers come within 20
	ResponseStallTimeoutMillis = 100.0
	MaxInterimResponses        = 8    // interim answers ahead of one; more are no answer
	AcceptRetryMillis          = 10.0 // ms until the next try to take a connection after one has failed
	AcceptTimeoutMillis        = 1.0  // ms that an accept takes at most where a connection waits for it
	// ms for a watch to say something: it does each 2 s, and one word may be late
	WatchHeartbeatTimeoutMillis = 2800.0
	// ms for an agent at hand to answer; behind a silence two silent ones fit WatchDue
	WatchHeaderTimeoutMillis   = 1400.0
	WatchCatchUpMillis         = 6000.0 // ms after a silence or an end: what was missed counts as told
	WatchFailoverCatchUpMillis = 4000.0 // the same after a move to another discovery
	// ms to an answer: 2 s in turn where lists are asked for, the way, and 100 spare
	WatchResponseMillis = 2200.0
	// ms at a start for the list, where it is pushed: it is at hand, and txns may wait
	StartupListWaitMillis = 50.0
	// entries of a long list taken in one go; at 110,000 workers txns wait 1 ms for it
	EndpointBatchSize = 500
	// ms between two of them; who waits for the lock would else lose it to the next
	EndpointBatchPauseMillis = 0.1
	// bytes of a list in the watch; two and a half times that of 110,000 workers
	MaxEndpointListBytes = 32 << 20
	MaxEndpointBytes     = 16 << 10 // of one worker in it; usual ones have 124
	MaxWorkers           = 200000   // in a list; 22 MB beside the texts of their names
	WatchRetryMillis     = 100.0    // ms until the watch is opened anew; news must not wait long
	// of later pauses, left to chance; more makes more calls, which keep discovery down
	WatchRetryJitterFraction = 0.1
	// ms of that for each gatekeeper that may ask at the same time; a call takes some
	WatchRetryPerGatewayMillis = 25.0
	WatchMaxBackoffFactor      = 8.0  // times that at most; it doubles with each try that brings nothing
	MaxAdminConnections        = 16   // operators' connections at once; silent ones give way
	MaxAdminRequestBytes       = 4096 // of an operator's call; head and body
	// ms for a call to come whole, and for its answer to be taken; due in 1 s
	AdminTimeoutMillis = 800.0
	// ms between looks at the module for operators' figures; they may be 500 ms old
	StatsRefreshMillis = 150.0
	// ms that connections go on coming after /up has said no; they come for 200
	DrainAcceptMillis = 300.0
	// ms after which a drain has ended the last idle connection; it has 4 s
	DrainIdleMillis = 1500.0
	// ms after the order to stop in which new connections are served; they come for 400
	StopAcceptMillis = 450.0
	// ms after that until all idle ones are ended; what comes after 700 may be lost
	StopIdleMillis = 200.0
	// ms of the longest wait of clients, at most, that the platform gives a stop,
	StopMaxWaitMillis = 3000.0
	// and ms beside it until all is given up: SIGKILL comes at 700, a look takes 100
	StopGraceMillis = 500.0
)

// New starts a gatekeeper that knows nothing but its charter. Same seed and inputs, same decisions.
func New(c Settings, seed int64) *Engine {
	g := &Engine{rng: rand.New(rand.NewSource(seed)), byID: map[uint64]int32{}, byKey: map[uint32]int32{},
		beatAt: -1, tellPeer: -1, signed: c}
	n := max(c.GatewayCount, 1)
	g.peers, g.mute, g.owed = make([]peer, n), make([]int, 2*n+1), make([]int, 2*n+1)
	g.charter = terms{me: c.GatewayIndex, n: n, maxSubs: max(c.MaxAttempts, 1), perTell: c.ReportsPerMessage,
		overlap: c.AllowHedging, withdraw: c.AllowCancel, advise: c.AllowRetryAfter,
		maxAdvice: c.MaxRetryAfterMillis,
		largest:   math.Max(c.MaxRequestUnits, 1), period: period, coldFrom: c.ColdCapacityFraction,
		warmUp: c.WarmUpMillis * warmMargin, loadTold: c.WorkersReportLoad, turnFor: c.OverloadMillis, coldPart: 1,
		talks: c.AllowGossip && n > 1 && c.ReportsPerMessage > 0}
	if c.OverloadFactor > 0 { // as far as the settings say what is too much
		g.charter.coldPart = coldShare * c.OverloadFactor
	}
	g.charter.tells, g.charter.cooldown = math.MaxInt16, cooldown
	if c.PeerMessagesPerSecond > 0 { // what all peers send in a period must fit the intake
		perMs := c.PeerMessagesPerSecond * tellBudget / 1000 / float64(max(n-1, 1))
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
		slowest = math.Max(slowest, d.LatencyTargetMillis)
	}
	for _, p := range c.Plans {
		q := plan{rate: p.QuotaPerSecond / 1000, ceilRate: p.RateLimitPerSecond / 1000, ceilDepth: p.RateLimitBurst,
			open:   p.MaxInFlight,
			excess: p.ExcessValueFraction > p.ExcessCostFraction, largest: g.charter.largest, memory: demandMemory,
			tight: 1}
		switch {
		case p.QuotaPerSecond > 0:
			q.burst = p.QuotaBurst / q.rate
		case p.MaxInFlight > 0:
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
			dearest = math.Max(dearest, d.Value*p.ValueFactor)
		}
	}
	span := shedSpan * math.Max(0, 1-evenly*c.WorstPlanWeight/math.Max(c.WorstPlanWeight+c.TotalWeight, 1e-9))
	g.charter.slack, g.charter.calm = 1, calmBeat // one that comes after a look waits out patience
	for _, d := range c.Products {
		g.charter.calm = math.Max(math.Min(g.charter.calm, patience*d.LatencyTargetMillis), beat)
		g.products = append(g.products, product{sla: d.LatencyTargetMillis, window: d.DedupWindowMillis,
			repeat: d.Idempotency, group: d.DedupScope})
		g.charter.slack += lateWorth * d.LateValueFraction / float64(len(c.Products))
		row := make([]float64, len(c.Plans))
		for i, p := range c.Plans {
			if row[i] = 1; dearest > 0 {
				row[i] = 1 - span*(1-d.Value*p.ValueFactor/dearest)
			}
		}
		g.depth = append(g.depth, row)
	}
	g.outOf, g.openTo = make([]int, len(c.Plans)*len(c.Products)), make([]float64, len(c.Plans)*len(c.Products))
	return g
}

// Clock sets the time, in ms, of the inputs and decisions that follow.
func (g *Engine) AdvanceTo(now float64) {
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

// Take accepts a txn. Its final answer comes out of Next, at the latest at its expiry.
func (g *Engine) AddRequest(a Request) {
	slot, ai := place(&g.txns, &g.free), g.account(a)
	t := &g.txns[slot]
	*t = txn{id: a.ID, acct: ai, product: a.Product, plan: a.Plan, units: a.Units,
		expiry: g.now + a.TimeLeftMillis, coming: a.StreamsBody, subs: t.subs[:0], life: a.ClearanceMillis,
		live: true}
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

// Next gives the next decision, or none.
func (g *Engine) NextDecision() (Decision, bool) {
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

// step gives the next decision on one txn, or none.
func (g *Engine) step(slot int32) (Decision, bool) {
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
		if reason != ReasonSucceeded {
			return g.giveUp(t, reason, wait), true
		} else if t.life > 0 {
			return g.grant(t), true
		}
	} else if g.now >= g.mayRepeat(t, false) {
		return g.giveUp(t, ReasonAttemptsExhausted, 0), true
	} else if float64(g.inHand) >= g.room() {
		return g.giveUp(t, ReasonOverload, adviseBusy*g.products[t.product].sla), true
	}
	w := g.choose(t)
	if w < 0 {
		return g.giveUp(t, ReasonNoWorker, adviseBusy*g.products[t.product].sla), true
	}
	return g.submit(t, w), true
}

// Roster updates the list of workers. Unless it is partial, workers that it does not name are gone.
func (g *Engine) UpdateEndpoints(list []Endpoint, partial bool) {
	how := g.begins(list, partial)
	for _, p := range list {
		w := g.posted(p, how)
		if p.StartedAtMillis != w.StartedAtMillis || w.Worker != p.Worker {
			// A fresh process: what its former life, and ours, sent it must be taken as spent. Where each of many
			// gatekeepers may send it one txn in minutes, chance spreads their turns from the start on.
			w.coldAt, w.coldDebt = g.now, g.rng.Float64()*g.charter.middling()
			w.distrust.score, w.heard = 0, g.now
			clear(w.turned)
		}
		w.Endpoint, w.listed = p, p.Active
		g.relist(p.Worker, how)
	}
	if g.lists(how); g.window == 0 {
		g.window = g.leastWindow()
	}
}

// WatchAfter is the pause before the watch is opened, ms, after so many tries in a row that cost discovery
// something in vain, by so many gatekeepers that may ask at once (none where lists are pushed), where what it
// has to tell counts as told in due ms. Chance is from 0 to 1. Guards against a fleet that asks as one.
func WatchRetryDelay(tries, askers int, due, chance float64) float64 {
	most, each, least := max(due-WatchResponseMillis, 0), WatchRetryPerGatewayMillis*float64(askers),
		WatchRetryMillis/2*float64(min(tries, 1))
	switch {
	case askers == 0: // it costs nobody anything, and what is missed counts as told at once
		return least * (1 + chance)
	case tries < 2:
		return max(min(each, most)*chance, least)
	}
	each *= min(math.Pow(2, float64(tries-1)), WatchMaxBackoffFactor)
	return max(min(each, most), WatchRetryMillis) * (1 - WatchRetryJitterFraction*(1-chance))
}

// WatchSilent is how long a watch that has spoken may say nothing, ms. The askers spread in it, not after it.
func WatchIdleTimeout(askers int, chance float64) float64 {
	return WatchHeartbeatTimeoutMillis + WatchRetryDelay(0, askers,
		WatchCatchUpMillis-WatchHeartbeatTimeoutMillis, chance)
}
