package txnjournal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"strconv"
	"strings"
)

const (
	headerBytes   = 128
	frameBytes    = 24 // before a record's fields
	instanceBytes = 64 // of a head
	segmentSuffix = ".wdj"
)

var (
	headerMagic = []byte("wdjournl")
	frameMagic  = []byte{0xd7, 'w', 'j', 0xa5}
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
	le          = binary.LittleEndian
)

// ErrTooLong tells that a record's fields don't fit.
var ErrFieldTooLong = errors.New("journal: a field is too long")

// Name gives a segment's file name; names sort as the numbers do.
func SegmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

// NumberOf gives the number that a file name holds.
func ParseSegmentName(name string) (uint64, bool) {
	hex, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(hex) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(hex, 16, 64)
	return n, err == nil && SegmentName(n) == name
}

// AppendHead encodes a segment's head.
func AppendHeader(b []byte, header SegmentHeader) []byte {
	var encoded [headerBytes]byte
	copy(encoded[:], headerMagic)
	le.PutUint16(encoded[8:], FormatVersion)
	encoded[10] = byte(header.Policy)
	le.PutUint32(encoded[12:], header.Incarnation)
	le.PutUint64(encoded[16:], header.Number)
	putFloat(encoded[24:], header.CreatedMillis)
	putFloat(encoded[32:], header.ClockOffsetMillis)
	le.PutUint32(encoded[40:], header.BootID)
	copy(encoded[44:44+instanceBytes], header.Instance)
	le.PutUint32(encoded[headerBytes-4:], crc32.Checksum(encoded[:headerBytes-4], castagnoli))
	return append(b, encoded[:]...)
}

func putFloat(b []byte, v float64) { le.PutUint64(b, math.Float64bits(v)) }

func readFloat(b []byte) float64 { return math.Float64frombits(le.Uint64(b)) }

// head decodes a head. Where it is of another version only its number, time and version count.
func decodeHeader(number uint64, b []byte) SegmentHeader {
	header := SegmentHeader{Number: number, Corrupt: true}
	if len(b) < headerBytes || !bytes.Equal(b[:8], headerMagic) ||
		crc32.Checksum(
			b[:headerBytes-4],
			castagnoli,
		) != le.Uint32(
			b[headerBytes-4:],
		) || le.Uint64(b[16:]) != number ||
		!isFinite(readFloat(b[24:])) || !isFinite(readFloat(b[32:])) {
		return header
	}
	header = SegmentHeader{
		Number:            number,
		Incarnation:       le.Uint32(b[12:]),
		Policy:            UnwrittenPolicy(b[10]),
		CreatedMillis:     readFloat(b[24:]),
		ClockOffsetMillis: readFloat(b[32:]),
		BootID:            le.Uint32(b[40:]),
		Instance:          string(bytes.TrimRight(b[44:44+instanceBytes], "\x00")),
		Version:           int(le.Uint16(b[8:])),
	}
	header.Unsupported = header.Version < OldestVersion || header.Version > FormatVersion ||
		header.Policy > ServeUnwritten
	return header
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// Append encodes a record that is to stand at an offset of a segment. What stands elsewhere, or in another
// segment, is no record there: the checksum counts the place in.
func AppendRecord(b []byte, segment uint64, offset int, record Record) ([]byte, error) {
	if len(record.Txn.RequestID) > maxFieldBytes || len(record.Txn.Product) > maxFieldBytes || len(record.Worker) > maxFieldBytes ||
		len(record.Response.ContentType) > maxFieldBytes || len(record.Response.ContentEncoding) > maxFieldBytes || len(record.Response.Body) > maxBodyBytes ||
		record.Attempt.Ordinal < 0 ||
		record.Attempt.Ordinal > math.MaxUint16 {
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
	if record.Kind <= KindSnapshot {
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
		b = appendFloat(b, record.FirstIntentMillis) // what is new comes behind this
	} else {
		b = appendFloat(b, record.UntilMillis)
		b = le.AppendUint64(b, record.FirstLiveSegment)
	}
	frame := b[start:]
	le.PutUint32(frame[8:], uint32(len(frame)-frameBytes))
	le.PutUint32(frame[20:], checksum(segment, offset, frame))
	return b, nil
}

func appendFloat(b []byte, v float64) []byte { return le.AppendUint64(b, math.Float64bits(v)) }

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// sum is a record's checksum, over where it stands and all of it but the checksum's own place.
func checksum(segment uint64, offset int, frame []byte) uint32 {
	var position [16]byte
	le.PutUint64(position[:], segment)
	le.PutUint64(position[8:], uint64(offset))
	c := crc32.Update(0, castagnoli, position[:])
	c = crc32.Update(c, castagnoli, frame[:20])
	return crc32.Update(c, castagnoli, frame[frameBytes:])
}

// fields reads a record's fields one after another; those that are not there are nought.
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

// decode reads the record at an offset, and gives the bytes that it takes; none where there is no record.
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
	if record.TimeMillis = f.float(); record.Kind <= KindSnapshot {
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

// HeadOf decodes a segment's head, and tells whether nothing was ever written in it.
func DecodeHeader(number uint64, b []byte) (header SegmentHeader, blank bool) {
	return decodeHeader(number, b), len(bytes.TrimLeft(b, "\x00")) == 0
}

// Seen is what reading a segment has met.
type SegmentReport struct {
	Header          SegmentHeader
	Records         int
	UnknownRecords  int               // records of a kind that is not known here; what they say is missing
	EndOffset       int               // bytes up to which it holds records
	UnreadableBytes int               // bytes that are neither records nor blank
	Torn            bool              // the last of these are behind all records
	Blank           bool              // nothing was ever written: a crash came between its making and its first group
	Uncertain       []UncertainPeriod // To is infinite where they last to the end of the segment
	LastMillis      float64
}

// Read reads a segment of a number, and gives each record with its place. What can't be read is a doubt from
// the record before it to the one after it. Blank bytes behind the last record are where nothing was written.
func ReadSegment(number uint64, b []byte, visit func(offset int, record Record)) SegmentReport {
	report := SegmentReport{EndOffset: headerBytes}
	if report.Header, report.Blank = DecodeHeader(number, b); report.Blank {
		return report
	}
	report.LastMillis = report.Header.CreatedMillis
	if report.Header.Unsupported {
		report.UnreadableBytes = len(bytes.TrimRight(b, "\x00"))
		report.addUncertain(
			report.Header.CreatedMillis,
			math.Inf(1),
			fmt.Sprintf("segment %d is of version %d", number, report.Header.Version),
		)
		return report
	}
	offset, readable := headerBytes, true
	if report.Header.Corrupt {
		readable = false
		report.UnreadableBytes = min(len(b), headerBytes)
	}
	for offset < len(b) {
		record, size := decodeRecord(number, offset, b[offset:])
		if size == 0 {
			if len(bytes.TrimLeft(b[offset:], "\x00")) == 0 {
				break
			}
			next, _ := findRecord(number, offset+1, b)
			readable = false
			report.UnreadableBytes += next - offset
			offset = next
			continue
		}
		if !readable {
			report.addUncertain(
				report.LastMillis,
				math.Max(report.LastMillis, record.TimeMillis),
				fmt.Sprintf("damage in segment %d before byte %d", number, offset),
			)
			readable = true
		}
		if offset += size; record.Kind == 0 || record.Kind >= kindCount || record.Outcome > OutcomeNotExecuted {
			report.UnknownRecords++
			report.addUncertain(
				record.TimeMillis,
				record.TimeMillis,
				fmt.Sprintf("segment %d holds a record of a kind that is not known", number),
			)
		} else {
			report.Records++
			visit(offset-size, record)
		}
		report.LastMillis, report.EndOffset = math.Max(report.LastMillis, record.TimeMillis), offset
	}
	if !readable {
		report.Torn = true
		report.addUncertain(report.LastMillis, math.Inf(1), fmt.Sprintf("the end of segment %d is damaged", number))
	}
	return report
}

// find gives the place of the next record from a place on; the end where there is none.
func findRecord(segment uint64, offset int, b []byte) (int, bool) {
	for offset < len(b) {
		i := bytes.Index(b[offset:], frameMagic)
		if i < 0 {
			break
		}
		if offset += i; offset >= headerBytes {
			if _, size := decodeRecord(segment, offset, b[offset:]); size > 0 {
				return offset, true
			}
		}
		offset++
	}
	return len(b), false
}

func (r *SegmentReport) addUncertain(fromMillis, toMillis float64, reason string) {
	r.Uncertain = append(r.Uncertain, UncertainPeriod{fromMillis, toMillis, reason})
}
