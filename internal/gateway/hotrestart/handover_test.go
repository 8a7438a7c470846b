package hotrestart

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	"willowdeck/internal/policy"
)

// pair is both ends of a conversation, with what the heir has taken.
type pair struct {
	owner   *Owner
	wills   chan Will
	clients chan Client
	conns   chan net.Conn
	ended   chan bool
}

func meet(t *testing.T) *pair {
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
	p := &pair{o, make(chan Will, 1), make(chan Client, 9), make(chan net.Conn, 9), make(chan bool, 1)}
	go func() {
		whole, _ := h.Receive(Takes{Will: func(w Will) { p.wills <- w },
			Client: func(c net.Conn, as Client) { p.clients <- as; p.conns <- c },
			Peers:  func(c *net.UDPConn) { p.conns <- c }})
		p.ended <- whole
	}()
	for range 100 {
		if o.Awaited() {
			return p
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the heir is not heard")
	return nil
}

// A will of any size, connections with what was read of them, and the datagram socket come over.
func TestHandOver(t *testing.T) {
	p := meet(t)
	w := Will{Workers: map[int]string{3: "w3"}}
	for i := range 5000 { // many packets
		w.Estate.Customers = append(w.Estate.Customers, policy.CustomerState{ID: uint64(i),
			ShareTokens: float64(i) / 3})
	}
	if err := p.owner.Leave(w); err != nil {
		t.Fatal(err)
	}
	got := <-p.wills
	all := got.Estate.Customers
	if len(all) != 5000 || all[4999].ShareTokens != 4999.0/3 || got.Workers[3] != "w3" {
		t.Errorf("the will came as %d customers, %v", len(all), got.Workers)
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
	if err := p.owner.Client(raw, Client{Proven: true, Ahead: []byte("GET /ch")}); err != nil {
		t.Fatal(err)
	}
	ours.Close() // it lives on at the heir's
	if as := <-p.clients; !as.Proven || string(as.Ahead) != "GET /ch" {
		t.Errorf("the connection came as %+v", as)
	}
	moved := <-p.conns
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
	if err := p.owner.Peers(raw); err != nil {
		t.Fatal(err)
	}
	u.Close()
	if c := <-p.conns; c.LocalAddr().String() != at.String() {
		t.Errorf("the datagram socket is at %v, was at %v", c.LocalAddr(), at)
	}
	p.owner.Close()
	if !<-p.ended {
		t.Error("a whole will is not told as such")
	}
}

// What ends early, or makes no sense, is no will: the heir starts from nothing.
func TestNoWill(t *testing.T) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(Will{Workers: map[int]string{1: "w1"}}); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		do   func(*Owner)
	}{
		{"nothing", func(*Owner) {}},
		{"cut short", func(o *Owner) { o.send(piece, b.Bytes()[:b.Len()-1], nil) }},
		{"ended in its middle", func(o *Owner) { o.send(last, b.Bytes()[:b.Len()-1], nil) }},
		{"noise", func(o *Owner) { o.send(last, bytes.Repeat([]byte{7}, 900), nil) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := meet(t)
			c.do(p.owner)
			p.owner.Close()
			if <-p.ended || len(p.wills) > 0 {
				t.Error("it counts as whole")
			}
		})
	}
}

// Others than this gatekeeper's processes of this version do not talk, and an heir that dies is noticed.
func TestWhoTalks(t *testing.T) {
	path := Path(t.TempDir(), "n0")
	if _, err := Find(path, "n0"); err == nil {
		t.Error("found where there is nobody")
	}
	o, err := Offer(path, "n0")
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	if _, err := Find(path, "n1"); err == nil {
		t.Error("another gatekeeper's process is answered")
	}
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "%c%d n0", hello, Version+1)
	buf := make([]byte, 99)
	if n, _ := c.Read(buf); !bytes.Equal(buf[:n], greeting("n0")) || o.Awaited() {
		t.Errorf("one of another version hears %q, and is an heir: %v", buf[:n], o.Awaited())
	}
	h, err := Find(path, "n0")
	if err != nil {
		t.Fatal(err)
	}
	h.conn.Close()
	time.Sleep(10 * time.Millisecond)
	if o.Awaited() || o.Leave(Will{}) == nil {
		t.Error("an heir that has died is waited for")
	}
	if _, err := Offer(path, "n0"); err != nil {
		t.Errorf("the path of one that is there: %v", err)
	}
	if _, err := Offer(filepath.Join(path, "no"), "n0"); err == nil {
		t.Error("no path, and no error")
	}
}
