package transport

import (
	"time"

	"willowdeck/internal/policy"
)

// BeginSoftDrain ends each connection with its next answer, and closes the idle ones, those first that have
// been idle for longest, all within DrainIdleMillis. The listener goes on accepting. It lasts until
// EndSoftDrain; a second call changes nothing. Guards against closing a connection while a request is on its
// way.
func (l *LimitListener) BeginSoftDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopSoftDrain == nil {
		l.stopSoftDrain = make(chan struct{})
		l.draining.Store(true)
		go l.softDrain(l.stopSoftDrain, time.Now())
	}
}

// EndSoftDrain ends what BeginSoftDrain has begun.
func (l *LimitListener) EndSoftDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopSoftDrain != nil {
		close(l.stopSoftDrain)
		l.stopSoftDrain = nil
		l.draining.Store(false)
	}
}

// softDrain closes idle connections until stop is closed.
func (l *LimitListener) softDrain(stop <-chan struct{}, start time.Time) {
	ticker := time.NewTicker(Millis(policy.AcceptRetryMillis))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			if elapsed := now.Sub(start); elapsed > Millis(policy.DrainAcceptMillis) {
				l.closeIdle(max(Millis(policy.DrainIdleMillis)-elapsed, Millis(policy.AcceptRetryMillis)))
			}
		}
	}
}

// closeIdle closes the connections that have been idle for idleFor and have no unread bytes, and tells
// whether any that is idle remains. Guards against closing a connection with a request that the kernel has
// received, and a new one whose first request is on its way.
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
		ended := idle > idleFor &&
			(conn.endIf(stateIdle) || idle > Millis(policy.EvictNewClientMillis) && conn.endIf(stateNew))
		if !ended && !conn.Gone() {
			remaining = true
		}
	}
	return remaining
}

// Drain ends each connection with its next answer, and closes the idle ones, those first that have been idle
// for longest, all within StopIdleMillis. It returns once none is idle and none waits for a place: behind
// a
// waiting one the kernel may have accepted more. Guards against closing a connection while a request is on
// its way.
func (l *LimitListener) Drain() {
	l.draining.Store(true)
	start := time.Now()
	const enoughScans = 2 // in a row: one may fall between two connections that wait
	for emptyScans := 0; emptyScans < enoughScans; emptyScans++ {
		idleFor := max(Millis(policy.StopIdleMillis)-time.Since(start), Millis(policy.AcceptRetryMillis))
		if l.closeIdle(idleFor) || l.waiting.Load() {
			emptyScans = -1
		}
		time.Sleep(Millis(policy.AcceptRetryMillis))
	}
}

// HurryReads lets requests that are being read pause for no more than a moment. Guards against a request that
// is complete so late that SIGKILL finds it unanswered; one that is never complete is not accepted.
func (l *LimitListener) HurryReads() {
	l.hurried.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		switch conn.currentState() {
		case stateReadingFirst, stateReadingNext, stateReadingBody,
			stateServing: // whose body may be forwarded as it comes
			_ = conn.SetReadDeadline(time.Now().Add(Millis(policy.AcceptRetryMillis)))
		}
	}
}

// AbandonRequests gives up the requests in flight: their clients count as gone, and get their answers at
// once.
func (l *LimitListener) AbandonRequests() { l.abandoned.Store(true) }

// interruptIdleReads ends the reads of connections that have no request in flight.
func (l *LimitListener) interruptIdleReads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		if state := conn.state.Load(); state != stateReadingBody && state != stateServing && state != stateEnded {
			_ = conn.SetReadDeadline(aLongTimeAgo)
		}
	}
}
