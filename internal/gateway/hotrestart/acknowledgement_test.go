package hotrestart

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// idleSuccessor connects a successor that receives nothing by itself.
func idleSuccessor(t *testing.T) (*Predecessor, *net.UnixConn) {
	t.Helper()
	path := SocketPath(t.TempDir(), "n0")
	predecessor, err := Listen(path, "n0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(predecessor.Close)
	successor, err := Connect(path, "n0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { successor.conn.Close() })
	for end := time.Now().Add(5 * time.Second); !predecessor.HasSuccessor(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no successor is connected")
		}
	}
	return predecessor, successor.conn
}

// newClient is a client's connection, to be handed off.
func newClient(t *testing.T) (net.Conn, syscall.RawConn) {
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

// immediately is far below the time-out of one packet.
const immediately = packetTimeout / 4

// A successor that hangs, dies while it receives the state or answers something else gets no client, and no
// client waits for it. Guards against a handoff to a process that has greeted and does nothing more.
func TestStateNotAcknowledged(t *testing.T) {
	for name, behave := range map[string]func(c *net.UnixConn){
		"hangs": func(*net.UnixConn) {},
		"dies":  func(c *net.UnixConn) { c.Close() },
		"dies while it receives the state": func(c *net.UnixConn) {
			buf := make([]byte, stateChunkBytes+1)
			for {
				if n, err := c.Read(buf); err != nil || n == 0 || buf[0] == lastChunkPacket {
					c.Close()
					return
				}
			}
		},
		"answers something else": func(c *net.UnixConn) { _, _ = c.Write([]byte{greetingPacket}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			predecessor, conn := idleSuccessor(t)
			_, raw := newClient(t)
			go behave(conn)
			if err := predecessor.SendState(HandoffState{}); err == nil {
				t.Fatal("the handoff succeeds without an acknowledgement")
			}
			start := time.Now()
			for range 100 {
				if predecessor.SendClient(raw, ClientConnection{}) == nil || predecessor.HasSuccessor() {
					t.Fatal("it is still a successor")
				}
			}
			if elapsed := time.Since(start); elapsed > immediately {
				t.Errorf("clients waited %v for it", elapsed)
			}
		})
	}
}

// A successor that acknowledges the state and then reads nothing holds up one client for a packet's time-out,
// and no other. One client that has gone does not count as the successor's failure.
func TestSuccessorStopsReading(t *testing.T) {
	predecessor, conn := idleSuccessor(t)
	go func() { // acknowledges the state, and then reads nothing
		buf := make([]byte, stateChunkBytes+1)
		for {
			if n, err := conn.Read(buf); err != nil || n == 0 {
				return
			} else if buf[0] == lastChunkPacket {
				_, _ = conn.Write([]byte{acknowledgedPacket})
				return
			}
		}
	}()
	if err := predecessor.SendState(HandoffState{}); err != nil {
		t.Fatal(err)
	}
	_, raw := newClient(t)
	closed, closedRaw := newClient(t)
	closed.Close()
	if predecessor.SendClient(closedRaw, ClientConnection{}) == nil || !predecessor.HasSuccessor() {
		t.Fatal("a client that has gone is handed off, or fails the successor")
	}
	const maxClients = 100000 // far beyond what a socket's buffer holds
	sent := 0
	for sent < maxClients && predecessor.SendClient(raw, ClientConnection{}) == nil {
		sent++
	}
	if sent == 0 || sent == maxClients {
		t.Fatalf("%d are sent to one that reads none", sent)
	}
	start := time.Now()
	for range 100 {
		if predecessor.SendClient(raw, ClientConnection{}) == nil {
			t.Error("one more is sent")
		}
	}
	if elapsed := time.Since(start); elapsed > immediately {
		t.Errorf("the others waited %v", elapsed)
	}
}
