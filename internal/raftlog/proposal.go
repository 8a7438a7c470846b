package raftlog

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
)

// pendingProposal is a proposal of this daemon that is not answered yet.
type pendingProposal struct {
	id              string
	entryType       ruleset.EntryType
	onlyAsFirst     bool // it is dropped if a version is in force already
	rules           *ruleset.Rules
	entry           []byte // encoded, once the base is known
	baseVersion     uint64
	createdMillis   float64 // of BootClockMillis
	lastProposed    time.Time
	lastReadRequest time.Time // of the read that it waits for
}

// ProposalOutcome is what became of a proposal of this daemon, for operators.
type ProposalOutcome struct {
	ID            string `json:"id"`
	BaseVersion   uint64 `json:"base"`              // the version in force that it was to follow
	Version       uint64 `json:"number,omitempty"`  // the number that it was accepted as
	Rejection     string `json:"refused,omitempty"` // why it was rejected
	PendingReason string `json:"waits,omitempty"`   // why it was accepted and is not in force at once
}

// sameRules tells whether two rulesets have the same JSON.
func sameRules(a, b *ruleset.Rules) bool {
	aJSON, aErr := json.Marshal(a)
	bJSON, bErr := json.Marshal(b)
	return aErr == nil && bErr == nil && bytes.Equal(aJSON, bJSON)
}

// needsRead tells whether the proposal waits for a read, and notes that one is requested now. A proposal is
// encoded on top of what a read since its creation has shown to be in force, so that a daemon that was away
// does not undo what it has not seen.
func (p *pendingProposal) needsRead(lastReadMillis float64, now time.Time) bool {
	if lastReadMillis > p.createdMillis || now.Sub(p.lastReadRequest) <= proposalReadInterval {
		return false
	}
	p.lastReadRequest = now
	return true
}

// proposalEntry returns the entry of this daemon's proposal when it is to be submitted, for the first time or
// again; nil otherwise. The caller holds n.mu.
func (n *RulesetNode) proposalEntry(group GroupState) []byte {
	p := n.proposal
	if p == nil || group.LeaderName == "" || !group.IsVoter ||
		group.Now.Sub(p.lastProposed) < proposalRetryInterval || n.lastReadMillis <= p.createdMillis {
		return nil
	}
	state := n.activation.State()
	if p.onlyAsFirst && state.InForce.Number > 0 {
		n.proposal = nil
		return nil
	}
	if p.entry == nil && !n.encodeProposal(p, state) {
		return nil
	}
	p.lastProposed = group.Now
	return p.entry
}

// encodeProposal encodes a proposal on top of the version in force. It returns false if there is nothing to
// submit: the outcome is recorded then. The caller holds n.mu.
func (n *RulesetNode) encodeProposal(p *pendingProposal, state *ruleset.State) bool {
	if state.InForce.Number > 0 && sameRules(&state.InForce.Rules, p.rules) {
		if state.Pending == nil {
			n.resolveProposal(ruleset.Outcome{Version: state.InForce.Number, Duplicate: true})
			return false
		}
		p.entryType, p.rules = ruleset.EntryWithdraw, nil
	}
	p.baseVersion = state.InForce.Number
	var err error
	p.entry, err = (ruleset.LogEntry{Type: p.entryType, ID: p.id, Base: p.baseVersion, Rules: p.rules}).Encode()
	if err != nil {
		n.resolveProposal(ruleset.Outcome{Rejection: err.Error()})
		return false
	}
	if p.entryType == ruleset.EntryPropose {
		n.recordEvent(history.Event{Kind: history.Proposed, Version: p.baseVersion + 1, Base: p.baseVersion,
			Txn: p.id})
	}
	return true
}

// resolveProposal records the outcome of this daemon's proposal; the caller holds n.mu.
func (n *RulesetNode) resolveProposal(result ruleset.Outcome) {
	p := n.proposal
	outcome := ProposalOutcome{ID: p.id, BaseVersion: p.baseVersion, Version: result.Version,
		Rejection: result.Rejection, PendingReason: result.PendingReason}
	if n.outcomes = append(n.outcomes, outcome); len(n.outcomes) > maxProposalOutcomes {
		n.outcomes = n.outcomes[1:]
	}
	if result.Rejection != "" {
		n.recordEvent(history.Event{Kind: history.Decided, Version: p.baseVersion + 1, Base: p.baseVersion,
			Txn: p.id, Says: result.Rejection})
		level := zerolog.ErrorLevel
		if p.onlyAsFirst { // another daemon's was the first
			level = zerolog.InfoLevel
		}
		n.log.WithLevel(level).Str("proposal", p.id).Uint64("base", p.baseVersion).Str("why", result.Rejection).
			Msg("ruleset proposal rejected")
	} else {
		n.log.Info().Str("proposal", p.id).Uint64("version", result.Version).Str("waits", result.PendingReason).
			Msg("ruleset proposal accepted")
	}
	n.proposal = nil
}
