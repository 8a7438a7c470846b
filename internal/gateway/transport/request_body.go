package transport

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"willowdeck/internal/policy"
)

// MaxBodyBytes bounds the body of a request or an answer: 32 MB, however these are counted, and some more.
const MaxBodyBytes = 40 << 20

// MaxBufferedBodyBytes is how many bytes of a body are buffered. A longer body is forwarded as it comes.
const MaxBufferedBodyBytes = 64 << 10

// chunkedLength is fasthttp's length of a body that comes in chunks.
const chunkedLength = -1

var (
	errTooLong     = errors.New("the body is too long")
	errBodyStopped = errors.New("the body is no longer wanted")
)

// Upload is a request body that is too long to be buffered. It is forwarded as it comes, and so only once.
// One goroutine reads it at a time.
type Upload struct {
	Length    int64 // -1 where it is not stated
	buffered  []byte
	remainder *clientBody
	readers   sync.WaitGroup // attempts that may read it
	err       error          // the client's failure to send it
}

// Read gives the next bytes of the body.
func (u *Upload) Read(b []byte) (int, error) {
	if len(u.buffered) > 0 {
		n := copy(b, u.buffered)
		u.buffered = u.buffered[n:]
		return n, nil
	}
	n, err := u.remainder.Read(b)
	if err != nil && !errors.Is(err, io.EOF) && !u.remainder.stopped.Load() {
		u.err = err
	}
	return n, err
}

// AddReader notes that an attempt may read the body, until RemoveReader.
func (u *Upload) AddReader() { u.readers.Add(1) }

// RemoveReader notes that an attempt does not read the body any more.
func (u *Upload) RemoveReader() { u.readers.Done() }

// StopAndWait ends each Read and waits until no attempt reads the body: the client's connection is free then.
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

// Discard reads past the rest of the body, after StopAndWait.
func (u *Upload) Discard() error {
	u.remainder.stopped.Store(false)
	_, err := copyThroughBuffer(io.Discard, u)
	return err
}

// Err gives why the client failed to send the body, after StopAndWait; nil where it did not fail.
func (u *Upload) Err() error { return u.err }

// clientBody reads the part of a body that is still to come on a client's connection. It enforces the length,
// a least rate and a longest pause.
type clientBody struct {
	source    io.Reader
	conn      *clientConn
	startedAt time.Time
	received  int64
	remaining int64 // of the stated length; negative where the body comes in chunks
	complete  atomic.Bool
	stopped   atomic.Bool
}

// Read gives the next bytes. Guards against clients that stall, or send without end.
func (b *clientBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		b.complete.Store(true)
		return 0, io.EOF
	}
	if b.received > MaxBodyBytes {
		return 0, errTooLong
	}
	deadline := b.startedAt.Add(Millis(policy.RequestHeadTimeoutMillis + float64(b.received)/policy.MinBodyBytesPerMilli))
	if stalledAt := time.Now().Add(Millis(policy.BodyStallTimeoutMillis)); stalledAt.Before(deadline) {
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

// stop ends a Read that waits, and those to come.
func (b *clientBody) stop() {
	b.stopped.Store(true)
	_ = b.conn.SetReadDeadline(aLongTimeAgo)
}

// readBody reads the body behind a request's head: completely where it is short, else as an Upload.
func (x *exchange) readBody(conn *clientConn) (buffered []byte, upload *Upload, err error) {
	length := x.request.Header.ContentLength()
	switch {
	case length > MaxBodyBytes:
		return nil, nil, errTooLong
	case length == 0 || length < chunkedLength:
		return nil, nil, nil
	}
	body := &clientBody{source: x.reader, conn: conn, startedAt: time.Now(), remaining: int64(length)}
	if length == chunkedLength {
		if err := x.request.ContinueReadBodyStream(x.reader, MaxBufferedBodyBytes, false); err != nil {
			return nil, nil, err
		}
		body.source, body.remaining = x.request.BodyStream(), chunkedLength
	}
	if length > MaxBufferedBodyBytes {
		return nil, &Upload{Length: int64(length), remainder: body}, nil
	}
	if x.body, err = readUpTo(x.body[:0], body, MaxBufferedBodyBytes); err != nil {
		return nil, nil, err
	}
	if body.complete.Load() {
		return x.body, nil, nil
	}
	return nil, &Upload{Length: chunkedLength, buffered: x.body, remainder: body}, nil
}
