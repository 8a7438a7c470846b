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
	headBytes  = 128
	frameBytes = 24 // before a record's fields
	nameBytes  = 64 // of a head
	suffix     = ".wdj"
)

var (
	headMagic  = []byte("wdjournl")
	frameMagic = []byte{0xd7, 'w', 'j', 0xa5}
	table      = crc32.MakeTable(crc32.Castagnoli)
	le         = binary.LittleEndian
)

// ErrTooLong tells that a record's fields don't fit.
var ErrTooLong = errors.New("journal: a field is too long")

// Name gives a segment's file name; names sort as the numbers do.
func Name(number uint64) string { return fmt.Sprintf("%016x%s", number, suffix) }

// NumberOf gives the number that a file name holds.
func NumberOf(name string) (uint64, bool) {
	hex, ok := strings.CutSuffix(name, suffix)
	if !ok || len(hex) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(hex, 16, 64)
	return n, err == nil && Name(n) == name
}

// AppendHead encodes a segment's head.
func AppendHead(b []byte, h Head) []byte {
	var to [headBytes]byte
	copy(to[:], headMagic)
	le.PutUint16(to[8:], Version)
	to[10] = byte(h.Policy)
	le.PutUint32(to[12:], h.Life)
	le.PutUint64(to[16:], h.Number)
	putFloat(to[24:], h.At)
	putFloat(to[32:], h.Offset)
	le.PutUint32(to[40:], h.Boot)
	copy(to[44:44+nameBytes], h.Name)
	le.PutUint32(to[headBytes-4:], crc32.Checksum(to[:headBytes-4], table))
	return append(b, to[:]...)
}

func putFloat(b []byte, v float64) { le.PutUint64(b, math.Float64bits(v)) }

func float(b []byte) float64 { return math.Float64frombits(le.Uint64(b)) }

// head decodes a head. Where it is of another version only its number, time and version count.
func head(number uint64, b []byte) Head {
	h := Head{Number: number, Spoilt: true}
	if len(b) < headBytes || !bytes.Equal(b[:8], headMagic) ||
		crc32.Checksum(b[:headBytes-4], table) != le.Uint32(b[headBytes-4:]) || le.Uint64(b[16:]) != number ||
		!sane(float(b[24:])) || !sane(float(b[32:])) {
		return h
	}
	h = Head{Number: number, Life: le.Uint32(b[12:]), Policy: Policy(b[10]), At: float(b[24:]),
		Offset: float(b[32:]), Boot: le.Uint32(b[40:]),
		Name: string(bytes.TrimRight(b[44:44+nameBytes], "\x00")), Version: int(le.Uint16(b[8:]))}
	h.Unreadable = h.Version < Oldest || h.Version > Version || h.Policy > Serve
	return h
}

func sane(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// Append encodes a record that is to stand at an offset of a segment. What stands elsewhere, or in another
// segment, is no record there: the checksum counts the place in.
func Append(b []byte, segment uint64, offset int, r Record) ([]byte, error) {
	if len(r.Txn.Mark) > longest || len(r.Txn.Product) > longest || len(r.Worker) > longest ||
		len(r.Answer.Type) > longest || len(r.Answer.Coding) > longest || len(r.Answer.Body) > mostBody ||
		r.Sub.N < 0 || r.Sub.N > math.MaxUint16 {
		return b, ErrTooLong
	}
	from := len(b)
	b = append(b, frameMagic...)
	b = append(b, Version, byte(r.Kind), 0, 0)
	b = le.AppendUint32(b, 0) // the length
	b = le.AppendUint32(b, r.Life)
	b = le.AppendUint32(b, r.Group)
	b = le.AppendUint32(b, 0) // the checksum
	b = appendFloat(b, r.At)
	if r.Kind <= Kept {
		b = le.AppendUint64(b, r.Txn.Customer)
		b = appendText(b, r.Txn.Mark)
		b = appendText(b, r.Txn.Product)
		b = le.AppendUint64(b, r.Sub.Number)
		b = le.AppendUint16(b, uint16(r.Sub.N))
		b = appendText(b, r.Worker)
		b = appendFloat(b, r.Expiry)
		whole := byte(0)
		if r.Answer.Whole {
			whole = 1
		}
		b = append(b, byte(r.End), whole)
		b = appendText(b, r.Answer.Type)
		b = appendText(b, r.Answer.Coding)
		b = le.AppendUint32(b, uint32(len(r.Answer.Body)))
		b = append(b, r.Answer.Body...)
		b = le.AppendUint32(b, r.Txn.Digest)
		b = appendFloat(b, r.First) // what is new comes behind this
	} else {
		b = appendFloat(b, r.To)
		b = le.AppendUint64(b, r.Below)
	}
	frame := b[from:]
	le.PutUint32(frame[8:], uint32(len(frame)-frameBytes))
	le.PutUint32(frame[20:], sum(segment, offset, frame))
	return b, nil
}

func appendFloat(b []byte, v float64) []byte { return le.AppendUint64(b, math.Float64bits(v)) }

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// sum is a record's checksum, over where it stands and all of it but the checksum's own place.
func sum(segment uint64, offset int, frame []byte) uint32 {
	var place [16]byte
	le.PutUint64(place[:], segment)
	le.PutUint64(place[8:], uint64(offset))
	c := crc32.Update(0, table, place[:])
	c = crc32.Update(c, table, frame[:20])
	return crc32.Update(c, table, frame[frameBytes:])
}

// fields reads a record's fields one after another; those that are not there are nought.
type fields struct{ b []byte }

func (f *fields) take(n int) []byte {
	if len(f.b) < n {
		f.b = nil
		return nil
	}
	v := f.b[:n]
	f.b = f.b[n:]
	return v
}

func (f *fields) byte() byte {
	if v := f.take(1); v != nil {
		return v[0]
	}
	return 0
}

func (f *fields) uint16() uint16 {
	if v := f.take(2); v != nil {
		return le.Uint16(v)
	}
	return 0
}

func (f *fields) uint32() uint32 {
	if v := f.take(4); v != nil {
		return le.Uint32(v)
	}
	return 0
}

func (f *fields) uint64() uint64 {
	if v := f.take(8); v != nil {
		return le.Uint64(v)
	}
	return 0
}

func (f *fields) float() float64 { return math.Float64frombits(f.uint64()) }

func (f *fields) text() string { return string(f.take(int(f.byte()))) }

// decode reads the record at an offset, and gives the bytes that it takes; none where there is no record.
func decode(segment uint64, offset int, b []byte) (r Record, size int) {
	if len(b) < frameBytes || !bytes.Equal(b[:4], frameMagic) {
		return r, 0
	}
	length := int(le.Uint32(b[8:]))
	if length > mostBody+8*longest || length > len(b)-frameBytes {
		return r, 0
	}
	frame := b[:frameBytes+length]
	if sum(segment, offset, frame) != le.Uint32(b[20:]) {
		return r, 0
	}
	r = Record{Kind: Kind(b[5]), Life: le.Uint32(b[12:]), Group: le.Uint32(b[16:])}
	f := fields{frame[frameBytes:]}
	if r.At = f.float(); r.Kind <= Kept {
		r.Txn.Customer, r.Txn.Mark, r.Txn.Product = f.uint64(), f.text(), f.text()
		r.Sub = Sub{f.uint64(), int(f.uint16())}
		r.Worker, r.Expiry = f.text(), f.float()
		r.End, r.Answer.Whole = End(f.byte()), f.byte() == 1
		r.Answer.Type, r.Answer.Coding = f.text(), f.text()
		r.Answer.Body = append([]byte(nil), f.take(int(f.uint32()))...)
		r.Txn.Digest, r.First = f.uint32(), f.float()
	} else {
		r.To, r.Below = f.float(), f.uint64()
	}
	if !sane(r.At) || !sane(r.To) || !sane(r.Expiry) || !sane(r.First) {
		return r, 0
	}
	return r, len(frame)
}

// HeadOf decodes a segment's head, and tells whether nothing was ever written in it.
func HeadOf(number uint64, b []byte) (h Head, blank bool) {
	return head(number, b), len(bytes.TrimLeft(b, "\x00")) == 0
}

// Seen is what reading a segment has met.
type Seen struct {
	Head    Head
	Records int
	Strange int    // records of a kind that is not known here; what they say is missing
	End     int    // bytes up to which it holds records
	Lost    int    // bytes that are neither records nor blank
	Torn    bool   // the last of these are behind all records
	Blank   bool   // nothing was ever written: a crash came between its making and its first group
	Doubts  []Span // To is infinite where they last to the end of the segment
	Last    float64
}

// Read reads a segment of a number, and gives each record with its place. What can't be read is a doubt from
// the record before it to the one after it. Blank bytes behind the last record are where nothing was written.
func Read(number uint64, b []byte, each func(offset int, r Record)) Seen {
	s := Seen{End: headBytes}
	if s.Head, s.Blank = HeadOf(number, b); s.Blank {
		return s
	}
	s.Last = s.Head.At
	if s.Head.Unreadable {
		s.Lost = len(bytes.TrimRight(b, "\x00"))
		s.doubt(s.Head.At, math.Inf(1), fmt.Sprintf("segment %d is of version %d", number, s.Head.Version))
		return s
	}
	at, known := headBytes, true
	if s.Head.Spoilt {
		known = false
		s.Lost = min(len(b), headBytes)
	}
	for at < len(b) {
		r, size := decode(number, at, b[at:])
		if size == 0 {
			if len(bytes.TrimLeft(b[at:], "\x00")) == 0 {
				break
			}
			next, _ := find(number, at+1, b)
			known = false
			s.Lost += next - at
			at = next
			continue
		}
		if !known {
			s.doubt(s.Last, math.Max(s.Last, r.At), fmt.Sprintf("damage in segment %d before byte %d", number, at))
			known = true
		}
		if at += size; r.Kind == 0 || r.Kind >= kinds || r.End > Never {
			s.Strange++
			s.doubt(r.At, r.At, fmt.Sprintf("segment %d holds a record of a kind that is not known", number))
		} else {
			s.Records++
			each(at-size, r)
		}
		s.Last, s.End = math.Max(s.Last, r.At), at
	}
	if !known {
		s.Torn = true
		s.doubt(s.Last, math.Inf(1), fmt.Sprintf("the end of segment %d is damaged", number))
	}
	return s
}

// find gives the place of the next record from a place on; the end where there is none.
func find(segment uint64, at int, b []byte) (int, bool) {
	for at < len(b) {
		i := bytes.Index(b[at:], frameMagic)
		if i < 0 {
			break
		}
		if at += i; at >= headBytes {
			if _, size := decode(segment, at, b[at:]); size > 0 {
				return at, true
			}
		}
		at++
	}
	return len(b), false
}

func (s *Seen) doubt(from, to float64, why string) {
	s.Doubts = append(s.Doubts, Span{from, to, why})
}
