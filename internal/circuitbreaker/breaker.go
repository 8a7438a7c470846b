package circuitbreaker

import (
	"math"
	"math/rand"
)

// jitterFraction is the random part of a backoff, half of it either way, lest many processes return at once.
const jitterFraction = 0.5

// Breaker is a circuit breaker that opens after a number of consecutive failures. Times are in ms of a
// clock of the caller's choice. Not safe for concurrent use.
type Breaker struct {
	failureThreshold                    int
	baseBackoffMillis, maxBackoffMillis float64
	rng                                 *rand.Rand // for the jitter
	consecutiveFailures                 int        // at most failureThreshold
	openUntilMillis                     float64
	backoffMillis                       float64 // the last one, before its jitter
	probing                             bool    // half-open: the one probe is under way
}

// New returns a closed breaker. It opens after failureThreshold consecutive failures, for baseBackoffMillis,
// doubled by each failure after that up to maxBackoffMillis.
func New(failureThreshold int, baseBackoffMillis, maxBackoffMillis float64, rng *rand.Rand) *Breaker {
	return &Breaker{failureThreshold: failureThreshold, baseBackoffMillis: baseBackoffMillis,
		maxBackoffMillis: maxBackoffMillis, rng: rng}
}

// Allow reports whether a call may be made now, and if not, for how many ms not. When the backoff has
// passed it admits one probe, and no other call until that is followed by Record or CancelAttempt.
func (b *Breaker) Allow(nowMillis float64) (allowed bool, waitMillis float64) {
	switch {
	case b.consecutiveFailures < b.failureThreshold:
		return true, 0
	case nowMillis < b.openUntilMillis:
		return false, b.openUntilMillis - nowMillis
	case b.probing:
		return false, b.backoffMillis // about the least that the next backoff will be
	}
	b.probing = true
	return true, 0
}

// Record records the result of a call. Failures of calls that were under way when the breaker opened do not
// prolong the backoff.
func (b *Breaker) Record(success bool, nowMillis float64) {
	if success {
		b.consecutiveFailures, b.probing, b.backoffMillis, b.openUntilMillis = 0, false, 0, 0
		return
	}
	if nowMillis < b.openUntilMillis {
		return
	}
	b.consecutiveFailures = min(b.consecutiveFailures+1, b.failureThreshold)
	if b.consecutiveFailures < b.failureThreshold {
		return
	}
	b.probing = false
	b.backoffMillis = math.Min(math.Max(2*b.backoffMillis, b.baseBackoffMillis), b.maxBackoffMillis)
	b.openUntilMillis = nowMillis + b.backoffMillis*(1+jitterFraction*(b.rng.Float64()-0.5))
}

// CancelAttempt takes back an admission: the call was not made after all.
func (b *Breaker) CancelAttempt() { b.probing = false }

// IsOpen reports whether calls are stopped now: the backoff has not passed, or its probe is under way.
func (b *Breaker) IsOpen(nowMillis float64) bool { return nowMillis < b.openUntilMillis || b.probing }

// Tripped reports whether the failure threshold was reached and no call has succeeded since.
func (b *Breaker) Tripped() bool { return b.consecutiveFailures >= b.failureThreshold }
