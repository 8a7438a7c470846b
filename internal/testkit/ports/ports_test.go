package ports

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// ephemeralPort returns the port that the system assigns to a listener at port 0, or to an outgoing
// connection, when the socket's ephemeral range is this port alone. If the system may not assign the port,
// the result is another one.
func ephemeralPort(t *testing.T, port int, call bool) int {
	t.Helper()
	only := func(_, _ string, c syscall.RawConn) (err error) {
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_LOCAL_PORT_RANGE, port<<16|port)
		}); e != nil {
			return e
		}
		return err
	}
	if call {
		to, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { to.Close() })
		c, err := (&net.Dialer{Control: only}).DialContext(t.Context(), "tcp4", to.Addr().String())
		if errors.Is(err, unix.EADDRNOTAVAIL) { // this one is taken, and the system may give no other
			return 0
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c.LocalAddr().(*net.TCPAddr).Port
	}
	l, err := (&net.ListenConfig{Control: only}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if errors.Is(err, unix.EADDRINUSE) {
		return 0
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().(*net.TCPAddr).Port
}

// Guards against "address already in use" at a port that was drawn by listening at port 0 and closed: between
// that and its use the system gives it to another. The order is forced; what the system may give is its own
// word. The old way has to fail here, or the test shows nothing.
func TestOutsideEphemeralRange(t *testing.T) {
	c, err := (&net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_LOCAL_PORT_RANGE, 0)
		}); e != nil {
			return e
		}
		return err
	}}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if errors.Is(err, unix.ENOPROTOOPT) {
		t.Skip("a kernel before 6.3 does not let one port be asked for so")
	}
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	listenAndClose := func(t *testing.T) int {
		t.Helper()
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Addr().(*net.TCPAddr).Port
	}
	for _, call := range []bool{false, true} {
		for _, c := range []struct {
			name  string
			draw  func(*testing.T) int
			taken bool
		}{
			{"drawn at port 0", listenAndClose, true},
			{"allocated", func(t *testing.T) int { t.Helper(); return Span(t, 1) }, false},
			{"allocated, last of a run", func(t *testing.T) int { t.Helper(); return Span(t, 30) + 29 }, false},
		} {
			t.Run(fmt.Sprintf("%s, call %v", c.name, call), func(t *testing.T) {
				port := c.draw(t)
				if got := ephemeralPort(t, port, call); got == port && !c.taken {
					t.Errorf("the system gave %d", got)
				}
				l, err := net.Listen("tcp4", address(port))
				if err == nil {
					l.Close()
				}
				if c.taken != errors.Is(err, syscall.EADDRINUSE) || !c.taken && err != nil {
					t.Errorf("bound then: %v", err)
				}
			})
		}
	}
}

// The blocks are all that the system does not draw from, and there is an error where it draws from all.
func TestBlocksOutside(t *testing.T) {
	for _, c := range []struct {
		text        string
		first, last int // blocks
		n           int
	}{
		{"32768\t60999\n", 10000, 65500, 910 + 181},
		{"9000 60999", 61000, 65500, 181},
		{"32750 65535", 10000, 32725, 910},
		{"32749 65535", 10000, 32700, 909},
		{"1024 2000", 10000, 65500, 2221},
	} {
		all, err := blocksOutside(c.text)
		if err != nil || len(all) != c.n || all[0] != c.first || all[c.n-1] != c.last {
			t.Errorf("%q: %d blocks, %v, want %d from %d to %d", c.text, len(all), err, c.n, c.first, c.last)
		}
	}
	for _, text := range []string{"1024 65535", "", "x y"} {
		if all, err := blocksOutside(text); err == nil {
			t.Errorf("%q: %d blocks", text, len(all))
		}
	}
}

// newTestPool returns a pool of some blocks at loopback hosts derived from a process id, so that checking its
// ports disturbs no other process.
func newTestPool(pid, blocks int) *pool {
	var all []int
	for i := range blocks {
		all = append(all, lowestPort+i*blockSize)
	}
	host := func(net int) string { return fmt.Sprintf("127.%d.%d.%d", net+pid>>16&63, pid>>8&255, pid&255) }
	return newPool(host(128), host(192), all)
}

// testPool returns a pool of this process; its claims end with the test.
func testPool(t *testing.T, blocks int) *pool {
	t.Helper()
	p := newTestPool(os.Getpid(), blocks)
	t.Cleanup(func() {
		for _, c := range p.claims {
			c.Close()
		}
	})
	return p
}

// TestMain also serves as another process, which claims all blocks of the given process's pool but the last
// two and keeps them until its input ends.
func TestMain(m *testing.M) {
	ownerPID, err := strconv.Atoi(os.Getenv("PORTS_TEST_CLAIMS"))
	if err != nil {
		os.Exit(m.Run())
	}
	p := newTestPool(ownerPID, 10)
	for i := range 8 {
		if !p.claim(i, 1) {
			fmt.Println("no block", i)
			os.Exit(1)
		}
	}
	fmt.Println("claimed")
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
}

// Guards against two test binaries of which one binds what the other was given and has not bound yet: what
// another process has claimed is not given, and is again once that has been killed.
func TestClaimsOfOtherProcesses(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("PORTS_TEST_CLAIMS=%d", os.Getpid()))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if says, err := bufio.NewReader(out).ReadString('\n'); says != "claimed\n" {
		t.Fatalf("%q, %v", says, err)
	}
	p := testPool(t, 10)
	first, _, err := p.take(2 * blockSize)
	if err != nil || first != p.blocks[8] {
		t.Errorf("%d, %v, want the two blocks that are nobody's, from %d", first, err, p.blocks[8])
	}
	if first, _, err := p.take(1); !errors.Is(err, ErrNoFreePorts) {
		t.Errorf("%d is another's, %v", first, err)
	}
	if err := cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Wait()
	if _, _, err := p.take(8 * blockSize); err != nil {
		t.Errorf("what was claimed by one that was killed: %v", err)
	}
}

// No port is given twice at once, runs and single ones, by several rigs of one process; what another program
// listens at is not given, by connections or by datagrams.
func TestNoPortAllocatedTwice(t *testing.T) {
	p := testPool(t, 20)
	l, err := net.Listen("tcp4", net.JoinHostPort(p.host, strconv.Itoa(p.blocks[3]+1)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.ListenPacket("udp4", net.JoinHostPort(p.host, strconv.Itoa(p.blocks[7]+2)))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	type got struct{ first, n int }
	gave := make(chan got)
	sizes := []int{1, 3, 1, 7, 25, 1, 30, 2, 60, 1}
	for _, n := range sizes {
		go func() {
			first, _, err := p.take(n)
			if err != nil {
				t.Errorf("%d: %v", n, err)
			}
			gave <- got{first, n}
		}()
	}
	seen := map[int]bool{p.blocks[3] + 1: true, p.blocks[7] + 2: true}
	for range sizes {
		g := <-gave
		for port := g.first; port < g.first+g.n; port++ {
			if seen[port] {
				t.Errorf("port %d is another's", port)
			}
			seen[port] = true
		}
	}
}

// Guards against "no run of ports is free" while one is: of the blocks of a run, an attempt keeps only those
// where another program listens.
func TestOccupiedBlockLeavesItsNeighbours(t *testing.T) {
	const attempts = 40 // the pool draws where it begins to search
	for range attempts {
		p := newTestPool(os.Getpid(), 4)
		listener, err := net.Listen("tcp4", net.JoinHostPort(p.host, strconv.Itoa(p.blocks[0]+1)))
		if err != nil {
			t.Fatal(err)
		}
		if first, _, err := p.take(3 * blockSize); err != nil || first != p.blocks[1] {
			t.Errorf("%d, %v, want the three blocks that are nobody's, from %d", first, err, p.blocks[1])
		}
		listener.Close()
		for _, claim := range p.claims {
			claim.Close()
		}
	}
}

// Guards against a block claimed for every port: the rest of a block isn't kept for the next calls where
// another program listens in it, be it before the block is claimed or later.
func TestRestOfOccupiedBlock(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late %v", late), func(t *testing.T) {
			p := testPool(t, 3)
			listen := func(port int) {
				l, err := net.Listen("tcp4", net.JoinHostPort(p.host, strconv.Itoa(port)))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { l.Close() })
			}
			if !late {
				listen(p.blocks[0] + 1)
				listen(p.blocks[1] + 1)
			}
			for i := range blockSize {
				first, _, err := p.take(1)
				if err != nil {
					t.Fatalf("port %d: %v", i, err)
				}
				if late && i < 2 {
					listen(first + 1) // in the first block and the next
				}
			}
		})
	}
}

// Released ports are allocated again only after reuseDelay, and then are, so that endless runs stay within
// the pool; released twice they are there once.
func TestReuseDelay(t *testing.T) {
	p := testPool(t, 1)
	first, release, err := p.take(10)
	if err != nil {
		t.Fatal(err)
	}
	release()
	release()
	if second, _, err := p.take(10); err != nil || second != first+10 {
		t.Errorf("%d, %v, want what was never given, from %d", second, err, first+10)
	}
	if got, _, err := p.take(10); err == nil {
		t.Errorf("%d does not rest", got)
	}
	p.released[0].releasedAt = time.Now().Add(-reuseDelay)
	if got, _, err := p.take(10); err != nil || got != first {
		t.Errorf("%d, %v, want %d anew", got, err, first)
	}
	if got, _, err := p.take(10); err == nil {
		t.Errorf("%d is given twice", got)
	}
}

// A listener's address stays its owner's while it is closed, and can be bound again at once, also where
// connections to it have ended there a moment ago (TIME_WAIT).
func TestRebind(t *testing.T) {
	l, release, err := Open()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	at := l.Addr().String()
	for range 3 {
		c, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		s, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		s.Close() // its side waits
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Fatal("it goes on")
		}
		c.Close()
		l.Close()
		if l, err = net.Listen("tcp", at); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	if l := Listen(t); l.Addr().String() == at || !strings.HasPrefix(l.Addr().String(), "127.0.0.1:") {
		t.Errorf("%v is taken", l.Addr())
	}
}

// TestOpenBesideAnotherListener has another program listen at a port between its check and the listen: Open
// listens at another one, and gives the taken port to nobody.
func TestOpenBesideAnotherListener(t *testing.T) {
	taken := ""
	listenTCP = func(network, address string) (net.Listener, error) {
		if taken == "" {
			other, err := net.Listen(network, address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { other.Close() })
			taken = address
		}
		return net.Listen(network, address)
	}
	t.Cleanup(func() { listenTCP = net.Listen })
	l, release, err := Open()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	defer l.Close()
	if l.Addr().String() == taken {
		t.Errorf("both listen at %s", taken)
	}
}
