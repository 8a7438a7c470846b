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
	Outcome                      policy.Outcome
	ContentType, ContentEncoding string
	Body                         []byte
	Remainder                    io.Reader     // what is to come behind Body of an answer that is too long to be kept, or nil
	Length                       int           // of both; below nought it is not stated
	Load                         policy.Burden // what the worker said of its load
	FromWorker                   bool          // it came from the worker, and whole
	closesConn                   bool          // the connection ends with it
	early                        bool          // it had begun before the last piece of its submission's body went out
	onForwarded                  func(error)   // to be called once the rest has been passed on, or could not be
}

// Reusable tells whether the connection can carry another submission.
func (a *Answer) Reusable() bool { return !a.closesConn }

// Early tells that it was there before the last piece of a body that was poured: it is no answer to what came
// whole after it.
func (a *Answer) Early() bool { return a.early }

// CloseAfter says that the connection is of no more use.
func (a *Answer) CloseAfter() { a.closesConn = true }

// OnForwarded has f called once the rest has been passed on or could not be, with what went wrong.
func (a *Answer) OnForwarded(done func(error)) { a.onForwarded = done }

var (
	errMalformedStatusLine = errors.New("no status line")
	errTooManyInterim      = errors.New("interim answers without end")
	errUnexpectedData      = errors.New("the worker has closed, or spoken out of turn")
	// ErrStaleConn tells that a connection that stood idle has ended, or has bytes in it, and nothing was written.
	ErrStaleConn = errors.New("the worker has closed an idle connection, or spoken on it")
	// ErrTruncated tells that an answer has ended early at the worker's side.
	ErrTruncated = errors.New("an answer that has not come whole")
)

// copyBuffers are the buffers that long bodies and answers go through.
var copyBuffers = sync.Pool{New: func() any { return new([policy.PassBytes]byte) }}

// writeTo passes the body on, as it comes.
func (a *Answer) writeTo(w io.Writer) error {
	if a.Length >= 0 {
		return a.writeBody(w)
	}
	buffered := bufio.NewWriterSize(w, policy.PassBytes)
	chunked := httputil.NewChunkedWriter(buffered)
	if err := a.writeBody(flushingWriter{chunked, buffered}); err != nil {
		return err
	}
	_ = chunked.Close()
	_, _ = buffered.WriteString("\r\n")
	return buffered.Flush()
}

func (a *Answer) writeBody(w io.Writer) error {
	if _, err := w.Write(a.Body); err != nil {
		return err
	}
	n, err := copyThroughBuffer(w, a.Remainder)
	if n += int64(len(a.Body)); err == nil && a.Length >= 0 && n != int64(a.Length) {
		return ErrTruncated
	}
	return err
}

// copyThroughBuffer copies r to w through one buffer. An error of r is ErrBrokenOff.
func copyThroughBuffer(w io.Writer, r io.Reader) (n int64, err error) {
	buf := copyBuffers.Get().(*[policy.PassBytes]byte)
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

// flushingWriter writes through to w, and what is under it, at once: nothing that has come is held back.
type flushingWriter struct {
	io.Writer
	buffer *bufio.Writer
}

func (w flushingWriter) Write(b []byte) (int, error) {
	if len(b) == 0 { // it would end the chunks
		return 0, nil
	}
	n, err := w.Writer.Write(b)
	if err == nil {
		err = w.buffer.Flush()
	}
	return n, err
}

// NoRuleset is no version of rules.
const NoRuleset = -1

// The time that is left is told in us, in as many digits as LongestWait has.
const (
	remainingPlaceholder = "0000000000"
	maxRemainingMicros   = 9999999999
)

// AppendAttempt encodes a submission of a txn to b, but for a body that is not kept. It names the version
// of the rules that it goes by, if any. The time that is left is for TellLeft to fill in, at the place given.
func AppendAttempt(b []byte, r *Request, rulesetVersion int64) (message []byte, remainingOffset int) {
	b = append(append(b, r.Method...), ' ')
	b = append(append(b, r.Target...), " HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: "...)
	b = append(append(b, r.RequestID...), "\r\nX-Deadline: "...)
	remainingOffset = len(b)
	b = append(b, remainingPlaceholder+"u\r\n"...)
	if rulesetVersion >= 0 {
		b = append(strconv.AppendInt(append(b, "X-Rules: "...), rulesetVersion, 10), "\r\n"...)
	}
	if len(r.IdempotencyKey) > 0 {
		b = append(append(append(b, "Idempotency-Key: "...), r.IdempotencyKey...), "\r\n"...)
	}
	length := int64(len(r.Body))
	if r.Upload != nil {
		length = r.Upload.Length
	}
	switch {
	case length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case length > 0 || string(r.Method) != fasthttp.MethodGet:
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), length, 10), "\r\n"...)
	}
	return append(append(b, "\r\n"...), r.Body...), remainingOffset
}

// SetRemaining fills in how much of its client's time is left for a submission, in whole us, and gives what is to
// be sent. It is for the moment before the first byte, and once: room that the figure does not need is given
// up ahead of the message, and what stands before the figure moves up to it. Nothing is allocated.
func SetRemaining(message []byte, offset int, remaining time.Duration) []byte {
	var digits [len(remainingPlaceholder)]byte
	text := strconv.AppendInt(digits[:0], min(max(remaining.Microseconds(), 0), maxRemainingMicros), 10)
	spare := len(remainingPlaceholder) - len(text)
	copy(message[spare:], message[:offset])
	copy(message[spare+offset:], text)
	return message[spare:]
}

// WorkerConn is one connection to a worker. It carries one submission at a time, and sends nothing again by itself.
type WorkerConn struct {
	conn          net.Conn
	reader        *bufio.Reader
	worker        int
	incarnation   WorkerIncarnation // of its last answer; nil while there was none
	idleSince     time.Time
	deadlineNanos atomic.Int64  // the moment at which whatever waits for an answer gives up, Unix ns; 0 is never
	stallTimeout  time.Duration // how long an answer that has begun may pause; 0 while none has
	aborted       atomic.Bool
	bodyStopped   atomic.Bool
	forwarding    atomic.Bool // the rest of its answer is left to be passed on
	sendingBody   atomic.Bool // a body goes out of which more than the last piece is to come
	bodyRemaining int64       // of its length, where that is stated; the goroutine's that pours it
	onAnswerStart func()      // called once when an answer has begun and does not come at once; nil where none asks
}

func newWorkerConn(conn net.Conn, worker int) *WorkerConn {
	c := &WorkerConn{conn: conn, worker: worker}
	c.reader = bufio.NewReader(c)
	return c
}

// DeadlinePassed tells whether the moment to give up has come.
func (c *WorkerConn) DeadlinePassed() bool {
	deadline := c.deadlineNanos.Load()
	return deadline > 0 && time.Now().UnixNano() >= deadline
}

// Abort ends the submission that is out on the link, from any goroutine.
func (c *WorkerConn) Abort() {
	c.aborted.Store(true)
	_ = c.conn.SetDeadline(time.Unix(1, 0))
}

// SetDeadline sets the moment at which whatever waits on the link gives up; the zero time is never. It changes
// nothing for an answer of which the rest is left to be passed on: that is the client's, and has no expiry.
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

// StopBody ends what is written of a body, from any goroutine: more of it is of no use. The answer is read on.
func (c *WorkerConn) StopBody() {
	c.bodyStopped.Store(true)
	c.reapplyAbort()
}

// reapplyAbort keeps an abort or a halt in force after a deadline has been set anew.
func (c *WorkerConn) reapplyAbort() {
	if c.aborted.Load() {
		_ = c.conn.SetDeadline(time.Unix(1, 0))
	} else if c.bodyStopped.Load() {
		_ = c.conn.SetWriteDeadline(time.Unix(1, 0))
	}
}

// Read reads what the worker sends. Guards against an answer that stalls: what has begun goes on coming, or
// is cut here.
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

// Write writes to the worker, which has to go on taking.
func (c *WorkerConn) Write(b []byte) (int, error) {
	if c.bodyRemaining -= int64(len(b)); c.bodyRemaining == 0 {
		c.sendingBody.Store(false)
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(Millis(policy.BodyPause)))
	c.reapplyAbort()
	return c.conn.Write(b)
}

// Send writes a submission, but for a body that is not kept. After an error it was not written whole: with
// ErrStale, nothing of it on a connection that was good for the one before. Guards against an end, or bytes
// of the worker's, that came after the link was taken: what lies there before the last piece goes out is no
// answer to it, and a submission that the worker has not got whole never runs.
func (c *WorkerConn) Send(message []byte) error {
	for sent := 0; sent < len(message); {
		if !isQuiescent(c.conn) {
			if sent == 0 && c.incarnation != nil {
				return ErrStaleConn
			}
			return errUnexpectedData
		}
		n, err := c.conn.Write(message[sent:min(sent+policy.PassBytes, len(message))])
		if err != nil {
			return err
		}
		sent += n
	}
	return nil
}

// SendBody writes a body that is not kept. After an error the submission was not written whole.
func (c *WorkerConn) SendBody(upload *Upload) error {
	limitSendBuffer(c.conn)
	if c.bodyRemaining = upload.Length; upload.Length >= 0 {
		_, err := copyThroughBuffer(c, upload)
		return err
	}
	buffered := bufio.NewWriterSize(c, policy.PassBytes)
	chunked := httputil.NewChunkedWriter(buffered)
	if _, err := copyThroughBuffer(flushingWriter{chunked, buffered}, upload); err != nil {
		return err
	}
	c.sendingBody.Store(false)
	_ = chunked.Close()
	_, _ = buffered.WriteString("\r\n")
	return buffered.Flush()
}

// ExpectBody tells that a body will be poured. To be called before Receive, where that runs beside Pour.
func (c *WorkerConn) ExpectBody() { c.sendingBody.Store(true) }

// Receive reads one answer, but for the rest of one that is too long to be kept. After an error the link is
// of no more use. What lies behind a whole answer is not part of it: the answer is good, and the link's last.
// begins is called where an answer has begun and does not come at once.
func (c *WorkerConn) Receive(onAnswerStart func()) (*Answer, error) {
	c.onAnswerStart = onAnswerStart
	response := fasthttp.AcquireResponse()
	answer := &Answer{FromWorker: true}
	err := c.readHead(response, answer)
	if err == nil {
		err = c.readBody(response, answer)
	}
	if answer.Remainder == nil || err != nil {
		defer fasthttp.ReleaseResponse(response)
	}
	if err != nil {
		return nil, err
	}
	answer.closesConn = response.ConnectionClose() || answer.closesConn || answer.Remainder == nil &&
		c.reader.Buffered() > 0
	answer.Load = parseLoad(&response.Header)
	switch code := response.StatusCode(); {
	case code == fasthttp.StatusOK:
		answer.Outcome = policy.Settled
		answer.ContentType, answer.ContentEncoding = string(response.Header.ContentType()), string(response.Header.ContentEncoding())
	case (code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusGatewayTimeout) &&
		string(response.Header.Peek("X-Not-Run")) == "1":
		answer.Outcome = policy.Full
	default:
		answer.Outcome = policy.Fault
	}
	return answer, nil
}

// readBody reads an answer's body, whole where it is short and comes at once. A longer one has gone on coming for
// as long, or fills what is kept: the rest of it is left to be passed on.
func (c *WorkerConn) readBody(response *fasthttp.Response, answer *Answer) error {
	answer.Length = max(response.Header.ContentLength(),
		chunkedLength) // the library has another number for an end by connection
	switch {
	case answer.Length > MaxBodyBytes:
		return errTooLong
	case answer.Length == 0 || response.StatusCode() == fasthttp.StatusNoContent ||
		response.StatusCode() == fasthttp.StatusNotModified:
		return nil
	}
	response.StreamBody = true
	if err := response.ReadBody(c.reader, MaxBodyBytes); err != nil {
		return err
	}
	remainder, complete := response.BodyStream(), false
	var err error
	if answer.Length <= MaxBufferedBodyBytes {
		answer.Body, complete, err = c.bufferBody(answer.Length < 0, remainder)
	}
	if err != nil || complete {
		_ = response.CloseBodyStream()
		return err
	}
	c.stallTimeout = Millis(policy.BodyPause)
	c.forwarding.Store(true)
	c.SetDeadline(time.Time{})
	answer.Remainder = &limitedReader{remainder, int64(MaxBodyBytes - len(answer.Body))}
	return nil
}

// bufferBody reads a body until its end, or, where that is not stated, until it has filled what is kept or has been
// coming for some time, and tells whether it is whole.
func (c *WorkerConn) bufferBody(unknownLength bool, source io.Reader) (body []byte, complete bool,
	err error) {
	body = make([]byte, 0, 512)
	for start := time.Now(); ; {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return nil, false, err
		case unknownLength && (len(body) > MaxBufferedBodyBytes || time.Since(start) > Millis(policy.AnswerPause)):
			return body, false, nil
		}
	}
}

// limitedReader gives no more than so many bytes. Guards against answers without end.
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

// loadFieldNames are the words for what is told of load: the protocol's own, and the settings' for the same.
var loadFieldNames = [...][2]string{{"inflight", "concurrent"}, {"queue", "depth"}, {"util", "load_share"}}

// parseLoad reads what a worker said of its load. A report that is missing or cannot be read says nothing, and so
// does what is no number of nought or more in it.
func parseLoad(head *fasthttp.ResponseHeader) policy.Burden {
	var fields map[string]any
	if values := head.PeekAll("X-Load"); len(values) != 1 || json.Unmarshal(values[0], &fields) != nil {
		fields = nil
	}
	var reported [len(loadFieldNames)]float64
	for i, names := range loadFieldNames {
		reported[i] = -1
		for _, name := range names {
			if v, ok := fields[name].(float64); ok && v >= 0 {
				reported[i] = v
			}
		}
	}
	return policy.Burden{Held: reported[0], Waiting: reported[1], Busy: reported[2]}
}

// readHead reads an answer's head, past the interim ones ahead of it. Until a head has begun nothing pauses, and
// nothing does behind an interim one that came while the body of its submission still goes out.
func (c *WorkerConn) readHead(response *fasthttp.Response, answer *Answer) error {
	for interim := 0; ; interim++ {
		if interim == 0 || answer.early {
			c.awaitUntilDeadline(interim > 0)
		}
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		answer.early, c.stallTimeout = c.sendingBody.Load(), Millis(policy.AnswerPause)
		// Guards against a status line that the library makes 200 of: it reads status 000 so, and 0200.
		statusLine, err := c.reader.Peek(len("HTTP/1.1 200 "))
		if err != nil {
			return err
		}
		if !isStatusLine(statusLine) {
			return errMalformedStatusLine
		}
		if err := response.Header.Read(c.reader); err != nil {
			return err
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		if interim == policy.MostInterim || response.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return errTooManyInterim
		}
	}
}

// awaitUntilDeadline has reads wait until the moment to give up, and no shorter, also where a pause has been set. Guards
// against one that is set meanwhile.
func (c *WorkerConn) awaitUntilDeadline(resetDeadline bool) {
	for c.stallTimeout = 0; resetDeadline; {
		deadlineNanos, deadline := c.deadlineNanos.Load(), time.Time{}
		if deadlineNanos > 0 {
			deadline = time.Unix(0, deadlineNanos)
		}
		_ = c.conn.SetReadDeadline(deadline)
		c.reapplyAbort()
		if c.deadlineNanos.Load() == deadlineNanos {
			return
		}
	}
}

// isStatusLine tells whether a line begins as HTTP/1.0 or 1.1 with a status of three digits, and no more of them.
func isStatusLine(line []byte) bool {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' || rest[2] < '1' || rest[2] > '5' {
		return false
	}
	digit := func(c byte) bool { return c >= '0' && c <= '9' }
	return digit(rest[3]) && digit(rest[4]) && (rest[5] == ' ' || rest[5] == '\r')
}
