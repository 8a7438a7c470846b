package txnjournal

import "math"

const (
	// FormatVersion is that of segment headers and records. A record written by a later release of the same
	// version has more fields behind those known here, which are skipped; one of an earlier release lacks
	// some, which are zero.
	FormatVersion = 1
	// OldestVersion is the oldest version that can be read.
	OldestVersion = 1

	// clockSlackMillis is by how much clocks may disagree or records be out of order; more is a clock step.
	clockSlackMillis = 1000.0
	maxFieldBytes    = 255     // of a name or a request id; the front end admits request ids of 64
	maxBodyBytes     = 1 << 20 // of a stored response; bounds what a damaged length field may ask for
)

// Outcome says how an attempt ended. Its numbers are stored.
type Outcome uint8

const (
	// OutcomePending says that nothing is known yet.
	OutcomePending Outcome = iota
	// OutcomeCompleted says that the worker answered that the transaction is done.
	OutcomeCompleted
	// OutcomeUnknown says that the transaction may have been executed.
	OutcomeUnknown
	// OutcomeNotExecuted says that the request was not written completely, or the worker said that it did not
	// execute it.
	OutcomeNotExecuted
)

var outcomeNames = [...]string{"open", "settled", "may have run", "never ran"}

func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown end"
}

// Verdict answers whether a transaction was sent. Greater ones prevail where journals are asked together.
type Verdict uint8

const (
	// NotSent says that nothing that could be executed was sent.
	NotSent Verdict = iota
	// SentUnknown says that it was sent, or may have been, and its outcome is not known here.
	SentUnknown
	// SentCompleted says that it was sent, and is done.
	SentCompleted
)

var verdictNames = [...]string{"not sent", "sent, outcome unknown", "sent and settled"}

func (v Verdict) String() string { return verdictNames[v] }

// Response is a worker's response to a completed transaction.
type Response struct {
	ContentType, ContentEncoding string
	Body                         []byte
	Stored                       bool // false: it is only known that there was a response
}

// Txn is a non-idempotent transaction as the journal knows it. Its key is Customer and RequestID.
type Txn struct {
	Customer  uint64
	RequestID string // the client's X-Request-Id
	Product   string
	// Digest is a CRC-32 of target and body: a request with the same id and another digest does not get the
	// stored response.
	Digest uint32
}

// AttemptID names one attempt to deliver a transaction.
type AttemptID struct {
	Sequence uint64 // among all attempts of an incarnation
	Ordinal  int    // among the attempts of its transaction
}

// Kind is what a Record says. Its numbers are stored.
type Kind uint8

const (
	// KindIntent says that an attempt is about to be written to Worker; it may be sent once the record is
	// durable.
	KindIntent Kind = iota + 1
	// KindOutcome says how an attempt ended.
	KindOutcome
	// KindSnapshot holds all that is known of a transaction, from segments that are about to be removed.
	KindSnapshot
	// KindCoverage says that under ServeUnwritten nothing is sent unwritten before UntilMillis.
	KindCoverage
	// KindCheckpoint says that segments below FirstLiveSegment are no longer needed. No transaction was
	// evicted that changed after UntilMillis.
	KindCheckpoint
	// KindRetired says that the incarnation sends nothing more; it ends, or its successor takes over.
	KindRetired
	// KindClockStep says that the system's clock was set; all earlier records are from before UntilMillis.
	KindClockStep
	kindCount
)

var kindNames = [...]string{"", "meant", "ended", "kept", "covers", "checked", "gone", "stepped"}

func (k Kind) String() string {
	if k > 0 && k < kindCount {
		return kindNames[k]
	}
	return "unknown kind"
}

// HasTxn reports whether records of the kind are of a transaction; only these are encoded with its fields.
func (k Kind) HasTxn() bool { return k <= KindSnapshot }

// Record is one entry of the journal.
type Record struct {
	Kind              Kind
	Incarnation       uint32 // that wrote it
	Batch             uint32 // the commit that it was part of, counted within its segment
	TimeMillis        float64
	Txn               Txn
	Attempt           AttemptID
	Worker            string
	ExpiryMillis      float64 // by when the client is to have its response; 0 where that is not known yet
	Outcome           Outcome
	Response          Response
	FirstIntentMillis float64 // of KindSnapshot only
	UntilMillis       float64 // of KindCoverage, KindCheckpoint and KindClockStep
	FirstLiveSegment  uint64  // of KindCheckpoint
}

// known reports whether kind and outcome are among those of this release.
func (r *Record) known() bool {
	return r.Kind != 0 && r.Kind < kindCount && r.Outcome <= OutcomeNotExecuted
}

// SegmentHeader stands at the beginning of a segment.
type SegmentHeader struct {
	Number            uint64 // of the segment, from 1
	Incarnation       uint32
	Policy            UnwrittenPolicy
	CreatedMillis     float64
	BootID            uint32  // stands for one boot of the machine; 0 is not known
	ClockOffsetMillis float64 // of the system's clock against the machine's uptime
	Instance          string
	Version           int
	Unsupported       bool // its version or its policy is not known here
	Corrupt           bool // it can't be decoded
}

// UncertainPeriod is a time for which the journal may lack transactions that were sent.
type UncertainPeriod struct {
	FromMillis, ToMillis float64
	Reason               string
}

// clockStepped reports whether the system's clock was set between two segments of the same boot.
func clockStepped(a, b *SegmentHeader) bool {
	return a.BootID == b.BootID && a.BootID != 0 &&
		math.Abs(a.ClockOffsetMillis-b.ClockOffsetMillis) > clockSlackMillis
}
