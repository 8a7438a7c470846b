package faultinject

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Verb is what an Act has a Stage do.
type Verb string

// The verbs.
const (
	Sever   Verb = "cut"     // Whom to To, as How says
	Mend    Verb = "heal"    // Whom to To
	Bend    Verb = "shape"   // Whom to To, as Shape says
	Halt    Verb = "stall"   // Whom
	Go      Verb = "resume"  // Whom
	Crash   Verb = "crash"   // Whom
	Spoil   Verb = "spoil"   // Whom's disk, as Damage says, while it is down
	Restart Verb = "restart" // Whom
	Bound   Verb = "room"    // Whom's files may get as long as Room; nought is no bound
)

// Act is one thing that is done at a moment.
type Act struct {
	At       int // ms from the schedule's start
	Do       Verb
	Whom, To string
	How      Cut
	Shape    Shape
	Damage   Damage
	Room     int64
}

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
		s += fmt.Sprintf(", %d bytes", a.Room)
	}
	return s
}

// link is a direction by its ends.
type link struct{ from, to string }

func (l link) compare(m link) int {
	return cmp.Or(cmp.Compare(l.from, m.from), cmp.Compare(l.to, m.to))
}

// plight is what is wrong with a process.
type plight struct {
	down, stalled bool
	room          int64
	damage        []Damage // that begins now
}

// trouble is all that is wrong at a moment. What is not there is well.
type trouble struct {
	cuts   map[link]Cut
	shapes map[link]Shape
	of     map[string]plight
}

// at gives what is wrong at a moment: of steps that overlap the worst cut holds, the least room, and the
// Shape of the one that began last. A step holds from At until just before Until.
func (s *Schedule) at(now int) trouble {
	t := trouble{map[link]Cut{}, map[link]Shape{}, map[string]plight{}}
	began := map[link]int{}
	for _, step := range s.Steps {
		if now < step.At || now >= step.Until {
			continue
		}
		cut := func(a, b string) { t.cuts[link{a, b}] = max(t.cuts[link{a, b}], step.How) }
		p := t.of[step.Whom[0]]
		switch step.What {
		case Cuts:
			cut(step.Whom[0], step.Whom[1])
		case Parts:
			cut(step.Whom[0], step.Whom[1])
			cut(step.Whom[1], step.Whom[0])
		case Splits:
			for _, a := range step.Whom {
				for _, b := range s.Ends {
					if !slices.Contains(step.Whom, b) {
						cut(a, b)
						cut(b, a)
					}
				}
			}
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
			if p.room == 0 || step.Room < p.room {
				p.room = step.Room
			}
		}
		if p.down || p.stalled || p.room > 0 {
			t.of[step.Whom[0]] = p
		}
	}
	return t
}

// turn gives what leads from one trouble to another, in an order that hangs on nothing but these: links
// first, then processes, by name.
func turn(old, now trouble, at int) (all []Act) {
	for _, l := range slices.SortedFunc(maps.Keys(both(old.cuts, now.cuts)), link.compare) {
		if how := now.cuts[l]; how == old.cuts[l] {
			continue
		} else if how == Whole {
			all = append(all, Act{At: at, Do: Mend, Whom: l.from, To: l.to})
		} else {
			all = append(all, Act{At: at, Do: Sever, Whom: l.from, To: l.to, How: how})
		}
	}
	for _, l := range slices.SortedFunc(maps.Keys(both(old.shapes, now.shapes)), link.compare) {
		if old.shapes[l] != now.shapes[l] {
			all = append(all, Act{At: at, Do: Bend, Whom: l.from, To: l.to, Shape: now.shapes[l]})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(both(old.of, now.of))) {
		o, p := old.of[name], now.of[name]
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
		if p.room != o.room {
			do(Act{Do: Bound, Room: p.room})
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

func both[K comparable, V any](a, b map[K]V) map[K]V {
	all := map[K]V{}
	maps.Copy(all, a)
	maps.Copy(all, b)
	return all
}

// moments gives when anything changes.
func (s *Schedule) moments() (all []int) {
	for _, step := range s.Steps {
		all = append(all, step.At, step.Until)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Acts gives all that is done, in its order. Steps may overlap: what two of them break is whole when both are
// over, and after the last act all is.
func (s *Schedule) Acts() (all []Act) {
	var old trouble
	for _, at := range s.moments() {
		now := s.at(at)
		all = append(all, turn(old, now, at)...)
		old = now
	}
	return all
}

// undo gives what is to be done for all to be whole, had the schedule been played up to a moment.
func (s *Schedule) undo(at int) []Act { return turn(s.at(at), trouble{}, at) }
