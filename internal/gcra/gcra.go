// Package gcra implements token buckets by the generic cell rate algorithm (ITU-T I.371, virtual
// scheduling). The state of a bucket is one number, the time at which it will be full again, which the
// caller stores. Times are in any unit, and rates in tokens per that unit. The gateway's quotas and the
// serving system's slow start use the package. It has no state, does no I/O and reads no clock.
package gcra

import "math"

// roundingTolerance is how many tokens a bucket may lack, because of rounding, and still count as having
// them.
const roundingTolerance = 1e-9

// Level returns how many tokens are in a bucket that will be full at fullAt, refills at rate and has depth
// tokens when full. The result is negative if more tokens were taken than there were.
func Level(fullAt, now, rate, depth float64) float64 { return depth - math.Max(fullAt-now, 0)*rate }

// Wait returns the time until the bucket has the tokens, 0 if it has them now. If the rate is not above 0, it
// returns math.MaxFloat64.
func Wait(fullAt, now, rate, depth, tokens float64) float64 {
	if rate <= 0 {
		return math.MaxFloat64
	}
	level := Level(fullAt, now, rate, depth)
	if level >= tokens-roundingTolerance {
		return 0
	}
	return (tokens - level) / rate
}

// Take takes tokens and returns the time at which the bucket will then be full. The rate must be above 0.
func Take(fullAt, now, rate, tokens float64) float64 { return math.Max(fullAt, now) + tokens/rate }
