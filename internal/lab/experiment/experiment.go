// Package experiment runs experiments in the emulator: sweeps over figures, policies and seeds on all cores,
// kept as
// tables, drawn as charts, and compared.
package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"

	"willowdeck/internal/lab/emulator"
	"willowdeck/internal/strictoml"
)

// Experiment is a scenario played with each of some policies, values of a figure, and seeds.
type Experiment struct {
	Name     string
	Scenario string // a file, beside this one
	Policies []string
	Key      string // the figure that is swept; empty where none is
	Values   []float64
	Seeds    int
	Chart    string // the column that is drawn

	base *emulator.Scenario
}

// Read reads and checks an experiment. An error names the file, and the line or the key.
func Read(path string) (*Experiment, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	x := &Experiment{}
	if err := strictoml.Decode(string(raw), x); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	file := x.Scenario
	if !filepath.IsAbs(file) {
		file = filepath.Join(filepath.Dir(path), file)
	}
	if x.base, err = emulator.Read(file); err != nil {
		return nil, fmt.Errorf("%s: scenario: %w", path, err)
	}
	if err := x.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return x, nil
}

// Of makes an experiment of a scenario alone.
func Of(s *emulator.Scenario, policies []string, seeds int) (*Experiment, error) {
	x := &Experiment{Name: s.Name, Policies: policies, Seeds: seeds, base: s}
	return x, x.check()
}

func (x *Experiment) check() error {
	if len(x.Policies) == 0 {
		x.Policies = []string{x.base.Policy}
	}
	for i, p := range x.Policies {
		if _, ok := emulator.Policies[p]; !ok {
			return fmt.Errorf("policies[%d]: %q is unknown", i, p)
		}
	}
	switch {
	case x.Name == "":
		return errors.New("name: there is none")
	case x.Seeds < 1 || x.Seeds > 10000:
		return fmt.Errorf("seeds: %d is not from 1 to 10000", x.Seeds)
	case x.Chart != "" && columnOf(x.Chart) < 0:
		return fmt.Errorf("chart: there is no column %q; there are %s", x.Chart, strings.Join(columns, ", "))
	case x.Key == "" && len(x.Values) > 0:
		return errors.New("values: there is no key that they are of")
	case x.Key != "" && len(x.Values) == 0:
		return errors.New("values: there is none")
	}
	for i, v := range x.Values {
		s := x.base.Clone()
		if err := s.Set(x.Key, v); err != nil {
			return fmt.Errorf("values[%d]: %w", i, err)
		}
	}
	return nil
}

// Row is one run of an experiment.
type Row struct {
	Experiment, Build, Key string
	Value                  float64
	*emulator.Result
}

// Cases tells how many runs it has.
func (x *Experiment) Cases() int { return len(x.Policies) * max(len(x.Values), 1) * x.Seeds }

// Run plays all runs on so many cores, and gives their rows in the order of the list: policy, value,
// seed. It is whole, or there is an error. done is called after each run.
func (x *Experiment) Run(ctx context.Context, cores int, done func(Row)) ([]Row, error) {
	values := x.Values
	if len(values) == 0 {
		values = []float64{0}
	}
	rows := make([]Row, x.Cases())
	errs := make([]error, len(rows))
	next := make(chan int)
	var all sync.WaitGroup
	var mu sync.Mutex
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for range max(cores, 1) {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := range next {
				s := x.base.Clone()
				s.Policy = x.Policies[i/(len(values)*x.Seeds)]
				v, seed := values[i/x.Seeds%len(values)], int64(i%x.Seeds+1)
				var err error
				if x.Key != "" {
					err = s.Set(x.Key, v)
				}
				var r *emulator.Result
				if err == nil {
					r, err = emulator.Run(ctx, s, seed)
				}
				if errs[i] = err; err != nil {
					stop()
					continue
				}
				rows[i] = Row{x.Name, Build(), x.Key, v, r}
				if done != nil {
					mu.Lock()
					done(rows[i])
					mu.Unlock()
				}
			}
		}()
	}
	for i := range rows {
		select {
		case next <- i:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(next)
	all.Wait()
	for _, err := range errs {
		if err != nil && !errors.Is(err, context.Canceled) {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return rows, nil
}

// Build tells which build this is.
var Build = sync.OnceValue(func() string {
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" && len(s.Value) > 12 {
				return s.Value[:12]
			}
		}
	}
	return "unknown"
})
