package transport

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"willowdeck/internal/policy"
)

// Limited is a listener that has no more than so many connections open at once. One more is held back: until
// it has a place, connections end with their next answer, and one is ended that has sent no whole txn so far,
// or else has long asked nothing. Nobody is turned away with an answer that no one decided on.
type Limited struct {
	net.Listener
	most   int
	freed  chan struct{}
	closed chan struct{}
	once   sync.Once
	shed   atomic.Int64
	held   atomic.Bool // a connection waits for a place, or for a descriptor
	ending atomic.Bool // all are to end
	late   atomic.Bool // what is not whole by now is not waited for
	gaveUp atomic.Bool // nor are answers: what is in hand is to be given up

	empty time.Time // until when nobody waited to be taken; the accepting goroutine's

	mu   sync.Mutex
	open map[*placed]bool
	away chan struct{} // open while clients are sent away
}

// Limit bounds the connections that a listener has open at once.
func Limit(l net.Listener, most int) *Limited {
	return &Limited{Listener: l, most: max(most, 1), freed: make(chan struct{}, 1), closed: make(chan struct{}),
		empty: time.Now(), open: map[*placed]bool{}}
}

// Accept takes the next connection, and holds it back until there is room for it, also while the listener
// ends: the machine has taken it.
func (l *Limited) Accept() (net.Conn, error) {
	p, err := l.next()
	if err != nil {
		return nil, err
	}
	return p, nil
}

func (l *Limited) next() (*placed, error) {
	called := time.Now()
	c, err := l.Listener.Accept()
	if now := time.Now(); err == nil && now.Sub(called) > Millis(policy.AcceptTimeoutMillis) {
		l.empty = now // it has come while it was waited for
	}
	defer l.held.Store(false)
	for err != nil {
		// Guards against a moment without descriptors, or a client gone before it is met: the front must not end.
		if errors.Is(err, syscall.EMFILE) {
			l.held.Store(true)
			l.giveBack()
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(Millis(policy.AcceptRetryMillis)):
		}
		c, err = l.Listener.Accept()
	}
	for !l.room() {
		l.held.Store(true)
		select {
		case <-l.freed:
		case <-time.After(Millis(policy.AcceptRetryMillis)): // one may have become idle
		}
	}
	p := l.admit(c)
	if time.Since(l.empty) > Millis(policy.AcceptTimeoutMillis) {
		p.from = l.empty
	}
	return p, nil
}

// admit gives a connection a place.
func (l *Limited) admit(c net.Conn) *placed {
	p := &placed{Conn: hasten(c), of: l}
	if q, ok := p.Conn.(watched); ok {
		q.watch(&p.guard, func() bool { return !p.over() }, p.heard)
	}
	p.since.Store(time.Now().UnixNano())
	l.mu.Lock()
	l.open[p] = true
	l.mu.Unlock()
	return p
}

// giveBack makes do with fewer places, and ends connections until that holds. Guards against clients that
// take the process's last descriptor: each that is freed would be the next client's, and the watch, workers
// and peers would never come by one.
func (l *Limited) giveBack() {
	l.mu.Lock()
	n := len(l.open)
	l.most = min(l.most, max(n-policy.ReservedDescriptors, n/2, 1))
	l.mu.Unlock()
	l.room()
}

// room tells whether one more may be taken, and makes room if it can.
func (l *Limited) room() bool {
	for {
		l.mu.Lock()
		if len(l.open) < l.most {
			l.mu.Unlock()
			return true
		}
		now := time.Now()
		var oldest [len(yields)]*placed
		var since [len(yields)]int64
		for i, y := range yields {
			since[i] = now.Add(-Millis(y.after)).UnixNano()
		}
		for p := range l.open {
			for i, y := range yields {
				if t := p.since.Load(); p.at() == y.state && t < since[i] {
					oldest[i], since[i] = p, t
				}
			}
		}
		l.mu.Unlock()
		if !l.yield(oldest[:]) {
			return false
		}
	}
}

// yield ends the first of these that can be, at once: its descriptor is wanted.
func (l *Limited) yield(oldest []*placed) bool {
	for _, p := range oldest {
		if p == nil {
			continue
		}
		parts := p.parts.Load()
		if parts || p.end(fresh, idle, opening, coming) {
			p.cut()
			if !parts {
				l.shed.Add(1)
			}
			return true
		}
	}
	return false
}

// yields are the states in which connections give up their places to others, in this order, and after how
// many ms without a byte. Guards against crowds that never finish a txn; slow honest ones go on sending. One
// that parts has had its answers, and they have had time to reach its client.
var yields = [...]struct {
	state int32
	after float64
}{{parting, policy.AcceptRetryMillis}, {fresh, policy.EvictNewClientMillis},
	{idle, policy.EvictIdleClientMillis}, {opening,
		policy.EvictPartialRequestMillis},
	{coming, policy.EvictPartialRequestMillis}}

func (l *Limited) crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.open)) > policy.KeepAliveClientFraction*float64(l.most)
}

// SendAway lets connections end with their next answer, and the idle ones one after another: those first
// that have asked nothing for longest, all within DrainIdleMillis. Guards against one that is ended while a
// txn is on its way. It does so until Welcome; a second call changes nothing.
func (l *Limited) SendAway() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away == nil {
		l.away = make(chan struct{})
		l.ending.Store(true)
		go l.sendAway(l.away, time.Now())
	}
}

// Welcome ends SendAway.
func (l *Limited) Welcome() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away != nil {
		close(l.away)
		l.away = nil
		l.ending.Store(false)
	}
}

func (l *Limited) sendAway(over <-chan struct{}, from time.Time) {
	t := time.NewTicker(Millis(policy.AcceptRetryMillis))
	defer t.Stop()
	for {
		select {
		case <-over:
			return
		case now := <-t.C:
			if gone := now.Sub(from); gone > Millis(policy.DrainAcceptMillis) {
				l.endIdle(max(Millis(policy.DrainIdleMillis)-gone, Millis(policy.AcceptRetryMillis)))
			}
		}
	}
}

// endIdle ends the connections that have asked nothing for so long, each once nothing lies unread in it, and
// tells whether any is left. Guards against ending one with a txn in it that the machine has taken, and new
// ones whose first txn is on its way.
func (l *Limited) endIdle(since time.Duration) (left bool) {
	l.mu.Lock()
	var waiting []*placed
	for p := range l.open {
		if s := p.state.Load(); s == fresh || s == idle {
			waiting = append(waiting, p)
		}
	}
	l.mu.Unlock()
	for _, p := range waiting {
		gone := time.Since(time.Unix(0, p.since.Load()))
		ends := gone > since && (p.end(idle) || gone > Millis(policy.EvictNewClientMillis) && p.end(fresh))
		if !ends && !p.Gone() {
			left = true
		}
	}
	return left
}

// Drain lets connections end with their next answer, and ends the idle ones: those first that have asked
// nothing for longest, all within StopIdleMillis. Guards against one that is ended while a txn is on its way.
// It returns once none is idle and none waits for a place: behind that one the machine may have taken more.
func (l *Limited) Drain() {
	l.ending.Store(true)
	from := time.Now()
	for clean := 0; clean < 2; clean++ { // looks in a row: one may fall between two that wait
		if l.endIdle(max(Millis(policy.StopIdleMillis)-time.Since(from), Millis(policy.AcceptRetryMillis))) ||
			l.held.Load() {
			clean = -1
		}
		time.Sleep(Millis(policy.AcceptRetryMillis))
	}
}

// Hurry has what is being read end: it may go on coming, but pause no longer than for a moment. Guards
// against a txn that comes whole so late that SIGKILL finds it unanswered; one that is not was not taken.
func (l *Limited) Hurry() {
	l.late.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		switch p.at() {
		case opening, asking, coming, taken: // of the last, a body that passes on as it comes
			_ = p.SetReadDeadline(time.Now().Add(Millis(policy.AcceptRetryMillis)))
		}
	}
}

// GiveUp has all that is in hand given up: its clients count as gone, and get their answers at once.
func (l *Limited) GiveUp() { l.gaveUp.Store(true) }

// rouse ends the reads that wait on connections of which no txn is in hand.
func (l *Limited) rouse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		if s := p.state.Load(); s != coming && s != taken && s != ended {
			_ = p.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// Closed tells whether Close has been called.
func (l *Limited) Closed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Shed tells how many idle connections were ended to make room.
func (l *Limited) Shed() int64 { return l.shed.Load() }

// Close ends Accept.
func (l *Limited) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// What a client's connection is about.
const (
	fresh   int32 = iota // it has sent nothing so far
	opening              // it has sent part of its first txn
	idle                 // it has had its answers
	asking               // it has sent part of one more txn
	coming               // it has sent a txn's head, and its body is being read
	taken                // a txn of it is in hand
	ended                // it has been ended from here
	parting              // all is done, and its client has not ended it yet
)

// watched is a connection that calls took, under the guard, as soon as bytes have been read from it, and
// reads none where may, asked under the guard before, says no.
type watched interface {
	watch(guard *sync.Mutex, may func() bool, took func())
}

// placed is a client's connection; its place is free once it is closed.
type placed struct {
	net.Conn
	of      *Limited
	guard   sync.Mutex // between bytes that are read and an end from here
	state   atomic.Int32
	proven  bool         // it has sent more than one txn
	ahead   []byte       // read by a process before this one
	read    atomic.Int64 // when bytes were read from it last, Unix ns
	from    time.Time    // what is read next may have come since then, and lain; zero where it has not
	since   atomic.Int64 // when it came, sent its last byte or had its last answer, Unix ns
	lingers atomic.Bool
	parts   atomic.Bool // it waits for its client to end it too
	once    sync.Once
}

// Read gives what another process had read ahead, then what comes.
func (c *placed) Read(b []byte) (int, error) {
	if len(c.ahead) > 0 {
		n := copy(b, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// raw gives the connection's descriptor.
func (c *placed) raw() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// heard notes that bytes have been read.
func (c *placed) heard() {
	now := time.Now().UnixNano()
	c.since.Store(now)
	c.read.Store(now)
	if !c.state.CompareAndSwap(fresh, opening) {
		c.state.CompareAndSwap(idle, asking)
	}
}

// come notes that the head of a txn has come, and tells whether the connection is still there to answer it.
func (c *placed) come() bool {
	if c.state.CompareAndSwap(asking, coming) {
		c.proven = true
		return true
	}
	return c.state.CompareAndSwap(opening, coming) || c.state.CompareAndSwap(fresh, coming)
}

// take notes the same of the whole txn.
func (c *placed) take() bool { return c.state.CompareAndSwap(coming, taken) }

// rest notes that all has been answered, and whether part of another txn has come already.
func (c *placed) rest(more bool) {
	c.since.Store(time.Now().UnixNano())
	next := idle
	if more {
		next = asking
		if at := c.read.Load(); at > 0 {
			c.from = time.Unix(0, at)
		}
	}
	if s := c.state.Load(); s != ended {
		c.state.CompareAndSwap(s, next)
	}
}

// at is what the connection is about.
func (c *placed) at() int32 {
	if c.parts.Load() {
		return parting
	}
	return c.state.Load()
}

// over tells whether it has been ended from here: nothing is read from it any more.
func (c *placed) over() bool { return c.state.Load() == ended }

// end ends a connection that is in one of these states: no more is sent on it, and none read. Guards against
// one in which a txn lies unread: the machine has taken it. One that comes in this very moment stays unread,
// and its client, which meets the end, sends it again elsewhere. Who reads from it closes it.
func (c *placed) end(states ...int32) bool {
	c.guard.Lock()
	ends := false
	for _, s := range states {
		ends = ends || quiet(c.Conn) && c.state.CompareAndSwap(s, ended)
	}
	c.guard.Unlock()
	if ends {
		if t, ok := c.Conn.(interface{ CloseWrite() error }); !ok || t.CloseWrite() != nil {
			_ = c.Conn.Close()
		}
		_ = c.SetReadDeadline(time.Unix(1, 0)) // also one that lingers would hold up whoever ends it
	}
	return ends
}

// cut closes a connection at once, also while its own goroutine waits on it.
func (c *placed) cut() {
	_ = c.Conn.Close()
	_ = c.Close()
}

// part says that no more will come, and waits for a while until the client has ended the connection too.
// Guards against an answer that is lost with it: closed over unread bytes, or before bytes that are on their
// way, the connection would be reset (Stevens, TCP/IP Illustrated, 18.7; nginx lingers for the same). Nothing
// is read meanwhile: a txn that has crossed the end is not taken, and its client sends it again.
func (c *placed) part() {
	t, ok := c.Conn.(interface {
		CloseWrite() error
		Part(time.Duration)
	})
	if ok && !c.lingers.Load() && t.CloseWrite() == nil {
		c.parted()
		t.Part(Millis(policy.LingerTimeoutMillis))
	}
}

// parted notes that all is done: its place is the first to be given to another.
func (c *placed) parted() {
	c.since.Store(time.Now().UnixNano())
	c.parts.Store(true)
}

// await bounds the next read. Once the process ends, what is not whole may pause no longer than for a moment.
func (c *placed) await(until time.Time) {
	_ = c.SetReadDeadline(until)
	if c.of.late.Load() { // asked behind the deadline, as Hurry sets it the other way round
		if soon := time.Now().Add(Millis(policy.AcceptRetryMillis)); soon.Before(until) {
			_ = c.SetReadDeadline(soon)
		}
	}
}

// Gone tells whether the client has closed the connection, where that can be seen, or is given up on. One
// that has ended its sending alone looks the same, and has gone too: its txn is given up, and answered.
func (c *placed) Gone() bool {
	l, ok := c.Conn.(client)
	return c.of.gaveUp.Load() || ok && l.Gone()
}

// wanted tells whether the connection should end with its next answer. Guards against hundreds that ask once
// and stay: idle ones may not be ended at once, and would take every place from those that go on asking.
func (c *placed) wanted() bool {
	return c.of.held.Load() || c.of.ending.Load() || !c.proven && c.of.crowded()
}

// lain is how long, ms, what was read last may have lain before: at this machine while the connection waited
// for its place, or in its buffer behind the txn before. Guards against a client's time that is counted from
// its turn on: what is left of it is told to workers, and bounds the answer.
func (c *placed) lain() float64 {
	q, ok := c.Conn.(interface{ Lain() time.Duration })
	if c.from.IsZero() || !ok {
		return 0
	}
	lay := max(time.Since(c.from), 0)
	if c.read.Load() > c.from.UnixNano() { // its last bytes have been read since
		lay = min(lay, q.Lain())
	}
	return float64(lay) / float64(time.Millisecond)
}

// quiet tells whether a connection is up and nothing lies unread in it. Where that cannot be seen it counts
// as quiet, or a stop would never end.
func quiet(c net.Conn) bool {
	q, ok := c.(interface{ Quiet() bool })
	return !ok || q.Quiet()
}

// Linger has a connection end so that the answer before it reaches a caller who still sends.
func Linger(c net.Conn) {
	if p, ok := c.(*placed); ok {
		p.lingers.Store(true)
	}
}

// Close frees the place. One that lingers first says that no more will come and takes what the client was
// still sending: closed on unread bytes, the connection would be reset and its last answer could be lost.
func (c *placed) Close() (err error) {
	c.once.Do(func() {
		if t, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.lingers.Load() && t.CloseWrite() == nil {
			c.parted()
			_ = c.Conn.SetReadDeadline(time.Now().Add(Millis(policy.LingerTimeoutMillis)))
			_, _ = io.CopyN(io.Discard, c.Conn, policy.MaxLingerBytes)
		}
		err = c.Conn.Close()
		c.of.mu.Lock()
		delete(c.of.open, c)
		c.of.mu.Unlock()
		select {
		case c.of.freed <- struct{}{}:
		default:
		}
	})
	return err
}
