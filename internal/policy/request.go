package policy

import (
	"math"
)

// releaseReferences releases the references that attempts hold to their workers.
func (e *Engine) releaseReferences(attempts []attemptState) {
	for i := range attempts {
		e.workers[attempts[i].worker].references--
	}
}

// WorkerUnreferenced reports whether no open request has been sent to a worker. If so, the index of a
// worker that is gone may be reused.
func (e *Engine) WorkerUnreferenced(workerIndex int) bool {
	return workerIndex >= len(e.workers) || e.workers[workerIndex].references == 0
}

// attemptState is one delivery of a request to a worker.
type attemptState struct {
	worker     int
	zone, cell int // of the worker when the attempt was sent; the worker may have moved since
	sentAt     float64
	inFlight   bool
	cancelled  bool // it has been cancelled or must not be cancelled any more
	counted    bool // it counts against the congestion window
	abandoned  bool // it is assumed lost: another attempt was requested, and its timeout is no new failure
}

// requestState is the state of a request until its last attempt has ended.
type requestState struct {
	id                uint64
	accountIndex      int32
	product, plan     int
	units, quotaUnits float64 // its size, and the units that it takes from the quota
	borrowedUnits     float64 // the units that it borrowed instead of taking them from the quota
	deadline          float64
	attempts          []attemptState
	inFlight          int
	mayHaveRun        bool         // an attempt that has ended may have run
	firstUncertain    attemptState // the earliest sent attempt that may have run
	firstUncertainAt  float64      // when that attempt was sent
	answered          bool         // it has its final answer
	wantsAttempt      bool         // another attempt is wanted while one is in flight
	bodyPending       bool         // the last byte of its body has not been forwarded
	bodyForwarded     bool         // part of its body has been forwarded and not kept: it cannot be sent again
	withinQuota       bool         // the quota had the units when the request was admitted
	shortDeadline     bool         // it was admitted with little time left
	reserved          bool         // its units are reserved
	clearance         clearanceStage
	clearanceMillis   float64 // how long its clearance lasts; 0 if it asked for none
	live              bool    // this slab entry is in use
}

// nextCancel returns the decision to cancel an attempt of a request that is in flight, or false if there is
// none or cancelling is not allowed.
func (e *Engine) nextCancel(request *requestState) (Decision, bool) {
	for i := range request.attempts {
		if attempt := &request.attempts[i]; attempt.inFlight && !attempt.cancelled && e.derived.allowCancel {
			attempt.cancelled = true
			return Decision{Kind: Cancel, RequestID: request.id, Attempt: i}, true
		}
	}
	return Decision{}, false
}

// startAttempt records a new attempt at a worker.
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

// ResponseStarted records that the response to an attempt is being forwarded to the client. The request
// counts as answered: it has no deadline any more, and the attempt is not cancelled.
func (e *Engine) ResponseStarted(id uint64, attemptIndex int) {
	if slot, ok := e.byID[id]; ok && attemptIndex >= 0 && attemptIndex < len(e.requests[slot].attempts) {
		request := &e.requests[slot]
		request.attempts[attemptIndex].cancelled, request.answered = true, true
		e.countInFlight(&request.attempts[attemptIndex], false) // only the transfer of the response remains
		e.pending = append(e.pending, slot)
	}
}

// BodyForwarded records that a body which the host does not keep is being forwarded with an attempt or, if
// timeLeftMillis is positive, that its last byte has been forwarded. The client waits timeLeftMillis from
// then on.
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

// submitDecision returns the decision to send a request's newest attempt to a worker, beginning before the
// time latest.
func (e *Engine) submitDecision(request *requestState, workerIndex int, latest float64) Decision {
	return Decision{Kind: Submit, RequestID: request.id, Worker: workerIndex, Attempt: len(request.attempts) - 1,
		WaitMillis: request.deadline -
			e.now,
		AtMillis: request.deadline, SendBeforeMillis: latest, RateLimitFullAtMillis: e.rateLimitFullAt(
			&e.accounts[request.accountIndex])}
}

// countInFlight sets whether an attempt counts against the congestion window.
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

// recordUncertain records that the outcome of an attempt is unknown: it may have run.
func (e *Engine) recordUncertain(request *requestState, attempt *attemptState) {
	if !request.mayHaveRun || attempt.sentAt < request.firstUncertainAt {
		request.firstUncertain, request.firstUncertainAt = *attempt, attempt.sentAt
	}
	request.mayHaveRun = true
}

// ClientGone records that the client of a request no longer waits for the answer.
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
