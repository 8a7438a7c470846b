package scale

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Tally counts what passes connections.
type Tally struct{ In, Out, Messages atomic.Int64 }

// counted is a connection whose bytes are counted. A message is what is written in one go after something was
// read, or at first: a question of a connection that is asked and answered in turn.
type counted struct {
	net.Conn
	t    *Tally
	said atomic.Bool
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.t.In.Add(int64(n))
		c.said.Store(false)
	}
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	if !c.said.Swap(true) {
		c.t.Messages.Add(1)
	}
	n, err := c.Conn.Write(b)
	c.t.Out.Add(int64(n))
	return n, err
}

// listener counts what passes the connections that it takes.
type listener struct {
	net.Listener
	t *Tally
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{Conn: c, t: l.t}, nil
}

// meter passes connections on to an address and counts, for a real process that counts nothing itself: in is
// what came to the address, out what came back from it.
type meter struct {
	Tally
	at, to string
	l      net.Listener
	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
	wait   sync.WaitGroup
}

func newMeter(at, to string) (*meter, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	m := &meter{at: l.Addr().String(), to: to, l: l, open: map[net.Conn]bool{}}
	m.wait.Add(1)
	go m.run()
	return m, nil
}

func (m *meter) run() {
	defer m.wait.Done()
	for {
		c, err := m.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		m.wait.Add(1)
		go m.pass(c)
	}
}

// keep notes a connection that is open; false once all is over.
func (m *meter) keep(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		_ = c.Close()
		return false
	}
	m.open[c] = true
	return true
}

func (m *meter) drop(c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.open, c)
	_ = c.Close()
}

func (m *meter) pass(c net.Conn) {
	defer m.wait.Done()
	if !m.keep(c) {
		return
	}
	defer m.drop(c)
	to, err := net.Dial("tcp", m.to)
	if err != nil || !m.keep(to) {
		return
	}
	defer m.drop(to)
	var asks atomic.Bool // the last that passed was a question
	m.wait.Add(1)
	go func() {
		defer m.wait.Done()
		_, _ = io.Copy(to, through{c, func(n int) {
			m.In.Add(int64(n))
			if !asks.Swap(true) {
				m.Messages.Add(1)
			}
		}})
		_ = to.Close()
		_ = c.Close()
	}()
	_, _ = io.Copy(c, through{to, func(n int) {
		m.Out.Add(int64(n))
		asks.Store(false)
	}})
}

// through reads on, and tells how much.
type through struct {
	r    io.Reader
	tell func(int)
}

func (t through) Read(b []byte) (int, error) {
	n, err := t.r.Read(b)
	if n > 0 {
		t.tell(n)
	}
	return n, err
}

// close ends it with all of its connections, and waits for its goroutines.
func (m *meter) close() {
	_ = m.l.Close()
	m.mu.Lock()
	m.closed = true
	for c := range m.open {
		_ = c.Close()
	}
	m.mu.Unlock()
	m.wait.Wait()
}
