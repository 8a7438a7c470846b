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
	Version = 1
	// Oldest is the oldest version that is read.
	Oldest = 1

	slack     = 1000.0  // ms by which clocks may disagree, or records be out of order; more is a step
	longest   = 255     // bytes of a name or a mark; the front lets marks of 64 in
	mostBody  = 1 << 20 // bytes of an answer that a record may hold; bounds what a damaged length asks for
	mostSpans = 64      // doubts told of one by one; what is older is taken as one

	DefaultWindow    = 0.0      // ms that a group waits for company; what comes during a write is company enough
	LongestWindow    = 1000.0   // ms
	DefaultWait      = 150.0    // ms that a txn waits for its group; over the stalls of a usual disk
	DefaultSlow      = 100.0    // ms that a commit may take; slower ones would use the wait up
	DefaultLease     = 1000.0   // ms that a promise lasts to send nothing unwritten; an outage costs so much
	DefaultSegment   = 4 << 20  // bytes; some ten thousand txns
	LeastSegment     = 64 << 10 // bytes
	MostSegment      = 64 << 20 // bytes; a reader holds one in memory
	DefaultSegments  = 16       // kept; 64 MB in all
	LeastSegments    = 3        // one written, one checked, one to go
	DefaultTxns      = 100000   // remembered in memory; some 20 MB
	MostTxns         = 1 << 22
	DefaultAnswer    = 4096    // bytes of an answer that is kept
	DefaultAnswers   = 8 << 20 // bytes of answers kept in memory
	DefaultRemember  = 3.6e6   // ms that an answer is kept
	DefaultAfter     = 3       // failures one after another until the disk is left alone
	DefaultPause     = 200.0   // ms that it is left alone then, doubled by each failure after that,
	DefaultMostPause = 5000.0  // up to this
	LongestWait      = 10000.0 // ms, for a commit too
	LongestLease     = 60000.0 // ms
	LongestPause     = 600000.0
	LongestMemory    = 7 * 24 * 3.6e6 // ms
	MostSegments     = 1024
	MostAnswers      = 1 << 30 // bytes
)

// Policy tells what becomes of once-only txns that can't be written down.
type Policy uint8

// The policies.
const (
	Refuse Policy = iota // they are not sent, and declined
	Serve                // they are sent, and for as long the journal answers unknown rather than not sent
)

func (p Policy) String() string {
	if p == Serve {
		return "serve"
	}
	return "refuse"
}

// Terms say how a journal is kept. Times are in ms, sizes in bytes.
type Terms struct {
	Policy           Policy
	Window           float64 // a group waits for company
	Wait             float64 // a txn waits for its group, and at most
	Slow             float64 // a commit may take
	Lease            float64 // under Serve: how far ahead it is promised that nothing is sent unwritten
	Segment          int
	Segments         int // kept, at most
	Txns             int // remembered, at most
	Answer           int // of an answer that is kept
	Answers          int // of all that are kept in memory
	Remember         float64
	After            int // failures until the disk is left alone
	Pause, MostPause float64
}

// DefaultTerms are the terms where an operator says nothing.
func DefaultTerms() Terms {
	return Terms{Window: DefaultWindow, Wait: DefaultWait, Slow: DefaultSlow, Lease: DefaultLease,
		Segment: DefaultSegment, Segments: DefaultSegments, Txns: DefaultTxns, Answer: DefaultAnswer,
		Answers: DefaultAnswers, Remember: DefaultRemember, After: DefaultAfter, Pause: DefaultPause,
		MostPause: DefaultMostPause}
}

// End is what became of a submission.
type End uint8

// The ends.
const (
	Open    End = iota // nothing is known yet
	Settled            // the worker has answered that it is done
	MayRun             // it may have run
	Never              // it never ran: it was not written whole, or the worker says so
)

var ends = [...]string{"open", "settled", "may have run", "never ran"}

func (e End) String() string {
	if int(e) < len(ends) {
		return ends[e]
	}
	return "unknown end"
}

// Verdict answers whether a txn went out.
type Verdict uint8

// The three answers.
const (
	NotSent     Verdict = iota // nothing that could run went out
	SentUnknown                // it went out, or may have, and nobody here knows what became of it
	SentSettled                // it went out, and is done
)

var verdicts = [...]string{"not sent", "sent, outcome unknown", "sent and settled"}

func (v Verdict) String() string { return verdicts[v] }

// Answer is a worker's answer to a settled txn.
type Answer struct {
	Type, Coding string
	Body         []byte
	Whole        bool // it is kept; else only that there was one
}

// Txn is a once-only txn as the journal knows it. Clients name it by Mark, their X-Request-Id; two customers'
// are two txns, whatever their marks.
type Txn struct {
	Customer uint64
	Mark     string
	Product  string
	Digest   uint32 // of its target and body: under the same mark another one does not get its answer
}

// Sub names a submission: Number among all that a life means to send, N among those of its txn.
type Sub struct {
	Number uint64
	N      int
}

// Kind tells what a Record speaks of.
type Kind uint8

// The kinds. The first three are of txns.
const (
	Meant   Kind = iota + 1 // a submission is about to be written to Worker; it may go out once this is durable
	Ended                   // how it ended
	Kept                    // all that is known of a txn, from segments that are let go
	Covers                  // under Serve: nothing is sent unwritten until To
	Checked                 // segments below Below are of no more use; what was forgotten is no later than To
	Gone                    // this life means nothing any more: it ends, or another process goes on
	Stepped                 // the system's clock was set meanwhile: all before was before To
	kinds
)

var kindNames = [...]string{"", "meant", "ended", "kept", "covers", "checked", "gone", "stepped"}

func (k Kind) String() string {
	if k > 0 && k < kinds {
		return kindNames[k]
	}
	return "unknown kind"
}

// Record is one entry of the journal.
type Record struct {
	Kind   Kind
	Life   uint32 // incarnation that wrote it
	Group  uint32 // commit that it came with, counted in its segment
	At     float64
	Txn    Txn
	Sub    Sub
	Worker string
	Expiry float64 // when the txn is to have its final answer; 0 where that is not known yet
	End    End
	Answer Answer
	First  float64 // of Kept: when the txn was first meant
	To     float64
	Below  uint64
}

// Head opens a segment.
type Head struct {
	Number     uint64 // of the segment
	Life       uint32
	Policy     Policy
	At         float64
	Boot       uint32  // stands for a start of the machine
	Offset     float64 // of the system's clock against the machine's uptime, ms
	Name       string  // of the gatekeeper
	Version    int
	Unreadable bool // its version is not known here
	Spoilt     bool // it can't be read
}

// Span is a time in which what was sent may not be in the journal.
type Span struct {
	From, To float64
	Why      string
}

func stepped(a, b *Head) bool {
	return a.Boot == b.Boot && a.Boot != 0 && math.Abs(a.Offset-b.Offset) > slack
}
