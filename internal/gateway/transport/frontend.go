package transport

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// FinalAnswer is what a client gets for a request.
type FinalAnswer struct {
	Kind             policy.DecisionKind // Submit where it is settled, else Reject or RejectUncertain
	RetryAfterMillis float64             // of Reject: when the client may return, in ms; 0 for no advice
	Answer           *Answer             // of Submit: the worker's
	ErrorAnswer      *ErrorAnswer        // of RejectUncertain: in place of a bare 500; or nil
}

// ErrorAnswer is an error that has nothing to do with quotas, workers or time: the request never reached the
// policy, or did not reach it again.
type ErrorAnswer struct {
	Status  int
	Headers [][2]string // name and value
	Message string      // the body, without its newline
}

// Frontend serves the connections of clients. It decodes each request, hands it to the proxy, and writes the
// final answer. A connection has one goroutine, which serves its requests one after another.
type Frontend struct {
	// AllowAnonymous accepts requests that do not name their customer. It must be set before Serve.
	AllowAnonymous bool

	names        config.Names
	settings     atomic.Pointer[policy.Settings]
	serve        func(*Request) FinalAnswer
	ready        func() bool
	exchanges    sync.Pool      // of *exchange
	connections  sync.WaitGroup // goroutines of connections, and Serve
	closing      atomic.Bool
	successor    atomic.Pointer[HandOverFunc] // nil while no process takes connections over
	malformed    atomic.Int64
	active       atomic.Int64
	finalCounts  [][finalKinds]atomic.Int64 // by product
	openRequests openRequests
}

// The indexes of a product's counts in Frontend.finalCounts.
const (
	finalSucceeded = iota
	finalDeclined
	finalVoided
	finalKinds
)

// NewFrontend makes a frontend that passes requests to serve. /up answers 200 while ready gives true.
func NewFrontend(names config.Names, charter policy.Settings, serve func(*Request) FinalAnswer,
	ready func() bool) *Frontend {
	f := &Frontend{names: names, serve: serve, ready: ready,
		openRequests: openRequests{byID: map[string]*openRequest{}},
		finalCounts:  make([][finalKinds]atomic.Int64, len(charter.Products))}
	f.settings.Store(&charter)
	f.exchanges.New = func() any { return &exchange{reader: bufio.NewReader(nil)} }
	return f
}

// SetInstanceCount sets how many instances there are from now on.
func (f *Frontend) SetInstanceCount(n int) {
	charter := *f.settings.Load()
	charter.GatewayCount = n
	f.settings.Store(&charter)
}

// DiscardLogger drops the log of a fasthttp server: malformed requests are counted instead.
type DiscardLogger struct{}

// Printf does nothing.
func (DiscardLogger) Printf(string, ...any) {}

// Serve accepts and serves clients until the listener is closed, and then returns nil.
func (f *Frontend) Serve(listener *LimitListener) error {
	f.connections.Add(1)
	defer f.connections.Done()
	for {
		conn, err := listener.acceptConn()
		if err != nil {
			if listener.Closed() {
				return nil
			}
			return fmt.Errorf("frontend: %w", err)
		}
		f.connections.Add(1)
		go f.serveConn(conn)
	}
}

// HandOverFunc passes a connection to another process, with the bytes that have been read from it and not yet
// served, and tells whether that process has it now. proven is that more than one request came on it.
type HandOverFunc func(c syscall.RawConn, proven bool, prefetched []byte) bool

// HandOver passes each connection of the listener to a successor as soon as it has no request in flight.
func (f *Frontend) HandOver(listener *LimitListener, successor HandOverFunc) {
	f.successor.Store(&successor)
	listener.interruptIdleReads()
}

// handOver passes a connection to the successor, if there is one, and tells whether it did.
func (f *Frontend) handOver(conn *clientConn, x *exchange) bool {
	successor := f.successor.Load()
	if successor == nil {
		return false
	}
	previous := conn.state.Load()
	if previous == stateEnded ||
		!conn.state.CompareAndSwap(previous, stateServing) { // so that nothing ends it here any more
		return false
	}
	prefetched, _ := x.reader.Peek(x.reader.Buffered())
	if raw, err := conn.syscallConn(); err == nil && (*successor)(raw, conn.proven, prefetched) {
		return true
	}
	conn.state.Store(previous)
	f.closing.Store(true) // the successor has failed: connections go on here until their next answer
	return false
}

// Adopt serves a connection that another process has handed over, with what that has read from it.
func (f *Frontend) Adopt(listener *LimitListener, raw net.Conn, proven bool, prefetched []byte) {
	conn := listener.admit(raw)
	conn.proven, conn.prefetched = proven, prefetched
	conn.answered(len(prefetched) > 0)
	f.connections.Add(1)
	go f.serveConn(conn)
}

// Closing tells whether Close has been called.
func (f *Frontend) Closing() bool { return f.closing.Load() }

// Close ends each connection with its next answer.
func (f *Frontend) Close() { f.closing.Store(true) }

// Wait waits until every connection has ended.
func (f *Frontend) Wait() { f.connections.Wait() }

// MalformedRequests counts the requests that could not be read.
func (f *Frontend) MalformedRequests() int64 { return f.malformed.Load() }

// ActiveRequests is how many requests are in flight: accepted and not answered.
func (f *Frontend) ActiveRequests() int64 { return f.active.Load() }

// FinalCounts gives how many requests of a product were settled, declined and voided.
func (f *Frontend) FinalCounts(product int) (settled, declined, voided int64) {
	counts := &f.finalCounts[product]
	return counts[finalSucceeded].Load(), counts[finalDeclined].Load(), counts[finalVoided].Load()
}

// serveConn serves a connection's requests, one after another, until it ends or is handed over.
func (f *Frontend) serveConn(conn *clientConn) {
	defer f.connections.Done()
	x := f.exchanges.Get().(*exchange)
	x.reader.Reset(conn)
	for !f.handOver(conn, x) { // one that was handed over is closed here without an end of sending
		if !f.serveRequest(conn, x) {
			conn.closeGracefully()
			break
		}
		conn.answered(x.reader.Buffered() > 0)
		if f.closing.Load() {
			conn.endIf(stateIdle) // its answer may have begun before Close
		}
	}
	_ = conn.Close()
	x.reader.Reset(nil)
	x.request.Reset()
	f.exchanges.Put(x)
}

// serveRequest reads a request and answers it, and tells whether the connection goes on.
func (f *Frontend) serveRequest(conn *clientConn, x *exchange) bool {
	if conn.isEnded() {
		return false
	}
	x.reset()
	if read, goesOn := f.readHead(conn, x); !read {
		return goesOn
	}
	head := &x.request.Header
	if string(head.RequestURI()) == "/up" {
		return f.answerHealthCheck(conn, x)
	}
	request, err := DecodeRequest(head, head.Method(), head.RequestURI(), &f.names, f.settings.Load(),
		f.AllowAnonymous)
	if err != nil {
		return f.reject(conn, x, fasthttp.StatusBadRequest, err.Error())
	}
	if !f.receiveBody(conn, x, &request) {
		return false
	}
	acquired, waited := f.openRequests.acquire(&request, Millis(request.TimeLeftMillis))
	if !acquired {
		return f.reject(conn, x, fasthttp.StatusConflict, "X-Request-Id: a txn with this one is open")
	}
	return f.serveOpen(conn, x, &request, waited)
}

// readHead waits for a request and reads its head. Where it has read none, goesOn tells whether the
// connection goes on all the same.
func (f *Frontend) readHead(conn *clientConn, x *exchange) (read, goesOn bool) {
	first := conn.state.Load() == stateNew
	timeout := policy.ClientIdleTimeoutMillis
	if first {
		timeout = policy.RequestHeadTimeoutMillis
	}
	conn.setReadDeadline(time.Now().Add(Millis(timeout)))
	if _, err := x.reader.Peek(1); err != nil {
		if isTimeout(err) && f.successor.Load() != nil {
			return false, true
		}
		if first && isTimeout(err) {
			return false, f.rejectUnreadable(conn, x, err)
		}
		return false, isTimeout(err) && !conn.endIf(stateIdle) // it is not ended where bytes have just come
	}
	if !first {
		conn.setReadDeadline(time.Now().Add(Millis(policy.RequestHeadTimeoutMillis)))
	}
	if err := x.request.Header.Read(x.reader); err != nil {
		return false, isTimeout(err) && f.successor.Load() != nil || f.rejectUnreadable(conn, x, err)
	}
	return true, true
}

// answerHealthCheck answers /up, and tells whether the connection goes on.
func (f *Frontend) answerHealthCheck(conn *clientConn, x *exchange) bool {
	x.closeAfter = x.request.Header.ContentLength() > 0
	status := fasthttp.StatusOK
	if !f.ready() || f.closing.Load() {
		status = fasthttp.StatusInternalServerError
	}
	return f.writeResponse(conn, x, status, nil) == nil && !x.closeAfter
}

// receiveBody reads a request's body as far as it is buffered, and takes the time that the request has waited
// off its deadline. Where it gives false the connection must end; what there is to answer has been answered.
func (f *Frontend) receiveBody(conn *clientConn, x *exchange, request *Request) bool {
	if !conn.headReceived() {
		return false // it has been ended before
	}
	if x.request.MayContinue() && x.reader.Buffered() == 0 {
		if _, err := (stallWriter{conn}).Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
	}
	var err error
	if request.Body, request.Upload, err = x.readBody(conn); err != nil {
		return f.rejectUnreadable(conn, x, err)
	}
	if !conn.requestReceived() {
		return false // it has been ended before the body was complete
	}
	request.client, request.StreamsBody = conn, request.Upload != nil
	if !conn.waitingSince.IsZero() {
		if !request.StreamsBody {
			request.TimeLeftMillis = max(request.TimeLeftMillis-conn.queuedMillis(), 0)
		}
		conn.waitingSince = time.Time{} // from here on bytes are read as they come
	}
	return true
}

// serveOpen has a request served whose ID has been acquired, after some wait, and answers it. It tells
// whether the connection goes on.
func (f *Frontend) serveOpen(conn *clientConn, x *exchange, request *Request, waited time.Duration) bool {
	idReleased := false
	releaseID := func() {
		if !idReleased {
			f.openRequests.release(request.RequestID)
		}
		idReleased = true
	}
	defer releaseID()
	if !request.StreamsBody {
		request.TimeLeftMillis = max(request.TimeLeftMillis-float64(waited)/float64(time.Millisecond), 0)
	}
	f.active.Add(1)
	defer f.active.Add(-1)
	final := f.serve(request)
	// The ID is free before the answer is written. Guards against a client that has its answer and sends the
	// next request with the same ID before this goroutine goes on: it would get a 409 for a request that has
	// ended. While the remainder of an answer is forwarded the request is open.
	if final.Answer == nil || final.Answer.Remainder == nil {
		releaseID()
	}
	// What a client that has gone had sent behind its request is not served: nobody waits for that either.
	x.closeAfter = x.closeAfter || final.Kind == policy.RejectUncertain && request.Gone()
	if upload := request.Upload; upload != nil && !upload.remainder.complete.Load() {
		return f.answerBeforeBody(conn, x, request, final)
	}
	return f.writeFinal(conn, x, request.Product, final) && !x.closeAfter
}

// answerBeforeBody answers a request whose body has not been read to its end. The client may not read the
// answer before it has sent all: so the answer is written at once, and then the rest of the body is
// discarded. It tells whether the connection goes on.
func (f *Frontend) answerBeforeBody(conn *clientConn, x *exchange, request *Request, final FinalAnswer) bool {
	upload := request.Upload
	if upload.Err() != nil {
		return f.rejectUnreadable(conn, x, upload.Err())
	}
	if !f.writeFinal(conn, x, request.Product, final) {
		return false
	}
	conn.lingerOnClose.Store(upload.Discard() != nil) // more of the body may be on its way
	return !conn.lingerOnClose.Load() && !x.closeAfter
}
