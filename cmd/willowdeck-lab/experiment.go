package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"willowdeck/internal/lab/emulator"
	"willowdeck/internal/lab/experiment"
)

// readScenario reads the scenario that the first of n arguments names.
func readScenario(c *cli.Command, n int) (*emulator.Scenario, []string, error) {
	arguments, err := arguments(c, n)
	if err != nil {
		return nil, nil, err
	}
	scenario, err := emulator.Read(arguments[0])
	return scenario, arguments, err
}

// runScenario plays a scenario.
func runScenario(ctx context.Context, c *cli.Command) error {
	scenario, _, err := readScenario(c, 1)
	if err != nil {
		return err
	}
	sweep, err := experiment.FromScenario(scenario, c.StringSlice("policy"), c.Int("seeds"))
	if err != nil {
		return err
	}
	rows, err := runExperiment(ctx, c, sweep)
	if err == nil && c.String("seconds-out") != "" {
		err = experiment.WriteSeconds(c.String("seconds-out"), rows[0].Result)
	}
	return err
}

// runExperiment runs an experiment, logs each run, and writes its table. A rule that the policy violates is
// an error.
func runExperiment(ctx context.Context, c *cli.Command, x *experiment.Experiment) ([]experiment.Row, error) {
	log := logger()
	start := time.Now()
	rows, err := x.Run(ctx, c.Int("cores"), func(r experiment.Row) {
		e := log.Info().Str("policy", r.Policy).Int64("seed", r.Seed).Float64("score", r.Score).
			Int64("asked", r.Transactions).Int64("settled", r.Completed).Float64("p50_ms",
			r.P50Millis).Float64("p99_ms", r.P99Millis).
			Float64("near_fall", r.HighestWarmingLoad).Float64("starved", r.StarvedFraction)
		for _, p := range []emulator.Segment{emulator.WorstServed(r.Products), emulator.WorstServed(r.Plans)} {
			e = e.Float64("served_of_"+p.Name, p.ServedShare())
		}
		if r.Key != "" {
			e = e.Float64(r.Key, r.Value)
		}
		e.Msg("played")
		for _, b := range r.FirstViolations[:min(len(r.FirstViolations), 3)] {
			log.Warn().Str("policy", r.Policy).Int64("seed", r.Seed).Msg(b.String())
		}
	})
	if err != nil {
		return nil, err
	}
	var events int64
	broken := 0
	for _, r := range rows {
		if events += r.Events; r.Policy == "willowdeck" && r.Violations != [6]int{} {
			broken++
		}
	}
	took := time.Since(start)
	log.Info().Int("runs", len(rows)).Dur("took", took).Int64("events", events).
		Float64("events_per_s", float64(events)/took.Seconds()).Msg("done")
	if file := c.String("out"); file != "" {
		if err := experiment.WriteTable(file, rows); err != nil {
			return nil, err
		}
	}
	if broken > 0 {
		return rows, fmt.Errorf("%d of %d runs broke a rule", broken, len(rows))
	}
	return rows, nil
}

// runSweep plays an experiment from a file.
func runSweep(ctx context.Context, c *cli.Command) error {
	a, err := arguments(c, 1)
	if err != nil {
		return err
	}
	x, err := experiment.Read(a[0])
	if err != nil {
		return err
	}
	if c.String("chart") != "" && c.String("out") == "" {
		return fmt.Errorf("chart: it is drawn from the table, which --out names")
	}
	if _, err := runExperiment(ctx, c, x); err != nil || c.String("chart") == "" {
		return err
	}
	t, err := experiment.ReadTable(c.String("out"))
	if err != nil {
		return err
	}
	figure := x.ChartColumn
	if figure == "" {
		figure = "score"
	}
	return experiment.DrawSweep(t, figure, c.String("chart"))
}

// runChart draws a table.
func runChart(_ context.Context, c *cli.Command) error {
	a, err := arguments(c, 2)
	if err != nil {
		return err
	}
	t, err := experiment.ReadTable(a[0])
	if err != nil {
		return err
	}
	return experiment.DrawSweep(t, c.String("figure"), a[1])
}

// runCompare prints how two tables differ.
func runCompare(_ context.Context, c *cli.Command) error {
	a, err := arguments(c, 2)
	if err != nil {
		return err
	}
	old, err := experiment.ReadTable(a[0])
	if err != nil {
		return err
	}
	current, err := experiment.ReadTable(a[1])
	if err != nil {
		return err
	}
	differences, err := experiment.Compare(old, current, c.StringSlice("figure"))
	if err != nil {
		return err
	}
	for _, difference := range differences {
		verdict := "within the spread"
		switch {
		case difference.Significant:
			verdict = "BEYOND the spread"
		case difference.OldRuns < 2 || difference.NewRuns < 2:
			verdict = "no spread: one seed"
		}
		fmt.Printf("%-40s %-12s %10.4g -> %-10.4g %+.4g (spread %.4g, %d and %d seeds) %s\n", difference.Setting,
			difference.Figure,
			difference.OldMean,
			difference.NewMean, difference.NewMean-difference.OldMean, difference.Threshold, difference.OldRuns,
			difference.NewRuns, verdict)
	}
	return nil
}
