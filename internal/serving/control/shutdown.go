package control

import (
	"time"

	"go.uber.org/zap"
)

const (
	// minimumShutdown is the shortest time between the shutdown request and the stop. It gives the
	// other replicas time to notice a learner that has just started.
	minimumShutdown = 600 * time.Millisecond

	// shutdownGraceMargin is how long before the process would be killed it stops, even if it is still needed.
	shutdownGraceMargin = 1300 * time.Millisecond
)

// BeginShutdown begins the graceful shutdown of this core: the replica transfers the leadership and asks to
// be replaced as a voter. The caller must keep the engine running until SafeToStop returns true.
func (e *Engine) BeginShutdown() {
	e.advanceTime()
	if !e.shuttingDown {
		e.shuttingDown = true
		e.shutdownAt = e.now()
		e.logger.Info("shutting down", zap.Bool("voter", e.node.IsVoter()))
	}
	e.node.BeginShutdown()
	e.processReady()
}

// SafeToStop reports whether a core whose shutdown has begun may stop: the other replicas no longer need
// it, or its shutdown grace period is nearly over.
func (e *Engine) SafeToStop() bool {
	elapsed := e.now() - e.shutdownAt
	return elapsed > minimumShutdown && e.node.SafeToStop() ||
		elapsed > e.options.ShutdownGrace-shutdownGraceMargin
}
