// Package distribution decides how agreed rules go from a small quorum to thousands of gatekeepers: by relays
// that
// ask those above them and answer those below. It is free of I/O and clocks; a host tells it the time and
// what has come, and pulls what follows. docs/relay-design.md has the reasons.
package distribution

import (
	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// Form is that of the questions and answers which this program writes and reads.
const FormatVersion = 1

// HostStep says that all processes of a host's gatekeepers go by what was said at a step, or later.
type HostStep = ruleset.HostStep

// Ask is a question to one above. All but its head is what the asker has, so that an answer brings no more.
type Request struct {
	FormatVersion int              `cbor:"1,keyasint"`
	Cluster       string           `cbor:"2,keyasint"`
	Sender        string           `cbor:"3,keyasint"` // the asker's name
	Interest      ruleset.Interest `cbor:"4,keyasint"`
	Step          uint64           `cbor:"5,keyasint,omitempty"` // of what it goes by; 0 is nothing
	// Rules is what it has, as a base for deltas; none: it wants the whole.
	Rules   versioned.Mark `cbor:"6,keyasint,omitzero"`
	Pending versioned.Mark `cbor:"7,keyasint,omitzero"`
	// Quiet: nothing but a renewal. It was told to wait for a whole and is waiting, or asks beside another.
	RenewalOnly bool       `cbor:"8,keyasint,omitempty"`
	HostSteps   []HostStep `cbor:"9,keyasint,omitempty"` // news, up to MostTold
	// Index is the highest of discovery's list that is known at the asker and below; below nought: none.
	DiscoveryIndex int64 `cbor:"10,keyasint"`
	// Process and Holds are a gatekeeper's to its own host's daemon: its process id, and ruleset.Holder.Holds.
	ProcessID int    `cbor:"11,keyasint,omitempty"`
	HeldStep  uint64 `cbor:"12,keyasint,omitempty"`
	// Number is the asker's own, another one for each question.
	Nonce uint64 `cbor:"13,keyasint,omitempty"`
}

// Answer is what is told.
type Response struct {
	FormatVersion int    `cbor:"1,keyasint"`
	Cluster       string `cbor:"2,keyasint"`
	Sender        string `cbor:"3,keyasint"` // the answerer's name
	// Life is what its process drew at its start: another one has forgotten what it was told.
	Incarnation uint64 `cbor:"4,keyasint"`
	Depth       int    `cbor:"5,keyasint,omitempty"` // of relays up to the council; 0 is a council's own daemon
	Step        uint64 `cbor:"6,keyasint,omitempty"` // of what was said; 0: it knows nothing
	Settled     bool   `cbor:"7,keyasint,omitempty"`
	// Age is the ms from before the quorum's read began until this was made, after the question came.
	AgeMillis float64 `cbor:"8,keyasint"`
	// Index is the highest of discovery's list that is known anywhere; below nought: none.
	DiscoveryIndex int64          `cbor:"9,keyasint"`
	Rules          versioned.Mark `cbor:"10,keyasint,omitzero"`
	Pending        versioned.Mark `cbor:"11,keyasint,omitzero"` // none: nothing is pending
	// RulesDelta is nil where the asker has them, or at Busy; PendingDelta is against the answer's rules.
	RulesDelta   *versioned.Delta `cbor:"12,keyasint,omitempty"`
	PendingDelta *versioned.Delta `cbor:"13,keyasint,omitempty"`
	// Busy, over 0: there was no room for a whole; ask quietly for up to so many ms.
	RetryAfterMillis float64 `cbor:"14,keyasint,omitempty"`
	// Number is the question's. An answer that came for a later question than its own would be taken for younger
	// than it is. Nought: the host sees to that.
	Nonce uint64 `cbor:"15,keyasint,omitempty"`
}

// View is what is known at a moment, by one's own clock.
type Snapshot struct {
	Step            uint64
	Settled         bool
	ReadStartMillis float64          // ms: no later than the quorum's read began which this rests on
	Rules           *versioned.State // in force then
	Pending         *versioned.State // agreed and waiting; nil: nothing
	DiscoveryIndex  int64            // highest index of discovery's list; below nought: none is known
	Depth           int              // of relays between this one and the council, this one too
}

// Age is how old a view is at a time, ms.
func (v *Snapshot) AgeMillis(now float64) float64 { return now - v.ReadStartMillis }

// Kind is what a Decision asks for.
type ActionKind uint8

// The kinds.
const (
	SendRequest ActionKind = iota + 1 // Ask the Upstream, and note the time before; give up after Within
	// another step, other rules, settled, or lost. A renewal is none: see Follower.View
	NotifyUpdate
	ScheduleWake // call Clock again at time At
)

// Decision is one thing for the host to do.
type Action struct {
	Kind          ActionKind
	Upstream      int      // AskOf: its place in the list of upstreams
	Request       *Request // AskOf
	TimeoutMillis float64  // AskOf: ms after which no answer is waited for; Failed is to be told then
	WakeAtMillis  float64  // Wake
}

// Config is what a Follower is made with.
type FollowerConfig struct {
	Name           string // of the asker, in Ask.From
	Cluster        string
	Upstreams      int // how many there are to ask
	Interest       ruleset.Interest
	LeaseMillis    float64 // ms, until rules say what theirs is
	IntervalMillis float64 // ms between two questions; 0: by PerLease
	// questions in a lease, whatever that is; 0: ten. A relay that many hang on asks twenty
	RequestsPerLease int
	Seed             int64 // of the order of upstreams and of jitter
	// Booked: the one upstream keeps books on this very process (a host's daemon, on its gatekeepers), so that
	// it may go by what was read before it began. All others may not.
	UpstreamTracksProcess bool
}

// Bounds are those of a Source. 0 is the default.
type SourceConfig struct {
	RetainedVersions        int     // kept to make deltas from
	CachedSelections        int     // by interest that are kept of the latest version
	TrackedClients          int     // of whom the index of discovery's list is kept
	TrackedHosts            int     // whose steps are kept
	FullStateBytesPerSecond float64 // bytes a second of whole states
	FullStateBurstBytes     float64 // bytes of whole states at once
	Incarnation             uint64  // to be drawn anew by each process; 0 is 1
}

// Counts are what a Follower has met. What is refused changes nothing.
type FollowerCounts struct {
	Requests     int64 `json:"Asked"`   // questions
	Failed       int64 `json:"Failed"`  // without an answer in time
	Renewals     int64 `json:"Renewed"` // words that brought no other step
	Updates      int64 `json:"Taken"`   // words of another step
	Deltas       int64 `json:"Deltas"`  // states made by a delta
	FullStates   int64 `json:"Wholes"`  // states that came whole
	Stale        int64 `json:"Late"`    // words of a lower step, or of an older read
	BeforeStart  int64 `json:"Before"`  // read before this process began
	Expired      int64 `json:"Lapsed"`  // whose lease is over
	Empty        int64 `json:"Empty"`   // from one that knows nothing
	Deferred     int64 `json:"Busy"`    // from one without room for a whole
	Incompatible int64 `json:"Foreign"` // of another form or cluster
	// with figures that are none, or that contradict what is known of that step
	Invalid          int64 `json:"Bad"`
	BaseMismatches   int64 `json:"Base"`     // deltas against another state
	DigestMismatches int64 `json:"Digest"`   // deltas whose result has another digest
	MissingDeltas    int64 `json:"Missing"`  // a version that is not here, without a delta
	UpstreamSwitches int64 `json:"Switched"` // times that another upstream was gone over to
	DroppedHosts     int64 `json:"Dropped"`  // facts on hosts beyond the bound
	LeaseExpirations int64 `json:"Lost"`     // times that the lease ran out
}
