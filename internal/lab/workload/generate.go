package workload

import (
	"math"
	"math/rand"
	"sort"
)

// Generate returns all arrivals before untilMillis in the order of time. Each customer has a random source of
// its own, so that a change of one customer leaves the arrivals of the others as they are.
func Generate(groups []Group, shapes []Shape, untilMillis float64, seed int64) []Arrival {
	var arrivals []Arrival
	customer := 0
	for groupIndex := range groups {
		group := &groups[groupIndex]
		for member := range group.Customers {
			rng := rand.New(rand.NewSource(seed ^ int64(customer+1)*0x9E3779B97F4A7C))
			arrivals = group.appendCustomer(arrivals, groupIndex, member, customer, shapes, untilMillis, rng)
			customer++
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].AtMillis < arrivals[j].AtMillis })
	return arrivals
}

// appendCustomer appends one customer's arrivals: a Poisson process, thinned from the customer's highest rate
// to the rate at each moment (Lewis and Shedler 1979). member counts within the group, customer over all
// groups.
func (g *Group) appendCustomer(arrivals []Arrival, groupIndex, member, customer int, shapes []Shape,
	untilMillis float64, rng *rand.Rand) []Arrival {
	rateAt := func(atMillis float64) float64 {
		rate := g.Rate / 1000
		for i := range shapes {
			rate *= shapes[i].factorAt(groupIndex, member, atMillis)
		}
		return rate
	}
	maxRate := g.Rate / 1000
	for i := range shapes {
		maxRate *= math.Max(shapes[i].Factor, 1)
	}
	if maxRate <= 0 {
		return arrivals
	}
	weights := g.cumulativeWeights()
	for atMillis := rng.ExpFloat64() / maxRate; atMillis < untilMillis; atMillis += rng.ExpFloat64() / maxRate {
		// Every candidate draws the same numbers in this order, also one that is thinned out.
		acceptance, setOffset := rng.Float64(), rng.Intn(1<<30)
		product := pickWeighted(g.ProductWeights, rng.Float64())
		units := 1 + math.Floor(rng.Float64()*math.Max(g.MaxUnits, 1))
		if acceptance*maxRate >= rateAt(atMillis) {
			continue
		}
		if weights != nil {
			setOffset = pickSetOffset(weights, setOffset, customer, atMillis)
		}
		for i := range shapes {
			if shapes[i].shifts(groupIndex, member, atMillis) {
				setOffset = 0
			}
		}
		arrivals = append(arrivals, Arrival{AtMillis: atMillis, Customer: customer, Plan: g.Plan, Product: product,
			Units: math.Min(units, math.Max(g.MaxUnits, 1)), SetOffset: setOffset})
	}
	return arrivals
}

// rotationMillis is how long the same instances of a skewed customer's set get most of its transactions.
const rotationMillis = 12000

// cumulativeWeights returns the cumulative Zipf weights of the instances of a set, or nil where all are
// equal.
func (g *Group) cumulativeWeights() []float64 {
	if g.Skew <= 0 || g.SetSize < 2 {
		return nil
	}
	cumulative, sum := make([]float64, g.SetSize), 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -g.Skew)
		cumulative[i] = sum
	}
	return cumulative
}

// pickSetOffset draws an instance of a set by its weight. The instance of the largest weight depends on the
// customer and changes every rotationMillis. uniform is from 0 to 1<<30.
func pickSetOffset(cumulative []float64, uniform, customer int, atMillis float64) int {
	n := len(cumulative)
	target := float64(uniform) / (1 << 30) * cumulative[n-1]
	return (sort.SearchFloat64s(cumulative, target) + (customer+int(atMillis/rotationMillis))*(n/2+1)) % n
}

// pickWeighted returns the index that a uniform number from 0 to 1 draws by the weights.
func pickWeighted(weights []float64, uniform float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	uniform *= sum
	for i, weight := range weights {
		if uniform -= weight; uniform < 0 {
			return i
		}
	}
	return max(len(weights)-1, 0)
}
