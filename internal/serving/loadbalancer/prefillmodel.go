package loadbalancer

import (
	"math"
	"time"
)

// The prior of the model: an engine prefills a short prompt at a fixed rate, and a longer context at a
// lower one. The model learns a factor by which engines differ from the prior.
const (
	priorTokensPerMillisecond = 90.0
	contextDoublingTokens     = 32_000.0 // context length at which prefilling a token takes twice as long
)

// Parameters by which the model learns. A step is the change of an estimate's logarithm by one observation,
// before it is weighted by the quantile.
const (
	minFactorStep     = 0.1
	initialFactorStep = 1.0  // step of the first observation; divided by the number of observations
	factorQuantile    = 0.25 // quantile of the observed times; most of the higher times include queueing
	minFactor         = 1.0 / 16
	maxFactor         = 8.0

	baseStep          = 0.05
	baseQuantile      = 0.3
	initialBaseMillis = 70.0
	minBaseMillis     = 1.0
	maxBaseTokens     = 500.0 // the base time is learned from prompts with fewer uncached tokens

	// maxPrefillMillis is the maximum prefill time of one prompt. Longer observations are reduced to it, and
	// notices with a longer time are invalid.
	maxPrefillMillis = 10_000.0
)

// prefillModel estimates how long engines take to prefill prompts. It learns from the times to the first
// token that this edge observes. It follows a low quantile of these times by small steps (stochastic
// approximation, Robbins and Monro, 1951), since most of the higher times include queueing.
type prefillModel struct {
	factor       float64 // ratio of the actual prefill time to the prior's
	observations int     // number of observations that factor is based on
	baseMillis   float64 // time to the first token of a prompt without uncached tokens
}

func newPrefillModel() prefillModel { return prefillModel{factor: 1, baseMillis: initialBaseMillis} }

// priorMillis returns the prior's estimate of the time to prefill the uncached tokens of a prompt.
func priorMillis(uncachedTokens, totalTokens float64) float64 {
	return uncachedTokens / priorTokensPerMillisecond * (1 + totalTokens/contextDoublingTokens)
}

// estimateMillis estimates how long an engine takes to prefill the uncached tokens of a prompt.
func (m *prefillModel) estimateMillis(uncachedTokens, totalTokens float64) float64 {
	return m.factor * priorMillis(uncachedTokens, totalTokens)
}

// observe updates the model by an observed time to the first token.
func (m *prefillModel) observe(timeToFirstToken time.Duration, uncachedTokens, totalTokens float64) {
	observedMillis := math.Min(float64(timeToFirstToken)/float64(time.Millisecond), maxPrefillMillis)
	if uncachedTokens < maxBaseTokens {
		base := stepTowardQuantile(m.baseMillis, observedMillis, baseStep, baseQuantile)
		m.baseMillis = math.Max(minBaseMillis, base)
	}
	prior := priorMillis(uncachedTokens, totalTokens)
	if prior < m.baseMillis {
		return // the prefill is too short, compared with other delays, to measure its time
	}
	m.observations++
	step := math.Max(minFactorStep, initialFactorStep/float64(m.observations))
	observedFactor := math.Max(observedMillis-m.baseMillis, 0) / prior
	factor := stepTowardQuantile(m.factor, observedFactor, step, factorQuantile)
	m.factor = math.Min(math.Max(factor, minFactor), maxFactor)
}

// stepTowardQuantile returns the estimate of a quantile after one observation. Its logarithm decreases by
// step*(1-quantile) if the observed value is below the estimate, and otherwise increases by step*quantile.
func stepTowardQuantile(estimate, observed, step, quantile float64) float64 {
	if observed < estimate {
		return estimate * math.Exp(-step*(1-quantile))
	}
	return estimate * math.Exp(step*quantile)
}
