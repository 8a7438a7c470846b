package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const testTimeout = 5 * time.Second

// respondLength responds with the length of a request's body.
func respondLength(w http.ResponseWriter, r *http.Request) {
	length, _ := io.Copy(io.Discard, r.Body)
	fmt.Fprint(w, length)
}

// startServer serves requests within the memory of a limiter.
func startServer(t *testing.T, limiter *Limiter, handler http.HandlerFunc) (address string) {
	t.Helper()
	source, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ConnState: TrackState}
	go server.Serve(limiter.Listener(source))
	t.Cleanup(func() { server.Close() })
	return source.Addr().String()
}

// dial opens a connection to a server.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	connection.SetDeadline(time.Now().Add(testTimeout))
	return connection
}

// TestBodiesAreNotHeads sends requests with long bodies one behind the other, without awaiting the responses:
// what comes of a body takes no memory of a head, also where the head came together with an earlier request.
func TestBodiesAreNotHeads(t *testing.T) {
	const (
		memoryBytes = 256 << 10
		bodyBytes   = 1 << 20
		requests    = 4
	)
	limiter := New(memoryBytes)
	connection := dial(t, startServer(t, limiter, respondLength))
	body := strings.Repeat("b", bodyBytes)
	go func() {
		for range requests {
			fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, body)
			fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
	}()
	reader := bufio.NewReader(connection)
	for i := range 2 * requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: response %+v, error %v", i, response, err)
		}
		io.Copy(io.Discard, response.Body)
	}
	connection.Close()
	for began := time.Now(); limiter.Reserved() != 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > testTimeout {
			t.Fatalf("%d bytes are reserved for no connection", limiter.Reserved())
		}
	}
}

// TestSlowHeadIsServed sends a head byte by byte, with memory enough: it is served, and gives its memory
// back.
func TestSlowHeadIsServed(t *testing.T) {
	limiter := New(256 << 10)
	connection := dial(t, startServer(t, limiter, respondLength))
	for range 2 {
		for _, character := range "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n" {
			fmt.Fprint(connection, string(character))
		}
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("response %+v, error %v", response, err)
		}
		if reserved := limiter.Reserved(); reserved != connectionBytes {
			t.Errorf("%d bytes are reserved between two requests", reserved)
		}
	}
}

// TestWriteDeadlineEndsWithItsResponse sends two requests on a connection, the second one after the write
// deadline of the first one's response: it is answered.
func TestWriteDeadlineEndsWithItsResponse(t *testing.T) {
	const timeout = 50 * time.Millisecond
	first := true
	connection := dial(t, startServer(t, New(256<<10), func(w http.ResponseWriter, r *http.Request) {
		if first {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
			first = false
		}
		respondLength(w, r)
	}))
	reader := bufio.NewReader(connection)
	for range 2 {
		fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("response %+v, error %v", response, err)
		}
		io.Copy(io.Discard, response.Body)
		time.Sleep(2 * timeout)
	}
}
