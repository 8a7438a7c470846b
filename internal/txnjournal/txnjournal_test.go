package txnjournal

import (
	"bytes"
	"hash/crc32"
	"math"
	"reflect"
	"slices"
	"testing"
)

// encodeSegment returns a segment with records and some blank bytes behind them.
func encodeSegment(tb testing.TB, h SegmentHeader, all ...Record) []byte {
	tb.Helper()
	b := AppendHeader(nil, h)
	for _, r := range all {
		var err error
		if b, err = AppendRecord(b, h.Number, len(b), r); err != nil {
			tb.Fatal(err)
		}
	}
	return append(b, make([]byte, 200)...)
}

func intentAt(at float64, requestID string) Record {
	return Record{
		Kind:         KindIntent,
		Incarnation:  1,
		Batch:        1,
		TimeMillis:   at,
		Txn:          Txn{7, requestID, "issue", 99},
		Attempt:      AttemptID{3, 1},
		Worker:       "w1",
		ExpiryMillis: at + 300,
	}
}

func outcomeAt(at float64, requestID string, outcome Outcome) Record {
	r := intentAt(at, requestID)
	r.Kind, r.Outcome = KindOutcome, outcome
	return r
}

// replay reads segments in the order of their numbers, as a start does.
func replay(config Config, now float64, segments ...[]byte) *Index {
	b := NewIndex(config)
	var unclosed []SegmentReport
	for i, raw := range segments {
		h, blank := DecodeHeader(uint64(i+1), raw)
		if blank {
			b.BlankSegment(uint64(i + 1))
			continue
		}
		if !h.Corrupt {
			for _, s := range unclosed {
				b.CloseSegment(s, h.CreatedMillis)
			}
			unclosed = nil
		}
		b.OpenSegment(h)
		unclosed = append(
			unclosed,
			ReadSegment(uint64(i+1), raw, func(_ int, r Record) { b.Apply(uint64(i+1), r) }),
		)
	}
	for _, s := range unclosed {
		b.CloseSegment(s, now)
	}
	b.FinishReplay()
	return b
}

// Records are read as they were written, and are no records in another segment.
func TestRecordsRoundTrip(t *testing.T) {
	full := Record{
		Kind:              KindOutcome,
		Incarnation:       3,
		Batch:             8,
		TimeMillis:        1e12,
		Txn:               Txn{1 << 32, "a-mark", "issue", 77},
		Attempt:           AttemptID{1 << 40, 2},
		Worker:            "w9",
		ExpiryMillis:      1e12 + 5,
		Outcome:           OutcomeCompleted,
		Response:          Response{"text/plain", "gzip", []byte("valid\n"), true},
		FirstIntentMillis: 5,
	}
	checkpoint := Record{
		Kind:             KindCheckpoint,
		Incarnation:      3,
		Batch:            9,
		TimeMillis:       1e12,
		UntilMillis:      9e11,
		FirstLiveSegment: 6,
	}
	b := encodeSegment(
		t,
		SegmentHeader{
			Number:            5,
			Incarnation:       3,
			CreatedMillis:     1e12,
			Policy:            ServeUnwritten,
			BootID:            4,
			ClockOffsetMillis: -2,
			Instance:          "g7",
		},
		full,
		checkpoint,
	)
	var got []Record
	seen := ReadSegment(5, b, func(_ int, r Record) { got = append(got, r) })
	if !reflect.DeepEqual(got[0], full) || got[1].Kind != KindCheckpoint || got[1].UntilMillis != 9e11 ||
		got[1].FirstLiveSegment != 6 ||
		len(got) != 2 {
		t.Errorf("read %+v", got)
	}
	if h := seen.Header; h.Instance != "g7" || h.ClockOffsetMillis != -2 || h.Policy != ServeUnwritten ||
		seen.UnreadableBytes != 0 ||
		len(seen.Uncertain) > 0 {
		t.Errorf("%+v", seen)
	}
	for _, number := range []uint64{4, 6} { // a file that was renamed or overwrote another
		n := 0
		if s := ReadSegment(
			number,
			b,
			func(int, Record) { n++ },
		); n > 0 || !s.Header.Corrupt ||
			len(s.Uncertain) == 0 {
			t.Errorf("as segment %d: %d records, %+v", number, n, s)
		}
	}
}

// The verdict is never NotSent where a transaction was sent, or may have been.
func TestResolve(t *testing.T) {
	head := SegmentHeader{Number: 1, Incarnation: 1, CreatedMillis: 1e6}
	records := []Record{intentAt(1e6+10000, "settled"), outcomeAt(1e6+10050, "settled", OutcomeCompleted),
		intentAt(1e6+20000, "open"), intentAt(1e6+30000, "cut"), outcomeAt(1e6+30010, "cut", OutcomeUnknown),
		intentAt(1e6+40000, "never"), outcomeAt(1e6+40010, "never", OutcomeNotExecuted)}
	clean := encodeSegment(t, head, records...)
	corrupt := func(from, n int) []byte {
		b := bytes.Clone(clean)
		for i := range n {
			b[from+i] ^= 0x55
		}
		return b
	}
	size := (len(clean) - 200 - headerBytes) / len(records) // of a record, about
	old := SegmentHeader{Number: 2, Incarnation: 2, CreatedMillis: 1e6 + 90000}
	serve := SegmentHeader{Number: 1, Incarnation: 1, CreatedMillis: 1e6, Policy: ServeUnwritten}
	withVersion := func(version byte) []byte {
		b := encodeSegment(t, old, intentAt(1e6+95000, "later"))
		b[8] = version
		le.PutUint32(b[headerBytes-4:], crc32.Checksum(b[:headerBytes-4], castagnoli))
		return b
	}
	newer := withVersion(FormatVersion + 1)
	coverage := func(to float64) Record {
		return Record{Kind: KindCoverage, Incarnation: 1, TimeMillis: 1e6, UntilMillis: to}
	}
	cases := []struct {
		name     string
		segments [][]byte
		mark     string
		at       float64
		want     Verdict
	}{
		{"settled", [][]byte{clean}, "settled", 1e6 + 9000, SentCompleted},
		{"without its end", [][]byte{clean}, "open", 1e6 + 19000, SentUnknown},
		{"may have run", [][]byte{clean}, "cut", 1e6 + 29000, SentUnknown},
		{"never ran", [][]byte{clean}, "never", 1e6 + 39000, NotSent},
		{"not there", [][]byte{clean}, "other", 1e6 + 39000, NotSent},
		{"no time given", [][]byte{clean}, "other", math.Inf(-1), SentUnknown},
		{"before the journal", [][]byte{clean}, "other", 1e6 - 5000, SentUnknown},
		{"nothing at all", nil, "other", 1e6, SentUnknown},
		{"damaged in the middle", [][]byte{corrupt(headerBytes+2*size, size)}, "open", 1e6 + 19000, SentUnknown},
		{"away from the damage", [][]byte{corrupt(headerBytes+2*size, 4)}, "other", 1e6 + 38000, NotSent},
		{"a damaged end", [][]byte{corrupt(len(clean)-210, 4)}, "never", 1e6 + 39500, SentUnknown},
		{"before a damaged end", [][]byte{corrupt(len(clean)-210, 4)}, "other", 1e6 + 15000, NotSent},
		{"a damaged head", [][]byte{corrupt(20, 4)}, "other", 1e6 + 5000, SentUnknown},
		{"behind a damaged head", [][]byte{corrupt(20, 4)}, "settled", 1e6 + 9000, SentCompleted},
		{"a blank segment", [][]byte{make([]byte, 500), encodeSegment(t, old)}, "other", 1e6 + 95000, NotSent},
		{"a newer version", [][]byte{clean, newer}, "later", 1e6 + 95000, SentUnknown},
		{"before a newer version", [][]byte{clean, newer}, "other", 1e6 + 50000, NotSent},
		{"an older version", [][]byte{clean, withVersion(OldestVersion - 1)}, "later", 1e6 + 95000, SentUnknown},
		{
			"served unwritten",
			[][]byte{encodeSegment(t, serve, coverage(1e6+1000)), encodeSegment(t, old)},
			"other",
			1e6 + 50000,
			SentUnknown,
		},
		{
			"served written",
			[][]byte{encodeSegment(t, serve, coverage(1e6+80000)), encodeSegment(t, old)},
			"other",
			1e6 + 50000,
			NotSent,
		},
		{
			"clock back hides a time unwritten",
			[][]byte{
				encodeSegment(t, serve, intentAt(1e6+60000, "a"), coverage(1e6+61000)),
				encodeSegment(
					t,
					SegmentHeader{Number: 2, Incarnation: 2, CreatedMillis: 1e6 + 20000},
				),
			},
			"other",
			1e6 + 15000,
			SentUnknown,
		},
		{
			"clock back by the machine's uptime",
			[][]byte{encodeSegment(t, SegmentHeader{
				Number:            1,
				Incarnation:       1,
				CreatedMillis:     1e6,
				Policy:            ServeUnwritten,
				BootID:            1,
				ClockOffsetMillis: 9000,
			}, coverage(1e6+30000)), encodeSegment(t, SegmentHeader{Number: 2, Incarnation: 2,
				CreatedMillis: 1e6 + 20000, BootID: 1, ClockOffsetMillis: 2000})},
			"other",
			1e6 + 17000,
			SentUnknown,
		},
		{"it may be served unwritten now", [][]byte{encodeSegment(t, serve)}, "other", 1e6 + 50000, SentUnknown},
		{
			"ended in peace",
			[][]byte{encodeSegment(t, serve, Record{Kind: KindRetired, Incarnation: 1, TimeMillis: 1e6 + 10})},
			"other",
			1e6 + 50000,
			NotSent,
		},
		{
			"clock set on after damage",
			[][]byte{corrupt(headerBytes+2*size, 4), encodeSegment(t, SegmentHeader{
				Number:            2,
				Incarnation:       2,
				CreatedMillis:     9e6,
				BootID:            1,
				ClockOffsetMillis: 8e6,
			}, Record{Kind: KindClockStep, Incarnation: 2, TimeMillis: 9.1e6, UntilMillis: 9.1e6})},
			"open",
			9e6,
			SentUnknown,
		},
	}
	for _, c := range cases {
		b := replay(DefaultConfig(), 1e6+100000, c.segments...)
		if v, why, _ := b.Resolve(c.mark, c.at, c.at+2000, 1e6+100000); v != c.want {
			t.Errorf("%s: %v (%s), want %v", c.name, v, why, c.want)
		}
	}
}

// The time of missing segments is uncertain, unless a checkpoint says that they were removed.
func TestMissingSegments(t *testing.T) {
	first := encodeSegment(
		t,
		SegmentHeader{Number: 1, Incarnation: 1, CreatedMillis: 1e6},
		intentAt(1e6+10, "a"),
	)
	for _, checked := range []bool{false, true} {
		b := NewIndex(DefaultConfig())
		take := func(n uint64, raw []byte) {
			h, _ := DecodeHeader(n, raw)
			b.OpenSegment(h)
			b.CloseSegment(ReadSegment(n, raw, func(_ int, r Record) { b.Apply(n, r) }), 2e6)
		}
		if !checked {
			take(1, first)
		}
		more := []Record{intentAt(1.5e6, "b")}
		if checked {
			more = slices.Insert(
				more,
				0,
				Record{Kind: KindCheckpoint, Incarnation: 1, TimeMillis: 1.5e6, FirstLiveSegment: 3, UntilMillis: 1.1e6},
			)
		}
		take(3, encodeSegment(t, SegmentHeader{Number: 3, Incarnation: 1, CreatedMillis: 1.5e6}, more...))
		b.FinishReplay()
		want := SentUnknown
		if checked {
			want = NotSent
		}
		if v, why, _ := b.Resolve("c", 1.3e6, 1.3e6, 2e6); v != want {
			t.Errorf("checked %v: %v (%s)", checked, v, why)
		}
	}
}

// Records of an earlier release lack fields, and those of a later one have more: both are read.
func TestOtherRecordVersions(t *testing.T) {
	full := intentAt(1e6, "a")
	b, err := AppendRecord(nil, 1, headerBytes, full)
	if err != nil {
		t.Fatal(err)
	}
	for _, more := range []int{-12, 16} { // without the digest and what follows; with what is not known here
		f := append(bytes.Clone(b), make([]byte, 64)...)[:len(b)+more]
		le.PutUint32(f[8:], uint32(len(f)-frameBytes))
		le.PutUint32(f[20:], checksum(1, headerBytes, f))
		r, size := decodeRecord(1, headerBytes, f)
		if size != len(f) || r.Txn.RequestID != "a" || r.Attempt != full.Attempt ||
			(r.Txn.Digest == 99) != (more > 0) {
			t.Errorf("%+d bytes: %d, %+v", more, size, r)
		}
	}
	f := bytes.Clone(b) // a record of an unknown kind may say anything
	f[5] = byte(kindCount)
	le.PutUint32(f[20:], checksum(1, headerBytes, f))
	s := ReadSegment(
		1,
		append(AppendHeader(nil, SegmentHeader{Number: 1, Incarnation: 1, CreatedMillis: 1e6}), f...),
		func(int, Record) {},
	)
	if s.UnknownRecords != 1 || len(s.Uncertain) != 1 {
		t.Errorf("%+v", s)
	}
}

// Applying a record twice changes nothing; evicting moves the horizon, but for transactions never executed.
func TestIndexIsBounded(t *testing.T) {
	terms := DefaultConfig()
	terms.MaxTxns, terms.MaxStoredResponseBytes = 3, 10
	b := NewIndex(terms)
	b.OpenSegment(SegmentHeader{Number: 1, Incarnation: 1, CreatedMillis: 1e6})
	at := 1e6
	for _, mark := range []string{"a", "b", "c", "d", "e"} {
		at += 10000
		end := OutcomeCompleted
		if mark == "b" {
			end = OutcomeNotExecuted
		}
		b.Apply(1, intentAt(at, mark))
		for range 2 {
			r := outcomeAt(at+1, mark, end)
			r.Response = Response{Body: []byte("1234"), Stored: true}
			b.Apply(1, r)
		}
	}
	b.TrimResponses(at)
	if txns, answers := b.Len(); txns != 3 || answers > 10 {
		t.Errorf("%d txns, %d bytes", txns, answers)
	}
	if b.HorizonMillis() != 1e6+10001 {
		t.Errorf("all since %v", b.HorizonMillis())
	}
	if e, v := b.Lookup(
		7,
		"e",
	); v != SentCompleted || string(e.Response.Body) != "1234" ||
		e.PendingAttempts != 0 {
		t.Errorf("the last: %v %+v", v, e)
	}
	if _, v := b.Lookup(8, "e"); v != NotSent {
		t.Errorf("another customer's: %v", v)
	}
}

// Whatever the bytes, reading ends, visits only records whose checksum is right, and reports all bytes that
// are neither records nor blank.
func FuzzRead(f *testing.F) {
	good := encodeSegment(
		f,
		SegmentHeader{Number: 1, Incarnation: 1, CreatedMillis: 1e6, Instance: "g"},
		intentAt(1e6, "a"),
		outcomeAt(1e6+5, "a", OutcomeCompleted),
		Record{Kind: KindCoverage, Incarnation: 1, TimeMillis: 1e6 + 6, UntilMillis: 1e6 + 9},
		intentAt(1e6+7, "b"),
	)
	f.Add(good)
	for _, at := range []int{0, 9, headerBytes, headerBytes + 9, headerBytes + 30, len(good) - 230} {
		b := bytes.Clone(good)
		b[at] ^= 0x41
		f.Add(b)
	}
	f.Add(good[:headerBytes+40])
	f.Add(make([]byte, 300))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, last := 0, 0
		s := ReadSegment(1, b, func(at int, r Record) {
			if at < last {
				t.Fatalf("a record at %d behind one at %d", at, last)
			}
			back, err := AppendRecord(nil, 1, at, r)
			if err == nil && r.Kind <= KindSnapshot && !bytes.Contains(b, []byte(r.Txn.RequestID)) {
				t.Fatalf("a record that is not there: %d bytes", len(back))
			}
			n, last = n+1, at+frameBytes
		})
		if n != s.Records || s.UnreadableBytes > len(b) || s.EndOffset > max(len(b), headerBytes) {
			t.Fatalf("%d records, %+v", n, s)
		}
		if s.UnreadableBytes > 0 && len(s.Uncertain) == 0 {
			t.Fatalf("%d bytes lost, and nothing in doubt", s.UnreadableBytes)
		}
	})
}
