package slowstart

import (
	"math"
	"time"

	"willowdeck/internal/gcra"
)

// bucket is a token bucket of requests, implemented by GCRA. Its rate and depth may change at any time; it
// then keeps its level, up to the new depth.
type bucket struct {
	rate   float64 // requests per second
	depth  float64 // requests in the full bucket
	fullAt float64 // when the bucket will be full, in seconds on the caller's clock
}

// newBucket returns an empty bucket, since it is unknown how many requests an earlier incarnation of the
// edge sent.
func newBucket(now time.Duration, rate, depth float64) bucket {
	b := bucket{rate: rate, depth: depth}
	b.fullAt = now.Seconds() + depth/rate
	return b
}

// set changes the rate and the depth.
func (b *bucket) set(now time.Duration, rate, depth float64) {
	level := math.Min(gcra.Level(b.fullAt, now.Seconds(), b.rate, b.depth), depth)
	b.rate, b.depth = rate, depth
	b.fullAt = now.Seconds() + (depth-level)/rate
}

// take takes one request out of the bucket. If the bucket does not hold one, ok is false and wait is the
// time until it does, or negative if its depth is too small to ever hold one.
func (b *bucket) take(now time.Duration) (wait time.Duration, ok bool) {
	if b.depth < 1 {
		return -1, false
	}
	seconds := gcra.Wait(b.fullAt, now.Seconds(), b.rate, b.depth, 1)
	if seconds <= 0 {
		b.fullAt = gcra.Take(b.fullAt, now.Seconds(), b.rate, 1)
		return 0, true
	}
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond, false
}
