package versioned

import (
	"crypto/sha256"
	"encoding/binary"
	"math/bits"
)

// Digest is the digest of a set of entries: the sum of their hashes modulo 2^128, each the first half of
// SHA-256 of the key's length, the key and the value (AdHash: Bellare and Micciancio, "A New Paradigm for
// Collision-Free Hashing", EUROCRYPT 1997). The order of the entries does not matter, and an entry is added
// or removed at the cost of its own hash. It detects lost, duplicated and corrupt entries. It is no
// signature: against an attacker who chooses entries so that sums collide, 128 bits are too few (Wagner
// 2002).
type Digest [16]byte

// Digest returns the hash of the entry, which is what it adds to the digest of a set.
func (e Entry) Digest() Digest {
	hash := sha256.New()
	var keyLength [8]byte
	binary.BigEndian.PutUint64(keyLength[:], uint64(len(e.Key)))
	hash.Write(keyLength[:])
	hash.Write([]byte(e.Key))
	hash.Write(e.Value)
	var sum [sha256.Size]byte
	return Digest(hash.Sum(sum[:0])[:len(Digest{})])
}

// Add returns the sum, modulo 2^128, of this digest and that of an entry or of a disjoint set.
func (d Digest) Add(o Digest) Digest {
	low, carry := bits.Add64(binary.BigEndian.Uint64(d[8:]), binary.BigEndian.Uint64(o[8:]), 0)
	high, _ := bits.Add64(binary.BigEndian.Uint64(d[:8]), binary.BigEndian.Uint64(o[:8]), carry)
	return digestFromHalves(high, low)
}

// subtract returns the digest of the set without an entry, whose digest is o.
func (d Digest) subtract(o Digest) Digest {
	low, borrow := bits.Sub64(binary.BigEndian.Uint64(d[8:]), binary.BigEndian.Uint64(o[8:]), 0)
	high, _ := bits.Sub64(binary.BigEndian.Uint64(d[:8]), binary.BigEndian.Uint64(o[:8]), borrow)
	return digestFromHalves(high, low)
}

// digestFromHalves returns the digest with these upper and lower 64 bits.
func digestFromHalves(high, low uint64) (d Digest) {
	binary.BigEndian.PutUint64(d[:8], high)
	binary.BigEndian.PutUint64(d[8:], low)
	return d
}
