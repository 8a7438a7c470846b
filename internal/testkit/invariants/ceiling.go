package invariants

import (
	"math"
)

// rateLimitSlackMillis is for how many milliseconds of a rate limit more may pass: updates take as long to
// arrive.
const rateLimitSlackMillis = 150.0

// roundingUnits is how far below zero a bucket may fall by rounding.
const roundingUnits = 1e-6

// bucket is a customer's token bucket: its level in units at a time.
type bucket struct{ level, at float64 }

// checkCeiling checks rule 5 for a first attempt, which spends the request's units.
func (c *Checker) checkCeiling(at float64, gateway int, id uint64, t *request) {
	p := c.rules.Plans[t.plan]
	if p.RateLimit <= 0 {
		return
	}
	depth := p.Depth + p.RateLimit*rateLimitSlackMillis/1000
	b := c.buckets[t.customer]
	if b == nil {
		b = &bucket{level: depth, at: at}
		c.buckets[t.customer] = b
	}
	b.level = math.Min(b.level+(at-b.at)*p.RateLimit/1000, depth) - t.units
	if b.at = at; b.level < -roundingUnits {
		c.violate(5, at, gateway, id, "customer %d is %.2f units beyond its ceiling", t.customer, -b.level)
		b.level = 0
	}
}
