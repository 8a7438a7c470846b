// Package tally replicates tallies: named counters that grow by adds. An add counts once, however often
// its caller sends it and to whichever cores. Every core accepts adds and reads, also during a network
// partition; once the partition has ended, all cores converge to the same set of adds.
//
// The state is a grow-only set of adds that are identified by tally and caller's id, so that its merge is a
// union (Shapiro et al., Conflict-free Replicated Data Types, 2011). For replication, each record of an add
// also has an origin, the incarnation of the core that recorded it, and a sequence number of that origin. A
// version vector therefore identifies exactly the records that a replica lacks, and only those are sent
// (Almeida et al., Delta State Replicated Data Types, 2018; Petersen et al., Flexible Update Propagation,
// 1997).
//
// Set is the state. Replica decides when an add is acknowledged, when a read may be answered, and which
// messages the cores exchange. Neither does I/O. Package tallylog stores the records on disk; package core
// calls a Replica on its goroutine.
package tally
