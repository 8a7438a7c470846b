// Command willowdeck-lab is the laboratory: it simulates deployments in virtual time, sends load to gateway
// instances on sockets, and keeps, draws and compares the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "willowdeck-lab: %v\n", err)
		os.Exit(1)
	}
}

// command returns the command line.
func command() *cli.Command {
	seeds := &cli.IntFlag{Name: "seeds", Value: 1, Usage: "play seeds 1 to `N`"}
	cores := &cli.IntFlag{Name: "cores", Value: runtime.NumCPU(), Usage: "runs side by side"}
	out := &cli.StringFlag{Name: "out", Usage: "the table to write, `FILE.csv`"}
	return &cli.Command{
		Name:  "willowdeck-lab",
		Usage: "plays fleets in virtual time, sends load on sockets, and compares what comes of it",
		Commands: []*cli.Command{
			runCommand(seeds, cores, out), sweepCommand(cores, out), chartCommand(), compareCommand(),
			traceCommand(), loadCommand(), forwardCommand(out), journalCommand(out), standCommand(),
			elementsCommand(), capacityCommand(),
		},
	}
}

func runCommand(seeds, cores, out cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "play a scenario", ArgsUsage: "SCENARIO.toml", Action: runScenario,
		Flags: []cli.Flag{
			seeds, cores, out,
			&cli.StringSliceFlag{Name: "policy", Usage: "who decides: willowdeck, open, static, seer, late"},
			&cli.StringFlag{Name: "seconds-out", Usage: "what became of each second of the first run, `FILE.csv`"},
		},
	}
}

func sweepCommand(cores, out cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "sweep", Usage: "play an experiment", ArgsUsage: "EXPERIMENT.toml", Action: runSweep,
		Flags: []cli.Flag{cores, out, &cli.StringFlag{Name: "chart", Usage: "and draw it, `FILE.png`"}},
	}
}

func chartCommand() *cli.Command {
	return &cli.Command{
		Name: "chart", Usage: "draw a table", ArgsUsage: "TABLE.csv CHART.png", Action: runChart,
		Flags: []cli.Flag{&cli.StringFlag{Name: "figure", Value: "score", Usage: "the `COLUMN` to draw"}},
	}
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name: "compare", Usage: "say which differences of two tables exceed the spread over seeds",
		ArgsUsage: "OLD.csv NEW.csv", Action: runCompare,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "figure", Value: []string{"score", "p99_ms", "over_units", "messages"}},
		},
	}
}

func traceCommand() *cli.Command {
	return &cli.Command{
		Name: "trace", Usage: "write a scenario's arrivals as a trace", ArgsUsage: "SCENARIO.toml TRACE.csv",
		Action: runTrace, Flags: []cli.Flag{&cli.IntFlag{Name: "seed", Value: 1}},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send a scenario's arrivals to gatekeepers on sockets", ArgsUsage: "SCENARIO.toml",
		Action: runLoad,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "a gatekeeper's `HOST:PORT`, by number"},
			&cli.StringFlag{Name: "credential", Usage: "the `HEADER` that says whose a request is"},
			&cli.IntFlag{Name: "most", Value: 2000, Usage: "requests out at once"},
			&cli.IntFlag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "body", Value: 200, Usage: "`BYTES` of a body"},
			&cli.IntFlag{Name: "closed", Usage: "instead, `N` clients that wait for their answers"},
		},
	}
}

func forwardCommand(out cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "forward", Usage: "send a scenario's arrivals with and without forward authentication",
		ArgsUsage: "SCENARIO.toml", Action: runForward,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/willowdeck", Usage: "the gatekeeper's `FILE`"},
			&cli.FloatFlag{Name: "seconds", Usage: "instead of the scenario's own"},
			&cli.IntFlag{Name: "seed", Value: 1}, out,
			&cli.StringFlag{Name: "chart", Usage: "draw each second's 99th percentile, `FILE.png`"},
		},
	}
}

func standCommand() *cli.Command {
	return &cli.Command{
		Name: "stand", Usage: "run stand-ins on loopback, and write a gatekeeper's configuration",
		ArgsUsage: "SCENARIO.toml", Action: runStand,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Value: "willowdeck-lab.json", Usage: "`FILE` to write"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:5000", Usage: "where the gatekeeper is to listen"},
			&cli.StringFlag{Name: "portal", Usage: "run a portal at `HOST:PORT` before it"},
			&cli.StringFlag{Name: "asks", Usage: "that asks at `HOST:PORT`"},
			&cli.DurationFlag{Name: "auth", Usage: "run an auth service that takes so long"},
		},
	}
}

// logger returns a logger to the standard error.
func logger() zerolog.Logger {
	return zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr,
		TimeFormat: time.TimeOnly, NoColor: true}).With().Timestamp().Logger()
}

// arguments returns the command's n arguments, or an error that names what it takes.
func arguments(c *cli.Command, n int) ([]string, error) {
	if c.Args().Len() != n {
		return nil, fmt.Errorf("%s takes %s", c.Name, c.ArgsUsage)
	}
	return c.Args().Slice(), nil
}
