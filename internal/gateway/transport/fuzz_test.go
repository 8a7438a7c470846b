package transport

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// Whatever a client sends, a request that is accepted is within the bounds that the policy relies on.
func FuzzRequest(f *testing.F) {
	names := config.Names{Products: map[string]int{"check": 0, "sale": 1}, Plans: map[string]int{"basic": 0}}
	charter := policy.Settings{GatewayCount: 3, MaxRequestUnits: 4,
		Products: []policy.Product{{Idempotency: policy.Idempotent}, {Idempotency: policy.Deduplicated}}}
	const heads = " HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nPlan: basic\r\nCookie: key=00000000b4d65521\r\n" +
		"X-Deadline: 300m\r\nQuota-Info: units=1,spread=3,first=2\r\n"
	f.Add([]byte("GET /check" + heads + "\r\n"))
	f.Add([]byte("POST /sale" + heads + "Idempotency-Key: k\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("POST /sale" + heads + "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"2\r\nab\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var req fasthttp.Request
		if req.ReadLimitBody(bufio.NewReader(bytes.NewReader(raw)), MaxBodyBytes) != nil {
			return
		}
		request, err := DecodeRequest(&req.Header, req.Header.Method(), req.Header.RequestURI(), &names, &charter,
			false)
		if err != nil {
			return
		}
		inBounds := request.Units > 0 && request.Units <= charter.MaxRequestUnits && request.TimeLeftMillis > 0 &&
			request.TimeLeftMillis <= policy.MaxClientWaitMillis &&
			request.SetSize > 0 && request.SetSize <= 3 && request.FirstGateway < 3 &&
			request.Customer < 1<<33
		clean := len(request.RequestID) > 0 && !bytes.ContainsAny(append(request.RequestID, request.Target...),
			"\r\n ")
		if !inBounds || !clean {
			t.Errorf("%q is accepted as %+v", raw, request)
		}
	})
}

// Whatever a worker sends, what settles a request is the body that the answer's head states.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 102 On\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"2\r\nab\r\n0\r\n\r\nnoise"))
	f.Add([]byte("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 20HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-LeHTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nab"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		ours, theirs := net.Pipe()
		defer ours.Close()
		go func() {
			_, _ = theirs.Write(raw)
			theirs.Close()
		}()
		conn := newWorkerConn(ours, 0)
		conn.SetDeadline(time.Now().Add(time.Second))
		answer, err := conn.Receive(nil)
		if err != nil || answer.Outcome != policy.Succeeded {
			return
		}
		if len(answer.Body) > MaxBodyBytes || !bytes.Contains(raw, []byte("200")) || len(answer.Body) > len(raw) {
			t.Errorf("%q settles with %d bytes", raw, len(answer.Body))
		}
		if body, status, reads := readWithNetHTTP(raw); reads && answer.Remainder == nil &&
			(status != http.StatusOK || !bytes.Equal(body, answer.Body)) {
			t.Errorf("%q settles with %q, and is read as %d with %q", raw, answer.Body, status, body)
		}
	})
}

// readWithNetHTTP reads an answer with net/http, past interim ones.
func readWithNetHTTP(raw []byte) (body []byte, status int, reads bool) {
	for in := bufio.NewReader(bytes.NewReader(raw)); ; {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			return nil, 0, false
		}
		if r.StatusCode >= http.StatusOK {
			body, err = io.ReadAll(r.Body)
			return body, r.StatusCode, err == nil
		}
	}
}
