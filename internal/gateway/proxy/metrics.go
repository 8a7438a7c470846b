package proxy

import (
	"sync/atomic"

	"willowdeck/internal/forecast"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/policy"
)

// LockTimes are the longest times, in us, for which work that is no request's held the lock, and so blocked
// all requests.
type LockTimes struct {
	FullListMicros atomic.Int64 // a chunk of a full list of endpoints
	ChangeMicros   atomic.Int64 // changes of the list
	RulesetMicros  atomic.Int64
}

// LockTimes gives the longest times.
func (d *Dispatcher) LockTimes() *LockTimes { return &d.lockTimes }

// recordLockTime records how long the lock was held that was taken at a time.
func (d *Dispatcher) recordLockTime(lockedMillis float64, longest *atomic.Int64) {
	micros := int64((d.clock.now() - lockedMillis) * 1000)
	for most := longest.Load(); micros > most; most = longest.Load() {
		if longest.CompareAndSwap(most, micros) {
			return
		}
	}
}

// RefreshTally renews the copy of the policy's counts that CachedTally gives.
func (d *Dispatcher) RefreshTally() {
	t := d.Tally()
	d.tally.Store(&t)
}

// CachedTally gives the policy's counts as of the last RefreshTally, and never waits.
func (d *Dispatcher) CachedTally() policy.Stats {
	if t := d.tally.Load(); t != nil {
		return *t
	}
	return policy.Stats{}
}

// Tally gives the policy's counts.
func (d *Dispatcher) Tally() policy.Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.Stats()
}

// RevokedAttempts tells how many attempts were not sent as the lease that they were decided by had expired.
func (d *Dispatcher) RevokedAttempts() int64 { return d.revoked.Load() }

// SetMeter has a meter count from here on what reports of this instance contain. It is to be called before
// the first request.
func (d *Dispatcher) SetMeter(m *forecast.Meter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meter = m
}

// FillReport fills in a report what the meter and the policy have observed. It may not run twice at a time;
// requests are served in between.
func (d *Dispatcher) FillReport(report *forecast.Report) {
	for next := d.samplePolicy(0); next > 0; {
		next = d.samplePolicy(next)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, t := d.clock.now(), d.policy.Stats()
	d.meter.Snapshot(now, &t)
	d.meter.FillReport(report, now, &t, &d.sample, d.workers.ZoneName)
	if d.lender != nil {
		d.lender.accounts.EachAccount(report.AddCredit)
	}
}

// samplePolicy takes one part of the sample, and gives where the next one begins; 0 after the last.
func (d *Dispatcher) samplePolicy(from int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.WriteSnapshot(&d.sample, from)
}

// finalKind classifies a final answer for the meter.
func finalKind(c inflight.Command) forecast.Outcome {
	switch {
	case c.Answer != nil:
		return forecast.OutcomeSucceeded
	case c.Decision.Kind == policy.Reject:
		return forecast.OutcomeRejected
	}
	return forecast.OutcomeFailed
}
