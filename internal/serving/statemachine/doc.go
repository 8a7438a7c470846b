// Package statemachine is the state machine to which the replicas apply the commands of the replicated log.
// Its state is the configuration in force, the evacuated zones, the departures of workers, and the history
// that makes retried commands idempotent.
//
// A Machine applies committed commands in the order of the log, so that all replicas have the same state.
// Its result may therefore not depend on time, random numbers or the iteration order of a map. The snapshot
// of a Machine replaces the prefix of the log that it was made from. The package does no I/O, and must not
// import the consensus package or packages for the network or the disk.
package statemachine
