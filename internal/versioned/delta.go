package versioned

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
)

// The errors for a delta that can't be applied.
var (
	// ErrBaseMismatch means that a delta was made against another state than the one that it is applied to.
	ErrBaseMismatch = errors.New("the delta is against another state than this")
	// ErrDigestMismatch means that a delta is corrupt: its result has another digest than its To.
	ErrDigestMismatch = errors.New("the digest of the result is not the delta's")
)

// Delta is the difference between two states. If From is the zero VersionID, it is a full state.
type Delta struct {
	_        struct{} `cbor:",toarray"`
	From, To VersionID
	Set      []Entry  // added, or with another value
	Delete   []string // keys
}

// Bytes returns the size of the delta's keys and values.
func (d *Delta) Bytes() int {
	size := 0
	for _, e := range d.Set {
		size += len(e.Key) + len(e.Value)
	}
	for _, key := range d.Delete {
		size += len(key)
	}
	return size
}

// FullDelta returns a full state as a delta.
func FullDelta(to *State) *Delta { return Diff(nil, to) }

// Diff returns the delta that changes state from into state to. It takes one pass over both.
func Diff(from, to *State) *Delta {
	d := &Delta{From: from.ID(), To: to.ID()}
	nextOld, stop := iter.Pull2(from.All())
	defer stop()
	oldKey, oldValue, more := nextOld()
	for key, value := range to.All() {
		for more && oldKey < key {
			d.Delete = append(d.Delete, oldKey)
			oldKey, oldValue, more = nextOld()
		}
		if more && oldKey == key {
			if !bytes.Equal(oldValue, value) {
				d.Set = append(d.Set, Entry{Key: key, Value: value})
			}
			oldKey, oldValue, more = nextOld()
			continue
		}
		d.Set = append(d.Set, Entry{Key: key, Value: value})
	}
	for more {
		d.Delete = append(d.Delete, oldKey)
		oldKey, _, more = nextOld()
	}
	return d
}

// Apply returns the state that results from applying a delta to this one, whose ID must be the delta's
// From. A full delta is applied to an empty state, whatever this state is. The result has the delta's To as
// its ID; otherwise the error is ErrBaseMismatch or ErrDigestMismatch and the result is nil. The delta's
// values are referenced, not copied.
func (s *State) Apply(d *Delta) (*State, error) {
	base := s
	if d.From.IsNone() {
		base = nil
	}
	if base.ID() != d.From {
		return nil, fmt.Errorf("%w: it has %v, not %v", ErrBaseMismatch, base.ID(), d.From)
	}
	if base == nil {
		base = New(0, nil)
	}
	result := base.withChanges(d.Set, d.Delete)
	if result.id.Number = d.To.Number; result.id != d.To {
		return nil, fmt.Errorf("%w: it is %v, not %v", ErrDigestMismatch, result.id, d.To)
	}
	return result, nil
}
