package transport

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// door is a front on loopback whose connections are the test's to spoil, with a module that serve stands for.
type door struct {
	*Front
	t  *testing.T
	l  *Limited
	at string
}

func openDoor(t *testing.T, most int, serve func(*Txn) Final) *door {
	t.Helper()
	raw, at := sink(t)
	names := config.Names{Products: map[string]int{"check": 0, "issue": 1}, Plans: map[string]int{"basic": 0}}
	charter := policy.Settings{GatewayCount: 1, MaxRequestUnits: 1,
		Products: []policy.Product{{Idempotency: policy.Idempotent}, {Idempotency: policy.NonIdempotent}}}
	f := NewFront(names, charter, serve, func() bool { return true })
	return &door{Front: f, t: t, l: Limit(raw, most), at: at.String()}
}

// meet has a client come, and gives both sides. spoil may put another connection in the place of the
// gatekeeper's, and take is told of the client's before it connects.
func (d *door) meet(spoil func(*quick) net.Conn, small bool) (*net.TCPConn, *placed) {
	d.t.Helper()
	dial := net.Dialer{}
	if small {
		dial.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			})
		}
	}
	c, err := dial.Dial("tcp", d.at)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	p, err := d.l.next()
	if err != nil {
		d.t.Fatal(err)
	}
	if spoil != nil {
		p.Conn = spoil(p.Conn.(*quick))
	}
	d.open.Add(1)
	go d.talk(p)
	return c.(*net.TCPConn), p
}

func ask(mark string) string {
	return "GET /check HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + mark + "\r\nPlan: basic\r\n" +
		"Cookie: key=00000000b4d65521\r\nX-Deadline: 900m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"
}

// status reads an answer, and gives its status line.
func status(c net.Conn) string {
	var got []byte
	for b := make([]byte, 1); !bytes.HasSuffix(got, []byte("\r\n\r\n")); got = append(got, b[0]) {
		if _, err := io.ReadFull(c, b); err != nil {
			return err.Error()
		}
	}
	line, _, _ := strings.Cut(string(got), "\r\n")
	return line
}

const settles, declines = "HTTP/1.1 200 OK", "HTTP/1.1 429 Too Many Requests"

func till(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 3000 {
		if f() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal(what)
}

// looked is a connection on which something happens between a look at it and what follows from that.
type looked struct {
	*quick
	then func()
}

func (l looked) Quiet() bool {
	quiet := l.quick.Quiet()
	l.then()
	return quiet
}

// timedOut is a connection whose next read ends by its time limit just as something has come.
type timedOut struct {
	*quick
	comes func() // or nil
}

func (l *timedOut) Read(b []byte) (int, error) {
	if f := l.comes; f != nil {
		l.comes = nil
		f()
		return 0, os.ErrDeadlineExceeded
	}
	return l.quick.Read(b)
}

// A txn that comes between the look at a resting connection and its end is not read, let alone sent on, and
// its client meets an end after which it can send the txn again, not a reset. Guards against a close over
// bytes that have come since the look.
func TestEndCrossed(t *testing.T) {
	var served atomic.Int64
	d := openDoor(t, 9, func(*Txn) Final {
		served.Add(1)
		return Final{Kind: policy.Reject}
	})
	var c net.Conn
	crosses := false
	c, p := d.meet(func(q *quick) net.Conn {
		return looked{q, func() {
			if !crosses {
				crosses = true
				fmt.Fprint(c, ask("2"))
				till(t, "it does not come", func() bool { n, _ := q.ahead(); return n > 0 })
			}
		}}
	}, false)
	fmt.Fprint(c, ask("1"))
	if s := status(c); s != declines {
		t.Fatal(s)
	}
	till(t, "it does not rest", func() bool { return p.state.Load() == idle })
	p.since.Store(time.Now().Add(-time.Second).UnixNano())
	d.l.endIdle(time.Millisecond)
	if !crosses || p.state.Load() != ended {
		t.Fatal("it was not ended as the txn came")
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("its client meets %d bytes, %v", n, err)
	}
	if q := p.Conn.(looked).quick; !p.over() {
		t.Error("it goes on")
	} else if n, _ := q.ahead(); n == 0 {
		t.Error("the txn was read")
	}
	from := time.Now()
	_ = c.Close()
	d.Wait()
	if took := time.Since(from); served.Load() != 1 || took > Millis(policy.LingerTimeoutMillis/2) {
		t.Errorf("%d txns were served; closed %v after its client", served.Load(), took)
	}
}

// Nothing is read from a connection that has been ended, though who reads from it has not heard of that.
func TestEndReadsNothing(t *testing.T) {
	d := openDoor(t, 9, nil)
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	p, err := d.l.next()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if !p.end(fresh) {
		t.Fatal("it does not end")
	}
	fmt.Fprint(c, ask("1"))
	till(t, "it does not come", func() bool { n, _ := p.Conn.(*quick).ahead(); return n > 0 })
	p.await(time.Now().Add(time.Second)) // as one who was about to read
	if n, err := p.Read(make([]byte, 9)); n > 0 || err == nil || late(err) {
		t.Errorf("%d bytes are read, %v", n, err)
	}
}

// A txn that comes just as a resting connection's time is out is served. Guards against a close over it.
func TestIdleEndCrossed(t *testing.T) {
	d := openDoor(t, 9, func(*Txn) Final { return Final{Kind: policy.Reject} })
	rested := false
	c, _ := d.meet(func(q *quick) net.Conn {
		l, read := &timedOut{quick: q}, q.in.call
		q.in.call = func(fd uintptr) bool { // the first txn is read: the next read is the resting one
			done := read(fd)
			if !rested && q.in.n > 0 {
				rested = true
				l.comes = func() {
					till(t, "it does not come", func() bool { n, _ := q.ahead(); return n > 0 })
				}
			}
			return done
		}
		return l
	}, false)
	fmt.Fprint(c, ask("1"))
	if s := status(c); s != declines {
		t.Fatal(s)
	}
	fmt.Fprint(c, ask("2"))
	if s := status(c); s != declines {
		t.Errorf("the second txn gets %q", s)
	}
}

// An answer that ends its connection reaches a client that has sent more behind its txn, and is slow to read.
// Guards against a close over unread bytes, which would take what has not been delivered with it.
func TestAnswerBeforeEnd(t *testing.T) {
	body := bytes.Repeat([]byte("txn "), 16<<10)
	var served atomic.Int64
	on := make(chan bool)
	d := openDoor(t, 9, func(*Txn) Final {
		served.Add(1)
		<-on
		return Final{Kind: policy.Submit, Answer: &Answer{Outcome: policy.Succeeded, Body: body, Length: len(body)}}
	})
	c, p := d.meet(nil, true)
	fmt.Fprint(c, ask("1"))
	till(t, "it is not taken", func() bool { return p.state.Load() == taken })
	fmt.Fprint(c, ask("2"))
	till(t, "no more comes", func() bool { n, _ := p.Conn.(*quick).ahead(); return n > 0 })
	d.Front.Close()
	close(on)
	raw, _ := p.raw()
	till(t, "it does not end", func() bool { return p.parts.Load() || raw.Control(func(uintptr) {}) != nil })
	got, err := io.ReadAll(c)
	if _, b, _ := bytes.Cut(got, []byte("\r\n\r\n")); err != nil || !bytes.Equal(b, body) {
		t.Errorf("%d bytes came, %v", len(got), err)
	}
	_ = c.Close()
	if d.Wait(); served.Load() != 1 {
		t.Errorf("%d txns were served", served.Load())
	}
}

// A connection that has had its last answer goes once its client does, and no later than Linger; its place is
// another's at once.
func TestPart(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(c *net.TCPConn)
		most float64
	}{
		{"closed", func(c *net.TCPConn) { c.Close() }, policy.LingerTimeoutMillis / 2},
		{"more sent, and closed", func(c *net.TCPConn) { fmt.Fprint(c, "GET"); c.Close() },
			policy.LingerTimeoutMillis / 2},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, policy.LingerTimeoutMillis / 2},
		{"kept", func(*net.TCPConn) {}, 2 * policy.LingerTimeoutMillis},
		{"more sent, and kept", func(c *net.TCPConn) { fmt.Fprint(c, "GET") }, 2 * policy.LingerTimeoutMillis},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := openDoor(t, 1, func(*Txn) Final { return Final{Kind: policy.Reject} })
			d.Front.Close()
			client, _ := d.meet(nil, false)
			fmt.Fprint(client, ask("1"))
			if s := status(client); s != declines {
				t.Fatal(s)
			}
			from := time.Now()
			c.do(client)
			d.Wait()
			if took := time.Since(from); took > Millis(c.most) || len(d.l.open) > 0 {
				t.Errorf("gone after %v, %d open", took, len(d.l.open))
			}
		})
	}
	t.Run("its place is wanted", func(t *testing.T) {
		d := openDoor(t, 1, func(*Txn) Final { return Final{Kind: policy.Reject} })
		d.Front.Close()
		client, p := d.meet(nil, false)
		fmt.Fprint(client, ask("1"))
		status(client)
		till(t, "it does not end", func() bool { return p.parts.Load() })
		from := time.Now()
		d.meet(nil, false)
		if took := time.Since(from); took > Millis(policy.LingerTimeoutMillis/2) || d.l.Shed() > 0 {
			t.Errorf("the next had a place after %v, %d were shed", took, d.l.Shed())
		}
	})
}

// What a client has done shows without a read, also behind bytes that lie unread, and whichever error its end
// brought.
func TestGone(t *testing.T) {
	l, at := sink(t)
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
			theirs, err := net.Dial("tcp", at.String())
			if err != nil {
				t.Fatal(err)
			}
			defer theirs.Close()
			ours, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer ours.Close()
			q := hasten(ours).(*quick)
			c.do(theirs.(*net.TCPConn))
			if c.gone {
				till(t, "it is not seen", q.Gone)
			}
			if strings.Contains(c.name, "more") && !strings.Contains(c.name, "reset") {
				till(t, "what was sent is lost", func() bool { n, _ := q.ahead(); return n > 0 })
			}
			for range 3 { // an error is told once by the kernel
				if q.Gone() != c.gone {
					t.Errorf("gone %v, want %v", !c.gone, c.gone)
				}
			}
		})
	}
}

// scarce is a listener without descriptors for a while.
type scarce struct {
	net.Listener
	tries atomic.Int64 // that fail
}

func (s *scarce) Accept() (net.Conn, error) {
	if s.tries.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return s.Listener.Accept()
}

// Clients who hold the last descriptors give some back for good, and the next take no more than are left.
// Guards against a listener that takes each descriptor that is freed while the watch and workers get none.
func TestOutOfDescriptors(t *testing.T) {
	const clients = 40
	d := openDoor(t, 5*clients, func(*Txn) Final { return Final{Kind: policy.Reject} })
	raw := &scarce{Listener: d.l.Listener}
	d.l.Listener = raw
	long := time.Now().Add(-2 * Millis(policy.EvictIdleClientMillis)).UnixNano()
	var all []net.Conn
	for i := range clients {
		c, p := d.meet(nil, false)
		fmt.Fprint(c, ask(fmt.Sprint(i)))
		if s := status(c); s != declines {
			t.Fatal(s)
		}
		till(t, "it does not rest", func() bool { return p.state.Load() == idle })
		p.since.Store(long)
		all = append(all, c)
	}
	raw.tries.Store(1)
	d.meet(nil, false)
	d.l.mu.Lock()
	n, most := len(d.l.open), d.l.most
	d.l.mu.Unlock()
	if n > clients-policy.ReservedDescriptors || most > clients-policy.ReservedDescriptors {
		t.Errorf("%d are open, of at most %d", n, most)
	}
	if s := d.l.Shed(); s < policy.ReservedDescriptors || s > policy.ReservedDescriptors+1 {
		t.Errorf("%d were ended", s)
	}
	ends := 0
	for _, c := range all {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !late(err) {
			ends++
		}
	}
	if int64(ends) != d.l.Shed() {
		t.Errorf("%d clients see an end", ends)
	}
}

// The mark of a txn whose client has gone is free for the same txn once that is given up, unless something
// was sent for it.
func TestMarkOfOneThatHasGone(t *testing.T) {
	for _, c := range []struct {
		name   string
		leaves bool
		sent   bool
		want   string
	}{
		{"it waits still", false, false, "HTTP/1.1 409 Conflict"},
		{"it has gone, and nothing was sent", true, false, declines},
		{"it has gone, and something was sent", true, true, "HTTP/1.1 409 Conflict"},
	} {
		t.Run(c.name, func(t *testing.T) {
			on := make(chan bool)
			var first, served atomic.Int64
			var gone atomic.Bool
			d := openDoor(t, 9, func(x *Txn) Final {
				served.Add(1)
				if first.Add(1) > 1 {
					return Final{Kind: policy.Reject}
				}
				for c.leaves && !x.Gone() {
					time.Sleep(time.Millisecond)
				}
				gone.Store(c.leaves)
				<-on
				x.Sent = c.sent
				return Final{Kind: policy.RejectUncertain}
			})
			a, p := d.meet(nil, false)
			fmt.Fprint(a, ask("1"))
			till(t, "it is not taken", func() bool { return p.state.Load() == taken })
			if c.leaves {
				_ = a.Close()
			}
			till(t, "it is not seen", func() bool { return gone.Load() == c.leaves })
			b, q := d.meet(nil, false)
			fmt.Fprint(b, ask("1"))
			till(t, "it is not read", func() bool { return q.state.Load() == taken })
			if c.leaves {
				if served.Load() > 1 {
					t.Error("two of one mark are out")
				}
				close(on)
			} else {
				defer close(on)
			}
			if s := status(b); s != c.want {
				t.Errorf("the second gets %q", s)
			}
		})
	}
}

// after is a connection whose writes return once a signal has come behind them.
type after struct {
	*quick
	wrote chan<- struct{}
	on    <-chan struct{}
}

func (a after) Write(b []byte) (int, error) {
	n, err := a.quick.Write(b)
	a.wrote <- struct{}{}
	<-a.on
	return n, err
}

// A client that has its final answer may ask under the same id at once, on another connection, however late
// the goroutine of the first goes on. Guards against a 409 for a txn that has ended.
func TestMarkOfOneAnswered(t *testing.T) {
	for _, c := range []struct {
		name string
		end  Final
		want string
	}{
		{"declined", Final{Kind: policy.Reject}, declines},
		{"voided", Final{Kind: policy.RejectUncertain}, "HTTP/1.1 500 Internal Server Error"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := openDoor(t, 9, func(*Txn) Final { return c.end })
			wrote, on := make(chan struct{}, 9), make(chan struct{})
			defer close(on)
			a, _ := d.meet(func(q *quick) net.Conn { return after{q, wrote, on} }, false)
			fmt.Fprint(a, ask("1"))
			if s := status(a); s != c.want {
				t.Fatalf("the first gets %q", s)
			}
			<-wrote // and its goroutine stands there
			b, _ := d.meet(nil, false)
			fmt.Fprint(b, ask("1"))
			if s := status(b); s != c.want {
				t.Errorf("the second gets %q", s)
			}
		})
	}
}

// Small writes go out at once, on connections taken here, from a listener that was inherited, and from
// another process. Guards against an answer that the kernel holds back and a reset takes with it.
func TestNoDelay(t *testing.T) {
	l, _ := sink(t)
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	inherited, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	defer inherited.Close()
	d := openDoor(t, 9, nil)
	come := func(at net.Listener) net.Conn {
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
	handed := come(l)
	_ = handed.(*net.TCPConn).SetNoDelay(false)
	f, err := handed.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	adopted, err := net.FileConn(f)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]net.Conn{"taken": come(l), "inherited": come(inherited),
		"adopted": adopted} {
		p := d.l.admit(c)
		raw, err := p.raw()
		if err != nil {
			t.Fatal(err)
		}
		on := 0
		_ = raw.Control(func(fd uintptr) {
			on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		})
		if on == 0 || err != nil {
			t.Errorf("%s: %d, %v", name, on, err)
		}
		_ = p.Close()
	}
}

// Once the process ends, what is being read may pause for a moment only, and what is in hand counts as given
// up when that is said.
func TestHurry(t *testing.T) {
	d := openDoor(t, 9, func(x *Txn) Final {
		for !x.Gone() {
			time.Sleep(time.Millisecond)
		}
		return Final{Kind: policy.RejectUncertain}
	})
	half, p := d.meet(nil, false)
	fmt.Fprint(half, ask("1")[:40])
	till(t, "it is not read", func() bool { return p.state.Load() == opening })
	whole, q := d.meet(nil, false)
	fmt.Fprint(whole, ask("2"))
	till(t, "it is not taken", func() bool { return q.state.Load() == taken })
	from := time.Now()
	d.l.Hurry()
	if s := status(half); s != "HTTP/1.1 408 Request Timeout" ||
		time.Since(from) > Millis(policy.LingerTimeoutMillis) {
		t.Errorf("half a txn gets %q after %v", s, time.Since(from))
	}
	next, _ := d.meet(nil, false)
	fmt.Fprint(next, ask("3")[:40])
	if s := status(next); s != "HTTP/1.1 408 Request Timeout" ||
		time.Since(from) > 2*Millis(policy.LingerTimeoutMillis) {
		t.Errorf("half a txn after it gets %q after %v", s, time.Since(from))
	}
	if q.state.Load() != taken {
		t.Error("what is in hand was given up with it")
	}
	d.l.GiveUp()
	if s := status(whole); s != "HTTP/1.1 "+fmt.Sprint(http.StatusInternalServerError)+" Internal Server Error" {
		t.Errorf("what is in hand gets %q", s)
	}
}

// A connection that is being given to another process is not ended here meanwhile. Guards against an heir
// that reads and sends on what comes behind an end.
func TestHandOnIsNotEnded(t *testing.T) {
	d := openDoor(t, 9, func(*Txn) Final { return Final{Kind: policy.Reject} })
	c, p := d.meet(nil, false)
	fmt.Fprint(c, ask("1"))
	if s := status(c); s != declines {
		t.Fatal(s)
	}
	till(t, "it does not rest", func() bool { return p.state.Load() == idle })
	heirs := -1
	d.HandOn(d.l, func(raw syscall.RawConn, _ bool, _ []byte) bool {
		p.since.Store(time.Now().Add(-time.Second).UnixNano())
		d.l.endIdle(time.Millisecond)
		return raw.Control(func(fd uintptr) { heirs, _ = syscall.Dup(int(fd)) }) == nil
	})
	d.Wait()
	if heirs < 0 {
		t.Fatal("it is not handed on")
	}
	defer syscall.Close(heirs)
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); !late(err) {
		t.Errorf("its client meets %d bytes, %v", n, err)
	}
}

// An answer ahead of a body that is not waited for any longer reaches a client that has to send all of it
// first. Guards against a close over what is still on its way.
func TestAnswerAheadOfLateBody(t *testing.T) {
	const size = 800 << 10
	d := openDoor(t, 9, func(x *Txn) Final {
		x.Upload.Settle()
		return Final{Kind: policy.Reject}
	})
	d.l.Hurry()
	c, p := d.meet(nil, false)
	fmt.Fprint(c, strings.Replace(strings.Replace(ask("1"), "GET /check", "POST /issue", 1), "\r\n\r\n",
		fmt.Sprintf("\r\nContent-Length: %d\r\n\r\nx", size), 1))
	till(t, "it is waited for", p.parts.Load)
	_ = c.SetWriteBuffer(4096) // it is not sent before it is taken
	if _, err := c.Write(make([]byte, size-1)); err != nil {
		t.Error(err)
	}
	if s := status(c); s != declines {
		t.Errorf("it gets %q", s)
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("behind its answer: %v", err)
	}
}

// A txn that lay in a connection which waited for its place has that much less of its time left, also where
// it waited behind another in the listener's queue. Guards against a client's time that begins anew with its
// place: its answer came late by the wait, and its worker was told more than was left.
func TestWaitForPlaceCounts(t *testing.T) {
	const step, all = 300 * time.Millisecond, 900 * time.Millisecond
	const slack = 20 * time.Millisecond // of the kernel's clock
	lefts := make(chan time.Duration, 3)
	next := make(chan struct{})
	d := openDoor(t, 1, func(x *Txn) Final {
		lefts <- Millis(x.TimeLeftMillis)
		<-next
		return Final{Kind: policy.Reject}
	})
	go d.Serve(d.l)
	var sent [3][2]time.Time // about when each was written
	for i := range sent {
		c, err := net.Dial("tcp", d.at)
		if err != nil {
			t.Fatal(err)
		}
		sent[i][0] = time.Now()
		if _, err := io.WriteString(c, ask(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
		sent[i][1] = time.Now()
		go func() {
			defer c.Close()
			_, _ = io.Copy(io.Discard, c)
		}()
		if i == 0 { // it has the one place before the others come
			if left := <-lefts; left != all {
				t.Errorf("the first has %v left", left)
			}
		}
	}
	for i := 1; i < len(sent); i++ {
		time.Sleep(step)
		before := time.Now()
		next <- struct{}{}
		left := <-lefts
		least, most := all-time.Since(sent[i][0])-slack, all-before.Sub(sent[i][1])+slack
		if left < least || left > most {
			t.Errorf("txn %d has %v left, and not from %v to %v", i, left, least, most)
		}
	}
	next <- struct{}{}
	d.l.Close()
	d.Wait()
}

// So has a txn that came with the one before it, and lay in the buffer until that had its answer.
func TestWaitBehindAnotherCounts(t *testing.T) {
	const step, all = 200 * time.Millisecond, 900 * time.Millisecond
	lefts, next := make(chan time.Duration, 3), make(chan struct{})
	d := openDoor(t, 9, func(x *Txn) Final {
		lefts <- Millis(x.TimeLeftMillis)
		<-next
		return Final{Kind: policy.Reject}
	})
	c, _ := d.meet(nil, false)
	written := time.Now()
	fmt.Fprint(c, ask("1")+ask("2")+ask("3"))
	came := time.Time{}
	for i := range 3 {
		turn := time.Now()
		if i > 0 {
			time.Sleep(step)
			turn = time.Now()
			next <- struct{}{}
		}
		left := <-lefts
		if came.IsZero() {
			came = time.Now() // it has been read by then
		}
		if least, most := all-time.Since(written), all-max(turn.Sub(came), 0); left < least || left > most {
			t.Errorf("txn %d has %v left, and not from %v to %v", i, left, least, most)
		}
	}
	next <- struct{}{}
	for range 3 {
		if s := status(c); s != declines {
			t.Error(s)
		}
	}
}
