package inflight

import (
	"sync/atomic"

	"willowdeck/internal/bootclock"
)

// Lease permits acting on a version of the ruleset until an expiry by bootclock. An attempt keeps the one
// that it was decided by. A nil lease stands for a gateway without rulesets, and never expires.
type Lease struct {
	RulesetVersion uint64       // 0 where no version is in force
	Mode           string       // as history names it
	expiryNanos    atomic.Int64 // by bootclock; 0 once it is revoked
}

// NewLease makes a lease that expires at a time of bootclock, in ns.
func NewLease(rulesetVersion uint64, mode string, expiryNanos int64) *Lease {
	l := &Lease{RulesetVersion: rulesetVersion, Mode: mode}
	l.expiryNanos.Store(expiryNanos)
	return l
}

// Version gives the ruleset's version; 0 for a nil lease.
func (l *Lease) Version() uint64 {
	if l == nil {
		return 0
	}
	return l.RulesetVersion
}

// ModeName gives the mode; empty for a nil lease.
func (l *Lease) ModeName() string {
	if l == nil {
		return ""
	}
	return l.Mode
}

// Valid tells whether the lease has not expired. Any goroutine may call it.
func (l *Lease) Valid() bool { return l == nil || bootclock.Nanos() < l.expiryNanos.Load() }

// Expiry gives the time of bootclock at which the lease expires, in ns.
func (l *Lease) Expiry() int64 { return l.expiryNanos.Load() }

// Renew moves the expiry to a later time, in ns, unless the lease was revoked.
func (l *Lease) Renew(expiryNanos int64) {
	for {
		current := l.expiryNanos.Load()
		if current == 0 || expiryNanos <= current || l.expiryNanos.CompareAndSwap(current, expiryNanos) {
			return
		}
	}
}

// Revoke ends the lease for good.
func (l *Lease) Revoke() { l.expiryNanos.Store(0) }
