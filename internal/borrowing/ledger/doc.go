// Package ledger stores an instance's borrowing records so that they outlive a crash of the process: in a
// file that is mapped into memory. It does not outlive the machine: after a boot the ledger is empty.
//
// It owns the file and its lock. Package borrowing decides what the records say.
package ledger
