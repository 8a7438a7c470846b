// Package proxy carries each request from its admission to its final answer.
//
// The Dispatcher owns the policy, which makes every choice, with all that goes with it: the clock, the
// wake-up timer, the requests in flight, the workers, the ruleset in force, the crash state and the ledger
// of borrowed bursts. Its lock is held for calls to the policy only, never during I/O. The Proxy serves a
// request in the caller's goroutine: it admits the request at the Dispatcher, receives commands from it,
// carries each attempt to a worker in a goroutine of its own, and gives the final answer. A Reservation
// keeps capacity for a request that arrives later (forward authentication).
//
// The package must not import the lifecycle that wires it, nor the packages that read settings.
package proxy
