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
	request = "GET / HTTP/1.1\r\n\r\n"
	okay    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// hook is called right before the first byte of each submission goes out.
type hook func()

// Write calls it.
func (h hook) Write(e history.Event) {
	if e.Kind == history.Sends && h != nil {
		h()
	}
}

// bed is a gate before one worker on loopback, which does what a test says.
type bed struct {
	*testing.T
	g    *Gate
	l    net.Listener
	list endpoints.List
	at   hook
}

// before makes one whose connections come up within so long.
func before(t *testing.T, connect time.Duration, most int) *bed {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	b := &bed{T: t, l: l}
	b.to(l.Addr().(*net.TCPAddr).AddrPort(), connect, most)
	return b
}

func (b *bed) to(at netip.AddrPort, connect time.Duration, most int) {
	links := transport.NewLinks(most, 5*time.Second, connect)
	c := charter() // without a ceiling, as that is spent at a start
	c.Plans[0] = policy.Plan{Rate: 1000, Burst: 1000, Factor: 1}
	d := NewDesk(c, 1, 5, func(int, []byte) {}, links.Shed)
	b.Cleanup(d.Stop)
	d.Record(hook(func() {
		if b.at != nil {
			b.at()
		}
	}))
	b.list = endpoints.List{Whole: true, Workers: []endpoints.Worker{{Name: "w", Address: at, Active: true}}}
	d.Roster(b.list)
	b.g = New(d, links)
}

// takes gives a decision to submit a txn.
func (b *bed) takes() job {
	b.Helper()
	h := b.g.desk.take(&transport.Txn{Arrival: policy.Arrival{Customer: 7, Units: 1, SetSize: 1, Left: 5000}})
	w := <-h.Commands
	if w.Decision.Kind != policy.Submit {
		b.Fatalf("decided %+v", w.Decision)
	}
	return job{txn: h, word: w, msg: []byte(request)}
}

// end is how an exchange ended.
type end struct {
	outcome policy.Outcome
	body    string
}

// goes carries a submission out.
func (b *bed) goes(j job) <-chan end {
	got := make(chan end, 1)
	go func() {
		a, l, _ := b.g.exchange(j, time.Now().Add(5*time.Second))
		if l != nil {
			b.Error("an answer that is not whole")
		}
		got <- end{a.Outcome, string(a.Body)}
	}()
	return got
}

// accept gives the worker's side of the next connection.
func (b *bed) accept() *net.TCPConn {
	b.Helper()
	_ = b.l.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	c, err := b.l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c.(*net.TCPConn)
}

// asked reads one submission.
func (b *bed) asked(c net.Conn) {
	b.Helper()
	if _, err := io.ReadFull(c, make([]byte, len(request))); err != nil {
		b.Error(err)
	}
}

// kept has one submission answered on a connection, which stands idle then.
func (b *bed) kept() *net.TCPConn {
	b.Helper()
	got := b.goes(b.takes())
	c := b.accept()
	b.asked(c)
	c.Write([]byte(okay))
	if e := <-got; e.outcome != policy.Settled || b.g.links.Open() != 1 {
		b.Fatalf("the first ended %+v", e)
	}
	return c
}

// arrives waits until the gate's machine has what a worker wrote, or its end.
func arrives(t *testing.T, c *net.TCPConn) {
	const finWait2, closed = 5, 7
	raw, err := c.SyscallConn()
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

// What a worker does to an idle connection between the look at it and the first byte: nothing is written
// then, and the submission never ran. Guards against once-only txns lost on a connection that has ended, and
// against bytes that would be read as the next answer.
func TestIdleEndsBeforeTheFirstByte(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*net.TCPConn)
	}{
		{"an end", func(c *net.TCPConn) { c.CloseWrite() }},
		{"half a status line", func(c *net.TCPConn) { c.Write([]byte("HTTP/1.1 2")) }},
		{"a second answer", func(c *net.TCPConn) { c.Write([]byte(okay)) }},
		{"a second answer and an end", func(c *net.TCPConn) {
			c.Write([]byte(okay))
			c.CloseWrite()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := before(t, time.Second, 4)
			w := b.kept()
			b.at = func() {
				c.do(w)
				arrives(t, w)
			}
			e := <-b.goes(b.takes())
			b.at = nil
			if n, _ := io.Copy(io.Discard, w); e.outcome != policy.NotSent || n != 0 {
				t.Errorf("ended %+v with %d bytes written", e, n)
			}
			if n := b.g.links.Open(); n != 0 {
				t.Errorf("%d connections are held", n)
			}
			got := b.goes(b.takes())
			w = b.accept()
			b.asked(w)
			w.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nmy"))
			if e := <-got; e.outcome != policy.Settled || e.body != "my" {
				t.Errorf("the next ended %+v", e)
			}
		})
	}
}

// A worker that ends a connection which has just come up could not be connected to; that it stood idle is no
// excuse for it.
func TestEndsBeforeTheFirstByte(t *testing.T) {
	b := before(t, time.Second, 4)
	b.at = func() {
		w := b.accept()
		w.CloseWrite()
		arrives(t, w)
	}
	if e := <-b.goes(b.takes()); e.outcome != policy.NoRoute || b.g.links.Open() != 0 {
		t.Errorf("ended %+v, %d connections", e, b.g.links.Open())
	}
}

// What is learned between the decision and the first byte keeps it from going out, on a connection that stood
// idle and on a new one: the worker drains, is gone, has moved or started anew, cold; the submission was
// withdrawn, or barred by its txn's final answer.
func TestNothingNewAfterTheDecision(t *testing.T) {
	told := func(change func(*endpoints.Worker)) func(*bed, *job) {
		return func(b *bed, _ *job) {
			w := b.list.Workers[0]
			change(&w)
			b.g.desk.Roster(endpoints.List{Workers: []endpoints.Worker{w}})
		}
	}
	for _, c := range []struct {
		name string
		do   func(*bed, *job)
	}{
		{"drains", told(func(w *endpoints.Worker) { w.Active = false })},
		{"gone", told(func(w *endpoints.Worker) { w.Active, w.Gone = false, true })},
		{"left out of a whole list, and it still answers", func(b *bed, _ *job) {
			other := endpoints.Worker{Name: "v", Address: b.list.Workers[0].Address, Active: true}
			b.g.desk.Roster(endpoints.List{Whole: true, Workers: []endpoints.Worker{other}})
		}},
		{"started anew", told(func(w *endpoints.Worker) { w.Since = 9 })},
		{"moved", told(func(w *endpoints.Worker) { w.Address = netip.MustParseAddrPort("127.0.0.1:1") })},
		{"withdrawn", func(_ *bed, j *job) { j.word.Attempt.Cancel() }},
		{"barred", func(_ *bed, j *job) { j.word.Attempt.CancelUnsent() }},
	} {
		for _, idle := range []string{", idle", ", new"} {
			t.Run(c.name+idle, func(t *testing.T) {
				b := before(t, time.Second, 4)
				var w *net.TCPConn
				if idle == ", idle" {
					w = b.kept()
				}
				j := b.takes()
				c.do(b, &j)
				if e := <-b.goes(j); e.outcome != policy.NotSent {
					t.Errorf("ended %+v", e)
				}
				if w == nil {
					w = b.accept()
				}
				if n, err := io.Copy(io.Discard, w); n != 0 || err != nil || b.g.links.Open() != 0 {
					t.Errorf("%d bytes were written, %v; %d connections are held", n, err, b.g.links.Open())
				}
			})
		}
	}
}

// A withdrawal that crosses an answer: whichever of the two comes first counts, once, and the other changes
// nothing. Its connection is of no more use unless the answer had been read whole before.
func TestWithdrawalCrossesAnswer(t *testing.T) {
	t.Run("before", func(t *testing.T) {
		b := before(t, time.Second, 4)
		j := b.takes()
		got := b.goes(j)
		w := b.accept()
		b.asked(w)
		j.word.Attempt.Cancel()
		if e := <-got; e.outcome != policy.Withdrawn || b.g.links.Open() != 0 {
			t.Errorf("ended %+v, %d connections", e, b.g.links.Open())
		}
		w.Write([]byte(okay))
		got = b.goes(b.takes())
		w = b.accept()
		b.asked(w)
		w.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nmy"))
		if e := <-got; e.outcome != policy.Settled || e.body != "my" {
			t.Errorf("the next ended %+v", e)
		}
	})
	t.Run("at once", func(t *testing.T) { // the machine has both before the reader is told of either
		b := before(t, time.Second, 4)
		j := b.takes()
		got := b.goes(j)
		w := b.accept()
		b.asked(w)
		j.word.Attempt.Cancel()
		w.Write([]byte(okay))
		if e := <-got; e.outcome != policy.Withdrawn && e.body != "ok" || b.g.links.Open() != 0 {
			t.Errorf("ended %+v, %d connections", e, b.g.links.Open())
		}
	})
	t.Run("after", func(t *testing.T) {
		b := before(t, time.Second, 4)
		j := b.takes()
		got := b.goes(j)
		w := b.accept()
		b.asked(w)
		w.Write([]byte(okay))
		e := <-got
		j.word.Attempt.Cancel() // and does not touch what another may use by now
		if e.outcome != policy.Settled || b.g.links.Open() != 1 {
			t.Errorf("ended %+v, %d connections", e, b.g.links.Open())
		}
		got = b.goes(b.takes())
		b.asked(w)
		w.Write([]byte(okay))
		if e := <-got; e.outcome != policy.Settled {
			t.Errorf("the next ended %+v", e)
		}
	})
}

// full listens on loopback, and takes no connection that comes until take is called.
func full(t *testing.T) (at netip.AddrPort, take func() []int) {
	t.Helper()
	at, fill, take := narrow(t)
	fill()
	return at, take
}

// narrow listens on loopback for one connection; after fill one more does not come up until take is called.
func narrow(t *testing.T) (at netip.AddrPort, fill func(), take func() []int) {
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
	at = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*unix.SockaddrInet4).Port))
	fill = func() {
		for range 9 { // until one more does not come up
			c, err := net.DialTimeout("tcp", at.String(), 50*time.Millisecond)
			if err != nil {
				break
			}
			t.Cleanup(func() { c.Close() })
		}
	}
	return at, fill, func() (all []int) {
		_ = unix.SetNonblock(fd, true)
		for {
			c, _, err := unix.Accept(fd)
			if err != nil {
				return all
			}
			all = append(all, c)
			t.Cleanup(func() { unix.Close(c) })
		}
	}
}

// A connection that does not come up is given up on at the stated limit, or at the txn's end if that is
// sooner, and its place is free.
func TestLateConnection(t *testing.T) {
	const limit = 150 * time.Millisecond
	at, _ := full(t)
	for _, c := range []struct {
		name    string
		until   time.Duration
		outcome policy.Outcome
	}{{"limit", 5 * time.Second, policy.NoRoute}, {"expiry", limit / 3, policy.NotSent}} {
		t.Run(c.name, func(t *testing.T) {
			b := &bed{T: t}
			b.to(at, limit, 4)
			start := time.Now()
			a, l, _ := b.g.exchange(b.takes(), start.Add(c.until))
			took, due := time.Since(start), min(limit, c.until)
			if l != nil || a.Outcome != c.outcome || took < due || took > due+time.Second {
				t.Errorf("ended %+v after %v, due at %v", a, took, due)
			}
			if n := b.g.links.Open(); n != 0 {
				t.Errorf("%d connections are held", n)
			}
		})
	}
}

// One that comes up after its txn was given up on, a second later, is closed with nothing written. That
// it comes late is forced: its first SYN meets a full queue, which is emptied before the next.
func TestLateConnectionOfAnEndedTxn(t *testing.T) {
	at, take := full(t)
	b := &bed{T: t}
	b.to(at, 4*time.Second, 4)
	j := b.takes()
	start, got := time.Now(), b.goes(j)
	for b.g.links.Open() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // its first SYN has been sent, and dropped
	j.word.Attempt.CancelUnsent()
	before := len(take())
	e := <-got
	if took := time.Since(start); e.outcome != policy.NotSent || took < 500*time.Millisecond {
		t.Errorf("ended %+v after %v", e, took)
	}
	late := take()
	if len(late) != 1 || before == 0 || b.g.links.Open() != 0 {
		t.Fatalf("%d came late, %d connections are held", len(late), b.g.links.Open())
	}
	_ = unix.SetNonblock(late[0], false)
	if n, err := unix.Read(late[0], make([]byte, 1)); n != 0 || err != nil {
		t.Errorf("%d bytes were written, %v", n, err)
	}
}

// Where the gatekeeper has no place for one more connection, the submission was not sent, and nothing is held
// against its worker. TestNoDescriptor has the same of descriptors.
func TestNoRoomForConnection(t *testing.T) {
	b := before(t, time.Second, 1)
	got := b.goes(b.takes())
	w := b.accept()
	b.asked(w)
	if e := <-b.goes(b.takes()); e.outcome != policy.NotSent {
		t.Errorf("without a place it ended %+v", e)
	}
	w.Write([]byte(okay))
	if e := <-got; e.outcome != policy.Settled || b.g.links.Open() != 1 {
		t.Errorf("the other ended %+v, %d connections", e, b.g.links.Open())
	}
}

// Terms of which the time is over call a submission back, also on a connection that has ended meanwhile.
func TestTermsOverOnAnIdleEnd(t *testing.T) {
	b := before(t, time.Second, 4)
	w := b.kept()
	j := b.takes()
	j.word.Lease = inflight.NewLease(1, history.Leased, 0)
	a, l, _ := b.g.exchange(j, time.Now().Add(time.Second))
	if n, err := io.Copy(io.Discard, w); a != nil || l != nil || n != 0 || b.g.links.Open() != 0 {
		t.Errorf("ended %+v, %d bytes, %v", a, n, errors.Join(err))
	}
}
