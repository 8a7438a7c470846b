package policy

import (
	"math"
	"math/rand"

	"willowdeck/internal/gcra"
)

// This file holds what a gatekeeper keeps, and the book-keeping that decides nothing.

// boundless is more than any customer asks, units a ms, and little enough to reckon with.
const unboundedPerMilli = 1e30

type customerAccount struct {
	plan             int
	setSize          int     // its gatekeepers; 0 while it is known from peers alone
	sharePerMilli    float64 // units a ms
	shareTokens      float64 // of the slice
	quotaTokens      float64 // of the quota's one store as far as it is known here
	filledAt         float64 // time of both, and of others
	peerDemand       float64 // sum of peers' demand, fading
	peerSpent        float64 // units that peers sent on, fading over flowMemory
	silentPeerDemand float64 // sum of the last demand of those that are silent
	silentPeers      int     // how many these are
	peerDemandAt     float64 // time of the last report of demand
	decayedDemand    float64
	recentDemand     float64 // the same over demandMemory alone
	lastRequestAt    float64 // time of the last txn, and of both
	hot              bool
	live             bool

	firstGateway int
	id           uint64
	requests     int
	coolSince    float64 // since when demand has been under the cold slice
	// GCRA: the moment the slice of the ceiling is full again
	rateLimitFullAt float64
	unreportedUnits float64 // units sent on since the last report
	// demand last reported, when, and what was left of the one before
	reportedDemand, reportedAt, previousReportedDemand float64
	// submissions out or cleared, and of these the predecessor's
	inFlight, predecessorInFlight int
	uncollectedUnits              float64 // repaid, and not yet taken from whole
	// time of the last loan, or look for a repayment; 0 where there was none
	creditAt float64
	// units of txns that may yet be sent on; what they then take from the quota
	reservedUnits, reservedQuotaUnits float64
}

// peer is what is known of another gatekeeper.
type peerRecord struct {
	// last heard; last told; since when it has owed a word each period
	heardAt, reportedAt, reportDueSince float64
	reportsHeardAt                      float64 // last heard with reports
	silent, lost                        bool    // it says nothing; has not for so long that it counts no more
	// of its last message; their demand is held while it is silent and not gone
	lastReports []Report
}

type workerRecord struct {
	Endpoint
	listed                       bool
	inFlight                     int
	responseMillis, responseAt   float64 // smoothed time of an answer, ms, and when it was renewed
	reportedLoad, reportedLoadAt float64 // txns in hand by its last report, by all gatekeepers, and when it came
	heardAt                      float64
	suspicion                    decayingScore
	rejections                   []decayingScore // by sort of txn; nil while it has turned none away
	overloaded                   bool            // turns all away
	// while it is not warm: units until the next turn; when they were reckoned
	slowStartDebt, slowStartAt float64
	warm                       bool  // counts as such
	suspect                    bool  // is in wary
	references                 int32 // submissions of txns in hand that were sent to it
}

// kind is what is known of all workers of a kind of machine.
type machineKind struct{ responseMillis, responses float64 }

// mark is a score that fades.
type decayingScore struct{ score, updatedAt float64 }

type attemptState struct {
	worker     int
	zone, cell int // of its worker as it was sent there; that may be moved meanwhile
	sentAt     float64
	inFlight   bool
	cancelled  bool
	counted    bool // counts as in hand
	abandoned  bool // already held against the worker
}

type requestState struct {
	id                uint64
	accountIndex      int32
	product, plan     int
	units, quotaUnits float64 // its size, and what it takes from its quota
	borrowedUnits     float64 // what it takes instead from its customer's credit
	deadline          float64
	attempts          []attemptState
	inFlight          int
	mayHaveRun        bool         // some submission may have run
	firstUncertain    attemptState // the first one that may have run
	firstUncertainAt  float64
	answered          bool
	wantsAttempt      bool // a second copy, or a move, is wanted
	bodyPending       bool // its body's last byte has not gone out
	bodyForwarded     bool // its body has begun to, and is not kept: it cannot be submitted again
	withinQuota       bool // its quota had the units when it was let in
	shortDeadline     bool // it came with little time
	reserved          bool // its units are kept
	clearance         clearanceStage
	clearanceMillis   float64 // ms that its clearance is kept
	live              bool
}

// pass tells how far a txn has come that is cleared ahead of its coming.
type clearanceStage uint8

const (
	notCleared       clearanceStage = iota // it is not
	clearanceGranted                       // it is, and has not come
	clearanceClaimed                       // it has come
)

// product holds what decisions need of a Product; times in ms.
type productParams struct {
	latencyTargetMillis, dedupWindowMillis float64
	idempotency                            Idempotency
	dedupScope                             DedupScope
}

// plan holds what decisions need of a Plan, per ms.
type planParams struct {
	ratePerMilli, burstMillis float64 // units a ms; ms of it that may be used at once
	maxUnits                  float64 // units of a txn at most
	// ms that demand is smoothed over; makes up for the fading of what peers report
	demandWindowMillis, decayCompensation float64
	sparse                                bool    // each gatekeeper's part is too small to hold a txn
	shortDeadlineSuccess                  float64 // part of the tight txns that are settled in their time
	// a quota on submissions out: how many are to be, and how long one is, ms
	targetInFlight, attemptMillis     float64
	rateLimitPerMilli, rateLimitBurst float64 // this gatekeeper's slice, before division by the customer's N
	// units a ms at which its fill is reckoned for a later life; 0 as it fills
	recordedRatePerMilli float64
	maxInFlight          int
	allowsExcess         bool // letting in beyond the quota earns more than it costs
}

// Gatekeeper is one instance. All its state is its own.
type Engine struct {
	rng             *rand.Rand
	now             float64
	startedAt       float64
	rateLimitBase   float64 // ceilings of customers that are not known here are taken as spent at this time
	handedOff       bool    // another has taken over what it knows
	startedEmpty    bool    // it knew nobody when quotas began to go without messages
	lender          Lender  // nil where nothing is lent
	gossipResumedAt float64 // when quotas last went by messages again; 0 where they always did
	stalledUntil    float64 // when the gatekeeper last found that it had itself stood still
	clockStarted    bool
	derived         derivedSettings
	settings        Settings // what they were derived from
	initialPlans    []Plan   // as they were at the start, once they have changed
	products        []productParams
	plans           []planParams
	windowFraction  [][]float64 // window fraction by product and plan

	workers []workerRecord
	// of each, by chance, so that each gatekeeper draws from some of its own; 0 is none yet
	ranks             []float64
	readiness         []uint8   // where each stands
	ready             []int     // the listed ones, in order
	readyByRank       []int     // the same by rank
	subset            []int     // of these, those that are drawn from: the first
	warming           []int     // of the ready ones, those that are not warm, in order
	suspects          []int     // workers that fail, or turn txns away
	added             []int     // those that a list brings among the ready ones
	rewarming         []int     // and of the ready ones those that it makes cold
	removedAny        bool      // it has taken some off
	inFlightByClass   []int     // submissions out by sort of txn
	acceptingFraction []float64 // part of the workers that does not turn a sort away
	warmCount         int       // how many of the listed ones are warm
	warmEquivalents   float64   // what all the listed ones can do, in warm workers
	peers             []peerRecord
	silentPrefix      []int // silent peers before each place of the ring, gone round twice
	hotPrefix         []int // hot customers that each place of the ring shares, likewise

	requests     []requestState
	freeRequests []int32
	byID         map[uint64]int32
	pending      []int32
	nextPending  int

	accounts           []customerAccount
	freeAccounts       []int32
	accountByCustomer  map[uint32]int32
	remoteOnlyAccounts int

	inFlight           int     // submissions out at workers that are not silent
	window             float64 // most of them
	stallAllowance     float64 // room more than the window when it last found that it had stood still
	pressure           float64 // smoothed answer time over SLA time
	windowCutAt        float64
	responseMillis     float64
	machineKinds       []machineKind
	sizeRating         float64 // mean of the listed workers', by the list as it was when rated was set
	sizeRatingKnown    bool
	meanLoad           float64       // smoothed txns in hand by workers' reports
	slowRequests       decayingScore // txns overdue that were settled after all
	lostRequests       decayingScore // and those that never had an answer from a worker that went on
	warmUnits          float64       // units settled by warm workers, fading
	warmUnitsPerWorker float64       // the same for each of those that were warm
	warmUnitsAt        float64
	cachedWarmRate     float64    // the last of these as it has faded, by all that coldRate goes by
	cachedWarmRateKey  [4]float64 // for which it was reckoned

	nextScanAt, nextReportAt, timerAt float64
	scanIndex                         int     // next txn to look at in this beat; -1 none
	reportPeer, messagesToPeer        int     // peer that is told now, -1 none; messages it got this period
	changedExamined                   int     // news looked at for it
	changedAccounts                   []int32 // accounts to report this period
	changedOffset                     int     // where in news the messages begin
	reportBuffer                      []Report
	// accounts whose sets are told at once, and how far the first has come
	immediateAccounts []int32
	immediateSent     int
	immediateFullAt   float64 // GCRA: the moment at which the part for this is whole again
	stats             Stats
}

// terms are the charter's figures that decisions use as they are.
type derivedSettings struct {
	gatewayIndex, gatewayCount, maxAttempts, reportsPerMessage int
	messagesPerPeer                                            int // messages to one peer in a period
	allowHedging, allowCancel, allowRetryAfter                 bool
	workersReportLoad                                          bool
	// messages a ms that may be told at once; 0 where none are
	immediatePerMilli                                          float64
	maxRetryAfterMillis, maxRequestUnits, reportIntervalMillis float64
	coolDownMillis                                             float64 // ms
	coldCapacityFraction, warmUpMillis                         float64
	// of warm workers' work, for cold ones; ms that a turn lasts, 0 for good
	warmingLoadFraction, turnMillis float64
	// ms between looks while no txn has waited for long
	idleScanMillis float64
	// how much slower than slaUse answers may get, for what late ones earn
	latencySlackFactor float64
	gossip             bool
}

// Tally gives the counts and the present state that on-call staff look at.
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

func (e *Engine) nextCancel(request *requestState) (Decision, bool) {
	for i := range request.attempts {
		if attempt := &request.attempts[i]; attempt.inFlight && !attempt.cancelled && e.derived.allowCancel {
			attempt.cancelled = true
			return Decision{Kind: Cancel, RequestID: request.id, Attempt: i}, true
		}
	}
	return Decision{}, false
}

// away books a submission that goes out.
func (e *Engine) startAttempt(request *requestState, workerIndex int) *attemptState {
	worker := &e.workers[workerIndex]
	request.attempts = append(request.attempts, attemptState{worker: workerIndex, zone: worker.Zone,
		cell: worker.Cell, sentAt: e.now, inFlight: true})
	request.inFlight++
	e.accounts[request.accountIndex].inFlight++
	worker.inFlight++
	worker.references++
	e.inFlightByClass[e.classOf(request)]++
	return &request.attempts[len(request.attempts)-1]
}

// back books the end of one, and gives its worker.
func (e *Engine) endAttempt(request *requestState, attempt *attemptState) *workerRecord {
	attempt.inFlight = false
	request.inFlight--
	e.accounts[request.accountIndex].inFlight--
	worker := &e.workers[attempt.worker]
	worker.inFlight--
	e.inFlightByClass[e.classOf(request)]--
	e.countInFlight(attempt, false)
	return worker
}

// says keeps a peer's last word on a customer.
func (peer *peerRecord) rememberReport(report Report) {
	for i := range peer.lastReports {
		if peer.lastReports[i].Customer == report.Customer {
			peer.lastReports[i] = report
			return
		}
	}
	peer.lastReports = append(peer.lastReports, report)
}

// report is what is told of a customer.
func (account *customerAccount) demandReport() Report {
	return Report{account.id, account.plan, account.reportedDemand * 1000, account.previousReportedDemand * 1000,
		account.unreportedUnits}
}

// word tells the gatekeeper that stands so far behind this one in a customer's set.
func (e *Engine) immediateReport(account *customerAccount, ahead int) Decision {
	place := (e.derived.gatewayIndex - account.firstGateway + e.derived.gatewayCount) % e.derived.gatewayCount
	to := (account.firstGateway + (place+ahead)%account.setSize) % e.derived.gatewayCount
	e.reportBuffer = append(e.reportBuffer[:0], account.demandReport())
	return Decision{Kind: SendReports, Peer: to, Reports: e.reportBuffer}
}

// wake asks for the next turn, unless an earlier one has been asked for.
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

// gather notes a hot customer's set, and its own demand if that is news.
func (e *Engine) collectReport(accountIndex int32) {
	account := &e.accounts[accountIndex]
	e.hotPrefix[account.firstGateway]++
	e.hotPrefix[account.firstGateway+account.setSize]--
	if account.setSize > 0 && (e.now-account.lastRequestAt <= e.derived.reportIntervalMillis ||
		account.unreportedUnits > 0) {
		e.changedAccounts = append(e.changedAccounts, accountIndex)
		e.markReported(account)
	}
}

// say books that own demand is told now.
func (e *Engine) markReported(account *customerAccount) {
	account.previousReportedDemand = account.reportedDemand *
		math.Exp((account.reportedAt-e.now)/e.plans[account.plan].demandWindowMillis)
	account.reportedDemand, account.reportedAt = e.ownDemand(account), e.now
}

// asked adds to a customer's demand here.
func (e *Engine) addDemand(account *customerAccount, draws float64) {
	plan := &e.plans[account.plan]
	if account.uncollectedUnits > 0 {
		account.collectFromQuota()
	}
	account.decayedDemand = account.decayedDemand*math.Exp(
		(account.lastRequestAt-e.now)/plan.demandWindowMillis) + draws/plan.demandWindowMillis
	account.recentDemand = account.recentDemand*math.Exp((account.lastRequestAt-e.now)/demandWindowMillis) +
		draws/demandWindowMillis
	account.lastRequestAt = e.now
	account.requests++
}

// Burden takes what a worker said of its load with an answer. What makes no sense changes nothing.
func (e *Engine) ReportWorkerLoad(workerIndex int, load WorkerLoad) {
	if !e.derived.workersReportLoad || workerIndex < 0 || workerIndex >= len(e.workers) {
		return
	}
	held := load.InFlight
	if !(held >= 0) && load.CPUFraction >= 0 { // of a queue that is as busy
		busy := math.Min(load.CPUFraction, maxCPUFraction)
		held = busy / (1 - busy)
	}
	if held >= 0 && held < math.MaxInt32 {
		e.workers[workerIndex].reportedLoad, e.workers[workerIndex].reportedLoadAt = held, e.now
		e.meanLoad += fleetResponseGain * (held - e.meanLoad)
	}
}

// place gives a used place of a slab, or a new one at its end.
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

// open makes an account with full stores, in a used place if there is one.
func (e *Engine) openAccount(id uint64, planIndex int) int32 {
	accountIndex := allocate(&e.accounts, &e.freeAccounts)
	account, plan := &e.accounts[accountIndex], &e.plans[planIndex]
	*account = customerAccount{id: id, plan: planIndex, lastRequestAt: e.now, coolSince: e.now, filledAt: e.now,
		quotaTokens: e.storeDepth(plan, plan.ratePerMilli), live: true}
	if e.gossipResumedAt > 0 { // what peers spent before is not known
		account.quotaTokens = math.Min(account.quotaTokens, (e.now-e.gossipResumedAt)*plan.ratePerMilli)
	}
	e.accountByCustomer[uint32(id)] = accountIndex
	return accountIndex
}

// drop lets an account go.
func (e *Engine) closeAccount(accountIndex int32) {
	account := &e.accounts[accountIndex]
	delete(e.accountByCustomer, uint32(account.id))
	if account.setSize == 0 {
		e.remoteOnlyAccounts--
	}
	account.live = false
	e.freeAccounts = append(e.freeAccounts, accountIndex)
}

// at gives a score as it has faded.
func (score *decayingScore) value(now, fade float64) float64 {
	if score.score == 0 {
		return 0
	}
	return score.score * math.Exp((score.updatedAt-now)/fade)
}

func (score *decayingScore) add(by, now, fade float64) {
	score.score, score.updatedAt = math.Min(score.value(now, fade)+by, maxSuspicion), now
}

// paceOf is the time of an answer of a worker: its own as far as it is recent, else that of its kind. Among
// many gatekeepers each sees a worker once in many seconds, and a kind of machine often.
func (e *Engine) expectedResponseMillis(worker *workerRecord) float64 {
	usual := e.machineKinds[worker.MachineKind].responseMillis
	if usual == 0 {
		if usual = e.responseMillis; worker.SizeRating > 0 { // until the kind is seen, the list's word on its size
			usual *= e.meanSizeRating() / worker.SizeRating
		}
	}
	if worker.responseMillis == 0 {
		return usual
	}
	return usual + (worker.responseMillis-usual)*math.Exp((worker.responseAt-e.now)/workerResponseDecayMillis)
}

// timed adds the time of a whole answer to its worker's pace, its kind's and the fleet's.
func (e *Engine) recordResponse(worker *workerRecord, responseMillis float64) {
	if e.responseMillis == 0 {
		e.responseMillis = responseMillis
	}
	// one slow answer must not make a worker look slow for long
	worker.responseMillis, worker.responseAt = e.expectedResponseMillis(worker), e.now
	worker.responseMillis += workerResponseGain * (responseMillis - worker.responseMillis)
	e.responseMillis += fleetResponseGain * (responseMillis - e.responseMillis)
	kind := &e.machineKinds[worker.MachineKind]
	kind.responses++
	kind.responseMillis += math.Max(fleetResponseGain, 1/kind.responses) * (responseMillis - kind.responseMillis)
}

// middling is the size of a middling txn.
func (derived *derivedSettings) meanUnits() float64 { return (1 + derived.maxRequestUnits) / 2 }

// draw is what a txn takes from its quota.
func (plan *planParams) quotaCost(units float64) float64 {
	if plan.targetInFlight > 0 {
		return 1
	}
	return units
}

// restate puts a quota on submissions out, where there is no other, as a rate: as many as are to be out, each
// as long as one stays out.
func (plan *planParams) deriveRate() {
	if plan.targetInFlight > 0 {
		plan.ratePerMilli = plan.targetInFlight / math.Max(plan.attemptMillis, 1)
		plan.burstMillis = float64(plan.maxInFlight) / plan.ratePerMilli
	}
}

// unheard counts the silent peers of a customer's set.
func (e *Engine) silentPeersOf(account *customerAccount) int {
	return e.silentPrefix[account.firstGateway+account.setSize] - e.silentPrefix[account.firstGateway]
}

func (e *Engine) warmWorkUnits() float64 {
	return e.warmUnits * math.Exp((e.warmUnitsAt-e.now)/warmWorkWindowMillis)
}

// earn books the work of a warm worker, and what it comes to for each of the warm ones there are. Of one that
// is not on the list any more it does not count for that: the number of the others may just have fallen.
func (e *Engine) recordWarmWork(worker *workerRecord, units float64) {
	if e.warmFraction(worker.StartedAtMillis) < 1 {
		return
	}
	fade := math.Exp((e.warmUnitsAt - e.now) / warmWorkWindowMillis)
	e.warmUnits, e.warmUnitsPerWorker, e.warmUnitsAt = e.warmUnits*fade+units, e.warmUnitsPerWorker*fade, e.now
	if worker.warm && worker.listed {
		e.warmUnitsPerWorker += units / float64(e.warmCount)
	}
}

// distrustOf is what speaks against a worker for a txn.
func (e *Engine) suspicionOf(request *requestState, workerIndex int) float64 {
	worker := &e.workers[workerIndex]
	d := worker.suspicion.value(e.now, suspicionDecayMillis)
	if worker.rejections != nil {
		d += worker.rejections[e.classOf(request)].value(e.now, rejectionDecayMillis)
	}
	return d
}

// sort numbers the pairs of plan and product.
func (e *Engine) classOf(request *requestState) int {
	return request.plan*len(e.products) + request.product
}

// own is the demand estimate, units a ms. That of a sparse plan has a long memory: after a start it makes up
// for what it has not seen yet.
func (e *Engine) ownDemand(account *customerAccount) float64 {
	plan := &e.plans[account.plan]
	if e.settings.QuotaWithoutGossip && account.setSize > 1 &&
		e.now-account.lastRequestAt < e.derived.coolDownMillis {
		return unboundedPerMilli // so may its peers, unheard: there is no room in the one store
	}
	d := account.decayedDemand * math.Exp((account.lastRequestAt-e.now)/plan.demandWindowMillis)
	if plan.sparse {
		d /= 1 - math.Exp(-math.Max(e.now-e.startedAt,
			startupIntervalFraction*e.derived.reportIntervalMillis)/plan.demandWindowMillis)
	}
	return d
}

// shared tells whether a customer's txns can come through a peer too.
func (e *Engine) sharesCustomer(account *customerAccount, peer int) bool {
	return (peer-account.firstGateway+e.derived.gatewayCount)%e.derived.gatewayCount < account.setSize
}

// Begun tells that the answer of submission n has started to stream: it is the client's now, and has no
// expiry.
func (e *Engine) ResponseStarted(id uint64, attemptIndex int) {
	if slot, ok := e.byID[id]; ok && attemptIndex >= 0 && attemptIndex < len(e.requests[slot].attempts) {
		request := &e.requests[slot]
		request.attempts[attemptIndex].cancelled, request.answered = true, true
		e.countInFlight(&request.attempts[attemptIndex], false) // the worker is done with it but for its passing on
		e.pending = append(e.pending, slot)
	}
}

// Stirs tells that a worker has begun to answer, so that it is not taken for a silent one.
func (e *Engine) WorkerResponded(workerIndex int) {
	if workerIndex >= 0 && workerIndex < len(e.workers) {
		e.workers[workerIndex].heardAt = e.now
	}
}

// Poured tells that a body that is not kept has begun to go out with submission n, or, where left is given,
// that its last byte has: the client waits so many ms from now on.
func (e *Engine) BodyForwarded(id uint64, attemptIndex int, timeLeftMillis float64) {
	slot, ok := e.byID[id]
	if !ok || attemptIndex < 0 || attemptIndex >= len(e.requests[slot].attempts) {
		return
	}
	request := &e.requests[slot]
	if request.bodyForwarded = true; timeLeftMillis > 0 && request.bodyPending &&
		request.attempts[attemptIndex].inFlight {
		request.bodyPending, request.deadline, request.attempts[attemptIndex].sentAt = false, e.now+timeLeftMillis,
			e.now
		e.charge(request)
		e.countInFlight(&request.attempts[attemptIndex], true)
		e.pending, e.nextScanAt = append(e.pending, slot), math.Min(e.nextScanAt, request.deadline)
	}
}

// grant clears a txn: its units are kept for it until it comes, for as long as its clearance lasts.
func (e *Engine) grantClearance(request *requestState) Decision {
	request.clearance, request.deadline, request.bodyPending = clearanceGranted, e.now+request.clearanceMillis,
		false
	e.reserve(request)
	e.accounts[request.accountIndex].inFlight++
	e.nextScanAt = math.Min(e.nextScanAt, request.deadline)
	return Decision{Kind: GrantClearance, RequestID: request.id, WaitMillis: request.clearanceMillis}
}

// ungrant ends a clearance.
func (e *Engine) endClearance(request *requestState) {
	if request.clearance == clearanceGranted {
		request.clearance = clearanceClaimed
		e.accounts[request.accountIndex].inFlight--
	}
}

// Claim tells that a cleared txn has come: its client waits so many ms from now on, or from the last byte of
// a body that is still coming. It is false if its clearance is no more; the txn is then like any other.
func (e *Engine) ClaimClearance(id uint64, timeLeftMillis float64, bodyPending bool) bool {
	slot, ok := e.byID[id]
	if !ok || e.requests[slot].clearance != clearanceGranted || e.requests[slot].answered ||
		e.now >= e.requests[slot].deadline {
		return false
	}
	request := &e.requests[slot]
	e.endClearance(request)
	request.deadline, request.bodyPending = e.now+timeLeftMillis, bodyPending
	e.pending, e.nextScanAt = append(e.pending, slot), math.Min(e.nextScanAt, request.deadline)
	return true
}

// Release tells that a cleared txn will not come: its units are free again.
func (e *Engine) ReleaseClearance(id uint64) {
	if slot, ok := e.byID[id]; ok && e.requests[slot].clearance == clearanceGranted &&
		!e.requests[slot].answered {
		e.requests[slot].answered = true
		e.stats.FinalByReason[ReasonClearanceExpired]++
		e.pending = append(e.pending, slot)
	}
}

// Cleared takes over a clearance that another process of this gatekeeper has given, for so many ms more.
func (e *Engine) ImportClearance(arrival Request) {
	e.AddRequest(arrival)
	request := &e.requests[e.byID[arrival.ID]]
	request.withinQuota = true
	e.grantClearance(request)
}

// waits tells whether a txn is cleared and has not come.
func (request *requestState) awaitsClaim(now float64) bool {
	return request.clearance == clearanceGranted && !request.answered &&
		request.deadline-now > deadlineMarginMillis
}

// late is why a txn gets its answer at its expiry.
func (request *requestState) deadlineReason() FinalReason {
	if request.clearance == clearanceGranted {
		return ReasonClearanceExpired
	}
	return ReasonAttemptsExhausted
}

// keep sets a txn's units aside. Guards against giving back what was spent: a store that would have been full
// meanwhile has run over, and would hold more than the truth. What is kept was never taken from it.
func (e *Engine) reserve(request *requestState) {
	if !request.reserved {
		request.reserved = true
		e.adjustReservation(request, 1)
	}
}

// unkeep ends that, and a clearance with it.
func (e *Engine) releaseReservation(request *requestState) {
	e.endClearance(request)
	e.refundLoan(request)
	if request.reserved {
		request.reserved = false
		e.adjustReservation(request, -1)
	}
}

// kept changes what is kept for a customer by a txn's units, so many times. Beyond the quota nothing is
// taken from it.
func (e *Engine) adjustReservation(request *requestState, times float64) {
	account := &e.accounts[request.accountIndex]
	if account.reservedUnits = math.Max(account.reservedUnits+times*request.units, 0); request.withinQuota {
		account.reservedQuotaUnits = math.Max(account.reservedQuotaUnits+times*request.quotaUnits, 0)
	}
}

// full is when the slice of a customer's ceiling is full again, if all that is kept goes out too; 0 where
// there is none. A later life reads it by the ceilings that this one began with, so where these have changed
// the slower of both paces counts: it then takes for spent no less than is.
func (e *Engine) rateLimitFullAt(account *customerAccount) float64 {
	plan := &e.plans[account.plan]
	if plan.rateLimitPerMilli <= 0 {
		return 0
	}
	if plan.recordedRatePerMilli > 0 {
		return e.now + (math.Max(account.rateLimitFullAt-e.now,
			0)*plan.rateLimitPerMilli+account.reservedUnits*float64(account.setSize))/plan.recordedRatePerMilli
	}
	return math.Max(account.rateLimitFullAt, e.now) + account.reservedUnits*float64(
		account.setSize)/plan.rateLimitPerMilli
}

// order is the decision that sends a txn's newest submission to a worker, before a moment.
func (e *Engine) submitDecision(request *requestState, workerIndex int, latest float64) Decision {
	return Decision{Kind: Submit, RequestID: request.id, Worker: workerIndex, Attempt: len(request.attempts) - 1,
		WaitMillis: request.deadline -
			e.now,
		AtMillis: request.deadline, SendBeforeMillis: latest, RateLimitFullAtMillis: e.rateLimitFullAt(
			&e.accounts[request.accountIndex])}
}

// seat notes whether a submission counts as in hand.
func (e *Engine) countInFlight(attempt *attemptState, in bool) {
	if attempt.counted != in {
		attempt.counted = in
		if in {
			e.inFlight++
		} else {
			e.inFlight--
		}
	}
}

// risk notes that a submission may have run.
func (e *Engine) recordUncertain(request *requestState, attempt *attemptState) {
	if !request.mayHaveRun || attempt.sentAt < request.firstUncertainAt {
		request.firstUncertain, request.firstUncertainAt = *attempt, attempt.sentAt
	}
	request.mayHaveRun = true
}

// Left tells that the client of a txn no longer waits.
func (e *Engine) ClientGone(id uint64) {
	if slot, ok := e.byID[id]; ok && !e.requests[slot].answered {
		e.requests[slot].answered = true
		e.stats.FinalByReason[ReasonClientGone]++
		e.pending = append(e.pending, slot)
	}
}

// silence notes that a peer which owes a word has said nothing for some periods, for so long that it counts
// no more, or is heard again. While it is silent the demand of its last message does not fade.
func (e *Engine) setPeerSilent(from int, silent, gone bool) {
	peer := &e.peers[from]
	held := peer.silent && !peer.lost
	peer.silent, peer.lost = silent, gone
	if hold := silent && !gone; hold != held && !e.settings.QuotaWithoutGossip { // all are unheard alike then
		for _, report := range peer.lastReports {
			accountIndex, ok := e.accountByCustomer[uint32(report.Customer)]
			if !ok {
				continue
			}
			account := &e.accounts[accountIndex]
			e.refill(account)
			if d := report.DemandPerSecond / 1000; hold {
				account.peerDemand = math.Max(account.peerDemand-d*math.Exp(
					(peer.heardAt-e.now)/e.plans[account.plan].demandWindowMillis), 0)
				account.silentPeerDemand += d
				account.silentPeers++
			} else {
				account.silentPeerDemand = math.Max(account.silentPeerDemand-d, 0)
				account.silentPeers = max(account.silentPeers-1, 0)
			}
		}
	}
	e.countSilentPeers()
}

// muted counts the silent peers over the ring.
func (e *Engine) countSilentPeers() {
	for i := range e.silentPrefix[1:] {
		e.silentPrefix[i+1] = e.silentPrefix[i]
		peer := &e.peers[i%e.derived.gatewayCount]
		if peer.silent && !peer.lost || e.settings.QuotaWithoutGossip &&
			i%e.derived.gatewayCount != e.derived.gatewayIndex {
			e.silentPrefix[i+1]++
		}
	}
}

// gcraWait is how long until a store, full at tat, that fills at rate and holds depth has the units; 0 is
// now.
func gcraWait(tat, now, rate, depth, units float64) float64 {
	return gcra.Wait(tat, now, rate, depth, units)
}

// holds is how much a store of a plan holds that fills at a rate.
func (e *Engine) storeDepth(plan *planParams, rate float64) float64 {
	return math.Max(rate*plan.burstMillis, plan.maxUnits)
}

// credited is what a sparse slice is credited over time: its share, and the split as demand comes.
func (e *Engine) sparseRate(account *customerAccount) float64 {
	return account.sharePerMilli + e.plans[account.plan].ratePerMilli*(1-floorFraction)*math.Min(
		e.ownDemand(account)/math.Max(e.totalDemand(account), 1e-12), 1)
}

// spend takes a txn's units from its customer's stores at the first submission. A body that is still coming
// may never reach a worker whole, and then takes nothing: until it has, its units are only kept.
func (e *Engine) charge(request *requestState) {
	if e.releaseReservation(request); request.bodyPending {
		e.reserve(request)
		return
	}
	account, plan := &e.accounts[request.accountIndex], &e.plans[request.plan]
	if plan.rateLimitPerMilli > 0 {
		account.rateLimitFullAt = math.Max(account.rateLimitFullAt, e.now) +
			request.units*float64(account.setSize)/plan.rateLimitPerMilli
	}
	if plan.ratePerMilli > 0 {
		if !e.quotaUnseen(account) { // where it comes too late to go by, it is not told
			account.unreportedUnits += request.quotaUnits
		}
		if e.refill(account); request.withinQuota { // beyond the quota nothing is taken
			account.shareTokens = math.Max(account.shareTokens-request.quotaUnits, -e.storeDepth(plan,
				plan.ratePerMilli))
		}
		if account.quotaTokens = math.Max(account.quotaTokens-request.quotaUnits, 0); e.reportsImmediately(
			account) {
			account.hot, account.coolSince = true, e.now
			e.immediateAccounts = append(e.immediateAccounts, request.accountIndex)
		}
	}
}
