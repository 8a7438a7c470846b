// Knownred runs go test and passes over just the failures that KNOWN-RED.txt at the root names. Without that
// file nothing is passed over; .ci/run uses go test itself then.
//
//	go run ./internal/testkit/knownred -count=1 -p 2 ./...
//
// A line is a test, its cause and the issue it is in: PACKAGE.TEST, CAUSE, ISSUE, for instance
//
//	internal/supervisor.TestFullHost/disk, a record that is cut short is read as whole, issue 12
//
// Subtests of a test that is named are named with it. One that fails by a named subtest alone is passed over
// as well; one that says something itself is not.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const (
	file = "KNOWN-RED.txt"
	// most is how many tests may be named: more are a suite that nobody reads.
	most = 3
	// module is where the packages of a line are.
	module = "willowdeck/"
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

func run(args []string, out io.Writer) (ok bool, err error) {
	text, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return false, err
	}
	known, err := parse(string(text))
	if err != nil {
		return false, err
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	from, err := cmd.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := cmd.Start(); err != nil {
		return false, err
	}
	s := newSeen(known, out)
	if err := s.read(from); err != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return false, err
	}
	return s.end(cmd.Wait() == nil), nil
}

// red is a test that is known to fail.
type red struct {
	name string // of the package and the test, with a slash between
	line string
}

// parse reads the file.
func parse(text string) (all []red, err error) {
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line == "" {
			return nil, fmt.Errorf("%s: an empty line", file)
		}
		test, rest, _ := strings.Cut(line, ", ")
		i := strings.LastIndex(rest, ", ")
		pkg, name, _ := strings.Cut(test, ".Test")
		if i <= 0 || strings.TrimSpace(rest[i+2:]) == "" || pkg == "" || name == "" ||
			strings.ContainsAny(test, " \t") {
			return nil, fmt.Errorf("%s: %q is no PACKAGE.TEST, CAUSE, ISSUE", file, line)
		}
		all = append(all, red{module + pkg + "/Test" + name, line})
	}
	if len(all) > most {
		return nil, fmt.Errorf("%s: %d tests, %d at the most: mend them first", file, len(all), most)
	}
	return all, nil
}

// event is what go test -json tells; see go doc test2json.
type event struct {
	Action, Package, Test, Output string
}

// state is how a test stands.
type state struct {
	runs, failed bool
	own          bool // it has said something itself
	said         []string
}

// seen is what has been told so far.
type seen struct {
	known []red
	out   io.Writer
	tests map[string]map[string]*state // by package and name
	whole map[string]bool              // packages of which all tests have run, and one has failed
	ended map[string]string            // the last action of each test, by package and name
	bad   []string                     // what fails the run
	over  []string                     // packages that failed by what is known alone
}

func newSeen(known []red, out io.Writer) *seen {
	return &seen{known: known, out: out, tests: map[string]map[string]*state{}, whole: map[string]bool{},
		ended: map[string]string{}}
}

func (s *seen) read(from io.Reader) error {
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			var e event
			if json.Unmarshal(line, &e) == nil {
				s.take(e)
			} else {
				fmt.Fprint(s.out, string(line)) // the go command's own
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

func (s *seen) take(e event) {
	if e.Test != "" {
		s.test(e)
		return
	}
	switch e.Action {
	case "output", "build-output":
		if e.Output == "FAIL\n" { // the binary's last word once all its tests have run
			s.whole[e.Package] = true
		}
		if e.Output != "PASS\n" { // as without -v
			fmt.Fprint(s.out, e.Output)
		}
	case "fail":
		s.fails(e.Package)
	}
}

func (s *seen) test(e event) {
	all := s.tests[e.Package]
	if all == nil {
		all = map[string]*state{}
		s.tests[e.Package] = all
	}
	t := all[e.Test]
	if t == nil {
		t = &state{}
		all[e.Test] = t
	}
	switch e.Action {
	case "run":
		t.runs = true
	case "output":
		t.said = append(t.said, e.Output)
		if line := strings.TrimSpace(e.Output); line != "" && !strings.HasPrefix(line, "=== ") &&
			!strings.HasPrefix(line, "--- ") {
			t.own = true
		}
	case "pass", "fail", "skip":
		t.runs = false
		if !t.failed { // of several runs a failed one stands
			s.ended[e.Package+"/"+e.Test] = e.Action
		}
		if e.Action == "fail" {
			t.failed = true
			fmt.Fprint(s.out, strings.Join(t.said, ""))
		}
		t.said = nil
	}
}

// fails judges a package that has failed: it is passed over where each test of it has ended, and each that
// has failed is known.
func (s *seen) fails(pkg string) {
	failed := 0
	bad := []string{}
	for name, t := range s.tests[pkg] {
		switch {
		case t.runs: // the binary has ended with it, and with all that was to come
			fmt.Fprint(s.out, strings.Join(t.said, ""))
			bad = append(bad, fmt.Sprintf("%s.%s has not ended", pkg, name))
		case t.failed:
			if failed++; !s.passed(pkg, name) {
				bad = append(bad, pkg+"."+name)
			}
		}
	}
	if failed == 0 || !s.whole[pkg] { // a build, a panic, a leak, a kill
		bad = append(bad, pkg+" is not whole")
	}
	slices.Sort(bad)
	if s.bad = append(s.bad, bad...); len(bad) == 0 {
		s.over = append(s.over, pkg)
	}
}

// passed tells whether a failure is known: by its own name or that of a test it is part of, or as it has said
// nothing and each failure of its parts is.
func (s *seen) passed(pkg, name string) bool {
	for _, r := range s.known {
		if full := pkg + "/" + name; full == r.name || strings.HasPrefix(full, r.name+"/") {
			return true
		}
	}
	parts := 0
	for other, t := range s.tests[pkg] {
		if t.failed && strings.HasPrefix(other, name+"/") {
			if parts++; !s.passed(pkg, other) {
				return false
			}
		}
	}
	return parts > 0 && !s.tests[pkg][name].own
}

// end says what was passed over, and gives the verdict. well is whether go test itself has passed.
func (s *seen) end(well bool) (ok bool) {
	for _, r := range s.known {
		switch s.ended[r.name] {
		case "fail":
			fmt.Fprintln(s.out, "known red:", r.line)
		case "pass":
			fmt.Fprintln(s.out, "known red passes, take its line out:", r.line)
		default:
			fmt.Fprintln(s.out, "known red was not run:", r.line)
		}
	}
	for _, b := range s.bad {
		fmt.Fprintln(s.out, "failed:", b)
	}
	return well || len(s.bad) == 0 && len(s.over) > 0
}
