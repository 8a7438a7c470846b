package policy

import (
	"math"
)

// CrashState returns what is spent of rate limits, for a later run of this gateway: the time at which those
// of all other customers are taken as spent, and the customers that have spent any since.
type CrashState struct {
	// RateLimitBaseMillis is the time at which the rate limits of all other customers are taken as spent.
	RateLimitBaseMillis float64
	RateLimits          []SpentRateLimit
	// Window, Pressure and ResponseMillis are 0 where they are not known, or too old to go by.
	Window, Pressure, ResponseMillis float64
}

// SpentRateLimit says when a customer's share of its rate limit is full again.
type SpentRateLimit struct {
	Customer     uint64
	Plan         int
	FullAtMillis float64
}

// RestoreCrashState takes the crash state of an earlier run, before the first request. What it does not
// know, or what does not fit the settings, is as after any start.
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
		e.remoteOnlyAccounts++ // its first request fills the rest in
	}
	if crash.Window > 0 && crash.ResponseMillis > 0 && crash.Pressure >= 0 {
		e.window, e.pressure, e.responseMillis = math.Max(e.window, crash.Window), crash.Pressure,
			crash.ResponseMillis
	}
}

// Congestion returns the window, the pressure and the mean response time in ms, as a CrashState has them.
func (e *Engine) Congestion() (window, press, pace float64) {
	return e.window, e.pressure, e.responseMillis
}

// CrashState gives what is spent of rate limits, for a life after this one.
func (e *Engine) CrashState() (base float64, all []SpentRateLimit) {
	for i := range e.accounts {
		account := &e.accounts[i]
		if full := e.rateLimitFullAt(account); account.live && full > e.now {
			all = append(all, SpentRateLimit{account.id, account.plan, full})
		}
	}
	return e.rateLimitBase, all
}
