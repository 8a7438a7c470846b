package control

import (
	"time"

	"go.uber.org/zap"

	"willowdeck/internal/serving/consensus"
)

// repeatWarning is the pause between two warnings of the same replica.
const learnerWarningInterval = 10 * time.Second

// joinWatch remembers what was said of replicas that wait for a seat.
type learnerMonitor struct {
	loggedReason   string                   // why this replica has no seat, as it was logged last
	nextWarningAt map[string]time.Duration // at the leader, by replica: when the next one is due
}

func newLearnerMonitor() learnerMonitor { return learnerMonitor{nextWarningAt: map[string]time.Duration{}} }

// WaitReason says why this replica has no seat, "" where it has one.
func (e *Engine) WaitReason() string {
	switch {
	case e.node.IsVoter():
		return ""
	case e.node.Leader() == "":
		return "no leader has answered: check the seeds and the links to the other cores"
	case !e.node.HasCaughtUp():
		return "catching up with the leader"
	}
	return "caught up: waits until a seat is free"
}

// watchJoining logs why this replica waits, and at the leader which replicas make no progress.
func (e *Engine) monitorLearners() {
	if reason := e.WaitReason(); reason != e.learnerMonitor.loggedReason && !e.shuttingDown {
		e.learnerMonitor.loggedReason = reason
		if reason == "" {
			e.logger.Info("has a seat", zap.Strings("members", e.node.Voters()))
		} else {
			e.logger.Info("waits for a seat", zap.String("reason", reason))
		}
	}
	if !e.node.IsEstablishedLeader() {
		clear(e.learnerMonitor.nextWarningAt)
		return
	}
	now := e.now()
	for _, learner := range e.node.Learners() {
		late := now-learner.Since > e.options.CatchUpTimeout && !learner.CaughtUp && !learner.ShuttingDown
		if !late || now < e.learnerMonitor.nextWarningAt[learner.Replica] {
			continue
		}
		e.learnerMonitor.nextWarningAt[learner.Replica] = now + learnerWarningInterval
		e.logger.Warn("a replica makes no progress: check its link and its disk", zap.String("replica",
			learner.Replica), zap.Uint64("has", learner.MatchIndex), zap.Uint64("of", e.node.Applied()))
	}
}

// Learners returns the replicas that wait for a seat, as far as this core leads and knows of them.
func (e *Engine) Learners() []consensus.Learner {
	if !e.node.IsEstablishedLeader() {
		return nil
	}
	return e.node.Learners()
}
