package regression

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// flatTolerance is the part of the mean by which each value of a flat series may differ from it.
	flatTolerance = 0.1
	// minPrefixSizes is the smallest number of sizes whose line has to predict the next; two always lie on one.
	minPrefixSizes = 3
	// superlinearExponent is the exponent above which growth is superlinear; n log n over three powers of ten
	// has 1.1.
	superlinearExponent = 1.08
	// sublinearExponent is the exponent below which growth is sublinear.
	sublinearExponent = 0.75
	// slopeConfidence is the confidence at which a slope differs from zero.
	slopeConfidence = 0.999
)

// Shape is how a value grows with the size.
type Shape uint8

// The shapes.
const (
	Linear Shape = iota
	Flat
	Sublinear
	Superlinear
	Undetermined // no straight line holds, and the points do not determine another shape
)

// String returns the shape as the capacity pages print it.
func (s Shape) String() string {
	return [...]string{"linear", "flat", "less than linear", "worse than linear", "open"}[s]
}

// classify returns the shape of the fitted values. significant says whether the line's slope differs from
// zero.
func (m *Model) classify(values []float64, significant bool) Shape {
	mean := stat.Mean(values, nil)
	flat := true
	for _, value := range values {
		flat = flat && math.Abs(value-mean) <= flatTolerance*math.Abs(mean)
	}
	switch {
	case flat && !significant: // a small but significant slope continues beyond the measured sizes
		return Flat
	case m.Exponent > superlinearExponent && m.ExponentLow > 1:
		return Superlinear
	case m.Exponent < sublinearExponent && m.ExponentHigh < 1:
		return Sublinear
	case m.LinearUpTo < m.LargestPoint().Size:
		return Undetermined
	}
	return Linear
}

// linearUpTo returns the largest size up to which the line through all smaller sizes predicts the next size's
// value within the tolerance, a part of that value.
func linearUpTo(points []Point, tolerance float64) float64 {
	for n := minPrefixSizes; n < len(points); n++ {
		sizes, values, weights := weightedColumns(points[:n])
		intercept, slope := stat.LinearRegression(sizes, values, weights, false)
		next := points[n]
		if math.Abs(intercept+slope*next.Size-next.Value) > tolerance*math.Abs(next.Value) {
			return points[n-1].Size
		}
	}
	return points[len(points)-1].Size
}

// slopeIsSignificant reports whether a line's slope differs from zero, by Student's t-test.
func slopeIsSignificant(sizes, weights, residuals []float64, slope float64) bool {
	mean := stat.Mean(sizes, weights)
	residualSum, sizeSpread := 0.0, 0.0
	for i := range sizes {
		residualSum += weights[i] * residuals[i] * residuals[i]
		sizeSpread += weights[i] * (sizes[i] - mean) * (sizes[i] - mean)
	}
	degreesOfFreedom := float64(len(sizes) - 2)
	quantile := distuv.StudentsT{Sigma: 1, Nu: degreesOfFreedom}.Quantile((1 + slopeConfidence) / 2)
	return math.Abs(slope) > quantile*math.Sqrt(residualSum/degreesOfFreedom/sizeSpread)
}
