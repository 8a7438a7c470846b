package ruleset

import "math"

// expiration holds the times after which the leases and the fallbacks as of a fencing step have expired.
type expiration struct {
	step             uint64
	startMillis      float64 // when this agent first saw the step, at or after its commit
	activeMillis     float64 // from startMillis until all leases have expired; 0 if they already have
	fallbackMillis   float64 // from startMillis until all fallbacks have expired
	pending          bool    // the step is that of the pending version, not of a superseded one
	lastSubmitMillis float64 // when an EntryExpire was last submitted
}

// HostAgent is the part of a host's daemon that works with its replica of the state machine. It grants leases
// to the instances of its host, and submits their acknowledgements to the log. On the leader it also submits
// expirations. All of its state may be lost: a new HostAgent may start without it.
type HostAgent struct {
	LeaseGrantor
	host          string
	machine       *StateMachine // the caller applies the log to it
	nowMillis     float64       // set by SetTime; never decreases
	leader        bool
	frequentReads bool // set by SetFrequentReads
	expirations   []expiration

	lease           Lease   // content as of the last confirmed read; AgeMillis is set by GrantLease
	leaseReadMillis float64 // when that read started
	lastReadMillis  float64 // when the last ActionReadState was returned
	lastReadStep    uint64  // the latest step that caused a read without waiting for the interval

	lastAckMillis       float64 // when the host's acknowledgement was last submitted
	lastAckStep         uint64
	scheduledWakeMillis float64 // WakeAtMillis of the last ActionWake
}

// NewHostAgent returns a HostAgent for a host, with the replica of the state machine that its daemon has.
func NewHostAgent(host string, machine *StateMachine) *HostAgent {
	never := math.Inf(-1)
	return &HostAgent{host: host, machine: machine, leaseReadMillis: never, lastReadMillis: never,
		lastAckMillis: never, scheduledWakeMillis: never}
}

// SetTime sets the time for the calls that follow. An earlier time than before is ignored.
func (a *HostAgent) SetTime(nowMillis float64) { a.nowMillis = math.Max(a.nowMillis, nowMillis) }

// SetLeader sets whether this daemon is the leader of the raft group.
func (a *HostAgent) SetLeader(leader bool) { a.leader = leader }

// SetFrequentReads sets whether reads happen twice as often, as a daemon on whose reads relays depend needs
// it: each hop uses up some of the lease.
func (a *HostAgent) SetFrequentReads(frequent bool) { a.frequentReads = frequent }

// EntriesApplied must be called after entries or a snapshot were applied to the state machine. A version that
// they superseded was superseded no later than now. Any daemon may therefore count the expiry from the
// current time, whichever daemon was the leader then.
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
	if state.Step > a.lastReadStep { // the host's instances need a new lease
		a.lastReadMillis, a.lastReadStep = math.Inf(-1), state.Step
	}
}

// ReadConfirmed must be called once a quorum has confirmed a read that started at the given time and the
// state machine has applied all entries that the read has to include. Leases granted from then on have the
// content of the current state.
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

// GrantLease returns a lease for a process's request, which carries the step that the process acknowledges.
// It returns false if no read is recent enough or the host has too many processes. SetTime has to be called
// between the receipt of the request and GrantLease. A delay of the response after that is safe: the
// requester counts the lease from the time at which it sent the request.
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

// ackUseful reports whether the state machine waits for this host's acknowledgement of a step.
func (a *HostAgent) ackUseful(step uint64) bool {
	return len(a.machine.State().UsefulAcks([]HostAck{{Host: a.host, Step: step}})) > 0
}

// NextAction returns the next action. The caller calls it until it returns false. Entries of ActionSubmit go
// to the log through the leader and may be lost; they are submitted again until they have an effect.
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
