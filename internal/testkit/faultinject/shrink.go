package faultinject

import "slices"

// Shrink makes a schedule smaller that breaks something: it drops steps (delta debugging, Zeller and
// Hildebrandt 2002), then shortens those that are left, begins them earlier, takes figures out of their
// Shapes, and ends the span with the last of them. breaks plays a schedule and tells whether it still breaks;
// it is asked 200 times at most, in an order that hangs on nothing but its answers. What is given back has
// broken when it was last asked, or is s. A break that does not show each time is best asked for several
// times by breaks itself.
func Shrink(s Schedule, breaks func(Schedule) bool) Schedule {
	x := &shrinker{best: s, breaks: breaks, left: maxReplays}
	x.drop()
	for smaller := true; smaller && x.left > 0; {
		smaller = x.pull()
		for i := range x.best.Steps {
			smaller = x.step(i) || smaller
		}
		smaller = x.drop() || smaller
	}
	x.span()
	return x.best
}

type shrinker struct {
	best   Schedule
	breaks func(Schedule) bool
	left   int // replays
}

// attempt takes a schedule up that still breaks.
func (x *shrinker) attempt(s Schedule) bool {
	if x.left <= 0 || s.Check() != nil {
		return false
	}
	x.left--
	if !x.breaks(s) {
		return false
	}
	x.best = s
	return true
}

// drop drops runs of steps, half of all down to each alone.
func (x *shrinker) drop() (smaller bool) {
	for run := max(len(x.best.Steps)/2, 1); run > 0; run /= 2 {
		for i := 0; i < len(x.best.Steps); {
			s := x.best
			s.Steps = slices.Delete(slices.Clone(s.Steps), i, min(i+run, len(s.Steps)))
			if x.attempt(s) {
				smaller = true
			} else {
				i += run
			}
		}
	}
	return smaller
}

// pull begins the schedule with its first step.
func (x *shrinker) pull() bool {
	s := x.best
	s.Steps = slices.Clone(s.Steps)
	first := s.Span
	for _, step := range s.Steps {
		first = min(first, step.At)
	}
	for i := range s.Steps {
		s.Steps[i].At -= first
		s.Steps[i].Until -= first
	}
	return first > 0 && len(s.Steps) > 0 && x.attempt(s)
}

// change tries what a change makes of a step.
func (x *shrinker) change(i int, f func(*Step)) bool {
	s := x.best
	s.Steps = slices.Clone(s.Steps)
	f(&s.Steps[i])
	return s.Steps[i].String() != x.best.Steps[i].String() && x.attempt(s)
}

// step makes a step smaller: it goes as far as it can at once, else half the way, as long as that breaks.
func (x *shrinker) step(i int) (smaller bool) {
	long := func() int { return x.best.Steps[i].Until - x.best.Steps[i].At }
	for _, f := range []func(*Step){
		func(s *Step) { s.At, s.Until = 0, s.Until-s.At },
		func(s *Step) { s.At, s.Until = s.At/2, s.Until-s.At+s.At/2 },
		func(s *Step) { s.Until = s.At + min(long(), minStepMillis) },
		func(s *Step) { s.Until = s.At + max(long()/2, min(long(), minStepMillis)) },
		func(s *Step) { s.At = s.Until - max(long()/2, min(long(), minStepMillis)) },
		func(s *Step) { s.Shape.Loss = 0 },
		func(s *Step) { s.Shape.Double = 0 },
		func(s *Step) { s.Shape.Reorder, s.Shape.Back = 0, 0 },
		func(s *Step) { s.Shape.Delay = 0 },
		func(s *Step) { s.Shape.Jitter = 0 },
		func(s *Step) { s.Shape.Rate = 0 },
		func(s *Step) {
			if s.What == Splits {
				s.Whom = s.Whom[:max(len(s.Whom)/2, 1)]
			}
		},
		func(s *Step) {
			if s.What == Spoils {
				s.What, s.Damage = Crashes, Damage{}
			}
		},
	} {
		for x.change(i, f) {
			smaller = true
		}
	}
	return smaller
}

// span ends the schedule with its last step, and as long after it as it did.
func (x *shrinker) span() {
	last := func(s Schedule) (last int) {
		for _, step := range s.Steps {
			last = max(last, step.Until)
		}
		return last
	}
	s := x.best
	calm := int(float64(s.Span) * quietFraction)
	if s.Span = last(s) + calm; s.Span < x.best.Span {
		x.attempt(s)
	}
}
