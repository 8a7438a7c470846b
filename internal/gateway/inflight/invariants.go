package inflight

import (
	"fmt"
	"sync/atomic"
)

// Invariant is a condition that always holds in a correct gateway. Debug builds panic on a violation;
// release builds count it.
type Invariant uint8

// The invariants.
const (
	// SingleFinalAnswer requires that a request gets at most one final answer.
	SingleFinalAnswer Invariant = iota
	// FinalAnswerInTime requires that the final answer is sent by the request's expiry plus the permitted delay.
	FinalAnswerInTime
	// NoAttemptAfterFinalAnswer requires that no attempt of a request starts after its final answer, and that
	// the attempts are numbered consecutively.
	NoAttemptAfterFinalAnswer
	// KnownRequest requires that the policy returns decisions only for requests in flight.
	KnownRequest
	// DatagramFits requires that a datagram to a peer is no longer than the length that peers accept.
	DatagramFits
	invariantCount
)

// invariantNames are the keys of the violation counts that operators see.
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

// Violations returns the number of violations of each invariant that has any, by the invariant's name.
func Violations() map[string]int64 {
	counts := map[string]int64{}
	for i := range violations {
		if n := violations[i].Load(); n > 0 {
			counts[invariantNames[i]] = n
		}
	}
	return counts
}
