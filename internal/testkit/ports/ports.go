// Package ports gives tests and rigs ports of loopback that stay theirs, also while nobody listens there: a
// port that is drawn by listening at port 0 and closed is anybody's until it is bound again.
//
// Ports come from outside of the range that the system draws from, for calls and for listeners at port 0, in
// blocks that a process claims for itself on the whole machine. A claim is a socket, so it ends with its
// process, however that ends, and is met by every user and in every folder.
package ports

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// block is how many ports are claimed at once: a scenario of some processes takes one or two.
	block = 25
	// lowest leaves out where daemons are at home, this one's usual ports and the standing bench among them.
	lowest, highest = 10000, 65535
	// tries bounds the search for blocks that are nobody's.
	tries = 1000
	// rests is how long what has come back is not given anew: a caller that was late with its end may still
	// call there, and is not to meet another test.
	rests = 5 * time.Second
	// system has the first and the last port that the system draws, as text.
	system = "/proc/sys/net/ipv4/ip_local_port_range"
)

// ErrNone is returned where no run of ports is left.
var ErrNone = errors.New("no run of ports is free")

// span is ports one after the other.
type span struct {
	first, n int
	back     time.Time
}

// pool gives out the ports of an address.
type pool struct {
	at, claims string // hosts: where ports are given, and where blocks are claimed
	blocks     []int  // first ports of those that there are

	mu      sync.Mutex
	claimed map[int]net.PacketConn // by first port
	open    span                   // not given yet, of the last claim
	back    []span                 // in the order in which they came back
}

// common is this process's. Claims are datagram sockets at a host where nothing else is bound: no port is
// lost to them.
var common = sync.OnceValues(func() (*pool, error) {
	text, err := os.ReadFile(system)
	if err != nil {
		return nil, err
	}
	all, err := outside(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", system, err)
	}
	return newPool("127.0.0.1", "127.87.68.1", all), nil
})

func newPool(at, claims string, blocks []int) *pool {
	return &pool{at: at, claims: claims, blocks: blocks, claimed: map[int]net.PacketConn{}}
}

// outside gives the blocks, by their first ports, that have no port of the system's range.
func outside(text string) (all []int, err error) {
	var from, to int
	if _, err = fmt.Sscan(text, &from, &to); err != nil {
		return nil, err
	}
	for first := lowest; first+block-1 <= highest; first += block {
		if first+block <= from || first > to {
			all = append(all, first)
		}
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%w: the system draws from %d to %d", ErrNone, from, to)
	}
	return all, nil
}

// Take gives the first of n ports of 127.0.0.1, one after the other, at which nobody takes connections or
// datagrams. They are the caller's alone on this machine until it calls giveBack, which it does once nothing
// that it has started listens or calls there, or until its process ends.
func Take(n int) (first int, giveBack func(), err error) {
	p, err := common()
	if err != nil {
		return 0, nil, err
	}
	return p.take(n)
}

func (p *pool) take(n int) (first int, giveBack func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, err := p.find(n)
	if err != nil {
		return 0, nil, err
	}
	return s.first, sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		s.back = time.Now()
		p.back = append(p.back, s)
	}), nil
}

func (p *pool) find(n int) (span, error) {
	if n <= 0 {
		return span{}, fmt.Errorf("%w: %d", ErrNone, n)
	}
	for i, s := range p.back {
		if time.Since(s.back) < rests {
			break
		}
		if s.n == n && p.free(s) {
			p.back = slices.Delete(p.back, i, i+1)
			return s, nil
		}
	}
	if s := (span{first: p.open.first, n: n}); n <= p.open.n && p.free(s) {
		p.open.first, p.open.n = p.open.first+n, p.open.n-n
		return s, nil
	}
	blocks := (n + block - 1) / block
	for range tries {
		i := rand.Intn(len(p.blocks))
		if !p.claim(i, blocks) {
			continue
		}
		if s := (span{first: p.blocks[i], n: n}); p.free(s) { // else another program is there: let it be
			if rest := blocks*block - n; rest > p.open.n {
				p.open = span{first: s.first + n, n: rest}
			}
			return s, nil
		}
	}
	return span{}, fmt.Errorf("%w: %d of them", ErrNone, n)
}

// claim claims blocks that lie one after the other, all or none.
func (p *pool) claim(i, n int) bool {
	if i+n > len(p.blocks) || p.blocks[i+n-1] != p.blocks[i]+(n-1)*block {
		return false
	}
	var held []net.PacketConn
	for _, first := range p.blocks[i : i+n] {
		c, err := net.ListenPacket("udp4", net.JoinHostPort(p.claims, strconv.Itoa(first)))
		if err != nil { // claimed, also by this process
			for _, c := range held {
				_ = c.Close()
			}
			return false
		}
		held = append(held, c)
	}
	for k, c := range held {
		p.claimed[p.blocks[i+k]] = c
	}
	return true
}

// free tells whether nobody is at any of a span's ports. Only a claimed one is looked at: a look binds it.
// Nothing is started meanwhile: from its fork to its exec a process has a copy of what is bound here, also
// once that is closed.
func (p *pool) free(s span) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for i := range s.n {
		at := net.JoinHostPort(p.at, strconv.Itoa(s.first+i))
		l, err := net.Listen("tcp4", at)
		if err != nil {
			return false
		}
		_ = l.Close()
		c, err := net.ListenPacket("udp4", at)
		if err != nil {
			return false
		}
		_ = c.Close()
	}
	return true
}

// T is what of a test is used.
type T interface {
	Helper()
	Cleanup(func())
	Fatalf(format string, args ...any)
}

// Span gives the first of n ports as Take does, until the test's clean-up. Clean-up goes backwards: what uses
// them is to be started later.
func Span(t T, n int) (first int) {
	t.Helper()
	first, giveBack, err := Take(n)
	if err != nil {
		t.Fatalf("ports: %v", err)
		return 0
	}
	t.Cleanup(giveBack)
	return first
}

// Address gives one, host:port, until the test's clean-up.
func Address(t T) string {
	t.Helper()
	return address(Span(t, 1))
}

// Listen listens at one, until the test's clean-up; it stays the test's if it is closed before.
func Listen(t T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", Address(t))
	if err != nil {
		t.Fatalf("ports: %v", err)
		return nil
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Open listens at one for who is no test. It stays the caller's until giveBack.
func Open() (l net.Listener, giveBack func(), err error) {
	first, giveBack, err := Take(1)
	if err != nil {
		return nil, nil, err
	}
	if l, err = net.Listen("tcp", address(first)); err != nil {
		giveBack()
		return nil, nil, err
	}
	return l, giveBack, nil
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
