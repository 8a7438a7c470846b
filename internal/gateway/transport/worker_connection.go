package transport

import (
	"bufio"
	"errors"
	"net"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"willowdeck/internal/policy"
)

var (
	errUnexpectedData = errors.New("the worker has closed, or sent data out of turn")

	// ErrStaleConn reports an idle connection that has ended, or has unread bytes. Nothing was written on it.
	ErrStaleConn = errors.New("the worker has closed an idle connection, or sent data on it")
)

// aLongTimeAgo is a deadline that ends reads and writes at once.
var aLongTimeAgo = time.Unix(1, 0)

// WorkerConn is a connection to a worker. It carries one attempt at a time and never sends one again by
// itself. Send, SendBody and Receive belong to the attempt's goroutines; Abort, StopBody and SetDeadline may
// be called from any.
type WorkerConn struct {
	conn          net.Conn
	reader        *bufio.Reader
	worker        int               // index
	incarnation   WorkerIncarnation // of its last answer; nil before the first
	idleSince     time.Time
	deadlineNanos atomic.Int64  // for the answer, Unix ns; 0 for none
	stallTimeout  time.Duration // for each pause in an answer that has begun; 0 while none has
	aborted       atomic.Bool
	bodyStopped   atomic.Bool
	forwarding    atomic.Bool // the answer's remainder is left to be forwarded
	sendingBody   atomic.Bool // a body is being sent, and more than its last part is to come
	bodyRemaining int64       // of a stated length; owned by the goroutine that sends the body
	onAnswerStart func()      // called once where an answer has begun and does not come at once; or nil
}

func newWorkerConn(conn net.Conn, worker int) *WorkerConn {
	c := &WorkerConn{conn: conn, worker: worker}
	c.reader = bufio.NewReader(c)
	return c
}

// DeadlinePassed tells whether the deadline for the answer has passed.
func (c *WorkerConn) DeadlinePassed() bool {
	deadline := c.deadlineNanos.Load()
	return deadline > 0 && time.Now().UnixNano() >= deadline
}

// Abort ends the attempt on the connection.
func (c *WorkerConn) Abort() {
	c.aborted.Store(true)
	_ = c.conn.SetDeadline(aLongTimeAgo)
}

// SetDeadline sets the deadline for the answer; the zero time is none. It changes nothing for an answer whose
// remainder is left to be forwarded: that is the client's, and has none.
func (c *WorkerConn) SetDeadline(deadline time.Time) {
	c.deadlineNanos.Store(0)
	if !deadline.IsZero() && !c.forwarding.Load() {
		c.deadlineNanos.Store(deadline.UnixNano())
	}
	_ = c.conn.SetDeadline(deadline)
	if c.forwarding.Load() { // it may have become so meanwhile
		c.deadlineNanos.Store(0)
		_ = c.conn.SetDeadline(time.Time{})
	}
	c.reapplyAbort()
}

// StopBody ends SendBody: more of the body is of no use. The answer can still be received.
func (c *WorkerConn) StopBody() {
	c.bodyStopped.Store(true)
	c.reapplyAbort()
}

// reapplyAbort keeps Abort and StopBody in force after a deadline has been set anew.
func (c *WorkerConn) reapplyAbort() {
	if c.aborted.Load() {
		_ = c.conn.SetDeadline(aLongTimeAgo)
	} else if c.bodyStopped.Load() {
		_ = c.conn.SetWriteDeadline(aLongTimeAgo)
	}
}

// Read reads what the worker sends. Guards against an answer that stalls: one that has begun and pauses for
// stallTimeout is cut off.
func (c *WorkerConn) Read(b []byte) (int, error) {
	if c.stallTimeout > 0 {
		if c.onAnswerStart != nil {
			c.onAnswerStart()
			c.onAnswerStart = nil
		}
		stalledAt := time.Now().Add(c.stallTimeout)
		if deadline := time.Unix(0, c.deadlineNanos.Load()); c.deadlineNanos.Load() > 0 &&
			deadline.Before(stalledAt) {
			stalledAt = deadline
		}
		_ = c.conn.SetReadDeadline(stalledAt)
		c.reapplyAbort()
	}
	return c.conn.Read(b)
}

// Write writes part of a body. The worker must go on reading: each write has a deadline of its own.
func (c *WorkerConn) Write(b []byte) (int, error) {
	if c.bodyRemaining -= int64(len(b)); c.bodyRemaining == 0 {
		c.sendingBody.Store(false)
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(Millis(policy.BodyStallTimeoutMillis)))
	c.reapplyAbort()
	return c.conn.Write(b)
}

// Send writes the message of an attempt. After an error the worker does not have the complete message; after
// ErrStaleConn it has none of it, and the connection had been good for the attempt before. Guards against an
// end, or bytes of the worker, that came after the connection was taken from the pool: what is unread before
// the last part is written is no answer to this attempt, and a message that is not complete is never
// executed.
func (c *WorkerConn) Send(message []byte) error {
	for sent := 0; sent < len(message); {
		if !isQuiescent(c.conn) {
			if sent == 0 && c.incarnation != nil {
				return ErrStaleConn
			}
			return errUnexpectedData
		}
		n, err := c.conn.Write(message[sent:min(sent+policy.BodyChunkBytes, len(message))])
		if err != nil {
			return err
		}
		sent += n
	}
	return nil
}

// ExpectBody announces a SendBody. It must be called before a Receive that runs at the same time.
func (c *WorkerConn) ExpectBody() { c.sendingBody.Store(true) }

// SendBody forwards a body that is not buffered. After an error the worker does not have the complete
// request.
func (c *WorkerConn) SendBody(upload *Upload) error {
	limitSendBuffer(c.conn)
	if c.bodyRemaining = upload.Length; upload.Length >= 0 {
		_, err := copyThroughBuffer(c, upload)
		return err
	}
	buffered := bufio.NewWriterSize(c, policy.BodyChunkBytes)
	chunked := httputil.NewChunkedWriter(buffered)
	if _, err := copyThroughBuffer(flushingWriter{chunked, buffered}, upload); err != nil {
		return err
	}
	c.sendingBody.Store(false)
	_ = chunked.Close()
	_, _ = buffered.WriteString("\r\n")
	return buffered.Flush()
}
