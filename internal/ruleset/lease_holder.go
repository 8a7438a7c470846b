package ruleset

import "math"

// LeaseCounters count what a LeaseHolder has received.
type LeaseCounters struct {
	Stale              int64 // leases older than the one held, or expired on arrival
	Invalid            int64 // leases with an impossible age or request time
	Unsupported        int64 // leases on rules that this program does not support
	UnsupportedPending int64 // leases whose pending rules it does not support
	Expirations        int64 // times that the lease ran out
}

// LeaseHolder decides what one gatekeeper goes by. It relies on its own clock alone: what was in force when
// its daemon began the read may be acted on until LeaseMillis after that moment (Gray and Cheriton 1989),
// where a quorum's read (Ongaro 2014, 6.4) is the grant, so that nobody records who holds a lease.
type LeaseHolder struct {
	name        string
	nowMillis   float64 // set by SetTime; never goes back
	mode        LeaseMode
	step        uint64 // fencing step of the latest lease
	version     Version
	memberIndex int         // in version; -1 if not a member
	allowances  []Allowance // by plan, while leased

	pending            *Rules // accepted but not in force, as far as the leases say
	pendingIndex       int    // this gatekeeper's index in pending
	pendingUnsupported bool   // pending can't be read here: nothing of a limit is allowed as a fallback

	leaseExpiryMillis     float64
	effective             EffectiveRules // as last adopted
	effectiveExpiryMillis float64        // until which effective may be acted on
	adoptDue              bool           // effective is not what applies now
	allowanceGrew         bool           // since the last adoption

	ackedStep          uint64  // all that this process does rests on this fencing step or a later one
	nextAckStep        uint64  // becomes ackedStep once writes decided before nextAckSinceMillis are done
	nextAckSinceMillis float64 // when nextAckStep was adopted

	lastRequestMillis   float64
	scheduledWakeMillis float64 // of the last ActionWake
	counters            LeaseCounters
}

// NewLeaseHolder makes one for the gatekeeper of a name. It goes by the initial rules, without a lease,
// until it receives one. A plan of these has to have a rate limit where the agreed rules give it one.
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

// SetTime sets the time of what follows. The clock has to go on while the process is suspended.
func (h *LeaseHolder) SetTime(nowMillis float64) {
	h.nowMillis = math.Max(h.nowMillis, nowMillis)
	if h.nextAckStep > h.ackedStep && !h.adoptDue && h.nowMillis >= h.nextAckSinceMillis+conflictBoundMillis(0) {
		// request at once, since a change may wait for this acknowledgement
		h.ackedStep, h.lastRequestMillis = h.nextAckStep, math.Inf(-1)
	}
	h.expire()
}

// expire ends the lease or the fallback whose time is up.
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

// requireAdoption has NextAction adopt what applies now; nothing may be acted on until then.
func (h *LeaseHolder) requireAdoption() { h.adoptDue, h.effectiveExpiryMillis = true, math.Inf(-1) }

// allowance is what it may let through of a plan as of now.
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

// ReceiveLease takes a lease that answers a request sent at a time by this holder's clock, read before the
// request was sent. SetTime has to be called before it, and NextAction after it before anything is decided.
func (h *LeaseHolder) ReceiveLease(lease Lease, requestedAtMillis float64) {
	rules := &lease.Version.Rules
	switch {
	case !(lease.AgeMillis >= 0) || !(requestedAtMillis <= h.nowMillis):
		h.counters.Invalid++
		return
	case lease.Step < h.step || lease.Version.Number < h.version.Number:
		h.counters.Stale++
		return
	case lease.UnsupportedFeature != "": // its own is superseded, and it can't act on the new one
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

// switchVersion goes over to another version: smaller allowances apply at once, larger ones when the
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

// growAllowances gives it all of its share: nobody acts on another version any more.
func (h *LeaseHolder) growAllowances() {
	for i := range h.allowances {
		if allowance := LeasedAllowance(&h.version.Rules, i, h.memberIndex); h.allowances[i] != allowance {
			h.allowances[i], h.allowanceGrew = allowance, true
			h.requireAdoption()
		}
	}
}

// RecordRequest notes that a lease was requested at a time.
func (h *LeaseHolder) RecordRequest(atMillis float64) {
	h.lastRequestMillis = math.Max(h.lastRequestMillis, atMillis)
}

// NextAction gives what follows; it is called until there is nothing more.
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
			h.nextAckSinceMillis = h.nowMillis // from the adoption on, not from the receipt
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

// buildEffective derives the rules that apply now.
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

// Effective gives the rules last adopted.
func (h *LeaseHolder) Effective() EffectiveRules { return h.effective }

// MayAct tells whether the rules last adopted may be acted on at a time. It is asked at each decision and
// once more before the write; there the rules have to be those of the decision still, or it is made anew.
// Where it is false, SetTime and NextAction give what applies.
func (h *LeaseHolder) MayAct(nowMillis float64) bool { return nowMillis < h.effectiveExpiryMillis }

// ExpiresAtMillis gives the time until which the rules last adopted may be acted on; each lease on them
// moves it on. See MayAct.
func (h *LeaseHolder) ExpiresAtMillis() float64 { return h.effectiveExpiryMillis }

// AckedStep gives the fencing step that all rests on which this gatekeeper does from now on, including what
// it had decided before and may not have written yet. Each lease request carries it.
func (h *LeaseHolder) AckedStep() uint64 { return h.ackedStep }

// Counters gives what it has counted.
func (h *LeaseHolder) Counters() LeaseCounters { return h.counters }
