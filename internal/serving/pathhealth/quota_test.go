package pathhealth

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// quotaPeriod is that of a processor share that is a quota: a process runs until its share is spent, and then
// not until the period ends.
const quotaPeriod = 100 * time.Millisecond

// quota is a process's share: it runs at the beginning of each period.
type quota struct{ phase, runs time.Duration }

// nextRun returns the first time from at on at which the process runs.
func (q quota) nextRun(at time.Duration) time.Duration {
	into := (at + q.phase) % quotaPeriod
	if into < q.runs {
		return at
	}
	return at + quotaPeriod - into
}

// TestProcessorQuotaIsNoPartition has all edges run for a part of each tenth of a second only, each in a
// phase of its own: no zone and no region is ever suspected.
func TestProcessorQuotaIsNoPartition(t *testing.T) {
	for _, runs := range []time.Duration{10, 20, 50, 90} {
		for _, oneWayMillis := range []time.Duration{1, 3, 55} {
			for seed := range int64(10) {
				suspected := simulateQuota(seed, runs*time.Millisecond, oneWayMillis*time.Millisecond)
				if suspected != "" {
					t.Errorf("%d of 100 ms, %d ms one way, seed %d: %s", runs, oneWayMillis, seed, suspected)
				}
			}
		}
	}
}

// simulateQuota runs a detector for a minute and returns what it suspects first, with the time.
func simulateQuota(seed int64, runs, oneWay time.Duration) string {
	random := rand.New(rand.NewSource(seed))
	drawQuota := func() quota {
		return quota{time.Duration(random.Int63n(quotaPeriod.Milliseconds())) * time.Millisecond, runs}
	}
	own := drawQuota()
	detector := New(FailureDomain{Zone: "a1", Region: "a"}, 0)
	var targets []Target
	quotas := map[string]quota{}
	for _, zone := range []string{"a2", "b1", "b2"} {
		for i := range 3 {
			name := fmt.Sprintf("%s-%d", zone, i)
			targets = append(targets, Target{
				Name: name, FailureDomain: FailureDomain{Zone: zone, Region: zone[:1]}, Linked: true,
			})
			quotas[name] = drawQuota()
		}
	}
	answers := map[time.Duration][]uint64{} // by when they arrive here
	var received []uint64                   // that wait until this process runs
	for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
		received = append(received, answers[now]...)
		delete(answers, now)
		if own.nextRun(now) != now {
			continue
		}
		// A process that was held up looks at its timers, which are due then, and at its socket in either order.
		timersFirst := random.Intn(2) == 0
		if !timersFirst {
			received = recordAnswers(detector, now, received)
		}
		if now%tick == 0 || timersFirst && len(received) > 0 {
			for _, probe := range detector.DueProbes(now, targets) {
				arrival := quotas[probe.Target].nextRun(now+oneWay) + oneWay
				answers[arrival] = append(answers[arrival], probe.Number)
			}
		}
		for _, target := range targets {
			if detector.Suspected(now, target.FailureDomain) {
				return fmt.Sprintf("%s is suspected at %v", target.Zone, now)
			}
		}
		received = recordAnswers(detector, now, received)
	}
	return ""
}

// recordAnswers records the answers that have been received, and returns an empty list.
func recordAnswers(detector *Detector, now time.Duration, received []uint64) []uint64 {
	for _, number := range received {
		detector.RecordAnswer(now, number)
	}
	return received[:0]
}
