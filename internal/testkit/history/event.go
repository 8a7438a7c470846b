package history

// Kind tells what an Event speaks of.
type Kind string

// The kinds. Who writes one, and when: an act is written before it is done where a check would else miss one
// that a crash cut short, and so is said here.
const (
	Began  Kind = "began"  // any: a process has started a life
	Gone   Kind = "gone"   // any: a life ends by its own will, and its record is whole
	Acts   Kind = "acts"   // a gatekeeper: it goes by Version from now on, in Mode; before it does
	Gives  Kind = "gives"  // a daemon: Version is in force as far as it has been told
	Wants  Kind = "wants"  // an operator or daemon: Version is proposed, in place of Base
	Taken  Kind = "taken"  // the council: Version is in force in place of Base; Says has the reason of a refusal
	Sends  Kind = "sends"  // a gatekeeper: Txn of Customer goes to Worker by Version; before the first byte
	Got    Kind = "got"    // a worker: Txn has come whole, with the Version that it names
	Asks   Kind = "asks"   // a client: Txn is sent to Peer
	Ends   Kind = "ends"   // a client: Txn has its final answer, which Says names
	Lends  Kind = "lends"  // a gatekeeper: Units of credit are drawn for Customer; before they are used
	Repays Kind = "repays" // a gatekeeper: Units of Customer's debt at Peer (or its own) are paid back
	Hands  Kind = "hands"  // a gatekeeper: a right to Units goes to Peer; before it is said. Serial is its place
	Takes  Kind = "takes"  // a gatekeeper: a right to Units has come from Peer, with its Serial
	Heard  Kind = "heard"  // any: a message of Peer with Serial was believed
	Holds  Kind = "holds"  // a gatekeeper: its right to Customer's line is now Units by Version, whatever it was
	Back   Kind = "back"   // a gatekeeper or worker: submission Serial of Txn is over; Says what that proves
	Ran    Kind = "ran"    // a worker: submission Serial of Txn has run
	Told   Kind = "told"   // a gatekeeper: it is told of Worker, which in Mode Active may be sent to, else not
	Faults Kind = "faults" // the rig: a step of the schedule is done; Says has it
	Died   Kind = "died"   // the rig: Peer was killed; once it is gone
	Stalls Kind = "stalls" // the rig: Peer stands still; once it does
	Wakes  Kind = "wakes"  // the rig: Peer goes on; before it does
)

var kinds = map[Kind]bool{Began: true, Gone: true, Acts: true, Gives: true, Wants: true, Taken: true,
	Sends: true, Got: true, Asks: true, Ends: true, Lends: true, Repays: true, Hands: true, Takes: true,
	Heard: true, Holds: true, Back: true, Ran: true, Told: true, Faults: true, Died: true, Stalls: true,
	Wakes: true}

// The modes of Acts. Any other counts as Leased.
const (
	Leased   = "lease"    // by a lease on the version
	Fallback = "fallback" // by the version's own fallback
	Bare     = "bare"     // by no version: it may send nothing that a version limits
)

// Active is the Mode of Told for a worker that may be sent to.
const Active = "active"

// What Back says that the end of a submission proves, and what Ends says besides the three answers.
const (
	NeverRan = "never ran"
	MayRun   = "may have run"
	Answered = "answered"
	Left     = "left" // the client waits no longer: no answer is owed
	Settled  = "settled"
	Declined = "declined"
	Voided   = "voided"
)

// Event is one line of a record. Fields that a Kind does not speak of are left out.
type Event struct {
	At       int64   `json:"at"` // ns of the machine's monotonic clock
	Who      string  `json:"who"`
	Life     uint32  `json:"life,omitempty"` // incarnation
	Seq      uint64  `json:"seq"`            // place in its record, from 1 in each life
	Kind     Kind    `json:"kind"`
	Version  uint64  `json:"version,omitempty"`
	Base     uint64  `json:"base,omitempty"`
	Mark     string  `json:"mark,omitempty"` // a digest of what Version holds
	Mode     string  `json:"mode,omitempty"`
	Txn      string  `json:"txn,omitempty"`
	Customer uint64  `json:"customer,omitempty"`
	Plan     string  `json:"plan,omitempty"`
	Product  string  `json:"product,omitempty"`
	Worker   string  `json:"worker,omitempty"`
	Peer     string  `json:"peer,omitempty"`
	PeerLife uint32  `json:"peer_life,omitempty"` // incarnation of Peer
	Units    float64 `json:"units,omitempty"`
	Serial   uint64  `json:"serial,omitempty"`
	Expiry   int64   `json:"expiry,omitempty"` // ns of the same clock: until when the client of Asks waits
	Age      float64 `json:"age,omitempty"`    // ms: what Gives tells was in force at a moment no longer ago
	Says     string  `json:"says,omitempty"`
}

// Recorder takes events. A nil one takes none, so that a program without a record pays a branch.
type Recorder interface {
	// Write fills in At, Who, Life and Seq, and returns once the line would outlive a kill of the process.
	Write(Event)
}
