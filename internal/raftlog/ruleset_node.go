package raftlog

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
)

const (
	proposalRetryInterval = 500 * time.Millisecond // between two submissions of an unanswered proposal
	proposalReadInterval  = 100 * time.Millisecond // between two reads that a proposal waits for
	proposalOverheadBytes = 1024                   // of an entry, beyond the ruleset in it
	maxProposalOutcomes   = 16                     // that are remembered
)

// RulesetNode is a daemon's part in the activation of rulesets: a Node, whose state machine is the
// activation's (ruleset.StateMachine); the leases of this host's gateway processes (ruleset.HostAgent); and
// the daemon's own proposal. It is safe for concurrent use, and only Close waits.
type RulesetNode struct {
	*Node
	log      zerolog.Logger
	history  history.Recorder // nil: nothing is recorded
	hostName string

	mu             sync.Mutex // guards the fields below
	activation     *ruleset.StateMachine
	hostAgent      *ruleset.HostAgent
	discoveryLag   *ruleset.IndexLag
	proposal       *pendingProposal
	outcomes       []ProposalOutcome // of this daemon's proposals, the latest last
	lastReadMillis float64           // when the last confirmed read began; negative: there was none
	inForceDigest  string            // RulesDigest of the version in force
	clients        map[int]leaseClient
	confirmed      ConfirmedState
	followers      followerReports

	changed       chan struct{} // signals that another version is in force
	confirmations chan struct{} // signals that a read was confirmed
}

// leaseClient is a gateway process that has asked for its lease.
type leaseClient struct {
	name           string
	appliedStep    uint64
	discoveryIndex int64 // negative: it has no list
	lastRequest    time.Time
}

// NewRulesetNode opens a daemon's node. While no version is in force, rules are proposed as the first one;
// they may be nil. The recorder may be nil. Errors are those of New, and those of rules that are not valid.
func NewRulesetNode(
	config Config, rules *ruleset.Rules, recorder history.Recorder, log zerolog.Logger,
) (*RulesetNode, error) {
	n := &RulesetNode{
		log:            log,
		history:        recorder,
		hostName:       config.HostName,
		activation:     ruleset.NewStateMachine(),
		discoveryLag:   ruleset.NewIndexLag(),
		lastReadMillis: -1,
		clients:        map[int]leaseClient{},
		followers:      followerReports{ackedSteps: map[string]uint64{}},
		changed:        make(chan struct{}, 1),
		confirmations:  make(chan struct{}, 1),
	}
	n.hostAgent = ruleset.NewHostAgent(config.HostName, n.activation)
	if rules != nil {
		if err := ruleset.Validate(rules); err != nil {
			return nil, err
		}
		n.proposal = &pendingProposal{id: newProposalID(config.HostName), entryType: ruleset.EntryPropose,
			onlyAsFirst: true,
			rules:       rules, createdMillis: BootClockMillis()}
	}
	node, err := New(config, (*rulesetMachine)(n), log)
	if err != nil {
		return nil, err
	}
	n.Node = node
	return n, nil
}

func newProposalID(hostName string) string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // it never fails
	return hostName + "-" + hex.EncodeToString(b)
}

// recordEvent writes an event to the history, if one is recorded.
func (n *RulesetNode) recordEvent(event history.Event) {
	if n.history != nil {
		n.history.Write(event)
	}
}

// advanceClock sets the host agent's time; the caller holds n.mu.
func (n *RulesetNode) advanceClock() { n.hostAgent.SetTime(BootClockMillis()) }

// signal makes a channel of capacity 1 ready, and does not wait.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Changed is ready when another version than before is in force, or none any more.
func (n *RulesetNode) Changed() <-chan struct{} { return n.changed }

// InForce returns the version in force as far as the log is applied here. Its rules must not be changed.
func (n *RulesetNode) InForce() ruleset.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.activation.State().InForce
}

// ProcessStarted reports a gateway process of this host. The caller says whether it ran before this daemon
// did: it may hold a lease from then.
func (n *RulesetNode) ProcessStarted(pid int, beforeDaemon bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advanceClock()
	n.hostAgent.ProcessStarted(pid, beforeDaemon)
}

// ProcessExited reports that a gateway process of this host has ended.
func (n *RulesetNode) ProcessExited(pid int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advanceClock()
	n.hostAgent.ProcessExited(pid)
	if client, ok := n.clients[pid]; ok {
		n.discoveryLag.Remove(client.name)
		delete(n.clients, pid)
	}
}

// RenewLease grants a gateway process its lease on the version in force. The process has applied a step,
// and has the discovery list of an index, negative if it has none. It returns false if no lease can be
// granted, as no version is confirmed.
func (n *RulesetNode) RenewLease(
	pid int, name string, appliedStep uint64, discoveryIndex int64,
) (ruleset.Lease, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advanceClock()
	n.clients[pid] = leaseClient{name, appliedStep, discoveryIndex, time.Now()}
	if discoveryIndex >= 0 {
		n.discoveryLag.Report(name, discoveryIndex, BootClockMillis())
	}
	n.publishDiscoveryIndex()
	return n.hostAgent.GrantLease(pid, appliedStep)
}

// HighestDiscoveryIndex returns the highest index of the discovery list that any gateway process has
// reported, here or to another daemon.
func (n *RulesetNode) HighestDiscoveryIndex() int64 {
	n.Node.mu.Lock()
	defer n.Node.mu.Unlock()
	highest := n.discoveryIndex.Load()
	for _, peer := range n.peers {
		highest = max(highest, peer.DiscoveryIndex)
	}
	return highest
}

// Propose proposes rules to follow the version in force, and returns the proposal's ID. It is submitted
// until it is accepted or rejected, or another one is proposed here. Rules that are in force already are
// not proposed: they withdraw a version that is pending. An error says what is wrong with the rules.
func (n *RulesetNode) Propose(rules *ruleset.Rules) (string, error) {
	if err := ruleset.Validate(rules); err != nil {
		return "", err
	}
	raw, err := ruleset.LogEntry{Type: ruleset.EntryPropose, Rules: rules}.Encode()
	if err != nil {
		return "", err
	}
	if len(raw) > maxEntryBytes-proposalOverheadBytes {
		return "", fmt.Errorf("rules of %d bytes, more than %d", len(raw), maxEntryBytes-proposalOverheadBytes)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proposal = &pendingProposal{id: newProposalID(n.hostName), entryType: ruleset.EntryPropose, rules: rules,
		createdMillis: BootClockMillis()}
	return n.proposal.id, nil
}

// ProposalOutcomes returns what became of this daemon's last proposals, the latest last.
func (n *RulesetNode) ProposalOutcomes() []ProposalOutcome {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]ProposalOutcome(nil), n.outcomes...)
}
