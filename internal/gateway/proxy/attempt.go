package proxy

import (
	"errors"
	"math"
	"os"
	"time"

	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/workers"
	"willowdeck/internal/policy"
)

// exchange sends an attempt and waits for its answer, until a deadline. It gives the time from which the
// worker counts as being waited for. However the attempt ends, its connection is closed or free for others
// before exchange returns: only then may the request be attempted again. The exception is an answer whose
// body is still to be read, which comes with its connection. There is no answer where the attempt was not
// sent as the lease that it was decided by had expired.
func (p *Proxy) exchange(v delivery, deadline time.Time) (
	answer *transport.Answer, link *transport.WorkerConn, startedMillis float64) {
	clock := p.dispatcher.clock
	attempt, upstream, startedMillis := v.command.Attempt, v.command.Upstream, clock.now()
	latest := deadline // for the first byte
	if by := v.command.Decision.SendBeforeMillis; !math.IsInf(by, 1) && clock.time(by).Before(deadline) {
		latest = clock.time(by)
	}
	if link = p.links.TakeIdle(upstream.Worker); link == nil {
		var failed *transport.Answer
		if link, failed = p.dial(&upstream, latest); failed != nil {
			return failed, nil, startedMillis
		}
	}
	link.SetDeadline(deadline)
	// Guards against what changed while the connection came up: the request was abandoned, the window for its
	// retries is over, or the worker drains, moved or restarted with empty caches. The journal is written now.
	// The client is checked last, and the policy hears that it has gone before the attempt's end.
	if !p.journalStart(&v, deadline, &startedMillis) || !upstream.Valid() || !time.Now().Before(latest) ||
		p.clientLeft(&v) || !attempt.Start(link) {
		p.links.Discard(link)
		return &transport.Answer{Outcome: policy.NotSent}, nil, startedMillis
	}
	if !p.leaseValid(&v) {
		attempt.Finish()
		p.links.Discard(link)
		return nil, nil, startedMillis
	}
	// Guards against a time that was right at the decision: the goroutine, the connection, the journal and
	// history were waited for since, and the worker gets the time that its client has left now.
	now := time.Now()
	if !now.Before(latest) {
		attempt.Finish()
		p.links.Discard(link)
		return &transport.Answer{Outcome: policy.NotSent}, nil, startedMillis
	}
	if v.deadlineOffset > 0 {
		v.message = transport.SetRemaining(v.message, v.deadlineOffset, deadline.Sub(now))
	}
	return p.sendAndReceive(&v, link, startedMillis)
}

// sendAndReceive writes an attempt to its connection, and waits for the answer.
func (p *Proxy) sendAndReceive(v *delivery, link *transport.WorkerConn, startedMillis float64) (
	*transport.Answer, *transport.WorkerConn, float64) {
	var answer *transport.Answer
	err := link.Send(v.message)
	if err == nil && v.upload != nil {
		var sent bool
		if answer, startedMillis, sent, err = p.streamBody(*v, link); sent || err == nil {
			return p.finishAttempt(*v, link, answer, err, startedMillis)
		}
	}
	if err != nil {
		cancelled := v.command.Attempt.Finish()
		p.links.Discard(link)
		if cancelled || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errClientBody) ||
			errors.Is(err, transport.ErrStaleConn) {
			return &transport.Answer{Outcome: policy.NotSent}, nil, startedMillis
		}
		// The connection broke before the last byte: the worker never ran it.
		return &transport.Answer{Outcome: policy.ConnectFailed}, nil, startedMillis
	}
	p.links.CountAttempt()
	worker := v.command.Upstream.Worker
	answer, err = link.Receive(func() { p.dispatcher.workerResponded(worker) })
	return p.finishAttempt(*v, link, answer, err, startedMillis)
}

// dial opens a connection to a worker, or gives the attempt's end where it can't.
func (p *Proxy) dial(upstream *workers.Upstream, latest time.Time) (*transport.WorkerConn,
	*transport.Answer) {
	link, err := p.links.Dial(upstream.Worker, upstream.Addr, latest)
	switch {
	case err == nil:
		return link, nil
	case errors.Is(err, transport.ErrPoolExhausted) || !time.Now().Before(latest):
		return nil, &transport.Answer{Outcome: policy.NotSent}
	}
	return nil, &transport.Answer{Outcome: policy.ConnectFailed}
}

// leaseValid tells whether the lease that an attempt was decided by is valid right before the attempt is
// sent, and records its start. Guards against a process that was stopped, or waited for its connection,
// beyond the lease's expiry. What is left is from here to the write: some us, and however long the process
// is stopped between the two; the message names its ruleset to the worker.
func (p *Proxy) leaseValid(v *delivery) bool {
	valid := v.command.Lease.Valid()
	if h := p.dispatcher.history; h != nil && valid {
		h.attemptStarts(v)
		valid = v.command.Lease.Valid()
	}
	return valid
}

// clientLeft tells whether the client of a request that is about to be sent has gone, and ends the request
// if so.
func (p *Proxy) clientLeft(v *delivery) bool {
	gone := v.request.ClientGone()
	if gone {
		p.dispatcher.clientLeft(v.request)
	}
	return gone
}

// finishAttempt classifies the end of an attempt that was sent completely, or answered before, and releases
// its connection.
func (p *Proxy) finishAttempt(v delivery, link *transport.WorkerConn, answer *transport.Answer, err error,
	startedMillis float64) (*transport.Answer, *transport.WorkerConn, float64) {
	cancelled := v.command.Attempt.Finish()
	if err == nil && !cancelled {
		if answer.Remainder != nil {
			return answer, link, startedMillis
		}
		if answer.Reusable() && p.links.Put(link, &v.command.Upstream) {
			return answer, nil, startedMillis
		}
	}
	p.links.Discard(link)
	switch {
	case err == nil && answer.Remainder == nil:
	case err == nil || cancelled:
		answer = &transport.Answer{Outcome: policy.Cancelled}
	case errors.Is(err, os.ErrDeadlineExceeded) && link.DeadlinePassed():
		answer = &transport.Answer{Outcome: policy.TimedOut}
	default:
		answer = &transport.Answer{Outcome: policy.ConnectionLost} // one that stalls is cut from here
	}
	return answer, nil, startedMillis
}
