package authserver

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/forwardauth/authcache"
	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/proxy"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
)

// Server responds to the calls of reverse proxies, and serves the requests that they forward after a
// clearance. Safe for concurrent use.
type Server struct {
	config   *config.AuthServer
	names    config.Names
	settings atomic.Pointer[policy.Settings]
	proxy    *proxy.Proxy
	next     func(*transport.Request) transport.FinalAnswer
	http     fasthttp.Server
	counters [counterCount]atomic.Int64

	mu         sync.Mutex // guards the fields below; never held during I/O or a call to the proxy
	clearances *authcache.ClearanceTable[*proxy.Reservation]
	listener   *transport.LimitListener // nil until Listen
	closed     bool
}

// counter is the index of a counter that is exposed on the operators' port.
type counter int

const (
	countCleared counter = iota
	countClearedBefore
	countDenied
	countMalformed
	countUntrusted
	countMismatched
	countAlreadyUsed
	countFull
	countMisdirected
	countRedeemed
	countNotCleared
	counterCount
)

var counterNames = [counterCount]string{
	"cleared",
	"again",
	"declined",
	"unreadable",
	"stranger",
	"others",
	"used",
	"no_place",
	"elsewhere",
	"came",
	"uncleared",
}

// New returns a Server that forwards cleared requests to a proxy. next serves the requests that neither
// have nor need a clearance.
func New(cfg *config.AuthServer, names config.Names, settings policy.Settings, p *proxy.Proxy,
	next func(*transport.Request) transport.FinalAnswer) *Server {
	s := &Server{config: cfg, names: names, proxy: p, next: next,
		clearances: authcache.NewClearanceTable[*proxy.Reservation](cfg.LifetimeMillis, cfg.RetentionMillis,
			cfg.MaxClearances)}
	s.settings.Store(&settings)
	s.http = fasthttp.Server{
		Handler: s.handle,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			s.rejectCall(ctx, countMalformed, readError(err))
		},
		MaxRequestBodySize:    1, // a call has no body
		ReadBufferSize:        2*authcache.MaxTargetBytes + 4096,
		ReadTimeout:           transport.Millis(authcache.CallTimeoutMillis),
		WriteTimeout:          transport.Millis(authcache.CallTimeoutMillis),
		IdleTimeout:           transport.Millis(authcache.IdleTimeoutMillis),
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		Logger:                transport.DiscardLogger{},
	}
	return s
}

// SetInstances sets the number of gateway instances.
func (s *Server) SetInstances(instances int) {
	settings := *s.settings.Load()
	settings.GatewayCount = instances
	s.settings.Store(&settings)
}

// readError returns the response to a call that is not valid HTTP, is too long, or is not complete in time.
func readError(err error) *callError {
	var tooSmall *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &tooSmall):
		return &callError{fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is too long"}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return &callError{fasthttp.StatusRequestEntityTooLarge, "a call has no body"}
	case errors.As(err, &netErr) && netErr.Timeout():
		return &callError{fasthttp.StatusRequestTimeout, "no whole call has come in time"}
	}
	return &callError{fasthttp.StatusBadRequest, "no call could be read"}
}

// Listen binds the configured address and serves calls until Close.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", s.config.ListenAddress)
	if err != nil {
		return fmt.Errorf("asked.listen: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return listener.Close()
	}
	s.listener = transport.NewLimitListener(listener, s.config.MaxConnections)
	go func() { _ = s.http.Serve(s.listener) }()
	return nil
}

// Addr returns the address on which the server listens; empty if it does not.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Close stops accepting connections. Open connections are closed after their next response.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	go func() { _ = s.http.Shutdown() }()
}

// HandOver returns all clearances for the successor process, and releases their reservations in this process.
// From then on no request is cleared.
func (s *Server) HandOver() []authcache.Clearance {
	s.mu.Lock()
	clearances, reservations := s.clearances.HandOver(s.proxy.Now())
	s.mu.Unlock()
	for _, reservation := range reservations {
		s.proxy.Release(reservation)
	}
	return clearances
}

// Adopt adds the predecessor's clearances. It ignores those that have expired or do not fit the settings.
func (s *Server) Adopt(clearances []authcache.Clearance) {
	for _, c := range clearances {
		attributes, nowMillis := c.Attributes, s.proxy.Now()
		if attributes.Product < 0 || attributes.Product >= len(s.settings.Load().Products) || attributes.Plan < 0 ||
			attributes.Plan >= len(s.settings.Load().Plans) || c.ExpiresMillis <= nowMillis || len(c.RequestID) == 0 ||
			len(c.RequestID) > policy.MaxDedupKeyBytes || !(attributes.Units > 0) {
			continue
		}
		var reservation *proxy.Reservation
		if !c.Used {
			reservation = s.proxy.AdoptReservation(arrivalOf(attributes), c.ExpiresMillis-nowMillis)
		}
		s.mu.Lock()
		adopted := s.clearances.Adopt(c, reservation, nowMillis)
		s.mu.Unlock()
		if !adopted && reservation != nil {
			s.proxy.Release(reservation)
		}
	}
}

// attributesOf returns the attributes of a request that its clearance must have.
func attributesOf(t *transport.Request) authcache.Attributes {
	return authcache.Attributes{Customer: t.Customer, Product: t.Product, Plan: t.Plan, Units: t.Units,
		SetSize: t.SetSize, First: t.FirstGateway}
}

// arrivalOf returns the request for which the policy reserves the quota of a clearance.
func arrivalOf(a authcache.Attributes) policy.Request {
	return policy.Request{Customer: a.Customer, Product: a.Product, Plan: a.Plan, Units: a.Units,
		SetSize: a.SetSize, FirstGateway: a.First}
}

// Serve serves a request received at the gateway's own port. A cleared request uses its reservation, and is
// accepted only once if its product requires a clearance or is not idempotent. Any other request is served by
// next, unless its product requires a clearance.
func (s *Server) Serve(t *transport.Request) transport.FinalAnswer {
	once := s.config.RequiresClearance[t.Product] ||
		s.settings.Load().Products[t.Product].Idempotency != policy.Idempotent
	s.mu.Lock()
	status, reservation := s.clearances.Redeem(string(t.RequestID), attributesOf(t), once, s.proxy.Now())
	s.mu.Unlock()
	switch status {
	case authcache.StatusGranted:
		if final, ok := s.proxy.ServeReserved(reservation, t); ok {
			s.counters[countRedeemed].Add(1)
			return final
		}
		// The reservation has just expired. If once is true, the id is used, so the request is not accepted again.
	case authcache.StatusUsed, authcache.StatusPending:
		s.counters[countAlreadyUsed].Add(1)
		return rejection(fasthttp.StatusConflict, "X-Request-Id: its txn has come already")
	case authcache.StatusMismatch:
		s.counters[countMismatched].Add(1)
		return rejection(fasthttp.StatusConflict, "X-Request-Id: another txn was cleared by it")
	}
	switch {
	case !s.config.RequiresClearance[t.Product]:
	case status == authcache.StatusHandedOver: // nothing was sent, and the successor is about to listen
		return transport.FinalAnswer{Kind: policy.Reject, RetryAfterMillis: authcache.RebindIntervalMillis}
	default:
		s.counters[countNotCleared].Add(1)
		return rejection(fasthttp.StatusForbidden, "this product comes only if it has been cleared")
	}
	return s.next(t)
}

// rejection ends a request with a status and a message.
func rejection(status int, message string) transport.FinalAnswer {
	return transport.FinalAnswer{Kind: policy.RejectUncertain,
		ErrorAnswer: &transport.ErrorAnswer{Status: status, Message: message}}
}

// trusted reports whether a caller is a configured reverse proxy. Other callers are rejected: a client that
// calls this server itself could set any forwarded headers.
func (s *Server) trusted(caller net.Addr) bool {
	from, err := netip.ParseAddrPort(caller.String())
	if err != nil {
		return false
	}
	for _, t := range s.config.TrustedProxies {
		if t.Contains(from.Addr().Unmap()) {
			return true
		}
	}
	return false
}

// handle processes a call.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !s.trusted(ctx.RemoteAddr()) {
		err := &callError{fasthttp.StatusForbidden, "calls are taken from portals alone"}
		s.rejectCall(ctx, countUntrusted, err)
		return
	}
	header := &ctx.Request.Header
	original, err := parseOriginal(header, s.config)
	if err == nil && len(ctx.Request.Body()) > 0 {
		err = badRequest("a call has no body")
	}
	var t transport.Request
	if err == nil {
		t, err = transport.DecodeRequest(header, original.method, original.target, &s.names, s.settings.Load(),
			false)
	}
	if err != nil {
		var callErr *callError
		if !errors.As(err, &callErr) {
			callErr = &callError{fasthttp.StatusBadRequest, err.Error()}
		}
		s.rejectCall(ctx, countMalformed, callErr)
		return
	}
	s.decide(ctx, &t)
}

// decide responds to a valid call.
func (s *Server) decide(ctx *fasthttp.RequestCtx, t *transport.Request) {
	requestID, attributes := string(t.RequestID), attributesOf(t)
	settings := s.settings.Load()
	home := authcache.HomeInstance(requestID, attributes, settings.GatewayCount)
	if s.config.RequiresClearance[t.Product] && home != settings.GatewayIndex {
		ctx.Response.Header.Set("X-Clear-At", strconv.Itoa(home))
		s.respond(ctx, countMisdirected, fasthttp.StatusMisdirectedRequest, "another gatekeeper clears this txn")
		return
	}
	nowMillis := s.proxy.Now()
	s.mu.Lock()
	status := s.clearances.Begin(requestID, attributes, nowMillis)
	s.mu.Unlock()
	if status != authcache.StatusUnknown {
		s.respondKnown(ctx, status)
		return
	}
	final, granted := s.grant(t, requestID, nowMillis)
	if !granted {
		if final.RetryAfterMillis > 0 {
			ctx.Response.Header.Set("Retry-After", transport.RetryAfter(final.RetryAfterMillis))
		}
		s.respond(ctx, countDenied, s.config.RejectStatus, "declined")
		return
	}
	ctx.Response.Header.Set("X-Cleared-Ms", strconv.FormatFloat(s.config.LifetimeMillis, 'f', 0, 64))
	s.respond(ctx, countCleared, fasthttp.StatusOK, "cleared")
}

// respondKnown responds to a call whose request id is in the table of clearances, or has no room in it.
func (s *Server) respondKnown(ctx *fasthttp.RequestCtx, status authcache.Status) {
	switch status {
	case authcache.StatusGranted:
		s.respond(ctx, countClearedBefore, fasthttp.StatusOK, "cleared before")
	case authcache.StatusUsed:
		s.respond(ctx, countAlreadyUsed, fasthttp.StatusConflict, "X-Request-Id: its txn has come already")
	case authcache.StatusMismatch:
		s.respond(ctx, countMismatched, fasthttp.StatusConflict, "X-Request-Id: another txn was cleared by it")
	default: // full, handed over, or pending
		waitMillis := authcache.FullRetryMillis
		if status != authcache.StatusFull {
			waitMillis = authcache.RebindIntervalMillis
		}
		ctx.Response.Header.Set("Retry-After", transport.RetryAfter(waitMillis))
		s.respond(ctx, countFull, fasthttp.StatusServiceUnavailable, "no place for one more clearance")
	}
}

// grant reserves capacity for a request and grants its pending clearance. It returns false if there is no
// capacity or the table was handed over in the meantime. final is the policy's decision, if any.
func (s *Server) grant(
	t *transport.Request, requestID string, nowMillis float64,
) (final transport.FinalAnswer, granted bool) {
	reservation, final := s.proxy.Reserve(t, s.clearances.LifetimeMillis())
	s.mu.Lock()
	if reservation == nil {
		s.clearances.Cancel(requestID)
		s.mu.Unlock()
		return final, false
	}
	granted = s.clearances.Grant(requestID, reservation, nowMillis) > nowMillis // false once handed over
	s.mu.Unlock()
	if !granted {
		s.proxy.Release(reservation)
	}
	return final, granted
}

// rejectCall responds to a call that is invalid or from an untrusted caller, and closes its connection.
func (s *Server) rejectCall(ctx *fasthttp.RequestCtx, c counter, err *callError) {
	s.respond(ctx, c, err.status, err.message)
	ctx.SetConnectionClose()
	transport.Linger(ctx.Conn())
}

// respond counts a call and responds to it.
func (s *Server) respond(ctx *fasthttp.RequestCtx, c counter, status int, message string) {
	s.counters[c].Add(1)
	ctx.SetStatusCode(status)
	ctx.Response.Header.SetContentType("text/plain")
	ctx.SetBodyString(message + "\n")
}

// Figures calls add for each counter and gauge that is exposed on the operators' port.
func (s *Server) Figures(add func(name string, v int64)) {
	for i := range s.counters {
		add("asked."+counterNames[i], s.counters[i].Load())
	}
	s.mu.Lock()
	n := s.clearances.Len(s.proxy.Now())
	s.mu.Unlock()
	add("asked.marks", int64(n))
}

// ListenWhenFree retries Listen until the predecessor process has released the address or stop is closed.
func (s *Server) ListenWhenFree(stop <-chan struct{}) {
	for s.Listen() != nil {
		select {
		case <-stop:
			return
		case <-time.After(transport.Millis(authcache.RebindIntervalMillis)):
		}
	}
}
