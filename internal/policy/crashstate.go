package policy

import (
	"math"
)

// CrashState is the state that a later run of this gateway restores after a crash: what is spent of rate
// limits, and the congestion state.
type CrashState struct {
	// RateLimitBaseMillis is the time at which the rate limits of all customers that RateLimits does not list
	// are taken as spent.
	RateLimitBaseMillis float64
	RateLimits          []SpentRateLimit
	// Window, Pressure and ResponseMillis are 0 if they are not known or too old to be used.
	Window, Pressure, ResponseMillis float64
}

// SpentRateLimit says when a customer's share of its rate limit is full again.
type SpentRateLimit struct {
	Customer     uint64
	Plan         int
	FullAtMillis float64
}

// RestoreCrashState applies the crash state of an earlier run, before the first request. What it does not
// hold is as after any start.
func (e *Engine) RestoreCrashState(crash CrashState) {
	e.rateLimitBase = math.Min(crash.RateLimitBaseMillis, e.rateLimitBase)
	for _, spent := range crash.RateLimits {
		if _, known := e.accountByCustomer[uint32(spent.Customer)]; known || spent.Plan < 0 ||
			spent.Plan >= len(e.plans) ||
			e.remoteOnlyAccounts >= maxRemoteAccounts {
			// An entry that cannot be restored delays the base of all customers that are not known. That is later
			// than necessary, but never lets a customer exceed its rate limit.
			e.rateLimitBase = math.Max(e.rateLimitBase, spent.FullAtMillis)
			continue
		}
		e.accounts[e.openAccount(spent.Customer, spent.Plan)].rateLimitFullAt = spent.FullAtMillis
		e.remoteOnlyAccounts++ // its first request sets its gateway set
	}
	if crash.Window > 0 && crash.ResponseMillis > 0 && crash.Pressure >= 0 {
		e.window, e.pressure, e.responseMillis = math.Max(e.window, crash.Window), crash.Pressure,
			crash.ResponseMillis
	}
}

// Congestion returns the congestion window, the pressure and the mean response time in ms for a CrashState.
func (e *Engine) Congestion() (window, smoothedPressure, meanResponseMillis float64) {
	return e.window, e.pressure, e.responseMillis
}

// CrashState returns what is spent of rate limits, for a later run of this gateway: the RateLimitBaseMillis
// and the RateLimits of a CrashState.
func (e *Engine) CrashState() (baseMillis float64, all []SpentRateLimit) {
	for i := range e.accounts {
		account := &e.accounts[i]
		if full := e.rateLimitFullAt(account); account.live && full > e.now {
			all = append(all, SpentRateLimit{account.id, account.plan, full})
		}
	}
	return e.rateLimitBase, all
}
