// Package regression fits a measured figure over sizes: a straight line with what it leaves over, the power
// by
// which the figure really grows, and the size up to which a straight line foretells the next one.
package regression

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Least is how many sizes a fit takes at the least.
const Least = 4

const (
	sure       = 0.95 // confidence of the range of the exponent
	mostPower  = 3.0
	powerStep  = 0.01
	leastPart  = 1e-3  // of the largest figure: smaller ones weigh no more than this
	steady     = 0.1   // part by which figures of a flat one may differ from their mean
	firstLines = 3     // sizes of the first line that has to foretell the next; two always lie on one
	worse      = 1.08  // exponent above which it is worse than linear; n log n over three powers of ten has 1.1
	surely     = 0.999 // confidence at which a slope is none of chance
	less       = 0.75  // exponent under which it is less
)

// Errors of Of. They come with the sizes at fault.
var (
	ErrFew  = errors.New("too few sizes")
	ErrSize = errors.New("a size is not above nought")
	ErrNaN  = errors.New("a figure is no number")
)

// Point is one measurement.
type Point struct{ Size, Value float64 }

// Shape is how a figure grows.
type Shape uint8

// The shapes.
const (
	Linear Shape = iota
	Flat
	Less  // than linear
	Worse // than linear
	Open  // no line holds, and the points don't say what does
)

func (s Shape) String() string {
	return [...]string{"linear", "flat", "less than linear", "worse than linear", "open"}[s]
}

// Fit is what was found.
type Fit struct {
	Points        []Point   // by size; of several runs at one size the median
	Slope, Offset float64   // of the straight line, by least squares of the relative errors
	Residuals     []float64 // Points less the line
	R2            float64   // of the line, on the figures as they are
	Off           float64   // the largest of Residuals as a part of its figure
	Exponent      float64   // k of a + b size^k with a not below nought, the best by the same measure
	Low, High     float64   // the range of k that the points do not rule out at 95%
	Base, Factor  float64   // a and b
	Until         float64   // the largest size up to which the line through those before foretells the next
	Shape         Shape
}

// Of fits points of Least sizes or more. within is the part of a figure by which a line that foretells it may
// miss it.
func Of(points []Point, within float64) (*Fit, error) {
	all, err := medians(points)
	if err != nil {
		return nil, err
	}
	f := &Fit{Points: all}
	x, y, w := columns(all)
	f.Offset, f.Slope = stat.LinearRegression(x, y, w, false)
	f.R2 = stat.RSquared(x, y, nil, f.Offset, f.Slope)
	for i, p := range all {
		r := p.Value - f.line(p.Size)
		f.Residuals = append(f.Residuals, r)
		f.Off = math.Max(f.Off, math.Abs(r)*math.Sqrt(w[i]))
	}
	f.power(x, y, w)
	f.Until = until(all, within)
	f.Shape = f.shape(y, rises(x, w, f.Residuals, f.Slope))
	return f, nil
}

// At is the figure to be expected at a size: by the line, by the power where it is worse than linear, and the
// mean where it is flat.
func (f *Fit) At(size float64) float64 {
	switch f.Shape {
	case Worse:
		return f.Base + f.Factor*math.Pow(size, f.Exponent)
	case Flat:
		return f.mean()
	}
	return f.line(size)
}

// Largest is the largest size that was measured, and its figure.
func (f *Fit) Largest() Point { return f.Points[len(f.Points)-1] }

func (f *Fit) mean() float64 {
	sum := 0.0
	for _, p := range f.Points {
		sum += p.Value
	}
	return sum / float64(len(f.Points))
}

func (f *Fit) line(size float64) float64 { return f.Offset + f.Slope*size }

func medians(points []Point) ([]Point, error) {
	by := map[float64][]float64{}
	for _, p := range points {
		switch {
		case !(p.Size > 0) || math.IsInf(p.Size, 0):
			return nil, fmt.Errorf("%w: %v", ErrSize, p.Size)
		case math.IsNaN(p.Value) || math.IsInf(p.Value, 0):
			return nil, fmt.Errorf("%w: %v at size %v", ErrNaN, p.Value, p.Size)
		}
		by[p.Size] = append(by[p.Size], p.Value)
	}
	if len(by) < Least {
		return nil, fmt.Errorf("%w: %d, and a fit takes %d", ErrFew, len(by), Least)
	}
	var all []Point
	for size, values := range by {
		slices.Sort(values)
		n := len(values)
		all = append(all, Point{size, (values[(n-1)/2] + values[n/2]) / 2})
	}
	slices.SortFunc(all, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	return all, nil
}

// columns gives sizes, figures, and weights that make errors relative to the figure.
func columns(all []Point) (x, y, w []float64) {
	largest := 0.0
	for _, p := range all {
		largest = math.Max(largest, math.Abs(p.Value))
	}
	for _, p := range all {
		of := math.Max(math.Abs(p.Value), largest*leastPart)
		if of == 0 { // all figures are nought
			of = 1
		}
		x, y, w = append(x, p.Size), append(y, p.Value), append(w, 1/(of*of))
	}
	return x, y, w
}

// power finds the exponent by going through all, with the best a and b for each; its range by the F ratio of
// what they leave over (Bates and Watts 1988, chapter 6: profiles).
func (f *Fit) power(x, y, w []float64) {
	type trial struct{ k, a, b, left float64 }
	var all []trial
	best := trial{left: math.Inf(1)}
	to := make([]float64, len(x))
	for i := 0; float64(i)*powerStep <= mostPower; i++ {
		t := trial{k: float64(i) * powerStep}
		if i == 0 { // all sizes alike
			t.a = stat.Mean(y, w)
		} else {
			for j := range x {
				to[j] = math.Pow(x[j]/x[len(x)-1], t.k)
			}
			if t.a, t.b = stat.LinearRegression(to, y, w, false); t.a < 0 {
				t.a, t.b = stat.LinearRegression(to, y, w, true)
			}
		}
		for j := range x {
			r := y[j] - t.a - t.b*math.Pow(x[j]/x[len(x)-1], t.k)
			t.left += r * r * w[j]
		}
		if t.left < best.left {
			best = t
		}
		all = append(all, t)
	}
	free := float64(max(len(x)-3, 1))
	most := best.left * (1 + distuv.F{D1: 1, D2: free}.Quantile(sure)/free)
	f.Exponent, f.Low, f.High = best.k, best.k, best.k
	f.Base, f.Factor = best.a, best.b/math.Pow(x[len(x)-1], best.k)
	for _, t := range all {
		if t.left <= most {
			f.Low, f.High = math.Min(f.Low, t.k), math.Max(f.High, t.k)
		}
	}
}

func until(all []Point, within float64) float64 {
	for n := firstLines; n < len(all); n++ {
		x, y, w := columns(all[:n])
		a, b := stat.LinearRegression(x, y, w, false)
		next := all[n]
		if math.Abs(a+b*next.Size-next.Value) > within*math.Abs(next.Value) {
			return all[n-1].Size
		}
	}
	return all[len(all)-1].Size
}

// rises tells whether a line's slope is none of chance, by Student's t.
func rises(x, w, residuals []float64, slope float64) bool {
	mean := stat.Mean(x, w)
	left, span := 0.0, 0.0
	for i := range x {
		left += w[i] * residuals[i] * residuals[i]
		span += w[i] * (x[i] - mean) * (x[i] - mean)
	}
	free := float64(len(x) - 2)
	t := distuv.StudentsT{Sigma: 1, Nu: free}.Quantile((1 + surely) / 2)
	return math.Abs(slope) > t*math.Sqrt(left/free/span)
}

func (f *Fit) shape(y []float64, rises bool) Shape {
	mean := stat.Mean(y, nil)
	flat := true
	for _, v := range y {
		flat = flat && math.Abs(v-mean) <= steady*math.Abs(mean)
	}
	switch {
	case flat && !rises: // a small rise that is no chance goes on beyond the sizes
		return Flat
	case f.Exponent > worse && f.Low > 1:
		return Worse
	case f.Exponent < less && f.High < 1:
		return Less
	case f.Until < f.Largest().Size:
		return Open
	}
	return Linear
}
