package transport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/policy"
)

// Answer is what a worker said to a submission.
type Answer struct {
	Outcome      policy.Outcome
	Type, Coding string
	Body         []byte
	// what is to come behind Body of an answer that is too long to be kept, or nil
	Rest   io.Reader
	Length int               // of both; below nought it is not stated
	Load   policy.WorkerLoad // what the worker said of its load
	Heard  bool              // it came from the worker, and whole
	last   bool              // the connection ends with it
	early  bool              // it had begun before the last piece of its submission's body went out
	over   func(error)       // to be called once the rest has been passed on, or could not be
}

// Keep tells whether the connection can carry another submission.
func (a *Answer) Keep() bool { return !a.last }

// Early tells that it was there before the last piece of a body that was poured: it is no answer to what came
// whole after it.
func (a *Answer) Early() bool { return a.early }

// Last says that the connection is of no more use.
func (a *Answer) Last() { a.last = true }

// Then has f called once the rest has been passed on or could not be, with what went wrong.
func (a *Answer) Then(f func(error)) { a.over = f }

var (
	errStatus  = errors.New("no status line")
	errInterim = errors.New("interim answers without end")
	errSpoke   = errors.New("the worker has closed, or spoken out of turn")
	// ErrStale tells that a connection that stood idle has ended, or has bytes in it, and nothing was written.
	ErrStale = errors.New("the worker has closed an idle connection, or spoken on it")
	// ErrBrokenOff tells that an answer has ended early at the worker's side.
	ErrBrokenOff = errors.New("an answer that has not come whole")
)

// passed are the buffers that long bodies and answers go through.
var passed = sync.Pool{New: func() any { return new([policy.BodyChunkBytes]byte) }}

// copyTo passes the body on, as it comes.
func (a *Answer) copyTo(w io.Writer) error {
	if a.Length >= 0 {
		return a.flow(w)
	}
	out := bufio.NewWriterSize(w, policy.BodyChunkBytes)
	in := httputil.NewChunkedWriter(out)
	if err := a.flow(flushed{in, out}); err != nil {
		return err
	}
	_ = in.Close()
	_, _ = out.WriteString("\r\n")
	return out.Flush()
}

func (a *Answer) flow(w io.Writer) error {
	if _, err := w.Write(a.Body); err != nil {
		return err
	}
	n, err := pour(w, a.Rest)
	if n += int64(len(a.Body)); err == nil && a.Length >= 0 && n != int64(a.Length) {
		return ErrBrokenOff
	}
	return err
}

// pour copies r to w through one buffer. An error of r is ErrBrokenOff.
func pour(w io.Writer, r io.Reader) (n int64, err error) {
	buf := passed.Get().(*[policy.BodyChunkBytes]byte)
	defer passed.Put(buf)
	for {
		got, end := r.Read(buf[:])
		if got > 0 {
			if _, err := w.Write(buf[:got]); err != nil {
				return n, err
			}
			n += int64(got)
		}
		switch {
		case end == io.EOF:
			return n, nil
		case end != nil:
			return n, fmt.Errorf("%w: %w", ErrBrokenOff, end)
		}
	}
}

// flushed writes through to w, and what is under it, at once: nothing that has come is held back.
type flushed struct {
	io.Writer
	under *bufio.Writer
}

func (f flushed) Write(b []byte) (int, error) {
	if len(b) == 0 { // it would end the chunks
		return 0, nil
	}
	n, err := f.Writer.Write(b)
	if err == nil {
		err = f.under.Flush()
	}
	return n, err
}

// Ruleless is no version of rules.
const Ruleless = -1

// The time that is left is told in us, in as many digits as MaxClientWaitMillis has.
const (
	leftRoom = "0000000000"
	mostTold = 9999999999
)

// AppendSubmission encodes a submission of a txn to b, but for a body that is not kept. It names the version
// of the rules that it goes by, if any. The time that is left is for TellLeft to fill in, at the place given.
func AppendSubmission(b []byte, t *Txn, rules int64) (msg []byte, at int) {
	b = append(append(b, t.Method...), ' ')
	b = append(append(b, t.Target...), " HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: "...)
	b = append(append(b, t.Mark...), "\r\nX-Deadline: "...)
	at = len(b)
	b = append(b, leftRoom+"u\r\n"...)
	if rules >= 0 {
		b = append(strconv.AppendInt(append(b, "X-Rules: "...), rules, 10), "\r\n"...)
	}
	if len(t.Key) > 0 {
		b = append(append(append(b, "Idempotency-Key: "...), t.Key...), "\r\n"...)
	}
	length := int64(len(t.Body))
	if t.Upload != nil {
		length = t.Upload.Length
	}
	switch {
	case length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case length > 0 || string(t.Method) != fasthttp.MethodGet:
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), length, 10), "\r\n"...)
	}
	return append(append(b, "\r\n"...), t.Body...), at
}

// TellLeft fills in how much of its client's time is left for a submission, in whole us, and gives what is to
// be sent. It is for the moment before the first byte, and once: room that the figure does not need is given
// up ahead of the message, and what stands before the figure moves up to it. Nothing is allocated.
func TellLeft(msg []byte, at int, left time.Duration) []byte {
	var digits [len(leftRoom)]byte
	d := strconv.AppendInt(digits[:0], min(max(left.Microseconds(), 0), mostTold), 10)
	spare := len(leftRoom) - len(d)
	copy(msg[spare:], msg[:at])
	copy(msg[spare+at:], d)
	return msg[spare:]
}

// Link is one connection to a worker. It carries one submission at a time, and sends nothing again by itself.
type Link struct {
	conn    net.Conn
	in      *bufio.Reader
	worker  int
	of      Life // of its last answer; nil while there was none
	idle    time.Time
	until   atomic.Int64  // the moment at which whatever waits for an answer gives up, Unix ns; 0 is never
	pause   time.Duration // how long an answer that has begun may pause; 0 while none has
	aborted atomic.Bool
	halted  atomic.Bool
	passing atomic.Bool // the rest of its answer is left to be passed on
	pouring atomic.Bool // a body goes out of which more than the last piece is to come
	left    int64       // of its length, where that is stated; the goroutine's that pours it
	begins  func()      // called once when an answer has begun and does not come at once; nil where none asks
}

func newLink(conn net.Conn, worker int) *Link {
	l := &Link{conn: conn, worker: worker}
	l.in = bufio.NewReader(l)
	return l
}

// Overdue tells whether the moment to give up has come.
func (l *Link) Overdue() bool {
	until := l.until.Load()
	return until > 0 && time.Now().UnixNano() >= until
}

// Abort ends the submission that is out on the link, from any goroutine.
func (l *Link) Abort() {
	l.aborted.Store(true)
	_ = l.conn.SetDeadline(time.Unix(1, 0))
}

// Until sets the moment at which whatever waits on the link gives up; the zero time is never. It changes
// nothing for an answer of which the rest is left to be passed on: that is the client's, and has no expiry.
func (l *Link) Until(at time.Time) {
	l.until.Store(0)
	if !at.IsZero() && !l.passing.Load() {
		l.until.Store(at.UnixNano())
	}
	_ = l.conn.SetDeadline(at)
	if l.passing.Load() { // it may have become so meanwhile
		l.until.Store(0)
		_ = l.conn.SetDeadline(time.Time{})
	}
	l.heed()
}

// Halt ends what is written of a body, from any goroutine: more of it is of no use. The answer is read on.
func (l *Link) Halt() {
	l.halted.Store(true)
	l.heed()
}

// heed keeps an abort or a halt in force after a deadline has been set anew.
func (l *Link) heed() {
	if l.aborted.Load() {
		_ = l.conn.SetDeadline(time.Unix(1, 0))
	} else if l.halted.Load() {
		_ = l.conn.SetWriteDeadline(time.Unix(1, 0))
	}
}

// Read reads what the worker sends. Guards against an answer that stalls: what has begun goes on coming, or
// is cut here.
func (l *Link) Read(b []byte) (int, error) {
	if l.pause > 0 {
		if l.begins != nil {
			l.begins()
			l.begins = nil
		}
		end := time.Now().Add(l.pause)
		if until := time.Unix(0, l.until.Load()); l.until.Load() > 0 && until.Before(end) {
			end = until
		}
		_ = l.conn.SetReadDeadline(end)
		l.heed()
	}
	return l.conn.Read(b)
}

// Write writes to the worker, which has to go on taking.
func (l *Link) Write(b []byte) (int, error) {
	if l.left -= int64(len(b)); l.left == 0 {
		l.pouring.Store(false)
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(Millis(policy.BodyStallTimeoutMillis)))
	l.heed()
	return l.conn.Write(b)
}

// Send writes a submission, but for a body that is not kept. After an error it was not written whole: with
// ErrStale, nothing of it on a connection that was good for the one before. Guards against an end, or bytes
// of the worker's, that came after the link was taken: what lies there before the last piece goes out is no
// answer to it, and a submission that the worker has not got whole never runs.
func (l *Link) Send(b []byte) error {
	for at := 0; at < len(b); {
		if !quiet(l.conn) {
			if at == 0 && l.of != nil {
				return ErrStale
			}
			return errSpoke
		}
		n, err := l.conn.Write(b[at:min(at+policy.BodyChunkBytes, len(b))])
		if err != nil {
			return err
		}
		at += n
	}
	return nil
}

// Pour writes a body that is not kept. After an error the submission was not written whole.
func (l *Link) Pour(u *Upload) error {
	narrow(l.conn)
	if l.left = u.Length; u.Length >= 0 {
		_, err := pour(l, u)
		return err
	}
	out := bufio.NewWriterSize(l, policy.BodyChunkBytes)
	in := httputil.NewChunkedWriter(out)
	if _, err := pour(flushed{in, out}, u); err != nil {
		return err
	}
	l.pouring.Store(false)
	_ = in.Close()
	_, _ = out.WriteString("\r\n")
	return out.Flush()
}

// Pours tells that a body will be poured. To be called before Receive, where that runs beside Pour.
func (l *Link) Pours() { l.pouring.Store(true) }

// Receive reads one answer, but for the rest of one that is too long to be kept. After an error the link is
// of no more use. What lies behind a whole answer is not part of it: the answer is good, and the link's last.
// begins is called where an answer has begun and does not come at once.
func (l *Link) Receive(begins func()) (*Answer, error) {
	l.begins = begins
	r := fasthttp.AcquireResponse()
	a := &Answer{Heard: true}
	err := l.head(r, a)
	if err == nil {
		err = l.body(r, a)
	}
	if a.Rest == nil || err != nil {
		defer fasthttp.ReleaseResponse(r)
	}
	if err != nil {
		return nil, err
	}
	a.last = r.ConnectionClose() || a.last || a.Rest == nil && l.in.Buffered() > 0
	a.Load = load(&r.Header)
	switch code := r.StatusCode(); {
	case code == fasthttp.StatusOK:
		a.Outcome = policy.Succeeded
		a.Type, a.Coding = string(r.Header.ContentType()), string(r.Header.ContentEncoding())
	case (code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusGatewayTimeout) &&
		string(r.Header.Peek("X-Not-Run")) == "1":
		a.Outcome = policy.Overloaded
	default:
		a.Outcome = policy.Failed
	}
	return a, nil
}

// body reads an answer's body, whole where it is short and comes at once. A longer one has gone on coming for
// as long, or fills what is kept: the rest of it is left to be passed on.
func (l *Link) body(r *fasthttp.Response, a *Answer) error {
	a.Length = max(r.Header.ContentLength(), inChunks) // the library has another number for an end by connection
	switch {
	case a.Length > MostBody:
		return errTooLong
	case a.Length == 0 || r.StatusCode() == fasthttp.StatusNoContent ||
		r.StatusCode() == fasthttp.StatusNotModified:
		return nil
	}
	r.StreamBody = true
	if err := r.ReadBody(l.in, MostBody); err != nil {
		return err
	}
	rest, whole := r.BodyStream(), false
	var err error
	if a.Length <= MostKept {
		a.Body, whole, err = l.keep(a.Length < 0, rest)
	}
	if err != nil || whole {
		_ = r.CloseBodyStream()
		return err
	}
	l.pause = Millis(policy.BodyStallTimeoutMillis)
	l.passing.Store(true)
	l.Until(time.Time{})
	a.Rest = &bounded{rest, int64(MostBody - len(a.Body))}
	return nil
}

// keep reads a body until its end, or, where that is not stated, until it has filled what is kept or has been
// coming for some time, and tells whether it is whole.
func (l *Link) keep(unstated bool, from io.Reader) (b []byte, whole bool, err error) {
	b = make([]byte, 0, 512)
	for start := time.Now(); ; {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := from.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF:
			return b, true, nil
		case err != nil:
			return nil, false, err
		case unstated && (len(b) > MostKept || time.Since(start) > Millis(policy.ResponseStallTimeoutMillis)):
			return b, false, nil
		}
	}
}

// bounded gives no more than so many bytes. Guards against answers without end.
type bounded struct {
	from io.Reader
	left int64
}

func (r *bounded) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLong
	}
	n, err := r.from.Read(b)
	r.left -= int64(n)
	return n, err
}

// reports are the words for what is told of load: the protocol's own, and the settings' for the same.
var reports = [...][2]string{{"inflight", "concurrent"}, {"queue", "depth"}, {"util", "load_share"}}

// load reads what a worker said of its load. A report that is missing or cannot be read says nothing, and so
// does what is no number of nought or more in it.
func load(h *fasthttp.ResponseHeader) policy.WorkerLoad {
	var says map[string]any
	if all := h.PeekAll("X-Load"); len(all) != 1 || json.Unmarshal(all[0], &says) != nil {
		says = nil
	}
	var told [len(reports)]float64
	for i, words := range reports {
		told[i] = -1
		for _, word := range words {
			if v, ok := says[word].(float64); ok && v >= 0 {
				told[i] = v
			}
		}
	}
	return policy.WorkerLoad{InFlight: told[0], Queued: told[1], CPUFraction: told[2]}
}

// head reads an answer's head, past the interim ones ahead of it. Until a head has begun nothing pauses, and
// nothing does behind an interim one that came while the body of its submission still goes out.
func (l *Link) head(r *fasthttp.Response, a *Answer) error {
	for n := 0; ; n++ {
		if n == 0 || a.early {
			l.await(n > 0)
		}
		if _, err := l.in.Peek(1); err != nil {
			return err
		}
		a.early, l.pause = l.pouring.Load(), Millis(policy.ResponseStallTimeoutMillis)
		// Guards against a status line that the library makes 200 of: it reads status 000 so, and 0200.
		line, err := l.in.Peek(len("HTTP/1.1 200 "))
		if err != nil {
			return err
		}
		if !isStatus(line) {
			return errStatus
		}
		if err := r.Header.Read(l.in); err != nil {
			return err
		}
		if r.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		if n == policy.MaxInterimResponses || r.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return errInterim
		}
	}
}

// await has reads wait until the moment to give up, and no shorter, also where a pause has been set. Guards
// against one that is set meanwhile.
func (l *Link) await(paused bool) {
	for l.pause = 0; paused; {
		until, end := l.until.Load(), time.Time{}
		if until > 0 {
			end = time.Unix(0, until)
		}
		_ = l.conn.SetReadDeadline(end)
		l.heed()
		if l.until.Load() == until {
			return
		}
	}
}

// isStatus tells whether a line begins as HTTP/1.0 or 1.1 with a status of three digits, and no more of them.
func isStatus(line []byte) bool {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' || rest[2] < '1' || rest[2] > '5' {
		return false
	}
	digit := func(c byte) bool { return c >= '0' && c <= '9' }
	return digit(rest[3]) && digit(rest[4]) && (rest[5] == ' ' || rest[5] == '\r')
}
