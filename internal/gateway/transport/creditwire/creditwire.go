// Package creditwire encodes and decodes the entries by which instances settle borrowed bursts between them.
//
// A message is the byte Magic, which no message of package gossip begins with, a version byte and a count
// byte. Each entry has the customer's number in four bytes, big-endian; one byte of the plan; one of the size
// of the customer's set of instances; two bytes each of the set's first instance and of its form; and one of
// flags. The counters follow as unsigned varints, and by flag the question's nonce, the echo of the nonce
// that is answered, the rights asked for, the time left for debts in 255ths, and the fill and the rights to
// spare, both logarithmic.
//
// The package has no state and does no I/O; of the gateway it imports package borrowing's Entry alone.
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
	countOffset   = 2 // of the count byte in the header
)

// Magic is a message's first byte.
const Magic = 0xC7

// MaxMessageBytes bounds a message; a datagram has 256 bytes, of which a peer's identity takes 9.
const MaxMessageBytes = 256 - 9

// The flags of an entry. Each of the last four stands for a field that follows the counters.
const (
	flagKnown, flagVirgin, flagAsks, flagAnswers = 1, 2, 4, 8
	flagWant, flagLeft, flagFill, flagSpare      = 16, 32, 64, 128
)

// The logarithmic code of rates.
const (
	log2Step       = 1.0 / 4    // between neighbouring codes, in powers of two
	minEncodedRate = 1.0 / 1024 // units a second; what is not above it is left out
)

// Append appends one message to dst, of as many entries as fit it, and gives the remaining entries.
func Append(dst []byte, entries []borrowing.Entry) (message []byte, rest []borrowing.Entry) {
	start := len(dst)
	dst = append(dst, Magic, formatVersion, 0)
	for i := range entries {
		entryStart := len(dst)
		if dst = appendEntry(dst, &entries[i]); len(dst)-start > MaxMessageBytes {
			return dst[:entryStart], entries[i:]
		}
		dst[start+countOffset]++
	}
	return dst, nil
}

// appendEntry encodes one entry.
func appendEntry(b []byte, entry *borrowing.Entry) []byte {
	b = binary.BigEndian.AppendUint32(b, entry.Customer)
	b = append(b, entry.Plan, entry.N)
	b = binary.BigEndian.AppendUint16(b, entry.First)
	b = binary.BigEndian.AppendUint16(b, entry.Form)
	var flags byte
	for _, condition := range []struct {
		flag byte
		set  bool
	}{{flagKnown, entry.Known}, {flagVirgin, entry.Virgin},
		{flagAsks, entry.Asks}, {flagAnswers, entry.Answers},
		{flagWant, entry.Want > 0}, {flagLeft, entry.GaveD > 0},
		{flagFill, entry.Fill > minEncodedRate}, {flagSpare, entry.Spare > minEncodedRate}} {
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
	if entry.GaveD > 0 { // rounded down: a debt falls due no later than stated
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

// encodeLog encodes a rate above minEncodedRate as one byte.
func encodeLog(rate float64) byte {
	return byte(math.Min(1+math.Round(math.Log2(rate/minEncodedRate)/log2Step), math.MaxUint8))
}

// decodeLog is the inverse of encodeLog, within a step.
func decodeLog(code byte) float64 { return minEncodedRate * math.Exp2(float64(code)*log2Step-log2Step) }

// errTruncated reports a message that ends too early.
var errTruncated = errors.New("it ends within an entry")

// fieldReader cuts fields off a message. After the first that is missing all are zero, and err says why.
type fieldReader struct {
	remaining []byte
	err       error
}

// take gives the next n bytes.
func (r *fieldReader) take(n int) []byte {
	if len(r.remaining) < n {
		r.remaining, r.err = nil, errTruncated
		return make([]byte, n)
	}
	field := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return field
}

// uvarint gives the next unsigned varint.
func (r *fieldReader) uvarint() uint64 {
	value, n := binary.Uvarint(r.remaining)
	if n <= 0 {
		r.remaining, r.err = nil, errTruncated
		return 0
	}
	r.remaining = r.remaining[n:]
	return value
}

// Decode appends a message's entries to dst. A message that is truncated, longer than it states or than it
// may be, or of another version gives an error and dst as it was.
func Decode(dst []borrowing.Entry, message []byte) ([]borrowing.Entry, error) {
	switch {
	case len(message) < headerBytes || message[0] != Magic:
		return dst, fmt.Errorf("credit message of %d bytes: no header", len(message))
	case message[1] != formatVersion:
		return dst, fmt.Errorf("credit message of version %d, not %d", message[1], formatVersion)
	case len(message) > MaxMessageBytes:
		return dst, fmt.Errorf("credit message of %d bytes, of %d at most", len(message), MaxMessageBytes)
	}
	original, count, fields := dst, int(message[countOffset]), fieldReader{remaining: message[headerBytes:]}
	for range count {
		entry := borrowing.Entry{Customer: binary.BigEndian.Uint32(fields.take(4)), Plan: fields.take(1)[0],
			N: fields.take(1)[0], First: binary.BigEndian.Uint16(fields.take(2)),
			Form: binary.BigEndian.Uint16(fields.take(2))}
		flags := fields.take(1)[0]
		entry.Known, entry.Virgin = flags&flagKnown > 0, flags&flagVirgin > 0
		entry.Asks, entry.Answers = flags&flagAsks > 0, flags&flagAnswers > 0
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
		return original, fmt.Errorf("credit message of %d bytes: %w", len(message), fields.err)
	}
	return dst, nil
}
