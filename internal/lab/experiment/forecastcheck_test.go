package experiment

import (
	"flag"
	"fmt"
	"math"
	"path/filepath"
	"testing"

	"willowdeck/internal/forecast"
	"willowdeck/internal/lab/emulator"
)

var (
	foresee  = flag.Int("foresee", 0, "seeds that losses of halls are foretold and played with, at 20 and 300")
	into     = flag.String("into", "", "where the table and the chart of that go")
	credit   = flag.Float64("credit", 0, "seconds of their rates that all plans lend")
	replayed = flag.Bool("replayed", false, "play each loss from the words alone, too")
)

// Each kind of loss is foretold from the words of an emulated fleet, and then played with the same arrivals.
// Guards against a change of the module, or of what words say, that the reckoning does not follow.
func TestForesee(t *testing.T) {
	losses := []forecast.Loss{{Kind: forecast.Whole, Halls: []string{"hall0"}},
		{
			Kind:  forecast.Whole,
			Halls: []string{"hall0", "hall1"},
		}, {Kind: forecast.Keepers, Halls: []string{"hall0"}},
		{Kind: forecast.Links, Halls: []string{"hall0"}}, {Kind: forecast.Slowed, Halls: []string{"hall0"}}}
	names, loads, seeds := []string{"halls20"}, []float64{1}, 1
	if *foresee > 0 {
		names, loads, seeds = []string{"halls20", "halls300"}, []float64{0.6, 1, 1.25}, *foresee
		losses = append(losses, forecast.Loss{Kind: forecast.Keepers, Halls: []string{"hall1", "hall2"}},
			forecast.Loss{Kind: forecast.Links, Halls: []string{"hall1", "hall2"}})
	}
	var table []Foresights
	lending := func(s *emulator.Scenario) {
		for i := range s.Plans {
			s.Plans[i].Credit, s.Plans[i].Repay = *credit, 30
		}
	}
	for _, name := range names {
		for _, load := range loads {
			s, err := emulator.Read("../../../scenarios/" + name + ".toml")
			if err != nil {
				t.Fatal(err)
			}
			for i := range s.Plans {
				if err := s.Set(fmt.Sprintf("plans[%d].asks", i), s.Plans[i].Asks*load); err != nil {
					t.Fatal(err)
				}
			}
			if *credit > 0 {
				lending(s)
			}
			g := Foresights{Gatekeepers: s.Gatekeepers.Count, Asks: load}
			for seed := range int64(seeds) {
				all, _, err := Foresee(t.Context(), s, seed+1, 10, losses, *replayed)
				if err != nil {
					t.Fatal(err)
				}
				g.All = append(g.All, all...)
			}
			for _, f := range g.All {
				t.Logf("%s x %v, %v of %v: asked %.0f/s, lost foretold %.1f, found %.1f, error %.3f; loads %.3f",
					name, load, f.Loss.Kind, f.Loss.Halls, f.Asked, f.Foretold, f.Found, f.Error(), f.LoadError())
				if *foresee == 0 && (math.Abs(f.Error()) > 0.12 || math.Abs(f.LoadError()) > 0.2) {
					t.Errorf("%v of %v: off by %.3f of the value asked, loads by %.3f: %v", f.Loss.Kind, f.Loss.Halls,
						f.Error(), f.LoadError(), f.Loads)
				}
			}
			table = append(table, g)
		}
	}
	// What is foretold has to tell a costly loss from a cheap one.
	whole, links := table[0].All[1], table[0].All[3]
	if whole.Foretold < 0.2*whole.Asked && *foresee == 0 || links.Foretold > 0.05*links.Asked {
		t.Errorf("a pair of halls costs %v, links %v of %v", whole.Foretold, links.Foretold, links.Asked)
	}
	if *into != "" {
		if err := WriteForesights(filepath.Join(*into, "outlook.csv"), table); err != nil {
			t.Fatal(err)
		}
		if err := ChartForesights(filepath.Join(*into, "outlook.png"), table); err != nil {
			t.Fatal(err)
		}
	}
}
