package creditwire

import (
	"testing"

	"willowdeck/internal/borrowing"
	"willowdeck/internal/testkit/goldentest"
)

// goldenEntries is the content of entries.hex. The file was written once by Append of an earlier version; it
// is what older versions send, and must never be written again. All amounts are such that the code holds them
// exactly.
func goldenEntries() []borrowing.Entry {
	return []borrowing.Entry{
		{Customer: 0x01020304, Plan: 5, N: 6, First: 0x0708, Form: 0x090a, Known: true, Virgin: true, Asks: true,
			Answers: true, Nonce: 0x0b0c, Echo: 0x0d0e, GaveR: 1001, GaveD: 1002, GotR: 1003, GotD: 1004,
			Left: 51.0 / 255, Want: 1005, Spare: 0.5, Fill: 8},
		{Customer: 0xfffefdfc, Plan: 255, N: 254, First: 0xfffd, Form: 0xfffc, Known: true, Virgin: true,
			Asks: true, Answers: true, Nonce: 0xfffb, Echo: 0xfffa, GaveR: 1 << 60, GaveD: 1 << 61,
			GotR: 1<<62 + 1, GotD: 1<<62 + 2, Left: 1, Want: 1 << 50, Spare: 1024, Fill: 65536},
	}
}

func TestGoldenEntries(t *testing.T) {
	golden := goldentest.Hex(t, "entries.hex")
	got, err := Decode(nil, golden)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Same(t, got, goldenEntries())
	encoded, rest := Append(nil, goldenEntries())
	if len(rest) > 0 {
		t.Errorf("%d entries do not fit", len(rest))
	}
	goldentest.SameBytes(t, encoded, golden)
}

// Each flag has its own bit: an entry with one condition sets that bit alone.
func TestGoldenFlags(t *testing.T) {
	for i, entry := range []borrowing.Entry{{Known: true}, {Virgin: true}, {Asks: true, Nonce: 7},
		{Answers: true, Echo: 7}, {Want: 7}, {GaveD: 7, Left: 1}, {Fill: 8}, {Spare: 8}} {
		encoded, _ := Append(nil, []borrowing.Entry{entry})
		if flags := encoded[headerBytes+10]; flags != 1<<i {
			t.Errorf("%+v: flags %08b, want bit %d alone", entry, flags, i)
		}
		got, err := Decode(nil, encoded)
		if err != nil {
			t.Fatal(err)
		}
		goldentest.SameLines(t, goldentest.Leaves(got), goldentest.Leaves([]borrowing.Entry{entry}))
	}
}
