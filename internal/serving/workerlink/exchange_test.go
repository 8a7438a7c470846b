package workerlink

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

const (
	testTimeout     = 5 * time.Second
	interimResponse = "HTTP/1.1 103 Early Hints\r\n\r\n"
)

// script is what a worker does on one connection; it reads the requests itself.
type script func(connection net.Conn, reader *bufio.Reader)

// startWorker listens, runs the script on each connection, and returns the address.
func startWorker(t *testing.T, run script) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				run(connection, bufio.NewReader(connection))
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads a complete request and returns its id.
func readRequest(reader *bufio.Reader) string {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	io.Copy(io.Discard, request.Body)
	return request.Header.Get(HeaderRequestID)
}

func respond(connection net.Conn, id string, status int, lines ...string) {
	io.WriteString(connection, responseText(id, status, lines...))
}

func responseText(id string, status int, lines ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n", status)
	if id != "" {
		text += HeaderRequestID + ": " + id + "\r\n"
	}
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

func requestWith(id, body string) *Request {
	header := http.Header{HeaderRequestID: {id}}
	return &Request{Method: http.MethodPost, URI: "/a", Host: "h", Header: header, Body: [][]byte{[]byte(body)}}
}

// exchange sends a request, receives its response, and returns the connection to the pool.
func exchange(pool *Pool, address, id string) (*http.Response, error) {
	connection, err := pool.Get(context.Background(), address, testTimeout)
	if err != nil {
		return nil, err
	}
	if err := connection.Send(requestWith(id, "body"), time.Now().Add(testTimeout)); err != nil {
		connection.Close()
		return nil, err
	}
	response, err := connection.Receive(http.MethodPost, id, reserveAny)
	if err != nil {
		connection.Close()
		return nil, err
	}
	io.Copy(io.Discard, response.Body)
	pool.Put(address, connection, time.Now().Add(testTimeout))
	return response, nil
}

// TestOutcomeOfSecondRequest has a worker respond, stay silent or break off in each order, and checks what is
// known of the second request, which is sent on the connection of the first.
func TestOutcomeOfSecondRequest(t *testing.T) {
	cases := []struct {
		name   string
		second script // after the first exchange, once the second request was read; its id is "q-2"
		status int    // 0: the outcome is unknown
	}{
		{"its own response", func(c net.Conn, _ *bufio.Reader) { respond(c, "q-2", 200) }, 200},
		{"closed before the head", func(c net.Conn, _ *bufio.Reader) {}, 0},
		{"reset before the head", func(c net.Conn, _ *bufio.Reader) { c.(*net.TCPConn).SetLinger(0) }, 0},
		{"reset in the head", func(c net.Conn, _ *bufio.Reader) {
			io.WriteString(c, "HTTP/1.1 200 X\r\nRequest-Id: q-")
			c.(*net.TCPConn).SetLinger(0)
		}, 0},
		{"a late 421 to the previous request", func(c net.Conn, _ *bufio.Reader) { respond(c, "q-1", 421) }, 0},
		{"a late rejection of the previous request, then its own response", func(c net.Conn, _ *bufio.Reader) {
			respond(c, "q-1", 503, HeaderNotExecuted+": 1")
			respond(c, "q-2", 200)
		}, 200},
		{"a rejection that names no request", func(c net.Conn, _ *bufio.Reader) {
			respond(c, "", 503, HeaderNotExecuted+": 1")
		}, 0},
		{"a 421 that names no request", func(c net.Conn, _ *bufio.Reader) { respond(c, "", 421) }, 0},
		{"a success that names no request", func(c net.Conn, _ *bufio.Reader) { respond(c, "", 200) }, 0},
		{"interim responses before its own", func(c net.Conn, _ *bufio.Reader) {
			for range maxInterimResponses {
				io.WriteString(c, interimResponse)
			}
			respond(c, "q-2", 200)
		}, 200},
		{"interim responses before stale ones", func(c net.Conn, _ *bufio.Reader) {
			for range maxStaleResponses - 1 {
				io.WriteString(c, interimResponse+interimResponse)
				respond(c, "q-1", 200)
			}
			respond(c, "q-2", 200)
		}, 200},
		{"too many interim responses", func(c net.Conn, _ *bufio.Reader) {
			for range maxInterimResponses + 1 {
				io.WriteString(c, interimResponse)
			}
			respond(c, "q-2", 200)
		}, 0},
		{"too many stale responses", func(c net.Conn, _ *bufio.Reader) {
			for range maxStaleResponses + 1 {
				respond(c, "q-1", 200)
			}
			respond(c, "q-2", 200)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := startWorker(t, func(connection net.Conn, reader *bufio.Reader) {
				respond(connection, readRequest(reader), 200)
				if readRequest(reader) == "q-2" {
					c.second(connection, reader)
				}
			})
			pool := NewPool()
			if _, err := exchange(pool, address, "q-1"); err != nil {
				t.Fatal(err)
			}
			response, err := exchange(pool, address, "q-2")
			switch {
			case c.status == 0 && !errors.Is(err, ErrOutcomeUnknown):
				t.Errorf("response %v, error %v: the outcome is not known", response, err)
			case c.status != 0 && (err != nil || response.StatusCode != c.status):
				t.Errorf("response %v, error %v", response, err)
			}
		})
	}
}

// TestFirstResponseNeedsNoID rejects the only request that a connection has carried, without its id: no other
// request can be meant.
func TestFirstResponseNeedsNoID(t *testing.T) {
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		respond(connection, "", 400)
	})
	if response, err := exchange(NewPool(), address, "q-1"); err != nil || response.StatusCode != 400 {
		t.Errorf("response %v, error %v", response, err)
	}
}

// TestEarlyResponse responds before the body is read: the rest of the body still has to be sent, and
// nothing in its place.
func TestEarlyResponse(t *testing.T) {
	body := strings.Repeat("long body ", 200_000)
	bodies := make(chan string, 1)
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		respond(connection, "q-1", 429, HeaderNotExecuted+": 1")
		text, _ := io.ReadAll(request.Body)
		bodies <- string(text)
		respond(connection, readRequest(reader), 200)
	})
	pool := NewPool()
	connection, err := pool.Get(context.Background(), address, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if err := connection.Send(requestWith("q-1", body), time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	response, err := connection.Receive(http.MethodPost, "q-1", reserveAny)
	if err != nil || !NotExecuted(response, "q-1") {
		t.Fatalf("response %v, error %v", response, err)
	}
	io.Copy(io.Discard, response.Body)
	pool.Put(address, connection, time.Now().Add(testTimeout))
	if got := <-bodies; got != body {
		t.Errorf("the worker got %d bytes of %d", len(got), len(body))
	}
	if response, err := exchange(pool, address, "q-2"); err != nil || response.StatusCode != 200 {
		t.Errorf("response %v, error %v", response, err)
	}
}

// TestUnreachableWorkerIsNotSentTo dials a port on which nothing listens.
func TestUnreachableWorkerIsNotSentTo(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	if _, err := exchange(NewPool(), address, "q-1"); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
}

// TestBytesAfterResponseEndTheConnection sends a second response right after the first: the next request
// is sent on another connection.
func TestBytesAfterResponseEndTheConnection(t *testing.T) {
	connections := make(chan struct{}, 8)
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader) {
		connections <- struct{}{}
		text := responseText(readRequest(reader), 200)
		io.WriteString(connection, text+text)
		readRequest(reader)
	})
	pool := NewPool()
	for _, id := range []string{"q-1", "q-2"} {
		if response, err := exchange(pool, address, id); err != nil || response.StatusCode != 200 {
			t.Errorf("%s: response %v, error %v", id, response, err)
		}
	}
	if len(connections) != 2 {
		t.Errorf("%d connections", len(connections))
	}
}
