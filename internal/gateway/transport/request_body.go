package transport

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/policy"
)

// MaxBufferedBodyBytes is how many bytes of a body are kept. A longer one passes on as it comes.
const MaxBufferedBodyBytes = 64 << 10

var (
	errTooLong     = errors.New("the body is too long")
	errBodyStopped = errors.New("the body is no longer wanted")
)

// Upload is a client's body that is too long to be kept. It passes on as it comes, and so but once.
type Upload struct {
	Length    int64 // -1 where it is not stated
	buffered  []byte
	remainder *clientBody
	readers   sync.WaitGroup // submissions that may read it
	err       error          // why the client could not finish it
}

// Read gives the body's next bytes.
func (u *Upload) Read(b []byte) (int, error) {
	if len(u.buffered) > 0 {
		n := copy(b, u.buffered)
		u.buffered = u.buffered[n:]
		return n, nil
	}
	n, err := u.remainder.Read(b)
	if err != nil && err != io.EOF && !u.remainder.stopped.Load() {
		u.err = err
	}
	return n, err
}

// AddReader notes that a submission may read it, until End.
func (u *Upload) AddReader() { u.readers.Add(1) }

// RemoveReader notes that it does not any more.
func (u *Upload) RemoveReader() { u.readers.Done() }

// StopAndWait ends whatever reads it still. The client's connection is free for others then.
func (u *Upload) StopAndWait() {
	u.Stop()
	u.readers.Wait()
}

// Stop ends a Read that waits for the client, and those to come.
func (u *Upload) Stop() {
	if !u.remainder.complete.Load() {
		u.remainder.stop()
	}
}

// Discard reads past what has not come, after Settle.
func (u *Upload) Discard() error {
	u.remainder.stopped.Store(false)
	_, err := copyThroughBuffer(io.Discard, u)
	return err
}

// Err tells why the client could not finish the body, once nothing reads it any more.
func (u *Upload) Err() error { return u.err }

// clientBody is the rest of a body on a client's connection: it has to go on coming, and to end in time.
type clientBody struct {
	source    io.Reader
	conn      *clientConn
	startedAt time.Time
	received  int64
	remaining int64 // of the length that was stated; below nought it comes in chunks
	complete  atomic.Bool
	stopped   atomic.Bool
}

// Read gives the next bytes. Guards against clients that stop in the middle, or go on for ever.
func (b *clientBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		b.complete.Store(true)
		return 0, io.EOF
	}
	if b.received > MaxBodyBytes {
		return 0, errTooLong
	}
	deadline := b.startedAt.Add(Millis(policy.WholeTxn + float64(b.received)/policy.LeastRate))
	if stalledAt := time.Now().Add(Millis(policy.BodyPause)); stalledAt.Before(deadline) {
		deadline = stalledAt
	}
	b.conn.setReadDeadline(deadline)
	if b.stopped.Load() {
		return 0, errBodyStopped
	}
	if b.remaining > 0 && int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.source.Read(p)
	b.received += int64(n)
	switch {
	case b.remaining > 0:
		if b.remaining -= int64(n); err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	case err == io.EOF:
		b.complete.Store(true)
	}
	return n, err
}

func (b *clientBody) stop() {
	b.stopped.Store(true)
	_ = b.conn.SetReadDeadline(time.Unix(1, 0))
}

// readBody reads what a client sends behind its head: whole where it is short, else as an upload.
func (x *exchange) readBody(conn *clientConn) (buffered []byte, upload *Upload, err error) {
	length := x.request.Header.ContentLength()
	switch {
	case length > MaxBodyBytes:
		return nil, nil, errTooLong
	case length == 0 || length < chunkedLength:
		return nil, nil, nil
	}
	source := &clientBody{source: x.reader, conn: conn, startedAt: time.Now(), remaining: int64(length)}
	if length == chunkedLength {
		if err := x.request.ContinueReadBodyStream(x.reader, MaxBufferedBodyBytes, false); err != nil {
			return nil, nil, err
		}
		source.source, source.remaining = x.request.BodyStream(), chunkedLength
	}
	if length > MaxBufferedBodyBytes {
		return nil, &Upload{Length: int64(length), remainder: source}, nil
	}
	if x.body, err = readUpTo(x.body[:0], source, MaxBufferedBodyBytes); err != nil {
		return nil, nil, err
	}
	if source.complete.Load() {
		return x.body, nil, nil
	}
	return nil, &Upload{Length: chunkedLength, buffered: x.body, remainder: source}, nil
}

// readUpTo appends what r gives until its end, or until there is more than most.
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

// exchange is what a connection needs while a request of it is read and answered.
type exchange struct {
	reader       *bufio.Reader
	request      fasthttp.Request
	responseHead fasthttp.ResponseHeader
	body         []byte // a body
	output       []byte // an answer

	closeAfter bool // the connection ends with it
}

// stallWriter writes to a connection whose other side has to go on taking.
type stallWriter struct{ conn *clientConn }

func (w stallWriter) Write(b []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(Millis(policy.BodyPause)))
	return w.conn.Write(b)
}

// limitSendBuffer bounds what the kernel holds of what is sent on a connection. Guards against megabytes in hand for
// each slow reader, and a wait for room, when they are full, that looks like one that reads nothing.
func limitSendBuffer(conn net.Conn) {
	if socket, ok := conn.(interface{ SetWriteBuffer(int) error }); ok {
		_ = socket.SetWriteBuffer(policy.KernelBytes)
	}
}

// isTimeout tells whether an error is a time limit that has run out.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
