package ruleset

import (
	"math"
	"testing"
)

// The bound is derived from the lease, the clocks' drift and the delay of a write, and is under two seconds
// by default.
func TestConflictBound(t *testing.T) {
	r := smallRules(1, "a")
	r.LeaseMillis = 1000
	if b := ConflictBoundMillis(r); math.Abs(b-1250.45) > 0.01 || b > DefaultConflictBoundMillis {
		t.Errorf("%v", b)
	}
}
