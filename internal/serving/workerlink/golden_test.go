package workerlink

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// TestGoldenHeaders pins the header names that workers and clients use, as of 2 December 2026.
func TestGoldenHeaders(t *testing.T) {
	for got, want := range map[string]string{
		HeaderRequestID:   "Request-Id",
		HeaderDeadline:    "Deadline-Ms",
		HeaderTarget:      "Target-Instance",
		HeaderSignature:   "Server-Signature",
		HeaderNotExecuted: "Not-Executed",
		HeaderLoad:        "Instance-Load",
		HeaderLastEvent:   "Last-Event-Id",
		HeaderPriority:    "Priority",
	} {
		if got != want {
			t.Errorf("header %s instead of %s", got, want)
		}
	}
}

// TestGoldenRequest pins a request's bytes.
func TestGoldenRequest(t *testing.T) {
	request := &Request{
		Method: http.MethodPost, URI: "/p/x?y=1", Host: "h1", Header: http.Header{"Request-Id": {"id-1"}},
		Body: [][]byte{[]byte("bo"), []byte("dy")},
	}
	const want = "POST /p/x?y=1 HTTP/1.1\r\nHost: h1\r\nRequest-Id: id-1\r\nContent-Length: 4\r\n\r\nbody"
	if got := string(bytes.Join(request.encode(), nil)); got != want {
		t.Errorf("request %q instead of %q", got, want)
	}
}

// TestGoldenNotExecuted reads responses that state that a worker did not run the request.
func TestGoldenNotExecuted(t *testing.T) {
	for head, want := range map[string]bool{
		"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: q-1\r\n\r\n":                    true,
		"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: q-1\r\nNot-Executed: 1\r\n\r\n": true,
		"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: q-1\r\n\r\n":                    false,
		"HTTP/1.1 421 Misdirected Request\r\n\r\n":                                       false,
		"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n":                    false,
		"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: q-2\r\nNot-Executed: 1\r\n\r\n": false,
	} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := NotExecuted(response, "q-1"); got != want {
			t.Errorf("%q: %v", head, got)
		}
	}
}
