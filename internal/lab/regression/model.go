package regression

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// MinSizes is the smallest number of distinct sizes that Fit accepts.
const MinSizes = 4

// minRelativeScale bounds the weights: a value below this part of the largest value is weighted as if it had
// that part, so that a value near zero does not dominate the fit.
const minRelativeScale = 1e-3

// Errors of Fit. The returned error wraps one of them and names the offending point.
var (
	ErrTooFewSizes  = errors.New("too few sizes")
	ErrInvalidSize  = errors.New("a size is not above zero")
	ErrInvalidValue = errors.New("a value is not a finite number")
)

// Point is one measurement: a value, in the unit of the caller, at a size above zero.
type Point struct{ Size, Value float64 }

// Model is the result of a fit.
type Model struct {
	Points []Point // by ascending size; the median of the values where a size was measured several times

	// Slope and Intercept are those of the straight line with the smallest sum of squared relative errors.
	Slope, Intercept float64
	// measured value minus predicted value, by the straight line, one for each of Points
	Residuals        []float64
	R2               float64 // coefficient of determination of the straight line, unweighted
	MaxRelativeError float64 // the largest absolute residual, as a part of its value

	// Exponent is k of the power law a + b*size^k, a >= 0, with the smallest sum of squared relative errors.
	Exponent                  float64
	ExponentLow, ExponentHigh float64 // confidence interval of Exponent at 95%

	PowerIntercept, PowerCoefficient float64 // a and b of the power law

	// LinearUpTo is the largest size up to which the straight line through all smaller sizes predicts the
	// next size's value within the tolerance.
	LinearUpTo float64
	Shape      Shape
}

// Fit fits points of at least MinSizes distinct sizes. tolerance is the relative error, as a part of the
// value, that a straight line's prediction of the next size may have. It returns an error that wraps
// ErrTooFewSizes, ErrInvalidSize or ErrInvalidValue.
func Fit(points []Point, tolerance float64) (*Model, error) {
	medians, err := medianBySize(points)
	if err != nil {
		return nil, err
	}
	model := &Model{Points: medians}
	sizes, values, weights := weightedColumns(medians)
	model.Intercept, model.Slope = stat.LinearRegression(sizes, values, weights, false)
	model.R2 = stat.RSquared(sizes, values, nil, model.Intercept, model.Slope)
	for i, p := range medians {
		residual := p.Value - model.predictLinear(p.Size)
		model.Residuals = append(model.Residuals, residual)
		model.MaxRelativeError = math.Max(model.MaxRelativeError, math.Abs(residual)*math.Sqrt(weights[i]))
	}
	model.fitPower(sizes, values, weights)
	model.LinearUpTo = linearUpTo(medians, tolerance)
	model.Shape = model.classify(values, slopeIsSignificant(sizes, weights, model.Residuals, model.Slope))
	return model, nil
}

// Predict returns the expected value at a size: by the power law where growth is superlinear, the mean where
// the values are flat, and by the straight line otherwise.
func (m *Model) Predict(size float64) float64 {
	switch m.Shape {
	case Superlinear:
		return m.PowerIntercept + m.PowerCoefficient*math.Pow(size, m.Exponent)
	case Flat:
		return m.meanValue()
	}
	return m.predictLinear(size)
}

// LargestPoint returns the point of the largest measured size.
func (m *Model) LargestPoint() Point { return m.Points[len(m.Points)-1] }

// meanValue returns the unweighted mean of the values.
func (m *Model) meanValue() float64 {
	sum := 0.0
	for _, p := range m.Points {
		sum += p.Value
	}
	return sum / float64(len(m.Points))
}

// predictLinear returns the straight line's value at a size.
func (m *Model) predictLinear(size float64) float64 { return m.Intercept + m.Slope*size }

// medianBySize checks the points and returns one for each distinct size, by ascending size, with the median
// of its values.
func medianBySize(points []Point) ([]Point, error) {
	valuesBySize := map[float64][]float64{}
	for _, p := range points {
		switch {
		case !(p.Size > 0) || math.IsInf(p.Size, 0):
			return nil, fmt.Errorf("%w: %v", ErrInvalidSize, p.Size)
		case math.IsNaN(p.Value) || math.IsInf(p.Value, 0):
			return nil, fmt.Errorf("%w: %v at size %v", ErrInvalidValue, p.Value, p.Size)
		}
		valuesBySize[p.Size] = append(valuesBySize[p.Size], p.Value)
	}
	if len(valuesBySize) < MinSizes {
		return nil, fmt.Errorf("%w: %d, and a fit takes %d", ErrTooFewSizes, len(valuesBySize), MinSizes)
	}
	var medians []Point
	for size, values := range valuesBySize {
		slices.Sort(values)
		n := len(values)
		medians = append(medians, Point{size, (values[(n-1)/2] + values[n/2]) / 2})
	}
	slices.SortFunc(medians, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	return medians, nil
}

// weightedColumns returns sizes, values, and the weights that make squared errors relative to the value.
func weightedColumns(points []Point) (sizes, values, weights []float64) {
	largest := 0.0
	for _, p := range points {
		largest = math.Max(largest, math.Abs(p.Value))
	}
	for _, p := range points {
		scale := math.Max(math.Abs(p.Value), largest*minRelativeScale)
		if scale == 0 { // all values are zero
			scale = 1
		}
		sizes, values, weights = append(sizes, p.Size), append(values, p.Value), append(weights, 1/(scale*scale))
	}
	return sizes, values, weights
}
