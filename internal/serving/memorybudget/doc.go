// Package memorybudget bounds the memory that a process holds for others at one time. Whatever is kept for a
// request is reserved first; a request that does not fit is refused, with the time after which it should fit.
//
// The package does no I/O, reads no clock and starts no goroutine: times are arguments, on the caller's
// clock.
package memorybudget
