package slowstart

import (
	"math"
	"time"

	"willowdeck/internal/gcra"
)

// bucket is a token bucket of requests, by GCRA. Its rate and depth may change at any time; its level then
// stays as it is, up to the new depth.
type bucket struct {
	rate   float64 // requests a second
	depth  float64 // requests that it holds when full
	fullAt float64 // seconds on the caller's clock
}

// newBucket returns an empty bucket, since what an earlier incarnation of the edge has sent is unknown.
func newBucket(now time.Duration, rate, depth float64) bucket {
	b := bucket{rate: rate, depth: depth}
	b.fullAt = now.Seconds() + depth/rate
	return b
}

// set changes rate and depth.
func (b *bucket) set(now time.Duration, rate, depth float64) {
	level := math.Min(gcra.Level(b.fullAt, now.Seconds(), b.rate, b.depth), depth)
	b.rate, b.depth = rate, depth
	b.fullAt = now.Seconds() + (depth-level)/rate
}

// take takes one request out. Where the bucket does not hold one, wait is how long until it does, or negative
// where it never will.
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
