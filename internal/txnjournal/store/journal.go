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
	maxQueuedBytes      = 1 << 20                // bytes of records, about, that wait; ends are dropped beyond
	recordOverheadBytes = 160                    // bytes of one, about, without its answer
	shutdownTimeout     = 500 * time.Millisecond // that a hand-over or a stop waits for the disk
	clockStepMillis     = 1000.0                 // ms by which the system's clock leaves the machine's own if it was set
)

// Keeper keeps a journal while a gatekeeper runs: txns wait in Meant for their group, and for nothing else.
// Its methods may be called from any goroutine.
type Journal struct {
	config    txnjournal.Config
	logger    zerolog.Logger
	started   time.Time
	wake      chan struct{}
	stop      chan struct{}
	done      chan struct{} // closed once the writer has ended
	closeOnce sync.Once
	opened    chan struct{} // closed once the journal was read, or could not be

	mu                 sync.Mutex
	log                *Log // nil until it is open
	breaker            *circuitbreaker.Breaker
	queue              []queuedRecord
	queuedBytes        int
	commitStarted      time.Time // when the commit under way began; zero without one
	coveredUntilMillis float64   // ms after epoch up to which it may have been promised to send nothing unwritten
	retired            bool
	coverageDurable    bool // under Serve: the journal knows of this life, and up to when it has everything
	predecessorEnded   bool // the process before has ended
	clockOffsetMillis  float64
	counters           counters
}

// queued is a record that waits for the disk, and who waits for it.
type queuedRecord struct {
	txnjournal.Record
	durable chan bool // takes one word; nil where nobody waits
	bytes   int
}

// counts are what operators see.
type counters struct {
	commits, records, failures int64
	rejected                   int64 // submissions that were not sent, as they could not be written down
	late                       int64 // of these, those whose group came too late
	uncertain                  int64 // submissions that were sent unwritten
	droppedOutcomes            int64 // ends that were not written down
}

// Keep begins to keep a journal: it is read beside the caller. Same as Open, beside tells of a process that
// goes on telling ends until Settle.
func Start(
	disk Disk,
	config txnjournal.Config,
	writer Writer,
	overlap bool,
	seed int64,
	logger zerolog.Logger,
) *Journal {
	j := &Journal{
		config:           config,
		logger:           logger,
		started:          time.Now(),
		wake:             make(chan struct{}, 1),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		opened:           make(chan struct{}),
		predecessorEnded: !overlap,
		breaker: circuitbreaker.New(
			config.BreakerThreshold,
			config.BreakerBackoffMillis,
			config.BreakerMaxBackoffMillis,
			rand.New(rand.NewSource(seed)),
		),
	}
	go j.run(disk, writer, overlap)
	return j
}

// wall is the time by the system's clock, Unix ms.
func wallMillis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// age is ms since the epoch, however the system's clock is set.
func (j *Journal) ageMillis() float64 {
	return float64(time.Since(j.started)) / float64(time.Millisecond)
}

// Known gives what is known of a customer's txn, once the journal has been read. It is false where that takes
// longer than so long, or the journal can't be had: nothing is known then, and Meant lets nothing out.
func (j *Journal) Lookup(customer uint64, requestID string, timeout time.Duration) (e txnjournal.Entry,
	v txnjournal.Verdict, ok bool) {
	if !j.awaitOpen(timeout) {
		return e, v, false
	}
	j.mu.Lock()
	log := j.log
	j.mu.Unlock()
	if log == nil {
		return e, v, false
	}
	log.View(func(b *txnjournal.Index) { e, v = b.Lookup(customer, requestID) })
	return e, v, true
}

// await waits until the journal has been read.
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

// Meant writes down that a submission is about to be sent, and tells whether it may be. It returns once that
// is durable, or at the latest at until or when the terms' wait has passed. However it goes, Ended is to be
// told.
func (j *Journal) RecordIntent(
	txn txnjournal.Txn,
	attempt txnjournal.AttemptID,
	worker string,
	expiryMillis float64,
	deadline time.Time,
) bool {
	wait := min(time.Duration(j.config.CommitWaitMillis*float64(time.Millisecond)), time.Until(deadline))
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

// went tells, under the lock, whether a txn may have gone out before.
func (j *Journal) maybeSent(txn txnjournal.Txn) (sent bool) {
	j.log.View(func(b *txnjournal.Index) {
		_, v := b.Lookup(txn.Customer, txn.RequestID)
		sent = v != txnjournal.NotSent
	})
	return sent
}

func (j *Journal) reject() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counters.rejected++
	return false
}

// well tells, under the lock, whether the disk may be waited for.
func (j *Journal) available() bool {
	stalled := !j.commitStarted.IsZero() &&
		float64(time.Since(j.commitStarted)) > j.config.SlowCommitMillis*float64(time.Millisecond)
	return j.log != nil && !j.retired && !j.breaker.Tripped() && !stalled
}

// unwritten tells, under the lock, whether a txn may be sent that can't be written down: only by the policy,
// by the one process whose journal it is, and not before the last promise to the contrary has run out. Nor
// before the first: a life of which the journal knows nothing sends nothing that it does not know.
func (j *Journal) maySendUnwritten() bool {
	return j.config.Policy == txnjournal.ServeUnwritten && j.coverageDurable && !j.retired &&
		j.ageMillis() > j.coveredUntilMillis
}

// Ended writes down how a submission ended. It never waits.
func (j *Journal) RecordOutcome(
	txn txnjournal.Txn,
	attempt txnjournal.AttemptID,
	worker string,
	outcome txnjournal.Outcome,
	response txnjournal.Response,
) {
	if len(response.Body) > j.config.MaxResponseBytes {
		response = txnjournal.Response{}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.log == nil {
		return
	}
	intended := false
	j.log.View(func(b *txnjournal.Index) { intended = b.IsPending(txn, j.log.Incarnation(), attempt) })
	if !intended && outcome == txnjournal.OutcomeNotExecuted {
		return // it was refused
	}
	j.enqueue(
		txnjournal.Record{
			Kind:       txnjournal.KindOutcome,
			TimeMillis: wallMillis(),
			Txn:        txn,
			Attempt:    attempt,
			Worker:     worker,
			Outcome:    outcome,
			Response:   response,
		},
		nil,
	)
}

// push queues a record, under the lock. What waits stays bounded: an end that is not written down leaves its
// txn unknown.
func (j *Journal) enqueue(record txnjournal.Record, durable chan bool) {
	record.Incarnation = j.log.Incarnation()
	j.log.Apply(record)
	queued := queuedRecord{record, durable, recordOverheadBytes + len(record.Response.Body)}
	if j.queuedBytes+queued.bytes > j.queueLimitBytes() && durable == nil {
		j.counters.droppedOutcomes++
		return
	}
	j.queuedBytes += queued.bytes
	j.queue = append(j.queue, queued)
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// most is how many bytes may wait: they have to fit a segment together with what a checkpoint takes.
func (j *Journal) queueLimitBytes() int { return min(maxQueuedBytes, j.config.SegmentBytes/4) }

// run opens the journal and writes what comes, until Close.
func (j *Journal) run(disk Disk, writer Writer, overlap bool) {
	defer close(j.done)
	j.open(disk, writer, overlap)
	close(j.opened)
	for backoffMillis := j.config.BreakerBackoffMillis; j.log == nil; backoffMillis = math.Min(2*backoffMillis, j.config.BreakerMaxBackoffMillis) {
		if !j.sleep(backoffMillis) { // one that drains may have it still
			return
		}
		j.open(disk, writer, overlap)
	}
	if j.config.Policy == txnjournal.ServeUnwritten {
		j.commit()
	}
	for j.awaitWork() {
		j.commit()
	}
	j.commit()
	j.log.Close()
}

func (j *Journal) sleep(millis float64) bool {
	timer := time.NewTimer(time.Duration(millis * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-j.stop:
		return false
	}
}

func (j *Journal) open(disk Disk, writer Writer, overlap bool) {
	start := time.Now()
	log, err := Open(disk, j.config, writer, wallMillis(), overlap)
	if err != nil {
		j.logger.Error().Err(err).Msg("no journal: no once-only txn goes out")
		return
	}
	j.mu.Lock()
	j.log = log
	j.clockOffsetMillis = wallMillis() - j.ageMillis()
	predecessorEnded := j.predecessorEnded
	j.mu.Unlock()
	if predecessorEnded {
		log.AbsorbPredecessor()
	}
	stats := log.Replayed
	j.logger.Info().Uint32(
		"life",
		log.Incarnation(),
	).Int(
		"segments",
		stats.Segments,
	).Int(
		"records",
		stats.Records,
	).
		Int64(
			"cut_bytes",
			stats.UnreadableBytes,
		).Int(
		"torn",
		stats.Torn,
	).Int(
		"damaged",
		stats.Corrupt,
	).Int(
		"unreadable",
		stats.Unsupported,
	).
		Dur(
			"took",
			time.Since(start),
		).Msg(
		"journal read",
	)
}

// rest waits until there is something to commit, and tells whether to go on. While the disk is left alone it
// waits for the end of that.
func (j *Journal) awaitWork() bool {
	for {
		j.mu.Lock()
		tripped, allowed, waitMillis := j.breaker.Tripped(), true, 0.0
		if tripped {
			allowed, waitMillis = j.breaker.Allow(j.ageMillis())
		}
		queued := len(j.queue) > 0
		j.mu.Unlock()
		switch {
		case !allowed:
			if !j.sleep(math.Max(waitMillis, 1)) {
				return false
			}
			continue
		case tripped || queued:
			return true
		}
		idle := time.Hour
		if j.config.Policy == txnjournal.ServeUnwritten {
			idle = time.Duration(j.config.CoverageLeaseMillis / 3 * float64(time.Millisecond))
		}
		timer := time.NewTimer(idle)
		select {
		case <-j.stop:
			timer.Stop()
			return false
		case <-timer.C:
			return true
		case <-j.wake:
			timer.Stop()
		}
	}
}

// commit writes what waits, as one group: what is there and what comes within the window at once, so that it
// outlives the process, and then all of it for good.
func (j *Journal) commit() {
	j.mu.Lock()
	nowMillis := wallMillis()
	batch, records := j.dequeue(j.controlRecords(nowMillis))
	if len(records) == 0 && j.breaker.Tripped() {
		records = append(
			records,
			txnjournal.Record{Kind: txnjournal.KindCoverage, TimeMillis: nowMillis, UntilMillis: nowMillis},
		) // to see whether it goes again
	}
	batching := !j.breaker.Tripped()
	log := j.log
	j.mu.Unlock()
	if len(records) == 0 {
		return
	}
	count := len(records)
	var duration time.Duration
	write := func(operation func() error) error {
		start := time.Now()
		err := j.timedIO(operation)
		duration += time.Since(start)
		return err
	}
	err := write(func() error { return log.Stage(records, nowMillis) })
	for end := time.Now().Add(j.batchWindow()); err == nil && batching && j.awaitRecord(time.Until(end)); {
		var more []queuedRecord
		j.mu.Lock()
		more, records = j.dequeue(records[:0])
		j.mu.Unlock()
		batch, count = append(batch, more...), count+len(records)
		err = write(func() error { return log.Stage(records, nowMillis) })
	}
	if err == nil {
		err = write(func() error { return log.Commit(nil, nowMillis) })
	}

	j.mu.Lock()
	defer j.mu.Unlock()
	tookMillis := float64(duration) / float64(time.Millisecond)
	wasTripped := j.breaker.Tripped()
	j.breaker.Record(err == nil && tookMillis <= j.config.SlowCommitMillis, j.ageMillis())
	if tripped := j.breaker.Tripped(); tripped != wasTripped {
		j.logger.Warn().Err(err).Float64("took_ms", tookMillis).Bool("down", tripped).Msg("journal")
	}
	j.counters.commits++
	if err == nil {
		j.counters.records += int64(count)
		j.coverageDurable = true
	} else {
		j.counters.failures++
	}
	var unwritten []queuedRecord
	for _, queued := range batch {
		switch {
		case queued.durable != nil:
			queued.durable <- err == nil
		case err != nil:
			unwritten = append(unwritten, queued)
		}
	}
	if err != nil {
		j.requeue(unwritten)
	}
	log.View(func(b *txnjournal.Index) { b.TrimResponses(nowMillis) })
}

func (j *Journal) batchWindow() time.Duration {
	return time.Duration(j.config.BatchWindowMillis * float64(time.Millisecond))
}

// comes waits for more of a group, and tells whether it has come; not longer than so long, nor once it ends.
func (j *Journal) awaitRecord(timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-j.wake:
		return true
	case <-timer.C:
	case <-j.stop:
	}
	return false
}

// gather takes what waits, under the lock, and gives its records behind others.
func (j *Journal) dequeue(records []txnjournal.Record) ([]queuedRecord, []txnjournal.Record) {
	batch := j.queue
	j.queue, j.queuedBytes = nil, 0
	for _, queued := range batch {
		records = append(records, queued.Record)
	}
	return batch, records
}

// timed calls the disk, and has it seen for how long it takes.
func (j *Journal) timedIO(operation func() error) error {
	j.mu.Lock()
	j.commitStarted = time.Now()
	j.mu.Unlock()
	err := operation()
	j.mu.Lock()
	j.commitStarted = time.Time{}
	j.mu.Unlock()
	return err
}

// again puts the ends of a group that failed before what came meanwhile: they are still to be written down.
func (j *Journal) requeue(outcomes []queuedRecord) {
	newer := j.queue
	j.queue, j.queuedBytes = nil, 0
	for _, queued := range append(outcomes, newer...) {
		if j.queuedBytes+queued.bytes > j.queueLimitBytes() && queued.durable == nil {
			j.counters.droppedOutcomes++
			continue
		}
		j.queuedBytes += queued.bytes
		j.queue = append(j.queue, queued)
	}
}

// marks gives what a group has to say besides its txns: that the clock was set, and under Serve how long
// nothing is sent unwritten.
func (j *Journal) controlRecords(nowMillis float64) (records []txnjournal.Record) {
	if offsetMillis := nowMillis - j.ageMillis(); math.Abs(offsetMillis-j.clockOffsetMillis) > clockStepMillis {
		j.clockOffsetMillis = offsetMillis
		records = append(
			records,
			txnjournal.Record{Kind: txnjournal.KindClockStep, TimeMillis: nowMillis, UntilMillis: nowMillis},
		)
	}
	if ageMillis := j.ageMillis(); j.config.Policy == txnjournal.ServeUnwritten && !j.retired &&
		!j.breaker.Tripped() &&
		j.coveredUntilMillis < ageMillis+j.config.CoverageLeaseMillis/2 { // a disk that is left alone is promised nothing
		j.coveredUntilMillis = ageMillis + j.config.CoverageLeaseMillis
		records = append(
			records,
			txnjournal.Record{
				Kind:        txnjournal.KindCoverage,
				TimeMillis:  nowMillis,
				UntilMillis: nowMillis + j.config.CoverageLeaseMillis,
			},
		)
	}
	return records
}

// Settle tells that the process before this one has ended.
func (j *Journal) PredecessorEnded() {
	j.mu.Lock()
	j.predecessorEnded = true
	log := j.log
	j.mu.Unlock()
	if log != nil {
		log.AbsorbPredecessor()
	}
}

// Retire lets another process take over: from here on nothing is meant, and the lock is free once it returns.
func (j *Journal) Retire() { j.retire(true) }

// Close ends the keeping, and waits a little for what is to be written.
func (j *Journal) Close() {
	j.retire(false)
	j.closeOnce.Do(func() { close(j.stop) })
	select {
	case <-j.done:
	case <-time.After(shutdownTimeout):
	}
}

// leave writes that this life means nothing more.
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
	select { // whoever waits now to send something has given up by the end of this
	case <-durable:
	case <-time.After(shutdownTimeout + time.Duration(j.config.CommitWaitMillis*float64(time.Millisecond))):
	}
	if release {
		log.Retire()
	}
}

// Figures gives what operators see.
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
	log.View(func(b *txnjournal.Index) { txns, responseBytes = b.Len() })
	add("journal.txns", int64(txns))
	add("journal.answer_bytes", int64(responseBytes))
	add("journal.segments", int64(log.SegmentCount()))
}
