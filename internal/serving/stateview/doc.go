// Package stateview holds a process's view of the core's state: the configuration and the evacuated
// zones, which are committed to the replicated log, the catalog, and the demands that edges report.
// Cores, agents and edge proxies hold one Store each. A subscriber states its Position (a version vector,
// a generation and a log index); its provider answers with what is missing: a full configuration first,
// then deltas.
//
// A Store owns its catalog and is safe for concurrent use. The package has no I/O, goroutines or clock of
// its own, and imports none of the programs' packages: catalog, configuration and the messages' types
// alone.
package stateview
