package gossip

import (
	"bytes"
	"math"
	"slices"
	"testing"

	"willowdeck/internal/policy"
)

// Reports come back as they were encoded, the demand within a twentieth.
func TestRoundTrip(t *testing.T) {
	for _, report := range []policy.Report{{}, {Customer: 7, Plan: 3, DemandPerSecond: 0.5, PreviousDemandPerSecond: 0.25, SpentUnits: 8},
		{Customer: math.MaxUint32, DemandPerSecond: 1e6}, {Customer: 1, DemandPerSecond: 12, SpentUnits: 64}} {
		got, err := Decode(nil, Append(nil, []policy.Report{report}))
		if err != nil || len(got) != 1 {
			t.Fatalf("%+v: got %v, %v", report, got, err)
		}
		decoded := got[0]
		if decoded.Customer != report.Customer ||
			decoded.Plan != report.Plan ||
			decoded.SpentUnits != report.SpentUnits || decoded.PreviousDemandPerSecond != report.PreviousDemandPerSecond ||
			math.Abs(decoded.DemandPerSecond-report.DemandPerSecond) > report.DemandPerSecond*0.05 {
			t.Errorf("%+v came back as %+v", report, decoded)
		}
	}
	if n := len(Append(nil, make([]policy.Report, 2*MaxReports))); n > 256 {
		t.Errorf("a message of %d bytes", n)
	}
}

// The previous format is decoded while versions are mixed; in the current one zero values take no bytes.
func TestFormatVersions(t *testing.T) {
	previous := []byte{previousFormatVersion, 2, 0, 0, 0, 7, 1, 81, 73, 0, 0, 0, 0, 9, 0, 81, 0, 65}
	current := []byte{formatVersion, 2, 0, 0, 0, 7, 1 | knownFlag, 81, 73, 0, 0, 0, 9, spentFlag, 81, 65}
	want := []policy.Report{{Customer: 7, Plan: 1, DemandPerSecond: 1, PreviousDemandPerSecond: 0.5}, {Customer: 9, DemandPerSecond: 1, SpentUnits: 0.25}}
	for name, b := range map[string][]byte{"previous": previous, "current": current} {
		if got, err := Decode(nil, b); err != nil || !slices.Equal(got, want) {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
	}
	if got := Append(nil, want); !bytes.Equal(got, current) {
		t.Errorf("encoded as %v, want %v", got, current)
	}
}

// A malformed message gives an error and no report; the largest code decodes to a finite demand.
func TestMalformed(t *testing.T) {
	good := Append(nil, []policy.Report{{Customer: 7, DemandPerSecond: 1}, {Customer: 8, DemandPerSecond: 2}})
	other := bytes.Clone(good)
	other[0]++
	for name, b := range map[string][]byte{"empty": nil, "one byte": {formatVersion},
		"cut short": good[:len(good)-1],
		"too long":  append(bytes.Clone(good), 0), "other version": other,
		"ends before what it announces": {formatVersion, 1, 0, 0, 0, 7, knownFlag | spentFlag, 81, 73},
		"fewer than it counts":          {formatVersion, 2, 0, 0, 0, 7, 0, 81}} {
		t.Run(name, func(t *testing.T) {
			if got, err := Decode(nil, b); err == nil || len(got) != 0 {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
	b := append([]byte{previousFormatVersion, 2}, bytes.Repeat([]byte{255}, 16)...)
	got, err := Decode(nil, b)
	if err != nil || math.IsInf(got[0].DemandPerSecond, 0) || math.IsNaN(got[0].DemandPerSecond) {
		t.Errorf("the largest demand reads as %v, %v", got, err)
	}
}
