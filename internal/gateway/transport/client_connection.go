package transport

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"willowdeck/internal/policy"
)

// The states of a client's connection.
const (
	stateNew          int32 = iota // nothing has been read from it
	stateReadingFirst              // part of its first request has been read
	stateIdle                      // each of its requests is answered
	stateReadingNext               // part of a further request has been read
	stateReadingBody               // a request's head has been read, and its body is being read
	stateServing                   // a request of it is in flight, or it is being handed over
	stateEnded                     // it has been ended here
	stateClosing                   // the last answer has been written, and the client has not closed it yet
)

// guardedConn is a connection that calls onRead, with mu held, in one step with each read that brings bytes,
// and reads nothing where allowed, called with mu held, gives false.
type guardedConn interface {
	guardReads(mu *sync.Mutex, allowed func() bool, onRead func())
}

// clientConn is a client's connection. It keeps its place with the listener until Close. Its own goroutine
// reads and writes; others may end it by tryEnd and closeNow.
type clientConn struct {
	net.Conn
	listener          *LimitListener
	readMu            sync.Mutex   // makes a read and tryEnd exclude each other
	state             atomic.Int32 // one of the above, but for stateClosing
	proven            bool         // more than one request came on it
	prefetched        []byte       // read by the process before this one
	lastReadNanos     atomic.Int64 // when bytes were read from it last, Unix ns
	waitingSince      time.Time    // from when on what is read next may have waited; zero where it has not
	lastActivityNanos atomic.Int64 // of its accept, its last read or its last answer, Unix ns
	lingerOnClose     atomic.Bool
	closing           atomic.Bool // it waits for its client to close it too
	closeOnce         sync.Once
}

// Read gives what another process has read ahead, then what the client sends.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(c.prefetched) > 0 {
		n := copy(b, c.prefetched)
		c.prefetched = c.prefetched[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// syscallConn gives access to the connection's descriptor.
func (c *clientConn) syscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// recordRead notes that bytes have been read.
func (c *clientConn) recordRead() {
	now := time.Now().UnixNano()
	c.lastActivityNanos.Store(now)
	c.lastReadNanos.Store(now)
	if !c.state.CompareAndSwap(stateNew, stateReadingFirst) {
		c.state.CompareAndSwap(stateIdle, stateReadingNext)
	}
}

// headReceived notes that a request's head has been read, and tells whether the connection has not been ended
// meanwhile.
func (c *clientConn) headReceived() bool {
	if c.state.CompareAndSwap(stateReadingNext, stateReadingBody) {
		c.proven = true
		return true
	}
	return c.state.CompareAndSwap(stateReadingFirst, stateReadingBody) ||
		c.state.CompareAndSwap(stateNew, stateReadingBody)
}

// requestReceived notes the same of the complete request.
func (c *clientConn) requestReceived() bool {
	return c.state.CompareAndSwap(stateReadingBody, stateServing)
}

// answered notes that each request so far is answered, and whether part of a further one has been read.
func (c *clientConn) answered(more bool) {
	c.lastActivityNanos.Store(time.Now().UnixNano())
	next := stateIdle
	if more {
		next = stateReadingNext
		if lastRead := c.lastReadNanos.Load(); lastRead > 0 {
			c.waitingSince = time.Unix(0, lastRead)
		}
	}
	if state := c.state.Load(); state != stateEnded {
		c.state.CompareAndSwap(state, next)
	}
}

// currentState gives the state, which is stateClosing regardless of the one before.
func (c *clientConn) currentState() int32 {
	if c.closing.Load() {
		return stateClosing
	}
	return c.state.Load()
}

// isEnded tells whether the connection has been ended here: nothing is read from it any more.
func (c *clientConn) isEnded() bool { return c.state.Load() == stateEnded }

// endIf ends a connection that is in one of these states and has no unread bytes, and tells whether it did:
// nothing more is sent on it, and nothing read. Guards against ending one with a request that the kernel has
// received. A request that comes in this very moment stays unread, and its client, which meets the end, sends
// it again elsewhere. The goroutine that reads from the connection closes it.
func (c *clientConn) endIf(states ...int32) bool {
	c.readMu.Lock()
	ended := false
	for _, state := range states {
		ended = ended || isQuiescent(c.Conn) && c.state.CompareAndSwap(state, stateEnded)
	}
	c.readMu.Unlock()
	if ended {
		if socket, ok := c.Conn.(interface{ CloseWrite() error }); !ok || socket.CloseWrite() != nil {
			_ = c.Conn.Close()
		}
		_ = c.SetReadDeadline(aLongTimeAgo) // a lingering Close would hold up the caller
	}
	return ended
}

// closeNow closes a connection at once, also while its own goroutine waits on it.
func (c *clientConn) closeNow() {
	_ = c.Conn.Close()
	_ = c.Close()
}

// closeGracefully ends the sending and waits, for LingerTimeoutMillis at most, until the client has closed
// the connection
// too. Guards against a lost answer: closed over unread bytes, or before bytes that are on their way, the
// connection would be reset (Stevens, TCP/IP Illustrated, 18.7; nginx's lingering_close is for the same).
// Nothing is read meanwhile: a request that crosses the end is not accepted, and its client sends it again.
func (c *clientConn) closeGracefully() {
	socket, ok := c.Conn.(interface {
		CloseWrite() error
		AwaitPeerClose(time.Duration)
	})
	if ok && !c.lingerOnClose.Load() && socket.CloseWrite() == nil {
		c.setClosing()
		socket.AwaitPeerClose(Millis(policy.LingerTimeoutMillis))
	}
}

// setClosing notes that the last answer has been written: the place is the first to be given to another.
func (c *clientConn) setClosing() {
	c.lastActivityNanos.Store(time.Now().UnixNano())
	c.closing.Store(true)
}

// setReadDeadline sets the deadline of the next read, which is a moment away after HurryReads.
func (c *clientConn) setReadDeadline(deadline time.Time) {
	_ = c.SetReadDeadline(deadline)
	if c.listener.hurried.Load() { // read after the deadline is set: HurryReads does it the other way round
		if limit := time.Now().Add(Millis(policy.AcceptRetryMillis)); limit.Before(deadline) {
			_ = c.SetReadDeadline(limit)
		}
	}
}

// Gone tells whether the client has closed the connection, where that can be seen, or counts as gone. A
// client that has only ended its sending looks the same, and counts as gone: its request is given up and
// answered.
func (c *clientConn) Gone() bool {
	socket, ok := c.Conn.(client)
	return c.listener.abandoned.Load() || ok && socket.Gone()
}

// shouldClose tells whether the connection should end with its next answer. Guards against hundreds of
// clients that ask once and stay: idle connections may not be closed at once, and would take every place from
// clients that go on asking.
func (c *clientConn) shouldClose() bool {
	return c.listener.waiting.Load() || c.listener.draining.Load() || !c.proven && c.listener.nearLimit()
}

// queuedMillis is how long, in ms, the request that was read last may have waited: in the kernel while the
// connection waited for its place, or in the buffer behind the request before. Guards against a client's
// deadline that is counted from its turn on: what remains of it is sent to workers and bounds the answer.
func (c *clientConn) queuedMillis() float64 {
	socket, ok := c.Conn.(interface{ SinceLastReceive() time.Duration })
	if c.waitingSince.IsZero() || !ok {
		return 0
	}
	queued := max(time.Since(c.waitingSince), 0)
	if c.lastReadNanos.Load() > c.waitingSince.UnixNano() { // the last bytes have been read since
		queued = min(queued, socket.SinceLastReceive())
	}
	return float64(queued) / float64(time.Millisecond)
}

// isQuiescent tells whether a connection is open and has no unread bytes. Where that cannot be seen it gives
// true, so that draining comes to an end.
func isQuiescent(conn net.Conn) bool {
	socket, ok := conn.(interface{ Quiescent() bool })
	return !ok || socket.Quiescent()
}

// Linger has a connection of a LimitListener linger on Close, so that its last answer reaches a client that
// still sends.
func Linger(conn net.Conn) {
	if accepted, ok := conn.(*clientConn); ok {
		accepted.lingerOnClose.Store(true)
	}
}

// Close closes the connection and frees its place. One that lingers first ends its sending and discards what
// the client still sends: closed over unread bytes, the connection would be reset and the last answer could
// be lost.
func (c *clientConn) Close() (err error) {
	c.closeOnce.Do(func() {
		if socket, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.lingerOnClose.Load() &&
			socket.CloseWrite() == nil {
			c.setClosing()
			_ = c.SetReadDeadline(time.Now().Add(Millis(policy.LingerTimeoutMillis)))
			_, _ = io.CopyN(io.Discard, c.Conn, policy.MaxLingerBytes)
		}
		err = c.Conn.Close()
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
		select {
		case c.listener.freed <- struct{}{}:
		default:
		}
	})
	return err
}
