package capacity

import (
	"fmt"
	"os"
	"slices"

	"willowdeck/internal/strictoml"
)

// Spec is what the operators state of the size that is coming, and which measurements are set beside it.
type Spec struct {
	Within float64 `toml:"within"` // part of a figure by which a line that foretells the next size may miss it

	Coming   map[string]float64 `toml:"coming"` // how many there will be, by name; see known
	Limits   []Limit            `toml:"limits"`
	Lines    []Line             `toml:"lines"`
	Refusals []Note             `toml:"refusals"`
}

// Limit is what the operators allow, or what the program itself has to keep.
type Limit struct {
	Name string  `toml:"name"`
	Unit string  `toml:"unit"`
	Most float64 `toml:"most"`
	By   string  `toml:"by"` // who says so: operators, program, assumed
	Why  string  `toml:"why"`
}

// Line is one need of one role. Its figure is measured over sizes, or worked out of what one element
// takes, or assumed.
type Line struct {
	Name     string `toml:"name"` // for Instead
	Role     string `toml:"role"`
	Resource string `toml:"resource"` // state, messages, bytes, processor, memory, descriptors, time
	What     string `toml:"what"`
	Carried  string `toml:"carried"` // the mechanism's name
	Event    string `toml:"event"`   // empty: it goes on all the time
	Touches  string `toml:"touches"` // of an event: which of the five rules and of the stated bounds
	From     string `toml:"from"`    // the role that was measured, where it is not Role
	Figure   string `toml:"figure"`
	Run      string `toml:"run"` // where the file has several of them; empty: the last one
	// AfterRun has the same figure after a mend that is none of relays; without Run it is the only one.
	AfterRun string   `toml:"after_run"`
	Over     string   `toml:"over"` // key of Coming by which the figure grows
	Times    float64  `toml:"times"`
	TimesIs  string   `toml:"times_is"`
	Unit     string   `toml:"unit"`    // in which it is told
	Limit    string   `toml:"limit"`   // name of a limit; empty: none is stated
	Way      string   `toml:"way"`     // how agreed rules are told: direct, relays; direct where none is named
	Instead  string   `toml:"instead"` // the line that this one takes the place of
	Of       string   `toml:"of"`      // the line that this one is a part of: it has no rank of its own
	If       string   `toml:"if"`      // it is needed only if
	Former   bool     `toml:"former"`  // relays do away with it; what runs with them have of it is for older instances
	Chart    bool     `toml:"chart"`
	Each     float64  `toml:"each"`   // worked out: of one element
	Offset   float64  `toml:"offset"` // and beside them
	Mark     string   `toml:"mark"`   // worked out or assumed, where there is no figure
	Why      string   `toml:"why"`
	Sum      []string `toml:"sum"` // or the sum of lines of these names, which come before it
}

// Note says of a bound what it means.
type Note struct {
	What   string `toml:"what"`
	Needed bool   `toml:"needed"` // by the coming size as it is planned; else only if
	Means  string `toml:"means"`
	After  string `toml:"after"` // what stands beside it once runs with relays are there, where it is needed no more
}

const gatekeeper = "gatekeeper" // a role

// The distributions: what was there before, and relays with all that came with them.
const (
	direct = "direct"
	relay  = "relays"

	// trial is direct with the check left out that refuses the size: what a gatekeeper would pay, and no more.
	trial = "direct-trial"
)

// known are the keys of Spec.Coming.
var known = []string{"gatekeepers", "workers", "services", "requests_per_s", "routes", "tenants", "regions",
	"zones", "zone_gatekeepers", "zone_workers", "region_gatekeepers", "region_workers", "changes_a_day",
	"restarts_a_day", "losses_a_day", "machines", "hosts", "per_host", "set", "customers_here",
	"drawn", "one"}

// roles in the order of the page.
var roles = []string{"front", gatekeeper, "host daemon", "zone relay", "region relay", "council daemon",
	"discovery", "fleet", "edge proxy", "agent", "core", "system"}

var resources = []string{"state", "messages", "bytes", "processor", "memory", "descriptors", "time"}

// events in the order of the page.
var events = []string{"the ordinary day", "a rack or switch goes", "a zone goes", "a zone comes back",
	"a region goes or comes back", "control wholly gone"}

var marks = []string{workedOut, "assumed"}

var sayers = []string{"operators", "program", "assumed"}

// ReadSpec reads and checks a file of limits. An error names the file, and the line or the key.
func ReadSpec(path string) (*Spec, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := DecodeSpec(string(raw))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// DecodeSpec does so with a file's text.
func DecodeSpec(text string) (*Spec, error) {
	s := &Spec{}
	if err := strictoml.Decode(text, s); err != nil {
		return nil, err
	}
	if !(s.Within > 0) || s.Within > 1 {
		return nil, fmt.Errorf("within: %v is not above 0 and at most 1", s.Within)
	}
	for _, key := range known {
		if !(s.Coming[key] > 0) {
			return nil, fmt.Errorf("coming.%s: %v is not above nought", key, s.Coming[key])
		}
	}
	for key := range s.Coming {
		if !slices.Contains(known, key) {
			return nil, fmt.Errorf("coming.%s: unknown key", key)
		}
	}
	for i, l := range s.Limits {
		switch {
		case l.Name == "" || s.limit(l.Name) != &s.Limits[i]:
			return nil, fmt.Errorf("limits[%d].name: %q is empty or there twice", i, l.Name)
		case !(l.Most > 0):
			return nil, fmt.Errorf("limits[%d].most: %v is not above nought", i, l.Most)
		case l.Unit == "":
			return nil, fmt.Errorf("limits[%d].unit: there is none", i)
		case !slices.Contains(sayers, l.By):
			return nil, fmt.Errorf("limits[%d].by: %q is none of %v", i, l.By, sayers)
		case l.By == "assumed" && l.Why == "":
			return nil, fmt.Errorf("limits[%d].why: it has to be there where by is assumed", i)
		}
	}
	seen := map[string]bool{}
	for i := range s.Lines {
		if err := s.check(&s.Lines[i], seen); err != nil {
			return nil, fmt.Errorf("lines[%d].%w", i, err)
		}
	}
	for i, n := range s.Refusals {
		if n.What == "" || !n.Needed && n.Means == "" {
			return nil, fmt.Errorf("refusals[%d].means: it has to be there for what is not needed", i)
		}
	}
	for i, l := range s.Lines {
		if l.Instead != "" && !seen[l.Instead] {
			return nil, fmt.Errorf("lines[%d].instead: there is no line %q", i, l.Instead)
		}
		if l.Of != "" && !seen[l.Of] {
			return nil, fmt.Errorf("lines[%d].of: there is no line %q", i, l.Of)
		}
	}
	return s, nil
}

func (s *Spec) limit(name string) *Limit {
	for i := range s.Limits {
		if s.Limits[i].Name == name {
			return &s.Limits[i]
		}
	}
	return nil
}

func (s *Spec) check(l *Line, seen map[string]bool) error {
	limit := s.limit(l.Limit)
	switch {
	case l.Name == "" || seen[l.Name]:
		return fmt.Errorf("name: %q is empty or there twice", l.Name)
	case !slices.Contains(roles, l.Role):
		return fmt.Errorf("role: %q is none of %v", l.Role, roles)
	case !slices.Contains(resources, l.Resource):
		return fmt.Errorf("resource: %q is none of %v", l.Resource, resources)
	case l.What == "":
		return fmt.Errorf("what: there is none")
	case l.Carried == "":
		return fmt.Errorf("carried: there is none")
	case l.Event != "" && !slices.Contains(events, l.Event):
		return fmt.Errorf("event: %q is none of %v", l.Event, events)
	case (l.Event != "") != (l.Touches != ""):
		return fmt.Errorf("touches: it goes with event, and only with it")
	case s.Coming[l.Over] == 0:
		return fmt.Errorf("over: %q is no key of coming", l.Over)
	case l.Unit == "":
		return fmt.Errorf("unit: there is none")
	case l.Limit != "" && limit == nil:
		return fmt.Errorf("limit: there is no limit %q", l.Limit)
	case limit != nil && limit.Unit != l.Unit:
		return fmt.Errorf("unit: %q is not the limit's, %q", l.Unit, limit.Unit)
	case l.Times < 0:
		return fmt.Errorf("times: %v is below nought", l.Times)
	case (l.Times != 0) != (l.TimesIs != ""):
		return fmt.Errorf("times_is: it goes with times, and only with it")
	case len(l.Sum) > 0 && (l.Figure != "" || l.Each != 0 || l.Offset != 0 || l.Mark != "" || l.Times != 0):
		return fmt.Errorf("sum: figure, each, offset, mark and times are for lines without one")
	case len(l.Sum) > 0 && slices.ContainsFunc(l.Sum, func(name string) bool { return !seen[name] }):
		return fmt.Errorf("sum: %q are not all lines before it", l.Sum)
	case l.Figure != "" && (l.Each != 0 || l.Offset != 0 || l.Mark != ""):
		return fmt.Errorf("figure: each, offset and mark are for lines without one")
	case len(l.Sum) > 0:
	case l.Figure == "" && !slices.Contains(marks, l.Mark):
		return fmt.Errorf("mark: %q is none of %v, and there is no figure", l.Mark, marks)
	case l.Figure == "" && l.Why == "":
		return fmt.Errorf("why: it has to be there where there is no figure")
	case l.Figure == "" && l.Each == 0 && l.Offset == 0:
		return fmt.Errorf("each: it or offset has to be there where there is no figure")
	}
	if l.Run == "" { // there is nothing from before
		l.Run = l.AfterRun
	}
	if l.Way == "" {
		l.Way = direct
	}
	if l.From == "" {
		l.From = l.Role
	}
	if l.Times == 0 {
		l.Times = 1
	}
	seen[l.Name] = true
	return nil
}
