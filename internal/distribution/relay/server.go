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
	maxTrackedClients  = 16384
	clientActiveLeases = 5.0 // leases without a request after which a client no longer counts as active

	readTimeout     = 5 * time.Second
	writeTimeout    = 5 * time.Second
	idleTimeout     = time.Minute
	shutdownTimeout = time.Second
	// maxIdleWorkerDuration is how long the library keeps goroutines that are not used.
	maxIdleWorkerDuration = 2 * time.Second
)

// server responds to requests from below out of a distribution.Source, at a port of its own.
type server struct {
	handler     *Handler
	httpServer  *fasthttp.Server
	address     string // HOST:PORT where it listens
	leaseMillis float64
	onReports   reportFunc
	stopped     chan struct{} // closed once httpServer has returned

	mu             sync.Mutex           // guards what follows
	source         *distribution.Source // its snapshot is set by publish
	lastRequestAt  map[string]float64   // by client, at most maxTrackedClients; of nowMillis
	discoveryIndex int64                // the highest that a client has reported; negative: none
}

// reportFunc takes the acks that are new from below, and the highest index of the discovery service's list
// that was reported.
type reportFunc func(acks []distribution.HostAck, highestIndex int64)

// startServer listens at an address. OnReports is called, without a lock, when clients report something new.
func startServer(listen string, connections int, leaseMillis float64, source *distribution.Source,
	onReports reportFunc) (*server, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &server{
		address:        listener.Addr().String(),
		leaseMillis:    leaseMillis,
		onReports:      onReports,
		stopped:        make(chan struct{}),
		source:         source,
		lastRequestAt:  map[string]float64{},
		discoveryIndex: -1,
	}
	s.handler = NewHandler(s.respond)
	s.httpServer = &fasthttp.Server{
		Handler:                      s.route,
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
		ErrorHandler:                 s.handleError,
	}
	go func() {
		defer close(s.stopped)
		_ = s.httpServer.Serve(countingListener{listener, &s.handler.traffic}) // it ends with close
	}()
	return s, nil
}

// discardLogger drops the library's messages on single connections, which are counted.
type discardLogger struct{}

// Printf is fasthttp.Logger's.
func (discardLogger) Printf(string, ...any) {}

// handleError responds to what is no request of HTTP.
func (s *server) handleError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		s.handler.traffic.countFailure(reasonTooLong)
		ctx.Error(err.Error(), fasthttp.StatusRequestEntityTooLarge)
		return
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() { // no complete request came in time
		s.handler.traffic.countFailure(reasonTimeout)
		ctx.Error(err.Error(), fasthttp.StatusRequestTimeout)
		return
	}
	s.handler.traffic.countFailure(reasonMalformed)
	ctx.Error(err.Error(), fasthttp.StatusBadRequest)
}

func (s *server) route(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != RequestPath || !ctx.IsPost() {
		ctx.Error("only POST "+RequestPath+" is answered here", fasthttp.StatusNotFound)
		return
	}
	s.handler.ServeFastHTTP(ctx)
}

// respond answers a request. The time is taken after the request has come.
func (s *server) respond(request *distribution.Request) (*distribution.Response, error) {
	s.mu.Lock()
	now := nowMillis()
	response, err := s.source.Respond(request, now)
	if err != nil {
		s.mu.Unlock()
		return nil, &RejectionError{reasonUnacceptable, err.Error()}
	}
	acks, newIndex := s.source.TakeHostAcks(), false
	if request.DiscoveryIndex > s.discoveryIndex {
		s.discoveryIndex, newIndex = request.DiscoveryIndex, true
	}
	highestIndex := s.discoveryIndex
	if _, known := s.lastRequestAt[request.Sender]; known || len(s.lastRequestAt) < maxTrackedClients {
		s.lastRequestAt[request.Sender] = now
	}
	s.mu.Unlock()
	if len(acks) > 0 || newIndex {
		s.onReports(acks, highestIndex)
	}
	return response, nil
}

// publish makes a snapshot the one that requests are answered with.
func (s *server) publish(snapshot distribution.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source.Publish(snapshot)
}

// activeClients gives how many clients have sent a request lately, and forgets the others.
func (s *server) activeClients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := nowMillis()
	for client, at := range s.lastRequestAt {
		if now-at > clientActiveLeases*s.leaseMillis {
			delete(s.lastRequestAt, client)
		}
	}
	return len(s.lastRequestAt)
}

// close closes the port and waits for the server.
func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.httpServer.ShutdownWithContext(ctx) // connections that are left close with their requests
	<-s.stopped
}
