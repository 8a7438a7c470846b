package edge

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"willowdeck/internal/serving/execution"
	"willowdeck/internal/serving/wirepb"
)

// unframed responds with a body that ends with the connection.
func unframed(status int, body string, lines ...string) responder {
	return func(connection net.Conn, request *http.Request, _ string) {
		io.WriteString(connection, head(request, status, append(lines, "Connection: close")...)+body)
		connection.Close()
	}
}

// unnamed responds without the id of the request.
func unnamed(status int, lines ...string) responder {
	return func(connection net.Conn, request *http.Request, body string) {
		request.Header.Del("Request-Id")
		complete(status, "", lines...)(connection, request, body)
	}
}

// TestWorkersRefusalWithoutProofIsNoPromise guards against REFUSED (issue 78): a worker's 408, 429 or 503
// that does not say Not-Executed went to the client, who read that the request had not run.
func TestWorkersRefusalWithoutProofIsNoPromise(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedBodyBytes)
	responses := map[string]func(status int) responder{
		"with a length": func(status int) responder {
			return complete(status, "busy", "Server-Signature: s")
		},
		"with Retry-After": func(status int) responder { return complete(status, "", "Retry-After: 1") },
		"without a length": func(status int) responder {
			return unframed(status, "busy", "Server-Signature: s")
		},
		"with a long body":     func(status int) responder { return complete(status, long, "Server-Signature: s") },
		"without an id":        func(status int) responder { return unnamed(status) },
		"with an event's type": func(status int) responder { return complete(status, "", streamHead) },
	}
	for name, response := range responses {
		for _, status := range []int{408, 429, 503} {
			for _, path := range []string{"/once/", "/twice/", "/stream/"} {
				w := newFakeWorker(t, response(status))
				_, server := startEdge(t, w)
				got := post(t, server, path)
				if got.status != 502 || got.broken || got.header.Get("Server-Signature") != "" || w.count() != 1 {
					t.Errorf("%d %s on %s: status %d, sent %d times", status, name, path, got.status, w.count())
				}
			}
			good := complete(200, "good", "Server-Signature: s")
			shared := &responderScript{script: []responder{response(status), good}}
			_, server := startEdge(t, newFakeWorker(t, shared.next), newFakeWorker(t, shared.next))
			if got := post(t, server, "/idem/"); got.status != 200 || got.body != "good" {
				t.Errorf("%d %s, idempotent with another worker: response %+v", status, name, got)
			}
		}
	}
}

// TestExecutedRequestIsNotRefused guards against a promise that is untrue for idempotent requests and streams
// (issue 78): after a worker's own failure, no further worker or attempt was allowed, and the client got 503.
func TestExecutedRequestIsNotRefused(t *testing.T) {
	failed := complete(500, "bad", "Server-Signature: s")
	cases := []struct {
		name, path string
		response   responder
		drains     bool // between the attempts
		status     int
		body       string
	}{
		{"the only worker fails", "/idem/", failed, false, 500, "bad"},
		{"the only worker is late", "/idem/", complete(504, "late", "Server-Signature: s"), false, 504, "late"},
		{"the only worker refuses without proof", "/idem/", complete(503, "busy"), false, 502, ""},
		{"the edge drains after the failure", "/idem/", failed, true, 500, "bad"},
		{"a stream breaks off before its first event", "/resume/", stream(1, 0, "id:"), false, 502, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFakeWorker(t, nil)
			e, server := startEdge(t, w)
			w.responders[0] = func(connection net.Conn, request *http.Request, body string) {
				if c.drains {
					e.gate.Close()
				}
				c.response(connection, request, body)
			}
			got := post(t, server, c.path)
			if got.status != c.status || got.body != c.body {
				t.Errorf("response %+v", got)
			}
			if signed := got.header.Get("Server-Signature") == "s"; signed != (c.body != "") {
				t.Errorf("signature %q of status %d", got.header.Get("Server-Signature"), got.status)
			}
		})
	}
}

// TestLateCopyOfRejectionIsNotTheNextResponse guards against REFUSED and TWICE (issue 78): two incarnations
// of a worker are known at one address. The second attempt of a request took the connection on which the
// first one was rejected, with the same id, and a late copy of the rejection was read as the second's
// response.
func TestLateCopyOfRejectionIsNotTheNextResponse(t *testing.T) {
	for _, rejection := range []responder{
		complete(421, "", "Server-Signature: s"), complete(503, "", "Not-Executed: 1", "Server-Signature: s"),
	} {
		var mu sync.Mutex
		received, executed := map[net.Conn]int{}, 0
		w := newFakeWorker(t, func(connection net.Conn, request *http.Request, body string) {
			mu.Lock()
			defer mu.Unlock()
			received[connection]++
			switch {
			case len(received) == 1 && received[connection] == 1:
				rejection(connection, request, body)
				return
			case received[connection] > 1:
				rejection(connection, request, body) // the late copy
			}
			executed++
			complete(200, "good", "Server-Signature: s")(connection, request, body)
		})
		e, server := startEdge(t, w)
		publishWorker(e, "i-1", w.listener.Addr().String(), &wirepb.Worker{})
		e.updateTable(newTableBuilder(e.settings))
		got := post(t, server, "/twice/")
		mu.Lock()
		if got.status != 200 || got.body != "good" || executed != 1 {
			t.Errorf("status %d, executed %d times", got.status, executed)
		}
		mu.Unlock()
	}
}

// TestRejectionWithoutIDIsNoProof guards against REFUSED (issue 78): a response that names no request was
// believed to say that this one had not run.
func TestRejectionWithoutIDIsNoProof(t *testing.T) {
	for _, response := range []responder{unnamed(503, "Not-Executed: 1"), unnamed(421)} {
		w := newFakeWorker(t, response)
		_, server := startEdge(t, w)
		if got := post(t, server, "/once/"); execution.IsPromise(got.status) || w.count() != 1 {
			t.Errorf("status %d, sent %d times", got.status, w.count())
		}
	}
}
