// Package distribution carries versions of the rules from a council's daemon down a tree of relays, and what
// has
// been seen of them up: the I/O of package distribution, which decides. See docs/relay-design.md.
package relay

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/bootclock"
	"willowdeck/internal/distribution"
)

const (
	// AskPath is where relays and a council's daemons are asked: POST of an Ask, answered with an Answer.
	RequestPath = "/relay/ask"

	contentType = "application/cbor"

	maxErrorMessageBytes      = 200             // bytes of a refusal that are kept
	maxConnectionsPerUpstream = 2               // connections to one upstream: one may hang until its time is up
	idleConnectionTimeout     = 5 * time.Second // asks come several in a lease: only those to others lie idle
)

// Clock is the time by which ages are counted, ms: it goes on while the process stands still and the machine
// sleeps.
func nowMillis() float64 { return float64(bootclock.Nanos()) / 1e6 }

// millis is a time in ms as the library has it.
func toDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// StatusError is an answer that is none. Code is HTTP's; 404 is of a program that does not speak this.
type StatusError struct {
	Code    int
	Message string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Code, e.Message) }

// ErrSpoilt is of an answer that came and can't be gone by: garbled, too long, or with another's digest.
var ErrCorruptResponse = errors.New("an answer that can't be gone by")

// Reasons why an ask has no answer, as they are counted.
const (
	reasonTimeout    = "late"    // no answer in its time
	reasonStatus     = "refused" // one with another status than 200
	reasonMalformed  = "garbled" // one that can't be read
	reasonConnection = "lost"    // the connection failed
	reasonWrongNonce = "other"   // it is to another question
	reasonChecksum   = "spoilt"  // its checksum is another than that of what came
)

// Traffic is what has passed in one direction since the start.
type Traffic struct {
	Requests      int64            `json:"asks"`
	Responses     int64            `json:"answers"`
	RequestBytes  int64            `json:"ask_bytes"`    // bodies, without HTTP's headers
	ResponseBytes int64            `json:"answer_bytes"` // the same
	ReceivedBytes int64            `json:"in"`           // bytes on the wire that came here, heads too
	SentBytes     int64            `json:"out"`
	Failures      map[string]int64 `json:"failed"` // without an answer that can be gone by, by reason
}

// traffic counts as it passes.
type trafficCounters struct {
	requests, responses, requestBytes, responseBytes, receivedBytes, sentBytes atomic.Int64

	mu       sync.Mutex
	failures map[string]int64
}

func (t *trafficCounters) countFailure(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failures == nil {
		t.failures = map[string]int64{}
	}
	t.failures[reason]++
}

func (t *trafficCounters) snapshot() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Traffic{Requests: t.requests.Load(), Responses: t.responses.Load(), RequestBytes: t.requestBytes.Load(),
		ResponseBytes: t.responseBytes.Load(), ReceivedBytes: t.receivedBytes.Load(), SentBytes: t.sentBytes.Load(),
		Failures: map[string]int64{}}
	for k, n := range t.failures {
		c.Failures[k] = n
	}
	return c
}

// counted counts the bytes that pass, heads and all.
type countingConn struct {
	net.Conn
	received, sent *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// Client asks upstreams, over connections that are kept. It is safe for concurrent use.
type Client struct {
	traffic   trafficCounters
	nonce     atomic.Uint64 // of the last question
	upstreams []*fasthttp.HostClient
	urls      []string
}

// NewClient makes one for upstreams at HOST:PORT each, that answer at a path. An address may be any: it is
// dialled when it is asked.
func NewClient(at []string, path string) *Client {
	c := &Client{}
	c.nonce.Store(rand.Uint64()) // those of a former life may be on the way
	for _, a := range at {
		c.urls = append(c.urls, "http://"+a+path)
		c.upstreams = append(c.upstreams, &fasthttp.HostClient{Addr: a, MaxConns: maxConnectionsPerUpstream,
			MaxIdleConnDuration:       idleConnectionTimeout,
			MaxIdemponentCallAttempts: 1, MaxResponseBodySize: distribution.MaxResponseBytes,
			NoDefaultUserAgentHeader: true,
			DisablePathNormalizing:   true, DialTimeout: c.dial})
	}
	return c
}

// dial connects to an upstream within an ask's own time.
func (c *Client) dial(at string, within time.Duration) (net.Conn, error) {
	n, err := net.DialTimeout("tcp", at, within)
	if err != nil {
		return nil, err
	}
	return countingConn{n, &c.traffic.receivedBytes, &c.traffic.sentBytes}, nil
}

// Ask asks one upstream and waits for its answer, for so many ms at most. An error is a *StatusError where it
// has answered with another status than 200, and an ErrSpoilt where its answer can't be gone by. An ask
// without a Number gets one, and the answer has to bear it: its age counts from when its question came, so
// that one which is given again for a later question (by a cache, or a box that has lost count) would make
// what it says younger than it is.
func (c *Client) Fetch(upstream int, a *distribution.Request, within float64) (*distribution.Response,
	error) {
	q := *a
	if q.Nonce == 0 {
		q.Nonce = c.nonce.Add(1)
	}
	raw, err := q.Encode()
	if err != nil {
		return nil, err
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(c.urls[upstream])
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(contentType)
	req.SetBodyRaw(raw)
	c.traffic.requests.Add(1)
	c.traffic.requestBytes.Add(int64(len(raw)))
	if err := c.upstreams[upstream].DoTimeout(req, res, toDuration(within)); err != nil {
		switch {
		case errors.Is(err, fasthttp.ErrTimeout):
			c.traffic.countFailure(reasonTimeout)
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			c.traffic.countFailure(reasonMalformed)
			return nil, fmt.Errorf("%w: %w", ErrCorruptResponse, err)
		default:
			c.traffic.countFailure(reasonConnection)
		}
		return nil, err
	}
	body := res.Body()
	c.traffic.responses.Add(1)
	c.traffic.responseBytes.Add(int64(len(body)))
	if s := res.StatusCode(); s != fasthttp.StatusOK {
		c.traffic.countFailure(reasonStatus)
		return nil, &StatusError{Code: s, Message: string(body[:min(len(body), maxErrorMessageBytes)])}
	}
	got, err := distribution.DecodeResponse(body)
	if err != nil {
		c.traffic.countFailure(decodeFailureReason(err))
		return nil, fmt.Errorf("%w: %w", ErrCorruptResponse, err)
	}
	if got.Nonce != q.Nonce {
		c.traffic.countFailure(reasonWrongNonce)
		return nil, fmt.Errorf("%w: it is to question %d, this was %d", ErrCorruptResponse, got.Nonce, q.Nonce)
	}
	return got, nil
}

// unread is the reason by which something is counted that can't be read.
func decodeFailureReason(err error) string {
	if errors.Is(err, distribution.ErrChecksum) {
		return reasonChecksum
	}
	return reasonMalformed
}

// Traffic gives what has passed so far.
func (c *Client) Traffic() Traffic { return c.traffic.snapshot() }

// Close ends connections that lie idle. One that an ask is on ends with that ask.
func (c *Client) Close() {
	for _, w := range c.upstreams {
		w.CloseIdleConnections()
	}
}
