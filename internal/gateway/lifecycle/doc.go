// Package lifecycle starts, reconfigures, replaces and stops one gateway process.
//
// [Start] wires the parts together (dispatcher, frontend, worker connections, peers, discovery watch, admin
// server, forward authentication, journal, ruleset client) and returns a [Gateway] that serves clients;
// [Gateway.Run] serves until a signal stops it. Where a predecessor runs on the same machine the new process
// takes over its state and sockets (hotrestart.go). Otherwise it restores what a crashed one left behind
// (recovery.go), or asks its peers for endpoints (bootstrap.go).
//
// The package owns the order in which parts start and stop, the endpoint list that is in force, and the
// client of the ruleset daemon. It decides nothing about requests: that is policy's, and proxy's to apply. It
// is imported by commands, supervisor and tests only, and must not be imported by a part that it starts.
package lifecycle
