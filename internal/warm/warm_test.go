package warm

import (
	"math"
	"testing"
)

func TestMerge(t *testing.T) {
	list := map[string]float64{"a": 0, "b": 5000}
	say := func(f ...Fact) Message { return Message{Version: Version, Facts: f} }
	cases := []struct {
		name string
		all  []Message
		want map[string]float64 // distrust
	}{
		{"one", []Message{say(Fact{"a", 0, 2, 20, 100})}, map[string]float64{"a": 2 * Weight}},
		{"the newest wins", []Message{say(Fact{"a", 0, 2, 20, 100}), say(Fact{"a", 0, 0, 20, 50})},
			map[string]float64{"a": 0}},
		{"whichever comes first", []Message{say(Fact{"a", 0, 0, 20, 50}), say(Fact{"a", 0, 2, 20, 100})},
			map[string]float64{"a": 0}},
		{"too old", []Message{say(Fact{"a", 0, 2, 20, Oldest + 1})}, nil},
		{"another life of the worker", []Message{say(Fact{"b", 0, 2, 20, 1}, Fact{"b", 4000, 2, 20, 1})}, nil},
		{"the same life", []Message{say(Fact{"b", 5000, 1, 20, 1})}, map[string]float64{"b": Weight}},
		{"not on the list", []Message{say(Fact{"c", 0, 2, 20, 1})}, nil},
		{"another version", []Message{{Version: 2, Facts: []Fact{{"a", 0, 2, 20, 1}}}}, nil},
		{"figures out of range", []Message{say(Fact{"a", 0, 2, 20, 1}, Fact{"b", 5000, math.NaN(), 2, 1}),
			say(Fact{"a", 0, -1, 20, 1}), say(Fact{"a", 0, 1, 1e9, 1}), say(Fact{"a", 0, 1, 1, math.Inf(-1)}),
			say(Fact{"", 0, 1, 1, 1})}, nil},
		{"without end", []Message{say(make([]Fact, MostFacts+1)...)}, nil},
		{"a bad one beside a good one", []Message{say(Fact{"", 0, 1, 1, 1}), say(Fact{"a", 0, 1, 1, 1})},
			map[string]float64{"a": Weight}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Merge(c.all, list)
			if len(got) != len(c.want) {
				t.Fatalf("%+v", got)
			}
			for _, f := range got {
				if want, ok := c.want[f.Worker]; !ok || f.Distrust != want {
					t.Errorf("%+v, want %v", f, want)
				}
			}
		})
	}
}
