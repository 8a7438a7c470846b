// Package catalog is a replicated table of records about workers, edges and cores. Several replicas write
// it and merge each other's writes without agreement. Each writer (origin) numbers its writes; a version
// vector of these numbers states what a replica has received, so that another one can send just what is
// missing (Parker et al., "Detection of Mutual Inconsistency in Distributed Systems", 1983; anti-entropy by
// pulling missing updates as in Petersen et al., "Flexible Update Propagation", 1997).
//
// Which of two versions of a key is newer follows from Record.Order, a number that the described process
// counts itself. A deletion is kept as a tombstone for tombstoneRetention.
//
// A Catalog is used by the state view that owns it, under that view's lock. The package has no I/O, clock
// or goroutines, and a Catalog is not safe for concurrent use. It may import nothing but the messages'
// types (wirepb).
package catalog
