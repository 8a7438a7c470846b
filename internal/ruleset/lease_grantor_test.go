package ruleset

import "testing"

// A LeaseGrantor acknowledges no step that one of its processes may be behind of.
func TestLeaseGrantor(t *testing.T) {
	var grantor LeaseGrantor
	grantor.ProcessStarted(1, false)
	if s := grantor.AckedStep(5); s != 5 {
		t.Errorf("nobody goes by anything: %d", s)
	}
	grantor.RecordRequest(1, 0)
	if s := grantor.AckedStep(5); s != 5 {
		t.Errorf("it has been told nothing: %d", s)
	}
	grantor.RecordGrant(1)
	if s := grantor.AckedStep(5); s != 0 {
		t.Errorf("it may go by anything: %d", s)
	}
	grantor.RecordRequest(1, 4)
	grantor.RecordRequest(1, 3) // late
	grantor.ProcessStarted(1, true)
	grantor.ProcessStarted(2, true) // from before the daemon
	if s := grantor.AckedStep(5); s != 0 {
		t.Errorf("one of before may go by anything: %d", s)
	}
	grantor.ProcessExited(2)
	if s := grantor.AckedStep(5); s != 4 {
		t.Errorf("%d, not 4", s)
	}
	for i := range maxProcesses {
		grantor.RecordRequest(i, 0)
	}
	if grantor.RecordRequest(maxProcesses, 9) || !grantor.RecordRequest(1, 9) {
		t.Error("the books are not bounded")
	}
}
