package ports

import (
	"fmt"
	"math/rand"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// blockSize is how many ports are claimed at once: a scenario of some processes takes one or two blocks.
	blockSize = 25
	// lowestPort and highestPort bound the ports that are claimed. The lower bound leaves out where daemons
	// usually listen, this project's default ports and the standing bench among them.
	lowestPort, highestPort = 10000, 65535
	// maxClaimAttempts bounds the search for unclaimed blocks.
	maxClaimAttempts = 1000
	// reuseDelay is how long released ports are not allocated again: a caller that was late to stop may still
	// call there, and must not reach another test.
	reuseDelay = 5 * time.Second
)

// portRange is a run of consecutive ports.
type portRange struct {
	first, count int
	releasedAt   time.Time // zero while it is allocated
}

// pool allocates the ports of one host.
type pool struct {
	host, claimHost string // the host of the ports, and that of the sockets that claim blocks
	blocks          []int  // first ports of all blocks that may be claimed, ascending

	mu       sync.Mutex             // guards what follows
	claims   map[int]net.PacketConn // by the block's first port
	unused   portRange              // claimed and not allocated yet
	released []portRange            // in the order of their release
}

func newPool(host, claimHost string, blocks []int) *pool {
	return &pool{host: host, claimHost: claimHost, blocks: blocks, claims: map[int]net.PacketConn{}}
}

// blocksOutside returns the first ports of the blocks that have no port of an ephemeral range, which is given
// as its first and last port. It returns an error that wraps ErrNoFreePorts where there is none.
func blocksOutside(ephemeralRange string) (blocks []int, err error) {
	var from, to int
	if _, err = fmt.Sscan(ephemeralRange, &from, &to); err != nil {
		return nil, err
	}
	for first := lowestPort; first+blockSize-1 <= highestPort; first += blockSize {
		if first+blockSize <= from || first > to {
			blocks = append(blocks, first)
		}
	}
	if len(blocks) == 0 {
		return nil, fmt.Errorf("%w: the system draws from %d to %d", ErrNoFreePorts, from, to)
	}
	return blocks, nil
}

// take allocates n consecutive ports until release is called.
func (p *pool) take(n int) (first int, release func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, err := p.allocate(n)
	if err != nil {
		return 0, nil, err
	}
	return r.first, sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		r.releasedAt = time.Now()
		p.released = append(p.released, r)
	}), nil
}

// allocate finds n consecutive ports among those released long enough ago, those claimed and unused, and in
// newly claimed blocks, in this order. The caller holds the lock.
func (p *pool) allocate(n int) (portRange, error) {
	if n <= 0 {
		return portRange{}, fmt.Errorf("%w: %d", ErrNoFreePorts, n)
	}
	for i, r := range p.released {
		if time.Since(r.releasedAt) < reuseDelay {
			break
		}
		if r.count == n && p.isFree(r) {
			p.released = slices.Delete(p.released, i, i+1)
			return r, nil
		}
	}
	if n <= p.unused.count {
		r := portRange{first: p.unused.first, count: n}
		if p.isFree(r) {
			p.unused.first, p.unused.count = p.unused.first+n, p.unused.count-n
			return r, nil
		}
		p.unused = portRange{} // another program has begun to listen there
	}
	blockCount := (n + blockSize - 1) / blockSize
	for range maxClaimAttempts {
		i := rand.Intn(len(p.blocks))
		if !p.claim(i, blockCount) {
			continue
		}
		claimed := portRange{first: p.blocks[i], count: blockCount * blockSize}
		if !p.isFree(claimed) {
			p.keepOccupied(i, blockCount)
			continue
		}
		if rest := claimed.count - n; rest > p.unused.count {
			p.unused = portRange{first: claimed.first + n, count: rest}
		}
		return portRange{first: claimed.first, count: n}, nil
	}
	return portRange{}, fmt.Errorf("%w: %d of them", ErrNoFreePorts, n)
}

// claim claims n consecutive blocks beginning at index i, all or none, and reports whether it did. A block
// that is claimed already, by another process or by this one, fails it. The caller holds the lock.
func (p *pool) claim(i, n int) bool {
	if i+n > len(p.blocks) || p.blocks[i+n-1] != p.blocks[i]+(n-1)*blockSize {
		return false
	}
	var sockets []net.PacketConn
	for _, first := range p.blocks[i : i+n] {
		socket, err := net.ListenPacket("udp4", net.JoinHostPort(p.claimHost, strconv.Itoa(first)))
		if err != nil {
			for _, claimed := range sockets {
				_ = claimed.Close()
			}
			return false
		}
		sockets = append(sockets, socket)
	}
	for k, socket := range sockets {
		p.claims[p.blocks[i+k]] = socket
	}
	return true
}

// keepOccupied goes through n consecutive claimed blocks from index i. Those where another program listens
// stay claimed and unused, so that they are not tried again; the others can be claimed again, also as part of
// another run. The caller holds the lock.
func (p *pool) keepOccupied(i, n int) {
	for _, first := range p.blocks[i : i+n] {
		if !p.isFree(portRange{first: first, count: blockSize}) {
			continue
		}
		_ = p.claims[first].Close()
		delete(p.claims, first)
	}
}

// isFree reports whether nobody listens at any port of a range. Only claimed ports may be checked: the check
// binds them. No process is started meanwhile: between fork and exec a child holds a copy of what is bound
// here, also once it is closed.
func (p *pool) isFree(r portRange) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for i := range r.count {
		hostPort := net.JoinHostPort(p.host, strconv.Itoa(r.first+i))
		listener, err := net.Listen("tcp4", hostPort)
		if err != nil {
			return false
		}
		_ = listener.Close()
		socket, err := net.ListenPacket("udp4", hostPort)
		if err != nil {
			return false
		}
		_ = socket.Close()
	}
	return true
}
