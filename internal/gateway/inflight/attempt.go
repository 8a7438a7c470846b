package inflight

import (
	"sync"

	"willowdeck/internal/gateway/transport"
)

// Attempt is one delivery of a request to a worker. Its methods may be called by any goroutine.
type Attempt struct {
	Recorded bool // history has its start; belongs to the goroutine that carries the attempt

	mu        sync.Mutex // guards what follows
	link      *transport.WorkerConn
	cancelled bool
}

// Start assigns the attempt to a connection. It is false where the attempt was cancelled before.
func (a *Attempt) Start(link *transport.WorkerConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled {
		return false
	}
	a.link = link
	return true
}

// Finish releases the attempt's connection, and tells whether the attempt was cancelled before.
func (a *Attempt) Finish() (cancelled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.link = nil
	return a.cancelled
}

// Cancel aborts the attempt; one that has not started never will.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	if a.link != nil {
		a.link.Abort()
	}
}

// CancelUnsent cancels the attempt unless it has started.
func (a *Attempt) CancelUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = a.cancelled || a.link == nil
}
