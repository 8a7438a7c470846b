package control

import (
	"time"

	"go.uber.org/zap"
)

const (
	minimumShutdown     = 600 * time.Millisecond  // time for a learner that has just started to be seen
	shutdownGraceMargin = 1300 * time.Millisecond // before the process is killed
)

// BeginShutdown begins the graceful shutdown of this core: the replica transfers the leadership and asks to
// be replaced as a voter. The caller goes on running the engine until SafeToStop.
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

// SafeToStop reports whether a core whose shutdown has begun is not needed any more, or has no time left.
func (e *Engine) SafeToStop() bool {
	elapsed := e.now() - e.shutdownAt
	return elapsed > minimumShutdown && e.node.SafeToStop() ||
		elapsed > e.options.ShutdownGrace-shutdownGraceMargin
}
