// Package catalog is a replicated table of records about workers, edges and cores. Several replicas write
// to it and merge each other's writes without consensus. Each writer (origin) numbers its writes; a version
// vector of these numbers states which writes a replica has received, so that another replica can send just
// the missing ones (Parker et al., "Detection of Mutual Inconsistency in Distributed Systems", 1983;
// anti-entropy by pulling missing updates as in Petersen et al., "Flexible Update Propagation", 1997).
//
// Record.Version determines which of two versions of a key is newer. It is a number that the described
// process increments. A deletion is kept as a tombstone for tombstoneRetention.
//
// A Catalog is not safe for concurrent use: the state view that owns it guards it by its lock. The package
// has no I/O, clock or goroutines. Of the project it may import only the message types (wirepb).
package catalog
