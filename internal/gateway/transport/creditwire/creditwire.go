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
	b = append(b, entry.Plan, entry.SetSize)
	b = binary.BigEndian.AppendUint16(b, entry.First)
	b = binary.BigEndian.AppendUint16(b, entry.SetDigest)
	var flags byte
	for _, condition := range []struct {
		flag byte
		set  bool
	}{{flagKnown, entry.Known}, {flagVirgin, entry.NoPriorDebt},
		{flagAsks, entry.IsQuery}, {flagAnswers, entry.IsReply},
		{flagWant, entry.WantedParts > 0}, {flagLeft, entry.DebtGiven > 0},
		{flagFill, entry.FillPerSecond > minEncodedRate}, {flagSpare, entry.SpareUnits > minEncodedRate}} {
		if condition.set {
			flags |= condition.flag
		}
	}
	b = append(b, flags)
	for _, counter := range []uint64{entry.RightsGiven, entry.DebtGiven, entry.RightsReceived,
		entry.DebtReceived} {
		b = binary.AppendUvarint(b, counter)
	}
	if entry.IsQuery {
		b = binary.BigEndian.AppendUint16(b, entry.Nonce)
	}
	if entry.IsReply {
		b = binary.BigEndian.AppendUint16(b, entry.Echo)
	}
	if entry.WantedParts > 0 {
		b = binary.AppendUvarint(b, entry.WantedParts)
	}
	if entry.DebtGiven > 0 { // rounded down: a debt falls due no later than stated
		b = append(b, byte(math.Min(math.Max(entry.DebtTimeLeft, 0), 1)*math.MaxUint8))
	}
	if entry.FillPerSecond > minEncodedRate {
		b = append(b, encodeLog(entry.FillPerSecond))
	}
	if entry.SpareUnits > minEncodedRate {
		b = append(b, encodeLog(entry.SpareUnits))
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

// entry gives the next entry.
func (r *fieldReader) entry() borrowing.Entry {
	entry := borrowing.Entry{
		Customer: binary.BigEndian.Uint32(r.take(4)), Plan: r.take(1)[0], SetSize: r.take(1)[0],
		First: binary.BigEndian.Uint16(r.take(2)), SetDigest: binary.BigEndian.Uint16(r.take(2)),
	}
	flags := r.take(1)[0]
	entry.Known, entry.NoPriorDebt = flags&flagKnown > 0, flags&flagVirgin > 0
	entry.IsQuery, entry.IsReply = flags&flagAsks > 0, flags&flagAnswers > 0
	counters := []*uint64{&entry.RightsGiven, &entry.DebtGiven, &entry.RightsReceived, &entry.DebtReceived}
	for _, counter := range counters {
		if *counter = r.uvarint(); *counter > math.MaxInt64 {
			r.err = errors.New("a counter is out of bounds")
		}
	}
	r.optionalFields(&entry, flags)
	return entry
}

// optionalFields reads the fields that the flags of an entry announce.
func (r *fieldReader) optionalFields(entry *borrowing.Entry, flags byte) {
	if entry.IsQuery {
		entry.Nonce = binary.BigEndian.Uint16(r.take(2))
	}
	if entry.IsReply {
		entry.Echo = binary.BigEndian.Uint16(r.take(2))
	}
	if flags&flagWant > 0 {
		entry.WantedParts = r.uvarint()
	}
	if flags&flagLeft > 0 {
		entry.DebtTimeLeft = float64(r.take(1)[0]) / math.MaxUint8
	}
	if flags&flagFill > 0 {
		entry.FillPerSecond = decodeLog(r.take(1)[0])
	}
	if flags&flagSpare > 0 {
		entry.SpareUnits = decodeLog(r.take(1)[0])
	}
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
	original := dst
	fields := fieldReader{remaining: message[headerBytes:]}
	for range int(message[countOffset]) {
		dst = append(dst, fields.entry())
	}
	if fields.err == nil && len(fields.remaining) > 0 {
		fields.err = fmt.Errorf("%d bytes follow its last entry", len(fields.remaining))
	}
	if fields.err != nil {
		return original, fmt.Errorf("credit message of %d bytes: %w", len(message), fields.err)
	}
	return dst, nil
}
