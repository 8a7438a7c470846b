package lifecycle

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/policy"
)

// stopInBackground stops the gateway, and gives a function that waits for the end and gives how long it
// took.
func (d *deployment) stopInBackground() (elapsed func() time.Duration) {
	from, ended := time.Now(), make(chan time.Duration, 1)
	go func() {
		d.gateway.Stop()
		ended <- time.Since(from)
	}()
	return func() time.Duration {
		d.t.Helper()
		select {
		case t := <-ended:
			return t
		case <-time.After(6 * time.Second):
			d.t.Fatal("the gateway does not stop")
			return 0
		}
	}
}

func (d *deployment) dial() net.Conn {
	d.t.Helper()
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { c.Close() })
	return c
}

// fullBacklog is an address at which connections never come up: its listener's backlog is full.
func fullBacklog(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	for range 4 {
		c, err := net.DialTimeout("tcp", at.String(), 50*time.Millisecond)
		if err != nil {
			return at
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("its backlog is never full")
	return at
}

// TestStopInEachRequestState stops with a request in each state that it can be in. It has one complete
// response, nothing is sent for it afterwards, its connection ends behind that and is not reset, and the
// process ends.
func TestStopInEachRequestState(t *testing.T) {
	const settled, declined, voided = "HTTP/1.1 200 OK", "HTTP/1.1 429 Too Many Requests",
		"HTTP/1.1 500 Internal Server Error"
	connects := []string{`"connect_timeout_us":100000`, `"connect_timeout_us":5000000`}
	requestID := fmt.Sprint("stop-", os.Getpid(), "-", time.Now().UnixNano()) // of no other test on this machine
	attemptsFor := func(d *deployment) (n int) {
		for _, s := range d.submissions() {
			if strings.Contains(s, "X-Request-Id: "+requestID+"\r\n") {
				n++
			}
		}
		return n
	}
	inFlight := func(d *deployment) bool { return d.gateway.frontend.ActiveRequests() == 1 }
	sent := func(d *deployment) bool { return attemptsFor(d) == 1 }
	longDeadline := func(raw string) string { return strings.Replace(raw, "300m", "900m", 1) }
	for _, c := range []struct {
		name, raw, status string
		swaps             []string
		change            func(*deployment, *config.Gateway)
		sentBytes         int // before the stop; 0 is all
		reached           func(*deployment) bool
		maxAttempts       int // at most
	}{
		{name: "in its headers", raw: checkRequest("/check", requestID), sentBytes: 40, status: settled,
			maxAttempts: 1},
		{name: "in its body", raw: saleRequest("/sale", requestID),
			sentBytes: len(saleRequest("/sale", requestID)) - 2, status: settled, maxAttempts: 1},
		{name: "connecting", raw: checkRequest("/check", requestID), swaps: connects, status: declined,
			change: func(d *deployment, c *config.Gateway) {
				c.KnownEndpoints.Workers[0].Address = fullBacklog(d.t)
			}, reached: inFlight},
		{name: "sent, worker slow", raw: longDeadline(issueRequest("/issue?slow", requestID)),
			status: settled, reached: sent, maxAttempts: 1},
		{name: "sent, worker hangs", raw: longDeadline(issueRequest("/issue?silence", requestID)),
			status: voided, reached: sent, maxAttempts: 1},
		{name: "half answered, then cut", raw: longDeadline(issueRequest("/issue?cutshort", requestID)),
			status: voided, reached: sent, maxAttempts: 1},
		{name: "half answered, then silent", raw: longDeadline(issueRequest("/issue?stall", requestID)),
			status: voided, reached: sent, maxAttempts: 1},
		{name: "half answered, then retried", raw: checkRequest("/check?cutshort", requestID), status: declined,
			maxAttempts: 3},
		{name: "no worker", raw: checkRequest("/check", requestID), status: declined,
			change: func(_ *deployment, c *config.Gateway) { c.KnownEndpoints.Workers = nil }},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &deployment{t: t}
			d = deployWith(t, func(conf *config.Gateway) {
				if c.change != nil {
					c.change(d, conf)
				}
			}, 1, 5000, c.swaps...)
			keptConn := d.dial()
			sentBytes := c.sentBytes
			if sentBytes == 0 {
				sentBytes = len(c.raw)
			}
			fmt.Fprint(keptConn, c.raw[:sentBytes])
			if c.reached != nil {
				waitFor(t, "the request does not get into the state", func() bool { return c.reached(d) })
			}
			elapsed := d.stopInBackground()
			fmt.Fprint(keptConn, c.raw[sentBytes:])
			keptConn.SetDeadline(time.Now().Add(5 * time.Second))
			r := bufio.NewReader(keptConn)
			got, err := http.ReadResponse(r, nil)
			if err != nil || !strings.HasSuffix(c.status, got.Status) {
				t.Fatalf("answered %+v, %v, want %q", got, err, c.status)
			}
			if _, err := io.Copy(io.Discard, got.Body); err != nil {
				t.Error(err)
			}
			attempts := attemptsFor(d)
			if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("after its response: %v", err)
			}
			keptConn.Close()
			// It waits for 2.5 s at least where it waits for what never comes.
			if end := elapsed(); end > 2*time.Second {
				t.Errorf("stopped after %v", end)
			}
			if n := attemptsFor(d); n != attempts || n > c.maxAttempts {
				t.Errorf("%d submissions, %d when it was answered", n, attempts)
			}
			broken := inflight.Violations() // counted by the process, and so of the tests before it too
			delete(broken, "in_time")       // a busy machine may be late
			if len(broken) > 0 {
				t.Errorf("invariants violated: %v", broken)
			}
		})
	}
}

// TestStopWithBacklog: connections that are in the listener's backlog at the stop, with a request or
// without, are served.
func TestStopWithBacklog(t *testing.T) {
	d := deployWith(t, func(c *config.Gateway) { c.MaxSockets = policy.ReservedDescriptors + 4 }, 1, 5000)
	var all []net.Conn
	for i := range 6 { // of which two have places, and one is held back for one
		c := d.dial()
		fmt.Fprint(c, checkRequest("/check?slow", fmt.Sprint(i)))
		all = append(all, c)
	}
	elapsed := d.stopInBackground()
	for i, c := range all {
		if status, _ := readResponse(c); status != "HTTP/1.1 200 OK" && status != "HTTP/1.1 429 Too Many Requests" {
			t.Errorf("request %d gets %q", i, status)
		}
		c.Close()
	}
	if end := elapsed(); end > 3*time.Second {
		t.Errorf("stopped after %v", end)
	}
}

// TestStopWithPartialRequest: a request that is partly read is waited for no longer than a complete one
// could be answered, whether its headers are read or its body is streamed. Guards against a request that is
// complete just before SIGKILL, which would leave it unanswered.
func TestStopWithPartialRequest(t *testing.T) {
	long := strings.Replace(saleRequest("/sale", "2"), "Length: 4\r\n\r\na\r\nb",
		fmt.Sprintf("Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 100<<10)), 1)
	for _, c := range []struct{ name, raw string }{
		{"in its headers", checkRequest("/check", "1")[:40]},
		{"in its body", saleRequest("/sale", "1")[:len(saleRequest("/sale", "1"))-2]},
		{"in a streamed body", long},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 1, 5000)
			halfConn := d.dial()
			halfConn.SetDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprint(halfConn, c.raw)
			elapsed := d.stopInBackground()
			if status, _ := readResponse(halfConn); status != "HTTP/1.1 408 Request Timeout" {
				t.Errorf("answered %q", status)
			}
			if _, err := halfConn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("after its response: %v", err)
			}
			halfConn.Close()
			if end := elapsed(); end > 2*time.Second { // a body may pause for as long
				t.Errorf("stopped after %v", end)
			}
			if n := len(d.submissions()); n > 0 {
				t.Errorf("%d complete submissions", n)
			}
		})
	}
}

// TestStopAbortsLongRequests: a request that may not be waited for until SIGKILL is aborted by the policy
// and answered, once. Guards against a request whose client waits for longer than the process may.
func TestStopAbortsLongRequests(t *testing.T) {
	// SIGKILL comes no sooner than the longest deadline, which counts as 3 s where it is longer, and 0.7 s more.
	// The bounds leave the time for an answer; a machine that is busy with more may take longer here.
	if policy.StopMaxWaitMillis > 3000 || policy.StopGraceMillis > 600 {
		t.Errorf("requests are aborted after %g and %g ms", policy.StopMaxWaitMillis, policy.StopGraceMillis)
	}
	for _, c := range []struct {
		name             string
		swaps            []string
		earliest, latest time.Duration
	}{
		{"no deadlines configured", nil, 3 * time.Second, 4500 * time.Millisecond},
		{"one is long", []string{`"aim_us":400000`, `"aim_us":400000,"hard_limit_us":90000000`}, 3 * time.Second,
			4500 * time.Millisecond},
		{"all are short", []string{`"aim_us":400000`, `"aim_us":400000,"hard_limit_us":1000000`}, time.Second,
			2500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 1, 5000, append(c.swaps, `"cancel":true`, `"cancel":false`)...)
			testStopAborts(t, d, c.earliest, c.latest)
		})
	}
}

func testStopAborts(t *testing.T, d *deployment, earliest, latest time.Duration) {
	t.Helper()
	c := d.dial()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	fmt.Fprint(c, strings.Replace(issueRequest("/issue?silence", "1"), "300m", "30000m", 1))
	waitFor(t, "the request is not sent", func() bool { return len(d.submissions()) == 1 })
	from := time.Now()
	elapsed := d.stopInBackground()
	if status, _ := readResponse(c); status != "HTTP/1.1 500 Internal Server Error" {
		t.Errorf("answered %q", status)
	}
	if end := time.Since(from); end > latest || end < earliest {
		t.Errorf("answered after %v", end)
	}
	c.Close()
	if end := elapsed(); end > latest {
		t.Errorf("stopped after %v", end)
	}
	if n := len(d.submissions()); n != 1 {
		t.Errorf("%d submissions", n)
	}
}

// TestStopWithSlowReader: a client that reads slowly has its complete response although the gateway stops,
// and what it sends meanwhile is answered too.
func TestStopWithSlowReader(t *testing.T) {
	const size = 8 << 20
	body := testBody(size)
	d := deployBeforeHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		w.Write(body)
	})
	c := d.dial()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	waits := func(id string) string { return strings.Replace(checkRequest("/check", id), "300m", "3000m", 1) }
	fmt.Fprint(c, waits("1"))
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatal(res, err)
	}
	elapsed := d.stopInBackground()
	waitFor(t, "the stop does not begin", d.gateway.frontend.Closing)
	fmt.Fprint(c, waits("2")) // it has crossed the announced end, which comes after the response: it is served
	n, err := io.Copy(io.Discard, res.Body)
	if n != size || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	if res, err = http.ReadResponse(r, nil); err != nil || !res.Close {
		t.Fatalf("the next response: %+v, %v", res, err)
	}
	n, err = io.Copy(io.Discard, res.Body)
	// So slow a response may overload its worker.
	declined := res.StatusCode == http.StatusTooManyRequests && n == 0
	if settled := res.StatusCode == http.StatusOK && n == size; err != nil || !settled && !declined {
		t.Errorf("the next: %s, %d bytes, %v", res.Status, n, err)
	}
	c.Close()
	if end := elapsed(); end > 3*time.Second {
		t.Errorf("stopped after %v", end)
	}
}

// TestStopSignals: SIGTERM during the start, and a second one among reloads, stop the gateway.
func TestStopSignals(t *testing.T) {
	for _, c := range []struct {
		name   string
		during bool // the start
		again  bool
	}{{"as it has started", true, false}, {"twice, with reloads", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
			if c.during {
				stop <- syscall.SIGTERM
			}
			d := deploy(t, 1, 5000)
			keptConn := d.dial()
			fmt.Fprint(keptConn, strings.Replace(issueRequest("/issue?slow", "1"), "300m", "3000m", 1))
			waitFor(t, "the request is not sent", func() bool { return len(d.submissions()) == 1 })
			ended := make(chan error, 1)
			go func() {
				ended <- d.gateway.Run(stop, reload, func() (config.Gateway, error) { return d.config, nil })
			}()
			for range 3 {
				if c.again {
					reload <- syscall.SIGHUP
					stop <- syscall.SIGTERM
					waitFor(t, "the reload is not applied", func() bool { return len(reload) == 0 })
					if len(stop) > 0 {
						<-stop // a signal that finds its channel full is dropped
					}
				}
			}
			if status, _ := readResponse(keptConn); status != "HTTP/1.1 200 OK" {
				t.Errorf("the request in flight is answered %q", status)
			}
			keptConn.Close()
			select {
			case err := <-ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(3 * time.Second):
				t.Fatal("the gateway does not stop")
			}
		})
	}
}

// TestClientHalfCloses: a client that closes its sending side counts as disconnected: nothing more is sent
// for it. It is answered all the same, at once.
func TestClientHalfCloses(t *testing.T) {
	for _, c := range []struct{ name, more string }{{"", ""}, {"behind more bytes", "GET"}} {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 1, 5000)
			keptConn := d.dial().(*net.TCPConn)
			fmt.Fprint(keptConn, strings.Replace(checkRequest("/check?silence", "1"), "300m", "30000m", 1)+c.more)
			waitFor(t, "the request is not sent", func() bool { return len(d.submissions()) == 1 })
			from := time.Now()
			keptConn.CloseWrite()
			if status, _ := readResponse(keptConn); status != "HTTP/1.1 500 Internal Server Error" {
				t.Errorf("answered %q", status)
			}
			if elapsed := time.Since(from); elapsed > 300*time.Millisecond {
				t.Errorf("answered after %v", elapsed)
			}
			tally := d.gateway.dispatcher.Tally()
			if tally.FinalByReason[policy.ReasonClientGone] != 1 || tally.InFlight != 0 || len(d.submissions()) != 1 {
				t.Errorf("%+v, %d submissions", tally, len(d.submissions()))
			}
		})
	}
}

// TestClientPipelinesAndDisconnects: the disconnect of a client that has sent much at once is noticed behind
// that: no attempt follows.
func TestClientPipelinesAndDisconnects(t *testing.T) {
	d := deploy(t, 2, 5000)
	for _, w := range d.workers {
		w.silent = true
	}
	c := d.dial().(*net.TCPConn)
	waits := func(id string) string {
		return strings.Replace(checkRequest("/check?silence", id), "300m", "30000m", 1)
	}
	fmt.Fprint(c, waits("1"))
	waitFor(t, "the request is not sent", func() bool { return len(d.submissions()) == 1 })
	fmt.Fprint(c, waits("2")+waits("3")+waits("4"))
	c.Close()
	waitFor(t, "the disconnect is not noticed", func() bool {
		return d.gateway.dispatcher.Tally().FinalByReason[policy.ReasonClientGone] > 0
	})
	n := len(d.submissions())
	time.Sleep(200 * time.Millisecond)
	if tally := d.gateway.dispatcher.Tally(); len(d.submissions()) != n || n > 1 || tally.InFlight != 0 {
		t.Errorf("%d submissions, %+v", len(d.submissions()), tally)
	}
}

// TestStopSuccessor: a successor that is stopped before the handoff ends, and the predecessor goes on. One
// that is stopped during the handoff stays until it has been given all.
func TestStopSuccessor(t *testing.T) {
	d, change := deployWithInheritedListener(t)
	keptConn := d.dial()
	fmt.Fprint(keptConn, checkRequest("/check", "k1"))
	readResponse(keptConn)
	g := d.startSuccessor(change)
	ended := make(chan bool)
	go func() {
		g.Stop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Fatal("a successor before the handoff does not stop")
	}
	fmt.Fprint(keptConn, checkRequest("/check", "k2"))
	if status, _ := readResponse(
		keptConn,
	); status != "HTTP/1.1 200 OK" ||
		d.gateway.handoff.Load().HasSuccessor() {
		t.Errorf("the predecessor answers %q", status)
	}

	busyConn := d.dial()
	fmt.Fprint(busyConn, strings.Replace(issueRequest("/issue?silence", "b1"), "300m", "1500m", 1))
	waitFor(t, "the request is not sent", func() bool { return len(d.submissions()) == 3 })
	g = d.startSuccessor(change)
	elapsed := d.stopInBackground()
	waitFor(t, "the handoff does not start", g.takeover.started.Load)
	second := make(chan bool)
	go func() {
		g.Stop()
		close(second)
	}()
	if status, _ := readResponse(busyConn); status != "HTTP/1.1 500 Internal Server Error" {
		t.Errorf("the request in flight is answered %q", status)
	}
	select {
	case <-second:
		t.Error("the successor stopped before all was handed off")
	default:
	}
	for _, c := range []net.Conn{keptConn, busyConn} {
		c.SetDeadline(time.Now().Add(2 * time.Second))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("an open connection ends with %v", err)
		}
		c.Close()
	}
	elapsed()
	select {
	case <-second:
	case <-time.After(3 * time.Second):
		t.Fatal("the successor does not stop")
	}
}
