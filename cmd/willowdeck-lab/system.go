package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"willowdeck/internal/lab/capacity"
	"willowdeck/internal/lab/experiment"
	"willowdeck/internal/serving/scale"
)

// systemScaleCommand measures the serving system as it grows.
func systemScaleCommand() *cli.Command {
	return &cli.Command{Name: "system-scale", Action: systemScale,
		Usage: "measure the serving system as it grows, with real programs and hollow agents and workers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "programs", Value: "target",
				Usage: "`FOLDER` with willowdeck-core, -agent and -edge"},
			&cli.StringSliceFlag{Name: "sizes", Usage: "`EDGES:WORKERS:ROUTES` of each size",
				Value: []string{"40:950:100", "110:2600:100", "220:5300:100", "330:7900:100"}},
			&cli.DurationFlag{Name: "window", Value: 10 * time.Second, Usage: "over which rest is measured"},
			&cli.IntFlag{Name: "changes", Value: 10, Usage: "of the configuration at each size"},
			&cli.StringFlag{Name: "run", Usage: "the `NAME` of the run; else its time"},
			&cli.StringFlag{Name: "commit", Usage: "which is measured; else this build's own"},
			&cli.StringFlag{Name: "out", Value: "docs/capacity/system/scale.csv", Usage: "the table, `FILE.csv`"},
		}}
}

func systemScale(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0); err != nil {
		return err
	}
	options := scale.Options{
		Run: c.String("run"), Commit: c.String("commit"), Binaries: c.String("programs"),
		Window: c.Duration("window"), Changes: c.Int("changes"),
	}
	if options.Run == "" {
		options.Run = "system-scale-" + time.Now().UTC().Format("0102-1504")
	}
	if options.Commit == "" {
		options.Commit = experiment.BuildRevision()
	}
	for _, text := range c.StringSlice("sizes") {
		size, err := parseSize(text)
		if err != nil {
			return err
		}
		options.Sizes = append(options.Sizes, size)
	}
	log := logger()
	options.Progress = func(size scale.Size, figures []scale.Figure) {
		line := log.Info().Int("edges", size.Edges).Int("workers", size.Workers)
		for _, figure := range figures {
			line = line.Float64(fmt.Sprintf("%s %s, %s", figure.Role, figure.Name, figure.Unit), figure.Value)
		}
		line.Msg("measured")
	}
	rows, err := scale.Run(ctx, options)
	if err != nil {
		return err
	}
	return capacity.Write(c.String("out"), rows)
}

// parseSize reads EDGES:WORKERS:ROUTES.
func parseSize(text string) (scale.Size, error) {
	fields := strings.Split(text, ":")
	if len(fields) != 3 {
		return scale.Size{}, fmt.Errorf("sizes: %q: give EDGES:WORKERS:ROUTES", text)
	}
	var numbers [3]int
	for i, field := range fields {
		number, err := strconv.Atoi(field)
		if err != nil || number < 1 {
			return scale.Size{}, fmt.Errorf("sizes: %q: give whole numbers above 0", text)
		}
		numbers[i] = number
	}
	return scale.Size{Edges: numbers[0], Workers: numbers[1], Routes: numbers[2]}, nil
}
