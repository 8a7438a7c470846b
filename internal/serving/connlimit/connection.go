package connlimit

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/memorybudget"
)

// errNoMemory ends the reading of a head that there is no memory for.
var errNoMemory = errors.New("the head of the request does not fit into the memory of this process now")

// connection is a client's connection whose memory is reserved until it is closed.
type connection struct {
	net.Conn
	limiter *Limiter

	mu            sync.Mutex // guards what follows
	memory        *memorybudget.Reservation
	receivingHead bool  // the next request's; else a handler has the request
	unreserved    int64 // bytes of the head that memory does not hold yet
	closed        bool

	refused atomic.Bool // the limiter writes the response, and closes the connection
}

// Read reads from the connection. What has come of a head is reserved before more of it is read; most heads
// come at once, and need no reservation.
func (c *connection) Read(buffer []byte) (int, error) {
	if missing, ok := c.reserveHead(); !ok {
		c.refuse(missing)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoMemory} // the server writes nothing then
	}
	n, err := c.Conn.Read(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivingHead {
		c.unreserved += int64(n)
	}
	return n, err
}

// reserveHead reserves the memory of what has come of a head. Where there is none it returns how much is
// missing, and false.
func (c *connection) reserveHead() (missing int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receivingHead || c.unreserved == 0 || c.closed {
		return 0, true
	}
	bytes := c.unreserved * headMemoryFactor
	if !c.memory.Grow(bytes) {
		return bytes, false
	}
	c.unreserved = 0
	return 0, true
}

// refuse answers a head for which bytes of memory are missing. The server drops the head meanwhile.
func (c *connection) refuse(missing int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && c.refused.CompareAndSwap(false, true) {
		go c.limiter.refuse(c.Conn, missing, func() error { return nil })
	}
}

// beginHead records that the next request is due.
func (c *connection) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivingHead, c.unreserved = true, 0
}

// endHead records that a handler has the request: it accounts for the memory.
func (c *connection) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivingHead = false
	if bytes := c.memory.Bytes() - connectionBytes; bytes > 0 {
		c.memory.Shrink(c.limiter.now(), bytes)
	}
}

// Write writes to the connection, unless its client gets a refusal.
func (c *connection) Write(buffer []byte) (int, error) {
	if c.refused.Load() {
		return 0, errNoMemory
	}
	return c.Conn.Write(buffer)
}

// CloseWrite ends the sending, where the connection has such an end.
func (c *connection) CloseWrite() error {
	if c.refused.Load() {
		return nil
	}
	return closeWrite(c.Conn)
}

func closeWrite(c net.Conn) error {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *connection) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.memory.Release(c.limiter.now())
	}
	if c.refused.Load() {
		return nil
	}
	return c.Conn.Close()
}
