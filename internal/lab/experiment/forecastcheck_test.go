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
	forecastSeeds = flag.Int("foresee", 0,
		"seeds that losses of halls are foretold and played with, at 20 and 300")
	outputDir     = flag.String("into", "", "where the table and the chart of that go")
	creditSeconds = flag.Float64("credit", 0, "seconds of their rates that all plans lend")
	replayLosses  = flag.Bool("replayed", false, "play each loss from the words alone, too")
)

// Each kind of loss is predicted from the reports of an emulated fleet, and then played with the same
// arrivals. Guards against a change of the policy, or of the reports, that the forecast does not follow.
func TestForecastMatchesPlayedLoss(t *testing.T) {
	losses := []forecast.Loss{{Kind: forecast.LoseRegion, Regions: []string{"hall0"}},
		{
			Kind:    forecast.LoseRegion,
			Regions: []string{"hall0", "hall1"},
		}, {Kind: forecast.LoseGateways, Regions: []string{"hall0"}},
		{Kind: forecast.LoseLinks, Regions: []string{"hall0"}}, {Kind: forecast.LoseRegionSlowNeighbours,
			Regions: []string{"hall0"}}}
	names, loads, seeds := []string{"halls20"}, []float64{1}, 1
	if *forecastSeeds > 0 {
		names, loads, seeds = []string{"halls20", "halls300"}, []float64{0.6, 1, 1.25}, *forecastSeeds
		losses = append(losses, forecast.Loss{Kind: forecast.LoseGateways, Regions: []string{"hall1", "hall2"}},
			forecast.Loss{Kind: forecast.LoseLinks, Regions: []string{"hall1", "hall2"}})
	}
	var groups []ForecastChecks
	lending := func(scenario *emulator.Scenario) {
		for i := range scenario.Plans {
			scenario.Plans[i].CreditSeconds, scenario.Plans[i].RepaySeconds = *creditSeconds, 30
		}
	}
	for _, name := range names {
		for _, load := range loads {
			scenario, err := emulator.Read("../../../scenarios/" + name + ".toml")
			if err != nil {
				t.Fatal(err)
			}
			for i := range scenario.Plans {
				if err := scenario.Set(fmt.Sprintf("plans[%d].asks", i), scenario.Plans[i].OfferedLoad*load); err != nil {
					t.Fatal(err)
				}
			}
			if *creditSeconds > 0 {
				lending(scenario)
			}
			group := ForecastChecks{Gatekeepers: scenario.Gatekeepers.Count, OfferedLoad: load}
			for seed := range int64(seeds) {
				checks, _, err := CheckForecasts(t.Context(), scenario, seed+1, 10, losses, *replayLosses)
				if err != nil {
					t.Fatal(err)
				}
				group.Checks = append(group.Checks, checks...)
			}
			for _, check := range group.Checks {
				t.Logf("%s x %v, %v of %v: asked %.0f/s, lost foretold %.1f, found %.1f, error %.3f; loads %.3f",
					name, load, check.Loss.Kind, check.Loss.Regions, check.Offered, check.Predicted, check.Observed,
					check.RelativeError(), check.MaxLoadError())
				if *forecastSeeds == 0 && (math.Abs(check.RelativeError()) > 0.12 ||
					math.Abs(check.MaxLoadError()) > 0.2) {
					t.Errorf("%v of %v: off by %.3f of the value asked, loads by %.3f: %v", check.Loss.Kind,
						check.Loss.Regions,
						check.RelativeError(), check.MaxLoadError(), check.Loads)
				}
			}
			groups = append(groups, group)
		}
	}
	// The forecast has to tell a costly loss from a cheap one.
	regionPair, links := groups[0].Checks[1], groups[0].Checks[3]
	if regionPair.Predicted < 0.2*regionPair.Offered && *forecastSeeds == 0 ||
		links.Predicted > 0.05*links.Offered {
		t.Errorf("a pair of halls costs %v, links %v of %v", regionPair.Predicted, links.Predicted, links.Offered)
	}
	if *outputDir != "" {
		if err := WriteForecastChecks(filepath.Join(*outputDir, "outlook.csv"), groups); err != nil {
			t.Fatal(err)
		}
		if err := DrawForecastChecks(filepath.Join(*outputDir, "outlook.png"), groups); err != nil {
			t.Fatal(err)
		}
	}
}
