package emulator

import "math"

// tokenBucket is a token bucket.
type tokenBucket struct{ tokens, filledAtMillis float64 }

// take refills the bucket at a rate per second up to its depth, and takes units from it if it has them.
func (b *tokenBucket) take(now, rate, depth, units float64) bool {
	b.tokens = math.Min(b.tokens+(now-b.filledAtMillis)*rate/1000, depth)
	b.filledAtMillis = now
	if b.tokens < units-1e-9 {
		return false
	}
	b.tokens -= units
	return true
}
