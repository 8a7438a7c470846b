package gate

import (
	"errors"
	"os"
	"time"

	"willowdeck/internal/held"
	"willowdeck/internal/wire"
	"willowdeck/logic"
)

// exchange sends a submission and waits for its answer. However it ends, its link is closed or free for
// others before it returns: only then may the txn be submitted again.
func (g *Gate) exchange(s *held.Submission, to held.Life, until time.Time, msg []byte) *wire.Answer {
	l := g.links.Idle(to.Worker)
	if l == nil {
		var err error
		if l, err = g.links.Dial(to.Worker, to.Addr, until); err != nil {
			if errors.Is(err, wire.ErrNoRoom) || !time.Now().Before(until) {
				return &wire.Answer{Outcome: logic.NotSent}
			}
			return &wire.Answer{Outcome: logic.NoRoute}
		}
	}
	l.Until(until)
	// Guards against what was learned while the connection came up: the txn was given up on, or the worker
	// drains or has started anew, cold.
	if !to.Holds() || !time.Now().Before(until) || !s.Begin(l) {
		g.links.Drop(l)
		return &wire.Answer{Outcome: logic.NotSent}
	}
	if err := l.Send(msg); err != nil {
		outcome := logic.NoRoute // broke before its last byte: it never ran
		if withdrawn := s.End(); withdrawn || errors.Is(err, os.ErrDeadlineExceeded) {
			outcome = logic.NotSent
		}
		g.links.Drop(l)
		return &wire.Answer{Outcome: outcome}
	}
	g.links.Wrote()
	a, err := l.Receive(until)
	withdrawn := s.End()
	if err == nil && !withdrawn && a.Keep() && g.links.Keep(l, &to) {
		return a
	}
	g.links.Drop(l)
	switch {
	case err == nil:
		return a
	case withdrawn:
		return &wire.Answer{Outcome: logic.Withdrawn}
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(until):
		return &wire.Answer{Outcome: logic.TimedOut}
	}
	return &wire.Answer{Outcome: logic.Cut} // one that stalls is cut from here
}
