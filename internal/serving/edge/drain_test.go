package edge

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"
)

// serveFront serves an edge's clients by its front server, as in service.
func serveFront(t *testing.T, e *Edge) (*frontServer, *httptest.Server) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front := newFrontServer(listener, e, e.connectionLimits, 0)
	go front.serve()
	return front, &httptest.Server{URL: "http://" + listener.Addr().String()}
}

// TestDrainTakesOnlyWhatItCanFinish sends requests to an edge that drains. One that may outlast the process
// is refused before a worker gets it: passed on, it would be cut off at the end (LOST). One that is short is
// served, and one that waits for its worker's response gets an answer of the edge at the end.
func TestDrainTakesOnlyWhatItCanFinish(t *testing.T) {
	silent := func(connection net.Conn, _ *http.Request, _ string) { time.Sleep(4 * time.Second) }
	w := newFakeWorker(t, silent, complete(200, "good", "Server-Signature: s"))
	e, _ := startEdge(t, w)
	e.settings.Bounds.GracePeriod = 1500 * time.Millisecond
	front, server := serveFront(t, e)
	waiting := make(chan clientResponse, 1)
	go func() { waiting <- post(t, server, "/once/") }()
	for w.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		e.drain(front)
	}()
	for e.ready() {
		time.Sleep(time.Millisecond)
	}
	long := post(t, server, "/stream/", "Deadline-Ms: 5000")
	seconds, err := strconv.ParseFloat(long.header.Get("Retry-After"), 64)
	if long.status != http.StatusServiceUnavailable || err != nil || seconds <= 0 || w.count() != 1 {
		t.Errorf("a request that cannot be finished: %+v, the worker got %d", long, w.count()-1)
	}
	if short := post(t, server, "/once/", "Deadline-Ms: 300"); short.status != http.StatusOK {
		t.Errorf("a request that can be finished: %+v", short)
	}
	<-drained
	if got := <-waiting; got.status != http.StatusBadGateway || got.broken {
		t.Errorf("a request without a response at the end: %+v", got)
	}
}

// TestDrainEndsOnceIdle has a request come when the last one in flight has left and the front closes: it is
// refused, since nobody would wait for its end.
func TestDrainEndsOnceIdle(t *testing.T) {
	w := newFakeWorker(t, complete(200, "good", "Server-Signature: s"))
	e, server := startEdge(t, w)
	e.gate.Begin(e.now(), e.now()+time.Minute)
	if !e.gate.CloseIfIdle() {
		t.Fatal("not idle")
	}
	got := post(t, server, "/once/", "Deadline-Ms: 100")
	if got.status != http.StatusServiceUnavailable || w.count() != 0 {
		t.Errorf("response %+v, the worker got %d requests", got, w.count())
	}
}
