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
	formatVersion = 1
	headerBytes   = 3

	// Magic is a message's first byte.
	Magic = 0xC7

	// MaxMessageBytes is how many bytes a message may have, besides the word that it bears.
	MaxMessageBytes = 256 - 9

	flagKnown, flagVirgin, flagAsks, flagAnswers = 1, 2, 4, 8
	flagWant, flagLeft, flagFill, flagSpare      = 16, 32, 64, 128
	log2Step, minEncodedRate                     = 1.0 / 4, 1.0 / 1024 // of a power of two; units a second
)

// Append adds one message for as many of the entries as it holds to dst, and gives the others.
func Append(dst []byte, entries []borrowing.Entry) (message []byte, rest []borrowing.Entry) {
	start := len(dst)
	dst = append(dst, Magic, formatVersion, 0)
	for i := range entries {
		entryStart := len(dst)
		if dst = appendEntry(dst, &entries[i]); len(dst)-start > MaxMessageBytes {
			return dst[:entryStart], entries[i:]
		}
		dst[start+2]++
	}
	return dst, nil
}

func appendEntry(b []byte, entry *borrowing.Entry) []byte {
	b = binary.BigEndian.AppendUint32(b, entry.Customer)
	b = append(b, entry.Plan, entry.N)
	b = binary.BigEndian.AppendUint16(b, entry.First)
	b = binary.BigEndian.AppendUint16(b, entry.Form)
	var flags byte
	for _, condition := range []struct {
		flag byte
		set  bool
	}{{flagKnown, entry.Known}, {flagVirgin, entry.Virgin}, {flagAsks, entry.Asks}, {flagAnswers,
		entry.Answers}, {flagWant, entry.Want > 0},
		{flagLeft, entry.GaveD > 0}, {flagFill, entry.Fill > minEncodedRate}, {flagSpare,
			entry.Spare > minEncodedRate}} {
		if condition.set {
			flags |= condition.flag
		}
	}
	b = append(b, flags)
	for _, counter := range []uint64{entry.GaveR, entry.GaveD, entry.GotR, entry.GotD} {
		b = binary.AppendUvarint(b, counter)
	}
	if entry.Asks {
		b = binary.BigEndian.AppendUint16(b, entry.Nonce)
	}
	if entry.Answers {
		b = binary.BigEndian.AppendUint16(b, entry.Echo)
	}
	if entry.Want > 0 {
		b = binary.AppendUvarint(b, entry.Want)
	}
	if entry.GaveD > 0 { // later than told is never
		b = append(b, byte(math.Min(math.Max(entry.Left, 0), 1)*math.MaxUint8))
	}
	if entry.Fill > minEncodedRate {
		b = append(b, encodeLog(entry.Fill))
	}
	if entry.Spare > minEncodedRate {
		b = append(b, encodeLog(entry.Spare))
	}
	return b
}

func encodeLog(rate float64) byte {
	return byte(math.Min(1+math.Round(math.Log2(rate/minEncodedRate)/log2Step), math.MaxUint8))
}

func decodeLog(code byte) float64 { return minEncodedRate * math.Exp2(float64(code)*log2Step-log2Step) }

var errTruncated = errors.New("it ends within an entry")

// fieldReader takes fields off a message; after the first that is not there all are nought.
type fieldReader struct {
	remaining []byte
	err       error
}

func (r *fieldReader) take(n int) []byte {
	if len(r.remaining) < n {
		r.remaining, r.err = nil, errTruncated
		return make([]byte, n)
	}
	field := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return field
}

func (r *fieldReader) uvarint() uint64 {
	value, n := binary.Uvarint(r.remaining)
	if n <= 0 {
		r.remaining, r.err = nil, errTruncated
		return 0
	}
	r.remaining = r.remaining[n:]
	return value
}

// Decode reads a message into dst. One that is not whole, or of another version, gives an error and nothing
// else.
func Decode(dst []borrowing.Entry, message []byte) ([]borrowing.Entry, error) {
	switch {
	case len(message) < headerBytes || message[0] != Magic:
		return dst, fmt.Errorf("message of credit of %d bytes: it has no head", len(message))
	case message[1] != formatVersion:
		return dst, fmt.Errorf("message of credit of version %d, not %d", message[1], formatVersion)
	case len(message) > MaxMessageBytes:
		return dst, fmt.Errorf("message of credit of %d bytes, of %d at most", len(message), MaxMessageBytes)
	}
	original, count, fields := dst, int(message[2]), fieldReader{remaining: message[headerBytes:]}
	for range count {
		entry := borrowing.Entry{Customer: binary.BigEndian.Uint32(fields.take(4)), Plan: fields.take(1)[0],
			N:     fields.take(1)[0],
			First: binary.BigEndian.Uint16(fields.take(2)), Form: binary.BigEndian.Uint16(fields.take(2))}
		flags := fields.take(1)[0]
		entry.Known, entry.Virgin, entry.Asks, entry.Answers = flags&flagKnown > 0, flags&flagVirgin > 0, flags&flagAsks > 0, flags&flagAnswers > 0
		for _, counter := range []*uint64{&entry.GaveR, &entry.GaveD, &entry.GotR, &entry.GotD} {
			if *counter = fields.uvarint(); *counter > math.MaxInt64 {
				fields.err = errors.New("a counter is out of bounds")
			}
		}
		if entry.Asks {
			entry.Nonce = binary.BigEndian.Uint16(fields.take(2))
		}
		if entry.Answers {
			entry.Echo = binary.BigEndian.Uint16(fields.take(2))
		}
		if flags&flagWant > 0 {
			entry.Want = fields.uvarint()
		}
		if flags&flagLeft > 0 {
			entry.Left = float64(fields.take(1)[0]) / math.MaxUint8
		}
		if flags&flagFill > 0 {
			entry.Fill = decodeLog(fields.take(1)[0])
		}
		if flags&flagSpare > 0 {
			entry.Spare = decodeLog(fields.take(1)[0])
		}
		dst = append(dst, entry)
	}
	if fields.err == nil && len(fields.remaining) > 0 {
		fields.err = fmt.Errorf("%d bytes follow its last entry", len(fields.remaining))
	}
	if fields.err != nil {
		return original, fmt.Errorf("message of credit of %d bytes: %w", len(message), fields.err)
	}
	return dst, nil
}
