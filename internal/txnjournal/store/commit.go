package store

import (
	"math"
	"time"

	"willowdeck/internal/txnjournal"
)

const (
	maxQueuedBytes      = 1 << 20 // of records that wait to be written; outcomes beyond are dropped
	recordOverheadBytes = 160     // of a record without its response's body, about
	// clockStepMillis is by how much the system's clock moves against the monotonic clock if it was set.
	clockStepMillis = 1000.0
)

// queuedRecord is a record that waits to be written.
type queuedRecord struct {
	txnjournal.Record
	durable chan bool // gets the result of the commit, buffered; nil where nobody waits
	bytes   int
}

// enqueue queues a record. The queue is bounded: an outcome that is dropped leaves its transaction
// SentUnknown. Called with the lock held.
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

// queueLimitBytes bounds the queue: it has to fit a segment together with a checkpoint.
func (j *Journal) queueLimitBytes() int { return min(maxQueuedBytes, j.config.SegmentBytes/4) }

// run opens the journal and commits the queue, until Close.
func (j *Journal) run(disk Disk, writer Writer, overlap bool) {
	defer close(j.done)
	j.open(disk, writer, overlap)
	close(j.opened)
	backoffMillis := j.config.BreakerBackoffMillis
	for j.log == nil {
		if !j.sleep(backoffMillis) { // a process that is draining may still have the lock
			return
		}
		j.open(disk, writer, overlap)
		backoffMillis = math.Min(2*backoffMillis, j.config.BreakerMaxBackoffMillis)
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

// sleep waits, and returns false if the journal is closed meanwhile.
func (j *Journal) sleep(waitMillis float64) bool {
	timer := time.NewTimer(millis(waitMillis))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-j.stop:
		return false
	}
}

// open locks and reads the journal. Where that fails log stays nil.
func (j *Journal) open(disk Disk, writer Writer, overlap bool) {
	start := time.Now()
	log, err := Open(disk, j.config, writer, wallMillis(), overlap)
	if err != nil {
		j.logger.Error().Err(err).Msg("journal unavailable: non-idempotent transactions are rejected")
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
	j.logger.Info().Uint32("life", log.Incarnation()).Int("segments", stats.Segments).
		Int("records", stats.Records).Int64("cut_bytes", stats.UnreadableBytes).Int("torn", stats.Torn).
		Int("damaged", stats.Corrupt).Int("unreadable", stats.Unsupported).Dur("took", time.Since(start)).
		Msg("journal read")
}

// awaitWork waits until there is something to commit, and returns false if the journal is closed. While the
// breaker is open it waits for the backoff's end.
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
			idle = millis(j.config.CoverageLeaseMillis / 3)
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

// commit writes the queue as one batch. What is there, and what comes within the batch window, is staged at
// once, so that it outlives the process; then all of it is made durable.
func (j *Journal) commit() {
	j.mu.Lock()
	nowMillis := wallMillis()
	batch, records := j.dequeue(j.controlRecords(nowMillis))
	if len(records) == 0 && j.breaker.Tripped() { // probe whether the disk is well again
		records = append(records, txnjournal.Record{Kind: txnjournal.KindCoverage, TimeMillis: nowMillis,
			UntilMillis: nowMillis})
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
	end := time.Now().Add(millis(j.config.BatchWindowMillis))
	for err == nil && batching && j.awaitRecord(time.Until(end)) {
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
	j.committed(batch, count, duration, err)
	log.View(func(index *txnjournal.Index) { index.TrimResponses(nowMillis) })
}

// committed takes the result of a commit: it counts, feeds the breaker and notifies whoever waits. The
// outcomes of a batch that failed are queued again. Called with the lock held.
func (j *Journal) committed(batch []queuedRecord, records int, duration time.Duration, err error) {
	tookMillis := float64(duration) / float64(time.Millisecond)
	wasTripped := j.breaker.Tripped()
	j.breaker.Record(err == nil && tookMillis <= j.config.SlowCommitMillis, j.ageMillis())
	if tripped := j.breaker.Tripped(); tripped != wasTripped {
		j.logger.Warn().Err(err).Float64("took_ms", tookMillis).Bool("down", tripped).
			Msg("journal circuit breaker changed")
	}
	j.counters.commits++
	if err == nil {
		j.counters.records += int64(records)
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
}

// awaitRecord waits for another record, and returns false at the timeout or if the journal is closed.
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

// dequeue empties the queue, and appends its records to others. Called with the lock held.
func (j *Journal) dequeue(records []txnjournal.Record) ([]queuedRecord, []txnjournal.Record) {
	batch := j.queue
	j.queue, j.queuedBytes = nil, 0
	for _, queued := range batch {
		records = append(records, queued.Record)
	}
	return batch, records
}

// timedIO does I/O with commitStarted set, by which available sees that it stalls.
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

// requeue puts the outcomes of a batch that failed before what came meanwhile. Called with the lock held.
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

// controlRecords returns the records of a batch that are not of transactions: that the clock was set, and
// under ServeUnwritten until when nothing is sent unwritten. Called with the lock held.
func (j *Journal) controlRecords(nowMillis float64) (records []txnjournal.Record) {
	offsetMillis := nowMillis - j.ageMillis()
	if math.Abs(offsetMillis-j.clockOffsetMillis) > clockStepMillis {
		j.clockOffsetMillis = offsetMillis
		records = append(records, txnjournal.Record{Kind: txnjournal.KindClockStep, TimeMillis: nowMillis,
			UntilMillis: nowMillis})
	}
	// While the breaker is open nothing is promised.
	ageMillis, leaseMillis := j.ageMillis(), j.config.CoverageLeaseMillis
	if j.config.Policy == txnjournal.ServeUnwritten && !j.retired && !j.breaker.Tripped() &&
		j.coveredUntilMillis < ageMillis+leaseMillis/2 {
		j.coveredUntilMillis = ageMillis + leaseMillis
		records = append(records, txnjournal.Record{Kind: txnjournal.KindCoverage, TimeMillis: nowMillis,
			UntilMillis: nowMillis + leaseMillis})
	}
	return records
}
