// Package circuitbreaker leaves alone what has failed. See M. Nygard, Release It!, "Circuit Breaker"; the
// growing
// pause with jitter is ours.
package circuitbreaker

import (
	"math"
	"math/rand"
)

// jitter is the part of a pause that chance decides, half of it either way: many must not come back at once.
const jitter = 0.5

// Breaker leaves something alone once it has failed so many times one after another. Times are in ms.
type Breaker struct {
	after       int
	pause, most float64
	rng         *rand.Rand
	failures    int
	until       float64 // it is left alone till then
	span        float64 // the last pause, before its jitter
	probing     bool    // it is asked once, to see
}

// New makes a breaker that pauses after so many failures: for pause ms, doubled by each failure after that,
// up to most.
func New(after int, pause, most float64, rng *rand.Rand) *Breaker {
	return &Breaker{after: after, pause: pause, most: most, rng: rng}
}

// Admits tells whether to ask now, and if not, how long not to. What has been left alone is asked once, and
// by nobody else until that has Ended or was Unasked.
func (b *Breaker) Admits(now float64) (bool, float64) {
	switch {
	case b.failures < b.after:
		return true, 0
	case now < b.until:
		return false, b.until - now
	case b.probing:
		return false, b.span // what the next pause will be about, at least
	}
	b.probing = true
	return true, 0
}

// Ended takes how an ask went. Those that were under way when the pause began prolong nothing.
func (b *Breaker) Ended(well bool, now float64) {
	if well {
		b.failures, b.probing, b.span, b.until = 0, false, 0, 0
		return
	}
	if now < b.until {
		return
	}
	b.failures = min(b.failures+1, b.after)
	if b.failures < b.after {
		return
	}
	b.probing = false
	b.span = math.Min(math.Max(2*b.span, b.pause), b.most)
	b.until = now + b.span*(1+jitter*(b.rng.Float64()-0.5))
}

// Unasked notes that after all nothing was asked.
func (b *Breaker) Unasked() { b.probing = false }

// Shut tells whether it is left alone now, or asked once to see.
func (b *Breaker) Shut(now float64) bool { return now < b.until || b.probing }

// Tripped tells whether it has failed so often that it is not to be relied on until an ask has gone well.
func (b *Breaker) Tripped() bool { return b.failures >= b.after }
