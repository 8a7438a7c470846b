package loadbalancer

import (
	"math"
	"time"
)

// The neutral model of how long an engine takes to read a prompt: tokens at a fixed rate, the more slowly the
// more of them stand before. What differs from it is learned as one factor.
const (
	neutralPerMs   = 90.0     // tokens
	contextDoubles = 32_000.0 // tokens before a token, with which reading it takes twice as long

	learnStep       = 0.1  // of the factor's logarithm, for one observation
	firstSteps      = 1.0  // the same for the first one; it falls with their number
	learnQuantile   = 0.25 // of observed times: the others have waited for something
	smallestFactor  = 1.0 / 16
	largestFactor   = 8.0
	baseStep        = 0.05 // of the time that does not grow with the prompt, for one observation
	baseQuantile    = 0.3
	startingBase    = 70.0 // ms
	smallestBase    = 1.0  // ms
	baseTokens      = 500.0
	longestObserved = 10_000.0 // ms
)

// readTimes learns how long engines take to read prompts, from the times to the first token that this edge
// sees itself. It follows a low quantile of them by small steps (stochastic approximation after Robbins and
// Monro, 1951), since most of the higher ones hold waiting.
type readTimes struct {
	factor float64 // of the neutral time
	seen   int     // observations that the factor rests on
	base   float64 // ms to the first token that a prompt of no length would take
}

func newReadTimes() readTimes { return readTimes{factor: 1, base: startingBase} }

// neutralTime returns the ms that the neutral model gives for the unread tokens of a prompt.
func neutralTime(unread, all float64) float64 {
	return unread / neutralPerMs * (1 + all/contextDoubles)
}

// estimate returns the ms that an engine is busy with reading, about.
func (r *readTimes) estimate(unread, all float64) float64 { return r.factor * neutralTime(unread, all) }

// observe takes the time to a first token that was seen.
func (r *readTimes) observe(took time.Duration, unread, all float64) {
	observed := math.Min(float64(took)/float64(time.Millisecond), longestObserved)
	if unread < baseTokens {
		r.base = math.Max(smallestBase, follow(r.base, observed, baseStep, baseQuantile))
	}
	neutral := neutralTime(unread, all)
	if neutral < r.base {
		return // what is read so soon tells more of other delays
	}
	r.seen++
	step := math.Max(learnStep, firstSteps/float64(r.seen))
	factor := follow(r.factor, math.Max(observed-r.base, 0)/neutral, step, learnQuantile)
	r.factor = math.Min(math.Max(factor, smallestFactor), largestFactor)
}

// follow moves an estimate of a quantile towards an observation by a step of its logarithm.
func follow(estimate, observed, step, quantile float64) float64 {
	if observed < estimate {
		return estimate * math.Exp(-step*(1-quantile))
	}
	return estimate * math.Exp(step*quantile)
}
