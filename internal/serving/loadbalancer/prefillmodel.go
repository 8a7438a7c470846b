package loadbalancer

import (
	"math"
	"time"
)

// The prior of the model: an engine prefills tokens at a fixed rate, the more slowly the more tokens stand
// before them. How an engine differs from it is learned as one factor.
const (
	priorTokensPerMillisecond = 90.0
	contextDoublingTokens     = 32_000.0 // context length at which prefilling a token takes twice as long
)

// How the model learns. Steps are of an estimate's logarithm, for one observation.
const (
	minFactorStep     = 0.1
	initialFactorStep = 1.0  // of the first observation; the step falls with their number
	factorQuantile    = 0.25 // of observed times: the higher ones hold queueing
	minFactor         = 1.0 / 16
	maxFactor         = 8.0

	baseStep          = 0.05
	baseQuantile      = 0.3
	initialBaseMillis = 70.0
	minBaseMillis     = 1.0
	maxBaseTokens     = 500.0 // prompts with fewer uncached tokens show the base time

	maxPrefillMillis = 10_000.0 // of one prompt: an observation is cut off there, a longer notice is invalid
)

// prefillModel estimates how long engines take to prefill prompts. It learns from the times to the first
// token that this edge observes, and follows a low quantile of them by small steps (stochastic approximation
// after Robbins and Monro, 1951), since most of the higher ones hold queueing.
type prefillModel struct {
	factor       float64 // of the prior's time
	observations int     // that factor is based on
	baseMillis   float64 // time to the first token of a prompt without uncached tokens
}

func newPrefillModel() prefillModel { return prefillModel{factor: 1, baseMillis: initialBaseMillis} }

// priorMillis returns the time that the prior gives for the uncached tokens of a prompt.
func priorMillis(uncachedTokens, totalTokens float64) float64 {
	return uncachedTokens / priorTokensPerMillisecond * (1 + totalTokens/contextDoublingTokens)
}

// estimateMillis returns how long an engine is busy with prefilling the uncached tokens of a prompt.
func (m *prefillModel) estimateMillis(uncachedTokens, totalTokens float64) float64 {
	return m.factor * priorMillis(uncachedTokens, totalTokens)
}

// observe learns from an observed time to the first token.
func (m *prefillModel) observe(timeToFirstToken time.Duration, uncachedTokens, totalTokens float64) {
	observedMillis := math.Min(float64(timeToFirstToken)/float64(time.Millisecond), maxPrefillMillis)
	if uncachedTokens < maxBaseTokens {
		base := stepTowardQuantile(m.baseMillis, observedMillis, baseStep, baseQuantile)
		m.baseMillis = math.Max(minBaseMillis, base)
	}
	prior := priorMillis(uncachedTokens, totalTokens)
	if prior < m.baseMillis {
		return // other delays outweigh so short a prefill
	}
	m.observations++
	step := math.Max(minFactorStep, initialFactorStep/float64(m.observations))
	observedFactor := math.Max(observedMillis-m.baseMillis, 0) / prior
	factor := stepTowardQuantile(m.factor, observedFactor, step, factorQuantile)
	m.factor = math.Min(math.Max(factor, minFactor), maxFactor)
}

// stepTowardQuantile moves the estimate of a quantile by one observation, by a step of its logarithm.
func stepTowardQuantile(estimate, observed, step, quantile float64) float64 {
	if observed < estimate {
		return estimate * math.Exp(-step*(1-quantile))
	}
	return estimate * math.Exp(step*quantile)
}
