package program

import (
	"flag"
	"fmt"
	"io"
	"runtime/debug"

	"go.uber.org/zap"

	"willowdeck/internal/serving/settings"
)

// Exit statuses besides 0.
const (
	exitFailure = 1
	exitUsage   = 2
)

// gcPercent is the garbage collector's target percentage (GOGC). The live heap is only a few megabytes, so a
// target above the default of 100 costs little memory and saves CPU time.
const gcPercent = 200

// Program is one of the serving programs.
type Program struct {
	Name    string // name of the command
	Summary string // one line for the usage message
	// Run runs the program until it is stopped by a signal.
	Run func(settingsPath string, logger *zap.Logger) error
}

// Main executes a command line and returns the exit status. Errors and usage go to errorOutput.
func (p *Program) Main(arguments []string, output, errorOutput io.Writer) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(errorOutput)
	settingsPath := flags.String("settings", "", "settings file; the default is named in "+settings.PathEnvVar)
	verbose := flags.Bool("verbose", false, "log at debug level")
	flags.Usage = func() { p.usage(flags, errorOutput) }
	if err := flags.Parse(arguments); err != nil {
		return exitUsage
	}
	switch command := flags.Arg(0); command {
	case "", "serve":
		return p.serve(*settingsPath, *verbose, errorOutput)
	case "check":
		return report(p.check(*settingsPath, flags.Args()[1:], output), errorOutput)
	case "version":
		fmt.Fprintln(output, p.Name, version())
		return 0
	default:
		fmt.Fprintf(errorOutput, "%s: unknown command %q\n", p.Name, command)
		p.usage(flags, errorOutput)
		return exitUsage
	}
}

func (p *Program) usage(flags *flag.FlagSet, errorOutput io.Writer) {
	fmt.Fprintf(errorOutput, `%s: %s

Usage: %s [flags] [command]

Commands:
  serve           run until SIGTERM (the default)
  check [FILE]    check the settings file, and a configuration in FILE
  version         print the version of this build

Flags:
`, p.Name, p.Summary, p.Name)
	flags.PrintDefaults()
}

// serve runs the program with the settings file that the flag or the environment names.
func (p *Program) serve(settingsPath string, verbose bool, errorOutput io.Writer) int {
	debug.SetGCPercent(gcPercent)
	logger := newLogger(verbose)
	defer func() { _ = logger.Sync() }() // standard error does not support Sync on all systems
	path, err := settings.Path(settingsPath)
	if err == nil {
		err = p.Run(path, logger)
	}
	return report(err, errorOutput)
}

// report prints an error and returns the exit status.
func report(err error, errorOutput io.Writer) int {
	if err != nil {
		fmt.Fprintln(errorOutput, err)
		return exitFailure
	}
	return 0
}
