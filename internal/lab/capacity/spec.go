package capacity

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"willowdeck/internal/strictoml"
)

// Spec is what the operators plan, what they allow, and which measurements are compared with it.
type Spec struct {
	Tolerance float64 `toml:"within"` // relative error that a linear prediction of the next size may have

	Planned  map[string]float64 `toml:"coming"` // planned numbers, by the names of plannedKeys
	Limits   []Limit            `toml:"limits"`
	Entries  []Entry            `toml:"lines"`
	Refusals []RefusalMeaning   `toml:"refusals"`
}

// Values of Limit.Source.
const (
	sourceOperators = "operators"
	sourceAssumed   = "assumed"
)

// Limit is what the operators allow, or a bound that the program itself has to keep.
type Limit struct {
	Name   string  `toml:"name"`
	Unit   string  `toml:"unit"`
	Max    float64 `toml:"most"`
	Source string  `toml:"by"` // one of limitSources
	Reason string  `toml:"why"`
}

// Entry is one need of one role. Its value is measured over sizes, or calculated from the cost of one
// element, or assumed, or the sum of other entries.
type Entry struct {
	Name          string `toml:"name"` // unique; other entries refer to it
	Role          string `toml:"role"`
	Resource      string `toml:"resource"` // one of resources
	What          string `toml:"what"`
	Mechanism     string `toml:"carried"` // the mechanism that causes the need
	Event         string `toml:"event"`   // one of events; empty where the need is permanent
	AffectedRules string `toml:"touches"` // the rules and bounds that the event affects
	MeasuredRole  string `toml:"from"`    // role of the measurement; Role by default
	Figure        string `toml:"figure"`  // name of the measured figure; may be empty
	Run           string `toml:"run"`     // name or name@commit of the measured run; by default the last one
	// AfterRun is the run that has the figure after a change other than relays. Without Run it is the only one.
	AfterRun            string   `toml:"after_run"`
	SizeKey             string   `toml:"over"`     // key of Spec.Planned with which the figure grows
	Multiplier          float64  `toml:"times"`    // factor of the measured value; 1 by default
	MultiplierReason    string   `toml:"times_is"` // what Multiplier stands for
	Unit                string   `toml:"unit"`     // unit of the value
	LimitName           string   `toml:"limit"`    // name of one of Spec.Limits; empty where none is stated
	Distribution        string   `toml:"way"`      // in the measured run: "direct" (default) or "relays"
	Replaces            string   `toml:"instead"`  // name of the entry that this one replaces
	PartOf              string   `toml:"of"`       // name of the entry that includes this one; it is not ranked
	Condition           string   `toml:"if"`       // under which alone the need arises; empty for always
	ObsoleteAfterChange bool     `toml:"former"`   // the change removes the need, whatever runs with it measured
	InChart             bool     `toml:"chart"`
	PerElement          float64  `toml:"each"`   // calculated: value for one element
	Offset              float64  `toml:"offset"` // calculated: value apart from the elements
	DeclaredBasis       string   `toml:"mark"`   // one of declaredBases, where there is no figure
	Reason              string   `toml:"why"`
	SumOf               []string `toml:"sum"` // names of entries before this one, whose sum it is
}

// RefusalMeaning says what it means that the program refuses a number.
type RefusalMeaning struct {
	What        string `toml:"what"`
	Needed      bool   `toml:"needed"` // by the planned sizes
	Meaning     string `toml:"means"`  // required where it is not needed
	AfterChange string `toml:"after"`  // shown in place of the result of runs with relays
}

const roleGatekeeper = "gatekeeper" // value of Entry.Role

// The ways of distributing rules: directly to each instance, and through relays.
const (
	distributionDirect = "direct"
	distributionRelays = "relays"

	// distributionTrial is direct, without the check that refuses the size: the cost to a gatekeeper alone.
	distributionTrial = "direct-trial"
)

// plannedKeys are the keys of Spec.Planned, in the order of the page.
var plannedKeys = []string{"gatekeepers", "workers", "services", "requests_per_s", "routes", "tenants",
	"regions",
	"zones", "zone_gatekeepers", "zone_workers", "region_gatekeepers", "region_workers", "changes_a_day",
	"restarts_a_day", "losses_a_day", "machines", "hosts", "per_host", "set", "customers_here",
	"drawn", "one"}

// roles in the order of the page.
var roles = []string{"front", roleGatekeeper, "host daemon", "zone relay", "region relay", "council daemon",
	"discovery", "fleet", "edge proxy", "agent", "core", "system"}

var resources = []string{"state", "messages", "bytes", "processor", "memory", "descriptors", "time"}

// events in the order of the page.
var events = []string{"the ordinary day", "a rack or switch goes", "a zone goes", "a zone comes back",
	"a region goes or comes back", "control wholly gone"}

var declaredBases = []string{basisCalculated, basisAssumed}

var limitSources = []string{sourceOperators, "program", sourceAssumed}

// ReadSpec reads and checks a file of limits. An error names the file, and the line or the key.
func ReadSpec(path string) (*Spec, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	spec, err := DecodeSpec(string(raw))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return spec, nil
}

// DecodeSpec decodes and checks the text of a spec, and fills in the defaults. An error names the line or the
// key.
func DecodeSpec(text string) (*Spec, error) {
	spec := &Spec{}
	if err := strictoml.Decode(text, spec); err != nil {
		return nil, err
	}
	if err := spec.checkNumbers(); err != nil {
		return nil, err
	}
	if err := spec.checkLimits(); err != nil {
		return nil, err
	}
	names := map[string]bool{}
	for i := range spec.Entries {
		if err := spec.checkEntry(&spec.Entries[i], names); err != nil {
			return nil, fmt.Errorf("lines[%d].%w", i, err)
		}
	}
	for i, note := range spec.Refusals {
		if note.What == "" || !note.Needed && note.Meaning == "" {
			return nil, fmt.Errorf("refusals[%d].means: it has to be there for what is not needed", i)
		}
	}
	for i, entry := range spec.Entries {
		if entry.Replaces != "" && !names[entry.Replaces] {
			return nil, fmt.Errorf("lines[%d].instead: there is no line %q", i, entry.Replaces)
		}
		if entry.PartOf != "" && !names[entry.PartOf] {
			return nil, fmt.Errorf("lines[%d].of: there is no line %q", i, entry.PartOf)
		}
	}
	return spec, nil
}

// checkNumbers checks the tolerance and the planned numbers.
func (s *Spec) checkNumbers() error {
	if !(s.Tolerance > 0) || s.Tolerance > 1 {
		return fmt.Errorf("within: %v is not above 0 and at most 1", s.Tolerance)
	}
	for _, key := range plannedKeys {
		if !(s.Planned[key] > 0) {
			return fmt.Errorf("coming.%s: %v is not above zero", key, s.Planned[key])
		}
	}
	for key := range s.Planned {
		if !slices.Contains(plannedKeys, key) {
			return fmt.Errorf("coming.%s: unknown key", key)
		}
	}
	return nil
}

// checkLimits checks the limits; their names have to be unique.
func (s *Spec) checkLimits() error {
	for i, limit := range s.Limits {
		switch {
		case limit.Name == "" || s.limit(limit.Name) != &s.Limits[i]:
			return fmt.Errorf("limits[%d].name: %q is empty or a duplicate", i, limit.Name)
		case !(limit.Max > 0):
			return fmt.Errorf("limits[%d].most: %v is not above zero", i, limit.Max)
		case limit.Unit == "":
			return fmt.Errorf("limits[%d].unit: it is missing", i)
		case !slices.Contains(limitSources, limit.Source):
			return fmt.Errorf("limits[%d].by: %q is none of %v", i, limit.Source, limitSources)
		case limit.Source == sourceAssumed && limit.Reason == "":
			return fmt.Errorf("limits[%d].why: it has to be there where by is assumed", i)
		}
	}
	return nil
}

// limit returns the limit of a name, or nil.
func (s *Spec) limit(name string) *Limit {
	for i := range s.Limits {
		if s.Limits[i].Name == name {
			return &s.Limits[i]
		}
	}
	return nil
}

// checkEntry checks an entry, fills in its defaults, and adds its name to those of the entries before it.
func (s *Spec) checkEntry(entry *Entry, names map[string]bool) error {
	for _, check := range []func() error{
		func() error { return entry.checkDescription(names) },
		func() error { return s.checkLimitAndSize(entry) },
		func() error { return entry.checkValue(names) },
	} {
		if err := check(); err != nil {
			return err
		}
	}
	if entry.Run == "" { // no run precedes the change
		entry.Run = entry.AfterRun
	}
	if entry.Distribution == "" {
		entry.Distribution = distributionDirect
	}
	if entry.MeasuredRole == "" {
		entry.MeasuredRole = entry.Role
	}
	if entry.Multiplier == 0 {
		entry.Multiplier = 1
	}
	names[entry.Name] = true
	return nil
}

// checkDescription checks the fields that say what is needed, by whom and when.
func (e *Entry) checkDescription(names map[string]bool) error {
	switch {
	case e.Name == "" || names[e.Name]:
		return fmt.Errorf("name: %q is empty or a duplicate", e.Name)
	case !slices.Contains(roles, e.Role):
		return fmt.Errorf("role: %q is none of %v", e.Role, roles)
	case !slices.Contains(resources, e.Resource):
		return fmt.Errorf("resource: %q is none of %v", e.Resource, resources)
	case e.What == "":
		return errors.New("what: it is missing")
	case e.Mechanism == "":
		return errors.New("carried: it is missing")
	case e.Event != "" && !slices.Contains(events, e.Event):
		return fmt.Errorf("event: %q is none of %v", e.Event, events)
	case (e.Event != "") != (e.AffectedRules != ""):
		return errors.New("touches: it goes with event, and only with it")
	}
	return nil
}

// checkLimitAndSize checks the planned number, the unit, the limit and the multiplier.
func (s *Spec) checkLimitAndSize(entry *Entry) error {
	limit := s.limit(entry.LimitName)
	switch {
	case s.Planned[entry.SizeKey] == 0:
		return fmt.Errorf("over: %q is no key of coming", entry.SizeKey)
	case entry.Unit == "":
		return errors.New("unit: it is missing")
	case entry.LimitName != "" && limit == nil:
		return fmt.Errorf("limit: there is no limit %q", entry.LimitName)
	case limit != nil && limit.Unit != entry.Unit:
		return fmt.Errorf("unit: %q is not the limit's, %q", entry.Unit, limit.Unit)
	case entry.Multiplier < 0:
		return fmt.Errorf("times: %v is below zero", entry.Multiplier)
	case (entry.Multiplier != 0) != (entry.MultiplierReason != ""):
		return errors.New("times_is: it goes with times, and only with it")
	}
	return nil
}

// checkValue checks that the value is exactly one of measured, a sum, and calculated or assumed.
func (e *Entry) checkValue(names map[string]bool) error {
	calculated := e.PerElement != 0 || e.Offset != 0
	unknown := func(name string) bool { return !names[name] }
	switch {
	case len(e.SumOf) > 0 && (e.Figure != "" || calculated || e.DeclaredBasis != "" || e.Multiplier != 0):
		return errors.New("sum: figure, each, offset, mark and times are for lines without one")
	case len(e.SumOf) > 0 && slices.ContainsFunc(e.SumOf, unknown):
		return fmt.Errorf("sum: %q are not all lines before it", e.SumOf)
	case e.Figure != "" && (calculated || e.DeclaredBasis != ""):
		return errors.New("figure: each, offset and mark are for lines without one")
	case len(e.SumOf) > 0 || e.Figure != "":
		return nil
	case !slices.Contains(declaredBases, e.DeclaredBasis):
		return fmt.Errorf("mark: %q is none of %v, and there is no figure", e.DeclaredBasis, declaredBases)
	case e.Reason == "":
		return errors.New("why: it has to be there where there is no figure")
	case !calculated:
		return errors.New("each: it or offset has to be there where there is no figure")
	}
	return nil
}
