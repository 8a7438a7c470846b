package circuitbreaker

import (
	"math"
	"math/rand"
)

// jitterFraction is the width of a backoff's random range, centered on the nominal backoff: 0.5 varies it by
// up to 25% either way. It prevents many processes from retrying at the same time.
const jitterFraction = 0.5

// Breaker is a circuit breaker that opens after a number of consecutive failures. Times are in ms
// of a clock that the caller chooses. It is not safe for concurrent use.
type Breaker struct {
	failureThreshold                    int
	baseBackoffMillis, maxBackoffMillis float64
	rng                                 *rand.Rand // source of the jitter
	consecutiveFailures                 int        // at most failureThreshold
	openUntilMillis                     float64
	backoffMillis                       float64 // the current or last backoff, without jitter
	probing                             bool    // half-open, and its single probe is in flight
}

// New returns a closed breaker. It opens after failureThreshold consecutive failures for about
// baseBackoffMillis. Each failed probe after that doubles the backoff, up to maxBackoffMillis.
func New(failureThreshold int, baseBackoffMillis, maxBackoffMillis float64, rng *rand.Rand) *Breaker {
	return &Breaker{failureThreshold: failureThreshold, baseBackoffMillis: baseBackoffMillis,
		maxBackoffMillis: maxBackoffMillis, rng: rng}
}

// Allow reports whether a call may be made now and, if not, how many ms the caller should wait. Once the
// backoff has passed it admits one probe, and no other call until Record or CancelAttempt is called.
func (b *Breaker) Allow(nowMillis float64) (allowed bool, waitMillis float64) {
	switch {
	case b.consecutiveFailures < b.failureThreshold:
		return true, 0
	case nowMillis < b.openUntilMillis:
		return false, b.openUntilMillis - nowMillis
	case b.probing:
		return false, b.backoffMillis // approximate lower bound of the next backoff, if the probe fails
	}
	b.probing = true
	return true, 0
}

// Record records the result of a call. Failures that are recorded during the backoff, of calls that were in
// flight when the breaker opened, do not extend it.
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

// CancelAttempt undoes an admission by Allow for a call that was not made.
func (b *Breaker) CancelAttempt() { b.probing = false }

// IsOpen reports whether calls are rejected now: the backoff has not passed, or a probe is in flight.
func (b *Breaker) IsOpen(nowMillis float64) bool { return nowMillis < b.openUntilMillis || b.probing }

// Tripped reports whether the failure threshold was reached and no call has succeeded since.
func (b *Breaker) Tripped() bool { return b.consecutiveFailures >= b.failureThreshold }
