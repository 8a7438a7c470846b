package distribution

import (
	"errors"
	"math"
	"math/rand"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

const (
	maxDepth                 = 16      // relays one above the other; more are a cycle
	maxRetryAfterMillis      = 10000.0 // that a full state is put off for, whatever the response says
	readStartToleranceMillis = 1.0     // by which clocks may see the start of one read differently
)

// HandleResponse applies the response of an upstream to a request that was sent at a time. A response is
// applied completely or not at all; the counts say why one was rejected. AdvanceClock has to be called with
// the time of receipt before, and NextAction after.
func (f *Follower) HandleResponse(upstream int, sentAt float64, r *Response) {
	u := &f.upstreams
	if upstream < 0 || upstream >= len(u.pending) || r == nil || !(sentAt <= f.now) {
		f.counts.Invalid++
		return
	}
	var request pendingRequest
	if u.isPending(upstream, sentAt) {
		request, u.pending[upstream] = u.pending[upstream], pendingRequest{}
	}
	if !u.matches(upstream, sentAt, r.Nonce) {
		f.counts.Invalid++
		return
	}
	if !f.validate(r) {
		f.failOver(upstream)
		return
	}
	if upstream == u.currentUpstream() {
		f.confirmDelivery(request.hostAcks, r.Incarnation)
	}
	if r.Step == 0 {
		f.counts.Empty++
		f.failOver(upstream)
		return
	}
	// The age counts from when the request was sent: a response that was delayed is older, never younger.
	readStart := sentAt - r.AgeMillis
	f.compareFreshness(upstream, readStart, r)
	if f.applyResponse(readStart, r, request.renewalOnly) {
		u.failedInSlot, u.allFailed = 0, false
	} else {
		f.failOver(upstream)
	}
}

// deferralEnd gives until when a requester whose full state is deferred asks for renewals alone: with full
// jitter, and never for longer than maxRetryAfterMillis. Times are in milliseconds.
func deferralEnd(now float64, rng *rand.Rand, retryAfterMillis float64) float64 {
	return now + rng.Float64()*math.Min(retryAfterMillis, maxRetryAfterMillis)
}

// validate reports whether a response is of this format version and cluster, with figures within bounds.
func (f *Follower) validate(r *Response) bool {
	switch {
	case r.FormatVersion != FormatVersion || r.Cluster != f.config.Cluster:
		f.counts.Incompatible++
		return false
	case !(r.AgeMillis >= 0) || r.AgeMillis > math.MaxFloat32 || !(r.RetryAfterMillis >= 0) || r.Depth < 0 ||
		r.Depth >= maxDepth:
		f.counts.Invalid++
		return false
	}
	return true
}

// applyResponse applies what rests on a read that began at a time. It returns false where the upstream is of
// no use and another had better be asked.
func (f *Follower) applyResponse(readStart float64, r *Response, renewalOnly bool) (useful bool) {
	switch {
	case f.readBeforeStart(readStart):
		f.counts.BeforeStart++
		return true
	case f.isStale(readStart, r):
		f.counts.Stale++
		// That nobody acts on an earlier version any more stays true.
		if r.Step == f.snapshot.Step && r.TransitionComplete && !f.snapshot.TransitionComplete &&
			f.namesCurrentStates(r) {
			f.snapshot.TransitionComplete, f.updated = true, true
		}
		return true
	case f.contradictsSnapshot(r), r.Rules.IsNone(), !r.Pending.IsNone() && r.Pending.Number != r.Rules.Number+1:
		f.counts.Invalid++
		return false
	}
	rules, pending, sound := f.resolveStates(r, renewalOnly)
	if rules == nil {
		return sound
	}
	lease := f.leaseOf(rules)
	if readStart+lease <= f.now {
		f.counts.Expired++
		return true
	}
	f.accept(readStart, r, rules, pending)
	if lease != f.lease {
		f.lease = lease
		f.updateInterval()
	}
	return true
}

// readBeforeStart reports whether a read may have begun before this process started. The margin covers a
// clock that ran slow, which makes an age too small by no more than the drift over a lease.
func (f *Follower) readBeforeStart(readStart float64) bool {
	return !f.config.UpstreamTracksProcess && readStart < f.startedAt+3*clockDrift*f.lease
}

// isStale reports whether a response is of a lower step than the snapshot, or of the same and an older read.
func (f *Follower) isStale(readStart float64, r *Response) bool {
	return f.hasSnapshot && (r.Step < f.snapshot.Step ||
		r.Step == f.snapshot.Step && readStart < f.snapshot.ReadStartMillis-readStartToleranceMillis)
}

// contradictsSnapshot reports whether a response names other states at the snapshot's step, or a lower
// version.
func (f *Follower) contradictsSnapshot(r *Response) bool {
	return f.hasSnapshot && (r.Step == f.snapshot.Step && !f.namesCurrentStates(r) ||
		r.Rules.Number < f.snapshot.Rules.ID().Number)
}

// namesCurrentStates reports whether a response names the states of the snapshot.
func (f *Follower) namesCurrentStates(r *Response) bool {
	return r.Rules == f.snapshot.Rules.ID() && r.Pending == f.snapshot.Pending.ID()
}

// leaseOf gives the lease of rules that a response names, which may be longer than the present one.
func (f *Follower) leaseOf(rules *versioned.State) float64 {
	if !f.hasSnapshot || rules.ID() != f.snapshot.Rules.ID() {
		if lease := ruleset.StateLeaseMillis(rules); lease > 0 {
			return lease
		}
	}
	return f.lease
}

// accept makes a valid response and its states the snapshot.
func (f *Follower) accept(readStart float64, r *Response, rules, pending *versioned.State) {
	sameStep := f.hasSnapshot && r.Step == f.snapshot.Step
	if sameStep {
		f.counts.Renewals++
	} else {
		f.counts.Updates++
		f.updated = true
	}
	complete := r.TransitionComplete || sameStep && f.snapshot.TransitionComplete
	if !f.hasSnapshot || complete != f.snapshot.TransitionComplete || f.expired {
		f.updated = true
	}
	f.snapshot = Snapshot{
		Step:               r.Step,
		TransitionComplete: complete,
		ReadStartMillis:    math.Max(f.snapshot.ReadStartMillis, readStart),
		Rules:              rules,
		Pending:            pending,
		DiscoveryIndex:     r.DiscoveryIndex,
		Depth:              r.Depth + 1,
	}
	f.hasSnapshot, f.expired, f.needFullState = true, false, false
	f.addBase(pending)
	f.addBase(rules)
}

// resolveStates gives the states that a response names: bases, or what its deltas make. Where it can't, rules
// are nil, and sound reports whether the upstream behaved as it should.
func (f *Follower) resolveStates(r *Response, renewalOnly bool) (
	rules, pending *versioned.State, sound bool) {
	if rules, sound = f.resolveRules(r, renewalOnly); rules == nil {
		return nil, nil, sound
	}
	if r.Pending.IsNone() {
		return rules, nil, true
	}
	if pending = f.base(r.Pending); pending != nil {
		return rules, pending, true
	}
	if r.PendingDelta == nil {
		if !renewalOnly {
			f.counts.MissingDeltas++
			f.needFullState = true
		}
		return nil, nil, renewalOnly
	}
	if pending, sound = f.applyDelta(rules, r.PendingDelta, r.Pending); pending == nil {
		return nil, nil, sound
	}
	return rules, pending, true
}

// resolveRules gives the rules that a response names, with the results of resolveStates.
func (f *Follower) resolveRules(r *Response, renewalOnly bool) (rules *versioned.State, sound bool) {
	if rules = f.base(r.Rules); rules != nil {
		return rules, true
	}
	if r.RulesDelta != nil {
		return f.applyDelta(f.base(r.RulesDelta.From), r.RulesDelta, r.Rules)
	}
	switch {
	case r.RetryAfterMillis > 0:
		f.counts.Deferred++
		f.renewalOnlyUntil = deferralEnd(f.now, f.rng, r.RetryAfterMillis)
	case !renewalOnly:
		f.counts.MissingDeltas++
		return nil, false
	}
	return nil, true
}

// applyDelta gives the state with an ID that a delta makes of a base. Where it can't, it counts the reason,
// and has the next request ask for a full state. A delta against a state that is no base any more is sound:
// it may have been asked for before.
func (f *Follower) applyDelta(base *versioned.State, delta *versioned.Delta, want versioned.VersionID) (
	state *versioned.State, sound bool) {
	if delta.To != want || len(delta.Set)+len(delta.Delete) > maxEntries || delta.Bytes() > maxStateBytes {
		f.counts.Invalid++
		f.needFullState = true
		return nil, false
	}
	state, err := base.Apply(delta)
	switch {
	case errors.Is(err, versioned.ErrBaseMismatch):
		f.counts.BaseMismatches++
		sound = true
	case err != nil:
		f.counts.DigestMismatches++
	case state.Bytes() > maxStateBytes || state.Len() > maxEntries:
		f.counts.Invalid++
	case delta.From.IsNone():
		f.counts.FullStates++
		return state, true
	default:
		f.counts.Deltas++
		return state, true
	}
	f.needFullState = true
	return nil, sound
}
