package connlimit

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"willowdeck/internal/serving/memorybudget"
)

const (
	// connectionBytes is what a connection takes besides a request's head: stacks and buffers.
	connectionBytes = 24 << 10
	// headMemoryFactor is how much more memory a head takes than bytes were received, in short lines.
	headMemoryFactor = 24

	maxRefusing           = 512         // connections that get a rejection at one time; others are closed
	refusalTimeout        = time.Second // for the rejection, and for what the client sends meanwhile
	maxDiscardedOfRefusal = 64 << 10
	refusalBufferBytes    = 512
)

// Limiter bounds the memory of connections. It is safe for concurrent use.
type Limiter struct {
	memory   *memorybudget.Budget
	started  time.Time
	refusing atomic.Int64 // connections that get a rejection
}

// New returns a limiter whose connections take so many bytes together at most; 0 stands for no limit.
func New(memoryBytes int64) *Limiter {
	return &Limiter{memory: memorybudget.New(memoryBytes), started: time.Now()}
}

// Reserved returns how many bytes are reserved for connections.
func (l *Limiter) Reserved() int64 { return l.memory.Reserved() }

func (l *Limiter) now() time.Duration { return time.Since(l.started) }

// Admit reserves the memory of a connection that was accepted. It returns false where there is none. The
// server of the connection must call TrackState.
func (l *Limiter) Admit(accepted net.Conn) (net.Conn, bool) {
	memory := l.memory.Open()
	if !memory.Admit(connectionBytes) {
		return nil, false
	}
	return &connection{Conn: accepted, limiter: l, memory: memory, receivingHead: true}, true
}

// TrackState follows the states of the connections that Admit has returned, as the ConnState of their server.
func TrackState(c net.Conn, state http.ConnState) {
	admitted, ok := c.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		admitted.beginHead()
	case http.StateActive:
		admitted.endHead()
	default: // new ones wait for a head, and closed ones have released their memory
	}
}

// Refuse answers a connection for which there is no memory, and closes it.
func (l *Limiter) Refuse(refused net.Conn) {
	l.refuse(refused, connectionBytes, func() error {
		_, err := refused.Read(make([]byte, refusalBufferBytes))
		return err // where the client has sent no request
	})
}

// refuse answers a request for which bytes of memory are missing, after awaitRequest, and closes the
// connection.
func (l *Limiter) refuse(refused net.Conn, bytes int64, awaitRequest func() error) {
	defer refused.Close()
	defer l.refusing.Add(-1)
	if l.refusing.Add(1) > maxRefusing {
		return
	}
	_ = refused.SetDeadline(time.Now().Add(refusalTimeout))
	if awaitRequest() != nil {
		return
	}
	const head = "HTTP/1.1 %d %s\r\nRetry-After: %.3f\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	fmt.Fprintf(refused, head, http.StatusServiceUnavailable,
		http.StatusText(http.StatusServiceUnavailable), l.memory.RetryAfter(l.now(), bytes).Seconds())
	_ = closeWrite(refused)
	discard(refused)
}

// discard reads what a refused client still sends: closing a connection with unread bytes resets it, which
// would lose the client the response.
func discard(refused net.Conn) {
	buffer := make([]byte, refusalBufferBytes)
	for left := maxDiscardedOfRefusal; left > 0; {
		n, err := refused.Read(buffer)
		if err != nil {
			return
		}
		left -= n
	}
}

// Listener returns a listener of the connections of another one that there is memory for.
func (l *Limiter) Listener(source net.Listener) net.Listener {
	return &listener{Listener: source, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection that there is memory for.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted, ok := l.limiter.Admit(accepted); ok {
			return admitted, nil
		}
		go l.limiter.Refuse(accepted)
	}
}
