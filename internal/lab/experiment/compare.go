package experiment

import (
	"fmt"
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"
)

// Difference is how a figure differs between two tables, for what both have played.
type Difference struct {
	Of            string // policy, and value of the key
	Figure        string
	Old, New      float64 // means over seeds
	OldSD, NewSD  float64
	Spread        float64 // two standard errors of the difference
	Beyond        bool    // it exceeds that
	OldRuns, Runs int
}

// cell is what was played, but for the seed.
type cell struct {
	scenario, policy, key string
	value                 float64
}

func (c cell) String() string {
	if c.key == "" {
		return c.scenario + " " + c.policy
	}
	return fmt.Sprintf("%s %s %s=%g", c.scenario, c.policy, c.key, c.value)
}

func (t *Table) cells(figure string) map[cell][]float64 {
	m := map[cell][]float64{}
	for _, l := range t.Rows {
		c := cell{l.Scenario, l.Policy, l.Key, l.Value}
		m[c] = append(m[c], l.Figures[figure])
	}
	return m
}

func (t *Table) order() []cell {
	var all []cell
	seen := map[cell]bool{}
	for _, l := range t.Rows {
		if c := (cell{l.Scenario, l.Policy, l.Key, l.Value}); !seen[c] {
			seen[c] = true
			all = append(all, c)
		}
	}
	return all
}

// Compare tells how figures differ between two tables. A difference counts where it exceeds two standard
// errors, by the spread over the seeds of both (Welch); with one seed on a side there is no spread, and
// none counts.
func Compare(old, now *Table, figures []string) ([]Difference, error) {
	var all []Difference
	for _, f := range figures {
		if columnOf(f) < 0 {
			return nil, fmt.Errorf("there is no figure %q", f)
		}
		was, is := old.cells(f), now.cells(f)
		for _, c := range now.order() {
			a, both := was[c]
			if !both {
				continue
			}
			b := is[c]
			d := Difference{Of: c.String(), Figure: f, OldRuns: len(a), Runs: len(b)}
			d.Old, d.OldSD = meanSD(a)
			d.New, d.NewSD = meanSD(b)
			if len(a) > 1 && len(b) > 1 {
				d.Spread = 2 * math.Sqrt(d.OldSD*d.OldSD/float64(len(a))+d.NewSD*d.NewSD/float64(len(b)))
				d.Beyond = math.Abs(d.New-d.Old) > d.Spread+1e-12
			}
			all = append(all, d)
		}
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s and %s have played nothing alike", old.Path, now.Path)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Beyond && !all[j].Beyond })
	return all, nil
}

func meanSD(v []float64) (mean, sd float64) {
	if len(v) < 2 {
		return stat.Mean(v, nil), 0
	}
	return stat.MeanStdDev(v, nil)
}
