package gossip

import (
	"testing"

	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/goldentest"
)

// goldenReports is the content of reports.hex. The file was written once by Append of an earlier version; it
// is what older versions send, and must never be written again. All amounts are powers of two, which the code
// holds exactly.
func goldenReports() []policy.Report {
	return []policy.Report{
		{Customer: 0x01020304, Plan: 5, DemandPerSecond: 8, PreviousDemandPerSecond: 4, SpentUnits: 2},
		{Customer: 0xfffefdfc, Plan: MaxPlans - 1, DemandPerSecond: 0.5, PreviousDemandPerSecond: 1024, SpentUnits: 65536},
	}
}

func TestGoldenReports(t *testing.T) {
	golden := goldentest.Hex(t, "reports.hex")
	got, err := Decode(nil, golden)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Same(t, got, goldenReports())
	goldentest.SameBytes(t, Append(nil, goldenReports()), golden)
}

// A report without the optional bytes is shorter, and the previous format is still decoded.
func TestGoldenShortAndPreviousReports(t *testing.T) {
	short := []policy.Report{{Customer: 0x01020304, Plan: 5, DemandPerSecond: 8}}
	golden := goldentest.Hex(t, "short.hex")
	goldentest.SameBytes(t, Append(nil, short), golden)
	got, err := Decode(nil, golden)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.SameLines(t, goldentest.Leaves(got), goldentest.Leaves(short))
	if got, err = Decode(nil, goldentest.Hex(t, "former.hex")); err != nil {
		t.Fatal(err)
	}
	goldentest.Same(t, got, goldenReports())
}
