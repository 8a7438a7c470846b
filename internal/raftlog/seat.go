package raftlog

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
)

const (
	// proposeEach is how often what was proposed and not answered is proposed again.
	proposalRetryInterval = 500 * time.Millisecond
	lagThresholdMillis    = 3000.0 // ms behind another's list of discovery until one is named
)

// Seat is a daemon's part in agreeing on the rules: accord's council on the log, its steward for the
// gatekeepers of this host, and the daemon's own proposal. It is safe for concurrent use, and nothing of
// it waits.
type RulesetNode struct {
	*Node
	log      zerolog.Logger
	history  history.Recorder
	hostName string

	mu             sync.Mutex
	activation     *ruleset.StateMachine
	grantor        *ruleset.HostAgent
	discoveryLag   *ruleset.IndexLag
	groupState     GroupState
	proposal       *pendingProposal
	lastReadMillis float64 // of the last read that was confirmed; below nought there was none
	inForceDigest  string  // of the version in force
	changed        chan struct{}
	clients        map[int]leaseClient
	outcomes       []ProposalOutcome
	confirmed      ConfirmedState // as last confirmed
	confirmations  chan struct{}  // told with each
	followers      followerReports
}

// teller is a process that has asked.
type leaseClient struct {
	name           string
	appliedStep    uint64
	discoveryIndex int64
	lastRequest    time.Time
}

// wanted is a proposal of this daemon's that is not answered yet.
type pendingProposal struct {
	id              string
	act             ruleset.EntryType
	onlyAsFirst     bool // only where no version is in force
	rules           *ruleset.Rules
	entry           []byte
	baseVersion     uint64
	createdMillis   float64
	lastProposed    time.Time
	lastReadRequest time.Time // when the reading was asked for that it waits for
}

// Heard is what became of a proposal of this daemon's, for operators.
type ProposalOutcome struct {
	ID          string `json:"id"`
	BaseVersion uint64 `json:"base"`
	Version     uint64 `json:"number,omitempty"`
	Rejection   string `json:"refused,omitempty"`
	WaitReason  string `json:"waits,omitempty"`
}

// NewSeat opens a daemon's part. Where no version is in force yet, rules are proposed as the first one;
// they may be nil. The record may be nil.
func NewRulesetNode(ch Config, rules *ruleset.Rules, record history.Recorder, log zerolog.Logger) (*RulesetNode, error) {
	s := &RulesetNode{log: log, history: record, hostName: ch.HostName, lastReadMillis: -1,
		activation:   ruleset.NewStateMachine(),
		discoveryLag: ruleset.NewIndexLag(), changed: make(chan struct{}, 1), clients: map[int]leaseClient{},
		confirmations: make(chan struct{}, 1), followers: followerReports{hostSteps: map[string]uint64{}}}
	s.grantor = ruleset.NewHostAgent(ch.HostName, s.activation)
	if rules != nil {
		if err := ruleset.Validate(rules); err != nil {
			return nil, err
		}
		s.proposal = &pendingProposal{id: newProposalID(ch.HostName), act: ruleset.EntryPropose, onlyAsFirst: true,
			rules: rules, createdMillis: BootClockMillis()}
	}
	c, err := New(ch, (*rulesetMachine)(s), log)
	if err != nil {
		return nil, err
	}
	s.Node = c
	return s, nil
}

func newProposalID(host string) string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return host + "-" + hex.EncodeToString(b)
}

func (s *RulesetNode) recordEvent(e history.Event) {
	if s.history != nil {
		s.history.Write(e)
	}
}

// clock sets the steward's time, under the lock.
func (s *RulesetNode) advanceClock() { s.grantor.SetTime(BootClockMillis()) }

// Changed tells that another version than before is in force, or none is agreed any more.
func (s *RulesetNode) Changed() <-chan struct{} { return s.changed }

// InForce gives the version in force, as far as the log has come here; its rules are not to be changed.
func (s *RulesetNode) InForce() ruleset.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activation.State().InForce
}

// Began tells of a process of this host's gatekeepers; before: it ran before this daemon did.
func (s *RulesetNode) ProcessStarted(pid int, before bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock()
	s.grantor.ProcessStarted(pid, before)
}

// Ended tells that a process is no more.
func (s *RulesetNode) ProcessExited(pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock()
	s.grantor.ProcessExited(pid)
	if t, there := s.clients[pid]; there {
		s.discoveryLag.Remove(t.name)
		delete(s.clients, pid)
	}
}

// Asked answers a process of a gatekeeper that holds a step and has discovery's list of an index; below
// nought it has none. False: there is nothing that may be believed.
func (s *RulesetNode) RenewLease(pid int, name string, holds uint64, index int64) (ruleset.Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock()
	now := time.Now()
	s.clients[pid] = leaseClient{name, holds, index, now}
	if index >= 0 {
		s.discoveryLag.Report(name, index, BootClockMillis())
	}
	s.publishDiscoveryIndex()
	return s.grantor.GrantLease(pid, holds)
}

// Highest gives the highest index of discovery's list that any process has told, here or to another daemon.
func (s *RulesetNode) HighestDiscoveryIndex() int64 {
	s.Node.mu.Lock()
	defer s.Node.mu.Unlock()
	most := s.Node.discoveryIndex.Load()
	for _, p := range s.Node.peers {
		most = max(most, p.DiscoveryIndex)
	}
	return most
}

// Propose has rules follow the version in force; they stay this daemon's wish until they are taken or
// refused, or others are proposed here. Those in force already take back what waits to follow them. It
// returns the proposal's id, or nothing where there is nothing to agree on.
func (s *RulesetNode) Propose(rules *ruleset.Rules) (string, error) {
	if err := ruleset.Validate(rules); err != nil {
		return "", err
	}
	raw, err := ruleset.LogEntry{Type: ruleset.EntryPropose, Rules: rules}.Encode()
	if err != nil {
		return "", err
	}
	if len(raw) > maxEntryBytes-1024 {
		return "", fmt.Errorf("rules of %d bytes, more than %d", len(raw), maxEntryBytes-1024)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proposal = &pendingProposal{id: newProposalID(s.hostName), act: ruleset.EntryPropose, rules: rules,
		createdMillis: BootClockMillis()}
	return s.proposal.id, nil
}

// same tells whether two rules say the same.
func sameRules(a, b *ruleset.Rules) bool {
	x, err := json.Marshal(a)
	y, bad := json.Marshal(b)
	return err == nil && bad == nil && bytes.Equal(x, y)
}

// Outcomes gives what became of this daemon's last proposals, the latest last.
func (s *RulesetNode) ProposalOutcomes() []ProposalOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ProposalOutcome(nil), s.outcomes...)
}

// bench is the seat as the log sees it.
type rulesetMachine RulesetNode

func (b *rulesetMachine) node() *RulesetNode { return (*RulesetNode)(b) }

// Apply takes an entry of the log.
func (b *rulesetMachine) Apply(data []byte) error {
	e, err := ruleset.DecodeLogEntry(data)
	if err != nil {
		return err
	}
	s := b.node()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock()
	id := e.ID
	if p := s.activation.State().Pending; p != nil {
		id = p.ProposalID
	}
	o := s.activation.Apply(e)
	s.grantor.EntriesApplied()
	if o.Activated > 0 && !o.Duplicate {
		in := s.activation.State().InForce
		s.inForceDigest = RulesDigest(&in.Rules)
		s.recordEvent(history.Event{Kind: history.Taken, Version: o.Activated, Base: o.Activated - 1, Txn: id,
			Mark: s.inForceDigest})
		s.log.Info().Uint64("version", o.Activated).Int("members", len(in.Rules.Members)).Msg("council: in force")
		s.notifyChanged()
	}
	if s.proposal != nil && e.ID == s.proposal.id {
		s.resolveProposal(o)
	}
	return nil
}

func (s *RulesetNode) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// heard books what the council has made of this daemon's proposal.
func (s *RulesetNode) resolveProposal(o ruleset.Outcome) {
	h := ProposalOutcome{ID: s.proposal.id, BaseVersion: s.proposal.baseVersion, Version: o.Version,
		Rejection: o.Rejection, WaitReason: o.PendingReason}
	if s.outcomes = append(s.outcomes, h); len(s.outcomes) > 16 {
		s.outcomes = s.outcomes[1:]
	}
	if o.Rejection != "" {
		s.recordEvent(history.Event{Kind: history.Taken, Version: s.proposal.baseVersion + 1,
			Base: s.proposal.baseVersion, Txn: h.ID,
			Says: o.Rejection})
		level := zerolog.ErrorLevel
		if s.proposal.onlyAsFirst { // another's came first
			level = zerolog.InfoLevel
		}
		s.log.WithLevel(level).Str("proposal", h.ID).Uint64("base",
			h.BaseVersion).Msg("council: refused: " + o.Rejection)
	} else {
		s.log.Info().Str("proposal", h.ID).Uint64("version", h.Version).Str("waits",
			h.WaitReason).Msg("council: agreed")
	}
	s.proposal = nil
}

// Save gives accord's state.
func (b *rulesetMachine) Snapshot() ([]byte, error) {
	s := b.node()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activation.Snapshot()
}

// Load takes accord's state.
func (b *rulesetMachine) Restore(raw []byte) error {
	s := b.node()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock()
	before := s.activation.State().InForce.Number
	if len(raw) == 0 {
		raw, _ = ruleset.NewStateMachine().Snapshot()
	}
	if err := s.activation.Restore(raw); err != nil {
		return err
	}
	s.grantor.EntriesApplied()
	s.inForceDigest = ""
	if in := s.activation.State().InForce; in.Number > 0 {
		s.inForceDigest = RulesDigest(&in.Rules)
	}
	if s.activation.State().InForce.Number != before {
		s.notifyChanged()
	}
	if s.proposal != nil { // it may have been answered in what the snapshot stands for
		for _, a := range s.activation.State().RecentOutcomes {
			if a.ProposalID == s.proposal.id {
				s.resolveProposal(a.Outcome)
				break
			}
		}
	}
	return nil
}

// Read tells that what is applied was the latest at begun.
func (b *rulesetMachine) ReadConfirmed(begun float64) {
	s := b.node()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceClock()
	s.grantor.ReadConfirmed(begun)
	n := s.activation.State().InForce.Number
	s.lastReadMillis = begun
	s.recordConfirmed(begun)
	s.recordEvent(history.Event{Kind: history.Gives, Version: n, Mark: s.inForceDigest,
		Age: BootClockMillis() - begun})
}

// Mark is a digest of rules, as records name versions.
func RulesDigest(r *ruleset.Rules) string {
	c := *r // a list that is empty is none
	c.Needs, c.Plans, c.WorkerOverrides = nilIfEmpty(c.Needs), nilIfEmpty(c.Plans), nilIfEmpty(c.WorkerOverrides)
	raw, err := json.Marshal(c)
	if err != nil {
		return ""
	}
	h := sha256.Sum256(raw)
	return hex.EncodeToString(h[:6])
}

func nilIfEmpty[T any](all []T) []T {
	if len(all) == 0 {
		return nil
	}
	return all
}

// Turn gives what the steward and this daemon's proposal ask for.
func (b *rulesetMachine) Poll(t GroupState) (w Requests) {
	s := b.node()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groupState = t
	s.advanceClock()
	s.grantor.SetLeader(t.IsLeader)
	for {
		d, ok := s.grantor.NextAction()
		if !ok || d.Kind == ruleset.ActionWake { // it is asked again within a tick
			break
		}
		switch d.Kind {
		case ruleset.ActionReadState:
			w.ReadIndex = true
		case ruleset.ActionSubmit:
			if raw, err := d.Entry.Encode(); err == nil {
				w.Proposals = append(w.Proposals, raw)
			}
		}
	}
	if p := s.proposal; p != nil && s.lastReadMillis <= p.createdMillis &&
		t.Now.Sub(p.lastReadRequest) > 100*time.Millisecond {
		p.lastReadRequest, w.ReadIndex = t.Now, true
	}
	if raw := s.proposalEntry(t); raw != nil {
		w.Proposals = append(w.Proposals, raw)
	}
	if raw := s.hostStepsEntry(t.Now); raw != nil {
		w.Proposals = append(w.Proposals, raw)
	}
	return w
}

// want gives this daemon's proposal where it is to be put (again). It is put on top of what was in force
// at a read since it was wished for, so that a daemon that was away does not undo what it has not seen.
func (s *RulesetNode) proposalEntry(t GroupState) []byte {
	p := s.proposal
	if p == nil || t.LeaderName == "" || !t.IsVoter || t.Now.Sub(p.lastProposed) < proposalRetryInterval ||
		s.lastReadMillis <= p.createdMillis {
		return nil
	}
	st := s.activation.State()
	if p.onlyAsFirst && st.InForce.Number > 0 {
		s.proposal = nil
		return nil
	}
	if p.entry == nil && st.InForce.Number > 0 && sameRules(&st.InForce.Rules, p.rules) {
		if st.Pending == nil {
			s.resolveProposal(ruleset.Outcome{Version: st.InForce.Number, Duplicate: true})
			return nil
		}
		p.act, p.rules = ruleset.EntryWithdraw, nil
	}
	if p.entry == nil {
		p.baseVersion = s.activation.State().InForce.Number
		var err error
		if p.entry, err = (ruleset.LogEntry{Type: p.act, ID: p.id, Base: p.baseVersion,
			Rules: p.rules}).Encode(); err != nil {
			s.resolveProposal(ruleset.Outcome{Rejection: err.Error()})
			return nil
		}
		if p.act == ruleset.EntryPropose {
			s.recordEvent(history.Event{Kind: history.Wants, Version: p.baseVersion + 1, Base: p.baseVersion,
				Txn: p.id})
		}
	}
	p.lastProposed = t.Now
	return p.entry
}

// Agreement is how the rules stand, as this daemon sees it.
type ActivationStatus struct {
	Version          uint64                  `json:"version"`
	Digest           string                  `json:"mark,omitempty"` // a digest of it, the same at all daemons
	Step             uint64                  `json:"step"`
	Settled          bool                    `json:"settled"`
	ReadAgeMillis    float64                 `json:"read_ms"` // ago; below nought nothing has been confirmed
	PendingVersion   uint64                  `json:"pending,omitempty"`
	PendingReason    string                  `json:"pending_waits,omitempty"`
	HeldVersions     []uint64                `json:"held,omitempty"` // versions that may still be gone by
	WantedProposal   string                  `json:"wanted,omitempty"`
	ProposalOutcomes []ProposalOutcome       `json:"proposals,omitempty"`
	CutOffInstances  map[string]float64      `json:"cut_off,omitempty"` // instances here: ms since they last asked
	Lags             []ruleset.LaggingMember `json:"lags,omitempty"`
	HostSteps        map[string]uint64       `json:"seen,omitempty"`
}

// Agreement tells how the rules stand.
func (s *RulesetNode) ActivationStatus() ActivationStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	st := s.activation.State()
	a := ActivationStatus{Version: st.InForce.Number, Digest: s.inForceDigest, Step: st.Step,
		Settled: st.TransitionComplete(), ReadAgeMillis: -1,
		ProposalOutcomes: append([]ProposalOutcome(nil),
			s.outcomes...), CutOffInstances: map[string]float64{}, HostSteps: map[string]uint64{}}
	if s.lastReadMillis >= 0 {
		a.ReadAgeMillis = BootClockMillis() - s.lastReadMillis
	}
	for _, h := range st.Superseded {
		a.HeldVersions = append(a.HeldVersions, h.Number)
	}
	for h, n := range st.AckedSteps {
		a.HostSteps[h] = n
	}
	if p := st.Pending; p != nil {
		a.PendingVersion, a.PendingReason = p.Version.Number, st.PendingReason()
	}
	if s.proposal != nil {
		a.WantedProposal = s.proposal.id
	}
	lease := math.Max(st.InForce.Rules.LeaseMillis, 100)
	for _, t := range s.clients {
		age := float64(now.Sub(t.lastRequest)) / float64(time.Millisecond)
		if age > lease || a.ReadAgeMillis < 0 || a.ReadAgeMillis > lease {
			a.CutOffInstances[t.name] = age
		}
	}
	s.Node.mu.Lock()
	for name, p := range s.Node.peers { // another host's newest, as if it were a process's
		if p.DiscoveryIndex > 0 {
			s.discoveryLag.Report("host "+name, p.DiscoveryIndex, BootClockMillis())
		}
	}
	s.Node.mu.Unlock()
	a.Lags = s.discoveryLag.Lagging(BootClockMillis(), lagThresholdMillis)
	return a
}
