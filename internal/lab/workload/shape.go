package workload

import (
	"fmt"
	"math"
)

// Shape changes the offered load over a period.
type Shape struct {
	Kind       string // one of ShapeKinds
	FromMillis float64
	ToMillis   float64 // exclusive
	Factor     float64 // of the rate, at its peak
	Group      int     // index of the affected group; all where it is negative
	Customers  int     // greedy, shift: how many customers are affected, the first of the group
}

// The kinds of shapes.
const (
	shapeSteady = "steady"
	shapeSurge  = "surge"
	shapeGreedy = "greedy"
	shapeShift  = "shift"
)

// ShapeKinds are the kinds of shapes, with what each does.
var ShapeKinds = map[string]string{
	shapeSteady: "the rate times factor all along",
	shapeSurge:  "up to factor by the middle, and back: a daily peak",
	shapeGreedy: "a few customers ask factor times as much",
	shapeShift:  "a few customers' transactions all come through one gatekeeper of their set",
}

// factorAt returns the factor of the rate of a member of a group at a time.
func (s *Shape) factorAt(group, customer int, atMillis float64) float64 {
	if atMillis < s.FromMillis || atMillis >= s.ToMillis || s.Group >= 0 && s.Group != group {
		return 1
	}
	switch s.Kind {
	case shapeSteady:
		return s.Factor
	case shapeSurge:
		return 1 + (s.Factor-1)*math.Sin(math.Pi*(atMillis-s.FromMillis)/(s.ToMillis-s.FromMillis))
	case shapeGreedy:
		if customer < s.Customers {
			return s.Factor
		}
	}
	return 1
}

// shifts reports whether a shape sends all transactions of a member of a group to one instance at a time.
func (s *Shape) shifts(group, member int, atMillis float64) bool {
	return s.Kind == shapeShift && atMillis >= s.FromMillis && atMillis < s.ToMillis &&
		member < s.Customers && (s.Group < 0 || s.Group == group)
}

// Validate returns an error that names the first invalid field by its key in a scenario.
func (s *Shape) Validate(groups []Group) error {
	_, known := ShapeKinds[s.Kind]
	switch {
	case !known:
		return fmt.Errorf("kind: %q is unknown", s.Kind)
	case !(s.ToMillis > s.FromMillis) || s.FromMillis < 0:
		return fmt.Errorf("to_s: %v is not after from_s", s.ToMillis/1000)
	case !(s.Factor > 0) || s.Factor > 1000:
		return fmt.Errorf("factor: %v is not above 0, or over 1000", s.Factor)
	case s.Group >= len(groups):
		return fmt.Errorf("group: there is no %d", s.Group)
	case s.Customers < 0:
		return fmt.Errorf("customers: %d is below zero", s.Customers)
	}
	return nil
}
