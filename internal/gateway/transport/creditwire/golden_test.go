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
		{
			Customer:       0x01020304,
			Plan:           5,
			SetSize:        6,
			First:          0x0708,
			SetDigest:      0x090a,
			Known:          true,
			NoPriorDebt:    true,
			IsQuery:        true,
			IsReply:        true,
			Nonce:          0x0b0c,
			Echo:           0x0d0e,
			RightsGiven:    1001,
			DebtGiven:      1002,
			RightsReceived: 1003,
			DebtReceived:   1004,
			DebtTimeLeft:   51.0 / 255,
			WantedParts:    1005,
			SpareUnits:     0.5,
			FillPerSecond:  8,
		},
		{
			Customer:       0xfffefdfc,
			Plan:           255,
			SetSize:        254,
			First:          0xfffd,
			SetDigest:      0xfffc,
			Known:          true,
			NoPriorDebt:    true,
			IsQuery:        true,
			IsReply:        true,
			Nonce:          0xfffb,
			Echo:           0xfffa,
			RightsGiven:    1 << 60,
			DebtGiven:      1 << 61,
			RightsReceived: 1<<62 + 1,
			DebtReceived:   1<<62 + 2,
			DebtTimeLeft:   1,
			WantedParts:    1 << 50,
			SpareUnits:     1024,
			FillPerSecond:  65536,
		},
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
	for i, entry := range []borrowing.Entry{{Known: true}, {NoPriorDebt: true}, {IsQuery: true, Nonce: 7},
		{IsReply: true, Echo: 7}, {WantedParts: 7}, {DebtGiven: 7, DebtTimeLeft: 1}, {FillPerSecond: 8},
		{SpareUnits: 8}} {
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
