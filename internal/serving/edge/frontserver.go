package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/connlimit"
)

// acceptBackoff is the pause after a failed accept, as when the process has no descriptor left.
const acceptBackoff = 5 * time.Millisecond

// connectionLimits bound what a client may send on a connection before its body, and how long that may take.
type connectionLimits struct {
	headBytes   int           // of a request's head
	headTimeout time.Duration // for a request's head
	idleTimeout time.Duration // between two requests
}

// defaultConnectionLimits hold before the first configuration, and where it states no limit.
var defaultConnectionLimits = connectionLimits{
	headBytes: 128 << 10, headTimeout: 6 * time.Second, idleTimeout: 60 * time.Second,
}

// readinessLimits hold for the platform's readiness checks.
var readinessLimits = connectionLimits{
	headBytes: 8 << 10, headTimeout: 3 * time.Second, idleTimeout: 10 * time.Second,
}

// connectionLimitsOf returns the limits that a configuration states.
func connectionLimitsOf(limits configuration.Limits) connectionLimits {
	stated := defaultConnectionLimits
	if limits.MaxHeaderBytes > 0 {
		stated.headBytes = int(limits.MaxHeaderBytes)
	}
	if limits.HeaderTimeoutMs > 0 {
		stated.headTimeout = time.Duration(limits.HeaderTimeoutMs * float64(time.Millisecond))
	}
	if limits.IdleTimeoutMs > 0 {
		stated.idleTimeout = time.Duration(limits.IdleTimeoutMs * float64(time.Millisecond))
	}
	return stated
}

// frontServer serves clients. An http.Server has fixed limits, so there is one for each set of limits that
// has been in force: a connection keeps those under which it was accepted. It is safe for concurrent use.
type frontServer struct {
	handler  http.Handler
	listener net.Listener
	limits   func() connectionLimits // in force now
	memory   *connlimit.Limiter      // of the connections

	mu      sync.Mutex // guards what follows
	servers map[connectionLimits]*limitedServer
	closed  bool
}

// limitedServer is an http.Server with the connections that it is handed.
type limitedServer struct {
	http     *http.Server
	listener *handoverListener
}

func newFrontServer(listener net.Listener, handler http.Handler,
	limits func() connectionLimits, memoryBytes int64) *frontServer {
	return &frontServer{
		handler: handler, listener: listener, limits: limits, memory: connlimit.New(memoryBytes),
		servers: map[connectionLimits]*limitedServer{},
	}
}

// newHTTPServer returns a server of clients with these limits.
func newHTTPServer(handler http.Handler, limits connectionLimits) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: limits.headTimeout, IdleTimeout: limits.idleTimeout,
		MaxHeaderBytes: limits.headBytes, ErrorLog: zap.NewStdLog(zap.NewNop()),
		ConnState: connlimit.TrackState,
	}
}

// serve accepts connections until Shutdown.
func (f *frontServer) serve() {
	for {
		connection, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		admitted, ok := f.memory.Admit(connection)
		if !ok {
			go f.memory.Refuse(connection)
			continue
		}
		server := f.serverFor(f.limits())
		if server == nil || !server.listener.handOver(admitted) {
			_ = admitted.Close() // the front is shut down
		}
	}
}

// serverFor returns the server with these limits, which it starts for new ones. It is nil after Shutdown.
func (f *frontServer) serverFor(limits connectionLimits) *limitedServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	server := f.servers[limits]
	if server == nil {
		server = &limitedServer{
			http: newHTTPServer(f.handler, limits), listener: newHandoverListener(f.listener.Addr()),
		}
		f.servers[limits] = server
		go func() { _ = server.http.Serve(server.listener) }() // returns after Shutdown
	}
	return server
}

// Shutdown accepts no further connections, closes the idle ones, and waits for the others until ctx is done.
func (f *frontServer) Shutdown(ctx context.Context) {
	_ = f.listener.Close()
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	var stopping sync.WaitGroup
	for _, server := range f.servers { // not changed any more
		stopping.Go(func() { _ = server.http.Shutdown(ctx) })
	}
	stopping.Wait()
}

// handoverListener is a listener whose connections were accepted elsewhere.
type handoverListener struct {
	address     net.Addr
	connections chan net.Conn
	closed      chan struct{}
	close       func()
}

func newHandoverListener(address net.Addr) *handoverListener {
	closed := make(chan struct{})
	return &handoverListener{
		address: address, connections: make(chan net.Conn), closed: closed,
		close: sync.OnceFunc(func() { close(closed) }),
	}
}

// handOver passes a connection on. It returns false if the listener is closed.
func (l *handoverListener) handOver(connection net.Conn) bool {
	select {
	case l.connections <- connection:
		return true
	case <-l.closed:
		return false
	}
}

// Accept returns the next connection that is handed over, or net.ErrClosed.
func (l *handoverListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *handoverListener) Close() error {
	l.close()
	return nil
}

// Addr returns the address at which the connections were accepted.
func (l *handoverListener) Addr() net.Addr { return l.address }
