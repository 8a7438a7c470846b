package policy

import (
	"math"
)

// Constants of the congestion window and of load shedding. Pressure is the response time as a fraction of
// the latency target.
const (
	// targetPressureFraction is the smoothed pressure above which the congestion window shrinks. Where late
	// answers still have value, responses may be slower (see lateValueSlackFactor).
	targetPressureFraction = 0.25
	// lateValueSlackFactor is the increase of the accepted pressure, in multiples of targetPressureFraction,
	// for each unit of the products' mean LateValueFraction.
	lateValueSlackFactor = 2.0
	// pressureGain is the weight of the newest response in the smoothed pressure.
	pressureGain = 0.08
	// windowUseFraction is the fraction of the window that has to be in use for the window to grow.
	windowUseFraction = 0.7
	// windowFastGrowthPressureFraction is the fraction of the target pressure below which the window grows
	// fast.
	windowFastGrowthPressureFraction = 0.5
	// windowFastGrowthPerResponse is the growth of the window, in attempts, for each response while it grows
	// fast. Small windows grow by less.
	windowFastGrowthPerResponse = 0.2
	// windowGrowthPerCycle is the growth of the window, in attempts, over as many responses as it is large,
	// while it does not grow fast.
	windowGrowthPerCycle = 1.0
	// minWindowPerWorker is the number of attempts for each warm worker that the smallest windows of all
	// gateways add up to, before the allowance that minWindowDeviations adds.
	minWindowPerWorker = 1.5
	// minWindowDeviations is how many standard deviations of the number in flight are added to a gateway's
	// smallest window, as random variation does not average out over a few attempts.
	minWindowDeviations = 2.5
	// maxMinWindowAllowanceFactor bounds what minWindowDeviations adds, as a multiple of the gateway's part of
	// minWindowPerWorker: the allowances of many gateways add up at the workers.
	maxMinWindowAllowanceFactor = 2.0
	// sheddingWindowFraction is the fraction of the window that is closed to requests without value, if the
	// settings weigh only the total value. Requests of more value may fill more of the window.
	sheddingWindowFraction = 0.4
	// sheddingFairnessFactor is how fast sheddingWindowFraction falls as the weight of the worst-served plan
	// rises.
	sheddingFairnessFactor = 2.5
	// minWindowCutFraction is the least fraction of the window in use that one cut leaves.
	minWindowCutFraction = 0.7
	// windowCutIntervalMillis is the least time between two cuts of the window: the effect of a cut shows only
	// after a response time.
	windowCutIntervalMillis = 150.0
	// spareWindowFraction is the fraction of the window that attempts in flight have to stay below for there
	// to be spare capacity for requests beyond a quota.
	spareWindowFraction = 0.5
	// sparePressureFraction is the fraction of the target pressure below which there is spare capacity for
	// requests beyond a quota.
	sparePressureFraction = 0.4
	// shortDeadlineResponses is the time left, in mean response times, below which a request counts as one
	// with a short deadline.
	shortDeadlineResponses = 3.5
	// minShortDeadlineSuccessFraction is the fraction of a plan's short-deadline requests that has to succeed
	// for more of them to be admitted. Below it they waste more work than they bring value.
	minShortDeadlineSuccessFraction = 0.65
	// shortDeadlineTrialFraction is the fraction of a plan's short-deadline requests that is admitted even
	// while too few of them succeed, to notice when they succeed again.
	shortDeadlineTrialFraction = 0.1
	// shortDeadlineGain is the weight of the newest outcome in a plan's fraction of successful short-deadline
	// requests.
	shortDeadlineGain = 0.1
	// minTimeLeftResponses is the time left, in mean response times, below which a request is rejected as too
	// late to be worth a worker's time.
	minTimeLeftResponses = 1.0
	// overloadRetryTargetFraction is the retry-after time of a request rejected under load, as a fraction of
	// the latency target.
	overloadRetryTargetFraction = 0.25
)

// admit decides on the first attempt of a request. It returns ReasonSucceeded if the request is admitted,
// else the reason for rejecting it and after how many ms the client may retry.
func (e *Engine) admit(request *requestState) (FinalReason, float64) {
	account, plan := &e.accounts[request.accountIndex], &e.plans[request.plan]
	if e.handedOff {
		return ReasonOverload, 0
	}
	windowHasRoom := float64(e.inFlight) < e.currentWindow()*e.windowFraction[request.product][request.plan] &&
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
	// A limit that divides evenly among the gateways needs no split by demand: each gateway has a fixed number
	// of attempts.
	if plan.targetInFlight > 0 && plan.maxInFlight%account.setSize == 0 {
		limit, request.withinQuota = plan.maxInFlight/account.setSize, true
	} else if plan.ratePerMilli > 0 {
		wait := e.shareWait(account, request.quotaUnits)
		if !e.usesShareOnly(account) {
			wait = math.Min(wait, e.quotaWait(account, request.quotaUnits))
		}
		if request.withinQuota = wait <= 0; !request.withinQuota &&
			(!plan.allowsExcess || !e.hasSpareCapacity()) &&
			!e.borrow(request, account) {
			return ReasonQuota, wait
		}
	}
	if plan.maxInFlight > 0 && account.inFlight >= limit {
		if request.withinQuota = false; !plan.allowsExcess || !e.hasSpareCapacity() {
			return ReasonQuota, e.responseMillis
		}
	}
	// Guards against deadlines that are too short for the fleet: the client would have left before the
	// response, and would repeat the request. This may hurt a fast product beside very slow ones, as the mean
	// response time covers all products. Requests with a short deadline are admitted while most of them
	// succeed.
	leftMillis := request.deadline - e.now
	request.shortDeadline = leftMillis < shortDeadlineResponses*e.responseMillis
	if !windowHasRoom || leftMillis < minTimeLeftResponses*e.responseMillis || request.shortDeadline &&
		plan.shortDeadlineSuccess < minShortDeadlineSuccessFraction &&
		e.rng.Float64() > shortDeadlineTrialFraction {
		return ReasonOverload, overloadRetryTargetFraction * e.products[request.product].latencyTargetMillis
	}
	return ReasonSucceeded, 0
}

// hasSpareCapacity reports whether there is capacity for requests beyond a quota: enough of the window is
// unused, and responses are fast. The window alone is not sufficient: with many gateways each has few
// attempts in flight, even while the workers are overloaded.
func (e *Engine) hasSpareCapacity() bool {
	return float64(e.inFlight) < spareWindowFraction*e.window &&
		e.pressure < sparePressureFraction*targetPressureFraction
}

// recordPressure adds the time of one response, as a fraction of its latency target, to the smoothed
// pressure and adapts the window.
func (e *Engine) recordPressure(pressure float64) {
	e.pressure += pressureGain * (math.Min(pressure, 1) - e.pressure)
	switch {
	case e.pressure > targetPressureFraction && e.now-e.windowCutAt > windowCutIntervalMillis:
		e.windowCutAt = e.now
		used := math.Min(e.window, float64(e.inFlight)+1)
		e.window = math.Max(used*math.Max(targetPressureFraction/e.pressure, minWindowCutFraction), e.minWindow())
	// The 1 added to the attempts in flight stands for the one that has just ended.
	case e.pressure < windowFastGrowthPressureFraction*targetPressureFraction &&
		float64(e.inFlight)+1 > windowUseFraction*e.window:
		e.window += windowFastGrowthPerResponse * math.Min(e.window/minWindowDeviations, 1)
	case e.pressure < targetPressureFraction && float64(e.inFlight) > windowUseFraction*e.window:
		e.window += windowGrowthPerCycle / math.Max(e.window, 1)
	}
}

// currentWindow returns how many attempts may be in flight now: the window, and the allowance after a
// stall.
func (e *Engine) currentWindow() float64 {
	return e.window + e.stallAllowance*math.Exp((e.stalledUntil-e.now)/stallAllowanceDecayMillis)
}

// minWindow returns the initial window and its lower bound. A small number of attempts in flight varies
// much in relation to its mean, and gateways cannot use each other's windows: without an allowance for
// that, many requests would be rejected while workers are idle.
func (e *Engine) minWindow() float64 {
	return minWindowFor(minWindowPerWorker * math.Max(e.warmEquivalents, 1) / float64(e.derived.gatewayCount))
}

// minWindowFor returns the smallest window for a mean number of attempts in flight, with an allowance for
// its random variation.
func minWindowFor(meanInFlight float64) float64 {
	return meanInFlight + math.Min(minWindowDeviations*math.Sqrt(meanInFlight),
		maxMinWindowAllowanceFactor*meanInFlight)
}

// windowFractions returns the fraction of the window that requests may fill, by product (first index) and
// plan: the less their value in relation to maxValue, the value of the most valuable requests, the less of
// the window.
func windowFractions(settings *Settings, maxValue float64) [][]float64 {
	sheddingFraction := sheddingWindowFraction * math.Max(0,
		1-sheddingFairnessFactor*settings.WorstPlanWeight/math.Max(settings.WorstPlanWeight+settings.TotalWeight,
			1e-9))
	var all [][]float64
	for _, product := range settings.Products {
		fractions := make([]float64, len(settings.Plans))
		for i, plan := range settings.Plans {
			if fractions[i] = 1; maxValue > 0 {
				fractions[i] = 1 - sheddingFraction*(1-product.Value*plan.ValueFactor/maxValue)
			}
		}
		all = append(all, fractions)
	}
	return all
}
