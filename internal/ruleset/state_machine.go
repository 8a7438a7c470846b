package ruleset

import (
	"encoding/json"
	"fmt"
	"slices"
)

// StateMachine decides which version is in force. Every replica that applies the same entries in the order of
// the log has the same state. It has no clock: expirations are entries of the log.
type StateMachine struct{ state State }

// NewStateMachine returns a StateMachine with no version in force; the first proposal has Base 0.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: State{AckedSteps: map[string]uint64{}}}
}

// State returns the state. The caller must not change it, and may use it until the next entry is applied.
func (m *StateMachine) State() *State { return &m.state }

// Snapshot encodes the state as JSON; equal states have equal encodings.
func (m *StateMachine) Snapshot() ([]byte, error) { return json.Marshal(m.state) }

// Restore replaces the state with that of a snapshot.
func (m *StateMachine) Restore(raw []byte) error {
	s := State{AckedSteps: map[string]uint64{}}
	if err := decodeStrict(raw, &s); err != nil {
		return fmt.Errorf("snapshot of the state machine: %w", err)
	}
	m.state = s
	return nil
}

// Apply applies the next entry of the log. It is deterministic: the same entries in the same order give the
// same state and the same outcomes on each replica.
func (m *StateMachine) Apply(entry LogEntry) Outcome {
	former := m.state.InForce.Number
	var outcome Outcome
	switch entry.Type {
	case EntryPropose, EntryWithdraw:
		if recent, known := m.recentOutcome(entry.ID); known {
			return recent
		}
		if entry.ID == "" || len(entry.ID) > maxNameBytes {
			return Outcome{Rejection: fmt.Sprintf("id: it has 1 to %d bytes, not %d", maxNameBytes, len(entry.ID))}
		}
		if entry.Type == EntryPropose {
			outcome = m.propose(entry)
		} else {
			outcome = m.withdraw(entry)
		}
	case EntryAck:
		outcome = m.applyAck(entry)
	case EntryAckBatch:
		outcome = m.applyAckBatch(entry)
	case EntryExpire:
		m.applyExpiration(entry)
	default:
		outcome = Outcome{Rejection: fmt.Sprintf("act: %d is not known here", entry.Type)}
	}
	if outcome.Rejection != "" && entry.Type != EntryPropose && entry.Type != EntryWithdraw {
		return outcome // the entry has changed nothing, and its outcome is not kept
	}
	if number := m.state.InForce.Number; number > former {
		outcome.Activated = number
	}
	if entry.ID != "" {
		m.keepOutcome(entry.ID, outcome)
	}
	return outcome
}

// recentOutcome returns the current outcome of an earlier entry with the same ID.
func (m *StateMachine) recentOutcome(id string) (Outcome, bool) {
	for _, recent := range m.state.RecentOutcomes {
		if recent.ProposalID == id {
			if recent.Outcome.Duplicate = true; recent.Outcome.PendingReason != "" {
				recent.Outcome.PendingReason = m.state.PendingReason()
			}
			return recent.Outcome, true
		}
	}
	return Outcome{}, false
}

// keepOutcome keeps an outcome to answer duplicates, and drops the oldest one if there are too many.
func (m *StateMachine) keepOutcome(id string, outcome Outcome) {
	if len(m.state.RecentOutcomes) == maxRecentOutcomes {
		m.state.RecentOutcomes = slices.Delete(m.state.RecentOutcomes, 0, 1)
	}
	m.state.RecentOutcomes = append(m.state.RecentOutcomes, ProposalOutcome{id, outcome})
}

// applyAck records one host's acknowledgement.
func (m *StateMachine) applyAck(entry LogEntry) Outcome {
	if _, known := m.state.AckedSteps[entry.Host]; !known || entry.Step > m.state.Step {
		return Outcome{Rejection: fmt.Sprintf("host: %q is not one, or has not seen step %d", entry.Host,
			entry.Step)}
	}
	m.state.AckedSteps[entry.Host] = max(m.state.AckedSteps[entry.Host], entry.Step)
	m.reevaluate(0)
	return Outcome{}
}

// applyAckBatch records the acknowledgements of many hosts. Those of unknown hosts are ignored; the entry is
// rejected only if none is valid.
func (m *StateMachine) applyAckBatch(entry LogEntry) Outcome {
	if len(entry.Acks) > MaxAcksPerEntry {
		return Outcome{Rejection: fmt.Sprintf("hosts: %d are more than %d", len(entry.Acks), MaxAcksPerEntry)}
	}
	accepted := false
	for _, ack := range entry.Acks {
		if acked, known := m.state.AckedSteps[ack.Host]; known && ack.Step <= m.state.Step {
			m.state.AckedSteps[ack.Host], accepted = max(acked, ack.Step), true
		}
	}
	if !accepted {
		return Outcome{Rejection: fmt.Sprintf("hosts: of %d none is one and has seen what was said",
			len(entry.Acks))}
	}
	m.reevaluate(0)
	return Outcome{}
}

// applyExpiration records that the leases on the version superseded at a step have expired. With
// LogEntry.Fallbacks, the fallbacks as of that step have expired as well.
func (m *StateMachine) applyExpiration(entry LogEntry) {
	for i := range m.state.Superseded {
		if m.state.Superseded[i].Step == entry.Step {
			m.state.Superseded[i].MayBeActive = false
		}
	}
	if !entry.Fallbacks {
		m.reevaluate(0)
		return
	}
	m.state.Superseded = slices.DeleteFunc(m.state.Superseded,
		func(superseded SupersededVersion) bool { return superseded.Step == entry.Step })
	m.reevaluate(entry.Step)
}

// propose accepts rules as the pending version, or rejects them. It may also put them in force at once.
func (m *StateMachine) propose(entry LogEntry) Outcome {
	s := &m.state
	if entry.Base != s.InForce.Number {
		return Outcome{Rejection: fmt.Sprintf("base: version %d is not in force, %d is", entry.Base,
			s.InForce.Number)}
	}
	if pending := s.Pending; pending != nil {
		return Outcome{Rejection: fmt.Sprintf("base: proposal %q is agreed already and waits: %s",
			pending.ProposalID, s.PendingReason())}
	}
	if entry.Rules == nil {
		return Outcome{Rejection: "rules: there are none"}
	}
	err := Validate(entry.Rules)
	if err == nil && s.InForce.Number > 0 {
		err = ValidateSuccessor(entry.Rules, &s.InForce.Rules)
	}
	for i := 0; i < len(s.Superseded) && err == nil; i++ {
		err = validateMemberIndexes(entry.Rules, s.Superseded[i].Fallback)
	}
	if err != nil {
		return Outcome{Rejection: err.Error()}
	}
	if len(s.Superseded) >= maxSuperseded {
		awaited := s.awaitedHosts(s.Superseded[0].Hosts, s.Superseded[0].Step)
		return Outcome{Rejection: fmt.Sprintf("base: %d versions may be fallen back to still, until %s",
			len(s.Superseded), awaited)}
	}
	pending := &PendingVersion{Version: Version{s.InForce.Number + 1, *entry.Rules}, ProposalID: entry.ID,
		Step: s.Step + 1}
	var fallbacks []AllowanceSet
	if s.InForce.Number > 0 {
		fallbacks = append(fallbacks, fallbackAllowances(&s.InForce.Rules))
		pending.Hosts, pending.FallbackMillis = memberHosts(s.InForce.Rules.Members),
			fallbackLifetimeMillis(&s.InForce.Rules)
	}
	for _, superseded := range s.Superseded {
		fallbacks = append(fallbacks, superseded.Fallback)
		pending.FallbackMillis = max(pending.FallbackMillis, superseded.FallbackMillis)
		pending.Hosts = unionHosts(pending.Hosts, superseded.Hosts)
	}
	pending.ConflictingPlan, pending.OvershootPlan = ConflictingPlan(fallbacks, entry.Rules),
		OvershootPlan(&s.InForce.Rules, entry.Rules)
	s.Pending = pending
	s.Step++
	m.reevaluate(0)
	return Outcome{Version: pending.Version.Number, PendingReason: s.PendingReason()}
}

// withdraw drops the pending version.
func (m *StateMachine) withdraw(entry LogEntry) Outcome {
	pending := m.state.Pending
	if pending == nil || entry.Base != m.state.InForce.Number {
		return Outcome{Rejection: fmt.Sprintf("base: nothing waits on top of version %d", entry.Base)}
	}
	m.setOutcome(pending.ProposalID, Outcome{Rejection: "withdrawn"})
	m.state.Pending = nil
	m.state.Step++
	return Outcome{}
}

// reevaluate drops superseded versions that no instance has any more, and activates the pending version if
// nothing prevents that. expiredStep is the step as of which all fallbacks have expired; 0 if there is none.
func (m *StateMachine) reevaluate(expiredStep uint64) {
	s := &m.state
	s.Superseded = slices.DeleteFunc(s.Superseded, func(h SupersededVersion) bool {
		return s.ackedByAll(h.Hosts,
			h.Step)
	})
	if pending := s.Pending; pending != nil {
		acked := s.ackedByAll(pending.Hosts, pending.Step) || expiredStep == pending.Step
		if acked || pending.ConflictingPlan == "" && (pending.OvershootPlan == "" || s.TransitionComplete()) {
			m.activate(acked)
		}
	}
	m.pruneAckedSteps()
}

// activate puts the pending version in force. ackedByAll means that no fallback from before the proposal of
// the pending version is in use: any fallback in use is that of the version in force so far, narrowed to what
// the pending version allows.
func (m *StateMachine) activate(ackedByAll bool) {
	s := &m.state
	pending, former := s.Pending, &s.InForce
	s.Step++
	if former.Number > 0 {
		superseded := SupersededVersion{Number: former.Number, Step: s.Step,
			Fallback: fallbackAllowances(&former.Rules), Hosts: memberHosts(former.Rules.Members),
			MayBeActive: true, ActiveMillis: ConflictBoundMillis(&former.Rules),
			FallbackMillis: fallbackLifetimeMillis(&former.Rules)}
		if ackedByAll {
			superseded.Fallback, s.Superseded = superseded.Fallback.narrowed(&pending.Version.Rules), nil
		}
		s.Superseded = append(s.Superseded, superseded)
	}
	s.InForce, s.Pending = pending.Version, nil
	m.setOutcome(pending.ProposalID, Outcome{Version: pending.Version.Number, Activated: pending.Version.Number})
}

// setOutcome replaces the kept outcome of a proposal that was pending.
func (m *StateMachine) setOutcome(id string, outcome Outcome) {
	for i := range m.state.RecentOutcomes {
		if m.state.RecentOutcomes[i].ProposalID == id {
			m.state.RecentOutcomes[i].Outcome = outcome
		}
	}
}

// pruneAckedSteps drops the acknowledged steps of hosts that neither have members in the version in force nor
// are named by a superseded or the pending version.
func (m *StateMachine) pruneAckedSteps() {
	s := &m.state
	kept := map[string]uint64{}
	keepHosts := func(hosts []string) {
		for _, host := range hosts {
			kept[host] = s.AckedSteps[host]
		}
	}
	keepHosts(memberHosts(s.InForce.Rules.Members))
	for _, superseded := range s.Superseded {
		keepHosts(superseded.Hosts)
	}
	if s.Pending != nil {
		keepHosts(s.Pending.Hosts)
	}
	s.AckedSteps = kept
}
