package lifecycle

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/inflight"
)

// scriptedWorker is a worker that does on each connection what a test says, step by step.
type scriptedWorker struct {
	net.Listener
	t              *testing.T
	submissions    atomic.Int64     // complete submissions
	runningScripts atomic.Int64     // scripts in progress
	unscripted     chan *workerConn // connections without a script
}

// workerConn is one connection to a scriptedWorker.
type workerConn struct {
	*net.TCPConn
	worker *scriptedWorker
	reader *bufio.Reader
}

// startScriptedWorker starts a worker that runs a script on each connection, or passes the connections to
// accept where script is nil.
func startScriptedWorker(t *testing.T, script func(*workerConn)) *scriptedWorker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &scriptedWorker{Listener: l, t: t, unscripted: make(chan *workerConn, 99)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			x := &workerConn{TCPConn: c.(*net.TCPConn), worker: b, reader: bufio.NewReader(c)}
			x.SetDeadline(time.Now().Add(20 * time.Second))
			if script == nil {
				b.unscripted <- x
				continue
			}
			b.runningScripts.Add(1)
			go func() {
				defer b.runningScripts.Add(-1)
				defer x.Close()
				script(x)
			}()
		}
	}()
	return b
}

// accept gives the next connection.
func (b *scriptedWorker) accept() *workerConn {
	b.t.Helper()
	select {
	case x := <-b.unscripted:
		return x
	case <-time.After(5 * time.Second):
		b.t.Fatal("no connection comes")
		return nil
	}
}

// readSubmission reads one complete submission, and reports whether one came.
func (x *workerConn) readSubmission() bool {
	req, err := http.ReadRequest(x.reader)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	if err == nil {
		x.worker.submissions.Add(1)
	}
	return err == nil
}

// The states of a socket whose end the other side has taken, and of one that is no more.
const tcpFinWait2, tcpClose = 5, 7

// respond writes a text, and returns once the gateway's kernel has all of it or the connection is closed.
func (x *workerConn) respond(b string) {
	if _, err := x.Write([]byte(b)); err == nil {
		x.awaitSocket(func(fd int, state uint8) bool {
			n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
			return err != nil || n == 0 || state == tcpClose
		})
	}
}

// finish closes the sending side, and returns once the gateway's kernel has noticed.
func (x *workerConn) finish() {
	_ = x.CloseWrite()
	x.awaitSocket(func(_ int, state uint8) bool { return state == tcpFinWait2 || state == tcpClose })
}

// awaitSocket polls the socket's state until look returns true.
func (x *workerConn) awaitSocket(look func(fd int, state uint8) bool) {
	raw, err := x.SyscallConn()
	if err != nil {
		x.worker.t.Error(err)
		return
	}
	done := false
	for end := time.Now().Add(5 * time.Second); !done && time.Now().Before(end); runtime.Gosched() {
		_ = raw.Control(func(fd uintptr) {
			i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			done = err != nil || look(int(fd), i.State)
		})
	}
}

// reset resets the connection.
func (x *workerConn) reset() {
	_ = x.SetLinger(0)
	_ = x.Close()
}

// awaitClose waits until the gateway closes the connection.
func (x *workerConn) awaitClose() { _, _ = io.Copy(io.Discard, x.reader) }

// deployBefore deploys a gateway before one scripted worker.
func deployBefore(t *testing.T, b *scriptedWorker, swaps ...string) *deployment {
	t.Helper()
	at := netip.MustParseAddrPort(b.Addr().String())
	return deployWith(t, func(c *config.Gateway) {
		c.KnownEndpoints.Workers[0].Address = at
		c.Connections.ConnectTimeoutMillis = 5000 // a slow machine must not count as a connect time-out
		// The workers run in this process, and must take none of the gateway's processor time.
		c.Cores = 4
	}, 1, 5000, swaps...)
}

// withLongDeadline gives a request a deadline of 5 s.
func withLongDeadline(raw string) string { return strings.Replace(raw, "300m", "5000m", 1) }

// checkInvariants checks that none was violated, but for responses in time: that depends on the machine too,
// and the tests that are about it look at the clock.
func checkInvariants(t *testing.T) {
	t.Helper()
	n := inflight.Violations()
	delete(n, "in_time")
	if len(n) > 0 {
		t.Errorf("invariants violated: %v", n)
	}
}

// clientReply is a client's response.
type clientReply struct {
	status   int // 0 for no response
	body     []byte
	complete bool
	elapsed  time.Duration
}

// sendAsync sends a request on a connection of its own, and delivers the response once that is complete.
func (d *deployment) sendAsync(raw string) <-chan clientReply {
	got := make(chan clientReply, 1)
	go func() {
		defer close(got)
		c, err := net.Dial("tcp", d.address)
		if err != nil {
			return
		}
		defer c.Close()
		start := time.Now()
		c.SetDeadline(start.Add(10 * time.Second))
		fmt.Fprint(c, raw)
		var a clientReply
		r := bufio.NewReader(c)
		if res, err := http.ReadResponse(r, nil); err == nil {
			a.status = res.StatusCode
			a.body, err = io.ReadAll(res.Body)
			a.complete = err == nil
		}
		a.elapsed = time.Since(start)
		got <- a
	}()
	return got
}

// awaitWorkerConns waits until that many connections to workers are open.
func (d *deployment) awaitWorkerConns(want int) {
	d.t.Helper()
	end := time.Now().Add(5 * time.Second)
	for d.gateway.workerConns.OpenConns() != want && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	if n := d.gateway.workerConns.OpenConns(); n != want {
		d.t.Errorf("%d connections are open, want %d", n, want)
	}
}

const (
	validResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nvalid\n"
	otherResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nother\n"
	chunkedHead   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	notRunHead    = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n"
)

// respondThen scripts a response, and then an end of the connection.
func respondThen(text string, end func(*workerConn)) func(*workerConn) {
	return func(x *workerConn) {
		if x.readSubmission() {
			x.respond(text)
			end(x)
		}
	}
}

// respondAlways scripts a response to each submission, one after another.
func respondAlways(text string) func(*workerConn) {
	return func(x *workerConn) {
		for x.readSubmission() {
			x.respond(text)
		}
	}
}

func finishConn(x *workerConn) { x.finish() }
func resetConn(x *workerConn)  { x.reset() }

// writeForever scripts a text that is repeated until the gateway closes the connection.
func writeForever(piece string) func(*workerConn) {
	return func(x *workerConn) {
		for {
			if _, err := io.WriteString(x, piece); err != nil {
				return
			}
		}
	}
}
