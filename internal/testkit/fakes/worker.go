package fakes

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"willowdeck/internal/testkit/history"
	"willowdeck/internal/testkit/ports"
)

// ReceivedRequest is a request that a worker received completely.
type ReceivedRequest struct {
	ID, Product string
	Target      string // path and query
	At          time.Time
	Ran         bool   // whether the worker's fault let it run
	Version     string // the ruleset's version that the request names; empty where it names none
}

// Worker is a worker on loopback. Its methods may be called concurrently.
type Worker struct {
	Name string
	Addr string // host:port

	behavior
	// Record receives an event for each request; it is set before the first one arrives.
	Record history.Recorder

	server      *http.Server
	releasePort func()
	received    []ReceivedRequest
	deliveries  map[string]uint64 // how often each request, by its id, has arrived
	slots       chan struct{}     // one for each request that runs; nil where their number has no bound
}

// Cores bounds how many requests run at once from now on; the others wait in turn.
func (w *Worker) Cores(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slots = make(chan struct{}, n)
}

// NewWorker starts a worker with a service time for each request. Whoever starts it calls Close.
func NewWorker(name string, serviceTime time.Duration) (*Worker, error) {
	l, releasePort, err := ports.Open()
	if err != nil {
		return nil, err
	}
	w := &Worker{Name: name, Addr: l.Addr().String(),
		behavior:   behavior{serviceTime: serviceTime, faultEnded: make(chan struct{})},
		deliveries: map[string]uint64{}, releasePort: releasePort}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// Close ends the worker for good: its connections break and its port is released.
func (w *Worker) Close() {
	w.Down()
	w.releasePort()
}

// Down stops the worker at once: its connections break. Its address stays allocated to it until Close.
func (w *Worker) Down() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.server.Close()
}

// Reopen starts a worker that is down again, at its address and with its log of requests.
func (w *Worker) Reopen() error {
	l, err := net.Listen("tcp", w.Addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	server := &http.Server{Handler: w}
	w.server = server
	go func() { _ = server.Serve(l) }()
	return nil
}

// Received returns a copy of what was received, in the order of arrival.
func (w *Worker) Received() []ReceivedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]ReceivedRequest(nil), w.received...)
}

// ServeHTTP answers one request as the present behavior says.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		http.Error(out, "no id", http.StatusNotFound)
		return
	}
	product, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	w.mu.Lock()
	fault, faultEnded, serviceTime := w.fault, w.faultEnded, w.serviceTime
	rulesetVersion := r.Header.Get("X-Rules")
	serial := w.deliveries[id]
	w.deliveries[id]++
	runs := fault != Full && fault != Silent
	w.received = append(w.received, ReceivedRequest{id, product, r.RequestURI, time.Now(), runs, rulesetVersion})
	slots := w.slots
	w.mu.Unlock()
	if w.Record != nil {
		version, _ := strconv.ParseUint(rulesetVersion, 10, 64)
		w.Record.Write(history.Event{Kind: history.Got, Txn: id, Worker: w.Name, Version: version,
			Serial: serial})
		if runs {
			w.Record.Write(history.Event{Kind: history.Ran, Txn: id, Worker: w.Name, Serial: serial})
		}
	}
	if slots != nil {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-r.Context().Done():
			return
		}
	}
	if injectFault(fault, faultEnded, serviceTime, out, r) {
		fmt.Fprintf(out, "done %s\n", id)
	}
}

// ReceivedInOrder returns what several workers received, by the time of arrival.
func ReceivedInOrder(workers []*Worker) (all []ReceivedRequest) {
	for _, w := range workers {
		all = append(all, w.Received()...)
	}
	slices.SortFunc(all, func(a, b ReceivedRequest) int { return a.At.Compare(b.At) })
	return all
}
