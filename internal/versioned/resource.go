// Package versioned keeps versioned state as immutable sets of entries, and makes deltas between two of them
// that can be checked. It is free of I/O. A state costs what it changes of the one before it, in time and
// memory.
package versioned

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"math/bits"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Digest is of a set of entries: the sum of their hashes modulo 2^128, each the first half of SHA-256 of the
// key's length, the key and the value (AdHash: Bellare and Micciancio, "A New Paradigm for Collision-Free
// Hashing", EUROCRYPT 1997). Order does not matter, and an entry comes or goes at the cost of its own hash.
// It finds what was lost, doubled or spoilt; against one who chooses entries so that sums meet 128 bits are
// too few (Wagner 2002), so it is no signature.
type Digest [16]byte

// Mark names a state: a number that its maker gives it, and its digest.
type VersionID struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Digest Digest
}

// None tells whether it names nothing: what one has that has no state.
func (m VersionID) IsNone() bool { return m == VersionID{} }

// Entry is one entry of a state.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte // not to be changed
}

// Digest is the entry's own part of a state's.
func (e Entry) Digest() Digest {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(e.Key)))
	h.Write(n[:])
	h.Write([]byte(e.Key))
	h.Write(e.Value)
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0])[:len(Digest{})])
}

// Plus adds an entry's digest, or that of a set which has none of the same entries. It wraps around.
func (d Digest) Add(o Digest) Digest {
	low, carry := bits.Add64(binary.BigEndian.Uint64(d[8:]), binary.BigEndian.Uint64(o[8:]), 0)
	high, _ := bits.Add64(binary.BigEndian.Uint64(d[:8]), binary.BigEndian.Uint64(o[:8]), carry)
	return digestFromHalves(high, low)
}

func (d Digest) subtract(o Digest) Digest {
	low, borrow := bits.Sub64(binary.BigEndian.Uint64(d[8:]), binary.BigEndian.Uint64(o[8:]), 0)
	high, _ := bits.Sub64(binary.BigEndian.Uint64(d[:8]), binary.BigEndian.Uint64(o[:8]), borrow)
	return digestFromHalves(high, low)
}

func digestFromHalves(high, low uint64) (d Digest) {
	binary.BigEndian.PutUint64(d[:8], high)
	binary.BigEndian.PutUint64(d[8:], low)
	return d
}

// State is an immutable set of entries; nil is an empty one that has no mark. Safe for concurrent use.
type State struct {
	versionID VersionID
	entries   *iradix.Tree[[]byte]
	size      int
}

// Why a delta can't be applied.
var (
	ErrBaseMismatch   = errors.New("the delta is against another state than this")
	ErrDigestMismatch = errors.New("the digest of the result is not the delta's")
)

// New makes a state of entries; of two with one key the later one holds. Their values are kept, not copied.
func New(number uint64, all []Entry) *State {
	s := (&State{entries: iradix.New[[]byte]()}).withChanges(all, nil)
	s.versionID.Number = number
	return s
}

// with is the state with some entries set and some dropped, under the same number.
func (s *State) withChanges(set []Entry, drop []string) *State {
	t := s.entries.Txn()
	mark, size := s.versionID, s.size
	gone := func(key string, value []byte, was bool) {
		if was {
			mark.Digest = mark.Digest.subtract(Entry{Key: key, Value: value}.Digest())
			size -= len(key) + len(value)
		}
	}
	for _, key := range drop {
		old, was := t.Delete([]byte(key))
		gone(key, old, was)
	}
	for _, e := range set {
		old, was := t.Insert([]byte(e.Key), e.Value)
		gone(e.Key, old, was)
		mark.Digest = mark.Digest.Add(e.Digest())
		size += len(e.Key) + len(e.Value)
	}
	return &State{versionID: mark, entries: t.Commit(), size: size}
}

// Mark names the state.
func (s *State) ID() VersionID {
	if s == nil {
		return VersionID{}
	}
	return s.versionID
}

// Len is how many entries there are.
func (s *State) Len() int {
	if s == nil {
		return 0
	}
	return s.entries.Len()
}

// Bytes is the size of all keys and values.
func (s *State) Bytes() int {
	if s == nil {
		return 0
	}
	return s.size
}

// Get gives the value of a key; it is not to be changed.
func (s *State) Get(key string) ([]byte, bool) {
	if s == nil {
		return nil, false
	}
	return s.entries.Get([]byte(key))
}

// All gives the entries in the order of their keys.
func (s *State) All() iter.Seq2[string, []byte] { return s.Prefix("") }

// Prefix gives the entries whose keys begin so, in the order of their keys.
func (s *State) Prefix(p string) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		if s == nil {
			return
		}
		it := s.entries.Root().Iterator()
		it.SeekPrefix([]byte(p))
		for k, v, ok := it.Next(); ok; k, v, ok = it.Next() {
			if !yield(string(k), v) {
				return
			}
		}
	}
}

// Delta is what makes one state of another. From none: it is a whole state.
type Delta struct {
	_        struct{} `cbor:",toarray"`
	From, To VersionID
	Set      []Entry
	Delete   []string
}

// Bytes is the size of its keys and values.
func (d *Delta) Bytes() int {
	n := 0
	for _, e := range d.Set {
		n += len(e.Key) + len(e.Value)
	}
	for _, k := range d.Delete {
		n += len(k)
	}
	return n
}

// Whole is a state as a delta against nothing.
func FullDelta(to *State) *Delta { return Diff(nil, to) }

// Between is the delta that makes to of from; it costs one pass over both.
func Diff(from, to *State) *Delta {
	d := &Delta{From: from.ID(), To: to.ID()}
	next, stop := iter.Pull2(from.All())
	defer stop()
	k, v, more := next()
	for key, value := range to.All() {
		for more && k < key {
			d.Delete = append(d.Delete, k)
			k, v, more = next()
		}
		if more && k == key {
			if !bytes.Equal(v, value) {
				d.Set = append(d.Set, Entry{Key: key, Value: value})
			}
			k, v, more = next()
			continue
		}
		d.Set = append(d.Set, Entry{Key: key, Value: value})
	}
	for ; more; k, v, more = next() {
		d.Delete = append(d.Delete, k)
	}
	return d
}

// Apply gives the state that a delta makes of this one, whose mark has to be the delta's From; a delta from
// none is applied to nothing, whatever this one is. The result has the delta's mark, or there is an error
// and no result: ErrBase, or ErrDigest. The delta's values are kept, not copied.
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
	to := base.withChanges(d.Set, d.Delete)
	if to.versionID.Number = d.To.Number; to.versionID != d.To {
		return nil, fmt.Errorf("%w: it is %v, not %v", ErrDigestMismatch, to.versionID, d.To)
	}
	return to, nil
}

// String is a mark as logs have it.
func (m VersionID) String() string { return fmt.Sprintf("%d-%x", m.Number, m.Digest[:6]) }
