package fakes

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// defaultTimeout bounds a request that names no X-Deadline.
	defaultTimeout = 10 * time.Second
	// maxConnsPerHost is more connections than any test opens.
	maxConnsPerHost = 1 << 16
)

// AuthProxy is a reverse proxy on loopback that asks an authorization service before it forwards a request.
// It does what the documentation of the usual proxies with forward authentication has in common. Its methods
// may be called concurrently.
type AuthProxy struct {
	Addr string // host:port

	server   fasthttp.Server
	client   fasthttp.Client
	authAddr string // of the authorization service; empty where the proxy only forwards
	upstream string // address that requests are forwarded to

	mu           sync.Mutex // guards what follows
	forwardDelay time.Duration
	dropEvery    int
	authorized   int         // requests that were authorized
	authStatuses map[int]int // answers of the authorization service, by status
}

// NewAuthProxy starts a proxy at an address, which the caller allocates, with those of the authorization
// service and of the upstream; without the former it only forwards.
func NewAuthProxy(at, authAddr, upstream string) (*AuthProxy, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	p := &AuthProxy{Addr: l.Addr().String(), authAddr: authAddr, upstream: upstream, authStatuses: map[int]int{}}
	p.client = fasthttp.Client{MaxConnsPerHost: maxConnsPerHost, MaxIdemponentCallAttempts: 1,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration: 2 * time.Second, NoDefaultUserAgentHeader: true, DisablePathNormalizing: true}
	p.server = fasthttp.Server{Handler: p.handle, NoDefaultServerHeader: true, NoDefaultDate: true,
		CloseOnShutdown: true, Logger: discardLogger{}}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// discardLogger drops fasthttp's log messages.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Close ends the proxy once the requests in flight are answered.
func (p *AuthProxy) Close() {
	_ = p.server.Shutdown()
	p.client.CloseIdleConnections()
}

// SetForwardDelay sets the delay between authorization and forwarding.
func (p *AuthProxy) SetForwardDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwardDelay = d
}

// DropEvery makes the proxy answer 502 to each n-th authorized request instead of forwarding it, as one that
// crashes would lose it; 0 is none.
func (p *AuthProxy) DropEvery(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropEvery = n
}

// AuthResponses returns how often the authorization service answered with a status.
func (p *AuthProxy) AuthResponses(status int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.authStatuses[status]
}

// handle authorizes one request and forwards it.
func (p *AuthProxy) handle(ctx *fasthttp.RequestCtx) {
	timeout := defaultTimeout
	header := trimMicroseconds(ctx.Request.Header.Peek("X-Deadline"))
	if micros, err := strconv.ParseFloat(string(header), 64); err == nil {
		timeout = time.Duration(micros * float64(time.Microsecond))
	}
	deadline := time.Now().Add(timeout)
	if p.authAddr != "" && !p.authorize(ctx, deadline) {
		return
	}
	p.mu.Lock()
	p.authorized++
	delay, drop := p.forwardDelay, p.dropEvery > 0 && p.authorized%p.dropEvery == 0
	p.mu.Unlock()
	time.Sleep(delay)
	if drop {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		return
	}
	ctx.Request.Header.Set("X-Deadline", strconv.FormatInt(max(time.Until(deadline).Microseconds(), 1), 10)+"u")
	if p.send(ctx, &ctx.Request, p.upstream, deadline) != nil {
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

// trimMicroseconds returns the digits of a time with the unit u, microseconds, and nil for any other text.
func trimMicroseconds(b []byte) []byte {
	if n := len(b); n > 0 && b[n-1] == 'u' {
		return b[:n-1]
	}
	return nil
}

// authorize asks the authorization service about a request and reports whether it may be forwarded. The
// service's answer, also a refusal, is left as the response.
func (p *AuthProxy) authorize(ctx *fasthttp.RequestCtx, deadline time.Time) bool {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	ctx.Request.Header.CopyTo(&req.Header)
	h := &req.Header
	for _, name := range []string{"X-Forwarded-Method", "X-Forwarded-Uri", "X-Forwarded-Host",
		"X-Forwarded-Proto", "X-Forwarded-For", "Content-Length", "Transfer-Encoding"} {
		h.Del(name)
	}
	h.SetBytesV("X-Forwarded-Method", ctx.Method())
	h.SetBytesV("X-Forwarded-Uri", ctx.RequestURI())
	h.SetBytesV("X-Forwarded-Host", ctx.Host())
	h.Set("X-Forwarded-Proto", "http")
	h.Set("X-Forwarded-For", ctx.RemoteIP().String())
	h.SetMethod(fasthttp.MethodGet)
	h.SetRequestURI("/auth")
	if err := p.send(ctx, req, p.authAddr, deadline); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		return false
	}
	status := ctx.Response.StatusCode()
	p.mu.Lock()
	p.authStatuses[status]++
	p.mu.Unlock()
	return status >= 200 && status < 300
}

// send sends a request to an address and leaves the answer as the response.
func (p *AuthProxy) send(ctx *fasthttp.RequestCtx, req *fasthttp.Request, addr string,
	deadline time.Time) error {
	req.SetHost(addr)
	req.URI().SetScheme("http")
	req.UseHostHeader = false
	ctx.Response.Reset()
	return p.client.DoDeadline(req, &ctx.Response, deadline)
}
