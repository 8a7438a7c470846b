package policy

import (
	"math"
)

// CrashState is what a former life of this gatekeeper has left that did not end in peace.
type CrashState struct {
	RateLimitBaseMillis              float64 // ceilings of all other customers are taken as spent at this time
	RateLimits                       []SpentRateLimit
	Window, Pressure, ResponseMillis float64 // nought where they are not known, or too old to go by
}

// SpentRateLimit says when a customer's slice of its ceiling is full again.
type SpentRateLimit struct {
	Customer     uint64
	Plan         int
	FullAtMillis float64
}

// RestoreCrashState takes a former life's residue, before the first txn. What it does not know, or what does
// not fit this charter, is as after any start.
func (e *Engine) RestoreCrashState(crash CrashState) {
	e.rateLimitBase = math.Min(crash.RateLimitBaseMillis, e.rateLimitBase)
	for _, spent := range crash.RateLimits {
		if _, known := e.accountByCustomer[uint32(spent.Customer)]; known || spent.Plan < 0 ||
			spent.Plan >= len(e.plans) ||
			e.remoteOnlyAccounts >= maxRemoteAccounts {
			// later than true, for all that are not known
			e.rateLimitBase = math.Max(e.rateLimitBase, spent.FullAtMillis)
			continue
		}
		e.accounts[e.openAccount(spent.Customer, spent.Plan)].rateLimitFullAt = spent.FullAtMillis
		e.remoteOnlyAccounts++ // its first txn fills the rest in
	}
	if crash.Window > 0 && crash.ResponseMillis > 0 && crash.Pressure >= 0 {
		e.window, e.pressure, e.responseMillis = math.Max(e.window, crash.Window), crash.Pressure,
			crash.ResponseMillis
	}
}

// Congestion tells how pressed the gatekeeper is, as a residue has it.
func (e *Engine) Congestion() (window, press, pace float64) {
	return e.window, e.pressure, e.responseMillis
}

// CrashState gives what is spent of ceilings, for a life after this one.
func (e *Engine) CrashState() (base float64, all []SpentRateLimit) {
	for i := range e.accounts {
		account := &e.accounts[i]
		if full := e.rateLimitFullAt(account); account.live && full > e.now {
			all = append(all, SpentRateLimit{account.id, account.plan, full})
		}
	}
	return e.rateLimitBase, all
}
