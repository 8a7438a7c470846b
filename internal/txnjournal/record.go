// Package txnjournal decides what a durable journal of once-only txns says: how its records are written and
// read, what may be believed of a damaged one, which of three answers an agent gets who asks whether a txn
// went out, and when segments begin, are checked out and are let go. It does no I/O. Times are Unix ms by the
// system's clock; package store keeps the files.
package txnjournal

import "math"

const (
	// Version is of a segment's head and of the records in it. A record of a later form of this version has
	// more fields behind those known here, which are let pass; one of an earlier form lacks some, which are
	// nought.
	FormatVersion = 1
	// Oldest is the oldest version that is read.
	OldestVersion = 1

	clockSlackMillis    = 1000.0  // ms by which clocks may disagree, or records be out of order; more is a step
	maxFieldBytes       = 255     // bytes of a name or a mark; the front lets marks of 64 in
	maxBodyBytes        = 1 << 20 // bytes of an answer that a record may hold; bounds what a damaged length asks for
	maxUncertainPeriods = 64      // doubts told of one by one; what is older is taken as one

	DefaultBatchWindowMillis       = 0.0      // ms that a group waits for company; what comes during a write is company enough
	MaxBatchWindowMillis           = 1000.0   // ms
	DefaultCommitWaitMillis        = 150.0    // ms that a txn waits for its group; over the stalls of a usual disk
	DefaultSlowCommitMillis        = 100.0    // ms that a commit may take; slower ones would use the wait up
	DefaultCoverageLeaseMillis     = 1000.0   // ms that a promise lasts to send nothing unwritten; an outage costs so much
	DefaultSegmentBytes            = 4 << 20  // bytes; some ten thousand txns
	MinSegmentBytes                = 64 << 10 // bytes
	MaxSegmentBytes                = 64 << 20 // bytes; a reader holds one in memory
	DefaultMaxSegments             = 16       // kept; 64 MB in all
	MinMaxSegments                 = 3        // one written, one checked, one to go
	DefaultMaxTxns                 = 100000   // remembered in memory; some 20 MB
	LargestMaxTxns                 = 1 << 22
	DefaultMaxResponseBytes        = 4096    // bytes of an answer that is kept
	DefaultMaxStoredResponseBytes  = 8 << 20 // bytes of answers kept in memory
	DefaultResponseRetentionMillis = 3.6e6   // ms that an answer is kept
	DefaultBreakerThreshold        = 3       // failures one after another until the disk is left alone
	DefaultBreakerBackoffMillis    = 200.0   // ms that it is left alone then, doubled by each failure after that,
	DefaultBreakerMaxBackoffMillis = 5000.0  // up to this
	MaxCommitWaitMillis            = 10000.0 // ms, for a commit too
	MaxCoverageLeaseMillis         = 60000.0 // ms
	MaxBreakerBackoffMillis        = 600000.0
	MaxResponseRetentionMillis     = 7 * 24 * 3.6e6 // ms
	LargestMaxSegments             = 1024
	LargestMaxStoredResponseBytes  = 1 << 30 // bytes
)

// Policy tells what becomes of once-only txns that can't be written down.
type UnwrittenPolicy uint8

// The policies.
const (
	RefuseUnwritten UnwrittenPolicy = iota // they are not sent, and declined
	ServeUnwritten                         // they are sent, and for as long the journal answers unknown rather than not sent
)

func (p UnwrittenPolicy) String() string {
	if p == ServeUnwritten {
		return "serve"
	}
	return "refuse"
}

// Terms say how a journal is kept. Times are in ms, sizes in bytes.
type Config struct {
	Policy                                        UnwrittenPolicy
	BatchWindowMillis                             float64 // a group waits for company
	CommitWaitMillis                              float64 // a txn waits for its group, and at most
	SlowCommitMillis                              float64 // a commit may take
	CoverageLeaseMillis                           float64 // under Serve: how far ahead it is promised that nothing is sent unwritten
	SegmentBytes                                  int
	MaxSegments                                   int // kept, at most
	MaxTxns                                       int // remembered, at most
	MaxResponseBytes                              int // of an answer that is kept
	MaxStoredResponseBytes                        int // of all that are kept in memory
	ResponseRetentionMillis                       float64
	BreakerThreshold                              int // failures until the disk is left alone
	BreakerBackoffMillis, BreakerMaxBackoffMillis float64
}

// DefaultTerms are the terms where an operator says nothing.
func DefaultConfig() Config {
	return Config{
		BatchWindowMillis:       DefaultBatchWindowMillis,
		CommitWaitMillis:        DefaultCommitWaitMillis,
		SlowCommitMillis:        DefaultSlowCommitMillis,
		CoverageLeaseMillis:     DefaultCoverageLeaseMillis,
		SegmentBytes:            DefaultSegmentBytes,
		MaxSegments:             DefaultMaxSegments,
		MaxTxns:                 DefaultMaxTxns,
		MaxResponseBytes:        DefaultMaxResponseBytes,
		MaxStoredResponseBytes:  DefaultMaxStoredResponseBytes,
		ResponseRetentionMillis: DefaultResponseRetentionMillis,
		BreakerThreshold:        DefaultBreakerThreshold,
		BreakerBackoffMillis:    DefaultBreakerBackoffMillis,
		BreakerMaxBackoffMillis: DefaultBreakerMaxBackoffMillis,
	}
}

// End is what became of a submission.
type Outcome uint8

// The ends.
const (
	OutcomePending     Outcome = iota // nothing is known yet
	OutcomeCompleted                  // the worker has answered that it is done
	OutcomeUnknown                    // it may have run
	OutcomeNotExecuted                // it never ran: it was not written whole, or the worker says so
)

var outcomeNames = [...]string{"open", "settled", "may have run", "never ran"}

func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown end"
}

// Verdict answers whether a txn went out.
type Verdict uint8

// The three answers.
const (
	NotSent       Verdict = iota // nothing that could run went out
	SentUnknown                  // it went out, or may have, and nobody here knows what became of it
	SentCompleted                // it went out, and is done
)

var verdictNames = [...]string{"not sent", "sent, outcome unknown", "sent and settled"}

func (v Verdict) String() string { return verdictNames[v] }

// Answer is a worker's answer to a settled txn.
type Response struct {
	ContentType, ContentEncoding string
	Body                         []byte
	Stored                       bool // it is kept; else only that there was one
}

// Txn is a once-only txn as the journal knows it. Clients name it by Mark, their X-Request-Id; two customers'
// are two txns, whatever their marks.
type Txn struct {
	Customer  uint64
	RequestID string
	Product   string
	Digest    uint32 // of its target and body: under the same mark another one does not get its answer
}

// Sub names a submission: Number among all that a life means to send, N among those of its txn.
type AttemptID struct {
	Sequence uint64
	Ordinal  int
}

// Kind tells what a Record speaks of.
type Kind uint8

// The kinds. The first three are of txns.
const (
	KindIntent     Kind = iota + 1 // a submission is about to be written to Worker; it may go out once this is durable
	KindOutcome                    // how it ended
	KindSnapshot                   // all that is known of a txn, from segments that are let go
	KindCoverage                   // under Serve: nothing is sent unwritten until To
	KindCheckpoint                 // segments below Below are of no more use; what was forgotten is no later than To
	KindRetired                    // this life means nothing any more: it ends, or another process goes on
	KindClockStep                  // the system's clock was set meanwhile: all before was before To
	kindCount
)

var kindNames = [...]string{"", "meant", "ended", "kept", "covers", "checked", "gone", "stepped"}

func (k Kind) String() string {
	if k > 0 && k < kindCount {
		return kindNames[k]
	}
	return "unknown kind"
}

// Record is one entry of the journal.
type Record struct {
	Kind              Kind
	Incarnation       uint32 // incarnation that wrote it
	Batch             uint32 // commit that it came with, counted in its segment
	TimeMillis        float64
	Txn               Txn
	Attempt           AttemptID
	Worker            string
	ExpiryMillis      float64 // when the txn is to have its final answer; 0 where that is not known yet
	Outcome           Outcome
	Response          Response
	FirstIntentMillis float64 // of Kept: when the txn was first meant
	UntilMillis       float64
	FirstLiveSegment  uint64
}

// Head opens a segment.
type SegmentHeader struct {
	Number            uint64 // of the segment
	Incarnation       uint32
	Policy            UnwrittenPolicy
	CreatedMillis     float64
	BootID            uint32  // stands for a start of the machine
	ClockOffsetMillis float64 // of the system's clock against the machine's uptime, ms
	Instance          string  // of the gatekeeper
	Version           int
	Unsupported       bool // its version is not known here
	Corrupt           bool // it can't be read
}

// Span is a time in which what was sent may not be in the journal.
type UncertainPeriod struct {
	FromMillis, ToMillis float64
	Reason               string
}

func clockStepped(a, b *SegmentHeader) bool {
	return a.BootID == b.BootID && a.BootID != 0 &&
		math.Abs(a.ClockOffsetMillis-b.ClockOffsetMillis) > clockSlackMillis
}
