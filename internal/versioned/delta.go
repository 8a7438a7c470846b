package versioned

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
)

// Why a delta can't be applied.
var (
	// ErrBaseMismatch says that a delta was made against another state.
	ErrBaseMismatch = errors.New("the delta is against another state than this")
	// ErrDigestMismatch says that a delta is corrupt: its result has another digest than it names.
	ErrDigestMismatch = errors.New("the digest of the result is not the delta's")
)

// Delta is the difference between two states. If From is none it is a full state.
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

// FullDelta returns a state as a delta against none.
func FullDelta(to *State) *Delta { return Diff(nil, to) }

// Diff returns the delta that leads from one state to another. It costs one pass over both.
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

// Apply returns the state that a delta leads to from this one, whose ID must be the delta's From; a full
// delta is applied to nothing, whatever this state is. The result has the ID that the delta names;
// otherwise the error is ErrBaseMismatch or ErrDigestMismatch, and there is no result. The delta's values
// are kept, not copied.
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
