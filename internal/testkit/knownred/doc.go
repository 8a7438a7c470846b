// Knownred runs go test and tolerates only the failures that KNOWN-RED.txt at the root names. Without that
// file no failure is tolerated; .ci/run uses go test itself then. It keeps no state between runs.
//
//	go run ./internal/testkit/knownred -count=1 -p 2 ./...
//
// A line is a test, its cause and its issue: PACKAGE.TEST, CAUSE, ISSUE, for instance
//
//	internal/supervisor.TestFullHost/disk, a record that is cut short is read as complete, issue 12
//
// Naming a test covers its subtests. A test that fails only because a named subtest failed is tolerated as
// well; one that printed output of its own is not.
package main
