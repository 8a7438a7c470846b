package inflight

import (
	"testing"

	"willowdeck/internal/bootclock"
)

// A lease is valid until its expiry, also one that was renewed, and never again once it was revoked.
func TestLease(t *testing.T) {
	const hour = 3600e9
	always := (*Lease)(nil)
	expired, current := NewLease(1, "leased", bootclock.Nanos()), NewLease(1, "leased", bootclock.Nanos()+hour)
	if !always.Valid() || expired.Valid() || !current.Valid() {
		t.Error("a lease is not valid until its expiry alone")
	}
	if expired.Renew(bootclock.Nanos() + hour); !expired.Valid() {
		t.Error("not renewed")
	}
	expired.Revoke()
	if expired.Renew(bootclock.Nanos() + hour); expired.Valid() {
		t.Error("a revoked lease is valid again")
	}
}
