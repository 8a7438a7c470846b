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

// shutdownTimeout is how long a handover or a shutdown waits for the disk.
const shutdownTimeout = 500 * time.Millisecond

// Journal is the durable journal of a running gateway. RecordIntent waits for the commit of its batch, and
// for nothing else; one goroutine of its own does all I/O. Its methods may be called from any goroutine.
type Journal struct {
	config    txnjournal.Config
	logger    zerolog.Logger
	started   time.Time // the epoch of ageMillis
	wake      chan struct{}
	stop      chan struct{}
	done      chan struct{} // closed once the writer goroutine has ended
	closeOnce sync.Once
	opened    chan struct{} // closed once the journal was read, or could not be

	mu            sync.Mutex // guards what follows; never held over I/O
	log           *Log       // nil until it is open
	breaker       *circuitbreaker.Breaker
	queue         []queuedRecord
	queuedBytes   int
	commitStarted time.Time // of the I/O under way; zero without one
	// coveredUntilMillis is the age up to which the journal may have promised that nothing is sent unwritten.
	coveredUntilMillis float64
	retired            bool
	// coverageDurable: a commit of this incarnation has succeeded, so under ServeUnwritten the journal says up
	// to when it is complete.
	coverageDurable   bool
	predecessorEnded  bool
	clockOffsetMillis float64 // of the system's clock against ageMillis
	counters          counters
}

// counters are the totals at the operators' port.
type counters struct {
	commits, records, failures int64
	rejected                   int64 // attempts that were not sent, as their intent could not be made durable
	late                       int64 // of these, those whose batch took longer than the commit wait
	uncertain                  int64 // attempts that were sent unwritten
	droppedOutcomes            int64 // outcomes that were not written
}

// Start starts a journal, which is read in the background. overlap says that the predecessor process still
// writes outcomes until PredecessorEnded, as with Open. The caller ends it by Close.
func Start(disk Disk, config txnjournal.Config, writer Writer, overlap bool, seed int64,
	logger zerolog.Logger) *Journal {
	j := &Journal{
		config:           config,
		logger:           logger,
		started:          time.Now(),
		wake:             make(chan struct{}, 1),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		opened:           make(chan struct{}),
		predecessorEnded: !overlap,
		breaker: circuitbreaker.New(config.BreakerThreshold, config.BreakerBackoffMillis,
			config.BreakerMaxBackoffMillis, rand.New(rand.NewSource(seed))),
	}
	go j.run(disk, writer, overlap)
	return j
}

// millis returns a duration of milliseconds.
func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// wallMillis returns the time by the system's clock, in Unix ms.
func wallMillis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// ageMillis returns the monotonic time since Start, in ms, whatever becomes of the system's clock.
func (j *Journal) ageMillis() float64 {
	return float64(time.Since(j.started)) / float64(time.Millisecond)
}

// Lookup returns what is known of a customer's transaction, once the journal has been read. ok is false where
// that takes longer than the timeout, or the journal can't be read; RecordIntent then rejects all attempts.
func (j *Journal) Lookup(customer uint64, requestID string, timeout time.Duration) (entry txnjournal.Entry,
	verdict txnjournal.Verdict, ok bool) {
	if !j.awaitOpen(timeout) {
		return entry, verdict, false
	}
	j.mu.Lock()
	log := j.log
	j.mu.Unlock()
	if log == nil {
		return entry, verdict, false
	}
	log.View(func(index *txnjournal.Index) { entry, verdict = index.Lookup(customer, requestID) })
	return entry, verdict, true
}

// awaitOpen waits until the journal was read, and returns false at the timeout.
func (j *Journal) awaitOpen(timeout time.Duration) bool {
	select {
	case <-j.opened:
		return true
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-j.opened:
		return true
	case <-timer.C:
		return false
	}
}

// RecordIntent records that an attempt is about to be sent, and reports whether it may be. It returns once
// the record is durable, and at the latest at the deadline or after the commit wait. In every case
// RecordOutcome is to be called thereafter. expiryMillis is when the client is to have its response, 0 or
// infinite if not known.
func (j *Journal) RecordIntent(txn txnjournal.Txn, attempt txnjournal.AttemptID, worker string,
	expiryMillis float64, deadline time.Time) bool {
	wait := min(millis(j.config.CommitWaitMillis), time.Until(deadline))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if !j.awaitOpen(wait) {
		return j.reject()
	}
	if math.IsInf(expiryMillis, 0) {
		expiryMillis = 0
	}
	record := txnjournal.Record{
		Kind:         txnjournal.KindIntent,
		TimeMillis:   wallMillis(),
		Txn:          txn,
		Attempt:      attempt,
		Worker:       worker,
		ExpiryMillis: expiryMillis,
	}
	j.mu.Lock()
	if j.log != nil && j.maybeSent(txn) {
		j.mu.Unlock()
		return j.reject()
	}
	if !j.available() {
		sendUnwritten := j.maySendUnwritten()
		if sendUnwritten {
			j.counters.uncertain++
			record.Incarnation = j.log.Incarnation()
			j.log.Apply(record)
		}
		j.mu.Unlock()
		return sendUnwritten || j.reject()
	}
	durable := make(chan bool, 1)
	j.enqueue(record, durable)
	j.mu.Unlock()
	select {
	case ok := <-durable:
		return ok || j.reject()
	case <-timer.C:
		j.mu.Lock()
		j.counters.late++
		j.mu.Unlock()
		return j.reject()
	}
}

// maybeSent reports whether a transaction may have been sent before. Called with the lock held.
func (j *Journal) maybeSent(txn txnjournal.Txn) (sent bool) {
	j.log.View(func(index *txnjournal.Index) {
		_, verdict := index.Lookup(txn.Customer, txn.RequestID)
		sent = verdict != txnjournal.NotSent
	})
	return sent
}

// reject counts a rejected attempt and returns false.
func (j *Journal) reject() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counters.rejected++
	return false
}

// available reports whether the disk may be waited for. Called with the lock held.
func (j *Journal) available() bool {
	stalled := !j.commitStarted.IsZero() &&
		float64(time.Since(j.commitStarted)) > j.config.SlowCommitMillis*float64(time.Millisecond)
	return j.log != nil && !j.retired && !j.breaker.Tripped() && !stalled
}

// maySendUnwritten reports whether a transaction may be sent whose intent can't be written: only under
// ServeUnwritten, by the one process that owns the journal, once the last promise to the contrary has
// expired, and not before the first: an incarnation that the journal does not know of sends nothing
// unwritten. Called with the lock held.
func (j *Journal) maySendUnwritten() bool {
	return j.config.Policy == txnjournal.ServeUnwritten && j.coverageDurable && !j.retired &&
		j.ageMillis() > j.coveredUntilMillis
}

// RecordOutcome records how an attempt ended. It never waits.
func (j *Journal) RecordOutcome(txn txnjournal.Txn, attempt txnjournal.AttemptID, worker string,
	outcome txnjournal.Outcome, response txnjournal.Response) {
	if len(response.Body) > j.config.MaxResponseBytes {
		response = txnjournal.Response{}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.log == nil {
		return
	}
	intended := false
	j.log.View(func(index *txnjournal.Index) {
		intended = index.IsPending(txn, j.log.Incarnation(), attempt)
	})
	if !intended && outcome == txnjournal.OutcomeNotExecuted {
		return // it was rejected
	}
	j.enqueue(txnjournal.Record{Kind: txnjournal.KindOutcome, TimeMillis: wallMillis(), Txn: txn,
		Attempt: attempt, Worker: worker, Outcome: outcome, Response: response}, nil)
}

// PredecessorEnded says that the predecessor process has ended: its last outcomes are read.
func (j *Journal) PredecessorEnded() {
	j.mu.Lock()
	j.predecessorEnded = true
	log := j.log
	j.mu.Unlock()
	if log != nil {
		log.AbsorbPredecessor()
	}
}

// Retire hands the journal over to a successor process: from here on no intent is recorded, and the lock is
// free once it returns.
func (j *Journal) Retire() { j.retire(true) }

// Close ends the journal. It waits for the queue to be written, but not longer than some shutdownTimeout.
func (j *Journal) Close() {
	j.retire(false)
	j.closeOnce.Do(func() { close(j.stop) })
	select {
	case <-j.done:
	case <-time.After(shutdownTimeout):
	}
}

// retire records that this incarnation sends nothing more.
func (j *Journal) retire(release bool) {
	if !j.awaitOpen(shutdownTimeout) {
		return
	}
	j.mu.Lock()
	retired, log := j.retired, j.log
	if j.retired = true; retired || log == nil {
		j.mu.Unlock()
		return
	}
	durable := make(chan bool, 1)
	j.enqueue(txnjournal.Record{Kind: txnjournal.KindRetired, TimeMillis: wallMillis()}, durable)
	j.mu.Unlock()
	select { // by the end of this every RecordIntent under way has returned
	case <-durable:
	case <-time.After(shutdownTimeout + millis(j.config.CommitWaitMillis)):
	}
	if release {
		log.Retire()
	}
}

// Figures calls add with the journal's figures at the operators' port.
func (j *Journal) Figures(add func(name string, v int64)) {
	j.mu.Lock()
	counters, unavailable, log := j.counters, !j.available(), j.log
	j.mu.Unlock()
	var down int64
	if unavailable {
		down = 1
	}
	add("journal.down", down)
	add("journal.commits", counters.commits)
	add("journal.records", counters.records)
	add("journal.failures", counters.failures)
	add("journal.refused", counters.rejected)
	add("journal.late", counters.late)
	add("journal.doubtful", counters.uncertain)
	add("journal.lost", counters.droppedOutcomes)
	if log == nil {
		return
	}
	var txns, responseBytes int
	log.View(func(index *txnjournal.Index) { txns, responseBytes = index.Len() })
	add("journal.txns", int64(txns))
	add("journal.answer_bytes", int64(responseBytes))
	add("journal.segments", int64(log.SegmentCount()))
}
