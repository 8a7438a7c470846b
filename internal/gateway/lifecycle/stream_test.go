package lifecycle

import (
	"bufio"
	"bytes"
	"crypto/sha256"
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

// before deploys a gatekeeper before one worker that does what do says.
func before(t *testing.T, do http.HandlerFunc) *deployment {
	t.Helper()
	s := httptest.NewServer(do)
	t.Cleanup(s.Close)
	at := netip.MustParseAddrPort(s.Listener.Addr().String())
	return deployWith(t, func(c *config.Gateway) { c.KnownEndpoints.Workers[0].Address = at }, 1, 5000)
}

// long is a body of so many bytes that differ from place to place.
func long(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i ^ i>>8 ^ i>>16)
	}
	return b
}

// sell sends a referenced txn with a body, by its length or in chunks, on a connection of its own.
func (d *deployment) sell(id string, body io.Reader, length int64) (*http.Response, error) {
	req, err := http.NewRequest("POST", "http://"+d.at+"/sale", body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = length
	for _, l := range strings.Split(strings.TrimSpace(heads), "\r\n") {
		name, value, _ := strings.Cut(l, ": ")
		req.Header.Set(name, value)
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Idempotency-Key", "k1")
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
}

// Long bodies and answers pass on unchanged in every form, and through little memory.
func TestLongBodies(t *testing.T) {
	const size = 12 << 20
	body := long(size)
	sum := fmt.Sprintf("%x", sha256.Sum256(body))
	var most atomic.Uint64
	d := before(t, func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		n, err := io.Copy(h, r.Body)
		if got := fmt.Sprintf("%x", h.Sum(nil)); err != nil || n != size || got != sum {
			t.Errorf("the worker got %d bytes, %v", n, err)
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		most.Store(max(most.Load(), m.HeapInuse))
		if r.ContentLength >= 0 {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		}
		w.Write(body)
	})
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	for i, length := range []int64{size, -1} {
		got, err := d.sell(fmt.Sprint("l", i), io.MultiReader(bytes.NewReader(body)), length)
		if err != nil || got.StatusCode != 200 || got.ContentLength != length {
			t.Fatalf("answered %v, %v", got, err)
		}
		h := sha256.New()
		if n, err := io.Copy(h, got.Body); err != nil || n != size || fmt.Sprintf("%x", h.Sum(nil)) != sum {
			t.Errorf("the client got %d bytes, %v", n, err)
		}
	}
	if grown := int64(most.Load()) - int64(m.HeapInuse); grown > size/3 {
		t.Errorf("%d bytes were held", grown)
	}
}

// What was not kept is not submitted again; what never ran may be tried again by its client.
func TestLongBodyIsSentOnce(t *testing.T) {
	var subs atomic.Int64
	d := before(t, func(w http.ResponseWriter, r *http.Request) {
		subs.Add(1)
		io.CopyN(io.Discard, r.Body, 200<<10)
		panic(http.ErrAbortHandler)
	})
	got, err := d.sell("once", bytes.NewReader(long(2<<20)), 2<<20)
	if err != nil || got.StatusCode != http.StatusTooManyRequests || subs.Load() != 1 {
		t.Errorf("answered %v, %v after %d submissions", got, err, subs.Load())
	}
}

// A worker that turns a long body away before it has read it is heard at once, and the client's connection
// goes on behind the body.
func TestAnswerAheadOfBody(t *testing.T) {
	d := before(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		w.(http.Flusher).Flush()
		time.Sleep(100 * time.Millisecond)
	})
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	const size = 1 << 20
	raw := strings.Replace(sale("/sale", "ahead"), "Length: 4\r\n\r\na\r\nb",
		fmt.Sprintf("Length: %d\r\n\r\n", size), 1)
	fmt.Fprint(c, raw)
	body := long(size)
	c.Write(body[:size/2])
	r := bufio.NewReader(c)
	got, err := http.ReadResponse(r, nil)
	if err != nil || got.StatusCode != http.StatusTooManyRequests {
		t.Fatalf("answered %v, %v", got, err)
	}
	c.Write(body[size/2:])
	fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
	if got, err = http.ReadResponse(r, nil); err != nil || got.StatusCode != 200 {
		t.Errorf("behind the body: %v, %v", got, err)
	}
}

// A client that stops in the middle has a defined answer in time, and no worker gets the whole of it.
func TestClientStopsInBody(t *testing.T) {
	var whole atomic.Int64
	d := before(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			whole.Add(1)
		}
	})
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw := strings.Replace(sale("/sale", "stops"), "Length: 4\r\n\r\na\r\nb", "Length: 3000000\r\n\r\n", 1)
	c.Write(append([]byte(raw), long(200000)...))
	c.SetDeadline(time.Now().Add(time.Second + time.Duration(policy.BodyStallTimeoutMillis)*time.Millisecond))
	got, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || got.StatusCode != http.StatusRequestTimeout || whole.Load() > 0 {
		t.Errorf("answered %v, %v; %d whole", got, err, whole.Load())
	}
}

// A long answer that the worker breaks off is broken off for the client, and nothing is sent again.
func TestLongAnswerBreaksOff(t *testing.T) {
	for _, stated := range []bool{true, false} {
		t.Run(fmt.Sprint(stated), func(t *testing.T) {
			var subs atomic.Int64
			d := before(t, func(w http.ResponseWriter, r *http.Request) {
				subs.Add(1)
				if stated {
					w.Header().Set("Content-Length", "900000")
				}
				w.Write(long(300000))
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})
			got, err := d.sell("off", strings.NewReader("ab"), 2)
			if err != nil || got.StatusCode != 200 {
				t.Fatalf("answered %v, %v", got, err)
			}
			if n, err := io.Copy(io.Discard, got.Body); err == nil || subs.Load() != 1 {
				t.Errorf("%d bytes look whole, after %d submissions", n, subs.Load())
			}
			time.Sleep(20 * time.Millisecond)
			if _, _, voided := d.gk.front.FinalCounts(1); voided != 1 {
				t.Errorf("counted as voided: %d", voided)
			}
		})
	}
}

// One who reads slowly gets all of it: the worker is held up, and nothing is cut.
func TestSlowReader(t *testing.T) {
	const size = 3 << 20
	d := before(t, func(w http.ResponseWriter, r *http.Request) { w.Write(long(size)) })
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(16 << 10)
	fmt.Fprint(c, sale("/sale", "slow"))
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
	if err != io.EOF || n != size {
		t.Errorf("got %d bytes in %v, %v", n, time.Since(start), err)
	}
}

// The module hears that a slow answer has begun, and of one that comes at once only its end.
func TestAnswerThatTrickles(t *testing.T) {
	d := before(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "8")
		for range 8 {
			w.Write([]byte("x"))
			w.(http.Flusher).Flush()
			time.Sleep(40 * time.Millisecond) // 320 ms in all; a whole one may not pause for AnswerPause
		}
	})
	c := strings.Replace(check("/check", "t"), "300m", "900m", 1)
	if status, body := d.ask(c); status != "HTTP/1.1 200 OK" || body != "xxxxxxxx" {
		t.Errorf("answered %q %q", status, body)
	}
	if n := d.gk.links.AttemptsWritten(); n != 1 {
		t.Errorf("%d submissions", n)
	}
}

// All forms in which a client may send a body come to the same.
func TestFormsOfBodies(t *testing.T) {
	head := func(with string) string {
		return strings.Replace(sale("/sale", "form"), "Content-Length: 4\r\n\r\na\r\nb", with, 1)
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
				conn, err := net.Dial("tcp", d.at)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(5 * time.Second))
				r := bufio.NewReader(conn)
				for range 2 { // the connection goes on
					ahead, body, waits := strings.Cut(c.raw, "|")
					piecewise(conn, ahead, pieces)
					if waits {
						if got, err := http.ReadResponse(r, nil); err != nil || got.StatusCode != 100 {
							t.Fatalf("asked to go on: %v, %v", got, err)
						}
						piecewise(conn, body, pieces)
					}
					got, err := http.ReadResponse(r, nil)
					if err != nil || got.StatusCode != 200 {
						t.Fatalf("answered %v, %v", got, err)
					}
					io.Copy(io.Discard, got.Body)
				}
				for _, s := range d.got() {
					if !strings.HasSuffix(s, "Content-Length: 4\r\n\r\na\r\nb") {
						t.Errorf("a worker got %q", s)
					}
				}
			})
		}
	}
}

// piecewise writes a text whole, or byte by byte.
func piecewise(c net.Conn, s string, pieces bool) {
	if !pieces {
		fmt.Fprint(c, s)
		return
	}
	for i := range len(s) {
		c.Write([]byte{s[i]})
	}
}
