package decay

import (
	"math"
	"time"
)

// Sum is a sum of amounts that decay exponentially with one time constant. Times are on the caller's clock.
// The zero Sum is not usable; use NewSum.
type Sum struct {
	timeConstantSeconds float64
	value               float64 // the sum at updatedAt
	updatedAt           time.Duration
}

// NewSum returns an empty sum whose amounts decay to 1/e within timeConstant, which must be positive.
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
