package experiment

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"willowdeck/internal/lab/emulator"
)

// testDays are shapes and faults that take the place of a scenario's own.
var testDays = []struct {
	name, text string
	calm       bool
	heavy      bool // one seed of it is enough of a large fleet
}{
	{"calm", `
[[shapes]]
kind = "surge"        # half as much again
from_s = 3
to_s = 8
factor = 1.5
`, true, false},
	{"herd", `
[[faults]]
kind = "fail"         # one of eight is bad
part = 0.125
factor = 0.5
from_s = 1
to_s = 12
[[faults]]
kind = "drain"        # a release
part = 0.3
from_s = 4
to_s = 7
[[faults]]
kind = "restart"      # seven in ten gatekeepers at once
part = 0.7
from_s = 5
to_s = 5.1
`, false, false},
	{"pressed", `
[[shapes]]
kind = "surge"
from_s = 1
to_s = 11
factor = 2
[[faults]]
kind = "kill"         # half of the workers, which return cold
part = 0.5
from_s = 3
to_s = 8
`, false, true},
	{"split", `
[[faults]]
kind = "silent"       # a fifth of the workers
part = 0.2
from_s = 3
to_s = 9
[[faults]]
kind = "cut"          # peers don't receive each other's messages
part = 1
from_s = 3
to_s = 9
[[faults]]
kind = "lose"
part = 0.3
factor = 0.2
from_s = 3
to_s = 9
`, false, false},
}

// fleets are the scenarios whose fleets the days are played on, by gatekeepers, and by how many seeds.
var fleets = []struct {
	gatekeepers int
	seeds       int64
	file        string
}{{4, 3, "small"}, {20, 3, "halls20"}, {300, 2, "cold300"}}

// scenarioOnDay returns a scenario's fleet on another day of 12 s.
func scenarioOnDay(t *testing.T, file, text string) *emulator.Scenario {
	t.Helper()
	raw, err := os.ReadFile("../../../scenarios/" + file + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	own, _, _ := strings.Cut(string(raw), "[[faults]]")
	own, _, _ = strings.Cut(own, "[[shapes]]")
	scenario, err := emulator.Decode(own + text)
	if err == nil {
		err = scenario.Set("seconds", 12)
	}
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

func runUnderPolicy(t *testing.T, scenario *emulator.Scenario, policy string, seed int64) *emulator.Result {
	t.Helper()
	scenario = scenario.Clone()
	scenario.Policy = policy
	r, err := emulator.Run(t.Context(), scenario, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The policy compared with one that sees the true state late, at 4, 20, 300 gatekeepers: no part of a day, no
// class, tenant or crowd of customers is starved while the total looks well, and on a calm day what passes
// beyond quotas costs little more. Simulated.
func TestPolicyReachesFloors(t *testing.T) {
	for _, size := range fleets {
		for _, day := range testDays {
			for seed := int64(1); seed <= size.seeds; seed++ {
				if day.heavy && size.gatekeepers > 20 && seed > 1 {
					continue
				}
				t.Run(fmt.Sprint(day.name, size.gatekeepers, "-", seed), func(t *testing.T) {
					t.Parallel()
					s := scenarioOnDay(t, size.file, day.text)
					if s.Gatekeepers.Count != size.gatekeepers {
						t.Fatalf("%d gatekeepers", s.Gatekeepers.Count)
					}
					var d Day
					if day.calm {
						d.PlainRun = runUnderPolicy(t, s, "static", seed)
					}
					r, late := runUnderPolicy(t, s, "willowdeck", seed), runUnderPolicy(t, s, "late", seed)
					// Also compared with one that sees the state at once: how late is late is not known.
					for _, other := range []*emulator.Result{late, runUnderPolicy(t, s, "seer", seed)} {
						for _, m := range CheckFloors(s, d, r, other) {
							t.Errorf("beside %s: %v", other.Policy, m)
						}
					}
					if day.calm && r.RejectingInstances*10 > size.gatekeepers {
						t.Errorf("%d of %d gatekeepers turned all away for 4 s", r.RejectingInstances, size.gatekeepers)
					}
					if r.Violations != [6]int{} {
						t.Errorf("broken %v, first %v", r.Violations, r.FirstViolations[0])
					}
					n := len(r.Seconds)
					t.Logf("served %.3f, late-seeing %.3f; thirds %.3f %.3f %.3f; starved %.3f, %.3f; over %.3f, %.3f",
						servedShare(r, 0, n), servedShare(late, 0, n), servedShare(r, 0, n/3), servedShare(r, n/3, 2*n/3),
						servedShare(r, 2*n/3, n), r.StarvedFraction, late.StarvedFraction, OverQuotaCost(r),
						OverQuotaCost(late))
				})
			}
		}
	}
}

// Gatekeepers that turn all away for 4 s are found: all of them where every worker is lost.
func TestFloorsFindPlantedRejection(t *testing.T) {
	s := scenarioOnDay(t, "small", "[[faults]]\nkind = \"kill\"\npart = 1\nfrom_s = 2\nto_s = 11\n")
	if r := runUnderPolicy(t, s, "willowdeck", 1); r.RejectingInstances != s.Gatekeepers.Count {
		t.Errorf("%d of %d gatekeepers are found", r.RejectingInstances, s.Gatekeepers.Count)
	}
}

// resultServing is a run of so many seconds of which the same share was served everywhere: of a value of 100
// a second, in two classes that are asked alike and two tenants, beside a small class and a small tenant.
func resultServing(share float64) *emulator.Result {
	r := &emulator.Result{Transactions: 1000, Offered: 1200, Products: []emulator.Segment{{Name: "check",
		Transactions: 480},
		{
			Name:         "sale",
			Transactions: 480,
		}, {Name: "rare", Transactions: 40}}, Plans: []emulator.Segment{{Name: "shop"}, {Name: "agent"},
		{Name: "tiny"}}}
	for i, part := range []float64{588, 588, 24} {
		r.Products[i].Offered, r.Products[i].Served = part, part*share
		r.Plans[i].Offered, r.Plans[i].Served = part, part*share
	}
	for range 12 {
		r.Seconds = append(r.Seconds, emulator.Second{Offered: 100, ServedWithinQuota: 100 * share, Served: -1e6})
	}
	return r
}

// Each floor holds at its figure and is missed just below it, by its own name alone. Guards against a floor
// that is not checked, or is compared with the wrong run, part or figure.
func TestCheckFloorsArithmetic(t *testing.T) {
	s := scenarioOnDay(t, "small", "")
	s.Products[0].Idempotency, s.Products[1].Idempotency, s.Products[2].Idempotency = "inquiry", "inquiry",
		"inquiry"
	seconds := func(r *emulator.Result, from, to int, inside float64) {
		for i := range r.Seconds[from:to] {
			r.Seconds[from+i].ServedWithinQuota = inside
		}
	}
	all := func(v float64) func(r *emulator.Result) { return func(r *emulator.Result) { seconds(r, 0, 12, v) } }
	calm, once := Day{PlainRun: resultServing(0.9)}, s.Clone()
	once.Products[2].Idempotency = "once"
	cases := []struct {
		name   string
		on     *emulator.Scenario
		day    Day
		late   float64
		change func(r *emulator.Result) // of a run that is served as the late-seeing one
		missed string
	}{
		{"as well", s, Day{}, 0.9, func(*emulator.Result) {}, ""},
		{"half of all", s, Day{}, 0.9, all(45), ""},
		{"less than half of all", s, Day{}, 0.9, all(44.9), "whole "},
		{"the plainest less 0.05", s, Day{PlainRun: resultServing(0.6)}, 0.9, all(55), ""},
		{"less than that", s, Day{PlainRun: resultServing(0.6)}, 0.9, all(54.9), "calm "},
		{"late-seeing less 0.1, which is lower", s, Day{PlainRun: resultServing(0.99)}, 0.9, all(80), ""},
		{"less than that", s, Day{PlainRun: resultServing(0.99)}, 0.9, all(79.9), "calm "},
		{"a third at three tenths", s, Day{}, 0.9, func(r *emulator.Result) { seconds(r, 4, 8, 27) }, ""},
		{"a third below", s, Day{}, 0.9, func(r *emulator.Result) { seconds(r, 4, 8, 26.9) }, "third 2"},
		{"the last third below", s, Day{}, 0.9, func(r *emulator.Result) { seconds(r, 8, 12, 26.9) }, "third 3"},
		{"a third of a long day", s, Day{Long: true}, 0.9, func(r *emulator.Result) { seconds(r, 0, 4, 45) }, ""},
		{"less of one", s, Day{Long: true}, 0.9, func(r *emulator.Result) { seconds(r, 0, 4, 44.9) }, "third 1"},
		{"a class at half", s, Day{}, 0.8, func(r *emulator.Result) { r.Products[1].Served = 588 * 0.4 }, ""},
		{
			"a class below",
			s,
			Day{},
			0.8,
			func(r *emulator.Result) { r.Products[1].Served = 588 * 0.39 },
			"class sale",
		},
		{"a small class", s, Day{}, 0.8, func(r *emulator.Result) { r.Products[2].Served = 0 }, ""},
		{"a small class that is asked often", s, Day{}, 0.8, func(r *emulator.Result) {
			r.Products[2].Served, r.Products[2].Transactions = 0, 50
		}, "class rare"},
		{"a small class that may run once", once, Day{}, 0.8, func(r *emulator.Result) { r.Products[2].Served = 0 },
			"class rare"},
		{"a class hardly served there", s, Day{}, 0.29, func(r *emulator.Result) { r.Products[1].Served = 0 }, ""},
		{"a tenant at a third", s, Day{}, 0.9, func(r *emulator.Result) { r.Plans[0].Served = 588 * 0.3 }, ""},
		{
			"a tenant below",
			s,
			Day{},
			0.9,
			func(r *emulator.Result) { r.Plans[0].Served = 588 * 0.29 },
			"tenant shop",
		},
		{"a small tenant", s, Day{}, 0.9, func(r *emulator.Result) { r.Plans[2].Served = 0 }, ""},
		{"starved customers", s, Day{}, 0.9, func(r *emulator.Result) { r.StarvedFraction = 0.15 }, ""},
		{"more of them", s, Day{}, 0.9, func(r *emulator.Result) { r.StarvedFraction = 0.151 }, "starved "},
		{"beyond quotas on a calm day", s, calm, 0.9, func(r *emulator.Result) { r.OverQuotaCost = 120 }, ""},
		{"more of that", s, calm, 0.9, func(r *emulator.Result) { r.OverQuotaCost = 121 }, "over_quota "},
		{"beyond quotas on another day", s, Day{}, 0.9, func(r *emulator.Result) { r.OverQuotaCost = 1200 }, ""},
	}
	for _, c := range cases {
		r := resultServing(c.late)
		c.change(r)
		missed := CheckFloors(c.on, c.day, r, resultServing(c.late))
		if (c.missed == "") != (len(missed) == 0) || len(missed) > 1 ||
			len(missed) == 1 && !strings.HasPrefix(missed[0].String(), c.missed) {
			t.Errorf("%s, %s: missed %v, not %q", c.name, c.on.Products[2].Idempotency, missed, c.missed)
		}
	}
}

// A plan, a class and a third of a day that are starved on purpose in a fleet that serves all else are found
// in what the emulator says of its runs. Simulated.
func TestFloorsFindPlantedStarvation(t *testing.T) {
	calm := scenarioOnDay(t, "halls20", testDays[0].text)
	late := runUnderPolicy(t, calm, "late", 1)
	for name, starve := range map[string]func(s *emulator.Scenario){
		"tenant agent": func(s *emulator.Scenario) {
			s.Plans[1].RateLimitPerSecond,
				s.Plans[1].RateLimitBurst = 1e-3, 0.5
		},
		"class sale": func(s *emulator.Scenario) { s.Products[1].LatencyTargetMillis = 1 },
		"third 2": func(s *emulator.Scenario) {
			s.Faults = []emulator.Fault{{Kind: "restart", Fraction: 1, FromSeconds: 4, ToSeconds: 8}}
			s.Clients.Retries = 0
		},
	} {
		s := calm.Clone()
		starve(s)
		found := fmt.Sprint(CheckFloors(calm, Day{}, runUnderPolicy(t, s, "willowdeck", 1), late))
		if !strings.Contains(found, name) {
			t.Errorf("%s is starved, found %s", name, found)
		}
	}
	loose := calm.Clone() // a fleet that lets all in: what passes beyond quotas is priced
	loose.Workers.Cores *= 4
	for i := range loose.Plans {
		loose.Plans[i].OfferedLoad = 2
	}
	open, seen := runUnderPolicy(t, loose, "open", 1), runUnderPolicy(t, loose, "late", 1)
	if found := fmt.Sprint(CheckFloors(loose, Day{PlainRun: open}, open, seen)); !strings.Contains(found,
		"over_quota") {
		t.Errorf("%.3f of the worth passes beyond quotas, %.3f under the late-seeing policy; found %s",
			OverQuotaCost(open),
			OverQuotaCost(seen), found)
	}
}
