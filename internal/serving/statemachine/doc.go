// Package statemachine is the state machine that the replicated log drives: the configuration in force, the
// evacuated zones, the departures of workers, and the history that makes retried commands idempotent.
//
// A Machine applies committed commands in the order of the log and does no I/O, so that all replicas come to
// the same state. Snapshot and Restore replace a prefix of the log. Nothing here may depend on time, random
// numbers or the order of a map; the package must not import consensus, the network or the disk.
package statemachine
