// Package core is the program of the core, whose replicas agree on the configuration and the evacuations,
// track the workers and edges, stream updates to the agents, and answer operators, workers and clients.
//
// Package control makes all decisions; this package provides it with time, links to other cores, a disk and
// callers. One goroutine, run, owns the engine; all others pass functions to it with enqueue. The process
// owns its data directory: the log (package wal) and the saved list of workers.
//
// Run is the entry point. The package must not import the agent or the edge.
package core
