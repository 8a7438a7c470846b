package experiment

import (
	"fmt"
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"
)

// Difference is how a figure differs between two tables in one setting that both have played.
type Difference struct {
	Setting              string // scenario, policy, and value of the key
	Figure               string
	OldMean, NewMean     float64 // over the seeds
	OldStdDev, NewStdDev float64
	Threshold            float64 // two standard errors of the difference
	Significant          bool    // the difference exceeds Threshold
	OldRuns, NewRuns     int
}

// Compare returns how figures differ between two tables, significant differences first. A difference is
// significant where it exceeds two standard errors, by the variance over the seeds of both (Welch). With one
// seed on a side there is no variance, and none is significant.
func Compare(old, current *Table, figures []string) ([]Difference, error) {
	var differences []Difference
	for _, figure := range figures {
		if figureColumn(figure) < 0 {
			return nil, fmt.Errorf("there is no figure %q", figure)
		}
		oldValues, currentValues := old.figureBySetting(figure), current.figureBySetting(figure)
		for _, key := range current.settings() {
			before, inBoth := oldValues[key]
			if !inBoth {
				continue
			}
			after := currentValues[key]
			difference := Difference{Setting: key.String(), Figure: figure, OldRuns: len(before), NewRuns: len(after)}
			difference.OldMean, difference.OldStdDev = meanAndStdDev(before)
			difference.NewMean, difference.NewStdDev = meanAndStdDev(after)
			if len(before) > 1 && len(after) > 1 {
				difference.Threshold = 2 * math.Sqrt(difference.OldStdDev*difference.OldStdDev/float64(len(
					before))+difference.NewStdDev*difference.NewStdDev/float64(len(after)))
				difference.Significant = math.Abs(difference.NewMean-difference.OldMean) > difference.Threshold+1e-12
			}
			differences = append(differences, difference)
		}
	}
	if len(differences) == 0 {
		return nil, fmt.Errorf("%s and %s have no setting in common", old.Path, current.Path)
	}
	sort.SliceStable(differences, func(i, j int) bool {
		return differences[i].Significant &&
			!differences[j].Significant
	})
	return differences, nil
}

// setting is what was played, apart from the seed.
type setting struct {
	scenario, policy, key string
	value                 float64
}

// String names the setting as Difference.Setting prints it.
func (s setting) String() string {
	if s.key == "" {
		return s.scenario + " " + s.policy
	}
	return fmt.Sprintf("%s %s %s=%g", s.scenario, s.policy, s.key, s.value)
}

// figureBySetting returns the values of a figure over the seeds, by setting.
func (t *Table) figureBySetting(figure string) map[setting][]float64 {
	values := map[setting][]float64{}
	for _, row := range t.Rows {
		key := setting{row.Scenario, row.Policy, row.Key, row.Value}
		values[key] = append(values[key], row.Figures[figure])
	}
	return values
}

// settings returns the settings in the order of the table.
func (t *Table) settings() []setting {
	var settings []setting
	seen := map[setting]bool{}
	for _, row := range t.Rows {
		if key := (setting{row.Scenario, row.Policy, row.Key, row.Value}); !seen[key] {
			seen[key] = true
			settings = append(settings, key)
		}
	}
	return settings
}

// meanAndStdDev returns mean and sample standard deviation; the latter is zero for a single value.
func meanAndStdDev(values []float64) (mean, stdDev float64) {
	if len(values) < 2 {
		return stat.Mean(values, nil), 0
	}
	return stat.MeanStdDev(values, nil)
}
