package control

import (
	"time"

	"go.uber.org/zap"
)

// Tick does the periodic work. It is called every TickInterval.
func (e *Engine) Tick() {
	now := e.advanceTime()
	e.lastTick = now
	if e.node.InSync() {
		e.stateView.ConfirmQuorumContact(e.stabilized())
	}
	e.logLeaderChange()
	e.retryRequests()
	e.monitorLearners()
	if now >= e.nextPresenceAt {
		e.nextPresenceAt = now + presenceInterval
		e.broadcastPresence()
		e.origins.publish(now, e.node.InSync() && e.stabilized())
	}
	if now >= e.nextExpiryAt {
		e.nextExpiryAt = now + expiryInterval
		e.expireRecords()
		e.saveWorkers()
	}
	e.processReady()
}

// advanceTime passes the time to the replica. It comes before anything else, since the process may have
// stalled: a leader that has must step down before it handles a message or a request.
func (e *Engine) advanceTime() time.Duration {
	now := e.now()
	e.recordTickGap(now)
	if now-e.lastTick > stallThreshold {
		e.runningSince = now
		e.lastTick = now
	}
	e.node.Tick(now)
	return now
}

// recordTickGap records how long a request may have waited for this process before it was handled.
func (e *Engine) recordTickGap(now time.Duration) {
	gap := now - e.lastTick
	if gap >= e.longestTickGap || now >= e.tickGapExpiry {
		e.longestTickGap = gap
		e.tickGapExpiry = now + tickGapRetention
	}
}

// stabilized reports whether this core has run without a stall for long enough to have received from all live
// cores and workers.
func (e *Engine) stabilized() bool { return e.now()-e.runningSince > stabilizationTime }

// logLeaderChange logs a new leader.
func (e *Engine) logLeaderChange() {
	if leader := e.node.Leader(); leader != e.lastLeader {
		e.lastLeader = leader
		e.logger.Info("leader changed", zap.String("leader", leader), zap.Uint64("term", e.node.Term()))
	}
}
