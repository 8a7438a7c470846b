package ruleset

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Lease is a daemon's grant to a gatekeeper: the state at a moment, and how long ago that was.
type Lease struct {
	Step               uint64  // fencing step; the lease with the later one is newer
	Version            Version // in force at that moment
	TransitionComplete bool    // nobody acts on a version before it any more
	Pending            *Rules  // accepted but not in force; nil if none
	AgeMillis          float64 // from before the read began until the lease was sent
	// UnsupportedFeature names what of Version.Rules this program does not support; the rules are empty then.
	UnsupportedFeature string
	// PendingUnsupportedFeature is the same for Pending.
	PendingUnsupportedFeature string
}

// leaseJSON is a Lease as it is sent. Rules stay raw, as the receiver may not support all of them.
type leaseJSON struct {
	Step               uint64          `json:"Step"`
	Number             uint64          `json:"Number"`
	Rules              json.RawMessage `json:"Rules"`
	TransitionComplete bool            `json:"Settled"`
	Pending            json.RawMessage `json:"Pending,omitempty"`
	AgeMillis          float64         `json:"Age"`
}

// Encode gives the lease as it is sent.
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

// DecodeLease reads a lease. Rules that this program does not support are left empty, and what they need is
// named.
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

// decodeSupportedRules reads rules, or names what of them is not supported.
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
