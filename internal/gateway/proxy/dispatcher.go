package proxy

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"willowdeck/internal/forecast"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/recovery/crashstate"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/gateway/transport/gossip"
	"willowdeck/internal/gateway/workers"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
)

// clock gives the module's time: Unix ms at the start, and from there on by the monotonic clock, so that the
// starts of workers' processes are in it as they are told.
type clock struct {
	start time.Time
	unix  float64
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, unix: float64(now.UnixMicro()) / 1000}
}

func (c clock) now() float64 { return c.unix + float64(time.Since(c.start))/float64(time.Millisecond) }

func (c clock) time(at float64) time.Time {
	return c.start.Add(transport.Millis(at - c.unix))
}

// Desk owns the module, its clock and its wake-up timer. Its lock is held for calls of the module
// alone, never over I/O.
type Dispatcher struct {
	clock clock
	send  func(peer int, b []byte)
	closeIdle  func(worker int)
	subs  int
	stop  chan struct{}
	late  float64 // ms after its expiry that the rules allow a final answer
	ready atomic.Bool
	pool  atomic.Pointer[policy.Tally] // a copy for those who must not wait

	record *record         // nil where none is kept
	terms  *inflight.Lease // under the lock; nil where no rules are agreed on
	under  uint64          // the last version that was gone by

	charter  policy.Charter // in force, under the lock
	charters int            // how many there have been

	recalled atomic.Int64
	knows    uint64 // the version of the rules by which a former life spent what is remembered here; 0 none

	holds   LockTimes
	listing sync.Mutex // who holds it alone changes workers, under the lock too
	mu      sync.Mutex
	policy      *policy.Gatekeeper
	timer   *time.Timer
	last    uint64
	requests    map[uint64]*inflight.Request
	workers workers.Registry
	speech  []speech
	waiting []waiting        // of the wake's goroutine
	residue *crashstate.File // nil where none is kept
	lending *lender         // nil where nothing is lent
	left    bool             // another process goes on
	copies  CheckpointStats
	meter   *forecast.Meter
	sight   policy.Sight
}

// waiting is a txn whose client is looked at.
type waiting struct {
	txn  *inflight.Request
	gone func() bool
}

// speech is a datagram that waits for the lock's end.
type speech struct {
	peer int
	b    []byte
}

// NewDesk starts the module. Final answers may be late by so many ms; tell sends a peer's datagram; shed ends
// the idle connections to a worker.
func NewDispatcher(c policy.Charter, seed int64, late float64, tell func(int, []byte), shed func(int)) *Dispatcher {
	d := &Dispatcher{clock: newClock(), send: tell, closeIdle: shed, subs: max(c.MaxSubmissions, 1), late: late,
		policy: policy.New(c, seed), charter: c, charters: 1, requests: map[uint64]*inflight.Request{}}
	d.timer, d.stop = time.NewTimer(time.Hour), make(chan struct{})
	go d.wakeLoop()
	return d
}

// Stop ends the wake-ups, and lets the residue go. Nothing is submitted any more.
func (d *Dispatcher) Stop() {
	close(d.stop)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.residue != nil {
		d.residue.Close()
		d.residue = nil
	}
	d.stopLending()
}

// Now is the desk's time, Unix ms.
func (d *Dispatcher) Now() float64 { return d.clock.now() }

// Ready tells whether a txn could be served.
func (d *Dispatcher) Ready() bool { return d.ready.Load() }

// Look renews the copy of the module's counts that Seen gives.
func (d *Dispatcher) RefreshTally() {
	t := d.Tally()
	d.pool.Store(&t)
}

// Seen gives the module's counts as they were at the last Look, and never waits.
func (d *Dispatcher) CachedTally() policy.Tally {
	if t := d.pool.Load(); t != nil {
		return *t
	}
	return policy.Tally{}
}

// Tally gives the module's counts.
func (d *Dispatcher) Tally() policy.Tally {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.Tally()
}

// Roster takes discovery's news. Guards against lists that hold all txns up: what a whole list does not
// change is left out before the lock is taken, and a long one is taken in pieces. Until the last of them the
// desk is as ready as before.
func (d *Dispatcher) ApplyEndpoints(l endpoints.List) {
	d.listing.Lock()
	defer d.listing.Unlock()
	pieces := d.workers.Split(d.workers.Diff(l), policy.ListPiece)
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(transport.Millis(policy.PieceApart))
		}
		from := d.lockPolicy()
		if len(pieces) == 1 {
			d.record.roster(l)
		} else {
			d.record.roster(piece)
		}
		list, ended := d.workers.Apply(piece, d.policy.Vacant)
		if i == len(pieces)-1 {
			d.ready.Store(d.workers.AnyActive())
		}
		d.policy.Roster(list, !piece.Whole)
		d.flushAndUnlock()
		if l.Whole {
			d.recordLockTime(from, &d.holds.FullListMicros)
		} else {
			d.recordLockTime(from, &d.holds.ChangeMicros)
		}
		for _, w := range ended {
			d.closeIdle(w)
		}
	}
}

// Holds are the longest times for which what is no txn's held the lock, and all txns up, us.
type LockTimes struct {
	FullListMicros   atomic.Int64 // a piece of a whole list
	ChangeMicros atomic.Int64 // changes of the list
	RulesetMicros  atomic.Int64
}

// Holds gives the longest times.
func (d *Dispatcher) LockTimes() *LockTimes { return &d.holds }

// heldFor notes for how long the lock was held that was taken at a time.
func (d *Dispatcher) recordLockTime(from float64, longest *atomic.Int64) {
	took := int64((d.clock.now() - from) * 1000)
	for most := longest.Load(); took > most; most = longest.Load() {
		if longest.CompareAndSwap(most, took) {
			return
		}
	}
}

// Retire gives what the module knows, and lets it end the txns in hand alone from then on.
func (d *Dispatcher) HandOff() (e policy.Estate, workers, kinds map[int]string) {
	d.lockPolicy()
	d.discardCrashState()
	d.left = true
	e = d.policy.Retire()
	d.stopLending()
	workers, kinds = d.workers.Names()
	d.flushAndUnlock()
	return e, workers, kinds
}

// Leave keeps a residue from here on, with what this module knows, and takes what a former life has left;
// nil is nothing.
func (d *Dispatcher) AttachCrashState(f *crashstate.File, left *policy.Residue) {
	d.lockPolicy()
	if left != nil && (d.under == 0 || d.under == f.Rules()) { // else it is of other ceilings
		d.policy.Remember(*left)
		d.knows = f.Rules()
	}
	if d.under > 0 {
		f.By(d.under)
	}
	base, spent := d.policy.Residue()
	f.Inherit(base, spent, d.clock.now())
	d.residue = f
	d.flushAndUnlock()
}

// void ends the residue, under the lock: another process spends from here on.
func (d *Dispatcher) discardCrashState() {
	if d.residue != nil {
		d.residue.Void()
		d.residue = nil
	}
}

// Resume takes over what another process's module knew.
func (d *Dispatcher) Resume(e policy.Estate, workers, kinds map[int]string) {
	d.lockPolicy()
	d.workers.Remap(&e, workers, kinds)
	d.policy.Resume(e)
	d.flushAndUnlock()
}

// Record has what is acted on and sent written down. To be called before the first txn.
func (d *Dispatcher) RecordHistory(r history.Recorder) { d.record = &record{to: r, told: map[string]bool{}} }

// Govern has the module go by a charter for as long as some terms hold, in place of those before, which end.
// Where the time of these runs out and nothing has come in their place, nothing passes under a ceiling. It is
// false, and nothing changes, where the charter differs in what may not change.
func (d *Dispatcher) ApplyRuleset(t *inflight.Lease, c policy.Charter) bool {
	d.mu.Lock()
	from := d.clock.now()
	d.policy.Clock(from)
	taken := d.applyRuleset(t, c)
	d.flushAndUnlock()
	d.recordLockTime(from, &d.holds.RulesetMicros)
	return taken
}

func (d *Dispatcher) applyRuleset(t *inflight.Lease, c policy.Charter) bool {
	d.record.acts(t)
	if !d.policy.Recharter(c) {
		return false
	}
	if d.lending != nil {
		d.lending.relend(&c)
	}
	if d.terms != nil {
		d.terms.Revoke()
	}
	d.terms, d.charter = t, c
	d.charters++
	if t.RulesetVersion > 0 {
		d.under = t.RulesetVersion
	}
	if d.residue != nil { // what it says is reckoned by the ceilings
		d.residue.By(d.under)
		base, spent := d.policy.Residue()
		d.residue.Inherit(base, spent, d.clock.now())
	}
	return true
}

// Knows gives the version of the rules by which a former life spent what is remembered of it; 0 where nothing
// is, or no rules were agreed on.
func (d *Dispatcher) RestoredRulesetVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knows
}

// lapse has the module act on nothing whose time has run out. What comes in its place is told soon.
func (d *Dispatcher) expireRuleset() {
	if d.terms.Valid() {
		return
	}
	c := d.charter
	c.Narrow, c.Plans = true, slices.Clone(c.Plans)
	for i := range c.Plans {
		c.Plans[i].Withheld = 1
	}
	d.applyRuleset(inflight.NewLease(0, history.Bare, math.MaxInt64), c)
}

// Resize tells the module how many gatekeepers there are from now on.
func (d *Dispatcher) Resize(n int) {
	d.lockPolicy()
	d.policy.Resize(n)
	d.charter.Gatekeepers = n
	d.charters++
	if d.lending != nil {
		d.lending.book.Resize(n)
	}
	d.flushAndUnlock()
}

// Alone tells the module that the process before this one has ended.
func (d *Dispatcher) PredecessorEnded() {
	d.lockPolicy()
	d.policy.Alone()
	d.flushAndUnlock()
}

// Another tells the module that a peer is another now, which knows nothing.
func (d *Dispatcher) PeerReplaced(peer int) {
	d.lockPolicy()
	d.policy.Returned(peer)
	d.flushAndUnlock()
}

// Hear takes a peer's reports, the first of a new life if it has returned.
func (d *Dispatcher) ReceiveReports(from int, reports []policy.Report, returned bool) {
	d.lockPolicy()
	if returned {
		d.policy.Returned(from)
	}
	if d.charter.Narrow { // it is there, and what it says is not gone by
		reports = nil
	}
	d.policy.Hear(from, reports)
	d.flushAndUnlock()
}

// Turn gives the module a turn now, before the time that it asked for.
func (d *Dispatcher) WakeNow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer.Reset(0)
}

// wake gives the module its turn at the time that it asked for, until Stop.
func (d *Dispatcher) wakeLoop() {
	for {
		select {
		case <-d.timer.C:
			d.onWake()
		case <-d.stop:
			return
		}
	}
}

// dismiss gives the module its turn, and tells it of the txns whose clients no longer wait. The clients are
// looked at between two holds of the lock.
func (d *Dispatcher) onWake() {
	now := d.lockPolicy()
	if d.residue != nil {
		window, press, pace := d.policy.Pressure()
		d.residue.Pressed(window, press, pace, now)
	}
	d.waiting = d.waiting[:0]
	for _, h := range d.requests {
		if !h.Answered {
			d.waiting = append(d.waiting, waiting{h, h.ClientGone})
		}
	}
	d.flushAndUnlock()
	left := d.waiting[:0]
	for _, w := range d.waiting {
		if w.gone() {
			left = append(left, w)
		}
	}
	if len(left) == 0 {
		return
	}
	now = d.lockPolicy()
	for _, w := range left {
		d.abandon(w.txn, now)
	}
	d.flushAndUnlock()
}

// quit tells the module that a txn's client no longer waits.
func (d *Dispatcher) clientLeft(h *inflight.Request) {
	d.abandon(h, d.lockPolicy())
	d.flushAndUnlock()
}

// part is quit, under the lock.
func (d *Dispatcher) abandon(h *inflight.Request, now float64) {
	if !h.Answered {
		d.policy.Left(h.ID)
		d.finalize(h, inflight.Command{Decision: policy.Decision{Kind: policy.Void}}, now)
		d.forgetIfDone(h)
	}
}

// take gives a txn to the module. What is decided on it comes to its box.
func (d *Dispatcher) admit(t *transport.Txn) *inflight.Request {
	now := d.lockPolicy()
	h := d.track(&t.Arrival, t.Gone, now)
	h.ExpiryMillis = expiryMillis(t, now)
	d.policy.Take(t.Arrival)
	d.flushAndUnlock()
	return h
}

// hold makes a txn, under the lock. Until it has come it has no expiry.
func (d *Dispatcher) track(a *policy.Arrival, gone func() bool, now float64) *inflight.Request {
	d.last++
	a.ID = d.last
	h := inflight.NewRequest(a.ID, math.Inf(1), gone, d.subs)
	h.Customer, h.Plan, h.Product, h.ArrivedMillis = a.Customer, a.Plan, a.Product, now
	d.meter.Asked(a.Plan, a.Product, a.Units)
	d.requests[a.ID] = h
	return h
}

// expiry is when a txn that has come is to have its final answer.
func expiryMillis(t *transport.Txn, now float64) float64 {
	if t.Streams {
		return math.Inf(1)
	}
	return now + t.Left
}

// clear asks the module whether a txn may come within so many ms, and tells whether it may.
func (d *Dispatcher) reserve(t *transport.Txn, life float64) (*inflight.Request, bool) {
	a := t.Arrival
	a.Clears = life
	now := d.lockPolicy()
	h := d.track(&a, t.Gone, now)
	d.policy.Take(a)
	d.flushAndUnlock()
	return h, h.Reserved
}

// cleared takes a clearance over that another process has given, for so many ms more.
func (d *Dispatcher) adoptReservation(a policy.Arrival, life float64) *inflight.Request {
	a.Clears = life
	now := d.lockPolicy()
	h := d.track(&a, func() bool { return false }, now)
	h.Reserved = true
	d.policy.Cleared(a)
	d.flushAndUnlock()
	return h
}

// claim tells the module that a cleared txn has come. It is false where its clearance is no more.
func (d *Dispatcher) redeem(h *inflight.Request, t *transport.Txn) bool {
	now := d.lockPolicy()
	known := !h.Answered && d.policy.Claim(h.ID, t.Left, t.Streams)
	if known {
		t.ID, h.ExpiryMillis, h.ClientGone, h.ArrivedMillis = h.ID, expiryMillis(t, now), t.Gone, now
	}
	d.flushAndUnlock()
	return known
}

// release tells the module that a cleared txn will not come.
func (d *Dispatcher) release(h *inflight.Request) {
	d.lockPolicy()
	if !h.Answered {
		d.policy.Release(h.ID)
		h.Answered = true
		d.meter.Ended(h.Plan, h.Product, forecast.Other, 0)
		d.forgetIfDone(h)
	}
	d.flushAndUnlock()
}

// poured tells the module that a body that is not kept has begun to go out or, where left is given, has gone
// out whole: its client waits so many ms from now on. It gives that moment.
func (d *Dispatcher) bodySent(h *inflight.Request, n int, left float64) time.Time {
	now := d.lockPolicy()
	d.policy.Poured(h.ID, n, left)
	if left > 0 {
		h.ExpiryMillis, h.BodySentMillis = now+left, now
	}
	d.flushAndUnlock()
	return d.clock.time(now + left)
}

// whole gives the time at which a txn's body had gone out.
func (d *Dispatcher) bodySentMillis(h *inflight.Request) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return h.BodySentMillis
}

// begun gives a txn the answer that begins to be passed on, unless it has its final one.
func (d *Dispatcher) answerStarted(h *inflight.Request, n int, a *transport.Answer) bool {
	now := d.lockPolicy()
	begins := !h.Answered && a.Outcome == policy.Settled
	if begins {
		d.finalize(h, inflight.Command{Answer: a}, now)
		d.policy.Begun(h.ID, n)
	}
	d.flushAndUnlock()
	return begins
}

// stirs tells the module that a worker has begun to answer.
func (d *Dispatcher) workerResponded(worker int) {
	d.lockPolicy()
	d.policy.Stirs(worker)
	d.flushAndUnlock()
}

// ended tells the module how a submission ended. The first answer of a worker settles the txn.
func (d *Dispatcher) attemptEnded(h *inflight.Request, n, worker int, a *transport.Answer, took float64) {
	now := d.lockPolicy()
	d.meter.Answered(d.workers.Zone(worker), h.Product, a.Outcome, took, h.Answered)
	if a.Heard {
		d.policy.Burden(worker, a.Load)
		d.meter.Said(d.workers.Zone(worker), a.Load)
	}
	if a.Outcome == policy.Settled && !h.Answered {
		d.finalize(h, inflight.Command{Answer: a}, now)
	}
	d.policy.Ended(h.ID, n, a.Outcome, took, h.Answered)
	h.Outstanding--
	d.forgetIfDone(h)
	d.flushAndUnlock()
}

// recall tells the module that a submission was never sent, as what it was decided by had run out.
func (d *Dispatcher) attemptRevoked(h *inflight.Request, n int) {
	d.lockPolicy()
	if d.policy.Recall(h.ID, n) {
		h.Attempts = h.Attempts[:n]
	} else {
		d.policy.Ended(h.ID, n, policy.NotSent, 0, h.Answered)
	}
	h.Outstanding--
	d.recalled.Add(1)
	d.forgetIfDone(h)
	d.flushAndUnlock()
}

// Recalled tells how many submissions were not sent as what they were decided by had run out.
func (d *Dispatcher) RevokedAttempts() int64 { return d.recalled.Load() }

// finish gives a txn its final answer. Guards against a submission whose connection is still coming up:
// nothing is sent for a txn after that, also where submissions may not be withdrawn.
func (d *Dispatcher) finalize(h *inflight.Request, w inflight.Command, now float64) {
	inflight.Check(!h.Answered, inflight.SingleFinalAnswer)
	inflight.Check(now <= h.ExpiryMillis+d.late, inflight.FinalAnswerInTime)
	h.Answered = true
	d.meter.Ended(h.Plan, h.Product, finalKind(w), now-h.ArrivedMillis)
	for _, s := range h.Attempts {
		s.CancelUnsent()
	}
	h.Commands <- w
}

// endOf tells a final answer's kind for the meter.
func finalKind(w inflight.Command) forecast.Final {
	switch {
	case w.Answer != nil:
		return forecast.Settled
	case w.Decision.Kind == policy.Decline:
		return forecast.Declined
	}
	return forecast.Voided
}

// Measure has a meter count from here on what a word of this gatekeeper tells. It is to come before any txn.
func (d *Dispatcher) SetMeter(m *forecast.Meter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meter = m
}

// Speak fills in a word what the meter and the module have seen. Its caller is alone in that; txns come in
// between.
func (d *Dispatcher) FillReport(w *forecast.Word) {
	for at := d.samplePolicy(0); at > 0; {
		at = d.samplePolicy(at)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, t := d.clock.now(), d.policy.Tally()
	d.meter.Mark(now, &t)
	d.meter.Tell(w, now, &t, &d.sight, d.workers.ZoneName)
	if d.lending != nil {
		d.lending.book.Plans(w.Lent)
	}
}

func (d *Dispatcher) samplePolicy(from int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.Look(&d.sight, from)
}

// forget drops a txn of which nothing more can come.
func (d *Dispatcher) forgetIfDone(h *inflight.Request) {
	if h.Answered && h.Outstanding == 0 {
		delete(d.requests, h.ID)
	}
}

// enter takes the lock and brings the module's clock up to now.
func (d *Dispatcher) lockPolicy() float64 {
	d.mu.Lock()
	now := d.clock.now()
	d.policy.Clock(now)
	if d.terms != nil {
		d.expireRuleset()
	}
	return now
}

// leave pulls the module's decisions one by one until there is none, gives up the lock, and sends what peers
// are told.
func (d *Dispatcher) flushAndUnlock() {
	for {
		v, ok := d.policy.Next()
		if !ok {
			break
		}
		if d.lending != nil { // what was drawn for it is kept before it is carried out
			d.flushLending()
		}
		d.execute(v)
	}
	if d.lending != nil {
		d.flushLending()
	}
	speech := d.speech
	d.speech = nil
	d.mu.Unlock()
	for _, s := range speech {
		d.send(s.peer, s.b)
	}
}

func (d *Dispatcher) execute(v policy.Decision) {
	switch v.Kind {
	case policy.Wake:
		d.timer.Reset(time.Until(d.clock.time(v.At)))
		return
	case policy.Tell:
		b := gossip.Append(nil, v.Reports)
		inflight.Check(len(b) <= gossip.Limit, inflight.DatagramFits)
		d.speech = append(d.speech, speech{v.Peer, b})
		return
	}
	h := d.requests[v.Txn]
	inflight.Check(h != nil, inflight.KnownRequest)
	if h == nil {
		return
	}
	switch v.Kind {
	case policy.Grant:
		h.Reserved = true
	case policy.Withdraw:
		h.Attempts[v.N].Cancel()
	case policy.Submit:
		inflight.Check(!h.Answered && len(h.Attempts) == v.N, inflight.NoAttemptAfterFinalAnswer)
		// Guards against a connection that comes up when the window that a copy has begun is over.
		if d.charter.Products[h.Product].Repeat == policy.Referenced {
			for _, before := range h.Attempts {
				before.CancelUnsent()
			}
		}
		s := &inflight.Attempt{}
		h.Attempts = append(h.Attempts, s)
		h.Outstanding++
		if d.residue != nil && v.Full > 0 { // before it can go out
			d.residue.Spend(h.Customer, h.Plan, v.Full, d.clock.now())
		}
		h.Commands <- inflight.Command{Decision: v,
			Upstream: d.workers.Upstream(v.Worker), Attempt: s, Lease: d.terms}
	case policy.Decline, policy.Void:
		d.finalize(h, inflight.Command{Decision: v}, d.clock.now())
		d.forgetIfDone(h)
	}
}
