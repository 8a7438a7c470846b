package workers

import "net/netip"

// Upstream is a worker as it was when an attempt was decided on.
type Upstream struct {
	Worker     int // its slot
	Addr       netip.AddrPort
	worker     *worker
	generation int64
}

// Valid tells whether the worker still takes new attempts and has not moved or restarted since. Any
// goroutine may call it.
func (u *Upstream) Valid() bool { return u.worker.generation.Load() == u.generation }

// Name is the worker's name.
func (u *Upstream) Name() string { return u.worker.name }
