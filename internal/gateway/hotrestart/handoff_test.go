package hotrestart

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"willowdeck/internal/policy"
)

// connectedPair is a predecessor and what its successor has received from it.
type connectedPair struct {
	predecessor *Predecessor
	states      chan HandoffState
	clients     chan ClientConnection
	sockets     chan net.Conn
	complete    chan bool // what Receive has returned
}

func connect(t *testing.T) *connectedPair {
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
	p := &connectedPair{
		predecessor: predecessor,
		states:      make(chan HandoffState, 1),
		clients:     make(chan ClientConnection, 9),
		sockets:     make(chan net.Conn, 9),
		complete:    make(chan bool, 1),
	}
	go func() {
		complete, _ := successor.Receive(Handlers{
			State: func(state HandoffState) { p.states <- state },
			Client: func(conn net.Conn, connection ClientConnection) {
				p.clients <- connection
				p.sockets <- conn
			},
			PeerSocket: func(conn *net.UDPConn) { p.sockets <- conn },
		})
		p.complete <- complete
	}()
	for range 100 {
		if predecessor.HasSuccessor() {
			return p
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no successor is connected")
	return nil
}

// A state of any size, connections with what was read ahead from them, and the datagram socket are handed
// off.
func TestHandoff(t *testing.T) {
	p := connect(t)
	state := HandoffState{WorkerNames: map[int]string{3: "w3"}}
	for i := range 5000 { // many packets
		customer := policy.CustomerState{ID: uint64(i), ShareTokens: float64(i) / 3}
		state.Policy.Customers = append(state.Policy.Customers, customer)
	}
	if err := p.predecessor.SendState(state); err != nil {
		t.Fatal(err)
	}
	got := <-p.states
	customers := got.Policy.Customers
	if len(customers) != 5000 || customers[4999].ShareTokens != 4999.0/3 || got.WorkerNames[3] != "w3" {
		t.Errorf("received %d customers, workers %v", len(customers), got.WorkerNames)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	theirs, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer theirs.Close()
	ours, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := ours.(*net.TCPConn).SyscallConn()
	sent := ClientConnection{Proven: true, ReadAhead: []byte("GET /ch")}
	if err := p.predecessor.SendClient(raw, sent); err != nil {
		t.Fatal(err)
	}
	ours.Close() // it lives on in the successor
	if connection := <-p.clients; !connection.Proven || string(connection.ReadAhead) != "GET /ch" {
		t.Errorf("the connection was received as %+v", connection)
	}
	moved := <-p.sockets
	fmt.Fprint(moved, "hello")
	moved.Close()
	if b, err := io.ReadAll(theirs); string(b) != "hello" || err != nil {
		t.Errorf("its client got %q, %v", b, err)
	}
	u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	at := u.LocalAddr()
	raw, _ = u.SyscallConn()
	if err := p.predecessor.SendPeerSocket(raw); err != nil {
		t.Fatal(err)
	}
	u.Close()
	if c := <-p.sockets; c.LocalAddr().String() != at.String() {
		t.Errorf("the datagram socket is at %v, was at %v", c.LocalAddr(), at)
	}
	p.predecessor.Close()
	if !<-p.complete {
		t.Error("a complete state is not reported as complete")
	}
}

// A state that ends early or can't be decoded is not complete: the successor starts without one.
func TestIncompleteState(t *testing.T) {
	var b bytes.Buffer
	state := HandoffState{WorkerNames: map[int]string{1: "w1"}}
	if err := gob.NewEncoder(&b).Encode(encodeHandoff(state)); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		send func(*Predecessor)
	}{
		{"nothing", func(*Predecessor) {}},
		{"last chunk missing", func(p *Predecessor) { p.send(stateChunkPacket, b.Bytes()[:b.Len()-1], nil) }},
		{"truncated", func(p *Predecessor) { p.send(lastChunkPacket, b.Bytes()[:b.Len()-1], nil) }},
		{"random bytes", func(p *Predecessor) { p.send(lastChunkPacket, bytes.Repeat([]byte{7}, 900), nil) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := connect(t)
			c.send(p.predecessor)
			p.predecessor.Close()
			if <-p.complete || len(p.states) > 0 {
				t.Error("it counts as complete")
			}
		})
	}
}

// Only processes of the same gateway and version are connected, and a successor that dies is noticed.
func TestGreeting(t *testing.T) {
	path := SocketPath(t.TempDir(), "n0")
	if _, err := Connect(path, "n0"); err == nil {
		t.Error("connected where no process listens")
	}
	predecessor, err := Listen(path, "n0")
	if err != nil {
		t.Fatal(err)
	}
	defer predecessor.Close()
	if _, err := Connect(path, "n1"); err == nil {
		t.Error("another gateway's process is connected")
	}
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "%c%d n0", greetingPacket, Version+1)
	buf := make([]byte, 99)
	if n, _ := c.Read(buf); !bytes.Equal(buf[:n], greeting("n0")) || predecessor.HasSuccessor() {
		t.Errorf("one of another version receives %q, and is a successor: %v", buf[:n], predecessor.HasSuccessor())
	}
	successor, err := Connect(path, "n0")
	if err != nil {
		t.Fatal(err)
	}
	successor.conn.Close()
	time.Sleep(10 * time.Millisecond)
	if predecessor.HasSuccessor() || predecessor.SendState(HandoffState{}) == nil {
		t.Error("a successor that has died counts as connected")
	}
	if _, err := Listen(path, "n0"); err != nil {
		t.Errorf("a path at which another process listens: %v", err)
	}
	if _, err := Listen(filepath.Join(path, "no"), "n0"); err == nil {
		t.Error("a path that can't be made, and no error")
	}
}

// A descriptor that comes with a packet which has none, or with one of an unknown kind, is closed.
func TestUnexpectedDescriptorsAreClosed(t *testing.T) {
	for _, kind := range []byte{stateChunkPacket, '?'} {
		path := SocketPath(t.TempDir(), "n0")
		listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		reader, writer, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		defer reader.Close()
		sent := make(chan error, 1)
		go func() {
			conn, err := listener.AcceptUnix()
			if err == nil {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 256)) // an unread greeting would reset the connection
				_, _ = conn.Write([]byte(goldenGreeting))
				rights := syscall.UnixRights(int(writer.Fd()))
				_, _, err = conn.WriteMsgUnix([]byte{kind, 'x'}, rights, nil)
			}
			sent <- errors.Join(err, writer.Close())
		}()
		successor, err := Connect(path, "n0")
		if err != nil {
			t.Fatal(err)
		}
		if err := <-sent; err != nil {
			t.Fatal(err)
		}
		if complete, _ := successor.Receive(Handlers{}); complete {
			t.Errorf("%q: a state is complete", kind)
		}
		_ = reader.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := reader.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("%q: the descriptor is still open: %v", kind, err)
		}
	}
}
