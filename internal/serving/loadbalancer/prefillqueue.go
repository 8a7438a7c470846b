package loadbalancer

import (
	"math"
	"time"

	"willowdeck/internal/serving/decay"
)

// longShareTimeConstant is that of the share of an engine's time that long prompts have taken.
const longShareTimeConstant = 20 * time.Second

// prefillQueue is how busy an engine is with prefill, as far as this edge knows: by its own prompts and by
// the notices of other edges.
type prefillQueue struct {
	busyUntil time.Duration // when the engine will have prefilled all prompts, by estimate
	longShare decay.Sum     // share of the engine's time that long prompts have taken
}

func newPrefillQueue() prefillQueue {
	return prefillQueue{longShare: decay.NewSum(longShareTimeConstant)}
}

// add adds a prompt by the estimated time of its prefill.
func (q *prefillQueue) add(now time.Duration, prefillMillis float64, long bool) {
	q.busyUntil = max(now, q.busyUntil) + time.Duration(prefillMillis*float64(time.Millisecond))
	if long {
		q.longShare.Add(now, prefillMillis/float64(longShareTimeConstant.Milliseconds()))
	}
}

// remove takes back a prompt that was added and is not prefilled.
func (q *prefillQueue) remove(now time.Duration, prefillMillis float64, long bool) {
	q.busyUntil -= time.Duration(prefillMillis * float64(time.Millisecond))
	if long {
		q.longShare.Add(now, -prefillMillis/float64(longShareTimeConstant.Milliseconds()))
	}
}

// waitMillis returns how long a further prompt would wait for its prefill to begin.
func (q *prefillQueue) waitMillis(now time.Duration) float64 {
	return math.Max(0, float64(q.busyUntil-now)/float64(time.Millisecond))
}

// PrefillNotice announces to other edges a prompt that an edge has just sent to a worker.
type PrefillNotice struct {
	Instance      string
	PrefillMillis float64 // of the engine's time, by estimate
	Long          bool    // the gap that it makes in the engine's streams is longer than it may be
}

// RecordPeerPrefill records a prompt that another edge has sent. A notice with a time that no prefill takes
// is ignored.
func (b *Balancer) RecordPeerPrefill(now time.Duration, notice PrefillNotice) {
	if notice.PrefillMillis > 0 && notice.PrefillMillis < maxPrefillMillis {
		b.state(notice.Instance).prefillQueue.add(now, notice.PrefillMillis, notice.Long)
	}
}
