package tally

import (
	"fmt"
	"testing"
	"time"
)

const (
	reconnectSeeds = 10
	addInterval    = 10 * time.Millisecond
	maxFewCopies   = 500 * time.Millisecond // after others are heard again: they have to catch up first
)

// diskCopies counts the machines that have a record of an origin on their disks.
func (w *world) diskCopies(origin string, sequence uint64) int {
	copies := 0
	for _, m := range w.present() {
		if m.process != nil && m.process.replica.durable[origin] >= sequence {
			copies++
		}
	}
	return copies
}

// copiesAfterHeal isolates a core and heals the cut. It returns until when after that the core acknowledged
// adds with too few copies, and when it first heard another one.
func copiesAfterHeal(seed int64) (fewUntil, heardAfter time.Duration) {
	w := newWorld(seed, plantedFault{})
	w.callers.idle = true
	w.run(3 * time.Second)
	m := w.machines[int(seed)%coreCount]
	w.isolate(m, 5*time.Second)
	p := m.process
	p.addSteadily(300, addInterval) // so that there is something to catch up with
	w.run(5 * time.Second)
	healed := w.now
	number := 0
	w.every(addInterval, func() {
		number++
		add := Add{Tally: "t", ID: fmt.Sprintf("after%d", number), Amount: 1}
		p.post(func() {
			p.replica.Add(add, func(outcome Outcome) {
				counted, _ := p.replica.set.find(add.Tally, add.ID)
				if outcome == Acknowledged && w.diskCopies(p.incarnation, counted.sequence) <= toleratedLosses {
					fewUntil = w.now - healed
				}
			})
		})
		if heardAfter == 0 && m.hearsOthers() {
			heardAfter = w.now - healed
		}
	})
	w.run(4 * time.Second)
	return fewUntil, heardAfter
}

// TestCopiesAfterHeal checks that a core that hears the others again soon acknowledges no more adds that they
// do not hold.
func TestCopiesAfterHeal(t *testing.T) {
	for seed := range int64(reconnectSeeds) {
		fewUntil, heardAfter := copiesAfterHeal(seed)
		t.Logf("seed %d: others are heard %v after the cut, too few copies until %v", seed, heardAfter,
			fewUntil)
		if fewUntil > heardAfter+maxFewCopies {
			t.Errorf("seed %d: too few copies %v after others are heard", seed, fewUntil-heardAfter)
		}
	}
}
