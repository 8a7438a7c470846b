package wire

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/logic"
)

// Limited is a listener that has no more than so many connections open at once. One more is held back: until
// it has a place, connections end with their next answer, and one that has long asked nothing is ended.
// Nobody is turned away with an answer that no one decided on.
type Limited struct {
	net.Listener
	most   int
	freed  chan struct{}
	closed chan struct{}
	once   sync.Once
	shed   atomic.Int64
	held   atomic.Bool // a connection waits for a place
	ending atomic.Bool // all are to end

	mu   sync.Mutex
	open map[*placed]bool
}

// Limit bounds the connections that a listener has open at once.
func Limit(l net.Listener, most int) *Limited {
	return &Limited{Listener: l, most: max(most, 1), freed: make(chan struct{}, 1), closed: make(chan struct{}),
		open: map[*placed]bool{}}
}

// Accept takes the next connection, and holds it back until there is room for it.
func (l *Limited) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for err != nil {
		// Guards against a moment without descriptors, or a client gone before it is met: the front must not end.
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(Millis(logic.AcceptAgain)):
		}
		c, err = l.Listener.Accept()
	}
	defer l.held.Store(false)
	for !l.room() {
		l.held.Store(true)
		select {
		case <-l.freed:
		case <-time.After(Millis(logic.AcceptAgain)): // one may have become idle
		case <-l.closed:
			_ = c.Close()
			return nil, net.ErrClosed
		}
	}
	p := &placed{Conn: hasten(c), of: l}
	p.idle.Store(time.Now().UnixNano())
	l.mu.Lock()
	l.open[p] = true
	l.mu.Unlock()
	return p, nil
}

// room tells whether one more may be taken, and makes room if it can.
func (l *Limited) room() bool {
	l.mu.Lock()
	full := len(l.open) >= l.most
	var oldest *placed
	since := time.Now().Add(-Millis(logic.IdleLong)).UnixNano()
	for p := range l.open {
		if t := p.idle.Load(); full && t != 0 && t < since {
			oldest, since = p, t
		}
	}
	l.mu.Unlock()
	// Guards against ending a connection in which a txn lies unread: the machine has taken it.
	if oldest == nil || !quiet(oldest.Conn) {
		return !full
	}
	l.shed.Add(1)
	_ = oldest.Close()
	return true
}

// Drain ends the idle connections, each once nothing lies unread in it, and lets the others end with their
// next answer. Guards against a stop that ends a connection with a txn in it that the machine has taken.
func (l *Limited) Drain() {
	l.ending.Store(true)
	for left := true; left; time.Sleep(Millis(logic.AcceptAgain)) {
		l.mu.Lock()
		var idle []*placed
		for p := range l.open {
			if p.idle.Load() != 0 {
				idle = append(idle, p)
			}
		}
		l.mu.Unlock()
		left = false
		for _, p := range idle {
			settled := time.Since(time.Unix(0, p.idle.Load())) > Millis(logic.AcceptAgain)
			if settled && quiet(p.Conn) {
				_ = p.Close()
			} else if !p.Gone() {
				left = true
			}
		}
	}
}

// Shed tells how many idle connections were ended to make room.
func (l *Limited) Shed() int64 { return l.shed.Load() }

// Close ends Accept.
func (l *Limited) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// placed is a client's connection; its place is free once it is closed.
type placed struct {
	net.Conn
	of   *Limited
	idle atomic.Int64 // since when it has asked nothing, Unix ns; 0 while a txn of it is in hand
	once sync.Once
}

// noteState keeps track of which connections are idle, for the server to call.
func noteState(c net.Conn, s fasthttp.ConnState) {
	p, ok := c.(*placed)
	switch {
	case !ok:
	case s == fasthttp.StateActive:
		p.idle.Store(0)
	case s == fasthttp.StateIdle:
		p.idle.Store(time.Now().UnixNano())
	}
}

// Gone tells whether the client has closed the connection, where that can be seen.
func (c *placed) Gone() bool {
	l, ok := c.Conn.(client)
	return ok && l.Gone()
}

// wanted tells whether the connection should end with its next answer.
func (c *placed) wanted() bool { return c.of.held.Load() || c.of.ending.Load() }

// quiet tells whether a connection is up and nothing lies unread in it. Where that cannot be seen it counts
// as quiet, or a stop would never end.
func quiet(c net.Conn) bool {
	q, ok := c.(interface{ Quiet() bool })
	return !ok || q.Quiet()
}

func (c *placed) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.of.mu.Lock()
		delete(c.of.open, c)
		c.of.mu.Unlock()
		select {
		case c.of.freed <- struct{}{}:
		default:
		}
	})
	return err
}
