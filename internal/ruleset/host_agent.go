package ruleset

import "math"

// expiration is a deadline after which leases and fallbacks that rest on a fencing step have expired.
type expiration struct {
	step             uint64
	startMillis      float64 // when the step was first observed here, which is no earlier than it happened
	activeMillis     float64 // from startMillis until all leases have expired; 0 if they have
	fallbackMillis   float64 // from startMillis until all fallbacks have expired
	pending          bool    // of the pending version, not of a superseded one
	lastSubmitMillis float64 // when an EntryExpire was last submitted
}

// HostAgent is a daemon's part in the agreement beside the log. To the gatekeepers of its host it grants
// leases; to the log it submits what they have acknowledged and, on the leader, which leases have expired.
// All of its state may be lost and begun anew.
type HostAgent struct {
	LeaseGrantor
	host          string
	machine       *StateMachine // the log is applied to it by the owner
	nowMillis     float64       // set by SetTime; never goes back
	leader        bool
	frequentReads bool // relays depend on its reads
	expirations   []expiration

	lease           Lease   // of the last confirmed read; AgeMillis is set when it is granted
	leaseReadMillis float64 // when that read began
	lastReadMillis  float64 // when a read was last asked for
	lastReadStep    uint64  // the latest step for which a read was asked for at once

	lastAckMillis       float64 // when the host's acknowledgement was last submitted
	lastAckStep         uint64
	scheduledWakeMillis float64 // of the last ActionWake
}

// NewHostAgent makes one for a host with that daemon's own replica of the state machine.
func NewHostAgent(host string, machine *StateMachine) *HostAgent {
	never := math.Inf(-1)
	return &HostAgent{host: host, machine: machine, leaseReadMillis: never, lastReadMillis: never,
		lastAckMillis: never, scheduledWakeMillis: never}
}

// SetTime sets the time of what follows.
func (a *HostAgent) SetTime(nowMillis float64) { a.nowMillis = math.Max(a.nowMillis, nowMillis) }

// SetLeader tells whether this daemon leads the raft group.
func (a *HostAgent) SetLeader(leader bool) { a.leader = leader }

// SetFrequentReads doubles the rate of reads, where relays depend on them: each hop takes some of the lease.
func (a *HostAgent) SetFrequentReads(frequent bool) { a.frequentReads = frequent }

// EntriesApplied tells that entries or a snapshot were applied to the state machine. What ended by them
// ended no later than now, so that any daemon may count its time from here, whoever led when.
func (a *HostAgent) EntriesApplied() {
	state := a.machine.State()
	var expirations []expiration
	add := func(next expiration) {
		for _, known := range a.expirations {
			if known.step == next.step {
				next.startMillis, next.lastSubmitMillis = known.startMillis, known.lastSubmitMillis
			}
		}
		expirations = append(expirations, next)
	}
	for _, superseded := range state.Superseded {
		next := expiration{step: superseded.Step, startMillis: a.nowMillis, activeMillis: superseded.ActiveMillis,
			fallbackMillis: superseded.FallbackMillis, lastSubmitMillis: math.Inf(-1)}
		if !superseded.MayBeActive {
			next.activeMillis = 0
		}
		add(next)
	}
	if pending := state.Pending; pending != nil {
		add(expiration{step: pending.Step, startMillis: a.nowMillis, fallbackMillis: pending.FallbackMillis,
			pending: true, lastSubmitMillis: math.Inf(-1)})
	}
	a.expirations = expirations
	if state.Step > a.lastReadStep { // the host's gatekeepers need a new lease
		a.lastReadMillis, a.lastReadStep = math.Inf(-1), state.Step
	}
}

// ReadConfirmed tells that a quorum has confirmed a read that began at a time, and that the state machine
// has applied all that it has to see. What it says now may be granted to the host's gatekeepers.
func (a *HostAgent) ReadConfirmed(startedAtMillis float64) {
	state := a.machine.State()
	if startedAtMillis <= a.leaseReadMillis || state.Step < a.lease.Step || state.InForce.Number == 0 {
		return
	}
	a.leaseReadMillis = startedAtMillis
	a.lease = Lease{Step: state.Step, Version: state.InForce, TransitionComplete: state.TransitionComplete()}
	if state.Pending != nil {
		a.lease.Pending = &state.Pending.Version.Rules
	}
}

// GrantLease answers a process's request, which carries the step that it acknowledges; false where no read
// is recent enough. SetTime has to be called after the request came. An answer that is delayed after that
// does no harm, as the requester counts from when it asked.
func (a *HostAgent) GrantLease(id int, ackedStep uint64) (Lease, bool) {
	if !a.RecordRequest(id, ackedStep) {
		return Lease{}, false
	}
	lease := a.lease
	lease.AgeMillis = a.nowMillis - a.leaseReadMillis
	if lease.Version.Number == 0 || !(lease.AgeMillis < lease.Version.Rules.LeaseMillis) {
		return Lease{}, false
	}
	a.RecordGrant(id)
	return lease, true
}

// ackUseful tells whether the state machine waits for this host's acknowledgement of a step.
func (a *HostAgent) ackUseful(step uint64) bool {
	return len(a.machine.State().UsefulAcks([]HostAck{{Host: a.host, Step: step}})) > 0
}

// NextAction gives what follows; it is called until there is nothing more. Entries go to the log through the
// leader, and may be lost.
func (a *HostAgent) NextAction() (Action, bool) {
	state := a.machine.State()
	readIntervalMillis := renewalIntervalMillis(state.InForce.Rules.LeaseMillis)
	if a.frequentReads {
		readIntervalMillis /= 2
	}
	if a.nowMillis >= a.lastReadMillis+readIntervalMillis {
		a.lastReadMillis = a.nowMillis
		return Action{Kind: ActionReadState}, true
	}
	wakeAtMillis := a.lastReadMillis + readIntervalMillis
	if ackedStep := a.AckedStep(a.lease.Step); a.ackUseful(ackedStep) {
		if ackedStep > a.lastAckStep || a.nowMillis >= a.lastAckMillis+resubmitIntervalMillis {
			a.lastAckMillis, a.lastAckStep = a.nowMillis, ackedStep
			return Action{Kind: ActionSubmit, Entry: LogEntry{Type: EntryAck, Host: a.host, Step: ackedStep}}, true
		}
		wakeAtMillis = math.Min(wakeAtMillis, a.lastAckMillis+resubmitIntervalMillis)
	}
	for i := range a.expirations {
		if !a.leader {
			break
		}
		due := &a.expirations[i]
		dueAtMillis, fallbacks := due.startMillis+due.fallbackMillis, true
		if due.activeMillis > 0 {
			dueAtMillis, fallbacks = due.startMillis+due.activeMillis, false
		}
		dueAtMillis = math.Max(dueAtMillis, due.lastSubmitMillis+resubmitIntervalMillis)
		if a.nowMillis >= dueAtMillis {
			due.lastSubmitMillis = a.nowMillis
			entry := LogEntry{Type: EntryExpire, Step: due.step, Fallbacks: fallbacks}
			return Action{Kind: ActionSubmit, Entry: entry}, true
		}
		wakeAtMillis = math.Min(wakeAtMillis, dueAtMillis)
	}
	if wakeAtMillis == a.scheduledWakeMillis {
		return Action{}, false
	}
	a.scheduledWakeMillis = wakeAtMillis
	return Action{Kind: ActionWake, WakeAtMillis: wakeAtMillis}, true
}
