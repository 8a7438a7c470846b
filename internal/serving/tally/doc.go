// Package tally replicates tallies: named totals that grow by adds, each of which counts once however often
// and wherever its caller sends it. Every core accepts adds and reads, also while network partitions
// separate the cores; once they reach one another again, all of them come to hold the same adds.
//
// The state is a grow-only set of adds that are identified by tally and caller's id, so that its merge is a
// union (Shapiro et al., Conflict-free Replicated Data Types, 2011). For replication each add also has a
// place in the sequence of the origin that recorded it, an incarnation of a core: a version vector then says
// precisely which records a replica lacks, and only those are sent (Almeida et al., Delta State Replicated
// Data Types, 2018; Petersen et al., Flexible Update Propagation, 1997).
//
// Set is the state, Replica decides: it says when an add is acknowledged, when a read may be answered, and
// which messages the cores exchange. Neither does I/O. Package tallylog stores the records; package core
// calls a Replica on its goroutine.
package tally
