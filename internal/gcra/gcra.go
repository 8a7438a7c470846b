// Package gcra is the generic cell rate algorithm (ITU-T I.371, virtual scheduling) for stores that fill at
// a rate. A store is one number, the time at which it will be full again. Times are in any unit, rates in
// units of the store for each of it. The quota gateway's decisions and the serving system's shares of cold
// workers both go by it.
package gcra

import "math"

// rounding is how much a store may lack of what is asked for, by rounding alone.
const rounding = 1e-9

// Level returns what a store holds that is full at fullAt, fills at rate and holds depth. It is negative in
// debt.
func Level(fullAt, now, rate, depth float64) float64 { return depth - math.Max(fullAt-now, 0)*rate }

// Wait returns how long until the store has the units; 0 is now. A store that does not fill never has them.
func Wait(fullAt, now, rate, depth, units float64) float64 {
	if rate <= 0 {
		return math.MaxFloat64
	}
	level := Level(fullAt, now, rate, depth)
	if level >= units-rounding {
		return 0
	}
	return (units - level) / rate
}

// Take returns when the store will be full once the units are taken out.
func Take(fullAt, now, rate, units float64) float64 { return math.Max(fullAt, now) + units/rate }
