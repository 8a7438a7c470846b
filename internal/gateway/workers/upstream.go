package workers

import "net/netip"

// Upstream is a worker's state when an attempt was decided.
type Upstream struct {
	Worker     int // its slot
	Addr       netip.AddrPort
	worker     *worker
	generation int64
}

// Valid reports whether the worker has not been drained, removed, restarted or moved to another address, zone
// or cell since. It is safe for concurrent use.
func (u *Upstream) Valid() bool { return u.worker.generation.Load() == u.generation }

// Name returns the worker's name.
func (u *Upstream) Name() string { return u.worker.name }
