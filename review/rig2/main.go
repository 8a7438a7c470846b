// Command rig2 plays one case of the second review. It starts the project's programs as processes on loopback
// addresses, with stand-ins for clients, workers and the operator, and judges what these have seen.
//
//	target/review2/rig2 NAME RECORD
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. TROUBLE=0 leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// lengthLimit ends a case that hangs.
const lengthLimit = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*rig) (bool, error){
	"evacuation": playEvacuation,
	"limits":     playLimits,
	"cold":       playCold,
	"budget":     playBudget,
	"badconfig":  playBadConfig,
	"home":       playHome,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 NAME RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*rig) (bool, error), path string) int {
	r, err := newRig(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer r.close()
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := run(r)
		results <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		r.record("could not run: ended by a signal")
		return cannotRun
	case got := <-results:
		switch {
		case got.err != nil:
			r.record("could not run: %v", got.err)
			return cannotRun
		case got.broken:
			r.record("verdict: the rule was broken")
			return broken
		}
		r.record("verdict: the rule held")
		return held
	case <-time.After(lengthLimit):
		r.record("could not run: not finished after %v", lengthLimit)
		return cannotRun
	}
}
