package transport

import (
	"net"
	"testing"
	"time"

	"willowdeck/internal/policy"
)

// halfClosable is a connection with a CloseWrite.
type halfClosable struct{ net.Conn }

func (halfClosable) CloseWrite() error { return nil }

// At its limit a listener evicts what is idle, and lets clients wait where all are busy; it rejects none.
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
	setIdleFor(first, 10*policy.EvictIdleClientMillis)
	dial()
	expectAccepted("a request is in flight", false)
	first.Close()
	first.Close() // gives back one place, not two
	second := expectAccepted("a place is free", true)
	dial()
	expectAccepted("the other has just come", false)
	setIdleFor(second, 2*policy.EvictNewClientMillis)
	third := expectAccepted("the other has long sent no complete request", true)
	if second.(*clientConn).headReceived() {
		t.Error("a request is accepted on a connection that was ended")
	}
	third.(*clientConn).headReceived()
	third.(*clientConn).requestReceived()
	third.(*clientConn).answered(false)
	dial()
	setIdleFor(third, 2*policy.EvictNewClientMillis)
	expectAccepted("the other was in use just now", false)
	setIdleFor(third, 2*policy.EvictIdleClientMillis)
	expectAccepted("the other asks nothing", true)
	if listener.Evicted() != 2 {
		t.Errorf("%d were evicted, want 2", listener.Evicted())
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
	if !last.endIf(stateNew) || time.Since(start) > Millis(policy.LingerTimeoutMillis/2) {
		t.Errorf("ended after %v", time.Since(start))
	}
	<-closed
}

// When idle connections are closed, those that have been idle for longest are first, new ones are closed only
// once their first request would have come, and ones in use or with an unread request are not.
func TestCloseIdle(t *testing.T) {
	raw, address := listen(t)
	listener := NewLimitListener(raw, 9)
	for _, tc := range []struct {
		name             string
		state            int32
		idleMillis       float64 // without a byte
		unread           bool
		closeAfterMillis float64
		closes           bool
	}{
		{"idle", stateIdle, 50, false, 10, true},
		{"idle for too short", stateIdle, 50, false, 200, false},
		{"idle, a request unread", stateIdle, 50, true, 10, false},
		{"new", stateNew, policy.EvictNewClientMillis / 2, false, 10, false},
		{"new, and nothing came", stateNew, 2 * policy.EvictNewClientMillis, false, 10, true},
		{"a request is being read", stateReadingNext, 1000, false, 10, false},
		{"a request is in flight", stateServing, 1000, false, 10, false},
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

// Guards against a Drain that returns while connections wait for a place: they would be reset without an
// answer.
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
		time.Sleep(3 * Millis(policy.AcceptRetryMillis)) // a request
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
		{"many places left", limit * policy.KeepAliveClientFraction, false, false},
		{"scarce", limit*policy.KeepAliveClientFraction + 1, false, true},
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
				conn.recordRead()
				conn.headReceived()
			}
			if conn.shouldClose() != tc.closes {
				t.Errorf("ends with its answer: %v, want %v", !tc.closes, tc.closes)
			}
		})
	}
}
