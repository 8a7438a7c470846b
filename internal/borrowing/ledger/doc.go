// Package ledger stores an instance's borrowing records in a memory-mapped file, so that they survive a crash
// of the process. They don't survive a reboot of the machine: the ledger is empty after it.
//
// The package owns the file and its lock. Package borrowing decides what the records contain.
package ledger
