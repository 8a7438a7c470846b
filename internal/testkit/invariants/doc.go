// Package invariants checks the five rules of the gateway over one run: each request gets one final answer in
// time (1); no request runs twice that must not (2); nothing is sent to a worker that drains or is gone (3);
// no cold worker is overloaded (4); no customer exceeds its rate limit (5).
//
// The caller reports what was observed in the order of time; times are milliseconds from any fixed origin.
// The package keeps its own state of requests, workers and customers. It shares no code with the gateway,
// knows nothing of how gateways decide, and imports nothing of this module.
package invariants
