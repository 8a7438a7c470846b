// Command willowdeck runs a gateway, a supervisor of gateways on one host, or a relay of rulesets; it checks
// configurations and reads journals.
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

// command returns the program's commands and flags.
func command() *cli.Command {
	configFile := &cli.StringFlag{Name: "config", Usage: "the configuration `FILE`",
		Sources: cli.EnvVars("NODE_CONFIG")}
	level := &cli.StringFlag{Name: "log", Value: "info", Usage: "the lowest `LEVEL` to log",
		Sources: cli.EnvVars("WILLOWDECK_LOG")}
	forwardAuthFile := &cli.StringFlag{Name: "forward", Usage: "the operator `FILE` of forward authentication",
		Sources: cli.EnvVars("WILLOWDECK_FORWARD")}
	crashStateFile := &cli.StringFlag{Name: "residue", Usage: "the `FILE` of the crash state",
		Sources: cli.EnvVars("WILLOWDECK_RESIDUE")}
	checkpoint := &cli.BoolFlag{Name: "recall", Value: true,
		Usage:   "keep checkpoints of quotas and demand beside the crash state",
		Sources: cli.EnvVars("WILLOWDECK_RECALL")}
	peerAdminAddresses := &cli.StringSliceFlag{Name: "ask",
		Usage:   "ask the instance with its operators' port at `HOST:PORT` for its list of workers",
		Sources: cli.EnvVars("WILLOWDECK_ASK")}
	sharesEndpoints := &cli.BoolFlag{Name: "tell",
		Usage:   "give starting instances the list of workers at the operators' port",
		Sources: cli.EnvVars("WILLOWDECK_TELL")}
	journalFile := &cli.StringFlag{Name: "journal",
		Usage:   "the operator `FILE` of the journal of non-idempotent requests",
		Sources: cli.EnvVars("WILLOWDECK_JOURNAL")}
	region := &cli.StringFlag{Name: "hall",
		Usage:   "serve the forecast report at the operators' port, as in `REGION`",
		Sources: cli.EnvVars("WILLOWDECK_HALL")}
	host := &cli.StringFlag{Name: "host", Usage: "the `NAME` of the supervisor's host, for the forecast report",
		Sources: cli.EnvVars("WILLOWDECK_HOST")}
	group := &cli.StringFlag{Name: "group",
		Usage:   "the `NAME` of the instances it shares quotas with, for the forecast report",
		Sources: cli.EnvVars("WILLOWDECK_GROUP")}
	rulesetAddress := &cli.StringFlag{Name: "agree",
		Usage:   "follow the ruleset in force of the supervisor at `HOST:PORT`",
		Sources: cli.EnvVars("WILLOWDECK_AGREE")}
	historyDir := &cli.StringFlag{Name: "history", Usage: "record what is done in a file in the directory `DIR`",
		Sources: cli.EnvVars("WILLOWDECK_HISTORY")}
	fleetFile := &cli.StringFlag{Name: "file", Usage: "the fleet's `FILE`", Required: true}
	return &cli.Command{
		Name:  "willowdeck",
		Usage: "holds customers to quotas before a shared back end",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run a gateway until SIGTERM; SIGHUP reloads its files",
				Flags: []cli.Flag{configFile, forwardAuthFile, journalFile, crashStateFile, checkpoint,
					peerAdminAddresses, sharesEndpoints, region, host, group, rulesetAddress, historyDir,
					level}, Action: runGateway},
			{Name: "fleet", Usage: "supervise the gateways of this host until SIGTERM; SIGHUP reloads the file",
				Flags: []cli.Flag{fleetFile, level}, Action: runFleet},
			{Name: "check", Usage: "read and check the configuration, and print what it holds",
				Flags: []cli.Flag{configFile, forwardAuthFile, journalFile}, Action: checkConfig},
			journalCommand(),
			relayCommand(level),
			{Name: "version", Usage: "print the build", Action: printVersion},
		},
	}
}

// setUp registers the signals and returns the logger. Each signal has a channel of its own: a signal that
// finds its channel full is dropped, and a stop must not be. They are registered from here on, so that
// none ends the program while it starts.
func setUp(c *cli.Command) (stop, reload chan os.Signal, log zerolog.Logger, err error) {
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

func runGateway(_ context.Context, c *cli.Command) error {
	stop, reload, log, err := setUp(c)
	if err != nil {
		return err
	}
	read := func() (config.Gateway, error) { return readConfig(c) }
	conf, err := read()
	if err != nil {
		return err
	}
	conf.MaxSockets = lifecycle.SocketLimit(conf.MaxSockets)
	gateway, err := lifecycle.Start(conf, log.With().Str("gatekeeper", conf.Name).Logger())
	if err != nil {
		return err
	}
	return gateway.Run(stop, reload, read)
}

// readConfig reads a gateway's configuration and the operator files, and adds what the flags say.
func readConfig(c *cli.Command) (config.Gateway, error) {
	conf, err := config.Read(c.String("config"), os.Getenv)
	conf.CrashStatePath, conf.KeepsCheckpoint = c.String("residue"), c.Bool("recall")
	conf.PeerAdminAddresses, conf.SharesEndpoints = c.StringSlice("ask"), c.Bool("tell")
	conf.Region, conf.Host, conf.Group = c.String("hall"), c.String("host"), c.String("group")
	conf.RulesetAddress, conf.HistoryDir = c.String("agree"), c.String("history")
	for _, address := range conf.PeerAdminAddresses {
		if _, parseErr := netip.ParseAddrPort(address); err == nil && parseErr != nil {
			err = fmt.Errorf("ask: %w", parseErr)
		}
	}
	if _, parseErr := netip.ParseAddrPort(conf.RulesetAddress); err == nil && conf.RulesetAddress != "" &&
		parseErr != nil {
		err = fmt.Errorf("agree: %w", parseErr)
	}
	if path := c.String("forward"); err == nil && path != "" {
		conf.ForwardAuth, err = config.ReadForwardAuth(path, &conf)
	}
	if path := c.String("journal"); err == nil && path != "" {
		conf.Journal, err = config.ReadJournal(path, conf.Name)
	}
	return conf, err
}

// runFleet runs a supervisor. A second signal to stop ends the wait for draining instances and leaves them
// running.
func runFleet(_ context.Context, c *cli.Command) error {
	stop, reload, log, err := setUp(c)
	if err != nil {
		return err
	}
	settings, err := supervisor.LoadSettings(c.String("file"))
	if err != nil {
		return err
	}
	log = log.With().Str("fleet", settings.Name).Logger()
	daemon, err := supervisor.NewDaemon(settings, log)
	if err != nil {
		return err
	}
	control, err := daemon.ServeControl()
	if err != nil {
		daemon.Stop()
		return err
	}
	defer control.Close()
	for {
		select {
		case <-reload:
			daemon.Reload(supervisor.LoadSettings(c.String("file")))
		case received := <-stop:
			log.Info().Str("signal", received.String()).Msg("stopping")
			stopped := make(chan struct{})
			go func() {
				daemon.Stop()
				close(stopped)
			}()
			select {
			case <-stopped:
			case <-stop:
			}
			return nil
		}
	}
}

// checkConfig prints what the configuration holds.
func checkConfig(_ context.Context, c *cli.Command) error {
	conf, err := readConfig(c)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d products, %d plans, %d workers known, %d gatekeepers\n", conf.Name,
		len(conf.Policy.Products), len(conf.Policy.Plans), len(conf.KnownEndpoints.Workers),
		conf.Policy.GatewayCount)
	if forwardAuth := conf.ForwardAuth; forwardAuth != nil && forwardAuth.Server != nil {
		fmt.Printf("asked by portals at %s, clearances last %g ms\n", forwardAuth.Server.ListenAddress,
			forwardAuth.Server.LifetimeMillis)
	}
	if forwardAuth := conf.ForwardAuth; forwardAuth != nil && forwardAuth.Authorizer != nil {
		fmt.Printf("asking %s, at most %g ms\n", forwardAuth.Authorizer.ServiceAddress,
			forwardAuth.Authorizer.Service.TimeoutMillis)
	}
	if journal := conf.Journal; journal != nil {
		fmt.Printf("once-only txns are written down in %s, policy %s\n", journal.InstanceDir(conf.Name),
			journal.Config.Policy)
	}
	return nil
}

func printVersion(context.Context, *cli.Command) error {
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
