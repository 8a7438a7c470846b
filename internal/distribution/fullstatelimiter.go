package distribution

import "math"

const (
	minRetryAfterMillis  = 100.0
	deferralWindowMillis = 1000.0 // in which deferred requesters are counted
)

// fullStateLimiter is a token bucket of bytes for full states. Deltas and renewals are not limited.
type fullStateLimiter struct {
	bytesPerSecond, burstBytes float64

	budget   float64 // bytes that may be sent now; negative after a state that exceeded it
	budgetAt float64 // when the budget was last refilled; point in time

	deferredInWindow float64 // requesters deferred since the window began
	windowStart      float64 // point in time
}

func newFullStateLimiter(bytesPerSecond, burstBytes float64) fullStateLimiter {
	return fullStateLimiter{
		bytesPerSecond: bytesPerSecond,
		burstBytes:     burstBytes,
		budget:         burstBytes,
		budgetAt:       never,
		windowStart:    never,
	}
}

// take reports whether a full state may be sent, and charges it. The last one may exceed the budget, so that
// a state of any size passes.
func (l *fullStateLimiter) take(bytes int, now float64) bool {
	if l.budgetAt != never {
		l.budget = math.Min(l.budget+(now-l.budgetAt)/1000*l.bytesPerSecond, l.burstBytes)
	}
	l.budgetAt = now
	if now-l.windowStart > deferralWindowMillis {
		l.windowStart, l.deferredInWindow = now, 0
	}
	if l.budget <= 0 {
		return false
	}
	l.budget -= float64(bytes)
	return true
}

// retryAfter gives for how many milliseconds a requester is deferred: until all that were deferred in this
// window could have a state of this size.
func (l *fullStateLimiter) retryAfter(bytes int) float64 {
	l.deferredInWindow++
	missing := l.deferredInWindow*float64(bytes) - l.budget
	return minRetryAfterMillis + 1000*missing/l.bytesPerSecond
}
