// Package retrybudget limits the retries and hedged requests of one edge, so that all edges together keep
// to a shared budget. The budget of a time window is a ratio of the requests in it, plus a slack that the
// edges share evenly.
//
// A Budget is not safe for concurrent use; package edge guards it by a mutex. The package has no I/O, clock
// or goroutines, and imports nothing of the project.
package retrybudget
