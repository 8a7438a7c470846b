package ruleset

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Lease is a daemon's grant to an instance: the replicated state as of a read, and the age of that read.
type Lease struct {
	Step               uint64  // fencing step; of two leases the one with the higher step is newer
	Version            Version // in force as of the read
	TransitionComplete bool    // no instance can have a lease on an earlier version any more
	Pending            *Rules  // accepted but not in force; nil if there is none
	AgeMillis          float64 // time from the start of the read to the sending of the lease
	// UnsupportedFeature names what this program does not support in Version.Rules, which are empty then. It is
	// empty if the rules are supported.
	UnsupportedFeature string
	// PendingUnsupportedFeature is the same for Pending.
	PendingUnsupportedFeature string
}

// leaseJSON is the encoding of a Lease. The rules are decoded separately, as the receiver may not support
// them.
type leaseJSON struct {
	Step               uint64          `json:"Step"`
	Number             uint64          `json:"Number"`
	Rules              json.RawMessage `json:"Rules"`
	TransitionComplete bool            `json:"Settled"`
	Pending            json.RawMessage `json:"Pending,omitempty"`
	AgeMillis          float64         `json:"Age"`
}

// Encode encodes the lease as JSON.
func (l Lease) Encode() ([]byte, error) {
	message := leaseJSON{Step: l.Step, Number: l.Version.Number, TransitionComplete: l.TransitionComplete,
		AgeMillis: l.AgeMillis}
	var err, pendingErr error
	message.Rules, err = json.Marshal(l.Version.Rules)
	if l.Pending != nil {
		message.Pending, pendingErr = json.Marshal(l.Pending)
	}
	if err := errors.Join(err, pendingErr); err != nil {
		return nil, err
	}
	return json.Marshal(message)
}

// DecodeLease decodes a lease. Rules that this program does not support are left empty, and the lease names
// what they need; see Lease.UnsupportedFeature.
func DecodeLease(raw []byte) (Lease, error) {
	var message leaseJSON
	if len(raw) > MaxEncodedBytes {
		return Lease{}, fmt.Errorf("lease: %d bytes are too many", len(raw))
	}
	if err := json.Unmarshal(raw, &message); err != nil {
		return Lease{}, fmt.Errorf("lease: %w", err)
	}
	lease := Lease{Step: message.Step, TransitionComplete: message.TransitionComplete,
		AgeMillis: message.AgeMillis}
	lease.Version.Number = message.Number
	lease.Version.Rules, lease.UnsupportedFeature = decodeSupportedRules(message.Rules)
	if len(message.Pending) > 0 {
		var pending Rules
		pending, lease.PendingUnsupportedFeature = decodeSupportedRules(message.Pending)
		lease.Pending = &pending
	}
	return lease, nil
}

// decodeSupportedRules decodes rules. If this program does not support them, it returns empty rules and the
// reason.
func decodeSupportedRules(raw []byte) (Rules, string) {
	var header struct {
		Form  int      `json:"Form"`
		Needs []string `json:"Needs"`
	}
	if err := json.Unmarshal(raw, &header); err != nil {
		return Rules{}, err.Error()
	}
	if feature := UnsupportedFeature(&Rules{Format: header.Form, Needs: header.Needs}); feature != "" {
		return Rules{}, feature
	}
	var rules Rules
	if err := decodeStrict(raw, &rules); err != nil {
		return Rules{}, err.Error()
	}
	return rules, ""
}
