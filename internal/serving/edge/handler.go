package edge

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/workerlink"
)

const (
	firstTableWait  = 1200 * time.Millisecond // for the first configuration of a life
	unknownWait     = 700 * time.Millisecond  // told to clients while this edge does not know enough
	defaultBodyMost = 8 << 20                 // bytes, where the limits say nothing
	defaultDeadline = 30 * time.Second
	highestPriority = 9
	usualPriority   = 5
	tightestAim     = 400.0 // ms: routes with this aim or a shorter one are the most urgent
	priorityStep    = 2.0   // ranks for each doubling of the aim
)

// ServeHTTP is the life of a client's request.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inHand.Add(1)
	defer e.inHand.Add(-1)
	arrived := time.Now()
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	t := e.awaitTable(r.Context())
	if t == nil {
		refuse(w, http.StatusServiceUnavailable, unknownWait)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := t.route(r.Host, path)
	if route == nil {
		e.refuseUnknownRoute(w)
		return
	}
	body, status := readBody(w, r, t.limits)
	if status != 0 {
		refuse(w, status, 0)
		return
	}
	id := r.Header.Get(workerlink.HeaderRequestID)
	if id == "" {
		refuse(w, http.StatusBadRequest, 0)
		return
	}
	service := e.decide.service(t, route)
	j := &job{
		edge: e, writer: w, client: r, route: route, id: id, service: service,
		deadline: arrived.Add(patience(r, route)), excluded: map[string]bool{},
		prompt: &loadbalancer.Request{
			Parts: loadbalancer.ParsePrompt(r.Header.Get("Prompt-Prefix")), MaxStreamGapMillis: t.pauses[service],
		},
		request: &workerlink.Request{
			Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: workerlink.EndToEnd(r.Header), Body: body,
		},
	}
	j.run()
}

// awaitTable returns what requests are handled by. An edge that has just started waits a little for its
// first configuration: the request can be served then, which is better than sending a client away that may
// not come back.
func (e *Edge) awaitTable(ctx context.Context) *table {
	if t := e.table.Load(); t != nil {
		return t
	}
	timer := time.NewTimer(firstTableWait)
	defer timer.Stop()
	select {
	case <-e.firstTable:
	case <-timer.C:
	case <-ctx.Done():
	}
	return e.table.Load()
}

// refuseUnknownRoute answers a request for which no route is known: with 404 only where that is known for
// sure.
func (e *Edge) refuseUnknownRoute(w http.ResponseWriter) {
	if e.mayDeny() {
		refuse(w, http.StatusNotFound, 0)
		return
	}
	refuse(w, http.StatusServiceUnavailable, unknownWait)
}

// patience is how long a request may take: what the client waits, and at most what the route allows.
func patience(r *http.Request, route *configuration.Route) time.Duration {
	limit := defaultDeadline
	if stated, err := strconv.ParseFloat(r.Header.Get(workerlink.HeaderDeadline), 64); err == nil && stated > 0 {
		limit = time.Duration(min(stated, 1e9) * float64(time.Millisecond))
	}
	if route.TimeoutMs > 0 {
		limit = min(limit, time.Duration(route.TimeoutMs*float64(time.Millisecond)))
	}
	return limit
}

// readBody reads a request's body whole. It returns the status of a refusal, or 0.
func readBody(w http.ResponseWriter, r *http.Request, limits configuration.Limits) ([]byte, int) {
	most := int64(defaultBodyMost)
	if limits.MaxBodyBytes > 0 {
		most = int64(limits.MaxBodyBytes)
	}
	if r.ContentLength > most {
		return nil, http.StatusRequestEntityTooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// refuse gives an answer of our own. A wait tells the client when to come back.
func refuse(w http.ResponseWriter, status int, wait time.Duration) {
	if wait > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// priority ranks requests at a worker by their aim: what has to begin soon goes before what can wait. Such
// requests are the small ones, too: they hold the others up least.
func priority(route *configuration.Route) string {
	if route.TargetLatencyMs <= 0 {
		return strconv.Itoa(usualPriority)
	}
	rank := math.Round(priorityStep * math.Log2(route.TargetLatencyMs/tightestAim))
	return strconv.Itoa(int(min(max(rank, 0), highestPriority)))
}
