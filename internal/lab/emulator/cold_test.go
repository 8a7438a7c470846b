package emulator

import (
	"fmt"
	"testing"

	"willowdeck/internal/policy"
)

// coldDays have many workers start cold, with all that might bring the gatekeepers' turns at one together.
var coldDays = map[string][]Fault{
	// Nine in ten are lost at once, and return; one in fifty comes behind them, cold as the others get warm.
	"return": {{Kind: "kill", FromS: 2, ToS: 2.5, Part: 0.9}, {Kind: "kill", FromS: 5, ToS: 6, Part: 0.02}},
	// All gatekeepers know nothing, again and again.
	"restarts": {{Kind: "kill", FromS: 2, ToS: 2.5, Part: 0.6}, {Kind: "restart", FromS: 3, ToS: 3.1, Part: 1},
		{Kind: "restart", FromS: 4, ToS: 4.1, Part: 1}, {Kind: "restart", FromS: 5, ToS: 5.1, Part: 0.7},
		{Kind: "roll", FromS: 6, ToS: 8, Part: 1}},
	// All workers turn slow while many are cold, and all gatekeepers look further.
	"slow": {{Kind: "kill", FromS: 2, ToS: 2.5, Part: 0.5},
		{Kind: "slow", FromS: 5, ToS: 7, Part: 1, Factor: 6}},
	// Most are replaced in steps.
	"steps": {{Kind: "drain", FromS: 1, ToS: 3, Part: 0.25}, {Kind: "drain", FromS: 3, ToS: 5, Part: 0.25},
		{Kind: "drain", FromS: 5, ToS: 7, Part: 0.25}},
}

// coldDay is one of them, of a fleet of so many gatekeepers before workers that bear little.
func coldDay(t testing.TB, n int, day string) *Scenario {
	t.Helper()
	s, err := Read("../../../scenarios/cold300.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Seconds, s.Faults, s.Gatekeepers.Count = 9, coldDays[day], n
	s.Workers.WarmUpS, s.Workers.ColdFrom, s.Workers.TipMultiple, s.Workers.TipMS = 6, 0.05, 2, 1000
	s.Shapes = []shape{{Kind: "surge", FromS: 2, ToS: 9, Factor: 1.5}}
	for i := range s.Plans {
		if s.Plans[i].Spread = min(n, s.Plans[i].Spread); n < 300 { // a fifth of all
			s.Plans[i].Customers /= 5
		}
	}
	if s.Gatekeepers.Spread = min(n, s.Gatekeepers.Spread); n < 300 {
		s.Workers.Count = 40
	}
	return s
}

// Two, twenty, thirty and three hundred gatekeepers, also after mass restarts and when most workers have just
// been lost: their turns at a cold worker do not come together, and none falls. Where one txn in eight keeps
// to no turn some do on the same day: else the test would tell nothing.
func TestNoneFalls(t *testing.T) {
	for _, n := range []int{2, 20, 30, 300} {
		for day := range coldDays {
			t.Run(fmt.Sprint(n, " ", day), func(t *testing.T) {
				t.Parallel()
				for seed := range int64(3) {
					if n == 300 && seed > 0 {
						break // what many do evens out, and takes its time
					}
					r := play(t, coldDay(t, n, day), seed, nil)
					if r.Falls > 0 || r.Breaks[4] > 0 || r.NearFall < 0.01 {
						t.Errorf("seed %d: %d fell, as near as %.2f, %v", seed, r.Falls, r.NearFall, r.First)
					}
					t.Logf("seed %d: as near as %.2f, score %.4f", seed, r.NearFall, r.Score)
				}
				if day != "return" {
					return
				}
				s := coldDay(t, n, day)
				r := play(t, s, 0, func(_ int, b brain) brain {
					return &planted{brain: b, left: map[uint64]float64{}, subs: map[uint64]int{}, repeat: map[uint64]int{},
						next: func(p *planted, d policy.Decision) (policy.Decision, bool) {
							if d.Kind == policy.Submit && d.RequestID%8 == 0 && p.now > 2500 {
								d.Worker = p.cold
							}
							return d, true
						}}
				})
				if r.Falls == 0 || r.Breaks[4] == 0 {
					t.Errorf("where one in eight keeps to no turn %d fell, %v", r.Falls, r.Breaks)
				}
			})
		}
	}
}
