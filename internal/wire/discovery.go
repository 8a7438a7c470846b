package wire

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/wire/roster"
	"willowdeck/logic"
)

// Watch follows discovery's list from a version on until ctx ends, and gives each change to tell as soon as
// it is read; alive hears of each line without news. When the watch ends or falls silent it reports why to
// failed and opens it again, one call out at a time. Each opening, the first too, comes after the pause that
// after gives for so many tries in a row that brought nothing, ms. It returns the version that it got to.
func Watch(ctx context.Context, addr string, version int64, tell func(roster.List), alive func(),
	failed func(error), after func(tries int) float64) int64 {
	for tries := 0; ctx.Err() == nil; tries++ {
		select {
		case <-ctx.Done():
			continue
		case <-time.After(Millis(after(tries))):
		}
		err := watchOnce(ctx, addr, &version, func(l roster.List) { tries = 0; tell(l) },
			func() { tries = 0; alive() })
		if ctx.Err() == nil {
			failed(err)
		}
	}
	return version
}

func watchOnce(ctx context.Context, addr string, version *int64, tell func(roster.List),
	alive func()) error {
	d := net.Dialer{Timeout: Millis(logic.WatchQuiet), KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	quiet := func() { _ = conn.SetDeadline(time.Now().Add(Millis(logic.WatchQuiet))) }
	quiet()
	const ask = "GET /discovery/hosts?stream=1&index=%d HTTP/1.1\r\nHost: %s\r\n\r\n"
	if _, err = fmt.Fprintf(conn, ask, *version, addr); err != nil {
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
	lines := bufio.NewScanner(r.BodyStream())
	lines.Buffer(nil, logic.LongestList)
	for {
		quiet()
		if !lines.Scan() {
			return fmt.Errorf("discovery: watch: %w", cmp.Or(lines.Err(), io.ErrUnexpectedEOF))
		}
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			alive()
			continue
		}
		l, err := roster.Decode(line)
		if err != nil {
			*version = 0 // what it said is unknown: ask for all
			return err
		}
		*version = l.Version
		tell(l)
	}
}
