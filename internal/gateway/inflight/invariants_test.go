package inflight

import "testing"

// A debug build panics at a violation, any other counts it.
func TestInvariants(t *testing.T) {
	defer func() {
		if panicked := recover() != nil; panicked != panicOnViolation {
			t.Errorf("panicked %v, want %v", panicked, panicOnViolation)
		}
	}()
	Check(true, KnownRequest)
	Check(false, DatagramFits)
	if n := Violations(); n["short_speech"] != 1 || len(n) != 1 {
		t.Errorf("counted %v", n)
	}
	violations[DatagramFits].Store(0)
}
