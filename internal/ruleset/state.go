package ruleset

import (
	"fmt"
	"slices"
)

// SupersededVersion is a version that is no longer in force, but on whose lease or fallback an instance may
// still act.
type SupersededVersion struct {
	Number         uint64       `json:"Number"`
	Step           uint64       `json:"Step"`   // the fencing step at which it was superseded
	Fallback       AllowanceSet `json:"Stance"` // the allowances of its fallback
	Hosts          []string     `json:"Hosts"`  // the hosts whose instances may still have it
	MayBeActive    bool         `json:"Acting"` // leases on it may not have expired yet
	ActiveMillis   float64      `json:"Bound"`  // from Step until all leases on it have expired
	FallbackMillis float64      `json:"Lasts"`  // from Step until its fallback has expired everywhere
}

// PendingVersion is an accepted version that is not in force yet.
type PendingVersion struct {
	Version    Version `json:"Version"`
	ProposalID string  `json:"ID"`
	Step       uint64  `json:"Step"` // the fencing step of its acceptance
	// ConflictingPlan is the plan in which a fallback that may be in use conflicts with the version; empty if
	// there is none.
	ConflictingPlan string `json:"Contradicts"`
	// OvershootPlan is the plan for which too much may be admitted while some instances act on this version and
	// some on the version in force; empty if there is none.
	OvershootPlan  string   `json:"Mixes"`
	Hosts          []string `json:"Hosts"` // the hosts whose instances may use such a fallback
	FallbackMillis float64  `json:"Lasts"` // from the acceptance until all these fallbacks have expired
}

// ProposalOutcome is the outcome of a proposal or a withdrawal, kept to answer duplicates.
type ProposalOutcome struct {
	ProposalID string  `json:"ID"`
	Outcome    Outcome `json:"Outcome"`
}

// State is the replicated state of a StateMachine. A snapshot is its JSON encoding.
type State struct {
	Step           uint64              `json:"Step"` // the current fencing step
	InForce        Version             `json:"InForce"`
	Pending        *PendingVersion     `json:"Pending,omitempty"`
	Superseded     []SupersededVersion `json:"Held,omitempty"`     // oldest first
	AckedSteps     map[string]uint64   `json:"Seen,omitempty"`     // by host: the latest acknowledged step
	RecentOutcomes []ProposalOutcome   `json:"Answered,omitempty"` // of proposals and withdrawals, oldest first
}

// TransitionComplete reports whether no instance can have a lease on a superseded version any more.
func (s *State) TransitionComplete() bool {
	return !slices.ContainsFunc(s.Superseded,
		func(superseded SupersededVersion) bool { return superseded.MayBeActive })
}

// PendingReason describes what the pending version waits for; empty if there is no pending version. The text
// is part of Outcome and must not change.
func (s *State) PendingReason() string {
	pending := s.Pending
	switch {
	case pending == nil:
		return ""
	case pending.ConflictingPlan != "":
		return fmt.Sprintf("fallbacks that may be held pass more of plan %s than it allows, until %s",
			pending.ConflictingPlan, s.awaitedHosts(pending.Hosts, pending.Step))
	default:
		for _, superseded := range s.Superseded {
			if superseded.MayBeActive {
				return fmt.Sprintf("who goes by version %d still would pass too much of plan %s, until %s",
					superseded.Number, pending.OvershootPlan, s.awaitedHosts(superseded.Hosts, superseded.Step))
			}
		}
	}
	return "it is about to come in force"
}

// awaitedHosts describes the hosts that have not acknowledged a step, for a PendingReason or a Rejection.
func (s *State) awaitedHosts(hosts []string, step uint64) string {
	var missing []string
	for _, host := range hosts {
		if s.AckedSteps[host] < step {
			missing = append(missing, host)
		}
	}
	if more := len(missing) - maxNamedHosts; more > 0 {
		return fmt.Sprintf("%v and %d more hosts have seen it, or its time is up", missing[:maxNamedHosts], more)
	}
	return fmt.Sprintf("%v have seen it, or its time is up", missing)
}

// ackedByAll reports whether all given hosts have acknowledged a step.
func (s *State) ackedByAll(hosts []string, step uint64) bool {
	return !slices.ContainsFunc(hosts, func(h string) bool { return s.AckedSteps[h] < step })
}

// UsefulAcks returns those acknowledgements that a superseded or pending version waits for.
func (s *State) UsefulAcks(acks []HostAck) []HostAck {
	type awaited struct {
		step  uint64
		hosts []string
	}
	var waits []awaited
	for _, superseded := range s.Superseded {
		waits = append(waits, awaited{superseded.Step, superseded.Hosts})
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
		if useful[i] && ack.Step <= s.Step { // the state machine rejects steps later than its own
			result = append(result, ack)
		}
	}
	return result
}
