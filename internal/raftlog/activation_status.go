package raftlog

import (
	"math"
	"time"

	"willowdeck/internal/ruleset"
)

const (
	lagThresholdMillis = 3000.0 // behind another's discovery list, until an instance or a host is listed
	minLeaseMillis     = 100.0  // the least lease by which an instance is listed as cut off
)

// ActivationStatus is the activation of rulesets as this daemon sees it, for operators.
type ActivationStatus struct {
	Version            uint64                  `json:"version"`        // in force
	Digest             string                  `json:"mark,omitempty"` // RulesDigest of it
	Step               uint64                  `json:"step"`
	TransitionComplete bool                    `json:"settled"`
	ReadAgeMillis      float64                 `json:"read_ms"` // of the last confirmed read; negative: none yet
	PendingVersion     uint64                  `json:"pending,omitempty"`
	PendingReason      string                  `json:"pending_waits,omitempty"`
	SupersededVersions []uint64                `json:"held,omitempty"`   // that instances may still act on
	WantedProposal     string                  `json:"wanted,omitempty"` // this daemon's unanswered one
	ProposalOutcomes   []ProposalOutcome       `json:"proposals,omitempty"`
	CutOffInstances    map[string]float64      `json:"cut_off,omitempty"` // here: ms since their last request
	LaggingMembers     []ruleset.LaggingMember `json:"lags,omitempty"`
	AckedSteps         map[string]uint64       `json:"seen,omitempty"`
}

// ActivationStatus returns the activation of rulesets as this daemon sees it.
func (n *RulesetNode) ActivationStatus() ActivationStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	state := n.activation.State()
	status := ActivationStatus{
		Version:            state.InForce.Number,
		Digest:             n.inForceDigest,
		Step:               state.Step,
		TransitionComplete: state.TransitionComplete(),
		ReadAgeMillis:      -1,
		ProposalOutcomes:   append([]ProposalOutcome(nil), n.outcomes...),
		CutOffInstances:    map[string]float64{},
		AckedSteps:         map[string]uint64{},
	}
	if n.lastReadMillis >= 0 {
		status.ReadAgeMillis = BootClockMillis() - n.lastReadMillis
	}
	for _, held := range state.Superseded {
		status.SupersededVersions = append(status.SupersededVersions, held.Number)
	}
	for host, step := range state.AckedSteps {
		status.AckedSteps[host] = step
	}
	if pending := state.Pending; pending != nil {
		status.PendingVersion, status.PendingReason = pending.Version.Number, state.PendingReason()
	}
	if n.proposal != nil {
		status.WantedProposal = n.proposal.id
	}
	leaseMillis := math.Max(state.InForce.Rules.LeaseMillis, minLeaseMillis)
	for _, client := range n.clients {
		sinceRequest := float64(now.Sub(client.lastRequest)) / float64(time.Millisecond)
		if sinceRequest > leaseMillis || status.ReadAgeMillis < 0 || status.ReadAgeMillis > leaseMillis {
			status.CutOffInstances[client.name] = sinceRequest
		}
	}
	n.recordPeerIndices()
	status.LaggingMembers = n.discoveryLag.Lagging(BootClockMillis(), lagThresholdMillis)
	return status
}

// recordPeerIndices records the discovery indices of the other hosts, each as if an instance had reported
// it; the caller holds n.mu.
func (n *RulesetNode) recordPeerIndices() {
	n.Node.mu.Lock()
	defer n.Node.mu.Unlock()
	for name, peer := range n.peers {
		if peer.DiscoveryIndex > 0 {
			n.discoveryLag.Report("host "+name, peer.DiscoveryIndex, BootClockMillis())
		}
	}
}
