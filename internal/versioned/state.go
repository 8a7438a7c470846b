package versioned

import (
	"fmt"
	"iter"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// VersionID identifies a state by a number that its creator assigns and by its digest. The zero value is
// the ID of no state.
type VersionID struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Digest Digest
}

// IsNone reports whether the ID is that of no state.
func (v VersionID) IsNone() bool { return v == VersionID{} }

// String formats the ID for logs: the number and the digest's first six bytes.
func (v VersionID) String() string { return fmt.Sprintf("%d-%x", v.Number, v.Digest[:6]) }

// Entry is one entry of a state.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte // must not be changed
}

// State is an immutable set of entries, safe for concurrent use. Nil is an empty state without an ID.
type State struct {
	id      VersionID
	entries *iradix.Tree[[]byte]
	size    int // bytes of all keys and values
}

// New returns a state of these entries. Of several entries with the same key the last one is used. The values
// are referenced, not copied.
func New(number uint64, entries []Entry) *State {
	s := (&State{entries: iradix.New[[]byte]()}).withChanges(entries, nil)
	s.id.Number = number
	return s
}

// withChanges returns the state with some entries set and some keys deleted, under the same number.
func (s *State) withChanges(set []Entry, deleted []string) *State {
	txn := s.entries.Txn()
	id, size := s.id, s.size
	subtract := func(key string, value []byte, existed bool) {
		if existed {
			id.Digest = id.Digest.subtract(Entry{Key: key, Value: value}.Digest())
			size -= len(key) + len(value)
		}
	}
	for _, key := range deleted {
		old, existed := txn.Delete([]byte(key))
		subtract(key, old, existed)
	}
	for _, e := range set {
		old, existed := txn.Insert([]byte(e.Key), e.Value)
		subtract(e.Key, old, existed)
		id.Digest = id.Digest.Add(e.Digest())
		size += len(e.Key) + len(e.Value)
	}
	return &State{id: id, entries: txn.Commit(), size: size}
}

// ID returns the ID of the state; the zero value for nil.
func (s *State) ID() VersionID {
	if s == nil {
		return VersionID{}
	}
	return s.id
}

// Len returns the number of entries.
func (s *State) Len() int {
	if s == nil {
		return 0
	}
	return s.entries.Len()
}

// Bytes returns the size of all keys and values.
func (s *State) Bytes() int {
	if s == nil {
		return 0
	}
	return s.size
}

// Get returns the value of a key and whether there is one. The value must not be changed.
func (s *State) Get(key string) ([]byte, bool) {
	if s == nil {
		return nil, false
	}
	return s.entries.Get([]byte(key))
}

// All iterates over the entries in the order of their keys.
func (s *State) All() iter.Seq2[string, []byte] { return s.Prefix("") }

// Prefix iterates over the entries whose keys begin with a prefix, in the order of their keys.
func (s *State) Prefix(prefix string) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		if s == nil {
			return
		}
		it := s.entries.Root().Iterator()
		it.SeekPrefix([]byte(prefix))
		for key, value, ok := it.Next(); ok; key, value, ok = it.Next() {
			if !yield(string(key), value) {
				return
			}
		}
	}
}
