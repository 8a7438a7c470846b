package execution

import "testing"

// TestMayHaveExecuted adds one attempt of each outcome to a record that proves that nothing was executed.
func TestMayHaveExecuted(t *testing.T) {
	outcomes := map[Outcome]bool{NotSent: false, NotExecuted: false, Unknown: true, Executed: true}
	for outcome, want := range outcomes {
		record := Record{}
		for _, earlier := range []Outcome{NotSent, NotExecuted, outcome, NotExecuted, NotSent} {
			record.Add(Attempt{Outcome: earlier})
		}
		if got := record.MayHaveExecuted(); got != want {
			t.Errorf("%v: may have been executed: %v", outcome, got)
		}
	}
}

// TestSent says which requests no worker has received a byte of.
func TestSent(t *testing.T) {
	record := Record{}
	record.Add(Attempt{Outcome: NotSent})
	if record.Sent() {
		t.Error("a request that no worker could be reached for was sent")
	}
	record.Add(Attempt{Outcome: NotExecuted})
	if !record.Sent() {
		t.Error("a rejected request was not sent")
	}
}

// TestIsPromise lists the statuses after which a client repeats a request that may be executed once only.
func TestIsPromise(t *testing.T) {
	for status, want := range map[int]bool{
		200: false, 400: false, 404: false, 408: true, 421: true, 429: true,
		500: false, 502: false, 503: true, 504: false,
	} {
		if got := IsPromise(status); got != want {
			t.Errorf("status %d: a promise: %v", status, got)
		}
	}
}
