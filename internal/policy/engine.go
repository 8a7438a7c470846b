package policy

import (
	"math"
	"math/rand"
)

const (
	// deadlineMarginMillis is how long before its deadline a request gets its final answer instead of another
	// attempt, which could not be answered in time.
	deadlineMarginMillis = 1.0
	// scanIntervalMillis is the time between two scans of the open requests while some of them have waited for
	// long. It is small compared to any latency target.
	scanIntervalMillis = 20.0
	// idleScanIntervalMillis is the longest time between two scans while no request has waited for long. It
	// limits how often scans wake an idle process.
	idleScanIntervalMillis = 100.0
	// stallMillis is how late a timer has to fire for this process to count as stalled. It is several times
	// scanIntervalMillis.
	stallMillis = 100.0
	// maxStallAllowanceWindows bounds the allowance that is added to the window after a stall, as a multiple
	// of the window: about what a stall of one or two latency targets needs.
	maxStallAllowanceWindows = 10.0
	// stallAllowanceDecayMillis is the time constant with which the allowance after a stall decays: two usual
	// response times.
	stallAllowanceDecayMillis = 300.0
)

// New returns an engine that knows only its settings. The same seed and inputs give the same decisions.
func New(settings Settings, seed int64) *Engine {
	derived := deriveSettings(&settings)
	e := &Engine{rng: rand.New(rand.NewSource(seed)), byID: map[uint64]int32{},
		accountByCustomer: map[uint32]int32{}, scanIndex: -1, reportPeer: -1, settings: settings, derived: derived}
	e.peers = make([]peerRecord, derived.gatewayCount)
	e.silentPrefix = make([]int, 2*derived.gatewayCount+1)
	e.hotPrefix = make([]int, 2*derived.gatewayCount+1)
	var maxValue, maxTargetMillis float64
	for _, product := range settings.Products {
		maxTargetMillis = math.Max(maxTargetMillis, product.LatencyTargetMillis)
	}
	for _, plan := range settings.Plans {
		e.plans = append(e.plans, newPlanParams(plan, &derived, maxTargetMillis))
		for _, product := range settings.Products {
			maxValue = math.Max(maxValue, product.Value*plan.ValueFactor)
		}
	}
	for _, product := range settings.Products {
		e.products = append(e.products, productParams{latencyTargetMillis: product.LatencyTargetMillis,
			dedupWindowMillis: product.DedupWindowMillis, idempotency: product.Idempotency,
			dedupScope: product.DedupScope})
	}
	e.windowFraction = windowFractions(&settings, maxValue)
	classes := len(settings.Plans) * len(settings.Products)
	e.inFlightByClass, e.acceptingFraction = make([]int, classes), make([]float64, classes)
	return e
}

// deriveSettings derives the parameters of decisions that apply to all plans and products from the
// settings.
func deriveSettings(settings *Settings) derivedSettings {
	gatewayCount := max(settings.GatewayCount, 1)
	derived := derivedSettings{gatewayIndex: settings.GatewayIndex, gatewayCount: gatewayCount,
		maxAttempts: max(settings.MaxAttempts, 1), reportsPerMessage: settings.ReportsPerMessage,
		messagesPerPeer: math.MaxInt16, allowHedging: settings.AllowHedging, allowCancel: settings.AllowCancel,
		allowRetryAfter: settings.AllowRetryAfter, maxRetryAfterMillis: settings.MaxRetryAfterMillis,
		maxRequestUnits:      math.Max(settings.MaxRequestUnits, 1),
		reportIntervalMillis: reportIntervalMillis, coolDownMillis: coolDownMillis,
		warmingCapacityFraction: settings.WarmingCapacityFraction,
		warmUpMillis:            settings.WarmUpMillis * warmUpStretchFactor,
		workersReportLoad:       settings.WorkersReportLoad,
		turnMillis:              settings.OverloadMillis, warmingLoadFraction: 1,
		latencySlackFactor: 1, idleScanMillis: idleScanIntervalMillis,
		gossip: settings.AllowGossip && gatewayCount > 1 && settings.ReportsPerMessage > 0}
	if settings.OverloadFactor > 0 { // the settings state how much overload a worker withstands
		derived.warmingLoadFraction = warmingOverloadFraction * settings.OverloadFactor
	}
	if settings.PeerMessagesPerSecond > 0 { // a gateway must be able to receive what all its peers send
		perMilli := settings.PeerMessagesPerSecond * reportIntakeFraction / 1000 / float64(max(gatewayCount-1, 1))
		if gatewayCount > maxImmediateSetSize && derived.gossip { // fewer gateways report often enough anyway
			derived.immediatePerMilli = immediateIntakeFraction * perMilli * float64(gatewayCount-1)
			perMilli *= 1 - immediateIntakeFraction
		}
		derived.reportIntervalMillis = math.Max(reportIntervalMillis, 1/perMilli)
		derived.messagesPerPeer = int(derived.reportIntervalMillis*perMilli + 1e-9)
		// A customer has to stay hot from one report to the next.
		derived.coolDownMillis = math.Max(coolDownMillis, silentAfterIntervals*derived.reportIntervalMillis)
	}
	for _, product := range settings.Products {
		// The interval is not longer than a worker's silence may last: a request that arrives just after a scan
		// is checked in time by the next one.
		derived.idleScanMillis = math.Max(math.Min(derived.idleScanMillis,
			silentWorkerTargetFraction*product.LatencyTargetMillis), scanIntervalMillis)
		derived.latencySlackFactor += lateValueSlackFactor * product.LateValueFraction /
			float64(len(settings.Products))
	}
	return derived
}

// AdvanceTo sets the time, in ms, of the inputs and decisions that follow. An earlier time than the present
// one is ignored.
func (e *Engine) AdvanceTo(now float64) {
	if !e.clockStarted {
		e.clockStarted, e.startedAt, e.rateLimitBase, e.now, e.warmUnitsAt = true, now, now, now, now
		e.nextReportAt = now + e.derived.reportIntervalMillis*e.rng.Float64()
	}
	// Guards against a stall of this process: response times measured across it say nothing about the workers.
	// Requests that arrived during the stall are added all at once. For a while they get the window that they
	// would have used one after another. If many gateways stall at the same time, that increases the load on
	// the workers.
	if gap := now - e.timerAt; e.timerAt > 0 && gap > stallMillis {
		e.stalledUntil = now
		e.stallAllowance = e.window * math.Min(gap/math.Max(e.responseMillis, 1), maxStallAllowanceWindows)
	}
	e.now = math.Max(e.now, now)
	if e.timerAt <= e.now {
		e.timerAt = 0
	}
}

// AddRequest adds a request that has arrived. NextDecision returns its final answer, at its deadline at the
// latest.
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

// NextDecision returns the next decision, or false if there is none before the next input or the time of
// the latest SetTimer.
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

// decide returns the next decision on one request, or false if there is none now.
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
		return e.decideInFlight(request)
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
	workerIndex := e.chooseWorker(request)
	if workerIndex < 0 {
		return e.finish(request, ReasonNoWorker,
			overloadRetryTargetFraction*e.products[request.product].latencyTargetMillis), true
	}
	return e.submitTo(request, workerIndex), true
}

// decideInFlight returns the next decision on a request that has an attempt in flight and wants another
// one: a hedged attempt, or, if hedging is not allowed, cancelling the attempt in flight so that it can be
// retried.
func (e *Engine) decideInFlight(request *requestState) (Decision, bool) {
	if !request.wantsAttempt {
		return Decision{}, false
	}
	request.wantsAttempt = false
	again := request.deadline-e.now > deadlineMarginMillis && e.now < e.retryUntil(request, true)
	if again && !e.derived.allowHedging {
		return e.nextCancel(request)
	}
	if again && float64(e.inFlight) < e.currentWindow() {
		if workerIndex := e.chooseWorker(request); workerIndex >= 0 {
			return e.submitTo(request, workerIndex), true
		}
	}
	return Decision{}, false
}

// Engine makes the decisions of one gateway and holds the state that they depend on. Times are in ms of the
// clock of AdvanceTo.
type Engine struct {
	rng                    *rand.Rand
	now                    float64
	startedAt              float64
	rateLimitBase          float64 // time at which rate limits of customers without an account count as spent
	handedOff              bool    // a successor process has taken over
	emptyWhenGossipStopped bool    // no customer was known when QuotaWithoutGossip last came into force
	lender                 Lender  // nil if there is no lending
	gossipResumedAt        float64 // when QuotaWithoutGossip last ended with customers known; 0 if never
	stalledUntil           float64 // end of the last stall of this process
	clockStarted           bool
	derived                derivedSettings
	settings               Settings // the settings in force
	initialPlans           []Plan   // the plans at the start; nil before the first Reconfigure
	products               []productParams
	plans                  []planParams
	windowFraction         [][]float64 // fraction of the window that requests may fill, by product and plan

	workers []workerRecord
	// random rank of each worker, which gives each gateway a different subset; 0 means that it has none yet
	ranks             []float64
	readiness         []uint8   // by worker: notReady, pendingReady or inReadyList
	ready             []int     // workers that requests may be sent to, sorted by index
	readyByRank       []int     // the ready workers, sorted by rank
	subset            []int     // the start of readyByRank that workers are drawn from
	warming           []int     // the ready workers that are warming up, sorted by index
	suspects          []int     // workers with suspicion or rejections
	added             []int     // workers that the current endpoint update makes ready
	rewarming         []int     // ready workers that warm up again by the current endpoint update
	removedAny        bool      // the current endpoint update has removed ready workers
	inFlightByClass   []int     // attempts in flight by class of request
	acceptingFraction []float64 // fraction of the ready workers that accept each class of request
	warmCount         int       // number of ready workers that are warm
	warmEquivalents   float64   // capacity of all ready workers, in units of a warm worker's
	peers             []peerRecord
	silentPrefix      []int // prefix sums of silent peers over the ring of gateways, twice around
	hotPrefix         []int // prefix sums of hot customers over the ring of gateways, twice around

	requests     []requestState
	freeRequests []int32 // free entries of requests
	byID         map[uint64]int32
	pending      []int32 // requests to decide on, from nextPending on
	nextPending  int

	accounts           []customerAccount
	freeAccounts       []int32 // free entries of accounts
	accountByCustomer  map[uint32]int32
	remoteOnlyAccounts int // accounts of customers without a request here

	inFlight           int     // attempts in flight that count against the window
	window             float64 // congestion window: how many attempts may be in flight
	stallAllowance     float64 // allowance added to the window at stalledUntil; it decays from then on
	pressure           float64 // smoothed response time as a fraction of the latency target
	windowCutAt        float64 // when the window was last cut
	responseMillis     float64 // smoothed response time of all workers
	machineKinds       []machineKind
	sizeRating         float64 // mean size rating of the ready workers, if sizeRatingKnown
	sizeRatingKnown    bool
	meanLoad           float64       // smoothed number of requests in flight at a worker, as workers report it
	slowRequests       decayingScore // decaying count of slow attempts that succeeded in the end
	lostRequests       decayingScore // the same of slow attempts that timed out at a worker that answered others
	warmUnits          float64       // units done by warm workers, decaying
	warmUnitsPerWorker float64       // units done for each worker that was warm at the time, decaying
	warmUnitsAt        float64       // when both were last updated
	cachedWarmRate     float64       // warmUnitsPerWorker as a rate in units a ms, decayed to now
	cachedWarmRateKey  [4]float64    // the inputs that cachedWarmRate was computed from

	nextScanAt, nextReportAt, timerAt float64
	scanIndex                         int // next request of the current scan; -1 if no scan is in progress
	// the peer to report to next, -1 if no reporting is in progress, and the messages sent to it in this
	// interval
	reportPeer, messagesToPeer int
	changedExamined            int     // entries of changedAccounts examined for reportPeer
	changedAccounts            []int32 // accounts to report in this interval
	changedOffset              int     // index in changedAccounts at which messages begin
	reportBuffer               []Report
	// accounts to report immediately, and the messages already sent for the first of them
	immediateAccounts []int32
	immediateSent     int
	immediateFullAt   float64 // GCRA theoretical arrival time of the store that limits immediate reports
	stats             Stats
}

// derivedSettings holds the parameters of decisions that deriveSettings takes or derives from the Settings.
type derivedSettings struct {
	gatewayIndex, gatewayCount, maxAttempts, reportsPerMessage int
	messagesPerPeer                                            int // to a peer in a report interval, at most
	allowHedging, allowCancel, allowRetryAfter                 bool
	workersReportLoad                                          bool
	// the rate limit of immediate reports, in messages a ms; 0 if none are sent
	immediatePerMilli                                          float64
	maxRetryAfterMillis, maxRequestUnits, reportIntervalMillis float64
	coolDownMillis                                             float64
	warmingCapacityFraction, warmUpMillis                      float64
	// the load of a warming worker as a multiple of the warm fraction of a warm worker's load; how long a
	// gateway's turn at a warming worker lasts, 0 meaning without end
	warmingLoadFraction, turnMillis float64
	idleScanMillis                  float64 // time between scans while no request has waited for long
	latencySlackFactor              float64 // how many times the target pressure responses may reach
	gossip                          bool    // demand is reported to peers
}

// Stats returns the counts since the start and the present state, for on-call staff.
func (e *Engine) Stats() Stats {
	t := e.stats
	t.InFlight, t.Window, t.Customers, t.Workers = float64(e.inFlight), e.window, len(e.accountByCustomer),
		len(e.ready)
	for i := range e.accounts {
		if e.accounts[i].live && e.accounts[i].hot {
			t.HotCustomers++
		}
	}
	for i := range e.peers {
		if peer := &e.peers[i]; peer.lost {
			t.LostPeers++
		} else if peer.silent {
			t.SilentPeers++
		}
	}
	for _, i := range e.suspects {
		if e.readiness[i] != notReady && e.workers[i].suspicion.value(e.now,
			suspicionDecayMillis) >= suspectThreshold {
			t.SuspectedWorkers++
		}
	}
	return t
}

// nextTimer returns the decision that requests the next call of AdvanceTo, or false if none is needed or
// the host has a request for an earlier one.
func (e *Engine) nextTimer() (Decision, bool) {
	at := 0.0
	if len(e.byID) > 0 {
		at = e.nextScanAt
	}
	if len(e.accountByCustomer) > 0 && (at == 0 || e.nextReportAt < at) {
		at = e.nextReportAt
	}
	if at > 0 && (e.timerAt == 0 || at < e.timerAt) {
		e.timerAt = at
		return Decision{Kind: SetTimer, AtMillis: at}, true
	}
	return Decision{}, false
}

// allocate returns the index of a free entry of a slab, or of a new entry at its end.
func allocate[T any](slab *[]T, unused *[]int32) int32 {
	if n := len(*unused); n > 0 {
		at := (*unused)[n-1]
		*unused = (*unused)[:n-1]
		return at
	}
	var fresh T
	*slab = append(*slab, fresh)
	return int32(len(*slab) - 1)
}
