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
type Portal struct {
	asked   *config.AuthServer
	names   config.Names
	charter atomic.Pointer[policy.Settings]
	gate    *proxy.Proxy
	next    func(*transport.Request) transport.FinalAnswer
	server  fasthttp.Server
	counts  [counts]atomic.Int64

	mu     sync.Mutex // of what follows; never held over I/O or a call of the module
	book   *authcache.Book[*proxy.Reservation]
	limit  *transport.LimitListener // nil until it is bound
	closed bool
}

// count is one of the figures that operators see.
type count int

const (
	yes count = iota
	again
	no
	unreadable
	stranger
	others
	used
	noPlace
	elsewhere
	came
	uncleared
	counts
)

var countNames = [counts]string{"cleared", "again", "declined", "unreadable", "stranger", "others", "used",
	"no_place", "elsewhere", "came", "uncleared"}

// New makes a front over a gate; next serves the txns that have no clearance and need none.
func New(a *config.AuthServer, names config.Names, charter policy.Settings, g *proxy.Proxy,
	next func(*transport.Request) transport.FinalAnswer) *Portal {
	p := &Portal{asked: a, names: names, gate: g, next: next,
		book: authcache.NewBook[*proxy.Reservation](a.LifetimeMillis, a.RetentionMillis, a.MaxClearances)}
	p.charter.Store(&charter)
	p.server = fasthttp.Server{
		Handler:            p.handle,
		ErrorHandler:       func(ctx *fasthttp.RequestCtx, err error) { p.refuse(ctx, unreadable, broken(err)) },
		MaxRequestBodySize: 1, // a call has none
		ReadBufferSize:     2*authcache.LongestTarget + 4096,
		ReadTimeout:        transport.Millis(authcache.CallWait),
		WriteTimeout:       transport.Millis(authcache.CallWait),
		IdleTimeout:        transport.Millis(authcache.IdleCaller),
		CloseOnShutdown:    true, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		Logger: transport.DiscardLogger{},
	}
	return p
}

// Resize tells how many gatekeepers there are from now on.
func (p *Portal) Resize(n int) {
	c := *p.charter.Load()
	c.GatewayCount = n
	p.charter.Store(&c)
}

// broken says what is wrong with a call that is no HTTP, too long, or does not come whole in time.
func broken(err error) *flaw {
	var small *fasthttp.ErrSmallBuffer
	var late net.Error
	switch {
	case errors.As(err, &small):
		return &flaw{fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is too long"}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return &flaw{fasthttp.StatusRequestEntityTooLarge, "a call has no body"}
	case errors.As(err, &late) && late.Timeout():
		return &flaw{fasthttp.StatusRequestTimeout, "no whole call has come in time"}
	}
	return &flaw{fasthttp.StatusBadRequest, "no call could be read"}
}

// Bind opens the address and takes calls there until Close.
func (p *Portal) Bind() error {
	l, err := net.Listen("tcp", p.asked.ListenAddress)
	if err != nil {
		return fmt.Errorf("asked.listen: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return l.Close()
	}
	p.limit = transport.NewLimitListener(l, p.asked.MaxConnections)
	go func() { _ = p.server.Serve(p.limit) }()
	return nil
}

// At is where it listens; empty while it does not.
func (p *Portal) At() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit == nil {
		return ""
	}
	return p.limit.Addr().String()
}

// Close takes no more connections; those there are end with their next answer.
func (p *Portal) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.limit != nil {
		_ = p.limit.Close()
	}
	go func() { _ = p.server.Shutdown() }()
}

// Leave gives what is cleared and used to the process that takes this one's place. Nothing is cleared from
// then on, and what was cleared is no more the module's here.
func (p *Portal) Leave() []authcache.Clearance {
	p.mu.Lock()
	all, holds := p.book.Leave(p.gate.Now())
	p.mu.Unlock()
	for _, h := range holds {
		p.gate.Release(h)
	}
	return all
}

// Inherit takes what the process before has left. What does not fit this gatekeeper's settings is not taken.
func (p *Portal) Inherit(all []authcache.Clearance) {
	for _, c := range all {
		f, now := c.Facts, p.gate.Now()
		if f.Product < 0 || f.Product >= len(p.charter.Load().Products) || f.Plan < 0 ||
			f.Plan >= len(p.charter.Load().Plans) || c.Until <= now || len(c.Mark) == 0 ||
			len(c.Mark) > policy.MaxDedupKeyBytes || !(f.Units > 0) {
			continue
		}
		var h *proxy.Reservation
		if !c.Used {
			h = p.gate.AdoptReservation(arrival(f), c.Until-now)
		}
		p.mu.Lock()
		taken := p.book.Inherit(c, h, now)
		p.mu.Unlock()
		if !taken && h != nil {
			p.gate.Release(h)
		}
	}
}

func factsOf(t *transport.Request) authcache.Facts {
	return authcache.Facts{Customer: t.Customer, Product: t.Product, Plan: t.Plan, Units: t.Units,
		SetSize: t.SetSize, First: t.FirstGateway}
}

func arrival(f authcache.Facts) policy.Request {
	return policy.Request{Customer: f.Customer, Product: f.Product, Plan: f.Plan, Units: f.Units,
		SetSize: f.SetSize, FirstGateway: f.First}
}

// Serve is the life of a txn at the main door: one that was cleared takes what was kept for it, and comes
// once. The rest goes on as ever, but for products that come only if they were cleared.
func (p *Portal) Serve(t *transport.Request) transport.FinalAnswer {
	once := p.asked.RequiresClearance[t.Product] ||
		p.charter.Load().Products[t.Product].Idempotency != policy.Idempotent
	p.mu.Lock()
	found, hold := p.book.Come(string(t.RequestID), factsOf(t), once, p.gate.Now())
	p.mu.Unlock()
	switch found {
	case authcache.Known:
		if end, ok := p.gate.ServeReserved(hold, t); ok {
			p.counts[came].Add(1)
			return end
		}
		// It lapsed at this very moment. The mark counts as used: so it comes once all the same.
	case authcache.Used, authcache.Open:
		p.counts[used].Add(1)
		return refusal(fasthttp.StatusConflict, "X-Request-Id: its txn has come already")
	case authcache.Others:
		p.counts[others].Add(1)
		return refusal(fasthttp.StatusConflict, "X-Request-Id: another txn was cleared by it")
	}
	switch {
	case !p.asked.RequiresClearance[t.Product]:
	case found == authcache.Moved: // nothing was sent, and who has the book now is there at once
		return transport.FinalAnswer{Kind: policy.Reject, RetryAfterMillis: authcache.RebindAgain}
	default:
		p.counts[uncleared].Add(1)
		return refusal(fasthttp.StatusForbidden, "this product comes only if it has been cleared")
	}
	return p.next(t)
}

func refusal(status int, says string) transport.FinalAnswer {
	return transport.FinalAnswer{Kind: policy.RejectUncertain, Rejection: &transport.Rejection{Status: status,
		Message: says}}
}

// trusted tells whether a caller may speak for clients. Guards against a client that calls here itself: what
// the forwarded headers say is only as good as who sends them.
func (p *Portal) trusted(a net.Addr) bool {
	from, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return false
	}
	for _, t := range p.asked.TrustedProxies {
		if t.Contains(from.Addr().Unmap()) {
			return true
		}
	}
	return false
}

func (p *Portal) handle(ctx *fasthttp.RequestCtx) {
	if !p.trusted(ctx.RemoteAddr()) {
		p.refuse(ctx, stranger, &flaw{fasthttp.StatusForbidden, "calls are taken from portals alone"})
		return
	}
	h := &ctx.Request.Header
	o, err := read(h, p.asked)
	if err == nil && len(ctx.Request.Body()) > 0 {
		err = bad("a call has no body")
	}
	var t transport.Request
	if err == nil {
		t, err = transport.DecodeRequest(h, o.method, o.target, &p.names, p.charter.Load(), false)
	}
	if err != nil {
		var f *flaw
		if !errors.As(err, &f) {
			f = &flaw{fasthttp.StatusBadRequest, err.Error()}
		}
		p.refuse(ctx, unreadable, f)
		return
	}
	p.answer(ctx, &t)
}

// answer answers a call that makes sense.
func (p *Portal) answer(ctx *fasthttp.RequestCtx, t *transport.Request) {
	mark, facts := string(t.RequestID), factsOf(t)
	c := p.charter.Load()
	if home := authcache.Home(mark, facts, c.GatewayCount); p.asked.RequiresClearance[t.Product] && home != c.GatewayIndex {
		ctx.Response.Header.Set("X-Clear-At", strconv.Itoa(home))
		p.say(ctx, elsewhere, fasthttp.StatusMisdirectedRequest, "another gatekeeper clears this txn")
		return
	}
	now := p.gate.Now()
	p.mu.Lock()
	found := p.book.Ask(mark, facts, now)
	p.mu.Unlock()
	switch found {
	case authcache.New:
	case authcache.Known:
		p.say(ctx, again, fasthttp.StatusOK, "cleared before")
		return
	case authcache.Used:
		p.say(ctx, used, fasthttp.StatusConflict, "X-Request-Id: its txn has come already")
		return
	case authcache.Others:
		p.say(ctx, others, fasthttp.StatusConflict, "X-Request-Id: another txn was cleared by it")
		return
	default: // full, moved, or being decided on at this moment
		wait := authcache.FullAgain
		if found != authcache.Full {
			wait = authcache.RebindAgain
		}
		ctx.Response.Header.Set("Retry-After", transport.RetryAfter(wait))
		p.say(ctx, noPlace, fasthttp.StatusServiceUnavailable, "no place for one more clearance")
		return
	}
	hold, end := p.gate.Reserve(t, p.book.Life())
	p.mu.Lock()
	if hold == nil {
		p.book.Drop(mark)
	} else if p.book.Grant(mark, hold, now) <= now { // another process has the book since
		defer p.gate.Release(hold)
		hold = nil
	}
	p.mu.Unlock()
	if hold == nil {
		if end.RetryAfterMillis > 0 {
			ctx.Response.Header.Set("Retry-After", transport.RetryAfter(end.RetryAfterMillis))
		}
		p.say(ctx, no, p.asked.RejectStatus, "declined")
		return
	}
	ctx.Response.Header.Set("X-Cleared-Ms", strconv.FormatFloat(p.asked.LifetimeMillis, 'f', 0, 64))
	p.say(ctx, yes, fasthttp.StatusOK, "cleared")
}

// refuse answers what makes no sense, or comes from a stranger, and ends its connection.
func (p *Portal) refuse(ctx *fasthttp.RequestCtx, c count, f *flaw) {
	p.say(ctx, c, f.status, f.says)
	ctx.SetConnectionClose()
	transport.Linger(ctx.Conn())
}

func (p *Portal) say(ctx *fasthttp.RequestCtx, c count, status int, says string) {
	p.counts[c].Add(1)
	ctx.SetStatusCode(status)
	ctx.Response.Header.SetContentType("text/plain")
	ctx.SetBodyString(says + "\n")
}

// Figures gives what operators see: counts since the start, and how many marks are known.
func (p *Portal) Figures(add func(name string, v int64)) {
	for i := range p.counts {
		add("asked."+countNames[i], p.counts[i].Load())
	}
	p.mu.Lock()
	n := p.book.Len(p.gate.Now())
	p.mu.Unlock()
	add("asked.marks", int64(n))
}

// Rebind binds the address as soon as it is free, until over is closed: the process before may have it still.
func (p *Portal) Rebind(over <-chan struct{}) {
	for p.Bind() != nil {
		select {
		case <-over:
			return
		case <-time.After(transport.Millis(authcache.RebindAgain)):
		}
	}
}
