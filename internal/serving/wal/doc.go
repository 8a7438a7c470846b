// Package wal is the write-ahead log of one replica: the entries, the hard state (term, vote and commit
// index) and the snapshot that a consensus node must not lose.
//
// A data directory holds one segment file in force and the replica's identity. A segment begins with a frame
// that contains a complete state (snapshot, hard state and entries), and grows by one checksummed frame for
// each Append. Rewrite replaces the segment by a new one with a higher number. No write is acknowledged
// before it is synced, and a segment whose write or sync has failed is never written again.
//
// Open discards a torn write at the end of a segment, as a power loss leaves it. An invalid frame before a
// valid one means that acknowledged data is lost: Open then returns ErrCorrupted, and OpenReplica continues
// with an empty state under a new identity, so that the replica cannot contradict its lost votes.
//
// OpenReplica is where a process begins; Store is what it writes through afterwards. Tests inject faults
// and power losses through package waltest. The package must not import the processes that use it.
package wal
