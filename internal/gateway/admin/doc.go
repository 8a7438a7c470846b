// Package admin serves the operators' port: an address of its own, apart from the clients', at which
// operators and their programs read health, counters, the list of workers and the forecast report of one
// gateway, and drain it. Starting instances ask for the list there too.
//
// It owns the listener and decides nothing; whatever it serves comes from a Gateway, whose methods never
// block. Paths, headers and the keys of the counters never change.
package admin
