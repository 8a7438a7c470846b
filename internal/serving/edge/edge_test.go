package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/memorybudget"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/wirepb"
)

// responder is what a fake worker does with a request that it has read: it writes bytes, or closes.
type responder func(connection net.Conn, request *http.Request, body string)

// fakeWorker accepts connections and responds by its responders in turn; the last one is repeated.
type fakeWorker struct {
	listener net.Listener

	mu         sync.Mutex
	responders []responder
	requests   []*http.Request
	bodies     []string
}

func newFakeWorker(tb testing.TB, responders ...responder) *fakeWorker {
	tb.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	w := &fakeWorker{listener: listener, responders: responders}
	tb.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(connection)
		}
	}()
	return w
}

func (w *fakeWorker) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		w.nextResponder(request, string(body))(connection, request, string(body))
	}
}

// nextResponder records a request and returns the responder for it.
func (w *fakeWorker) nextResponder(request *http.Request, body string) responder {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.requests, request)
	w.bodies = append(w.bodies, body)
	next := w.responders[0]
	if len(w.responders) > 1 {
		w.responders = w.responders[1:]
	}
	return next
}

// count returns how many requests the worker has got.
func (w *fakeWorker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests)
}

// head is the head of a response, with further header lines.
func head(request *http.Request, status int, lines ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nRequest-Id: %s\r\n", status, request.Header.Get("Request-Id"))
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

// complete responds with a complete body.
func complete(status int, body string, lines ...string) responder {
	return func(connection net.Conn, request *http.Request, _ string) {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
		io.WriteString(connection, head(request, status, lines...)+body)
	}
}

const streamHead = "Content-Type: text/event-stream"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// stream sends the events from first to last. It breaks off behind broken, a part of the next one, unless
// that is empty.
func stream(first, last int, broken string) responder {
	return func(connection net.Conn, request *http.Request, _ string) {
		signature := "Server-Signature: by-" + fmt.Sprint(first)
		text := head(request, 200, streamHead, "Transfer-Encoding: chunked", signature)
		for id := first; id <= last; id++ {
			text += chunk(event(id))
		}
		if broken != "" {
			io.WriteString(connection, text+chunk(broken))
			connection.Close()
			return
		}
		io.WriteString(connection, text+"0\r\n\r\n")
	}
}

// unframedStream sends the events from first to last in a body that ends with the connection.
func unframedStream(first, last int) responder {
	return func(connection net.Conn, request *http.Request, _ string) {
		text := head(request, 200, streamHead, "Connection: close", "Server-Signature: by-"+fmt.Sprint(first))
		for id := first; id <= last; id++ {
			text += event(id)
		}
		io.WriteString(connection, text)
		connection.Close()
	}
}

// killedInEvent sends events like unframedStream, and ends inside the next one.
func killedInEvent(first, last int) responder {
	return func(connection net.Conn, request *http.Request, _ string) {
		text := head(request, 200, streamHead, "Connection: close", "Server-Signature: by-"+fmt.Sprint(first))
		for id := first; id <= last; id++ {
			text += event(id)
		}
		io.WriteString(connection, text+fmt.Sprintf("id: %d\ndata: pi", last+1))
		connection.Close()
	}
}

func closeConnection(connection net.Conn, _ *http.Request, _ string) { connection.Close() }

// routeSettings are the settings of the tests' routes, by path prefix.
var routeSettings = map[string]string{
	"/idem/":   `"route_type":"idempotent","max_attempts":2`,
	"/once/":   `"route_type":"non_idempotent","max_attempts":1`,
	"/twice/":  `"route_type":"non_idempotent","max_attempts":2`,
	"/stream/": `"route_type":"streaming","resumable":false,"max_attempts":1`,
	"/resume/": `"route_type":"streaming","resumable":true,"max_attempts":2`,
	"/prompt/": `"route_type":"idempotent","max_attempts":2,"session_affinity":true`,
}

// startEdge runs an edge with the workers i-0, i-1 and so on, and a server that clients connect to.
func startEdge(tb testing.TB, workers ...*fakeWorker) (*Edge, *httptest.Server) {
	tb.Helper()
	config := &settings.Settings{NodeName: "e1", IP: "127.0.0.1", Zone: "a", Region: "south",
		Zones: map[string]string{"a": "south"}, Bounds: settings.Bounds{
			GracePeriod: time.Second, RetryBudgetRatio: 1, RetryBudgetWindow: 10 * time.Second, RetryBudgetSlack: 100,
			SlowStartOvershoot: 1.5, SlowStartSlack: 5,
		}}
	e := newEdge(config, zap.NewNop())
	var routes []string
	for prefix, settings := range routeSettings {
		routes = append(routes, fmt.Sprintf(
			`{"hostname":"h","path_prefix":%q,%s,"timeout_ms":5000,"backend":"s"}`, prefix, settings))
	}
	document, err := configuration.ParseAndValidate([]byte(
		`{"generation":1,"routes":[` + strings.Join(routes, ",") +
			`],"services":[{"name":"s","cold_per_s":10}]}`))
	if err != nil {
		tb.Fatal(err)
	}
	e.store.SetCommitted(1, document, nil)
	for i, w := range workers {
		publishWorker(e, fmt.Sprintf("i-%d", i), w.listener.Addr().String(), &wirepb.Worker{})
	}
	e.updateTable(newTableBuilder(config))
	server := httptest.NewUnstartedServer(e)
	server.Config = newHTTPServer(e, defaultConnectionLimits)
	server.Start()
	tb.Cleanup(server.Close)
	return e, server
}

func publishWorker(e *Edge, instance, address string, worker *wirepb.Worker) {
	worker.InstanceId, worker.Service, worker.Address = instance, "s", address
	worker.Zone, worker.Capacity = "a", 8
	e.store.WithCatalog(func(now time.Duration, c *catalog.Catalog) bool {
		c.Merge(now, []*wirepb.Record{{
			Key: catalog.WorkerKey(instance), Origin: "core", Version: 1, Sequence: 1,
			Value: &wirepb.Record_Worker{Worker: worker},
		}}, nil)
		return true
	})
}

// clientResponse is what a client has received.
type clientResponse struct {
	status int
	header http.Header
	body   string
	broken bool // the response was incomplete
}

func post(t *testing.T, server *httptest.Server, path string, lines ...string) clientResponse {
	t.Helper()
	request, err := http.NewRequest("POST", server.URL+path, strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Request-Id", "q-1")
	for _, line := range lines {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
	}
	response, err := (&http.Transport{DisableCompression: true, DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return clientResponse{broken: true}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return clientResponse{
		status: response.StatusCode, header: response.Header, body: string(body), broken: err != nil,
	}
}

func TestRequestReachesWorkerUnchanged(t *testing.T) {
	good := complete(207, "answer", "Server-Signature: sig", "X-Other: kept", "Keep-Alive: timeout=5")
	w := newFakeWorker(t, good)
	_, server := startEdge(t, w)
	got := post(t, server, "/once/a%2Fb//c?x=%20y", "X-Mine: 1", "Deadline-Ms: 900")
	if got.status != 207 || got.body != "answer" || got.header.Get("Server-Signature") != "sig" ||
		got.header.Get("X-Other") != "kept" || got.header.Get("Keep-Alive") != "" {
		t.Errorf("response %+v", got)
	}
	request := w.requests[0]
	if request.RequestURI != "/once/a%2Fb//c?x=%20y" || request.Host != "h" || w.bodies[0] != "question" ||
		request.Header.Get("X-Mine") != "1" || request.Header.Get("Target-Instance") != "i-0" {
		t.Errorf("request %+v", request)
	}
	if left := request.Header.Get("Deadline-Ms"); len(left) != 3 {
		t.Errorf("Deadline-Ms %s of 900", left)
	}
}

// TestWorkerFaults has a worker do one thing wrong at a time, and says what the client has to get.
func TestWorkerFaults(t *testing.T) {
	notExecuted := complete(503, "full", "Not-Executed: 1", "Server-Signature: s")
	stale := func(connection net.Conn, request *http.Request, body string) {
		other := request.Clone(request.Context())
		other.Header.Set("Request-Id", "of another request")
		complete(200, "not yours", "Server-Signature: s")(connection, other, body)
		complete(200, "yours", "Server-Signature: s")(connection, request, body)
	}
	onlyStale := func(connection net.Conn, request *http.Request, body string) {
		request.Header.Set("Request-Id", "of another request")
		complete(200, "not yours", "Server-Signature: s")(connection, request, body)
		connection.Close()
	}
	truncated := func(connection net.Conn, request *http.Request, _ string) {
		io.WriteString(connection, head(request, 200, "Content-Length: 100", "Server-Signature: s")+"begun")
		connection.Close()
	}
	garbage := func(connection net.Conn, _ *http.Request, _ string) {
		io.WriteString(connection, "this is no answer\r\n\r\n")
		connection.Close()
	}
	interim := func(connection net.Conn, request *http.Request, body string) {
		io.WriteString(connection, "HTTP/1.1 103 Early\r\n\r\n")
		complete(200, "good", "Server-Signature: s")(connection, request, body)
	}
	good := complete(200, "good", "Server-Signature: s")
	failed := complete(500, "bad", "Server-Signature: s")
	misdirected := complete(421, "", "Server-Signature: s")
	cases := []struct {
		name, path    string
		first, second responder
		status        int
		body          string
		sent          int
	}{
		{"connection closed, idempotent", "/idem/", closeConnection, good, 200, "good", 2},
		{"connection closed, non-idempotent", "/once/", closeConnection, good, 502, "", 1},
		{"connection closed, non-idempotent with two attempts", "/twice/", closeConnection, good, 502, "", 1},
		{"saturated worker", "/twice/", notExecuted, good, 200, "good", 2},
		{"saturated worker, one attempt", "/once/", notExecuted, good, 503, "", 1},
		{"misdirected", "/twice/", misdirected, good, 200, "good", 2},
		{"misdirected, one attempt", "/once/", misdirected, good, 200, "good", 2},
		{"status 500, idempotent", "/idem/", failed, good, 200, "good", 2},
		{"status 500, non-idempotent", "/once/", failed, good, 500, "bad", 1},
		{"stale response before its own", "/once/", stale, good, 200, "yours", 1},
		{"only stale responses", "/once/", onlyStale, good, 502, "", 1},
		{"truncated response, non-idempotent", "/once/", truncated, good, 502, "", 1},
		{"truncated response, idempotent", "/idem/", truncated, good, 200, "good", 2},
		{"bytes that are no HTTP response", "/once/", garbage, good, 502, "", 1},
		{"informational response", "/once/", interim, good, 200, "good", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			script := []responder{c.first, c.second}
			shared := &responderScript{script: script}
			first, second := newFakeWorker(t, shared.next), newFakeWorker(t, shared.next)
			_, server := startEdge(t, first, second)
			got := post(t, server, c.path)
			if got.status != c.status || got.body != c.body || got.broken {
				t.Errorf("response %+v", got)
			}
			if sent := first.count() + second.count(); sent != c.sent {
				t.Errorf("sent %d times instead of %d", sent, c.sent)
			}
			if c.status == 502 || c.status == 503 {
				if got.header.Get("Server-Signature") != "" {
					t.Error("the edge's own response bears a worker's signature")
				}
			}
			if stated := got.header.Get("Retry-After") != ""; stated != (c.status == 503) {
				t.Errorf("Retry-After %q", got.header.Get("Retry-After"))
			}
		})
	}
}

// responderScript uses responders in turn, whichever of its workers is requested.
type responderScript struct {
	mu     sync.Mutex
	script []responder
}

func (s *responderScript) next(connection net.Conn, request *http.Request, body string) {
	s.mu.Lock()
	step := s.script[0]
	if len(s.script) > 1 {
		s.script = s.script[1:]
	}
	s.mu.Unlock()
	step(connection, request, body)
}

// TestStreams guards against ORDER among others: a stream without a length whose worker was killed inside an
// event ended as complete.
func TestStreams(t *testing.T) {
	all := event(1) + event(2) + event(3)
	cases := []struct {
		name, path    string
		first, second responder
		body          string
		broken        bool
		resumedAt     string
	}{
		{"complete", "/stream/", stream(1, 3, ""), nil, all, false, ""},
		{"broken inside an event", "/stream/", stream(1, 2, "id: 3\nda"), nil, event(1) + event(2), true, ""},
		{"resumed at another worker", "/resume/", stream(1, 1, "id: 2\nda"), stream(2, 3, ""), all, false, "1"},
		{"resumed at the wrong event", "/resume/", stream(1, 1, "x"), stream(3, 3, ""), event(1), true, "1"},
		{"resumed with a failure", "/resume/", stream(1, 1, "x"), complete(500, "bad"), event(1), true, "1"},
		{"killed inside an event, no length", "/stream/", killedInEvent(1, 2), nil, event(1) + event(2), true, ""},
		{"the same, resumed", "/resume/", killedInEvent(1, 1), stream(2, 3, ""), all, false, "1"},
		{"complete, without a length", "/stream/", unframedStream(1, 3), nil, all, false, ""},
		{"broken before its first event", "/resume/", stream(1, 0, "id:"), stream(1, 3, ""), all, false, ""},
		{"broken before its first event, once", "/stream/", stream(1, 0, "id:"), stream(1, 3, ""), "", false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			shared := &responderScript{script: []responder{c.first, c.second}}
			first, second := newFakeWorker(t, shared.next), newFakeWorker(t, shared.next)
			_, server := startEdge(t, first, second)
			got := post(t, server, c.path)
			if got.body != c.body || got.broken != c.broken {
				t.Errorf("response %+v", got)
			}
			if c.body != "" && got.header.Get("Server-Signature") != "by-1" {
				t.Errorf("signature %q: the first worker's head has to stay", got.header.Get("Server-Signature"))
			}
			requests := append(first.requests, second.requests...)
			if c.resumedAt != "" {
				for _, request := range requests {
					if id := request.Header.Get("Last-Event-Id"); id != "" && id != c.resumedAt {
						t.Errorf("resumed after %s", id)
					}
				}
			}
		})
	}
}

func TestClientDisconnectEndsItsRequest(t *testing.T) {
	ended := make(chan struct{})
	w := newFakeWorker(t, func(connection net.Conn, request *http.Request, _ string) {
		io.WriteString(connection, head(request, 200, streamHead, "Transfer-Encoding: chunked")+chunk(event(1)))
		connection.Read(make([]byte, 1)) // returns when the edge closes
		close(ended)
	})
	_, server := startEdge(t, w)
	request, err := http.NewRequest("POST", server.URL+"/stream/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Request-Id", "q-1")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the worker still has the request")
	}
}

func TestUnknownRoutes(t *testing.T) {
	e, server := startEdge(t, newFakeWorker(t, complete(200, "good")))
	if got := post(t, server, "/nowhere/"); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("without quorum contact: %+v", got)
	}
	e.store.ConfirmQuorumContact(true)
	if got := post(t, server, "/nowhere/"); got.status != 404 {
		t.Errorf("with quorum contact: %+v", got)
	}
}

func TestIneligibleWorkersGetNoRequests(t *testing.T) {
	w := newFakeWorker(t, complete(200, "good"))
	address := w.listener.Addr().String()
	cases := map[string]func(e *Edge){
		"draining": func(e *Edge) { publishWorker(e, "i-1", address, &wirepb.Worker{Draining: true}) },
		"warming":  func(e *Edge) { publishWorker(e, "i-1", address, &wirepb.Worker{WarmupRemainingMs: 60_000}) },
		"evacuated": func(e *Edge) {
			publishWorker(e, "i-1", address, &wirepb.Worker{})
			e.store.SetCommitted(2, nil, []string{"a"})
		},
		"unknown": func(e *Edge) {},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			e, server := startEdge(t)
			prepare(e)
			e.updateTable(newTableBuilder(e.settings))
			got := post(t, server, "/once/")
			if got.status != 503 || got.header.Get("Retry-After") == "" || w.count() != 0 {
				t.Errorf("response %+v, the worker got %d requests", got, w.count())
			}
		})
	}
}

func TestReadiness(t *testing.T) {
	e, _ := startEdge(t)
	status := func() int {
		recorder := httptest.NewRecorder()
		e.readyz(recorder, nil)
		return recorder.Code
	}
	if status() != 200 {
		t.Error("an edge with a configuration is not ready")
	}
	e.gate.Begin(e.now(), e.now()+time.Minute)
	if status() != 503 {
		t.Error("a draining edge is ready")
	}
	if status := newEdge(e.settings, zap.NewNop()).ready(); status {
		t.Error("an edge without a configuration is ready")
	}
}

func TestDrainingEdgeClosesConnections(t *testing.T) {
	e, server := startEdge(t, newFakeWorker(t, complete(200, "good")))
	e.gate.Begin(e.now(), e.now()+time.Minute)
	request, err := http.NewRequest("POST", server.URL+"/once/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Request-Id", "q-1")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil || !response.Close || response.StatusCode != 200 {
		t.Errorf("%+v %v", response, err)
	}
}

// TestSlowStartNeedsTheNumberOfEdges starts an edge whose core has only just started, so that edges may be
// missing in its state: no worker that warms up may get a request before the core has synced.
func TestSlowStartNeedsTheNumberOfEdges(t *testing.T) {
	w := newFakeWorker(t, complete(200, "good", "Server-Signature: s"))
	e, _ := startEdge(t)
	publishWorker(e, "i-1", w.listener.Addr().String(), &wirepb.Worker{WarmupRemainingMs: 60_000})
	builder := newTableBuilder(e.settings)
	admitted := func() bool {
		e.updateTable(builder)
		for second := range 20 {
			now := time.Duration(second) * time.Second
			if _, _, _, ok := e.decisions.choose(now, e.table.Load(), "s", nil, &loadbalancer.Request{}, nil); ok {
				return true
			}
		}
		return false
	}
	e.store.ConfirmQuorumContact(false)
	if admitted() {
		t.Error("a warming worker got a request before the core had synced")
	}
	e.store.ConfirmQuorumContact(true)
	if !admitted() {
		t.Error("a warming worker gets no requests")
	}
	e.store.ConfirmQuorumContact(false) // another core, which has only just started: what is known stays
	if !admitted() {
		t.Error("the number of edges was forgotten")
	}
}

// TestEngineHeadersAreUnchanged sends the headers that engines read: each arrives as the client sent it.
func TestEngineHeadersAreUnchanged(t *testing.T) {
	w := newFakeWorker(t, complete(200, "good", "Server-Signature: s"))
	_, server := startEdge(t, w)
	headers := map[string]string{
		"Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": "5c1e07a2:800,91bd3f06:410", "Expect-Version": "4",
	}
	var lines []string
	for name, value := range headers {
		lines = append(lines, name+": "+value)
	}
	if got := post(t, server, "/prompt/x", lines...); got.status != 200 {
		t.Fatalf("response %+v", got)
	}
	for name, value := range headers {
		if got := w.requests[0].Header.Get(name); got != value {
			t.Errorf("%s: %q instead of %q", name, got, value)
		}
	}
}

// TestTooLongBodyIsRejected limits bodies: a longer one gets 413 and reaches no worker, by a stated length
// and without one.
func TestTooLongBodyIsRejected(t *testing.T) {
	limits := configuration.Limits{MaxBodyBytes: 100}
	for name, body := range map[string]io.Reader{
		"stated length": strings.NewReader(strings.Repeat("x", 101)),
		"chunks": io.MultiReader(strings.NewReader(strings.Repeat("x", 60)),
			strings.NewReader(strings.Repeat("x", 60))),
	} {
		request := httptest.NewRequest(http.MethodPost, "/idem/x", body)
		if _, status := readBody(httptest.NewRecorder(), request, limits,
			memorybudget.New(0).Open()); status != http.StatusRequestEntityTooLarge {
			t.Errorf("%s: status %d", name, status)
		}
	}
	request := httptest.NewRequest(http.MethodPost, "/idem/x", strings.NewReader(strings.Repeat("x", 100)))
	body, status := readBody(httptest.NewRecorder(), request, limits, memorybudget.New(0).Open())
	if length := len(bytes.Join(body, nil)); status != 0 || length != 100 {
		t.Errorf("%d bytes at the limit: status %d", length, status)
	}
}

// TestSplitFollowsWeights draws the service of many requests: each part gets its share, also where another
// has no workers, which gets none.
func TestSplitFollowsWeights(t *testing.T) {
	const draws = 20_000
	e, _ := startEdge(t)
	route := &configuration.Route{TrafficSplit: []configuration.Split{
		{Backend: "a", Weight: 70}, {Backend: "b", Weight: 20}, {Backend: "c", Weight: 10}, {Backend: "off",
			Weight: 0},
	}}
	cases := []struct {
		name    string
		workers []string // services that have some
		want    map[string]float64
	}{
		{"all", []string{"a", "b", "c", "off"}, map[string]float64{"a": 0.7, "b": 0.2, "c": 0.1}},
		{"one without workers", []string{"a", "c"}, map[string]float64{"a": 0.875, "c": 0.125}},
		{"none with workers", nil, map[string]float64{"a": 0.7, "b": 0.2, "c": 0.1}},
	}
	for _, c := range cases {
		table := &routingTable{workersByService: map[string][]worker{}}
		for _, service := range c.workers {
			table.workersByService[service] = []worker{{}}
		}
		counts := map[string]float64{}
		for range draws {
			counts[e.decisions.drawService(table, route)]++
		}
		for _, split := range route.TrafficSplit {
			if got := counts[split.Backend] / draws; math.Abs(got-c.want[split.Backend]) > 0.015 {
				t.Errorf("%s: %s gets %.3f instead of %.3f", c.name, split.Backend, got, c.want[split.Backend])
			}
		}
	}
}

// TestStartedEdgeHasNoRetrySlack guards against BUDGET: the process before may have used this edge's share of
// the slack within the window.
func TestStartedEdgeHasNoRetrySlack(t *testing.T) {
	e, _ := startEdge(t)
	window := e.settings.Bounds.RetryBudgetWindow
	if e.decisions.allowRetry(window-time.Millisecond, "s", 1) {
		t.Error("a retry without a request within a window of the start")
	}
	if !e.decisions.allowRetry(window, "s", 1) {
		t.Error("no slack after a window")
	}
}
