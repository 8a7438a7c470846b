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

// WatchTiming is what the pauses of a watch go by.
type WatchTiming struct {
	PollingInstances func() int     // gatekeepers that may ask at once; none where lists are pushed
	DueMillis        float64        // ms from the first opening on in which what discovery has to tell counts as told
	Random           func() float64 // from 0 to 1
}

// openDelayMillis is the pause before an opening, so long after the first one, ms: after so many tries in a row that
// cost discovery something in vain, where it has been owed what it had for so long.
func (t WatchTiming) openDelayMillis(failures int, elapsed, owed time.Duration) float64 {
	due := policy.WatchDue
	if elapsed < Millis(t.DueMillis) {
		due = t.DueMillis // one that was moved to may only just be coming up
	}
	return policy.WatchAfter(failures, t.PollingInstances(), due-float64(owed)/float64(time.Millisecond),
		t.Random())
}

// headTimeoutMillis is how long an opening may take until the answer's head is there, ms.
func (t WatchTiming) headTimeoutMillis() float64 {
	if t.PollingInstances() == 0 {
		return policy.WatchHead
	}
	return policy.WatchQuiet
}

// silenceTimeoutMillis is how long a watch that has spoken may say nothing, ms.
func (t WatchTiming) silenceTimeoutMillis() float64 {
	return policy.WatchSilent(t.PollingInstances(), t.Random())
}

// Watch follows discovery's list from a version on until ctx ends, and gives each change to tell as soon as
// it is read; alive hears of each line without news. When the watch ends or falls silent it reports why to
// failed and opens it again, one call out at a time. Each opening, the first too, comes after a pause, but
// for the one after a silence. It returns the version that it got to.
func Watch(ctx context.Context, addr string, version int64, onList func(endpoints.List), onHeartbeat func(),
	onFailure func(error), timing WatchTiming) int64 {
	dialer := net.Dialer{KeepAlive: -1}
	w := watch{dial: dialer.DialContext, addr: addr, version: version, onList: onList,
		onHeartbeat: onHeartbeat, onFailure: onFailure,
		openDelay: timing.openDelayMillis, headTimeout: timing.headTimeoutMillis, silenceTimeout: timing.silenceTimeoutMillis}
	w.run(ctx)
	return w.version
}

// watch is a watch of discovery's list.
type watch struct {
	dial           func(ctx context.Context, network, addr string) (net.Conn, error)
	addr           string
	version        int64
	onList         func(endpoints.List)
	onHeartbeat    func()
	onFailure      func(error)
	openDelay      func(tries int, gone, owed time.Duration) float64
	headTimeout    func() float64
	silenceTimeout func() float64
	connected      bool      // the last one that was opened came to a connection
	received       bool      // it said something
	wentSilent     bool      // and then no more
	owedSince      time.Time // when what it did not tell is owed from: zero, from its end
}

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
			failures = -1 // the next one is a first one, without a pause
		case w.received, !w.connected: // one that met nobody cost discovery nothing
			failures = 0
		}
	}
}

// watchOnce opens the watch and follows it until it ends. The answer's head has its time, and from then on the
// first word WatchQuiet. A list that begins later has to be whole within the time for a silence.
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
	const requestFormat = "GET /discovery/hosts?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n"
	if _, err = fmt.Fprintf(conn, requestFormat, w.version, w.addr); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	response.StreamBody = true
	if err := response.Read(bufio.NewReader(conn)); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("discovery: status %d", response.StatusCode())
	}
	w.owedSince = time.Now() // it was reached until here
	_ = conn.SetDeadline(w.owedSince.Add(Millis(policy.WatchQuiet)))
	extendDeadline := func() { _ = conn.SetDeadline(time.Now().Add(Millis(w.silenceTimeout()))) }
	limits := endpoints.Limits{
		ListBytes:  policy.LongestList,
		ValueBytes: policy.LongestEntry,
		Workers:    policy.MostWorkers,
	}
	lists := endpoints.NewStream(response.BodyStream(), limits, func(empty bool) {
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
			w.version = 0 // what it said is unknown: ask for all
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
