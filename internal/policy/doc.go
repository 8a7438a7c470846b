// Package policy decides what the gateway does with each request: whether its customer's quota and rate limit
// let it in, which worker gets it, how long to wait for it, whether to retry it, and which final answer it
// gets.
//
// An Engine owns the state of customers' quotas, workers, peers and open requests. It does no I/O, reads no
// clock and starts no goroutine: the same seed and inputs give the same decisions. It must not import the
// gateway's other packages, and is not safe for concurrent use.
//
// To use it: New with the Settings; AdvanceTo before the inputs of a moment; then any of UpdateEndpoints,
// AddRequest, AttemptEnded, ClientGone and ReceiveReports; and then NextDecision until it reports no more.
// Inputs only update what is known, every decision comes out of NextDecision.
//
// Times are float64 milliseconds of the clock that AdvanceTo goes by, rates inside are units a millisecond.
// Each tuned constant stands in the file of the decision that it belongs to; those of the gateway's sockets
// are in transportlimits.go. The mechanism, and each departure from it with its condition, is in
// docs/design.md.
package policy
