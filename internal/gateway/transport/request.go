package transport

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/policy"
)

// Millis converts ms, the policy's unit of time spans, to a Duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Request is a client's request: what the policy decides by, and the bytes that are forwarded unchanged. The
// byte slices belong to the client's connection and are valid until the request is answered.
type Request struct {
	policy.Request
	Method, Target []byte
	RequestID      []byte  // X-Request-Id
	IdempotencyKey []byte  // empty where there is none
	Body           []byte  // a body that is buffered
	Upload         *Upload // a body that is not; or nil
	Anonymous      bool    // it names no customer: an authorizer has to
	MaybeSent      bool    // some of it may have been sent to a worker
	client         client  // nil where the client cannot be asked whether it still waits
	head           *fasthttp.RequestHeader
}

// client is a connection that can tell whether its other side has closed it.
type client interface {
	Gone() bool
	RemoteAddr() net.Addr
}

// ClientIP gives the client's address without its port; empty where it is not known.
func (r *Request) ClientIP() string {
	if r.client == nil {
		return ""
	}
	host, _, _ := net.SplitHostPort(r.client.RemoteAddr().String())
	return host
}

// Header gives the value of a header that may be there once; nil where it is not there.
func (r *Request) Header(name string) ([]byte, error) { return OptionalHeader(r.head, name) }

// Gone tells whether the client has closed its connection.
func (r *Request) Gone() bool { return r.client != nil && r.client.Gone() }
