// Package inflight holds what the gateway keeps of the requests in flight: the Request itself, its Attempts
// (one per delivery to a worker), the Lease of the ruleset that an attempt was decided by, and the Commands
// by which the dispatcher drives the goroutine that serves the request. It also counts violated invariants.
// It makes no decision and does no I/O; package proxy owns its values.
package inflight
