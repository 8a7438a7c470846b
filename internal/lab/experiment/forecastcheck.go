package experiment

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"

	"willowdeck/internal/forecast"
	"willowdeck/internal/lab/emulator"
)

// ForecastCheck compares the predicted cost of a loss of regions with that of the same loss played in the
// emulator with the same arrivals. Values are per second: the mean from the loss until quota shares have
// moved.
type ForecastCheck struct {
	Scenario            string
	Loss                forecast.Loss
	Seed                int64
	Offered             float64 // value
	Predicted, Observed float64 // value lost; what is lost at once is spread over the period
	Replayed            float64 // value lost in a replay from the reports alone, with another seed
	Loads               []RegionLoad
}

// RegionLoad is what a region that is left runs, in transactions a second.
type RegionLoad struct {
	Region              string
	Predicted, Observed float64
}

// RelativeError returns by how much the value lost was predicted too high, as a part of the value offered.
func (c *ForecastCheck) RelativeError() float64 { return (c.Predicted - c.Observed) / c.Offered }

// MaxLoadError returns the relative error of the region whose load was predicted worst.
func (c *ForecastCheck) MaxLoadError() (largest float64) {
	for _, load := range c.Loads {
		if relative := (load.Predicted - load.Observed) / math.Max(load.Observed,
			1); math.Abs(relative) > math.Abs(largest) {
			largest = relative
		}
	}
	return largest
}

// CheckForecasts predicts the cost of losses from the reports of an emulated fleet at a moment, and plays
// each loss. With replay each is also played in a scenario rebuilt from the reports alone, with another seed.
func CheckForecasts(ctx context.Context, scenario *emulator.Scenario, seed int64, atSeconds float64,
	losses []forecast.Loss,
	replay bool) ([]ForecastCheck, *forecast.Forecast, error) {
	rules := ForecastRules(scenario)
	before, reports, err := emulator.RunReports(ctx, scenario, seed, atSeconds)
	if err != nil {
		return nil, nil, err
	}
	outlook := forecast.Project(reports, rules)
	untilSeconds := min(atSeconds+outlook.RebalanceMillis/1000, scenario.Seconds)
	var checks []ForecastCheck
	var replayScenario *emulator.Scenario
	var replayBaseline *emulator.Result
	if replay {
		if replayScenario = scenarioFromReports(reports, rules, scenario); replayScenario == nil {
			return nil, nil, fmt.Errorf("replay: %s", strings.Join(outlook.Unknown, "; "))
		}
		if replayBaseline, err = emulator.Run(ctx, replayScenario, seed+1e6); err != nil {
			return nil, nil, err
		}
	}
	for _, loss := range losses {
		i := slices.IndexFunc(outlook.Losses, func(cost forecast.Cost) bool { return cost.Loss.Equal(loss) })
		if i < 0 {
			return nil, nil, fmt.Errorf("loss of %s: not projected: %s", strings.Join(loss.Regions, ", "),
				strings.Join(outlook.Unknown, "; "))
		}
		after, err := emulator.Run(ctx, withLoss(scenario, loss, atSeconds, rules.SlowFactor), seed)
		if err != nil {
			return nil, nil, err
		}
		check := compareWithForecast(&outlook.Losses[i], before, after, seed, atSeconds, untilSeconds)
		if replay {
			replayed, err := emulator.Run(ctx, withLoss(replayScenario, loss, atSeconds, rules.SlowFactor), seed+1e6)
			if err != nil {
				return nil, nil, err
			}
			check.Replayed = compareWithForecast(&outlook.Losses[i], replayBaseline, replayed, seed, atSeconds,
				untilSeconds).Observed
		}
		checks = append(checks, check)
	}
	return checks, outlook, nil
}

// faultKinds maps a loss to the fault with which the emulator plays it.
var faultKinds = map[forecast.Kind]string{forecast.LoseRegion: "hall", forecast.LoseGateways: "keepers",
	forecast.LoseLinks: "links", forecast.LoseRegionSlowNeighbours: "hall"}

// ForecastRules returns what operators of an emulated fleet would state of it.
func ForecastRules(scenario *emulator.Scenario) forecast.Assumptions {
	rules := forecast.DefaultAssumptions
	// a connection, the request and its response
	rules.WorkerCores, rules.NetworkMillis = float64(scenario.Workers.Cores), 3*scenario.Network.WorkerMillis
	rules.ClientAttempts, rules.ClientBackoffMillis = scenario.Clients.Retries+1,
		scenario.Clients.MaxBackoffMillis
	return rules
}

// withLoss returns a copy of a scenario with a loss from a moment on.
func withLoss(scenario *emulator.Scenario, loss forecast.Loss, atSeconds,
	slowFactor float64) *emulator.Scenario {
	played := scenario.Clone()
	lost := emulator.Fault{Kind: faultKinds[loss.Kind], FromSeconds: atSeconds, ToSeconds: scenario.Seconds +
		1000}
	others := emulator.Fault{Kind: "slow", FromSeconds: atSeconds, ToSeconds: scenario.Seconds + 1000,
		Factor: slowFactor}
	for region := range scenario.Workers.Zones {
		if slices.Contains(loss.Regions, fmt.Sprintf("hall%d", region)) {
			lost.Regions = append(lost.Regions, region)
		} else {
			others.Regions = append(others.Regions, region)
		}
	}
	if played.Faults = append(played.Faults, lost); loss.Kind == forecast.LoseRegionSlowNeighbours {
		played.Faults = append(played.Faults, others)
	}
	return played
}

// scenarioFromReports rebuilds a scenario from reports. What they do not show (queues, patience of clients,
// delays of updates) is taken from a known scenario, which stands for the operators' knowledge. It returns
// nil where the reports do not suffice.
func scenarioFromReports(reports []*forecast.Report, rules forecast.Assumptions,
	known *emulator.Scenario) *emulator.Scenario {
	model := forecast.NewEmulatorModel(reports, rules)
	if model == nil {
		return nil
	}
	scenario := known.Clone()
	scenario.Faults, scenario.Shapes, scenario.Trace = nil, nil, ""
	scenario.Workers.Zones, scenario.Workers.Count = len(model.Regions), 0
	for _, count := range model.WorkersByRegion {
		scenario.Workers.Count += count
	}
	scenario.Workers.Exponential, scenario.Workers.ServiceSigma = false, math.Sqrt(math.Log(1+model.ServiceCV2))
	scenario.Workers.ServiceMillis = model.ServiceMillis[0] / math.Sqrt(1+model.ServiceCV2)
	scenario.Network.WorkerMillis, scenario.Network.CrossRegionMillis = rules.NetworkMillis/3,
		model.CrossRegionMillis/3
	for i := range scenario.Products {
		scenario.Products[i].RelativeWork = model.ServiceMillis[i] / model.ServiceMillis[0]
		scenario.Products[i].Weight = 0
		for _, plan := range model.Plans {
			scenario.Products[i].Weight += plan.RequestsByProduct[i]
		}
	}
	for i, plan := range model.Plans {
		planSpec := &scenario.Plans[i]
		planSpec.Customers, planSpec.SetSize, planSpec.MaxUnits, planSpec.Skew = int(math.Round(plan.Customers)),
			plan.SetSize, 2*plan.MeanUnits-1, 0
		planSpec.OfferedLoad = plan.Requested * plan.MeanUnits / float64(
			planSpec.Customers) / planSpec.QuotaPerSecond
	}
	return scenario
}

// compareWithForecast compares a predicted cost with two runs, without and with the loss.
func compareWithForecast(cost *forecast.Cost, before, after *emulator.Result, seed int64, atSeconds,
	untilSeconds float64) ForecastCheck {
	check := ForecastCheck{Scenario: before.Scenario, Loss: cost.Loss, Seed: seed}
	seconds := untilSeconds - atSeconds
	completed := make([]float64, len(cost.Before.Regions))
	for i := int(atSeconds); i < int(untilSeconds); i++ {
		check.Offered += before.Seconds[i].Offered / seconds
		check.Observed += (before.Seconds[i].Served - after.Seconds[i].Served) / seconds
		for index, count := range after.Seconds[i].RunsByRegion {
			completed[index] += count / seconds
		}
	}
	check.Predicted = cost.Before.LostValue + cost.Immediate/seconds
	for index, region := range cost.Before.Regions {
		if region.Workers > 0 {
			check.Loads = append(check.Loads, RegionLoad{region.Name, region.Succeeded, completed[index]})
		}
	}
	return check
}
