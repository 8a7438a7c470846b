package policy

import (
	"math"

	"willowdeck/internal/gcra"
)

const (
	// demandWindowMillis is the time constant of the demand estimate, as specified by the design. Sparse plans
	// may have a longer one.
	demandWindowMillis = 1000.0
	// maxDemandWindowMillis bounds the time constant of a sparse plan's demand estimate, which is as long as
	// the plan's burst lasts at the quota's rate.
	maxDemandWindowMillis = 5000.0
	// coldShareFraction is the fraction of an even share (the quota's rate divided by the customer's gateways)
	// that a cold customer, one whose demand is not reported, may use at each gateway.
	coldShareFraction = 0.5
	// floorFraction is the fraction of a quota's rate that is divided evenly among the gateways regardless of
	// demand, so that no gateway's share is 0.
	floorFraction = 0.05
	// hotDemandFraction is the fraction of the cold share above which a customer's demand here makes it hot.
	// The quota of a hot customer is divided among its gateways by demand.
	hotDemandFraction = 0.8
	// coolDownMillis is how long a hot customer's demand has to stay below its cold share before the customer
	// is cold again, and how long the account of an idle customer is kept.
	coolDownMillis = 5000.0
	// maxBurstPeers is the largest number of peers that are assumed to receive the same burst as this gateway.
	maxBurstPeers = 3
	// unreportedSpendIntervals is the longest time, in report intervals, for which spending at a peer is
	// assumed to remain unreported here: one interval with its jitter, plus half an interval.
	unreportedSpendIntervals = 1.5
	// immediateReportDelayMillis is the longest time for which spending at a peer that reports it immediately
	// is assumed to remain unreported here: the transit time, and one lost message.
	immediateReportDelayMillis = 500.0
	// peerSpendWindowMillis is the time constant of the mean rate at which peers spend a quota. It spans
	// several requests of a small quota.
	peerSpendWindowMillis = 5000.0
	// maxRemoteAccounts bounds the accounts of customers that are known only from peers' reports, and so the
	// memory that peers' messages can make this gateway use.
	maxRemoteAccounts = 4096
	// maxDenseGateways is the number of gateways up to which a share smaller than one request still refills in
	// time. With more gateways a plan may be sparse.
	maxDenseGateways = 8
	// sparseBurstIntervals is the length of a burst, in report intervals, from which on reports of it arrive
	// while the burst is still being used. A plan whose burst lasts that long is never sparse.
	sparseBurstIntervals = 2.0
	// startupIntervalFraction is the least fraction of a report interval that is assumed to have passed since
	// the start when a demand estimate is extrapolated from the time since the start.
	startupIntervalFraction = 0.1
	// inFlightSearchStep is the step, in attempts in flight, of the search of bestInFlight.
	inFlightSearchStep = 0.05
	// maxInFlightSearchSteps bounds the steps of the search of bestInFlight. Large limits are searched in
	// coarser steps, so that an engine starts quickly.
	maxInFlightSearchSteps = 800.0
	// unboundedDemandPerMilli is a demand, in units a ms, that exceeds any customer's and is small enough to
	// compute with.
	unboundedDemandPerMilli = 1e30
)

// refill updates a customer's token stores and what is known of its peers' demand and spending to the
// present time: the share at this gateway and the whole quota refill, peers' demand and spending decay.
func (e *Engine) refill(account *customerAccount) {
	plan := &e.plans[account.plan]
	elapsedMillis := e.now - account.filledAt
	if elapsedMillis <= 0 {
		return
	}
	rate := plan.ratePerMilli
	if account.hot && account.setSize > 1 {
		// Guards against spending that peers do not report because messages are lost or a network partition
		// separates them: the more peers are silent, the closer the refill is to this gateway's share alone.
		rate -= (rate - account.sharePerMilli) * float64(e.silentPeersOf(account)) / float64(account.setSize-1)
	}
	account.quotaTokens = math.Min(account.quotaTokens+elapsedMillis*rate, e.storeDepth(plan, plan.ratePerMilli))
	account.shareTokens = math.Min(account.shareTokens+elapsedMillis*account.sharePerMilli, e.storeDepth(plan,
		account.sharePerMilli))
	account.peerDemand = math.Max(account.peerDemand*math.Exp(-elapsedMillis/plan.demandWindowMillis), 0)
	account.peerSpent *= math.Exp(-elapsedMillis / peerSpendWindowMillis)
	account.filledAt = e.now
}

// quotaWait returns after how many ms the whole quota, as far as it is known here, has the units and a
// reserve for spending that peers have not reported yet; 0 means that it has them now.
func (e *Engine) quotaWait(account *customerAccount, units float64) float64 {
	e.refill(account)
	priorDemand := e.ownDemand(account) - units/e.plans[account.plan].demandWindowMillis
	reservePerMilli := math.Max(account.peerSpent/peerSpendWindowMillis,
		priorDemand*float64(min(account.setSize-1, maxBurstPeers)))
	unreportedMillis := unreportedSpendIntervals * e.derived.reportIntervalMillis
	if e.reportsImmediately(account) {
		unreportedMillis = immediateReportDelayMillis
	}
	missingUnits := units + account.reservedQuotaUnits + reservePerMilli*unreportedMillis - account.quotaTokens
	return math.Max(missingUnits/e.plans[account.plan].ratePerMilli, 0)
}

// shareWait returns after how many ms a customer's share at this gateway has the units; 0 means that it has
// them now.
func (e *Engine) shareWait(account *customerAccount, units float64) float64 {
	e.refill(account)
	if units += account.reservedQuotaUnits; account.shareTokens >= units-1e-9 {
		return 0
	}
	share := account.sharePerMilli
	if e.isSparse(account) {
		share = e.sparseRate(account)
	}
	if share <= 0 {
		return math.MaxFloat64
	}
	return (units - account.shareTokens) / share
}

// accountFor returns the index of the account of a request's customer. It opens the account if there is
// none, and updates its plan and set of gateways, which only requests name.
func (e *Engine) accountFor(arrival Request) int32 {
	accountIndex, ok := e.accountByCustomer[uint32(arrival.Customer)]
	if !ok {
		accountIndex = e.openAccount(arrival.Customer&math.MaxUint32, arrival.Plan)
	}
	account := &e.accounts[accountIndex]
	n := min(max(arrival.SetSize, 1), e.derived.gatewayCount)
	first := max(arrival.FirstGateway, 0) % e.derived.gatewayCount
	if account.setSize != n || account.firstGateway != first || account.plan != arrival.Plan {
		e.reassignAccount(account, arrival, ok, n, first)
	}
	return accountIndex
}

// reassignAccount gives an account the set of gateways and the plan that a request names. The account is
// new, is known only from peers' reports, or had another set or plan. known says that it existed before the
// request.
func (e *Engine) reassignAccount(account *customerAccount, arrival Request, known bool, setSize,
	firstGateway int) {
	plan, from, most := &e.plans[arrival.Plan], e.rateLimitBase, math.Inf(1)
	if known && account.setSize == 0 {
		e.remoteOnlyAccounts--
	} else if known && (account.setSize != setSize || account.firstGateway != firstGateway) {
		// Another gateway may have had this share of the new set until now, or may still be using it: the share
		// of the rate limit counts as spent, and the share of the quota does not grow.
		from, most = e.now, account.shareTokens
	}
	if account.plan != arrival.Plan {
		account.quotaTokens = e.storeDepth(plan, plan.ratePerMilli)
	}
	account.plan, account.setSize, account.firstGateway = arrival.Plan, setSize, firstGateway
	if plan.rateLimitPerMilli > 0 {
		// An earlier run of this gateway may have spent its whole share of the rate limit just before it ended.
		account.rateLimitFullAt = math.Max(account.rateLimitFullAt,
			from+plan.rateLimitBurst/plan.rateLimitPerMilli)
	}
	if account.shareTokens = math.Min(e.initialShareTokens(account), most); e.isSparse(account) {
		// Random levels spread the times at which the slowly refilling shares of many gateways can first admit a
		// request.
		account.shareTokens = plan.quotaCost(arrival.Units) * e.rng.Float64()
	}
	e.updateShare(account)
}

// initialShareTokens returns the units in a new share: the cold share's part of the burst. It is not
// rounded up to the largest request, as over all gateways of a large set that would add up to many times
// the quota's burst.
func (e *Engine) initialShareTokens(account *customerAccount) float64 {
	return e.coldShare(account) * e.plans[account.plan].burstMillis
}

// coldShare returns this gateway's share of a cold customer's quota rate, in units a ms.
func (e *Engine) coldShare(account *customerAccount) float64 {
	return e.plans[account.plan].ratePerMilli / float64(max(account.setSize, 1)) * coldShareFraction
}

// updateShare sets this gateway's share of a customer's quota rate. A cold customer has the cold share. For
// a hot one it is an even part of the floor, plus a part of the rest in proportion to this gateway's
// demand.
func (e *Engine) updateShare(account *customerAccount) {
	rate, n := e.plans[account.plan].ratePerMilli, float64(max(account.setSize, 1))
	if e.isSparse(account) { // creditSparseShare adds the part by demand as requests arrive
		account.sharePerMilli = rate * floorFraction / n
		return
	}
	if !account.hot {
		account.sharePerMilli = e.coldShare(account)
		return
	}
	own, total := e.ownDemand(account), e.totalDemand(account)
	if total <= 0 {
		account.sharePerMilli = rate / n
		return
	}
	account.sharePerMilli = rate*floorFraction/n + rate*(1-floorFraction)*own/total
}

// totalDemand returns the estimate of a customer's demand at all its gateways, in units a ms.
func (e *Engine) totalDemand(account *customerAccount) float64 {
	plan, others := &e.plans[account.plan], account.peerDemand
	// In the first report interval only some of the peers have reported: extrapolates their demand to all.
	if intervalsSinceStart := (e.now - e.startedAt) / e.derived.reportIntervalMillis; plan.sparse &&
		intervalsSinceStart < 1 {
		others /= math.Max(intervalsSinceStart, startupIntervalFraction)
	}
	knownDemand := e.ownDemand(account) + others*plan.decayCompensation
	total := knownDemand + account.silentPeerDemand
	// A silent peer that reported no demand of this customer is assumed to have the mean demand of the
	// gateways that are not silent.
	if account.setSize > 1 {
		silentPeers := e.silentPeersOf(account)
		total += knownDemand / float64(max(account.setSize-silentPeers, 1)) *
			float64(max(silentPeers-account.silentPeers, 0))
	}
	return total
}

// isSparse reports whether a customer's quota is divided among so many gateways that a share is too small
// to hold the largest request.
func (e *Engine) isSparse(account *customerAccount) bool {
	return e.plans[account.plan].sparse && account.setSize > 0 &&
		e.initialShareTokens(account) < e.plans[account.plan].maxUnits
}

// usesShareOnly reports whether only this gateway's share of a customer's quota decides on admission, as
// reports of what peers spend would arrive too late for the state of the whole quota to be useful.
func (e *Engine) usesShareOnly(account *customerAccount) bool {
	return !e.reportsImmediately(account) && e.isSparse(account)
}

// creditSparseShare credits a sparse share for units that are requested here with its part of the quota by
// demand, rate x (1 - floorFraction) x own / total demand. It credits them immediately and not over the
// demand window: a gateway that receives one request in many seconds would get the credit too late.
func (e *Engine) creditSparseShare(account *customerAccount, units float64) {
	plan, total := &e.plans[account.plan], e.totalDemand(account)
	// Guards against bursts that end before a report of them arrives: the customer's total demand is assumed
	// to be at least the demand here in the last second, divided by this gateway's usual fraction of the
	// total.
	recentDemand := account.recentDemand * math.Exp((account.lastRequestAt-e.now)/demandWindowMillis)
	usualFraction := math.Max(e.ownDemand(account)-recentDemand*demandWindowMillis/plan.demandWindowMillis, 0) /
		math.Max(total, 1e-9)
	total = math.Max(total, recentDemand/math.Min(usualFraction+1/float64(account.setSize), 1))
	if splitFraction := plan.ratePerMilli * (1 - floorFraction) / math.Max(total, 1e-12); splitFraction < 1 {
		account.shareTokens += units * splitFraction
	} else {
		account.shareTokens = math.Max(account.shareTokens, units)
	}
}

// bestInFlight returns the mean number of attempts that a quota on attempts in flight should have in
// flight: the one with the highest expected earnings. The gateways do not see each other's attempts, so the
// number in flight over all of them is taken to be Poisson distributed.
func bestInFlight(plan Plan) float64 {
	bestEarnings, bestMean, step := 0.0, 0.0, math.Max(inFlightSearchStep,
		float64(plan.MaxInFlight)/maxInFlightSearchSteps)
	for mean := step; mean <= float64(plan.MaxInFlight); mean += step {
		belowLimit, term := 0.0, math.Exp(-mean)
		for k := range plan.MaxInFlight { // the probability that fewer attempts than the limit are in flight
			belowLimit, term = belowLimit+term, term*mean/float64(k+1)
		}
		if earnings := mean * (belowLimit + (1-belowLimit)*math.Min(
			plan.ExcessValueFraction-plan.ExcessCostFraction, 0)); earnings > bestEarnings {
			bestEarnings, bestMean = earnings, mean
		}
	}
	return bestMean
}

// customerAccount is the state of one customer at this gateway. Rates and demand are in units a ms, times
// in ms.
type customerAccount struct {
	plan             int
	setSize          int     // gateways that its requests may come through; 0 if known only from peers' reports
	sharePerMilli    float64 // this gateway's share of the quota's rate
	shareTokens      float64 // units in this gateway's share of the quota
	quotaTokens      float64 // units in the whole quota, as far as it is known here
	filledAt         float64 // time as of which shareTokens to peerSpent are valid
	peerDemand       float64 // sum of the demand that peers reported, decaying
	peerSpent        float64 // units that peers reported as spent, decaying over peerSpendWindowMillis
	silentPeerDemand float64 // sum of the last reported demand of silent peers; it does not decay
	silentPeers      int     // number of silent peers whose demand is in silentPeerDemand
	peerDemandAt     float64 // time of the last peer report with demand
	decayedDemand    float64 // demand at this gateway as of lastRequestAt, over the plan's demand window
	recentDemand     float64 // demand at this gateway as of lastRequestAt, over demandWindowMillis
	lastRequestAt    float64
	hot              bool // its quota is divided among its gateways by demand
	live             bool // this slab entry is in use

	firstGateway    int
	id              uint64
	requests        int
	coolSince       float64 // when its demand last counted as above the cold share
	rateLimitFullAt float64 // GCRA theoretical arrival time: when the share of the rate limit is full again
	unreportedUnits float64 // units spent since the last report
	// the demand last reported, the time of that report, and what was left then of the demand reported before
	// it
	reportedDemand, reportedAt, previousReportedDemand float64
	// attempts in flight and granted clearances, and those among them of the predecessor process
	inFlight, predecessorInFlight int
	uncollectedUnits              float64 // repaid units that have not been taken from quotaTokens yet
	creditAt                      float64 // time of the last loan or collection of a repayment; 0 if none
	// units reserved for requests that have not been charged yet, and the quota units that they will take
	reservedUnits, reservedQuotaUnits float64
}

// productParams holds the properties of a Product that decisions use, with times in ms.
type productParams struct {
	latencyTargetMillis, dedupWindowMillis float64
	idempotency                            Idempotency
	dedupScope                             DedupScope
}

// planParams holds the properties of a Plan that decisions use, with rates in units a ms.
type planParams struct {
	ratePerMilli, burstMillis float64 // the quota's rate, and its burst as a time at that rate
	maxUnits                  float64 // the most quota units that one request takes
	// the time constant of the demand estimate, and the factor that offsets the decay of peers' reported
	// demand
	demandWindowMillis, decayCompensation float64
	sparse                                bool    // a gateway's share may be too small to hold a request
	shortDeadlineSuccess                  float64 // smoothed fraction of short-deadline requests that succeed
	// for a quota on attempts in flight: the mean number to have in flight, and the smoothed time of an
	// attempt
	targetInFlight, attemptMillis     float64
	rateLimitPerMilli, rateLimitBurst float64 // the rate limit of one customer over all its gateways
	// the refill rate by which a later process will read recorded rate-limit times; 0 means rateLimitPerMilli
	recordedRatePerMilli float64
	maxInFlight          int
	allowsExcess         bool // a request admitted beyond the quota earns more than it costs
}

// addDemand adds a request of so many quota units to a customer's demand at this gateway.
func (e *Engine) addDemand(account *customerAccount, units float64) {
	plan := &e.plans[account.plan]
	if account.uncollectedUnits > 0 {
		account.collectFromQuota()
	}
	account.decayedDemand = account.decayedDemand*math.Exp(
		(account.lastRequestAt-e.now)/plan.demandWindowMillis) + units/plan.demandWindowMillis
	account.recentDemand = account.recentDemand*math.Exp((account.lastRequestAt-e.now)/demandWindowMillis) +
		units/demandWindowMillis
	account.lastRequestAt = e.now
	account.requests++
}

// openAccount creates an account with a full quota and returns its index. If QuotaWithoutGossip ended
// recently, the quota holds only its refill since then.
func (e *Engine) openAccount(id uint64, planIndex int) int32 {
	accountIndex := allocate(&e.accounts, &e.freeAccounts)
	account, plan := &e.accounts[accountIndex], &e.plans[planIndex]
	*account = customerAccount{id: id, plan: planIndex, lastRequestAt: e.now, coolSince: e.now, filledAt: e.now,
		quotaTokens: e.storeDepth(plan, plan.ratePerMilli), live: true}
	if e.gossipResumedAt > 0 { // what peers spent before that time is unknown
		account.quotaTokens = math.Min(account.quotaTokens, (e.now-e.gossipResumedAt)*plan.ratePerMilli)
	}
	e.accountByCustomer[uint32(id)] = accountIndex
	return accountIndex
}

// closeAccount removes an account and frees its slab entry.
func (e *Engine) closeAccount(accountIndex int32) {
	account := &e.accounts[accountIndex]
	delete(e.accountByCustomer, uint32(account.id))
	if account.setSize == 0 {
		e.remoteOnlyAccounts--
	}
	account.live = false
	e.freeAccounts = append(e.freeAccounts, accountIndex)
}

// quotaCost returns the units that a request takes from its quota.
func (plan *planParams) quotaCost(units float64) float64 {
	if plan.targetInFlight > 0 {
		return 1
	}
	return units
}

// deriveRate updates the rate that stands for a quota on attempts in flight, if the plan has no other
// quota: the mean number to have in flight divided by the time that an attempt takes.
func (plan *planParams) deriveRate() {
	if plan.targetInFlight > 0 {
		plan.ratePerMilli = plan.targetInFlight / math.Max(plan.attemptMillis, 1)
		plan.burstMillis = float64(plan.maxInFlight) / plan.ratePerMilli
	}
}

// ownDemand returns the estimate of a customer's demand at this gateway, in units a ms. After a start the
// estimate of a sparse plan is scaled up, as its long window extends to before the start.
func (e *Engine) ownDemand(account *customerAccount) float64 {
	plan := &e.plans[account.plan]
	if e.settings.QuotaWithoutGossip && account.setSize > 1 &&
		e.now-account.lastRequestAt < e.derived.coolDownMillis {
		return unboundedDemandPerMilli // peers may spend as well without reporting it: only the share counts
	}
	d := account.decayedDemand * math.Exp((account.lastRequestAt-e.now)/plan.demandWindowMillis)
	if plan.sparse {
		d /= 1 - math.Exp(-math.Max(e.now-e.startedAt,
			startupIntervalFraction*e.derived.reportIntervalMillis)/plan.demandWindowMillis)
	}
	return d
}

// rateLimitFullAt returns when a customer's share of its rate limit is full again if all reserved units are
// spent too; 0 if there is no rate limit. A later run of the gateway reads the time by the rate limits that
// this run started with. If they have changed since, the lower of both rates is used, so that the later run
// assumes no less to be spent than is.
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

// gcraWait returns after how many ms a store that is full at tat (the GCRA's theoretical arrival time),
// refills at rate and holds depth has the units; 0 means that it has them now.
func gcraWait(tat, now, rate, depth, units float64) float64 {
	return gcra.Wait(tat, now, rate, depth, units)
}

// storeDepth returns how many units a quota store of a plan holds that refills at a rate, in units a ms:
// the burst at that rate, but at least the largest request.
func (e *Engine) storeDepth(plan *planParams, rate float64) float64 {
	return math.Max(rate*plan.burstMillis, plan.maxUnits)
}

// sparseRate returns the mean rate at which a sparse share is credited, in units a ms: its part of the
// floor, and what creditSparseShare adds as requests arrive.
func (e *Engine) sparseRate(account *customerAccount) float64 {
	return account.sharePerMilli + e.plans[account.plan].ratePerMilli*(1-floorFraction)*math.Min(
		e.ownDemand(account)/math.Max(e.totalDemand(account), 1e-12), 1)
}

// charge takes a request's units from its customer's stores at the first attempt. While the request's body
// is still arriving its units are only reserved: a body that never reaches a worker complete takes nothing.
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
		if !e.usesShareOnly(account) { // else peers would not use a report of it
			account.unreportedUnits += request.quotaUnits
		}
		if e.refill(account); request.withinQuota { // requests beyond the quota take nothing from the share
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

// newPlanParams derives the parameters of decisions from a plan. maxTargetMillis is the longest latency
// target of all products.
func newPlanParams(plan Plan, derived *derivedSettings, maxTargetMillis float64) planParams {
	params := planParams{ratePerMilli: plan.QuotaPerSecond / 1000,
		rateLimitPerMilli: plan.RateLimitPerSecond / 1000, rateLimitBurst: plan.RateLimitBurst,
		maxInFlight: plan.MaxInFlight, allowsExcess: plan.ExcessValueFraction > plan.ExcessCostFraction,
		maxUnits: derived.maxRequestUnits, demandWindowMillis: demandWindowMillis, shortDeadlineSuccess: 1}
	switch {
	case plan.QuotaPerSecond > 0:
		params.burstMillis = plan.QuotaBurst / params.ratePerMilli
	case plan.MaxInFlight > 0:
		params.targetInFlight = bestInFlight(plan)
		params.attemptMillis, params.maxUnits = targetPressureFraction*maxTargetMillis, 1
		params.deriveRate()
	}
	if derived.gatewayCount > maxDenseGateways &&
		params.burstMillis < sparseBurstIntervals*derived.reportIntervalMillis &&
		params.ratePerMilli*params.burstMillis*coldShareFraction < params.maxUnits*float64(derived.gatewayCount) {
		params.sparse = true
		params.demandWindowMillis = max(demandWindowMillis, derived.reportIntervalMillis,
			min(params.burstMillis, maxDemandWindowMillis))
	}
	// Demand that a peer has reported decays here until its next report. The factor offsets that on average.
	params.decayCompensation = derived.reportIntervalMillis / params.demandWindowMillis /
		(1 - math.Exp(-derived.reportIntervalMillis/params.demandWindowMillis))
	return params
}
