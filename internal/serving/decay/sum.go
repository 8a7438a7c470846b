package decay

import (
	"math"
	"time"
)

// Sum is a sum of amounts that decay exponentially with one time constant. Times are those of the caller's
// clock. The zero Sum is not usable; NewSum makes one.
type Sum struct {
	timeConstantSeconds float64
	value               float64 // as of updatedAt
	updatedAt           time.Duration
}

// NewSum returns an empty sum whose amounts are down to 1/e after timeConstant, which must be positive.
func NewSum(timeConstant time.Duration) Sum { return Sum{timeConstantSeconds: timeConstant.Seconds()} }

// Add adds an amount at now.
func (s *Sum) Add(now time.Duration, amount float64) {
	s.value = s.At(now) + amount
	s.updatedAt = now
}

// At returns the sum at now.
func (s *Sum) At(now time.Duration) float64 {
	return s.value * math.Exp(-(now-s.updatedAt).Seconds()/s.timeConstantSeconds)
}
