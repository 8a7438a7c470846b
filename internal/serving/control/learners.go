package control

import (
	"time"

	"go.uber.org/zap"

	"willowdeck/internal/serving/consensus"
)

// learnerWarningInterval is the time between two warnings about the same learner.
const learnerWarningInterval = 10 * time.Second

// learnerMonitor keeps what was last logged about replicas that are not voters, so that it is not repeated.
type learnerMonitor struct {
	loggedReason  string                   // last logged reason why this replica is not a voter
	nextWarningAt map[string]time.Duration // on the leader: earliest time of the next warning, by learner
}

// newLearnerMonitor returns a monitor that has logged nothing.
func newLearnerMonitor() learnerMonitor {
	return learnerMonitor{nextWarningAt: map[string]time.Duration{}}
}

// WaitReason returns why this replica is not a voter, or "" if it is one.
func (e *Engine) WaitReason() string {
	switch {
	case e.node.IsVoter():
		return ""
	case e.node.Leader() == "":
		return "no leader has answered: check the seeds and the links to the other cores"
	case !e.node.HasCaughtUp():
		return "catching up with the leader"
	}
	return "caught up: waits until a seat is free" // as /status shows it
}

// monitorLearners logs when the reason why this replica is not a voter changes, and on the leader which
// learners have not caught up in time.
func (e *Engine) monitorLearners() {
	if reason := e.WaitReason(); reason != e.learnerMonitor.loggedReason && !e.shuttingDown {
		e.learnerMonitor.loggedReason = reason
		if reason == "" {
			e.logger.Info("this replica is a voter", zap.Strings("voters", e.node.Voters()))
		} else {
			e.logger.Info("this replica is a learner", zap.String("reason", reason))
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
		e.logger.Warn("learner has not caught up: check its link and its disk",
			zap.String("replica", learner.Replica), zap.Uint64("match_index", learner.MatchIndex),
			zap.Uint64("applied_index", e.node.Applied()))
	}
}

// Learners returns the learners that this core tracks if it is the established leader, otherwise nil.
func (e *Engine) Learners() []consensus.Learner {
	if !e.node.IsEstablishedLeader() {
		return nil
	}
	return e.node.Learners()
}
