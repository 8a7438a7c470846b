package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/recovery/crashstate"
	"willowdeck/internal/testkit/history"
)

// relayCommand is the command that distributes the raft group's rulesets down a tree.
func relayCommand(level cli.Flag) *cli.Command {
	file := &cli.StringFlag{Name: "config", Usage: "the relay's `FILE`", Required: true}
	historyDir := &cli.StringFlag{Name: "history", Usage: "record what is done in a file in the directory `DIR`",
		Sources: cli.EnvVars("WILLOWDECK_HISTORY")}
	checkOnly := &cli.BoolFlag{Name: "check", Usage: "only read and check the file, and print what it holds"}
	return &cli.Command{Name: "relay", Usage: "pass the ruleset in force on to the clients below, until SIGTERM",
		Flags: []cli.Flag{file, historyDir, checkOnly, level}, Action: runRelay}
}

func runRelay(_ context.Context, c *cli.Command) error {
	stop, reload, log, err := setUp(c)
	if err != nil {
		return err
	}
	settings, err := relay.ReadConfig(c.String("config"))
	if err != nil {
		return err
	}
	if c.Bool("check") {
		fmt.Printf("%s: of %s, listens at %s, asks %s\n", settings.Name, settings.Cluster, settings.Listen,
			strings.Join(settings.Upstreams, ", "))
		return nil
	}
	log = log.With().Str("relay", settings.Name).Logger()
	var record history.Recorder
	if dir := c.String("history"); dir != "" {
		file, err := history.Open(filepath.Join(dir, fmt.Sprintf("%s.%d.jsonl", settings.Name, os.Getpid())),
			settings.Name,
			crashstate.UptimeCentiseconds())
		if err != nil {
			return fmt.Errorf("history: %w", err)
		}
		defer func() {
			if err := file.Close(); err != nil {
				log.Warn().Err(err).Msg("record")
			}
		}()
		record = file
	}
	started, err := relay.Start(settings, record, log)
	if err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			log.Warn().Msg("a relay reads its file only at its start: restart it")
		case received := <-stop:
			log.Info().Str("signal", received.String()).Msg("stopping")
			started.Close()
			return nil
		}
	}
}
