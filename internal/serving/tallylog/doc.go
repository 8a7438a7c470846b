// Package tallylog keeps the records of tallies on a core's disk: a log in segments beside that of
// consensus.
//
// A frame holds the records of one write; frames are those of package wal. Records are only ever added, so a
// segment is never rewritten in place. A process never writes to a segment of an earlier one, nor to one
// whose write or sync has failed: it begins another one. Consolidate merges what an earlier process has left
// into one segment and makes it durable, since that process may have ended between a write and its sync.
// The newest file of the log is never removed, so no name is used twice: a removal that was not synced could
// otherwise still apply to a later file of that name.
//
// A torn frame at the end of a segment is discarded. Damage before valid frames is reported; the records
// behind it are kept, and the other replicas send those that are missing.
package tallylog
