package main

import (
	"fmt"
	"strings"
)

const (
	// knownFailuresFile lists the known failures; the path is relative to the working directory.
	knownFailuresFile = "KNOWN-RED.txt"
	// maxKnownFailures bounds how many tests may be named, so that the list stays short enough to be read.
	maxKnownFailures = 3
	// modulePrefix is prepended to the package of a line to give its import path.
	modulePrefix = "willowdeck/"
)

// knownFailure is a test that is known to fail.
type knownFailure struct {
	test string // import path of the package and name of the test, separated by a slash
	line string // its line of the file, for messages
}

// parseKnownFailures reads the file's text. An empty or malformed line, or more than maxKnownFailures lines,
// is an error.
func parseKnownFailures(text string) (failures []knownFailure, err error) {
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line == "" {
			return nil, fmt.Errorf("%s: an empty line", knownFailuresFile)
		}
		test, causeAndIssue, _ := strings.Cut(line, ", ")
		separator := strings.LastIndex(causeAndIssue, ", ")
		pkg, name, _ := strings.Cut(test, ".Test")
		if separator <= 0 || strings.TrimSpace(causeAndIssue[separator+2:]) == "" || pkg == "" || name == "" ||
			strings.ContainsAny(test, " \t") {
			return nil, fmt.Errorf("%s: %q is not PACKAGE.TEST, CAUSE, ISSUE", knownFailuresFile, line)
		}
		failures = append(failures, knownFailure{modulePrefix + pkg + "/Test" + name, line})
	}
	if len(failures) > maxKnownFailures {
		return nil, fmt.Errorf("%s: %d tests, at most %d are allowed: fix those first", knownFailuresFile,
			len(failures), maxKnownFailures)
	}
	return failures, nil
}
