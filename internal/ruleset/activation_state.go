package ruleset

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Act is what an Entry asks of the council.
type EntryType uint8

// The acts.
const (
	EntryPropose EntryType = iota + 1 // ID, Base, Rules: these are to follow version Base
	// ID, Base: what is pending on top of version Base is not to come in force
	EntryWithdraw
	// Host, Step: each process of a host goes by what was said at Step, or later
	EntryAck
	EntryExpire   // Step, Fallbacks: time has run out for what ended at Step
	EntryAckBatch // Hosts: as Seen, of many hosts at once
)

// HostStep says that all processes of a host's gatekeepers go by what was said at a step, or later. Only the
// host's own daemon can say so first; once true it stays true, so that it may come late, twice and by any
// way.
type HostAck struct {
	_    struct{} `cbor:",toarray"`
	Host string   `json:"Host"`
	Step uint64   `json:"Step"`
}

// Entry is one entry of the council's log.
type LogEntry struct {
	Type      EntryType `json:"Act"`
	ID        string    `json:"ID,omitempty"` // of a proposal; the same one twice is one
	Base      uint64    `json:"Base,omitempty"`
	Rules     *Rules    `json:"Rules,omitempty"`
	Host      string    `json:"Host,omitempty"`
	Step      uint64    `json:"Step,omitempty"`
	Fallbacks bool      `json:"Fallbacks,omitempty"` // Passed: not only what was acted on, but the fallbacks too
	Acks      []HostAck `json:"Hosts,omitempty"`     // SeenAll, up to MostSeen
}

// Outcome is what the council has made of an entry.
type Outcome struct {
	Rejection     string `json:"Refused,omitempty"` // the reason, which names the key; empty: it was taken
	Version       uint64 `json:"Number,omitempty"`  // that a proposal's version has, or will have
	PendingReason string `json:"Waits,omitempty"`   // why that is not in force yet; empty: it is
	// the version that this entry has put in force, its own or a pending one
	Activated uint64 `json:"InForce,omitempty"`
	Duplicate bool   `json:"Again,omitempty"` // the entry came before, and this is what it has come to
}

// Held is a version that is not in force any more, as it may still be gone by.
type SupersededVersion struct {
	Number         uint64       `json:"Number"`
	Step           uint64       `json:"Step"`   // at which it ended
	Fallback       AllowanceSet `json:"Stance"` // its fallback
	Hosts          []string     `json:"Hosts"`  // whose gatekeepers may have it
	MayBeActive    bool         `json:"Acting"` // some may still act on the version itself
	ActiveMillis   float64      `json:"Bound"`  // ms from its end until none does
	FallbackMillis float64      `json:"Lasts"`  // ms from its end until none has its fallback
}

// Coming is a version that is agreed and waits.
type PendingVersion struct {
	Version    Version `json:"Version"`
	ProposalID string  `json:"ID"`
	Step       uint64  `json:"Step"` // at which it was agreed
	// the plan by which fallbacks contradict it that may be held; empty: none does
	ConflictingPlan string `json:"Contradicts"`
	// the plan of which too much passes beside the version in force; empty: none
	OvershootPlan  string   `json:"Mixes"`
	Hosts          []string `json:"Hosts"` // whose gatekeepers may have one of them
	FallbackMillis float64  `json:"Lasts"` // ms from its agreement until none has
}

// Answer is what a proposal came to.
type ProposalOutcome struct {
	ProposalID string  `json:"ID"`
	Outcome    Outcome `json:"Outcome"`
}

// State is all that a council knows.
type State struct {
	Step           uint64              `json:"Step"` // grows by one with each change of what instances are told
	InForce        Version             `json:"InForce"`
	Pending        *PendingVersion     `json:"Pending,omitempty"`
	Superseded     []SupersededVersion `json:"Held,omitempty"`
	AckedSteps     map[string]uint64   `json:"Seen,omitempty"`     // by host
	RecentOutcomes []ProposalOutcome   `json:"Answered,omitempty"` // the latest proposals, in their order
}

// Council decides which version is in force. Fed with the same entries, in the order of the log, it is the
// same at each daemon. It knows no time: that comes to it as entries that say what has run out. It is not
// safe for concurrent use.
type StateMachine struct{ state State }

// NewCouncil makes one with no version in force; the first is to follow version 0.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: State{AckedSteps: map[string]uint64{}}}
}

// State gives what the council knows. It is to be read only, until the next entry.
func (m *StateMachine) State() *State { return &m.state }

// Snapshot gives the state as JSON; the same state gives the same bytes.
func (m *StateMachine) Snapshot() ([]byte, error) { return json.Marshal(m.state) }

// Restore takes a snapshot in place of what was known.
func (m *StateMachine) Restore(raw []byte) error {
	s := State{AckedSteps: map[string]uint64{}}
	if err := decodeStrict(raw, &s); err != nil {
		return fmt.Errorf("snapshot of the council: %w", err)
	}
	m.state = s
	return nil
}

// Settled tells whether nobody can act any more on a version before the one in force.
func (s *State) TransitionComplete() bool {
	return !slices.ContainsFunc(s.Superseded, func(h SupersededVersion) bool { return h.MayBeActive })
}

// Apply takes the next entry of the log.
func (m *StateMachine) Apply(entry LogEntry) Outcome {
	before := m.state.InForce.Number
	var outcome Outcome
	switch entry.Type {
	case EntryPropose, EntryWithdraw:
		for _, recent := range m.state.RecentOutcomes {
			if recent.ProposalID == entry.ID {
				if recent.Outcome.Duplicate = true; recent.Outcome.PendingReason != "" {
					recent.Outcome.PendingReason = m.state.PendingReason()
				}
				return recent.Outcome
			}
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
		if _, known := m.state.AckedSteps[entry.Host]; !known || entry.Step > m.state.Step {
			return Outcome{Rejection: fmt.Sprintf("host: %q is not one, or has not seen step %d", entry.Host,
				entry.Step)}
		}
		m.state.AckedSteps[entry.Host] = max(m.state.AckedSteps[entry.Host], entry.Step)
		m.reevaluate(0)
	case EntryAckBatch:
		if len(entry.Acks) > MaxAcksPerEntry {
			return Outcome{Rejection: fmt.Sprintf("hosts: %d are more than %d", len(entry.Acks), MaxAcksPerEntry)}
		}
		accepted := false // one that is no host any more does not keep the others out
		for _, ack := range entry.Acks {
			if known, exists := m.state.AckedSteps[ack.Host]; exists && ack.Step <= m.state.Step {
				m.state.AckedSteps[ack.Host], accepted = max(known, ack.Step), true
			}
		}
		if !accepted {
			return Outcome{Rejection: fmt.Sprintf("hosts: of %d none is one and has seen what was said",
				len(entry.Acks))}
		}
		m.reevaluate(0)
	case EntryExpire:
		for i := range m.state.Superseded {
			if m.state.Superseded[i].Step == entry.Step {
				m.state.Superseded[i].MayBeActive = false
			}
		}
		if entry.Fallbacks {
			m.state.Superseded = slices.DeleteFunc(m.state.Superseded,
				func(ack SupersededVersion) bool { return ack.Step == entry.Step })
			m.reevaluate(entry.Step)
		} else {
			m.reevaluate(0)
		}
	default:
		return Outcome{Rejection: fmt.Sprintf("act: %d is not known here", entry.Type)}
	}
	if number := m.state.InForce.Number; number > before {
		outcome.Activated = number
	}
	if entry.ID != "" {
		if len(m.state.RecentOutcomes) == maxRecentOutcomes {
			m.state.RecentOutcomes = slices.Delete(m.state.RecentOutcomes, 0, 1)
		}
		m.state.RecentOutcomes = append(m.state.RecentOutcomes, ProposalOutcome{entry.ID, outcome})
	}
	return outcome
}

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

// Waits says what the pending version waits for; empty where there is none.
func (s *State) PendingReason() string {
	pending := s.Pending
	switch {
	case pending == nil:
		return ""
	case pending.ConflictingPlan != "":
		return fmt.Sprintf("fallbacks that may be held pass more of plan %s than it allows, until %s",
			pending.ConflictingPlan, s.awaitedHosts(pending.Hosts, pending.Step))
	default:
		for _, h := range s.Superseded {
			if h.MayBeActive {
				return fmt.Sprintf("who goes by version %d still would pass too much of plan %s, until %s", h.Number,
					pending.OvershootPlan, s.awaitedHosts(h.Hosts, h.Step))
			}
		}
	}
	return "it is about to come in force"
}

// unseen names the hosts that have not said to go by what was said at a step.
func (s *State) awaitedHosts(hosts []string, step uint64) string {
	var missing []string
	for _, host := range hosts {
		if s.AckedSteps[host] < step {
			missing = append(missing, host)
		}
	}
	if more := len(missing) - 3; more > 0 {
		return fmt.Sprintf("%v and %d more hosts have seen it, or its time is up", missing[:3], more)
	}
	return fmt.Sprintf("%v have seen it, or its time is up", missing)
}

// all tells whether all hosts have seen what was said at a step.
func (s *State) ackedByAll(hosts []string, step uint64) bool {
	return !slices.ContainsFunc(hosts, func(h string) bool { return s.AckedSteps[h] < step })
}

// review drops what can't be held any more and puts the pending version in force if nothing is in its way.
// passed is the step as of which time has run out for all fallbacks.
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

// enforce puts the pending version in force. seen: whatever is held is of the version in force and is
// narrowed to what the pending one allows.
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

// answer sets what a proposal that waited has come to.
func (m *StateMachine) setOutcome(id string, o Outcome) {
	for i := range m.state.RecentOutcomes {
		if m.state.RecentOutcomes[i].ProposalID == id {
			m.state.RecentOutcomes[i].Outcome = o
		}
	}
}

// note keeps in sight the hosts that matter, and no others.
func (m *StateMachine) pruneAckedSteps() {
	s := &m.state
	kept := map[string]uint64{}
	keepHosts := func(hosts []string) {
		for _, host := range hosts {
			kept[host] = s.AckedSteps[host]
		}
	}
	keepHosts(memberHosts(s.InForce.Rules.Members))
	for _, host := range s.Superseded {
		keepHosts(host.Hosts)
	}
	if s.Pending != nil {
		keepHosts(s.Pending.Hosts)
	}
	s.AckedSteps = kept
}
