package workerlink

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Errors of an exchange, by what is known of the request.
var (
	// ErrNotSent is returned where no byte of the request was sent: it may be sent to any worker.
	ErrNotSent = errors.New("the worker could not be reached: try another one")
	// ErrOutcomeUnknown is returned where the request may have run.
	ErrOutcomeUnknown = errors.New("the worker sent no complete response: the request may have run")
)

// Header names of the protocol.
const (
	HeaderRequestID   = "Request-Id"
	HeaderDeadline    = "Deadline-Ms"
	HeaderTarget      = "Target-Instance"
	HeaderSignature   = "Server-Signature"
	HeaderNotExecuted = "Not-Executed"
	HeaderLoad        = "Instance-Load"
	HeaderLastEvent   = "Last-Event-Id"
	HeaderPriority    = "Priority"
)

// maxStaleResponses is how many responses to other requests are skipped before a connection is abandoned.
const maxStaleResponses = 4

// maxInterimResponses is how many interim responses (1xx) may come before each response.
const maxInterimResponses = 5

const (
	headBytesHint      = 512     // room for the head of a request
	maxCopiedBodyBytes = 8 << 10 // a body up to this length is sent together with the head
)

// Request is what is sent to a worker.
type Request struct {
	Method string
	URI    string // as the client sent it
	Host   string
	Header http.Header // without hop-by-hop headers, as EndToEnd returns them
	Body   [][]byte    // segments, in their order
}

// hopByHopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// EndToEnd returns a copy of header without the hop-by-hop headers.
func EndToEnd(header http.Header) http.Header {
	endToEnd := header.Clone()
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			endToEnd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		endToEnd.Del(name)
	}
	return endToEnd
}

// encode returns the buffers to send: the head, with the body where that is short, and the segments of a long
// body as they are.
func (r *Request) encode() [][]byte {
	bodyBytes := 0
	for _, segment := range r.Body {
		bodyBytes += len(segment)
	}
	var text bytes.Buffer
	text.Grow(headBytesHint + min(bodyBytes, maxCopiedBodyBytes))
	text.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			text.WriteString(name + ": " + value + "\r\n")
		}
	}
	if bodyBytes > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		text.WriteString("Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n")
	}
	text.WriteString("\r\n")
	if bodyBytes > maxCopiedBodyBytes {
		return append([][]byte{text.Bytes()}, r.Body...)
	}
	for _, segment := range r.Body {
		text.Write(segment)
	}
	return [][]byte{text.Bytes()}
}

// Send sends a request. deadline bounds the whole exchange on the connection. Any error is an
// ErrOutcomeUnknown.
func (c *Conn) Send(r *Request, deadline time.Time) error {
	if err := c.SetDeadline(deadline); err != nil {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	c.requests++
	for _, buffer := range r.encode() {
		if _, err := c.Write(buffer); err != nil {
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
	}
	return nil
}

// Receive reads the head of the response to the request with that id; the caller reads the body. Responses to
// other requests are stale and skipped. A response that names no request is accepted only as an error, and as
// the first on a connection that has carried one request. reserve is called for the memory of a long head,
// which fails where it returns false. Any error is an ErrOutcomeUnknown.
func (c *Conn) Receive(
	method, requestID string, reserve func(bytes int64) bool,
) (*http.Response, error) {
	for range maxStaleResponses {
		response, err := c.readFinalResponse(method, reserve)
		if err != nil {
			return nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
		c.responses++
		id := response.Header.Get(HeaderRequestID)
		unambiguous := id == "" && c.requests == 1 && c.responses == 1 &&
			response.StatusCode >= http.StatusBadRequest
		if id == requestID || unambiguous {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, errors.Wrap(ErrOutcomeUnknown, "a stale response ended the connection")
		}
	}
	return nil, errors.Wrap(ErrOutcomeUnknown, "too many stale responses")
}

// readFinalResponse reads the head of the next response, and skips the interim ones before it.
func (c *Conn) readFinalResponse(method string, reserve func(bytes int64) bool) (*http.Response, error) {
	defer c.head.end()
	for range maxInterimResponses + 1 {
		c.head.begin(reserve)
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("too many interim responses")
}

// IdleUntil returns until when a connection whose last response came now may stay idle, and whether the
// worker keeps it open at all.
func IdleUntil(response *http.Response, now time.Time) (time.Time, bool) {
	if response.Close {
		return time.Time{}, false
	}
	stated, ok := statedIdleTimeout(response.Header.Get("Keep-Alive"))
	if !ok {
		return now.Add(defaultIdleTimeout), true
	}
	return now.Add(stated - idleTimeoutMargin), stated > idleTimeoutMargin
}

// statedIdleTimeout returns the time-out in a Keep-Alive header.
func statedIdleTimeout(keepAlive string) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(keepAlive, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// NotExecuted reports whether a response states that the worker did not run the request with that id. One
// that names no request proves nothing of this one.
func NotExecuted(response *http.Response, requestID string) bool {
	if response.Header.Get(HeaderRequestID) != requestID {
		return false
	}
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(HeaderNotExecuted) != ""
}
