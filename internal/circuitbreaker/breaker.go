// Package circuitbreaker leaves alone what has failed. See M. Nygard, Release It!, "Circuit Breaker"; the
// growing
// pause with jitter is ours.
package circuitbreaker

import (
	"math"
	"math/rand"
)

// jitter is the part of a pause that chance decides, half of it either way: many must not come back at once.
const jitterFraction = 0.5

// Breaker leaves something alone once it has failed so many times one after another. Times are in ms.
type Breaker struct {
	failureThreshold                    int
	baseBackoffMillis, maxBackoffMillis float64
	rng                                 *rand.Rand
	consecutiveFailures                 int
	openUntilMillis                     float64 // it is left alone till then
	backoffMillis                       float64 // the last pause, before its jitter
	probing                             bool    // it is asked once, to see
}

// New makes a breaker that pauses after so many failures: for pause ms, doubled by each failure after that,
// up to most.
func New(failureThreshold int, baseBackoffMillis, maxBackoffMillis float64, rng *rand.Rand) *Breaker {
	return &Breaker{
		failureThreshold:  failureThreshold,
		baseBackoffMillis: baseBackoffMillis,
		maxBackoffMillis:  maxBackoffMillis,
		rng:               rng,
	}
}

// Admits tells whether to ask now, and if not, how long not to. What has been left alone is asked once, and
// by nobody else until that has Ended or was Unasked.
func (b *Breaker) Allow(nowMillis float64) (bool, float64) {
	switch {
	case b.consecutiveFailures < b.failureThreshold:
		return true, 0
	case nowMillis < b.openUntilMillis:
		return false, b.openUntilMillis - nowMillis
	case b.probing:
		return false, b.backoffMillis // what the next pause will be about, at least
	}
	b.probing = true
	return true, 0
}

// Ended takes how an ask went. Those that were under way when the pause began prolong nothing.
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

// Unasked notes that after all nothing was asked.
func (b *Breaker) CancelAttempt() { b.probing = false }

// Shut tells whether it is left alone now, or asked once to see.
func (b *Breaker) IsOpen(nowMillis float64) bool { return nowMillis < b.openUntilMillis || b.probing }

// Tripped tells whether it has failed so often that it is not to be relied on until an ask has gone well.
func (b *Breaker) Tripped() bool { return b.consecutiveFailures >= b.failureThreshold }
