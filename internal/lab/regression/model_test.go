package regression

import (
	"errors"
	"math"
	"math/rand"
	"strings"
	"testing"
)

var measuredSizes = []float64{200, 1000, 5000, 20000, 50000, 110000}

// measure returns two points of a known function at each size, with relative noise.
func measure(sizes []float64, value func(size float64) float64, noise float64, seed int64) (points []Point) {
	rng := rand.New(rand.NewSource(seed))
	for range 2 {
		for _, size := range sizes {
			points = append(points, Point{size, value(size) * (1 + noise*(2*rng.Float64()-1))})
		}
	}
	return points
}

// Quadratic growth has to be found, also above an intercept that hides it at small sizes, and linear growth
// must not be classified as quadratic.
func TestFitFindsTheShape(t *testing.T) {
	cases := []struct {
		name                     string
		value                    func(n float64) float64
		want                     Shape
		minExponent, maxExponent float64 // bounds of the exponent
		linear                   any     // whether it is linear up to the largest size; nil where the noise decides
	}{
		{"linear", func(n float64) float64 { return 120 * n }, Linear, 0.93, 1.07, true},
		{"linear above an intercept", func(n float64) float64 { return 3e6 + 400*n }, Linear, 0.85, 1.15, true},
		{"quadratic", func(n float64) float64 { return 2 * n * n }, Superlinear, 1.9, 2.1, false},
		{"quadratic with a linear part", func(n float64) float64 { return 900*n + 0.08*n*n }, Superlinear, 1.2, 2,
			false},
		{"quadratic above an intercept", func(n float64) float64 { return 5e6 + 0.3*n*n }, Superlinear, 1.9, 2.1,
			false},
		{"n log n", func(n float64) float64 { return n * math.Log2(n) }, Superlinear, 1.08, 1.2, nil},
		{"flat", func(float64) float64 { return 70 }, Flat, 0, 3, true},
		{"logarithm", func(n float64) float64 { return math.Log2(n) - 6 }, Sublinear, 0, 0.6, false},
		{"hump", func(n float64) float64 { return n * math.Exp(-n/20000) }, Undetermined, 0, 3, false},
		{"zero", func(float64) float64 { return 0 }, Flat, 0, 3, true},
	}
	for _, c := range cases {
		for seed := range int64(20) {
			model, err := Fit(measure(measuredSizes, c.value, 0.03, seed), 0.25)
			if err != nil {
				t.Fatal(err)
			}
			if model.Shape != c.want || model.Exponent < c.minExponent || model.Exponent > c.maxExponent ||
				model.ExponentLow > model.Exponent ||
				model.ExponentHigh < model.Exponent {
				t.Errorf("%s, seed %d: %v, exponent %.2f (%.2f to %.2f)", c.name, seed, model.Shape, model.Exponent,
					model.ExponentLow, model.ExponentHigh)
			}
			if c.linear != nil && (model.LinearUpTo == measuredSizes[len(measuredSizes)-1]) != c.linear {
				t.Errorf("%s, seed %d: linear up to %v", c.name, seed, model.LinearUpTo)
			}
			want := c.value(300000)
			tolerance, bounded := map[Shape]float64{Flat: 0.05, Linear: 0.25, Superlinear: 0.5}[c.want]
			if got := model.Predict(300000); bounded && math.Abs(got-want) > tolerance*want {
				t.Errorf("%s, seed %d: %v at 300000, want %v", c.name, seed, got, want)
			}
		}
	}
}

// The coefficients, residuals and errors agree with those worked out by hand.
func TestFitByHand(t *testing.T) {
	model, err := Fit([]Point{{4, 14}, {1, 5}, {3, 11}, {2, 7}, {2, 9}, {2, 8}}, 0.2)
	if err != nil {
		t.Fatal(err)
	}
	near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
	if !near(model.Slope, 3) || !near(model.Intercept, 2) || !near(model.R2, 1) ||
		!near(model.MaxRelativeError, 0) || model.LinearUpTo != 4 {
		t.Errorf("%+v", model)
	}
	if model.LargestPoint() != (Point{4, 14}) || len(model.Residuals) != 4 || !near(model.Predict(10), 32) {
		t.Errorf("%+v, at 10: %v", model, model.Predict(10))
	}
	// One outlying size shows in the errors and ends the linear range.
	model, err = Fit([]Point{{1, 10}, {2, 20}, {3, 30}, {4, 40}, {5, 90}, {6, 60}}, 0.2)
	if err != nil {
		t.Fatal(err)
	}
	if model.LinearUpTo != 4 || model.MaxRelativeError < 0.3 || model.R2 > 0.9 {
		t.Errorf("an outlying point: %+v", model)
	}
}

// A small but significant slope above a large intercept is linear: far beyond the measured sizes it
// dominates.
func TestSmallSignificantSlopeIsLinear(t *testing.T) {
	value := func(n float64) float64 { return 70 + n/22000 }
	for seed := range int64(20) {
		model, err := Fit(measure(measuredSizes, value, 0.002, seed), 0.25)
		if err != nil || model.Shape != Linear || math.Abs(model.Predict(2e6)-value(2e6)) > 0.1*value(2e6) {
			t.Errorf("seed %d: %+v, %v", seed, model, err)
		}
	}
}

// The linear range ends at the last size before the knee.
func TestLinearUpToTheKnee(t *testing.T) {
	knee := func(n float64) float64 { return n + math.Max(0, n-5000)*9 }
	model, err := Fit(measure(measuredSizes, knee, 0.02, 1), 0.25)
	if err != nil || model.LinearUpTo != 5000 {
		t.Errorf("%v, %+v", err, model)
	}
}

func TestFitRejectsInvalidPoints(t *testing.T) {
	four := []Point{{1, 1}, {2, 2}, {3, 3}, {4, 4}}
	cases := []struct {
		name    string
		points  []Point
		want    error
		message string
	}{
		{"none", nil, ErrTooFewSizes, "0, and a fit takes 4"},
		{"three sizes", four[:3], ErrTooFewSizes, "3, and a fit takes 4"},
		{"one size many times", []Point{{9, 1}, {9, 2}, {9, 3}, {9, 4}, {9, 5}}, ErrTooFewSizes, "1, and"},
		{"size zero", append([]Point{{0, 1}}, four...), ErrInvalidSize, ": 0"},
		{"negative size", append([]Point{{-3, 1}}, four...), ErrInvalidSize, ": -3"},
		{"not a number", append([]Point{{5, math.NaN()}}, four...), ErrInvalidValue, "at size 5"},
		{"infinite", append([]Point{{5, math.Inf(1)}}, four...), ErrInvalidValue, "at size 5"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Fit(c.points, 0.2); !errors.Is(err, c.want) || !strings.Contains(err.Error(), c.message) {
				t.Errorf("got %v, want %v with %q", err, c.want, c.message)
			}
		})
	}
	if _, err := Fit(four, 0.2); err != nil {
		t.Errorf("four sizes: %v", err)
	}
}
