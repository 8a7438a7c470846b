package tallyhistory

import "time"

// Kind is what an Event records.
type Kind int

// Kinds of events.
const (
	Add         Kind = iota // an attempt of an add at one core; attempts of one add have the same Tally and ID
	Read                    // a read of Total at one core
	FinalRead               // a read at the end of the run, which must be answered and lack no acknowledged add
	Disturbance             // a fault from Started to Ended; Partition marks a network partition
	DiskLoss                // Core lost its disk at Started
)

// Outcome is the response to an add or a read.
type Outcome int

// Outcomes.
const (
	Unknown      Outcome = iota // no response, or one that does not tell whether the add counts
	Acknowledged                // 200
	Refused                     // 429 or 503: the request was not executed
)

// Event is one event of a history. All times of a history are measured from the same moment, which is
// arbitrary.
type Event struct {
	Kind        Kind
	Core        string // the machine that was called, or that lost its disk
	Incarnation string // incarnation of the core; if it is "" (unknown), fewer rules are checked
	Tally       string
	ID          string
	Amount      uint64
	Total       uint64
	Outcome     Outcome
	Started     time.Duration // the caller sent the request; a fault began
	Ended       time.Duration // the caller had the response or gave up; a fault ended
	Partition   bool          // of a disturbance: it is a network partition between cores
}

// Limits are the durations that the rules depend on.
type Limits struct {
	Merge time.Duration // time without disturbances after which all cores hold all earlier acknowledged adds
	// Reconnect is the time that cores take to notice the end of a partition. An add acknowledged until then
	// may be lost with the disk of its core, like those acknowledged during the partition. 0 allows no such
	// time.
	Reconnect time.Duration
}

// Rule is a rule that a history may violate.
type Rule string

// Rules.
const (
	// Twice is violated by a read that returns more than the sum of all adds that could have counted.
	Twice Rule = "TWICE"
	// Stale is violated by a read that lacks an add which the same incarnation acknowledged earlier, or which
	// any core acknowledged at least Limits.Merge earlier with no disturbance since.
	Stale Rule = "STALE"
	// Lost is violated by a final read that is not answered, or that lacks an add acknowledged at least
	// Limits.Merge earlier.
	Lost Rule = "LOST"
	// Backwards is violated by a read that returns less than an earlier read of the same incarnation.
	Backwards Rule = "BACKWARDS"
)

// Violation is a read that violates a rule.
type Violation struct {
	Rule    Rule
	Read    Event
	Message string
}

// String returns the violation as one line.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Message }
