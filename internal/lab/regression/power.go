package regression

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	exponentConfidence = 0.95 // of the interval of the exponent
	maxExponent        = 3.0  // the largest exponent that is tried
	exponentStep       = 0.01 // between two exponents that are tried
)

// powerLaw is the value intercept + coefficient*(size/largest size)^exponent.
type powerLaw struct {
	exponent, intercept, coefficient float64
	residualSum                      float64 // weighted sum of squared residuals
}

// fitPower finds the exponent by a grid search with the best intercept and coefficient for each exponent. The
// confidence interval holds the exponents whose residual sum the F ratio does not tell from the best one
// (profile likelihood: Bates and Watts 1988, chapter 6).
func (m *Model) fitPower(sizes, values, weights []float64) {
	largest := sizes[len(sizes)-1]
	var candidates []powerLaw
	best := powerLaw{residualSum: math.Inf(1)}
	for i := 0; float64(i)*exponentStep <= maxExponent; i++ {
		candidate := fitExponent(float64(i)*exponentStep, sizes, values, weights)
		if candidate.residualSum < best.residualSum {
			best = candidate
		}
		candidates = append(candidates, candidate)
	}
	degreesOfFreedom := float64(max(len(sizes)-3, 1))
	quantile := distuv.F{D1: 1, D2: degreesOfFreedom}.Quantile(exponentConfidence)
	maxResidualSum := best.residualSum * (1 + quantile/degreesOfFreedom)
	m.Exponent, m.ExponentLow, m.ExponentHigh = best.exponent, best.exponent, best.exponent
	m.PowerIntercept = best.intercept
	m.PowerCoefficient = best.coefficient / math.Pow(largest, best.exponent)
	for _, candidate := range candidates {
		if candidate.residualSum <= maxResidualSum {
			m.ExponentLow = math.Min(m.ExponentLow, candidate.exponent)
			m.ExponentHigh = math.Max(m.ExponentHigh, candidate.exponent)
		}
	}
}

// fitExponent returns the power law of an exponent with the smallest residual sum; its intercept is not below
// zero.
func fitExponent(exponent float64, sizes, values, weights []float64) powerLaw {
	largest := sizes[len(sizes)-1]
	law := powerLaw{exponent: exponent}
	if exponent == 0 { // the power is one at each size
		law.intercept = stat.Mean(values, weights)
	} else {
		powers := make([]float64, len(sizes))
		for i := range sizes {
			powers[i] = math.Pow(sizes[i]/largest, exponent)
		}
		law.intercept, law.coefficient = stat.LinearRegression(powers, values, weights, false)
		if law.intercept < 0 {
			law.intercept, law.coefficient = stat.LinearRegression(powers, values, weights, true)
		}
	}
	for i := range sizes {
		residual := values[i] - law.intercept - law.coefficient*math.Pow(sizes[i]/largest, exponent)
		law.residualSum += residual * residual * weights[i]
	}
	return law
}
