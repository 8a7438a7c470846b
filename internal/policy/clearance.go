package policy

import (
	"math"
)

// clearanceStage tells how far a request has come that is cleared ahead of its arrival.
type clearanceStage uint8

const (
	notCleared       clearanceStage = iota // it is not
	clearanceGranted                       // it is, and has not arrived
	clearanceClaimed                       // it has arrived
)

// grantClearance clears a request: its units are reserved until it arrives, for as long as its clearance
// lasts.
func (e *Engine) grantClearance(request *requestState) Decision {
	request.clearance, request.deadline, request.bodyPending = clearanceGranted, e.now+request.clearanceMillis,
		false
	e.reserve(request)
	e.accounts[request.accountIndex].inFlight++
	e.nextScanAt = math.Min(e.nextScanAt, request.deadline)
	return Decision{Kind: GrantClearance, RequestID: request.id, WaitMillis: request.clearanceMillis}
}

// endClearance ends a clearance.
func (e *Engine) endClearance(request *requestState) {
	if request.clearance == clearanceGranted {
		request.clearance = clearanceClaimed
		e.accounts[request.accountIndex].inFlight--
	}
}

// ClaimClearance tells that a cleared request has arrived: its client waits so many ms from now on, or from
// the last byte of a body that is still arriving. It is false if its clearance has expired; the request is
// then like any other.
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

// ReleaseClearance tells that a cleared request will not arrive: its units are free again.
func (e *Engine) ReleaseClearance(id uint64) {
	if slot, ok := e.byID[id]; ok && e.requests[slot].clearance == clearanceGranted &&
		!e.requests[slot].answered {
		e.requests[slot].answered = true
		e.stats.FinalByReason[ReasonClearanceExpired]++
		e.pending = append(e.pending, slot)
	}
}

// ImportClearance takes over a clearance that another process of this gateway has granted, for so many ms
// more.
func (e *Engine) ImportClearance(arrival Request) {
	e.AddRequest(arrival)
	request := &e.requests[e.byID[arrival.ID]]
	request.withinQuota = true
	e.grantClearance(request)
}

// awaitsClaim tells whether a request is cleared and has not arrived.
func (request *requestState) awaitsClaim(now float64) bool {
	return request.clearance == clearanceGranted && !request.answered &&
		request.deadline-now > deadlineMarginMillis
}

// deadlineReason returns why a request is answered at its deadline.
func (request *requestState) deadlineReason() FinalReason {
	if request.clearance == clearanceGranted {
		return ReasonClearanceExpired
	}
	return ReasonAttemptsExhausted
}

// reserve sets a request's units aside, instead of taking and giving them back. Guards against giving back
// what was spent: a store that would have been full meanwhile has run over, and would then hold too much.
func (e *Engine) reserve(request *requestState) {
	if !request.reserved {
		request.reserved = true
		e.adjustReservation(request, 1)
	}
}

// releaseReservation ends a reservation, and a clearance with it.
func (e *Engine) releaseReservation(request *requestState) {
	e.endClearance(request)
	e.refundLoan(request)
	if request.reserved {
		request.reserved = false
		e.adjustReservation(request, -1)
	}
}

// adjustReservation changes what is reserved for a customer by so many times a request's units. Beyond the
// quota nothing is taken from it.
func (e *Engine) adjustReservation(request *requestState, times float64) {
	account := &e.accounts[request.accountIndex]
	if account.reservedUnits = math.Max(account.reservedUnits+times*request.units, 0); request.withinQuota {
		account.reservedQuotaUnits = math.Max(account.reservedQuotaUnits+times*request.quotaUnits, 0)
	}
}
