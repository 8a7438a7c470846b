// Command rig runs the cases of the review that are scripts. Its first argument is the case, its second the
// file of the account. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken. With trouble false it does the same
// without the disruption.
var cases = map[string]func(root string, trouble bool, record *record) (broken bool, err error){
	"garbage":   garbageCase,
	"directory": directoryCase,
	"uploads":   uploadsCase,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitNotRun
	}
	record, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[arguments[0]](root, os.Getenv("TROUBLE") != "0", record)
	switch {
	case err != nil:
		record.add("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		record.add("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	record.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
