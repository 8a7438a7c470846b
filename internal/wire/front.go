package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
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
}

// NewFront makes a front that is up, by its own word, while ready says so.
func NewFront(names config.Names, charter logic.Charter, serve func(*Txn) Final, ready func() bool) *Front {
	f := &Front{names: names, charter: charter, serve: serve, ready: ready}
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
	if string(ctx.Request.Header.RequestURI()) == "/up" {
		if !f.ready() || f.closing.Load() {
			ctx.Response.SetStatusCode(fasthttp.StatusInternalServerError)
		}
		return
	}
	t, err := decodeTxn(&ctx.Request, &f.names, &f.charter)
	if err != nil {
		f.broken.Add(1)
		ctx.Response.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.Response.SetBodyString(err.Error() + "\n")
		return
	}
	p, placed := ctx.Conn().(*placed)
	if placed {
		t.client = p
	}
	f.answer(&ctx.Response, f.serve(&t))
	if placed && p.wanted() {
		ctx.SetConnectionClose()
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

// unreadable answers what is no HTTP, or too long.
func (f *Front) unreadable(ctx *fasthttp.RequestCtx, err error) {
	f.broken.Add(1)
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.Error("the body is over 64 KiB\n", fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &small):
		ctx.Error("the head is too long\n", fasthttp.StatusRequestHeaderFieldsTooLarge)
	default:
		ctx.Error("no request could be read\n", fasthttp.StatusBadRequest)
	}
}
