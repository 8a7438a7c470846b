package transport

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"willowdeck/internal/policy"
)

// LimitListener is a listener with a limit on the connections that are open at once. One beyond the limit
// waits until it has a place: meanwhile each connection ends with its next answer, and the oldest one is
// evicted that has not sent a complete request in time, or else has been idle for long. No client is rejected
// for the limit: that would be an answer which the policy has not decided.
type LimitListener struct {
	net.Listener
	limit     int
	freed     chan struct{} // has an element once a connection has been closed
	closed    chan struct{}
	closeOnce sync.Once
	evicted   atomic.Int64
	waiting   atomic.Bool // a connection waits for a place, or for a descriptor
	draining  atomic.Bool // each connection ends with its next answer
	hurried   atomic.Bool // requests that are not complete may pause for a moment only
	abandoned atomic.Bool // clients count as gone, so that requests in flight are given up

	backlogEmptyAt time.Time // when the backlog was empty last; owned by the accepting goroutine

	mu            sync.Mutex // guards limit, open and stopSoftDrain
	open          map[*clientConn]bool
	stopSoftDrain chan struct{} // nil but during a soft drain; closed at its end
}

// NewLimitListener limits the connections of a listener that are open at once; the limit is 1 at least.
func NewLimitListener(inner net.Listener, limit int) *LimitListener {
	return &LimitListener{Listener: inner, limit: max(limit, 1), freed: make(chan struct{}, 1),
		closed: make(chan struct{}), backlogEmptyAt: time.Now(), open: map[*clientConn]bool{}}
}

// Accept takes the next connection, and holds it back until there is a place for it, also while the listener
// is being closed: the kernel has accepted it.
func (l *LimitListener) Accept() (net.Conn, error) {
	conn, err := l.acceptConn()
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// acceptConn is Accept with the type of its connections.
func (l *LimitListener) acceptConn() (*clientConn, error) {
	start := time.Now()
	raw, err := l.Listener.Accept()
	if now := time.Now(); err == nil && now.Sub(start) > Millis(policy.AcceptTimeoutMillis) {
		l.backlogEmptyAt = now // the connection came while Accept was waiting
	}
	defer l.waiting.Store(false)
	for err != nil {
		// Neither a lack of descriptors nor a client that has gone before it was accepted ends the frontend.
		if errors.Is(err, syscall.EMFILE) {
			l.waiting.Store(true)
			l.reduceLimit()
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(Millis(policy.AcceptRetryMillis)):
		}
		raw, err = l.Listener.Accept()
	}
	for !l.ensureCapacity() {
		l.waiting.Store(true)
		select {
		case <-l.freed:
		case <-time.After(Millis(policy.AcceptRetryMillis)): // one may have become idle
		}
	}
	conn := l.admit(raw)
	if time.Since(l.backlogEmptyAt) > Millis(policy.AcceptTimeoutMillis) {
		conn.waitingSince = l.backlogEmptyAt
	}
	return conn, nil
}

// admit registers a connection as open.
func (l *LimitListener) admit(raw net.Conn) *clientConn {
	conn := &clientConn{Conn: bypassScheduler(raw), listener: l}
	if guarded, ok := conn.Conn.(guardedConn); ok {
		guarded.guardReads(&conn.readMu, func() bool { return !conn.isEnded() }, conn.recordRead)
	}
	conn.lastActivityNanos.Store(time.Now().UnixNano())
	l.mu.Lock()
	l.open[conn] = true
	l.mu.Unlock()
	return conn
}

// reduceLimit lowers the limit and evicts connections until it holds. Guards against clients that take the
// process's last descriptors: each one that becomes free would go to the next client, and the watch, the
// workers and the peers would never get one.
func (l *LimitListener) reduceLimit() {
	l.mu.Lock()
	open := len(l.open)
	l.limit = min(l.limit, max(open-policy.ReservedDescriptors, open/2, 1))
	l.mu.Unlock()
	l.ensureCapacity()
}

// ensureCapacity tells whether one more connection may be open, and evicts others for it if it can.
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

// evictOne ends the first of these connections that can be ended, at once: its descriptor is needed.
func (l *LimitListener) evictOne(oldest []*clientConn) bool {
	for _, conn := range oldest {
		if conn == nil {
			continue
		}
		closing := conn.closing.Load()
		if closing || conn.endIf(stateNew, stateIdle, stateReadingFirst, stateReadingBody) {
			conn.closeNow()
			if !closing {
				l.evicted.Add(1)
			}
			return true
		}
	}
	return false
}

// evictionOrder lists the states in which connections give their places to others, in this order, and after
// how many ms without a byte. Guards against crowds that never complete a request; slow honest clients go on
// sending. A connection that is closing has had its answers, and these have had time to reach the client.
var evictionOrder = [...]struct {
	state      int32
	idleMillis float64
}{
	{stateClosing, policy.AcceptRetryMillis},
	{stateNew, policy.EvictNewClientMillis},
	{stateIdle, policy.EvictIdleClientMillis},
	{stateReadingFirst, policy.EvictPartialRequestMillis},
	{stateReadingBody, policy.EvictPartialRequestMillis},
}

// nearLimit tells whether places are scarce.
func (l *LimitListener) nearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.open)) > policy.KeepAliveClientFraction*float64(l.limit)
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

// Evicted counts the connections that were ended to make room for others.
func (l *LimitListener) Evicted() int64 { return l.evicted.Load() }

// Close ends Accept.
func (l *LimitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
