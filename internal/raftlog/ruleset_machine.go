package raftlog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
)

// rulesetMachine is a RulesetNode as its log's StateMachine.
type rulesetMachine RulesetNode

func (m *rulesetMachine) node() *RulesetNode { return (*RulesetNode)(m) }

// Apply applies an entry to the activation.
func (m *rulesetMachine) Apply(data []byte) error {
	entry, err := ruleset.DecodeLogEntry(data)
	if err != nil {
		return err
	}
	n := m.node()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advanceClock()
	proposalID := entry.ID // the proposal that comes in force by this entry, if any does
	if pending := n.activation.State().Pending; pending != nil {
		proposalID = pending.ProposalID
	}
	outcome := n.activation.Apply(entry)
	n.hostAgent.EntriesApplied()
	if outcome.Activated > 0 && !outcome.Duplicate {
		n.activated(outcome.Activated, proposalID)
	}
	if n.proposal != nil && entry.ID == n.proposal.id {
		n.resolveProposal(outcome)
	}
	return nil
}

// activated takes note of a version that has come in force; the caller holds n.mu.
func (n *RulesetNode) activated(version uint64, proposalID string) {
	inForce := n.activation.State().InForce
	n.inForceDigest = RulesDigest(&inForce.Rules)
	n.recordEvent(history.Event{Kind: history.Decided, Version: version, Base: version - 1, Txn: proposalID,
		Digest: n.inForceDigest})
	n.log.Info().Uint64("version", version).Int("members", len(inForce.Rules.Members)).
		Msg("ruleset version in force")
	signal(n.changed)
}

// Snapshot encodes the activation's state.
func (m *rulesetMachine) Snapshot() ([]byte, error) {
	n := m.node()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.activation.Snapshot()
}

// Restore replaces the activation's state.
func (m *rulesetMachine) Restore(data []byte) error {
	n := m.node()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advanceClock()
	before := n.activation.State().InForce.Number
	if len(data) == 0 {
		data, _ = ruleset.NewStateMachine().Snapshot() // of the initial state: it has no error
	}
	if err := n.activation.Restore(data); err != nil {
		return err
	}
	n.hostAgent.EntriesApplied()
	n.inForceDigest = ""
	state := n.activation.State()
	if state.InForce.Number > 0 {
		n.inForceDigest = RulesDigest(&state.InForce.Rules)
	}
	if state.InForce.Number != before {
		signal(n.changed)
	}
	n.resolveAnswered(state)
	return nil
}

// resolveAnswered resolves this daemon's proposal if a snapshot stands for its answer; the caller holds n.mu.
func (n *RulesetNode) resolveAnswered(state *ruleset.State) {
	if n.proposal == nil {
		return
	}
	for _, answered := range state.RecentOutcomes {
		if answered.ProposalID == n.proposal.id {
			n.resolveProposal(answered.Outcome)
			return
		}
	}
}

// ReadConfirmed renews what leases are granted on: the state applied here was the latest at startMillis.
func (m *rulesetMachine) ReadConfirmed(startMillis float64) {
	n := m.node()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advanceClock()
	n.hostAgent.ReadConfirmed(startMillis)
	version := n.activation.State().InForce.Number
	n.lastReadMillis = startMillis
	n.recordConfirmed(startMillis)
	n.recordEvent(history.Event{Kind: history.ReportedInForce, Version: version, Digest: n.inForceDigest,
		Age: BootClockMillis() - startMillis})
}

// Poll returns what the host agent, this daemon's proposal and the followers' reports request.
func (m *rulesetMachine) Poll(group GroupState) (requests Requests) {
	n := m.node()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advanceClock()
	n.hostAgent.SetLeader(group.IsLeader)
	n.collectAgentActions(&requests)
	if p := n.proposal; p != nil && p.needsRead(n.lastReadMillis, group.Now) {
		requests.ReadIndex = true
	}
	if entry := n.proposalEntry(group); entry != nil {
		requests.Proposals = append(requests.Proposals, entry)
	}
	if entry := n.hostAcksEntry(group.Now); entry != nil {
		requests.Proposals = append(requests.Proposals, entry)
	}
	return requests
}

// collectAgentActions adds what the host agent requests; the caller holds n.mu.
func (n *RulesetNode) collectAgentActions(requests *Requests) {
	for {
		request, ok := n.hostAgent.NextAction()
		if !ok || request.Kind == ruleset.ActionWake { // Poll comes again within a tick
			return
		}
		switch request.Kind {
		case ruleset.ActionReadState:
			requests.ReadIndex = true
		case ruleset.ActionSubmit:
			if raw, err := request.Entry.Encode(); err == nil {
				requests.Proposals = append(requests.Proposals, raw)
			}
		}
	}
}

// RulesDigest returns a digest of rules, 12 hex digits, by which records and operators compare versions:
// daemons of two versions must compute the same.
func RulesDigest(rules *ruleset.Rules) string {
	normalized := *rules // an empty list is encoded like none
	normalized.Needs = nilIfEmpty(normalized.Needs)
	normalized.Plans = nilIfEmpty(normalized.Plans)
	normalized.WorkerOverrides = nilIfEmpty(normalized.WorkerOverrides)
	raw, err := json.Marshal(normalized)
	if err != nil {
		return ""
	}
	digest := sha256.Sum256(raw)
	return hex.EncodeToString(digest[:6])
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
