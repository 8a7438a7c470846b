package proxy

import (
	"math"
	"time"

	"willowdeck/internal/forecast"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
)

// admit gives a request to the policy. What is decided on it comes to its Commands.
func (d *Dispatcher) admit(t *transport.Request) *inflight.Request {
	now := d.lockPolicy()
	r := d.track(&t.Request, t.Gone, now)
	r.ExpiryMillis = expiryMillis(t, now)
	d.policy.AddRequest(t.Request)
	d.flushAndUnlock()
	return r
}

// track adds a request, under the lock. It has no expiry until it arrives.
func (d *Dispatcher) track(a *policy.Request, clientGone func() bool, now float64) *inflight.Request {
	d.requests.lastID++
	a.ID = d.requests.lastID
	r := inflight.NewRequest(a.ID, math.Inf(1), clientGone, d.requests.maxAttempts)
	r.Customer, r.Plan, r.Product, r.ArrivedMillis = a.Customer, a.Plan, a.Product, now
	d.meter.RequestReceived(a.Plan, a.Product, a.Units)
	d.requests.byID[a.ID] = r
	return r
}

// expiryMillis is when the final answer of a request that arrives now is due.
func expiryMillis(t *transport.Request, now float64) float64 {
	if t.StreamsBody {
		return math.Inf(1)
	}
	return now + t.TimeLeftMillis
}

// reserve asks the policy whether a request may arrive within lifeMillis, and tells whether it may.
func (d *Dispatcher) reserve(t *transport.Request, lifeMillis float64) (*inflight.Request, bool) {
	a := t.Request
	a.ClearanceMillis = lifeMillis
	now := d.lockPolicy()
	r := d.track(&a, t.Gone, now)
	d.policy.AddRequest(a)
	d.flushAndUnlock()
	return r, r.Reserved
}

// adoptReservation takes over a reservation of another process, for lifeMillis more.
func (d *Dispatcher) adoptReservation(a policy.Request, lifeMillis float64) *inflight.Request {
	a.ClearanceMillis = lifeMillis
	now := d.lockPolicy()
	r := d.track(&a, func() bool { return false }, now)
	r.Reserved = true
	d.policy.ImportClearance(a)
	d.flushAndUnlock()
	return r
}

// redeem tells the policy that a reserved request has arrived. It is false where the reservation has ended.
func (d *Dispatcher) redeem(r *inflight.Request, t *transport.Request) bool {
	now := d.lockPolicy()
	known := !r.Answered && d.policy.ClaimClearance(r.ID, t.TimeLeftMillis, t.StreamsBody)
	if known {
		t.ID, r.ExpiryMillis, r.ClientGone, r.ArrivedMillis = r.ID, expiryMillis(t, now), t.Gone, now
	}
	d.flushAndUnlock()
	return known
}

// release tells the policy that a reserved request will not arrive.
func (d *Dispatcher) release(r *inflight.Request) {
	d.lockPolicy()
	if !r.Answered {
		d.policy.ReleaseClearance(r.ID)
		r.Answered = true
		d.meter.RequestEnded(r.Plan, r.Product, forecast.OutcomeOther, 0)
		d.forgetIfDone(r)
	}
	d.flushAndUnlock()
}

// clientLeft tells the policy that a request's client has gone.
func (d *Dispatcher) clientLeft(r *inflight.Request) {
	d.abandon(r, d.lockPolicy())
	d.flushAndUnlock()
}

// abandon ends a request whose client has gone, under the lock.
func (d *Dispatcher) abandon(r *inflight.Request, now float64) {
	if !r.Answered {
		d.policy.ClientGone(r.ID)
		d.finalize(r, inflight.Command{Decision: policy.Decision{Kind: policy.RejectUncertain}}, now)
		d.forgetIfDone(r)
	}
}

// bodySent tells the policy that attempt n has begun to send a streamed body or, where leftMillis is given,
// has sent it completely: the client waits for leftMillis from now on. It gives the end of that.
func (d *Dispatcher) bodySent(r *inflight.Request, n int, leftMillis float64) time.Time {
	now := d.lockPolicy()
	d.policy.BodyForwarded(r.ID, n, leftMillis)
	if leftMillis > 0 {
		r.ExpiryMillis, r.BodySentMillis = now+leftMillis, now
	}
	d.flushAndUnlock()
	return d.clock.time(now + leftMillis)
}

// bodySentMillis gives the time at which a request's body had been sent completely.
func (d *Dispatcher) bodySentMillis(r *inflight.Request) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.BodySentMillis
}

// answerStarted makes an answer that is streamed to the client the final one, unless the request has one.
func (d *Dispatcher) answerStarted(r *inflight.Request, n int, a *transport.Answer) bool {
	now := d.lockPolicy()
	starts := !r.Answered && a.Outcome == policy.Succeeded
	if starts {
		d.finalize(r, inflight.Command{Answer: a}, now)
		d.policy.ResponseStarted(r.ID, n)
	}
	d.flushAndUnlock()
	return starts
}

// workerResponded tells the policy that a worker has begun to answer.
func (d *Dispatcher) workerResponded(worker int) {
	d.lockPolicy()
	d.policy.WorkerResponded(worker)
	d.flushAndUnlock()
}

// attemptEnded tells the policy how attempt n ended. A worker's first answer settles the request.
func (d *Dispatcher) attemptEnded(r *inflight.Request, n, worker int, a *transport.Answer,
	tookMillis float64) {
	now := d.lockPolicy()
	d.meter.AttemptEnded(d.workers.Zone(worker), r.Product, a.Outcome, tookMillis, r.Answered)
	if a.FromWorker {
		d.policy.ReportWorkerLoad(worker, a.Load)
		d.meter.LoadReported(d.workers.Zone(worker), a.Load)
	}
	if a.Outcome == policy.Succeeded && !r.Answered {
		d.finalize(r, inflight.Command{Answer: a}, now)
	}
	d.policy.AttemptEnded(r.ID, n, a.Outcome, tookMillis, r.Answered)
	r.Outstanding--
	d.forgetIfDone(r)
	d.flushAndUnlock()
}

// attemptRevoked tells the policy that attempt n was never sent, as the lease that it was decided by had
// expired.
func (d *Dispatcher) attemptRevoked(r *inflight.Request, n int) {
	d.lockPolicy()
	if d.policy.RetractAttempt(r.ID, n) {
		r.Attempts = r.Attempts[:n]
	} else {
		d.policy.AttemptEnded(r.ID, n, policy.NotSent, 0, r.Answered)
	}
	r.Outstanding--
	d.revoked.Add(1)
	d.forgetIfDone(r)
	d.flushAndUnlock()
}

// finalize gives a request its final answer, under the lock. Guards against an attempt whose connection is
// still coming up: nothing is sent for a request after that, also where attempts may not be cancelled.
func (d *Dispatcher) finalize(r *inflight.Request, c inflight.Command, now float64) {
	inflight.Check(!r.Answered, inflight.SingleFinalAnswer)
	inflight.Check(now <= r.ExpiryMillis+d.lateMillis, inflight.FinalAnswerInTime)
	r.Answered = true
	d.meter.RequestEnded(r.Plan, r.Product, finalKind(c), now-r.ArrivedMillis)
	for _, attempt := range r.Attempts {
		attempt.CancelUnsent()
	}
	r.Commands <- c
}

// forgetIfDone drops a request of which nothing more can come, under the lock.
func (d *Dispatcher) forgetIfDone(r *inflight.Request) {
	if r.Answered && r.Outstanding == 0 {
		delete(d.requests.byID, r.ID)
	}
}
