// Package gcra is the generic cell rate algorithm (ITU-T I.371, virtual scheduling) for token buckets. The
// state of a bucket is one number, the time at which it will be full again, which its caller keeps. Times
// are in any unit, rates in tokens for each of it. The gateway's quotas and the serving system's slow start
// use it. The package has no state, does no I/O and reads no clock.
package gcra

import "math"

// roundingTolerance is how many tokens a bucket may lack through rounding.
const roundingTolerance = 1e-9

// Level returns how many tokens a bucket holds that is full at fullAt, fills at rate and holds depth when
// full. It is negative in debt.
func Level(fullAt, now, rate, depth float64) float64 { return depth - math.Max(fullAt-now, 0)*rate }

// Wait returns how long until the bucket has the tokens; 0 is now. It is math.MaxFloat64 where the bucket
// does not fill.
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

// Take returns when the bucket will be full once the tokens are taken out. The rate is to be above 0.
func Take(fullAt, now, rate, tokens float64) float64 { return math.Max(fullAt, now) + tokens/rate }
