package relay

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/distribution"
)

const (
	// RequestPath is where relays and the raft group's daemons respond: POST of an encoded Request, answered
	// with an encoded Response.
	RequestPath = "/relay/ask"

	contentType = "application/cbor"

	maxErrorMessageBytes      = 200             // of the body of an error response that are kept
	maxConnectionsPerUpstream = 2               // one may hang until its time-out
	idleConnectionTimeout     = 5 * time.Second // longer than the interval of requests to the current upstream
)

// StatusError is a response with another status than 200. With 404 the upstream does not speak this protocol.
type StatusError struct {
	Code    int    // of HTTP
	Message string // the beginning of the body
}

// Error is error's.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Code, e.Message) }

// ErrCorruptResponse is wrapped by the error of a response that came and can't be used: it is malformed, too
// long, has a wrong checksum, or is to another request.
var ErrCorruptResponse = errors.New("corrupt response")

// Client sends requests to upstreams over connections that are kept. It is safe for concurrent use.
type Client struct {
	traffic   trafficCounters
	nonce     atomic.Uint64 // of the last request that came without one
	upstreams []*fasthttp.HostClient
	urls      []string // by upstream
}

// NewClient makes a client of upstreams at HOST:PORT each, which respond at a path. An upstream is dialled
// when a request is sent to it.
func NewClient(addresses []string, path string) *Client {
	c := &Client{}
	c.nonce.Store(rand.Uint64()) // responses to an earlier incarnation may be on the way
	for _, address := range addresses {
		c.urls = append(c.urls, "http://"+address+path)
		c.upstreams = append(c.upstreams, &fasthttp.HostClient{
			Addr:                      address,
			MaxConns:                  maxConnectionsPerUpstream,
			MaxIdleConnDuration:       idleConnectionTimeout,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       distribution.MaxResponseBytes,
			NoDefaultUserAgentHeader:  true,
			DisablePathNormalizing:    true,
			DialTimeout:               c.dial,
		})
	}
	return c
}

// dial connects to an upstream within the time-out of the request.
func (c *Client) dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &c.traffic.receivedBytes, &c.traffic.sentBytes}, nil
}

// Fetch sends a request to an upstream and waits for the response. The error is a *StatusError for another
// status than 200, and wraps ErrCorruptResponse for a response that can't be used.
//
// A request without a nonce gets one, and the response has to bear it. Its age counts from when its request
// was sent: a response that is delivered again for a later request, by a cache or a confused proxy, would
// count as younger than it is.
func (c *Client) Fetch(upstream int, request *distribution.Request, timeoutMillis float64) (
	*distribution.Response, error) {
	sent := *request
	if sent.Nonce == 0 {
		sent.Nonce = c.nonce.Add(1)
	}
	body, err := sent.Encode()
	if err != nil {
		return nil, err
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(c.urls[upstream])
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(contentType)
	req.SetBodyRaw(body)
	c.traffic.requests.Add(1)
	c.traffic.requestBytes.Add(int64(len(body)))
	if err := c.upstreams[upstream].DoTimeout(req, res, toDuration(timeoutMillis)); err != nil {
		return nil, c.countTransportError(err)
	}
	return c.decodeResponse(res, sent.Nonce)
}

// countTransportError counts the error of an exchange, and gives that of Fetch.
func (c *Client) countTransportError(err error) error {
	switch {
	case errors.Is(err, fasthttp.ErrTimeout):
		c.traffic.countFailure(reasonTimeout)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.traffic.countFailure(reasonMalformed)
		return fmt.Errorf("%w: %w", ErrCorruptResponse, err)
	default:
		c.traffic.countFailure(reasonConnection)
	}
	return err
}

// decodeResponse gives the content of a response to the request with a nonce.
func (c *Client) decodeResponse(res *fasthttp.Response, nonce uint64) (*distribution.Response, error) {
	body := res.Body()
	c.traffic.responses.Add(1)
	c.traffic.responseBytes.Add(int64(len(body)))
	if code := res.StatusCode(); code != fasthttp.StatusOK {
		c.traffic.countFailure(reasonStatus)
		return nil, &StatusError{Code: code, Message: string(body[:min(len(body), maxErrorMessageBytes)])}
	}
	response, err := distribution.DecodeResponse(body)
	if err != nil {
		c.traffic.countFailure(decodeFailureReason(err))
		return nil, fmt.Errorf("%w: %w", ErrCorruptResponse, err)
	}
	if response.Nonce != nonce {
		c.traffic.countFailure(reasonWrongNonce)
		return nil, fmt.Errorf("%w: it has nonce %d, the request %d", ErrCorruptResponse, response.Nonce, nonce)
	}
	return response, nil
}

// Traffic gives what has passed so far.
func (c *Client) Traffic() Traffic { return c.traffic.snapshot() }

// Close closes idle connections. One that is in use closes with its request.
func (c *Client) Close() {
	for _, upstream := range c.upstreams {
		upstream.CloseIdleConnections()
	}
}
