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

// LimitListener is a listener that has no more than so many connections open at once. One more is held back: until
// it has a place, connections end with their next answer, and one is ended that has sent no whole txn so far,
// or else has long asked nothing. Nobody is turned away with an answer that no one decided on.
type LimitListener struct {
	net.Listener
	limit     int
	freed     chan struct{}
	closed    chan struct{}
	once      sync.Once
	evicted   atomic.Int64
	waiting   atomic.Bool // a connection waits for a place, or for a descriptor
	draining  atomic.Bool // all are to end
	hurried   atomic.Bool // what is not whole by now is not waited for
	abandoned atomic.Bool // nor are answers: what is in hand is to be given up

	backlogEmptyAt time.Time // until when nobody waited to be taken; the accepting goroutine's

	mu            sync.Mutex
	open          map[*clientConn]bool
	stopSoftDrain chan struct{} // open while clients are sent away
}

// NewLimitListener bounds the connections that a listener has open at once.
func NewLimitListener(inner net.Listener, limit int) *LimitListener {
	return &LimitListener{Listener: inner, limit: max(limit, 1), freed: make(chan struct{}, 1),
		closed:         make(chan struct{}),
		backlogEmptyAt: time.Now(), open: map[*clientConn]bool{}}
}

// Accept takes the next connection, and holds it back until there is room for it, also while the listener
// ends: the machine has taken it.
func (l *LimitListener) Accept() (net.Conn, error) {
	conn, err := l.acceptConn()
	if err != nil {
		return nil, err
	}
	return conn, nil
}

func (l *LimitListener) acceptConn() (*clientConn, error) {
	start := time.Now()
	raw, err := l.Listener.Accept()
	if now := time.Now(); err == nil && now.Sub(start) > Millis(policy.AcceptNow) {
		l.backlogEmptyAt = now // it has come while it was waited for
	}
	defer l.waiting.Store(false)
	for err != nil {
		// Guards against a moment without descriptors, or a client gone before it is met: the front must not end.
		if errors.Is(err, syscall.EMFILE) {
			l.waiting.Store(true)
			l.reduceLimit()
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(Millis(policy.AcceptAgain)):
		}
		raw, err = l.Listener.Accept()
	}
	for !l.ensureCapacity() {
		l.waiting.Store(true)
		select {
		case <-l.freed:
		case <-time.After(Millis(policy.AcceptAgain)): // one may have become idle
		}
	}
	conn := l.admit(raw)
	if time.Since(l.backlogEmptyAt) > Millis(policy.AcceptNow) {
		conn.waitingSince = l.backlogEmptyAt
	}
	return conn, nil
}

// admit gives a connection a place.
func (l *LimitListener) admit(raw net.Conn) *clientConn {
	conn := &clientConn{Conn: bypassScheduler(raw), listener: l}
	if guarded, ok := conn.Conn.(guardedConn); ok {
		guarded.guardReads(&conn.readMu, func() bool { return !conn.isEnded() }, conn.noteRead)
	}
	conn.lastActivityNanos.Store(time.Now().UnixNano())
	l.mu.Lock()
	l.open[conn] = true
	l.mu.Unlock()
	return conn
}

// reduceLimit makes do with fewer places, and ends connections until that holds. Guards against clients that
// take the process's last descriptor: each that is freed would be the next client's, and the watch, workers
// and peers would never come by one.
func (l *LimitListener) reduceLimit() {
	l.mu.Lock()
	open := len(l.open)
	l.limit = min(l.limit, max(open-policy.SpareFiles, open/2, 1))
	l.mu.Unlock()
	l.ensureCapacity()
}

// ensureCapacity tells whether one more may be taken, and makes room if it can.
func (l *LimitListener) ensureCapacity() bool {
	for {
		l.mu.Lock()
		if len(l.open) < l.limit {
			l.mu.Unlock()
			return true
		}
		now := time.Now()
		var oldest [len(evictionOrder)]*clientConn
		var idleSince [len(evictionOrder)]int64
		for i, candidate := range evictionOrder {
			idleSince[i] = now.Add(-Millis(candidate.idleMillis)).UnixNano()
		}
		for conn := range l.open {
			for i, candidate := range evictionOrder {
				if last := conn.lastActivityNanos.Load(); conn.currentState() == candidate.state && last < idleSince[i] {
					oldest[i], idleSince[i] = conn, last
				}
			}
		}
		l.mu.Unlock()
		if !l.evictOne(oldest[:]) {
			return false
		}
	}
}

// evictOne ends the first of these that can be, at once: its descriptor is wanted.
func (l *LimitListener) evictOne(oldest []*clientConn) bool {
	for _, conn := range oldest {
		if conn == nil {
			continue
		}
		closing := conn.closing.Load()
		if closing || conn.tryEnd(stateNew, stateIdle, stateReadingFirst, stateReadingBody) {
			conn.closeNow()
			if !closing {
				l.evicted.Add(1)
			}
			return true
		}
	}
	return false
}

// evictionOrder are the states in which connections give up their places to others, in this order, and after how
// many ms without a byte. Guards against crowds that never finish a txn; slow honest ones go on sending. One
// that parts has had its answers, and they have had time to reach its client.
var evictionOrder = [...]struct {
	state      int32
	idleMillis float64
}{{stateClosing, policy.AcceptAgain}, {stateNew, policy.Unproven}, {stateIdle,
	policy.IdleLong}, {stateReadingFirst,
	policy.Unfinished},
	{stateReadingBody, policy.Unfinished}}

func (l *LimitListener) nearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.open)) > policy.CrowdedAt*float64(l.limit)
}

// BeginSoftDrain lets connections end with their next answer, and the idle ones one after another: those first
// that have asked nothing for longest, all within DrainDone. Guards against one that is ended while a txn is
// on its way. It does so until Welcome; a second call changes nothing.
func (l *LimitListener) BeginSoftDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopSoftDrain == nil {
		l.stopSoftDrain = make(chan struct{})
		l.draining.Store(true)
		go l.softDrain(l.stopSoftDrain, time.Now())
	}
}

// EndSoftDrain ends SendAway.
func (l *LimitListener) EndSoftDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopSoftDrain != nil {
		close(l.stopSoftDrain)
		l.stopSoftDrain = nil
		l.draining.Store(false)
	}
}

func (l *LimitListener) softDrain(stop <-chan struct{}, start time.Time) {
	ticker := time.NewTicker(Millis(policy.AcceptAgain))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			if elapsed := now.Sub(start); elapsed > Millis(policy.DrainAsked) {
				l.closeIdle(max(Millis(policy.DrainDone)-elapsed, Millis(policy.AcceptAgain)))
			}
		}
	}
}

// closeIdle ends the connections that have asked nothing for so long, each once nothing lies unread in it, and
// tells whether any is left. Guards against ending one with a txn in it that the machine has taken, and new
// ones whose first txn is on its way.
func (l *LimitListener) closeIdle(idleFor time.Duration) (remaining bool) {
	l.mu.Lock()
	var waiting []*clientConn
	for conn := range l.open {
		if state := conn.state.Load(); state == stateNew || state == stateIdle {
			waiting = append(waiting, conn)
		}
	}
	l.mu.Unlock()
	for _, conn := range waiting {
		idle := time.Since(time.Unix(0, conn.lastActivityNanos.Load()))
		ends := idle > idleFor && (conn.tryEnd(stateIdle) || idle > Millis(policy.Unproven) &&
			conn.tryEnd(stateNew))
		if !ends && !conn.Gone() {
			remaining = true
		}
	}
	return remaining
}

// Drain lets connections end with their next answer, and ends the idle ones: those first that have asked
// nothing for longest, all within StopIdle. Guards against one that is ended while a txn is on its way. It
// returns once none is idle and none waits for a place: behind that one the machine may have taken more.
func (l *LimitListener) Drain() {
	l.draining.Store(true)
	start := time.Now()
	for emptyScans := 0; emptyScans < 2; emptyScans++ { // looks in a row: one may fall between two that wait
		if l.closeIdle(max(Millis(policy.StopIdle)-time.Since(start),
			Millis(policy.AcceptAgain))) || l.waiting.Load() {
			emptyScans = -1
		}
		time.Sleep(Millis(policy.AcceptAgain))
	}
}

// HurryReads has what is being read end: it may go on coming, but pause no longer than for a moment. Guards
// against a txn that comes whole so late that SIGKILL finds it unanswered; one that is not was not taken.
func (l *LimitListener) HurryReads() {
	l.hurried.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		switch conn.currentState() {
		case stateReadingFirst, stateReadingNext, stateReadingBody, stateServing: // of the last, a body that passes on as it comes
			_ = conn.SetReadDeadline(time.Now().Add(Millis(policy.AcceptAgain)))
		}
	}
}

// AbandonRequests has all that is in hand given up: its clients count as gone, and get their answers at once.
func (l *LimitListener) AbandonRequests() { l.abandoned.Store(true) }

// interruptIdleReads ends the reads that wait on connections of which no txn is in hand.
func (l *LimitListener) interruptIdleReads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		if state := conn.state.Load(); state != stateReadingBody && state != stateServing && state != stateEnded {
			_ = conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// Closed tells whether Close has been called.
func (l *LimitListener) Closed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Evicted tells how many idle connections were ended to make room.
func (l *LimitListener) Evicted() int64 { return l.evicted.Load() }

// Close ends Accept.
func (l *LimitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// What a client's connection is about.
const (
	stateNew          int32 = iota // it has sent nothing so far
	stateReadingFirst              // it has sent part of its first txn
	stateIdle                      // it has had its answers
	stateReadingNext               // it has sent part of one more txn
	stateReadingBody               // it has sent a txn's head, and its body is being read
	stateServing                   // a txn of it is in hand
	stateEnded                     // it has been ended from here
	stateClosing                   // all is done, and its client has not ended it yet
)

// guardedConn is a connection that calls took, under the guard, as soon as bytes have been read from it, and
// reads none where may, asked under the guard before, says no.
type guardedConn interface {
	guardReads(mu *sync.Mutex, allowed func() bool, onRead func())
}

// clientConn is a client's connection; its place is free once it is closed.
type clientConn struct {
	net.Conn
	listener          *LimitListener
	readMu            sync.Mutex // between bytes that are read and an end from here
	state             atomic.Int32
	proven            bool         // it has sent more than one txn
	prefetched        []byte       // read by a process before this one
	lastReadNanos     atomic.Int64 // when bytes were read from it last, Unix ns
	waitingSince      time.Time    // what is read next may have come since then, and lain; zero where it has not
	lastActivityNanos atomic.Int64 // when it came, sent its last byte or had its last answer, Unix ns
	lingerOnClose     atomic.Bool
	closing           atomic.Bool // it waits for its client to end it too
	once              sync.Once
}

// Read gives what another process had read ahead, then what comes.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(c.prefetched) > 0 {
		n := copy(b, c.prefetched)
		c.prefetched = c.prefetched[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// syscallConn gives the connection's descriptor.
func (c *clientConn) syscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// noteRead notes that bytes have been read.
func (c *clientConn) noteRead() {
	now := time.Now().UnixNano()
	c.lastActivityNanos.Store(now)
	c.lastReadNanos.Store(now)
	if !c.state.CompareAndSwap(stateNew, stateReadingFirst) {
		c.state.CompareAndSwap(stateIdle, stateReadingNext)
	}
}

// headReceived notes that the head of a txn has come, and tells whether the connection is still there to answer it.
func (c *clientConn) headReceived() bool {
	if c.state.CompareAndSwap(stateReadingNext, stateReadingBody) {
		c.proven = true
		return true
	}
	return c.state.CompareAndSwap(stateReadingFirst, stateReadingBody) || c.state.CompareAndSwap(stateNew,
		stateReadingBody)
}

// requestReceived notes the same of the whole txn.
func (c *clientConn) requestReceived() bool {
	return c.state.CompareAndSwap(stateReadingBody, stateServing)
}

// answered notes that all has been answered, and whether part of another txn has come already.
func (c *clientConn) answered(more bool) {
	c.lastActivityNanos.Store(time.Now().UnixNano())
	next := stateIdle
	if more {
		next = stateReadingNext
		if lastRead := c.lastReadNanos.Load(); lastRead > 0 {
			c.waitingSince = time.Unix(0, lastRead)
		}
	}
	if state := c.state.Load(); state != stateEnded {
		c.state.CompareAndSwap(state, next)
	}
}

// currentState is what the connection is about.
func (c *clientConn) currentState() int32 {
	if c.closing.Load() {
		return stateClosing
	}
	return c.state.Load()
}

// isEnded tells whether it has been ended from here: nothing is read from it any more.
func (c *clientConn) isEnded() bool { return c.state.Load() == stateEnded }

// tryEnd ends a connection that is in one of these states: no more is sent on it, and none read. Guards against
// one in which a txn lies unread: the machine has taken it. One that comes in this very moment stays unread,
// and its client, which meets the end, sends it again elsewhere. Who reads from it closes it.
func (c *clientConn) tryEnd(states ...int32) bool {
	c.readMu.Lock()
	ended := false
	for _, state := range states {
		ended = ended || isQuiescent(c.Conn) && c.state.CompareAndSwap(state, stateEnded)
	}
	c.readMu.Unlock()
	if ended {
		if socket, ok := c.Conn.(interface{ CloseWrite() error }); !ok || socket.CloseWrite() != nil {
			_ = c.Conn.Close()
		}
		_ = c.SetReadDeadline(time.Unix(1, 0)) // also one that lingers would hold up whoever ends it
	}
	return ended
}

// closeNow closes a connection at once, also while its own goroutine waits on it.
func (c *clientConn) closeNow() {
	_ = c.Conn.Close()
	_ = c.Close()
}

// closeGracefully says that no more will come, and waits for a while until the client has ended the connection too.
// Guards against an answer that is lost with it: closed over unread bytes, or before bytes that are on their
// way, the connection would be reset (Stevens, TCP/IP Illustrated, 18.7; nginx lingers for the same). Nothing
// is read meanwhile: a txn that has crossed the end is not taken, and its client sends it again.
func (c *clientConn) closeGracefully() {
	socket, ok := c.Conn.(interface {
		CloseWrite() error
		AwaitPeerClose(time.Duration)
	})
	if ok && !c.lingerOnClose.Load() && socket.CloseWrite() == nil {
		c.markClosing()
		socket.AwaitPeerClose(Millis(policy.Linger))
	}
}

// markClosing notes that all is done: its place is the first to be given to another.
func (c *clientConn) markClosing() {
	c.lastActivityNanos.Store(time.Now().UnixNano())
	c.closing.Store(true)
}

// setReadDeadline bounds the next read. Once the process ends, what is not whole may pause no longer than for a moment.
func (c *clientConn) setReadDeadline(deadline time.Time) {
	_ = c.SetReadDeadline(deadline)
	if c.listener.hurried.Load() { // asked behind the deadline, as Hurry sets it the other way round
		if limit := time.Now().Add(Millis(policy.AcceptAgain)); limit.Before(deadline) {
			_ = c.SetReadDeadline(limit)
		}
	}
}

// Gone tells whether the client has closed the connection, where that can be seen, or is given up on. One
// that has ended its sending alone looks the same, and has gone too: its txn is given up, and answered.
func (c *clientConn) Gone() bool {
	socket, ok := c.Conn.(client)
	return c.listener.abandoned.Load() || ok && socket.Gone()
}

// shouldClose tells whether the connection should end with its next answer. Guards against hundreds that ask once
// and stay: idle ones may not be ended at once, and would take every place from those that go on asking.
func (c *clientConn) shouldClose() bool {
	return c.listener.waiting.Load() || c.listener.draining.Load() || !c.proven && c.listener.nearLimit()
}

// queuedMillis is how long, ms, what was read last may have lain before: at this machine while the connection waited
// for its place, or in its buffer behind the txn before. Guards against a client's time that is counted from
// its turn on: what is left of it is told to workers, and bounds the answer.
func (c *clientConn) queuedMillis() float64 {
	socket, ok := c.Conn.(interface{ SinceLastReceive() time.Duration })
	if c.waitingSince.IsZero() || !ok {
		return 0
	}
	queued := max(time.Since(c.waitingSince), 0)
	if c.lastReadNanos.Load() > c.waitingSince.UnixNano() { // its last bytes have been read since
		queued = min(queued, socket.SinceLastReceive())
	}
	return float64(queued) / float64(time.Millisecond)
}

// isQuiescent tells whether a connection is up and nothing lies unread in it. Where that cannot be seen it counts
// as quiet, or a stop would never end.
func isQuiescent(conn net.Conn) bool {
	socket, ok := conn.(interface{ Quiescent() bool })
	return !ok || socket.Quiescent()
}

// Linger has a connection end so that the answer before it reaches a caller who still sends.
func Linger(conn net.Conn) {
	if accepted, ok := conn.(*clientConn); ok {
		accepted.lingerOnClose.Store(true)
	}
}

// Close frees the place. One that lingers first says that no more will come and takes what the client was
// still sending: closed on unread bytes, the connection would be reset and its last answer could be lost.
func (c *clientConn) Close() (err error) {
	c.once.Do(func() {
		if socket, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.lingerOnClose.Load() &&
			socket.CloseWrite() == nil {
			c.markClosing()
			_ = c.Conn.SetReadDeadline(time.Now().Add(Millis(policy.Linger)))
			_, _ = io.CopyN(io.Discard, c.Conn, policy.LingerBytes)
		}
		err = c.Conn.Close()
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
		select {
		case c.listener.freed <- struct{}{}:
		default:
		}
	})
	return err
}
