// Package inflight defines the gateway's state of requests in flight: the Request itself, its Attempts (one
// per delivery to a worker), the Lease on the ruleset version under which an attempt was decided, and the
// Commands that the dispatcher sends to the goroutine that serves the request. It also counts violations of
// invariants. The package makes no decisions and does no I/O; package proxy owns its values.
package inflight
