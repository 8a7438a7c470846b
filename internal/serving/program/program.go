// Package program gives the serving programs one look: their command line, their log, and how they end.
package program

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"

	"go.uber.org/zap"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/settings"
)

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

// Program is one of the serving programs.
type Program struct {
	Name    string
	Summary string
	Run     func(settingsPath string, logger *zap.Logger) error
}

// Main carries out a command line and returns the exit status.
func (p *Program) Main(arguments []string, output, problems io.Writer) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(problems)
	settingsPath := flags.String("settings", "", "settings file; the default is named in "+settings.PathEnvVar)
	verbose := flags.Bool("verbose", false, "log more than changes of state")
	flags.Usage = func() { p.usage(flags, problems) }
	if err := flags.Parse(arguments); err != nil {
		return exitUsage
	}
	switch command := flags.Arg(0); command {
	case "", "serve":
		return p.serve(*settingsPath, *verbose, problems)
	case "check":
		return report(p.check(*settingsPath, flags.Args()[1:], output), problems)
	case "version":
		fmt.Fprintln(output, p.Name, version())
		return 0
	default:
		fmt.Fprintf(problems, "%s: unknown command %q\n", p.Name, command)
		p.usage(flags, problems)
		return exitUsage
	}
}

func (p *Program) usage(flags *flag.FlagSet, problems io.Writer) {
	fmt.Fprintf(problems, `%s: %s

Usage: %s [flags] [command]

Commands:
  serve           run until SIGTERM (the default)
  check [FILE]    check the settings file, and a configuration in FILE
  version         say which build this is

Flags:
`, p.Name, p.Summary, p.Name)
	flags.PrintDefaults()
}

func (p *Program) serve(settingsPath string, verbose bool, problems io.Writer) int {
	debug.SetGCPercent(200) // a heap of a few megabytes: less work for little memory
	logger := newLogger(verbose)
	defer logger.Sync()
	path, err := settings.Path(settingsPath)
	if err == nil {
		err = p.Run(path, logger)
	}
	return report(err, problems)
}

func report(err error, problems io.Writer) int {
	if err != nil {
		fmt.Fprintln(problems, err)
		return exitFailure
	}
	return 0
}

// check reads the settings, and a configuration where one is named.
func (p *Program) check(settingsPath string, files []string, output io.Writer) error {
	path, err := settings.Path(settingsPath)
	if err != nil {
		return err
	}
	config, err := settings.Load(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(output, "settings: %s in zone %s of region %s\n",
		config.NodeName, config.Zone, config.Region)
	for _, file := range files {
		body, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		document, err := configuration.Check(body)
		if err != nil {
			return err
		}
		fmt.Fprintf(output, "configuration: generation %d, %d routes\n",
			document.Generation, len(document.Routes()))
	}
	return nil
}

func newLogger(verbose bool) *zap.Logger {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	if verbose {
		config.Level.SetLevel(zap.DebugLevel)
	}
	logger, err := config.Build()
	if err != nil {
		return zap.NewNop()
	}
	return logger
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return runtime.Version()
	}
	revision := "unknown revision"
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	return revision + " " + runtime.Version()
}
