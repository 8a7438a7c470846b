package proxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
)

const (
	requestBytes = "GET / HTTP/1.1\r\n\r\n"
	answerBytes  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// onSend is called right before the first byte of each attempt is sent.
type onSend func()

// Write calls it.
func (h onSend) Write(e history.Event) {
	if e.Kind == history.Sends && h != nil {
		h()
	}
}

// workerRig is a proxy before one worker on loopback, whose side a test plays.
type workerRig struct {
	*testing.T
	proxy      *Proxy
	listener   net.Listener
	endpoints  endpoints.List
	beforeSend onSend
}

// newWorkerRig makes a rig with a time-out for connecting and a limit of connections.
func newWorkerRig(t *testing.T, connectTimeout time.Duration, maxConnections int) *workerRig {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	rig := &workerRig{T: t, listener: listener}
	rig.connectTo(listener.Addr().(*net.TCPAddr).AddrPort(), connectTimeout, maxConnections)
	return rig
}

// connectTo makes the rig's proxy, with one worker at an address.
func (rig *workerRig) connectTo(address netip.AddrPort, connectTimeout time.Duration, maxConnections int) {
	links := transport.NewWorkerPool(maxConnections, 5*time.Second, connectTimeout)
	charter := testCharter() // without a rate limit, as that counts as used up at a start
	charter.Plans[0] = policy.Plan{QuotaPerSecond: 1000, QuotaBurst: 1000, ValueFactor: 1}
	dispatcher := NewDispatcher(charter, 1, 5, func(int, []byte) {}, links.CloseIdle)
	rig.Cleanup(dispatcher.Stop)
	dispatcher.RecordHistory(onSend(func() {
		if rig.beforeSend != nil {
			rig.beforeSend()
		}
	}))
	only := endpoints.Worker{Name: "w", Address: address, Active: true}
	rig.endpoints = endpoints.List{Snapshot: true, Workers: []endpoints.Worker{only}}
	dispatcher.ApplyEndpoints(rig.endpoints)
	rig.proxy = New(dispatcher, links)
}

// admitAttempt admits a request, and gives its first attempt.
func (rig *workerRig) admitAttempt() delivery {
	rig.Helper()
	arrival := policy.Request{Customer: 7, Units: 1, SetSize: 1, TimeLeftMillis: 5000}
	request := rig.proxy.dispatcher.admit(&transport.Request{Request: arrival})
	command := <-request.Commands
	if command.Decision.Kind != policy.Submit {
		rig.Fatalf("decided %+v", command.Decision)
	}
	return delivery{request: request, command: command, message: []byte(requestBytes)}
}

// exchangeEnd is how an exchange ended.
type exchangeEnd struct {
	outcome policy.Outcome
	body    string
}

// startExchange carries an attempt out, and gives its end.
func (rig *workerRig) startExchange(attempt delivery) <-chan exchangeEnd {
	ended := make(chan exchangeEnd, 1)
	go func() {
		answer, link, _ := rig.proxy.exchange(attempt, time.Now().Add(5*time.Second))
		if link != nil {
			rig.Error("an answer that is not complete")
		}
		ended <- exchangeEnd{answer.Outcome, string(answer.Body)}
	}()
	return ended
}

// accept gives the worker's side of the next connection.
func (rig *workerRig) accept() *net.TCPConn {
	rig.Helper()
	_ = rig.listener.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	conn, err := rig.listener.Accept()
	if err != nil {
		rig.Fatal(err)
	}
	rig.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn.(*net.TCPConn)
}

// readRequest reads one attempt's request.
func (rig *workerRig) readRequest(conn net.Conn) {
	rig.Helper()
	if _, err := io.ReadFull(conn, make([]byte, len(requestBytes))); err != nil {
		rig.Error(err)
	}
}

// idleConnection has one attempt answered, and gives its connection, which is idle then.
func (rig *workerRig) idleConnection() *net.TCPConn {
	rig.Helper()
	ended := rig.startExchange(rig.admitAttempt())
	conn := rig.accept()
	rig.readRequest(conn)
	conn.Write([]byte(answerBytes))
	if end := <-ended; end.outcome != policy.Succeeded || rig.proxy.links.OpenConns() != 1 {
		rig.Fatalf("the first attempt ended %+v", end)
	}
	return conn
}

// awaitArrival waits until the proxy's host has what a worker wrote, or the connection's end.
func awaitArrival(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	const finWait2, closed = 5, 7
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	end, done := time.Now().Add(5*time.Second), false
	for ; !done && time.Now().Before(end); runtime.Gosched() {
		_ = raw.Control(func(fd uintptr) {
			n, _ := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			done = err != nil || i.State == finWait2 || i.State == closed || i.State == 1 && n == 0
		})
	}
}

// A worker closes or writes to an idle connection between its check and the first byte: nothing is written
// then, and the attempt never ran. Guards against non-idempotent requests lost on a connection that has
// ended, and against bytes that would be read as the next answer.
func TestIdleConnectionEndsBeforeFirstByte(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*net.TCPConn)
	}{
		{"closed", func(c *net.TCPConn) { c.CloseWrite() }},
		{"half a status line", func(c *net.TCPConn) { c.Write([]byte("HTTP/1.1 2")) }},
		{"a second answer", func(c *net.TCPConn) { c.Write([]byte(answerBytes)) }},
		{"a second answer, then closed", func(c *net.TCPConn) {
			c.Write([]byte(answerBytes))
			c.CloseWrite()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rig := newWorkerRig(t, time.Second, 4)
			conn := rig.idleConnection()
			rig.beforeSend = func() {
				c.do(conn)
				awaitArrival(t, conn)
			}
			end := <-rig.startExchange(rig.admitAttempt())
			rig.beforeSend = nil
			if n, _ := io.Copy(io.Discard, conn); end.outcome != policy.NotSent || n != 0 {
				t.Errorf("ended %+v with %d bytes written", end, n)
			}
			if n := rig.proxy.links.OpenConns(); n != 0 {
				t.Errorf("%d connections are open", n)
			}
			ended := rig.startExchange(rig.admitAttempt())
			conn = rig.accept()
			rig.readRequest(conn)
			conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nmy"))
			if end := <-ended; end.outcome != policy.Succeeded || end.body != "my" {
				t.Errorf("the next attempt ended %+v", end)
			}
		})
	}
}

// A worker that closes a new connection counts as unreachable: the exemption for idle connections does not
// apply.
func TestNewConnectionEndsBeforeFirstByte(t *testing.T) {
	rig := newWorkerRig(t, time.Second, 4)
	rig.beforeSend = func() {
		conn := rig.accept()
		conn.CloseWrite()
		awaitArrival(t, conn)
	}
	end := <-rig.startExchange(rig.admitAttempt())
	if end.outcome != policy.ConnectFailed || rig.proxy.links.OpenConns() != 0 {
		t.Errorf("ended %+v, %d connections", end, rig.proxy.links.OpenConns())
	}
}

// A change between the decision and the first byte keeps an attempt from being sent, on an idle connection
// and on a new one: the worker drains, is removed, has moved or restarted with empty caches; the attempt
// was cancelled, or cancelled unsent by its request's final answer.
func TestChangesAfterDecisionPreventSend(t *testing.T) {
	listed := func(change func(*endpoints.Worker)) func(*workerRig, *delivery) {
		return func(rig *workerRig, _ *delivery) {
			w := rig.endpoints.Workers[0]
			change(&w)
			rig.proxy.dispatcher.ApplyEndpoints(endpoints.List{Workers: []endpoints.Worker{w}})
		}
	}
	for _, c := range []struct {
		name string
		do   func(*workerRig, *delivery)
	}{
		{"drains", listed(func(w *endpoints.Worker) { w.Active = false })},
		{"removed", listed(func(w *endpoints.Worker) { w.Active, w.Removed = false, true })},
		{"left out of a full list while it still answers", func(rig *workerRig, _ *delivery) {
			other := endpoints.Worker{Name: "v", Address: rig.endpoints.Workers[0].Address, Active: true}
			rig.proxy.dispatcher.ApplyEndpoints(endpoints.List{Snapshot: true, Workers: []endpoints.Worker{other}})
		}},
		{"restarted", listed(func(w *endpoints.Worker) { w.StartedMillis = 9 })},
		{"moved", listed(func(w *endpoints.Worker) { w.Address = netip.MustParseAddrPort("127.0.0.1:1") })},
		{"cancelled", func(_ *workerRig, attempt *delivery) { attempt.command.Attempt.Cancel() }},
		{"cancelled unsent", func(_ *workerRig, attempt *delivery) { attempt.command.Attempt.CancelUnsent() }},
	} {
		for _, idle := range []string{", idle", ", new"} {
			t.Run(c.name+idle, func(t *testing.T) {
				rig := newWorkerRig(t, time.Second, 4)
				var w *net.TCPConn
				if idle == ", idle" {
					w = rig.idleConnection()
				}
				attempt := rig.admitAttempt()
				c.do(rig, &attempt)
				if end := <-rig.startExchange(attempt); end.outcome != policy.NotSent {
					t.Errorf("ended %+v", end)
				}
				if w == nil {
					w = rig.accept()
				}
				if n, err := io.Copy(io.Discard, w); n != 0 || err != nil || rig.proxy.links.OpenConns() != 0 {
					t.Errorf("%d bytes were written, %v; %d connections are open", n, err, rig.proxy.links.OpenConns())
				}
			})
		}
	}
}

// A cancellation that crosses an answer: whichever of the two comes first counts, once, and the other changes
// nothing. The connection is not reused unless the answer had been read completely before.
func TestCancellationCrossesAnswer(t *testing.T) {
	t.Run("before", func(t *testing.T) {
		rig := newWorkerRig(t, time.Second, 4)
		attempt := rig.admitAttempt()
		ended := rig.startExchange(attempt)
		conn := rig.accept()
		rig.readRequest(conn)
		attempt.command.Attempt.Cancel()
		if end := <-ended; end.outcome != policy.Cancelled || rig.proxy.links.OpenConns() != 0 {
			t.Errorf("ended %+v, %d connections", end, rig.proxy.links.OpenConns())
		}
		conn.Write([]byte(answerBytes))
		ended = rig.startExchange(rig.admitAttempt())
		conn = rig.accept()
		rig.readRequest(conn)
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nmy"))
		if end := <-ended; end.outcome != policy.Succeeded || end.body != "my" {
			t.Errorf("the next attempt ended %+v", end)
		}
	})
	t.Run("at once", func(t *testing.T) { // the kernel has both before the reader sees either
		rig := newWorkerRig(t, time.Second, 4)
		attempt := rig.admitAttempt()
		ended := rig.startExchange(attempt)
		conn := rig.accept()
		rig.readRequest(conn)
		attempt.command.Attempt.Cancel()
		conn.Write([]byte(answerBytes))
		if end := <-ended; end.outcome != policy.Cancelled && end.body != "ok" || rig.proxy.links.OpenConns() != 0 {
			t.Errorf("ended %+v, %d connections", end, rig.proxy.links.OpenConns())
		}
	})
	t.Run("after", func(t *testing.T) {
		rig := newWorkerRig(t, time.Second, 4)
		attempt := rig.admitAttempt()
		ended := rig.startExchange(attempt)
		conn := rig.accept()
		rig.readRequest(conn)
		conn.Write([]byte(answerBytes))
		end := <-ended
		attempt.command.Attempt.Cancel() // and does not touch a connection that another attempt may use by now
		if end.outcome != policy.Succeeded || rig.proxy.links.OpenConns() != 1 {
			t.Errorf("ended %+v, %d connections", end, rig.proxy.links.OpenConns())
		}
		ended = rig.startExchange(rig.admitAttempt())
		rig.readRequest(conn)
		conn.Write([]byte(answerBytes))
		if end := <-ended; end.outcome != policy.Succeeded {
			t.Errorf("the next attempt ended %+v", end)
		}
	})
}

// unreachableListener listens on loopback, and accepts no connection until acceptAll is called.
func unreachableListener(t *testing.T) (address netip.AddrPort, acceptAll func() []int) {
	t.Helper()
	address, fill, acceptAll := singleSlotListener(t)
	fill()
	return address, acceptAll
}

// singleSlotListener listens on loopback with a backlog of one; after fill no connection comes up until
// acceptAll is called.
func singleSlotListener(t *testing.T) (address netip.AddrPort, fill func(), acceptAll func() []int) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = unix.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*unix.SockaddrInet4).Port))
	fill = func() {
		for range 9 { // until a connection does not come up
			conn, err := net.DialTimeout("tcp", address.String(), 50*time.Millisecond)
			if err != nil {
				break
			}
			t.Cleanup(func() { conn.Close() })
		}
	}
	return address, fill, func() (all []int) {
		_ = unix.SetNonblock(fd, true)
		for {
			conn, _, err := unix.Accept(fd)
			if err != nil {
				return all
			}
			all = append(all, conn)
			t.Cleanup(func() { unix.Close(conn) })
		}
	}
}

// A connection that does not come up times out at the limit, or at the request's end if that is sooner, and
// does not count as open any more.
func TestConnectTimeout(t *testing.T) {
	const limit = 150 * time.Millisecond
	address, _ := unreachableListener(t)
	for _, c := range []struct {
		name    string
		until   time.Duration
		outcome policy.Outcome
	}{{"limit", 5 * time.Second, policy.ConnectFailed}, {"expiry", limit / 3, policy.NotSent}} {
		t.Run(c.name, func(t *testing.T) {
			rig := &workerRig{T: t}
			rig.connectTo(address, limit, 4)
			start := time.Now()
			answer, link, _ := rig.proxy.exchange(rig.admitAttempt(), start.Add(c.until))
			took, due := time.Since(start), min(limit, c.until)
			if link != nil || answer.Outcome != c.outcome || took < due || took > due+time.Second {
				t.Errorf("ended %+v after %v, due at %v", answer, took, due)
			}
			if n := rig.proxy.links.OpenConns(); n != 0 {
				t.Errorf("%d connections are open", n)
			}
		})
	}
}

// A connection that comes up after its attempt was cancelled, a second later, is closed with nothing
// written. The delay is forced: its first SYN meets a full backlog, which is emptied before the next.
func TestConnectionAfterCancellation(t *testing.T) {
	address, acceptAll := unreachableListener(t)
	rig := &workerRig{T: t}
	rig.connectTo(address, 4*time.Second, 4)
	attempt := rig.admitAttempt()
	start, ended := time.Now(), rig.startExchange(attempt)
	for rig.proxy.links.OpenConns() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // its first SYN has been sent, and dropped
	attempt.command.Attempt.CancelUnsent()
	before := len(acceptAll())
	end := <-ended
	if took := time.Since(start); end.outcome != policy.NotSent || took < 500*time.Millisecond {
		t.Errorf("ended %+v after %v", end, took)
	}
	late := acceptAll()
	if len(late) != 1 || before == 0 || rig.proxy.links.OpenConns() != 0 {
		t.Fatalf("%d came up late, %d connections are open", len(late), rig.proxy.links.OpenConns())
	}
	_ = unix.SetNonblock(late[0], false)
	if n, err := unix.Read(late[0], make([]byte, 1)); n != 0 || err != nil {
		t.Errorf("%d bytes were written, %v", n, err)
	}
}

// At the limit of connections an attempt counts as not sent, and its worker is not blamed.
// TestDialWithoutDescriptor has the same of file descriptors.
func TestConnectionLimit(t *testing.T) {
	rig := newWorkerRig(t, time.Second, 1)
	ended := rig.startExchange(rig.admitAttempt())
	conn := rig.accept()
	rig.readRequest(conn)
	if end := <-rig.startExchange(rig.admitAttempt()); end.outcome != policy.NotSent {
		t.Errorf("at the limit it ended %+v", end)
	}
	conn.Write([]byte(answerBytes))
	if end := <-ended; end.outcome != policy.Succeeded || rig.proxy.links.OpenConns() != 1 {
		t.Errorf("the other ended %+v, %d connections", end, rig.proxy.links.OpenConns())
	}
}

// An attempt whose lease has expired is revoked, also on a connection that has ended meanwhile.
func TestExpiredLeaseOnClosedIdleConnection(t *testing.T) {
	rig := newWorkerRig(t, time.Second, 4)
	conn := rig.idleConnection()
	attempt := rig.admitAttempt()
	attempt.command.Lease = inflight.NewLease(1, history.Leased, 0)
	answer, link, _ := rig.proxy.exchange(attempt, time.Now().Add(time.Second))
	n, err := io.Copy(io.Discard, conn)
	if answer != nil || link != nil || n != 0 || rig.proxy.links.OpenConns() != 0 {
		t.Errorf("ended %+v, %d bytes, %v", answer, n, errors.Join(err))
	}
}
