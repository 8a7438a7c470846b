package ruleset

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// EntryType is the operation that a LogEntry requests. The numbers are stored.
type EntryType uint8

// The types of entries, with the fields that each one uses.
const (
	EntryPropose  EntryType = iota + 1 // ID, Base, Rules: proposes Rules as the version after Base
	EntryWithdraw                      // ID, Base: withdraws the version that is pending after version Base
	EntryAck                           // Host, Step: all processes of Host act on Step or a later one
	EntryExpire                        // Step, Fallbacks: leases on the version superseded at Step have expired
	EntryAckBatch                      // Acks: the same as an EntryAck for each of many hosts
)

// HostAck acknowledges that every instance process of a host acts on a fencing step or a later one. Only the
// host's own daemon can determine that. Once true it stays true, so an acknowledgement may arrive late, more
// than once and by any route. It is sent as a CBOR array: the order of the fields is the encoding.
type HostAck struct {
	_    struct{} `cbor:",toarray"`
	Host string   `json:"Host"`
	Step uint64   `json:"Step"`
}

// LogEntry is one entry of the replicated log, stored as JSON.
type LogEntry struct {
	Type EntryType `json:"Act"`
	// ID identifies a proposal or a withdrawal; a second entry with the same ID is a duplicate.
	ID        string    `json:"ID,omitempty"`
	Base      uint64    `json:"Base,omitempty"` // number of the version that must be in force
	Rules     *Rules    `json:"Rules,omitempty"`
	Host      string    `json:"Host,omitempty"`
	Step      uint64    `json:"Step,omitempty"`
	Fallbacks bool      `json:"Fallbacks,omitempty"` // EntryExpire: the fallbacks have expired as well
	Acks      []HostAck `json:"Hosts,omitempty"`     // EntryAckBatch: up to MaxAcksPerEntry
}

// Outcome is the result of a LogEntry. It is part of the replicated state, texts included: different versions
// of this program must produce the same texts.
type Outcome struct {
	Rejection     string `json:"Refused,omitempty"` // the reason, which begins with the key; empty if accepted
	Version       uint64 `json:"Number,omitempty"`  // the version number that the proposal has or will have
	PendingReason string `json:"Waits,omitempty"`   // why the proposal is not in force yet; empty if it is
	Activated     uint64 `json:"InForce,omitempty"` // the version that this entry put in force; 0 if none
	Duplicate     bool   `json:"Again,omitempty"`   // an earlier entry had the same ID; this is its outcome
}

// Encode encodes the entry as it is stored in the log.
func (e LogEntry) Encode() ([]byte, error) { return json.Marshal(e) }

// DecodeLogEntry decodes an entry. It returns an error for an entry that this program does not support. A
// daemon that reads such an entry from the log must stop there: if it skipped the entry, its replica would
// diverge permanently.
func DecodeLogEntry(raw []byte) (LogEntry, error) {
	var entry LogEntry
	if err := decodeStrict(raw, &entry); err != nil {
		return LogEntry{}, fmt.Errorf("entry: %w", err)
	}
	if entry.Rules != nil {
		if feature := UnsupportedFeature(entry.Rules); feature != "" {
			return LogEntry{}, fmt.Errorf("entry: rules need %q, which this program does not support", feature)
		}
	}
	return entry, nil
}

// decodeStrict decodes JSON and rejects unknown fields and trailing data.
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
		return errors.New("trailing data after the JSON value")
	}
	return nil
}
