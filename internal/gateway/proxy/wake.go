package proxy

import "willowdeck/internal/gateway/inflight"

// watchedClient is a request whose client may have closed its connection.
type watchedClient struct {
	request *inflight.Request
	gone    func() bool
}

// WakeNow wakes the policy now, before the time that it asked for.
func (d *Dispatcher) WakeNow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer.Reset(0)
}

// wakeLoop wakes the policy at the times that it asks for, until Stop.
func (d *Dispatcher) wakeLoop() {
	for {
		select {
		case <-d.timer.C:
			d.onWake()
		case <-d.stop:
			return
		}
	}
}

// onWake wakes the policy, and abandons the requests whose clients have gone. The clients are checked while
// the lock is free.
func (d *Dispatcher) onWake() {
	now := d.lockPolicy()
	if d.crash.file != nil {
		window, press, pace := d.policy.Congestion()
		d.crash.file.RecordLoad(window, press, pace, now)
	}
	d.watched = d.watched[:0]
	for _, r := range d.requests.byID {
		if !r.Answered {
			d.watched = append(d.watched, watchedClient{r, r.ClientGone})
		}
	}
	d.flushAndUnlock()
	gone := d.watched[:0]
	for _, w := range d.watched {
		if w.gone() {
			gone = append(gone, w)
		}
	}
	if len(gone) == 0 {
		return
	}
	now = d.lockPolicy()
	for _, w := range gone {
		d.abandon(w.request, now)
	}
	d.flushAndUnlock()
}
