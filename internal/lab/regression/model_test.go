package regression

import (
	"errors"
	"math"
	"math/rand"
	"strings"
	"testing"
)

var sizes = []float64{200, 1000, 5000, 20000, 50000, 110000}

// draw measures a known shape twice at each size, with noise of a part of the figure.
func draw(at []float64, f func(n float64) float64, noise float64, seed int64) (all []Point) {
	rng := rand.New(rand.NewSource(seed))
	for range 2 {
		for _, n := range at {
			all = append(all, Point{n, f(n) * (1 + noise*(2*rng.Float64()-1))})
		}
	}
	return all
}

// What is squared has to be found, also under an offset that hides it at small sizes, and what is linear has
// not to pass for it.
func TestShapes(t *testing.T) {
	cases := []struct {
		name     string
		f        func(n float64) float64
		want     Shape
		low, top float64 // of the exponent
		straight any     // up to the largest size, true or false; nil where noise says so
	}{
		{"linear", func(n float64) float64 { return 120 * n }, Linear, 0.93, 1.07, true},
		{"linear above an offset", func(n float64) float64 { return 3e6 + 400*n }, Linear, 0.85, 1.15, true},
		{"squared", func(n float64) float64 { return 2 * n * n }, Worse, 1.9, 2.1, false},
		{"squared behind a linear part", func(n float64) float64 { return 900*n + 0.08*n*n }, Worse, 1.2, 2, false},
		{"squared above an offset", func(n float64) float64 { return 5e6 + 0.3*n*n }, Worse, 1.9, 2.1, false},
		{"n log n", func(n float64) float64 { return n * math.Log2(n) }, Worse, 1.08, 1.2, nil},
		{"flat", func(float64) float64 { return 70 }, Flat, 0, 3, true},
		{"logarithm", func(n float64) float64 { return math.Log2(n) - 6 }, Less, 0, 0.6, false},
		{"a hump", func(n float64) float64 { return n * math.Exp(-n/20000) }, Open, 0, 3, false},
		{"nought", func(float64) float64 { return 0 }, Flat, 0, 3, true},
	}
	for _, c := range cases {
		for seed := range int64(20) {
			f, err := Of(draw(sizes, c.f, 0.03, seed), 0.25)
			if err != nil {
				t.Fatal(err)
			}
			if f.Shape != c.want || f.Exponent < c.low || f.Exponent > c.top || f.Low > f.Exponent ||
				f.High < f.Exponent {
				t.Errorf("%s, seed %d: %v, exponent %.2f (%.2f to %.2f)", c.name, seed, f.Shape, f.Exponent,
					f.Low, f.High)
			}
			if c.straight != nil && (f.Until == sizes[len(sizes)-1]) != c.straight {
				t.Errorf("%s, seed %d: straight until %v", c.name, seed, f.Until)
			}
			want := c.f(300000)
			off, said := map[Shape]float64{Flat: 0.05, Linear: 0.25, Worse: 0.5}[c.want]
			if got := f.At(300000); said && math.Abs(got-want) > off*want {
				t.Errorf("%s, seed %d: %v at 300000, it is %v", c.name, seed, got, want)
			}
		}
	}
}

// The line, what it leaves and its figures, by hand.
func TestLine(t *testing.T) {
	f, err := Of([]Point{{4, 14}, {1, 5}, {3, 11}, {2, 7}, {2, 9}, {2, 8}}, 0.2)
	if err != nil {
		t.Fatal(err)
	}
	near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
	if !near(f.Slope, 3) || !near(f.Offset, 2) || !near(f.R2, 1) || !near(f.Off, 0) || f.Until != 4 {
		t.Errorf("%+v", f)
	}
	if f.Largest() != (Point{4, 14}) || len(f.Residuals) != 4 || !near(f.At(10), 32) {
		t.Errorf("%+v, at 10: %v", f, f.At(10))
	}
	// One size that is off is told, and where the line ends.
	f, err = Of([]Point{{1, 10}, {2, 20}, {3, 30}, {4, 40}, {5, 90}, {6, 60}}, 0.2)
	if err != nil {
		t.Fatal(err)
	}
	if f.Until != 4 || f.Off < 0.3 || f.R2 > 0.9 {
		t.Errorf("a point that is off: %+v", f)
	}
}

// A small rise above a large offset that is no chance is a line: far beyond the sizes it is all that counts.
func TestSmallRise(t *testing.T) {
	rise := func(n float64) float64 { return 70 + n/22000 }
	for seed := range int64(20) {
		f, err := Of(draw(sizes, rise, 0.002, seed), 0.25)
		if err != nil || f.Shape != Linear || math.Abs(f.At(2e6)-rise(2e6)) > 0.1*rise(2e6) {
			t.Errorf("seed %d: %+v, %v", seed, f, err)
		}
	}
}

// Where the line ceases to foretell what comes is the size before it.
func TestUntil(t *testing.T) {
	knee := func(n float64) float64 { return n + math.Max(0, n-5000)*9 }
	f, err := Of(draw(sizes, knee, 0.02, 1), 0.25)
	if err != nil || f.Until != 5000 {
		t.Errorf("%v, %+v", err, f)
	}
}

func TestRefused(t *testing.T) {
	four := []Point{{1, 1}, {2, 2}, {3, 3}, {4, 4}}
	cases := []struct {
		name   string
		points []Point
		want   error
		says   string
	}{
		{"none", nil, ErrFew, "0, and a fit takes 4"},
		{"three sizes", four[:3], ErrFew, "3, and a fit takes 4"},
		{"one size many times", []Point{{9, 1}, {9, 2}, {9, 3}, {9, 4}, {9, 5}}, ErrFew, "1, and"},
		{"size nought", append([]Point{{0, 1}}, four...), ErrSize, ": 0"},
		{"size below nought", append([]Point{{-3, 1}}, four...), ErrSize, ": -3"},
		{"no number", append([]Point{{5, math.NaN()}}, four...), ErrNaN, "at size 5"},
		{"without end", append([]Point{{5, math.Inf(1)}}, four...), ErrNaN, "at size 5"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Of(c.points, 0.2); !errors.Is(err, c.want) || !strings.Contains(err.Error(), c.says) {
				t.Errorf("got %v, want %v with %q", err, c.want, c.says)
			}
		})
	}
	if _, err := Of(four, 0.2); err != nil {
		t.Errorf("four sizes: %v", err)
	}
}
