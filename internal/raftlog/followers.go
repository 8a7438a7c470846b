package raftlog

import (
	"maps"
	"slices"
	"time"

	"willowdeck/internal/ruleset"
)

const (
	// hostAcksInterval is the least time between two entries with the steps of hosts below: a change reaches
	// a zone's hosts within some hundred milliseconds, and most daemons write each entry.
	hostAcksInterval = 100 * time.Millisecond
	// maxReportingHosts bounds the hosts whose steps are kept here; a ruleset's members name no more.
	maxReportingHosts = 16384
)

// ConfirmedState is what a quorum has confirmed last, for the hosts that follow this daemon through relays.
type ConfirmedState struct {
	Step               uint64
	ReadStartMillis    float64 // of BootClockMillis: when the read began that confirmed it
	TransitionComplete bool
	InForce            ruleset.Version  // must not be changed
	Pending            *ruleset.Version // accepted and not in force yet; nil: none
}

// followerReports is what the hosts that follow this daemon have reported. RulesetNode.mu guards it.
type followerReports struct {
	ackedSteps     map[string]uint64 // by host: a step that all of its processes have applied
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
		TransitionComplete: state.TransitionComplete(),
		InForce:            state.InForce}
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
	n.hostAgent.SetFrequentReads(true)
}

// Confirmations is ready when another read was confirmed since it was last received from.
func (n *RulesetNode) Confirmations() <-chan struct{} { return n.confirmations }

// RecordHostAcks records, for hosts below, a step that all processes of the host have applied, and the
// highest index of the discovery list there. What is new to the group goes into the log. Reports may be
// repeated, late or out of order.
func (n *RulesetNode) RecordHostAcks(acks []ruleset.HostAck, discoveryIndex int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ackedSteps := n.followers.ackedSteps
	for _, ack := range acks {
		if _, known := ackedSteps[ack.Host]; known || len(ackedSteps) < maxReportingHosts {
			ackedSteps[ack.Host] = max(ackedSteps[ack.Host], ack.Step)
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

// hostAcksEntry returns the entry with the steps of hosts below, if the group gains by any; nil otherwise.
// It may be lost: it is proposed again until it is applied. The caller holds n.mu.
func (n *RulesetNode) hostAcksEntry(now time.Time) []byte {
	if len(n.followers.ackedSteps) == 0 || now.Sub(n.followers.lastProposed) < hostAcksInterval {
		return nil
	}
	n.followers.lastProposed = now
	state := n.activation.State()
	if state.Pending == nil && len(state.Superseded) == 0 {
		return nil
	}
	acks := make([]ruleset.HostAck, 0, len(n.followers.ackedSteps))
	for _, host := range slices.Sorted(maps.Keys(n.followers.ackedSteps)) {
		acks = append(acks, ruleset.HostAck{Host: host, Step: min(n.followers.ackedSteps[host], state.Step)})
	}
	if acks = state.UsefulAcks(acks); len(acks) == 0 {
		return nil
	}
	acks = acks[:min(len(acks), ruleset.MaxAcksPerEntry)]
	raw, err := ruleset.LogEntry{Type: ruleset.EntryAckBatch, Acks: acks}.Encode()
	if err != nil {
		return nil
	}
	return raw
}
