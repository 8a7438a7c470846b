package emulator

import (
	"fmt"
	"testing"

	"willowdeck/internal/policy"
)

// coldFaults start many workers cold, with what might synchronize the instances' attempts at one of them.
var coldFaults = map[string][]Fault{
	// Nine in ten are lost at once, and return; one in fifty comes behind them, cold as the others get warm.
	"return": {{Kind: "kill", FromSeconds: 2, ToSeconds: 2.5, Fraction: 0.9}, {Kind: "kill", FromSeconds: 5,
		ToSeconds: 6, Fraction: 0.02}},
	// All gatekeepers know nothing, again and again.
	"restarts": {{Kind: "kill", FromSeconds: 2, ToSeconds: 2.5, Fraction: 0.6}, {Kind: "restart",
		FromSeconds: 3, ToSeconds: 3.1, Fraction: 1},
		{Kind: "restart", FromSeconds: 4, ToSeconds: 4.1, Fraction: 1}, {Kind: "restart", FromSeconds: 5,
			ToSeconds: 5.1, Fraction: 0.7},
		{Kind: "roll", FromSeconds: 6, ToSeconds: 8, Fraction: 1}},
	// All workers turn slow while many are cold, and all gatekeepers look further.
	"slow": {{Kind: "kill", FromSeconds: 2, ToSeconds: 2.5, Fraction: 0.5},
		{Kind: "slow", FromSeconds: 5, ToSeconds: 7, Fraction: 1, Factor: 6}},
	// Most are replaced in steps.
	"steps": {{Kind: "drain", FromSeconds: 1, ToSeconds: 3, Fraction: 0.25}, {Kind: "drain", FromSeconds: 3,
		ToSeconds: 5, Fraction: 0.25},
		{Kind: "drain", FromSeconds: 5, ToSeconds: 7, Fraction: 0.25}},
}

// coldScenario is one of them, of a fleet of so many gatekeepers before workers that bear little.
func coldScenario(tb testing.TB, gatekeepers int, day string) *Scenario {
	tb.Helper()
	s, err := Read("../../../scenarios/cold300.toml")
	if err != nil {
		tb.Fatal(err)
	}
	s.Seconds, s.Faults, s.Gatekeepers.Count = 9, coldFaults[day], gatekeepers
	s.Workers.WarmUpSeconds, s.Workers.ColdCapacityFraction, s.Workers.OverloadFactor,
		s.Workers.OverloadMillis = 6, 0.05, 2, 1000
	s.Shapes = []ShapeSpec{{Kind: "surge", FromSeconds: 2, ToSeconds: 9, Factor: 1.5}}
	for i := range s.Plans {
		if s.Plans[i].SetSize = min(gatekeepers, s.Plans[i].SetSize); gatekeepers < 300 { // a fifth of all
			s.Plans[i].Customers /= 5
		}
	}
	if s.Gatekeepers.SetSize = min(gatekeepers, s.Gatekeepers.SetSize); gatekeepers < 300 {
		s.Workers.Count = 40
	}
	return s
}

// Two, twenty, thirty and three hundred gatekeepers, also after mass restarts and when most workers have just
// been lost: their attempts at a cold worker do not coincide, and none is overloaded. Where one transaction
// in eight ignores slow start some are on the same day: otherwise the test would show nothing.
func TestColdWorkersAreNotOverloaded(t *testing.T) {
	for _, n := range []int{2, 20, 30, 300} {
		for day := range coldFaults {
			t.Run(fmt.Sprint(n, " ", day), func(t *testing.T) {
				t.Parallel()
				for seed := range int64(3) {
					if n == 300 && seed > 0 {
						break // what many do evens out, and takes its time
					}
					r := play(t, coldScenario(t, n, day), seed, nil)
					if r.WarmingOverloads > 0 || r.Violations[4] > 0 || r.HighestWarmingLoad < 0.01 {
						t.Errorf("seed %d: %d overloaded, highest load %.2f, %v", seed, r.WarmingOverloads,
							r.HighestWarmingLoad,
							r.FirstViolations)
					}
					t.Logf("seed %d: highest load %.2f, score %.4f", seed, r.HighestWarmingLoad, r.Score)
				}
				if day != "return" {
					return
				}
				s := coldScenario(t, n, day)
				r := play(t, s, 0, func(_ int, b decider) decider {
					return &faultyDecider{decider: b, deadlines: map[uint64]float64{}, attempts: map[uint64]int{},
						products: map[uint64]int{},
						alter: func(p *faultyDecider, d policy.Decision) (policy.Decision, bool) {
							if d.Kind == policy.Submit && d.RequestID%8 == 0 && p.now > 2500 {
								d.Worker = p.coldWorker
							}
							return d, true
						}}
				})
				if r.WarmingOverloads == 0 || r.Violations[4] == 0 {
					t.Errorf("where one in eight ignores slow start %d are overloaded, %v", r.WarmingOverloads, r.Violations)
				}
			})
		}
	}
}
