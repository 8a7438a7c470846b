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
	marks   marks
}

// NewFront makes a front that is up, by its own word, while ready says so.
func NewFront(names config.Names, charter logic.Charter, serve func(*Txn) Final, ready func() bool) *Front {
	f := &Front{names: names, charter: charter, serve: serve, ready: ready,
		marks: marks{open: map[string]bool{}}}
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
		Logger:                       silent{},
	}
	return f
}

// silent drops the server's own log: what clients break is counted instead.
type silent struct{}

func (silent) Printf(string, ...any) {}

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
	f.answer(&ctx.Response, f.serve(&t))
}

// refuse answers what is no txn, and ends its connection: what follows there may be part of it.
func (f *Front) refuse(ctx *fasthttp.RequestCtx, status int, says string) {
	f.broken.Add(1)
	ctx.Response.SetStatusCode(status)
	ctx.Response.SetBodyString(says + "\n")
	ctx.SetConnectionClose()
	if p, ok := ctx.Conn().(*placed); ok {
		p.lingers.Store(true)
	}
}

// answer encodes a final answer. Only the module's declines are 429: it says that trying again is harmless.
func (f *Front) answer(r *fasthttp.Response, end Final) {
	switch end.Kind {
	case logic.Submit:
		if end.Answer.Type != "" {
			r.Header.SetContentType(end.Answer.Type)
		}
		if end.Answer.Coding != "" {
			r.Header.SetContentEncoding(end.Answer.Coding)
		}
		r.SetBodyRaw(end.Answer.Body)
	case logic.Decline:
		r.SetStatusCode(fasthttp.StatusTooManyRequests)
		if end.Wait > 0 {
			r.Header.Set("Retry-After", strconv.FormatFloat(end.Wait/1000, 'f', 3, 64))
		}
	default:
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
