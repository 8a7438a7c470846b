// Package control implements the decisions of a core: it combines the replicated log, the committed state
// machine and the catalog, forwards the requests of operators and workers to the leader until their outcome
// is known, and sends the other cores the records that they lack. It owns the Engine, the state of one core
// in memory. It has no I/O, no goroutines and no clock: its caller passes time, messages and requests on one
// goroutine, and an Environment sends and writes. It must not import core, which runs it as a program. A run
// is determined by its seed.
package control
