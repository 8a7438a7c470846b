package edge

import (
	"bufio"
	"fmt"
	"io"
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
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/wirepb"
)

// exchange is what a stand-in worker does with one request: it reads the request and writes bytes, or closes.
type exchange func(connection net.Conn, request *http.Request, body string)

// standInWorker takes connections and answers by its exchanges in turn; the last one stays.
type standInWorker struct {
	listener net.Listener

	mu        sync.Mutex
	exchanges []exchange
	requests  []*http.Request
	bodies    []string
}

func newStandInWorker(t *testing.T, exchanges ...exchange) *standInWorker {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &standInWorker{listener: listener, exchanges: exchanges}
	t.Cleanup(func() { listener.Close() })
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

func (w *standInWorker) serve(connection net.Conn) {
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
		w.take(request, string(body))(connection, request, string(body))
	}
}

func (w *standInWorker) take(request *http.Request, body string) exchange {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.requests, request)
	w.bodies = append(w.bodies, body)
	next := w.exchanges[0]
	if len(w.exchanges) > 1 {
		w.exchanges = w.exchanges[1:]
	}
	return next
}

func (w *standInWorker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests)
}

// head is the beginning of an answer, with further header lines.
func head(request *http.Request, status int, lines ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nRequest-Id: %s\r\n", status, request.Header.Get("Request-Id"))
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

func whole(status int, body string, lines ...string) exchange {
	return func(connection net.Conn, request *http.Request, _ string) {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
		io.WriteString(connection, head(request, status, lines...)+body)
	}
}

const streamHead = "Content-Type: text/event-stream"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// stream sends the events from first to last, whole or broken off behind broken, a part of the next one.
func stream(first, last int, broken string) exchange {
	return func(connection net.Conn, request *http.Request, _ string) {
		stamp := "Server-Signature: by-" + fmt.Sprint(first)
		text := head(request, 200, streamHead, "Transfer-Encoding: chunked", stamp)
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

func reset(connection net.Conn, _ *http.Request, _ string) { connection.Close() }

// route kinds of the tests, by path.
var testRoutes = map[string]string{
	"/idem/":   `"route_type":"idempotent","max_attempts":2`,
	"/once/":   `"route_type":"non_idempotent","max_attempts":1`,
	"/twice/":  `"route_type":"non_idempotent","max_attempts":2`,
	"/stream/": `"route_type":"streaming","resumable":false,"max_attempts":1`,
	"/resume/": `"route_type":"streaming","resumable":true,"max_attempts":2`,
}

// startEdge runs an edge that knows the workers, and returns where clients find it.
func startEdge(t *testing.T, workers ...*standInWorker) (*Edge, *httptest.Server) {
	t.Helper()
	config := &settings.Settings{NodeName: "e1", IP: "127.0.0.1", Zone: "a", Region: "south",
		Zones: map[string]string{"a": "south"}, Bounds: settings.Bounds{
			GracePeriod: time.Second, RetryBudgetRatio: 1, RetryBudgetWindow: 10 * time.Second, RetryBudgetSlack: 100,
			SlowStartOvershoot: 1.5, SlowStartSlack: 5,
		}}
	e := newEdge(config, zap.NewNop())
	var routes []string
	for prefix, kind := range testRoutes {
		routes = append(routes, fmt.Sprintf(
			`{"hostname":"h","path_prefix":%q,%s,"timeout_ms":5000,"backend":"s"}`, prefix, kind))
	}
	document, err := configuration.ParseAndValidate([]byte(
		`{"generation":1,"routes":[` + strings.Join(routes, ",") +
			`],"services":[{"name":"s","cold_per_s":10}]}`))
	if err != nil {
		t.Fatal(err)
	}
	e.mirror.SetCommitted(1, document, nil)
	for i, w := range workers {
		publishWorker(e, fmt.Sprintf("i-%d", i), w.listener.Addr().String(), &wirepb.Worker{})
	}
	e.makeTable(newTableBuilder(config))
	server := httptest.NewUnstartedServer(e)
	server.Config = e.frontServer()
	server.Start()
	t.Cleanup(server.Close)
	return e, server
}

func publishWorker(e *Edge, instance, address string, worker *wirepb.Worker) {
	worker.InstanceId, worker.Service, worker.Address = instance, "s", address
	worker.Zone, worker.Capacity = "a", 8
	e.mirror.WithCatalog(func(now time.Duration, c *catalog.Catalog) bool {
		c.Merge(now, []*wirepb.Record{{
			Key: catalog.WorkerKey(instance), Origin: "core", Order: 1, Sequence: 1,
			Value: &wirepb.Record_Worker{Worker: worker},
		}}, nil)
		return true
	})
}

// answer is what a client has got.
type answer struct {
	status int
	header http.Header
	body   string
	broken bool // the answer ended early
}

func ask(t *testing.T, server *httptest.Server, path string, lines ...string) answer {
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
		return answer{broken: true}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), broken: err != nil}
}

func TestRequestReachesWorkerUnchanged(t *testing.T) {
	good := whole(207, "answer", "Server-Signature: sig", "X-Other: kept", "Keep-Alive: timeout=5")
	w := newStandInWorker(t, good)
	_, server := startEdge(t, w)
	got := ask(t, server, "/once/a%2Fb//c?x=%20y", "X-Mine: 1", "Deadline-Ms: 900")
	if got.status != 207 || got.body != "answer" || got.header.Get("Server-Signature") != "sig" ||
		got.header.Get("X-Other") != "kept" || got.header.Get("Keep-Alive") != "" {
		t.Errorf("answer %+v", got)
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

// TestEachBadOrder mutates one thing at a time in what a worker does, and says what the client has to get.
func TestEachBadOrder(t *testing.T) {
	notExecuted := whole(503, "full", "Not-Executed: 1", "Server-Signature: s")
	surplus := func(connection net.Conn, request *http.Request, body string) {
		late := request.Clone(request.Context())
		late.Header.Set("Request-Id", "of another request")
		whole(200, "not yours", "Server-Signature: s")(connection, late, body)
		whole(200, "yours", "Server-Signature: s")(connection, request, body)
	}
	onlyOthers := func(connection net.Conn, request *http.Request, body string) {
		request.Header.Set("Request-Id", "of another request")
		whole(200, "not yours", "Server-Signature: s")(connection, request, body)
		connection.Close()
	}
	short := func(connection net.Conn, request *http.Request, _ string) {
		io.WriteString(connection, head(request, 200, "Content-Length: 100", "Server-Signature: s")+"begun")
		connection.Close()
	}
	garbage := func(connection net.Conn, _ *http.Request, _ string) {
		io.WriteString(connection, "this is no answer\r\n\r\n")
		connection.Close()
	}
	interim := func(connection net.Conn, request *http.Request, body string) {
		io.WriteString(connection, "HTTP/1.1 103 Early\r\n\r\n")
		whole(200, "good", "Server-Signature: s")(connection, request, body)
	}
	good := whole(200, "good", "Server-Signature: s")
	bad := whole(500, "bad", "Server-Signature: s")
	misdirected := whole(421, "", "Server-Signature: s")
	cases := []struct {
		name, path    string
		first, second exchange
		status        int
		body          string
		sent          int
	}{
		{"a reset of what may be repeated", "/idem/", reset, good, 200, "good", 2},
		{"a reset of what may run once", "/once/", reset, good, 502, "", 1},
		{"a reset of what may run once, with two attempts", "/twice/", reset, good, 502, "", 1},
		{"a full worker", "/twice/", notExecuted, good, 200, "good", 2},
		{"a full worker, one attempt", "/once/", notExecuted, good, 503, "", 1},
		{"another worker at the address", "/twice/", misdirected, good, 200, "good", 2},
		{"another worker at the address, one attempt", "/once/", misdirected, good, 200, "good", 2},
		{"its own failure of what may be repeated", "/idem/", bad, good, 200, "good", 2},
		{"its own failure of what may run once", "/once/", bad, good, 500, "bad", 1},
		{"a surplus answer before its own", "/once/", surplus, good, 200, "yours", 1},
		{"only surplus answers", "/once/", onlyOthers, good, 502, "", 1},
		{"an answer that ends early", "/once/", short, good, 502, "", 1},
		{"an answer that ends early, repeated", "/idem/", short, good, 200, "good", 2},
		{"bytes that are no answer", "/once/", garbage, good, 502, "", 1},
		{"an interim answer", "/once/", interim, good, 200, "good", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			script := []exchange{c.first, c.second}
			shared := &standInScript{script: script}
			first, second := newStandInWorker(t, shared.next), newStandInWorker(t, shared.next)
			_, server := startEdge(t, first, second)
			got := ask(t, server, c.path)
			if got.status != c.status || got.body != c.body || got.broken {
				t.Errorf("answer %+v", got)
			}
			if sent := first.count() + second.count(); sent != c.sent {
				t.Errorf("sent %d times instead of %d", sent, c.sent)
			}
			if c.status == 502 || c.status == 503 {
				if got.header.Get("Server-Signature") != "" {
					t.Error("a failure of ours bears a worker's stamp")
				}
			}
			if promised := got.header.Get("Retry-After") != ""; promised != (c.status == 503) {
				t.Errorf("Retry-After %q", got.header.Get("Retry-After"))
			}
		})
	}
}

// standInScript gives exchanges in turn, whichever worker is asked.
type standInScript struct {
	mu     sync.Mutex
	script []exchange
}

func (s *standInScript) next(connection net.Conn, request *http.Request, body string) {
	s.mu.Lock()
	step := s.script[0]
	if len(s.script) > 1 {
		s.script = s.script[1:]
	}
	s.mu.Unlock()
	step(connection, request, body)
}

func TestStreams(t *testing.T) {
	all := event(1) + event(2) + event(3)
	cases := []struct {
		name, path    string
		first, second exchange
		body          string
		broken        bool
		resumedAt     string
	}{
		{"whole", "/stream/", stream(1, 3, ""), nil, all, false, ""},
		{"broken inside an event", "/stream/", stream(1, 2, "id: 3\nda"), nil, event(1) + event(2), true, ""},
		{"taken up elsewhere", "/resume/", stream(1, 1, "id: 2\nda"), stream(2, 3, ""), all, false, "1"},
		{"taken up at the wrong event", "/resume/", stream(1, 1, "x"), stream(3, 3, ""), event(1), true, "1"},
		{"joined with a failure", "/resume/", stream(1, 1, "x"), whole(500, "bad"), event(1), true, "1"},
		{"broken before its first event", "/resume/", stream(1, 0, "id:"), stream(1, 3, ""), all, false, ""},
		{"broken before its first event, once", "/stream/", stream(1, 0, "id:"), stream(1, 3, ""), "", false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			shared := &standInScript{script: []exchange{c.first, c.second}}
			first, second := newStandInWorker(t, shared.next), newStandInWorker(t, shared.next)
			_, server := startEdge(t, first, second)
			got := ask(t, server, c.path)
			if got.body != c.body || got.broken != c.broken {
				t.Errorf("answer %+v", got)
			}
			if c.body != "" && got.header.Get("Server-Signature") != "by-1" {
				t.Errorf("stamp %q: the first worker's head has to stay", got.header.Get("Server-Signature"))
			}
			requests := append(first.requests, second.requests...)
			if c.resumedAt != "" {
				for _, request := range requests {
					if id := request.Header.Get("Last-Event-Id"); id != "" && id != c.resumedAt {
						t.Errorf("taken up behind %s", id)
					}
				}
			}
		})
	}
}

func TestClientThatLeavesEndsItsRequest(t *testing.T) {
	ended := make(chan struct{})
	w := newStandInWorker(t, func(connection net.Conn, request *http.Request, _ string) {
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
	e, server := startEdge(t, newStandInWorker(t, whole(200, "good")))
	if got := ask(t, server, "/nowhere/"); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("out of touch: %+v", got)
	}
	e.mirror.ConfirmQuorumContact(true)
	if got := ask(t, server, "/nowhere/"); got.status != 404 {
		t.Errorf("in touch: %+v", got)
	}
}

func TestWorkersThatMayNotGetRequests(t *testing.T) {
	w := newStandInWorker(t, whole(200, "good"))
	address := w.listener.Addr().String()
	cases := map[string]func(e *Edge){
		"draining": func(e *Edge) { publishWorker(e, "i-1", address, &wirepb.Worker{Draining: true}) },
		"cold":     func(e *Edge) { publishWorker(e, "i-1", address, &wirepb.Worker{ColdRemainingMs: 60_000}) },
		"evacuated": func(e *Edge) {
			publishWorker(e, "i-1", address, &wirepb.Worker{})
			e.mirror.SetCommitted(2, nil, []string{"a"})
		},
		"gone": func(e *Edge) {},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			e, server := startEdge(t)
			prepare(e)
			e.makeTable(newTableBuilder(e.settings))
			got := ask(t, server, "/once/")
			if got.status != 503 || got.header.Get("Retry-After") == "" || w.count() != 0 {
				t.Errorf("answer %+v, the worker got %d", got, w.count())
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
	e.draining.Store(true)
	if status() != 503 {
		t.Error("an edge that stops is ready")
	}
	if status := newEdge(e.settings, zap.NewNop()).ready(); status {
		t.Error("an edge without a configuration is ready")
	}
}

func TestStoppingEdgeClosesConnections(t *testing.T) {
	e, server := startEdge(t, newStandInWorker(t, whole(200, "good")))
	e.draining.Store(true)
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

// TestColdWorkersWaitForTheNumberOfEdges starts an edge whose core has only just begun, so that edges may
// be missing in what it tells: no cold worker may get anything before the core has settled.
func TestColdWorkersWaitForTheNumberOfEdges(t *testing.T) {
	w := newStandInWorker(t, whole(200, "good", "Server-Signature: s"))
	e, _ := startEdge(t)
	publishWorker(e, "i-1", w.listener.Addr().String(), &wirepb.Worker{ColdRemainingMs: 60_000})
	builder := newTableBuilder(e.settings)
	route := &configuration.Route{Backend: "s"}
	admitted := func() bool {
		e.makeTable(builder)
		for second := range 20 {
			now := time.Duration(second) * time.Second
			if _, _, _, ok := e.decide.choose(now, e.table.Load(), "s", route, &loadbalancer.Request{}, nil); ok {
				return true
			}
		}
		return false
	}
	e.mirror.ConfirmQuorumContact(false)
	if admitted() {
		t.Error("a cold worker got a request before the core had settled")
	}
	e.mirror.ConfirmQuorumContact(true)
	if !admitted() {
		t.Error("a cold worker gets nothing")
	}
	e.mirror.ConfirmQuorumContact(false) // another core, which has only just begun: what is known stays
	if !admitted() {
		t.Error("the number of edges was forgotten")
	}
}
