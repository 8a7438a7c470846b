package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
)

func main() {
	ok, err := run(os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
	}
	if !ok || err != nil {
		os.Exit(1)
	}
}

// run runs go test with the arguments, copies its output to out, and reports whether every failure is known.
func run(args []string, out io.Writer) (ok bool, err error) {
	text, err := os.ReadFile(knownFailuresFile)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return false, err
	}
	known, err := parseKnownFailures(string(text))
	if err != nil {
		return false, err
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := cmd.Start(); err != nil {
		return false, err
	}
	results := newResults(known, out)
	if err := results.read(events); err != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return false, err
	}
	return results.finish(cmd.Wait() == nil), nil
}
