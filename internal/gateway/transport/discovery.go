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

// Pace is what the pauses of a watch go by.
type Pace struct {
	Askers func() int     // gatekeepers that may ask at once; none where lists are pushed
	Due    float64        // ms from the first opening on in which what discovery has to tell counts as told
	Chance func() float64 // from 0 to 1
}

// open is the pause before an opening, so long after the first one, ms: after so many tries in a row that
// cost discovery something in vain, where it has been owed what it had for so long.
func (p Pace) open(tries int, gone, owed time.Duration) float64 {
	due := policy.WatchCatchUpMillis
	if gone < Millis(p.Due) {
		due = p.Due // one that was moved to may only just be coming up
	}
	return policy.WatchRetryDelay(tries, p.Askers(), due-float64(owed)/float64(time.Millisecond), p.Chance())
}

// head is how long an opening may take until the answer's head is there, ms.
func (p Pace) head() float64 {
	if p.Askers() == 0 {
		return policy.WatchHeaderTimeoutMillis
	}
	return policy.WatchHeartbeatTimeoutMillis
}

// silent is how long a watch that has spoken may say nothing, ms.
func (p Pace) silent() float64 { return policy.WatchIdleTimeout(p.Askers(), p.Chance()) }

// Watch follows discovery's list from a version on until ctx ends, and gives each change to tell as soon as
// it is read; alive hears of each line without news. When the watch ends or falls silent it reports why to
// failed and opens it again, one call out at a time. Each opening, the first too, comes after a pause, but
// for the one after a silence. It returns the version that it got to.
func Watch(ctx context.Context, addr string, version int64, tell func(endpoints.List), alive func(),
	failed func(error), p Pace) int64 {
	d := net.Dialer{KeepAlive: -1}
	w := watch{dial: d.DialContext, addr: addr, version: version, tell: tell, alive: alive, failed: failed,
		open: p.open, head: p.head, silent: p.silent}
	w.follow(ctx)
	return w.version
}

// watch is a watch of discovery's list.
type watch struct {
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	addr    string
	version int64
	tell    func(endpoints.List)
	alive   func()
	failed  func(error)
	open    func(tries int, gone, owed time.Duration) float64
	head    func() float64
	silent  func() float64
	met     bool      // the last one that was opened came to a connection
	spoke   bool      // it said something
	quiet   bool      // and then no more
	since   time.Time // when what it did not tell is owed from: zero, from its end
}

func (w *watch) follow(ctx context.Context) {
	began, owed := time.Now(), time.Duration(0)
	for tries := 0; ctx.Err() == nil; tries++ {
		if !w.quiet {
			select {
			case <-ctx.Done():
				continue
			case <-time.After(Millis(w.open(tries, time.Since(began), owed))):
			}
		}
		err := w.once(ctx)
		if ctx.Err() == nil {
			w.failed(err)
		}
		if owed = 0; !w.since.IsZero() {
			owed = time.Since(w.since)
		}
		switch {
		case w.quiet:
			tries = -1 // the next one is a first one, without a pause
		case w.spoke, !w.met: // one that met nobody cost discovery nothing
			tries = 0
		}
	}
}

// once opens the watch and follows it until it ends. The answer's head has its time, and from then on the
// first word WatchHeartbeatTimeoutMillis. A list that begins later has to be whole within the time for a
// silence.
func (w *watch) once(ctx context.Context) error {
	w.met, w.spoke, w.quiet, w.since = false, false, false, time.Now()
	until := w.since.Add(Millis(w.head()))
	opening, cancel := context.WithDeadline(ctx, until)
	conn, err := w.dial(opening, "tcp", w.addr)
	cancel()
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	w.met = true
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_ = conn.SetDeadline(until)
	const ask = "GET /discovery/hosts?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n"
	if _, err = fmt.Fprintf(conn, ask, w.version, w.addr); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	r := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(r)
	r.StreamBody = true
	if err := r.Read(bufio.NewReader(conn)); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if r.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("discovery: status %d", r.StatusCode())
	}
	w.since = time.Now() // it was reached until here
	_ = conn.SetDeadline(w.since.Add(Millis(policy.WatchHeartbeatTimeoutMillis)))
	heard := func() { _ = conn.SetDeadline(time.Now().Add(Millis(w.silent()))) }
	bounds := endpoints.Bounds{
		Bytes:   policy.MaxEndpointListBytes,
		Entry:   policy.MaxEndpointBytes,
		Workers: policy.MaxWorkers,
	}
	lists := endpoints.NewStream(r.BodyStream(), bounds, func(empty bool) {
		if w.spoke = w.spoke || empty; w.spoke {
			heard()
		}
		if empty {
			w.alive()
		}
	})
	for {
		l, err := lists.Next()
		if err == nil {
			w.spoke, w.version = true, l.Version
			heard()
			w.tell(l)
			continue
		}
		if errors.As(err, &endpoints.Nonsense{}) {
			w.version = 0 // what it said is unknown: ask for all
		}
		if w.spoke {
			w.since = lists.Began()
		}
		w.quiet = w.spoke && errors.Is(err, os.ErrDeadlineExceeded)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("discovery: watch: %w", err)
	}
}
