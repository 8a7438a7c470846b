package inflight

import (
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/workers"
	"willowdeck/internal/policy"
)

// Request is one client's request from its admission until its last attempt has ended. Times are the
// dispatcher's, Unix ms. All fields but Commands belong to the dispatcher's lock; ClientGone is set before
// the first attempt, and not changed after it.
type Request struct {
	ID             uint64
	Customer       uint64
	Plan           int
	Product        int
	ArrivedMillis  float64
	ExpiryMillis   float64      // the final answer is due by then; infinite for a body that streams
	BodySentMillis float64      // when a body that is streamed had gone out completely
	ClientGone     func() bool  // whether the client has closed its connection
	Commands       chan Command // has capacity for all commands of a request, so that a send never blocks
	Answered       bool         // the final answer has been sent to Commands
	Outstanding    int          // attempts that have not ended
	Reserved       bool         // its units are reserved before it arrives
	Attempts       []*Attempt   // by number
}

// NewRequest makes a request of at most maxAttempts attempts.
func NewRequest(id uint64, expiryMillis float64, clientGone func() bool, maxAttempts int) *Request {
	return &Request{ID: id, ExpiryMillis: expiryMillis, ClientGone: clientGone,
		Commands: make(chan Command, maxAttempts+1)}
}

// Command is what the goroutine that serves a request is to do next: carry out a decision of the policy or,
// where Answer is set, pass on the answer that settles the request.
type Command struct {
	Decision policy.Decision
	Answer   *transport.Answer
	Upstream workers.Upstream // of an attempt: its worker as it was at the decision
	Attempt  *Attempt         // of an attempt
	Lease    *Lease           // of an attempt: as at the decision; nil where no rulesets are used
}
