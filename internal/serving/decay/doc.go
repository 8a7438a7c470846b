// Package decay holds sums whose parts count less and less as they grow older: each one decays
// exponentially from the moment at which it was added. A recent count, a rate and a share of time are such
// sums.
//
// A Sum belongs to its caller and is not safe for concurrent use. The package has no I/O, clock or
// goroutines, and imports nothing of the project.
package decay
