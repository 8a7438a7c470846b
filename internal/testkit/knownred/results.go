package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// testEvent is one line of go test -json; see go doc test2json.
type testEvent struct {
	Action, Package, Test, Output string
}

// testState is the state of one test; over several runs of it (-count) a failure sticks.
type testState struct {
	running, failed bool
	hasOwnOutput    bool     // whether it printed anything beside the framework's lines
	output          []string // of the current run, printed if it fails
}

// results accumulates the events of one go test run.
type results struct {
	known      []knownFailure
	out        io.Writer
	tests      map[string]map[string]*testState // by package and test name
	completed  map[string]bool                  // packages whose binary ran all its tests and printed FAIL
	lastAction map[string]string                // pass, fail or skip, by package/test; a failure sticks
	unexpected []string                         // failures that are not known
	tolerated  []string                         // packages that failed only by known failures
}

func newResults(known []knownFailure, out io.Writer) *results {
	return &results{known: known, out: out, tests: map[string]map[string]*testState{},
		completed: map[string]bool{}, lastAction: map[string]string{}}
}

// read consumes the events until the end of the stream. Lines that are no events are the go command's own
// and are copied to the output.
func (r *results) read(from io.Reader) error {
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			var e testEvent
			if json.Unmarshal(line, &e) == nil {
				r.handle(e)
			} else {
				fmt.Fprint(r.out, string(line))
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// handle applies one event.
func (r *results) handle(e testEvent) {
	if e.Test != "" {
		r.handleTest(e)
		return
	}
	switch e.Action {
	case "output", "build-output":
		if e.Output == "FAIL\n" { // the binary's last line once all its tests have run
			r.completed[e.Package] = true
		}
		if e.Output != "PASS\n" { // as without -v
			fmt.Fprint(r.out, e.Output)
		}
	case "fail":
		r.packageFailed(e.Package)
	}
}

// handleTest applies an event of a test.
func (r *results) handleTest(e testEvent) {
	t := r.state(e.Package, e.Test)
	switch e.Action {
	case "run":
		t.running = true
	case "output":
		t.output = append(t.output, e.Output)
		if line := strings.TrimSpace(e.Output); line != "" && !strings.HasPrefix(line, "=== ") &&
			!strings.HasPrefix(line, "--- ") {
			t.hasOwnOutput = true
		}
	case "pass", "fail", "skip":
		t.running = false
		if !t.failed {
			r.lastAction[e.Package+"/"+e.Test] = e.Action
		}
		if e.Action == "fail" {
			t.failed = true
			fmt.Fprint(r.out, strings.Join(t.output, ""))
		}
		t.output = nil
	}
}

// state returns the state of a test, a new one on its first event.
func (r *results) state(pkg, name string) *testState {
	tests := r.tests[pkg]
	if tests == nil {
		tests = map[string]*testState{}
		r.tests[pkg] = tests
	}
	t := tests[name]
	if t == nil {
		t = &testState{}
		tests[name] = t
	}
	return t
}

// packageFailed classifies a package that failed: it is tolerated if each of its tests has ended and each
// that failed is known.
func (r *results) packageFailed(pkg string) {
	failed := 0
	unexpected := []string{}
	for name, t := range r.tests[pkg] {
		switch {
		case t.running: // the binary ended during it, before any tests that would have followed
			fmt.Fprint(r.out, strings.Join(t.output, ""))
			unexpected = append(unexpected, fmt.Sprintf("%s.%s has not ended", pkg, name))
		case t.failed:
			if failed++; !r.isKnown(pkg, name) {
				unexpected = append(unexpected, pkg+"."+name)
			}
		}
	}
	if failed == 0 || !r.completed[pkg] { // a build error, a panic, a leak check, a kill
		unexpected = append(unexpected, pkg+" is not whole")
	}
	slices.Sort(unexpected)
	if r.unexpected = append(r.unexpected, unexpected...); len(unexpected) == 0 {
		r.tolerated = append(r.tolerated, pkg)
	}
}

// isKnown reports whether a failure is known: by its own name, by that of a test that it is a subtest of, or
// because it printed nothing itself and each of its failed subtests is known.
func (r *results) isKnown(pkg, name string) bool {
	for _, k := range r.known {
		if full := pkg + "/" + name; full == k.test || strings.HasPrefix(full, k.test+"/") {
			return true
		}
	}
	failedSubtests := 0
	for other, t := range r.tests[pkg] {
		if t.failed && strings.HasPrefix(other, name+"/") {
			if failedSubtests++; !r.isKnown(pkg, other) {
				return false
			}
		}
	}
	return failedSubtests > 0 && !r.tests[pkg][name].hasOwnOutput
}

// finish prints what became of each known failure and the unexpected ones, and returns the verdict.
// goTestPassed is whether go test itself passed.
func (r *results) finish(goTestPassed bool) (ok bool) {
	for _, k := range r.known {
		switch r.lastAction[k.test] {
		case "fail":
			fmt.Fprintln(r.out, "known red:", k.line)
		case "pass":
			fmt.Fprintln(r.out, "known red passes, take its line out:", k.line)
		default:
			fmt.Fprintln(r.out, "known red was not run:", k.line)
		}
	}
	for _, failure := range r.unexpected {
		fmt.Fprintln(r.out, "failed:", failure)
	}
	return goTestPassed || len(r.unexpected) == 0 && len(r.tolerated) > 0
}
