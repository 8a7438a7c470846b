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

// sink listens on loopback and gives each connection that it takes.
func sink(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// lingering is a connection of which one side can be closed.
type lingering struct{ net.Conn }

func (lingering) CloseWrite() error { return nil }

// standing is a worker that is what it was, or is not.
type standing bool

func (s standing) Valid() bool { return bool(s) }

func TestLinks(t *testing.T) {
	_, at := sink(t)
	soon := func() time.Time { return time.Now().Add(time.Second) }
	p := NewLinks(2, 40*time.Millisecond, time.Second)
	a, err := p.Dial(0, at, soon())
	if err != nil {
		t.Fatal(err)
	}
	b, _ := p.Dial(1, at, soon())
	if _, err := p.Dial(0, at, soon()); !errors.Is(err, ErrNoRoom) {
		t.Errorf("a third of two: %v", err)
	}
	p.Keep(b, standing(true))
	c, err := p.Dial(0, at, soon()) // takes the place of the idle one
	if err != nil || p.Idle(1) != nil {
		t.Fatalf("no place was made: %v", err)
	}
	p.Keep(a, standing(true))
	p.Keep(c, standing(true))
	if l := p.Idle(0); l != c {
		t.Error("the most recent is not the first to be used")
	}
	p.Keep(c, standing(true))
	p.Shed(0)
	if p.Idle(0) != nil || p.open != 0 {
		t.Errorf("after shedding %d are open", p.open)
	}
	d, _ := p.Dial(0, at, soon())
	if p.Keep(d, standing(false)) || p.Idle(0) != nil {
		t.Error("one to a worker that is no more what it was is kept")
	}
	p.Keep(d, standing(true))
	time.Sleep(50 * time.Millisecond)
	if p.Idle(0) != nil || p.open != 0 {
		t.Error("one idle for too long was given")
	}
	if _, err := p.Dial(0, netip.MustParseAddrPort("127.0.0.1:1"), soon()); err == nil || p.open != 0 {
		t.Errorf("a refused one counts as open: %d, %v", p.open, err)
	}
}

// A connection that its worker has closed, or said more on, is not used again.
func TestLinksLeaveWhatIsNotQuiet(t *testing.T) {
	l, at := sink(t)
	cases := []struct {
		name string
		do   func(net.Conn)
		used bool
	}{
		{"quiet", func(net.Conn) {}, true},
		{"of a worker that is no more what it was", nil, false},
		{"closed by the worker", func(c net.Conn) { c.Close() }, false},
		{"bytes behind the answer", func(c net.Conn) { c.Write([]byte("HTTP/1.1 200 OK\r\n")) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewLinks(4, time.Second, time.Second)
			var links []*Link
			for range 2 {
				link, err := p.Dial(0, at, time.Now().Add(time.Second))
				if err != nil {
					t.Fatal(err)
				}
				links = append(links, link)
			}
			older, _ := l.Accept()
			newer, _ := l.Accept()
			defer older.Close()
			defer newer.Close()
			stands := standing(true)
			p.Keep(links[0], standing(true))
			p.Keep(links[1], &stands)
			if stands = c.do != nil; stands {
				c.do(newer)
			}
			time.Sleep(20 * time.Millisecond)
			if got := p.Idle(0); (got == links[1]) != c.used || !c.used && (got != links[0] || p.open != 1) {
				t.Errorf("the first to be used is the one that was spoilt: %v, open %d", got == links[1], p.open)
			}
		})
	}
}

// Reads and writes past the scheduler keep the ways of ordinary ones.
func TestQuickConnection(t *testing.T) {
	l, at := sink(t)
	taken := make(chan net.Conn, 1)
	go func() {
		c, _ := l.Accept()
		taken <- c
	}()
	raw, err := net.Dial("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	c, other := hasten(raw), <-taken
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
	var late net.Error
	if _, err := c.Read(got); !errors.As(err, &late) || !late.Timeout() {
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
func TestLimit(t *testing.T) {
	raw, at := sink(t)
	l := Limit(raw, 1)
	taken := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(taken)
				return
			}
			taken <- c
		}
	}()
	dial := func() {
		c, err := net.Dial("tcp", at.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
	dial()
	ago := func(c net.Conn, ms float64) { c.(*placed).since.Store(time.Now().Add(-Millis(ms)).UnixNano()) }
	next := func(name string, comes bool) (c net.Conn) {
		t.Helper()
		select {
		case c = <-taken:
		case <-time.After(40 * time.Millisecond):
		}
		if (c != nil) != comes {
			t.Fatalf("%s: another one is open %v, want %v", name, c != nil, comes)
		}
		return c
	}
	first := <-taken
	first.(*placed).come()
	first.(*placed).take()
	ago(first, 10*policy.EvictIdleClientMillis)
	dial()
	next("a txn is in hand", false)
	first.Close()
	first.Close() // gives back one place, not two
	second := next("a place is free", true)
	dial()
	next("the other has just come", false)
	ago(second, 2*policy.EvictNewClientMillis)
	third := next("the other has long sent no whole txn", true)
	if second.(*placed).come() {
		t.Error("a txn is taken on a connection that was ended")
	}
	third.(*placed).come()
	third.(*placed).take()
	third.(*placed).rest(false)
	dial()
	ago(third, 2*policy.EvictNewClientMillis)
	next("the other was in use just now", false)
	ago(third, 2*policy.EvictIdleClientMillis)
	next("the other asks nothing", true)
	if l.Shed() != 2 {
		t.Errorf("%d were ended for others, want 2", l.Shed())
	}
	l.Close()
	if _, open := <-taken; open {
		t.Error("it goes on after its close")
	}
	// A bad client whose connection lingers does not keep its place from others.
	ours, theirs := net.Pipe()
	defer theirs.Close()
	last := &placed{Conn: lingering{ours}, of: l}
	last.lingers.Store(true)
	closed := make(chan bool)
	go func() {
		last.Close()
		close(closed)
	}()
	time.Sleep(20 * time.Millisecond)
	start := time.Now()
	if !last.end(fresh) || time.Since(start) > Millis(policy.LingerTimeoutMillis/2) {
		t.Errorf("ended after %v", time.Since(start))
	}
	<-closed
}

// At a stop what has asked nothing for longest ends first, a new connection only once its first txn would
// have come, and one in use or with a txn unread in it not at all.
func TestEndIdle(t *testing.T) {
	raw, at := sink(t)
	l := Limit(raw, 9)
	for _, c := range []struct {
		name   string
		state  int32
		gone   float64 // ms without a byte
		unread bool
		after  float64 // ms
		ends   bool
	}{
		{"idle", idle, 50, false, 10, true},
		{"idle for too short", idle, 50, false, 200, false},
		{"idle, a txn unread", idle, 50, true, 10, false},
		{"new", fresh, policy.EvictNewClientMillis / 2, false, 10, false},
		{"new, and nothing came", fresh, 2 * policy.EvictNewClientMillis, false, 10, true},
		{"a txn is coming", asking, 1000, false, 10, false},
		{"a txn is in hand", taken, 1000, false, 10, false},
	} {
		theirs, err := net.Dial("tcp", at.String())
		if err != nil {
			t.Fatal(err)
		}
		ours, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		p := ours.(*placed)
		if c.unread {
			_, _ = theirs.Write([]byte("GET"))
			for quiet(p.Conn) {
				time.Sleep(time.Millisecond)
			}
		}
		p.state.Store(c.state)
		p.since.Store(time.Now().Add(-Millis(c.gone)).UnixNano())
		waits := l.endIdle(Millis(c.after))
		ends, may := p.state.Load() == ended, c.state == idle || c.state == fresh
		if ends != c.ends || waits != (!ends && may) {
			t.Errorf("%s: ends %v, want %v; waits for more %v", c.name, ends, c.ends, waits)
		}
		_ = p.Close()
		_ = theirs.Close()
	}
}

// Guards against a stop that ends the listener while connections wait in it for a place: they would be reset
// with no answer.
func TestDrainWaitsForHeld(t *testing.T) {
	raw, at := sink(t)
	l := Limit(raw, 1)
	taken := make(chan *placed, 3)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p := c.(*placed)
			p.come()
			p.take()
			taken <- p
		}
	}()
	for range 3 {
		c, err := net.Dial("tcp", at.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	first := <-taken
	for !l.held.Load() {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan bool)
	go func() {
		l.Drain()
		_ = l.Close()
		close(drained)
	}()
	for _, p := range []*placed{first, nil, nil} {
		if p == nil {
			select {
			case p = <-taken:
			case <-time.After(2 * time.Second):
				t.Fatal("one that waited is not served")
			}
		}
		time.Sleep(3 * Millis(policy.AcceptRetryMillis)) // a txn
		_ = p.Close()
	}
	<-drained
}

// While places are scarce a connection ends with its first answer, but not one that goes on asking.
func TestCrowded(t *testing.T) {
	const most = 10
	cases := []struct {
		name   string
		open   int
		proven bool
		ends   bool
	}{
		{"much room", most * policy.KeepAliveClientFraction, false, false},
		{"scarce", most*policy.KeepAliveClientFraction + 1, false, true},
		{"scarce, and it goes on asking", most, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := Limit(nil, most)
			p := &placed{of: l}
			for len(l.open) < c.open {
				l.open[&placed{of: l}] = true
			}
			if p.come(); c.proven {
				p.rest(false)
				p.heard()
				p.come()
			}
			if p.wanted() != c.ends {
				t.Errorf("ends with its answer: %v, want %v", !c.ends, c.ends)
			}
		})
	}
}

func TestPeersTakeOnlyPeers(t *testing.T) {
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
	p := NewPeers([]netip.AddrPort{selfAt, peerAt}, 0)
	if err := p.Bind(selfAt); err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	heard := make(chan int, 9)
	go p.Hear(func(from int, r []policy.Report, _ bool) { heard <- 10*from + len(r) })
	good := gossip.Append(nil, []policy.Report{{Customer: 7, DemandPerSecond: 3}})
	to := net.UDPAddrFromAddrPort(selfAt)
	stranger.WriteTo(good, to)
	p.Tell(0, good) // itself
	peer.WriteTo([]byte("nonsense"), to)
	peer.WriteTo(nil, to)
	peer.WriteTo(bytes.Repeat([]byte{4}, 400), to)
	peer.WriteTo(good, to)
	select {
	case got := <-heard:
		if got != 11 || p.Dropped() != 5 {
			t.Errorf("heard %d after %d dropped, want 11 after 5", got, p.Dropped())
		}
	case <-time.After(time.Second):
		t.Fatal("a peer's report is not heard")
	}
}

// Peers whose messages bear a word: each is heard once and in order, those of a former life and those without
// one not at all, and one that has started anew is known for that. Whole messages stay within their bound.
func TestPeersBear(t *testing.T) {
	both := make([]netip.AddrPort, 2)
	for i := range both {
		both[i] = netip.MustParseAddrPort(ports.Address(t))
	}
	type got struct {
		reports  int
		returned bool
	}
	begin := func(me int, word incarnation.MessageID, heard chan got) *Peers {
		p := NewPeers(both, me)
		p.Bear(word)
		if err := p.Bind(both[me]); err != nil {
			t.Fatal(err)
		}
		go p.Hear(func(_ int, r []policy.Report, returned bool) { heard <- got{len(r), returned} })
		return p
	}
	heard := make(chan got, 9)
	a := begin(0, incarnation.MessageID{Incarnation: 5}, nil)
	b := begin(1, incarnation.MessageID{Incarnation: 9}, heard)
	defer b.Close()
	most := gossip.Append(nil, make([]policy.Report, Room))
	full := gossip.Append(
		nil,
		slices.Repeat([]policy.Report{{Customer: 7, DemandPerSecond: 3, PreviousDemandPerSecond: 2, SpentUnits: 1}},
			Room),
	)
	if len(full)+wordBytes > gossip.Limit || len(full)+wordBytes < gossip.Limit-16 {
		t.Errorf("a full message has %d bytes", len(full)+wordBytes)
	}
	expect := func(what string, want got, dropped int64) {
		t.Helper()
		select {
		case g := <-heard:
			if g != want || b.Dropped() != dropped {
				t.Errorf("%s: %+v after %d dropped", what, g, b.Dropped())
			}
		case <-time.After(time.Second):
			t.Fatalf("%s is not heard", what)
		}
	}
	a.Tell(1, most)
	expect("the first", got{Room, false}, 0)
	a.Tell(1, full)
	expect("the next", got{Room, false}, 0)
	a.said.Store(0)
	a.Tell(1, full) // as one that was held up on the way
	a.bears.Store(false)
	a.Tell(1, full)
	a.Bear(incarnation.MessageID{Incarnation: 4, Sequence: 100})
	a.Tell(1, full) // of a former life
	a.Bear(incarnation.MessageID{Incarnation: 6})
	a.Tell(1, full)
	expect("one that has returned", got{Room, true}, 3)
	word := a.Word()
	a.Close()
	c := begin(0, word, nil) // its heir
	c.Tell(1, full)
	expect("an heir", got{Room, false}, 3)
	b.Among(both[:0])
	c.Tell(1, full)
	time.Sleep(20 * time.Millisecond)
	b.Among(both)
	c.Bear(incarnation.MessageID{Incarnation: 1}) // another, under the number of one that was no more
	c.Tell(1, full)
	expect("another", got{Room, false}, 4)
	c.Close()
}

func TestAppendSubmission(t *testing.T) {
	cases := []struct {
		name  string
		t     Txn
		wait  float64
		rules int64
		want  string
	}{
		{"inquiry", Txn{Method: []byte("GET"), Target: []byte("/a?b"), Mark: []byte("1")}, 12.5, Ruleless,
			"GET /a?b HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 1\r\nX-Deadline: 12500u\r\n\r\n"},
		{"referenced", Txn{Method: []byte("POST"), Target: []byte("/s"), Mark: []byte("2"), Key: []byte("k"),
			Body: []byte("xy")}, 1, Ruleless, "POST /s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 2\r\n" +
			"X-Deadline: 1000u\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nxy"},
		{"no time left", Txn{Method: []byte("POST"), Target: []byte("/s"), Mark: []byte("3")}, -1, Ruleless,
			"POST /s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 3\r\n" +
				"X-Deadline: 0u\r\nContent-Length: 0\r\n\r\n"},
		{"by rules", Txn{Method: []byte("GET"), Target: []byte("/a"), Mark: []byte("4")}, 1, 12,
			"GET /a HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 4\r\nX-Deadline: 1000u\r\nX-Rules: 12\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			msg, at := AppendSubmission(nil, &c.t, c.rules)
			if got := TellLeft(msg, at, Millis(c.wait)); string(got) != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// The time that is left is told in whole us, and never more than there is. Filling it in allocates nothing.
func TestTellLeft(t *testing.T) {
	x := Txn{Method: []byte("POST"), Target: []byte("/s"), Mark: []byte("2"), Body: []byte("xy")}
	for left, want := range map[time.Duration]string{
		-time.Hour: "0u", 0: "0u", 999 * time.Nanosecond: "0u", 1999 * time.Nanosecond: "1u",
		480 * time.Millisecond: "480000u", Millis(policy.MaxClientWaitMillis): "3600000000u",
		24 * time.Hour: "9999999999u",
	} {
		msg, at := AppendSubmission(make([]byte, 0, 512), &x, 7)
		var got []byte
		room := make([]byte, 0, 512)
		n := testing.AllocsPerRun(10, func() { got = TellLeft(append(room[:0], msg...), at, left) })
		if n > 0 {
			t.Errorf("%v: %g allocations", left, n)
		}
		if want := "POST /s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 2\r\nX-Deadline: " + want +
			"\r\nX-Rules: 7\r\nContent-Length: 2\r\n\r\nxy"; string(got) != want {
			t.Errorf("%v: %q, want %q", left, got, want)
		}
	}
}

// What answers say of load, and what of it counts as not said.
func TestLoad(t *testing.T) {
	cases := []struct {
		name, load string
		want       policy.WorkerLoad
	}{
		{"all", `{"inflight":7,"queue":2,"util":0.61}`, policy.WorkerLoad{InFlight: 7, Queued: 2,
			CPUFraction: 0.61}},
		{"in the settings' words", `{"concurrent":7,"depth":2,"load_share":0.61}`,
			policy.WorkerLoad{InFlight: 7, Queued: 2, CPUFraction: 0.61}},
		{"some, and one not known", `{"queue":2,"eps":1}`, policy.WorkerLoad{InFlight: -1, Queued: 2,
			CPUFraction: -1}},
		{"no JSON", `inflight=7`, policy.WorkerLoad{InFlight: -1, Queued: -1, CPUFraction: -1}},
		{"no number", `{"inflight":"7"}`, policy.WorkerLoad{InFlight: -1, Queued: -1, CPUFraction: -1}},
		{"over all bounds", `{"inflight":1e999}`, policy.WorkerLoad{InFlight: -1, Queued: -1, CPUFraction: -1}},
		{"below nought", `{"inflight":-7,"queue":1}`, policy.WorkerLoad{InFlight: -1, Queued: 1, CPUFraction: -1}},
		{"nought is not said", `{}`, policy.WorkerLoad{InFlight: -1, Queued: -1, CPUFraction: -1}},
		{"missing", "", policy.WorkerLoad{InFlight: -1, Queued: -1, CPUFraction: -1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var h fasthttp.ResponseHeader
			if c.load != "" {
				h.Set("X-Load", c.load)
			}
			if got := load(&h); got != c.want {
				t.Errorf("load %+v", got)
			}
			h.Add("X-Load", `{"inflight":1}`)
			if c.load != "" && load(&h).InFlight >= 0 {
				t.Error("a report given twice is taken")
			}
		})
	}
}

// One that comes under another's number is told of as another, and is heard whatever its former owner has
// said.
func TestAnotherPeer(t *testing.T) {
	at := func(ports ...uint16) (all []netip.AddrPort) {
		for _, p := range ports {
			all = append(all, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), p))
		}
		return all
	}
	p := NewPeers(at(1, 2, 3), 0)
	p.heard.Observe(2, incarnation.MessageID{Incarnation: 9})
	if got := p.Among(at(4, 2, 3, 5)); len(got) > 0 {
		t.Errorf("%v are told of as others", got)
	}
	if got := p.Among(at(4, 2, 6)); len(got) != 1 || got[0] != 2 {
		t.Errorf("%v are told of as others", got)
	}
	if v := p.heard.Observe(2, incarnation.MessageID{Incarnation: 1}); v != incarnation.Fresh {
		t.Errorf("its first word is %v", v)
	}
}
