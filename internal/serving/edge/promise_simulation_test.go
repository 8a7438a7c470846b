package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"willowdeck/internal/serving/execution"
	"willowdeck/internal/serving/wirepb"
)

const (
	promiseSeeds      = 6 // in a plain run; PROMISE_SEEDS=FIRST,COUNT plays others
	promiseAddresses  = 3
	promiseDeadline   = "Deadline-Ms: 300"
	promiseClients    = 6
	promiseRequests   = 40 // of each client
	maxPromiseDelay   = 4 * time.Millisecond
	promiseSettleTime = 30 * time.Millisecond // for what workers may still execute after the last response
)

// promiseWorld is a set of workers in all kinds of trouble, and what became of each request there. Two
// incarnations are known at each address, and the one that runs there changes.
type promiseWorld struct {
	mu       sync.Mutex // guards what follows
	random   *rand.Rand
	current  [promiseAddresses]int // incarnation that runs at each address, 0 or 1
	surplus  map[net.Conn]func()   // writes a late copy of the connection's last response
	executed map[string]int        // by request id: how often workers began to execute it
}

func newPromiseWorld(seed int64) *promiseWorld {
	return &promiseWorld{
		random: rand.New(rand.NewSource(seed)), surplus: map[net.Conn]func(){},
		executed: map[string]int{},
	}
}

// chance is true in so many of a hundred cases.
func (w *promiseWorld) chance(percent int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Intn(100) < percent
}

func (w *promiseWorld) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Intn(n)
}

func (w *promiseWorld) pause() { time.Sleep(time.Duration(w.draw(int(maxPromiseDelay)))) }

// execute counts an execution of a request.
func (w *promiseWorld) execute(request *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executed[request.Header.Get("Request-Id")]++
}

// instanceAt returns the name of an incarnation at an address.
func instanceAt(address, incarnation int) string { return fmt.Sprintf("i-%d-%d", address, incarnation) }

// targeted reports whether a request is meant for the incarnation that runs at an address.
func (w *promiseWorld) targeted(address int, request *http.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return request.Header.Get("Target-Instance") == instanceAt(address, w.current[address])
}

// restart has the other incarnation run at an address.
func (w *promiseWorld) restart(address int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current[address] = 1 - w.current[address]
}

// respond sends a response, and draws whether a copy of it comes late: at once, or before the next response.
func (w *promiseWorld) respond(connection net.Conn, request *http.Request, body string, response responder) {
	copied := request.Clone(context.Background())
	response(connection, request, body)
	again := func() { response(connection, copied, body) }
	switch w.draw(6) {
	case 0:
		again()
	case 1, 2:
		w.mu.Lock()
		w.surplus[connection] = again
		w.mu.Unlock()
	}
}

// lateCopy sends the copy that is due on a connection, if there is one.
func (w *promiseWorld) lateCopy(connection net.Conn) {
	w.mu.Lock()
	send := w.surplus[connection]
	delete(w.surplus, connection)
	w.mu.Unlock()
	if send != nil {
		send()
	}
}

// serve is the responder of the worker at an address.
func (w *promiseWorld) serve(address int) responder {
	return func(connection net.Conn, request *http.Request, body string) {
		w.pause()
		w.lateCopy(connection)
		if w.chance(5) {
			w.restart(address)
		}
		if !w.targeted(address, request) {
			w.respond(connection, request, body, complete(http.StatusMisdirectedRequest, ""))
			return
		}
		if w.chance(25) {
			status := []int{429, 503}[w.draw(2)]
			w.respond(connection, request, body, complete(status, "", "Not-Executed: 1"))
			return
		}
		w.executeInTrouble(connection, request, body)
	}
}

// executeInTrouble executes a request, and responds in one of many ways.
func (w *promiseWorld) executeInTrouble(connection net.Conn, request *http.Request, body string) {
	if w.chance(4) { // a response without an id before the request's own
		unnamed([]int{421, 429, 503}[w.draw(3)], "Not-Executed: 1")(
			connection, request.Clone(context.Background()), body)
	}
	w.execute(request)
	answer := "ran " + request.Header.Get("Request-Id")
	signed := "Server-Signature: s"
	switch w.draw(12) {
	case 0:
		w.respond(connection, request, body, complete(500, answer, signed))
	case 1:
		w.respond(connection, request, body, complete([]int{408, 429, 503, 504}[w.draw(4)], answer, signed))
	case 2:
		unframed([]int{408, 429, 503}[w.draw(3)], answer, signed)(connection, request, body)
	case 3:
		unnamed([]int{408, 429, 500, 503}[w.draw(4)])(connection, request, body)
	case 4:
		connection.Close()
	case 5:
		io.WriteString(connection, head(request, 200, "Content-Length: 100", signed)+"begun")
		connection.Close()
	case 6:
		io.WriteString(connection, "these bytes are no response\r\n\r\n")
		connection.Close()
	default:
		w.respond(connection, request, body, complete(200, answer, signed))
	}
}

// promisePaths are the paths of the routes that clients draw.
var promisePaths = []string{"/once/", "/twice/", "/idem/", "/stream/", "/resume/"}

// promiseCall is a client's request and its response.
type promiseCall struct {
	id, path string
	response clientResponse
}

// startPromiseEdge runs an edge that knows both incarnations at each address.
func startPromiseEdge(t *testing.T, w *promiseWorld) (*Edge, *httptest.Server) {
	t.Helper()
	e, server := startEdge(t)
	for address := range promiseAddresses {
		listener := newFakeWorker(t, w.serve(address)).listener.Addr().String()
		for incarnation := range 2 {
			publishWorker(e, instanceAt(address, incarnation), listener, &wirepb.Worker{})
		}
	}
	e.updateTable(newTableBuilder(e.settings))
	return e, server
}

// callAll has all clients send their requests, and returns these with their responses. The edge begins to
// drain while the last ones are in flight.
func (w *promiseWorld) callAll(t *testing.T, e *Edge, server *httptest.Server) []promiseCall {
	t.Helper()
	calls := make([]promiseCall, promiseClients*promiseRequests)
	var clients sync.WaitGroup
	for client := range promiseClients {
		clients.Go(func() {
			for i := range promiseRequests {
				call := &calls[client*promiseRequests+i]
				call.id, call.path = fmt.Sprintf("q-%d-%d", client, i), promisePaths[w.draw(len(promisePaths))]
				call.response = post(t, server, call.path, "Request-Id: "+call.id, promiseDeadline)
				if client == 0 && i == promiseRequests*9/10 {
					e.gate.Close()
				}
			}
		})
	}
	clients.Wait()
	time.Sleep(promiseSettleTime)
	return calls
}

// checkCalls checks what each client got against what workers did.
func (w *promiseWorld) checkCalls(t *testing.T, seed int64, calls []promiseCall) (refused int) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, call := range calls {
		idempotent := call.path == "/idem/" || call.path == "/resume/"
		got, executed := call.response, w.executed[call.id]
		switch {
		case execution.IsPromise(got.status) && executed > 0:
			t.Errorf("seed %d: REFUSED: %s on %s got %d, executed %d times",
				seed, call.id, call.path, got.status, executed)
		case !idempotent && executed > 1:
			t.Errorf("seed %d: TWICE: %s on %s executed %d times", seed, call.id, call.path, executed)
		case got.status == 200 && !got.broken && got.body != "ran "+call.id:
			t.Errorf("seed %d: MIXED: %s on %s got %q", seed, call.id, call.path, got.body)
		}
		if execution.IsPromise(got.status) {
			refused++
		}
	}
	return refused
}

// promiseSeedRange returns the seeds to play.
func promiseSeedRange(t *testing.T) (first, count int64) {
	t.Helper()
	text := os.Getenv("PROMISE_SEEDS")
	if text == "" {
		return 1, promiseSeeds
	}
	firstText, countText, _ := strings.Cut(text, ",")
	first, firstErr := strconv.ParseInt(firstText, 10, 64)
	count, countErr := strconv.ParseInt(countText, 10, 64)
	if firstErr != nil || countErr != nil {
		t.Fatalf("PROMISE_SEEDS=%s: give FIRST,COUNT", text)
	}
	return first, count
}

// TestPromisesHold guards against REFUSED, TWICE and MIXED (issue 78): workers reject, fail, restart at their
// addresses, and send spoilt, surplus and late responses in orders that a seed draws, while clients call and
// the edge begins to drain.
func TestPromisesHold(t *testing.T) {
	first, count := promiseSeedRange(t)
	refused := 0
	for seed := first; seed < first+count; seed++ {
		w := newPromiseWorld(seed)
		e, server := startPromiseEdge(t, w)
		refused += w.checkCalls(t, seed, w.callAll(t, e, server))
		server.Close()
	}
	t.Logf("%d seeds, %d requests, %d refused", count, count*promiseClients*promiseRequests, refused)
	if refused == 0 {
		t.Error("no request was refused: the test shows nothing")
	}
}
