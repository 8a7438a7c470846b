package footprint

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	least, mostCopies = time.Millisecond, 1
	os.Exit(m.Run())
}

// Each kind gives figures that are numbers, not below nought, each named once with its unit, and the same at
// its first two sizes.
func TestMeasures(t *testing.T) {
	seen := map[string]string{}
	for _, e := range All() {
		e.Sizes = e.Sizes[:2]
		var names [2]string
		err := Run([]Element{e}, func(_ *Element, n int, values []Value) {
			for _, v := range values {
				key := v.Role + ": " + v.Figure
				if v.Unit == "" || math.IsNaN(v.Value) || math.IsInf(v.Value, 0) || v.Value < 0 {
					t.Errorf("%s of %d %s: %s is %v %q", e.Name, n, e.Over, key, v.Value, v.Unit)
				}
				i := 0
				if n == e.Sizes[1] {
					i = 1
				} else if other, there := seen[key]; there {
					t.Errorf("%s: %s is a figure of %s too", e.Name, key, other)
				}
				seen[key] = e.Name + " over " + e.Over
				if !strings.Contains(key, "sets of") { // a small fleet has no smaller sets
					names[i] += key + "\n"
				}
			}
		})
		if err != nil {
			t.Error(err)
		}
		if names[0] != names[1] || names[0] == "" {
			t.Errorf("%s over %s: at one size\n%s, at the other\n%s", e.Name, e.Over, names[0], names[1])
		}
	}
}

// What grows by the element has to grow in the figures, so that no measurement passes that is of nothing.
func TestGrows(t *testing.T) {
	cases := []struct {
		name    string
		measure func(n int) ([]Value, error)
		figure  string
		sizes   [2]int
		least   float64 // each more, in the figure's unit
		most    float64
	}{
		{"a member", func(n int) ([]Value, error) { return answer("members", rules(n, 5, 0, 0)) },
			"answer with rules over members", [2]int{20, 500}, 40, 120},
		{"a word", func(n int) ([]Value, error) { return answer("words", rules(20, 5, n, 0)) },
			"answer with rules over words", [2]int{16, 1024}, 40, 200},
		{"a change's member", change, "a change in the log", [2]int{20, 200}, 40, 120},
		{"a peer", func(n int) ([]Value, error) { return read("peers", n, 5, 3, 0) },
			"configuration over peers", [2]int{20, 1000}, 10, 40},
		{"a worker", workers, "kept over workers", [2]int{2000, 20000}, 200, 1500},
		{"a customer", customers, "kept over customers", [2]int{10000, 50000}, 100, 900},
		{"a route, by plan", routes, "kept over routes, no worker listed", [2]int{300, 3000}, 60, 400},
		{"a gatekeeper's period", reportCosts, "period of words over gatekeepers", [2]int{100, 1000}, 0.015, 0.025},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var at [2]float64
			for i, n := range c.sizes {
				values, err := c.measure(n)
				if err != nil {
					t.Fatal(err)
				}
				for _, v := range values {
					if v.Figure == c.figure {
						at[i] = v.Value
					}
				}
			}
			each := (at[1] - at[0]) / float64(c.sizes[1]-c.sizes[0])
			if each < c.least || each > c.most {
				t.Errorf("%v at %v: %v each, not from %v to %v", at, c.sizes, each, c.least, c.most)
			}
		})
	}
}

// The largest number that is taken, and what is said to one more.
func TestMost(t *testing.T) {
	for _, most := range []int{0, 1, 499, 500, 7899, 7900, 9000} {
		b := Bound{Takes: func(n int) error {
			if n > most {
				return fmt.Errorf("%d is over %d", n, most)
			}
			return nil
		}}
		got, says := b.Most(7900)
		if want := min(most, 7900); got != want || (says == nil) != (most >= 7900) ||
			says != nil && says.Error() != fmt.Sprintf("%d is over %d", most+1, most) {
			t.Errorf("%d: found %d, %v", most, got, says)
		}
	}
}

// Sizes that the program refuses are left out, and any other error ends the run and says where.
func TestRun(t *testing.T) {
	measured := 0
	e := Element{Name: "thing", Over: "things", Sizes: []int{1, 2, 3}, Measure: func(n int) ([]Value, error) {
		if n == 2 {
			return nil, fmt.Errorf("%w: two", ErrRefused)
		}
		return nil, nil
	}}
	if err := Run([]Element{e}, func(*Element, int, []Value) { measured++ }); err != nil || measured != 1 {
		t.Errorf("%v, %d measured", err, measured)
	}
	e.Measure = func(int) ([]Value, error) { return nil, errors.New("broken") }
	if err := Run([]Element{e}, nil); err == nil || !strings.Contains(err.Error(), "thing of 1 things: broken") {
		t.Errorf("%v", err)
	}
}

// Each bound of the program takes something, and says what it refuses without a path of this machine.
func TestBounds(t *testing.T) {
	for _, b := range Bounds() {
		if err := b.Takes(5); err != nil {
			t.Errorf("%s: five: %v", b.What, err)
		}
	}
	if err := raftGroupOf(32); err == nil || strings.Contains(err.Error(), "/") {
		t.Errorf("32 hosts: %v", err)
	}
}
