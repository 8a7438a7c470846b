package history

// Kind is what an Event records.
type Kind string

// The kinds. Each comment says who writes one and when: an act is written before it is done where a check
// would otherwise miss one that a crash cut short. The values are fixed: they are in record files.
const (
	// Began is written by any process: an incarnation has started.
	Began Kind = "began"
	// Gone is written by any process: an incarnation ends by itself, and its record is complete.
	Gone Kind = "gone"
	// Acts is written by a gateway: it acts on Version from now on, in Mode; before it does.
	Acts Kind = "acts"
	// ReportedInForce is written by a daemon: Version is in force as far as it was notified.
	ReportedInForce Kind = "gives"
	// Proposed is written by an operator or daemon: Version is proposed, in place of Base.
	Proposed Kind = "wants"
	// Decided is written by the raft group: Version is in force in place of Base; Says has the reason of a
	// rejection.
	Decided Kind = "taken"
	// Sends is written by a gateway: Txn of Customer goes to Worker by Version; before the first byte.
	Sends Kind = "sends"
	// Got is written by a worker: Txn was received completely, with the Version that it names.
	Got Kind = "got"
	// Asks is written by a client: Txn is sent to Peer.
	Asks Kind = "asks"
	// Ends is written by a client: Txn has its final answer, which Says names.
	Ends Kind = "ends"
	// Lends is written by a gateway: Units of credit are drawn for Customer; before they are used.
	Lends Kind = "lends"
	// Repays is written by a gateway: Units of Customer's debt at Peer (or its own) are paid back.
	Repays Kind = "repays"
	// Hands is written by a gateway: a right to Units goes to Peer; before it is said. Serial is its place.
	Hands Kind = "hands"
	// Takes is written by a gateway: a right to Units has come from Peer, with its Serial.
	Takes Kind = "takes"
	// Received is written by any process: a message of Peer with Serial was accepted.
	Received Kind = "heard"
	// Holds is written by a gateway: its right to Customer's line is now Units by Version, whatever it was.
	Holds Kind = "holds"
	// AttemptEnded is written by a gateway or worker: attempt Serial of Txn has ended; Says what that proves.
	AttemptEnded Kind = "back"
	// Ran is written by a worker: attempt Serial of Txn has run.
	Ran Kind = "ran"
	// Notified is written by a gateway: it was notified of Worker, which in Mode Active may be sent to, else
	// not.
	Notified Kind = "told"
	// Faults is written by the rig: a step of the schedule is done; Says has it.
	Faults Kind = "faults"
	// Died is written by the rig: Peer was killed; once it is gone.
	Died Kind = "died"
	// Stalls is written by the rig: Peer is stalled; once it is.
	Stalls Kind = "stalls"
	// Wakes is written by the rig: Peer is resumed; before it is.
	Wakes Kind = "wakes"
)

var kinds = map[Kind]bool{Began: true, Gone: true, Acts: true, ReportedInForce: true,
	Proposed: true, Decided: true,
	Sends: true, Got: true, Asks: true, Ends: true, Lends: true, Repays: true, Hands: true, Takes: true,
	Received: true, Holds: true, AttemptEnded: true, Ran: true, Notified: true, Faults: true, Died: true,
	Stalls: true, Wakes: true}

// The modes of Acts. Any other counts as Leased.
const (
	Leased   = "lease"    // by a lease on the version
	Fallback = "fallback" // by the version's own fallback
	Bare     = "bare"     // by no version: it may send nothing that a version limits
)

// Active is the Mode of Notified for a worker that may be sent to.
const Active = "active"

// What AttemptEnded says that the end of a submission proves, and what Ends says besides the three answers.
const (
	NeverRan  = "never ran"
	MayRun    = "may have run"
	Answered  = "answered"
	Left      = "left" // the client waits no longer: no answer is owed
	Succeeded = "settled"
	Declined  = "declined"
	Voided    = "voided"
)

// Event is one line of a record. Fields that a Kind does not speak of are left out.
type Event struct {
	At              int64   `json:"at"` // ns of the machine's monotonic clock
	Who             string  `json:"who"`
	Incarnation     uint32  `json:"life,omitempty"` // incarnation
	Seq             uint64  `json:"seq"`            // sequence number in its record, from 1 in each incarnation
	Kind            Kind    `json:"kind"`
	Version         uint64  `json:"version,omitempty"`
	Base            uint64  `json:"base,omitempty"`
	Digest          string  `json:"mark,omitempty"` // a digest of what Version holds
	Mode            string  `json:"mode,omitempty"`
	Txn             string  `json:"txn,omitempty"`
	Customer        uint64  `json:"customer,omitempty"`
	Plan            string  `json:"plan,omitempty"`
	Product         string  `json:"product,omitempty"`
	Worker          string  `json:"worker,omitempty"`
	Peer            string  `json:"peer,omitempty"`
	PeerIncarnation uint32  `json:"peer_life,omitempty"` // incarnation of Peer
	Units           float64 `json:"units,omitempty"`
	Serial          uint64  `json:"serial,omitempty"`
	// ns of the same clock: until when the client of Asks waits
	Expiry int64   `json:"expiry,omitempty"`
	Age    float64 `json:"age,omitempty"` // ms: Version was in force at most so long ago
	Says   string  `json:"says,omitempty"`
}

// Recorder takes events. A nil one takes none, so that a program without a record pays a branch.
type Recorder interface {
	// Write fills in At, Who, Life and Seq, and returns once the line would outlive a kill of the process.
	Write(Event)
}
