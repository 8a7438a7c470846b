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
type Desk struct {
	clock clock
	tell  func(peer int, b []byte)
	shed  func(worker int)
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

	holds   Holds
	listing sync.Mutex // who holds it alone changes workers, under the lock too
	mu      sync.Mutex
	gk      *policy.Gatekeeper
	timer   *time.Timer
	last    uint64
	txns    map[uint64]*inflight.Request
	workers workers.Registry
	speech  []speech
	waiting []waiting        // of the wake's goroutine
	residue *crashstate.File // nil where none is kept
	lending *lending         // nil where nothing is lent
	left    bool             // another process goes on
	copies  Copies
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
func NewDesk(c policy.Charter, seed int64, late float64, tell func(int, []byte), shed func(int)) *Desk {
	d := &Desk{clock: newClock(), tell: tell, shed: shed, subs: max(c.MaxSubmissions, 1), late: late,
		gk: policy.New(c, seed), charter: c, charters: 1, txns: map[uint64]*inflight.Request{}}
	d.timer, d.stop = time.NewTimer(time.Hour), make(chan struct{})
	go d.wake()
	return d
}

// Stop ends the wake-ups, and lets the residue go. Nothing is submitted any more.
func (d *Desk) Stop() {
	close(d.stop)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.residue != nil {
		d.residue.Close()
		d.residue = nil
	}
	d.endLending()
}

// Now is the desk's time, Unix ms.
func (d *Desk) Now() float64 { return d.clock.now() }

// Ready tells whether a txn could be served.
func (d *Desk) Ready() bool { return d.ready.Load() }

// Look renews the copy of the module's counts that Seen gives.
func (d *Desk) Look() {
	t := d.Tally()
	d.pool.Store(&t)
}

// Seen gives the module's counts as they were at the last Look, and never waits.
func (d *Desk) Seen() policy.Tally {
	if t := d.pool.Load(); t != nil {
		return *t
	}
	return policy.Tally{}
}

// Tally gives the module's counts.
func (d *Desk) Tally() policy.Tally {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gk.Tally()
}

// Roster takes discovery's news. Guards against lists that hold all txns up: what a whole list does not
// change is left out before the lock is taken, and a long one is taken in pieces. Until the last of them the
// desk is as ready as before.
func (d *Desk) Roster(l endpoints.List) {
	d.listing.Lock()
	defer d.listing.Unlock()
	pieces := d.workers.Split(d.workers.Diff(l), policy.ListPiece)
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(transport.Millis(policy.PieceApart))
		}
		from := d.enter()
		if len(pieces) == 1 {
			d.record.roster(l)
		} else {
			d.record.roster(piece)
		}
		list, ended := d.workers.Apply(piece, d.gk.Vacant)
		if i == len(pieces)-1 {
			d.ready.Store(d.workers.AnyActive())
		}
		d.gk.Roster(list, !piece.Whole)
		d.leave()
		if l.Whole {
			d.heldFor(from, &d.holds.List)
		} else {
			d.heldFor(from, &d.holds.Change)
		}
		for _, w := range ended {
			d.shed(w)
		}
	}
}

// Holds are the longest times for which what is no txn's held the lock, and all txns up, us.
type Holds struct {
	List   atomic.Int64 // a piece of a whole list
	Change atomic.Int64 // changes of the list
	Rules  atomic.Int64
}

// Holds gives the longest times.
func (d *Desk) Holds() *Holds { return &d.holds }

// heldFor notes for how long the lock was held that was taken at a time.
func (d *Desk) heldFor(from float64, longest *atomic.Int64) {
	took := int64((d.clock.now() - from) * 1000)
	for most := longest.Load(); took > most; most = longest.Load() {
		if longest.CompareAndSwap(most, took) {
			return
		}
	}
}

// Retire gives what the module knows, and lets it end the txns in hand alone from then on.
func (d *Desk) Retire() (e policy.Estate, workers, kinds map[int]string) {
	d.enter()
	d.void()
	d.left = true
	e = d.gk.Retire()
	d.endLending()
	workers, kinds = d.workers.Names()
	d.leave()
	return e, workers, kinds
}

// Leave keeps a residue from here on, with what this module knows, and takes what a former life has left;
// nil is nothing.
func (d *Desk) Leave(f *crashstate.File, left *policy.Residue) {
	d.enter()
	if left != nil && (d.under == 0 || d.under == f.Rules()) { // else it is of other ceilings
		d.gk.Remember(*left)
		d.knows = f.Rules()
	}
	if d.under > 0 {
		f.By(d.under)
	}
	base, spent := d.gk.Residue()
	f.Inherit(base, spent, d.clock.now())
	d.residue = f
	d.leave()
}

// void ends the residue, under the lock: another process spends from here on.
func (d *Desk) void() {
	if d.residue != nil {
		d.residue.Void()
		d.residue = nil
	}
}

// Resume takes over what another process's module knew.
func (d *Desk) Resume(e policy.Estate, workers, kinds map[int]string) {
	d.enter()
	d.workers.Remap(&e, workers, kinds)
	d.gk.Resume(e)
	d.leave()
}

// Record has what is acted on and sent written down. To be called before the first txn.
func (d *Desk) Record(r history.Recorder) { d.record = &record{to: r, told: map[string]bool{}} }

// Govern has the module go by a charter for as long as some terms hold, in place of those before, which end.
// Where the time of these runs out and nothing has come in their place, nothing passes under a ceiling. It is
// false, and nothing changes, where the charter differs in what may not change.
func (d *Desk) Govern(t *inflight.Lease, c policy.Charter) bool {
	d.mu.Lock()
	from := d.clock.now()
	d.gk.Clock(from)
	taken := d.govern(t, c)
	d.leave()
	d.heldFor(from, &d.holds.Rules)
	return taken
}

func (d *Desk) govern(t *inflight.Lease, c policy.Charter) bool {
	d.record.acts(t)
	if !d.gk.Recharter(c) {
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
		base, spent := d.gk.Residue()
		d.residue.Inherit(base, spent, d.clock.now())
	}
	return true
}

// Knows gives the version of the rules by which a former life spent what is remembered of it; 0 where nothing
// is, or no rules were agreed on.
func (d *Desk) Knows() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knows
}

// lapse has the module act on nothing whose time has run out. What comes in its place is told soon.
func (d *Desk) lapse() {
	if d.terms.Valid() {
		return
	}
	c := d.charter
	c.Narrow, c.Plans = true, slices.Clone(c.Plans)
	for i := range c.Plans {
		c.Plans[i].Withheld = 1
	}
	d.govern(inflight.NewLease(0, history.Bare, math.MaxInt64), c)
}

// Resize tells the module how many gatekeepers there are from now on.
func (d *Desk) Resize(n int) {
	d.enter()
	d.gk.Resize(n)
	d.charter.Gatekeepers = n
	d.charters++
	if d.lending != nil {
		d.lending.book.Resize(n)
	}
	d.leave()
}

// Alone tells the module that the process before this one has ended.
func (d *Desk) Alone() {
	d.enter()
	d.gk.Alone()
	d.leave()
}

// Another tells the module that a peer is another now, which knows nothing.
func (d *Desk) Another(peer int) {
	d.enter()
	d.gk.Returned(peer)
	d.leave()
}

// Hear takes a peer's reports, the first of a new life if it has returned.
func (d *Desk) Hear(from int, reports []policy.Report, returned bool) {
	d.enter()
	if returned {
		d.gk.Returned(from)
	}
	if d.charter.Narrow { // it is there, and what it says is not gone by
		reports = nil
	}
	d.gk.Hear(from, reports)
	d.leave()
}

// Turn gives the module a turn now, before the time that it asked for.
func (d *Desk) Turn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer.Reset(0)
}

// wake gives the module its turn at the time that it asked for, until Stop.
func (d *Desk) wake() {
	for {
		select {
		case <-d.timer.C:
			d.dismiss()
		case <-d.stop:
			return
		}
	}
}

// dismiss gives the module its turn, and tells it of the txns whose clients no longer wait. The clients are
// looked at between two holds of the lock.
func (d *Desk) dismiss() {
	now := d.enter()
	if d.residue != nil {
		window, press, pace := d.gk.Pressure()
		d.residue.Pressed(window, press, pace, now)
	}
	d.waiting = d.waiting[:0]
	for _, h := range d.txns {
		if !h.Answered {
			d.waiting = append(d.waiting, waiting{h, h.ClientGone})
		}
	}
	d.leave()
	left := d.waiting[:0]
	for _, w := range d.waiting {
		if w.gone() {
			left = append(left, w)
		}
	}
	if len(left) == 0 {
		return
	}
	now = d.enter()
	for _, w := range left {
		d.part(w.txn, now)
	}
	d.leave()
}

// quit tells the module that a txn's client no longer waits.
func (d *Desk) quit(h *inflight.Request) {
	d.part(h, d.enter())
	d.leave()
}

// part is quit, under the lock.
func (d *Desk) part(h *inflight.Request, now float64) {
	if !h.Answered {
		d.gk.Left(h.ID)
		d.finish(h, inflight.Command{Decision: policy.Decision{Kind: policy.Void}}, now)
		d.forget(h)
	}
}

// take gives a txn to the module. What is decided on it comes to its box.
func (d *Desk) take(t *transport.Txn) *inflight.Request {
	now := d.enter()
	h := d.hold(&t.Arrival, t.Gone, now)
	h.ExpiryMillis = expiry(t, now)
	d.gk.Take(t.Arrival)
	d.leave()
	return h
}

// hold makes a txn, under the lock. Until it has come it has no expiry.
func (d *Desk) hold(a *policy.Arrival, gone func() bool, now float64) *inflight.Request {
	d.last++
	a.ID = d.last
	h := inflight.NewRequest(a.ID, math.Inf(1), gone, d.subs)
	h.Customer, h.Plan, h.Product, h.ArrivedMillis = a.Customer, a.Plan, a.Product, now
	d.meter.Asked(a.Plan, a.Product, a.Units)
	d.txns[a.ID] = h
	return h
}

// expiry is when a txn that has come is to have its final answer.
func expiry(t *transport.Txn, now float64) float64 {
	if t.Streams {
		return math.Inf(1)
	}
	return now + t.Left
}

// clear asks the module whether a txn may come within so many ms, and tells whether it may.
func (d *Desk) clear(t *transport.Txn, life float64) (*inflight.Request, bool) {
	a := t.Arrival
	a.Clears = life
	now := d.enter()
	h := d.hold(&a, t.Gone, now)
	d.gk.Take(a)
	d.leave()
	return h, h.Reserved
}

// cleared takes a clearance over that another process has given, for so many ms more.
func (d *Desk) cleared(a policy.Arrival, life float64) *inflight.Request {
	a.Clears = life
	now := d.enter()
	h := d.hold(&a, func() bool { return false }, now)
	h.Reserved = true
	d.gk.Cleared(a)
	d.leave()
	return h
}

// claim tells the module that a cleared txn has come. It is false where its clearance is no more.
func (d *Desk) claim(h *inflight.Request, t *transport.Txn) bool {
	now := d.enter()
	known := !h.Answered && d.gk.Claim(h.ID, t.Left, t.Streams)
	if known {
		t.ID, h.ExpiryMillis, h.ClientGone, h.ArrivedMillis = h.ID, expiry(t, now), t.Gone, now
	}
	d.leave()
	return known
}

// release tells the module that a cleared txn will not come.
func (d *Desk) release(h *inflight.Request) {
	d.enter()
	if !h.Answered {
		d.gk.Release(h.ID)
		h.Answered = true
		d.meter.Ended(h.Plan, h.Product, forecast.Other, 0)
		d.forget(h)
	}
	d.leave()
}

// poured tells the module that a body that is not kept has begun to go out or, where left is given, has gone
// out whole: its client waits so many ms from now on. It gives that moment.
func (d *Desk) poured(h *inflight.Request, n int, left float64) time.Time {
	now := d.enter()
	d.gk.Poured(h.ID, n, left)
	if left > 0 {
		h.ExpiryMillis, h.BodySentMillis = now+left, now
	}
	d.leave()
	return d.clock.time(now + left)
}

// whole gives the time at which a txn's body had gone out.
func (d *Desk) whole(h *inflight.Request) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return h.BodySentMillis
}

// begun gives a txn the answer that begins to be passed on, unless it has its final one.
func (d *Desk) begun(h *inflight.Request, n int, a *transport.Answer) bool {
	now := d.enter()
	begins := !h.Answered && a.Outcome == policy.Settled
	if begins {
		d.finish(h, inflight.Command{Answer: a}, now)
		d.gk.Begun(h.ID, n)
	}
	d.leave()
	return begins
}

// stirs tells the module that a worker has begun to answer.
func (d *Desk) stirs(worker int) {
	d.enter()
	d.gk.Stirs(worker)
	d.leave()
}

// ended tells the module how a submission ended. The first answer of a worker settles the txn.
func (d *Desk) ended(h *inflight.Request, n, worker int, a *transport.Answer, took float64) {
	now := d.enter()
	d.meter.Answered(d.workers.Zone(worker), h.Product, a.Outcome, took, h.Answered)
	if a.Heard {
		d.gk.Burden(worker, a.Load)
		d.meter.Said(d.workers.Zone(worker), a.Load)
	}
	if a.Outcome == policy.Settled && !h.Answered {
		d.finish(h, inflight.Command{Answer: a}, now)
	}
	d.gk.Ended(h.ID, n, a.Outcome, took, h.Answered)
	h.Outstanding--
	d.forget(h)
	d.leave()
}

// recall tells the module that a submission was never sent, as what it was decided by had run out.
func (d *Desk) recall(h *inflight.Request, n int) {
	d.enter()
	if d.gk.Recall(h.ID, n) {
		h.Attempts = h.Attempts[:n]
	} else {
		d.gk.Ended(h.ID, n, policy.NotSent, 0, h.Answered)
	}
	h.Outstanding--
	d.recalled.Add(1)
	d.forget(h)
	d.leave()
}

// Recalled tells how many submissions were not sent as what they were decided by had run out.
func (d *Desk) Recalled() int64 { return d.recalled.Load() }

// finish gives a txn its final answer. Guards against a submission whose connection is still coming up:
// nothing is sent for a txn after that, also where submissions may not be withdrawn.
func (d *Desk) finish(h *inflight.Request, w inflight.Command, now float64) {
	inflight.Check(!h.Answered, inflight.SingleFinalAnswer)
	inflight.Check(now <= h.ExpiryMillis+d.late, inflight.FinalAnswerInTime)
	h.Answered = true
	d.meter.Ended(h.Plan, h.Product, endOf(w), now-h.ArrivedMillis)
	for _, s := range h.Attempts {
		s.CancelUnsent()
	}
	h.Commands <- w
}

// endOf tells a final answer's kind for the meter.
func endOf(w inflight.Command) forecast.Final {
	switch {
	case w.Answer != nil:
		return forecast.Settled
	case w.Decision.Kind == policy.Decline:
		return forecast.Declined
	}
	return forecast.Voided
}

// Measure has a meter count from here on what a word of this gatekeeper tells. It is to come before any txn.
func (d *Desk) Measure(m *forecast.Meter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meter = m
}

// Speak fills in a word what the meter and the module have seen. Its caller is alone in that; txns come in
// between.
func (d *Desk) Speak(w *forecast.Word) {
	for at := d.look(0); at > 0; {
		at = d.look(at)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, t := d.clock.now(), d.gk.Tally()
	d.meter.Mark(now, &t)
	d.meter.Tell(w, now, &t, &d.sight, d.workers.ZoneName)
	if d.lending != nil {
		d.lending.book.Plans(w.Lent)
	}
}

func (d *Desk) look(from int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gk.Look(&d.sight, from)
}

// forget drops a txn of which nothing more can come.
func (d *Desk) forget(h *inflight.Request) {
	if h.Answered && h.Outstanding == 0 {
		delete(d.txns, h.ID)
	}
}

// enter takes the lock and brings the module's clock up to now.
func (d *Desk) enter() float64 {
	d.mu.Lock()
	now := d.clock.now()
	d.gk.Clock(now)
	if d.terms != nil {
		d.lapse()
	}
	return now
}

// leave pulls the module's decisions one by one until there is none, gives up the lock, and sends what peers
// are told.
func (d *Desk) leave() {
	for {
		v, ok := d.gk.Next()
		if !ok {
			break
		}
		if d.lending != nil { // what was drawn for it is kept before it is carried out
			d.settle()
		}
		d.carry(v)
	}
	if d.lending != nil {
		d.settle()
	}
	speech := d.speech
	d.speech = nil
	d.mu.Unlock()
	for _, s := range speech {
		d.tell(s.peer, s.b)
	}
}

func (d *Desk) carry(v policy.Decision) {
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
	h := d.txns[v.Txn]
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
		d.finish(h, inflight.Command{Decision: v}, d.clock.now())
		d.forget(h)
	}
}
