package ruleset

import "math"

// LeaseCounters count the leases that a LeaseHolder did not use in full, and the expirations of its lease.
type LeaseCounters struct {
	Stale              int64 // leases older than the holder's lease, or expired on receipt
	Invalid            int64 // leases with a negative or NaN age, or a future request time
	Unsupported        int64 // leases on rules that this program does not support
	UnsupportedPending int64 // leases whose pending rules this program does not support
	Expirations        int64 // expirations of the lease
}

// LeaseHolder decides which rules one instance acts on. It relies on its own clock alone: the version that
// was in force when the daemon started the read may be acted on until LeaseMillis after that time (Gray and
// Cheriton 1989). A read that a quorum confirms (Ongaro 2014, 6.4) is the grant, so the raft group keeps no
// record of the lease holders.
type LeaseHolder struct {
	name        string
	nowMillis   float64 // set by SetTime; never decreases
	mode        LeaseMode
	step        uint64 // fencing step of the latest lease
	version     Version
	memberIndex int         // in version; -1 if not a member
	allowances  []Allowance // by plan, in ModeLeased

	pending            *Rules // accepted but not in force, as of the latest lease; nil if there is none
	pendingIndex       int    // this instance's index in pending
	pendingUnsupported bool   // pending is not supported: the fallback allows nothing of a rate limit

	leaseExpiryMillis     float64
	effective             EffectiveRules // the rules last adopted
	effectiveExpiryMillis float64        // effective may be acted on until then
	adoptDue              bool           // effective differs from the rules that apply now
	allowanceGrew         bool           // an allowance has grown since the last adoption

	ackedStep          uint64  // all writes of this process are based on this fencing step or a later one
	nextAckStep        uint64  // becomes ackedStep once all writes decided before nextAckSinceMillis are done
	nextAckSinceMillis float64 // when nextAckStep was received, or adopted if that was needed

	lastRequestMillis   float64
	scheduledWakeMillis float64 // WakeAtMillis of the last ActionWake
	counters            LeaseCounters
}

// NewLeaseHolder returns a LeaseHolder for the instance of a name. Until it receives a lease it is in
// ModeNoLease with the initial rules. A plan of the initial rules must have a rate limit if it has one in the
// versions that are put in force.
func NewLeaseHolder(name string, initial Rules) *LeaseHolder {
	never := math.Inf(-1)
	return &LeaseHolder{
		name:                  name,
		version:               Version{Rules: initial},
		memberIndex:           MemberIndex(&initial, name),
		allowances:            make([]Allowance, len(initial.Plans)),
		leaseExpiryMillis:     never,
		effectiveExpiryMillis: never,
		adoptDue:              true,
		lastRequestMillis:     never,
		scheduledWakeMillis:   never,
	}
}

// SetTime sets the time for the calls that follow. The clock has to keep running while the process is
// suspended. An earlier time than before is ignored.
func (h *LeaseHolder) SetTime(nowMillis float64) {
	h.nowMillis = math.Max(h.nowMillis, nowMillis)
	if h.nextAckStep > h.ackedStep && !h.adoptDue && h.nowMillis >= h.nextAckSinceMillis+conflictBoundMillis(0) {
		// request a lease at once, since a pending version may wait for this acknowledgement
		h.ackedStep, h.lastRequestMillis = h.nextAckStep, math.Inf(-1)
	}
	h.expire()
}

// expire ends the lease, and then the fallback, once its time has expired.
func (h *LeaseHolder) expire() {
	mode := h.mode
	if mode == ModeLeased && h.nowMillis >= h.leaseExpiryMillis {
		mode = ModeFallback
		h.counters.Expirations++
	}
	if mode == ModeFallback && h.nowMillis >= h.leaseExpiryMillis+h.version.Rules.Fallback.DurationMillis {
		mode = ModeNoLease
	}
	if mode != h.mode {
		h.mode = mode
		h.requireAdoption()
	}
}

// requireAdoption makes NextAction return the rules that apply now for adoption. Until then MayAct is false.
func (h *LeaseHolder) requireAdoption() { h.adoptDue, h.effectiveExpiryMillis = true, math.Inf(-1) }

// allowance returns how much the instance may admit for a plan as of now.
func (h *LeaseHolder) allowance(plan int) Allowance {
	if plan >= len(h.allowances) {
		return Allowance{}
	}
	rules := &h.version.Rules
	switch h.mode {
	case ModeLeased:
		return h.allowances[plan]
	case ModeFallback:
		allowance := h.allowances[plan].min(FallbackAllowance(rules, plan, h.memberIndex))
		if h.pendingUnsupported {
			return LeasedAllowance(rules, plan, -1)
		}
		if h.pending != nil {
			allowance = allowance.min(LeasedAllowance(h.pending, plan, h.pendingIndex))
		}
		return allowance
	}
	return LeasedAllowance(rules, plan, -1)
}

// ReceiveLease processes a lease received for a request. requestedAtMillis is the time on this holder's
// clock, read before the request was sent. SetTime has to be called before ReceiveLease, and NextAction
// between it and the next decision.
func (h *LeaseHolder) ReceiveLease(lease Lease, requestedAtMillis float64) {
	rules := &lease.Version.Rules
	switch {
	case !(lease.AgeMillis >= 0) || !(requestedAtMillis <= h.nowMillis):
		h.counters.Invalid++
		return
	case lease.Step < h.step || lease.Version.Number < h.version.Number:
		h.counters.Stale++
		return
	case lease.UnsupportedFeature != "": // its own version is superseded, and it can't act on the new one
		h.counters.Unsupported++
		if lease.Version.Number > h.version.Number && h.mode == ModeLeased {
			h.leaseExpiryMillis = math.Min(h.leaseExpiryMillis, h.nowMillis)
			h.expire()
		}
		return
	}
	expiryMillis := requestedAtMillis - lease.AgeMillis + rules.LeaseMillis
	if expiryMillis <= h.nowMillis {
		h.counters.Stale++
		return
	}
	if lease.Version.Number > h.version.Number {
		h.switchVersion(lease)
	}
	if lease.TransitionComplete {
		h.growAllowances()
	}
	if h.mode != ModeLeased {
		h.mode = ModeLeased
		h.requireAdoption()
	}
	if lease.Step > h.step {
		h.step = lease.Step
		h.pending, h.pendingUnsupported = lease.Pending, lease.PendingUnsupportedFeature != ""
		if h.pending != nil {
			h.pendingIndex = MemberIndex(h.pending, h.name)
		}
		h.nextAckStep, h.nextAckSinceMillis = lease.Step, h.nowMillis
	}
	if lease.PendingUnsupportedFeature != "" {
		h.counters.UnsupportedPending++
	}
	if h.leaseExpiryMillis = math.Max(h.leaseExpiryMillis, expiryMillis); !h.adoptDue {
		h.effectiveExpiryMillis = h.leaseExpiryMillis
	}
}

// switchVersion switches to the version of a lease. Smaller allowances apply at once, larger ones when the
// transition is complete.
func (h *LeaseHolder) switchVersion(lease Lease) {
	rules := &lease.Version.Rules
	memberIndex := MemberIndex(rules, h.name)
	allowances := make([]Allowance, len(rules.Plans))
	for i := range allowances {
		current := LeasedAllowance(rules, i, -1)
		if i < len(h.allowances) {
			current = h.allowance(i)
		}
		allowances[i] = current.min(LeasedAllowance(rules, i, memberIndex))
	}
	h.version, h.memberIndex, h.allowances = lease.Version, memberIndex, allowances
	h.leaseExpiryMillis = math.Inf(-1)
	h.requireAdoption()
}

// growAllowances raises all allowances to the instance's full share. It is called once the transition is
// complete.
func (h *LeaseHolder) growAllowances() {
	for i := range h.allowances {
		if allowance := LeasedAllowance(&h.version.Rules, i, h.memberIndex); h.allowances[i] != allowance {
			h.allowances[i], h.allowanceGrew = allowance, true
			h.requireAdoption()
		}
	}
}

// RecordRequest records the time of a lease request, which delays the next ActionRequestLease.
func (h *LeaseHolder) RecordRequest(atMillis float64) {
	h.lastRequestMillis = math.Max(h.lastRequestMillis, atMillis)
}

// NextAction returns the next action. The caller calls it until it returns false.
func (h *LeaseHolder) NextAction() (Action, bool) {
	if h.adoptDue {
		h.adoptDue, h.scheduledWakeMillis = false, math.Inf(-1)
		switch h.mode {
		case ModeLeased:
			h.effectiveExpiryMillis = h.leaseExpiryMillis
		case ModeFallback:
			h.effectiveExpiryMillis = h.leaseExpiryMillis + h.version.Rules.Fallback.DurationMillis
		case ModeNoLease:
			h.effectiveExpiryMillis = math.Inf(1)
		}
		if h.nextAckStep > h.ackedStep {
			h.nextAckSinceMillis = h.nowMillis // counted from the adoption, not from the receipt
		}
		h.effective, h.allowanceGrew = h.buildEffective(), false
		return Action{Kind: ActionAdopt, Effective: h.effective}, true
	}
	requestAtMillis := h.lastRequestMillis + renewalIntervalMillis(h.version.Rules.LeaseMillis)
	if h.nowMillis >= requestAtMillis {
		h.lastRequestMillis, h.scheduledWakeMillis = h.nowMillis, math.Inf(-1)
		return Action{Kind: ActionRequestLease}, true
	}
	wakeAtMillis := math.Min(requestAtMillis, h.effectiveExpiryMillis)
	if h.nextAckStep > h.ackedStep {
		wakeAtMillis = math.Min(wakeAtMillis, h.nextAckSinceMillis+conflictBoundMillis(0))
	}
	if wakeAtMillis == h.scheduledWakeMillis {
		return Action{}, false
	}
	h.scheduledWakeMillis = wakeAtMillis
	return Action{Kind: ActionWake, WakeAtMillis: wakeAtMillis}, true
}

// buildEffective returns the rules that apply now.
func (h *LeaseHolder) buildEffective() EffectiveRules {
	rules := &h.version.Rules
	effective := EffectiveRules{
		Version:         h.version.Number,
		Step:            h.step,
		Mode:            h.mode,
		MemberIndex:     h.memberIndex,
		MemberCount:     len(rules.Members),
		LendingAllowed:  h.mode == ModeLeased,
		WorkerOverrides: rules.WorkerOverrides,
		ExpiresAtMillis: h.effectiveExpiryMillis,
		AllowanceGrew:   h.allowanceGrew,
	}
	for i, plan := range rules.Plans {
		effectivePlan := EffectivePlan{Plan: plan, Allowance: h.allowance(i), RateLimitFraction: 1}
		evenShare := LeasedAllowance(rules, i, 0)
		if plan.CeilingRate > 0 {
			effectivePlan.RateLimitFraction = math.Min(effectivePlan.Allowance.Rate/evenShare.Rate,
				effectivePlan.Allowance.Depth/evenShare.Depth)
		}
		if evenShare.Credit > 0 {
			effectivePlan.CreditFraction = effectivePlan.Allowance.Credit / evenShare.Credit
		}
		effective.Plans = append(effective.Plans, effectivePlan)
	}
	return effective
}

// Effective returns the rules last adopted.
func (h *LeaseHolder) Effective() EffectiveRules { return h.effective }

// MayAct reports whether the rules last adopted may be acted on at a time. It has to be called at each
// decision and once more before the write. If the rules have changed in between, the decision has to be made
// again. If MayAct is false, SetTime and NextAction give the rules that apply.
func (h *LeaseHolder) MayAct(nowMillis float64) bool { return nowMillis < h.effectiveExpiryMillis }

// ExpiresAtMillis returns the time until which the rules last adopted may be acted on. Each new lease on them
// extends it. See MayAct.
func (h *LeaseHolder) ExpiresAtMillis() float64 { return h.effectiveExpiryMillis }

// AckedStep returns the fencing step that the instance acknowledges. From now on all its writes are based on
// this step or a later one, including writes that it has decided already and not yet made. Each lease request
// carries the step.
func (h *LeaseHolder) AckedStep() uint64 { return h.ackedStep }

// Counters returns the counters.
func (h *LeaseHolder) Counters() LeaseCounters { return h.counters }
