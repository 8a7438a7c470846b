package relayd

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"errors"
)

// digestHeader bears the digest of a body (RFC 9530). A state's own digest covers what a delta makes, and not
// the age, the step and what hosts have seen: one flipped byte of these would break what is promised.
const (
	digestHeader = "Content-Digest"
	digestHead   = "sha-256=:"
	digestTail   = ":"
)

// askHeader bears a number that an asker gives its question, and that comes back with the answer. An
// answer's age counts from when its question came, so that one which is given again for a later question (by
// a cache, or a box that has lost count) would make what it says younger than it is.
const (
	askHeader  = "Ask-Number"
	mostDigits = 20
)

var errOther = errors.New("the answer is to another question")

var errDigest = errors.New("the body's Content-Digest is missing, or another's")

// digest appends the header's value for a body.
func digest(to, body []byte) []byte {
	sum := sha256.Sum256(body)
	to = append(to, digestHead...)
	to = base64.StdEncoding.AppendEncode(to, sum[:])
	return append(to, digestTail...)
}

// sound tells whether a header's value is a body's.
func sound(value, body []byte) bool {
	var room [96]byte
	return bytes.Equal(value, digest(room[:0], body))
}
