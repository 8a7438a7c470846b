package edge

import (
	"testing"
	"time"

	"willowdeck/internal/serving/loadbalancer"
)

func attemptAt(instance string) *attempt {
	return &attempt{worker: worker{Worker: loadbalancer.Worker{Instance: instance, Address: "10.0.0.1:80"}}}
}

// silence makes a monitored worker silent for longer than activityTimeout.
func silence(checker *healthChecker, instance string) {
	checker.workers[instance].lastActivityAt = time.Now().Add(-2 * activityTimeout)
	checker.workers[instance].nextCheckAt = time.Time{}
}

func TestSilentWorkerIsCheckedAndInterrupted(t *testing.T) {
	checker := newHealthChecker()
	idempotent, nonIdempotent := attemptAt("w"), attemptAt("w")
	interrupted := 0
	checker.startRequest(idempotent, time.Second, func() { interrupted++ })
	checker.startRequest(nonIdempotent, time.Second, nil)
	if len(checker.startDueChecks()) != 0 {
		t.Fatal("checked before it was silent")
	}
	for check := range unresponsiveThreshold {
		silence(checker, "w")
		due := checker.startDueChecks()
		if len(due) != 1 || len(checker.startDueChecks()) != 0 {
			t.Fatalf("check %d: %d due, and due again while it is running", check, len(due))
		}
		interrupts, unresponsive := checker.recordCheck("w", due["w"], false)
		last := check == unresponsiveThreshold-1
		if unresponsive != last || len(interrupts) != map[bool]int{true: 1}[last] {
			t.Fatalf("check %d: unresponsive %v, %d interrupted", check, unresponsive, len(interrupts))
		}
		for _, interrupt := range interrupts {
			interrupt()
		}
	}
	if interrupted != 1 || checker.workers["w"].unresponsiveSince.IsZero() {
		t.Errorf("%d interrupted, unresponsive since %v: a non-idempotent request has to stay", interrupted,
			checker.workers["w"].unresponsiveSince)
	}
	checker.recordActivity("w")
	if !checker.workers["w"].unresponsiveSince.IsZero() {
		t.Error("unresponsive after activity")
	}
}

func TestAnsweredCheckKeepsWorkerResponsive(t *testing.T) {
	checker := newHealthChecker()
	a := attemptAt("w")
	checker.startRequest(a, time.Second, func() { t.Error("interrupted") })
	silence(checker, "w")
	due := checker.startDueChecks()
	_, unresponsive := checker.recordCheck("w", due["w"], true)
	if unresponsive || len(checker.startDueChecks()) != 0 {
		t.Error("a worker that answers is unresponsive")
	}
	checker.endRequest(a)
	if len(checker.workers) != 0 {
		t.Error("a worker without requests is still monitored")
	}
}

func TestUnreachableWorkerIsCheckedWithoutRequests(t *testing.T) {
	checker := newHealthChecker()
	checker.recordUnreachable(attemptAt("w"), time.Second)
	if len(checker.startDueChecks()) != 0 {
		t.Error("checked again at once")
	}
	checker.workers["w"].nextCheckAt = time.Time{}
	if len(checker.startDueChecks()) != 1 {
		t.Error("not checked")
	}
	checker.workers["w"].checking = false
	checker.workers["w"].unresponsiveSince = time.Now().Add(-2 * maxRecheckTime)
	checker.startDueChecks()
	if len(checker.workers) != 0 {
		t.Error("checked for ever")
	}
}

// TestPeerReportExpeditesCheck has another edge report a worker: it is checked only where requests of this
// edge are in flight.
func TestPeerReportExpeditesCheck(t *testing.T) {
	checker := newHealthChecker()
	checker.expedite("w")
	checker.startRequest(attemptAt("w"), time.Second, nil)
	if len(checker.startDueChecks()) != 0 {
		t.Fatal("checked without a reason")
	}
	checker.expedite("w")
	if len(checker.startDueChecks()) != 1 {
		t.Error("not checked")
	}
}
