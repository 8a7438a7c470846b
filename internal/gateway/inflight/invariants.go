package inflight

import (
	"fmt"
	"sync/atomic"
)

// Invariant is a condition that always holds in a correct gateway. Debug builds panic at a violation; release
// builds count it.
type Invariant uint8

// The invariants.
const (
	// SingleFinalAnswer holds where a request gets one final answer.
	SingleFinalAnswer Invariant = iota
	// FinalAnswerInTime holds where that comes by the request's expiry, with the lateness that the rules allow.
	FinalAnswerInTime
	// NoAttemptAfterFinalAnswer holds where no attempt starts after it.
	NoAttemptAfterFinalAnswer
	// KnownRequest holds where the policy decides on requests in flight alone.
	KnownRequest
	// DatagramFits holds where a datagram to a peer is within the length that peers accept.
	DatagramFits
	invariantCount
)

// invariantNames are the keys of the counts for operators.
var invariantNames = [invariantCount]string{"one_final", "in_time", "none_after", "named", "short_speech"}

var violations [invariantCount]atomic.Int64

// Check counts a violation of an invariant unless holds is true.
func Check(holds bool, invariant Invariant) {
	if holds {
		return
	}
	if panicOnViolation {
		panic(fmt.Sprintf("invariant %s is violated", invariantNames[invariant]))
	}
	violations[invariant].Add(1)
}

// Violations gives the counts of the violated invariants, by name.
func Violations() map[string]int64 {
	counts := map[string]int64{}
	for i := range violations {
		if n := violations[i].Load(); n > 0 {
			counts[invariantNames[i]] = n
		}
	}
	return counts
}
