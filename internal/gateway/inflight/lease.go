package inflight

import (
	"sync/atomic"

	"willowdeck/internal/bootclock"
)

// Lease permits acting on a version of the ruleset until an expiry, a time of bootclock. An attempt keeps the
// lease under which it was decided. A nil lease means that the gateway uses no rulesets; it never expires.
type Lease struct {
	RulesetVersion uint64       // 0 if no version is in force
	Mode           string       // its name in the event history
	expiryNanos    atomic.Int64 // time of bootclock; 0 after Revoke
}

// NewLease returns a lease that expires at expiryNanos, a time of bootclock.
func NewLease(rulesetVersion uint64, mode string, expiryNanos int64) *Lease {
	l := &Lease{RulesetVersion: rulesetVersion, Mode: mode}
	l.expiryNanos.Store(expiryNanos)
	return l
}

// Version returns the ruleset's version, or 0 for a nil lease.
func (l *Lease) Version() uint64 {
	if l == nil {
		return 0
	}
	return l.RulesetVersion
}

// ModeName returns the mode, or an empty string for a nil lease.
func (l *Lease) ModeName() string {
	if l == nil {
		return ""
	}
	return l.Mode
}

// Valid reports whether the lease has neither expired nor been revoked. It is safe for concurrent use.
func (l *Lease) Valid() bool { return l == nil || bootclock.Nanos() < l.expiryNanos.Load() }

// Expiry returns the time of bootclock at which the lease expires, in ns. It is 0 for a revoked lease.
func (l *Lease) Expiry() int64 { return l.expiryNanos.Load() }

// Renew extends the lease to expiryNanos, a time of bootclock. It does nothing if the lease was revoked or
// already expires at that time or later.
func (l *Lease) Renew(expiryNanos int64) {
	for {
		current := l.expiryNanos.Load()
		if current == 0 || expiryNanos <= current || l.expiryNanos.CompareAndSwap(current, expiryNanos) {
			return
		}
	}
}

// Revoke invalidates the lease permanently.
func (l *Lease) Revoke() { l.expiryNanos.Store(0) }
