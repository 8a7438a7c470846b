package retrybudget

import "time"

// slots cover a window and one slot more. Retries count over all of them. Requests count over
// requestSlots, half a window, which lies within one of the windows that the bound is checked against
// wherever the retries' window begins: that window, or the one that begins half a window or a window
// before it.
const (
	slots        = 20
	requestSlots = slots/2 - 1
)

// Budget counts one service's requests and retries at this edge.
type Budget struct {
	ratio      float64 // of retries to requests
	slack      float64 // retries a window on top, of all edges together
	slotLength time.Duration
	requests   [slots]float64 // by the slot's number modulo slots
	retries    [slots]float64 // by the slot's number modulo slots
	newest     int64          // number of the newest slot, in slotLength since the clock's origin
}

// New returns a budget for a window. slack is that of all edges together.
func New(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, slotLength: max(window/(slots-1), time.Millisecond)}
}

// advance clears the slots that have become out of date and returns the index of the current one.
func (b *Budget) advance(now time.Duration) int64 {
	current := int64(now / b.slotLength)
	if current-b.newest >= slots {
		b.requests, b.retries = [slots]float64{}, [slots]float64{}
		b.newest = current
	}
	for b.newest < current {
		b.newest++
		b.requests[b.newest%slots] = 0
		b.retries[b.newest%slots] = 0
	}
	return current % slots
}

// RecordRequest counts a client's request.
func (b *Budget) RecordRequest(now time.Duration) { b.requests[b.advance(now)]++ }

// AllowRetry reports whether a request may be sent once more, and counts the retry where it may. edges is how
// many edges share the slack.
func (b *Budget) AllowRetry(now time.Duration, edges int) bool {
	current := b.advance(now)
	var requests, retries float64
	for i := range int64(slots) {
		retries += b.retries[i]
		if age := (current - i + slots) % slots; age < requestSlots {
			requests += b.requests[i]
		}
	}
	if retries+1 > b.ratio*requests+b.slack/float64(max(edges, 1)) {
		return false
	}
	b.retries[current]++
	return true
}
