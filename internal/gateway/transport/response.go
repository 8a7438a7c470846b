package transport

import (
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/policy"
)

// reject answers what is no valid request and gives false: the connection ends, since what follows may be
// part of the same.
func (f *Frontend) reject(conn *clientConn, x *exchange, status int, message string) bool {
	if conn.isEnded() {
		return false // it was ended here before all of the request came
	}
	f.malformed.Add(1)
	x.closeAfter = true
	conn.lingerOnClose.Store(true)
	_ = f.writeResponse(conn, x, status, []byte(message+"\n"))
	return false
}

// rejectUnreadable rejects what is no HTTP, too long, or not complete in time.
func (f *Frontend) rejectUnreadable(conn *clientConn, x *exchange, err error) bool {
	var headTooLong *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, errTooLong):
		return f.reject(conn, x, fasthttp.StatusRequestEntityTooLarge, "the body is too long")
	case errors.As(err, &headTooLong):
		return f.reject(conn, x, fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case isTimeout(err):
		return f.reject(conn, x, fasthttp.StatusRequestTimeout, "no whole request has come in time")
	}
	return f.reject(conn, x, fasthttp.StatusBadRequest, "no request could be read")
}

// writeResponse writes a response with a buffered body. The headers that the caller has set in x.responseHead
// go out with it.
func (f *Frontend) writeResponse(conn *clientConn, x *exchange, status int, body []byte) error {
	f.encodeHead(conn, x, status, len(body))
	x.output = append(x.output, body...)
	_, err := stallWriter{conn}.Write(x.output)
	return err
}

// encodeHead encodes into x.output the head of a response whose body has length bytes, or comes in chunks
// where length is negative.
func (f *Frontend) encodeHead(conn *clientConn, x *exchange, status, length int) {
	head := &x.request.Header
	x.closeAfter = x.closeAfter || head.ConnectionClose() || !head.IsHTTP11() || conn.shouldClose() ||
		f.closing.Load()
	x.responseHead.SetStatusCode(status)
	x.responseHead.SetContentLength(length)
	x.responseHead.SetNoDefaultContentType(true)
	if x.closeAfter {
		x.responseHead.SetConnectionClose()
	}
	x.output = x.responseHead.AppendBytes(x.output[:0])
}

// writeFinal writes and counts a request's final answer, and tells whether it was written completely. Only
// the policy's declines are 429: that status says that a retry is harmless.
func (f *Frontend) writeFinal(conn *clientConn, x *exchange, product int, final FinalAnswer) bool {
	counts := &f.finalCounts[product]
	var err error
	switch final.Kind {
	case policy.Submit:
		if err = f.forwardAnswer(conn, x, final.Answer); errors.Is(err, ErrTruncated) {
			counts[finalVoided].Add(1)
		} else {
			counts[finalSucceeded].Add(1)
		}
	case policy.Reject:
		if final.RetryAfterMillis > 0 {
			x.responseHead.Set("Retry-After", RetryAfter(final.RetryAfterMillis))
		}
		err = f.writeResponse(conn, x, fasthttp.StatusTooManyRequests, nil)
		counts[finalDeclined].Add(1)
	default:
		status, message := fasthttp.StatusInternalServerError, []byte(nil)
		if errorAnswer := final.ErrorAnswer; errorAnswer != nil {
			status, message = errorAnswer.Status, []byte(errorAnswer.Message+"\n")
			for _, header := range errorAnswer.Headers {
				x.responseHead.Add(header[0], header[1])
			}
		}
		err = f.writeResponse(conn, x, status, message)
		counts[finalVoided].Add(1)
	}
	return err == nil
}

// RetryAfter formats a Retry-After header, in decimal seconds, from ms.
func RetryAfter(ms float64) string { return strconv.FormatFloat(ms/1000, 'f', 3, 64) }

// forwardAnswer writes a worker's answer to the client, its remainder as it comes.
func (f *Frontend) forwardAnswer(conn *clientConn, x *exchange, answer *Answer) error {
	if answer.ContentType != "" {
		x.responseHead.SetContentType(answer.ContentType)
	}
	if answer.ContentEncoding != "" {
		x.responseHead.SetContentEncoding(answer.ContentEncoding)
	}
	if answer.Remainder == nil {
		return f.writeResponse(conn, x, fasthttp.StatusOK, answer.Body)
	}
	f.encodeHead(conn, x, fasthttp.StatusOK, answer.Length)
	limitSendBuffer(conn.Conn)
	_, err := stallWriter{conn}.Write(x.output)
	if err == nil {
		err = answer.writeTo(stallWriter{conn})
	}
	answer.onForwarded(err)
	return err
}
