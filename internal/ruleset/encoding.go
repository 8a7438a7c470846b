package ruleset

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MostBytes is the longest entry, answer or snapshot that is read. A snapshot has up to ten versions: in
// force, pending, and eight that may be fallen back to, each of the 2 MB that a council takes as an entry.
const MaxEncodedBytes = 24 << 20

// Lease is what a daemon tells an instance: what the council said at a moment, and how long ago that was.
type Lease struct {
	Step                      uint64  // of what was said; the later one holds
	Version                   Version // in force at that moment
	TransitionComplete        bool    // nobody acts on a version before it any more
	Pending                   *Rules  // what is agreed and waits, if anything
	AgeMillis                 float64 // ms from before the reading began until the answer was sent
	UnsupportedFeature        string  // what of Version.Rules this program does not know; they are empty then
	PendingUnsupportedFeature string  // and what of Pending
}

// envelope has the rules as they were written, as a program may not know all of them.
type leaseJSON struct {
	Step               uint64          `json:"Step"`
	Number             uint64          `json:"Number"`
	Rules              json.RawMessage `json:"Rules"`
	TransitionComplete bool            `json:"Settled"`
	Pending            json.RawMessage `json:"Pending,omitempty"`
	AgeMillis          float64         `json:"Age"`
}

// Bytes is a lease as it is sent.
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

// ReadLease reads one as it was sent. Rules that this program does not know whole are left empty and named.
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

// known reads rules, and names what of them is not known here.
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

// Bytes is an entry as it stands in the log.
func (e LogEntry) Encode() ([]byte, error) { return json.Marshal(e) }

// ReadEntry reads one. An entry that this program does not know whole is an error, and a daemon that meets
// one in the log must stop there: to leave it out would part it from the others for good.
func DecodeLogEntry(raw []byte) (LogEntry, error) {
	var entry LogEntry
	if err := decodeStrict(raw, &entry); err != nil {
		return LogEntry{}, fmt.Errorf("entry: %w", err)
	}
	if entry.Rules != nil {
		if feature := UnsupportedFeature(entry.Rules); feature != "" {
			return LogEntry{}, fmt.Errorf("entry: rules need %q, which is not known here", feature)
		}
	}
	return entry, nil
}

// decode reads JSON in which every field has to be known.
func decodeStrict(raw []byte, into any) error {
	if len(raw) > MaxEncodedBytes {
		return fmt.Errorf("%d bytes are too many", len(raw))
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("there is more after the end")
	}
	return nil
}
