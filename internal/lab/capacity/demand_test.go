package capacity

import (
	"math"
	"strings"
	"testing"

	"willowdeck/internal/lab/regression"
)

// rowsOverSizes returns the measurements of a figure over sizes, in a run.
func rowsOverSizes(run, distribution string, sizes []float64, value func(n float64) float64) (rows []Row) {
	for _, n := range sizes {
		rows = append(rows, Row{run, "c0", distribution, n, "gatekeeper", "f", "B/s", value(n)})
	}
	return rows
}

// The value at a measured size, between sizes, and beyond them by the line or the power law; of the last run
// unless one is named; and the errors.
func TestDemandFromMeasurements(t *testing.T) {
	linear := func(n float64) float64 { return 1000 + 100*n }
	squared := func(n float64) float64 { return n * n }
	withPlannedSize, smallerSizes := []float64{20, 300, 1000, 7900}, []float64{20, 100, 300, 1000, 3000}
	cases := []struct {
		name    string
		rows    []Row
		keys    string // of the entry
		want    float64
		basis   string
		message string
	}{
		{"at the size", rowsOverSizes("a", "direct", withPlannedSize, linear), "", 791, basisMeasured, ""},
		{"nearly at the size", rowsOverSizes("a", "direct", []float64{20, 300, 1000, 7888}, linear), "", 789.8,
			basisMeasured, ""},
		{"between sizes", rowsOverSizes("a", "direct", []float64{20, 300, 7000, 9000}, linear), "", 791,
			basisMeasured, ""},
		{"beyond the sizes", rowsOverSizes("a", "direct", smallerSizes, linear), "", 791, basisExtrapolated, ""},
		{"beyond the sizes, quadratic", rowsOverSizes("a", "direct", smallerSizes, squared), "", 62410,
			basisExtrapolated, ""},
		{"beyond the sizes, no line holds", rowsOverSizes("a", "direct", smallerSizes, func(n float64) float64 {
			return n * math.Exp(-n/900)
		}), "", 0, basisGuess, ""},
		{"multiplier", rowsOverSizes("a", "direct", withPlannedSize, linear), "times = 5\ntimes_is = \"t\"", 3955,
			basisMeasured, ""},
		{"the last run", append(rowsOverSizes("a", "direct", withPlannedSize, squared), rowsOverSizes("b",
			"direct", withPlannedSize, linear)...), "",
			791, basisMeasured, ""},
		{"named run", append(rowsOverSizes("a", "direct", withPlannedSize, linear), rowsOverSizes("b",
			"direct", withPlannedSize,
			squared)...),
			`run = "a"`, 791, basisMeasured, ""},
		{"trial without the size check", append(rowsOverSizes("a", "direct", smallerSizes[:2], linear),
			rowsOverSizes("a", "direct-trial",
				withPlannedSize[1:], linear)...), "", 791, basisMeasured, ""},
		{"run named by its commit", append(rowsOverSizes("a", "direct", withPlannedSize, squared),
			func() []Row {
				r := rowsOverSizes("a", "direct", withPlannedSize, linear)
				for i := range r {
					r[i].Commit = "c9"
				}
				return r
			}()...), `run = "a@c9"`, 791, basisMeasured, ""},
		{"no run yet", rowsOverSizes("a", "direct", withPlannedSize, linear), `way = "relays"`, 0, basisNoRun, ""},
		{"not measured", nil, "", 0, "", "no measurement"},
		{"unknown run", rowsOverSizes("a", "direct", withPlannedSize, linear), `run = "z"`, 0, "",
			`run "z": no measurement`},
		{"few sizes, with the planned one", rowsOverSizes("a", "direct", withPlannedSize[2:], linear), "", 791,
			basisMeasured, ""},
		{"three sizes", rowsOverSizes("a", "direct", withPlannedSize[:3], linear), "", 0, "",
			regression.ErrTooFewSizes.Error()},
		{"unknown unit", func() []Row {
			r := rowsOverSizes("a", "direct", withPlannedSize, linear)
			for i := range r {
				r[i].Unit = "miles"
			}
			return r
		}(), "", 0, "", `nothing turns "miles" to "KB/s"`},
	}
	for _, c := range cases {
		s, err := DecodeSpec(specWithOneEntry(t) + c.keys)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		got, err := ComputeDemands(s, c.rows)
		if c.message != "" {
			if err == nil || !strings.Contains(err.Error(), c.message) {
				t.Errorf("%s: got %v, want %q", c.name, err, c.message)
			}
			continue
		}
		if err != nil || got[0].Basis != c.basis ||
			c.basis != basisGuess && math.Abs(got[0].Value-c.want) > 0.01*c.want {
			t.Errorf("%s: %+v, %v; want %v, %s", c.name, got, err, c.want, c.basis)
		}
		if want := got[0].Value / 22; got[0].Utilization != want {
			t.Errorf("%s: ratio %v, want %v", c.name, got[0].Utilization, want)
		}
	}
}

// A sum adds up entries, and their values after the change where they have one; their units have to agree.
func TestSumOfEntries(t *testing.T) {
	sizes := []float64{20, 300, 1000, 7900}
	secondEntry := strings.NewReplacer(`"x"`, `"y"`, "figure = \"f\"",
		"each = 0.01\nmark = \"assumed\"\nwhy = \"w\"").Replace(entryText)
	sumEntry := strings.NewReplacer(`"x"`, `"all"`, `figure = "f"`, `sum = ["x", "y"]`).Replace(entryText)
	s, err := DecodeSpec(specWithOneEntry(t) + secondEntry + sumEntry)
	if err != nil {
		t.Fatal(err)
	}
	before := rowsOverSizes("a", "direct", sizes, func(n float64) float64 { return 10 * n })
	demands, err := ComputeDemands(s, before)
	if err != nil || math.Abs(demands[2].Value-158) > 1 || demands[2].AfterChange != nil ||
		demands[2].Utilization != demands[2].Value/22 {
		t.Fatalf("%+v, %v", demands[2], err)
	}
	demands, err = ComputeDemands(s, append(before, rowsOverSizes("b", "relays", sizes,
		func(n float64) float64 { return n })...))
	if err != nil || demands[2].AfterChange == nil || math.Abs(demands[2].AfterChange.Value-86.9) > 1 ||
		math.Abs(demands[2].Value-158) > 1 {
		t.Fatalf("%+v, %v", demands[2], err)
	}
	if after := demands[2].AfterChange; after.Distribution != distributionRelays {
		t.Errorf("with relays the sum is distributed by %q", after.Distribution)
	}
	byRun := specWithOneEntry(t) + "run = \"a\"\nafter_run = \"c\"\n" + secondEntry + sumEntry
	if s, err = DecodeSpec(byRun); err != nil {
		t.Fatal(err)
	}
	demands, err = ComputeDemands(s, append(before, rowsOverSizes("c", "direct", sizes,
		func(n float64) float64 { return n })...))
	if err != nil || demands[2].AfterChange == nil ||
		demands[2].AfterChange.Distribution != distributionDirect {
		t.Errorf("after a change that is a run: %+v, %v", demands[2].AfterChange, err)
	}
	if s, err = DecodeSpec(specWithOneEntry(t) + strings.NewReplacer(`"KB/s"`, `"MB/s"`, "limit = \"bytes\"\n",
		"").Replace(sumEntry+
		secondEntry)); err == nil {
		t.Errorf("a sum before its entries: %+v", s)
	}
}
