package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"willowdeck/internal/lab/scale"
)

// scaleCommand measures what control costs as a fleet grows.
func scaleCommand(out cli.Flag) *cli.Command {
	return &cli.Command{Name: "scale", ArgsUsage: "SCENARIO.toml", Action: scaleUp,
		Usage: "measure what control costs as a fleet grows, with real processes and hollow ones on loopback",
		Flags: []cli.Flag{out,
			&cli.StringFlag{Name: "program", Value: "bin/willowdeck", Usage: "the gatekeeper's `FILE`"},
			&cli.StringFlag{Name: "chart", Usage: "and draw it, `FILE.png`"},
			&cli.IntSliceFlag{Name: "sizes", Usage: "instead of the scenario's own, `N,N`"},
			&cli.StringSliceFlag{Name: "parts", Usage: "instead of the scenario's own: rules, lists, desk, words"},
			&cli.StringFlag{Name: "distribution", Usage: "instead of the scenario's own"},
			&cli.StringFlag{Name: "commit", Usage: "which is measured; else this build's own"},
			&cli.BoolFlag{Name: "append", Usage: "add to the table that there is: sizes may be run one by one"}}}
}

func scaleUp(ctx context.Context, c *cli.Command) error {
	a, err := arguments(c, 1)
	if err != nil {
		return err
	}
	s, err := scale.Read(a[0])
	if err != nil {
		return err
	}
	if all := c.IntSlice("sizes"); len(all) > 0 {
		s.Sizes = all
	}
	if all := c.StringSlice("parts"); len(all) > 0 {
		s.Parts = all
	}
	if d := c.String("distribution"); d != "" {
		s.Distribution = d
	}
	if err := s.Check(); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	began := time.Now()
	t, err := scale.Run(ctx, s, scale.Programs{Willowdeck: c.String("program"), Lab: self}, logger())
	if commit := c.String("commit"); commit != "" {
		t.Commit(commit)
	}
	t.Print(os.Stdout)
	fmt.Printf("took %.1f s\n", time.Since(began).Seconds())
	if broken := t.Broken(s.Bounds); len(broken) > 0 {
		err = errors.Join(err, fmt.Errorf("%d bounds are broken: %s", len(broken), strings.Join(broken, "; ")))
	}
	if path := c.String("out"); path != "" {
		if c.Bool("append") {
			err = errors.Join(err, t.Add(path))
		}
		err = errors.Join(err, t.Write(path))
	}
	if path := c.String("chart"); path != "" {
		err = errors.Join(err, t.Chart(path))
	}
	return err
}

// hollow plays a part in a scale run, for the process that has started it.
func hollow(ctx context.Context, _ *cli.Command) error {
	return scale.RunHollow(ctx, os.Stdin, os.Stdout)
}
