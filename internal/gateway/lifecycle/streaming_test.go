package lifecycle

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// deployBeforeHandler deploys a gateway before one worker that responds by a handler.
func deployBeforeHandler(t *testing.T, do http.HandlerFunc) *deployment {
	t.Helper()
	s := httptest.NewServer(do)
	t.Cleanup(s.Close)
	at := netip.MustParseAddrPort(s.Listener.Addr().String())
	return deployWith(t, func(c *config.Gateway) { c.KnownEndpoints.Workers[0].Address = at }, 1, 5000)
}

// testBody is a body of n bytes that differ by position.
func testBody(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i ^ i>>8 ^ i>>16)
	}
	return b
}

// sendSale sends an idempotent request with a body, of a known length or chunked, on a connection of its
// own.
func (d *deployment) sendSale(id string, body io.Reader, length int64) (*http.Response, error) {
	req, err := http.NewRequest("POST", "http://"+d.address+"/sale", body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = length
	for _, l := range strings.Split(strings.TrimSpace(commonHeaders), "\r\n") {
		name, value, _ := strings.Cut(l, ": ")
		req.Header.Set(name, value)
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Idempotency-Key", "k1")
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
}

// TestLongBodies: long requests and responses are streamed unchanged in every form, with little memory.
func TestLongBodies(t *testing.T) {
	const size = 12 << 20
	body := testBody(size)
	wantDigest := fmt.Sprintf("%x", sha256.Sum256(body))
	var maxHeap atomic.Uint64
	d := deployBeforeHandler(t, func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		n, err := io.Copy(h, r.Body)
		if response := fmt.Sprintf("%x", h.Sum(nil)); err != nil || n != size || response != wantDigest {
			t.Errorf("the worker got %d bytes, %v", n, err)
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		maxHeap.Store(max(maxHeap.Load(), m.HeapInuse))
		if r.ContentLength >= 0 {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		}
		w.Write(body)
	})
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	for i, length := range []int64{size, -1} {
		response, err := d.sendSale(fmt.Sprint("l", i), io.MultiReader(bytes.NewReader(body)), length)
		if err != nil || response.StatusCode != 200 || response.ContentLength != length {
			t.Fatalf("answered %v, %v", response, err)
		}
		h := sha256.New()
		n, err := io.Copy(h, response.Body)
		if err != nil || n != size || fmt.Sprintf("%x", h.Sum(nil)) != wantDigest {
			t.Errorf("the client got %d bytes, %v", n, err)
		}
	}
	if grown := int64(maxHeap.Load()) - int64(m.HeapInuse); grown > size/3 {
		t.Errorf("%d bytes were held", grown)
	}
}

// TestLongBodyNotRetried: a body that was not kept is not sent again; a request that never ran may be
// retried by its client.
func TestLongBodyNotRetried(t *testing.T) {
	var attempts atomic.Int64
	d := deployBeforeHandler(t, func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		io.CopyN(io.Discard, r.Body, 200<<10)
		panic(http.ErrAbortHandler)
	})
	got, err := d.sendSale("once", bytes.NewReader(testBody(2<<20)), 2<<20)
	if err != nil || got.StatusCode != http.StatusTooManyRequests || attempts.Load() != 1 {
		t.Errorf("answered %v, %v after %d submissions", got, err, attempts.Load())
	}
}

// TestEarlyResponse: a worker's rejection of a long body that it has not read is passed on at once, and the
// client's connection goes on behind the body.
func TestEarlyResponse(t *testing.T) {
	d := deployBeforeHandler(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		w.(http.Flusher).Flush()
		time.Sleep(100 * time.Millisecond)
	})
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	const size = 1 << 20
	raw := strings.Replace(saleRequest("/sale", "ahead"), "Length: 4\r\n\r\na\r\nb",
		fmt.Sprintf("Length: %d\r\n\r\n", size), 1)
	fmt.Fprint(c, raw)
	body := testBody(size)
	c.Write(body[:size/2])
	r := bufio.NewReader(c)
	got, err := http.ReadResponse(r, nil)
	if err != nil || got.StatusCode != http.StatusTooManyRequests {
		t.Fatalf("answered %v, %v", got, err)
	}
	c.Write(body[size/2:])
	fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
	if got, err = http.ReadResponse(r, nil); err != nil || got.StatusCode != 200 {
		t.Errorf("after the body: %v, %v", got, err)
	}
}

// TestClientStallsInBody: a client that stalls in its body has a response in time, and no worker gets a
// complete body.
func TestClientStallsInBody(t *testing.T) {
	var completeBodies atomic.Int64
	d := deployBeforeHandler(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			completeBodies.Add(1)
		}
	})
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw := strings.Replace(
		saleRequest("/sale", "stops"),
		"Length: 4\r\n\r\na\r\nb",
		"Length: 3000000\r\n\r\n",
		1,
	)
	c.Write(append([]byte(raw), testBody(200000)...))
	c.SetDeadline(time.Now().Add(time.Second + time.Duration(policy.BodyStallTimeoutMillis)*time.Millisecond))
	got, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || got.StatusCode != http.StatusRequestTimeout || completeBodies.Load() > 0 {
		t.Errorf("answered %v, %v; %d complete", got, err, completeBodies.Load())
	}
}

// TestLongResponseTruncated: a long response that the worker breaks off is broken off for the client, and
// nothing is sent again.
func TestLongResponseTruncated(t *testing.T) {
	for _, stated := range []bool{true, false} {
		t.Run(fmt.Sprint(stated), func(t *testing.T) {
			var attempts atomic.Int64
			d := deployBeforeHandler(t, func(w http.ResponseWriter, r *http.Request) {
				attempts.Add(1)
				if stated {
					w.Header().Set("Content-Length", "900000")
				}
				w.Write(testBody(300000))
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})
			got, err := d.sendSale("off", strings.NewReader("ab"), 2)
			if err != nil || got.StatusCode != 200 {
				t.Fatalf("answered %v, %v", got, err)
			}
			if n, err := io.Copy(io.Discard, got.Body); err == nil || attempts.Load() != 1 {
				t.Errorf("%d bytes look complete, after %d submissions", n, attempts.Load())
			}
			time.Sleep(20 * time.Millisecond)
			if _, _, voided := d.gateway.frontend.FinalCounts(1); voided != 1 {
				t.Errorf("counted as voided: %d", voided)
			}
		})
	}
}

// TestSlowClientReader: a client that reads slowly gets all of its response: the worker is held back, and
// nothing is cut.
func TestSlowClientReader(t *testing.T) {
	const size = 3 << 20
	d := deployBeforeHandler(t, func(w http.ResponseWriter, r *http.Request) { w.Write(testBody(size)) })
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(16 << 10)
	fmt.Fprint(c, saleRequest("/sale", "slow"))
	got, err := http.ReadResponse(bufio.NewReaderSize(c, 16<<10), nil)
	if err != nil {
		t.Fatal(err)
	}
	start, n := time.Now(), int64(0)
	for err == nil {
		var more int64
		more, err = io.CopyN(io.Discard, got.Body, 64<<10)
		n += more
		time.Sleep(50 * time.Millisecond)
	}
	if !errors.Is(err, io.EOF) || n != size {
		t.Errorf("got %d bytes in %v, %v", n, time.Since(start), err)
	}
}

// TestTricklingResponse: the policy learns that a slow response has begun, and does not abort it for its
// pauses.
func TestTricklingResponse(t *testing.T) {
	d := deployBeforeHandler(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "8")
		for range 8 {
			w.Write([]byte("x"))
			w.(http.Flusher).Flush()
			time.Sleep(40 * time.Millisecond) // 320 ms in all; a complete one may not pause for AnswerPause
		}
	})
	c := strings.Replace(checkRequest("/check", "t"), "300m", "900m", 1)
	if status, body := d.send(c); status != "HTTP/1.1 200 OK" || body != "xxxxxxxx" {
		t.Errorf("answered %q %q", status, body)
	}
	if n := d.gateway.workerConns.AttemptsWritten(); n != 1 {
		t.Errorf("%d submissions", n)
	}
}

// TestBodyForms: all forms in which a client may send a body reach the worker as one.
func TestBodyForms(t *testing.T) {
	head := func(with string) string {
		return strings.Replace(saleRequest("/sale", "form"), "Content-Length: 4\r\n\r\na\r\nb", with, 1)
	}
	cases := []struct{ name, raw string }{
		{"length", head("Content-Length: 4\r\n\r\na\r\nb")},
		{"chunks", head("Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n3\r\n\r\nb\r\n0\r\n\r\n")},
		{"extensions and trailers", head("Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n" +
			"4;a=b;c=\"d\"\r\na\r\nb\r\n0\r\nX-Sum: 7\r\n\r\n")},
		{"continue", head("Expect: 100-continue\r\nContent-Length: 4\r\n\r\n") + "|a\r\nb"},
	}
	for _, c := range cases {
		for _, pieces := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, pieces), func(t *testing.T) {
				d := deploy(t, 1, 5000)
				conn, err := net.Dial("tcp", d.address)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(5 * time.Second))
				r := bufio.NewReader(conn)
				for range 2 { // the connection goes on
					ahead, body, waits := strings.Cut(c.raw, "|")
					writePieces(conn, ahead, pieces)
					if waits {
						if got, err := http.ReadResponse(r, nil); err != nil || got.StatusCode != 100 {
							t.Fatalf("100-continue: %v, %v", got, err)
						}
						writePieces(conn, body, pieces)
					}
					got, err := http.ReadResponse(r, nil)
					if err != nil || got.StatusCode != 200 {
						t.Fatalf("answered %v, %v", got, err)
					}
					io.Copy(io.Discard, got.Body)
				}
				for _, s := range d.submissions() {
					if !strings.HasSuffix(s, "Content-Length: 4\r\n\r\na\r\nb") {
						t.Errorf("a worker got %q", s)
					}
				}
			})
		}
	}
}

// writePieces writes a text at once, or byte by byte.
func writePieces(c net.Conn, s string, pieces bool) {
	if !pieces {
		fmt.Fprint(c, s)
		return
	}
	for i := range len(s) {
		c.Write([]byte{s[i]})
	}
}
