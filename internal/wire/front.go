package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/config"
	"willowdeck/logic"
)

// Final is a txn's final answer. Answer is the worker's, where it is settled.
type Final struct {
	Kind   logic.Kind // Submit where it is settled, else Decline or Void
	Wait   float64    // Decline: when to return, ms; 0 says nothing
	Answer *Answer
}

// Front takes clients' connections and hands each txn to serve, which returns its final answer.
type Front struct {
	server  fasthttp.Server
	names   config.Names
	charter logic.Charter
	serve   func(*Txn) Final
	ready   func() bool
	closing atomic.Bool
	broken  atomic.Int64
	active  atomic.Int64
	finals  [][3]atomic.Int64 // by product: settled, declined, voided
	marks   marks
}

// NewFront makes a front that is up, by its own word, while ready says so.
func NewFront(names config.Names, charter logic.Charter, serve func(*Txn) Final, ready func() bool) *Front {
	f := &Front{names: names, charter: charter, serve: serve, ready: ready,
		marks: marks{open: map[string]bool{}}, finals: make([][3]atomic.Int64, len(charter.Products))}
	f.server = fasthttp.Server{
		Handler:               f.handle,
		ErrorHandler:          f.unreadable,
		ConnState:             noteState,
		MaxRequestBodySize:    MostBody,
		ReadTimeout:           Millis(logic.WholeTxn),
		WriteTimeout:          Millis(logic.WholeTxn), // a client that reads nothing does not hold its place
		IdleTimeout:           Millis(logic.IdleClient),
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       Silent{},
	}
	return f
}

// Silent drops a server's own log: what callers break is counted instead.
type Silent struct{}

// Printf says nothing.
func (Silent) Printf(string, ...any) {}

// Serve answers clients until Close.
func (f *Front) Serve(l net.Listener) error {
	if err := f.server.Serve(l); err != nil {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// Close takes no more connections, ends idle ones, and waits until each txn that was taken has its answer.
func (f *Front) Close(ctx context.Context) error {
	f.closing.Store(true)
	return f.server.ShutdownWithContext(ctx)
}

// Closing tells whether Close has been called.
func (f *Front) Closing() bool { return f.closing.Load() }

// Broken tells how many messages of clients could not be read.
func (f *Front) Broken() int64 { return f.broken.Load() }

func (f *Front) handle(ctx *fasthttp.RequestCtx) {
	p, placed := ctx.Conn().(*placed)
	defer func() {
		if placed && p.wanted() {
			ctx.SetConnectionClose()
		}
	}()
	if string(ctx.Request.Header.RequestURI()) == "/up" {
		if !f.ready() || f.closing.Load() {
			ctx.Response.SetStatusCode(fasthttp.StatusInternalServerError)
		}
		return
	}
	t, err := decodeTxn(&ctx.Request, &f.names, &f.charter)
	if err != nil {
		f.refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !f.marks.take(t.Mark) {
		f.refuse(ctx, fasthttp.StatusConflict, "X-Request-Id: a txn with this one is open")
		return
	}
	defer f.marks.free(t.Mark)
	if placed {
		if !p.take() {
			f.refuse(ctx, fasthttp.StatusRequestTimeout, "the connection was ended before it came whole")
			return
		}
		t.client = p
	}
	f.active.Add(1)
	f.answer(&ctx.Response, f.serve(&t), t.Product)
	f.active.Add(-1)
}

// Active tells how many txns are taken and not answered.
func (f *Front) Active() int64 { return f.active.Load() }

// Finals tells how many txns of a product were settled, declined and voided.
func (f *Front) Finals(product int) (settled, declined, voided int64) {
	n := &f.finals[product]
	return n[0].Load(), n[1].Load(), n[2].Load()
}

// refuse answers what is no txn, and ends its connection: what follows there may be part of it.
func (f *Front) refuse(ctx *fasthttp.RequestCtx, status int, says string) {
	f.broken.Add(1)
	ctx.Response.SetStatusCode(status)
	ctx.Response.SetBodyString(says + "\n")
	Linger(ctx)
}

// Linger ends a connection with this answer, so that it reaches a caller who still sends.
func Linger(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	if p, ok := ctx.Conn().(*placed); ok {
		p.lingers.Store(true)
	}
}

// answer encodes a final answer. Only the module's declines are 429: it says that trying again is harmless.
func (f *Front) answer(r *fasthttp.Response, end Final, product int) {
	n := &f.finals[product]
	switch end.Kind {
	case logic.Submit:
		n[0].Add(1)
		if end.Answer.Type != "" {
			r.Header.SetContentType(end.Answer.Type)
		}
		if end.Answer.Coding != "" {
			r.Header.SetContentEncoding(end.Answer.Coding)
		}
		r.SetBodyRaw(end.Answer.Body)
	case logic.Decline:
		n[1].Add(1)
		r.SetStatusCode(fasthttp.StatusTooManyRequests)
		if end.Wait > 0 {
			r.Header.Set("Retry-After", strconv.FormatFloat(end.Wait/1000, 'f', 3, 64))
		}
	default:
		n[2].Add(1)
		r.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// unreadable answers what is no HTTP, too long, or does not come whole in time.
func (f *Front) unreadable(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var late net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		f.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, "the body is over 64 KiB")
	case errors.As(err, &small):
		f.refuse(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case errors.As(err, &late) && late.Timeout():
		f.refuse(ctx, fasthttp.StatusRequestTimeout, "no whole request has come in time")
	default:
		f.refuse(ctx, fasthttp.StatusBadRequest, "no request could be read")
	}
}

// marks are the marks of the txns that are open. Guards against a client that sends another's mark: two txns
// of one mark could not be told apart by workers.
type marks struct {
	mu   sync.Mutex
	open map[string]bool
}

func (m *marks) take(mark []byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open[string(mark)] {
		return false
	}
	m.open[string(mark)] = true
	return true
}

func (m *marks) free(mark []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.open, string(mark))
}
