package txnjournal

import (
	"bytes"
	"hash/crc32"
	"math"
	"reflect"
	"slices"
	"testing"
)

// segment writes a segment with a record each second from a time on.
func segment(t testing.TB, h Head, all ...Record) []byte {
	t.Helper()
	b := AppendHead(nil, h)
	for _, r := range all {
		var err error
		if b, err = Append(b, h.Number, len(b), r); err != nil {
			t.Fatal(err)
		}
	}
	return append(b, make([]byte, 200)...)
}

func meant(at float64, mark string) Record {
	return Record{Kind: Meant, Life: 1, Group: 1, At: at, Txn: Txn{7, mark, "issue", 99}, Sub: Sub{3, 1},
		Worker: "w1", Expiry: at + 300}
}

func ended(at float64, mark string, e End) Record {
	r := meant(at, mark)
	r.Kind, r.End = Ended, e
	return r
}

// read reads segments in the order of their numbers, as a start does.
func read(terms Terms, now float64, segments ...[]byte) *Book {
	b := NewBook(terms)
	var before []Seen
	for i, raw := range segments {
		h, blank := HeadOf(uint64(i+1), raw)
		if blank {
			b.Blank(uint64(i + 1))
			continue
		}
		if !h.Spoilt {
			for _, s := range before {
				b.Closes(s, h.At)
			}
			before = nil
		}
		b.Opens(h)
		before = append(before, Read(uint64(i+1), raw, func(_ int, r Record) { b.Take(uint64(i+1), r) }))
	}
	for _, s := range before {
		b.Closes(s, now)
	}
	b.Finish()
	return b
}

// What is written is read, and says the same at no other place.
func TestRecordsRoundTrip(t *testing.T) {
	full := Record{Kind: Ended, Life: 3, Group: 8, At: 1e12, Txn: Txn{1 << 32, "a-mark", "issue", 77},
		Sub: Sub{1 << 40, 2}, Worker: "w9", Expiry: 1e12 + 5, End: Settled,
		Answer: Answer{"text/plain", "gzip", []byte("valid\n"), true}, First: 5}
	marks := Record{Kind: Checked, Life: 3, Group: 9, At: 1e12, To: 9e11, Below: 6}
	b := segment(t, Head{Number: 5, Life: 3, At: 1e12, Policy: Serve, Boot: 4, Offset: -2, Name: "g7"}, full,
		marks)
	var got []Record
	seen := Read(5, b, func(_ int, r Record) { got = append(got, r) })
	if !reflect.DeepEqual(got[0], full) || got[1].Kind != Checked || got[1].To != 9e11 || got[1].Below != 6 ||
		len(got) != 2 {
		t.Errorf("read %+v", got)
	}
	if h := seen.Head; h.Name != "g7" || h.Offset != -2 || h.Policy != Serve || seen.Lost != 0 ||
		len(seen.Doubts) > 0 {
		t.Errorf("%+v", seen)
	}
	for _, number := range []uint64{4, 6} { // a file that was renamed, or copied over another
		n := 0
		if s := Read(number, b, func(int, Record) { n++ }); n > 0 || !s.Head.Spoilt || len(s.Doubts) == 0 {
			t.Errorf("as segment %d: %d records, %+v", number, n, s)
		}
	}
}

// The answers by what there is: never "not sent" where it was, or may have been.
func TestAnswers(t *testing.T) {
	head := Head{Number: 1, Life: 1, At: 1e6}
	whole := []Record{meant(1e6+10000, "settled"), ended(1e6+10050, "settled", Settled),
		meant(1e6+20000, "open"), meant(1e6+30000, "cut"), ended(1e6+30010, "cut", MayRun),
		meant(1e6+40000, "never"), ended(1e6+40010, "never", Never)}
	clean := segment(t, head, whole...)
	spoil := func(from, n int) []byte {
		b := bytes.Clone(clean)
		for i := range n {
			b[from+i] ^= 0x55
		}
		return b
	}
	size := (len(clean) - 200 - headBytes) / len(whole) // of a record, about
	old := Head{Number: 2, Life: 2, At: 1e6 + 90000}
	serve := Head{Number: 1, Life: 1, At: 1e6, Policy: Serve}
	of := func(version byte) []byte {
		b := segment(t, old, meant(1e6+95000, "later"))
		b[8] = version
		le.PutUint32(b[headBytes-4:], crc32.Checksum(b[:headBytes-4], table))
		return b
	}
	newer := of(Version + 1)
	covers := func(to float64) Record { return Record{Kind: Covers, Life: 1, At: 1e6, To: to} }
	cases := []struct {
		name     string
		segments [][]byte
		mark     string
		at       float64
		want     Verdict
	}{
		{"settled", [][]byte{clean}, "settled", 1e6 + 9000, SentSettled},
		{"without its end", [][]byte{clean}, "open", 1e6 + 19000, SentUnknown},
		{"may have run", [][]byte{clean}, "cut", 1e6 + 29000, SentUnknown},
		{"never ran", [][]byte{clean}, "never", 1e6 + 39000, NotSent},
		{"not there", [][]byte{clean}, "other", 1e6 + 39000, NotSent},
		{"no time given", [][]byte{clean}, "other", math.Inf(-1), SentUnknown},
		{"before the journal", [][]byte{clean}, "other", 1e6 - 5000, SentUnknown},
		{"nothing at all", nil, "other", 1e6, SentUnknown},
		{"damaged in the middle", [][]byte{spoil(headBytes+2*size, size)}, "open", 1e6 + 19000, SentUnknown},
		{"away from the damage", [][]byte{spoil(headBytes+2*size, 4)}, "other", 1e6 + 38000, NotSent},
		{"a damaged end", [][]byte{spoil(len(clean)-210, 4)}, "never", 1e6 + 39500, SentUnknown},
		{"before a damaged end", [][]byte{spoil(len(clean)-210, 4)}, "other", 1e6 + 15000, NotSent},
		{"a damaged head", [][]byte{spoil(20, 4)}, "other", 1e6 + 5000, SentUnknown},
		{"behind a damaged head", [][]byte{spoil(20, 4)}, "settled", 1e6 + 9000, SentSettled},
		{"a blank segment", [][]byte{make([]byte, 500), segment(t, old)}, "other", 1e6 + 95000, NotSent},
		{"a newer version", [][]byte{clean, newer}, "later", 1e6 + 95000, SentUnknown},
		{"before a newer version", [][]byte{clean, newer}, "other", 1e6 + 50000, NotSent},
		{"an older version", [][]byte{clean, of(Oldest - 1)}, "later", 1e6 + 95000, SentUnknown},
		{"served unwritten", [][]byte{segment(t, serve, covers(1e6+1000)), segment(t, old)}, "other", 1e6 + 50000,
			SentUnknown},
		{"served written", [][]byte{segment(t, serve, covers(1e6+80000)), segment(t, old)}, "other", 1e6 + 50000,
			NotSent},
		{"clock back hides a time unwritten", [][]byte{segment(t, serve, meant(1e6+60000, "a"), covers(1e6+61000)),
			segment(t, Head{Number: 2, Life: 2, At: 1e6 + 20000})}, "other", 1e6 + 15000, SentUnknown},
		{"clock back by the machine's uptime", [][]byte{segment(t, Head{Number: 1, Life: 1, At: 1e6,
			Policy: Serve, Boot: 1, Offset: 9000}, covers(1e6+30000)), segment(t, Head{Number: 2, Life: 2,
			At: 1e6 + 20000, Boot: 1, Offset: 2000})}, "other", 1e6 + 17000, SentUnknown},
		{"it may be served unwritten now", [][]byte{segment(t, serve)}, "other", 1e6 + 50000, SentUnknown},
		{"ended in peace", [][]byte{segment(t, serve, Record{Kind: Gone, Life: 1, At: 1e6 + 10})}, "other",
			1e6 + 50000, NotSent},
		{"clock set on after damage", [][]byte{spoil(headBytes+2*size, 4), segment(t, Head{Number: 2, Life: 2,
			At: 9e6, Boot: 1, Offset: 8e6}, Record{Kind: Stepped, Life: 2, At: 9.1e6, To: 9.1e6})}, "open", 9e6,
			SentUnknown},
	}
	for _, c := range cases {
		b := read(DefaultTerms(), 1e6+100000, c.segments...)
		if v, why, _ := b.Answers(c.mark, c.at, c.at+2000, 1e6+100000); v != c.want {
			t.Errorf("%s: %v (%s), want %v", c.name, v, why, c.want)
		}
	}
}

// Segments that are missing are in doubt, unless they were let go.
func TestMissingSegments(t *testing.T) {
	first := segment(t, Head{Number: 1, Life: 1, At: 1e6}, meant(1e6+10, "a"))
	for _, checked := range []bool{false, true} {
		b := NewBook(DefaultTerms())
		take := func(n uint64, raw []byte) {
			h, _ := HeadOf(n, raw)
			b.Opens(h)
			b.Closes(Read(n, raw, func(_ int, r Record) { b.Take(n, r) }), 2e6)
		}
		if !checked {
			take(1, first)
		}
		more := []Record{meant(1.5e6, "b")}
		if checked {
			more = slices.Insert(more, 0, Record{Kind: Checked, Life: 1, At: 1.5e6, Below: 3, To: 1.1e6})
		}
		take(3, segment(t, Head{Number: 3, Life: 1, At: 1.5e6}, more...))
		b.Finish()
		want := SentUnknown
		if checked {
			want = NotSent
		}
		if v, why, _ := b.Answers("c", 1.3e6, 1.3e6, 2e6); v != want {
			t.Errorf("checked %v: %v (%s)", checked, v, why)
		}
	}
}

// Records of an earlier form lack fields, and those of a later one have more: both are read.
func TestOtherForms(t *testing.T) {
	full := meant(1e6, "a")
	b, err := Append(nil, 1, headBytes, full)
	if err != nil {
		t.Fatal(err)
	}
	for _, more := range []int{-12, 16} { // without the digest and what follows; with what is not known here
		f := append(bytes.Clone(b), make([]byte, 64)...)[:len(b)+more]
		le.PutUint32(f[8:], uint32(len(f)-frameBytes))
		le.PutUint32(f[20:], sum(1, headBytes, f))
		r, size := decode(1, headBytes, f)
		if size != len(f) || r.Txn.Mark != "a" || r.Sub != full.Sub || (r.Txn.Digest == 99) != (more > 0) {
			t.Errorf("%+d bytes: %d, %+v", more, size, r)
		}
	}
	f := bytes.Clone(b) // a kind that is not known here may say anything
	f[5] = byte(kinds)
	le.PutUint32(f[20:], sum(1, headBytes, f))
	s := Read(1, append(AppendHead(nil, Head{Number: 1, Life: 1, At: 1e6}), f...), func(int, Record) {})
	if s.Strange != 1 || len(s.Doubts) != 1 {
		t.Errorf("%+v", s)
	}
}

// The same records twice say the same; what is forgotten moves the horizon, but for what never ran.
func TestBookIsBounded(t *testing.T) {
	terms := DefaultTerms()
	terms.Txns, terms.Answers = 3, 10
	b := NewBook(terms)
	b.Opens(Head{Number: 1, Life: 1, At: 1e6})
	at := 1e6
	for _, mark := range []string{"a", "b", "c", "d", "e"} {
		at += 10000
		end := Settled
		if mark == "b" {
			end = Never
		}
		b.Take(1, meant(at, mark))
		for range 2 {
			r := ended(at+1, mark, end)
			r.Answer = Answer{Body: []byte("1234"), Whole: true}
			b.Take(1, r)
		}
	}
	b.Trim(at)
	if txns, answers := b.Len(); txns != 3 || answers > 10 {
		t.Errorf("%d txns, %d bytes", txns, answers)
	}
	if b.Horizon() != 1e6+10001 {
		t.Errorf("all since %v", b.Horizon())
	}
	if e, v := b.Known(7, "e"); v != SentSettled || string(e.Answer.Body) != "1234" || e.Open != 0 {
		t.Errorf("the last: %v %+v", v, e)
	}
	if _, v := b.Known(8, "e"); v != NotSent {
		t.Errorf("another customer's: %v", v)
	}
}

// Whatever the bytes, reading ends, gives only what its checksum vouches for, and leaves nothing unsaid that
// is neither a record nor blank.
func FuzzRead(f *testing.F) {
	good := segment(f, Head{Number: 1, Life: 1, At: 1e6, Name: "g"}, meant(1e6, "a"), ended(1e6+5, "a", Settled),
		Record{Kind: Covers, Life: 1, At: 1e6 + 6, To: 1e6 + 9}, meant(1e6+7, "b"))
	f.Add(good)
	for _, at := range []int{0, 9, headBytes, headBytes + 9, headBytes + 30, len(good) - 230} {
		b := bytes.Clone(good)
		b[at] ^= 0x41
		f.Add(b)
	}
	f.Add(good[:headBytes+40])
	f.Add(make([]byte, 300))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, last := 0, 0
		s := Read(1, b, func(at int, r Record) {
			if at < last {
				t.Fatalf("a record at %d behind one at %d", at, last)
			}
			back, err := Append(nil, 1, at, r)
			if err == nil && r.Kind <= Kept && !bytes.Contains(b, []byte(r.Txn.Mark)) {
				t.Fatalf("a record that is not there: %d bytes", len(back))
			}
			n, last = n+1, at+frameBytes
		})
		if n != s.Records || s.Lost > len(b) || s.End > max(len(b), headBytes) {
			t.Fatalf("%d records, %+v", n, s)
		}
		if s.Lost > 0 && len(s.Doubts) == 0 {
			t.Fatalf("%d bytes lost, and nothing in doubt", s.Lost)
		}
	})
}
