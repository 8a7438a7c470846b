// Package admin is the operators' port: an address of its own, apart from the clients', at which staff and
// their programs ask for a gatekeeper's health and figures and send its clients away. It decides nothing, and
// asks nothing that waits on a txn.
package admin

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/gateway/recovery/bootstrap"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
)

// Figures are what operators see of one process. Counts run from its start.
type Figures struct {
	Products         []Product
	Tries            int64 // submissions written whole to workers
	Active           int64 // txns taken and not ended
	Workers, Avoided int64 // on the list; of these, steered away from now
	More             []Figure
}

// Figure is one that only some gatekeepers have.
type Figure struct {
	Name  string
	Value int64
}

// Product is what became of one product's txns.
type Product struct {
	Name                      string
	Settled, Declined, Voided int64
}

// Desk is what the port needs of a gatekeeper. None of its functions may wait.
type Desk interface {
	Healthy() bool    // whether it is ready to serve
	Figures() Figures // no older than half a second
	Quiesce()         // send clients away
	Resume()          // take them again
	Note(what string) // a call that changes something, for the log
}

// Teller is a desk that tells newcomers its list of workers, and how many ms ago it was last heard to be so.
type Teller interface {
	Tells() bool // whether newcomers may ask here at all
	List() (list []byte, age float64, ok bool)
}

// Speaker is a desk that tells its word for those who look ahead.
type Speaker interface {
	Word() (word []byte, ok bool) // false where it tells none
}

// WordPath is where a gatekeeper tells its word.
const WordPath = "/admin/word"

// What a newcomer asks for, and what the answer says beside the list.
const (
	ListPath      = "/admin/list"
	VersionHeader = "X-Willowdeck-Version"
	AgeHeader     = "X-Age-Ms"
)

// Port answers operators' calls.
type Port struct {
	At     string
	limit  *transport.LimitListener
	server fasthttp.Server
	desk   Desk
}

// Open listens at an address and answers calls there until Close. It has room for few calls at once: those
// who send nothing give way.
func Open(at string, desk Desk) (*Port, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	p := &Port{At: l.Addr().String(), limit: transport.NewLimitListener(l, policy.OperatorCalls), desk: desk}
	p.server = fasthttp.Server{
		Handler:            p.handle,
		ErrorHandler:       unreadable,
		DisableKeepalive:   true, // one call to a connection
		MaxRequestBodySize: policy.OperatorBytes,
		ReadBufferSize:     policy.OperatorBytes,
		ReadTimeout:        transport.Millis(policy.OperatorWait),
		WriteTimeout:       transport.Millis(policy.OperatorWait),
		CloseOnShutdown:    true, NoDefaultServerHeader: true, NoDefaultDate: true,
		Logger: transport.DiscardLogger{},
	}
	go func() { _ = p.server.Serve(p.limit) }()
	return p, nil
}

// Close takes no more calls.
func (p *Port) Close() {
	_ = p.limit.Close()
}

// call is one path: the method it takes, and what it does.
type call struct {
	method string
	do     func(*Port, *fasthttp.RequestCtx)
}

var calls = map[string]call{
	"/admin/health":  {fasthttp.MethodGet, (*Port).health},
	"/admin/stats":   {fasthttp.MethodGet, (*Port).stats},
	ListPath:         {fasthttp.MethodGet, (*Port).list},
	WordPath:         {fasthttp.MethodGet, (*Port).word},
	"/admin/quiesce": {fasthttp.MethodPut, (*Port).quiesce},
	"/admin/resume":  {fasthttp.MethodPut, (*Port).resume},
}

func (p *Port) handle(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain")
	c, ok := calls[string(ctx.Path())]
	switch {
	case !ok:
		say(ctx, fasthttp.StatusNotFound, "no such call")
	case string(ctx.Method()) != c.method:
		ctx.Response.Header.Set("Allow", c.method)
		say(ctx, fasthttp.StatusMethodNotAllowed, "this call takes "+c.method)
	default:
		c.do(p, ctx)
	}
}

func (p *Port) health(ctx *fasthttp.RequestCtx) {
	if p.desk.Healthy() {
		say(ctx, fasthttp.StatusOK, "ready")
		return
	}
	say(ctx, fasthttp.StatusServiceUnavailable, "not ready")
}

func (p *Port) stats(ctx *fasthttp.RequestCtx) { ctx.SetBody(Append(nil, p.desk.Figures())) }

func (p *Port) list(ctx *fasthttp.RequestCtx) {
	t, ok := p.desk.(Teller)
	if !ok || !t.Tells() {
		say(ctx, fasthttp.StatusNotFound, "no such call")
		return
	}
	list, age, ok := t.List()
	if !ok {
		say(ctx, fasthttp.StatusServiceUnavailable, "nothing to tell yet")
		return
	}
	ctx.Response.Header.Set(VersionHeader, strconv.Itoa(bootstrap.ProtocolVersion))
	ctx.Response.Header.Set(AgeHeader, strconv.FormatFloat(age, 'f', 0, 64))
	ctx.SetContentType("application/json")
	ctx.SetBody(list)
}

func (p *Port) word(ctx *fasthttp.RequestCtx) {
	var word []byte
	s, ok := p.desk.(Speaker)
	if ok {
		word, ok = s.Word()
	}
	if !ok {
		say(ctx, fasthttp.StatusNotFound, "no such call")
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(word)
}

func (p *Port) quiesce(ctx *fasthttp.RequestCtx) {
	p.desk.Note("quiesce")
	p.desk.Quiesce()
	say(ctx, fasthttp.StatusOK, "sending clients away")
}

func (p *Port) resume(ctx *fasthttp.RequestCtx) {
	p.desk.Note("resume")
	p.desk.Resume()
	say(ctx, fasthttp.StatusOK, "taking clients")
}

func say(ctx *fasthttp.RequestCtx, status int, what string) {
	ctx.SetStatusCode(status)
	ctx.SetBodyString(what + "\n")
}

// unreadable answers what is no HTTP, too long, or does not come whole in time.
func unreadable(ctx *fasthttp.RequestCtx, _ error) {
	say(ctx, fasthttp.StatusBadRequest, "no call could be read")
	ctx.SetConnectionClose()
	transport.Linger(ctx.Conn())
}

// Append encodes figures, a line each.
func Append(b []byte, f Figures) []byte {
	line := func(name, of string, v int64) {
		b = append(append(b, "svc."...), name...)
		if of != "" {
			b = append(append(b, '.'), of...)
		}
		b = append(strconv.AppendInt(append(b, '='), v, 10), '\n')
	}
	for _, p := range f.Products {
		line("ok", p.Name, p.Settled)
		line("shed", p.Name, p.Declined)
		line("errors", p.Name, p.Voided)
	}
	line("tries", "", f.Tries)
	line("active", "", f.Active)
	line("pool_size", "", f.Workers)
	line("pool_ejected", "", f.Avoided)
	for _, m := range f.More {
		line(m.Name, "", m.Value)
	}
	return b
}

// Every calls f now and then until stop is closed: figures that are costly to gather are kept as a copy.
func Every(stop <-chan struct{}, f func()) {
	t := time.NewTicker(transport.Millis(policy.FiguresEach))
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-stop:
			return
		}
	}
}
