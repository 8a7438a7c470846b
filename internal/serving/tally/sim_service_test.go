package tally

import (
	"testing"
	"time"

	"willowdeck/internal/testkit/tallyhistory"
)

const (
	faultTime    = 12 * time.Second
	settledAfter = 2 * time.Second // of a fault
	maxUnserved  = 40              // calls at one moment: those of a second and a half
)

// serviceCase is one lasting fault and how soon callers have to be served meanwhile.
type serviceCase struct {
	kind     string
	zone     int
	maxDelay time.Duration
}

var serviceCases = []serviceCase{
	{cutRegions, 0, promptCall},
	{cutZone, 0, promptCall},
	{cutZone, 4, promptCall},
	{cutBridge, 0, promptCall},
	{cutBridge, 3, promptCall},
	{stallDisk, 0, promptCall},
	{stallDisk, 4, promptCall},
	{slowDisk, 1, promptCall},
	{diskFull, 0, promptCall},
	{freezeProcess, 1, callTimeout + promptCall}, // its callers wait for the time-out
	{cutOneWay, 1, callTimeout + promptCall},
	{cutZoneInbound, 1, callTimeout + promptCall},
	{cutZoneOutbound, 1, callTimeout + promptCall},
}

// TestServiceDuringFaults checks that all callers are served while a single fault lasts.
func TestServiceDuringFaults(t *testing.T) {
	for _, test := range serviceCases {
		w := newWorld(int64(test.zone), plantedFault{})
		w.run(5 * time.Second)
		w.inject(faultEvent{Kind: test.kind, Machine: test.zone, Duration: int(faultTime.Milliseconds())})
		w.run(settledAfter)
		first := len(w.history)
		from := w.now
		w.run(faultTime - settledAfter - 2*time.Second)
		worst, worstID := time.Duration(0), ""
		begun, served := map[string]time.Duration{}, map[string]bool{}
		for _, event := range w.history[first:] {
			started, known := begun[event.ID]
			if !known {
				started = event.Started
				begun[event.ID] = started
			}
			if event.Outcome != tallyhistory.Acknowledged || served[event.ID] {
				continue // a repeated add may be sent to cores that cannot be reached
			}
			served[event.ID] = true
			if started >= from && event.Ended-started > worst {
				worst, worstID = event.Ended-started, event.ID
			}
		}
		t.Logf("%s of %d: the slowest of %d calls took %v", test.kind, test.zone, len(begun), worst)
		if worst > test.maxDelay {
			t.Errorf("%s of %d: call %s took %v", test.kind, test.zone, worstID, worst)
		}
		if unserved := w.callers.inProgress; unserved > maxUnserved {
			t.Errorf("%s of %d: %d calls are in progress", test.kind, test.zone, unserved)
		}
	}
}
