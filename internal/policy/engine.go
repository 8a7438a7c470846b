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
	demandWindowMillis   = 1000.0 // ms; the estimate is smoothed over one second, as the design says
	coldShareFraction    = 0.5    // share of rate/N that a cold customer runs at
	floorFraction        = 0.05   // part of the rate that is kept as floors
	hotDemandFraction    = 0.8    // of the cold slice; own demand above it turns a customer hot
	reportIntervalMillis = 400.0  // ms between reports; a quarter of the 1 s memory loses little of a jump
	// ms under the cold slice until a customer is cold again, or idle until dropped
	coolDownMillis       = 5000.0
	peerSuspicionMillis  = 6000.0  // ms of silence until a peer is suspected
	lostPeerHoldMillis   = 10000.0 // ms after that during which its last demand still counts
	silentAfterIntervals = 3.5     // periods without a word from a peer that owes one until it is unheard
	// periods in which peers may have spent unheard: one, its jitter and half again
	unheardSpendIntervals = 1.5
	maxAlikePeers         = 3 // peers that are taken to see the same burst as this gatekeeper, at most
	// ms over which what peers send on is averaged; several txns of a small quota
	peerSpendWindowMillis = 5000.0
	peerLapseIntervals    = 2.0  // periods without a message after which talk with a peer starts anew
	reportIntakeFraction  = 0.95 // of the peers' intake that reports may fill; the rest is for jitter
	// gatekeepers of a set up to which what is sent on is told at once, not each period
	maxImmediateSetSize     = 8
	immediateIntakeFraction = 0.1  // of what reports may fill, for that
	immediateBurstMessages  = 64.0 // messages of that in a row; a burst of a few customers
	// ms in which peers may spend unheard where they tell at once: the way, and a loss
	immediateDelayMillis = 500.0
	maxRemoteAccounts    = 4096 // customers known from peers alone; bounds what messages can make us keep

	maxDenseGateways        = 8      // gatekeepers up to which a slice under one txn still fills in time
	sparseBurstIntervals    = 2.0    // periods; a burst that lasts so long is told of while it is used up
	maxDemandWindowMillis   = 5000.0 // ms; the longest that demand is smoothed over for a plan's burst
	startupIntervalFraction = 0.1    // of the first period, taken to have passed at a start
	inFlightSearchStep      = 0.05   // submissions; the fineness of how many are to be out
	// of these at most; a wide limit takes coarser ones, so that a start is quick
	maxInFlightSearchSteps = 800.0

	// Workers.
	suspicionDecayMillis = 3000.0 // ms; about what a restart or a short jam lasts
	// ms; the same for a worker that turns one kind of txn away: it is seen rarely
	rejectionDecayMillis = 15000.0
	rejectionThreshold   = 0.5 // of a mark; above it a worker is held to turn that kind of txn away
	// how much heavier a failure weighs for each fade between visits to a worker
	rareVisitWeight = 4.0
	// of the workers that take a sort of txn, for its answers to tell of the fleet
	minAcceptingFraction = 0.5
	maxSuspicion         = 12.0 // so that a worker is tried again within about three fades
	// distrust above which a draw is not good enough and more workers are looked at
	suspectThreshold = 1.0
	// gatekeepers that draw a worker, on average, at least; their chance evens out
	gatewaysPerWorker = 25.0
	// workers looked at when two draws are not good enough; all of a small fleet
	maxWorkersExamined = 16
	workerResponseGain = 0.1 // weight of the newest answer in a worker's pace
	// ms in which a worker's pace goes back to its kind's, as slow spells last
	workerResponseDecayMillis = 15000.0
	// of the cost, for a report of twice the usual load; it is late and noisy
	loadReportWeight      = 0.25
	loadReportDecayMillis = 1000.0 // ms; a report of load tells of some answers' time
	maxCPUFraction        = 0.9    // of the cores; more in use tells no more of what is in hand
	fleetResponseGain     = 0.025  // the same in the fleet's pace, which has many more answers
	// of the SLA time; a worker must have said nothing for so long to count as silent
	silentWorkerTargetFraction = 0.35
	// of the SLA time, or of the time left; after a slower draw more are looked at
	slowWorkerTargetFraction = 0.25
	// usual answers that a silent worker owes in sum before its txns are moved
	abandonAfterResponses = 10.0
	// usual answers; a txn out for so long at a worker that goes on is long, or astray
	slowRequestResponses   = 8.0
	lostRequestDecayMillis = 10000.0 // ms over which it counts what became of such txns
	// usual answers; a txn silent or timed out after them is its worker's doing
	workerFaultResponses = 5.0
	// of the window; under it capacity counts as spare for txns beyond a quota
	spareWindowFraction   = 0.5
	sparePressureFraction = 0.4 // of slaUse; and only while answers are as quick as this
	// ms that a wake comes late if the gatekeeper itself stood still; many beats
	stallMillis = 100.0
	// windows of room more after standing still; a stall of one or two SLA times
	maxStallAllowanceWindows  = 10.0
	stallAllowanceDecayMillis = 300.0 // ms; two usual answers
	// ms before its expiry at which a txn gets its final answer rather than a submission
	deadlineMarginMillis = 1.0
	scanIntervalMillis   = 20.0 // ms between looks at waiting txns; small against any SLA time
	// ms between them while none has waited for long; a look wakes an idle process
	idleScanIntervalMillis = 100.0

	// Workers that have just started.
	// of what it bears, that all gatekeepers' turns come to with the warm ones at their most
	warmingOverloadFraction = 0.5
	// ms between units to a cold worker for all gatekeepers while no warm one has been seen
	warmingBlindIntervalMillis = 1000.0
	warmWorkWindowMillis       = 5000.0 // ms over which the work of warm workers is averaged
	minWarmWorkSpanMillis      = 500.0  // ms of watching that the first averages are at least taken over
	warmUpStretchFactor        = 1.1    // the stated warm-up is stretched by this before a worker counts as warm

	// Pressure.
	// of the SLA time, more where late answers earn; slower ones on average shrink the window
	targetPressureFraction = 0.25
	pressureGain           = 0.08 // weight of the newest answer in the pressure
	windowUseFraction      = 0.7  // of the window; it grows only while more than this is in use
	// growth of the window for each answer while the pressure is under eager; less if small
	windowLeapPerResponse      = 0.2
	windowLeapPressureFraction = 0.5 // of slaUse
	windowGrowthPerRound       = 1.0 // growth over one window's worth of answers otherwise
	// txns in hand at each worker, by all gatekeepers, that the window starts at and keeps,
	minWindowPerWorker = 1.5
	// and standard deviations of a gatekeeper's part above that: chance does not add up
	minWindowDeviations = 2.5
	// but no more of it: over all gatekeepers of a large set it adds up after all
	maxMinWindowAllowanceFactor = 2.0
	// the least valuable txns see a window smaller by this, where only the whole counts
	sheddingWindowFraction = 0.4
	sheddingFairnessFactor = 2.5 // how fast that falls with the worst plan's part of what counts
	// how much slower answers may get, in parts of slaUse, for each part that late ones earn
	lateValueSlackFactor   = 2.0
	minWindowCutFraction   = 0.7   // the window is never cut below this part of it at once
	windowCutPauseMillis   = 150.0 // ms between cuts of the window; an answer's delay is the loop's
	shortDeadlineResponses = 3.5   // usual answers; a txn whose client waits less is tight
	// of a plan's tight txns settled in time; under it they waste more than they bring
	minShortDeadlineSuccessFraction = 0.65
	shortDeadlineProbeFraction      = 0.1 // of them is tried all the same, to see when that changes
	shortDeadlineGain               = 0.1 // weight of the newest
	// usual answers; a txn whose client waits less is not worth a worker's time
	minTimeLeftResponses        = 1.0
	overloadRetryTargetFraction = 0.25 // of the SLA time; when to return after a decline under pressure

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
func New(settings Settings, seed int64) *Engine {
	e := &Engine{rng: rand.New(rand.NewSource(seed)), byID: map[uint64]int32{},
		accountByCustomer: map[uint32]int32{},
		scanIndex:         -1, reportPeer: -1, settings: settings}
	gatewayCount := max(settings.GatewayCount, 1)
	e.peers, e.silentPrefix, e.hotPrefix = make([]peerRecord, gatewayCount), make([]int, 2*gatewayCount+1),
		make([]int, 2*gatewayCount+1)
	e.derived = derivedSettings{gatewayIndex: settings.GatewayIndex, gatewayCount: gatewayCount,
		maxAttempts: max(settings.MaxAttempts, 1), reportsPerMessage: settings.ReportsPerMessage,
		allowHedging: settings.AllowHedging, allowCancel: settings.AllowCancel,
		allowRetryAfter:     settings.AllowRetryAfter,
		maxRetryAfterMillis: settings.MaxRetryAfterMillis,
		maxRequestUnits:     math.Max(settings.MaxRequestUnits, 1), reportIntervalMillis: reportIntervalMillis,
		coldCapacityFraction: settings.ColdCapacityFraction,
		warmUpMillis:         settings.WarmUpMillis * warmUpStretchFactor,
		workersReportLoad:    settings.WorkersReportLoad,
		turnMillis:           settings.OverloadMillis, warmingLoadFraction: 1,
		gossip: settings.AllowGossip && gatewayCount > 1 && settings.ReportsPerMessage > 0}
	if settings.OverloadFactor > 0 { // as far as the settings say what is too much
		e.derived.warmingLoadFraction = warmingOverloadFraction * settings.OverloadFactor
	}
	e.derived.messagesPerPeer, e.derived.coolDownMillis = math.MaxInt16, coolDownMillis
	if settings.PeerMessagesPerSecond > 0 { // what all peers send in a period must fit the intake
		perMs := settings.PeerMessagesPerSecond * reportIntakeFraction / 1000 / float64(max(gatewayCount-1, 1))
		if gatewayCount > maxImmediateSetSize && e.derived.gossip { // fewer hear of all that soon as it is
			e.derived.immediatePerMilli = immediateIntakeFraction * perMs * float64(gatewayCount-1)
			perMs *= 1 - immediateIntakeFraction
		}
		e.derived.reportIntervalMillis = math.Max(reportIntervalMillis, 1/perMs)
		e.derived.messagesPerPeer = int(e.derived.reportIntervalMillis*perMs + 1e-9)
		// customers stay hot between two words
		e.derived.coolDownMillis = math.Max(coolDownMillis, silentAfterIntervals*e.derived.reportIntervalMillis)
	}
	var maxValue, maxTargetMillis float64
	for _, product := range settings.Products {
		maxTargetMillis = math.Max(maxTargetMillis, product.LatencyTargetMillis)
	}
	for _, plan := range settings.Plans {
		params := planParams{ratePerMilli: plan.QuotaPerSecond / 1000, rateLimitPerMilli: plan.RateLimitPerSecond /
			1000, rateLimitBurst: plan.RateLimitBurst,
			maxInFlight:  plan.MaxInFlight,
			allowsExcess: plan.ExcessValueFraction > plan.ExcessCostFraction, maxUnits: e.derived.maxRequestUnits,
			demandWindowMillis:   demandWindowMillis,
			shortDeadlineSuccess: 1}
		switch {
		case plan.QuotaPerSecond > 0:
			params.burstMillis = plan.QuotaBurst / params.ratePerMilli
		case plan.MaxInFlight > 0:
			params.targetInFlight, params.attemptMillis, params.maxUnits = bestInFlight(plan),
				targetPressureFraction*maxTargetMillis, 1
			params.deriveRate()
		}
		if gatewayCount > maxDenseGateways &&
			params.burstMillis < sparseBurstIntervals*e.derived.reportIntervalMillis &&
			params.ratePerMilli*params.burstMillis*coldShareFraction < params.maxUnits*float64(gatewayCount) {
			params.sparse, params.demandWindowMillis = true, max(demandWindowMillis, e.derived.reportIntervalMillis,
				min(params.burstMillis, maxDemandWindowMillis))
		}
		// What a peer reports fades between its reports; this makes up for it on average.
		params.decayCompensation = e.derived.reportIntervalMillis / params.demandWindowMillis /
			(1 - math.Exp(-e.derived.reportIntervalMillis/params.demandWindowMillis))
		e.plans = append(e.plans, params)
		for _, product := range settings.Products {
			maxValue = math.Max(maxValue, product.Value*plan.ValueFactor)
		}
	}
	sheddingFraction := sheddingWindowFraction * math.Max(0,
		1-sheddingFairnessFactor*settings.WorstPlanWeight/math.Max(settings.WorstPlanWeight+settings.TotalWeight,
			1e-9))
	// one that comes after a look waits out patience
	e.derived.latencySlackFactor, e.derived.idleScanMillis = 1, idleScanIntervalMillis
	for _, product := range settings.Products {
		e.derived.idleScanMillis = math.Max(math.Min(e.derived.idleScanMillis,
			silentWorkerTargetFraction*product.LatencyTargetMillis), scanIntervalMillis)
		e.products = append(e.products, productParams{latencyTargetMillis: product.LatencyTargetMillis,
			dedupWindowMillis: product.DedupWindowMillis,
			idempotency:       product.Idempotency, dedupScope: product.DedupScope})
		e.derived.latencySlackFactor += lateValueSlackFactor * product.LateValueFraction /
			float64(len(settings.Products))
		fractions := make([]float64, len(settings.Plans))
		for i, plan := range settings.Plans {
			if fractions[i] = 1; maxValue > 0 {
				fractions[i] = 1 - sheddingFraction*(1-product.Value*plan.ValueFactor/maxValue)
			}
		}
		e.windowFraction = append(e.windowFraction, fractions)
	}
	e.inFlightByClass, e.acceptingFraction = make([]int, len(settings.Plans)*len(settings.Products)),
		make([]float64, len(settings.Plans)*len(settings.Products))
	return e
}

// Clock sets the time, in ms, of the inputs and decisions that follow.
func (e *Engine) AdvanceTo(now float64) {
	if !e.clockStarted {
		e.clockStarted, e.startedAt, e.rateLimitBase, e.now, e.warmUnitsAt = true, now, now, now, now
		e.nextReportAt = now + e.derived.reportIntervalMillis*e.rng.Float64()
	}
	// Guards against this gatekeeper itself being stopped for a while: what it finds then says nothing of how
	// long workers took. All that came meanwhile comes at once: it gets the room that would have been used in
	// turns, for a while. Where many stand still at the same time, that presses the fleet.
	if gap := now - e.timerAt; e.timerAt > 0 && gap > stallMillis {
		e.stalledUntil = now
		e.stallAllowance = e.window * math.Min(gap/math.Max(e.responseMillis, 1), maxStallAllowanceWindows)
	}
	e.now = math.Max(e.now, now)
	if e.timerAt <= e.now {
		e.timerAt = 0
	}
}

// Take accepts a txn. Its final answer comes out of Next, at the latest at its expiry.
func (e *Engine) AddRequest(arrival Request) {
	slot, accountIndex := allocate(&e.requests, &e.freeRequests), e.accountFor(arrival)
	request := &e.requests[slot]
	*request = requestState{id: arrival.ID, accountIndex: accountIndex, product: arrival.Product,
		plan: arrival.Plan, units: arrival.Units,
		deadline: e.now + arrival.TimeLeftMillis, bodyPending: arrival.StreamsBody, attempts: request.attempts[:0],
		clearanceMillis: arrival.ClearanceMillis,
		live:            true}
	e.byID[arrival.ID] = slot
	e.pending, e.nextScanAt = append(e.pending, slot), math.Min(e.nextScanAt, request.deadline)
	account, plan := &e.accounts[accountIndex], &e.plans[arrival.Plan]
	e.refill(account)
	request.quotaUnits = plan.quotaCost(arrival.Units)
	if e.isSparse(account) {
		e.creditSparseShare(account, request.quotaUnits)
	}
	e.addDemand(account, request.quotaUnits)
	e.updateShare(account)
}

// Next gives the next decision, or none.
func (e *Engine) NextDecision() (Decision, bool) {
	for e.nextPending < len(e.pending) {
		if decision, ok := e.decide(e.pending[e.nextPending]); ok {
			return decision, true
		}
		e.nextPending++
	}
	e.pending, e.nextPending = e.pending[:0], 0
	if decision, ok := e.nextImmediateReport(); ok {
		return decision, true
	}
	if e.now >= e.nextScanAt && len(e.byID) > 0 && e.scanIndex < 0 {
		e.scanIndex, e.nextScanAt = 0, e.now+e.derived.idleScanMillis
	}
	for e.scanIndex >= 0 && e.scanIndex < len(e.requests) {
		slot := int32(e.scanIndex)
		e.checkSilentWorkers(&e.requests[slot])
		if decision, ok := e.decide(slot); ok {
			return decision, true
		}
		e.scanIndex++
	}
	e.scanIndex = -1
	if e.now >= e.nextReportAt && e.reportPeer < 0 {
		e.nextReportAt = e.now + e.derived.reportIntervalMillis
		e.endReportInterval()
		if e.derived.gossip && !e.handedOff {
			e.reportPeer, e.messagesToPeer, e.changedExamined = 0, 0, 0
			e.changedOffset = e.rng.Intn(len(e.changedAccounts) + 1)
		}
	}
	for e.reportPeer >= 0 {
		if decision, ok := e.nextPeriodicReport(); ok {
			return decision, true
		}
		e.reportPeer, e.messagesToPeer, e.changedExamined = e.reportPeer+1, 0, 0
		if e.reportPeer == e.derived.gatewayCount {
			e.reportPeer = -1
			for _, i := range e.changedAccounts {
				e.accounts[i].unreportedUnits = 0
			}
		}
	}
	return e.nextTimer()
}

// step gives the next decision on one txn, or none.
func (e *Engine) decide(slot int32) (Decision, bool) {
	request := &e.requests[slot]
	if !request.live || request.awaitsClaim(e.now) {
		return Decision{}, false
	}
	if request.answered {
		if decision, ok := e.nextCancel(request); ok {
			return decision, true
		}
		if request.inFlight == 0 {
			e.releaseReservation(request)
			e.releaseReferences(request.attempts)
			delete(e.byID, request.id)
			request.live = false
			e.freeRequests = append(e.freeRequests, slot)
		}
		return Decision{}, false
	}
	if request.inFlight > 0 && (request.bodyPending || e.now < request.deadline) {
		if !request.wantsAttempt {
			return Decision{}, false
		}
		request.wantsAttempt = false
		again := request.deadline-e.now > deadlineMarginMillis && e.now < e.retryUntil(request, true)
		if again && !e.derived.allowHedging {
			return e.nextCancel(request)
		}
		if again && float64(e.inFlight) < e.currentWindow() {
			if w := e.chooseWorker(request); w >= 0 {
				return e.submitTo(request, w), true
			}
		}
		return Decision{}, false
	}
	if request.deadline-e.now <= deadlineMarginMillis && !request.bodyPending {
		return e.finish(request, request.deadlineReason(), 0), true
	}
	if len(request.attempts) == 0 && request.clearance != clearanceClaimed {
		reason, wait := e.admit(request)
		if reason != ReasonSucceeded {
			return e.finish(request, reason, wait), true
		} else if request.clearanceMillis > 0 {
			return e.grantClearance(request), true
		}
	} else if e.now >= e.retryUntil(request, false) {
		return e.finish(request, ReasonAttemptsExhausted, 0), true
	} else if float64(e.inFlight) >= e.currentWindow() {
		return e.finish(request, ReasonOverload,
			overloadRetryTargetFraction*e.products[request.product].latencyTargetMillis), true
	}
	w := e.chooseWorker(request)
	if w < 0 {
		return e.finish(request, ReasonNoWorker,
			overloadRetryTargetFraction*e.products[request.product].latencyTargetMillis), true
	}
	return e.submitTo(request, w), true
}

// Roster updates the list of workers. Unless it is partial, workers that it does not name are gone.
func (e *Engine) UpdateEndpoints(list []Endpoint, partial bool) {
	mode := e.beginUpdate(list, partial)
	for _, endpoint := range list {
		worker := e.applyEndpoint(endpoint, mode)
		if endpoint.StartedAtMillis != worker.StartedAtMillis || worker.Worker != endpoint.Worker {
			// A fresh process: what its former life, and ours, sent it must be taken as spent. Where each of many
			// gatekeepers may send it one txn in minutes, chance spreads their turns from the start on.
			worker.slowStartAt, worker.slowStartDebt = e.now, e.rng.Float64()*e.derived.meanUnits()
			worker.suspicion.score, worker.heardAt = 0, e.now
			clear(worker.rejections)
		}
		worker.Endpoint, worker.listed = endpoint, endpoint.Active
		e.addReady(endpoint.Worker, mode)
	}
	if e.endUpdate(mode); e.window == 0 {
		e.window = e.minWindow()
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
