package faultinject

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"time"

	"willowdeck/internal/strictoml"
)

// Kind is what a step of a schedule does.
type Kind string

// The kinds, with whom they name.
const (
	Cuts    Kind = "cut"   // from, to: one direction, as How says
	Parts   Kind = "part"  // two: both directions between them
	Splits  Kind = "split" // one or more: both directions between each of them and each other end
	Shapes  Kind = "shape" // from, to: one direction, as Shape says
	Stalls  Kind = "stall" // a process stands still
	Crashes Kind = "crash" // a process is killed, and started again when the step ends
	Spoils  Kind = "spoil" // the same, and its disk is spoilt between, as Damage says
	Fills   Kind = "full"  // a process's files may get no longer than Room
)

// kinds has all, in the order in which a draw counts them.
var kinds = []Kind{Cuts, Parts, Splits, Shapes, Stalls, Crashes, Spoils, Fills}

// Step is a fault and its end.
type Step struct {
	At, Until      int // ms from the schedule's start; the fault is undone at Until
	What           Kind
	Whom           []string
	How            Cut    // of cuts, parts and splits
	Shape          Shape  // of shapes
	Damage         Damage // of spoils
	FileLimitBytes int64  `toml:"room"` // bytes, of full
}

// Schedule is what breaks and when, as data.
type Schedule struct {
	Seed  int64 // it was drawn by, and whatever else is drawn in the run it is played in
	Span  int   // ms; all faults are over by then
	Ends  []string
	Steps []Step
}

// Cast is who a schedule may name.
type Cast struct {
	Ends      []string // of links
	Processes []string
	Disks     []string // processes with a store
	Kinds     []Kind   // wanted; all that the cast has whom for where empty
	Steps     int      // how many
}

// Draw makes a schedule from a seed: the same of the same. Its last fifth is without faults.
func Draw(seed int64, c Cast, span int) Schedule {
	rng := rand.New(rand.NewSource(seed))
	s := Schedule{Seed: seed, Span: span, Ends: slices.Clone(c.Ends)}
	wanted := c.Kinds
	if len(wanted) == 0 {
		wanted = kinds
	}
	var able []Kind
	for _, k := range wanted {
		if least := map[Kind]int{Cuts: 2, Parts: 2, Splits: 2, Shapes: 2}[k]; len(c.whom(k)) >= max(least, 1) {
			able = append(able, k)
		}
	}
	last := int(float64(span) * (1 - quietFraction))
	if last <= minStepMillis {
		return s
	}
	for range c.Steps {
		if len(able) == 0 {
			break
		}
		step := Step{What: able[rng.Intn(len(able))], At: rng.Intn(last - minStepMillis)}
		long := rng.ExpFloat64() * float64(span) * meanStepFraction
		step.Until = min(step.At+minStepMillis+int(long), last)
		step.draw(rng, c.whom(step.What))
		s.Steps = append(s.Steps, step)
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return a.At - b.At })
	return s
}

// whom gives whom a kind may name.
func (c *Cast) whom(k Kind) []string {
	switch k {
	case Cuts, Parts, Splits, Shapes:
		return c.Ends
	case Spoils, Fills:
		return c.Disks
	default:
		return c.Processes
	}
}

func (s *Step) draw(rng *rand.Rand, from []string) {
	n := 1
	switch s.What {
	case Cuts, Parts, Shapes:
		n = 2
	case Splits:
		n = 1 + rng.Intn(len(from)/2)
	}
	for _, i := range rng.Perm(len(from))[:n] {
		s.Whom = append(s.Whom, from[i])
	}
	switch s.What {
	case Cuts, Parts, Splits:
		s.How = []Cut{Silent, Silent, Reset, Refused}[rng.Intn(4)]
	case Shapes:
		// Figures are of few digits, so that they print well. A link has one or more of these.
		pick := 1 + rng.Intn(1<<5-1)
		has := func(bit int) bool { return pick&(1<<bit) != 0 }
		chance := func(most float64) float64 { return math.Round(rng.Float64()*most*100) / 100 }
		if has(0) {
			s.Shape.Loss = chance(0.5)
		}
		if has(1) {
			s.Shape.Double = chance(0.3)
		}
		if has(2) {
			s.Shape.Reorder = chance(0.3)
			s.Shape.Back = time.Duration(10+rng.Intn(500)) * time.Millisecond
		}
		if has(3) {
			s.Shape.Delay = time.Duration(rng.Intn(300)) * time.Millisecond
			s.Shape.Jitter = time.Duration(rng.Intn(100)) * time.Millisecond
		}
		if has(4) {
			s.Shape.Rate = float64(1+rng.Intn(64)) * 1024
		}
	case Spoils:
		s.Damage = Damage{What: damages[rng.Intn(len(damages))], Bytes: int64(1 + rng.Intn(600)),
			Seed: rng.Int63n(1e6)}
	case Fills:
		s.FileLimitBytes = int64(rng.Intn(64)) * 1024
		s.FileLimitBytes = max(s.FileLimitBytes, 1) // nought would be no bound
	}
}

// Check finds what is wrong with a schedule.
func (s *Schedule) Check() error {
	for _, name := range s.Ends {
		if !plain(name) {
			return fmt.Errorf("ends: %q is no name", name)
		}
	}
	for i := range s.Steps {
		if err := s.check(&s.Steps[i]); err != nil {
			return fmt.Errorf("steps[%d]: %w", i, err)
		}
	}
	return nil
}

// plain tells whether a name prints as it is.
func plain(name string) bool { return name != "" && strconv.Quote(name) == `"`+name+`"` }

func (s *Schedule) check(step *Step) error {
	if step.At < 0 || step.Until <= step.At || step.Until > s.Span {
		return fmt.Errorf("at %d, until %d of a span of %d", step.At, step.Until, s.Span)
	}
	if err := s.checkNames(step); err != nil {
		return err
	}
	switch step.What {
	case Cuts, Parts, Splits:
		if step.How == Connected {
			return errors.New("how is missing")
		}
	case Shapes:
		return step.Shape.check()
	case Spoils:
		if !slices.Contains(damages, step.Damage.What) || step.Damage.Bytes < 0 {
			return fmt.Errorf("damage: %q of %d bytes", step.Damage.What, step.Damage.Bytes)
		}
	case Fills:
		if step.FileLimitBytes <= 0 {
			return fmt.Errorf("room: %d bytes", step.FileLimitBytes)
		}
	case Stalls, Crashes:
	default:
		return fmt.Errorf("what: %q is unknown", step.What)
	}
	return nil
}

// checkNames checks the names of whom a step is about.
func (s *Schedule) checkNames(step *Step) error {
	least, most := 1, 1
	switch step.What {
	case Cuts, Parts, Shapes:
		least, most = 2, 2
	case Splits:
		most = len(s.Ends) - 1
	}
	if n := len(step.Whom); n < least || n > most {
		return fmt.Errorf("whom: %d names for %s", n, step.What)
	}
	for i, name := range step.Whom {
		if !plain(name) || slices.Contains(step.Whom[:i], name) {
			return fmt.Errorf("whom: %q is no name or there twice", name)
		}
		if !slices.Contains(s.Ends, name) && slices.Contains([]Kind{Cuts, Parts, Splits, Shapes}, step.What) {
			return fmt.Errorf("whom: %q is no end", name)
		}
	}
	return nil
}

// check checks the figures of a link's shape.
func (shape *Shape) check() error {
	for _, chance := range []float64{shape.Loss, shape.Double, shape.Reorder} {
		if !(chance >= 0 && chance <= 1) {
			return fmt.Errorf("shape: a chance of %v", chance)
		}
	}
	if min(shape.Back, shape.Delay, shape.Jitter) < 0 || !(shape.Rate >= 0) || math.IsInf(shape.Rate, 1) {
		return errors.New("shape: a figure below nought or without bound")
	}
	return nil
}

// String gives the schedule as TOML, a step a line. Parse reads it.
func (s Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed = %d\nspan = %d\nends = [%s]\nsteps = [\n", s.Seed, s.Span, quoted(s.Ends))
	for _, step := range s.Steps {
		fmt.Fprintf(&b, "  %s,\n", step)
	}
	b.WriteString("]\n")
	return b.String()
}

// String gives the step as a TOML table in one line.
func (s Step) String() string {
	b := fmt.Sprintf("{at = %d, until = %d, what = %q, whom = [%s]", s.At, s.Until, s.What, quoted(s.Whom))
	if s.How != Connected {
		b += fmt.Sprintf(", how = %q", s.How)
	}
	if s.Shape != (Shape{}) {
		b += ", shape = {" + s.Shape.String() + "}"
	}
	if d := s.Damage; d != (Damage{}) {
		b += fmt.Sprintf(", damage = {what = %q, bytes = %d, seed = %d}", d.What, d.Bytes, d.Seed)
	}
	if s.FileLimitBytes != 0 {
		b += fmt.Sprintf(", room = %d", s.FileLimitBytes)
	}
	return b + "}"
}

// String gives what a Shape has beside its zero value, as TOML.
func (shape Shape) String() string {
	var all []string
	for _, f := range []struct {
		name string
		v    float64
	}{{"loss", shape.Loss}, {"double", shape.Double}, {"reorder", shape.Reorder}, {"rate", shape.Rate}} {
		if f.v != 0 {
			all = append(all, f.name+" = "+strconv.FormatFloat(f.v, 'g', -1, 64))
		}
	}
	for _, f := range []struct {
		name string
		v    time.Duration
	}{{"back", shape.Back}, {"delay", shape.Delay}, {"jitter", shape.Jitter}} {
		if f.v != 0 {
			all = append(all, fmt.Sprintf("%s = %q", f.name, f.v))
		}
	}
	return strings.Join(all, ", ")
}

func quoted(names []string) string {
	var all []string
	for _, n := range names {
		all = append(all, strconv.Quote(n))
	}
	return strings.Join(all, ", ")
}

// Parse reads what String has written, or a schedule written by hand, and checks it. An error names the key.
func Parse(text string) (Schedule, error) {
	var s Schedule
	if err := strictoml.Decode(text, &s); err != nil {
		return s, err
	}
	return s, s.Check()
}

// UnmarshalText reads a cut's name.
func (c *Cut) UnmarshalText(text []byte) error {
	i := slices.Index(cutNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("how: %q is unknown", text)
	}
	*c = Cut(i)
	return nil
}
