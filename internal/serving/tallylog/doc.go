// Package tallylog stores the records of tallies on a core's disk, in a log of segments next to the log of
// consensus.
//
// Each write adds one frame, in the format of package wal, with the records of that write. Records are only
// appended, and a segment is never rewritten in place. A process never writes to a segment of an earlier
// process, nor to one whose write or sync has failed: it starts a new segment. Consolidate merges the records
// of earlier processes into one segment and makes it durable, since a process may have ended between a write
// and its sync. The newest file of the log is never removed, so that no name is used twice: otherwise, a
// removal that was not synced could still apply to a later file of the same name.
//
// A torn frame at the end of a segment is discarded. Corruption before valid frames is reported; the records
// after it are kept, and the other replicas send the missing ones again.
package tallylog
