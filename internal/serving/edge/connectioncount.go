package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// connectionMemoryTenths is the part of the process's memory that clients' connections may take together
	// before their requests are received.
	connectionMemoryTenths = 2
	// connectionBytes is what a connection takes besides a request's head: stacks and buffers.
	connectionBytes = 24 << 10

	maxRefusing           = 64          // connections that get a rejection at one time; others are closed
	refusalTimeout        = time.Second // for the rejection, and for what the client sends meanwhile
	connectionRetryAfter  = time.Second // the client's next answer of the directory may name other edges
	maxDiscardedOfRefusal = 64 << 10
	firstBytesOfARefusal  = 512
)

// countedConnection is a client's connection that counts until it is closed.
type countedConnection struct {
	*net.TCPConn
	release func()
}

// Close closes the connection.
func (c *countedConnection) Close() error {
	c.release()
	return c.TCPConn.Close()
}

// maxConnections returns how many connections are served at one time, each with a head of headBytes; 0: any
// number.
func (f *frontServer) maxConnections(headBytes int) int64 {
	if f.memoryBytes <= 0 {
		return 0
	}
	return max(f.memoryBytes/int64(connectionBytes+headBytes), 1)
}

// admit counts a connection. It returns false where there are too many.
func (f *frontServer) admit(connection net.Conn, limits connectionLimits) (net.Conn, bool) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return connection, true
	}
	limit := f.maxConnections(limits.headBytes)
	if f.open.Add(1) > limit && limit > 0 {
		f.open.Add(-1)
		return nil, false
	}
	return &countedConnection{TCPConn: tcp, release: sync.OnceFunc(func() { f.open.Add(-1) })}, true
}

// refuse answers a connection for which there is no memory, and closes it.
func (f *frontServer) refuse(connection net.Conn) {
	defer connection.Close()
	defer f.refusing.Add(-1)
	if f.refusing.Add(1) > maxRefusing {
		return
	}
	_ = connection.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := connection.Read(make([]byte, firstBytesOfARefusal)); err != nil {
		return // the client has sent no request
	}
	const head = "HTTP/1.1 %d %s\r\nRetry-After: %.3f\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	fmt.Fprintf(connection, head, http.StatusServiceUnavailable,
		http.StatusText(http.StatusServiceUnavailable), connectionRetryAfter.Seconds())
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	// Closing a connection with unread bytes resets it, which would lose the client the response.
	_, _ = io.Copy(io.Discard, io.LimitReader(connection, maxDiscardedOfRefusal))
}
