package capacity

import (
	"strings"
	"testing"
)

// The highest utilization comes first, and refusals in the order of how far the bound is exceeded.
func TestRankByUtilization(t *testing.T) {
	second := strings.Replace(entryText, `name = "x"`, `name = "y"`, 1) + "times = 5\ntimes_is = \"t\"\n"
	third := strings.Replace(entryText, `name = "x"`, `name = "z"`, 1) + "if = \"i\"\n"
	third += strings.Replace(entryText, `name = "x"`, `name = "part"`, 1) + "of = \"y\"\n"
	s, err := DecodeSpec(specWithOneEntry(t) + second + third)
	if err != nil {
		t.Fatal(err)
	}
	demands, err := ComputeDemands(s, rowsOverSizes("a", "direct", []float64{20, 300, 1000, 7900},
		func(n float64) float64 { return n }))
	if err != nil {
		t.Fatal(err)
	}
	got := RankByUtilization(demands)
	if len(got) != 2 || got[0].Name != "y" || got[1].Name != "x" {
		t.Errorf("%+v", got)
	}
	exceeded := ExceededBounds([]Refusal{{What: "a", Planned: 10, Max: 5}, {What: "b", Planned: 10, Max: 10},
		{What: "c", Planned: 10, Max: 1}})
	if len(exceeded) != 2 || exceeded[0].What != "c" || exceeded[1].What != "a" {
		t.Errorf("%+v", exceeded)
	}
}

// The ranking shows what the change makes of each entry: the entry that replaces it, the same figure in runs
// with relays, or that there is no run.
func TestRankingAfterTheChange(t *testing.T) {
	sizes := []float64{20, 300, 1000, 7900}
	n := func(n float64) float64 { return 10 * n }
	instead := strings.NewReplacer(`"x"`, `"y"`, `figure = "f"`, `figure = "g"`).Replace(entryText) +
		"way = \"relays\"\ninstead = \"x\"\n"
	before := rowsOverSizes("a", "direct", sizes, n)
	other := rowsOverSizes("b", "relays", sizes, func(float64) float64 { return 1100 })
	for i := range other {
		other[i].Figure = "g"
	}
	cases := []struct {
		name, lines string
		rows        []Row
		refusals    []Refusal
		want        []string
	}{
		{"no run", "", before, nil, []string{"| 3.59 | no run |"}},
		{"the same figure", "", append(rowsOverSizes("b", "relays", sizes, func(n float64) float64 { return n }),
			before...), nil,
			[]string{"| 3.59 | 0.359 (7.9 KB/s, measured) |"}},
		{"too few sizes", "", append(rowsOverSizes("b", "relays", sizes[:3], n), before...), nil,
			[]string{"| 3.59 | too few sizes |"}},
		{"too few sizes, with the coming one", "", append(rowsOverSizes("b", "relays", sizes[2:],
			func(n float64) float64 {
				return n
			}), before...), nil, []string{"| 3.59 | 0.359 (7.9 KB/s, measured) |"}},
		{"the same figure of another run", "run = \"a\"\nafter_run = \"b\"\n", append(rowsOverSizes("b", "direct",
			sizes,
			func(n float64) float64 { return n }), before...), nil, []string{"| 3.59 | 0.359 (7.9 KB/s, measured) |"}},
		{"of another run alone", "after_run = \"b\"\n", append(rowsOverSizes("b", "direct", sizes,
			func(n float64) float64 {
				return n
			}), before...), nil, []string{"| - | 22 KB/s | - | 0.359 (7.9 KB/s, measured) |"}},
		{"obsolete with relays", "former = true\n", append(rowsOverSizes("b", "relays", sizes, n), before...), nil,
			[]string{"| 3.59 | gone |"}},
		{"replaced, no run", instead, before, nil, []string{"| 3.59 | no run |"}},
		{"replaced", instead, append(other, before...), nil,
			[]string{"| 3.59 | 0.05 (1.1 KB/s, measured) |"}},
		{"refused, no run", "", before, []Refusal{{"a", "c", "direct", "r", "w", 79, 5, "s"}},
			[]string{"| 1 | r | w | 79, refused | 5 (program) | 15.8 | no run |", "| 2 | gatekeeper |"}},
		{"refused, then accepted", "", before, []Refusal{{"a", "c", "direct", "r", "w", 79, 5, "s"},
			{"b", "c", "relays", "r", "w", 79, 79, "taken"}}, []string{"| 15.8 | taken |"}},
		{"refused still", "", before, []Refusal{{"a", "c", "direct", "r", "w", 79, 5, "s"},
			{"b", "c", "relays", "r", "w", 79, 50, "s"}}, []string{"| 15.8 | 50, refused beyond |"}},
		{"refused, and no longer needed", "", before, []Refusal{{"a", "c", "direct", "r", "u", 79, 5, "s"},
			{"b", "c", "relays", "r", "u", 79, 5, "s"}}, []string{"| 15.8 | gone |"}},
		{"refused, and not needed", "", before, []Refusal{{"a", "c", "direct", "r", "v", 79, 5, "s"}},
			[]string{"| 1 | gatekeeper |"}},
	}
	notes := "\n[[refusals]]\nwhat = \"w\"\nneeded = true\n\n[[refusals]]\nwhat = \"v\"\nmeans = \"m\"\n" +
		"\n[[refusals]]\nwhat = \"u\"\nneeded = true\nafter = \"gone\"\n"
	for _, c := range cases {
		s, err := DecodeSpec(specWithOneEntry(t) + c.lines + notes)
		if err != nil {
			t.Fatal(err)
		}
		demands, err := ComputeDemands(s, c.rows)
		if err != nil {
			t.Fatal(err)
		}
		got := s.rankingTable(demands, c.refusals)
		for _, want := range c.want {
			if !strings.Contains(got, want) {
				t.Errorf("%s: no %q in\n%s", c.name, want, got)
			}
		}
	}
	s, err := DecodeSpec(specWithOneEntry(t) + notes)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.refusalTable([]Refusal{{What: "z", Distribution: "direct", Planned: 2, Max: 1}},
		nil); err == nil ||
		!strings.Contains(err.Error(), `"z"`) {
		t.Errorf("a refusal without a note: %v", err)
	}
}
