package inflight

import (
	"math"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// Boot is the time since the machine's start, ns, which goes on while a process stands still and while the
// machine sleeps.
func Boot() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return math.MaxInt64 // nothing holds where time can't be told
	}
	return t.Nano()
}

// Terms are what is gone by for a while: a version of the rules, and how far it is in force here. A
// submission keeps those that it was decided by.
type Terms struct {
	Version uint64       // 0 where none is gone by
	Mode    string       // as history names it
	until   atomic.Int64 // as Boot has it
}

// NewTerms makes terms that hold until a moment of Boot's, and no longer.
func NewTerms(version uint64, mode string, until int64) *Terms {
	t := &Terms{Version: version, Mode: mode}
	t.until.Store(until)
	return t
}

// Number gives their version; 0 where there are none.
func (t *Terms) Number() uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}

// Named gives their mode; empty where there are none.
func (t *Terms) Named() string {
	if t == nil {
		return ""
	}
	return t.Mode
}

// Holds tells whether they may be acted on now. Any goroutine may ask. Nil holds for good.
func (t *Terms) Holds() bool { return t == nil || Boot() < t.until.Load() }

// Until gives the moment up to which they hold.
func (t *Terms) Until() int64 { return t.until.Load() }

// Extend has terms that are gone by hold for longer, but not those that have been ended.
func (t *Terms) Extend(until int64) {
	for {
		was := t.until.Load()
		if was == 0 || until <= was || t.until.CompareAndSwap(was, until) {
			return
		}
	}
}

// End ends them for good.
func (t *Terms) End() { t.until.Store(0) }
