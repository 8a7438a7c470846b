package ruleset

import (
	"math"
)

// ending is something that time will have run out for.
type expiration struct {
	step                         uint64
	startMillis                  float64 // when it was first seen here; it began no later
	activeMillis, fallbackMillis float64 // ms from then until nobody acts on it, or goes by its fallback
	pending                      bool
	lastSubmitMillis             float64 // when that was last submitted
}

// Steward is what a daemon does for its council and for the gatekeepers of its host, beside the log: it tells
// them what is in force and for how long that may be believed, and the council what they go by and what time
// has run out. All of it may be lost and begun anew. It is not safe for concurrent use.
type HostAgent struct {
	LeaseGrantor
	host                string
	machine             *StateMachine
	nowMillis           float64
	leader              bool
	frequentReads       bool // others go by its reads too
	expirations         []expiration
	lease               Lease   // as last read; Age is set when it is given
	leaseReadMillis     float64 // when that reading began
	lastReadMillis      float64 // when one was last asked for
	lastReadStep        uint64  // the step that was new here then
	lastAckMillis       float64 // when the host's own step was last submitted
	lastAckStep         uint64
	scheduledWakeMillis float64
}

// NewSteward makes one for a host, with that daemon's own council, which the log is applied to beside it.
func NewHostAgent(host string, machine *StateMachine) *HostAgent {
	never := math.Inf(-1)
	return &HostAgent{host: host, machine: machine, leaseReadMillis: never, lastReadMillis: never,
		lastAckMillis: never, scheduledWakeMillis: never}
}

// Clock sets the time of what follows, ms.
func (s *HostAgent) SetTime(nowMillis float64) { s.nowMillis = math.Max(s.nowMillis, nowMillis) }

// Leads tells whether this daemon leads the log.
func (s *HostAgent) SetLeader(leader bool) { s.leader = leader }

// Often has it read twice as often, where relays go by what it reads: each hop takes some of the lease.
func (s *HostAgent) SetFrequentReads(frequent bool) { s.frequentReads = frequent }

// Applied tells that the council has applied entries or taken a snapshot. What ended in them ended no later
// than now, so that its time may be counted from here by any daemon, whoever led when.
func (s *HostAgent) EntriesApplied() {
	state := s.machine.State()
	var expirations []expiration
	add := func(e expiration) {
		for _, known := range s.expirations {
			if known.step == e.step {
				e.startMillis, e.lastSubmitMillis = known.startMillis, known.lastSubmitMillis
			}
		}
		expirations = append(expirations, e)
	}
	for _, superseded := range state.Superseded {
		e := expiration{step: superseded.Step, startMillis: s.nowMillis, activeMillis: superseded.ActiveMillis,
			fallbackMillis: superseded.FallbackMillis, lastSubmitMillis: math.Inf(-1)}
		if !superseded.MayBeActive {
			e.activeMillis = 0
		}
		add(e)
	}
	if pending := state.Pending; pending != nil {
		add(expiration{step: pending.Step, startMillis: s.nowMillis, fallbackMillis: pending.FallbackMillis,
			pending: true, lastSubmitMillis: math.Inf(-1)})
	}
	s.expirations = expirations
	if state.Step > s.lastReadStep { // there is news for the host's gatekeepers
		s.lastReadMillis, s.lastReadStep = math.Inf(-1), state.Step
	}
}

// ReadDone tells that a quorum has confirmed a reading that began at a time, ms, and that the council here
// has applied all that it has to see. What the council says now is what the host's gatekeepers may be told.
func (s *HostAgent) ReadConfirmed(startedAtMillis float64) {
	state := s.machine.State()
	if startedAtMillis <= s.leaseReadMillis || state.Step < s.lease.Step || state.InForce.Number == 0 {
		return
	}
	s.leaseReadMillis = startedAtMillis
	s.lease = Lease{Step: state.Step, Version: state.InForce, TransitionComplete: state.TransitionComplete()}
	if state.Pending != nil {
		s.lease.Pending = &state.Pending.Version.Rules
	}
}

// Asked takes a process's question, with the step that it holds, and gives what to answer; false where there
// is nothing that may still be believed. Clock has to be told a time after the question came. An answer that
// is late after that does no harm, as the one that asked counts from when it did.
func (s *HostAgent) GrantLease(id int, ackedStep uint64) (Lease, bool) {
	if !s.LeaseGrantor.RecordRequest(id, ackedStep) {
		return Lease{}, false
	}
	lease := s.lease
	lease.AgeMillis = s.nowMillis - s.leaseReadMillis
	if lease.Version.Number == 0 || !(lease.AgeMillis < lease.Version.Rules.LeaseMillis) {
		return Lease{}, false
	}
	s.RecordGrant(id)
	return lease, true
}

// wanted tells whether the council gains by knowing that this host has seen a step.
func (s *HostAgent) ackUseful(step uint64) bool {
	return len(s.machine.State().UsefulAcks([]HostAck{{Host: s.host, Step: step}})) > 0
}

// Gains gives those facts by which the council gains: what it keeps waits for such a word of their hosts.
func (s *State) UsefulAcks(acks []HostAck) []HostAck {
	type awaited struct {
		step  uint64
		hosts []string
	}
	var waits []awaited
	for _, h := range s.Superseded {
		waits = append(waits, awaited{h.Step, h.Hosts})
	}
	if pending := s.Pending; pending != nil {
		waits = append(waits, awaited{pending.Step, pending.Hosts})
	}
	if len(waits) == 0 {
		return nil
	}
	newest := map[string]int{}
	for i, ack := range acks {
		if known, exists := s.AckedSteps[ack.Host]; exists && ack.Step > known {
			newest[ack.Host] = i
		}
	}
	if len(newest) == 0 {
		return nil
	}
	useful := make([]bool, len(acks))
	for _, wait := range waits {
		for _, host := range wait.hosts {
			if i, exists := newest[host]; exists && s.AckedSteps[host] < wait.step && wait.step <= acks[i].Step {
				useful[i] = true
			}
		}
	}
	var result []HostAck
	for i, ack := range acks {
		if useful[i] && ack.Step <= s.Step { // of a later one this council has not heard yet
			result = append(result, ack)
		}
	}
	return result
}

// Next gives what follows; call it until there is nothing more. Entries are to go to the log by way of
// whoever leads it, and may be lost.
func (s *HostAgent) NextAction() (Action, bool) {
	state := s.machine.State()
	readInterval := renewalIntervalMillis(state.InForce.Rules.LeaseMillis)
	if s.frequentReads {
		readInterval /= 2
	}
	if s.nowMillis >= s.lastReadMillis+readInterval {
		s.lastReadMillis = s.nowMillis
		return Action{Kind: ActionReadState}, true
	}
	wakeAtMillis := s.lastReadMillis + readInterval
	if ackedStep := s.AckedStep(s.lease.Step); s.ackUseful(ackedStep) {
		if ackedStep > s.lastAckStep || s.nowMillis >= s.lastAckMillis+resubmitIntervalMillis {
			s.lastAckMillis, s.lastAckStep = s.nowMillis, ackedStep
			return Action{Kind: ActionSubmit, Entry: LogEntry{Type: EntryAck, Host: s.host, Step: ackedStep}}, true
		}
		wakeAtMillis = math.Min(wakeAtMillis, s.lastAckMillis+resubmitIntervalMillis)
	}
	for i := range s.expirations {
		e := &s.expirations[i]
		dueMillis, fallbacks := e.startMillis+e.fallbackMillis, true
		if e.activeMillis > 0 {
			dueMillis, fallbacks = e.startMillis+e.activeMillis, false
		}
		if dueMillis = math.Max(dueMillis, e.lastSubmitMillis+resubmitIntervalMillis); s.leader &&
			s.nowMillis >= dueMillis {
			e.lastSubmitMillis = s.nowMillis
			return Action{Kind: ActionSubmit, Entry: LogEntry{Type: EntryExpire, Step: e.step, Fallbacks: fallbacks}},
				true
		}
		if s.leader {
			wakeAtMillis = math.Min(wakeAtMillis, dueMillis)
		}
	}
	if wakeAtMillis == s.scheduledWakeMillis {
		return Action{}, false
	}
	s.scheduledWakeMillis = wakeAtMillis
	return Action{Kind: ActionWake, WakeAtMillis: wakeAtMillis}, true
}
