// Package regression fits a measured value over system sizes. It gives a straight line by weighted least
// squares with its residuals and R², the exponent of the best power law with a confidence interval, a
// classification of the growth (flat, linear, sublinear, superlinear), and the largest size up to which a
// straight line through the smaller sizes predicts the next one.
//
// The package has no state and does no I/O. It imports nothing else of this module.
package regression
