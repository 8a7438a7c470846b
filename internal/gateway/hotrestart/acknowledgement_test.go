package hotrestart

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// heirOf greets an owner by hand, and does nothing else.
func heirOf(t *testing.T) (*Owner, *net.UnixConn) {
	t.Helper()
	path := Path(t.TempDir(), "n0")
	o, err := Offer(path, "n0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	h, err := Find(path, "n0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.conn.Close() })
	for end := time.Now().Add(5 * time.Second); !o.Awaited(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the heir is not heard")
		}
	}
	return o, h.conn
}

// clientOf is a client's connection, to be handed on.
func clientOf(t *testing.T) (net.Conn, syscall.RawConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return c, raw
}

// atOnce is far below what one packet may wait.
const atOnce = patience / 4

// An heir that hangs, dies over the will or answers something else gets no client, and none waits for it.
// Guards against a place that is left to a process that was there to be greeted, and no more.
func TestNoYes(t *testing.T) {
	for name, does := range map[string]func(c *net.UnixConn){
		"hangs": func(*net.UnixConn) {},
		"dies":  func(c *net.UnixConn) { c.Close() },
		"dies over the will": func(c *net.UnixConn) {
			buf := make([]byte, pieceBytes+1)
			for {
				if n, err := c.Read(buf); err != nil || n == 0 || buf[0] == last {
					c.Close()
					return
				}
			}
		},
		"says something else": func(c *net.UnixConn) { _, _ = c.Write([]byte{hello}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o, c := heirOf(t)
			_, raw := clientOf(t)
			go does(c)
			if err := o.Leave(Will{}); err == nil {
				t.Fatal("the place is left without a yes")
			}
			began := time.Now()
			for range 100 {
				if o.Client(raw, Client{}) == nil || o.Awaited() {
					t.Fatal("it is an heir still")
				}
			}
			if took := time.Since(began); took > atOnce {
				t.Errorf("clients have waited %v for it", took)
			}
		})
	}
}

// An heir that says yes and then takes no more holds up one client for the time of a packet, and no other.
// One client that has gone is not the heir's failure.
func TestHeirStops(t *testing.T) {
	o, c := heirOf(t)
	go func() { // yes to the will, and then nothing is read
		buf := make([]byte, pieceBytes+1)
		for {
			if n, err := c.Read(buf); err != nil || n == 0 {
				return
			} else if buf[0] == last {
				_, _ = c.Write([]byte{yes})
				return
			}
		}
	}()
	if err := o.Leave(Will{}); err != nil {
		t.Fatal(err)
	}
	_, raw := clientOf(t)
	gone, lost := clientOf(t)
	gone.Close()
	if o.Client(lost, Client{}) == nil || !o.Awaited() {
		t.Fatal("a client that has gone is handed on, or ends the heir")
	}
	const most = 100000 // far beyond what a socket holds
	sent := 0
	for sent < most && o.Client(raw, Client{}) == nil {
		sent++
	}
	if sent == 0 || sent == most {
		t.Fatalf("%d are taken by one that reads none", sent)
	}
	began := time.Now()
	for range 100 {
		if o.Client(raw, Client{}) == nil {
			t.Error("one more is taken")
		}
	}
	if took := time.Since(began); took > atOnce {
		t.Errorf("the others have waited %v", took)
	}
}
