// Package authserver is the front at which portals ask, before they send a client's txn on, whether it may
// come:
// forward authentication, in the role of the one who is asked. The module decides by the customer's quota; a
// yes keeps the units until the txn comes through the main door. The book of clearances is in package
// authcache.
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

// Portal takes portals' calls, and the door's txns by what those were told.
type Server struct {
	config   *config.Asked
	names    config.Names
	settings atomic.Pointer[policy.Charter]
	proxy    *proxy.Proxy
	next     func(*transport.Txn) transport.Final
	http     fasthttp.Server
	counters [counterCount]atomic.Int64

	mu         sync.Mutex // of what follows; never held over I/O or a call of the module
	clearances *authcache.ClearanceTable[*proxy.Reservation]
	listener   *transport.Limited // nil until it is bound
	closed     bool
}

// count is one of the figures that operators see.
type counter int

const (
	cleared counter = iota
	clearedBefore
	denied
	malformed
	untrusted
	mismatched
	alreadyUsed
	full
	misdirected
	redeemed
	notCleared
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

// New makes a front over a gate; next serves the txns that have no clearance and need none.
func New(cfg *config.Asked, names config.Names, settings policy.Charter, p *proxy.Proxy,
	next func(*transport.Txn) transport.Final) *Server {
	s := &Server{config: cfg, names: names, proxy: p, next: next,
		clearances: authcache.NewClearanceTable[*proxy.Reservation](cfg.Life, cfg.Memory, cfg.Most)}
	s.settings.Store(&settings)
	s.http = fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          func(ctx *fasthttp.RequestCtx, err error) { s.rejectCall(ctx, malformed, readError(err)) },
		MaxRequestBodySize:    1, // a call has none
		ReadBufferSize:        2*authcache.MaxTargetBytes + 4096,
		ReadTimeout:           transport.Millis(authcache.CallTimeoutMillis),
		WriteTimeout:          transport.Millis(authcache.CallTimeoutMillis),
		IdleTimeout:           transport.Millis(authcache.IdleTimeoutMillis),
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		Logger:                transport.Silent{},
	}
	return s
}

// Resize tells how many gatekeepers there are from now on.
func (s *Server) SetInstances(instances int) {
	settings := *s.settings.Load()
	settings.Gatekeepers = instances
	s.settings.Store(&settings)
}

// broken says what is wrong with a call that is no HTTP, too long, or does not come whole in time.
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

// Bind opens the address and takes calls there until Close.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", s.config.Listen)
	if err != nil {
		return fmt.Errorf("asked.listen: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return listener.Close()
	}
	s.listener = transport.Limit(listener, s.config.Callers)
	go func() { _ = s.http.Serve(s.listener) }()
	return nil
}

// At is where it listens; empty while it does not.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Close takes no more connections; those there are end with their next answer.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	go func() { _ = s.http.Shutdown() }()
}

// Leave gives what is cleared and used to the process that takes this one's place. Nothing is cleared from
// then on, and what was cleared is no more the module's here.
func (s *Server) HandOver() []authcache.Clearance {
	s.mu.Lock()
	clearances, reservations := s.clearances.HandOver(s.proxy.Now())
	s.mu.Unlock()
	for _, reservation := range reservations {
		s.proxy.Release(reservation)
	}
	return clearances
}

// Inherit takes what the process before has left. What does not fit this gatekeeper's settings is not taken.
func (s *Server) Adopt(clearances []authcache.Clearance) {
	for _, c := range clearances {
		attributes, nowMillis := c.Attributes, s.proxy.Now()
		if attributes.Product < 0 || attributes.Product >= len(s.settings.Load().Products) || attributes.Plan < 0 ||
			attributes.Plan >= len(s.settings.Load().Plans) || c.ExpiresMillis <= nowMillis || len(c.RequestID) == 0 ||
			len(c.RequestID) > policy.LongestMark || !(attributes.Units > 0) {
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

func attributesOf(t *transport.Txn) authcache.Attributes {
	return authcache.Attributes{Customer: t.Customer, Product: t.Product, Plan: t.Plan, Units: t.Units,
		SetSize: t.SetSize, First: t.First}
}

func arrivalOf(a authcache.Attributes) policy.Arrival {
	return policy.Arrival{Customer: a.Customer, Product: a.Product, Plan: a.Plan, Units: a.Units,
		SetSize: a.SetSize, First: a.First}
}

// Serve is the life of a txn at the main door: one that was cleared takes what was kept for it, and comes
// once. The rest goes on as ever, but for products that come only if they were cleared.
func (s *Server) Serve(t *transport.Txn) transport.Final {
	once := s.config.Only[t.Product] || s.settings.Load().Products[t.Product].Repeat != policy.InquiryLike
	s.mu.Lock()
	status, reservation := s.clearances.Redeem(string(t.Mark), attributesOf(t), once, s.proxy.Now())
	s.mu.Unlock()
	switch status {
	case authcache.StatusGranted:
		if final, ok := s.proxy.ServeReserved(reservation, t); ok {
			s.counters[redeemed].Add(1)
			return final
		}
		// It lapsed at this very moment. The mark counts as used: so it comes once all the same.
	case authcache.StatusUsed, authcache.StatusPending:
		s.counters[alreadyUsed].Add(1)
		return rejection(fasthttp.StatusConflict, "X-Request-Id: its txn has come already")
	case authcache.StatusMismatch:
		s.counters[mismatched].Add(1)
		return rejection(fasthttp.StatusConflict, "X-Request-Id: another txn was cleared by it")
	}
	switch {
	case !s.config.Only[t.Product]:
	case status == authcache.StatusHandedOver: // nothing was sent, and who has the book now is there at once
		return transport.Final{Kind: policy.Decline, Wait: authcache.RebindIntervalMillis}
	default:
		s.counters[notCleared].Add(1)
		return rejection(fasthttp.StatusForbidden, "this product comes only if it has been cleared")
	}
	return s.next(t)
}

func rejection(status int, message string) transport.Final {
	return transport.Final{Kind: policy.Void, Refusal: &transport.Refusal{Status: status, Says: message}}
}

// trusted tells whether a caller may speak for clients. Guards against a client that calls here itself: what
// the forwarded headers say is only as good as who sends them.
func (s *Server) trusted(caller net.Addr) bool {
	from, err := netip.ParseAddrPort(caller.String())
	if err != nil {
		return false
	}
	for _, t := range s.config.Trusted {
		if t.Contains(from.Addr().Unmap()) {
			return true
		}
	}
	return false
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !s.trusted(ctx.RemoteAddr()) {
		s.rejectCall(ctx, untrusted, &callError{fasthttp.StatusForbidden, "calls are taken from portals alone"})
		return
	}
	header := &ctx.Request.Header
	original, err := parseOriginal(header, s.config)
	if err == nil && len(ctx.Request.Body()) > 0 {
		err = badRequest("a call has no body")
	}
	var t transport.Txn
	if err == nil {
		t, err = transport.Decode(header, original.method, original.target, &s.names, s.settings.Load(), false)
	}
	if err != nil {
		var callErr *callError
		if !errors.As(err, &callErr) {
			callErr = &callError{fasthttp.StatusBadRequest, err.Error()}
		}
		s.rejectCall(ctx, malformed, callErr)
		return
	}
	s.decide(ctx, &t)
}

// answer answers a call that makes sense.
func (s *Server) decide(ctx *fasthttp.RequestCtx, t *transport.Txn) {
	requestID, attributes := string(t.Mark), attributesOf(t)
	settings := s.settings.Load()
	if home := authcache.HomeInstance(
		requestID,
		attributes,
		settings.Gatekeepers,
	); s.config.Only[t.Product] &&
		home != settings.Me {
		ctx.Response.Header.Set("X-Clear-At", strconv.Itoa(home))
		s.respond(ctx, misdirected, fasthttp.StatusMisdirectedRequest, "another gatekeeper clears this txn")
		return
	}
	nowMillis := s.proxy.Now()
	s.mu.Lock()
	status := s.clearances.Begin(requestID, attributes, nowMillis)
	s.mu.Unlock()
	switch status {
	case authcache.StatusUnknown:
	case authcache.StatusGranted:
		s.respond(ctx, clearedBefore, fasthttp.StatusOK, "cleared before")
		return
	case authcache.StatusUsed:
		s.respond(ctx, alreadyUsed, fasthttp.StatusConflict, "X-Request-Id: its txn has come already")
		return
	case authcache.StatusMismatch:
		s.respond(ctx, mismatched, fasthttp.StatusConflict, "X-Request-Id: another txn was cleared by it")
		return
	default: // full, moved, or being decided on at this moment
		waitMillis := authcache.FullRetryMillis
		if status != authcache.StatusFull {
			waitMillis = authcache.RebindIntervalMillis
		}
		ctx.Response.Header.Set("Retry-After", transport.RetryAfter(waitMillis))
		s.respond(ctx, full, fasthttp.StatusServiceUnavailable, "no place for one more clearance")
		return
	}
	reservation, final := s.proxy.Reserve(t, s.clearances.LifetimeMillis())
	s.mu.Lock()
	if reservation == nil {
		s.clearances.Cancel(requestID)
	} else if s.clearances.Grant(requestID, reservation, nowMillis) <= nowMillis { // another process has the book since
		defer s.proxy.Release(reservation)
		reservation = nil
	}
	s.mu.Unlock()
	if reservation == nil {
		if final.Wait > 0 {
			ctx.Response.Header.Set("Retry-After", transport.RetryAfter(final.Wait))
		}
		s.respond(ctx, denied, s.config.NoStatus, "declined")
		return
	}
	ctx.Response.Header.Set("X-Cleared-Ms", strconv.FormatFloat(s.config.Life, 'f', 0, 64))
	s.respond(ctx, cleared, fasthttp.StatusOK, "cleared")
}

// refuse answers what makes no sense, or comes from a stranger, and ends its connection.
func (s *Server) rejectCall(ctx *fasthttp.RequestCtx, c counter, err *callError) {
	s.respond(ctx, c, err.status, err.message)
	ctx.SetConnectionClose()
	transport.Linger(ctx.Conn())
}

func (s *Server) respond(ctx *fasthttp.RequestCtx, c counter, status int, message string) {
	s.counters[c].Add(1)
	ctx.SetStatusCode(status)
	ctx.Response.Header.SetContentType("text/plain")
	ctx.SetBodyString(message + "\n")
}

// Figures gives what operators see: counts since the start, and how many marks are known.
func (s *Server) Figures(add func(name string, v int64)) {
	for i := range s.counters {
		add("asked."+counterNames[i], s.counters[i].Load())
	}
	s.mu.Lock()
	n := s.clearances.Len(s.proxy.Now())
	s.mu.Unlock()
	add("asked.marks", int64(n))
}

// Rebind binds the address as soon as it is free, until over is closed: the process before may have it still.
func (s *Server) ListenWhenFree(stop <-chan struct{}) {
	for s.Listen() != nil {
		select {
		case <-stop:
			return
		case <-time.After(transport.Millis(authcache.RebindIntervalMillis)):
		}
	}
}
