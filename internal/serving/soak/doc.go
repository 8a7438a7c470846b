// Package soak tests real willowdeck-core processes under faults that overlap. It has test files only.
//
// Five cores run on loopback addresses of their own, in five zones and two regions. They reach one another
// over relays, in which links are cut (links_test.go). A seed draws a plan of faults (plan_test.go), which an
// injector carries out on the machines (injector_test.go, machine_test.go), while callers add to tallies and
// read them and an operator replaces the configuration (callers_test.go, operator_test.go). After a time
// without faults all that was acknowledged is read back at each core, the history of the calls is checked by
// testkit/tallyhistory, and no process may have ended by itself or hold descriptors or goroutines that it did
// not hold before.
//
//	go test ./internal/serving/soak -args -seeds 20 -first 1 -duration 20s -strict
package soak
