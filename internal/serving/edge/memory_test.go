package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/memorybudget"
)

// TestRequestsStayWithinTheMemory has more clients than the memory bears send long bodies at once, with a
// stated length and in chunks. Edges went over their limit and were killed, with all that they had passed on.
// What does not fit is refused before a worker gets it, with a time to come back; the rest is served
// unchanged, and in the end nothing is held.
func TestRequestsStayWithinTheMemory(t *testing.T) {
	const clients, bodyBytes, memoryBytes = 24, 1 << 20, 16 << 20
	var mu sync.Mutex
	received := 0
	slow := func(connection net.Conn, request *http.Request, body string) {
		mu.Lock()
		received++
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		status := 200
		if len(body) != bodyBytes || strings.Trim(body, "x") != "" {
			status = 400
		}
		complete(status, "good", "Server-Signature: s")(connection, request, body)
	}
	w := newFakeWorker(t, slow)
	e, server := startEdge(t, w)
	e.requestMemory = memorybudget.New(memoryBytes)
	var served, refused int
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			var body io.Reader = strings.NewReader(strings.Repeat("x", bodyBytes))
			if i%2 == 0 {
				body = io.MultiReader(body) // in chunks: the length is not known
			}
			status, retryAfter := upload(t, server, fmt.Sprint("q-", i), body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status == http.StatusOK:
				served++
			case status == http.StatusServiceUnavailable && retryAfter > 0:
				refused++
			default:
				t.Errorf("status %d, Retry-After %v", status, retryAfter)
			}
		})
	}
	peak := int64(0)
	ended := make(chan struct{})
	go func() {
		running.Wait()
		close(ended)
	}()
	for done := false; !done; {
		peak = max(peak, e.requestMemory.Reserved())
		select {
		case <-ended:
			done = true
		case <-time.After(time.Millisecond):
		}
	}
	if peak > memoryBytes || served == 0 || refused == 0 || received != served {
		t.Errorf("peak %d bytes of %d; %d served, %d refused, %d received by the worker", peak, memoryBytes, served,
			refused, received)
	}
	if held := e.requestMemory.Reserved(); held != 0 {
		t.Errorf("%d bytes are held after the last request", held)
	}
}

// upload sends a request, and returns the status of the response and its Retry-After in seconds.
func upload(t *testing.T, server *httptest.Server, id string, body io.Reader) (int, float64) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/once/x", body)
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	request.Host = "h"
	request.Header.Set("Request-Id", id)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	retryAfter, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, retryAfter
}

// TestBodyCutOffIsNoBody cuts bodies off inside: none is taken for a complete one.
func TestBodyCutOffIsNoBody(t *testing.T) {
	for _, size := range []int{10, minSegmentBytes, minSegmentBytes + 1, 5 * minSegmentBytes} {
		cut := io.MultiReader(bytes.NewReader(make([]byte, size)), cutReader{})
		request := httptest.NewRequest(http.MethodPost, "/idem/x", cut)
		_, status := readBody(httptest.NewRecorder(), request, configuration.Limits{}, memorybudget.New(0).Open())
		if status != http.StatusBadRequest {
			t.Errorf("%d bytes: status %d", size, status)
		}
	}
}

// cutReader is the end of a body that was cut off.
type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestResponsesWithoutMemory has workers answer while no memory is left: a short response is served as it is,
// a long one is relayed without being buffered, and one event that is too long ends its stream.
func TestResponsesWithoutMemory(t *testing.T) {
	long := strings.Repeat("y", maxBufferedBodyBytes/2)
	longEvent := func(connection net.Conn, request *http.Request, _ string) {
		text := head(request, 200, streamHead, "Transfer-Encoding: chunked") + chunk(event(1))
		io.WriteString(connection, text+chunk("data: "+long+"\n\n")+"0\r\n\r\n")
	}
	for _, c := range []struct {
		name, path string
		respond    responder
		body       string
		broken     bool
	}{
		{"short", "/once/", complete(200, "good", "Server-Signature: s"), "good", false},
		{"long", "/once/", complete(200, long, "Server-Signature: s"), long, false},
		{"a long event", "/stream/", longEvent, event(1), true},
	} {
		w := newFakeWorker(t, func(connection net.Conn, request *http.Request, body string) {
			c.respond(connection, request, body)
		})
		e, server := startEdge(t, w)
		e.requestMemory = memorybudget.New(2 * requestOverheadBytes)
		if got := post(t, server, c.path); got.status != 200 || got.body != c.body || got.broken != c.broken {
			t.Errorf("%s: status %d, %d bytes, broken %v", c.name, got.status, len(got.body), got.broken)
		}
	}
}

// TestRefusedBodyIsNotAskedFor refuses a request whose client waits for 100 Continue: behind the response
// nothing may follow.
func TestRefusedBodyIsNotAskedFor(t *testing.T) {
	e, server := startEdge(t, newFakeWorker(t, closeConnection))
	e.requestMemory = memorybudget.New(2 * requestOverheadBytes)
	connection, err := net.Dial("tcp4", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprint(connection, "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\nContent-Length: 4000000\r\n"+
		"Expect: 100-continue\r\n\r\n")
	text, err := io.ReadAll(connection)
	response := string(text)
	if err != nil || !strings.HasPrefix(response, "HTTP/1.1 503 ") || strings.Contains(response, " 100 ") {
		t.Errorf("response %q, error %v", response, err)
	}
}

// TestSlowBodyHoldsMemoryForItsTimeOnly has a client state a long body and send little of it: it gets 408
// once its time is over, and what it held is free for others.
func TestSlowBodyHoldsMemoryForItsTimeOnly(t *testing.T) {
	const stated = 1 << 20
	w := newFakeWorker(t, complete(200, "good", "Server-Signature: s"))
	e, server := startEdge(t, w)
	e.requestMemory = memorybudget.New(2 * stated)
	connection, err := net.Dial("tcp4", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(4 * time.Second)) // less than the route's timeout
	fmt.Fprintf(connection, "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\nDeadline-Ms: 300\r\n"+
		"Content-Length: %d\r\n\r\nbegun", stated)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil || response.StatusCode != http.StatusRequestTimeout {
		t.Fatalf("response %+v, error %v", response, err)
	}
	if status, _ := upload(t, server, "q-2", strings.NewReader(strings.Repeat("x", stated))); status != 200 {
		t.Errorf("status %d for the next one", status)
	}
}

// TestClientThatDoesNotReadHoldsMemoryForItsTimeOnly has a client read nothing of a long response: what its
// request holds is free some time after its deadline. It was held for as long as the connection lasted.
func TestClientThatDoesNotReadHoldsMemoryForItsTimeOnly(t *testing.T) {
	const (
		deadline = 300 * time.Millisecond
		margin   = 2 * time.Second
	)
	w := newFakeWorker(t, complete(200, strings.Repeat("y", 32<<20), "Server-Signature: s"))
	e, _ := startEdge(t, w)
	_, server := serveFront(t, e)
	connection, err := net.Dial("tcp4", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	fmt.Fprintf(connection, "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\nDeadline-Ms: %d\r\n"+
		"Content-Length: 4\r\n\r\nbody", deadline.Milliseconds())
	for w.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	begun := time.Now()
	for e.requestMemory.Reserved() > 0 {
		if time.Since(begun) > deadline+slowReaderTimeout+margin {
			t.Fatalf("%d bytes are held after %v", e.requestMemory.Reserved(), time.Since(begun))
		}
		time.Sleep(10 * time.Millisecond)
	}
}
