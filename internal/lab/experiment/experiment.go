package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"willowdeck/internal/lab/emulator"
	"willowdeck/internal/strictoml"
)

// Experiment is a scenario that is played under each of some policies, with each value of a figure and each
// seed.
type Experiment struct {
	Name        string    `toml:"name"`
	Scenario    string    `toml:"scenario"` // path of a file, relative to the experiment's
	Policies    []string  `toml:"policies"` // of emulator.Policies; the scenario's own where there are none
	SweepKey    string    `toml:"key"`      // of the scenario's figure that is swept; empty where none is
	SweepValues []float64 `toml:"values"`   // of that figure
	Seeds       int       `toml:"seeds"`    // seeds are 1 to this number
	ChartColumn string    `toml:"chart"`    // column that is drawn

	base *emulator.Scenario
}

// Read reads and checks an experiment and its scenario. An error names the file, and the line or the key.
func Read(path string) (*Experiment, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	experiment := &Experiment{}
	if err := strictoml.Decode(string(raw), experiment); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	scenarioPath := experiment.Scenario
	if !filepath.IsAbs(scenarioPath) {
		scenarioPath = filepath.Join(filepath.Dir(path), scenarioPath)
	}
	if experiment.base, err = emulator.Read(scenarioPath); err != nil {
		return nil, fmt.Errorf("%s: scenario: %w", path, err)
	}
	if err := experiment.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return experiment, nil
}

// FromScenario returns an experiment that plays a scenario without a sweep.
func FromScenario(scenario *emulator.Scenario, policies []string, seeds int) (*Experiment, error) {
	experiment := &Experiment{Name: scenario.Name, Policies: policies, Seeds: seeds, base: scenario}
	return experiment, experiment.validate()
}

// validate fills in the policies, and returns an error that names the first invalid key.
func (x *Experiment) validate() error {
	if len(x.Policies) == 0 {
		x.Policies = []string{x.base.Policy}
	}
	for i, policy := range x.Policies {
		if _, ok := emulator.Policies[policy]; !ok {
			return fmt.Errorf("policies[%d]: %q is unknown", i, policy)
		}
	}
	switch {
	case x.Name == "":
		return errors.New("name: it is missing")
	case x.Seeds < 1 || x.Seeds > 10000:
		return fmt.Errorf("seeds: %d is not from 1 to 10000", x.Seeds)
	case x.ChartColumn != "" && figureColumn(x.ChartColumn) < 0:
		return fmt.Errorf("chart: there is no column %q; there are %s", x.ChartColumn, strings.Join(columns, ", "))
	case x.SweepKey == "" && len(x.SweepValues) > 0:
		return errors.New("values: they need a key")
	case x.SweepKey != "" && len(x.SweepValues) == 0:
		return errors.New("values: they are missing")
	}
	for i, value := range x.SweepValues {
		scenario := x.base.Clone()
		if err := scenario.Set(x.SweepKey, value); err != nil {
			return fmt.Errorf("values[%d]: %w", i, err)
		}
	}
	return nil
}
