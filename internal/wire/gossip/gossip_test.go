package gossip

import (
	"bytes"
	"math"
	"testing"

	"willowdeck/logic"
)

func TestRoundTrip(t *testing.T) {
	for _, r := range []logic.Report{{}, {Customer: 7, Plan: 3, Demand: 0.5, Known: 0.25, Spent: 8},
		{Customer: math.MaxUint32, Demand: 1e6}, {Customer: 1, Demand: 12, Spent: 64}} {
		got, err := Decode(nil, Append(nil, []logic.Report{r}))
		if err != nil || len(got) != 1 {
			t.Fatalf("%+v: got %v, %v", r, got, err)
		}
		g := got[0]
		if g.Customer != r.Customer ||
			g.Plan != r.Plan ||
			g.Spent != r.Spent || g.Known != r.Known || math.Abs(g.Demand-r.Demand) > r.Demand*0.05 {
			t.Errorf("%+v came back as %+v", r, g)
		}
	}
	if n := len(Append(nil, make([]logic.Report, 2*Room))); n > 256 {
		t.Errorf("a message of %d bytes", n)
	}
}

func TestMalformed(t *testing.T) {
	good := Append(nil, []logic.Report{{Customer: 7, Demand: 1}, {Customer: 8, Demand: 2}})
	other := bytes.Clone(good)
	other[0]++
	for name, b := range map[string][]byte{"empty": nil, "one byte": {version}, "cut short": good[:len(good)-1],
		"too long": append(bytes.Clone(good), 0), "other version": other} {
		t.Run(name, func(t *testing.T) {
			if got, err := Decode(nil, b); err == nil || len(got) != 0 {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
	b := append(bytes.Clone(good[:2]), bytes.Repeat([]byte{255}, 16)...)
	got, err := Decode(nil, b)
	if err != nil || math.IsInf(got[0].Demand, 0) || math.IsNaN(got[0].Demand) {
		t.Errorf("the largest demand reads as %v, %v", got, err)
	}
}
