package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"willowdeck/internal/policy"
)

// copyBuffers are the buffers through which long bodies and answers are forwarded.
var copyBuffers = sync.Pool{New: func() any { return new([policy.BodyChunkBytes]byte) }}

// copyThroughBuffer copies r to w through one buffer and gives how many bytes were written. An error of r is
// wrapped with ErrTruncated, one of w is given as it is.
func copyThroughBuffer(w io.Writer, r io.Reader) (n int64, err error) {
	buf := copyBuffers.Get().(*[policy.BodyChunkBytes]byte)
	defer copyBuffers.Put(buf)
	for {
		read, readErr := r.Read(buf[:])
		if read > 0 {
			if _, err := w.Write(buf[:read]); err != nil {
				return n, err
			}
			n += int64(read)
		}
		switch {
		case readErr == io.EOF:
			return n, nil
		case readErr != nil:
			return n, fmt.Errorf("%w: %w", ErrTruncated, readErr)
		}
	}
}

// readUpTo appends what r gives to b until r ends or b is longer than limit.
func readUpTo(b []byte, r io.Reader, limit int) ([]byte, error) {
	for len(b) <= limit {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
	return b, nil
}

// flushingWriter writes to a chunked writer and flushes the buffer below it at once: nothing that has come is
// held back.
type flushingWriter struct {
	io.Writer
	buffer *bufio.Writer
}

func (w flushingWriter) Write(b []byte) (int, error) {
	if len(b) == 0 { // an empty chunk would end the body
		return 0, nil
	}
	n, err := w.Writer.Write(b)
	if err == nil {
		err = w.buffer.Flush()
	}
	return n, err
}

// limitedReader gives errTooLong once it has given as many bytes as it may. Guards against endless answers.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

func (r *limitedReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := r.source.Read(b)
	r.remaining -= int64(n)
	return n, err
}

// stallWriter writes to a client that must go on reading: each write has a deadline of its own.
type stallWriter struct{ conn *clientConn }

func (w stallWriter) Write(b []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(Millis(policy.BodyStallTimeoutMillis)))
	return w.conn.Write(b)
}

// limitSendBuffer bounds the kernel's send buffer of a connection. Guards against megabytes in flight for
// each slow reader, and against a wait for a full buffer that looks like a reader that has stalled.
func limitSendBuffer(conn net.Conn) {
	if socket, ok := conn.(interface{ SetWriteBuffer(int) error }); ok {
		_ = socket.SetWriteBuffer(policy.SendBufferBytes)
	}
}

// isTimeout tells whether an error is a deadline that has passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
