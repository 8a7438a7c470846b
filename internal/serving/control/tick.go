package control

import (
	"time"

	"go.uber.org/zap"
)

// Tick does the periodic work of the core. The caller calls it every TickInterval.
func (e *Engine) Tick() {
	now := e.advanceTime()
	e.lastTick = now
	if e.node.InSync() {
		e.stateView.ConfirmQuorumContact(e.stabilized())
	}
	e.logLeaderChange()
	e.retryRequests()
	e.advanceEvacuations()
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

// advanceTime passes the time to the replica and returns it. Messages and requests are handled only
// after this call, since the process may have stalled: a leader that has stalled must step down first.
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

// recordTickGap records the time since the last tick: a request may have waited that long before this process
// handled it.
func (e *Engine) recordTickGap(now time.Duration) {
	gap := now - e.lastTick
	if gap >= e.longestTickGap || now >= e.tickGapExpiry {
		e.longestTickGap = gap
		e.tickGapExpiry = now + tickGapRetention
	}
}

// stabilized reports whether this core has run without a stall for long enough to have received messages
// from all live cores, and heartbeats from all live workers.
func (e *Engine) stabilized() bool { return e.now()-e.runningSince > stabilizationTime }

// logLeaderChange logs the leader if it has changed since the last call.
func (e *Engine) logLeaderChange() {
	if leader := e.node.Leader(); leader != e.lastLeader {
		e.lastLeader = leader
		e.logger.Info("leader changed", zap.String("leader", leader), zap.Uint64("term", e.node.Term()))
	}
}
