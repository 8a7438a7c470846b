package edge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/workerlink"
)

const (
	headerPromptPrefix = "Prompt-Prefix"

	firstTableTimeout      = 1200 * time.Millisecond // for the first configuration after the process's start
	notReadyRetryAfter     = 700 * time.Millisecond  // stated while this edge lacks current state
	defaultMaxBodyBytes    = 8 << 20                 // where the configuration's limits say nothing
	defaultRequestTimeout  = 30 * time.Second        // where neither client nor route says one
	maxStatedTimeoutMillis = 1e9                     // of a client's deadline, so that it fits a Duration
)

// ServeHTTP handles a client's request.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.gate.Enter()
	defer e.gate.Leave()
	arrivedAt := time.Now()
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(arrivedAt.Add(rejectionTimeout))
	if e.gate.Draining() {
		w.Header().Set("Connection", "close")
	}
	memory := e.requestMemory.Open()
	defer func() { memory.Release(e.now()) }()
	if !memory.Admit(requestOverheadBytes + headerMemory(r.Header)) {
		e.rejectWithoutMemory(w, r, 0)
		return
	}
	table := e.awaitTable(r.Context())
	if table == nil {
		reject(w, http.StatusServiceUnavailable, notReadyRetryAfter)
		return
	}
	route := table.route(r.Host, requestPath(r))
	if route == nil {
		e.rejectUnknownRoute(w)
		return
	}
	deadline := arrivedAt.Add(requestTimeout(r, route))
	_ = control.SetWriteDeadline(deadline.Add(slowReaderTimeout))
	body, ok := e.receiveBody(w, r, table.limits, deadline, memory)
	if !ok {
		return
	}
	id := r.Header.Get(workerlink.HeaderRequestID)
	if id == "" {
		reject(w, http.StatusBadRequest, 0)
		return
	}
	if !e.gate.Take(e.now(), drainRoute(route), time.Until(deadline)) {
		e.rejectWhileDraining(w)
		return
	}
	service := e.decisions.drawService(table, route)
	p := &proxiedRequest{
		edge: e, writer: w, clientRequest: r, route: route, id: id, service: service, memory: memory,
		deadline: deadline, excluded: map[string]bool{},
		priorityRank: table.priorityRanks[route],
		prompt: &loadbalancer.Request{
			Parts:              loadbalancer.ParsePrompt(r.Header.Get(headerPromptPrefix)),
			MaxStreamGapMillis: table.maxStreamGapMillis[service],
			WithoutAffinity:    !route.SessionAffinity,
		},
		workerRequest: &workerlink.Request{
			Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: workerlink.EndToEnd(r.Header), Body: body,
		},
	}
	p.run()
	if p.headWritten {
		e.gate.RecordDuration(drainRoute(route), time.Since(arrivedAt))
	}
}

// requestPath returns the path of a request as the client has sent it, by which it is matched to a route.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// awaitTable returns the table in force, or nil. An edge that has just started waits a little for its first
// one: the client's request can then be served, while a rejected client may not come back.
func (e *Edge) awaitTable(ctx context.Context) *routingTable {
	if table := e.table.Load(); table != nil {
		return table
	}
	timer := time.NewTimer(firstTableTimeout)
	defer timer.Stop()
	select {
	case <-e.tableReady:
	case <-timer.C:
	case <-ctx.Done():
	}
	return e.table.Load()
}

// rejectUnknownRoute rejects a request that has no route: with 404 only where this edge's configuration is
// current, so that the route cannot exist.
func (e *Edge) rejectUnknownRoute(w http.ResponseWriter) {
	if e.store.HasQuorumContact() {
		reject(w, http.StatusNotFound, 0)
		return
	}
	reject(w, http.StatusServiceUnavailable, notReadyRetryAfter)
}

// requestTimeout returns how long a request may take: what the client states, and at most what the route
// allows.
func requestTimeout(r *http.Request, route *configuration.Route) time.Duration {
	timeout := defaultRequestTimeout
	statedMillis, err := strconv.ParseFloat(r.Header.Get(workerlink.HeaderDeadline), 64)
	if err == nil && statedMillis > 0 {
		timeout = time.Duration(min(statedMillis, maxStatedTimeoutMillis) * float64(time.Millisecond))
	}
	if route.TimeoutMs > 0 {
		timeout = min(timeout, time.Duration(route.TimeoutMs*float64(time.Millisecond)))
	}
	return timeout
}

// reject writes a response without a body. retryAfter tells the client when to come back; 0: it is not told.
func reject(w http.ResponseWriter, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
