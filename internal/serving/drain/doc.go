// Package drain decides which requests a process still takes while it shuts down gracefully. A request is
// taken only if it can be finished before the process ends; any other one is refused before it is passed on.
//
// The package does no I/O, reads no clock and starts no goroutine: times are arguments, on the caller's
// clock.
package drain
