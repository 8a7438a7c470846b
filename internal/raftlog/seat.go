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
	proposeEach = 500 * time.Millisecond
	lagAfter    = 3000.0 // ms behind another's list of discovery until one is named
)

// Seat is a daemon's part in agreeing on the rules: accord's council on the log, its steward for the
// gatekeepers of this host, and the daemon's own proposal. It is safe for concurrent use, and nothing of
// it waits.
type Seat struct {
	*Council
	log    zerolog.Logger
	record history.Recorder
	host   string

	mu       sync.Mutex
	council  *ruleset.StateMachine
	steward  *ruleset.HostAgent
	lag      *ruleset.IndexLag
	turn     Turn
	wanted   *wanted
	begun    float64 // of the last read that was confirmed; below nought there was none
	mark     string  // of the version in force
	changed  chan struct{}
	tellers  map[int]teller
	outcomes []Heard
	word     Word          // as last confirmed
	read     chan struct{} // told with each
	below    below
}

// teller is a process that has asked.
type teller struct {
	name  string
	holds uint64
	index int64
	at    time.Time
}

// wanted is a proposal of this daemon's that is not answered yet.
type wanted struct {
	id    string
	act   ruleset.EntryType
	first bool // only where no version is in force
	rules *ruleset.Rules
	raw   []byte
	base  uint64
	since float64
	put   time.Time
	read  time.Time // when the reading was asked for that it waits for
}

// Heard is what became of a proposal of this daemon's, for operators.
type Heard struct {
	ID      string `json:"id"`
	Base    uint64 `json:"base"`
	Number  uint64 `json:"number,omitempty"`
	Refused string `json:"refused,omitempty"`
	Waits   string `json:"waits,omitempty"`
}

// NewSeat opens a daemon's part. Where no version is in force yet, rules are proposed as the first one;
// they may be nil. The record may be nil.
func NewSeat(ch Charter, rules *ruleset.Rules, record history.Recorder, log zerolog.Logger) (*Seat, error) {
	s := &Seat{log: log, record: record, host: ch.Me, begun: -1, council: ruleset.NewStateMachine(),
		lag: ruleset.NewIndexLag(), changed: make(chan struct{}, 1), tellers: map[int]teller{},
		read: make(chan struct{}, 1), below: below{seen: map[string]uint64{}}}
	s.steward = ruleset.NewHostAgent(ch.Me, s.council)
	if rules != nil {
		if err := ruleset.Validate(rules); err != nil {
			return nil, err
		}
		s.wanted = &wanted{id: proposalID(ch.Me), act: ruleset.EntryPropose, first: true, rules: rules,
			since: Clock()}
	}
	c, err := New(ch, (*bench)(s), log)
	if err != nil {
		return nil, err
	}
	s.Council = c
	return s, nil
}

func proposalID(host string) string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return host + "-" + hex.EncodeToString(b)
}

func (s *Seat) write(e history.Event) {
	if s.record != nil {
		s.record.Write(e)
	}
}

// clock sets the steward's time, under the lock.
func (s *Seat) clock() { s.steward.SetTime(Clock()) }

// Changed tells that another version than before is in force, or none is agreed any more.
func (s *Seat) Changed() <-chan struct{} { return s.changed }

// InForce gives the version in force, as far as the log has come here; its rules are not to be changed.
func (s *Seat) InForce() ruleset.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.council.State().InForce
}

// Began tells of a process of this host's gatekeepers; before: it ran before this daemon did.
func (s *Seat) Began(pid int, before bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock()
	s.steward.ProcessStarted(pid, before)
}

// Ended tells that a process is no more.
func (s *Seat) Ended(pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock()
	s.steward.ProcessExited(pid)
	if t, there := s.tellers[pid]; there {
		s.lag.Remove(t.name)
		delete(s.tellers, pid)
	}
}

// Asked answers a process of a gatekeeper that holds a step and has discovery's list of an index; below
// nought it has none. False: there is nothing that may be believed.
func (s *Seat) Asked(pid int, name string, holds uint64, index int64) (ruleset.Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock()
	now := time.Now()
	s.tellers[pid] = teller{name, holds, index, now}
	if index >= 0 {
		s.lag.Report(name, index, Clock())
	}
	s.newest()
	return s.steward.GrantLease(pid, holds)
}

// Highest gives the highest index of discovery's list that any process has told, here or to another daemon.
func (s *Seat) Highest() int64 {
	s.Council.mu.Lock()
	defer s.Council.mu.Unlock()
	most := s.Council.index.Load()
	for _, p := range s.Council.peers {
		most = max(most, p.Index)
	}
	return most
}

// Propose has rules follow the version in force; they stay this daemon's wish until they are taken or
// refused, or others are proposed here. Those in force already take back what waits to follow them. It
// returns the proposal's id, or nothing where there is nothing to agree on.
func (s *Seat) Propose(rules *ruleset.Rules) (string, error) {
	if err := ruleset.Validate(rules); err != nil {
		return "", err
	}
	raw, err := ruleset.LogEntry{Type: ruleset.EntryPropose, Rules: rules}.Encode()
	if err != nil {
		return "", err
	}
	if len(raw) > longestWord-1024 {
		return "", fmt.Errorf("rules of %d bytes, more than %d", len(raw), longestWord-1024)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted = &wanted{id: proposalID(s.host), act: ruleset.EntryPropose, rules: rules, since: Clock()}
	return s.wanted.id, nil
}

// same tells whether two rules say the same.
func same(a, b *ruleset.Rules) bool {
	x, err := json.Marshal(a)
	y, bad := json.Marshal(b)
	return err == nil && bad == nil && bytes.Equal(x, y)
}

// Outcomes gives what became of this daemon's last proposals, the latest last.
func (s *Seat) Outcomes() []Heard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Heard(nil), s.outcomes...)
}

// bench is the seat as the log sees it.
type bench Seat

func (b *bench) seat() *Seat { return (*Seat)(b) }

// Apply takes an entry of the log.
func (b *bench) Apply(data []byte) error {
	e, err := ruleset.DecodeLogEntry(data)
	if err != nil {
		return err
	}
	s := b.seat()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock()
	id := e.ID
	if p := s.council.State().Pending; p != nil {
		id = p.ProposalID
	}
	o := s.council.Apply(e)
	s.steward.EntriesApplied()
	if o.Activated > 0 && !o.Duplicate {
		in := s.council.State().InForce
		s.mark = Mark(&in.Rules)
		s.write(history.Event{Kind: history.Taken, Version: o.Activated, Base: o.Activated - 1, Txn: id,
			Mark: s.mark})
		s.log.Info().Uint64("version", o.Activated).Int("members", len(in.Rules.Members)).Msg("council: in force")
		s.tell()
	}
	if s.wanted != nil && e.ID == s.wanted.id {
		s.heard(o)
	}
	return nil
}

func (s *Seat) tell() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// heard books what the council has made of this daemon's proposal.
func (s *Seat) heard(o ruleset.Outcome) {
	h := Heard{ID: s.wanted.id, Base: s.wanted.base, Number: o.Version, Refused: o.Rejection,
		Waits: o.PendingReason}
	if s.outcomes = append(s.outcomes, h); len(s.outcomes) > 16 {
		s.outcomes = s.outcomes[1:]
	}
	if o.Rejection != "" {
		s.write(history.Event{Kind: history.Taken, Version: s.wanted.base + 1, Base: s.wanted.base, Txn: h.ID,
			Says: o.Rejection})
		level := zerolog.ErrorLevel
		if s.wanted.first { // another's came first
			level = zerolog.InfoLevel
		}
		s.log.WithLevel(level).Str("proposal", h.ID).Uint64("base", h.Base).Msg("council: refused: " + o.Rejection)
	} else {
		s.log.Info().Str("proposal", h.ID).Uint64("version", h.Number).Str("waits", h.Waits).Msg("council: agreed")
	}
	s.wanted = nil
}

// Save gives accord's state.
func (b *bench) Save() ([]byte, error) {
	s := b.seat()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.council.Snapshot()
}

// Load takes accord's state.
func (b *bench) Load(raw []byte) error {
	s := b.seat()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock()
	before := s.council.State().InForce.Number
	if len(raw) == 0 {
		raw, _ = ruleset.NewStateMachine().Snapshot()
	}
	if err := s.council.Restore(raw); err != nil {
		return err
	}
	s.steward.EntriesApplied()
	s.mark = ""
	if in := s.council.State().InForce; in.Number > 0 {
		s.mark = Mark(&in.Rules)
	}
	if s.council.State().InForce.Number != before {
		s.tell()
	}
	if s.wanted != nil { // it may have been answered in what the snapshot stands for
		for _, a := range s.council.State().RecentOutcomes {
			if a.ProposalID == s.wanted.id {
				s.heard(a.Outcome)
				break
			}
		}
	}
	return nil
}

// Read tells that what is applied was the latest at begun.
func (b *bench) Read(begun float64) {
	s := b.seat()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock()
	s.steward.ReadConfirmed(begun)
	n := s.council.State().InForce.Number
	s.begun = begun
	s.confirmed(begun)
	s.write(history.Event{Kind: history.Gives, Version: n, Mark: s.mark,
		Age: Clock() - begun})
}

// Mark is a digest of rules, as records name versions.
func Mark(r *ruleset.Rules) string {
	c := *r // a list that is empty is none
	c.Needs, c.Plans, c.WorkerOverrides = some(c.Needs), some(c.Plans), some(c.WorkerOverrides)
	raw, err := json.Marshal(c)
	if err != nil {
		return ""
	}
	h := sha256.Sum256(raw)
	return hex.EncodeToString(h[:6])
}

func some[T any](all []T) []T {
	if len(all) == 0 {
		return nil
	}
	return all
}

// Turn gives what the steward and this daemon's proposal ask for.
func (b *bench) Turn(t Turn) (w Wish) {
	s := b.seat()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn = t
	s.clock()
	s.steward.SetLeader(t.Leads)
	for {
		d, ok := s.steward.NextAction()
		if !ok || d.Kind == ruleset.ActionWake { // it is asked again within a tick
			break
		}
		switch d.Kind {
		case ruleset.ActionReadState:
			w.Read = true
		case ruleset.ActionSubmit:
			if raw, err := d.Entry.Encode(); err == nil {
				w.Propose = append(w.Propose, raw)
			}
		}
	}
	if p := s.wanted; p != nil && s.begun <= p.since && t.Now.Sub(p.read) > 100*time.Millisecond {
		p.read, w.Read = t.Now, true
	}
	if raw := s.want(t); raw != nil {
		w.Propose = append(w.Propose, raw)
	}
	if raw := s.batch(t.Now); raw != nil {
		w.Propose = append(w.Propose, raw)
	}
	return w
}

// want gives this daemon's proposal where it is to be put (again). It is put on top of what was in force
// at a read since it was wished for, so that a daemon that was away does not undo what it has not seen.
func (s *Seat) want(t Turn) []byte {
	p := s.wanted
	if p == nil || t.Leader == "" || !t.Member || t.Now.Sub(p.put) < proposeEach || s.begun <= p.since {
		return nil
	}
	st := s.council.State()
	if p.first && st.InForce.Number > 0 {
		s.wanted = nil
		return nil
	}
	if p.raw == nil && st.InForce.Number > 0 && same(&st.InForce.Rules, p.rules) {
		if st.Pending == nil {
			s.heard(ruleset.Outcome{Version: st.InForce.Number, Duplicate: true})
			return nil
		}
		p.act, p.rules = ruleset.EntryWithdraw, nil
	}
	if p.raw == nil {
		p.base = s.council.State().InForce.Number
		var err error
		if p.raw, err = (ruleset.LogEntry{Type: p.act, ID: p.id, Base: p.base,
			Rules: p.rules}).Encode(); err != nil {
			s.heard(ruleset.Outcome{Rejection: err.Error()})
			return nil
		}
		if p.act == ruleset.EntryPropose {
			s.write(history.Event{Kind: history.Wants, Version: p.base + 1, Base: p.base, Txn: p.id})
		}
	}
	p.put = t.Now
	return p.raw
}

// Agreement is how the rules stand, as this daemon sees it.
type Agreement struct {
	Version  uint64                  `json:"version"`
	Mark     string                  `json:"mark,omitempty"` // a digest of it, the same at all daemons
	Step     uint64                  `json:"step"`
	Settled  bool                    `json:"settled"`
	ReadMS   float64                 `json:"read_ms"` // ago; below nought nothing has been confirmed
	Pending  uint64                  `json:"pending,omitempty"`
	Waits    string                  `json:"pending_waits,omitempty"`
	Held     []uint64                `json:"held,omitempty"` // versions that may still be gone by
	Wanted   string                  `json:"wanted,omitempty"`
	Outcomes []Heard                 `json:"proposals,omitempty"`
	CutOff   map[string]float64      `json:"cut_off,omitempty"` // instances here: ms since they last asked
	Lags     []ruleset.LaggingMember `json:"lags,omitempty"`
	Seen     map[string]uint64       `json:"seen,omitempty"`
}

// Agreement tells how the rules stand.
func (s *Seat) Agreement() Agreement {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	st := s.council.State()
	a := Agreement{Version: st.InForce.Number, Mark: s.mark, Step: st.Step, Settled: st.TransitionComplete(),
		ReadMS:   -1,
		Outcomes: append([]Heard(nil), s.outcomes...), CutOff: map[string]float64{}, Seen: map[string]uint64{}}
	if s.begun >= 0 {
		a.ReadMS = Clock() - s.begun
	}
	for _, h := range st.Superseded {
		a.Held = append(a.Held, h.Number)
	}
	for h, n := range st.AckedSteps {
		a.Seen[h] = n
	}
	if p := st.Pending; p != nil {
		a.Pending, a.Waits = p.Version.Number, st.PendingReason()
	}
	if s.wanted != nil {
		a.Wanted = s.wanted.id
	}
	lease := math.Max(st.InForce.Rules.LeaseMillis, 100)
	for _, t := range s.tellers {
		age := float64(now.Sub(t.at)) / float64(time.Millisecond)
		if age > lease || a.ReadMS < 0 || a.ReadMS > lease {
			a.CutOff[t.name] = age
		}
	}
	s.Council.mu.Lock()
	for name, p := range s.Council.peers { // another host's newest, as if it were a process's
		if p.Index > 0 {
			s.lag.Report("host "+name, p.Index, Clock())
		}
	}
	s.Council.mu.Unlock()
	a.Lags = s.lag.Lagging(Clock(), lagAfter)
	return a
}
