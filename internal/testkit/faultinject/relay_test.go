package faultinject

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"

	"willowdeck/internal/testkit/ports"
)

// ends are sockets for datagrams, as gatekeepers have them, with relays between.
type ends struct {
	t    *testing.T
	net  *Net
	conn map[string]*net.UDPConn
}

func among(t *testing.T, seed int64, names ...string) *ends {
	t.Helper()
	e := &ends{t: t, net: NewNet(t, seed), conn: map[string]*net.UDPConn{}}
	for _, name := range names {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		c.SetReadBuffer(kernelBytes)
		t.Cleanup(func() { c.Close() })
		e.conn[name] = c
		e.net.SetAddress(name, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return e
}

// say sends numbered datagrams from one to another, no faster than the relay takes them.
func (e *ends) say(from, to string, n int) {
	at, _ := e.net.Datagrams(from, to)
	for i := range n {
		if _, err := e.conn[from].WriteToUDPAddrPort(binary.BigEndian.AppendUint32(nil, uint32(i)),
			at); err != nil {
			e.t.Error(err)
		}
		for c := e.net.Counts(from, to); i%50 == 49; c = e.net.Counts(from, to) {
			if int(c.Came+c.Strange) > i {
				break
			}
			time.Sleep(time.Millisecond / 2)
		}
	}
}

// hear takes what comes until it is so many (0: any number), or nothing comes for a while: numbers, and the
// addresses that they came from.
func (e *ends) hear(at string, want int, quiet time.Duration) (got []int, from []netip.AddrPort) {
	buf := make([]byte, 64)
	for want == 0 || len(got) < want {
		e.conn[at].SetReadDeadline(time.Now().Add(quiet))
		n, a, err := e.conn[at].ReadFromUDPAddrPort(buf)
		if err != nil {
			break
		}
		if n != 4 {
			e.t.Errorf("%d bytes", n)
		}
		got, from = append(got, int(binary.BigEndian.Uint32(buf))), append(from, a)
	}
	return got, from
}

// A relay does to datagrams what its Shape says and nothing else, the same for the same seed, and the other
// direction is left alone.
func TestShapes(t *testing.T) {
	const n = 400 // as many as the kernel holds for one that has no core
	for _, c := range []struct {
		name   string
		shape  Shape
		lost   [2]int // bounds of how many do not come, and so on
		twice  [2]int
		sorted bool
	}{
		{"plain", Shape{}, [2]int{0, 0}, [2]int{0, 0}, true},
		{"loss", Shape{Loss: 0.3}, [2]int{80, 160}, [2]int{0, 0}, true},
		{"doubling", Shape{Double: 0.1}, [2]int{0, 0}, [2]int{15, 65}, true},
		{"jitter keeps the order", Shape{Delay: 5 * time.Millisecond, Jitter: 20 * time.Millisecond},
			[2]int{0, 0}, [2]int{0, 0}, true},
		{"reordering", Shape{Reorder: 0.1}, [2]int{0, 0}, [2]int{0, 0}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			play := func() []int {
				e := among(t, 7, "a", "b")
				e.net.Shape("a", "b", c.shape)
				go e.say("a", "b", n)
				got, _ := e.hear("b", 0, 500*time.Millisecond)
				go e.say("b", "a", 20)
				if back, _ := e.hear("a", 20, 5*time.Second); len(back) != 20 {
					t.Errorf("%d of 20 the other way", len(back))
				}
				return got
			}
			got := play()
			each := map[int]bool{}
			for _, i := range got {
				each[i] = true
			}
			lost, twice := n-len(each), len(got)-len(each)
			if lost < c.lost[0] || lost > c.lost[1] || twice < c.twice[0] || twice > c.twice[1] ||
				slices.IsSorted(got) != c.sorted {
				t.Errorf("lost %d, twice %d, sorted %t", lost, twice, slices.IsSorted(got))
			}
			if again := play(); c.sorted && !slices.Equal(got, again) {
				t.Error("the same seed has lost and doubled others")
			}
		})
	}
}

// Each pair has addresses of its own that datagrams come from, whichever side speaks; those of a stranger are
// dropped, and an end that has moved is found at its new place alone.
func TestSourceTellsWho(t *testing.T) {
	t.Parallel()
	names := []string{"a", "b", "c", "d"}
	e := among(t, 1, names...)
	seen := map[netip.AddrPort]bool{}
	for _, a := range names {
		for _, b := range names {
			if a == b {
				continue
			}
			atA, _ := e.net.Datagrams(a, b)
			_, same := e.net.Datagrams(b, a)
			if atA != same || seen[atA] {
				t.Errorf("%s and %s: %v, %v", a, b, atA, same)
			}
			seen[atA] = true
			e.say(b, a, 1)
			if got, from := e.hear(a, 1, 5*time.Second); len(got) != 1 || from[0] != atA {
				t.Errorf("%s hears %s from %v, listed at %v", a, b, from, atA)
			}
		}
	}
	if p := e.net.Peers("b", names); p[1] != e.conn["b"].LocalAddr().String() || len(p) != 4 || p[0] == p[2] {
		t.Errorf("listed at b: %v", p)
	}
	e.net.SetAddress("a", e.conn["c"].LocalAddr().(*net.UDPAddr).AddrPort())
	e.say("a", "b", 3)
	if got, _ := e.hear("b", 0, 100*time.Millisecond); len(got) > 0 || e.net.Counts("a", "b").Strange != 3 {
		t.Errorf("from where a was: %v, %+v", got, e.net.Counts("a", "b"))
	}
}

// A one-way cut stops one direction and a delayed one that is under way, the other flows on; healed it flows.
func TestCutDatagrams(t *testing.T) {
	t.Parallel()
	e := among(t, 1, "a", "b")
	const delay = time.Second // by when the cut is there, also on a loaded machine
	e.net.Shape("a", "b", Shape{Delay: delay})
	e.say("a", "b", 5)
	Until(t, 10*time.Second, "taken", func() bool { return e.net.Counts("a", "b").Came == 5 })
	e.net.Cut("a", "b", Silent)
	e.say("b", "a", 5)
	if got, _ := e.hear("a", 5, 5*time.Second); len(got) != 5 {
		t.Errorf("the other way: %v", got)
	}
	if got, _ := e.hear("b", 0, delay+150*time.Millisecond); len(got) != 0 {
		t.Errorf("over a cut: %v", got)
	}
	e.net.Shape("a", "b", Shape{})
	e.net.Heal("a", "b")
	e.say("a", "b", 5)
	if got, _ := e.hear("b", 5, 5*time.Second); len(got) != 5 {
		t.Errorf("healed: %v", got)
	}
	if c := e.net.Counts("a", "b"); c.Came != 10 || c.Lost != 5 || c.Passed != 5 {
		t.Errorf("%+v", c)
	}
}

// What a slow link holds is bounded: the rest is lost, not kept.
func TestSlowDatagrams(t *testing.T) {
	t.Parallel()
	e := among(t, 1, "a", "b")
	e.net.Shape("a", "b", Shape{Rate: 400})
	start := time.Now()
	e.say("a", "b", maxQueuedDatagrams+200)
	Until(t, 10*time.Second, "some are lost", func() bool { return e.net.Counts("a", "b").Lost > 50 })
	began := time.Now()
	n := 0
	for buf := make([]byte, 9); time.Since(began) < 400*time.Millisecond; {
		e.conn["b"].SetReadDeadline(began.Add(400 * time.Millisecond))
		if _, err := e.conn["b"].Read(buf); err == nil {
			n++
		}
	}
	if took := time.Since(start); n < 10 || float64(n) > 100*took.Seconds()+1 {
		t.Errorf("%d datagrams of 4 bytes in %v at 400 bytes a second", n, took)
	}
}

// echo says back what it is told, line by line, and counts its connections.
func echo(t *testing.T) (at string, conns chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns = make(chan net.Conn, 99)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String(), conns
}

// dialled is a client's connection.
type dialled struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, at string) dialled {
	t.Helper()
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return dialled{c, bufio.NewReader(c)}
}

// says sends a line and gives the error with which no answer came.
func (d dialled) says(line string, within time.Duration) error {
	fmt.Fprintln(d, line)
	return d.hears(line, within)
}

func (d dialled) hears(line string, within time.Duration) error {
	d.SetReadDeadline(time.Now().Add(within))
	got, err := d.r.ReadString('\n')
	if err == nil && got != line+"\n" {
		err = fmt.Errorf("%q", got)
	}
	return err
}

func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// A silent cut, of either direction, leaves a connection open on which nothing comes, and what was said on it
// comes after the heal; a new connection says nothing until then, and its other end is not called.
func TestSilentCut(t *testing.T) {
	t.Parallel()
	for _, way := range [][2]string{{"a", "b"}, {"b", "a"}} {
		n := NewNet(t, 1)
		target, conns := echo(t)
		at := n.Stream("a", "b", target)
		c := dial(t, at)
		if err := c.says("one", 2*time.Second); err != nil {
			t.Fatal(err)
		}
		n.Cut(way[0], way[1], Silent)
		if err := c.says("two", 150*time.Millisecond); !timedOut(err) {
			t.Errorf("cut %v: %v", way, err)
		}
		fresh := dial(t, at)
		if err := fresh.says("new", 150*time.Millisecond); !timedOut(err) || len(conns) != 1 {
			t.Errorf("cut %v, a new connection: %v, %d calls", way, err, len(conns))
		}
		n.Heal(way[0], way[1])
		if err := c.hears("two", 2*time.Second); err != nil {
			t.Errorf("healed %v: %v", way, err)
		}
		if err := fresh.hears("new", 2*time.Second); err != nil {
			t.Errorf("healed %v, a new connection: %v", way, err)
		}
	}
}

// A cut that resets ends what there is and each new connection, one that refuses lets none be made, and after
// the heal the same address takes connections again.
func TestResetAndRefused(t *testing.T) {
	t.Parallel()
	n := NewNet(t, 1)
	target, _ := echo(t)
	at := n.Stream("a", "b", target)
	for _, how := range []Cut{Reset, Refused} {
		c := dial(t, at)
		if err := c.says("one", 2*time.Second); err != nil {
			t.Fatal(err)
		}
		n.Cut("b", "a", how)
		if err := c.hears("", 2*time.Second); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%v: %v", how, err)
		}
		fresh, err := net.Dial("tcp", at)
		// A process that another test just starts has a copy of the listener until its exec.
		for end := time.Now().Add(2 * time.Second); how == Refused && !errors.Is(err, syscall.ECONNREFUSED) &&
			time.Now().Before(end); {
			if err == nil {
				fresh.Close()
			}
			time.Sleep(10 * time.Millisecond)
			fresh, err = net.Dial("tcp", at)
		}
		if how == Refused && !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%v: %v", how, err)
		}
		if err := Reach(at, 50*time.Millisecond); (err != nil) != (how == Refused) {
			t.Errorf("%v: reached: %v", how, err)
		}
		if err == nil {
			fresh.SetReadDeadline(time.Now().Add(2 * time.Second))
			if _, err = fresh.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%v, a new connection: %v", how, err)
			}
			fresh.Close()
		}
		n.Heal("b", "a")
		if err := dial(t, at).says("again", 2*time.Second); err != nil {
			t.Errorf("healed after %v: %v", how, err)
		}
	}
}

// Much is passed on whole and in order, whichever way a connection is ended; a delay and a slow link act on
// their own direction, and a reader that does not read holds its writer up.
func TestStream(t *testing.T) {
	t.Parallel()
	n := NewNet(t, 1)
	target, conns := echo(t)
	at := n.Stream("a", "b", target)
	c := dial(t, at)
	much := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() {
		c.Write(much)
		c.Conn.(*net.TCPConn).CloseWrite()
	}()
	if got, err := io.ReadAll(c); err != nil || !bytes.Equal(got, much) {
		t.Errorf("%d of %d bytes, %v", len(got), len(much), err)
	}
	<-conns
	c = dial(t, at)
	n.Shape("a", "b", Shape{Delay: 100 * time.Millisecond})
	began := time.Now()
	if err := c.says("late", 2*time.Second); err != nil || time.Since(began) < 100*time.Millisecond {
		t.Errorf("%v after %v", err, time.Since(began))
	}
	n.Shape("a", "b", Shape{Rate: 10e3})
	began = time.Now()
	if err := c.says(string(make([]byte, 3000)), 5*time.Second); err != nil ||
		time.Since(began) < 250*time.Millisecond {
		t.Errorf("3000 bytes at 10 kB/s: %v after %v", err, time.Since(began))
	}
	n.Shape("a", "b", Shape{})
	n.Cut("a", "b", Silent)
	c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	sent, err := 0, error(nil)
	for n := 0; err == nil && sent < 64<<20; sent += n {
		n, err = c.Write(much)
	}
	if !timedOut(err) {
		t.Errorf("%d bytes were taken for one that reads none: %v", sent, err)
	}
}

// What becomes of a datagram hangs on its number alone, not on what the direction's Shape was before.
func TestDrawsKeepTheirPlace(t *testing.T) {
	fates := func(before Shape) (all []bool) {
		n := NewNet(t, 3)
		w := n.way("a", "b")
		for i := range 300 {
			if w.shape = before; i >= 100 {
				w.shape = Shape{Loss: 0.5, Delay: time.Hour}
			}
			due, _ := w.draw(time.Now(), 100)
			all = append(all, due.IsZero())
		}
		return all[100:]
	}
	want := fates(Shape{})
	if !slices.Contains(want, true) || !slices.Contains(want, false) {
		t.Error("nothing is lost, or all")
	}
	for _, s := range []Shape{{Loss: 1}, {Double: 0.5}, {Reorder: 0.5}, {Jitter: time.Second, Rate: 100}} {
		if !slices.Equal(fates(s), want) {
			t.Errorf("others are lost after %v", s)
		}
	}
}

// Guards against an address in use for the ms in which a process that is being started still has a copy of a
// listener that was closed here.
func TestListenAgain(t *testing.T) {
	l := ports.Listen(t)
	f, err := l.(*net.TCPListener).File() // as a fork has it
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().String()
	_ = l.Close()
	if held, err := net.Listen("tcp4", at); err == nil {
		_ = held.Close()
		t.Fatal("a copy does not hold the address")
	}
	time.AfterFunc(100*time.Millisecond, func() { _ = f.Close() })
	if l, err = listenAgain(at); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
}
