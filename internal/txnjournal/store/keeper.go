package store

import (
	"math"
	"math/rand"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/circuitbreaker"
	"willowdeck/internal/txnjournal"
)

const (
	mostWaiting = 1 << 20                // bytes of records, about, that wait; ends are dropped beyond
	aRecord     = 160                    // bytes of one, about, without its answer
	leaving     = 500 * time.Millisecond // that a hand-over or a stop waits for the disk
	stepBy      = 1000.0                 // ms by which the system's clock leaves the machine's own if it was set
)

// Keeper keeps a journal while a gatekeeper runs: txns wait in Meant for their group, and for nothing else.
// Its methods may be called from any goroutine.
type Keeper struct {
	terms txnjournal.Terms
	log   zerolog.Logger
	epoch time.Time
	kick  chan struct{}
	stop  chan struct{}
	over  chan struct{} // closed once the writer has ended
	once  sync.Once
	ready chan struct{} // closed once the journal was read, or could not be

	mu       sync.Mutex
	j        *Log // nil until it is open
	breaker  *circuitbreaker.Breaker
	waiting  []queued
	bytes    int
	since    time.Time // when the commit under way began; zero without one
	cover    float64   // ms after epoch up to which it may have been promised to send nothing unwritten
	retired  bool
	promised bool // under Serve: the journal knows of this life, and up to when it has everything
	settled  bool // the process before has ended
	set      float64
	seen     counts
}

// queued is a record that waits for the disk, and who waits for it.
type queued struct {
	txnjournal.Record
	durable chan bool // takes one word; nil where nobody waits
	size    int
}

// counts are what operators see.
type counts struct {
	commits, records, failures int64
	refused                    int64 // submissions that were not sent, as they could not be written down
	late                       int64 // of these, those whose group came too late
	doubtful                   int64 // submissions that were sent unwritten
	lost                       int64 // ends that were not written down
}

// Keep begins to keep a journal: it is read beside the caller. Same as Open, beside tells of a process that
// goes on telling ends until Settle.
func Keep(d Disk, t txnjournal.Terms, who Who, beside bool, seed int64, log zerolog.Logger) *Keeper {
	k := &Keeper{terms: t, log: log, epoch: time.Now(), kick: make(chan struct{}, 1), stop: make(chan struct{}),
		over: make(chan struct{}), ready: make(chan struct{}), settled: !beside,
		breaker: circuitbreaker.New(t.After, t.Pause, t.MostPause, rand.New(rand.NewSource(seed)))}
	go k.run(d, who, beside)
	return k
}

// wall is the time by the system's clock, Unix ms.
func wall() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// age is ms since the epoch, however the system's clock is set.
func (k *Keeper) age() float64 { return float64(time.Since(k.epoch)) / float64(time.Millisecond) }

// Known gives what is known of a customer's txn, once the journal has been read. It is false where that takes
// longer than so long, or the journal can't be had: nothing is known then, and Meant lets nothing out.
func (k *Keeper) Known(customer uint64, mark string, within time.Duration) (e txnjournal.Entry,
	v txnjournal.Verdict, ok bool) {
	if !k.await(within) {
		return e, v, false
	}
	k.mu.Lock()
	j := k.j
	k.mu.Unlock()
	if j == nil {
		return e, v, false
	}
	j.Ask(func(b *txnjournal.Book) { e, v = b.Known(customer, mark) })
	return e, v, true
}

// await waits until the journal has been read.
func (k *Keeper) await(within time.Duration) bool {
	select {
	case <-k.ready:
		return true
	default:
	}
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-k.ready:
		return true
	case <-t.C:
		return false
	}
}

// Meant writes down that a submission is about to be sent, and tells whether it may be. It returns once that
// is durable, or at the latest at until or when the terms' wait has passed. However it goes, Ended is to be
// told.
func (k *Keeper) Meant(
	t txnjournal.Txn,
	s txnjournal.Sub,
	worker string,
	expiry float64,
	until time.Time,
) bool {
	wait := min(time.Duration(k.terms.Wait*float64(time.Millisecond)), time.Until(until))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if !k.await(wait) {
		return k.refuse()
	}
	if math.IsInf(expiry, 0) {
		expiry = 0
	}
	r := txnjournal.Record{Kind: txnjournal.Meant, At: wall(), Txn: t, Sub: s, Worker: worker, Expiry: expiry}
	k.mu.Lock()
	if k.j != nil && k.went(t) {
		k.mu.Unlock()
		return k.refuse()
	}
	if !k.well() {
		serves := k.unwritten()
		if serves {
			k.seen.doubtful++
			r.Life = k.j.Life()
			k.j.Take(r)
		}
		k.mu.Unlock()
		return serves || k.refuse()
	}
	durable := make(chan bool, 1)
	k.push(r, durable)
	k.mu.Unlock()
	select {
	case ok := <-durable:
		return ok || k.refuse()
	case <-timer.C:
		k.mu.Lock()
		k.seen.late++
		k.mu.Unlock()
		return k.refuse()
	}
}

// went tells, under the lock, whether a txn may have gone out before.
func (k *Keeper) went(t txnjournal.Txn) (went bool) {
	k.j.Ask(func(b *txnjournal.Book) {
		_, v := b.Known(t.Customer, t.Mark)
		went = v != txnjournal.NotSent
	})
	return went
}

func (k *Keeper) refuse() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seen.refused++
	return false
}

// well tells, under the lock, whether the disk may be waited for.
func (k *Keeper) well() bool {
	stuck := !k.since.IsZero() && float64(time.Since(k.since)) > k.terms.Slow*float64(time.Millisecond)
	return k.j != nil && !k.retired && !k.breaker.Tripped() && !stuck
}

// unwritten tells, under the lock, whether a txn may be sent that can't be written down: only by the policy,
// by the one process whose journal it is, and not before the last promise to the contrary has run out. Nor
// before the first: a life of which the journal knows nothing sends nothing that it does not know.
func (k *Keeper) unwritten() bool {
	return k.terms.Policy == txnjournal.Serve && k.promised && !k.retired && k.age() > k.cover
}

// Ended writes down how a submission ended. It never waits.
func (k *Keeper) Ended(
	t txnjournal.Txn,
	s txnjournal.Sub,
	worker string,
	end txnjournal.End,
	a txnjournal.Answer,
) {
	if len(a.Body) > k.terms.Answer {
		a = txnjournal.Answer{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.j == nil {
		return
	}
	written := false
	k.j.Ask(func(b *txnjournal.Book) { written = b.Open(t, k.j.Life(), s) })
	if !written && end == txnjournal.Never {
		return // it was refused
	}
	k.push(
		txnjournal.Record{Kind: txnjournal.Ended, At: wall(), Txn: t, Sub: s, Worker: worker, End: end, Answer: a},
		nil,
	)
}

// push queues a record, under the lock. What waits stays bounded: an end that is not written down leaves its
// txn unknown.
func (k *Keeper) push(r txnjournal.Record, durable chan bool) {
	r.Life = k.j.Life()
	k.j.Take(r)
	q := queued{r, durable, aRecord + len(r.Answer.Body)}
	if k.bytes+q.size > k.most() && durable == nil {
		k.seen.lost++
		return
	}
	k.bytes += q.size
	k.waiting = append(k.waiting, q)
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// most is how many bytes may wait: they have to fit a segment together with what a checkpoint takes.
func (k *Keeper) most() int { return min(mostWaiting, k.terms.Segment/4) }

// run opens the journal and writes what comes, until Close.
func (k *Keeper) run(d Disk, who Who, beside bool) {
	defer close(k.over)
	k.open(d, who, beside)
	close(k.ready)
	for wait := k.terms.Pause; k.j == nil; wait = math.Min(2*wait, k.terms.MostPause) {
		if !k.pause(wait) { // one that drains may have it still
			return
		}
		k.open(d, who, beside)
	}
	if k.terms.Policy == txnjournal.Serve {
		k.commit()
	}
	for k.rest() {
		k.commit()
	}
	k.commit()
	k.j.Close()
}

func (k *Keeper) pause(ms float64) bool {
	t := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-k.stop:
		return false
	}
}

func (k *Keeper) open(d Disk, who Who, beside bool) {
	from := time.Now()
	j, err := Open(d, k.terms, who, wall(), beside)
	if err != nil {
		k.log.Error().Err(err).Msg("no journal: no once-only txn goes out")
		return
	}
	k.mu.Lock()
	k.j = j
	k.set = wall() - k.age()
	settled := k.settled
	k.mu.Unlock()
	if settled {
		j.Settle()
	}
	f := j.Found
	k.log.Info().Uint32("life", j.Life()).Int("segments", f.Segments).Int("records", f.Records).
		Int64("cut_bytes", f.Cut).Int("torn", f.Torn).Int("damaged", f.Damaged).Int("unreadable", f.Unreadable).
		Dur("took", time.Since(from)).Msg("journal read")
}

// rest waits until there is something to commit, and tells whether to go on. While the disk is left alone it
// waits for the end of that.
func (k *Keeper) rest() bool {
	for {
		k.mu.Lock()
		down, admits, left := k.breaker.Tripped(), true, 0.0
		if down {
			admits, left = k.breaker.Admits(k.age())
		}
		some := len(k.waiting) > 0
		k.mu.Unlock()
		switch {
		case !admits:
			if !k.pause(math.Max(left, 1)) {
				return false
			}
			continue
		case down || some:
			return true
		}
		idle := time.Hour
		if k.terms.Policy == txnjournal.Serve {
			idle = time.Duration(k.terms.Lease / 3 * float64(time.Millisecond))
		}
		t := time.NewTimer(idle)
		select {
		case <-k.stop:
			t.Stop()
			return false
		case <-t.C:
			return true
		case <-k.kick:
			t.Stop()
		}
	}
}

// commit writes what waits, as one group: what is there and what comes within the window at once, so that it
// outlives the process, and then all of it for good.
func (k *Keeper) commit() {
	k.mu.Lock()
	now := wall()
	group, all := k.gather(k.marks(now))
	if len(all) == 0 && k.breaker.Tripped() {
		all = append(
			all,
			txnjournal.Record{Kind: txnjournal.Covers, At: now, To: now},
		) // to see whether it goes again
	}
	gathers := !k.breaker.Tripped()
	j := k.j
	k.mu.Unlock()
	if len(all) == 0 {
		return
	}
	n := len(all)
	var spent time.Duration
	write := func(f func() error) error {
		from := time.Now()
		err := k.timed(f)
		spent += time.Since(from)
		return err
	}
	err := write(func() error { return j.Stage(all, now) })
	for end := time.Now().Add(k.window()); err == nil && gathers && k.comes(time.Until(end)); {
		var more []queued
		k.mu.Lock()
		more, all = k.gather(all[:0])
		k.mu.Unlock()
		group, n = append(group, more...), n+len(all)
		err = write(func() error { return j.Stage(all, now) })
	}
	if err == nil {
		err = write(func() error { return j.Commit(nil, now) })
	}

	k.mu.Lock()
	defer k.mu.Unlock()
	took := float64(spent) / float64(time.Millisecond)
	was := k.breaker.Tripped()
	k.breaker.Ended(err == nil && took <= k.terms.Slow, k.age())
	if is := k.breaker.Tripped(); is != was {
		k.log.Warn().Err(err).Float64("took_ms", took).Bool("down", is).Msg("journal")
	}
	k.seen.commits++
	if err == nil {
		k.seen.records += int64(n)
		k.promised = true
	} else {
		k.seen.failures++
	}
	var again []queued
	for _, q := range group {
		switch {
		case q.durable != nil:
			q.durable <- err == nil
		case err != nil:
			again = append(again, q)
		}
	}
	if err != nil {
		k.again(again)
	}
	j.Ask(func(b *txnjournal.Book) { b.Trim(now) })
}

func (k *Keeper) window() time.Duration {
	return time.Duration(k.terms.Window * float64(time.Millisecond))
}

// comes waits for more of a group, and tells whether it has come; not longer than so long, nor once it ends.
func (k *Keeper) comes(within time.Duration) bool {
	if within <= 0 {
		return false
	}
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-k.kick:
		return true
	case <-t.C:
	case <-k.stop:
	}
	return false
}

// gather takes what waits, under the lock, and gives its records behind others.
func (k *Keeper) gather(all []txnjournal.Record) ([]queued, []txnjournal.Record) {
	group := k.waiting
	k.waiting, k.bytes = nil, 0
	for _, q := range group {
		all = append(all, q.Record)
	}
	return group, all
}

// timed calls the disk, and has it seen for how long it takes.
func (k *Keeper) timed(f func() error) error {
	k.mu.Lock()
	k.since = time.Now()
	k.mu.Unlock()
	err := f()
	k.mu.Lock()
	k.since = time.Time{}
	k.mu.Unlock()
	return err
}

// again puts the ends of a group that failed before what came meanwhile: they are still to be written down.
func (k *Keeper) again(ends []queued) {
	since := k.waiting
	k.waiting, k.bytes = nil, 0
	for _, q := range append(ends, since...) {
		if k.bytes+q.size > k.most() && q.durable == nil {
			k.seen.lost++
			continue
		}
		k.bytes += q.size
		k.waiting = append(k.waiting, q)
	}
}

// marks gives what a group has to say besides its txns: that the clock was set, and under Serve how long
// nothing is sent unwritten.
func (k *Keeper) marks(now float64) (all []txnjournal.Record) {
	if set := now - k.age(); math.Abs(set-k.set) > stepBy {
		k.set = set
		all = append(all, txnjournal.Record{Kind: txnjournal.Stepped, At: now, To: now})
	}
	if age := k.age(); k.terms.Policy == txnjournal.Serve && !k.retired && !k.breaker.Tripped() &&
		k.cover < age+k.terms.Lease/2 { // a disk that is left alone is promised nothing
		k.cover = age + k.terms.Lease
		all = append(all, txnjournal.Record{Kind: txnjournal.Covers, At: now, To: now + k.terms.Lease})
	}
	return all
}

// Settle tells that the process before this one has ended.
func (k *Keeper) Settle() {
	k.mu.Lock()
	k.settled = true
	j := k.j
	k.mu.Unlock()
	if j != nil {
		j.Settle()
	}
}

// Retire lets another process take over: from here on nothing is meant, and the lock is free once it returns.
func (k *Keeper) Retire() { k.leave(true) }

// Close ends the keeping, and waits a little for what is to be written.
func (k *Keeper) Close() {
	k.leave(false)
	k.once.Do(func() { close(k.stop) })
	select {
	case <-k.over:
	case <-time.After(leaving):
	}
}

// leave writes that this life means nothing more.
func (k *Keeper) leave(handsOn bool) {
	if !k.await(leaving) {
		return
	}
	k.mu.Lock()
	was, j := k.retired, k.j
	if k.retired = true; was || j == nil {
		k.mu.Unlock()
		return
	}
	durable := make(chan bool, 1)
	k.push(txnjournal.Record{Kind: txnjournal.Gone, At: wall()}, durable)
	k.mu.Unlock()
	select { // whoever waits now to send something has given up by the end of this
	case <-durable:
	case <-time.After(leaving + time.Duration(k.terms.Wait*float64(time.Millisecond))):
	}
	if handsOn {
		j.Retire()
	}
}

// Figures gives what operators see.
func (k *Keeper) Figures(add func(name string, v int64)) {
	k.mu.Lock()
	c, down, j := k.seen, !k.well(), k.j
	k.mu.Unlock()
	var is int64
	if down {
		is = 1
	}
	add("journal.down", is)
	add("journal.commits", c.commits)
	add("journal.records", c.records)
	add("journal.failures", c.failures)
	add("journal.refused", c.refused)
	add("journal.late", c.late)
	add("journal.doubtful", c.doubtful)
	add("journal.lost", c.lost)
	if j == nil {
		return
	}
	var txns, answers int
	j.Ask(func(b *txnjournal.Book) { txns, answers = b.Len() })
	add("journal.txns", int64(txns))
	add("journal.answer_bytes", int64(answers))
	add("journal.segments", int64(j.Segments()))
}
