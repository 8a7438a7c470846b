// Package workerlink speaks to workers: a pool of connections per worker, one request at a time on each.
// Nothing is ever sent a second time here: the caller decides that, from the typed error that says whether
// the request may have run.
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
	unacknowledged = 700 * time.Millisecond // sent bytes, until the kernel gives a worker up
	defaultIdle    = 2 * time.Second        // that a connection is kept where the worker states no time
	idleMargin     = 700 * time.Millisecond // under the time that a worker states
	readBuffer     = 8 << 10
)

// keepAlive finds out within some seconds that a worker which should send is gone: then nothing of ours is
// on its way that could stay unacknowledged.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Conn is a connection to a worker.
type Conn struct {
	net.Conn
	reader    *bufio.Reader
	idleUntil time.Time
	watch     chan bool // tells, once, whether the idle connection is still quiet
	requests  int       // that were sent on it
	answers   int       // that came on it
}

// Pool holds the idle connections to workers, by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool makes an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// Get returns an idle connection to address that is still good, or dials one.
func (p *Pool) Get(ctx context.Context, address string, dialTimeout time.Duration) (*Conn, error) {
	for {
		connection := p.takeIdle(address)
		if connection == nil {
			return dial(ctx, address, dialTimeout)
		}
		if connection.wake() {
			return connection, nil
		}
		connection.Close()
	}
}

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
		Timeout: timeout, KeepAliveConfig: keepAlive, Control: framing.UserTimeout(unacknowledged),
	}
	connection, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return &Conn{Conn: connection, reader: bufio.NewReaderSize(connection, readBuffer)}, nil
}

// Put gives a connection back after a whole exchange. life is how long the worker keeps it, 0 where it did
// not say.
func (p *Pool) Put(address string, connection *Conn, life time.Duration) {
	keep := defaultIdle
	if life > 0 {
		keep = life - idleMargin
	}
	if connection.reader.Buffered() > 0 || keep <= 0 || connection.SetDeadline(time.Time{}) != nil {
		connection.Close() // bytes behind a whole answer belong to no request
		return
	}
	connection.idleUntil = time.Now().Add(keep)
	connection.sleep()
	p.mu.Lock()
	p.idle[address] = append(p.idle[address], connection)
	p.mu.Unlock()
}

// sleep watches an idle connection: whatever comes on it spoils it.
func (c *Conn) sleep() {
	watch := make(chan bool, 1)
	c.watch = watch
	go func() {
		_, err := c.reader.Peek(1)
		watch <- errors.Is(err, os.ErrDeadlineExceeded)
	}()
}

// wake ends the watch and reports whether the connection can carry a request.
func (c *Conn) wake() bool {
	if time.Now().After(c.idleUntil) {
		return false
	}
	if c.SetReadDeadline(time.Unix(1, 0)) != nil || !<-c.watch || c.reader.Buffered() > 0 {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

// Sweep closes idle connections whose time is over, and all to addresses that are not wanted any more.
func (p *Pool) Sweep(wanted func(address string) bool) {
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

// Drop closes the idle connections to a worker that is in doubt.
func (p *Pool) Drop(address string) {
	p.Sweep(func(other string) bool { return other != address })
}
