package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"willowdeck/internal/forecast"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/recovery/crashstate"
	"willowdeck/internal/gateway/transport/gossip"
	"willowdeck/internal/gateway/workers"
	"willowdeck/internal/policy"
)

// Dispatcher owns the policy, its clock and its wake-up timer. Its lock is held for calls to the policy
// alone, never during I/O.
type Dispatcher struct {
	clock           clock
	closeIdle       func(worker int) // closes the idle connections to a worker
	lateMillis      float64          // after its expiry that the rules allow a final answer
	stop            chan struct{}
	ready           atomic.Bool                  // some worker takes attempts
	tally           atomic.Pointer[policy.Stats] // a copy for those who must not wait for the lock
	revoked         atomic.Int64                 // attempts that were not sent, as their lease had expired
	lockTimes       LockTimes
	checkpointStats CheckpointStats
	history         *historyLog // nil where none is recorded; set before the first request

	applying sync.Mutex // serializes ApplyEndpoints; its holder changes workers, under mu too

	mu        sync.Mutex // guards what follows
	policy    *policy.Engine
	timer     *time.Timer // of the policy's next wake-up
	requests  requestTable
	workers   workers.Registry
	outbox    outbox
	ruleset   activeRuleset
	crash     crashState
	lender    *lender // nil where nothing is lent
	handedOff bool    // the successor of a hot restart has the policy's state
	meter     *forecast.Meter
	sample    policy.Snapshot // belongs to FillReport

	watched []watchedClient // belongs to the wake-up's goroutine
}

// requestTable holds the requests in flight.
type requestTable struct {
	byID        map[uint64]*inflight.Request
	lastID      uint64
	maxAttempts int // of one request
}

// outbox holds the datagrams for peers until the lock is released.
type outbox struct {
	send   func(peer int, datagram []byte)
	queued []datagram
}

// datagram is one message to a peer.
type datagram struct {
	peer int
	b    []byte
}

func (o *outbox) add(peer int, b []byte) { o.queued = append(o.queued, datagram{peer, b}) }

// take empties the outbox, and gives what was in it.
func (o *outbox) take() []datagram {
	queued := o.queued
	o.queued = nil
	return queued
}

// NewDispatcher starts the policy. Final answers may come lateMillis after their expiry; send sends a
// datagram to a peer; closeIdle closes the idle connections to a worker.
func NewDispatcher(c policy.Settings, seed int64, lateMillis float64, send func(int, []byte),
	closeIdle func(int)) *Dispatcher {
	d := &Dispatcher{clock: newClock(), outbox: outbox{send: send}, closeIdle: closeIdle, lateMillis: lateMillis,
		policy: policy.New(c, seed), ruleset: activeRuleset{settings: c, generation: 1},
		requests: requestTable{byID: map[uint64]*inflight.Request{}, maxAttempts: max(c.MaxAttempts, 1)}}
	d.timer, d.stop = time.NewTimer(time.Hour), make(chan struct{})
	go d.wakeLoop()
	return d
}

// Stop ends the wake-ups, and closes the crash state and the credit store. No attempt starts any more.
func (d *Dispatcher) Stop() {
	close(d.stop)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crash.file != nil {
		d.crash.file.Close()
		d.crash.file = nil
	}
	d.stopLending()
}

// Now is the dispatcher's time, Unix ms.
func (d *Dispatcher) Now() float64 { return d.clock.now() }

// lockPolicy takes the lock, advances the policy's clock, and gives the time, Unix ms. flushAndUnlock is to
// follow.
func (d *Dispatcher) lockPolicy() float64 {
	d.mu.Lock()
	now := d.clock.now()
	d.policy.AdvanceTo(now)
	if d.ruleset.lease != nil {
		d.expireRuleset()
	}
	return now
}

// flushAndUnlock executes the policy's decisions one by one until there is none, releases the lock, and
// sends the datagrams for peers.
func (d *Dispatcher) flushAndUnlock() {
	for {
		decision, ok := d.policy.NextDecision()
		if !ok {
			break
		}
		if d.lender != nil { // what was borrowed for it is stored before it is executed
			d.flushLending()
		}
		d.execute(decision)
	}
	if d.lender != nil {
		d.flushLending()
	}
	queued := d.outbox.take()
	d.mu.Unlock()
	for _, m := range queued {
		d.outbox.send(m.peer, m.b)
	}
}

// execute carries out a decision, under the lock.
func (d *Dispatcher) execute(v policy.Decision) {
	switch v.Kind {
	case policy.SetTimer:
		d.timer.Reset(time.Until(d.clock.time(v.AtMillis)))
		return
	case policy.SendReports:
		b := gossip.Append(nil, v.Reports)
		inflight.Check(len(b) <= gossip.MaxMessageBytes, inflight.DatagramFits)
		d.outbox.add(v.Peer, b)
		return
	}
	r := d.requests.byID[v.RequestID]
	inflight.Check(r != nil, inflight.KnownRequest)
	if r == nil {
		return
	}
	switch v.Kind {
	case policy.GrantClearance:
		r.Reserved = true
	case policy.Cancel:
		r.Attempts[v.Attempt].Cancel()
	case policy.Submit:
		d.startAttempt(r, &v)
	case policy.Reject, policy.RejectUncertain:
		d.finalize(r, inflight.Command{Decision: v}, d.clock.now())
		d.forgetIfDone(r)
	}
}

// startAttempt commands an attempt, under the lock.
func (d *Dispatcher) startAttempt(r *inflight.Request, v *policy.Decision) {
	inflight.Check(!r.Answered && len(r.Attempts) == v.Attempt, inflight.NoAttemptAfterFinalAnswer)
	// Guards against a connection that comes up when the window that a hedged request has opened is over.
	if d.ruleset.settings.Products[r.Product].Idempotency == policy.Deduplicated {
		for _, earlier := range r.Attempts {
			earlier.CancelUnsent()
		}
	}
	attempt := &inflight.Attempt{}
	r.Attempts = append(r.Attempts, attempt)
	r.Outstanding++
	if d.crash.file != nil && v.RateLimitFullAtMillis > 0 { // before it can be sent
		d.crash.file.RecordSpent(r.Customer, r.Plan, v.RateLimitFullAtMillis, d.clock.now())
	}
	r.Commands <- inflight.Command{Decision: *v, Upstream: d.workers.Upstream(v.Worker), Attempt: attempt,
		Lease: d.ruleset.lease}
}

// crashState is the part of the policy's state that is kept for a restart after a kill.
type crashState struct {
	file            *crashstate.File // nil where none is kept
	restoredVersion uint64           // of the ruleset by which the run before spent what was restored; 0 none
}
