package edge

import (
	"testing"
	"time"

	"willowdeck/internal/serving/loadbalancer"
)

func attemptAt(instance string) *attempt {
	return &attempt{worker: worker{Worker: loadbalancer.Worker{Instance: instance, Address: "10.0.0.1:80"}}}
}

// silence makes a watched worker silent for longer than is borne.
func silence(l *liveness, instance string) {
	l.workers[instance].heard = time.Now().Add(-2 * silenceMost)
	l.workers[instance].nextProbe = time.Time{}
}

func TestSilentWorkerIsProbedAndLeft(t *testing.T) {
	l := newLiveness()
	repeatable, once := attemptAt("w"), attemptAt("w")
	interrupted := 0
	l.begin(repeatable, time.Second, func() { interrupted++ })
	l.begin(once, time.Second, nil)
	if len(l.due()) != 0 {
		t.Fatal("probed before it was silent")
	}
	for probe := range probesFailed {
		silence(l, "w")
		due := l.due()
		if len(due) != 1 || len(l.due()) != 0 {
			t.Fatalf("probe %d: %d due, and due again while it is under way", probe, len(due))
		}
		interrupts, dead := l.probed("w", due["w"], false)
		if last := probe == probesFailed-1; dead != last || len(interrupts) != map[bool]int{true: 1}[last] {
			t.Fatalf("probe %d: dead %v, %d interrupted", probe, dead, len(interrupts))
		}
		for _, interrupt := range interrupts {
			interrupt()
		}
	}
	if interrupted != 1 || l.workers["w"].deadSince.IsZero() {
		t.Errorf("%d interrupted, dead %v: what may run once has to stay", interrupted, l.workers["w"].deadSince)
	}
	l.hear("w")
	if !l.workers["w"].deadSince.IsZero() {
		t.Error("dead after a sign of life")
	}
}

func TestProbeThatSucceedsEndsTheDoubt(t *testing.T) {
	l := newLiveness()
	a := attemptAt("w")
	l.begin(a, time.Second, func() { t.Error("interrupted") })
	silence(l, "w")
	due := l.due()
	if _, dead := l.probed("w", due["w"], true); dead || len(l.due()) != 0 {
		t.Error("a worker that answers is doubted")
	}
	l.end(a)
	if len(l.workers) != 0 {
		t.Error("a worker without requests is still watched")
	}
}

func TestUnreachableWorkerIsProbedWithoutRequests(t *testing.T) {
	l := newLiveness()
	l.suspect(attemptAt("w"), time.Second)
	if len(l.due()) != 0 {
		t.Error("probed at once again")
	}
	l.workers["w"].nextProbe = time.Time{}
	if len(l.due()) != 1 {
		t.Error("not probed")
	}
	l.workers["w"].probing = false
	l.workers["w"].deadSince = time.Now().Add(-2 * probeFor)
	l.due()
	if len(l.workers) != 0 {
		t.Error("probed for ever")
	}
}

// TestHintHasAWorkerProbed takes another edge's word: only where requests of this one are in hand is it worth
// a look of its own.
func TestHintHasAWorkerProbed(t *testing.T) {
	l := newLiveness()
	l.hint("w")
	l.begin(attemptAt("w"), time.Second, nil)
	if len(l.due()) != 0 {
		t.Fatal("probed without a reason")
	}
	l.hint("w")
	if len(l.due()) != 1 {
		t.Error("not probed")
	}
}
