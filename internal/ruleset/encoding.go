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
const MostBytes = 24 << 20

// Lease is what a daemon tells an instance: what the council said at a moment, and how long ago that was.
type Lease struct {
	Step    uint64  // of what was said; the later one holds
	Version Version // in force at that moment
	Settled bool    // nobody acts on a version before it any more
	Pending *Rules  // what is agreed and waits, if anything
	Age     float64 // ms from before the reading began until the answer was sent
	Foreign string  // what of Version.Rules this program does not know; they are empty then
	Strange string  // and what of Pending
}

// envelope has the rules as they were written, as a program may not know all of them.
type envelope struct {
	Step    uint64          `json:"Step"`
	Number  uint64          `json:"Number"`
	Rules   json.RawMessage `json:"Rules"`
	Settled bool            `json:"Settled"`
	Pending json.RawMessage `json:"Pending,omitempty"`
	Age     float64         `json:"Age"`
}

// Bytes is a lease as it is sent.
func (l Lease) Bytes() ([]byte, error) {
	e := envelope{Step: l.Step, Number: l.Version.Number, Settled: l.Settled, Age: l.Age}
	var err, bad error
	e.Rules, err = json.Marshal(l.Version.Rules)
	if l.Pending != nil {
		e.Pending, bad = json.Marshal(l.Pending)
	}
	if err := errors.Join(err, bad); err != nil {
		return nil, err
	}
	return json.Marshal(e)
}

// ReadLease reads one as it was sent. Rules that this program does not know whole are left empty and named.
func ReadLease(raw []byte) (Lease, error) {
	var e envelope
	if len(raw) > MostBytes {
		return Lease{}, fmt.Errorf("lease: %d bytes are too many", len(raw))
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return Lease{}, fmt.Errorf("lease: %w", err)
	}
	l := Lease{Step: e.Step, Settled: e.Settled, Age: e.Age}
	l.Version.Number = e.Number
	l.Version.Rules, l.Foreign = known(e.Rules)
	if len(e.Pending) > 0 {
		var p Rules
		p, l.Strange = known(e.Pending)
		l.Pending = &p
	}
	return l, nil
}

// known reads rules, and names what of them is not known here.
func known(raw []byte) (Rules, string) {
	var head struct {
		Form  int      `json:"Form"`
		Needs []string `json:"Needs"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return Rules{}, err.Error()
	}
	if what := Unknown(&Rules{Form: head.Form, Needs: head.Needs}); what != "" {
		return Rules{}, what
	}
	var r Rules
	if err := decode(raw, &r); err != nil {
		return Rules{}, err.Error()
	}
	return r, ""
}

// Bytes is an entry as it stands in the log.
func (e Entry) Bytes() ([]byte, error) { return json.Marshal(e) }

// ReadEntry reads one. An entry that this program does not know whole is an error, and a daemon that meets
// one in the log must stop there: to leave it out would part it from the others for good.
func ReadEntry(raw []byte) (Entry, error) {
	var e Entry
	if err := decode(raw, &e); err != nil {
		return Entry{}, fmt.Errorf("entry: %w", err)
	}
	if e.Rules != nil {
		if what := Unknown(e.Rules); what != "" {
			return Entry{}, fmt.Errorf("entry: rules need %q, which is not known here", what)
		}
	}
	return e, nil
}

// decode reads JSON in which every field has to be known.
func decode(raw []byte, into any) error {
	if len(raw) > MostBytes {
		return fmt.Errorf("%d bytes are too many", len(raw))
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("there is more after the end")
	}
	return nil
}
