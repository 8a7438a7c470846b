package inflight

import (
	"sync"

	"willowdeck/internal/gateway/transport"
)

// Attempt is one delivery of a request to a worker. Its methods may be called by any goroutine.
type Attempt struct {
	// Recorded is whether the event history contains the attempt's start. Only the goroutine that makes the
	// attempt uses it.
	Recorded bool

	mu        sync.Mutex // guards the fields below
	link      *transport.WorkerConn
	cancelled bool
}

// Start assigns the attempt to a connection. It returns false if the attempt has already been cancelled.
func (a *Attempt) Start(link *transport.WorkerConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled {
		return false
	}
	a.link = link
	return true
}

// Finish releases the attempt's connection and reports whether the attempt has been cancelled.
func (a *Attempt) Finish() (cancelled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.link = nil
	return a.cancelled
}

// Cancel aborts the attempt's connection if the attempt has started, and prevents it from starting otherwise.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	if a.link != nil {
		a.link.Abort()
	}
}

// CancelUnsent cancels the attempt unless it is assigned to a connection.
func (a *Attempt) CancelUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = a.cancelled || a.link == nil
}
