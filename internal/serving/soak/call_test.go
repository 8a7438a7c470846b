package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

const (
	noResponse       = 0                      // in place of a status
	lossSlack        = 400 * time.Millisecond // between the last byte of a request and a lost response
	maxResponseBytes = 1 << 20
)

// call is a request to a core.
type call struct {
	machine      *machine
	method, path string
	header       http.Header
	body         string
	limit        time.Duration // after which the response is not waited for any more
}

func (c call) String() string { return fmt.Sprintf("%s %s at %s", c.method, c.path, c.machine.name) }

// requestTrace is how far a request has come.
type requestTrace struct {
	accepted  atomic.Bool  // the core has asked for the body
	writtenAt atomic.Int64 // Unix time in nanoseconds; 0: not all of it is written
}

// observe returns a context whose request is traced.
func (t *requestTrace) observe(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got100Continue: func() { t.accepted.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				t.writtenAt.Store(time.Now().UnixNano())
			}
		},
	})
}

// lost reports whether a request that has just failed had been read by the core: its handler had asked for
// the body, and has had time for it.
func (t *requestTrace) lost() bool {
	written := t.writtenAt.Load()
	return t.accepted.Load() && written != 0 && time.Since(time.Unix(0, written)) > lossSlack
}

// exchange makes a call and returns the status of the response, or noResponse, and its body. It reports a
// request that a core has read and not answered, though the core was not killed.
func (c *cluster) exchange(client *http.Client, made call) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), made.limit)
	defer cancel()
	began := time.Now()
	trace := &requestTrace{}
	status, answer, err := send(trace.observe(ctx), client, made)
	if err != nil && ctx.Err() == nil && trace.lost() && !made.machine.killedSince(began) {
		c.t.Errorf("%v was read and not answered: %v", made, err)
	}
	return status, answer
}

// send sends the request of a call and reads the response.
func send(ctx context.Context, client *http.Client, made call) (status int, answer []byte, err error) {
	url := "http://" + made.machine.controlAddress() + made.path
	request, err := http.NewRequestWithContext(ctx, made.method, url, strings.NewReader(made.body))
	if err != nil {
		return noResponse, nil, err
	}
	for name, values := range made.header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err != nil {
		return noResponse, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if answer, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes)); err != nil {
		return noResponse, nil, err
	}
	return response.StatusCode, answer, nil
}
