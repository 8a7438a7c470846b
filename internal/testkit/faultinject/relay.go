package faultinject

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Cut is how a direction between two is cut.
type Cut uint8

// The cuts. A connection that is made while either direction is cut does not come up: where the cut is Silent
// it is accepted and nothing is said, until the heal.
const (
	Connected Cut = iota
	Silent        // datagrams vanish; bytes of connections are held, the connections stay open
	Reset         // datagrams vanish; connections are reset, and each new one is
	Refused       // datagrams vanish; connections are reset, and new ones are refused
)

var cutNames = [...]string{"whole", "silent", "reset", "refused"}

func (c Cut) String() string { return cutNames[c] }

// Shape is what a direction does to what passes. The zero value passes all on at once.
type Shape struct {
	Loss    float64       // chance that a datagram is lost
	Double  float64       // chance that a datagram comes twice
	Reorder float64       // chance that a datagram is held back by Back, behind others
	Back    time.Duration // nought is 20 ms
	Delay   time.Duration // of datagrams and of bytes
	Jitter  time.Duration // more delay, evenly drawn up to this; it changes no order
	Rate    float64       // bytes per second, of datagrams and bytes together; nought is no bound
}

// Counts is what became of a direction's datagrams and bytes.
type Counts struct {
	Came, Passed, Lost, Doubled, Back int64 // datagrams: a doubled one has passed twice
	Strange                           int64 // datagrams from an address that is nobody's
	Bytes                             int64 // of connections, passed
}

// Net is the links between named ends. Each ordered pair has a direction of its own, which all datagrams and
// all connections' bytes between the two share.
type Net struct {
	t    T
	seed int64

	mu        sync.Mutex
	addresses map[string]netip.AddrPort // where ends take datagrams
	ways      map[[2]string]*way
	relays    map[[2]string]*relay
	streams   []*stream
	closed    bool
}

// NewNet makes links whose draws are made from the seed. They are closed when the test ends.
func NewNet(t T, seed int64) *Net {
	n := &Net{t: t, seed: seed, addresses: map[string]netip.AddrPort{}, ways: map[[2]string]*way{},
		relays: map[[2]string]*relay{}}
	t.Cleanup(n.Close)
	return n
}

// SetAddress sets where an end takes datagrams and sends them from. It may change.
func (n *Net) SetAddress(name string, at netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addresses[name] = at
}

func (n *Net) address(name string) netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addresses[name]
}

// way is a direction.
type way struct {
	mu      sync.Mutex
	cut     Cut
	shape   Shape
	counts  Counts
	rng     *rand.Rand    // of datagrams
	more    *rand.Rand    // of bytes
	busy    time.Time     // when a slow link has passed what it took so far
	last    time.Time     // when the last datagram that keeps its place is due
	changed chan struct{} // closed at the next change
}

// way gives a direction, under the lock. Its source is made from the net's seed and both names, so that no
// direction's draws hang on what passes elsewhere.
func (n *Net) way(from, to string) *way {
	key := [2]string{from, to}
	w := n.ways[key]
	if w == nil {
		h := fnv.New64a()
		fmt.Fprintf(h, "%d\x00%s\x00%s", n.seed, from, to)
		w = &way{rng: rand.New(rand.NewSource(int64(h.Sum64()))),
			more: rand.New(rand.NewSource(^int64(h.Sum64()))), changed: make(chan struct{})}
		n.ways[key] = w
	}
	return w
}

// change applies f to a direction and wakes what waits for a change of it.
func (n *Net) change(from, to string, f func(*way)) {
	n.mu.Lock()
	w := n.way(from, to)
	n.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
	close(w.changed)
	w.changed = make(chan struct{})
}

// Cut cuts the direction from one end to another. When it returns nothing passes any more.
func (n *Net) Cut(from, to string, how Cut) {
	n.change(from, to, func(w *way) { w.cut = how })
	n.applyCuts(from, to)
}

// Heal ends a direction's cut. Its Shape stays.
func (n *Net) Heal(from, to string) { n.Cut(from, to, Connected) }

// Part cuts both directions between two.
func (n *Net) Part(a, b string, how Cut) {
	n.Cut(a, b, how)
	n.Cut(b, a, how)
}

// Join heals both directions between two.
func (n *Net) Join(a, b string) { n.Part(a, b, Connected) }

// Shape says what a direction does to what comes from now on.
func (n *Net) Shape(from, to string, s Shape) {
	n.change(from, to, func(w *way) { w.shape = s })
}

// Counts gives what became of a direction's datagrams and bytes.
func (n *Net) Counts(from, to string) Counts {
	n.mu.Lock()
	w := n.way(from, to)
	n.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// now gives how a direction is cut, and what is closed when that changes.
func (w *way) now() (Cut, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut, w.changed
}

// takes tells when a slow link has passed so many bytes more, under the lock.
func (w *way) takes(now time.Time, bytes int) time.Time {
	if w.shape.Rate <= 0 {
		return now
	}
	if w.busy.Before(now) {
		w.busy = now
	}
	w.busy = w.busy.Add(time.Duration(float64(bytes) / w.shape.Rate * float64(time.Second)))
	return w.busy
}

// draw decides on a datagram, under the lock: when it and its double are due; the zero time is never. Each
// takes the same number of draws whatever the Shape, so that a change does not shift the draws after it.
func (w *way) draw(now time.Time, bytes int) (due, double time.Time) {
	loss, twice, back, jitter := w.rng.Float64(), w.rng.Float64(), w.rng.Float64(), w.rng.Float64()
	s := w.shape
	if w.cut != Connected || loss < s.Loss {
		return due, double
	}
	due = w.takes(now, bytes).Add(s.Delay + time.Duration(jitter*float64(s.Jitter)))
	if back < s.Reorder {
		w.counts.Back++
		if due = due.Add(s.Back); s.Back == 0 {
			due = due.Add(defaultReorderDelay)
		}
	} else {
		if due.Before(w.last) {
			due = w.last
		}
		w.last = due
	}
	if twice < s.Double {
		w.counts.Doubled++
		double = due
	}
	return due, double
}

// relay passes datagrams between two ends. A gatekeeper knows a sender by the address that its datagrams come
// from, so there is a socket for each side, which is the other end as that side sees it.
type relay struct {
	net   *Net
	sides [2]*side
}

// side is a socket of a relay, and the direction from the end that it is listed at.
type side struct {
	end   string // who sends to it
	conn  *net.UDPConn
	other *side
	way   *way
	queue flight // under the way's lock
	next  uint64
	kick  chan struct{}
	done  chan struct{}
}

// Datagrams makes the relay between two ends, or finds it. atA is the address to be listed at a as b's, and
// atB the one to be listed at b as a's.
func (n *Net) Datagrams(a, b string) (atA, atB netip.AddrPort) {
	n.t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.relays[[2]string{a, b}]; r != nil {
		return r.sides[0].at(), r.sides[1].at()
	}
	r := &relay{net: n}
	for i, pair := range [][2]string{{a, b}, {b, a}} {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			n.t.Fatalf("relay of %s and %s: %v", a, b, err)
		}
		_ = conn.SetReadBuffer(kernelBytes) // as much of it as the kernel gives
		r.sides[i] = &side{end: pair[0], conn: conn, way: n.way(pair[0], pair[1]), kick: make(chan struct{}, 1),
			done: make(chan struct{})}
	}
	r.sides[0].other, r.sides[1].other = r.sides[1], r.sides[0]
	n.relays[[2]string{a, b}] = r
	n.relays[[2]string{b, a}] = &relay{net: n, sides: [2]*side{r.sides[1], r.sides[0]}}
	for _, s := range r.sides {
		go n.take(s)
		go n.deliver(s)
	}
	return r.sides[0].at(), r.sides[1].at()
}

// Peers gives the addresses that one end lists, by number: its own place, and for each other one the relay
// between the two.
func (n *Net) Peers(me string, all []string) (list []string) {
	n.t.Helper()
	for _, name := range all {
		at := n.address(name)
		if name != me {
			at, _ = n.Datagrams(me, name)
		}
		list = append(list, at.String())
	}
	return list
}

func (s *side) at() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// take takes what the end sends.
func (n *Net) take(s *side) {
	defer close(s.done)
	buf := make([]byte, datagramBytes)
	for {
		size, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if n.over() {
				return
			}
			continue
		}
		known := n.address(s.end) == from
		now, w := time.Now(), s.way
		w.mu.Lock()
		if !known {
			w.counts.Strange++
			w.mu.Unlock()
			continue
		}
		w.counts.Came++
		due, double := w.draw(now, size)
		if due.IsZero() {
			w.counts.Lost++
		}
		for _, at := range [...]time.Time{due, double} {
			if at.IsZero() {
				continue
			}
			if len(s.queue) >= maxQueuedDatagrams {
				w.counts.Lost++
				continue
			}
			s.next++
			heap.Push(&s.queue, flying{at, s.next, append([]byte(nil), buf[:size]...)})
		}
		w.mu.Unlock()
		select {
		case s.kick <- struct{}{}:
		default:
		}
	}
}

// deliver sends what is due on to the other end, from the socket that the other end lists.
func (n *Net) deliver(s *side) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.kick:
		case <-t.C:
		}
		to := n.address(s.other.end)
		w := s.way
		w.mu.Lock()
		for len(s.queue) > 0 {
			if wait := time.Until(s.queue[0].due); wait > 0 {
				t.Reset(wait)
				break
			}
			d := heap.Pop(&s.queue).(flying)
			if w.cut != Connected || !to.IsValid() {
				w.counts.Lost++
			} else if _, err := s.other.conn.WriteToUDPAddrPort(d.bytes, to); err != nil {
				w.counts.Lost++
			} else {
				w.counts.Passed++
			}
		}
		w.mu.Unlock()
	}
}

// flying is a datagram on its way.
type flying struct {
	due   time.Time
	order uint64 // of its coming: one that is due with another keeps its order
	bytes []byte
}

// flight is datagrams by when they are due.
type flight []flying

func (f flight) Len() int      { return len(f) }
func (f flight) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f flight) Less(i, j int) bool {
	if f[i].due.Equal(f[j].due) {
		return f[i].order < f[j].order
	}
	return f[i].due.Before(f[j].due)
}

// Push implements heap.Interface.
func (f *flight) Push(x any) { *f = append(*f, x.(flying)) }

// Pop implements heap.Interface.
func (f *flight) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

func (n *Net) over() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// Close ends all relays and streams.
func (n *Net) Close() {
	n.mu.Lock()
	n.closed = true
	relays, streams := n.relays, n.streams
	n.mu.Unlock()
	for _, r := range relays {
		for _, s := range r.sides {
			_ = s.conn.Close()
		}
	}
	for _, s := range streams {
		s.close()
	}
}
