package transport

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// testFrontend is a frontend on loopback, with a function in the place of the proxy, whose connections a test
// can replace.
type testFrontend struct {
	*Frontend
	t        *testing.T
	listener *LimitListener
	address  string
}

// newTestFrontend makes a testFrontend that has at most limit connections.
func newTestFrontend(t *testing.T, limit int, serve func(*Request) FinalAnswer) *testFrontend {
	t.Helper()
	raw, address := listen(t)
	names := config.Names{Products: map[string]int{"check": 0, "issue": 1}, Plans: map[string]int{"basic": 0}}
	charter := policy.Settings{GatewayCount: 1, MaxRequestUnits: 1,
		Products: []policy.Product{{Idempotency: policy.Idempotent}, {Idempotency: policy.NonIdempotent}}}
	frontend := NewFrontend(names, charter, serve, func() bool { return true })
	return &testFrontend{Frontend: frontend, t: t, listener: NewLimitListener(raw, limit),
		address: address.String()}
}

// connect connects a client and gives both sides of the connection. wrap, unless nil, replaces the frontend's
// side. smallBuffer gives the client a small receive buffer.
func (f *testFrontend) connect(wrap func(*directConn) net.Conn, smallBuffer bool) (*net.TCPConn,
	*clientConn) {
	f.t.Helper()
	dial := net.Dialer{}
	if smallBuffer {
		dial.Control = func(_, _ string, client syscall.RawConn) error {
			return client.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			})
		}
	}
	client, err := dial.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { client.Close() })
	_ = client.SetDeadline(time.Now().Add(5 * time.Second))
	conn, err := f.listener.acceptConn()
	if err != nil {
		f.t.Fatal(err)
	}
	if wrap != nil {
		conn.Conn = wrap(conn.Conn.(*directConn))
	}
	f.connections.Add(1)
	go f.serveConn(conn)
	return client.(*net.TCPConn), conn
}

// requestText is a request with an ID.
func requestText(id string) string {
	return "GET /check HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nPlan: basic\r\n" +
		"Cookie: key=00000000b4d65521\r\nX-Deadline: 900m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"
}

// readStatusLine reads the head of a response and gives its status line, or the text of the error.
func readStatusLine(c net.Conn) string {
	var got []byte
	for b := make([]byte, 1); !bytes.HasSuffix(got, []byte("\r\n\r\n")); got = append(got, b[0]) {
		if _, err := io.ReadFull(c, b); err != nil {
			return err.Error()
		}
	}
	line, _, _ := strings.Cut(string(got), "\r\n")
	return line
}

// The status lines that clients get.
const (
	declinedStatus      = "HTTP/1.1 429 Too Many Requests"
	conflictStatus      = "HTTP/1.1 409 Conflict"
	timeoutStatus       = "HTTP/1.1 408 Request Timeout"
	internalErrorStatus = "HTTP/1.1 500 Internal Server Error"
)

// waitFor waits until a condition holds, and fails the test after some seconds.
func waitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal(failure)
}

// peekHook is a connection that calls afterPeek between the look for unread bytes and what follows from it.
type peekHook struct {
	*directConn
	afterPeek func()
}

func (h peekHook) Quiescent() bool {
	quiescent := h.directConn.Quiescent()
	h.afterPeek()
	return quiescent
}

// timeoutHook is a connection whose next read times out just as bytes have come.
type timeoutHook struct {
	*directConn
	beforeTimeout func() // or nil
}

func (h *timeoutHook) Read(b []byte) (int, error) {
	if f := h.beforeTimeout; f != nil {
		h.beforeTimeout = nil
		f()
		return 0, os.ErrDeadlineExceeded
	}
	return h.directConn.Read(b)
}

// A request that comes between the look at an idle connection and its end is not read, let alone forwarded,
// and its client meets an end after which it can send the request again, not a reset. Guards against a close
// over bytes that have come since the look.
func TestRequestCrossesClose(t *testing.T) {
	var served atomic.Int64
	f := newTestFrontend(t, 9, func(*Request) FinalAnswer {
		served.Add(1)
		return FinalAnswer{Kind: policy.Reject}
	})
	var client net.Conn
	crosses := false
	client, conn := f.connect(func(direct *directConn) net.Conn {
		return peekHook{direct, func() {
			if !crosses {
				crosses = true
				fmt.Fprint(client, requestText("2"))
				waitFor(t, "it does not come", func() bool { n, _ := direct.peek(); return n > 0 })
			}
		}}
	}, false)
	fmt.Fprint(client, requestText("1"))
	if status := readStatusLine(client); status != declinedStatus {
		t.Fatal(status)
	}
	waitFor(t, "it does not become idle", func() bool { return conn.state.Load() == stateIdle })
	conn.lastActivityNanos.Store(time.Now().Add(-time.Second).UnixNano())
	f.listener.closeIdle(time.Millisecond)
	if !crosses || conn.state.Load() != stateEnded {
		t.Fatal("it was not ended as the request came")
	}
	if n, err := client.Read(make([]byte, 1)); n != 0 || !isBareEOF(err) {
		t.Errorf("its client meets %d bytes, %v", n, err)
	}
	if direct := conn.Conn.(peekHook).directConn; !conn.isEnded() {
		t.Error("it goes on")
	} else if n, _ := direct.peek(); n == 0 {
		t.Error("the request was read")
	}
	start := time.Now()
	_ = client.Close()
	f.Wait()
	if took := time.Since(start); served.Load() != 1 || took > Millis(policy.LingerTimeoutMillis/2) {
		t.Errorf("%d requests were served; closed %v after its client", served.Load(), took)
	}
}

// Nothing is read from a connection that has been ended, though the reading goroutine has not noticed yet.
func TestNoReadAfterEnd(t *testing.T) {
	f := newTestFrontend(t, 9, nil)
	client, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := f.listener.acceptConn()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if !conn.endIf(stateNew) {
		t.Fatal("it does not end")
	}
	fmt.Fprint(client, requestText("1"))
	waitFor(t, "it does not come", func() bool { n, _ := conn.Conn.(*directConn).peek(); return n > 0 })
	conn.setReadDeadline(time.Now().Add(time.Second)) // as one who was about to read
	if n, err := conn.Read(make([]byte, 9)); n > 0 || err == nil || isTimeout(err) {
		t.Errorf("%d bytes are read, %v", n, err)
	}
}

// A request that comes just as the time of an idle connection is up is served. Guards against a close over
// it.
func TestRequestCrossesIdleTimeout(t *testing.T) {
	f := newTestFrontend(t, 9, func(*Request) FinalAnswer { return FinalAnswer{Kind: policy.Reject} })
	hooked := false
	client, _ := f.connect(func(direct *directConn) net.Conn {
		hook, read := &timeoutHook{directConn: direct}, direct.reading.call
		direct.reading.call = func(fd uintptr) bool { // the first request is read: the next read is the idle one
			done := read(fd)
			if !hooked && direct.reading.done > 0 {
				hooked = true
				hook.beforeTimeout = func() {
					waitFor(t, "it does not come", func() bool { n, _ := direct.peek(); return n > 0 })
				}
			}
			return done
		}
		return hook
	}, false)
	fmt.Fprint(client, requestText("1"))
	if status := readStatusLine(client); status != declinedStatus {
		t.Fatal(status)
	}
	fmt.Fprint(client, requestText("2"))
	if status := readStatusLine(client); status != declinedStatus {
		t.Errorf("the second request gets %q", status)
	}
}

// The last answer on a connection reaches a client that has sent more behind its request and reads slowly.
// Guards against a close over unread bytes, which would drop what has not been delivered.
func TestAnswerDeliveredBeforeClose(t *testing.T) {
	body := bytes.Repeat([]byte("txn "), 16<<10)
	var served atomic.Int64
	proceed := make(chan bool)
	f := newTestFrontend(t, 9, func(*Request) FinalAnswer {
		served.Add(1)
		<-proceed
		return FinalAnswer{Kind: policy.Submit, Answer: &Answer{Outcome: policy.Succeeded, Body: body,
			Length: len(body)}}
	})
	client, conn := f.connect(nil, true)
	fmt.Fprint(client, requestText("1"))
	waitFor(t, "it is not served", func() bool { return conn.state.Load() == stateServing })
	fmt.Fprint(client, requestText("2"))
	waitFor(t, "no more comes", func() bool { n, _ := conn.Conn.(*directConn).peek(); return n > 0 })
	f.Close()
	close(proceed)
	raw, _ := conn.syscallConn()
	waitFor(t, "it does not end", func() bool {
		return conn.closing.Load() ||
			raw.Control(func(uintptr) {}) != nil
	})
	got, err := io.ReadAll(client)
	if _, b, _ := bytes.Cut(got, []byte("\r\n\r\n")); err != nil || !bytes.Equal(b, body) {
		t.Errorf("%d bytes came, %v", len(got), err)
	}
	_ = client.Close()
	if f.Wait(); served.Load() != 1 {
		t.Errorf("%d requests were served", served.Load())
	}
}

// A connection that has had its last answer is closed once its client closes it, and within
// LingerTimeoutMillis; its place
// is another's at once.
func TestGracefulClose(t *testing.T) {
	for _, tc := range []struct {
		name        string
		do          func(tc *net.TCPConn)
		limitMillis float64
	}{
		{"closed", func(tc *net.TCPConn) { tc.Close() }, policy.LingerTimeoutMillis / 2},
		{"more sent, and closed", func(tc *net.TCPConn) { fmt.Fprint(tc, "GET"); tc.Close() },
			policy.LingerTimeoutMillis / 2},
		{"reset", func(tc *net.TCPConn) { tc.SetLinger(0); tc.Close() }, policy.LingerTimeoutMillis / 2},
		{"kept", func(*net.TCPConn) {}, 2 * policy.LingerTimeoutMillis},
		{"more sent, and kept", func(tc *net.TCPConn) { fmt.Fprint(tc, "GET") }, 2 * policy.LingerTimeoutMillis},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFrontend(t, 1, func(*Request) FinalAnswer { return FinalAnswer{Kind: policy.Reject} })
			f.Close()
			client, _ := f.connect(nil, false)
			fmt.Fprint(client, requestText("1"))
			if status := readStatusLine(client); status != declinedStatus {
				t.Fatal(status)
			}
			start := time.Now()
			tc.do(client)
			f.Wait()
			if took := time.Since(start); took > Millis(tc.limitMillis) || len(f.listener.open) > 0 {
				t.Errorf("gone after %v, %d open", took, len(f.listener.open))
			}
		})
	}
	t.Run("its place is wanted", func(t *testing.T) {
		f := newTestFrontend(t, 1, func(*Request) FinalAnswer { return FinalAnswer{Kind: policy.Reject} })
		f.Close()
		client, conn := f.connect(nil, false)
		fmt.Fprint(client, requestText("1"))
		readStatusLine(client)
		waitFor(t, "it does not end", func() bool { return conn.closing.Load() })
		start := time.Now()
		f.connect(nil, false)
		if took := time.Since(start); took > Millis(policy.LingerTimeoutMillis/2) || f.listener.Evicted() > 0 {
			t.Errorf("the next had a place after %v, %d were evicted", took, f.listener.Evicted())
		}
	})
}

// Gone tells that a client has closed its connection without a read, also behind unread bytes, and whichever
// error the end brought.
func TestClientGone(t *testing.T) {
	listener, address := listen(t)
	for _, c := range []struct {
		name string
		do   func(c *net.TCPConn)
		gone bool
	}{
		{"rests", func(*net.TCPConn) {}, false},
		{"has sent more", func(c *net.TCPConn) { fmt.Fprint(c, "GET") }, false},
		{"closed", func(c *net.TCPConn) { c.Close() }, true},
		{"has sent more, and closed", func(c *net.TCPConn) { fmt.Fprint(c, "GET"); c.Close() }, true},
		{"ended its sending", func(c *net.TCPConn) { c.CloseWrite() }, true},
		{"has sent more, ended its sending", func(c *net.TCPConn) { fmt.Fprint(c, "GET"); c.CloseWrite() }, true},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
		{"has sent more, reset", func(c *net.TCPConn) { fmt.Fprint(c, "GET"); c.SetLinger(0); c.Close() }, true},
		{"closed, and reset", func(c *net.TCPConn) { c.CloseWrite(); c.SetLinger(0); c.Close() }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, err := net.Dial("tcp", address.String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer accepted.Close()
			direct := bypassScheduler(accepted).(*directConn)
			c.do(client.(*net.TCPConn))
			if c.gone {
				waitFor(t, "it is not seen", direct.Gone)
			}
			if strings.Contains(c.name, "more") && !strings.Contains(c.name, "reset") {
				waitFor(t, "what was sent is lost", func() bool { n, _ := direct.peek(); return n > 0 })
			}
			for range 3 { // the kernel gives an error once
				if direct.Gone() != c.gone {
					t.Errorf("gone %v, want %v", !c.gone, c.gone)
				}
			}
		})
	}
}

// exhaustedListener is a listener that lacks descriptors for some calls of Accept.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64 // calls that are still to fail
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Where clients have taken the last descriptors some connections are closed for good, and the limit falls
// with them. Guards against a listener that takes each descriptor that becomes free while the watch and the
// workers get none.
func TestOutOfDescriptors(t *testing.T) {
	const clients = 40
	f := newTestFrontend(t, 5*clients, func(*Request) FinalAnswer { return FinalAnswer{Kind: policy.Reject} })
	raw := &exhaustedListener{Listener: f.listener.Listener}
	f.listener.Listener = raw
	longAgo := time.Now().Add(-2 * Millis(policy.EvictIdleClientMillis)).UnixNano()
	var accepted []net.Conn
	for i := range clients {
		client, conn := f.connect(nil, false)
		fmt.Fprint(client, requestText(fmt.Sprint(i)))
		if s := readStatusLine(client); s != declinedStatus {
			t.Fatal(s)
		}
		waitFor(t, "it does not become idle", func() bool { return conn.state.Load() == stateIdle })
		conn.lastActivityNanos.Store(longAgo)
		accepted = append(accepted, client)
	}
	raw.failures.Store(1)
	f.connect(nil, false)
	f.listener.mu.Lock()
	open, limit := len(f.listener.open), f.listener.limit
	f.listener.mu.Unlock()
	if open > clients-policy.ReservedDescriptors || limit > clients-policy.ReservedDescriptors {
		t.Errorf("%d are open, of at most %d", open, limit)
	}
	if s := f.listener.Evicted(); s < policy.ReservedDescriptors || s > policy.ReservedDescriptors+1 {
		t.Errorf("%d were ended", s)
	}
	closed := 0
	for _, client := range accepted {
		_ = client.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := client.Read(make([]byte, 1)); !isTimeout(err) {
			closed++
		}
	}
	if int64(closed) != f.listener.Evicted() {
		t.Errorf("%d clients see an end", closed)
	}
}

// The ID of a request whose client has gone is free for the same request once it has been given up, unless
// something was sent for it.
func TestRequestIDAfterClientGone(t *testing.T) {
	for _, c := range []struct {
		name   string
		leaves bool
		sent   bool
		want   string
	}{
		{"it still waits", false, false, conflictStatus},
		{"it has gone, and nothing was sent", true, false, declinedStatus},
		{"it has gone, and something was sent", true, true, conflictStatus},
	} {
		t.Run(c.name, func(t *testing.T) {
			proceed := make(chan bool)
			var first, served atomic.Int64
			var gone atomic.Bool
			f := newTestFrontend(t, 9, func(request *Request) FinalAnswer {
				served.Add(1)
				if first.Add(1) > 1 {
					return FinalAnswer{Kind: policy.Reject}
				}
				for c.leaves && !request.Gone() {
					time.Sleep(time.Millisecond)
				}
				gone.Store(c.leaves)
				<-proceed
				request.MaybeSent = c.sent
				return FinalAnswer{Kind: policy.RejectUncertain}
			})
			a, firstConn := f.connect(nil, false)
			fmt.Fprint(a, requestText("1"))
			waitFor(t, "it is not served", func() bool { return firstConn.state.Load() == stateServing })
			if c.leaves {
				_ = a.Close()
			}
			waitFor(t, "it is not seen", func() bool { return gone.Load() == c.leaves })
			b, secondConn := f.connect(nil, false)
			fmt.Fprint(b, requestText("1"))
			waitFor(t, "it is not read", func() bool { return secondConn.state.Load() == stateServing })
			if c.leaves {
				if served.Load() > 1 {
					t.Error("two requests of one ID are in flight")
				}
				close(proceed)
			} else {
				defer close(proceed)
			}
			if status := readStatusLine(b); status != c.want {
				t.Errorf("the second gets %q", status)
			}
		})
	}
}

// writeHook is a connection whose writes return only after a signal.
type writeHook struct {
	*directConn
	wrote   chan<- struct{}
	proceed <-chan struct{}
}

func (h writeHook) Write(b []byte) (int, error) {
	n, err := h.directConn.Write(b)
	h.wrote <- struct{}{}
	<-h.proceed
	return n, err
}

// A client that has its final answer may reuse the ID at once on another connection, however late the
// goroutine of the first goes on. Guards against a 409 for a request that has ended.
func TestRequestIDAfterAnswer(t *testing.T) {
	for _, tc := range []struct {
		name  string
		final FinalAnswer
		want  string
	}{
		{"declined", FinalAnswer{Kind: policy.Reject}, declinedStatus},
		{"voided", FinalAnswer{Kind: policy.RejectUncertain}, internalErrorStatus},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFrontend(t, 9, func(*Request) FinalAnswer { return tc.final })
			wrote, proceed := make(chan struct{}, 9), make(chan struct{})
			defer close(proceed)
			a, _ := f.connect(func(direct *directConn) net.Conn { return writeHook{direct, wrote, proceed} }, false)
			fmt.Fprint(a, requestText("1"))
			if status := readStatusLine(a); status != tc.want {
				t.Fatalf("the first gets %q", status)
			}
			<-wrote // and its goroutine stands there
			b, _ := f.connect(nil, false)
			fmt.Fprint(b, requestText("1"))
			if status := readStatusLine(b); status != tc.want {
				t.Errorf("the second gets %q", status)
			}
		})
	}
}

// Small writes go out at once, on connections that were accepted here, from an inherited listener and from
// another process. Guards against an answer that the kernel delays and that is lost by a reset.
func TestNoDelay(t *testing.T) {
	listener, _ := listen(t)
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	inherited, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	defer inherited.Close()
	f := newTestFrontend(t, 9, nil)
	accept := func(at net.Listener) net.Conn {
		theirs, err := net.Dial("tcp", at.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { theirs.Close() })
		ours, err := at.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ours.Close() })
		return ours
	}
	handed := accept(listener)
	_ = handed.(*net.TCPConn).SetNoDelay(false)
	duplicate, err := handed.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer duplicate.Close()
	adopted, err := net.FileConn(duplicate)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]net.Conn{"taken": accept(listener), "inherited": accept(inherited),
		"adopted": adopted} {
		conn := f.listener.admit(c)
		raw, err := conn.syscallConn()
		if err != nil {
			t.Fatal(err)
		}
		noDelay := 0
		_ = raw.Control(func(fd uintptr) {
			noDelay, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		})
		if noDelay == 0 || err != nil {
			t.Errorf("%s: %d, %v", name, noDelay, err)
		}
		_ = conn.Close()
	}
}

// After HurryReads a request that is being read may pause for a moment only; AbandonRequests gives up the
// requests in flight.
func TestHurryReads(t *testing.T) {
	f := newTestFrontend(t, 9, func(request *Request) FinalAnswer {
		for !request.Gone() {
			time.Sleep(time.Millisecond)
		}
		return FinalAnswer{Kind: policy.RejectUncertain}
	})
	partial, partialConn := f.connect(nil, false)
	fmt.Fprint(partial, requestText("1")[:40])
	waitFor(t, "it is not read", func() bool { return partialConn.state.Load() == stateReadingFirst })
	complete, completeConn := f.connect(nil, false)
	fmt.Fprint(complete, requestText("2"))
	waitFor(t, "it is not served", func() bool { return completeConn.state.Load() == stateServing })
	start := time.Now()
	f.listener.HurryReads()
	if status := readStatusLine(partial); status != timeoutStatus ||
		time.Since(start) > Millis(policy.LingerTimeoutMillis) {
		t.Errorf("a partial request gets %q after %v", status, time.Since(start))
	}
	next, _ := f.connect(nil, false)
	fmt.Fprint(next, requestText("3")[:40])
	if status := readStatusLine(next); status != timeoutStatus ||
		time.Since(start) > 2*Millis(policy.LingerTimeoutMillis) {
		t.Errorf("a partial request after it gets %q after %v", status, time.Since(start))
	}
	if completeConn.state.Load() != stateServing {
		t.Error("the request in flight was given up with it")
	}
	f.listener.AbandonRequests()
	if status := readStatusLine(complete); status != internalErrorStatus {
		t.Errorf("the request in flight gets %q", status)
	}
}

// A connection that is being handed over is not ended here meanwhile. Guards against a successor that reads
// and forwards what comes behind an end.
func TestHandOverIsNotClosed(t *testing.T) {
	f := newTestFrontend(t, 9, func(*Request) FinalAnswer { return FinalAnswer{Kind: policy.Reject} })
	client, conn := f.connect(nil, false)
	fmt.Fprint(client, requestText("1"))
	if status := readStatusLine(client); status != declinedStatus {
		t.Fatal(status)
	}
	waitFor(t, "it does not become idle", func() bool { return conn.state.Load() == stateIdle })
	successorFD := -1
	f.HandOver(f.listener, func(raw syscall.RawConn, _ bool, _ []byte) bool {
		conn.lastActivityNanos.Store(time.Now().Add(-time.Second).UnixNano())
		f.listener.closeIdle(time.Millisecond)
		return raw.Control(func(fd uintptr) { successorFD, _ = syscall.Dup(int(fd)) }) == nil
	})
	f.Wait()
	if successorFD < 0 {
		t.Fatal("it is not handed over")
	}
	defer syscall.Close(successorFD)
	_ = client.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := client.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("its client meets %d bytes, %v", n, err)
	}
}

// An answer that is written before the rest of a body, which is not waited for, reaches a client that sends
// all of the body first. Guards against a close over bytes on their way.
func TestAnswerBeforeRestOfBody(t *testing.T) {
	const size = 800 << 10
	f := newTestFrontend(t, 9, func(request *Request) FinalAnswer {
		request.Upload.StopAndWait()
		return FinalAnswer{Kind: policy.Reject}
	})
	f.listener.HurryReads()
	client, conn := f.connect(nil, false)
	fmt.Fprint(client, strings.Replace(strings.Replace(requestText("1"), "GET /check", "POST /issue", 1),
		"\r\n\r\n",
		fmt.Sprintf("\r\nContent-Length: %d\r\n\r\nx", size), 1))
	waitFor(t, "it is waited for", conn.closing.Load)
	_ = client.SetWriteBuffer(4096) // the body is not sent before it is read
	if _, err := client.Write(make([]byte, size-1)); err != nil {
		t.Error(err)
	}
	if status := readStatusLine(client); status != declinedStatus {
		t.Errorf("it gets %q", status)
	}
	if _, err := client.Read(make([]byte, 1)); !isBareEOF(err) {
		t.Errorf("behind its answer: %v", err)
	}
}

// A request's wait for a place, also behind other connections in the backlog, is taken off its deadline.
// Guards against a deadline that begins with the place: the answer came late by the wait, and workers were
// told of more time than remained.
func TestQueueingReducesDeadline(t *testing.T) {
	const step, deadline = 300 * time.Millisecond, 900 * time.Millisecond
	const tolerance = 20 * time.Millisecond // of the kernel's clock
	remaining := make(chan time.Duration, 3)
	next := make(chan struct{})
	f := newTestFrontend(t, 1, func(request *Request) FinalAnswer {
		remaining <- Millis(request.TimeLeftMillis)
		<-next
		return FinalAnswer{Kind: policy.Reject}
	})
	go f.Serve(f.listener)
	var sent [3][2]time.Time // about when each was written
	for i := range sent {
		client, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		sent[i][0] = time.Now()
		if _, err := io.WriteString(client, requestText(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
		sent[i][1] = time.Now()
		go func() {
			defer client.Close()
			_, _ = io.Copy(io.Discard, client)
		}()
		if i == 0 { // it has the one place before the others come
			if left := <-remaining; left != deadline {
				t.Errorf("the first has %v left", left)
			}
		}
	}
	for i := 1; i < len(sent); i++ {
		time.Sleep(step)
		before := time.Now()
		next <- struct{}{}
		left := <-remaining
		shortest, longest := deadline-time.Since(sent[i][0])-tolerance, deadline-before.Sub(sent[i][1])+tolerance
		if left < shortest || left > longest {
			t.Errorf("request %d has %v left, and not from %v to %v", i, left, shortest, longest)
		}
	}
	next <- struct{}{}
	f.listener.Close()
	f.Wait()
}

// So is a request's wait in the buffer behind the request before it.
func TestPipeliningReducesDeadline(t *testing.T) {
	const step, deadline = 200 * time.Millisecond, 900 * time.Millisecond
	remaining, next := make(chan time.Duration, 3), make(chan struct{})
	f := newTestFrontend(t, 9, func(request *Request) FinalAnswer {
		remaining <- Millis(request.TimeLeftMillis)
		<-next
		return FinalAnswer{Kind: policy.Reject}
	})
	client, _ := f.connect(nil, false)
	written := time.Now()
	fmt.Fprint(client, requestText("1")+requestText("2")+requestText("3"))
	readBy := time.Time{}
	for i := range 3 {
		turn := time.Now()
		if i > 0 {
			time.Sleep(step)
			turn = time.Now()
			next <- struct{}{}
		}
		left := <-remaining
		if readBy.IsZero() {
			readBy = time.Now() // it has been read by then
		}
		if shortest, longest := deadline-time.Since(written), deadline-max(turn.Sub(readBy),
			0); left < shortest || left > longest {
			t.Errorf("request %d has %v left, and not from %v to %v", i, left, shortest, longest)
		}
	}
	next <- struct{}{}
	for range 3 {
		if status := readStatusLine(client); status != declinedStatus {
			t.Error(status)
		}
	}
}
