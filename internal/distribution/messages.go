package distribution

import (
	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// FormatVersion is the version of the messages that this program writes and reads.
const FormatVersion = 1

// HostAck is a host's acknowledgement that all of its gateway processes act on a step, or on a later one.
// Once true it stays true.
type HostAck = ruleset.HostAck

// Request asks an upstream for its current state. Step, Rules and Pending name what the sender has, so that
// the response carries no more than the difference.
type Request struct {
	FormatVersion int              `cbor:"1,keyasint"`
	Cluster       string           `cbor:"2,keyasint"`
	Sender        string           `cbor:"3,keyasint"`           // the requester's name
	Interest      ruleset.Interest `cbor:"4,keyasint"`           // the part of the ruleset that is wanted
	Step          uint64           `cbor:"5,keyasint,omitempty"` // the requester's own; 0: it has none
	// Rules names the state that a delta may be against. Without an ID the requester wants a full state.
	Rules   versioned.VersionID `cbor:"6,keyasint,omitzero"`
	Pending versioned.VersionID `cbor:"7,keyasint,omitzero"`
	// RenewalOnly asks for no state: the requester was deferred, or asks beside its current upstream.
	RenewalOnly bool `cbor:"8,keyasint,omitempty"`
	// HostAcks are those that the upstream may not have, MaxHostAcks at most.
	HostAcks []HostAck `cbor:"9,keyasint,omitempty"`
	// DiscoveryIndex is the highest index of the discovery service's list that is known at the requester and
	// below it; negative: none.
	DiscoveryIndex int64 `cbor:"10,keyasint"`
	// ProcessID and AckedStep are set by a gateway that asks the daemon of its own host: its process id, and
	// what ruleset.LeaseHolder.AckedStep returns.
	ProcessID int    `cbor:"11,keyasint,omitempty"`
	AckedStep uint64 `cbor:"12,keyasint,omitempty"`
	// Nonce is the requester's own and differs between its requests.
	Nonce uint64 `cbor:"13,keyasint,omitempty"`
}

// Response answers a Request with what the responder knows.
type Response struct {
	FormatVersion int    `cbor:"1,keyasint"`
	Cluster       string `cbor:"2,keyasint"`
	Sender        string `cbor:"3,keyasint"` // the responder's name
	// Incarnation is drawn by the responder's process at its start. A responder with another incarnation has
	// lost the acknowledgements that it was sent.
	Incarnation uint64 `cbor:"4,keyasint"`
	// relays up to the raft group; 0: the responder is a voter
	Depth              int    `cbor:"5,keyasint,omitempty"`
	Step               uint64 `cbor:"6,keyasint,omitempty"` // 0: the responder knows nothing
	TransitionComplete bool   `cbor:"7,keyasint,omitempty"` // nobody acts on an earlier version any more
	// AgeMillis is the time from before the quorum read began until the response was made. The responder reads
	// its clock after the request has come.
	AgeMillis float64 `cbor:"8,keyasint"`
	// DiscoveryIndex is the highest index of the discovery service's list that is known anywhere; negative:
	// none.
	DiscoveryIndex int64               `cbor:"9,keyasint"`
	Rules          versioned.VersionID `cbor:"10,keyasint,omitzero"`
	Pending        versioned.VersionID `cbor:"11,keyasint,omitzero"` // none: no version is pending
	// RulesDelta is nil where the requester has the rules, and where it is deferred. PendingDelta is against the
	// response's Rules.
	RulesDelta   *versioned.Delta `cbor:"12,keyasint,omitempty"`
	PendingDelta *versioned.Delta `cbor:"13,keyasint,omitempty"`
	// RetryAfterMillis above 0 defers a full state, for which there is no capacity: the requester is to ask for
	// renewals alone for a random part of this time.
	RetryAfterMillis float64 `cbor:"14,keyasint,omitempty"`
	// Nonce is the request's. A response that was taken for one to a later request would count as younger than
	// it is. 0: the host matches responses to requests itself.
	Nonce uint64 `cbor:"15,keyasint,omitempty"`
}

// Snapshot is what a process knows at a moment, by its own clock.
type Snapshot struct {
	Step               uint64
	TransitionComplete bool // nobody acts on an earlier version any more
	// ReadStartMillis is a time before which the quorum read did not begin on which the snapshot rests.
	ReadStartMillis float64
	Rules           *versioned.State // in force at the read
	Pending         *versioned.State // committed, and not in force yet; nil: none
	DiscoveryIndex  int64            // the highest of the discovery service's list; negative: none is known
	Depth           int              // relays between this process and the raft group, this one included
}

// AgeMillis is the age of the snapshot at a time.
func (s *Snapshot) AgeMillis(now float64) float64 { return now - s.ReadStartMillis }
