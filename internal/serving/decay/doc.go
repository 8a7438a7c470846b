// Package decay implements sums of amounts, each of which decays exponentially from the time at which it was
// added. Such a sum serves as a count of recent events, a rate, or a share of recent time.
//
// A Sum is not safe for concurrent use. The package has no I/O, clock or goroutines, and imports nothing of
// the project.
package decay
