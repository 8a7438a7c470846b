package lifecycle

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/transport"
)

// stepped is a worker that does on each connection what a test says, step by step.
type stepped struct {
	net.Listener
	t     *testing.T
	whole atomic.Int64 // submissions that came whole
	busy  atomic.Int64 // scripts that play
	legs  chan *leg    // connections that no script takes
}

// leg is one connection to it.
type leg struct {
	*net.TCPConn
	of *stepped
	r  *bufio.Reader
}

// play starts one that plays a script on each connection, or gives each to the test where there is none.
func play(t *testing.T, script func(*leg)) *stepped {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &stepped{Listener: l, t: t, legs: make(chan *leg, 99)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			x := &leg{TCPConn: c.(*net.TCPConn), of: b, r: bufio.NewReader(c)}
			x.SetDeadline(time.Now().Add(20 * time.Second))
			if script == nil {
				b.legs <- x
				continue
			}
			b.busy.Add(1)
			go func() {
				defer b.busy.Add(-1)
				defer x.Close()
				script(x)
			}()
		}
	}()
	return b
}

// leg gives the next connection that comes.
func (b *stepped) leg() *leg {
	b.t.Helper()
	select {
	case x := <-b.legs:
		return x
	case <-time.After(5 * time.Second):
		b.t.Fatal("no connection comes")
		return nil
	}
}

// request reads one submission whole, and tells whether one came.
func (x *leg) request() bool {
	req, err := http.ReadRequest(x.r)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	if err == nil {
		x.of.whole.Add(1)
	}
	return err == nil
}

// The states of a socket whose end the other side has taken, and of one that is no more.
const finWait2, closed = 5, 7

// says writes, and returns once the gatekeeper's machine has it all, or the connection is no more.
func (x *leg) says(b string) {
	if _, err := x.Write([]byte(b)); err == nil {
		x.settles(func(fd int, state uint8) bool {
			n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
			return err != nil || n == 0 || state == closed
		})
	}
}

// shuts ends the connection, and returns once the gatekeeper's machine has its end.
func (x *leg) shuts() {
	_ = x.CloseWrite()
	x.settles(func(_ int, state uint8) bool { return state == finWait2 || state == closed })
}

// settles waits until a look at the socket says so.
func (x *leg) settles(look func(fd int, state uint8) bool) {
	raw, err := x.SyscallConn()
	if err != nil {
		x.of.t.Error(err)
		return
	}
	done := false
	for end := time.Now().Add(5 * time.Second); !done && time.Now().Before(end); runtime.Gosched() {
		_ = raw.Control(func(fd uintptr) {
			i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			done = err != nil || look(int(fd), i.State)
		})
	}
}

// resets ends the connection at once.
func (x *leg) resets() {
	_ = x.SetLinger(0)
	_ = x.Close()
}

// rests waits until the gatekeeper ends the connection.
func (x *leg) rests() { _, _ = io.Copy(io.Discard, x.r) }

// facing deploys a gatekeeper before one such worker.
func facing(t *testing.T, b *stepped, swaps ...string) *deployment {
	t.Helper()
	at := netip.MustParseAddrPort(b.Addr().String())
	return deployWith(t, func(c *config.Gateway) {
		c.KnownEndpoints.Workers[0].Address = at
		c.Connections.ConnectTimeoutMillis = 5000 // a loaded machine is no late connection
		// the stand-ins run in this process, and are to take none of the gatekeeper's
		c.Cores = 4
	}, 1, 5000, swaps...)
}

// patient is a txn whose client waits for long.
func patient(raw string) string { return strings.Replace(raw, "300m", "5000m", 1) }

// claims checks that none was broken, but for the time of answers: that is the machine's too, and the tests
// that are about it look at the clock.
func claims(t *testing.T) {
	t.Helper()
	n := inflight.Violations()
	delete(n, "in_time")
	if len(n) > 0 {
		t.Errorf("claims broken: %v", n)
	}
}

// reply is what a client gets.
type reply struct {
	status int // 0: no answer
	body   []byte
	whole  bool
	took   time.Duration
}

// calls sends a txn on a connection of its own, and gives its answer once that has come to its end.
func (d *deployment) calls(raw string) <-chan reply {
	got := make(chan reply, 1)
	go func() {
		defer close(got)
		c, err := net.Dial("tcp", d.at)
		if err != nil {
			return
		}
		defer c.Close()
		start := time.Now()
		c.SetDeadline(start.Add(10 * time.Second))
		fmt.Fprint(c, raw)
		var a reply
		r := bufio.NewReader(c)
		if res, err := http.ReadResponse(r, nil); err == nil {
			a.status = res.StatusCode
			a.body, err = io.ReadAll(res.Body)
			a.whole = err == nil
		}
		a.took = time.Since(start)
		got <- a
	}()
	return got
}

// open waits until so many connections to workers are left.
func (d *deployment) open(want int) {
	d.t.Helper()
	end := time.Now().Add(5 * time.Second)
	for d.gk.links.OpenConns() != want && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	if n := d.gk.links.OpenConns(); n != want {
		d.t.Errorf("%d connections are held, want %d", n, want)
	}
}

const (
	okay     = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nvalid\n"
	other    = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nother\n"
	inPieces = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	away     = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n"
)

// ends plays an answer, and then an end of the connection.
func ends(text string, end func(*leg)) func(*leg) {
	return func(x *leg) {
		if x.request() {
			x.says(text)
			end(x)
		}
	}
}

// plays gives an answer to each submission, one after another.
func plays(text string) func(*leg) {
	return func(x *leg) {
		for x.request() {
			x.says(text)
		}
	}
}

func ended(x *leg)  { x.shuts() }
func cutOff(x *leg) { x.resets() }

// endless writes a piece again and again until the gatekeeper has had enough.
func endless(piece string) func(*leg) {
	return func(x *leg) {
		for {
			if _, err := io.WriteString(x, piece); err != nil {
				return
			}
		}
	}
}

// workerEnds are the ways in which a worker ends a submission. What it proves decides what becomes of a
// once-only txn: settled, declined where it never ran (three submissions at most), else voided after one.
var workerEnds = []struct {
	name   string
	script func(*leg)
	once   int // status that a once-only txn gets
	open   int // connections left after it
}{
	{"an answer", plays(okay), 200, 1},
	{"reset under the request", func(x *leg) { _, _ = x.r.Peek(20); x.resets() }, 500, 0},
	{"reset after the request", ends("", cutOff), 500, 0},
	{"end after the request", ends("", ended), 500, 0},
	{"silence", plays(""), 500, 0},
	{"half a status line, end", ends("HTTP/1.1 20", ended), 500, 0},
	{"half a status line, reset", ends("HTTP/1.1 20", cutOff), 500, 0},
	{"half a status line, silence", plays("HTTP/1.1 20"), 500, 0},
	{"half a head, reset", ends("HTTP/1.1 200 OK\r\nContent-Le", cutOff), 500, 0},
	{"no length, end", ends("HTTP/1.1 200 OK\r\n\r\nvalid\n", ended), 200, 0},
	{"no length, reset", ends("HTTP/1.1 200 OK\r\n\r\nvalid\n", cutOff), 500, 0},
	{"no length, nothing, reset", ends("HTTP/1.1 200 OK\r\n\r\n", cutOff), 500, 0},
	{"no length, silence", plays("HTTP/1.1 200 OK\r\n\r\nvalid\n"), 500, 0},
	{"length short, end", ends("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nvalid\n", ended), 500, 0},
	{"length short, reset", ends("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nvalid\n", cutOff), 500, 0},
	{"no last chunk, end", ends(inPieces+"6\r\nvalid\n\r\n", ended),
		500, 0},
	{"half a last chunk, end", ends(inPieces+"6\r\nvalid\n\r\n0\r\n",
		ended), 500, 0},
	{"no last chunk, reset", ends(inPieces+"6\r\nvalid\n\r\n",
		cutOff), 500, 0},
	{"chunks", plays(inPieces + "6\r\nvalid\n\r\n0\r\n\r\n"),
		200, 1},
	{"noise without end", ends("", endless("no answer at all")), 500, 0},
	{"head without end", ends("HTTP/1.1 200 OK\r\n", endless("X-Pad: pad\r\n")), 500, 0},
	{"3 GB claimed", ends("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
		endless("0123456789abcdef")), 500, 0},
	{"3 GB in a chunk", plays(inPieces + "C0000000\r\n"), 500, 0},
	{"two lengths", plays("HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Length: 5\r\n\r\nvalid\n"), 500, 0},
	{"interim answers ahead", plays("HTTP/1.1 103 A\r\n\r\nHTTP/1.1 102 B\r\n\r\n" + okay), 200, 1},
	{"an interim answer alone", plays("HTTP/1.1 102 B\r\n\r\n"), 500, 0},
	{"not run", plays(away + "Content-Length: 0\r\n\r\n"), 429, 1},
	{"not run, 504", plays("HTTP/1.1 504 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 429, 1},
	{"not run, spoilt", ends(away+"Content-Length: 9\r\n\r\nno", ended), 500, 0},
	{"not run, broken", ends(away+"Content-Length: 9\r\n\r\nno", cutOff), 500, 0},
	{"not run, half a head", ends(away, cutOff), 500, 0},
	{"not run, of no status for it", plays("HTTP/1.1 500 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		500, 1},
	{"503 that does not say so", plays("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), 500, 1},
	{"a 200 that says not run", plays(strings.Replace(okay, "Content", "X-Not-Run: 1\r\nContent", 1)),
		200, 1},
	{"an answer and its end said", plays(strings.Replace(okay, "Content", "Connection: close\r\nContent", 1)),
		200, 0},
	{"an answer of HTTP/1.0", plays(strings.Replace(okay, "1.1", "1.0", 1)), 200, 0},
	{"a second answer behind", plays(okay + other), 200, 0},
	{"half an answer behind", plays(okay + "HTTP/1.1 2"), 200, 0},
}

// However a worker ends a submission, its txn gets one answer in time, that says no more than is proven: what
// may have run is neither sent again nor declined. Nothing of it is left: each place for a connection is
// free or holds one that can be used.
func TestWorkerEnds(t *testing.T) {
	for _, c := range workerEnds {
		t.Run(c.name, func(t *testing.T) {
			b := play(t, c.script)
			d := facing(t, b)
			wait := func(raw string) string { return strings.Replace(raw, "300m", "600m", 1) }
			got := <-d.calls(wait(issue("/issue", "e1")))
			if got.status != c.once || !got.whole || c.once == 200 && string(got.body) != "valid\n" {
				t.Errorf("once-only got %d %q, want %d", got.status, got.body, c.once)
			}
			if got.took > 1100*time.Millisecond { // its client waits for 600, and an answer is lost from 1100 on
				t.Errorf("it got it after %v", got.took)
			}
			if n := b.whole.Load(); n > 1 && c.once != 429 || n > 3 {
				t.Errorf("%d submissions", n)
			}
			got = <-d.calls(wait(check("/check", "e2")))
			want := map[int]int{200: 200}[c.once]
			if want == 0 {
				want = 429
			}
			if got.status != want || !got.whole || want == 200 && string(got.body) != "valid\n" {
				t.Errorf("inquiry got %d %q, want %d", got.status, got.body, want)
			}
			d.open(c.open)
			claims(t)
		})
	}
}

// The same ends again and again on one gatekeeper leave no connection counted, and no goroutine.
func TestWorkerEndsLeaveNothing(t *testing.T) {
	const times = 3
	soon := func(raw string) string { return strings.Replace(raw, "300m", "60m", 1) }
	var script atomic.Pointer[func(*leg)]
	b := play(t, func(x *leg) { (*script.Load())(x) })
	d := facing(t, b)
	before := 0
	for round := range 2 { // the first has each that is kept started
		for _, c := range workerEnds {
			script.Store(&c.script)
			for range times {
				<-d.calls(soon(issue("/issue", "n1")))
				<-d.calls(soon(check("/check", "n2")))
			}
			d.open(c.open)
			d.gk.links.CloseIdle(0) // what is kept would play its script on
			d.open(0)
		}
		until(t, "scripts play on", func() bool { return b.busy.Load() == 0 })
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

// An answer without a length that is too long to be kept passes on as it came, and is whole at its client
// only where it ended and was not reset. Guards against chunks under a head that does not say so, and against
// a reset that looks like an end.
func TestLongAnswerOfNoLength(t *testing.T) {
	body := long(200 << 10)
	head := "HTTP/1.1 200 OK\r\n\r\n"
	chunked := inPieces + "" + fmt.Sprintf("%x\r\n", len(body))
	stated := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	for _, c := range []struct {
		name   string
		script func(*leg)
		whole  bool
		open   int
	}{
		{"end", ends(head+string(body), ended), true, 0},
		{"reset", ends(head+string(body), cutOff), false, 0},
		{"chunks, no last, end", ends(chunked+string(body)+"\r\n", ended), false, 0},
		{"chunks, no last, reset", ends(chunked+string(body)+"\r\n", cutOff), false, 0},
		{"chunks, whole", plays(chunked + string(body) + "\r\n0\r\n\r\n"), true, 1},
		{"length, short, end", ends(stated+string(body[:150<<10]), ended), false, 0},
		{"length, short, reset", ends(stated+string(body[:150<<10]), cutOff), false, 0},
		{"length, whole", plays(stated + string(body)), true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := play(t, c.script)
			d := facing(t, b)
			got := <-d.calls(patient(issue("/issue", "l1")))
			if got.status != 200 || got.whole != c.whole || c.whole && !bytes.Equal(got.body, body) {
				t.Errorf("got %d, %d bytes of %d, whole %v, want %v", got.status, len(got.body), len(body), got.whole,
					c.whole)
			}
			if !bytes.HasPrefix(body, got.body) {
				t.Error("its bytes are not the worker's")
			}
			d.open(c.open)
			if n := b.whole.Load(); n != 1 {
				t.Errorf("%d submissions", n)
			}
		})
	}
}

// An answer in chunks without end is broken off for its client, at MostBody.
func TestAnswerWithoutEnd(t *testing.T) {
	piece := "10000\r\n" + string(long(0x10000)) + "\r\n"
	b := play(t, ends(inPieces+"", endless(piece)))
	d := facing(t, b)
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprint(c, patient(issue("/issue", "w1")))
	got, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, got.Body); err == nil || n > transport.MaxBodyBytes {
		t.Errorf("got %d bytes, %v", n, err)
	}
	d.open(0)
}

// What a worker says on a connection beyond its answer is never another txn's: one behind an answer that was
// kept or passed on as it came, one that comes on the connection once it is idle, half a line, an end. The
// next txn goes out on a new connection, and gets its own answer.
func TestNeverAnothersAnswer(t *testing.T) {
	body := long(100 << 10)
	stated := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)) + string(body)
	chunked := inPieces + "" + fmt.Sprintf("%x\r\n", len(body)) +
		string(body) + "\r\n0\r\n\r\n"
	for _, c := range []struct {
		name, first string
		then        func(*leg) // once the client has its answer
		want        []byte
	}{
		{"a second answer behind", okay + other, nil, []byte("valid\n")},
		{"a second answer behind a long one", stated + other, nil, body},
		{"a second answer behind one in chunks", chunked + other, nil, body},
		{"half a line behind a long one", stated + "HTTP/1.1 2", nil, body},
		{"a second answer, later", okay, func(x *leg) { x.says(other) }, []byte("valid\n")},
		{"half a line, later", okay, func(x *leg) { x.says("HTTP/1.1 20") }, []byte("valid\n")},
		{"an end, later", okay, func(x *leg) { x.shuts() }, []byte("valid\n")},
		{"noise behind a long one, later", stated, func(x *leg) { x.says("noise") }, body},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := play(t, nil)
			d := facing(t, b)
			got := d.calls(patient(issue("/issue", "a1")))
			x := b.leg()
			defer x.Close()
			x.request()
			// In one write, so that what is read of the answer's end has what is behind it in it.
			x.says(c.first)
			if a := <-got; a.status != 200 || !a.whole || !bytes.Equal(a.body, c.want) {
				t.Fatalf("the first got %d, %d bytes, whole %v", a.status, len(a.body), a.whole)
			}
			if c.then != nil {
				d.open(1)
				c.then(x)
			}
			got = d.calls(patient(issue("/issue", "a2")))
			y := b.leg()
			defer y.Close()
			y.request()
			y.says(strings.Replace(okay, "valid", "fresh", 1))
			if a := <-got; a.status != 200 || string(a.body) != "fresh\n" || b.whole.Load() != 2 {
				t.Errorf("the second got %d %q after %d submissions", a.status, a.body, b.whole.Load())
			}
			d.open(1)
		})
	}
}

// An answer that comes when its txn has been given up on, at its expiry, changes nothing: its client has had
// one answer and gets no other, and the connection is not used again.
func TestAnswerBehindItsExpiry(t *testing.T) {
	b := play(t, nil)
	d := facing(t, b)
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprint(c, issue("/issue", "x1"))
	x := b.leg()
	defer x.Close()
	x.request()
	r := bufio.NewReader(c)
	if a, err := http.ReadResponse(r, nil); err != nil || a.StatusCode != 500 {
		t.Fatalf("got %+v, %v", a, err)
	}
	x.says(okay)
	d.open(0)
	fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n") // the next thing that comes is the answer to this
	if a, err := http.ReadResponse(r, nil); err != nil || a.StatusCode != 200 || a.ContentLength == 6 {
		t.Errorf("behind it came %+v, %v", a, err)
	}
	if claims(t); b.whole.Load() != 1 {
		t.Errorf("%d submissions", b.whole.Load())
	}
}

// begins reads a submission's head and so many bytes of its body.
func (x *leg) begins(n int64) {
	x.of.t.Helper()
	req, err := http.ReadRequest(x.r)
	if err == nil {
		_, err = io.CopyN(io.Discard, req.Body, n)
	}
	if err != nil {
		x.of.t.Error(err)
	}
}

// uploads begins a once-only txn with a body of so many bytes, of which some are sent.
func (d *deployment) uploads(id string, size, sent int) (net.Conn, *bufio.Reader) {
	d.t.Helper()
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprint(c, strings.Replace(patient(issue("/issue", id)), "Length: 0", fmt.Sprint("Length: ", size), 1))
	go c.Write(make([]byte, sent)) // the gatekeeper need not take it all
	return c, bufio.NewReader(c)
}

// A worker has made no answer for a txn whose body it has not got: a second answer to the one before, on a
// connection that is used again for a long body, settles nothing. What is not whole never ran.
func TestSecondAnswerUnderABody(t *testing.T) {
	b := play(t, nil)
	d := facing(t, b)
	got := d.calls(patient(issue("/issue", "u1")))
	x := b.leg()
	x.request()
	x.says(okay)
	<-got
	d.open(1)
	const size = 300 << 10
	c, r := d.uploads("u2", size, size/3)
	x.begins(1 << 10)
	x.says(other)
	a, err := http.ReadResponse(r, nil)
	if err != nil || a.StatusCode != http.StatusTooManyRequests {
		t.Errorf("it got %+v, %v", a, err)
	}
	x.rests()
	d.open(0)
	c.Write(make([]byte, size-size/3)) // and its connection goes on
	fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
	if a, err = http.ReadResponse(r, nil); err != nil || a.StatusCode != 200 || b.whole.Load() != 1 {
		t.Errorf("behind it %+v, %v, %d submissions", a, err, b.whole.Load())
	}
}

// An answer of no length to half a body, and then a reset: whoever of the two that read and write meets the
// reset first, it is no end.
func TestResetUnderABody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for _, text := range []string{head + "valid\n", head, "", head[:11]} {
		t.Run(fmt.Sprint(len(text)), func(t *testing.T) {
			b := play(t, nil)
			d := facing(t, b)
			const size = 8 << 20
			_, r := d.uploads("r1", size, size/2)
			x := b.leg()
			x.begins(1 << 10)
			x.says(text)
			x.resets()
			if a, err := http.ReadResponse(r, nil); err != nil || a.StatusCode != http.StatusTooManyRequests {
				t.Errorf("it got %+v, %v", a, err)
			}
			d.open(0)
			if n := b.whole.Load(); n != 0 {
				t.Errorf("%d submissions", n)
			}
		})
	}
}

// A worker that hangs in the middle of a long body, and says nothing, is left after BodyPause: the txn has
// its answer then, also where submissions may not be withdrawn. Guards against a wait for an answer without
// end.
func TestWorkerHangsUnderABody(t *testing.T) {
	for _, swap := range []string{`"cancel":true`, `"cancel":false`} {
		t.Run(swap, func(t *testing.T) {
			t.Parallel()
			b := play(t, nil)
			d := facing(t, b, `"cancel":true`, swap)
			const size = 16 << 20
			_, r := d.uploads("h1", size, size)
			x := b.leg()
			defer x.Close()
			x.begins(1 << 10)
			if a, err := http.ReadResponse(r, nil); err != nil || a.StatusCode != http.StatusTooManyRequests {
				t.Errorf("it got %+v, %v", a, err)
			}
			d.open(0)
		})
	}
}

// An answer that comes before its body is passed on at once, though the worker takes no more of that and
// leaves the connection up. Guards against one that is held back for BodyPause.
func TestAnswerAheadOfBodyAtOnce(t *testing.T) {
	b := play(t, nil)
	d := facing(t, b)
	const size = 16 << 20
	_, r := d.uploads("f1", size, size)
	x := b.leg()
	defer x.Close()
	x.SetReadBuffer(4 << 10)
	x.begins(1 << 10)
	write := runtime.FuncForPC(reflect.ValueOf((*transport.WorkerConn).Write).Pointer()).Name() // as in a stack
	stack := make([]byte, 1<<20)
	until(t, "nothing more goes to it", func() bool {
		for _, s := range strings.Split(string(stack[:runtime.Stack(stack, true)]), "\n\n") {
			if strings.Contains(s, "[IO wait") && strings.Contains(s, write+"(") {
				return true
			}
		}
		return false
	})
	start := time.Now()
	x.says(away + "Content-Length: 0\r\n\r\n")
	a, err := http.ReadResponse(r, nil)
	if took := time.Since(start); err != nil || a.StatusCode != 429 || took > 1500*time.Millisecond {
		t.Errorf("it got %+v, %v after %v", a, err, took)
	}
	d.open(0)
}

// An interim answer that comes while a long body goes out begins no answer that may not pause: the body takes
// its time.
func TestInterimUnderABody(t *testing.T) {
	b := play(t, nil)
	d := facing(t, b)
	const size = 200 << 10
	c, r := d.uploads("i1", size, size/2)
	x := b.leg()
	defer x.Close()
	req, err := http.ReadRequest(x.r)
	if err != nil {
		t.Fatal(err)
	}
	x.says("HTTP/1.1 102 On\r\n\r\n")
	time.Sleep(250 * time.Millisecond) // longer than an answer may pause
	c.Write(make([]byte, size-size/2))
	if n, err := io.Copy(io.Discard, req.Body); n != size || err != nil {
		t.Fatalf("the worker got %d bytes, %v", n, err)
	}
	x.says(okay)
	a, err := http.ReadResponse(r, nil)
	if err != nil || a.StatusCode != 200 {
		t.Fatalf("it got %+v, %v", a, err)
	}
	d.open(1)
	got := d.calls(patient(issue("/issue", "i2"))) // and the connection is good for another
	x.request()
	x.says(okay)
	if a := <-got; a.status != 200 {
		t.Errorf("the next got %d", a.status)
	}
}

// No submission of a txn begins while the one before is still out on an open connection: what is no answer
// ends its connection first. The stand-in looks at it in the moment in which the next one has come whole.
func TestNoOverlap(t *testing.T) {
	const established = 1
	for _, c := range []struct{ name, says string }{
		{"noise", "what is this, then?\r\n\r\n"},
		{"half a status line", "HTTP/1.1 20"},
		{"length too short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nvalid\n"},
		{"an error that goes on", "HTTP/1.1 500 No\r\nContent-Length: 200000\r\n\r\nno"},
		{"an error of no length", "HTTP/1.1 500 No\r\n\r\nno"},
		{"not run, half", away + "Content-Length: 9\r\n\r\nno"},
		{"silence", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := play(t, nil)
			d := facing(t, b)
			got := d.calls(patient(check("/check", "o1")))
			x := b.leg()
			defer x.Close()
			x.request()
			x.says(c.says)
			y := b.leg()
			defer y.Close()
			y.request()
			state := uint8(0)
			x.settles(func(_ int, is uint8) bool { state = is; return true })
			if state == established {
				t.Error("the one before is still out")
			}
			y.says(okay)
			if a := <-got; a.status != 200 || b.whole.Load() != 2 {
				t.Errorf("it got %d after %d submissions", a.status, b.whole.Load())
			}
			d.open(1)
		})
	}
}

// The same where the body goes out whole while the second answer is still coming: it says nothing of this
// txn, which may run.
func TestSecondAnswerAcrossABody(t *testing.T) {
	b := play(t, nil)
	d := facing(t, b)
	const size = 300 << 10
	c, r := d.uploads("c1", size, size/3)
	x := b.leg()
	defer x.Close()
	req, err := http.ReadRequest(x.r)
	if err != nil {
		t.Fatal(err)
	}
	x.says("HTTP/1.1 200 OK\r\nX-Pad: ")
	got := make(chan int64)
	go func() {
		n, _ := io.Copy(io.Discard, req.Body)
		got <- n
	}()
	go c.Write(make([]byte, size-size/3))
	for whole := false; !whole; { // it goes on coming, slowly, until the body is there
		select {
		case n := <-got:
			if whole = true; n != size {
				t.Fatalf("the worker got %d bytes", n)
			}
		case <-time.After(5 * time.Millisecond):
			x.says("x")
		}
	}
	x.says("\r\nContent-Length: 6\r\n\r\nother\n")
	if a, err := http.ReadResponse(r, nil); err != nil || a.StatusCode != http.StatusInternalServerError {
		t.Errorf("it got %+v, %v", a, err)
	}
	d.open(0)
}
