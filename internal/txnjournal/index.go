package txnjournal

import (
	"fmt"
	"math"
	"slices"
)

// maxUncertainPeriods bounds the periods that are kept one by one; the oldest are merged.
const maxUncertainPeriods = 64

// Index is the state that replaying a journal yields: its transactions, and the times for which it may lack
// some. It is filled by reading segments in the order of their numbers and by each record that is written
// thereafter. Replay is deterministic, and applying a record twice changes nothing. Not safe for concurrent
// use.
type Index struct {
	config        Config
	txns          map[txnKey]*entry
	byAge         []*entry // in the order of their first records; evicted ones are skipped
	withResponse  []*entry // in the order in which their responses came
	responseBytes int      // of all stored bodies
	started       bool     // a segment was begun
	lastHeader    SegmentHeader
	latestMillis  float64 // of the last record
	// horizonMillis is the time up to which transactions may have been evicted, or there was no journal.
	horizonMillis float64
	// coveredUntilMillis is the time before which nothing is sent unwritten.
	coveredUntilMillis float64
	firstLiveSegment   uint64
	uncertain          []UncertainPeriod // the latest
	missing            []missingSegments // until FinishReplay

	UncertainPeriodCount int // of all ever; UncertainPeriods returns the latest
	OrphanOutcomes       int // outcomes without an intent
}

type txnKey struct {
	customer  uint64
	requestID string
}

type entry struct {
	Entry
	pending         []attemptKey
	maybeExecuted   bool
	lowestSegment   uint64 // that holds a record of it which no later checkpoint repeats
	evicted         bool
	respondedMillis float64
}

// missingSegments is the time of segments that are not there, before the next one that is.
type missingSegments struct {
	UncertainPeriod
	nextSegment uint64
}

type attemptKey struct {
	incarnation uint32
	attempt     AttemptID
}

// Entry is a transaction with what is known of it.
type Entry struct {
	Txn
	Worker            string // of the latest attempt
	Incarnation       uint32
	FirstIntentMillis float64
	ChangedMillis     float64
	ExpiryMillis      float64
	Attempts          int // that were recorded
	PendingAttempts   int // of these without an outcome
	Completed         bool
	Response          Response
}

// NewIndex returns an empty index.
func NewIndex(config Config) *Index {
	return &Index{
		config:             config,
		txns:               map[txnKey]*entry{},
		horizonMillis:      math.Inf(-1),
		coveredUntilMillis: math.Inf(1),
	}
}

// OpenSegment begins a segment by its header. For a blank segment BlankSegment is called in its place.
func (x *Index) OpenSegment(header SegmentHeader) {
	if header.Number > x.lastHeader.Number+1 {
		x.recordMissing(x.lastHeader.Number+1, header)
	} else if !x.started && !header.Corrupt {
		x.horizonMillis = header.CreatedMillis // there was no journal before
	}
	x.started = true
	if header.Corrupt || header.Unsupported {
		x.lastHeader.Number = header.Number
		fromMillis := x.latestMillis // the promises of a corrupt segment are lost
		if header.Unsupported {
			fromMillis = header.CreatedMillis
		}
		x.coveredUntilMillis = math.Min(x.coveredUntilMillis, fromMillis)
		return
	}
	wentBack := !math.IsInf(x.coveredUntilMillis, 1) && header.CreatedMillis < x.latestMillis
	if x.lastHeader.Incarnation > 0 && (clockStepped(&x.lastHeader, &header) || wentBack) {
		x.clockStepped(header.CreatedMillis)
	}
	if header.Policy == RefuseUnwritten {
		x.extendCoverage(header.CreatedMillis, math.Inf(1))
	} else if header.Incarnation != x.lastHeader.Incarnation { // a new incarnation has promised nothing yet
		x.extendCoverage(header.CreatedMillis, header.CreatedMillis)
	}
	x.lastHeader, x.latestMillis = header, header.CreatedMillis
}

// BlankSegment passes over a segment to which nothing was ever written.
func (x *Index) BlankSegment(number uint64) {
	if number == x.lastHeader.Number+1 || x.started {
		x.lastHeader.Number = number
	}
}

// recordMissing notes that segments are not there. If they were removed, a later KindCheckpoint record says
// so.
func (x *Index) recordMissing(first uint64, next SegmentHeader) {
	period := UncertainPeriod{math.Max(x.latestMillis, 0), math.Max(next.CreatedMillis, x.latestMillis),
		fmt.Sprintf("segments %d to %d are missing", first, next.Number-1)}
	x.missing = append(x.missing, missingSegments{period, next.Number})
}

// extendCoverage renews the promise to send nothing unwritten. The time between the end of the last promise
// and this one is uncertain.
func (x *Index) extendCoverage(atMillis, untilMillis float64) {
	if atMillis > x.coveredUntilMillis {
		x.addUncertain(
			UncertainPeriod{
				math.Max(x.coveredUntilMillis, 0),
				atMillis,
				"txns may have been sent that could not be written down",
			},
		)
	}
	x.coveredUntilMillis = untilMillis
}

// clockStepped notes that the system's clock was set: on the new clock, all that is uncertain or was
// evicted may have been at any time before atMillis.
func (x *Index) clockStepped(atMillis float64) {
	for i := range x.uncertain {
		period := &x.uncertain[i]
		period.FromMillis, period.ToMillis = 0, math.Max(period.ToMillis, atMillis)
	}
	if !math.IsInf(x.coveredUntilMillis, 1) {
		x.addUncertain(UncertainPeriod{0, atMillis, "the clock was set"})
	}
	x.horizonMillis = math.Max(x.horizonMillis, atMillis)
}

// addUncertain adds a period for which records may be missing. Beyond maxUncertainPeriods the oldest two are
// merged.
func (x *Index) addUncertain(period UncertainPeriod) {
	x.UncertainPeriodCount++
	if x.uncertain = append(x.uncertain, period); len(x.uncertain) > maxUncertainPeriods {
		oldest, second := x.uncertain[0], x.uncertain[1]
		x.uncertain = x.uncertain[1:]
		x.uncertain[0] = UncertainPeriod{
			math.Min(oldest.FromMillis, second.FromMillis),
			math.Max(oldest.ToMillis, second.ToMillis),
			second.Reason + ", and others before",
		}
	}
}

// CloseSegment adds what reading a segment has found. untilMillis is when the next segment begins, or now.
func (x *Index) CloseSegment(report SegmentReport, untilMillis float64) {
	for _, period := range report.Uncertain {
		if math.IsInf(period.ToMillis, 1) {
			period.ToMillis = math.Max(untilMillis, period.FromMillis)
		}
		x.addUncertain(period)
	}
}

// Apply applies a record of a segment.
func (x *Index) Apply(segment uint64, record Record) {
	x.latestMillis = math.Max(x.latestMillis, record.TimeMillis)
	switch record.Kind {
	case KindIntent, KindOutcome, KindSnapshot:
		x.applyTxn(segment, record)
	case KindCoverage:
		if x.lastHeader.Policy == ServeUnwritten && record.Incarnation == x.lastHeader.Incarnation {
			x.extendCoverage(record.TimeMillis, record.UntilMillis)
		}
	case KindRetired:
		x.extendCoverage(record.TimeMillis, math.Inf(1))
	case KindCheckpoint:
		x.applyCheckpoint(record)
	case KindClockStep:
		x.clockStepped(math.Max(record.TimeMillis, record.UntilMillis))
		x.latestMillis = record.TimeMillis
	}
}

func (x *Index) applyCheckpoint(record Record) {
	if x.firstLiveSegment = max(x.firstLiveSegment, record.FirstLiveSegment); record.UntilMillis > 0 {
		x.horizonMillis = math.Max(x.horizonMillis, record.UntilMillis)
	}
}

// FinishReplay ends the reading of segments: the times of those that are missing, and were not removed
// after a checkpoint, are uncertain.
func (x *Index) FinishReplay() {
	for _, gap := range x.missing {
		if gap.nextSegment > x.firstLiveSegment {
			x.addUncertain(gap.UncertainPeriod)
		}
	}
	x.missing = nil
}

func (x *Index) applyTxn(segment uint64, record Record) {
	k := txnKey{record.Txn.Customer, record.Txn.RequestID}
	e := x.txns[k]
	attempt := attemptKey{record.Incarnation, record.Attempt}
	if e == nil {
		e = &entry{lowestSegment: segment}
		e.Txn, e.FirstIntentMillis = record.Txn, record.TimeMillis
		x.txns[k] = e
		x.byAge = append(x.byAge, e)
		if record.Kind == KindOutcome { // its intent is lost, or was never written
			x.OrphanOutcomes++
		}
		defer x.evictOldest()
	}
	if e.ChangedMillis = math.Max(e.ChangedMillis, record.TimeMillis); record.Worker != "" {
		e.Worker = record.Worker
	}
	e.ExpiryMillis = math.Max(e.ExpiryMillis, record.ExpiryMillis)
	switch record.Kind {
	case KindIntent:
		e.pending = append(e.pending, attempt)
		e.Attempts++
		e.Digest, e.Incarnation, e.Product = record.Txn.Digest, record.Incarnation, record.Txn.Product
	case KindOutcome:
		for i, pending := range e.pending {
			if pending == attempt {
				e.pending = append(e.pending[:i], e.pending[i+1:]...)
				break
			}
		}
		e.maybeExecuted = e.maybeExecuted || record.Outcome == OutcomeUnknown || record.Outcome == OutcomePending
	case KindSnapshot:
		e.maybeExecuted = e.maybeExecuted || record.Outcome == OutcomeUnknown || record.Outcome == OutcomePending
		e.FirstIntentMillis = math.Min(e.FirstIntentMillis, record.FirstIntentMillis)
		e.Attempts, e.Incarnation = max(e.Attempts, 1), record.Incarnation
	}
	if record.Outcome == OutcomeCompleted {
		if e.Completed = true; record.Response.Stored && !e.Response.Stored {
			x.storeResponse(e, record)
		}
	}
	e.PendingAttempts = len(e.pending)
}

func (x *Index) storeResponse(e *entry, record Record) {
	if e.Response, e.respondedMillis = record.Response, record.TimeMillis; record.Kind == KindSnapshot {
		e.respondedMillis = record.FirstIntentMillis
	}
	x.responseBytes += len(record.Response.Body)
	x.withResponse = append(x.withResponse, e)
}

// evictOldest evicts the oldest transactions beyond MaxTxns.
func (x *Index) evictOldest() {
	for len(x.txns) > x.config.MaxTxns && len(x.byAge) > 0 {
		x.evict(x.byAge[0])
		x.byAge = x.byAge[1:]
	}
}

// TrimResponses drops stored responses that are too old or exceed MaxStoredResponseBytes, the oldest first.
func (x *Index) TrimResponses(nowMillis float64) {
	for len(x.withResponse) > 0 {
		e := x.withResponse[0]
		if !e.evicted && x.responseBytes <= x.config.MaxStoredResponseBytes &&
			nowMillis-e.respondedMillis < x.config.ResponseRetentionMillis {
			return
		}
		if x.withResponse = x.withResponse[1:]; !e.evicted {
			x.responseBytes -= len(e.Response.Body)
			e.Response = Response{}
		}
	}
}

// evict removes a transaction and moves the horizon past it; not for one that was never executed, as
// NotSent is the verdict on unknown transactions too.
func (x *Index) evict(e *entry) {
	if e.evicted {
		return
	}
	e.evicted = true
	x.responseBytes -= len(e.Response.Body)
	delete(x.txns, txnKey{e.Customer, e.RequestID})
	if e.verdict() != NotSent {
		x.horizonMillis = math.Max(x.horizonMillis, e.ChangedMillis)
	}
}

// verdict returns the verdict by the transaction's own records.
func (e *entry) verdict() Verdict {
	switch {
	case e.Completed:
		return SentCompleted
	case e.maybeExecuted || len(e.pending) > 0:
		return SentUnknown
	}
	return NotSent
}

// Lookup returns what is known of a customer's transaction. It is NotSent where nothing is known that could
// have been sent.
func (x *Index) Lookup(customer uint64, requestID string) (Entry, Verdict) {
	e := x.txns[txnKey{customer, requestID}]
	if e == nil {
		return Entry{}, NotSent
	}
	return e.Entry, e.verdict()
}

// Resolve returns the verdict on the transactions with a request id that, if at all, were sent between two
// times, with its reason. It is NotSent only where the journal lacks nothing of that time. found are the
// transactions with that id, one for each customer.
func (x *Index) Resolve(requestID string, fromMillis, toMillis, nowMillis float64) (verdict Verdict,
	reason string, found []Entry) {
	for _, e := range x.byAge {
		if !e.evicted && e.RequestID == requestID {
			verdict = max(verdict, e.verdict())
			found = append(found, e.Entry)
		}
	}
	if verdict != NotSent {
		return verdict, "by its records", found
	}
	fromMillis, toMillis = fromMillis-clockSlackMillis, toMillis+clockSlackMillis
	switch {
	case !x.started:
		return SentUnknown, "there is no journal", found
	case fromMillis <= x.horizonMillis:
		return SentUnknown, "the journal may have forgotten it, or began later", found
	case math.Min(toMillis, nowMillis) > x.coveredUntilMillis:
		return SentUnknown, "it may be sent without being written down now", found
	}
	for _, period := range x.uncertain {
		if period.FromMillis <= toMillis && fromMillis <= period.ToMillis {
			return SentUnknown, "the journal may lack it: " + period.Reason, found
		}
	}
	return NotSent, "the journal lacks nothing of that time", found
}

// IsPending reports whether an attempt has an intent and no outcome.
func (x *Index) IsPending(txn Txn, incarnation uint32, attempt AttemptID) bool {
	e := x.txns[txnKey{txn.Customer, txn.RequestID}]
	return e != nil && slices.Contains(e.pending, attemptKey{incarnation, attempt})
}

// Each calls visit with all transactions, the oldest first.
func (x *Index) Each(visit func(Entry, Verdict)) {
	for _, e := range x.byAge {
		if !e.evicted {
			visit(e.Entry, e.verdict())
		}
	}
}

// HorizonMillis returns the time since which no transaction was evicted. It is not before the journal began.
func (x *Index) HorizonMillis() float64 { return x.horizonMillis }

// UncertainPeriods returns the latest periods for which records may be missing.
func (x *Index) UncertainPeriods() []UncertainPeriod { return x.uncertain }

// Len returns how many transactions are known, and how many bytes of responses are stored.
func (x *Index) Len() (txns, responseBytes int) { return len(x.txns), x.responseBytes }

// FirstLiveSegment returns the number below which segments are no longer needed.
func (x *Index) FirstLiveSegment() uint64 { return x.firstLiveSegment }

// Checkpoint returns the records that have to be durable in a new segment before those below a number are
// removed: a snapshot of each transaction that only these hold, as far as they fit maxBytes, and last the
// KindCheckpoint record. The oldest that do not fit are evicted. CheckpointDurable is to be called once the
// records are durable.
func (x *Index) Checkpoint(below uint64, incarnation uint32, nowMillis float64, maxBytes int) []Record {
	x.TrimResponses(nowMillis)
	var records []Record
	size := 0
	live := x.byAge[:0:0]
	for i := len(x.byAge) - 1; i >= 0; i-- { // the newest first
		e := x.byAge[i]
		if e.evicted {
			continue
		}
		if e.lowestSegment >= below {
			live = append(live, e)
			continue
		}
		recordBytes := e.snapshotBytes()
		if e.verdict() == NotSent || size+recordBytes > maxBytes {
			x.evict(e)
			continue
		}
		size += recordBytes
		live = append(live, e)
		records = append(records, e.snapshot(incarnation, nowMillis))
	}
	slices.Reverse(live)
	x.byAge = live
	slices.Reverse(records)
	horizonMillis := x.horizonMillis
	if !isFinite(horizonMillis) {
		horizonMillis = 0
	}
	return append(records, Record{Kind: KindCheckpoint, Incarnation: incarnation, TimeMillis: nowMillis,
		FirstLiveSegment: below, UntilMillis: horizonMillis})
}

// snapshotFieldBytes is the size of a snapshot's fields apart from texts and body.
const snapshotFieldBytes = 72

// snapshotBytes returns the size of the entry's snapshot record.
func (e *entry) snapshotBytes() int {
	return frameBytes + snapshotFieldBytes + len(e.RequestID) + len(e.Product) + len(e.Worker) +
		len(e.Response.ContentType) + len(e.Response.ContentEncoding) + len(e.Response.Body)
}

// snapshot returns a record of all that is known of the transaction.
func (e *entry) snapshot(incarnation uint32, nowMillis float64) Record {
	outcome := OutcomeCompleted
	if !e.Completed {
		outcome = OutcomeUnknown
	}
	return Record{Kind: KindSnapshot, Incarnation: incarnation, TimeMillis: nowMillis, Txn: e.Txn,
		Worker: e.Worker, FirstIntentMillis: e.FirstIntentMillis, ExpiryMillis: e.ExpiryMillis,
		Outcome: outcome, Response: e.Response}
}

// CheckpointDurable notes that the checkpoint of all segments below a number is durable in another segment.
func (x *Index) CheckpointDurable(below, segment uint64) {
	x.firstLiveSegment = max(x.firstLiveSegment, below)
	for _, e := range x.byAge {
		if e.lowestSegment < below {
			e.lowestSegment = segment
		}
	}
}
