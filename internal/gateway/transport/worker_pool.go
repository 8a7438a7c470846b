package transport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// ErrPoolExhausted tells that the gatekeeper has no descriptor to spare for one more connection.
var ErrPoolExhausted = errors.New("no connection to spare")

// WorkerIncarnation is one life of a worker, which ends when it drains, goes, moves or starts anew.
type WorkerIncarnation interface{ Valid() bool }

// WorkerPool keeps the connections to workers: idle ones for reuse, the most recent first, and no more in all
// than it is given.
type WorkerPool struct {
	mu              sync.Mutex
	idle            [][]*WorkerConn // by worker; the most recent last
	open            int
	retired         bool
	limit           int
	idleTimeout     time.Duration
	connectTimeout  time.Duration
	staleConns      atomic.Int64
	attemptsWritten atomic.Int64
}

// NewWorkerPool makes room for so many connections, which are dropped once they have been idle for keep.
func NewWorkerPool(limit int, idleTimeout, connectTimeout time.Duration) *WorkerPool {
	return &WorkerPool{limit: limit, idleTimeout: idleTimeout, connectTimeout: connectTimeout}
}

// TakeIdle gives the connection to a worker that was used last, or nil. Guards against one that the worker has
// closed without a word, on which a submission would be lost that may not be sent again, and one with bytes
// in it that would be read as the next submission's answer.
func (p *WorkerPool) TakeIdle(worker int) *WorkerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if worker >= len(p.idle) {
		return nil
	}
	p.closeExpired(worker)
	for idle := p.idle[worker]; len(idle) > 0; idle = p.idle[worker] {
		c := idle[len(idle)-1]
		p.idle[worker] = idle[:len(idle)-1]
		if c.incarnation.Valid() && isQuiescent(c.conn) {
			return c
		}
		p.closeLocked(c)
		p.staleConns.Add(1)
	}
	return nil
}

// StaleConns tells how many idle connections were found closed by the worker, with bytes in them, or of a life of
// it that has ended.
func (p *WorkerPool) StaleConns() int64 { return p.staleConns.Load() }

// OpenConns tells how many connections there are, idle ones and those that come up included.
func (p *WorkerPool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// AttemptsWritten tells how many submissions have been written whole.
func (p *WorkerPool) AttemptsWritten() int64 { return p.attemptsWritten.Load() }

// CountAttempt counts one that has.
func (p *WorkerPool) CountAttempt() { p.attemptsWritten.Add(1) }

// Dial opens a connection, within its own limit and until a moment.
func (p *WorkerPool) Dial(worker int, addr netip.AddrPort, deadline time.Time) (*WorkerConn, error) {
	p.mu.Lock()
	if p.open >= p.limit && !p.evictOldest() {
		p.mu.Unlock()
		return nil, ErrPoolExhausted
	}
	p.open++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: p.connectTimeout, Deadline: deadline, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", addr.String())
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			return nil, ErrPoolExhausted // the want is here, not at the worker
		}
		return nil, fmt.Errorf("worker: %w", err)
	}
	conn = bypassScheduler(conn)
	return newWorkerConn(conn, worker), nil
}

// Put takes a connection back whose answer has been read whole, if its worker still is what it was. Guards
// against a connection to a former life, or to another worker that had its place, and against what was read
// behind an answer that was passed on as it came: the next submission would take it for its own.
func (p *WorkerPool) Put(c *WorkerConn, incarnation WorkerIncarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Whether it holds is asked here, as the worker's end sheds what has been kept before it.
	if p.retired || c.reader.Buffered() > 0 || !incarnation.Valid() {
		return false
	}
	for len(p.idle) <= c.worker {
		p.idle = append(p.idle, nil)
	}
	c.idleSince, c.incarnation = time.Now(), incarnation
	c.bodyStopped.Store(false)
	c.forwarding.Store(false)
	p.idle[c.worker] = append(p.idle[c.worker], c)
	p.closeExpired(c.worker)
	return true
}

// Discard ends a connection.
func (p *WorkerPool) Discard(c *WorkerConn) {
	_ = c.conn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// CloseIdle ends the idle connections to a worker.
func (p *WorkerPool) CloseIdle(worker int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if worker < len(p.idle) {
		p.closeOldest(worker, len(p.idle[worker]))
	}
}

// Retire ends the idle connections, and keeps none from then on: what is free is another process's now.
func (p *WorkerPool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for worker := range p.idle {
		p.closeOldest(worker, len(p.idle[worker]))
	}
}

// closeExpired ends those connections of a worker that have been idle for too long.
func (p *WorkerPool) closeExpired(worker int) {
	expired, idle := 0, p.idle[worker]
	for expired < len(idle) && time.Since(idle[expired].idleSince) > p.idleTimeout {
		expired++
	}
	p.closeOldest(worker, expired)
}

// closeOldest ends the n connections of a worker that have been idle for the longest.
func (p *WorkerPool) closeOldest(worker, n int) {
	idle := p.idle[worker]
	for _, c := range idle[:n] {
		p.closeLocked(c)
	}
	p.idle[worker] = append(idle[:0], idle[n:]...)
}

// closeLocked closes a connection and frees its place, under the lock.
func (p *WorkerPool) closeLocked(c *WorkerConn) {
	_ = c.conn.Close()
	p.open--
}

// evictOldest ends the connection that has been idle for the longest, if there is one.
func (p *WorkerPool) evictOldest() bool {
	oldest := -1
	for worker, idle := range p.idle {
		if len(idle) > 0 && (oldest < 0 || idle[0].idleSince.Before(p.idle[oldest][0].idleSince)) {
			oldest = worker
		}
	}
	if oldest >= 0 {
		p.closeOldest(oldest, 1)
	}
	return oldest >= 0
}
