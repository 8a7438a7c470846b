package loadbalancer

import (
	"time"

	"willowdeck/internal/serving/decay"
)

// How long a worker stays ejected.
const (
	baseEjectionTime     = 400 * time.Millisecond // after a first failure; doubled by each further one
	maxEjectionTime      = 3 * time.Second
	maxEjectionDoublings = 4
	// unresponsiveEjectionTime is that of a worker that does not answer health checks. Each further check
	// without an answer renews it.
	unresponsiveEjectionTime = 1500 * time.Millisecond
	// replacedEjectionTime is that of a worker whose address another one has: the core drops it from the
	// catalog meanwhile.
	replacedEjectionTime = 10 * time.Second
	// successFreshness is how long a success that this edge saw outweighs what another edge reports.
	successFreshness = 300 * time.Millisecond
	// connectionBreakTimeConstant is that of the count of broken connections.
	connectionBreakTimeConstant = 5 * time.Second
)

// health is what this edge knows of a worker's health, by its own requests and checks and by other edges'.
type health struct {
	consecutiveFailures int
	connectionBreaks    decay.Sum // here or at other edges
	ejectedUntil        time.Duration
	unresponsive        bool // to health checks, of this edge or another one
	succeeded           bool
	lastSuccessAt       time.Duration
}

func newHealth() health { return health{connectionBreaks: decay.NewSum(connectionBreakTimeConstant)} }

// ejected reports whether the worker is to be avoided.
func (h *health) ejected(now time.Duration) bool { return now < h.ejectedUntil }

// RecordSuccess records that a worker answered a request or a health check. It ends an ejection.
func (b *Balancer) RecordSuccess(now time.Duration, instance string) {
	health := &b.state(instance).health
	health.consecutiveFailures = 0
	health.ejectedUntil = 0
	health.unresponsive = false
	health.lastSuccessAt, health.succeeded = now, true
}

// RecordFailure records that a worker could not be reached, or broke off a response. It is ejected for a time
// that doubles with each failure in a row.
func (b *Balancer) RecordFailure(now time.Duration, instance string) {
	health := &b.state(instance).health
	ejectionTime := baseEjectionTime << min(health.consecutiveFailures, maxEjectionDoublings)
	health.consecutiveFailures++
	health.ejectedUntil = now + min(ejectionTime, maxEjectionTime)
}

// RecordUnresponsive records that a worker does not answer health checks, and ejects it. byPeer says that
// another edge reports so: what this edge has just seen itself outweighs that. It returns whether the worker
// was already known to be unresponsive.
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

// RecordConnectionBreak records that a worker broke off a connection, here or at another edge. One that does
// so repeatedly is avoided, though it answers again soon after each time.
func (b *Balancer) RecordConnectionBreak(now time.Duration, instance string) {
	b.state(instance).health.connectionBreaks.Add(now, 1)
}

// RecordReplaced records that another worker answers at a worker's address, and ejects it: it will not come
// back under its instance name.
func (b *Balancer) RecordReplaced(now time.Duration, instance string) {
	health := &b.state(instance).health
	health.ejectedUntil = max(health.ejectedUntil, now+replacedEjectionTime)
}
