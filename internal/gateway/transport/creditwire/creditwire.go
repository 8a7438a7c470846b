// Package creditwire turns what gatekeepers tell each other of customers' credit into the bytes of a datagram
// and
// back.
//
// A message is a mark that no message of demand begins with, a version byte and a count byte. Then, for each
// entry, the customer's number in four bytes, big-endian, one of its plan, one of how many gatekeepers its
// set has, two each of the first of them and of the form, and one of flags. Counters follow as unsigned
// varints, and by flag the question's number, the number that is answered, the rights wished for, the time
// left for debts in 255ths, and the fill and the rights to spare, logarithmic.
package creditwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"willowdeck/internal/borrowing"
)

const (
	version = 1
	header  = 3

	// Mark is a message's first byte.
	Mark = 0xC7

	// Limit is how many bytes a message may have, besides the word that it bears.
	Limit = 256 - 9

	known, virgin, asks, answers = 1, 2, 4, 8
	wants, owes, fills, spares   = 16, 32, 64, 128
	step, least                  = 1.0 / 4, 1.0 / 1024 // of a power of two; units a second
)

// Append adds one message for as many of the entries as it holds to dst, and gives the others.
func Append(dst []byte, entries []borrowing.Entry) (msg []byte, rest []borrowing.Entry) {
	from := len(dst)
	dst = append(dst, Mark, version, 0)
	for i := range entries {
		before := len(dst)
		if dst = entry(dst, &entries[i]); len(dst)-from > Limit {
			return dst[:before], entries[i:]
		}
		dst[from+2]++
	}
	return dst, nil
}

func entry(b []byte, e *borrowing.Entry) []byte {
	b = binary.BigEndian.AppendUint32(b, e.Customer)
	b = append(b, e.Plan, e.N)
	b = binary.BigEndian.AppendUint16(b, e.First)
	b = binary.BigEndian.AppendUint16(b, e.Form)
	var flags byte
	for _, f := range []struct {
		bit byte
		on  bool
	}{{known, e.Known}, {virgin, e.Virgin}, {asks, e.Asks}, {answers, e.Answers}, {wants, e.Want > 0},
		{owes, e.GaveD > 0}, {fills, e.Fill > least}, {spares, e.Spare > least}} {
		if f.on {
			flags |= f.bit
		}
	}
	b = append(b, flags)
	for _, v := range []uint64{e.GaveR, e.GaveD, e.GotR, e.GotD} {
		b = binary.AppendUvarint(b, v)
	}
	if e.Asks {
		b = binary.BigEndian.AppendUint16(b, e.Nonce)
	}
	if e.Answers {
		b = binary.BigEndian.AppendUint16(b, e.Echo)
	}
	if e.Want > 0 {
		b = binary.AppendUvarint(b, e.Want)
	}
	if e.GaveD > 0 { // later than told is never
		b = append(b, byte(math.Min(math.Max(e.Left, 0), 1)*math.MaxUint8))
	}
	if e.Fill > least {
		b = append(b, pack(e.Fill))
	}
	if e.Spare > least {
		b = append(b, pack(e.Spare))
	}
	return b
}

func pack(v float64) byte {
	return byte(math.Min(1+math.Round(math.Log2(v/least)/step), math.MaxUint8))
}

func unpack(v byte) float64 { return least * math.Exp2(float64(v)*step-step) }

var errShort = errors.New("it ends within an entry")

// reader takes fields off a message; after the first that is not there all are nought.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n int) []byte {
	if len(r.b) < n {
		r.b, r.err = nil, errShort
		return make([]byte, n)
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.b, r.err = nil, errShort
		return 0
	}
	r.b = r.b[n:]
	return v
}

// Decode reads a message into dst. One that is not whole, or of another version, gives an error and nothing
// else.
func Decode(dst []borrowing.Entry, b []byte) ([]borrowing.Entry, error) {
	switch {
	case len(b) < header || b[0] != Mark:
		return dst, fmt.Errorf("message of credit of %d bytes: it has no head", len(b))
	case b[1] != version:
		return dst, fmt.Errorf("message of credit of version %d, not %d", b[1], version)
	case len(b) > Limit:
		return dst, fmt.Errorf("message of credit of %d bytes, of %d at most", len(b), Limit)
	}
	none, n, r := dst, int(b[2]), reader{b: b[header:]}
	for range n {
		e := borrowing.Entry{Customer: binary.BigEndian.Uint32(r.take(4)), Plan: r.take(1)[0], N: r.take(1)[0],
			First: binary.BigEndian.Uint16(r.take(2)), Form: binary.BigEndian.Uint16(r.take(2))}
		flags := r.take(1)[0]
		e.Known, e.Virgin, e.Asks, e.Answers = flags&known > 0, flags&virgin > 0, flags&asks > 0, flags&answers > 0
		for _, v := range []*uint64{&e.GaveR, &e.GaveD, &e.GotR, &e.GotD} {
			if *v = r.uvarint(); *v > math.MaxInt64 {
				r.err = errors.New("a counter is out of bounds")
			}
		}
		if e.Asks {
			e.Nonce = binary.BigEndian.Uint16(r.take(2))
		}
		if e.Answers {
			e.Echo = binary.BigEndian.Uint16(r.take(2))
		}
		if flags&wants > 0 {
			e.Want = r.uvarint()
		}
		if flags&owes > 0 {
			e.Left = float64(r.take(1)[0]) / math.MaxUint8
		}
		if flags&fills > 0 {
			e.Fill = unpack(r.take(1)[0])
		}
		if flags&spares > 0 {
			e.Spare = unpack(r.take(1)[0])
		}
		dst = append(dst, e)
	}
	if r.err == nil && len(r.b) > 0 {
		r.err = fmt.Errorf("%d bytes follow its last entry", len(r.b))
	}
	if r.err != nil {
		return none, fmt.Errorf("message of credit of %d bytes: %w", len(b), r.err)
	}
	return dst, nil
}
