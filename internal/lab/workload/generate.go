// Package workload plans arrivals of txns ahead of time: from customers and shapes, or from a recorded trace.
// The emulator and the load generator play the same plans.
package workload

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
)

// Arrival is one txn as its client means to send it.
type Arrival struct {
	At       float64 // ms from the start
	Customer int
	Plan     int
	Product  int
	Units    float64
	Set      int // where in its customer's set it goes: a number that is taken modulo the set's size
}

// Group is a number of customers alike.
type Group struct {
	Plan, Customers int
	Rate            float64   // txns a second that each asks for, before shapes
	Products        []float64 // weights of the products
	Units           float64   // units of a txn at most; each is drawn from 1 to it
	Spread          int       // gatekeepers of a customer's set
	Skew            float64   // how unevenly its txns come through them, by Zipf's law; 0 is evenly
}

// stays is how long the gatekeepers that a customer's txns come through most stay the same, ms.
const stays = 12000

// places gives the running sums of the weights of a set's places, or nil where all are alike.
func (g *Group) places() []float64 {
	if g.Skew <= 0 || g.Spread < 2 {
		return nil
	}
	sums, sum := make([]float64, g.Spread), 0.0
	for i := range sums {
		sum += math.Pow(float64(i+1), -g.Skew)
		sums[i] = sum
	}
	return sums
}

// place draws a place by its weight; the first in weight moves on every so often.
func place(sums []float64, set, number int, at float64) int {
	n := len(sums)
	x := float64(set) / (1 << 30) * sums[n-1]
	return (sort.SearchFloat64s(sums, x) + (number+int(at/stays))*(n/2+1)) % n
}

// Shape changes how much is asked from one moment to another.
type Shape struct {
	Kind      string  // steady, surge, greedy or shift
	From, To  float64 // ms
	Factor    float64 // of the rate, at the height of it
	Group     int     // the group it changes; below nought all
	Customers int     // greedy, shift: only so many, the first of the group
}

// Kinds are the shapes there are, and what they do.
var Kinds = map[string]string{
	"steady": "the rate times factor all along",
	"surge":  "up to factor by the middle, and back: a dawn that breaks",
	"greedy": "a few customers ask factor times as much",
	"shift":  "a few customers' txns all come through one gatekeeper of their set",
}

// factor is what a shape makes of the rate of a customer at a moment.
func (s *Shape) factor(group, customer int, at float64) float64 {
	if at < s.From || at >= s.To || s.Group >= 0 && s.Group != group {
		return 1
	}
	switch s.Kind {
	case "steady":
		return s.Factor
	case "surge":
		return 1 + (s.Factor-1)*math.Sin(math.Pi*(at-s.From)/(s.To-s.From))
	case "greedy":
		if customer < s.Customers {
			return s.Factor
		}
	}
	return 1
}

// Plan plans all arrivals until a moment, in the order of time. Each customer has a random source of its
// own, so that a change at one leaves the others as they are.
func Plan(groups []Group, shapes []Shape, until float64, seed int64) []Arrival {
	var all []Arrival
	number := 0
	for gi := range groups {
		g := &groups[gi]
		for c := range g.Customers {
			rng := rand.New(rand.NewSource(seed ^ int64(number+1)*0x9E3779B97F4A7C))
			all = g.customer(all, gi, c, number, shapes, until, rng)
			number++
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// customer plans one customer's arrivals: those of a steady stream at its highest rate, thinned.
func (g *Group) customer(all []Arrival, gi, c, number int, shapes []Shape, until float64,
	rng *rand.Rand) []Arrival {
	rate := func(at float64) float64 {
		r := g.Rate / 1000
		for i := range shapes {
			r *= shapes[i].factor(gi, c, at)
		}
		return r
	}
	most := g.Rate / 1000
	for i := range shapes {
		most *= math.Max(shapes[i].Factor, 1)
	}
	if most <= 0 {
		return all
	}
	places := g.places()
	for at := rng.ExpFloat64() / most; at < until; at += rng.ExpFloat64() / most {
		keep, set, product := rng.Float64(), rng.Intn(1<<30), pick(g.Products, rng.Float64())
		units := 1 + math.Floor(rng.Float64()*math.Max(g.Units, 1))
		if keep*most >= rate(at) {
			continue
		}
		if places != nil {
			set = place(places, set, number, at)
		}
		for i := range shapes {
			if s := &shapes[i]; s.Kind == "shift" && at >= s.From && at < s.To && c < s.Customers &&
				(s.Group < 0 || s.Group == gi) {
				set = 0
			}
		}
		all = append(all, Arrival{at, number, g.Plan, product, math.Min(units, math.Max(g.Units, 1)), set})
	}
	return all
}

// pick draws one of some weights.
func pick(weights []float64, x float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x *= sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return max(len(weights)-1, 0)
}

// Check finds the first figure that makes no sense, and names it.
func (s *Shape) Check(groups []Group) error {
	_, known := Kinds[s.Kind]
	switch {
	case !known:
		return fmt.Errorf("kind: %q is unknown", s.Kind)
	case !(s.To > s.From) || s.From < 0:
		return fmt.Errorf("to_s: %v is not after from_s", s.To/1000)
	case !(s.Factor > 0) || s.Factor > 1000:
		return fmt.Errorf("factor: %v is not above 0, or over 1000", s.Factor)
	case s.Group >= len(groups):
		return fmt.Errorf("group: there is no %d", s.Group)
	case s.Customers < 0:
		return fmt.Errorf("customers: %d is below nought", s.Customers)
	}
	return nil
}
