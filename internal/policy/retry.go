package policy // what became of submissions, and which of them may be made again

import "math"

// Ended tells how submission n of a txn ended, and whether that closed the txn, now or earlier.
func (e *Engine) AttemptEnded(id uint64, attemptIndex int, outcome Outcome, responseMillis float64,
	closed bool) {
	slot, ok := e.byID[id]
	if !ok || attemptIndex < 0 || attemptIndex >= len(e.requests[slot].attempts) ||
		!e.requests[slot].attempts[attemptIndex].inFlight {
		return
	}
	request := &e.requests[slot]
	attempt := &request.attempts[attemptIndex]
	worker, plan := e.endAttempt(request, attempt), &e.plans[request.plan]
	if plan.targetInFlight > 0 && outcome != NotSent {
		plan.attemptMillis += fleetResponseGain * (responseMillis - plan.attemptMillis)
	}
	if request.shortDeadline && outcome == Succeeded {
		plan.shortDeadlineSuccess += shortDeadlineGain * (1 - plan.shortDeadlineSuccess)
	} else if request.shortDeadline && outcome == TimedOut {
		plan.shortDeadlineSuccess -= shortDeadlineGain * plan.shortDeadlineSuccess
	}
	latencyTargetMillis := math.Max(e.products[request.product].latencyTargetMillis, 1)
	if slow := responseMillis > slowRequestResponses*math.Max(e.responseMillis, 1); slow &&
		outcome == Succeeded {
		e.slowRequests.add(1, e.now, lostRequestDecayMillis)
	} else if slow && outcome == TimedOut && worker.heardAt >= attempt.sentAt {
		e.lostRequests.add(1, e.now, lostRequestDecayMillis)
	}
	if outcome <= Overloaded || outcome == ConnectFailed || outcome == ConnectionLost {
		worker.heardAt = e.now
	}
	switch outcome {
	case Succeeded:
		if attempt.sentAt < e.stalledUntil {
			break
		}
		e.recordResponse(worker, responseMillis)
		e.recordWarmWork(worker, request.units)
		// else it is those few workers that are pressed
		if e.acceptingFraction[e.classOf(request)] > minAcceptingFraction {
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
			// where tries are short, late answers are never seen
			if responseMillis < workerFaultResponses*e.responseMillis {
				e.recordPressure(1)
			}
		}
		e.recordUncertain(request, attempt)
	case Cancelled:
		e.recordUncertain(request, attempt)
	}
	if closed && !request.answered {
		request.answered = true
		e.stats.FinalByReason[ReasonSucceeded]++
	}
	e.pending = append(e.pending, slot)
}

// turned notes that a worker turned a txn away as full. It counts as full for all only once it has done so to
// more than one plan and product, as far as there are more. Guards against workers that turn away one of them
// though they have room. A plan turned away by a part of the workers gets the rest's part of the window.
func (e *Engine) recordRejection(worker *workerRecord, request *requestState) {
	e.rejectionsOf(worker)[e.classOf(request)].add(1, e.now, rejectionDecayMillis)
	plan, product := len(e.plans) == 1, len(e.products) == 1
	for i := range worker.rejections {
		if e.rejectsClass(worker, i) {
			plan = plan || i/len(e.products) != request.plan
			product = product || i%len(e.products) != request.product
		}
	}
	worker.overloaded = plan && product
}

// turnsAway tells whether a worker is held to turn a sort of txn away.
func (e *Engine) rejectsClass(worker *workerRecord, sort int) bool {
	return worker.rejections != nil && worker.rejections[sort].value(e.now,
		rejectionDecayMillis) > rejectionThreshold
}

// watch looks at a waiting txn for a silent worker.
func (e *Engine) checkSilentWorkers(request *requestState) {
	if !request.live || request.answered || request.bodyPending {
		return
	}
	product := &e.products[request.product]
	// beat may be beyond it
	e.nextScanAt = math.Min(e.nextScanAt, math.Max(request.deadline, e.now+deadlineMarginMillis))
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.inFlight || attempt.abandoned {
			continue
		}
		worker, startedAt := &e.workers[attempt.worker], math.Max(attempt.sentAt, e.stalledUntil)
		if worker.heardAt >= attempt.sentAt {
			// Guards against answers that get lost though their worker is well. A txn that is only long would be
			// long again, so it acts only while more of such age were never answered than late, once a txn.
			dueAt := startedAt + math.Max(silentWorkerTargetFraction*product.latencyTargetMillis,
				slowRequestResponses*math.Max(e.responseMillis, worker.responseMillis))
			switch losesResponses := e.lostRequests.value(e.now, lostRequestDecayMillis) > e.slowRequests.value(e.now,
				lostRequestDecayMillis)+1; {
			case losesResponses && e.now >= dueAt && len(request.attempts) == 1:
				attempt.abandoned, request.wantsAttempt = true, true
			case losesResponses && e.now < dueAt:
				e.nextScanAt = math.Min(e.nextScanAt, math.Max(dueAt, e.now+scanIntervalMillis))
			}
			continue
		}
		e.nextScanAt = math.Min(e.nextScanAt,
			math.Max(startedAt+silentWorkerTargetFraction*product.latencyTargetMillis, e.now+scanIntervalMillis))
		ageMillis := e.now - startedAt
		owedResponses := ageMillis * float64(worker.inFlight) / math.Max(e.responseMillis, 1)
		if ageMillis < silentWorkerTargetFraction*product.latencyTargetMillis {
			continue
		}
		// Guards against workers that take txns and answer none: a hang, a lost hall, a cut link. The place of
		// such a txn is free for others well before it is moved, as moving one that is only slow wastes its work.
		if owedResponses > workerFaultResponses {
			e.countInFlight(attempt, false)
		}
		if !attempt.counted && !attempt.abandoned && owedResponses > abandonAfterResponses {
			attempt.abandoned, request.wantsAttempt = true, true
			e.recordFailure(worker, ageMillis)
		}
	}
}

// mayRepeat is until when a further submission may begin under the rule against double effects; 0 is never.
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

// giveUp ends a txn at once: declined where that promise holds, else voided.
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

func (e *Engine) submitTo(request *requestState, workerIndex int) Decision {
	latest := e.retryUntil(request, request.inFlight > 0)
	if len(request.attempts) == 0 {
		e.charge(request)
	}
	worker := &e.workers[workerIndex]
	if e.warmFraction(worker.StartedAtMillis) < 1 {
		worker.slowStartAt, worker.slowStartDebt = e.now, request.units
	}
	e.countInFlight(e.startAttempt(request, workerIndex), !request.bodyPending)
	return e.submitDecision(request, workerIndex, latest)
}
