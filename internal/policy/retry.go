package policy

import (
	"math"
)

// RetractAttempt undoes the newest attempt of a request, which was not sent because its SendBeforeMillis
// had passed. The request is decided on again; if it was its first attempt, as if it had just arrived. The
// units that it has taken are not given back. RetractAttempt returns false if that is not possible; the
// attempt has then to end as NotSent.
func (e *Engine) RetractAttempt(id uint64, attemptIndex int) bool {
	slot, ok := e.byID[id]
	if !ok || attemptIndex < 0 || attemptIndex != len(e.requests[slot].attempts)-1 ||
		!e.requests[slot].attempts[attemptIndex].inFlight {
		return false
	}
	request := &e.requests[slot]
	e.endAttempt(request, &request.attempts[attemptIndex])
	e.releaseReferences(request.attempts[attemptIndex:])
	request.attempts = request.attempts[:attemptIndex]
	if attemptIndex == 0 {
		e.releaseReservation(request)
	}
	// A blocked plan admits nothing, not even requests that were cleared or sent before.
	if e.plans[request.plan].blocked() {
		request.deadline = math.Min(request.deadline, e.now)
	}
	e.pending = append(e.pending, slot)
	return true
}

// AttemptEnded records how an attempt of a request ended, after responseMillis. closed states whether the
// request has its answer, from this attempt or from an earlier event.
func (e *Engine) AttemptEnded(id uint64, attemptIndex int, outcome Outcome, responseMillis float64,
	closed bool) {
	slot, ok := e.byID[id]
	if !ok || attemptIndex < 0 || attemptIndex >= len(e.requests[slot].attempts) ||
		!e.requests[slot].attempts[attemptIndex].inFlight {
		return
	}
	request := &e.requests[slot]
	attempt := &request.attempts[attemptIndex]
	worker := e.endAttempt(request, attempt)
	e.recordAttemptTime(request, attempt, worker, outcome, responseMillis)
	e.recordOutcome(request, attempt, worker, outcome, responseMillis)
	if closed && !request.answered {
		request.answered = true
		e.stats.FinalByReason[ReasonSucceeded]++
	}
	e.pending = append(e.pending, slot)
}

// recordAttemptTime updates the statistics of how long attempts take, of how many short-deadline requests
// succeed, and of whether slow attempts succeed late or are lost.
func (e *Engine) recordAttemptTime(request *requestState, attempt *attemptState, worker *workerRecord,
	outcome Outcome, responseMillis float64) {
	plan := &e.plans[request.plan]
	if plan.targetInFlight > 0 && outcome != NotSent {
		plan.attemptMillis += fleetResponseGain * (responseMillis - plan.attemptMillis)
	}
	if request.shortDeadline && outcome == Succeeded {
		plan.shortDeadlineSuccess += shortDeadlineGain * (1 - plan.shortDeadlineSuccess)
	} else if request.shortDeadline && outcome == TimedOut {
		plan.shortDeadlineSuccess -= shortDeadlineGain * plan.shortDeadlineSuccess
	}
	if slow := responseMillis > slowRequestResponses*math.Max(e.responseMillis, 1); slow &&
		outcome == Succeeded {
		e.slowRequests.add(1, e.now, lostRequestDecayMillis)
	} else if slow && outcome == TimedOut && worker.receivedAt >= attempt.sentAt {
		e.lostRequests.add(1, e.now, lostRequestDecayMillis)
	}
	if outcome <= Overloaded || outcome == ConnectFailed || outcome == ConnectionLost {
		worker.receivedAt = e.now
	}
}

// recordOutcome updates the state of the worker and the pressure by the outcome of an attempt, and records
// whether the attempt may have run.
func (e *Engine) recordOutcome(request *requestState, attempt *attemptState, worker *workerRecord,
	outcome Outcome, responseMillis float64) {
	switch outcome {
	case Succeeded:
		if attempt.sentAt < e.stalledUntil {
			break
		}
		e.recordResponse(worker, responseMillis)
		e.recordWarmWork(worker, request.units)
		// If only few workers accept the class, its response times show the load of these workers, not of the
		// fleet.
		if e.acceptingFraction[e.classOf(request)] > minAcceptingFraction {
			latencyTargetMillis := math.Max(e.products[request.product].latencyTargetMillis, 1)
			e.recordPressure(responseMillis / latencyTargetMillis / e.derived.latencySlackFactor)
		}
	case Failed, ConnectionLost:
		e.recordFailure(worker, responseMillis)
		e.recordUncertain(request, attempt)
	case ConnectFailed:
		e.recordFailure(worker, responseMillis)
	case Overloaded:
		if e.recordRejection(worker, request); worker.overloaded {
			e.recordFailure(worker, responseMillis)
			e.recordPressure(1)
		}
	case TimedOut:
		if !attempt.abandoned {
			e.recordFailure(worker, responseMillis)
			// With a timeout this short, slow responses are never measured: the timeout counts as pressure instead.
			if responseMillis < workerFaultResponses*e.responseMillis {
				e.recordPressure(1)
			}
		}
		e.recordUncertain(request, attempt)
	case Cancelled:
		e.recordUncertain(request, attempt)
	}
}

// retryUntil returns the time until which another attempt may begin without the risk that the request takes
// effect twice; 0 means that none may. running states whether an attempt is in flight.
func (e *Engine) retryUntil(request *requestState, running bool) float64 {
	product := &e.products[request.product]
	switch {
	case len(request.attempts) >= e.derived.maxAttempts || request.bodyForwarded:
		return 0
	case !request.mayHaveRun && !running || product.idempotency == Idempotent:
		return math.Inf(1)
	case product.idempotency == NonIdempotent:
		return 0
	}
	from := request.firstUncertainAt
	for i := range request.attempts {
		if attempt := &request.attempts[i]; attempt.inFlight && (!request.mayHaveRun || attempt.sentAt < from) {
			from = attempt.sentAt
			break
		}
	}
	return from + product.dedupWindowMillis - scanIntervalMillis
}

// finish gives a request its final answer without a result: Reject if it certainly had no effect or is safe
// to repeat, else RejectUncertain.
func (e *Engine) finish(request *requestState, why FinalReason, wait float64) Decision {
	request.answered = true
	e.stats.FinalByReason[why]++
	e.pending = append(e.pending, e.byID[request.id])
	product := &e.products[request.product]
	if request.inFlight == 0 && !request.mayHaveRun || product.idempotency == Idempotent ||
		product.idempotency == Deduplicated &&
			product.dedupScope == DedupAcrossFleet {
		e.stats.Rejected++
		if !e.derived.allowRetryAfter {
			wait = 0
		}
		return Decision{Kind: Reject, RequestID: request.id, WaitMillis: math.Min(wait,
			e.derived.maxRetryAfterMillis)}
	}
	e.stats.RejectedUncertain++
	return Decision{Kind: RejectUncertain, RequestID: request.id}
}
