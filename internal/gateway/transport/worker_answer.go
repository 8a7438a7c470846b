package transport

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/policy"
)

var (
	errMalformedStatusLine = errors.New("malformed status line")
	errTooManyInterim      = errors.New("too many interim answers")
)

// Receive reads one answer; of a long one the remainder is left to be forwarded. After an error the
// connection is of no more use. Bytes behind a complete answer are not part of it: the answer is good, and
// the last one of the connection. onAnswerStart, unless nil, is called where an answer has begun and does not
// come at once.
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
	answer.closesConn = response.ConnectionClose() || answer.closesConn ||
		answer.Remainder == nil && c.reader.Buffered() > 0
	answer.Load = parseLoad(&response.Header)
	switch code := response.StatusCode(); {
	case code == fasthttp.StatusOK:
		answer.Outcome = policy.Succeeded
		answer.ContentType = string(response.Header.ContentType())
		answer.ContentEncoding = string(response.Header.ContentEncoding())
	case (code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusGatewayTimeout) &&
		string(response.Header.Peek("X-Not-Run")) == "1":
		answer.Outcome = policy.Overloaded
	default:
		answer.Outcome = policy.Failed
	}
	return answer, nil
}

// readHead reads an answer's head, past the interim ones ahead of it. stallTimeout applies once a head has
// begun, but not behind an interim answer that came while the request's body was still being sent.
func (c *WorkerConn) readHead(response *fasthttp.Response, answer *Answer) error {
	for interim := 0; ; interim++ {
		if interim == 0 || answer.early {
			c.clearStallTimeout(interim > 0)
		}
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		answer.early, c.stallTimeout = c.sendingBody.Load(), Millis(policy.ResponseStallTimeoutMillis)
		// fasthttp reads status 000 and 0200 as 200.
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
		if interim == policy.MaxInterimResponses || response.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return errTooManyInterim
		}
	}
}

// endStallTimeout has reads wait until the deadline for the answer, no shorter. Where a stall time-out may
// have been set on the connection, resetDeadline replaces it, also where the deadline changes meanwhile.
func (c *WorkerConn) clearStallTimeout(resetDeadline bool) {
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

// isStatusLine tells whether a line of 13 bytes begins as HTTP/1.0 or 1.1 with a status of exactly three
// digits.
func isStatusLine(line []byte) bool {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' || rest[2] < '1' || rest[2] > '5' {
		return false
	}
	digit := func(c byte) bool { return c >= '0' && c <= '9' }
	return digit(rest[3]) && digit(rest[4]) && (rest[5] == ' ' || rest[5] == '\r')
}

// readBody reads an answer's body. It is read completely where it is short; a stated length decides that, and
// else whether it ends within MaxBufferedBodyBytes and ResponseStallTimeoutMillis. Otherwise the remainder
// is
// left to be forwarded.
func (c *WorkerConn) readBody(response *fasthttp.Response, answer *Answer) error {
	// fasthttp has another negative length for a body that ends with its connection.
	answer.Length = max(response.Header.ContentLength(), chunkedLength)
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
		answer.Body, complete, err = bufferBody(answer.Length < 0, remainder)
	}
	if err != nil || complete {
		_ = response.CloseBodyStream()
		return err
	}
	c.stallTimeout = Millis(policy.BodyStallTimeoutMillis)
	c.forwarding.Store(true)
	c.SetDeadline(time.Time{})
	answer.Remainder = &limitedReader{remainder, int64(MaxBodyBytes - len(answer.Body))}
	return nil
}

// bufferBody reads a body until its end. One of unknown length it reads until it is longer than
// MaxBufferedBodyBytes or has been coming for ResponseStallTimeoutMillis, and tells whether it is complete.
func bufferBody(unknownLength bool, source io.Reader) (body []byte, complete bool, err error) {
	const firstBytes = 512
	body = make([]byte, 0, firstBytes)
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
		case unknownLength &&
			(len(body) > MaxBufferedBodyBytes || time.Since(start) > Millis(policy.ResponseStallTimeoutMillis)):
			return body, false, nil
		}
	}
}
