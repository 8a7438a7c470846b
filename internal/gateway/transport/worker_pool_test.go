package transport

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"
)

// fixedIncarnation is an incarnation that is valid or is not.
type fixedIncarnation bool

func (valid fixedIncarnation) Valid() bool { return bool(valid) }

// The pool keeps to its limit, reuses the most recent connection, and keeps none of an ended incarnation or
// beyond the idle time-out.
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
		t.Errorf("after CloseIdle %d are open", pool.open)
	}
	d, _ := pool.Dial(0, address, deadline())
	if pool.Put(d, fixedIncarnation(false)) || pool.TakeIdle(0) != nil {
		t.Error("one of an ended incarnation is kept")
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

// A connection that its worker has closed, or sent more on, is not used again.
func TestWorkerPoolSkipsStaleConns(t *testing.T) {
	listener, address := listen(t)
	cases := []struct {
		name   string
		do     func(net.Conn)
		reused bool
	}{
		{"quiet", func(net.Conn) {}, true},
		{"of an ended incarnation", nil, false},
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
				t.Errorf("the first to be used is the stale one: %v, open %d", got == conns[1], pool.open)
			}
		})
	}
}
