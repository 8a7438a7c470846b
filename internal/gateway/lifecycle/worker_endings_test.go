package lifecycle

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"willowdeck/internal/gateway/transport"
)

// workerEndings are the ways in which a worker ends an attempt. What it proves decides on a non-idempotent
// request: settled, declined where it never ran (three attempts at most), else voided after one.
var workerEndings = []struct {
	name       string
	script     func(*workerConn)
	onceStatus int // status that a non-idempotent request gets
	openConns  int // connections open afterwards
}{
	{"an answer", respondAlways(validResponse), 200, 1},
	{"reset under the request", func(x *workerConn) { _, _ = x.reader.Peek(20); x.reset() }, 500, 0},
	{"reset after the request", respondThen("", resetConn), 500, 0},
	{"end after the request", respondThen("", finishConn), 500, 0},
	{"silence", respondAlways(""), 500, 0},
	{"half a status line, end", respondThen("HTTP/1.1 20", finishConn), 500, 0},
	{"half a status line, reset", respondThen("HTTP/1.1 20", resetConn), 500, 0},
	{"half a status line, silence", respondAlways("HTTP/1.1 20"), 500, 0},
	{"half a head, reset", respondThen("HTTP/1.1 200 OK\r\nContent-Le", resetConn), 500, 0},
	{"no length, end", respondThen("HTTP/1.1 200 OK\r\n\r\nvalid\n", finishConn), 200, 0},
	{"no length, reset", respondThen("HTTP/1.1 200 OK\r\n\r\nvalid\n", resetConn), 500, 0},
	{"no length, nothing, reset", respondThen("HTTP/1.1 200 OK\r\n\r\n", resetConn), 500, 0},
	{"no length, silence", respondAlways("HTTP/1.1 200 OK\r\n\r\nvalid\n"), 500, 0},
	{
		"length short, end",
		respondThen("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nvalid\n", finishConn),
		500,
		0,
	},
	{
		"length short, reset",
		respondThen("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nvalid\n", resetConn),
		500,
		0,
	},
	{"no last chunk, end", respondThen(chunkedHead+"6\r\nvalid\n\r\n", finishConn),
		500, 0},
	{"half a last chunk, end", respondThen(chunkedHead+"6\r\nvalid\n\r\n0\r\n",
		finishConn), 500, 0},
	{"no last chunk, reset", respondThen(chunkedHead+"6\r\nvalid\n\r\n",
		resetConn), 500, 0},
	{"chunks", respondAlways(chunkedHead + "6\r\nvalid\n\r\n0\r\n\r\n"),
		200, 1},
	{"noise without end", respondThen("", writeForever("no answer at all")), 500, 0},
	{"endless headers", respondThen("HTTP/1.1 200 OK\r\n", writeForever("X-Pad: pad\r\n")), 500, 0},
	{"3 GB claimed", respondThen("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
		writeForever("0123456789abcdef")), 500, 0},
	{"3 GB in a chunk", respondAlways(chunkedHead + "C0000000\r\n"), 500, 0},
	{
		"two lengths",
		respondAlways("HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Length: 5\r\n\r\nvalid\n"),
		500,
		0,
	},
	{
		"interim answers ahead",
		respondAlways("HTTP/1.1 103 A\r\n\r\nHTTP/1.1 102 B\r\n\r\n" + validResponse),
		200,
		1,
	},
	{"an interim answer alone", respondAlways("HTTP/1.1 102 B\r\n\r\n"), 500, 0},
	{"not run", respondAlways(notRunHead + "Content-Length: 0\r\n\r\n"), 429, 1},
	{"not run, 504", respondAlways("HTTP/1.1 504 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 429, 1},
	{"not run, truncated", respondThen(notRunHead+"Content-Length: 9\r\n\r\nno", finishConn), 500, 0},
	{"not run, broken", respondThen(notRunHead+"Content-Length: 9\r\n\r\nno", resetConn), 500, 0},
	{"not run, half a head", respondThen(notRunHead, resetConn), 500, 0},
	{
		"not run, of no status for it",
		respondAlways("HTTP/1.1 500 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		500,
		1,
	},
	{"503 that does not say so", respondAlways("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), 500, 1},
	{
		"a 200 that says not run",
		respondAlways(strings.Replace(validResponse, "Content", "X-Not-Run: 1\r\nContent", 1)),
		200,
		1,
	},
	{
		"an answer and its end said",
		respondAlways(strings.Replace(validResponse, "Content", "Connection: close\r\nContent", 1)),
		200,
		0,
	},
	{"an answer of HTTP/1.0", respondAlways(strings.Replace(validResponse, "1.1", "1.0", 1)), 200, 0},
	{"a second answer behind", respondAlways(validResponse + otherResponse), 200, 0},
	{"half an answer behind", respondAlways(validResponse + "HTTP/1.1 2"), 200, 0},
}

// TestWorkerEndings: however a worker ends an attempt, its request gets one response in time, that says no
// more than is proven: what may have run is neither sent again nor declined. Nothing is left of it: each
// place for a connection is free or has one that can be used.
func TestWorkerEndings(t *testing.T) {
	for _, c := range workerEndings {
		t.Run(c.name, func(t *testing.T) {
			b := startScriptedWorker(t, c.script)
			d := deployBefore(t, b)
			wait := func(raw string) string { return strings.Replace(raw, "300m", "600m", 1) }
			got := <-d.sendAsync(wait(issueRequest("/issue", "e1")))
			if got.status != c.onceStatus || !got.complete || c.onceStatus == 200 && string(got.body) != "valid\n" {
				t.Errorf("the non-idempotent request got %d %q, want %d", got.status, got.body, c.onceStatus)
			}
			// Its client waits for 600 ms, and a response is lost from 1100 ms on.
			if got.elapsed > 1100*time.Millisecond {
				t.Errorf("it got it after %v", got.elapsed)
			}
			if n := b.submissions.Load(); n > 1 && c.onceStatus != 429 || n > 3 {
				t.Errorf("%d submissions", n)
			}
			got = <-d.sendAsync(wait(checkRequest("/check", "e2")))
			want := map[int]int{200: 200}[c.onceStatus]
			if want == 0 {
				want = 429
			}
			if got.status != want || !got.complete || want == 200 && string(got.body) != "valid\n" {
				t.Errorf("the read got %d %q, want %d", got.status, got.body, want)
			}
			d.awaitWorkerConns(c.openConns)
			checkInvariants(t)
		})
	}
}

// TestWorkerEndsLeaveNothing: the same ends again and again on one gateway leave no connection counted, and
// no goroutine.
func TestWorkerEndsLeaveNothing(t *testing.T) {
	const times = 3
	shortDeadline := func(raw string) string { return strings.Replace(raw, "300m", "60m", 1) }
	var script atomic.Pointer[func(*workerConn)]
	b := startScriptedWorker(t, func(x *workerConn) { (*script.Load())(x) })
	d := deployBefore(t, b)
	before := 0
	for round := range 2 { // the first round starts all goroutines that stay
		for _, c := range workerEndings {
			script.Store(&c.script)
			for range times {
				<-d.sendAsync(shortDeadline(issueRequest("/issue", "n1")))
				<-d.sendAsync(shortDeadline(checkRequest("/check", "n2")))
			}
			d.awaitWorkerConns(c.openConns)
			d.gateway.workerConns.CloseIdle(0) // an open connection would go on with its script
			d.awaitWorkerConns(0)
		}
		waitFor(t, "scripts go on", func() bool { return b.runningScripts.Load() == 0 })
		if round == 0 {
			before = runtime.NumGoroutine()
		}
	}
	end := time.Now().Add(5 * time.Second)
	for runtime.NumGoroutine() > before && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	if n := runtime.NumGoroutine(); n > before {
		t.Errorf("%d goroutines, %d before", n, before)
	}
}

// TestLongResponseWithoutLength: a response without a length that is too long to be kept is streamed as it
// came, and is complete for its client only where it was closed and not reset. Guards against chunks under
// headers that do not say so, and against a reset that looks like an end.
func TestLongResponseWithoutLength(t *testing.T) {
	body := testBody(200 << 10)
	head := "HTTP/1.1 200 OK\r\n\r\n"
	chunked := chunkedHead + "" + fmt.Sprintf("%x\r\n", len(body))
	stated := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	for _, c := range []struct {
		name   string
		script func(*workerConn)
		whole  bool
		open   int
	}{
		{"end", respondThen(head+string(body), finishConn), true, 0},
		{"reset", respondThen(head+string(body), resetConn), false, 0},
		{"chunks, no last, end", respondThen(chunked+string(body)+"\r\n", finishConn), false, 0},
		{"chunks, no last, reset", respondThen(chunked+string(body)+"\r\n", resetConn), false, 0},
		{"chunks, whole", respondAlways(chunked + string(body) + "\r\n0\r\n\r\n"), true, 1},
		{"length, short, end", respondThen(stated+string(body[:150<<10]), finishConn), false, 0},
		{"length, short, reset", respondThen(stated+string(body[:150<<10]), resetConn), false, 0},
		{"length, whole", respondAlways(stated + string(body)), true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startScriptedWorker(t, c.script)
			d := deployBefore(t, b)
			got := <-d.sendAsync(withLongDeadline(issueRequest("/issue", "l1")))
			if got.status != 200 || got.complete != c.whole || c.whole && !bytes.Equal(got.body, body) {
				t.Errorf("got %d, %d bytes of %d, complete %v, want %v", got.status, len(got.body),
					len(body), got.complete, c.whole)
			}
			if !bytes.HasPrefix(body, got.body) {
				t.Error("its bytes are not the worker's")
			}
			d.awaitWorkerConns(c.open)
			if n := b.submissions.Load(); n != 1 {
				t.Errorf("%d submissions", n)
			}
		})
	}
}

// TestEndlessResponse: a chunked response without end is broken off for its client, at MaxBodyBytes.
func TestEndlessResponse(t *testing.T) {
	piece := "10000\r\n" + string(testBody(0x10000)) + "\r\n"
	b := startScriptedWorker(t, respondThen(chunkedHead+"", writeForever(piece)))
	d := deployBefore(t, b)
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprint(c, withLongDeadline(issueRequest("/issue", "w1")))
	got, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, got.Body); err == nil || n > transport.MaxBodyBytes {
		t.Errorf("got %d bytes, %v", n, err)
	}
	d.awaitWorkerConns(0)
}

// TestNoResponseMixup: what a worker sends on a connection beyond its response is never another request's: a
// second response behind one that was kept or streamed, one that comes once the connection is idle, half a
// line, an end. The next request is sent on a new connection, and gets its own response.
func TestNoResponseMixup(t *testing.T) {
	body := testBody(100 << 10)
	stated := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)) + string(body)
	chunked := chunkedHead + "" + fmt.Sprintf("%x\r\n", len(body)) +
		string(body) + "\r\n0\r\n\r\n"
	for _, c := range []struct {
		name, first string
		afterwards  func(*workerConn) // once the client has its response
		want        []byte
	}{
		{"a second answer behind", validResponse + otherResponse, nil, []byte("valid\n")},
		{"a second answer behind a long one", stated + otherResponse, nil, body},
		{"a second answer behind one in chunks", chunked + otherResponse, nil, body},
		{"half a line behind a long one", stated + "HTTP/1.1 2", nil, body},
		{"a second answer, later", validResponse, func(x *workerConn) { x.respond(otherResponse) },
			[]byte("valid\n")},
		{"half a line, later", validResponse, func(x *workerConn) { x.respond("HTTP/1.1 20") }, []byte("valid\n")},
		{"an end, later", validResponse, func(x *workerConn) { x.finish() }, []byte("valid\n")},
		{"noise behind a long one, later", stated, func(x *workerConn) { x.respond("noise") }, body},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startScriptedWorker(t, nil)
			d := deployBefore(t, b)
			got := d.sendAsync(withLongDeadline(issueRequest("/issue", "a1")))
			firstConn := b.accept()
			defer firstConn.Close()
			firstConn.readSubmission()
			// In one write, so that the read of the response's end contains what follows it.
			firstConn.respond(c.first)
			if a := <-got; a.status != 200 || !a.complete || !bytes.Equal(a.body, c.want) {
				t.Fatalf("the first got %d, %d bytes, complete %v", a.status, len(a.body), a.complete)
			}
			if c.afterwards != nil {
				d.awaitWorkerConns(1)
				c.afterwards(firstConn)
			}
			got = d.sendAsync(withLongDeadline(issueRequest("/issue", "a2")))
			secondConn := b.accept()
			defer secondConn.Close()
			secondConn.readSubmission()
			secondConn.respond(strings.Replace(validResponse, "valid", "fresh", 1))
			if a := <-got; a.status != 200 || string(a.body) != "fresh\n" || b.submissions.Load() != 2 {
				t.Errorf("the second got %d %q after %d submissions", a.status, a.body, b.submissions.Load())
			}
			d.awaitWorkerConns(1)
		})
	}
}

// TestResponseAfterDeadline: a response that comes after its request was given up, at its deadline, changes
// nothing: the client has had one response and gets no other, and the connection is not used again.
func TestResponseAfterDeadline(t *testing.T) {
	b := startScriptedWorker(t, nil)
	d := deployBefore(t, b)
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprint(c, issueRequest("/issue", "x1"))
	x := b.accept()
	defer x.Close()
	x.readSubmission()
	r := bufio.NewReader(c)
	if a, err := http.ReadResponse(r, nil); err != nil || a.StatusCode != 500 {
		t.Fatalf("got %+v, %v", a, err)
	}
	x.respond(validResponse)
	d.awaitWorkerConns(0)
	fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n") // the next response has to be that to this request
	if a, err := http.ReadResponse(r, nil); err != nil || a.StatusCode != 200 || a.ContentLength == 6 {
		t.Errorf("after it came %+v, %v", a, err)
	}
	if checkInvariants(t); b.submissions.Load() != 1 {
		t.Errorf("%d submissions", b.submissions.Load())
	}
}

// readPartial reads a submission's headers and n bytes of its body.
func (x *workerConn) readPartial(n int64) {
	x.worker.t.Helper()
	req, err := http.ReadRequest(x.reader)
	if err == nil {
		_, err = io.CopyN(io.Discard, req.Body, n)
	}
	if err != nil {
		x.worker.t.Error(err)
	}
}

// startUpload begins a non-idempotent request with a body of size bytes, of which some are sent.
func (d *deployment) startUpload(id string, size, sent int) (net.Conn, *bufio.Reader) {
	d.t.Helper()
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprint(
		c,
		strings.Replace(withLongDeadline(issueRequest("/issue", id)), "Length: 0", fmt.Sprint("Length: ", size), 1),
	)
	go c.Write(make([]byte, sent)) // the gateway need not read it all
	return c, bufio.NewReader(c)
}

// TestExtraResponseDuringBody: a worker can't have responded to a request whose body it has not received. A
// second response to the one before, on a connection that is used again for a long body, settles nothing: an
// incomplete request never ran.
func TestExtraResponseDuringBody(t *testing.T) {
	b := startScriptedWorker(t, nil)
	d := deployBefore(t, b)
	got := d.sendAsync(withLongDeadline(issueRequest("/issue", "u1")))
	x := b.accept()
	x.readSubmission()
	x.respond(validResponse)
	<-got
	d.awaitWorkerConns(1)
	const size = 300 << 10
	c, r := d.startUpload("u2", size, size/3)
	x.readPartial(1 << 10)
	x.respond(otherResponse)
	a, err := http.ReadResponse(r, nil)
	if err != nil || a.StatusCode != http.StatusTooManyRequests {
		t.Errorf("it got %+v, %v", a, err)
	}
	x.awaitClose()
	d.awaitWorkerConns(0)
	c.Write(make([]byte, size-size/3)) // and its connection goes on
	fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
	if a, err = http.ReadResponse(r, nil); err != nil || a.StatusCode != 200 || b.submissions.Load() != 1 {
		t.Errorf("after it %+v, %v, %d submissions", a, err, b.submissions.Load())
	}
}

// TestResetDuringBody: a response without a length during a body, and then a reset: whichever of reading and
// writing notices the reset first, it is no end of the response.
func TestResetDuringBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for _, text := range []string{head + "valid\n", head, "", head[:11]} {
		t.Run(fmt.Sprint(len(text)), func(t *testing.T) {
			b := startScriptedWorker(t, nil)
			d := deployBefore(t, b)
			const size = 8 << 20
			_, r := d.startUpload("r1", size, size/2)
			x := b.accept()
			x.readPartial(1 << 10)
			x.respond(text)
			x.reset()
			if a, err := http.ReadResponse(r, nil); err != nil || a.StatusCode != http.StatusTooManyRequests {
				t.Errorf("it got %+v, %v", a, err)
			}
			d.awaitWorkerConns(0)
			if n := b.submissions.Load(); n != 0 {
				t.Errorf("%d submissions", n)
			}
		})
	}
}

// TestWorkerHangsDuringBody: a worker that hangs in the middle of a long body, and sends nothing, is left
// after BodyStallTimeoutMillis: the request has its response then, also where attempts may not be cancelled.
// Guards against a wait for a response without end.
func TestWorkerHangsDuringBody(t *testing.T) {
	for _, swap := range []string{`"cancel":true`, `"cancel":false`} {
		t.Run(swap, func(t *testing.T) {
			t.Parallel()
			b := startScriptedWorker(t, nil)
			d := deployBefore(t, b, `"cancel":true`, swap)
			const size = 16 << 20
			_, r := d.startUpload("h1", size, size)
			x := b.accept()
			defer x.Close()
			x.readPartial(1 << 10)
			if a, err := http.ReadResponse(r, nil); err != nil || a.StatusCode != http.StatusTooManyRequests {
				t.Errorf("it got %+v, %v", a, err)
			}
			d.awaitWorkerConns(0)
		})
	}
}

// TestEarlyResponseForwardedAtOnce: a response that comes before the body is complete is forwarded at once,
// though the worker reads no more of that and keeps the connection open. Guards against one that is delayed
// for BodyStallTimeoutMillis.
func TestEarlyResponseForwardedAtOnce(t *testing.T) {
	b := startScriptedWorker(t, nil)
	d := deployBefore(t, b)
	const size = 16 << 20
	_, r := d.startUpload("f1", size, size)
	x := b.accept()
	defer x.Close()
	x.SetReadBuffer(4 << 10)
	x.readPartial(1 << 10)
	// As in a goroutine's stack.
	write := runtime.FuncForPC(reflect.ValueOf((*transport.WorkerConn).Write).Pointer()).Name()
	stack := make([]byte, 8<<20) // of all goroutines, also those that earlier tests left
	waitFor(t, "the body is still being sent", func() bool {
		for _, s := range strings.Split(string(stack[:runtime.Stack(stack, true)]), "\n\n") {
			if strings.Contains(s, "[IO wait") && strings.Contains(s, write+"(") {
				return true
			}
		}
		return false
	})
	start := time.Now()
	x.respond(notRunHead + "Content-Length: 0\r\n\r\n")
	a, err := http.ReadResponse(r, nil)
	if elapsed := time.Since(start); err != nil || a.StatusCode != 429 || elapsed > 1500*time.Millisecond {
		t.Errorf("it got %+v, %v after %v", a, err, elapsed)
	}
	d.awaitWorkerConns(0)
}

// TestInterimResponseDuringBody: an interim response during a long body does not begin a response that may
// not pause: the body takes its time.
func TestInterimResponseDuringBody(t *testing.T) {
	b := startScriptedWorker(t, nil)
	d := deployBefore(t, b)
	const size = 200 << 10
	c, r := d.startUpload("i1", size, size/2)
	x := b.accept()
	defer x.Close()
	req, err := http.ReadRequest(x.reader)
	if err != nil {
		t.Fatal(err)
	}
	x.respond("HTTP/1.1 102 On\r\n\r\n")
	time.Sleep(250 * time.Millisecond) // longer than a response may pause
	c.Write(make([]byte, size-size/2))
	if n, err := io.Copy(io.Discard, req.Body); n != size || err != nil {
		t.Fatalf("the worker got %d bytes, %v", n, err)
	}
	x.respond(validResponse)
	a, err := http.ReadResponse(r, nil)
	if err != nil || a.StatusCode != 200 {
		t.Fatalf("it got %+v, %v", a, err)
	}
	d.awaitWorkerConns(1)
	got := d.sendAsync(withLongDeadline(issueRequest("/issue", "i2"))) // and the connection is good for another
	x.readSubmission()
	x.respond(validResponse)
	if a := <-got; a.status != 200 {
		t.Errorf("the next got %d", a.status)
	}
}

// TestNoOverlappingAttempts: no attempt of a request begins while the one before is still out on an open
// connection: an invalid response closes its connection first. The worker looks at it in the moment in which
// the next attempt is complete.
func TestNoOverlappingAttempts(t *testing.T) {
	const established = 1
	for _, c := range []struct{ name, text string }{
		{"noise", "what is this, then?\r\n\r\n"},
		{"half a status line", "HTTP/1.1 20"},
		{"length too short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nvalid\n"},
		{"an error that goes on", "HTTP/1.1 500 No\r\nContent-Length: 200000\r\n\r\nno"},
		{"an error of no length", "HTTP/1.1 500 No\r\n\r\nno"},
		{"not run, half", notRunHead + "Content-Length: 9\r\n\r\nno"},
		{"silence", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startScriptedWorker(t, nil)
			d := deployBefore(t, b)
			got := d.sendAsync(withLongDeadline(checkRequest("/check", "o1")))
			firstConn := b.accept()
			defer firstConn.Close()
			firstConn.readSubmission()
			firstConn.respond(c.text)
			secondConn := b.accept()
			defer secondConn.Close()
			secondConn.readSubmission()
			state := uint8(0)
			firstConn.awaitSocket(func(_ int, is uint8) bool { state = is; return true })
			if state == established {
				t.Error("the attempt before is still open")
			}
			secondConn.respond(validResponse)
			if a := <-got; a.status != 200 || b.submissions.Load() != 2 {
				t.Errorf("it got %d after %d submissions", a.status, b.submissions.Load())
			}
			d.awaitWorkerConns(1)
		})
	}
}

// TestExtraResponseAcrossBody is TestExtraResponseDuringBody where the body is sent completely while the
// second response is still coming: it says nothing of this request, which may run.
func TestExtraResponseAcrossBody(t *testing.T) {
	b := startScriptedWorker(t, nil)
	d := deployBefore(t, b)
	const size = 300 << 10
	c, r := d.startUpload("c1", size, size/3)
	x := b.accept()
	defer x.Close()
	req, err := http.ReadRequest(x.reader)
	if err != nil {
		t.Fatal(err)
	}
	x.respond("HTTP/1.1 200 OK\r\nX-Pad: ")
	got := make(chan int64)
	go func() {
		n, _ := io.Copy(io.Discard, req.Body)
		got <- n
	}()
	go c.Write(make([]byte, size-size/3))
	for complete := false; !complete; { // it trickles until the body is complete
		select {
		case n := <-got:
			if complete = true; n != size {
				t.Fatalf("the worker got %d bytes", n)
			}
		case <-time.After(5 * time.Millisecond):
			x.respond("x")
		}
	}
	x.respond("\r\nContent-Length: 6\r\n\r\nother\n")
	if a, err := http.ReadResponse(r, nil); err != nil || a.StatusCode != http.StatusInternalServerError {
		t.Errorf("it got %+v, %v", a, err)
	}
	d.awaitWorkerConns(0)
}
