package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
)

// WatchTiming is what the pauses and time-outs of a watch depend on.
type WatchTiming struct {
	PollingInstances func() int     // how many may ask at once; 0 where discovery pushes lists
	DueMillis        float64        // bounds the delay of a change, from the first opening on
	Random           func() float64 // gives a number from 0 to 1
}

// openDelayMillis is the pause before an opening. It depends on the attempts in a row that cost discovery
// work for nothing, on the time since the first opening, and on how long discovery has owed its changes.
func (t WatchTiming) openDelayMillis(failures int, elapsed, owed time.Duration) float64 {
	due := policy.WatchCatchUpMillis
	if elapsed < Millis(t.DueMillis) {
		due = t.DueMillis // a discovery that the watch has moved to may still be starting
	}
	return policy.WatchRetryDelay(failures, t.PollingInstances(), due-float64(owed)/float64(time.Millisecond),
		t.Random())
}

// headTimeoutMillis bounds the time from an opening to the head of the answer.
func (t WatchTiming) headTimeoutMillis() float64 {
	if t.PollingInstances() == 0 {
		return policy.WatchHeaderTimeoutMillis
	}
	return policy.WatchHeartbeatTimeoutMillis
}

// watchTimeoutMillis bounds a silence of a watch that has received something.
func (t WatchTiming) silenceTimeoutMillis() float64 {
	return policy.WatchIdleTimeout(t.PollingInstances(), t.Random())
}

// Watch follows discovery's list from a version on until ctx ends. It calls onList with each list as soon as
// it is read and onHeartbeat for each blank line between lists. When the connection ends or falls silent it
// calls onFailure with the reason and opens the next one; there is never more than one. A pause precedes each
// opening, the first included, except after a silence. It returns the last version. The callbacks run on the
// caller's goroutine.
func Watch(ctx context.Context, addr string, version int64, onList func(endpoints.List), onHeartbeat func(),
	onFailure func(error), timing WatchTiming) int64 {
	dialer := net.Dialer{KeepAlive: -1}
	w := watch{dial: dialer.DialContext, addr: addr, version: version, onList: onList,
		onHeartbeat: onHeartbeat, onFailure: onFailure, openDelay: timing.openDelayMillis,
		headTimeout: timing.headTimeoutMillis, silenceTimeout: timing.silenceTimeoutMillis}
	w.run(ctx)
	return w.version
}

// watch is the state of Watch. The functions give times in ms.
type watch struct {
	dial           func(ctx context.Context, network, addr string) (net.Conn, error)
	addr           string
	version        int64
	onList         func(endpoints.List)
	onHeartbeat    func()
	onFailure      func(error)
	openDelay      func(failures int, elapsed, owed time.Duration) float64
	headTimeout    func() float64
	silenceTimeout func() float64

	// Of the last connection:
	connected  bool      // it was established
	received   bool      // a list or a heartbeat came
	wentSilent bool      // and then nothing for silenceTimeout
	owedSince  time.Time // from when on changes may have been missed; zero: from its end
}

// run opens one connection after another until ctx ends.
func (w *watch) run(ctx context.Context) {
	start, owed := time.Now(), time.Duration(0)
	for failures := 0; ctx.Err() == nil; failures++ {
		if !w.wentSilent {
			select {
			case <-ctx.Done():
				continue
			case <-time.After(Millis(w.openDelay(failures, time.Since(start), owed))):
			}
		}
		err := w.watchOnce(ctx)
		if ctx.Err() == nil {
			w.onFailure(err)
		}
		if owed = 0; !w.owedSince.IsZero() {
			owed = time.Since(w.owedSince)
		}
		switch {
		case w.wentSilent:
			failures = -1 // the next opening counts as the first, and comes without a pause
		case w.received, !w.connected: // an attempt that was not connected cost discovery nothing
			failures = 0
		}
	}
}

// watchOnce opens one connection and follows it until it ends. The head of the answer has headTimeout, and
// from then on the first list or heartbeat has WatchHeartbeatTimeoutMillis.
func (w *watch) watchOnce(ctx context.Context) error {
	w.connected, w.received, w.wentSilent, w.owedSince = false, false, false, time.Now()
	deadline := w.owedSince.Add(Millis(w.headTimeout()))
	opening, cancel := context.WithDeadline(ctx, deadline)
	conn, err := w.dial(opening, "tcp", w.addr)
	cancel()
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	w.connected = true
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_ = conn.SetDeadline(deadline)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := w.request(conn, response); err != nil {
		return err
	}
	w.owedSince = time.Now() // discovery has been reachable until now
	_ = conn.SetDeadline(w.owedSince.Add(Millis(policy.WatchHeartbeatTimeoutMillis)))
	return w.readLists(conn, response.BodyStream())
}

// request asks for the list from the current version on and reads the head of the answer.
func (w *watch) request(conn net.Conn, response *fasthttp.Response) error {
	const format = "GET /discovery/hosts?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n"
	if _, err := fmt.Fprintf(conn, format, w.version, w.addr); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	response.StreamBody = true
	if err := response.Read(bufio.NewReader(conn)); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("discovery: status %d", response.StatusCode())
	}
	return nil
}

// readLists reads lists until the connection ends. A list must be complete within silenceTimeout of its
// beginning, except that the first one has what is left of WatchHeartbeatTimeoutMillis.
func (w *watch) readLists(conn net.Conn, body io.Reader) error {
	extendDeadline := func() { _ = conn.SetDeadline(time.Now().Add(Millis(w.silenceTimeout()))) }
	limits := endpoints.Limits{
		ListBytes:  policy.MaxEndpointListBytes,
		ValueBytes: policy.MaxEndpointBytes,
		Workers:    policy.MaxWorkers,
	}
	lists := endpoints.NewStream(body, limits, func(empty bool) {
		if w.received = w.received || empty; w.received {
			extendDeadline()
		}
		if empty {
			w.onHeartbeat()
		}
	})
	for {
		list, err := lists.Next()
		if err == nil {
			w.received, w.version = true, list.Version
			extendDeadline()
			w.onList(list)
			continue
		}
		if errors.As(err, &endpoints.MalformedError{}) {
			w.version = 0 // the state is uncertain: ask for a snapshot
		}
		if w.received {
			w.owedSince = lists.ListStarted()
		}
		w.wentSilent = w.received && errors.Is(err, os.ErrDeadlineExceeded)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("discovery: watch: %w", err)
	}
}
