package fakes

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/testkit/ports"
)

// Asked is a question that an auth service was put.
type Asked struct {
	Credential, Method, Target, For string
	At                              time.Time
}

// Auth is an auth service on loopback. It knows who may, and takes its time.
type Auth struct {
	At string

	script
	server *http.Server
	leave  func() // gives its port back
	say    func(credential string) (status int, headers map[string]string)
	got    []Asked
}

// NewAuth starts a service that takes so long for an answer, and says yes to any credential but none.
func NewAuth(service time.Duration) (*Auth, error) {
	l, leave, err := ports.Open()
	if err != nil {
		return nil, err
	}
	a := &Auth{At: l.Addr().String(), leave: leave, script: script{service: service, over: make(chan struct{})}}
	a.Says(func(credential string) (int, map[string]string) {
		if credential == "" {
			return http.StatusUnauthorized, map[string]string{"WWW-Authenticate": "Bearer"}
		}
		return http.StatusOK, nil
	})
	a.server = &http.Server{Handler: a}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// Close ends the service at once: its connections break.
func (a *Auth) Close() {
	_ = a.server.Close()
	a.leave()
}

// Says changes what it answers to a credential.
func (a *Auth) Says(f func(credential string) (status int, headers map[string]string)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.say = f
}

// Got gives what it was asked.
func (a *Auth) Got() []Asked {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Asked(nil), a.got...)
}

func (a *Auth) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	credential := r.Header.Get("Authorization")
	a.mu.Lock()
	fault, over, service, say := a.fault, a.over, a.service, a.say
	a.got = append(a.got, Asked{credential, r.Header.Get("X-Forwarded-Method"), r.Header.Get("X-Forwarded-Uri"),
		r.Header.Get("X-Forwarded-For"), time.Now()})
	a.mu.Unlock()
	if !play(fault, over, service, out, r) {
		return
	}
	status, headers := say(credential)
	for k, v := range headers {
		out.Header().Set(k, v)
	}
	out.WriteHeader(status)
}

// Portal is a reverse proxy on loopback that asks before it sends a request on: what is common to those that
// do so by their published pages.
type Portal struct {
	At string

	server fasthttp.Server
	client fasthttp.Client
	asks   string // where it asks; empty where it only sends on
	to     string
	mu     sync.Mutex
	pause  time.Duration
	loses  int
	sent   int
	seen   map[int]int // answers to what it asked, by status
}

// NewPortal starts a portal at an address that asks at another, and sends on to a third.
func NewPortal(at, asks, to string) (*Portal, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	p := &Portal{At: l.Addr().String(), asks: asks, to: to, seen: map[int]int{}}
	p.client = fasthttp.Client{MaxConnsPerHost: 1 << 16, MaxIdemponentCallAttempts: 1,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration: 2 * time.Second, NoDefaultUserAgentHeader: true, DisablePathNormalizing: true}
	p.server = fasthttp.Server{Handler: p.handle, NoDefaultServerHeader: true, NoDefaultDate: true,
		CloseOnShutdown: true, Logger: quiet{}}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Close ends the portal.
func (p *Portal) Close() {
	_ = p.server.Shutdown()
	p.client.CloseIdleConnections()
}

// Pauses has it wait between a yes and sending on.
func (p *Portal) Pauses(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause = d
}

// Loses has it send every so manieth request not on that was cleared, as one that dies; 0 is none.
func (p *Portal) Loses(every int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loses = every
}

// Seen tells how often it was answered with a status.
func (p *Portal) Seen(status int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[status]
}

func (p *Portal) handle(ctx *fasthttp.RequestCtx) {
	patience := 10 * time.Second
	if d, err := strconv.ParseFloat(string(unit(ctx.Request.Header.Peek("X-Deadline"))), 64); err == nil {
		patience = time.Duration(d * float64(time.Microsecond))
	}
	until := time.Now().Add(patience)
	if p.asks != "" && !p.ask(ctx, until) {
		return
	}
	p.mu.Lock()
	p.sent++
	pause, loses := p.pause, p.loses > 0 && p.sent%p.loses == 0
	p.mu.Unlock()
	time.Sleep(pause)
	if loses {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		return
	}
	ctx.Request.Header.Set("X-Deadline", strconv.FormatInt(max(time.Until(until).Microseconds(), 1), 10)+"u")
	if p.send(ctx, &ctx.Request, p.to, until) != nil {
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

// unit gives a time in microseconds without its unit, where it is so.
func unit(b []byte) []byte {
	if n := len(b); n > 0 && b[n-1] == 'u' {
		return b[:n-1]
	}
	return nil
}

// ask asks on a request's behalf, and passes a no on.
func (p *Portal) ask(ctx *fasthttp.RequestCtx, until time.Time) bool {
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
	if err := p.send(ctx, req, p.asks, until); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		return false
	}
	status := ctx.Response.StatusCode()
	p.mu.Lock()
	p.seen[status]++
	p.mu.Unlock()
	return status >= 200 && status < 300
}

func (p *Portal) send(ctx *fasthttp.RequestCtx, req *fasthttp.Request, to string, until time.Time) error {
	req.SetHost(to)
	req.URI().SetScheme("http")
	req.UseHostHeader = false
	ctx.Response.Reset()
	return p.client.DoDeadline(req, &ctx.Response, until)
}
