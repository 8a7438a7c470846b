// Package policy decides what the gateway does with each request: whether its customer's quota and rate
// limit admit it, which worker it is sent to, how long to wait for the response, whether to retry it, and
// which final answer it gets.
//
// An Engine holds the state of customers' quotas, workers, peers and open requests. It does no I/O, reads
// no clock and starts no goroutine: the same seed and inputs give the same decisions. It must not import
// the gateway's other packages, and is not safe for concurrent use.
//
// To use it, call New with the Settings. At each point in time call AdvanceTo first, then the inputs, such
// as UpdateEndpoints, AddRequest, AttemptEnded, ClientGone and ReceiveReports, and then NextDecision until
// it returns false. Inputs only update the state; every decision is returned by NextDecision.
//
// Times are float64 milliseconds of the clock that AdvanceTo is called with. Rates inside the package are
// in units a millisecond. Each tuned constant is declared in the file of the decision that it belongs to;
// those of the gateway's sockets are in transportlimits.go. The mechanism is described in docs/design.md,
// with each departure from it and its condition.
package policy
