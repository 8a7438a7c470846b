// Package footprint measures what one more element of each kind costs a process: a member, plan or word of
// the agreed rules, a peer, route or worker in the configuration, a customer in the module, a gatekeeper
// among those that tell each other. It uses the packages as the daemons do, without sockets.
package footprint

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"time"
)

const (
	rounds = 5
	shows  = 4 << 20 // bytes held by copies, beside which what else moves in the heap is little
)

// Tests that ask for no more than that something was measured make do with less.
var (
	least      = 20 * time.Millisecond // of a round; shorter works are repeated within it
	mostCopies = 4096
)

// ErrRefused tells that the program does not take so many; larger sizes are left out.
var ErrRefused = errors.New("refused")

// Value is one figure of a measurement.
type Value struct {
	Role, Figure, Unit string
	Value              float64
}

// Element is a kind of element, and what measures a number of them.
type Element struct {
	Name, Over string
	Sizes      []int
	Measure    func(n int) ([]Value, error)
}

// Bound is a bound of the program: Takes tells why so many are refused, nil where they are not.
type Bound struct {
	Role, What string
	Coming     int
	Takes      func(n int) error
}

// Most finds the largest number that is taken, up to a number, and what is said to one more. Whatever takes n
// takes less.
func (b *Bound) Most(up int) (most int, says error) {
	if b.Takes(up) == nil {
		return up, nil
	}
	low, high := 0, up // low is taken, high is not
	for high-low > 1 {
		if mid := (low + high) / 2; b.Takes(mid) == nil {
			low = mid
		} else {
			high = mid
		}
	}
	return low, b.Takes(high)
}

// took gives the ms that a work takes, the median of some rounds.
func took(work func()) float64 {
	var all []float64
	for range rounds {
		n := 0
		start := time.Now()
		for n == 0 || time.Since(start) < least {
			work()
			n++
		}
		all = append(all, float64(time.Since(start).Nanoseconds())/1e6/float64(n))
	}
	return median(all)
}

// median of some figures.
func median(all []float64) float64 {
	slices.Sort(all)
	return all[len(all)/2]
}

// allocated gives the bytes that a work allocates.
func allocated(work func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	work()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}

// keeps gives the bytes that what is made holds on to: of as many as show beside what the process does
// anyway.
func keeps[T any](create func() T) (x T, bytes float64) {
	for n := 1; ; n *= 8 {
		var before, after runtime.MemStats
		var all []T
		collectGarbage(&before)
		for range n {
			all = append(all, create())
		}
		collectGarbage(&after)
		held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
		runtime.KeepAlive(all)
		if held > shows || n >= mostCopies {
			return all[0], max(held, 0) / float64(n)
		}
	}
}

// collectGarbage reads the heap when nothing more can be freed; a second collection frees what the first had
// to end.
func collectGarbage(m *runtime.MemStats) {
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(m)
}

// Run measures all, and tells of each.
func Run(all []Element, tell func(e *Element, n int, values []Value)) error {
	for i := range all {
		e := &all[i]
		for _, n := range e.Sizes {
			values, err := e.Measure(n)
			if errors.Is(err, ErrRefused) { // Bounds tells which
				break
			}
			if err != nil {
				return fmt.Errorf("%s of %d %s: %w", e.Name, n, e.Over, err)
			}
			tell(e, n, values)
		}
	}
	return nil
}
