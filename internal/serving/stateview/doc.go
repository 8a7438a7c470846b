// Package stateview holds a process's view of the core's state: the configuration and the evacuated
// zones (both committed to the replicated log), the catalog, and the demands that edges report. Each core,
// agent and edge proxy has one Store. A subscriber sends its Position (a version vector, a configuration
// generation and a log index); its provider responds with what is missing. The configuration is sent in full
// first, and as deltas afterwards.
//
// A Store owns its catalog and is safe for concurrent use. The package does no I/O, starts no goroutines and
// reads time only through the clock that its caller provides. Of the serving system it imports only catalog,
// configuration and the message types, and none of the programs' packages.
package stateview
