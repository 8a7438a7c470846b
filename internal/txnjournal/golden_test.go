package txnjournal

import (
	"testing"

	"willowdeck/internal/testkit/goldentest"
)

const goldenNumber = 0x0102030405060708 // of the golden segment

func goldenHeader() SegmentHeader {
	return SegmentHeader{
		Number:            goldenNumber,
		Incarnation:       0x11121314,
		Policy:            ServeUnwritten,
		CreatedMillis:     1.7e12,
		BootID:            0x15161718,
		ClockOffsetMillis: 1234.5,
		Instance:          "gateway-7",
		Version:           1,
	}
}

// goldenRecords are what segment.hex holds behind its head, one of each kind. The file was written once by
// AppendHeader and AppendRecord, before names were changed. It is what older versions have on disk; new
// code must never write it again.
func goldenRecords() []Record {
	txn := func(kind Kind, end Outcome) Record {
		return Record{
			Kind:        kind,
			Incarnation: 0x21222324,
			Batch:       0x25262728,
			TimeMillis:  1.7e12 + 1.5,
			Txn:         Txn{Customer: 0x3132333435363738, RequestID: "mark-1", Product: "sale", Digest: 0x41424344},
			Attempt: AttemptID{
				Sequence: 0x5152535455565758,
				Ordinal:  0x6162,
			},
			Worker:       "w3",
			ExpiryMillis: 1.7e12 + 2.5,
			Outcome:      end,
			Response: Response{
				ContentType:     "text/plain",
				ContentEncoding: "gzip",
				Body:            []byte("body"),
				Stored:          true,
			},
			FirstIntentMillis: 1.7e12 + 0.5,
		}
	}
	other := func(kind Kind) Record {
		return Record{
			Kind:             kind,
			Incarnation:      0x21222324,
			Batch:            0x25262728,
			TimeMillis:       1.7e12 + 3.5,
			UntilMillis:      1.7e12 + 4.5,
			FirstLiveSegment: 0x7172737475767778,
		}
	}
	return []Record{
		txn(KindIntent, OutcomeCompleted),
		txn(KindOutcome, OutcomeUnknown),
		txn(KindSnapshot, OutcomeNotExecuted),
		other(KindCoverage),
		other(KindCheckpoint),
		other(KindRetired),
		other(KindClockStep),
	}
}

// encodeGolden returns the golden segment as this version writes it.
func encodeGolden(t *testing.T) []byte {
	t.Helper()
	b := AppendHeader(nil, goldenHeader())
	for _, r := range goldenRecords() {
		var err error
		if b, err = AppendRecord(b, goldenNumber, len(b), r); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func TestGoldenSegment(t *testing.T) {
	old := goldentest.Hex(t, "segment.hex")
	goldentest.SameBytes(t, encodeGolden(t), old)
	var got []Record
	seen := ReadSegment(goldenNumber, old, func(_ int, r Record) { got = append(got, r) })
	if seen.Header != goldenHeader() || seen.UnknownRecords != 0 || seen.UnreadableBytes != 0 ||
		len(seen.Uncertain) != 0 {
		t.Errorf("the segment is read as %+v", seen)
	}
	goldentest.SameLines(t, goldentest.Leaves(got), goldentest.Leaves(goldenRecords()))
	for i, r := range got { // a record has the fields of a txn or those of the other kinds, and all of them
		zeros := 2 // To, Below
		if r.Kind > KindSnapshot {
			zeros = 14 // all of a txn, its submission, worker and answer
		}
		if all := goldentest.Zeros(r); len(all) != zeros {
			t.Errorf("record %d: %q are zero, want %d", i, all, zeros)
		}
	}
}

// Numbers of kinds, outcomes and policies, and names of files, are on disk. Operators know their texts.
func TestGoldenNumbers(t *testing.T) {
	for number, text := range []string{"", "meant", "ended", "kept", "covers", "checked", "gone", "stepped"} {
		if got := Kind(number).String(); number > 0 && got != text {
			t.Errorf("kind %d is %q, want %q", number, got, text)
		}
	}
	for number, text := range []string{"open", "settled", "may have run", "never ran"} {
		if got := Outcome(number).String(); got != text {
			t.Errorf("outcome %d is %q, want %q", number, got, text)
		}
	}
	for number, text := range []string{"not sent", "sent, outcome unknown", "sent and settled"} {
		if got := Verdict(number).String(); got != text {
			t.Errorf("verdict %d is %q, want %q", number, got, text)
		}
	}
	if a, b := UnwrittenPolicy(0).String(), UnwrittenPolicy(1).String(); a != "refuse" || b != "serve" {
		t.Errorf("policies are %q and %q", a, b)
	}
	if name := SegmentName(goldenNumber); name != "0102030405060708.wdj" {
		t.Errorf("the segment's file is %q", name)
	}
}
