package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"willowdeck/internal/lab/capacity"
	"willowdeck/internal/lab/experiment"
	"willowdeck/internal/lab/footprint"
)

// elementsCommand measures what one more element of each kind costs a process.
func elementsCommand() *cli.Command {
	return &cli.Command{Name: "elements",
		Usage:  "measure what a member, peer, route, worker or customer more costs, up to the coming sizes",
		Action: runElements, Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "docs/capacity/elements.csv", Usage: "the table to write, `FILE.csv`"},
			&cli.StringFlag{Name: "refusals", Value: "docs/capacity/refusals.csv",
				Usage: "and what is refused, `FILE.csv`"},
			&cli.StringFlag{Name: "run", Usage: "the `NAME` of the run; else its time"},
			&cli.StringFlag{Name: "commit", Usage: "which is measured; else this build's own"},
			&cli.StringFlag{Name: "distribution", Value: "direct", Usage: "how agreed rules are told: direct, relays"},
			&cli.StringSliceFlag{Name: "only", Usage: "elements of this `NAME`; what others wrote is not kept"},
		}}
}

// runElements measures the elements, and writes their tables.
func runElements(_ context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0); err != nil {
		return err
	}
	run, commit, way := c.String("run"), c.String("commit"), c.String("distribution")
	if run == "" {
		run = "elements-" + time.Now().UTC().Format("0102-1504")
	}
	if commit == "" {
		commit = experiment.BuildRevision()
	}
	wanted := map[string]bool{}
	for _, name := range c.StringSlice("only") {
		wanted[name] = true
	}
	var all []footprint.Element
	for _, e := range footprint.All() {
		if len(wanted) == 0 || wanted[e.Name] {
			all = append(all, e)
		}
	}
	if len(all) == 0 {
		return errors.New("only: there is no such element")
	}
	log, begun := logger(), time.Now()
	var rows []capacity.Row
	err := footprint.Run(all, func(e *footprint.Element, n int, values []footprint.Value) {
		line := log.Info().Float64("s", time.Since(begun).Seconds()).Int(e.Over, n)
		for _, v := range values {
			rows = append(rows, capacity.Row{Run: run, Commit: commit, Distribution: way, Size: float64(n),
				Role: v.Role, Figure: v.Figure, Unit: v.Unit, Value: v.Value})
			line = line.Float64(fmt.Sprintf("%s, %s", v.Figure, v.Unit), v.Value)
		}
		line.Msg(e.Name)
	})
	if err != nil {
		return err
	}
	if err := capacity.Write(c.String("out"), rows); err != nil {
		return err
	}
	if len(wanted) > 0 {
		return nil
	}
	return capacity.WriteRefusals(c.String("refusals"), measureBounds(run, commit, way, log))
}

// measureBounds finds how many of each thing the program takes.
func measureBounds(run, commit, way string, log zerolog.Logger) []capacity.Refusal {
	var refusals []capacity.Refusal
	for _, b := range footprint.Bounds() {
		most, says := b.Most(b.Coming)
		r := capacity.Refusal{Run: run, Commit: commit, Distribution: way, Role: b.Role, What: b.What,
			Planned: float64(b.Coming), Max: float64(most), Message: "taken"}
		if says != nil {
			r.Message = says.Error()
		}
		log.Info().Int("most", most).Int("coming", b.Coming).Str("says", r.Message).Msg(b.What)
		refusals = append(refusals, r)
	}
	return refusals
}

// capacityCommand makes the tables and the chart of a capacity page.
func capacityCommand() *cli.Command {
	return &cli.Command{Name: "capacity",
		Usage:  "make the tables and the chart of a capacity page from what was measured",
		Action: runCapacity, Flags: []cli.Flag{
			&cli.StringFlag{Name: "spec", Value: "scenarios/capacity.toml",
				Usage: "what the operators state, `FILE.toml`"},
			&cli.StringFlag{Name: "data", Value: "docs/capacity", Usage: "the `FOLDER` of what was measured"},
			&cli.StringFlag{Name: "page", Value: "docs/CAPACITY-gateway.md",
				Usage: "`FILE` whose tables are made anew"},
			&cli.StringFlag{Name: "fits", Value: "docs/capacity/fits.md", Usage: "`FILE` of all figures' fits"},
			&cli.StringFlag{Name: "chart", Value: "docs/capacity/need.png", Usage: "`FILE` of the chart"},
			&cli.BoolFlag{Name: "check",
				Usage: "write nothing, and fail where the tables are not those that the data gives"},
		}}
}

// runCapacity updates or checks the page.
func runCapacity(_ context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0); err != nil {
		return err
	}
	b, err := capacity.BuildReport(c.String("spec"), c.String("data"))
	if err != nil {
		return err
	}
	if err := b.Update(c.String("page"), c.String("fits"), c.Bool("check")); err != nil || c.Bool("check") {
		return err
	}
	return capacity.DrawChart(b.Demands, c.String("chart"))
}
