package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/distribution"
)

const (
	mostBelow   = 16384 // names of those below that are kept
	belowFor    = 5.0   // leases after which one that was not heard of is none below any more
	readWithin  = 5 * time.Second
	writeWithin = 5 * time.Second
	idleBelow   = time.Minute
	restFor     = 2 * time.Second // the library's goroutines go so long after they were last used
	endWithin   = time.Second
)

// giver answers those below from a distribution.Source, at a port of its own.
type giver struct {
	handler *Handler
	server  *fasthttp.Server
	at      string
	lease   float64
	told    func(news []distribution.HostStep, highest int64)
	ended   chan struct{}

	mu     sync.Mutex
	source *distribution.Source
	below  map[string]float64 // by name, when it last asked
	index  int64              // the highest of discovery's list that any of them has told
}

// give listens for those below. What they have seen, where it is news, goes to told, with the highest index
// of discovery's list among them.
func give(listen string, connections int, lease float64, s *distribution.Source,
	told func(news []distribution.HostStep, highest int64)) (*giver, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	g := &giver{at: l.Addr().String(), lease: lease, told: told, source: s, below: map[string]float64{},
		index: -1, ended: make(chan struct{})}
	g.handler = NewHandler(g.answer)
	g.server = &fasthttp.Server{
		Handler:                      g.route,
		Concurrency:                  connections,
		MaxRequestBodySize:           distribution.MostAsk,
		ReadTimeout:                  readWithin,
		WriteTimeout:                 writeWithin,
		IdleTimeout:                  idleBelow,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		Logger:                       quiet{},
		MaxIdleWorkerDuration:        restFor,
		ErrorHandler:                 g.garbled,
	}
	go func() {
		defer close(g.ended)
		_ = g.server.Serve(countedListener{l, &g.handler.traffic})
	}()
	return g, nil
}

// countedListener counts what passes over its connections.
type countedListener struct {
	net.Listener
	t *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{c, &l.t.in, &l.t.out}, nil
}

// quiet drops what the library says of each connection: it is counted.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// garbled answers what is no request.
func (g *giver) garbled(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		g.handler.traffic.fail(tooLong)
		ctx.Error(err.Error(), fasthttp.StatusRequestEntityTooLarge)
		return
	}
	var n net.Error
	if errors.As(err, &n) && n.Timeout() { // a connection on which nothing whole has come
		g.handler.traffic.fail(late)
		ctx.Error(err.Error(), fasthttp.StatusRequestTimeout)
		return
	}
	g.handler.traffic.fail(garbled)
	ctx.Error(err.Error(), fasthttp.StatusBadRequest)
}

func (g *giver) route(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != AskPath || !ctx.IsPost() {
		ctx.Error("only POST "+AskPath+" is answered here", fasthttp.StatusNotFound)
		return
	}
	g.handler.Fast(ctx)
}

// answer answers one ask. The time is taken after it has come.
func (g *giver) answer(a *distribution.Ask) (*distribution.Answer, error) {
	g.mu.Lock()
	now := Clock()
	got, err := g.source.Answer(a, now)
	if err != nil {
		g.mu.Unlock()
		return nil, &Refusal{unfit, err.Error()}
	}
	news, other := g.source.Told(), false
	if a.Index > g.index {
		g.index, other = a.Index, true
	}
	highest := g.index
	if _, there := g.below[a.From]; there || len(g.below) < mostBelow {
		g.below[a.From] = now
	}
	g.mu.Unlock()
	if len(news) > 0 || other {
		g.told(news, highest)
	}
	return got, nil
}

// offer takes what may be given on from here on.
func (g *giver) offer(v distribution.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.source.Offer(v)
}

// count tells how many are below, and forgets those that have not asked for a while.
func (g *giver) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := Clock()
	for name, at := range g.below {
		if now-at > belowFor*g.lease {
			delete(g.below, name)
		}
	}
	return len(g.below)
}

// close ends the port and waits for it.
func (g *giver) close() {
	ctx, cancel := context.WithTimeout(context.Background(), endWithin)
	defer cancel()
	_ = g.server.ShutdownWithContext(ctx)
	<-g.ended
}
