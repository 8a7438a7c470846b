package experiment

import (
	"context"
	"errors"
	"runtime/debug"
	"sync"

	"willowdeck/internal/lab/emulator"
)

// Row is one run of an experiment: what was played, and its result.
type Row struct {
	Experiment, Build, Key string
	Value                  float64
	*emulator.Result
}

// RunCount returns the number of runs.
func (x *Experiment) RunCount() int { return len(x.Policies) * max(len(x.SweepValues), 1) * x.Seeds }

// Run plays all runs on a number of cores and returns their rows by policy, value and seed. The first error,
// or the end of ctx, stops all runs; then there are no rows. done, if not nil, is called after each run;
// calls do not overlap.
func (x *Experiment) Run(ctx context.Context, cores int, done func(Row)) ([]Row, error) {
	rows := make([]Row, x.RunCount())
	errs := make([]error, len(rows))
	next := make(chan int)
	var workers sync.WaitGroup
	var mu sync.Mutex // serializes the calls of done
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for range max(cores, 1) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range next {
				rows[i], errs[i] = x.runOne(ctx, i)
				if errs[i] != nil {
					cancel()
					continue
				}
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
	workers.Wait()
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

// runOne plays the run of an index in the order of policy, value and seed.
func (x *Experiment) runOne(ctx context.Context, i int) (Row, error) {
	values := x.SweepValues
	if len(values) == 0 {
		values = []float64{0}
	}
	scenario := x.base.Clone()
	scenario.Policy = x.Policies[i/(len(values)*x.Seeds)]
	value, seed := values[i/x.Seeds%len(values)], int64(i%x.Seeds+1)
	if x.SweepKey != "" {
		if err := scenario.Set(x.SweepKey, value); err != nil {
			return Row{}, err
		}
	}
	result, err := emulator.Run(ctx, scenario, seed)
	if err != nil {
		return Row{}, err
	}
	return Row{Experiment: x.Name, Build: BuildRevision(), Key: x.SweepKey, Value: value, Result: result}, nil
}

// BuildRevision returns the first 12 digits of the revision of this build, or "unknown".
var BuildRevision = sync.OnceValue(func() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" && len(setting.Value) > 12 {
				return setting.Value[:12]
			}
		}
	}
	return "unknown"
})
