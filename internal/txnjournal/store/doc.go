// Package store keeps the files of a transaction journal: it commits records in batches, begins and removes
// segments, and replays all of them at a start. What the records say is decided by package txnjournal.
//
// It owns the directory of one instance and the lock in it. A gateway uses a Journal, which does all I/O in a
// goroutine of its own; Log is the synchronous journal below it. ReadAll reads a journal that another process
// writes.
package store
