package inflight

import (
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/workers"
	"willowdeck/internal/policy"
)

// Request is a client's request from its admission until its last attempt has ended. Times are Unix ms of
// the dispatcher's clock. The dispatcher's lock guards all fields but Commands; ClientGone is set before the
// first attempt and does not change afterwards.
type Request struct {
	ID             uint64
	Customer       uint64
	Plan           int
	Product        int
	ArrivedMillis  float64
	ExpiryMillis   float64      // deadline of the final answer; infinite for a streamed body
	BodySentMillis float64      // when a streamed body had been sent completely
	ClientGone     func() bool  // reports whether the client has closed its connection
	Commands       chan Command // buffered for all commands of a request, so that sends never block
	Answered       bool         // the final answer has been sent to Commands
	Outstanding    int          // attempts that have not ended
	Reserved       bool         // its units were reserved before the request arrived
	Attempts       []*Attempt   // by attempt number
}

// NewRequest returns a request that may have up to maxAttempts attempts.
func NewRequest(id uint64, expiryMillis float64, clientGone func() bool, maxAttempts int) *Request {
	return &Request{ID: id, ExpiryMillis: expiryMillis, ClientGone: clientGone,
		Commands: make(chan Command, maxAttempts+1)}
}

// Command tells the goroutine that serves a request what to do next: carry out a decision of the policy or,
// if Answer is set, forward the final answer to the client.
type Command struct {
	Decision policy.Decision
	Answer   *transport.Answer
	Upstream workers.Upstream // for an attempt: its worker as of the decision
	Attempt  *Attempt         // for an attempt
	Lease    *Lease           // for an attempt: the lease as of the decision; nil if no rulesets are used
}
