package gossip

import (
	"bytes"
	"math"
	"slices"
	"testing"

	"willowdeck/internal/policy"
)

func TestRoundTrip(t *testing.T) {
	for _, r := range []policy.Report{{}, {Customer: 7, Plan: 3, DemandPerSecond: 0.5,
		PreviousDemandPerSecond: 0.25, SpentUnits: 8},
		{Customer: math.MaxUint32, DemandPerSecond: 1e6}, {Customer: 1, DemandPerSecond: 12, SpentUnits: 64}} {
		got, err := Decode(nil, Append(nil, []policy.Report{r}))
		if err != nil || len(got) != 1 {
			t.Fatalf("%+v: got %v, %v", r, got, err)
		}
		g := got[0]
		if g.Customer != r.Customer ||
			g.Plan != r.Plan ||
			g.SpentUnits != r.SpentUnits || g.PreviousDemandPerSecond != r.PreviousDemandPerSecond ||
			math.Abs(g.DemandPerSecond-r.DemandPerSecond) > r.DemandPerSecond*0.05 {
			t.Errorf("%+v came back as %+v", r, g)
		}
	}
	if n := len(Append(nil, make([]policy.Report, 2*Room))); n > 256 {
		t.Errorf("a message of %d bytes", n)
	}
}

// The form before is understood while builds are mixed; what is nought takes no room in the new one.
func TestForms(t *testing.T) {
	before := []byte{former, 2, 0, 0, 0, 7, 1, 81, 73, 0, 0, 0, 0, 9, 0, 81, 0, 65}
	now := []byte{version, 2, 0, 0, 0, 7, 1 | hasKnown, 81, 73, 0, 0, 0, 9, hasSpent, 81, 65}
	want := []policy.Report{{Customer: 7, Plan: 1, DemandPerSecond: 1, PreviousDemandPerSecond: 0.5},
		{Customer: 9, DemandPerSecond: 1, SpentUnits: 0.25}}
	for name, b := range map[string][]byte{"before": before, "now": now} {
		if got, err := Decode(nil, b); err != nil || !slices.Equal(got, want) {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
	}
	if got := Append(nil, want); !bytes.Equal(got, now) {
		t.Errorf("told as %v, want %v", got, now)
	}
}

func TestMalformed(t *testing.T) {
	good := Append(nil, []policy.Report{{Customer: 7, DemandPerSecond: 1}, {Customer: 8, DemandPerSecond: 2}})
	other := bytes.Clone(good)
	other[0]++
	for name, b := range map[string][]byte{"empty": nil, "one byte": {version}, "cut short": good[:len(good)-1],
		"too long": append(bytes.Clone(good), 0), "other version": other,
		"ends before what it announces": {version, 1, 0, 0, 0, 7, hasKnown | hasSpent, 81, 73},
		"fewer than it counts":          {version, 2, 0, 0, 0, 7, 0, 81}} {
		t.Run(name, func(t *testing.T) {
			if got, err := Decode(nil, b); err == nil || len(got) != 0 {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
	b := append([]byte{former, 2}, bytes.Repeat([]byte{255}, 16)...)
	got, err := Decode(nil, b)
	if err != nil || math.IsInf(got[0].DemandPerSecond, 0) || math.IsNaN(got[0].DemandPerSecond) {
		t.Errorf("the largest demand reads as %v, %v", got, err)
	}
}
