package ruleset

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// EntryType says what a LogEntry asks for. The numbers are stored.
type EntryType uint8

// The types of entries, with the fields that each one uses.
const (
	EntryPropose  EntryType = iota + 1 // ID, Base, Rules: these are to follow version Base
	EntryWithdraw                      // ID, Base: the version pending on top of Base is dropped
	EntryAck                           // Host, Step: all processes of a host act on that step or a later one
	EntryExpire                        // Step, Fallbacks: the leases on what ended at Step have expired
	EntryAckBatch                      // Acks: EntryAck of many hosts
)

// HostAck says that every gatekeeper process of a host acts on a fencing step or a later one. Only the host's
// own daemon can establish that. Once true it stays true, so that an acknowledgement may arrive late,
// duplicated and by any way. It is sent as a CBOR array: the order of the fields is the encoding.
type HostAck struct {
	_    struct{} `cbor:",toarray"`
	Host string   `json:"Host"`
	Step uint64   `json:"Step"`
}

// LogEntry is one entry of the replicated log, stored as JSON.
type LogEntry struct {
	Type EntryType `json:"Act"`
	// of the proposal; a second entry with the same one is a duplicate
	ID        string    `json:"ID,omitempty"`
	Base      uint64    `json:"Base,omitempty"` // the number of the version in force that it builds on
	Rules     *Rules    `json:"Rules,omitempty"`
	Host      string    `json:"Host,omitempty"`
	Step      uint64    `json:"Step,omitempty"`
	Fallbacks bool      `json:"Fallbacks,omitempty"` // EntryExpire: the fallbacks have expired as well
	Acks      []HostAck `json:"Hosts,omitempty"`     // EntryAckBatch: up to MaxAcksPerEntry
}

// Outcome is the result of a LogEntry. It is part of the replicated state with its texts: two versions of the
// program have to give the same ones.
type Outcome struct {
	Rejection     string `json:"Refused,omitempty"` // the reason, which names the key; empty if accepted
	Version       uint64 `json:"Number,omitempty"`  // the number that the proposal has or will have
	PendingReason string `json:"Waits,omitempty"`   // why it is not in force yet; empty if it is
	Activated     uint64 `json:"InForce,omitempty"` // the version that this entry has put in force
	Duplicate     bool   `json:"Again,omitempty"`   // the proposal came before, and this is its outcome
}

// Encode gives the entry as it stands in the log.
func (e LogEntry) Encode() ([]byte, error) { return json.Marshal(e) }

// DecodeLogEntry reads an entry. One that this program does not support is an error, and a daemon that meets
// it in the log must stop there: to skip it would make its replica diverge for good.
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

// decodeStrict reads JSON in which every field has to be known.
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
