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

// ErrPoolExhausted reports that the pool, or the process, has no descriptor left for a connection.
var ErrPoolExhausted = errors.New("connection pool exhausted")

// WorkerIncarnation is one incarnation of a worker: Valid gives false once it drains, is removed, moves or
// restarts.
type WorkerIncarnation interface{ Valid() bool }

// WorkerPool holds the connections to all workers, within a limit. Idle ones are reused, the most recent
// first.
type WorkerPool struct {
	mu              sync.Mutex      // guards idle, open and retired
	idle            [][]*WorkerConn // by worker; the most recent last
	open            int
	retired         bool
	limit           int
	idleTimeout     time.Duration
	connectTimeout  time.Duration
	staleConns      atomic.Int64
	attemptsWritten atomic.Int64
}

// NewWorkerPool makes a pool of at most limit connections. An idle connection is closed after idleTimeout; a
// new one has connectTimeout to be established.
func NewWorkerPool(limit int, idleTimeout, connectTimeout time.Duration) *WorkerPool {
	return &WorkerPool{limit: limit, idleTimeout: idleTimeout, connectTimeout: connectTimeout}
}

// TakeIdle takes the connection to a worker that was used last, or gives nil. Guards against a connection
// that the worker has closed silently, on which an attempt that may not be retried would be lost, and against
// one with unread bytes, which would be taken for the next answer.
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

// StaleConns counts the idle connections that were found closed by the worker, with unread bytes, or of an
// incarnation that has ended.
func (p *WorkerPool) StaleConns() int64 { return p.staleConns.Load() }

// OpenConns is how many connections there are, idle ones and those being established included.
func (p *WorkerPool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// AttemptsWritten counts the attempts that were written completely.
func (p *WorkerPool) AttemptsWritten() int64 { return p.attemptsWritten.Load() }

// CountAttempt counts an attempt that was written completely.
func (p *WorkerPool) CountAttempt() { p.attemptsWritten.Add(1) }

// Dial establishes a connection, within connectTimeout and until deadline. Its error is ErrPoolExhausted
// where the cause is not the worker.
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
			return nil, ErrPoolExhausted // the cause is here, not at the worker
		}
		return nil, fmt.Errorf("worker: %w", err)
	}
	conn = bypassScheduler(conn)
	return newWorkerConn(conn, worker), nil
}

// Put takes a connection back whose answer has been read completely, and tells whether it did: the
// incarnation must still be valid. Guards against a connection to an earlier incarnation, or to another
// worker that had the index, and against bytes that were read behind a forwarded answer: the next attempt
// would take them for its own.
func (p *WorkerPool) Put(c *WorkerConn, incarnation WorkerIncarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Valid is asked under the lock: CloseIdle follows the end of an incarnation.
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

// Discard closes a connection that was dialed or taken.
func (p *WorkerPool) Discard(c *WorkerConn) {
	_ = c.conn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// CloseIdle closes the idle connections to a worker.
func (p *WorkerPool) CloseIdle(worker int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if worker < len(p.idle) {
		p.closeOldest(worker, len(p.idle[worker]))
	}
}

// Retire closes the idle connections and lets Put refuse all from then on: the descriptors are for the
// successor.
func (p *WorkerPool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for worker := range p.idle {
		p.closeOldest(worker, len(p.idle[worker]))
	}
}

// closeExpired closes the connections to a worker that have been idle for longer than idleTimeout.
func (p *WorkerPool) closeExpired(worker int) {
	expired, idle := 0, p.idle[worker]
	for expired < len(idle) && time.Since(idle[expired].idleSince) > p.idleTimeout {
		expired++
	}
	p.closeOldest(worker, expired)
}

// closeOldest closes the n connections to a worker that have been idle for longest.
func (p *WorkerPool) closeOldest(worker, n int) {
	idle := p.idle[worker]
	for _, c := range idle[:n] {
		p.closeLocked(c)
	}
	p.idle[worker] = append(idle[:0], idle[n:]...)
}

// closeLocked closes a connection and gives its place free. The caller holds mu.
func (p *WorkerPool) closeLocked(c *WorkerConn) {
	_ = c.conn.Close()
	p.open--
}

// evictOldest closes the connection that has been idle for longest, and tells whether there was one.
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
