package emulator

import (
	"fmt"

	"willowdeck/internal/forecast"
	"willowdeck/internal/policy"
)

// meterIntervalMillis is how often the forecast's meters are advanced.
const meterIntervalMillis = 200

// report returns what an instance reports of itself for a forecast.
func (g *gatekeeper) report() *forecast.Report {
	scenario := g.sim.scenario
	regionName := func(region int) string { return fmt.Sprintf("hall%d", region) }
	report := &forecast.Report{Name: fmt.Sprintf("g%d", g.index), Host: "emulated",
		Region: regionName(scenario.region(g.index)),
		Group:  "emulated", Index: g.index, Settings: scenario.policySettings(g.index)}
	report.Settings.GatewayIndex = 0
	for _, p := range scenario.Products {
		report.Products = append(report.Products, p.Name)
	}
	for _, p := range scenario.Plans {
		report.Plans = append(report.Plans, p.Name)
	}
	engine, ok := g.decider.(*policy.Engine)
	if !ok {
		return report
	}
	var snapshot policy.Snapshot
	stats := engine.Stats()
	for at := engine.WriteSnapshot(&snapshot, 0); at > 0; {
		at = engine.WriteSnapshot(&snapshot, at)
	}
	g.meter.FillReport(report, g.sim.clockMillis(), &stats, &snapshot, regionName)
	if g.lender != nil {
		g.lender.ledger.EachAccount(report.AddCredit)
	}
	return report
}
