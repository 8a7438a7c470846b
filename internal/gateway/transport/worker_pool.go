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

// ErrNoRoom tells that the gatekeeper has no descriptor to spare for one more connection.
var ErrNoRoom = errors.New("no connection to spare")

// Life is one life of a worker, which ends when it drains, goes, moves or starts anew.
type Life interface{ Valid() bool }

// Links keeps the connections to workers: idle ones for reuse, the most recent first, and no more in all
// than it is given.
type Links struct {
	mu      sync.Mutex
	idle    [][]*Link // by worker; the most recent last
	open    int
	retired bool
	most    int
	keep    time.Duration
	connect time.Duration
	spoilt  atomic.Int64
	tries   atomic.Int64
}

// NewLinks makes room for so many connections, which are dropped once they have been idle for keep.
func NewLinks(most int, keep, connect time.Duration) *Links {
	return &Links{most: most, keep: keep, connect: connect}
}

// Idle gives the connection to a worker that was used last, or nil. Guards against one that the worker has
// closed without a word, on which a submission would be lost that may not be sent again, and one with bytes
// in it that would be read as the next submission's answer.
func (p *Links) Idle(worker int) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if worker >= len(p.idle) {
		return nil
	}
	p.prune(worker)
	for s := p.idle[worker]; len(s) > 0; s = p.idle[worker] {
		l := s[len(s)-1]
		p.idle[worker] = s[:len(s)-1]
		if l.of.Valid() && quiet(l.conn) {
			return l
		}
		p.end(l)
		p.spoilt.Add(1)
	}
	return nil
}

// Spoilt tells how many idle connections were found closed by the worker, with bytes in them, or of a life of
// it that has ended.
func (p *Links) Spoilt() int64 { return p.spoilt.Load() }

// Open tells how many connections there are, idle ones and those that come up included.
func (p *Links) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Tries tells how many submissions have been written whole.
func (p *Links) Tries() int64 { return p.tries.Load() }

// Wrote counts one that has.
func (p *Links) Wrote() { p.tries.Add(1) }

// Dial opens a connection, within its own limit and until a moment.
func (p *Links) Dial(worker int, addr netip.AddrPort, until time.Time) (*Link, error) {
	p.mu.Lock()
	if p.open >= p.most && !p.dropOldest() {
		p.mu.Unlock()
		return nil, ErrNoRoom
	}
	p.open++
	p.mu.Unlock()
	d := net.Dialer{Timeout: p.connect, Deadline: until, KeepAlive: -1}
	conn, err := d.Dial("tcp", addr.String())
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			return nil, ErrNoRoom // the want is here, not at the worker
		}
		return nil, fmt.Errorf("worker: %w", err)
	}
	conn = hasten(conn)
	return newLink(conn, worker), nil
}

// Keep takes a connection back whose answer has been read whole, if its worker still is what it was. Guards
// against a connection to a former life, or to another worker that had its place, and against what was read
// behind an answer that was passed on as it came: the next submission would take it for its own.
func (p *Links) Keep(l *Link, of Life) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Whether it holds is asked here, as the worker's end sheds what has been kept before it.
	if p.retired || l.in.Buffered() > 0 || !of.Valid() {
		return false
	}
	for len(p.idle) <= l.worker {
		p.idle = append(p.idle, nil)
	}
	l.idle, l.of = time.Now(), of
	l.halted.Store(false)
	l.passing.Store(false)
	p.idle[l.worker] = append(p.idle[l.worker], l)
	p.prune(l.worker)
	return true
}

// Drop ends a connection.
func (p *Links) Drop(l *Link) {
	_ = l.conn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Shed ends the idle connections to a worker.
func (p *Links) Shed(worker int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if worker < len(p.idle) {
		p.cut(worker, len(p.idle[worker]))
	}
}

// Retire ends the idle connections, and keeps none from then on: what is free is another process's now.
func (p *Links) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for w := range p.idle {
		p.cut(w, len(p.idle[w]))
	}
}

// prune ends those connections of a worker that have been idle for too long.
func (p *Links) prune(worker int) {
	n, s := 0, p.idle[worker]
	for n < len(s) && time.Since(s[n].idle) > p.keep {
		n++
	}
	p.cut(worker, n)
}

// cut ends the n connections of a worker that have been idle for the longest.
func (p *Links) cut(worker, n int) {
	s := p.idle[worker]
	for _, l := range s[:n] {
		p.end(l)
	}
	p.idle[worker] = append(s[:0], s[n:]...)
}

// end closes a connection and frees its place, under the lock.
func (p *Links) end(l *Link) {
	_ = l.conn.Close()
	p.open--
}

// dropOldest ends the connection that has been idle for the longest, if there is one.
func (p *Links) dropOldest() bool {
	at := -1
	for w, s := range p.idle {
		if len(s) > 0 && (at < 0 || s[0].idle.Before(p.idle[at][0].idle)) {
			at = w
		}
	}
	if at >= 0 {
		p.cut(at, 1)
	}
	return at >= 0
}
