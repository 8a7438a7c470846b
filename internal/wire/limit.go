package wire

import (
	"net"
	"sync"
	"time"

	"willowdeck/logic"
)

// limited is a listener that takes a connection only while fewer than so many are open. Those that come
// beyond wait in the machine's queue: nobody is turned away with an answer that no one decided on.
type limited struct {
	net.Listener
	places chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Limit bounds the connections that a listener has open at once.
func Limit(l net.Listener, most int) net.Listener {
	return &limited{Listener: l, places: make(chan struct{}, max(most, 1)), closed: make(chan struct{})}
}

func (l *limited) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	for err != nil {
		// Guards against a moment without descriptors, or a client gone before it is met: the front must not end.
		select {
		case <-l.closed:
			<-l.places
			return nil, net.ErrClosed
		case <-time.After(ms(logic.AcceptAgain)):
		}
		c, err = l.Listener.Accept()
	}
	return &placed{Conn: hasten(c), leave: func() { <-l.places }}, nil
}

func (l *limited) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// placed gives its place back when it is closed first.
type placed struct {
	net.Conn
	once  sync.Once
	leave func()
}

// Gone tells whether the client has closed the connection, where that can be seen.
func (c *placed) Gone() bool {
	l, ok := c.Conn.(client)
	return ok && l.Gone()
}

func (c *placed) Close() error {
	c.once.Do(c.leave)
	return c.Conn.Close()
}
