package policy

import (
	"math"
)

// releaseReferences ends the references of attempts to their workers.
func (e *Engine) releaseReferences(subs []attemptState) {
	for i := range subs {
		e.workers[subs[i].worker].references--
	}
}

// WorkerUnreferenced tells whether no open request has been sent to a worker: if the worker is gone its
// index may be reused.
func (e *Engine) WorkerUnreferenced(workerIndex int) bool {
	return workerIndex >= len(e.workers) || e.workers[workerIndex].references == 0
}

// attemptState is one delivery of a request to a worker.
type attemptState struct {
	worker     int
	zone, cell int // of its worker when it was sent; the worker may be moved meanwhile
	sentAt     float64
	inFlight   bool
	cancelled  bool // the host was told to stop waiting for it
	counted    bool // it counts against the window
	abandoned  bool // its worker was silent, and has been blamed for it
}

// requestState is what is known of a request until its last attempt has ended.
type requestState struct {
	id                uint64
	accountIndex      int32
	product, plan     int
	units, quotaUnits float64 // its size, and what it takes from its quota
	borrowedUnits     float64 // what it takes from its customer's credit instead
	deadline          float64
	attempts          []attemptState
	inFlight          int
	mayHaveRun        bool         // some attempt may have run
	firstUncertain    attemptState // the first one that may have
	firstUncertainAt  float64
	answered          bool // it has its final answer
	wantsAttempt      bool // it is to be hedged, or moved to another worker
	bodyPending       bool // the last byte of its body has not gone out
	bodyForwarded     bool // its body has begun to go out, and is not kept: it cannot be sent again
	withinQuota       bool // its quota had the units when it was admitted
	shortDeadline     bool // it arrived with little time left
	reserved          bool // its units are reserved
	clearance         clearanceStage
	clearanceMillis   float64 // how long its clearance lasts
	live              bool    // the entry is in use
}

// nextCancel returns the decision to cancel an attempt in flight of a request, if cancelling is allowed.
func (e *Engine) nextCancel(request *requestState) (Decision, bool) {
	for i := range request.attempts {
		if attempt := &request.attempts[i]; attempt.inFlight && !attempt.cancelled && e.derived.allowCancel {
			attempt.cancelled = true
			return Decision{Kind: Cancel, RequestID: request.id, Attempt: i}, true
		}
	}
	return Decision{}, false
}

// startAttempt records an attempt that goes out.
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

// endAttempt records the end of an attempt, and returns its worker.
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

// ResponseStarted tells that the response to an attempt has started to stream: it is the client's now, and
// has no deadline.
func (e *Engine) ResponseStarted(id uint64, attemptIndex int) {
	if slot, ok := e.byID[id]; ok && attemptIndex >= 0 && attemptIndex < len(e.requests[slot].attempts) {
		request := &e.requests[slot]
		request.attempts[attemptIndex].cancelled, request.answered = true, true
		e.countInFlight(&request.attempts[attemptIndex], false) // the worker is done with it but for its passing on
		e.pending = append(e.pending, slot)
	}
}

// BodyForwarded tells that a body that is not kept has begun to go out with an attempt, or, where
// timeLeftMillis is positive, that its last byte has: the client waits so long from now on.
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

// submitDecision returns the decision that sends a request's newest attempt to a worker before a time.
func (e *Engine) submitDecision(request *requestState, workerIndex int, latest float64) Decision {
	return Decision{Kind: Submit, RequestID: request.id, Worker: workerIndex, Attempt: len(request.attempts) - 1,
		WaitMillis: request.deadline -
			e.now,
		AtMillis: request.deadline, SendBeforeMillis: latest, RateLimitFullAtMillis: e.rateLimitFullAt(
			&e.accounts[request.accountIndex])}
}

// countInFlight records whether an attempt counts against the window.
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

// recordUncertain notes that an attempt may have run.
func (e *Engine) recordUncertain(request *requestState, attempt *attemptState) {
	if !request.mayHaveRun || attempt.sentAt < request.firstUncertainAt {
		request.firstUncertain, request.firstUncertainAt = *attempt, attempt.sentAt
	}
	request.mayHaveRun = true
}

// ClientGone tells that the client of a request no longer waits.
func (e *Engine) ClientGone(id uint64) {
	if slot, ok := e.byID[id]; ok && !e.requests[slot].answered {
		e.requests[slot].answered = true
		e.stats.FinalByReason[ReasonClientGone]++
		e.pending = append(e.pending, slot)
	}
}

// submitTo starts an attempt at a worker and returns the decision to send it.
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
