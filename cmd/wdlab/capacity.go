package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"willowdeck/internal/capacity"
	"willowdeck/internal/elements"
	"willowdeck/internal/lab"
)

// elementsCommand measures what one more element of each kind costs a process.
func elementsCommand() *cli.Command {
	return &cli.Command{Name: "elements",
		Usage:  "measure what a member, plan, peer, route, worker or customer more costs, over sizes up to the coming ones",
		Action: measure, Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "docs/capacity/elements.csv", Usage: "the table to write, `FILE.csv`"},
			&cli.StringFlag{Name: "refusals", Value: "docs/capacity/refusals.csv", Usage: "and what is refused, `FILE.csv`"},
			&cli.StringFlag{Name: "run", Usage: "the `NAME` of the run; else its time"},
			&cli.StringFlag{Name: "commit", Usage: "which is measured; else this build's own"},
			&cli.StringFlag{Name: "distribution", Value: "direct", Usage: "how agreed rules are told: direct, relay"},
			&cli.StringSliceFlag{Name: "only", Usage: "elements of this `NAME`; what others wrote is not kept"},
		}}
}

func measure(_ context.Context, c *cli.Command) error {
	if _, err := args(c, 0); err != nil {
		return err
	}
	run, commit, way := c.String("run"), c.String("commit"), c.String("distribution")
	if run == "" {
		run = "elements-" + time.Now().UTC().Format("0102-1504")
	}
	if commit == "" {
		commit = lab.Build()
	}
	wanted := map[string]bool{}
	for _, name := range c.StringSlice("only") {
		wanted[name] = true
	}
	var all []elements.Element
	for _, e := range elements.All() {
		if len(wanted) == 0 || wanted[e.Name] {
			all = append(all, e)
		}
	}
	if len(all) == 0 {
		return errors.New("only: there is no such element")
	}
	log, begun := logger(), time.Now()
	var rows []capacity.Row
	err := elements.Run(all, func(e *elements.Element, n int, values []elements.Value) {
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
	var refusals []capacity.Refusal
	for _, b := range elements.Bounds() {
		most, says := b.Most(b.Coming)
		r := capacity.Refusal{Run: run, Commit: commit, Distribution: way, Role: b.Role, What: b.What,
			Coming: float64(b.Coming), Most: float64(most), Says: "taken"}
		if says != nil {
			r.Says = says.Error()
		}
		log.Info().Int("most", most).Int("coming", b.Coming).Str("says", r.Says).Msg(b.What)
		refusals = append(refusals, r)
	}
	return capacity.WriteRefusals(c.String("refusals"), refusals)
}
