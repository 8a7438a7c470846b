// Package retrybudget bounds how many requests this edge sends a second time, so that all edges together
// keep within the shared budget: a ratio of the requests of a window, plus a slack that the edges share
// evenly. It has no I/O, clock or goroutines, and is not safe for concurrent use.
package retrybudget

import "time"

// slots cover a window and one more slot. Repeats count over all of them; requests over half a window,
// which lies whole in a window that the rule looks at, wherever that begins (at the repeats' window, or
// half a window or one before it).
const (
	slots        = 20
	requestSlots = slots/2 - 1
)

// Budget counts one service's requests and repeats at this edge.
type Budget struct {
	ratio    float64
	slack    float64 // of all edges together
	slot     time.Duration
	requests [slots]float64
	repeats  [slots]float64
	position int64 // number of the newest slot
}

// New makes a budget for a window. slack is shared by all edges.
func New(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, slot: max(window/(slots-1), time.Millisecond)}
}

func (b *Budget) advance(now time.Duration) int64 {
	current := int64(now / b.slot)
	if current-b.position >= slots {
		b.requests, b.repeats = [slots]float64{}, [slots]float64{}
		b.position = current
	}
	for b.position < current {
		b.position++
		b.requests[b.position%slots] = 0
		b.repeats[b.position%slots] = 0
	}
	return current % slots
}

// Request counts a client's request.
func (b *Budget) Request(now time.Duration) { b.requests[b.advance(now)]++ }

// Repeat asks to send a request once more, and counts it where that is allowed.
func (b *Budget) Repeat(now time.Duration, edges int) bool {
	position := b.advance(now)
	var requests, repeats float64
	for i := range int64(slots) {
		repeats += b.repeats[i]
		if age := (position - i + slots) % slots; age < requestSlots {
			requests += b.requests[i]
		}
	}
	if repeats+1 > b.ratio*requests+b.slack/float64(max(edges, 1)) {
		return false
	}
	b.repeats[position]++
	return true
}
