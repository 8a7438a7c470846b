package raftlog

import (
	"maps"
	"slices"
	"time"

	"willowdeck/internal/ruleset"
)

const (
	// hostStepsInterval is the least time between two entries with the steps of hosts below: a change reaches
	// a zone's hosts within some hundred milliseconds, and most daemons write each entry.
	hostStepsInterval = 100 * time.Millisecond
	// maxReportingHosts bounds the hosts whose steps are kept here; a ruleset's members name no more.
	maxReportingHosts = 16384
)

// ConfirmedState is what a quorum has confirmed last, for the hosts that follow this daemon through relays.
type ConfirmedState struct {
	Step            uint64
	ReadStartMillis float64 // of BootClockMillis: when the read began that confirmed it
	Settled         bool
	InForce         ruleset.Version  // must not be changed
	Pending         *ruleset.Version // accepted and not in force yet; nil: none
}

// followerReports is what the hosts that follow this daemon have reported. RulesetNode.mu guards it.
type followerReports struct {
	hostSteps      map[string]uint64 // by host: a step that all of its processes have applied
	discoveryIndex int64             // the highest of the discovery list among them
	lastProposed   time.Time         // of an entry with steps
}

// recordConfirmed keeps the state as of a confirmed read; the caller holds n.mu. A daemon whose log is behind
// what it has confirmed before, as its store was abandoned, keeps the earlier state.
func (n *RulesetNode) recordConfirmed(startMillis float64) {
	state := n.activation.State()
	if startMillis <= n.confirmed.ReadStartMillis || state.Step < n.confirmed.Step || state.InForce.Number == 0 {
		return
	}
	n.confirmed = ConfirmedState{Step: state.Step, ReadStartMillis: startMillis,
		Settled: state.TransitionComplete(),
		InForce: state.InForce}
	if state.Pending != nil {
		version := state.Pending.Version
		n.confirmed.Pending = &version
	}
	signal(n.confirmations)
}

// LastConfirmed returns what a quorum has confirmed last; false if nothing is confirmed yet.
func (n *RulesetNode) LastConfirmed() (ConfirmedState, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.confirmed, n.confirmed.InForce.Number > 0
}

// RequestFrequentReads has a quorum read more often than the gateways of this host need, for the hosts that
// follow.
func (n *RulesetNode) RequestFrequentReads() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.grantor.SetFrequentReads(true)
}

// Confirmations is ready when another read was confirmed since it was last received from.
func (n *RulesetNode) Confirmations() <-chan struct{} { return n.confirmations }

// RecordHostSteps records, for hosts below, a step that all processes of the host have applied, and the
// highest index of the discovery list there. What is new to the group goes into the log. Reports may be
// repeated, late or out of order.
func (n *RulesetNode) RecordHostSteps(steps []ruleset.HostAck, discoveryIndex int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hostSteps := n.followers.hostSteps
	for _, report := range steps {
		if _, known := hostSteps[report.Host]; known || len(hostSteps) < maxReportingHosts {
			hostSteps[report.Host] = max(hostSteps[report.Host], report.Step)
		}
	}
	if discoveryIndex > n.followers.discoveryIndex {
		n.followers.discoveryIndex = discoveryIndex
		n.publishDiscoveryIndex()
	}
}

// publishDiscoveryIndex has the peers told the highest index of the discovery list here; the caller holds
// n.mu.
func (n *RulesetNode) publishDiscoveryIndex() {
	highest := n.followers.discoveryIndex
	for _, client := range n.clients {
		highest = max(highest, client.discoveryIndex)
	}
	n.discoveryIndex.Store(highest)
}

// hostStepsEntry returns the entry with the steps of hosts below, if the group gains by any; nil otherwise.
// It may be lost: it is proposed again until it is applied. The caller holds n.mu.
func (n *RulesetNode) hostStepsEntry(now time.Time) []byte {
	if len(n.followers.hostSteps) == 0 || now.Sub(n.followers.lastProposed) < hostStepsInterval {
		return nil
	}
	n.followers.lastProposed = now
	state := n.activation.State()
	if state.Pending == nil && len(state.Superseded) == 0 {
		return nil
	}
	steps := make([]ruleset.HostAck, 0, len(n.followers.hostSteps))
	for _, host := range slices.Sorted(maps.Keys(n.followers.hostSteps)) {
		steps = append(steps, ruleset.HostAck{Host: host, Step: min(n.followers.hostSteps[host], state.Step)})
	}
	if steps = state.UsefulAcks(steps); len(steps) == 0 {
		return nil
	}
	steps = steps[:min(len(steps), ruleset.MaxAcksPerEntry)]
	raw, err := ruleset.LogEntry{Type: ruleset.EntryAckBatch, Acks: steps}.Encode()
	if err != nil {
		return nil
	}
	return raw
}
