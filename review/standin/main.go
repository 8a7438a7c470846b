// Command standin plays the cases of review/: it starts the programs of target/ as a small deployment on
// loopback addresses, and has stand-ins for workers, clients and the operator. Its first argument is "worker"
// or the name of a case; the second one of a case is the folder for its record.txt.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// cases are the functions that play a case. They return how many times the rule was broken.
var cases = map[string]func(c *cluster, trouble bool) (int, error){
	"cut-event": playCutEvent, "rolling-stop": playRollingStop, "late-heartbeat": playLateHeartbeat,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) > 0 && arguments[0] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(arguments[1:]))
		return cannotRun
	}
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return cannotRun
	}
	return runCase(arguments[0], arguments[1])
}

// endOnSignal ends the processes of a case when it is stopped from outside.
func endOnSignal(c *cluster) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	c.end()
	os.Exit(cannotRun)
}

// runCase plays a case and returns its exit status.
func runCase(name, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	c, err := startCluster(r)
	if c != nil {
		defer c.end()
		go endOnSignal(c)
	}
	broken := 0
	trouble := os.Getenv("TROUBLE") != "0"
	if err == nil {
		broken, err = cases[name](c, trouble)
	}
	status := ruleHeld
	switch {
	case err != nil:
		r.printf("the case cannot run: %v", err)
		status = cannotRun
	case broken > 0:
		status = ruleBroken
	}
	r.printf("result: rule broken %d times, exit status %d, disruption %v", broken, status, trouble)
	fmt.Printf("rule broken %d times, exit status %d\n", broken, status)
	return status
}
