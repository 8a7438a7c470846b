package workerlink

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/framing"
)

const (
	unacknowledgedTimeout = 700 * time.Millisecond // of sent bytes, until the kernel resets the connection
	defaultIdleTimeout    = 2 * time.Second        // of a connection, where the worker states none
	idleTimeoutMargin     = 700 * time.Millisecond // below the idle time-out that a worker states
	readBufferBytes       = 8 << 10
)

// keepAlive detects within some seconds that a worker which should send is lost: then nothing of ours is in
// flight that could stay unacknowledged.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Conn is a connection to a worker. It carries one request at a time and is not safe for concurrent use.
type Conn struct {
	net.Conn
	reader    *bufio.Reader // used by the idle watch between watchIdle and stopWatching
	head      *headLimiter  // below reader
	idleUntil time.Time
	quiet     chan bool // receives, once, whether nothing arrived while the connection was idle
	requests  int       // sent on it
	responses int       // received on it, interim ones (1xx) excluded
}

// Pool holds the idle connections to workers.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn // by address, the longest idle first; guarded by mu
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// Get returns an idle connection to address that is still usable, or dials one. Any error is an ErrNotSent.
func (p *Pool) Get(ctx context.Context, address string, dialTimeout time.Duration) (*Conn, error) {
	for {
		connection := p.takeIdle(address)
		if connection == nil {
			return dial(ctx, address, dialTimeout)
		}
		if connection.stopWatching() {
			return connection, nil
		}
		connection.Close()
	}
}

// takeIdle removes the newest idle connection from the pool, or returns nil.
func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	connection := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return connection
}

func dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{
		Timeout: timeout, KeepAliveConfig: keepAlive, Control: framing.UserTimeout(unacknowledgedTimeout),
	}
	connection, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	head := &headLimiter{source: connection}
	return &Conn{Conn: connection, reader: bufio.NewReaderSize(head, readBufferBytes), head: head}, nil
}

// Requests returns how many requests were sent on the connection.
func (c *Conn) Requests() int { return c.requests }

// Put returns a connection to the pool after a complete exchange, until idleUntil at most.
func (p *Pool) Put(address string, connection *Conn, idleUntil time.Time) {
	unusable := connection.reader.Buffered() > 0 || !time.Now().Before(idleUntil)
	if unusable || connection.SetDeadline(time.Time{}) != nil {
		connection.Close() // bytes after a complete response belong to no request
		return
	}
	connection.idleUntil = idleUntil
	connection.watchIdle()
	p.mu.Lock()
	p.idle[address] = append(p.idle[address], connection)
	p.mu.Unlock()
}

// watchIdle starts to watch an idle connection: whatever arrives on it, its end too, makes it unusable. The
// goroutine ends with the connection, or by the read deadline that stopWatching sets.
func (c *Conn) watchIdle() {
	quiet := make(chan bool, 1)
	c.quiet = quiet
	go func() {
		_, err := c.reader.Peek(1)
		quiet <- errors.Is(err, os.ErrDeadlineExceeded)
	}()
}

// stopWatching ends the idle watch and reports whether the connection can carry a request.
func (c *Conn) stopWatching() bool {
	if time.Now().After(c.idleUntil) {
		return false
	}
	if c.SetReadDeadline(time.Unix(1, 0)) != nil || !<-c.quiet || c.reader.Buffered() > 0 {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

// CloseExpired closes the idle connections whose idle time-out has passed, and all to addresses that wanted
// rejects.
func (p *Pool) CloseExpired(wanted func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, connection := range list {
			if wanted(address) && now.Before(connection.idleUntil) {
				kept = append(kept, connection)
			} else {
				connection.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// CloseIdle closes the idle connections to address, whose worker may have failed, and expired ones to others.
func (p *Pool) CloseIdle(address string) {
	p.CloseExpired(func(other string) bool { return other != address })
}
