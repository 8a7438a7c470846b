package transport

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// FinalAnswer is a txn's final answer. Answer is the worker's, where it is settled.
type FinalAnswer struct {
	Kind             policy.Kind // Submit where it is settled, else Decline or Void
	RetryAfterMillis float64     // Decline: when to return, ms; 0 says nothing
	Answer           *Answer
	Rejection        *Rejection // of Void: it was not let to the module, or not again
}

// Rejection is a no that has nothing to do with quota, workers or time.
type Rejection struct {
	Status  int
	Headers [][2]string
	Message string
}

// Frontend takes clients' connections and hands each txn to serve, which returns its final answer.
type Frontend struct {
	// AllowAnonymous has txns taken that don't say whose they are. To be set before Serve.
	AllowAnonymous bool

	names        config.Names
	charter      atomic.Pointer[policy.Charter]
	serve        func(*Request) FinalAnswer
	ready        func() bool
	exchanges    sync.Pool
	connections  sync.WaitGroup // connections
	closing      atomic.Bool
	successor    atomic.Pointer[HandOverFunc]
	malformed    atomic.Int64
	active       atomic.Int64
	finalCounts  [][3]atomic.Int64 // by product: settled, declined, voided
	openRequests openRequests
}

// NewFrontend makes a front that is up, by its own word, while ready says so.
func NewFrontend(names config.Names, charter policy.Charter, serve func(*Request) FinalAnswer,
	ready func() bool) *Frontend {
	f := &Frontend{names: names, serve: serve, ready: ready,
		openRequests: openRequests{byID: map[string]*openRequest{}}, finalCounts: make([][3]atomic.Int64,
			len(charter.Products))}
	f.charter.Store(&charter)
	f.exchanges.New = func() any { return &exchange{reader: bufio.NewReader(nil)} }
	return f
}

// SetInstanceCount tells how many gatekeepers there are from now on.
func (f *Frontend) SetInstanceCount(n int) {
	charter := *f.charter.Load()
	charter.Gatekeepers = n
	f.charter.Store(&charter)
}

// DiscardLogger drops a server's own log: what callers break is counted instead.
type DiscardLogger struct{}

// Printf says nothing.
func (DiscardLogger) Printf(string, ...any) {}

// Serve answers clients until the listener ends.
func (f *Frontend) Serve(listener *LimitListener) error {
	f.connections.Add(1)
	defer f.connections.Done()
	for {
		conn, err := listener.acceptConn()
		if err != nil {
			if listener.Closed() {
				return nil
			}
			return fmt.Errorf("front: %w", err)
		}
		f.connections.Add(1)
		go f.serveConn(conn)
	}
}

// HandOverFunc takes a connection over, with what has been read of it and not taken up, and tells whether it has.
type HandOverFunc func(c syscall.RawConn, proven bool, ahead []byte) bool

// HandOver gives every connection of the listener to an heir as soon as no txn of it is in hand.
func (f *Frontend) HandOver(listener *LimitListener, successor HandOverFunc) {
	f.successor.Store(&successor)
	listener.interruptIdleReads()
}

// handOver gives a connection to the heir, if there is one.
func (f *Frontend) handOver(conn *clientConn, x *exchange) bool {
	successor := f.successor.Load()
	if successor == nil {
		return false
	}
	previous := conn.state.Load()
	if previous == stateEnded || !conn.state.CompareAndSwap(previous,
		stateServing) { // none may end it here once it is the heir's
		return false
	}
	prefetched, _ := x.reader.Peek(x.reader.Buffered())
	if raw, err := conn.syscallConn(); err == nil && (*successor)(raw, conn.proven, prefetched) {
		return true
	}
	conn.state.Store(previous)
	f.closing.Store(true) // there is none after all: it goes on here until its next answer
	return false
}

// Adopt goes on with a connection that another process has handed on.
func (f *Frontend) Adopt(listener *LimitListener, raw net.Conn, proven bool, prefetched []byte) {
	conn := listener.admit(raw)
	conn.proven, conn.prefetched = proven, prefetched
	conn.answered(len(prefetched) > 0)
	f.connections.Add(1)
	go f.serveConn(conn)
}

// Closing tells whether Close has been called.
func (f *Frontend) Closing() bool { return f.closing.Load() }

// Close lets connections end with their next answer.
func (f *Frontend) Close() { f.closing.Store(true) }

// Wait waits until every connection has ended.
func (f *Frontend) Wait() { f.connections.Wait() }

// MalformedRequests tells how many messages of clients could not be read.
func (f *Frontend) MalformedRequests() int64 { return f.malformed.Load() }

// ActiveRequests tells how many txns are taken and not answered.
func (f *Frontend) ActiveRequests() int64 { return f.active.Load() }

// FinalCounts tells how many txns of a product were settled, declined and voided.
func (f *Frontend) FinalCounts(product int) (settled, declined, voided int64) {
	counts := &f.finalCounts[product]
	return counts[0].Load(), counts[1].Load(), counts[2].Load()
}

// serveConn answers one connection's requests, one after another.
func (f *Frontend) serveConn(conn *clientConn) {
	defer f.connections.Done()
	x := f.exchanges.Get().(*exchange)
	x.reader.Reset(conn)
	for {
		if f.handOver(conn, x) {
			break // to be closed and no more: the heir's connection must not end
		}
		if !f.serveRequest(conn, x) {
			conn.closeGracefully()
			break
		}
		conn.answered(x.reader.Buffered() > 0)
		if f.closing.Load() {
			conn.tryEnd(stateIdle) // guards against one that stays behind an answer that had begun before the end
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
	x.request.Reset()
	x.responseHead.Reset()
	x.closeAfter = false
	first := conn.state.Load() == stateNew
	timeout := policy.IdleClient
	if first {
		timeout = policy.WholeTxn
	}
	conn.setReadDeadline(time.Now().Add(Millis(timeout)))
	if _, err := x.reader.Peek(1); err != nil {
		if isTimeout(err) && f.successor.Load() != nil {
			return true
		}
		if first && isTimeout(err) {
			return f.rejectUnreadable(conn, x, err)
		}
		return isTimeout(err) && !conn.tryEnd(stateIdle) // something has come in that moment
	}
	if !first {
		conn.setReadDeadline(time.Now().Add(Millis(policy.WholeTxn)))
	}
	head := &x.request.Header
	if err := head.Read(x.reader); err != nil {
		return isTimeout(err) && f.successor.Load() != nil || f.rejectUnreadable(conn, x, err)
	}
	if string(head.RequestURI()) == "/up" {
		x.closeAfter = head.ContentLength() > 0
		status := fasthttp.StatusOK
		if !f.ready() || f.closing.Load() {
			status = fasthttp.StatusInternalServerError
		}
		return f.writeResponse(conn, x, status, nil) == nil && !x.closeAfter
	}
	request, err := DecodeRequest(head, head.Method(), head.RequestURI(), &f.names, f.charter.Load(),
		f.AllowAnonymous)
	if err != nil {
		return f.reject(conn, x, fasthttp.StatusBadRequest, err.Error())
	}
	if !conn.headReceived() {
		return false // it was ended before
	}
	if x.request.MayContinue() && x.reader.Buffered() == 0 {
		if _, err := (stallWriter{conn}).Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
	}
	if request.Body, request.Upload, err = x.readBody(conn); err != nil {
		return f.rejectUnreadable(conn, x, err)
	}
	if !conn.requestReceived() {
		return false // it was ended before the body came whole
	}
	request.client, request.Streams = conn, request.Upload != nil
	if !conn.waitingSince.IsZero() {
		if !request.Streams {
			request.Left = max(request.Left-conn.queuedMillis(), 0)
		}
		conn.waitingSince = time.Time{} // what comes from here on is read as it comes
	}
	idReleased, waited := f.openRequests.acquire(&request, Millis(request.Left))
	if !idReleased {
		return f.reject(conn, x, fasthttp.StatusConflict, "X-Request-Id: a txn with this one is open")
	}
	idReleased = false
	releaseID := func() { // its mark, once
		if !idReleased {
			f.openRequests.release(request.RequestID)
		}
		idReleased = true
	}
	defer releaseID()
	if !request.Streams {
		request.Left = max(request.Left-float64(waited)/float64(time.Millisecond), 0)
	}
	f.active.Add(1)
	defer f.active.Add(-1)
	final := f.serve(&request)
	// Guards against a client that has its answer, and asks again under the same id before this goroutine has
	// gone on: it was told that its txn is open. While the rest of an answer comes it is.
	if final.Answer == nil || final.Answer.Remainder == nil {
		releaseID()
	}
	// Guards against what a client that has gone sent behind its txn: nobody waits for that either.
	x.closeAfter = x.closeAfter || final.Kind == policy.Void && request.Gone()
	if upload := request.Upload; upload != nil && !upload.remainder.complete.Load() {
		if upload.Err() != nil {
			return f.rejectUnreadable(conn, x, upload.Err())
		}
		// It may not read its answer before it has sent all: the answer goes at once, the rest is read past.
		// What of that is not waited for may be on its way still.
		if !f.writeFinal(conn, x, request.Product, final) {
			return false
		}
		conn.lingerOnClose.Store(upload.Discard() != nil)
		return !conn.lingerOnClose.Load() && !x.closeAfter
	}
	return f.writeFinal(conn, x, request.Product, final) && !x.closeAfter
}

// reject answers what is no txn, and ends its connection: what follows there may be part of it.
func (f *Frontend) reject(conn *clientConn, x *exchange, status int, message string) bool {
	if conn.isEnded() {
		return false // it was ended from here before all of it came
	}
	f.malformed.Add(1)
	x.closeAfter = true
	conn.lingerOnClose.Store(true)
	_ = f.writeResponse(conn, x, status, []byte(message+"\n"))
	return false
}

// rejectUnreadable answers what is no HTTP, too long, or does not come whole in time.
func (f *Frontend) rejectUnreadable(conn *clientConn, x *exchange, err error) bool {
	var headTooLong *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, errTooLong):
		return f.reject(conn, x, fasthttp.StatusRequestEntityTooLarge, "the body is too long")
	case errors.As(err, &headTooLong):
		return f.reject(conn, x, fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case isTimeout(err):
		return f.reject(conn, x, fasthttp.StatusRequestTimeout, "no whole request has come in time")
	}
	return f.reject(conn, x, fasthttp.StatusBadRequest, "no request could be read")
}

// writeResponse writes an answer that is whole. What its head says besides stands in t.res.
func (f *Frontend) writeResponse(conn *clientConn, x *exchange, status int, body []byte) error {
	f.encodeHead(conn, x, status, len(body))
	x.output = append(x.output, body...)
	_, err := stallWriter{conn}.Write(x.output)
	return err
}

// encodeHead encodes the head of an answer with a body of so many bytes; below nought it comes in chunks.
func (f *Frontend) encodeHead(conn *clientConn, x *exchange, status, length int) {
	head := &x.request.Header
	x.closeAfter = x.closeAfter || head.ConnectionClose() || !head.IsHTTP11() || conn.shouldClose() ||
		f.closing.Load()
	x.responseHead.SetStatusCode(status)
	x.responseHead.SetContentLength(length)
	x.responseHead.SetNoDefaultContentType(true)
	if x.closeAfter {
		x.responseHead.SetConnectionClose()
	}
	x.output = x.responseHead.AppendBytes(x.output[:0])
}

// writeFinal gives a txn its final answer, and tells whether that was written whole. It is counted here, as what
// its client got. Only the module's declines are 429: it says that trying again is harmless.
func (f *Frontend) writeFinal(conn *clientConn, x *exchange, product int, final FinalAnswer) bool {
	counts := &f.finalCounts[product]
	var err error
	switch final.Kind {
	case policy.Submit:
		if err = f.forwardAnswer(conn, x, final.Answer); errors.Is(err, ErrTruncated) {
			counts[2].Add(1)
		} else {
			counts[0].Add(1)
		}
	case policy.Decline:
		if final.RetryAfterMillis > 0 {
			x.responseHead.Set("Retry-After", RetryAfter(final.RetryAfterMillis))
		}
		err = f.writeResponse(conn, x, fasthttp.StatusTooManyRequests, nil)
		counts[1].Add(1)
	default:
		status, message := fasthttp.StatusInternalServerError, []byte(nil)
		if rejection := final.Rejection; rejection != nil {
			status, message = rejection.Status, []byte(rejection.Message+"\n")
			for _, header := range rejection.Headers {
				x.responseHead.Add(header[0], header[1])
			}
		}
		err = f.writeResponse(conn, x, status, message)
		counts[2].Add(1)
	}
	return err == nil
}

// RetryAfter encodes when to return, from ms.
func RetryAfter(ms float64) string { return strconv.FormatFloat(ms/1000, 'f', 3, 64) }

// forwardAnswer passes a worker's answer on.
func (f *Frontend) forwardAnswer(conn *clientConn, x *exchange, answer *Answer) error {
	if answer.ContentType != "" {
		x.responseHead.SetContentType(answer.ContentType)
	}
	if answer.ContentEncoding != "" {
		x.responseHead.SetContentEncoding(answer.ContentEncoding)
	}
	if answer.Remainder == nil {
		return f.writeResponse(conn, x, fasthttp.StatusOK, answer.Body)
	}
	f.encodeHead(conn, x, fasthttp.StatusOK, answer.Length)
	limitSendBuffer(conn.Conn)
	_, err := stallWriter{conn}.Write(x.output)
	if err == nil {
		err = answer.writeTo(stallWriter{conn})
	}
	answer.onForwarded(err)
	return err
}

// openRequests are the marks of the txns that are open. Guards against a client that sends another's mark: two txns
// of one mark could not be told apart by workers.
type openRequests struct {
	mu   sync.Mutex
	byID map[string]*openRequest
}

// openRequest is one that is open.
type openRequest struct {
	request *Request
	done    chan struct{} // closed once it is free; nil while nobody waits for that
}

// acquire opens a txn's mark, unless another has it. One whose client has gone is about to be given up, and
// is waited for, for so long at most: if nothing was sent for it the mark is free. Guards against a client
// that has cut its connection and asks once more at once.
func (o *openRequests) acquire(request *Request, limit time.Duration) (acquired bool, waited time.Duration) {
	for start := time.Now(); ; waited = time.Since(start) {
		o.mu.Lock()
		existing := o.byID[string(request.RequestID)]
		if existing == nil {
			o.byID[string(request.RequestID)] = &openRequest{request: request}
			o.mu.Unlock()
			return true, waited
		}
		if existing.done == nil {
			existing.done = make(chan struct{})
		}
		o.mu.Unlock()
		if !existing.request.Gone() {
			return false, waited
		}
		select {
		case <-existing.done:
			if existing.request.MaybeSent {
				return false, waited
			}
		case <-time.After(limit - time.Since(start)):
			return false, waited
		}
	}
}

func (o *openRequests) release(id []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if done := o.byID[string(id)].done; done != nil {
		close(done)
	}
	delete(o.byID, string(id))
}
