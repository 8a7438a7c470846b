// Package workload generates the arrivals of transactions ahead of a run: from groups of customers and the
// shapes of their load, or from a recorded trace. The emulator and the load generator play the same arrivals.
// One seed gives one sequence, to the last bit.
//
// The package has no state and does no I/O of its own. It imports nothing else of this module.
package workload
