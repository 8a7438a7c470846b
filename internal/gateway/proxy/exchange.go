package proxy

import (
	"errors"
	"math"
	"os"
	"time"

	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
)

// exchange sends a submission and waits for its answer, and gives the time at which that began to be waited
// for. However it ends, its link is closed or free for others before it returns: only then may the txn be
// submitted again. The exception is an answer whose rest is left to be passed on, which comes with its link.
// There is no answer where it was not sent as what it was decided by had run out.
func (g *Gate) exchange(j job, until time.Time) (a *transport.Answer, l *transport.Link, began float64) {
	s, to, began := j.word.Attempt, j.word.Upstream, g.desk.clock.now()
	latest := until
	if by := j.word.Decision.Latest; !math.IsInf(by, 1) && g.desk.clock.time(by).Before(until) {
		latest = g.desk.clock.time(by)
	}
	if l = g.links.Idle(to.Worker); l == nil {
		var err error
		if l, err = g.links.Dial(to.Worker, to.Addr, latest); err != nil {
			if errors.Is(err, transport.ErrNoRoom) || !time.Now().Before(latest) {
				return &transport.Answer{Outcome: policy.NotSent}, nil, began
			}
			return &transport.Answer{Outcome: policy.NoRoute}, nil, began
		}
	}
	l.Until(until)
	// Guards against what was learned while the connection came up: the txn was given up on, the window for its
	// repeats is over, or the worker drains or has started anew, cold. What is to be written down before it goes
	// out is now. A client that has left is looked for last, and the module hears of it before the end.
	if !g.meant(&j, until, &began) || !to.Valid() || !time.Now().Before(latest) || g.left(&j) || !s.Start(l) {
		g.links.Drop(l)
		return &transport.Answer{Outcome: policy.NotSent}, nil, began
	}
	// Guards against a process that stood still, or waited for its connection, beyond the time of its rules.
	// What is left is from here to the write below: some us, and however long the process is stopped between
	// the two; the submission names its rules to the worker.
	holds := j.word.Lease.Valid()
	if r := g.desk.record; r != nil && holds {
		r.sends(&j)
		holds = j.word.Lease.Valid()
	}
	if !holds {
		s.Finish()
		g.links.Drop(l)
		return nil, nil, began
	}
	// Guards against a time that was right when this was decided: its goroutine, the connection, the journal and
	// the record have been waited for since, and the worker is told what the client has left now.
	now := time.Now()
	if !now.Before(latest) {
		s.Finish()
		g.links.Drop(l)
		return &transport.Answer{Outcome: policy.NotSent}, nil, began
	}
	if j.told > 0 {
		j.msg = transport.TellLeft(j.msg, j.told, until.Sub(now))
	}
	err := l.Send(j.msg)
	if err == nil && j.upload != nil {
		var whole bool
		if a, began, whole, err = g.pour(j, l); whole || err == nil {
			return g.answered(j, l, a, err, began)
		}
	}
	if err != nil {
		withdrawn := s.Finish()
		g.links.Drop(l)
		if withdrawn || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errClient) ||
			errors.Is(err, transport.ErrStale) {
			return &transport.Answer{Outcome: policy.NotSent}, nil, began
		}
		return &transport.Answer{Outcome: policy.NoRoute}, nil, began // broke before its last byte: it never ran
	}
	g.links.Wrote()
	a, err = l.Receive(func() { g.desk.stirs(to.Worker) })
	return g.answered(j, l, a, err, began)
}

// left tells whether the client of a txn that is about to be sent has gone, and ends the txn if so.
func (g *Gate) left(j *job) bool {
	gone := j.txn.ClientGone()
	if gone {
		g.desk.quit(j.txn)
	}
	return gone
}

// answered ends a submission that was written whole, or was answered before.
func (g *Gate) answered(
	j job,
	l *transport.Link,
	a *transport.Answer,
	err error,
	began float64,
) (*transport.Answer,
	*transport.Link, float64) {
	withdrawn := j.word.Attempt.Finish()
	if err == nil && !withdrawn {
		if a.Rest != nil {
			return a, l, began
		}
		if a.Keep() && g.links.Keep(l, &j.word.Upstream) {
			return a, nil, began
		}
	}
	g.links.Drop(l)
	switch {
	case err == nil && a.Rest == nil:
	case err == nil || withdrawn:
		a = &transport.Answer{Outcome: policy.Withdrawn}
	case errors.Is(err, os.ErrDeadlineExceeded) && l.Overdue():
		a = &transport.Answer{Outcome: policy.TimedOut}
	default:
		a = &transport.Answer{Outcome: policy.Cut} // one that stalls is cut from here
	}
	return a, nil, began
}

var (
	errClient  = errors.New("the client has not finished its txn")
	errStalled = errors.New("the worker takes no more of the body")
	errEarly   = errors.New("an answer to a body that had not gone out")
)

// pour sends the body of a txn on as it comes, while the worker may already answer, and tells whether it was
// written whole. If not, it never ran.
func (g *Gate) pour(j job, l *transport.Link) (a *transport.Answer, began float64, whole bool, err error) {
	n := j.word.Decision.N
	g.desk.poured(j.txn, n, 0)
	l.Until(time.Time{}) // its time has not begun
	l.Pours()
	sent := make(chan error, 1)
	go func() {
		err := l.Pour(j.upload)
		switch {
		case err == nil:
			g.links.Wrote()
			l.Until(g.desk.poured(j.txn, n, j.left))
		case j.upload.Fault() != nil:
			l.Abort()
		default: // what the worker has said is read, and no more is waited for: nothing else would end that
			l.Until(time.Now().Add(transport.Millis(policy.AnswerPause)))
		}
		sent <- err
	}()
	a, err = l.Receive(func() { g.desk.stirs(j.word.Upstream.Worker) })
	began = g.desk.clock.now()
	j.upload.Stop() // what is answered early needs no more of it
	l.Halt()
	fail := <-sent
	switch {
	case fail == nil:
		if began = g.desk.whole(j.txn); err == nil && a.Early() {
			err = errEarly // of another submission, or made up: it says nothing of this one, which may run
		}
	case err == nil && a.Outcome == policy.Settled:
		err = errEarly // a worker that has not got it whole has made no answer for it
	case err == nil:
		a.Last()
	case j.upload.Fault() != nil:
		err = errClient
	case errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(fail, transport.ErrBrokenOff):
		err = errStalled
	}
	return a, began, fail == nil, err
}
