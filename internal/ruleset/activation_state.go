package ruleset

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Act is what an Entry asks of the council.
type Act uint8

// The acts.
const (
	Propose  Act = iota + 1 // ID, Base, Rules: these are to follow version Base
	Withdraw                // ID, Base: what is pending on top of version Base is not to come in force
	Seen                    // Host, Step: each process of a host goes by what was said at Step, or later
	Passed                  // Step, Fallbacks: time has run out for what ended at Step
	SeenAll                 // Hosts: as Seen, of many hosts at once
)

// HostStep says that all processes of a host's gatekeepers go by what was said at a step, or later. Only the
// host's own daemon can say so first; once true it stays true, so that it may come late, twice and by any
// way.
type HostStep struct {
	_    struct{} `cbor:",toarray"`
	Host string   `json:"Host"`
	Step uint64   `json:"Step"`
}

// Entry is one entry of the council's log.
type Entry struct {
	Act       Act        `json:"Act"`
	ID        string     `json:"ID,omitempty"` // of a proposal; the same one twice is one
	Base      uint64     `json:"Base,omitempty"`
	Rules     *Rules     `json:"Rules,omitempty"`
	Host      string     `json:"Host,omitempty"`
	Step      uint64     `json:"Step,omitempty"`
	Fallbacks bool       `json:"Fallbacks,omitempty"` // Passed: not only what was acted on, but the fallbacks too
	Hosts     []HostStep `json:"Hosts,omitempty"`     // SeenAll, up to MostSeen
}

// Outcome is what the council has made of an entry.
type Outcome struct {
	Refused string `json:"Refused,omitempty"` // the reason, which names the key; empty: it was taken
	Number  uint64 `json:"Number,omitempty"`  // that a proposal's version has, or will have
	Waits   string `json:"Waits,omitempty"`   // why that is not in force yet; empty: it is
	InForce uint64 `json:"InForce,omitempty"` // the version that this entry has put in force, its own or a pending one
	Again   bool   `json:"Again,omitempty"`   // the entry came before, and this is what it has come to
}

// Held is a version that is not in force any more, as it may still be gone by.
type Held struct {
	Number uint64   `json:"Number"`
	Step   uint64   `json:"Step"`   // at which it ended
	Stance Stance   `json:"Stance"` // its fallback
	Hosts  []string `json:"Hosts"`  // whose gatekeepers may have it
	Acting bool     `json:"Acting"` // some may still act on the version itself
	Bound  float64  `json:"Bound"`  // ms from its end until none does
	Lasts  float64  `json:"Lasts"`  // ms from its end until none has its fallback
}

// Coming is a version that is agreed and waits.
type Coming struct {
	Version     Version  `json:"Version"`
	ID          string   `json:"ID"`
	Step        uint64   `json:"Step"`        // at which it was agreed
	Contradicts string   `json:"Contradicts"` // the plan by which fallbacks contradict it that may be held; empty: none does
	Mixes       string   `json:"Mixes"`       // the plan of which too much passes beside the version in force; empty: none
	Hosts       []string `json:"Hosts"`       // whose gatekeepers may have one of them
	Lasts       float64  `json:"Lasts"`       // ms from its agreement until none has
}

// Answer is what a proposal came to.
type Answer struct {
	ID      string  `json:"ID"`
	Outcome Outcome `json:"Outcome"`
}

// State is all that a council knows.
type State struct {
	Step     uint64            `json:"Step"` // grows by one with each change of what instances are told
	InForce  Version           `json:"InForce"`
	Pending  *Coming           `json:"Pending,omitempty"`
	Held     []Held            `json:"Held,omitempty"`
	Seen     map[string]uint64 `json:"Seen,omitempty"`     // by host
	Answered []Answer          `json:"Answered,omitempty"` // the latest proposals, in their order
}

// Council decides which version is in force. Fed with the same entries, in the order of the log, it is the
// same at each daemon. It knows no time: that comes to it as entries that say what has run out. It is not
// safe for concurrent use.
type Council struct{ s State }

// NewCouncil makes one with no version in force; the first is to follow version 0.
func NewCouncil() *Council { return &Council{s: State{Seen: map[string]uint64{}}} }

// State gives what the council knows. It is to be read only, until the next entry.
func (c *Council) State() *State { return &c.s }

// Snapshot gives the state as JSON; the same state gives the same bytes.
func (c *Council) Snapshot() ([]byte, error) { return json.Marshal(c.s) }

// Restore takes a snapshot in place of what was known.
func (c *Council) Restore(raw []byte) error {
	s := State{Seen: map[string]uint64{}}
	if err := decode(raw, &s); err != nil {
		return fmt.Errorf("snapshot of the council: %w", err)
	}
	c.s = s
	return nil
}

// Settled tells whether nobody can act any more on a version before the one in force.
func (s *State) Settled() bool {
	return !slices.ContainsFunc(s.Held, func(h Held) bool { return h.Acting })
}

// Apply takes the next entry of the log.
func (c *Council) Apply(e Entry) Outcome {
	before := c.s.InForce.Number
	var o Outcome
	switch e.Act {
	case Propose, Withdraw:
		for _, a := range c.s.Answered {
			if a.ID == e.ID {
				if a.Outcome.Again = true; a.Outcome.Waits != "" {
					a.Outcome.Waits = c.s.Waits()
				}
				return a.Outcome
			}
		}
		if e.ID == "" || len(e.ID) > mostName {
			return Outcome{Refused: fmt.Sprintf("id: it has 1 to %d bytes, not %d", mostName, len(e.ID))}
		}
		if e.Act == Propose {
			o = c.propose(e)
		} else {
			o = c.withdraw(e)
		}
	case Seen:
		if _, known := c.s.Seen[e.Host]; !known || e.Step > c.s.Step {
			return Outcome{Refused: fmt.Sprintf("host: %q is not one, or has not seen step %d", e.Host, e.Step)}
		}
		c.s.Seen[e.Host] = max(c.s.Seen[e.Host], e.Step)
		c.review(0)
	case SeenAll:
		if len(e.Hosts) > MostSeen {
			return Outcome{Refused: fmt.Sprintf("hosts: %d are more than %d", len(e.Hosts), MostSeen)}
		}
		taken := false // one that is no host any more does not keep the others out
		for _, h := range e.Hosts {
			if known, there := c.s.Seen[h.Host]; there && h.Step <= c.s.Step {
				c.s.Seen[h.Host], taken = max(known, h.Step), true
			}
		}
		if !taken {
			return Outcome{Refused: fmt.Sprintf("hosts: of %d none is one and has seen what was said", len(e.Hosts))}
		}
		c.review(0)
	case Passed:
		for i := range c.s.Held {
			if c.s.Held[i].Step == e.Step {
				c.s.Held[i].Acting = false
			}
		}
		if e.Fallbacks {
			c.s.Held = slices.DeleteFunc(c.s.Held, func(h Held) bool { return h.Step == e.Step })
			c.review(e.Step)
		} else {
			c.review(0)
		}
	default:
		return Outcome{Refused: fmt.Sprintf("act: %d is not known here", e.Act)}
	}
	if n := c.s.InForce.Number; n > before {
		o.InForce = n
	}
	if e.ID != "" {
		if len(c.s.Answered) == mostAnswers {
			c.s.Answered = slices.Delete(c.s.Answered, 0, 1)
		}
		c.s.Answered = append(c.s.Answered, Answer{e.ID, o})
	}
	return o
}

func (c *Council) propose(e Entry) Outcome {
	s := &c.s
	if e.Base != s.InForce.Number {
		return Outcome{Refused: fmt.Sprintf("base: version %d is not in force, %d is", e.Base, s.InForce.Number)}
	}
	if p := s.Pending; p != nil {
		return Outcome{Refused: fmt.Sprintf("base: proposal %q is agreed already and waits: %s", p.ID, s.Waits())}
	}
	if e.Rules == nil {
		return Outcome{Refused: "rules: there are none"}
	}
	err := Check(e.Rules)
	if err == nil && s.InForce.Number > 0 {
		err = Follows(e.Rules, &s.InForce.Rules)
	}
	for i := 0; i < len(s.Held) && err == nil; i++ {
		err = keep(e.Rules, s.Held[i].Stance)
	}
	if err != nil {
		return Outcome{Refused: err.Error()}
	}
	if len(s.Held) >= mostHeld {
		until := s.unseen(s.Held[0].Hosts, s.Held[0].Step)
		return Outcome{Refused: fmt.Sprintf("base: %d versions may be fallen back to still, until %s",
			len(s.Held), until)}
	}
	p := &Coming{Version: Version{s.InForce.Number + 1, *e.Rules}, ID: e.ID, Step: s.Step + 1}
	var held []Stance
	if s.InForce.Number > 0 {
		held = append(held, fallback(&s.InForce.Rules))
		p.Hosts, p.Lasts = hosts(s.InForce.Rules.Members), lasts(&s.InForce.Rules)
	}
	for _, h := range s.Held {
		held = append(held, h.Stance)
		p.Lasts = max(p.Lasts, h.Lasts)
		p.Hosts = union(p.Hosts, h.Hosts)
	}
	p.Contradicts, p.Mixes = Contradicts(held, e.Rules), Mixes(&s.InForce.Rules, e.Rules)
	s.Pending = p
	s.Step++
	c.review(0)
	return Outcome{Number: p.Version.Number, Waits: s.Waits()}
}

func (c *Council) withdraw(e Entry) Outcome {
	p := c.s.Pending
	if p == nil || e.Base != c.s.InForce.Number {
		return Outcome{Refused: fmt.Sprintf("base: nothing waits on top of version %d", e.Base)}
	}
	c.answer(p.ID, Outcome{Refused: "withdrawn"})
	c.s.Pending = nil
	c.s.Step++
	return Outcome{}
}

// Waits says what the pending version waits for; empty where there is none.
func (s *State) Waits() string {
	p := s.Pending
	switch {
	case p == nil:
		return ""
	case p.Contradicts != "":
		return fmt.Sprintf("fallbacks that may be held pass more of plan %s than it allows, until %s",
			p.Contradicts, s.unseen(p.Hosts, p.Step))
	default:
		for _, h := range s.Held {
			if h.Acting {
				return fmt.Sprintf("who goes by version %d still would pass too much of plan %s, until %s", h.Number,
					p.Mixes, s.unseen(h.Hosts, h.Step))
			}
		}
	}
	return "it is about to come in force"
}

// unseen names the hosts that have not said to go by what was said at a step.
func (s *State) unseen(hosts []string, step uint64) string {
	var late []string
	for _, h := range hosts {
		if s.Seen[h] < step {
			late = append(late, h)
		}
	}
	if more := len(late) - 3; more > 0 {
		return fmt.Sprintf("%v and %d more hosts have seen it, or its time is up", late[:3], more)
	}
	return fmt.Sprintf("%v have seen it, or its time is up", late)
}

// all tells whether all hosts have seen what was said at a step.
func (s *State) all(hosts []string, step uint64) bool {
	return !slices.ContainsFunc(hosts, func(h string) bool { return s.Seen[h] < step })
}

// review drops what can't be held any more and puts the pending version in force if nothing is in its way.
// passed is the step as of which time has run out for all fallbacks.
func (c *Council) review(passed uint64) {
	s := &c.s
	s.Held = slices.DeleteFunc(s.Held, func(h Held) bool { return s.all(h.Hosts, h.Step) })
	if p := s.Pending; p != nil {
		seen := s.all(p.Hosts, p.Step) || passed == p.Step
		if seen || p.Contradicts == "" && (p.Mixes == "" || s.Settled()) {
			c.enforce(seen)
		}
	}
	c.note()
}

// enforce puts the pending version in force. seen: whatever is held is of the version in force and is
// narrowed to what the pending one allows.
func (c *Council) enforce(seen bool) {
	s := &c.s
	p, old := s.Pending, &s.InForce
	s.Step++
	if old.Number > 0 {
		h := Held{Number: old.Number, Step: s.Step, Stance: fallback(&old.Rules), Hosts: hosts(old.Rules.Members),
			Acting: true, Bound: Bound(&old.Rules), Lasts: lasts(&old.Rules)}
		if seen {
			h.Stance, s.Held = h.Stance.narrowed(&p.Version.Rules), nil
		}
		s.Held = append(s.Held, h)
	}
	s.InForce, s.Pending = p.Version, nil
	c.answer(p.ID, Outcome{Number: p.Version.Number, InForce: p.Version.Number})
}

// answer sets what a proposal that waited has come to.
func (c *Council) answer(id string, o Outcome) {
	for i := range c.s.Answered {
		if c.s.Answered[i].ID == id {
			c.s.Answered[i].Outcome = o
		}
	}
}

// note keeps in sight the hosts that matter, and no others.
func (c *Council) note() {
	s := &c.s
	wanted := map[string]uint64{}
	keep := func(all []string) {
		for _, h := range all {
			wanted[h] = s.Seen[h]
		}
	}
	keep(hosts(s.InForce.Rules.Members))
	for _, h := range s.Held {
		keep(h.Hosts)
	}
	if s.Pending != nil {
		keep(s.Pending.Hosts)
	}
	s.Seen = wanted
}
