package policy

import (
	"math"
)

// SetGatewayCount changes the number of gateways to n. It is ignored if this gateway would not be one of
// them.
func (e *Engine) SetGatewayCount(n int) {
	if settings := e.settings; n != e.derived.gatewayCount && n > settings.GatewayIndex {
		settings.GatewayCount = n
		e.Reconfigure(settings)
	}
}

// Reconfigure puts new settings in force: rates, bursts and withheld fractions of the plans, the number of
// gateways, and QuotaWithoutGossip may change. It returns false and changes nothing if this gateway's index
// or the number of plans or products differs, or if the index is not below the number of gateways. The
// other gateways keep their indexes too; those whose index is not below the new number have ended. A
// customer's share changes with its set of gateways, which its next request names.
//
// The change adds no units to any store. Units spent of a rate limit stay spent: a limit that grows refills
// at its new rate from the units that it had, one that shrinks holds at most its new burst less the units
// spent, and a new one starts empty. While a fraction of a limit is withheld, all spent units count against
// the rest. When the fraction is released, its unspent units are available again.
func (e *Engine) Reconfigure(settings Settings) bool {
	gatewayCount := max(settings.GatewayCount, 1)
	if settings.GatewayIndex != e.derived.gatewayIndex || gatewayCount <= settings.GatewayIndex ||
		len(settings.Plans) != len(e.plans) || len(settings.Products) != len(e.products) {
		return false
	}
	e.resizeSets(gatewayCount)
	// The new engine only supplies the parameters that are derived from the settings.
	fresh, previousPlans, previousSettings := New(settings, 0), e.plans, e.settings
	if e.initialPlans == nil {
		e.initialPlans = previousSettings.Plans
	}
	for i := range fresh.plans {
		plan := &fresh.plans[i]
		plan.shortDeadlineSuccess = previousPlans[i].shortDeadlineSuccess
		plan.attemptMillis = previousPlans[i].attemptMillis
		plan.deriveRate()
		plan.restrict(&settings, settings.Plans[i].WithheldFraction)
		plan.recordedRatePerMilli = minPositive(plan.rateLimitPerMilli, e.initialPlans[i].RateLimitPerSecond/1000)
		e.advanceRateLimitBase(previousSettings.Plans[i], settings.Plans[i])
	}
	if settings.QuotaWithoutGossip { // ownDemand does not return the real demand then, so it is not reported
		fresh.derived.gossip, fresh.derived.immediatePerMilli = false, 0
	}
	// What peers spend while QuotaWithoutGossip is set is unknown. If no customer was known when it came into
	// force, the state is as after a start.
	unknown := (previousSettings.QuotaWithoutGossip || settings.QuotaWithoutGossip) && !e.emptyWhenGossipStopped
	switch {
	case settings.QuotaWithoutGossip && !previousSettings.QuotaWithoutGossip:
		e.emptyWhenGossipStopped = len(e.accountByCustomer) == 0
	case !settings.QuotaWithoutGossip && previousSettings.QuotaWithoutGossip && !e.emptyWhenGossipStopped:
		e.gossipResumedAt = e.now
	}
	copy(fresh.peers, e.peers)
	e.settings, e.derived, e.plans, e.peers = settings, fresh.derived, fresh.plans, fresh.peers
	e.silentPrefix, e.hotPrefix = fresh.silentPrefix, fresh.hotPrefix
	e.countSilentPeers()
	e.convertAccounts(previousPlans, previousSettings.Plans, unknown)
	e.expireBlockedClearances()
	e.rebuildReady()
	e.window = math.Max(e.window, e.minWindow())
	return true
}

// resizeSets adapts the peers and the customers' sets to a new number of gateways.
func (e *Engine) resizeSets(gatewayCount int) {
	for i := gatewayCount; i < e.derived.gatewayCount; i++ {
		e.setPeerSilent(i, false, false) // the last demand of gateways that have ended is not kept
	}
	// Customers' sets may change with the number of gateways: a customer that is not known here may have spent
	// its rate limit at the gateways of its earlier set.
	if gatewayCount != e.derived.gatewayCount {
		e.rateLimitBase = e.now
	}
	for i := range e.accounts {
		account := &e.accounts[i]
		if !account.live {
			continue
		}
		e.refill(account)
		// A set that no longer fits is replaced at the next request. Until then the rate limit counts as spent.
		if account.setSize > 0 && (account.firstGateway >= gatewayCount || account.setSize > gatewayCount) {
			account.rateLimitFullAt = math.Max(account.rateLimitFullAt,
				e.now+e.plans[account.plan].fullRefillMillis())
		}
		account.setSize = min(account.setSize, gatewayCount)
		account.firstGateway %= gatewayCount
	}
}

// convertAccounts adapts customers' stores from the previous plans to those in force. unknown states that
// it is not known what peers have spent: the whole quota then counts as spent, and what peers have reported
// is dropped.
func (e *Engine) convertAccounts(previousPlans []planParams, previousSettings []Plan, unknown bool) {
	for i := range e.accounts {
		account := &e.accounts[i]
		if !account.live {
			continue
		}
		plan := &e.plans[account.plan]
		account.rateLimitFullAt = e.rescaledFullAt(account, &previousPlans[account.plan],
			previousSettings[account.plan], e.settings.Plans[account.plan])
		if unknown {
			account.hot, account.quotaTokens = false, 0
			account.peerDemand, account.silentPeerDemand, account.silentPeers = 0, 0, 0
		}
		e.updateShare(account)
		account.shareTokens = math.Min(account.shareTokens, e.storeDepth(plan, account.sharePerMilli))
		account.quotaTokens = math.Min(account.quotaTokens, e.storeDepth(plan, plan.ratePerMilli))
	}
}

// expireBlockedClearances expires the clearances of requests whose plan is blocked.
func (e *Engine) expireBlockedClearances() {
	for i := range e.requests {
		if request := &e.requests[i]; request.live && request.clearance == clearanceGranted &&
			e.plans[request.plan].blocked() {
			request.deadline = math.Min(request.deadline, e.now)
			e.pending = append(e.pending, int32(i))
		}
	}
}

// restrict applies the withheld fraction and QuotaWithoutGossip to a plan. Without gossip all peers count
// as silent: the quota's split by demand then gives each gateway an even part of coldShareFraction x rate,
// which is the cold share.
func (plan *planParams) restrict(settings *Settings, withheld float64) {
	plan.rateLimitBurst *= 1 - withheld
	if withheld < 1 { // a rate limit that is withheld altogether still refills
		plan.rateLimitPerMilli *= 1 - withheld
	}
	if settings.QuotaWithoutGossip {
		plan.sparse, plan.allowsExcess = false, false
		plan.ratePerMilli, plan.targetInFlight = plan.ratePerMilli*coldShareFraction,
			plan.targetInFlight*coldShareFraction
		plan.deriveRate()
	}
}

// blocked reports whether a plan's rate limit admits nothing.
func (plan *planParams) blocked() bool {
	return plan.rateLimitPerMilli > 0 && plan.rateLimitBurst <= 0 || plan.rateLimitPerMilli <= 0 &&
		plan.rateLimitBurst > 0
}

// minPositive returns the lower of two rates, where 0 stands for no rate.
func minPositive(a, b float64) float64 {
	if a > 0 && b > 0 {
		return math.Min(a, b)
	}
	return math.Max(a, b)
}

// advanceRateLimitBase advances rateLimitBase if a plan's rate limit grows or is new, so that customers
// without an account find no more units in it than customers with one. All plans share the one base, so it
// advances for all.
func (e *Engine) advanceRateLimitBase(from, to Plan) {
	previousBurst := from.RateLimitBurst
	if from.RateLimitPerSecond <= 0 {
		previousBurst = 0
	}
	if to.RateLimitPerSecond > 0 && to.RateLimitBurst > previousBurst {
		e.rateLimitBase = math.Max(e.rateLimitBase, e.now-previousBurst/to.RateLimitPerSecond*1000)
	}
}

// rescaledFullAt returns when a customer's share of a rate limit is full again after the limit has changed.
func (e *Engine) rescaledFullAt(account *customerAccount, previous *planParams, from, to Plan) float64 {
	plan := &e.plans[account.plan]
	if to.RateLimitPerSecond <= 0 {
		return account.rateLimitFullAt
	}
	missingUnits := to.RateLimitBurst
	if from.RateLimitPerSecond > 0 {
		spent := math.Max(account.rateLimitFullAt-e.now, 0) * previous.rateLimitPerMilli
		missingUnits = math.Min(spent+math.Max(to.RateLimitBurst-from.RateLimitBurst, 0), to.RateLimitBurst)
	}
	// If the account was opened while the plan was blocked, its rate limit was not assumed to be spent then.
	if previous.blocked() && account.setSize > 0 {
		missingUnits = math.Max(missingUnits,
			to.RateLimitBurst-math.Max(e.now-e.rateLimitBase, 0)*to.RateLimitPerSecond/1000)
	}
	return e.now + missingUnits/plan.rateLimitPerMilli
}

// fullRefillMillis returns how long an empty share of a plan's rate limit takes to be full again, in ms; 0
// if there is no rate limit.
func (plan *planParams) fullRefillMillis() float64 {
	if plan.rateLimitPerMilli <= 0 {
		return 0
	}
	return plan.rateLimitBurst / plan.rateLimitPerMilli
}
