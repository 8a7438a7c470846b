package memorybudget

import (
	"sync"
	"time"

	"willowdeck/internal/serving/decay"
)

const (
	// admissionFraction is the part of the budget that new requests may fill. The rest is for the responses of
	// those that were admitted.
	admissionFraction = 0.75

	rateTimeConstant = 4 * time.Second // over which the rate of releases is measured
	minRetryAfter    = 100 * time.Millisecond
	maxRetryAfter    = 4 * time.Second
)

// Budget is a number of bytes that reservations share. It is safe for concurrent use.
type Budget struct {
	capacity int64 // 0: unlimited

	mu       sync.Mutex // guards what follows
	reserved int64
	released decay.Sum // bytes of the latest time
	refused  decay.Sum // bytes whose requests have been told to come back
}

// New returns a budget of so many bytes; 0 stands for no limit.
func New(capacity int64) *Budget {
	return &Budget{
		capacity: capacity,
		released: decay.NewSum(rateTimeConstant), refused: decay.NewSum(rateTimeConstant),
	}
}

// Reserved returns how many bytes are reserved.
func (b *Budget) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// reserve takes bytes out of a part of the budget, and reports whether they were there.
func (b *Budget) reserve(bytes int64, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.capacity > 0 && b.reserved+bytes > int64(float64(b.capacity)*fraction) {
		return false
	}
	b.reserved += bytes
	return true
}

// cancel gives bytes back that served no request: they do not count as released.
func (b *Budget) cancel(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= bytes
}

func (b *Budget) release(now time.Duration, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= bytes
	b.released.Add(now, float64(bytes))
}

// RetryAfter records that a request of so many bytes is refused, and returns when there should be room for
// it: after the bytes refused lately, at the rate of the latest releases.
func (b *Budget) RetryAfter(now time.Duration, bytes int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused.Add(now, float64(bytes))
	releasedPerSecond := b.released.At(now) / rateTimeConstant.Seconds()
	if releasedPerSecond <= 0 {
		return maxRetryAfter
	}
	seconds := min(b.refused.At(now)/releasedPerSecond, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// Reservation is what one request holds of a budget. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Open returns an empty reservation.
func (b *Budget) Open() *Reservation { return &Reservation{budget: b} }

// Bytes returns how much the reservation holds.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Admit reserves bytes for a request that is not passed on yet, and reports whether there was room.
func (r *Reservation) Admit(bytes int64) bool { return r.reserve(bytes, admissionFraction) }

// Grow reserves further bytes for a request that was passed on, and reports whether there was room.
func (r *Reservation) Grow(bytes int64) bool { return r.reserve(bytes, 1) }

func (r *Reservation) reserve(bytes int64, fraction float64) bool {
	if !r.budget.reserve(bytes, fraction) {
		return false
	}
	r.bytes += bytes
	return true
}

// Shrink gives some of the reserved bytes back.
func (r *Reservation) Shrink(now time.Duration, bytes int64) {
	bytes = min(bytes, r.bytes)
	r.budget.release(now, bytes)
	r.bytes -= bytes
}

// Cancel gives all back for a request that is refused. The reservation is empty then.
func (r *Reservation) Cancel() {
	r.budget.cancel(r.bytes)
	r.bytes = 0
}

// Release gives all back. The reservation is empty then.
func (r *Reservation) Release(now time.Duration) { r.Shrink(now, r.bytes) }
