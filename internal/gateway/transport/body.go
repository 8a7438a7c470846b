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

// MostKept is how many bytes of a body are kept. A longer one passes on as it comes.
const MostKept = 64 << 10

var (
	errTooLong = errors.New("the body is too long")
	errStopped = errors.New("the body is no longer wanted")
)

// Upload is a client's body that is too long to be kept. It passes on as it comes, and so but once.
type Upload struct {
	Length int64 // -1 where it is not stated
	kept   []byte
	rest   *incoming
	out    sync.WaitGroup // submissions that may read it
	err    error          // why the client could not finish it
}

// Read gives the body's next bytes.
func (u *Upload) Read(b []byte) (int, error) {
	if len(u.kept) > 0 {
		n := copy(b, u.kept)
		u.kept = u.kept[n:]
		return n, nil
	}
	n, err := u.rest.Read(b)
	if err != nil && err != io.EOF && !u.rest.stopped.Load() {
		u.err = err
	}
	return n, err
}

// Begin notes that a submission may read it, until End.
func (u *Upload) Begin() { u.out.Add(1) }

// End notes that it does not any more.
func (u *Upload) End() { u.out.Done() }

// Settle ends whatever reads it still. The client's connection is free for others then.
func (u *Upload) Settle() {
	u.Stop()
	u.out.Wait()
}

// Stop ends a Read that waits for the client, and those to come.
func (u *Upload) Stop() {
	if !u.rest.whole.Load() {
		u.rest.stop()
	}
}

// Skip reads past what has not come, after Settle.
func (u *Upload) Skip() error {
	u.rest.stopped.Store(false)
	_, err := pour(io.Discard, u)
	return err
}

// Fault tells why the client could not finish the body, once nothing reads it any more.
func (u *Upload) Fault() error { return u.err }

// incoming is the rest of a body on a client's connection: it has to go on coming, and to end in time.
type incoming struct {
	from    io.Reader
	conn    *placed
	began   time.Time
	n       int64
	left    int64 // of the length that was stated; below nought it comes in chunks
	whole   atomic.Bool
	stopped atomic.Bool
}

// Read gives the next bytes. Guards against clients that stop in the middle, or go on for ever.
func (b *incoming) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.whole.Store(true)
		return 0, io.EOF
	}
	if b.n > MostBody {
		return 0, errTooLong
	}
	end := b.began.Add(Millis(policy.RequestHeadTimeoutMillis + float64(b.n)/policy.MinBodyBytesPerMilli))
	if pause := time.Now().Add(Millis(policy.BodyStallTimeoutMillis)); pause.Before(end) {
		end = pause
	}
	b.conn.await(end)
	if b.stopped.Load() {
		return 0, errStopped
	}
	if b.left > 0 && int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.from.Read(p)
	b.n += int64(n)
	switch {
	case b.left > 0:
		if b.left -= int64(n); err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	case err == io.EOF:
		b.whole.Store(true)
	}
	return n, err
}

func (b *incoming) stop() {
	b.stopped.Store(true)
	_ = b.conn.SetReadDeadline(time.Unix(1, 0))
}

// body reads what a client sends behind its head: whole where it is short, else as an upload.
func (t *turn) body(p *placed) (kept []byte, up *Upload, err error) {
	length := t.req.Header.ContentLength()
	switch {
	case length > MostBody:
		return nil, nil, errTooLong
	case length == 0 || length < inChunks:
		return nil, nil, nil
	}
	in := &incoming{from: t.in, conn: p, began: time.Now(), left: int64(length)}
	if length == inChunks {
		if err := t.req.ContinueReadBodyStream(t.in, MostKept, false); err != nil {
			return nil, nil, err
		}
		in.from, in.left = t.req.BodyStream(), inChunks
	}
	if length > MostKept {
		return nil, &Upload{Length: int64(length), rest: in}, nil
	}
	if t.kept, err = readUpTo(t.kept[:0], in, MostKept); err != nil {
		return nil, nil, err
	}
	if in.whole.Load() {
		return t.kept, nil, nil
	}
	return nil, &Upload{Length: inChunks, kept: t.kept, rest: in}, nil
}

// readUpTo appends what r gives until its end, or until there is more than most.
func readUpTo(b []byte, r io.Reader, most int) ([]byte, error) {
	for len(b) <= most {
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

// turn is what a connection needs while a request of it is read and answered.
type turn struct {
	in   *bufio.Reader
	req  fasthttp.Request
	res  fasthttp.ResponseHeader
	kept []byte // a body
	out  []byte // an answer

	closes bool // the connection ends with it
}

// timed writes to a connection whose other side has to go on taking.
type timed struct{ conn *placed }

func (w timed) Write(b []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(Millis(policy.BodyStallTimeoutMillis)))
	return w.conn.Write(b)
}

// narrow bounds what the kernel holds of what is sent on a connection. Guards against megabytes in hand for
// each slow reader, and a wait for room, when they are full, that looks like one that reads nothing.
func narrow(c net.Conn) {
	if b, ok := c.(interface{ SetWriteBuffer(int) error }); ok {
		_ = b.SetWriteBuffer(policy.SendBufferBytes)
	}
}

// late tells whether an error is a time limit that has run out.
func late(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
