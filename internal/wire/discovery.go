package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/wire/roster"
	"willowdeck/logic"
)

// Pace is what the pauses of a watch go by.
type Pace struct {
	Askers func() int     // gatekeepers that may ask at once; none where lists are pushed
	Due    float64        // ms from the first opening on in which what discovery has to tell counts as told
	Chance func() float64 // from 0 to 1
}

// open is the pause before an opening, so long after the first one, ms: after so many tries in a row that
// brought nothing, or after a watch that had said something and has ended.
func (p Pace) open(tries int, spoke bool, gone time.Duration) float64 {
	due := math.Inf(1)
	switch {
	case spoke:
		due = logic.WatchDue
	case tries == 0 || p.Due < logic.WatchDue && gone < Millis(p.Due):
		due = p.Due // one that was moved to may only just be coming up
	}
	return logic.WatchAfter(tries, p.Askers(), due, p.Chance())
}

// silent is how long a watch that has spoken may say nothing, ms.
func (p Pace) silent() float64 { return logic.WatchSilent(p.Askers(), p.Chance()) }

// Watch follows discovery's list from a version on until ctx ends, and gives each change to tell as soon as
// it is read; alive hears of each line without news. When the watch ends or falls silent it reports why to
// failed and opens it again, one call out at a time. Each opening, the first too, comes after a pause, but
// for the one after a silence. It returns the version that it got to.
func Watch(ctx context.Context, addr string, version int64, tell func(roster.List), alive func(),
	failed func(error), p Pace) int64 {
	d := net.Dialer{KeepAlive: -1}
	w := watch{dial: d.DialContext, addr: addr, version: version, tell: tell, alive: alive, failed: failed,
		open: p.open, silent: p.silent}
	w.follow(ctx)
	return w.version
}

// watch is a watch of discovery's list.
type watch struct {
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	addr    string
	version int64
	tell    func(roster.List)
	alive   func()
	failed  func(error)
	open    func(tries int, spoke bool, gone time.Duration) float64
	silent  func() float64
	spoke   bool // the last one that was opened said something
	quiet   bool // and then no more
}

func (w *watch) follow(ctx context.Context) {
	began := time.Now()
	for tries := 0; ctx.Err() == nil; tries++ {
		if !w.quiet {
			select {
			case <-ctx.Done():
				continue
			case <-time.After(Millis(w.open(tries, w.spoke, time.Since(began)))):
			}
		}
		err := w.once(ctx)
		if ctx.Err() == nil {
			w.failed(err)
		}
		switch {
		case w.quiet:
			tries = -1 // the next one is a first one, without a pause
		case w.spoke:
			tries = 0
		}
	}
}

// once opens the watch and follows it until it ends. The whole of the opening has WatchQuiet.
func (w *watch) once(ctx context.Context) error {
	w.spoke, w.quiet = false, false
	until := time.Now().Add(Millis(logic.WatchQuiet))
	opening, cancel := context.WithDeadline(ctx, until)
	conn, err := w.dial(opening, "tcp", w.addr)
	cancel()
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
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
	lists := roster.NewStream(r.BodyStream(), logic.LongestList, func(empty bool) {
		_ = conn.SetDeadline(time.Now().Add(Millis(w.silent())))
		if empty {
			w.spoke = true
			w.alive()
		}
	})
	for {
		l, err := lists.Next()
		if err == nil {
			w.spoke, w.version = true, l.Version
			w.tell(l)
			continue
		}
		if errors.As(err, &roster.Nonsense{}) {
			w.version = 0 // what it said is unknown: ask for all
		}
		w.quiet = w.spoke && errors.Is(err, os.ErrDeadlineExceeded)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("discovery: watch: %w", err)
	}
}
