// Command willowdeck is the gatekeeper on sockets.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/supervisor"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "willowdeck: %v\n", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	file := &cli.StringFlag{Name: "config", Usage: "the configuration `FILE`",
		Sources: cli.EnvVars("NODE_CONFIG")}
	level := &cli.StringFlag{Name: "log", Value: "info", Usage: "the least `LEVEL` to log",
		Sources: cli.EnvVars("WILLOWDECK_LOG")}
	forward := &cli.StringFlag{Name: "forward", Usage: "the operator `FILE` of forward authentication",
		Sources: cli.EnvVars("WILLOWDECK_FORWARD")}
	left := &cli.StringFlag{Name: "residue", Usage: "the `FILE` that outlives a sudden end",
		Sources: cli.EnvVars("WILLOWDECK_RESIDUE")}
	recall := &cli.BoolFlag{Name: "recall", Value: true, Usage: "keep quotas and demand beside the residue",
		Sources: cli.EnvVars("WILLOWDECK_RECALL")}
	ask := &cli.StringSliceFlag{Name: "ask", Usage: "ask the instance whose operators' port is at `HOST:PORT`",
		Sources: cli.EnvVars("WILLOWDECK_ASK")}
	tell := &cli.BoolFlag{Name: "tell", Usage: "tell others the list at the operators' port",
		Sources: cli.EnvVars("WILLOWDECK_TELL")}
	notes := &cli.StringFlag{Name: "journal", Usage: "the operator `FILE` of the journal of once-only txns",
		Sources: cli.EnvVars("WILLOWDECK_JOURNAL")}
	hall := &cli.StringFlag{Name: "hall", Usage: "tell its word at the operators' port, as in `HALL`",
		Sources: cli.EnvVars("WILLOWDECK_HALL")}
	host := &cli.StringFlag{Name: "host", Usage: "the `NAME` of the daemon that keeps it, for its word",
		Sources: cli.EnvVars("WILLOWDECK_HOST")}
	group := &cli.StringFlag{Name: "group", Usage: "the `NAME` of those it shares quotas with, for its word",
		Sources: cli.EnvVars("WILLOWDECK_GROUP")}
	agree := &cli.StringFlag{Name: "agree", Usage: "go by the rules that the daemon at `HOST:PORT` tells",
		Sources: cli.EnvVars("WILLOWDECK_AGREE")}
	past := &cli.StringFlag{Name: "history", Usage: "record what is done in a file in the folder `DIR`",
		Sources: cli.EnvVars("WILLOWDECK_HISTORY")}
	fleetFile := &cli.StringFlag{Name: "file", Usage: "the fleet's `FILE`", Required: true}
	return &cli.Command{
		Name:  "willowdeck",
		Usage: "holds customers to quotas before a shared back end",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run a gatekeeper until SIGTERM; SIGHUP reads its file anew",
				Flags: []cli.Flag{file, forward, notes, left, recall, ask, tell, hall, host, group, agree, past,
					level}, Action: serve},
			{Name: "fleet", Usage: "keep many gatekeepers on this host until SIGTERM; SIGHUP reads the file anew",
				Flags: []cli.Flag{fleetFile, level}, Action: keep},
			{Name: "check", Usage: "read and check the configuration, and say what it holds",
				Flags: []cli.Flag{file, forward, notes}, Action: check},
			journals(),
			relays(level),
			{Name: "version", Usage: "say which build this is", Action: version},
		},
	}
}

// begin takes the signals and makes the log. The signals have a channel each: one that finds its channel
// full is dropped, and a stop must not be. They are taken from here on, so that none ends the program
// while it starts.
func begin(c *cli.Command) (stop, reload chan os.Signal, log zerolog.Logger, err error) {
	level, err := zerolog.ParseLevel(c.String("log"))
	if err != nil {
		return nil, nil, log, fmt.Errorf("log: %w", err)
	}
	stop, reload = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return stop, reload, zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger(), nil
}

func serve(_ context.Context, c *cli.Command) error {
	stop, reload, log, err := begin(c)
	if err != nil {
		return err
	}
	read := func() (config.Gatekeeper, error) { return readAll(c) }
	conf, err := read()
	if err != nil {
		return err
	}
	conf.Sockets = lifecycle.SocketLimit(conf.Sockets)
	g, err := lifecycle.Start(conf, log.With().Str("gatekeeper", conf.Name).Logger())
	if err != nil {
		return err
	}
	return g.Run(stop, reload, read)
}

// readAll reads a gatekeeper's configuration, and the operator files there are.
func readAll(c *cli.Command) (config.Gatekeeper, error) {
	conf, err := config.Read(c.String("config"), os.Getenv)
	conf.Residue, conf.Ask, conf.Tells = c.String("residue"), c.StringSlice("ask"), c.Bool("tell")
	conf.Recall = c.Bool("recall")
	conf.Hall, conf.Host, conf.Group = c.String("hall"), c.String("host"), c.String("group")
	conf.Agree, conf.History = c.String("agree"), c.String("history")
	for _, at := range conf.Ask {
		if _, bad := netip.ParseAddrPort(at); err == nil && bad != nil {
			err = fmt.Errorf("ask: %w", bad)
		}
	}
	if _, bad := netip.ParseAddrPort(conf.Agree); err == nil && conf.Agree != "" && bad != nil {
		err = fmt.Errorf("agree: %w", bad)
	}
	if path := c.String("forward"); err == nil && path != "" {
		conf.Forward, err = config.ReadForward(path, &conf)
	}
	if path := c.String("journal"); err == nil && path != "" {
		conf.Journal, err = config.ReadJournal(path, conf.Name)
	}
	return conf, err
}

// keep runs a fleet. A second signal to stop ends the wait for instances that drain, and leaves them to
// themselves.
func keep(_ context.Context, c *cli.Command) error {
	stop, reload, log, err := begin(c)
	if err != nil {
		return err
	}
	f, err := supervisor.LoadSettings(c.String("file"))
	if err != nil {
		return err
	}
	log = log.With().Str("fleet", f.Name).Logger()
	d, err := supervisor.NewDaemon(f, log)
	if err != nil {
		return err
	}
	p, err := d.ServeControl()
	if err != nil {
		d.Stop()
		return err
	}
	defer p.Close()
	for {
		select {
		case <-reload:
			d.Reload(supervisor.LoadSettings(c.String("file")))
		case s := <-stop:
			log.Info().Str("signal", s.String()).Msg("stopping")
			over := make(chan struct{})
			go func() {
				d.Stop()
				close(over)
			}()
			select {
			case <-over:
			case <-stop:
			}
			return nil
		}
	}
}

func check(_ context.Context, c *cli.Command) error {
	conf, err := readAll(c)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d products, %d plans, %d workers known, %d gatekeepers\n", conf.Name,
		len(conf.Charter.Products), len(conf.Charter.Plans), len(conf.Known.Workers), conf.Charter.Gatekeepers)
	if f := conf.Forward; f != nil && f.Asked != nil {
		fmt.Printf("asked by portals at %s, clearances last %g ms\n", f.Asked.Listen, f.Asked.Life)
	}
	if f := conf.Forward; f != nil && f.Asking != nil {
		fmt.Printf("asking %s, at most %g ms\n", f.Asking.Service, f.Asking.Terms.Limit)
	}
	if j := conf.Journal; j != nil {
		fmt.Printf("once-only txns are written down in %s, policy %s\n", j.Of(conf.Name), j.Terms.Policy)
	}
	return nil
}

func version(context.Context, *cli.Command) error {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("willowdeck, build unknown")
		return nil
	}
	rev := "unknown"
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" {
			rev = s.Value
		}
	}
	fmt.Printf("willowdeck %s, revision %s, %s\n", b.Main.Version, rev, b.GoVersion)
	return nil
}
