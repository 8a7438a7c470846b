package policy

import (
	"math"
)

// clearanceStage is the state of a request's clearance. A clearance admits a request before it arrives, for
// a limited time.
type clearanceStage uint8

const (
	notCleared       clearanceStage = iota // the request has no clearance
	clearanceGranted                       // the request is cleared and has not arrived
	clearanceClaimed                       // the request has arrived, or its clearance has ended otherwise
)

// grantClearance clears a request to arrive later: its units are reserved until it arrives or its clearance
// expires.
func (e *Engine) grantClearance(request *requestState) Decision {
	request.clearance, request.deadline, request.bodyPending = clearanceGranted, e.now+request.clearanceMillis,
		false
	e.reserve(request)
	e.accounts[request.accountIndex].inFlight++
	e.nextScanAt = math.Min(e.nextScanAt, request.deadline)
	return Decision{Kind: GrantClearance, RequestID: request.id, WaitMillis: request.clearanceMillis}
}

// endClearance ends the clearance of a request, if one is granted, and frees its place among those in
// flight.
func (e *Engine) endClearance(request *requestState) {
	if request.clearance == clearanceGranted {
		request.clearance = clearanceClaimed
		e.accounts[request.accountIndex].inFlight--
	}
}

// ClaimClearance records that a cleared request has arrived. Its client waits timeLeftMillis from now on
// or, if bodyPending, from the last byte of the body that is still arriving. ClaimClearance returns false
// if the clearance has expired; the request then has to be added like any other.
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

// ReleaseClearance records that a cleared request will not arrive. Its units are no longer reserved.
func (e *Engine) ReleaseClearance(id uint64) {
	if slot, ok := e.byID[id]; ok && e.requests[slot].clearance == clearanceGranted &&
		!e.requests[slot].answered {
		e.requests[slot].answered = true
		e.stats.FinalByReason[ReasonClearanceExpired]++
		e.pending = append(e.pending, slot)
	}
}

// ImportClearance takes over a clearance that another process of this gateway has granted and that remains
// valid for the request's ClearanceMillis.
func (e *Engine) ImportClearance(arrival Request) {
	e.AddRequest(arrival)
	request := &e.requests[e.byID[arrival.ID]]
	request.withinQuota = true
	e.grantClearance(request)
}

// awaitsClaim reports whether a request is cleared, has not arrived, and may still arrive in time.
func (request *requestState) awaitsClaim(now float64) bool {
	return request.clearance == clearanceGranted && !request.answered &&
		request.deadline-now > deadlineMarginMillis
}

// deadlineReason returns the reason for the final answer of a request whose deadline has passed.
func (request *requestState) deadlineReason() FinalReason {
	if request.clearance == clearanceGranted {
		return ReasonClearanceExpired
	}
	return ReasonAttemptsExhausted
}

// reserve reserves a request's units. Units that may not be spent in the end are reserved, not taken and
// given back: if the store filled up in the meantime, giving them back would leave it with more than it
// should hold.
func (e *Engine) reserve(request *requestState) {
	if !request.reserved {
		request.reserved = true
		e.adjustReservation(request, 1)
	}
}

// releaseReservation ends the reservation and the clearance of a request, and returns its loan if it was
// not used.
func (e *Engine) releaseReservation(request *requestState) {
	e.endClearance(request)
	e.refundLoan(request)
	if request.reserved {
		request.reserved = false
		e.adjustReservation(request, -1)
	}
}

// adjustReservation adds times a request's units to the units reserved for its customer. A request that was
// admitted beyond the quota reserves no units of the quota.
func (e *Engine) adjustReservation(request *requestState, times float64) {
	account := &e.accounts[request.accountIndex]
	if account.reservedUnits = math.Max(account.reservedUnits+times*request.units, 0); request.withinQuota {
		account.reservedQuotaUnits = math.Max(account.reservedQuotaUnits+times*request.quotaUnits, 0)
	}
}
