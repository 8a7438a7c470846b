package txnjournal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"
)

// frameBytes is the size of a record's frame, which stands before its fields: magic, version, kind, length,
// incarnation, batch and checksum.
const frameBytes = 24

var (
	frameMagic = []byte{0xd7, 'w', 'j', 0xa5}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	le         = binary.LittleEndian
)

// ErrFieldTooLong says that a field of a record is longer than its encoding can hold.
var ErrFieldTooLong = errors.New("journal: a field is too long")

// AppendRecord appends a record, encoded for an offset of a segment. The checksum covers segment and
// offset, so the same bytes are no record anywhere else. The only error is ErrFieldTooLong.
func AppendRecord(b []byte, segment uint64, offset int, record Record) ([]byte, error) {
	if !record.fits() {
		return b, ErrFieldTooLong
	}
	start := len(b)
	b = append(b, frameMagic...)
	b = append(b, FormatVersion, byte(record.Kind), 0, 0)
	b = le.AppendUint32(b, 0) // the length
	b = le.AppendUint32(b, record.Incarnation)
	b = le.AppendUint32(b, record.Batch)
	b = le.AppendUint32(b, 0) // the checksum
	b = appendFloat(b, record.TimeMillis)
	if record.Kind.HasTxn() {
		b = le.AppendUint64(b, record.Txn.Customer)
		b = appendText(b, record.Txn.RequestID)
		b = appendText(b, record.Txn.Product)
		b = le.AppendUint64(b, record.Attempt.Sequence)
		b = le.AppendUint16(b, uint16(record.Attempt.Ordinal))
		b = appendText(b, record.Worker)
		b = appendFloat(b, record.ExpiryMillis)
		stored := byte(0)
		if record.Response.Stored {
			stored = 1
		}
		b = append(b, byte(record.Outcome), stored)
		b = appendText(b, record.Response.ContentType)
		b = appendText(b, record.Response.ContentEncoding)
		b = le.AppendUint32(b, uint32(len(record.Response.Body)))
		b = append(b, record.Response.Body...)
		b = le.AppendUint32(b, record.Txn.Digest)
		b = appendFloat(b, record.FirstIntentMillis) // new fields are appended behind this one
	} else {
		b = appendFloat(b, record.UntilMillis)
		b = le.AppendUint64(b, record.FirstLiveSegment)
	}
	frame := b[start:]
	le.PutUint32(frame[8:], uint32(len(frame)-frameBytes))
	le.PutUint32(frame[20:], checksum(segment, offset, frame))
	return b, nil
}

// fits reports whether all fields fit their encoding.
func (r *Record) fits() bool {
	return len(r.Txn.RequestID) <= maxFieldBytes && len(r.Txn.Product) <= maxFieldBytes &&
		len(r.Worker) <= maxFieldBytes && len(r.Response.ContentType) <= maxFieldBytes &&
		len(r.Response.ContentEncoding) <= maxFieldBytes && len(r.Response.Body) <= maxBodyBytes &&
		r.Attempt.Ordinal >= 0 && r.Attempt.Ordinal <= math.MaxUint16
}

func putFloat(b []byte, v float64) { le.PutUint64(b, math.Float64bits(v)) }

func readFloat(b []byte) float64 { return math.Float64frombits(le.Uint64(b)) }

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

func appendFloat(b []byte, v float64) []byte { return le.AppendUint64(b, math.Float64bits(v)) }

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// checksum returns the checksum of a record: over its segment and offset, and all of it but the checksum
// itself.
func checksum(segment uint64, offset int, frame []byte) uint32 {
	var position [16]byte
	le.PutUint64(position[:], segment)
	le.PutUint64(position[8:], uint64(offset))
	c := crc32.Update(0, castagnoli, position[:])
	c = crc32.Update(c, castagnoli, frame[:20])
	return crc32.Update(c, castagnoli, frame[frameBytes:])
}

// fieldReader reads a record's fields in their order; fields behind the record's end are zero.
type fieldReader struct{ rest []byte }

func (f *fieldReader) take(n int) []byte {
	if len(f.rest) < n {
		f.rest = nil
		return nil
	}
	v := f.rest[:n]
	f.rest = f.rest[n:]
	return v
}

func (f *fieldReader) byte() byte {
	if v := f.take(1); v != nil {
		return v[0]
	}
	return 0
}

func (f *fieldReader) uint16() uint16 {
	if v := f.take(2); v != nil {
		return le.Uint16(v)
	}
	return 0
}

func (f *fieldReader) uint32() uint32 {
	if v := f.take(4); v != nil {
		return le.Uint32(v)
	}
	return 0
}

func (f *fieldReader) uint64() uint64 {
	if v := f.take(8); v != nil {
		return le.Uint64(v)
	}
	return 0
}

func (f *fieldReader) float() float64 { return math.Float64frombits(f.uint64()) }

func (f *fieldReader) text() string { return string(f.take(int(f.byte()))) }

// decodeRecord decodes the record at an offset of a segment and returns its size in bytes; 0 where there is
// no record. b begins at the offset.
func decodeRecord(segment uint64, offset int, b []byte) (record Record, size int) {
	if len(b) < frameBytes || !bytes.Equal(b[:4], frameMagic) {
		return record, 0
	}
	length := int(le.Uint32(b[8:]))
	if length > maxBodyBytes+8*maxFieldBytes || length > len(b)-frameBytes {
		return record, 0
	}
	frame := b[:frameBytes+length]
	if checksum(segment, offset, frame) != le.Uint32(b[20:]) {
		return record, 0
	}
	record = Record{Kind: Kind(b[5]), Incarnation: le.Uint32(b[12:]), Batch: le.Uint32(b[16:])}
	f := fieldReader{frame[frameBytes:]}
	if record.TimeMillis = f.float(); record.Kind.HasTxn() {
		record.Txn.Customer, record.Txn.RequestID, record.Txn.Product = f.uint64(), f.text(), f.text()
		record.Attempt = AttemptID{f.uint64(), int(f.uint16())}
		record.Worker, record.ExpiryMillis = f.text(), f.float()
		record.Outcome, record.Response.Stored = Outcome(f.byte()), f.byte() == 1
		record.Response.ContentType, record.Response.ContentEncoding = f.text(), f.text()
		record.Response.Body = append([]byte(nil), f.take(int(f.uint32()))...)
		record.Txn.Digest, record.FirstIntentMillis = f.uint32(), f.float()
	} else {
		record.UntilMillis, record.FirstLiveSegment = f.float(), f.uint64()
	}
	if !isFinite(record.TimeMillis) || !isFinite(record.UntilMillis) || !isFinite(record.ExpiryMillis) ||
		!isFinite(record.FirstIntentMillis) {
		return record, 0
	}
	return record, len(frame)
}
