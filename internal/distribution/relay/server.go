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
	maxTrackedClients     = 16384 // names of those below that are kept
	clientActiveLeases    = 5.0   // leases after which one that was not heard of is none below any more
	readTimeout           = 5 * time.Second
	writeTimeout          = 5 * time.Second
	idleTimeout           = time.Minute
	maxIdleWorkerDuration = 2 * time.Second // the library's goroutines go so long after they were last used
	shutdownTimeout       = time.Second
)

// giver answers those below from a distribution.Source, at a port of its own.
type server struct {
	handler     *Handler
	httpServer  *fasthttp.Server
	address     string
	leaseMillis float64
	onReports   func(news []distribution.HostStep, highest int64)
	stopped     chan struct{}

	mu             sync.Mutex
	source         *distribution.Source
	lastRequestAt  map[string]float64 // by name, when it last asked
	discoveryIndex int64              // the highest of discovery's list that any of them has told
}

// give listens for those below. What they have seen, where it is news, goes to told, with the highest index
// of discovery's list among them.
func startServer(listen string, connections int, lease float64, s *distribution.Source,
	told func(news []distribution.HostStep, highest int64)) (*server, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	g := &server{address: l.Addr().String(), leaseMillis: lease, onReports: told, source: s,
		lastRequestAt:  map[string]float64{},
		discoveryIndex: -1, stopped: make(chan struct{})}
	g.handler = NewHandler(g.respond)
	g.httpServer = &fasthttp.Server{
		Handler:                      g.route,
		Concurrency:                  connections,
		MaxRequestBodySize:           distribution.MaxRequestBytes,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		Logger:                       discardLogger{},
		MaxIdleWorkerDuration:        maxIdleWorkerDuration,
		ErrorHandler:                 g.handleError,
	}
	go func() {
		defer close(g.stopped)
		_ = g.httpServer.Serve(countingListener{l, &g.handler.traffic})
	}()
	return g, nil
}

// countedListener counts what passes over its connections.
type countingListener struct {
	net.Listener
	traffic *trafficCounters
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, &l.traffic.receivedBytes, &l.traffic.sentBytes}, nil
}

// quiet drops what the library says of each connection: it is counted.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// garbled answers what is no request.
func (g *server) handleError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		g.handler.traffic.countFailure(reasonTooLong)
		ctx.Error(err.Error(), fasthttp.StatusRequestEntityTooLarge)
		return
	}
	var n net.Error
	if errors.As(err, &n) && n.Timeout() { // a connection on which nothing whole has come
		g.handler.traffic.countFailure(reasonTimeout)
		ctx.Error(err.Error(), fasthttp.StatusRequestTimeout)
		return
	}
	g.handler.traffic.countFailure(reasonMalformed)
	ctx.Error(err.Error(), fasthttp.StatusBadRequest)
}

func (g *server) route(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != RequestPath || !ctx.IsPost() {
		ctx.Error("only POST "+RequestPath+" is answered here", fasthttp.StatusNotFound)
		return
	}
	g.handler.ServeFastHTTP(ctx)
}

// answer answers one ask. The time is taken after it has come.
func (g *server) respond(a *distribution.Request) (*distribution.Response, error) {
	g.mu.Lock()
	now := nowMillis()
	got, err := g.source.Respond(a, now)
	if err != nil {
		g.mu.Unlock()
		return nil, &RejectionError{reasonUnacceptable, err.Error()}
	}
	news, other := g.source.TakeHostSteps(), false
	if a.DiscoveryIndex > g.discoveryIndex {
		g.discoveryIndex, other = a.DiscoveryIndex, true
	}
	highest := g.discoveryIndex
	if _, there := g.lastRequestAt[a.Sender]; there || len(g.lastRequestAt) < maxTrackedClients {
		g.lastRequestAt[a.Sender] = now
	}
	g.mu.Unlock()
	if len(news) > 0 || other {
		g.onReports(news, highest)
	}
	return got, nil
}

// offer takes what may be given on from here on.
func (g *server) publish(v distribution.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.source.Publish(v)
}

// count tells how many are below, and forgets those that have not asked for a while.
func (g *server) activeClients() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := nowMillis()
	for name, at := range g.lastRequestAt {
		if now-at > clientActiveLeases*g.leaseMillis {
			delete(g.lastRequestAt, name)
		}
	}
	return len(g.lastRequestAt)
}

// close ends the port and waits for it.
func (g *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = g.httpServer.ShutdownWithContext(ctx)
	<-g.stopped
}
