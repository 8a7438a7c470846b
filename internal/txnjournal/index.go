package txnjournal

import (
	"fmt"
	"math"
	"slices"
)

// Book is what a journal says: its txns, and when it may lack some. It is filled by reading segments in the
// order of their numbers, and by each record that is written after. Same records, same answers; it may be
// told the same record twice. It is not safe for concurrent use.
type Index struct {
	config               Config
	txns                 map[txnKey]*entry
	byAge                []*entry // by when they were first told of; those forgotten are skipped
	responseBytes        int      // bytes of answers
	withResponse         []*entry // by when their answers came
	started              bool
	lastHeader           SegmentHeader // of the segment read last
	latestMillis         float64       // time of the last record
	horizonMillis        float64       // what was forgotten, or came before the journal, is no later
	coveredUntilMillis   float64       // nothing is sent unwritten until then
	firstLiveSegment     uint64
	uncertain            []UncertainPeriod
	missing              []missingSegments
	UncertainPeriodCount int // doubts in all; the latest are in Doubts
	OrphanOutcomes       int // ends without their beginnings
}

type txnKey struct {
	customer  uint64
	requestID string
}

type entry struct {
	Entry
	pending         []attemptKey
	maybeExecuted   bool
	lowestSegment   uint64 // the lowest segment that holds a record of it which is not repeated further on
	evicted         bool
	respondedMillis float64
}

// gap is a time of which segments are missing, before the next one that is there.
type missingSegments struct {
	UncertainPeriod
	nextSegment uint64
}

type attemptKey struct {
	incarnation uint32
	attempt     AttemptID
}

// Entry is a txn with what is known of it.
type Entry struct {
	Txn
	Worker            string // of the submission told of last
	Incarnation       uint32
	FirstIntentMillis float64 // when it was first about to go out
	ChangedMillis     float64
	ExpiryMillis      float64
	Attempts          int // submissions that were written down
	PendingAttempts   int // of these without an end
	Completed         bool
	Response          Response
}

// NewBook starts with nothing known.
func NewIndex(config Config) *Index {
	return &Index{
		config:             config,
		txns:               map[txnKey]*entry{},
		horizonMillis:      math.Inf(-1),
		coveredUntilMillis: math.Inf(1),
	}
}

// Opens tells that a segment begins, by its head. A blank one says nothing.
func (x *Index) OpenSegment(header SegmentHeader) {
	if header.Number > x.lastHeader.Number+1 {
		x.noteMissing(x.lastHeader.Number+1, header)
	} else if !x.started && !header.Corrupt {
		x.horizonMillis = header.CreatedMillis // before it there was no journal
	}
	x.started = true
	if header.Corrupt || header.Unsupported {
		x.lastHeader.Number = header.Number
		fromMillis := x.latestMillis // its promise can't be read
		if header.Unsupported {
			fromMillis = header.CreatedMillis
		}
		x.coveredUntilMillis = math.Min(x.coveredUntilMillis, fromMillis)
		return
	}
	if x.lastHeader.Incarnation > 0 &&
		(clockStepped(&x.lastHeader, &header) || !math.IsInf(x.coveredUntilMillis, 1) && header.CreatedMillis < x.latestMillis) {
		x.clockStepped(header.CreatedMillis)
	}
	if header.Policy == RefuseUnwritten {
		x.extendCoverage(header.CreatedMillis, math.Inf(1))
	} else if header.Incarnation != x.lastHeader.Incarnation { // it has promised nothing yet
		x.extendCoverage(header.CreatedMillis, header.CreatedMillis)
	}
	x.lastHeader, x.latestMillis = header, header.CreatedMillis
}

// Blank tells that a segment is there in which nothing was ever written.
func (x *Index) BlankSegment(number uint64) {
	if number == x.lastHeader.Number+1 || x.started {
		x.lastHeader.Number = number
	}
}

// missing notes that segments are not there. Where they were let go, a Checked further on says so.
func (x *Index) noteMissing(first uint64, next SegmentHeader) {
	x.missing = append(
		x.missing,
		missingSegments{UncertainPeriod{math.Max(x.latestMillis, 0), math.Max(next.CreatedMillis, x.latestMillis),
			fmt.Sprintf("segments %d to %d are missing", first, next.Number-1)}, next.Number},
	)
}

// covers renews the promise to send nothing unwritten. Between the last one's end and this is a doubt.
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

// step notes that the system's clock was set: by the new time all that is in doubt or forgotten was before.
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

// doubt notes a time in which something may be missing. Beyond some, the oldest are taken as one.
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

// Closes takes what reading a segment has met. until is when the next segment begins, or now.
func (x *Index) CloseSegment(report SegmentReport, untilMillis float64) {
	for _, period := range report.Uncertain {
		if math.IsInf(period.ToMillis, 1) {
			period.ToMillis = math.Max(untilMillis, period.FromMillis)
		}
		x.addUncertain(period)
	}
}

// Take takes a record of a segment.
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

// Finish ends the reading of segments: those that are missing, and were not let go, are doubts.
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
		if record.Kind == KindOutcome { // its beginning is lost, or was never written
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

// bound forgets the oldest txns beyond the terms.
func (x *Index) evictOldest() {
	for len(x.txns) > x.config.MaxTxns && len(x.byAge) > 0 {
		x.evict(x.byAge[0])
		x.byAge = x.byAge[1:]
	}
}

// Trim lets go the answers that are too old, or too many.
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

// forget lets a txn go. One that never ran leaves nothing unsaid.
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

// verdict tells what is known by a txn's own records.
func (e *entry) verdict() Verdict {
	switch {
	case e.Completed:
		return SentCompleted
	case e.maybeExecuted || len(e.pending) > 0:
		return SentUnknown
	}
	return NotSent
}

// Known gives a customer's txn, if it may have gone out; NotSent if nothing is known that could have.
func (x *Index) Lookup(customer uint64, requestID string) (Entry, Verdict) {
	e := x.txns[txnKey{customer, requestID}]
	if e == nil {
		return Entry{}, NotSent
	}
	return e.Entry, e.verdict()
}

// Answers gives what is to be told of a txn that, if at all, went out between two times, and says why. Only
// where the journal lacks nothing of these does it say that it was not sent. found is what it knows of the
// mark, one for each customer.
func (x *Index) Resolve(
	requestID string,
	fromMillis, toMillis, nowMillis float64,
) (verdict Verdict, reason string, found []Entry) {
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

// Open tells whether a submission is written down, and its end is not.
func (x *Index) IsPending(txn Txn, incarnation uint32, attempt AttemptID) bool {
	e := x.txns[txnKey{txn.Customer, txn.RequestID}]
	return e != nil && slices.Contains(e.pending, attemptKey{incarnation, attempt})
}

// Each gives all txns, the oldest first.
func (x *Index) Each(visit func(Entry, Verdict)) {
	for _, e := range x.byAge {
		if !e.evicted {
			visit(e.Entry, e.verdict())
		}
	}
}

// Horizon is the time from which on nothing has been forgotten; nor was there a journal before its first.
func (x *Index) HorizonMillis() float64 { return x.horizonMillis }

// Doubts gives the latest times in which something may be missing.
func (x *Index) UncertainPeriods() []UncertainPeriod { return x.uncertain }

// Len is how many txns are known, and how many bytes of answers are kept.
func (x *Index) Len() (txns, responseBytes int) { return len(x.txns), x.responseBytes }

// Below is the number below which segments are of no use.
func (x *Index) FirstLiveSegment() uint64 { return x.firstLiveSegment }

// Checkpoint gives what has to be written, at the head of a new segment, before those below a number are let
// go: the txns that only these hold, as far as they fit so many bytes, the oldest forgotten first, and last
// the word that it is done. Once that is durable, Moved is to be called.
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
		recordBytes := frameBytes + 72 + len(
			e.RequestID,
		) + len(
			e.Product,
		) + len(
			e.Worker,
		) + len(
			e.Response.ContentType,
		) +
			len(
				e.Response.ContentEncoding,
			) + len(
			e.Response.Body,
		)
		if e.verdict() == NotSent || size+recordBytes > maxBytes {
			x.evict(e)
			continue
		}
		size += recordBytes
		live = append(live, e)
		outcome := OutcomeCompleted
		if !e.Completed {
			outcome = OutcomeUnknown
		}
		records = append(
			records,
			Record{
				Kind:              KindSnapshot,
				Incarnation:       incarnation,
				TimeMillis:        nowMillis,
				Txn:               e.Txn,
				Worker:            e.Worker,
				FirstIntentMillis: e.FirstIntentMillis,
				ExpiryMillis:      e.ExpiryMillis,
				Outcome:           outcome,
				Response:          e.Response,
			},
		)
	}
	for i, j := 0, len(live)-1; i < j; i, j = i+1, j-1 {
		live[i], live[j] = live[j], live[i]
	}
	x.byAge = live
	for i, j := 0, len(records)-1; i < j; i, j = i+1, j-1 {
		records[i], records[j] = records[j], records[i]
	}
	horizonMillis := x.horizonMillis
	if !isFinite(horizonMillis) {
		horizonMillis = 0
	}
	return append(
		records,
		Record{
			Kind:             KindCheckpoint,
			Incarnation:      incarnation,
			TimeMillis:       nowMillis,
			FirstLiveSegment: below,
			UntilMillis:      horizonMillis,
		},
	)
}

// Moved tells that a checkpoint is durable in a segment.
func (x *Index) CheckpointDurable(below, segment uint64) {
	x.firstLiveSegment = max(x.firstLiveSegment, below)
	for _, e := range x.byAge {
		if e.lowestSegment < below {
			e.lowestSegment = segment
		}
	}
}
