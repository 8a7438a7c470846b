package invariants

import (
	"fmt"
)

// Repeat is the effect of a repeated run of a product's request.
type Repeat uint8

// The kinds of products by what a repeated run does.
const (
	Inquiry    Repeat = iota // idempotent
	Referenced               // idempotent for a while, among workers that share their memory of references
	Once                     // not idempotent: runs at most once
)

// Product is what the rules need to know of a product.
type Product struct {
	Repeat           Repeat
	Work             float64             // of one request, in units of mean work, as Capacity counts; 0 is 1
	Window           float64             // milliseconds in which workers drop a repeated request
	SharesReferences func(a, b int) bool // whether two workers share their memory of references; nil: all do
}

// Plan is what the rules need to know of a plan: its rate limit in units a second (0 is none) and its burst
// in units.
type Plan struct{ RateLimit, Depth float64 }

// Rules holds the parameters of the rules; times are milliseconds.
type Rules struct {
	Products        []Product
	Plans           []Plan
	Overlap         bool    // whether several attempts of a request may be in flight together
	Slack           float64 // by which a final answer may come late
	Grace           float64 // after the notification of a drain, in which requests may still be sent
	Capacity        float64 // of a warm worker, in units of mean work a second
	WarmingFraction float64 // fraction of Capacity that a worker has at its start
	WarmUp          float64 // from a worker's start until it has all of Capacity
	OverloadFactor  float64 // multiple of its present capacity that a cold worker survives
	OverloadWindow  float64 // how long a cold worker survives more than that
}

// End is what the end of an attempt proves.
type End uint8

// The ends of an attempt.
const (
	NeverRan End = iota // proven not to have run
	MayHaveRun
	Answered
)

// Final is the outcome of a request that its client was answered.
type Final uint8

// The outcomes.
const (
	Succeeded Final = iota
	Declined
	Voided
)

// Violation is one violation of a rule. At is in milliseconds, Txn the request's id.
type Violation struct {
	Rule       int
	At         float64
	Gatekeeper int
	Txn        uint64
	Says       string
}

// String returns the violation as one line.
func (b Violation) String() string {
	return fmt.Sprintf("rule %d at %.1f ms, gatekeeper %d, txn %d: %s", b.Rule, b.At, b.Gatekeeper, b.Txn,
		b.Says)
}
