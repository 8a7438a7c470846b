package faultinject

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Verb names what an Act does.
type Verb string

// The verbs.
const (
	Sever   Verb = "cut"     // Whom to To, as How says
	Heal    Verb = "heal"    // Whom to To
	Bend    Verb = "shape"   // Whom to To, as Shape says
	Halt    Verb = "stall"   // Whom
	Go      Verb = "resume"  // Whom
	Crash   Verb = "crash"   // Whom
	Spoil   Verb = "spoil"   // Whom's disk, as Damage says, while it is down
	Restart Verb = "restart" // Whom
	Bound   Verb = "room"    // Whom's files may get as long as Room; zero is no bound
)

// Act is one thing that is done at a moment.
type Act struct {
	At             int // ms from the schedule's start
	Do             Verb
	Whom, To       string
	How            Cut
	Shape          Shape
	Damage         Damage
	FileLimitBytes int64
}

// String returns the act as one line.
func (a Act) String() string {
	s := fmt.Sprintf("%d ms: %s %s", a.At, a.Do, a.Whom)
	if a.To != "" {
		s += " to " + a.To
	}
	switch a.Do {
	case Sever:
		s += ", " + a.How.String()
	case Bend:
		s += ", " + cmp.Or(a.Shape.String(), "plain")
	case Spoil:
		s += fmt.Sprintf(", %s, %d bytes, seed %d", a.Damage.What, a.Damage.Bytes, a.Damage.Seed)
	case Bound:
		s += fmt.Sprintf(", %d bytes", a.FileLimitBytes)
	}
	return s
}

// link is a direction by its ends.
type link struct{ from, to string }

func (l link) compare(m link) int {
	return cmp.Or(cmp.Compare(l.from, m.from), cmp.Compare(l.to, m.to))
}

// processState is the faults of a process at a moment.
type processState struct {
	down, stalled  bool
	fileLimitBytes int64
	damage         []Damage // that begins now
}

// faultState is all faults at a moment. What it does not name has none.
type faultState struct {
	cuts      map[link]Cut
	shapes    map[link]Shape
	processes map[string]processState
}

// at returns the faults at a moment in milliseconds. Of steps that overlap, the worst cut applies, the
// smallest file limit, and the Shape of the one that began last. A step applies from At until just before
// Until.
func (s *Schedule) at(now int) faultState {
	t := faultState{map[link]Cut{}, map[link]Shape{}, map[string]processState{}}
	began := map[link]int{}
	for _, step := range s.Steps {
		if now < step.At || now >= step.Until {
			continue
		}
		p := t.processes[step.Whom[0]]
		switch step.What {
		case Cuts, Parts, Splits:
			t.cut(step, s.Ends)
		case Shapes:
			l := link{step.Whom[0], step.Whom[1]}
			if step.At >= began[l] {
				began[l], t.shapes[l] = step.At, step.Shape
			}
		case Stalls:
			p.stalled = true
		case Crashes:
			p.down = true
		case Spoils:
			if p.down = true; step.At == now {
				p.damage = append(p.damage, step.Damage)
			}
		case Fills:
			if p.fileLimitBytes == 0 || step.FileLimitBytes < p.fileLimitBytes {
				p.fileLimitBytes = step.FileLimitBytes
			}
		}
		if p.down || p.stalled || p.fileLimitBytes > 0 {
			t.processes[step.Whom[0]] = p
		}
	}
	return t
}

// cut cuts the directions that a step names, of which the ends are all there are. The worst cut holds.
func (t *faultState) cut(step Step, ends []string) {
	cut := func(from, to string) { t.cuts[link{from, to}] = max(t.cuts[link{from, to}], step.How) }
	switch step.What {
	case Cuts:
		cut(step.Whom[0], step.Whom[1])
	case Parts:
		cut(step.Whom[0], step.Whom[1])
		cut(step.Whom[1], step.Whom[0])
	case Splits:
		for _, inside := range step.Whom {
			for _, outside := range ends {
				if !slices.Contains(step.Whom, outside) {
					cut(inside, outside)
					cut(outside, inside)
				}
			}
		}
	}
}

// transition returns the acts that lead from one fault state to another. Their order depends on nothing else:
// links first, then processes, by name.
func transition(old, now faultState, at int) (all []Act) {
	for _, l := range slices.SortedFunc(maps.Keys(union(old.cuts, now.cuts)), link.compare) {
		if how := now.cuts[l]; how == old.cuts[l] {
			continue
		} else if how == Connected {
			all = append(all, Act{At: at, Do: Heal, Whom: l.from, To: l.to})
		} else {
			all = append(all, Act{At: at, Do: Sever, Whom: l.from, To: l.to, How: how})
		}
	}
	for _, l := range slices.SortedFunc(maps.Keys(union(old.shapes, now.shapes)), link.compare) {
		if old.shapes[l] != now.shapes[l] {
			all = append(all, Act{At: at, Do: Bend, Whom: l.from, To: l.to, Shape: now.shapes[l]})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(union(old.processes, now.processes))) {
		o, p := old.processes[name], now.processes[name]
		do := func(a Act) {
			a.At, a.Whom = at, name
			all = append(all, a)
		}
		if o.stalled && !p.stalled && !o.down {
			do(Act{Do: Go})
		}
		if p.down && !o.down {
			do(Act{Do: Crash})
		}
		for _, d := range p.damage {
			do(Act{Do: Spoil, Damage: d})
		}
		if p.fileLimitBytes != o.fileLimitBytes {
			do(Act{Do: Bound, FileLimitBytes: p.fileLimitBytes})
		}
		if o.down && !p.down {
			do(Act{Do: Restart})
		}
		if p.stalled && !p.down && (!o.stalled || o.down) {
			do(Act{Do: Halt})
		}
	}
	return all
}

func union[K comparable, V any](a, b map[K]V) map[K]V {
	all := map[K]V{}
	maps.Copy(all, a)
	maps.Copy(all, b)
	return all
}

// moments returns the times at which anything changes, ascending.
func (s *Schedule) moments() (all []int) {
	for _, step := range s.Steps {
		all = append(all, step.At, step.Until)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Acts returns all acts of the schedule in their order. Steps may overlap: what two of them break is repaired
// when both are over, and after the last act nothing is broken.
func (s *Schedule) Acts() (all []Act) {
	var old faultState
	for _, at := range s.moments() {
		now := s.at(at)
		all = append(all, transition(old, now, at)...)
		old = now
	}
	return all
}

// undo returns the acts that repair everything after the schedule was played up to a moment.
func (s *Schedule) undo(at int) []Act { return transition(s.at(at), faultState{}, at) }
