package loadbalancer

import (
	"time"

	"willowdeck/internal/serving/decay"
)

// Times that determine for how long a worker is ejected.
const (
	baseEjectionTime     = 400 * time.Millisecond // after a first failure; doubled by each further one
	maxEjectionTime      = 3 * time.Second
	maxEjectionDoublings = 4
	// unresponsiveEjectionTime is the ejection time of a worker that does not answer health checks. Each further
	// check without an answer renews it.
	unresponsiveEjectionTime = 1500 * time.Millisecond
	// replacedEjectionTime is the ejection time of a worker whose address another worker has taken over. The
	// core removes the replaced worker from the catalog within this time.
	replacedEjectionTime = 10 * time.Second
	// successFreshness is how long a success that this edge saw takes precedence over other edges' reports.
	successFreshness = 300 * time.Millisecond
	// connectionBreakTimeConstant is the time constant of the decaying count of connection breaks.
	connectionBreakTimeConstant = 5 * time.Second
)

// health is the state of a worker's health, by the requests and health checks of this edge and by the
// reports of other edges.
type health struct {
	consecutiveFailures int
	connectionBreaks    decay.Sum // recent connection breaks at this edge and at others
	ejectedUntil        time.Duration
	unresponsive        bool          // it did not answer health checks of this edge or another one
	succeeded           bool          // this edge has seen a success; lastSuccessAt is valid
	lastSuccessAt       time.Duration // when this edge last saw a success
}

func newHealth() health { return health{connectionBreaks: decay.NewSum(connectionBreakTimeConstant)} }

// ejected reports whether the worker is ejected at now.
func (h *health) ejected(now time.Duration) bool { return now < h.ejectedUntil }

// RecordSuccess records that a worker answered a request or a health check. It ends an ejection.
func (b *Balancer) RecordSuccess(now time.Duration, instance string) {
	health := &b.state(instance).health
	health.consecutiveFailures = 0
	health.ejectedUntil = 0
	health.unresponsive = false
	health.lastSuccessAt, health.succeeded = now, true
}

// RecordFailure records that a worker could not be reached, or aborted a response. It ejects the worker for
// a time that doubles with each consecutive failure, up to maxEjectionTime.
func (b *Balancer) RecordFailure(now time.Duration, instance string) {
	health := &b.state(instance).health
	ejectionTime := baseEjectionTime << min(health.consecutiveFailures, maxEjectionDoublings)
	health.consecutiveFailures++
	health.ejectedUntil = now + min(ejectionTime, maxEjectionTime)
}

// RecordUnresponsive records that a worker does not answer health checks, and ejects it. byPeer is true if
// another edge reports it; such a report is ignored within successFreshness after a success that this edge
// saw itself. It returns whether the worker was already known to be unresponsive.
func (b *Balancer) RecordUnresponsive(now time.Duration, instance string, byPeer bool) (alreadyKnown bool) {
	health := &b.state(instance).health
	if byPeer && health.succeeded && now-health.lastSuccessAt < successFreshness {
		return false
	}
	alreadyKnown = health.ejected(now) && health.unresponsive
	health.unresponsive = true
	health.ejectedUntil = max(health.ejectedUntil, now+unresponsiveEjectionTime)
	return alreadyKnown
}

// RecordConnectionBreak records that a worker broke a connection to this edge or to another one. The cost
// of a worker that does so repeatedly rises, even if it answers again soon after each break.
func (b *Balancer) RecordConnectionBreak(now time.Duration, instance string) {
	b.state(instance).health.connectionBreaks.Add(now, 1)
}

// RecordReplaced records that another worker answers at a worker's address, and ejects the worker, which
// will not return under its instance name.
func (b *Balancer) RecordReplaced(now time.Duration, instance string) {
	health := &b.state(instance).health
	health.ejectedUntil = max(health.ejectedUntil, now+replacedEjectionTime)
}
