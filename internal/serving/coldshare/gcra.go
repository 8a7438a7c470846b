package coldshare

import (
	"math"
	"time"
)

// bucket is a rate store after the generic cell rate algorithm (ITU-T I.371): it remembers the time at
// which it would be full again. Its rate may change at any time; what it holds then stays what it is in
// requests.
type bucket struct {
	rate  float64       // requests a second
	depth float64       // requests that it holds
	fill  float64       // requests that it holds at the time at
	at    time.Duration // of the last change
}

// advance fills the bucket up to now.
func (b *bucket) advance(now time.Duration) {
	if now > b.at {
		b.fill = math.Min(b.depth, b.fill+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// set changes rate and depth.
func (b *bucket) set(now time.Duration, rate, depth float64) {
	b.advance(now)
	b.rate, b.depth = rate, depth
	b.fill = math.Min(b.fill, depth)
}

// take takes one request out. Otherwise it returns how long until one can be had; ok is false then. A
// bucket that can never hold one says so by a negative wait.
func (b *bucket) take(now time.Duration) (wait time.Duration, ok bool) {
	b.advance(now)
	if b.fill >= 1 {
		b.fill--
		return 0, true
	}
	if b.depth < 1 || b.rate <= 0 {
		return -1, false
	}
	return time.Duration((1-b.fill)/b.rate*float64(time.Second)) + time.Millisecond, false
}
