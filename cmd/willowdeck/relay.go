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

// relays is the command that follows a council from afar.
func relays(level cli.Flag) *cli.Command {
	file := &cli.StringFlag{Name: "config", Usage: "the relay's `FILE`", Required: true}
	past := &cli.StringFlag{Name: "history", Usage: "record what is done in a file in the folder `DIR`",
		Sources: cli.EnvVars("WILLOWDECK_HISTORY")}
	check := &cli.BoolFlag{Name: "check", Usage: "only read and check the file, and say what it holds"}
	return &cli.Command{Name: "relay", Usage: "tell those below what the council says, until SIGTERM",
		Flags: []cli.Flag{file, past, check, level}, Action: relayOn}
}

func relayOn(_ context.Context, c *cli.Command) error {
	stop, reload, log, err := begin(c)
	if err != nil {
		return err
	}
	f, err := relay.ReadConfig(c.String("config"))
	if err != nil {
		return err
	}
	if c.Bool("check") {
		fmt.Printf("%s: of %s, listens at %s, asks %s\n", f.Name, f.Cluster, f.Listen,
			strings.Join(f.Upstreams, ", "))
		return nil
	}
	log = log.With().Str("relay", f.Name).Logger()
	var record history.Recorder
	if dir := c.String("history"); dir != "" {
		l, err := history.Open(filepath.Join(dir, fmt.Sprintf("%s.%d.jsonl", f.Name, os.Getpid())), f.Name,
			crashstate.UptimeCentiseconds())
		if err != nil {
			return fmt.Errorf("history: %w", err)
		}
		defer func() {
			if err := l.Close(); err != nil {
				log.Warn().Err(err).Msg("record")
			}
		}()
		record = l
	}
	r, err := relay.Start(f, record, log)
	if err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			log.Warn().Msg("a relay reads its file at its start alone: stop it and start it again")
		case s := <-stop:
			log.Info().Str("signal", s.String()).Msg("stopping")
			r.Close()
			return nil
		}
	}
}
