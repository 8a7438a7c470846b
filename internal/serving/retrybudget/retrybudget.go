package retrybudget

import "time"

// A budget counts in time slots; the slots cover a window and one slot more. Retries are counted over all
// slots, but requests only over the newest requestSlots, which is about half a window. The bound on the
// retries of a window allows the requests of that window, or of the window that begins half a window or one
// window before it; wherever the window of the retries begins, the newest requestSlots are within one of
// these three.
const (
	slots        = 20
	requestSlots = slots/2 - 1
)

// Budget counts one service's requests and retries at this edge.
type Budget struct {
	ratio      float64 // maximum ratio of retries to requests, without slack
	slack      float64 // additional retries per window of all edges together
	slotLength time.Duration
	requests   [slots]float64 // by slot number modulo slots
	retries    [slots]float64 // by slot number modulo slots
	newest     int64          // number of the newest slot; slots are counted from the clock's origin
	slackFrom  time.Duration  // before it there is no slack
}

// New returns a budget: in each window, all edges together may send ratio times the number of requests,
// plus slack, as retries.
func New(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, slotLength: max(window/(slots-1), time.Millisecond)}
}

// WithholdSlack allows no slack before a time. An earlier process of this edge may have used the edge's
// share, and this one knows nothing of that: it needs a window without slack from its start on.
func (b *Budget) WithholdSlack(until time.Duration) { b.slackFrom = until }

// advance clears the slots that are out of date and returns the index of the current slot.
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

// RecordRequest counts a request of a client.
func (b *Budget) RecordRequest(now time.Duration) { b.requests[b.advance(now)]++ }

// AllowRetry reports whether the budget allows another retry or hedged request, and counts it if so. edges
// is the number of edges that share the slack.
func (b *Budget) AllowRetry(now time.Duration, edges int) bool {
	current := b.advance(now)
	var requests, retries float64
	for i := range int64(slots) {
		retries += b.retries[i]
		if age := (current - i + slots) % slots; age < requestSlots {
			requests += b.requests[i]
		}
	}
	allowed := b.ratio * requests
	if now >= b.slackFrom {
		allowed += b.slack / float64(max(edges, 1))
	}
	if retries+1 > allowed {
		return false
	}
	b.retries[current]++
	return true
}
