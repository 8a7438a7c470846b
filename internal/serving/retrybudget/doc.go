// Package retrybudget bounds how many retries and hedged requests this edge sends, so that all edges together
// keep within a shared budget: a ratio of the requests of a window, plus a slack that the edges share evenly.
//
// A Budget is owned by the edge's decisions and is not safe for concurrent use. The package has no I/O, clock
// or goroutines, and imports nothing of the project.
package retrybudget
