package ruleset

import (
	"math"
)

// ending is something that time will have run out for.
type ending struct {
	step         uint64
	from         float64 // when it was first seen here; it began no later
	acting, last float64 // ms from then until nobody acts on it, or goes by its fallback
	pending      bool
	told         float64 // when that was last submitted
}

// Steward is what a daemon does for its council and for the gatekeepers of its host, beside the log: it tells
// them what is in force and for how long that may be believed, and the council what they go by and what time
// has run out. All of it may be lost and begun anew. It is not safe for concurrent use.
type Steward struct {
	Warden
	host     string
	council  *Council
	now      float64
	leads    bool
	often    bool // others go by its reads too
	endings  []ending
	lease    Lease   // as last read; Age is set when it is given
	begun    float64 // when that reading began
	read     float64 // when one was last asked for
	readFor  uint64  // the step that was new here then
	told     float64 // when the host's own step was last submitted
	toldStep uint64
	slept    float64
}

// NewSteward makes one for a host, with that daemon's own council, which the log is applied to beside it.
func NewSteward(host string, c *Council) *Steward {
	never := math.Inf(-1)
	return &Steward{host: host, council: c, begun: never, read: never, told: never, slept: never}
}

// Clock sets the time of what follows, ms.
func (s *Steward) Clock(now float64) { s.now = math.Max(s.now, now) }

// Leads tells whether this daemon leads the log.
func (s *Steward) Leads(yes bool) { s.leads = yes }

// Often has it read twice as often, where relays go by what it reads: each hop takes some of the lease.
func (s *Steward) Often(yes bool) { s.often = yes }

// Applied tells that the council has applied entries or taken a snapshot. What ended in them ended no later
// than now, so that its time may be counted from here by any daemon, whoever led when.
func (s *Steward) Applied() {
	st := s.council.State()
	var all []ending
	add := func(e ending) {
		for _, o := range s.endings {
			if o.step == e.step {
				e.from, e.told = o.from, o.told
			}
		}
		all = append(all, e)
	}
	for _, h := range st.Held {
		e := ending{step: h.Step, from: s.now, acting: h.Bound, last: h.Lasts, told: math.Inf(-1)}
		if !h.Acting {
			e.acting = 0
		}
		add(e)
	}
	if p := st.Pending; p != nil {
		add(ending{step: p.Step, from: s.now, last: p.Lasts, pending: true, told: math.Inf(-1)})
	}
	s.endings = all
	if st.Step > s.readFor { // there is news for the host's gatekeepers
		s.read, s.readFor = math.Inf(-1), st.Step
	}
}

// ReadDone tells that a quorum has confirmed a reading that began at a time, ms, and that the council here
// has applied all that it has to see. What the council says now is what the host's gatekeepers may be told.
func (s *Steward) ReadDone(began float64) {
	st := s.council.State()
	if began <= s.begun || st.Step < s.lease.Step || st.InForce.Number == 0 {
		return
	}
	s.begun = began
	s.lease = Lease{Step: st.Step, Version: st.InForce, Settled: st.Settled()}
	if st.Pending != nil {
		s.lease.Pending = &st.Pending.Version.Rules
	}
}

// Asked takes a process's question, with the step that it holds, and gives what to answer; false where there
// is nothing that may still be believed. Clock has to be told a time after the question came. An answer that
// is late after that does no harm, as the one that asked counts from when it did.
func (s *Steward) Asked(id int, holds uint64) (Lease, bool) {
	if !s.Warden.Asked(id, holds) {
		return Lease{}, false
	}
	l := s.lease
	l.Age = s.now - s.begun
	if l.Version.Number == 0 || !(l.Age < l.Version.Rules.Lease) {
		return Lease{}, false
	}
	s.Given(id)
	return l, true
}

// wanted tells whether the council gains by knowing that this host has seen a step.
func (s *Steward) wanted(step uint64) bool {
	return len(s.council.State().Gains([]HostStep{{Host: s.host, Step: step}})) > 0
}

// Gains gives those facts by which the council gains: what it keeps waits for such a word of their hosts.
func (s *State) Gains(all []HostStep) []HostStep {
	type waits struct {
		step  uint64
		hosts []string
	}
	var wanted []waits
	for _, h := range s.Held {
		wanted = append(wanted, waits{h.Step, h.Hosts})
	}
	if p := s.Pending; p != nil {
		wanted = append(wanted, waits{p.Step, p.Hosts})
	}
	if len(wanted) == 0 {
		return nil
	}
	at := map[string]int{}
	for i, f := range all {
		if known, there := s.Seen[f.Host]; there && f.Step > known {
			at[f.Host] = i
		}
	}
	if len(at) == 0 {
		return nil
	}
	gains := make([]bool, len(all))
	for _, w := range wanted {
		for _, host := range w.hosts {
			if i, there := at[host]; there && s.Seen[host] < w.step && w.step <= all[i].Step {
				gains[i] = true
			}
		}
	}
	var good []HostStep
	for i, f := range all {
		if gains[i] && f.Step <= s.Step { // of a later one this council has not heard yet
			good = append(good, f)
		}
	}
	return good
}

// Next gives what follows; call it until there is nothing more. Entries are to go to the log by way of
// whoever leads it, and may be lost.
func (s *Steward) Next() (Decision, bool) {
	st := s.council.State()
	every := every(st.InForce.Rules.Lease)
	if s.often {
		every /= 2
	}
	if s.now >= s.read+every {
		s.read = s.now
		return Decision{Kind: Read}, true
	}
	wake := s.read + every
	if seen := s.Seen(s.lease.Step); s.wanted(seen) {
		if seen > s.toldStep || s.now >= s.told+again {
			s.told, s.toldStep = s.now, seen
			return Decision{Kind: Submit, Entry: Entry{Act: Seen, Host: s.host, Step: seen}}, true
		}
		wake = math.Min(wake, s.told+again)
	}
	for i := range s.endings {
		e := &s.endings[i]
		due, fallbacks := e.from+e.last, true
		if e.acting > 0 {
			due, fallbacks = e.from+e.acting, false
		}
		if due = math.Max(due, e.told+again); s.leads && s.now >= due {
			e.told = s.now
			return Decision{Kind: Submit, Entry: Entry{Act: Passed, Step: e.step, Fallbacks: fallbacks}}, true
		}
		if s.leads {
			wake = math.Min(wake, due)
		}
	}
	if wake == s.slept {
		return Decision{}, false
	}
	s.slept = wake
	return Decision{Kind: Wake, At: wake}, true
}
