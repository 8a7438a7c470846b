package ruleset

import (
	"math"
)

// Mode is by what a gatekeeper goes.
type LeaseMode uint8

// The modes. Any but Leased has no new credit, and quotas at the slice that needs no word of peers; all keep
// the operators' words.
const (
	ModeNoLease  LeaseMode = iota // nothing of a ceiling is surely its own: nothing passes under one
	ModeFallback                  // it has lost touch: of ceilings what its version's fallback leaves it
	ModeLeased                    // its version
)

var modeNames = [...]string{"bare", "cut off", "leased"}

func (m LeaseMode) String() string { return modeNames[m] }

// PlanTerms are what a gatekeeper goes by in one plan.
type EffectivePlan struct {
	Plan                // as the version has it, for all gatekeepers
	Allowance Allowance // what this one may let through, of all
	// by this its even part of a ceiling is multiplied to be that, 0 to 1; 1 where there is none
	CeilingFraction float64
	CreditFraction  float64 // and by this its even part of the credit line
}

// Terms are what a gatekeeper goes by from when it has adopted them.
type EffectiveRules struct {
	Version uint64 // 0: what it was born with
	Step    uint64 // of the council's word that they rest on
	Mode    LeaseMode
	// its place and how many there are; Me is -1 where it has none, and no ceiling's part
	MemberIndex, MemberCount int
	Plans                    []EffectivePlan
	LendingAllowed           bool // it may lend anew
	WorkerOverrides          []WorkerOverride
	ExpiresAtMillis          float64 // ms, by its own clock, for which they hold at first; see Holder.May
	// Raised: its share has grown since the terms before, as others have less or are no more. They may have
	// spent theirs just now, so that what it has more counts as spent: it fills at its rate. So it is at the
	// first lease of a life, unless this one knows what the one before it had spent under the same version.
	AllowanceGrew bool
}

// Kind is what a Decision asks of the host.
type ActionKind uint8

// The kinds.
const (
	ActionAdopt        ActionKind = iota + 1 // Terms: go by them from now on
	ActionRequestLease                       // the daemon, for its word; the time is Asked's
	ActionSubmit                             // Entry to the council's log
	// what the council says, once a quorum has confirmed that it is the latest
	ActionReadState
	ActionWake // call Clock again at time At
)

// Decision is one thing for the host to do.
type Action struct {
	Kind         ActionKind
	Effective    EffectiveRules // Adopt
	Entry        LogEntry       // Submit
	WakeAtMillis float64        // Wake
}

// Counts are what a holder has met.
type LeaseCounters struct {
	Stale              int64 // words that were older than what it had, or whose time was up
	Invalid            int64 // words with an age that is none, or longer than any is good for
	Unsupported        int64 // words of rules in force that this program does not know whole
	UnsupportedPending int64 // words of pending ones that it does not
	Expirations        int64 // times that it lost touch
}

// Holder decides what one gatekeeper goes by. It trusts nothing but its own clock: what was in force when its
// daemon began to read may be acted on until a lease after that moment: Gray and Cheriton 1989, with a
// quorum's read (Ongaro 2014, 6.4) for the grant, so that nobody keeps books of who holds a lease. It is not
// safe for concurrent use.
type LeaseHolder struct {
	name                  string
	nowMillis             float64
	mode                  LeaseMode
	step                  uint64
	version               Version
	memberIndex           int
	allowances            []Allowance // by plan, what it may let through while it is leased
	allowanceGrew         bool        // some of it has grown since it last adopted terms
	pending               *Rules      // what waits, as far as it is known here
	pendingIndex          int         // this one's place by it
	pendingUnsupported    bool        // and is not known whole, so that no part of it is either
	leaseExpiryMillis     float64
	adoptDue              bool    // what is adopted is not what holds now
	effectiveExpiryMillis float64 // what was adopted last may be acted on
	effective             EffectiveRules
	lastRequestMillis     float64 // when it last asked
	ackedStep             uint64  // surely gone by; see Holds
	nextAckStep           uint64  // and this too
	nextAckSinceMillis    float64 // a step after this moment
	scheduledWakeMillis   float64 // the time that it has asked to be woken at
	counters              LeaseCounters
}

// NewHolder makes one for the gatekeeper of a name, that goes by what it was born with, bare, until it hears.
// Of those rules a plan has to have a ceiling where the council's rules give it one.
func NewLeaseHolder(name string, initial Rules) *LeaseHolder {
	holder := &LeaseHolder{name: name, version: Version{Rules: initial}, leaseExpiryMillis: math.Inf(-1),
		effectiveExpiryMillis: math.Inf(-1), adoptDue: true,
		lastRequestMillis: math.Inf(-1), scheduledWakeMillis: math.Inf(-1)}
	holder.memberIndex = MemberIndex(&initial, name)
	holder.allowances = make([]Allowance, len(initial.Plans))
	return holder
}

// Clock sets the time of what follows, ms. The clock has to go on while the process stands still.
func (h *LeaseHolder) SetTime(nowMillis float64) {
	h.nowMillis = math.Max(h.nowMillis, nowMillis)
	if h.nextAckStep > h.ackedStep && !h.adoptDue && h.nowMillis >= h.nextAckSinceMillis+conflictBoundMillis(0) {
		// the daemon is told at once, as a change may wait for it
		h.ackedStep, h.lastRequestMillis = h.nextAckStep, math.Inf(-1)
	}
	h.expire()
}

// lapse ends what has run out.
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

func (h *LeaseHolder) requireAdoption() { h.adoptDue, h.effectiveExpiryMillis = true, math.Inf(-1) }

// part is what it may let through of a plan as it stands now.
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

// Heard takes a daemon's word that came on a question that was sent at a time by this one's clock, ms: read
// before it was sent. Clock has to be told of a later one first, and Next pulled before anything is decided.
func (h *LeaseHolder) ReceiveLease(lease Lease, requestedAtMillis float64) {
	rules := &lease.Version.Rules
	switch {
	case !(lease.AgeMillis >= 0) || !(requestedAtMillis <= h.nowMillis):
		h.counters.Invalid++
		return
	case lease.Step < h.step || lease.Version.Number < h.version.Number:
		h.counters.Stale++
		return
	case lease.UnsupportedFeature != "": // what it has is not in force any more, and what is can't be gone by
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

// take goes over to another version: down at once, and up only when it has settled.
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
	h.version, h.memberIndex, h.allowances, h.leaseExpiryMillis = lease.Version, memberIndex, allowances,
		math.Inf(-1)
	h.requireAdoption()
}

// raise gives it all of its share: nobody acts on another version any more.
func (h *LeaseHolder) growAllowances() {
	for i := range h.allowances {
		if allowance := LeasedAllowance(&h.version.Rules, i, h.memberIndex); h.allowances[i] != allowance {
			h.allowances[i], h.allowanceGrew = allowance, true
			h.requireAdoption()
		}
	}
}

// Asked notes that the daemon has been asked at a time.
func (h *LeaseHolder) RecordRequest(atMillis float64) {
	h.lastRequestMillis = math.Max(h.lastRequestMillis, atMillis)
}

// Next gives what follows; call it until there is nothing more.
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
			h.nextAckSinceMillis = h.nowMillis // from here on, and not from when it was heard
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

// draw makes the terms as they stand.
func (h *LeaseHolder) buildEffective() EffectiveRules {
	rules := &h.version.Rules
	effective := EffectiveRules{Version: h.version.Number, Step: h.step, Mode: h.mode,
		MemberIndex: h.memberIndex, MemberCount: len(rules.Members),
		WorkerOverrides: rules.WorkerOverrides, ExpiresAtMillis: h.effectiveExpiryMillis,
		LendingAllowed: h.mode == ModeLeased,
		AllowanceGrew:  h.allowanceGrew}
	for i, plan := range rules.Plans {
		effectivePlan, evenShare := EffectivePlan{Plan: plan, Allowance: h.allowance(i), CeilingFraction: 1},
			LeasedAllowance(rules, i, 0)
		if plan.CeilingRate > 0 {
			effectivePlan.CeilingFraction = math.Min(effectivePlan.Allowance.Rate/evenShare.Rate,
				effectivePlan.Allowance.Depth/evenShare.Depth)
		}
		if evenShare.Credit > 0 {
			effectivePlan.CreditFraction = effectivePlan.Allowance.Credit / evenShare.Credit
		}
		effective.Plans = append(effective.Plans, effectivePlan)
	}
	return effective
}

// Current gives the terms last adopted.
func (h *LeaseHolder) Effective() EffectiveRules { return h.effective }

// May tells whether the terms last adopted may be acted on at a time, ms. To be asked at each decision and
// once more before the write. There the terms have to be those of the decision still, or it is made anew.
// Where it is false, Clock and Next say by what to go.
func (h *LeaseHolder) MayAct(nowMillis float64) bool { return nowMillis < h.effectiveExpiryMillis }

// Holds gives the step that all this one does from now on rests on, with what it had decided before and might
// not have written yet: the daemon is told it with each question.
func (h *LeaseHolder) AckedStep() uint64 { return h.ackedStep }

// Counts gives what it has met.
func (h *LeaseHolder) Counters() LeaseCounters { return h.counters }

// Until gives the time up to which the terms last adopted may be acted on, ms; it moves on with each word
// that they are still in force. See May.
func (h *LeaseHolder) ExpiresAtMillis() float64 { return h.effectiveExpiryMillis }
