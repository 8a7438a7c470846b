package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/transport/gossip"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/ports"
)

// listen listens on loopback and gives each connection that it takes.
func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener, netip.MustParseAddrPort(listener.Addr().String())
}

// halfClosable is a connection of which one side can be closed.
type halfClosable struct{ net.Conn }

func (halfClosable) CloseWrite() error { return nil }

// fixedIncarnation is a worker that is what it was, or is not.
type fixedIncarnation bool

func (valid fixedIncarnation) Valid() bool { return bool(valid) }

func TestWorkerPool(t *testing.T) {
	_, address := listen(t)
	deadline := func() time.Time { return time.Now().Add(time.Second) }
	pool := NewWorkerPool(2, 40*time.Millisecond, time.Second)
	a, err := pool.Dial(0, address, deadline())
	if err != nil {
		t.Fatal(err)
	}
	b, _ := pool.Dial(1, address, deadline())
	if _, err := pool.Dial(0, address, deadline()); !errors.Is(err, ErrPoolExhausted) {
		t.Errorf("a third of two: %v", err)
	}
	pool.Put(b, fixedIncarnation(true))
	c, err := pool.Dial(0, address, deadline()) // takes the place of the idle one
	if err != nil || pool.TakeIdle(1) != nil {
		t.Fatalf("no place was made: %v", err)
	}
	pool.Put(a, fixedIncarnation(true))
	pool.Put(c, fixedIncarnation(true))
	if conn := pool.TakeIdle(0); conn != c {
		t.Error("the most recent is not the first to be used")
	}
	pool.Put(c, fixedIncarnation(true))
	pool.CloseIdle(0)
	if pool.TakeIdle(0) != nil || pool.open != 0 {
		t.Errorf("after shedding %d are open", pool.open)
	}
	d, _ := pool.Dial(0, address, deadline())
	if pool.Put(d, fixedIncarnation(false)) || pool.TakeIdle(0) != nil {
		t.Error("one to a worker that is no more what it was is kept")
	}
	pool.Put(d, fixedIncarnation(true))
	time.Sleep(50 * time.Millisecond)
	if pool.TakeIdle(0) != nil || pool.open != 0 {
		t.Error("one idle for too long was given")
	}
	if _, err := pool.Dial(0, netip.MustParseAddrPort("127.0.0.1:1"), deadline()); err == nil || pool.open != 0 {
		t.Errorf("a refused one counts as open: %d, %v", pool.open, err)
	}
}

// A connection that its worker has closed, or said more on, is not used again.
func TestWorkerPoolSkipsStaleConns(t *testing.T) {
	listener, address := listen(t)
	cases := []struct {
		name   string
		do     func(net.Conn)
		reused bool
	}{
		{"quiet", func(net.Conn) {}, true},
		{"of a worker that is no more what it was", nil, false},
		{"closed by the worker", func(tc net.Conn) { tc.Close() }, false},
		{"bytes behind the answer", func(tc net.Conn) { tc.Write([]byte("HTTP/1.1 200 OK\r\n")) }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			pool := NewWorkerPool(4, time.Second, time.Second)
			var conns []*WorkerConn
			for range 2 {
				conn, err := pool.Dial(0, address, time.Now().Add(time.Second))
				if err != nil {
					t.Fatal(err)
				}
				conns = append(conns, conn)
			}
			older, _ := listener.Accept()
			newer, _ := listener.Accept()
			defer older.Close()
			defer newer.Close()
			valid := fixedIncarnation(true)
			pool.Put(conns[0], fixedIncarnation(true))
			pool.Put(conns[1], &valid)
			if valid = tc.do != nil; valid {
				tc.do(newer)
			}
			time.Sleep(20 * time.Millisecond)
			if got := pool.TakeIdle(0); (got == conns[1]) != tc.reused || !tc.reused && (got != conns[0] ||
				pool.open != 1) {
				t.Errorf("the first to be used is the one that was spoilt: %v, open %d", got == conns[1], pool.open)
			}
		})
	}
}

// Reads and writes past the scheduler keep the ways of ordinary ones.
func TestDirectConn(t *testing.T) {
	listener, address := listen(t)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := listener.Accept()
		accepted <- c
	}()
	raw, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	c, other := bypassScheduler(raw), <-accepted
	big := bytes.Repeat([]byte("txn"), 3<<20)
	written := make(chan error)
	go func() {
		_, err := c.Write(big) // more than the kernel takes at once
		written <- err
	}()
	got := make([]byte, len(big))
	_, err = io.ReadFull(other, got)
	if sent := <-written; sent != nil || err != nil || !bytes.Equal(got, big) {
		t.Errorf("a long write came otherwise: %v, %v", sent, err)
	}
	other.Write([]byte("ab"))
	if n, err := c.Read(got); n != 2 || err != nil || string(got[:2]) != "ab" {
		t.Errorf("read %d bytes, %v", n, err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Millisecond))
	var timeout net.Error
	if _, err := c.Read(got); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("after its deadline: %v", err)
	}
	c.SetDeadline(time.Time{})
	other.(*net.TCPConn).CloseWrite()
	if _, err := c.Read(got); err != io.EOF {
		t.Errorf("at the end: %v", err)
	}
	other.(*net.TCPConn).SetLinger(0)
	other.Close()
	time.Sleep(20 * time.Millisecond)
	if _, err := c.Write([]byte("x")); err == nil {
		t.Error("a write to a broken connection is taken as whole")
	}
	c.Close()
	if _, err := c.Read(got); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after its close: %v", err)
	}
}

// Beyond its bound a listener ends what is idle, and lets clients wait where all are busy; it turns none
// away.
func TestLimitListener(t *testing.T) {
	raw, address := listen(t)
	listener := NewLimitListener(raw, 1)
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- c
		}
	}()
	dial := func() {
		c, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
	dial()
	setIdleFor := func(c net.Conn, ms float64) {
		c.(*clientConn).lastActivityNanos.Store(time.Now().Add(-Millis(ms)).UnixNano())
	}
	expectAccepted := func(name string, comes bool) (c net.Conn) {
		t.Helper()
		select {
		case c = <-accepted:
		case <-time.After(40 * time.Millisecond):
		}
		if (c != nil) != comes {
			t.Fatalf("%s: another one is open %v, want %v", name, c != nil, comes)
		}
		return c
	}
	first := <-accepted
	first.(*clientConn).headReceived()
	first.(*clientConn).requestReceived()
	setIdleFor(first, 10*policy.IdleLong)
	dial()
	expectAccepted("a txn is in hand", false)
	first.Close()
	first.Close() // gives back one place, not two
	second := expectAccepted("a place is free", true)
	dial()
	expectAccepted("the other has just come", false)
	setIdleFor(second, 2*policy.Unproven)
	third := expectAccepted("the other has long sent no whole txn", true)
	if second.(*clientConn).headReceived() {
		t.Error("a txn is taken on a connection that was ended")
	}
	third.(*clientConn).headReceived()
	third.(*clientConn).requestReceived()
	third.(*clientConn).answered(false)
	dial()
	setIdleFor(third, 2*policy.Unproven)
	expectAccepted("the other was in use just now", false)
	setIdleFor(third, 2*policy.IdleLong)
	expectAccepted("the other asks nothing", true)
	if listener.Evicted() != 2 {
		t.Errorf("%d were ended for others, want 2", listener.Evicted())
	}
	listener.Close()
	if _, open := <-accepted; open {
		t.Error("it goes on after its close")
	}
	// A bad client whose connection lingers does not keep its place from others.
	ours, theirs := net.Pipe()
	defer theirs.Close()
	last := &clientConn{Conn: halfClosable{ours}, listener: listener}
	last.lingerOnClose.Store(true)
	closed := make(chan bool)
	go func() {
		last.Close()
		close(closed)
	}()
	time.Sleep(20 * time.Millisecond)
	start := time.Now()
	if !last.tryEnd(stateNew) || time.Since(start) > Millis(policy.Linger/2) {
		t.Errorf("ended after %v", time.Since(start))
	}
	<-closed
}

// At a stop what has asked nothing for longest ends first, a new connection only once its first txn would
// have come, and one in use or with a txn unread in it not at all.
func TestCloseIdle(t *testing.T) {
	raw, address := listen(t)
	listener := NewLimitListener(raw, 9)
	for _, tc := range []struct {
		name             string
		state            int32
		idleMillis       float64 // ms without a byte
		unread           bool
		closeAfterMillis float64 // ms
		closes           bool
	}{
		{"idle", stateIdle, 50, false, 10, true},
		{"idle for too short", stateIdle, 50, false, 200, false},
		{"idle, a txn unread", stateIdle, 50, true, 10, false},
		{"new", stateNew, policy.Unproven / 2, false, 10, false},
		{"new, and nothing came", stateNew, 2 * policy.Unproven, false, 10, true},
		{"a txn is coming", stateReadingNext, 1000, false, 10, false},
		{"a txn is in hand", stateServing, 1000, false, 10, false},
	} {
		theirs, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		ours, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn := ours.(*clientConn)
		if tc.unread {
			_, _ = theirs.Write([]byte("GET"))
			for isQuiescent(conn.Conn) {
				time.Sleep(time.Millisecond)
			}
		}
		conn.state.Store(tc.state)
		conn.lastActivityNanos.Store(time.Now().Add(-Millis(tc.idleMillis)).UnixNano())
		remaining := listener.closeIdle(Millis(tc.closeAfterMillis))
		closes, closable := conn.state.Load() == stateEnded, tc.state == stateIdle || tc.state == stateNew
		if closes != tc.closes || remaining != (!closes && closable) {
			t.Errorf("%s: ends %v, want %v; waits for more %v", tc.name, closes, tc.closes, remaining)
		}
		_ = conn.Close()
		_ = theirs.Close()
	}
}

// Guards against a stop that ends the listener while connections wait in it for a place: they would be reset
// with no answer.
func TestDrainWaitsForQueuedConns(t *testing.T) {
	raw, address := listen(t)
	listener := NewLimitListener(raw, 1)
	accepted := make(chan *clientConn, 3)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			conn := c.(*clientConn)
			conn.headReceived()
			conn.requestReceived()
			accepted <- conn
		}
	}()
	for range 3 {
		c, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	first := <-accepted
	for !listener.waiting.Load() {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan bool)
	go func() {
		listener.Drain()
		_ = listener.Close()
		close(drained)
	}()
	for _, conn := range []*clientConn{first, nil, nil} {
		if conn == nil {
			select {
			case conn = <-accepted:
			case <-time.After(2 * time.Second):
				t.Fatal("one that waited is not served")
			}
		}
		time.Sleep(3 * Millis(policy.AcceptAgain)) // a txn
		_ = conn.Close()
	}
	<-drained
}

// While places are scarce a connection ends with its first answer, but not one that goes on asking.
func TestClosesWhenNearLimit(t *testing.T) {
	const limit = 10
	cases := []struct {
		name   string
		open   int
		proven bool
		closes bool
	}{
		{"much room", limit * policy.CrowdedAt, false, false},
		{"scarce", limit*policy.CrowdedAt + 1, false, true},
		{"scarce, and it goes on asking", limit, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			listener := NewLimitListener(nil, limit)
			conn := &clientConn{listener: listener}
			for len(listener.open) < tc.open {
				listener.open[&clientConn{listener: listener}] = true
			}
			if conn.headReceived(); tc.proven {
				conn.answered(false)
				conn.noteRead()
				conn.headReceived()
			}
			if conn.shouldClose() != tc.closes {
				t.Errorf("ends with its answer: %v, want %v", !tc.closes, tc.closes)
			}
		})
	}
}

func TestPeersDropForeignDatagrams(t *testing.T) {
	bind := func() (*net.UDPConn, netip.AddrPort) {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	peer, peerAt := bind()
	stranger, _ := bind()
	selfAt := netip.MustParseAddrPort(ports.Address(t))
	peers := NewPeers([]netip.AddrPort{selfAt, peerAt}, 0)
	if err := peers.Bind(selfAt); err != nil {
		t.Fatal(err)
	}
	defer peers.Close()
	received := make(chan int, 9)
	go peers.Receive(func(from int, reports []policy.Report, _ bool) { received <- 10*from + len(reports) })
	valid := gossip.Append(nil, []policy.Report{{Customer: 7, Demand: 3}})
	to := net.UDPAddrFromAddrPort(selfAt)
	stranger.WriteTo(valid, to)
	peers.Send(0, valid) // itself
	peer.WriteTo([]byte("nonsense"), to)
	peer.WriteTo(nil, to)
	peer.WriteTo(bytes.Repeat([]byte{4}, 400), to)
	peer.WriteTo(valid, to)
	select {
	case got := <-received:
		if got != 11 || peers.Dropped() != 5 {
			t.Errorf("heard %d after %d dropped, want 11 after 5", got, peers.Dropped())
		}
	case <-time.After(time.Second):
		t.Fatal("a peer's report is not heard")
	}
}

// Peers whose messages bear a word: each is heard once and in order, those of a former life and those without
// one not at all, and one that has started anew is known for that. Whole messages stay within their bound.
func TestPeersIdentifyMessages(t *testing.T) {
	addresses := make([]netip.AddrPort, 2)
	for i := range addresses {
		addresses[i] = netip.MustParseAddrPort(ports.Address(t))
	}
	type delivery struct {
		reports  int
		returned bool
	}
	start := func(self int, id incarnation.MessageID, received chan delivery) *Peers {
		peers := NewPeers(addresses, self)
		peers.Identify(id)
		if err := peers.Bind(addresses[self]); err != nil {
			t.Fatal(err)
		}
		go peers.Receive(func(_ int, reports []policy.Report, returned bool) {
			received <- delivery{len(reports),
				returned}
		})
		return peers
	}
	received := make(chan delivery, 9)
	a := start(0, incarnation.MessageID{Incarnation: 5}, nil)
	b := start(1, incarnation.MessageID{Incarnation: 9}, received)
	defer b.Close()
	shortest := gossip.Append(nil, make([]policy.Report, MaxReportsPerMessage))
	full := gossip.Append(
		nil,
		slices.Repeat([]policy.Report{{Customer: 7, Demand: 3, Known: 2, Spent: 1}}, MaxReportsPerMessage),
	)
	if len(full)+identityBytes > gossip.MaxMessageBytes || len(full)+identityBytes < gossip.MaxMessageBytes-16 {
		t.Errorf("a full message has %d bytes", len(full)+identityBytes)
	}
	expect := func(what string, want delivery, dropped int64) {
		t.Helper()
		select {
		case g := <-received:
			if g != want || b.Dropped() != dropped {
				t.Errorf("%s: %+v after %d dropped", what, g, b.Dropped())
			}
		case <-time.After(time.Second):
			t.Fatalf("%s is not heard", what)
		}
	}
	a.Send(1, shortest)
	expect("the first", delivery{MaxReportsPerMessage, false}, 0)
	a.Send(1, full)
	expect("the next", delivery{MaxReportsPerMessage, false}, 0)
	a.sequence.Store(0)
	a.Send(1, full) // as one that was held up on the way
	a.identified.Store(false)
	a.Send(1, full)
	a.Identify(incarnation.MessageID{Incarnation: 4, Sequence: 100})
	a.Send(1, full) // of a former life
	a.Identify(incarnation.MessageID{Incarnation: 6})
	a.Send(1, full)
	expect("one that has returned", delivery{MaxReportsPerMessage, true}, 3)
	id := a.LastSent()
	a.Close()
	c := start(0, id, nil) // its heir
	c.Send(1, full)
	expect("an heir", delivery{MaxReportsPerMessage, false}, 3)
	b.SetAddresses(addresses[:0])
	c.Send(1, full)
	time.Sleep(20 * time.Millisecond)
	b.SetAddresses(addresses)
	c.Identify(incarnation.MessageID{Incarnation: 1}) // another, under the number of one that was no more
	c.Send(1, full)
	expect("another", delivery{MaxReportsPerMessage, false}, 4)
	c.Close()
}

func TestAppendAttempt(request *testing.T) {
	cases := []struct {
		name           string
		request        Request
		remaining      float64
		rulesetVersion int64
		want           string
	}{
		{"inquiry", Request{Method: []byte("GET"), Target: []byte("/a?b"), RequestID: []byte("1")}, 12.5, NoRuleset,
			"GET /a?b HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 1\r\nX-Deadline: 12500u\r\n\r\n"},
		{"referenced", Request{Method: []byte("POST"), Target: []byte("/s"), RequestID: []byte("2"),
			IdempotencyKey: []byte("k"),
			Body:           []byte("xy")}, 1, NoRuleset, "POST /s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 2\r\n" +
			"X-Deadline: 1000u\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nxy"},
		{"no time left", Request{Method: []byte("POST"), Target: []byte("/s"), RequestID: []byte("3")}, -1,
			NoRuleset,
			"POST /s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 3\r\n" +
				"X-Deadline: 0u\r\nContent-Length: 0\r\n\r\n"},
		{"by rules", Request{Method: []byte("GET"), Target: []byte("/a"), RequestID: []byte("4")}, 1, 12,
			"GET /a HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 4\r\nX-Deadline: 1000u\r\nX-Rules: 12\r\n\r\n"},
	}
	for _, tc := range cases {
		request.Run(tc.name, func(request *testing.T) {
			message, offset := AppendAttempt(nil, &tc.request, tc.rulesetVersion)
			if got := SetRemaining(message, offset, Millis(tc.remaining)); string(got) != tc.want {
				request.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// The time that is left is told in whole us, and never more than there is. Filling it in allocates nothing.
func TestSetRemaining(t *testing.T) {
	request := Request{Method: []byte("POST"), Target: []byte("/s"), RequestID: []byte("2"), Body: []byte("xy")}
	for remaining, want := range map[time.Duration]string{
		-time.Hour: "0u", 0: "0u", 999 * time.Nanosecond: "0u", 1999 * time.Nanosecond: "1u",
		480 * time.Millisecond: "480000u", Millis(policy.LongestWait): "3600000000u", 24 * time.Hour: "9999999999u",
	} {
		message, offset := AppendAttempt(make([]byte, 0, 512), &request, 7)
		var got []byte
		buffer := make([]byte, 0, 512)
		n := testing.AllocsPerRun(10, func() {
			got = SetRemaining(append(buffer[:0], message...), offset,
				remaining)
		})
		if n > 0 {
			t.Errorf("%v: %g allocations", remaining, n)
		}
		if want := "POST /s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 2\r\nX-Deadline: " + want +
			"\r\nX-Rules: 7\r\nContent-Length: 2\r\n\r\nxy"; string(got) != want {
			t.Errorf("%v: %q, want %q", remaining, got, want)
		}
	}
}

// What answers say of load, and what of it counts as not said.
func TestParseLoad(t *testing.T) {
	cases := []struct {
		name, load string
		want       policy.Burden
	}{
		{"all", `{"inflight":7,"queue":2,"util":0.61}`, policy.Burden{Held: 7, Waiting: 2, Busy: 0.61}},
		{"in the settings' words", `{"concurrent":7,"depth":2,"load_share":0.61}`,
			policy.Burden{Held: 7, Waiting: 2, Busy: 0.61}},
		{"some, and one not known", `{"queue":2,"eps":1}`, policy.Burden{Held: -1, Waiting: 2, Busy: -1}},
		{"no JSON", `inflight=7`, policy.Burden{Held: -1, Waiting: -1, Busy: -1}},
		{"no number", `{"inflight":"7"}`, policy.Burden{Held: -1, Waiting: -1, Busy: -1}},
		{"over all bounds", `{"inflight":1e999}`, policy.Burden{Held: -1, Waiting: -1, Busy: -1}},
		{"below nought", `{"inflight":-7,"queue":1}`, policy.Burden{Held: -1, Waiting: 1, Busy: -1}},
		{"nought is not said", `{}`, policy.Burden{Held: -1, Waiting: -1, Busy: -1}},
		{"missing", "", policy.Burden{Held: -1, Waiting: -1, Busy: -1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var head fasthttp.ResponseHeader
			if tc.load != "" {
				head.Set("X-Load", tc.load)
			}
			if got := parseLoad(&head); got != tc.want {
				t.Errorf("load %+v", got)
			}
			head.Add("X-Load", `{"inflight":1}`)
			if tc.load != "" && parseLoad(&head).Held >= 0 {
				t.Error("a report given twice is taken")
			}
		})
	}
}

// One that comes under another's number is told of as another, and is heard whatever its former owner has
// said.
func TestSetAddressesForgetsReplacedPeers(t *testing.T) {
	addresses := func(ports ...uint16) (list []netip.AddrPort) {
		for _, peers := range ports {
			list = append(list, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), peers))
		}
		return list
	}
	peers := NewPeers(addresses(1, 2, 3), 0)
	peers.tracker.Observe(2, incarnation.MessageID{Incarnation: 9})
	if got := peers.SetAddresses(addresses(4, 2, 3, 5)); len(got) > 0 {
		t.Errorf("%v are told of as others", got)
	}
	if got := peers.SetAddresses(addresses(4, 2, 6)); len(got) != 1 || got[0] != 2 {
		t.Errorf("%v are told of as others", got)
	}
	if verdict := peers.tracker.Observe(2, incarnation.MessageID{Incarnation: 1}); verdict != incarnation.Fresh {
		t.Errorf("its first word is %v", verdict)
	}
}
