package txnjournal

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"math"
	"strconv"
	"strings"
)

const (
	headerBytes   = 128
	instanceBytes = 64 // of a header: the instance's name, padded with zeros
	segmentSuffix = ".wdj"
)

var headerMagic = []byte("wdjournl")

// SegmentName returns a segment's file name; names sort as the numbers do.
func SegmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

// ParseSegmentName returns the number in a segment's file name, and false where the name is not a segment's.
func ParseSegmentName(name string) (uint64, bool) {
	hex, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(hex) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(hex, 16, 64)
	return n, err == nil && SegmentName(n) == name
}

// AppendHeader encodes a segment's header, with FormatVersion whatever its Version.
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

// decodeHeader decodes the header of the segment with a number. Of one that is Unsupported only the number,
// the time and the version may be relied on.
func decodeHeader(number uint64, b []byte) SegmentHeader {
	header := SegmentHeader{Number: number, Corrupt: true}
	if len(b) < headerBytes || !bytes.Equal(b[:8], headerMagic) ||
		crc32.Checksum(b[:headerBytes-4], castagnoli) != le.Uint32(b[headerBytes-4:]) ||
		le.Uint64(b[16:]) != number || !isFinite(readFloat(b[24:])) || !isFinite(readFloat(b[32:])) {
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

// DecodeHeader decodes the header of the segment with a number, and reports whether nothing was ever
// written to the segment.
func DecodeHeader(number uint64, b []byte) (header SegmentHeader, blank bool) {
	return decodeHeader(number, b), len(bytes.TrimLeft(b, "\x00")) == 0
}

// SegmentReport is what reading a segment has found.
type SegmentReport struct {
	Header          SegmentHeader
	Records         int
	UnknownRecords  int  // of a kind or with an outcome that is not known here; what they say is lost
	EndOffset       int  // of the last record's end
	UnreadableBytes int  // neither records nor blank
	Torn            bool // unreadable bytes stand behind the last record
	Blank           bool // nothing was ever written: a crash followed the file's creation
	// Uncertain are the times of which records may be lost; ToMillis is infinite where that lasts to the end of
	// the segment.
	Uncertain  []UncertainPeriod
	LastMillis float64 // of the last record, or of the header
}

// ReadSegment decodes a segment and calls visit with each record and its offset. Unreadable bytes make the
// time from the record before them to the record after them uncertain. Blank bytes behind the last record
// are free.
func ReadSegment(number uint64, b []byte, visit func(offset int, record Record)) SegmentReport {
	report := SegmentReport{EndOffset: headerBytes}
	if report.Header, report.Blank = DecodeHeader(number, b); report.Blank {
		return report
	}
	report.LastMillis = report.Header.CreatedMillis
	if report.Header.Unsupported {
		report.UnreadableBytes = len(bytes.TrimRight(b, "\x00"))
		report.addUncertain(report.Header.CreatedMillis, math.Inf(1),
			fmt.Sprintf("segment %d is of version %d", number, report.Header.Version))
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
			next := findRecord(number, offset+1, b)
			readable = false
			report.UnreadableBytes += next - offset
			offset = next
			continue
		}
		if !readable {
			report.addUncertain(report.LastMillis, math.Max(report.LastMillis, record.TimeMillis),
				fmt.Sprintf("damage in segment %d before byte %d", number, offset))
			readable = true
		}
		if report.addRecord(number, record) {
			visit(offset, record)
		}
		offset += size
		report.LastMillis, report.EndOffset = math.Max(report.LastMillis, record.TimeMillis), offset
	}
	if !readable {
		report.Torn = true
		report.addUncertain(report.LastMillis, math.Inf(1),
			fmt.Sprintf("the end of segment %d is damaged", number))
	}
	return report
}

// addRecord counts a record of a segment, and returns whether its kind is known.
func (r *SegmentReport) addRecord(number uint64, record Record) (known bool) {
	if record.known() {
		r.Records++
		return true
	}
	r.UnknownRecords++
	r.addUncertain(record.TimeMillis, record.TimeMillis,
		fmt.Sprintf("segment %d holds a record of a kind that is not known", number))
	return false
}

// findRecord returns the offset of the first record at or behind an offset; the segment's length where
// there is none.
func findRecord(segment uint64, offset int, b []byte) int {
	for offset < len(b) {
		i := bytes.Index(b[offset:], frameMagic)
		if i < 0 {
			break
		}
		if offset += i; offset >= headerBytes {
			if _, size := decodeRecord(segment, offset, b[offset:]); size > 0 {
				return offset
			}
		}
		offset++
	}
	return len(b)
}

func (r *SegmentReport) addUncertain(fromMillis, toMillis float64, reason string) {
	r.Uncertain = append(r.Uncertain, UncertainPeriod{fromMillis, toMillis, reason})
}
