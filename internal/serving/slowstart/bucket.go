package slowstart

import (
	"math"
	"time"

	"willowdeck/internal/gcra"
)

// bucket is a GCRA store of requests. Its rate and depth may change at any time; what it holds then stays
// what it is.
type bucket struct {
	rate   float64 // requests a second
	depth  float64 // requests that it holds
	fullAt float64 // seconds
}

// newBucket makes an empty bucket: what an earlier life has sent is not known.
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

// take takes one request out. Otherwise it returns how long until one can be had; a bucket that can never
// hold one says so by a negative wait.
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
