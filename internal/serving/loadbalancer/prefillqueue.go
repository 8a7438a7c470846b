package loadbalancer

import (
	"math"
	"time"

	"willowdeck/internal/serving/decay"
)

// longShareTimeConstant is the time constant of the share of an engine's time that long prompts have taken.
const longShareTimeConstant = 20 * time.Second

// prefillQueue is this edge's estimate of how busy an engine is with prefill, by the prompts of this edge
// and by the notices of other edges.
type prefillQueue struct {
	busyUntil time.Duration // estimated time at which the engine will have prefilled all prompts
	longShare decay.Sum     // share of the engine's recent time that long prompts have taken
}

func newPrefillQueue() prefillQueue {
	return prefillQueue{longShare: decay.NewSum(longShareTimeConstant)}
}

// add adds a prompt with the estimated time of its prefill.
func (q *prefillQueue) add(now time.Duration, prefillMillis float64, long bool) {
	q.busyUntil = max(now, q.busyUntil) + time.Duration(prefillMillis*float64(time.Millisecond))
	if long {
		q.longShare.Add(now, prefillMillis/float64(longShareTimeConstant.Milliseconds()))
	}
}

// remove removes a prompt that was added and will not be prefilled.
func (q *prefillQueue) remove(now time.Duration, prefillMillis float64, long bool) {
	q.busyUntil -= time.Duration(prefillMillis * float64(time.Millisecond))
	if long {
		q.longShare.Add(now, -prefillMillis/float64(longShareTimeConstant.Milliseconds()))
	}
}

// waitMillis returns how long a prompt added at now would wait for its prefill to begin.
func (q *prefillQueue) waitMillis(now time.Duration) float64 {
	return math.Max(0, float64(q.busyUntil-now)/float64(time.Millisecond))
}

// PrefillNotice notifies other edges of a prompt that an edge has just sent to a worker.
type PrefillNotice struct {
	Instance      string  // worker instance
	PrefillMillis float64 // estimated time of the prefill
	Long          bool    // the prompt is a long one, see Balancer.isLong
}

// RecordPeerPrefill records a prompt that another edge has sent. It ignores a notice whose time is not
// positive or is not below maxPrefillMillis.
func (b *Balancer) RecordPeerPrefill(now time.Duration, notice PrefillNotice) {
	if notice.PrefillMillis > 0 && notice.PrefillMillis < maxPrefillMillis {
		b.state(notice.Instance).prefillQueue.add(now, notice.PrefillMillis, notice.Long)
	}
}
