package policy // which txns are let in: quotas, the shares that they are divided into, and pressure

import "math"

// admit decides on a txn's first submission: BySettled lets it in, else the reason and when to return.
func (e *Engine) admit(request *requestState) (FinalReason, float64) {
	account, plan := &e.accounts[request.accountIndex], &e.plans[request.plan]
	if e.handedOff {
		return ReasonOverload, 0
	}
	room := float64(e.inFlight) < e.currentWindow()*e.windowFraction[request.product][request.plan] &&
		float64(e.inFlightByClass[e.classOf(request)]) < math.Max(e.currentWindow()*e.acceptingFraction[e.classOf(
			request)], 1)
	if plan.rateLimitPerMilli > 0 || plan.rateLimitBurst > 0 {
		rate, depth := plan.rateLimitPerMilli/float64(account.setSize), plan.rateLimitBurst/float64(account.setSize)
		if wait := gcraWait(account.rateLimitFullAt, e.now, rate, depth,
			request.units+account.reservedUnits); wait > 0 {
			return ReasonRateLimit, wait
		}
	}
	limit := plan.maxInFlight
	// parts of the limit are whole submissions, which need no split
	if plan.targetInFlight > 0 && plan.maxInFlight%account.setSize == 0 {
		limit, request.withinQuota = plan.maxInFlight/account.setSize, true
	} else if plan.ratePerMilli > 0 {
		wait := e.shareWait(account, request.quotaUnits)
		if !e.quotaUnseen(account) {
			wait = math.Min(wait, e.quotaWait(account, request.quotaUnits))
		}
		if request.withinQuota = wait <= 0; !request.withinQuota && !(plan.allowsExcess && e.hasSpareCapacity()) &&
			!e.borrow(request, account) {
			return ReasonQuota, wait
		}
	}
	if plan.maxInFlight > 0 && account.inFlight >= limit {
		if request.withinQuota = false; !(plan.allowsExcess && e.hasSpareCapacity()) {
			return ReasonQuota, e.responseMillis
		}
	}
	// Guards against tries too short for the fleet: their work is done for nobody and comes again. It may hurt
	// a fast product beside very slow ones. What is not hopeless is tried where most such tries succeed.
	left := request.deadline - e.now
	request.shortDeadline = left < shortDeadlineResponses*e.responseMillis
	if !room || left < minTimeLeftResponses*e.responseMillis || request.shortDeadline &&
		plan.shortDeadlineSuccess < minShortDeadlineSuccessFraction &&
		e.rng.Float64() > shortDeadlineProbeFraction {
		return ReasonOverload, overloadRetryTargetFraction * e.products[request.product].latencyTargetMillis
	}
	return ReasonSucceeded, 0
}

// spare tells whether there is capacity for txns beyond a quota: little of the window is in use, and answers
// are quick. Among many gatekeepers each has few submissions out, however pressed the fleet.
func (e *Engine) hasSpareCapacity() bool {
	return float64(e.inFlight) < spareWindowFraction*e.window &&
		e.pressure < sparePressureFraction*targetPressureFraction
}

// fill brings a customer's slice, and the quota's one store as far as it is known here, up to now.
func (e *Engine) refill(account *customerAccount) {
	plan := &e.plans[account.plan]
	elapsedMillis := e.now - account.filledAt
	if elapsedMillis <= 0 {
		return
	}
	rate := plan.ratePerMilli
	if account.hot && account.setSize > 1 {
		// Guards against peers that spend unheard: their messages or ours are lost, or they are cut off.
		rate -= (rate - account.sharePerMilli) * float64(e.silentPeersOf(account)) / float64(account.setSize-1)
	}
	account.quotaTokens = math.Min(account.quotaTokens+elapsedMillis*rate, e.storeDepth(plan, plan.ratePerMilli))
	account.shareTokens = math.Min(account.shareTokens+elapsedMillis*account.sharePerMilli, e.storeDepth(plan,
		account.sharePerMilli))
	account.peerDemand = math.Max(account.peerDemand*math.Exp(-elapsedMillis/plan.demandWindowMillis), 0)
	account.peerSpent *= math.Exp(-elapsedMillis / peerSpendWindowMillis)
	account.filledAt = e.now
}

// roomWait is how long until the quota's store, as known here, has the units and peers' unheard; 0 is now.
func (e *Engine) quotaWait(account *customerAccount, units float64) float64 {
	e.refill(account)
	priorDemand := e.ownDemand(account) - units/e.plans[account.plan].demandWindowMillis
	reservePerMilli := math.Max(account.peerSpent/peerSpendWindowMillis,
		priorDemand*float64(min(account.setSize-1, maxAlikePeers)))
	unheardMillis := unheardSpendIntervals * e.derived.reportIntervalMillis
	if e.reportsImmediately(account) {
		unheardMillis = immediateDelayMillis
	}
	missingUnits := units + account.reservedQuotaUnits + reservePerMilli*unheardMillis - account.quotaTokens
	return math.Max(missingUnits/e.plans[account.plan].ratePerMilli, 0)
}

// sliceWait is how long until a customer's own slice has the units; 0 is now.
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

// account finds or opens the account of an arrival, and fills in what only a txn tells.
func (e *Engine) accountFor(arrival Request) int32 {
	accountIndex, ok := e.accountByCustomer[uint32(arrival.Customer)]
	if !ok {
		accountIndex = e.openAccount(arrival.Customer&math.MaxUint32, arrival.Plan)
	}
	account := &e.accounts[accountIndex]
	n, first := min(max(arrival.SetSize, 1), e.derived.gatewayCount), max(arrival.FirstGateway,
		0)%e.derived.gatewayCount
	// new, known from peers alone, of another set or plan
	if account.setSize != n || account.firstGateway != first || account.plan != arrival.Plan {
		plan, from, most := &e.plans[arrival.Plan], e.rateLimitBase, math.Inf(1)
		if ok && account.setSize == 0 {
			e.remoteOnlyAccounts--
		} else if ok && (account.setSize != n || account.firstGateway != first) {
			// others may have had its part meanwhile, or have it still
			from, most = e.now, account.shareTokens
		}
		if account.plan != arrival.Plan {
			account.quotaTokens = e.storeDepth(plan, plan.ratePerMilli)
		}
		account.plan, account.setSize, account.firstGateway = arrival.Plan, n, first
		if plan.rateLimitPerMilli > 0 {
			// A former life of this gatekeeper may have spent its whole slice just before it ended.
			account.rateLimitFullAt = math.Max(account.rateLimitFullAt,
				from+plan.rateLimitBurst/plan.rateLimitPerMilli)
		}
		if account.shareTokens = math.Min(e.initialShareTokens(account), most); e.isSparse(account) {
			// of many that fill slowly, chance spreads the turns
			account.shareTokens = plan.quotaCost(arrival.Units) * e.rng.Float64()
		}
		e.updateShare(account)
	}
	return accountIndex
}

// startLevel is what a slice holds at first: full, though without the rounding up to the largest txn, which
// over all gatekeepers of a large set would come to many times the quota's burst.
func (e *Engine) initialShareTokens(account *customerAccount) float64 {
	return e.coldShare(account) * e.plans[account.plan].burstMillis
}

// coldSlice is what a cold customer runs at, units a ms.
func (e *Engine) coldShare(account *customerAccount) float64 {
	return e.plans[account.plan].ratePerMilli / float64(max(account.setSize, 1)) * coldShareFraction
}

// reshare sets a customer's share: the cold slice, or the floor and its part of the rest by demand.
func (e *Engine) updateShare(account *customerAccount) {
	rate, n := e.plans[account.plan].ratePerMilli, float64(max(account.setSize, 1))
	if e.isSparse(account) { // the rest is credited as demand comes
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

// total is a customer's demand at all its gatekeepers, as far as it is known here.
func (e *Engine) totalDemand(account *customerAccount) float64 {
	plan, others := &e.plans[account.plan], account.peerDemand
	// not all have spoken yet
	if intervalsSinceStart := (e.now - e.startedAt) / e.derived.reportIntervalMillis; plan.sparse &&
		intervalsSinceStart < 1 {
		others /= math.Max(intervalsSinceStart, startupIntervalFraction)
	}
	heardDemand := e.ownDemand(account) + others*plan.decayCompensation
	total := heardDemand + account.silentPeerDemand
	// a silent peer that never spoke of the customer counts as the mean of those that may speak
	if account.setSize > 1 {
		silentPeers := e.silentPeersOf(account)
		total += heardDemand / float64(max(account.setSize-silentPeers, 1)) *
			float64(max(silentPeers-account.silentPeers, 0))
	}
	return total
}

// sparse tells whether a customer's slices are too small to hold a txn, over many gatekeepers.
func (e *Engine) isSparse(account *customerAccount) bool {
	return e.plans[account.plan].sparse && account.setSize > 0 &&
		e.initialShareTokens(account) < e.plans[account.plan].maxUnits
}

// prompt tells whether a customer's set is so small that each txn sent on is told at once.
func (e *Engine) reportsImmediately(account *customerAccount) bool {
	return e.derived.immediatePerMilli > 0 && !e.handedOff && account.setSize > 1 &&
		account.setSize <= maxImmediateSetSize
}

// blind tells whether news of a customer's whole store comes too late to go by.
func (e *Engine) quotaUnseen(account *customerAccount) bool {
	return !e.reportsImmediately(account) && e.isSparse(account)
}

// credit puts in a sparse slice what units asked here bring it of the split, rate x (1 - beta) x own / total,
// at once and not over the memory: a gatekeeper that sees a txn in many seconds would have it too late.
func (e *Engine) creditSparseShare(account *customerAccount, units float64) {
	plan, total := &e.plans[account.plan], e.totalDemand(account)
	// Guards against bursts that end before a word of them comes: what was asked here in the last second, scaled
	// up by this gatekeeper's usual part of the customer's demand, is taken to be asked at the peers too.
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

// mostOut is how many submissions a quota on those out should have out on average: where one more earns no
// more than it costs, as many gatekeepers that don't see each other's meet by chance.
func bestInFlight(plan Plan) float64 {
	best, most, step := 0.0, 0.0, math.Max(inFlightSearchStep, float64(plan.MaxInFlight)/maxInFlightSearchSteps)
	for a := step; a <= float64(plan.MaxInFlight); a += step {
		inside, term := 0.0, math.Exp(-a)
		for k := range plan.MaxInFlight { // Poisson: fewer than the limit are out
			inside, term = inside+term, term*a/float64(k+1)
		}
		if earns := a * (inside + (1-inside)*math.Min(plan.ExcessValueFraction-plan.ExcessCostFraction,
			0)); earns > best {
			best, most = earns, a
		}
	}
	return most
}

// pressed takes one answer's time over its SLA time, and moves the window.
func (e *Engine) recordPressure(pressure float64) {
	e.pressure += pressureGain * (math.Min(pressure, 1) - e.pressure)
	switch {
	case e.pressure > targetPressureFraction && e.now-e.windowCutAt > windowCutPauseMillis:
		e.windowCutAt = e.now
		used := math.Min(e.window, float64(e.inFlight)+1)
		e.window = math.Max(used*math.Max(targetPressureFraction/e.pressure, minWindowCutFraction), e.minWindow())
	// with the one that has just ended
	case e.pressure < windowLeapPressureFraction*targetPressureFraction &&
		float64(e.inFlight)+1 > windowUseFraction*e.window:
		e.window += windowLeapPerResponse * math.Min(e.window/minWindowDeviations, 1)
	case e.pressure < targetPressureFraction && float64(e.inFlight) > windowUseFraction*e.window:
		e.window += windowGrowthPerRound / math.Max(e.window, 1)
	}
}

// room is how many submissions may be out now.
func (e *Engine) currentWindow() float64 {
	return e.window + e.stallAllowance*math.Exp((e.stalledUntil-e.now)/stallAllowanceDecayMillis)
}

// leastWindow is what the window starts at and keeps, leastOf the same of any part. Few txns swing much, and
// no other gatekeeper can lend its room: without the allowance many decline while workers idle.
func (e *Engine) minWindow() float64 {
	return minWindowFor(minWindowPerWorker * math.Max(e.warmEquivalents, 1) / float64(e.derived.gatewayCount))
}

func minWindowFor(part float64) float64 {
	return part + math.Min(minWindowDeviations*math.Sqrt(part), maxMinWindowAllowanceFactor*part)
}
