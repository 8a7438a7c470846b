package lifecycle

import (
	"bufio"
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

// stop has it stop, and gives what waits for the end of that and tells how long it took.
func (d *deployment) stop() (took func() time.Duration) {
	from, over := time.Now(), make(chan time.Duration, 1)
	go func() {
		d.gk.Stop()
		over <- time.Since(from)
	}()
	return func() time.Duration {
		d.t.Helper()
		select {
		case t := <-over:
			return t
		case <-time.After(6 * time.Second):
			d.t.Fatal("it does not end")
			return 0
		}
	}
}

func (d *deployment) dial() net.Conn {
	d.t.Helper()
	c, err := net.Dial("tcp", d.at)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { c.Close() })
	return c
}

// deaf is an address at which connections never come up: all that its listener holds are there already.
func deaf(t *testing.T) netip.AddrPort {
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
	t.Fatal("it takes all")
	return at
}

// The order to stop meets a txn in each state that it can be in. It has one whole answer, nothing is sent for
// it after, its connection ends behind that and is not reset, and the process ends.
func TestStopInEachState(t *testing.T) {
	const settled, declined, voided = "HTTP/1.1 200 OK", "HTTP/1.1 429 Too Many Requests",
		"HTTP/1.1 500 Internal Server Error"
	connects := []string{`"connect_timeout_us":100000`, `"connect_timeout_us":5000000`}
	mark := fmt.Sprint("stop-", os.Getpid(), "-", time.Now().UnixNano()) // of no other test on this machine
	count := func(d *deployment) (n int) {
		for _, s := range d.got() {
			if strings.Contains(s, "X-Request-Id: "+mark+"\r\n") {
				n++
			}
		}
		return n
	}
	inHand := func(d *deployment) bool { return d.gk.front.ActiveRequests() == 1 }
	sent := func(d *deployment) bool { return count(d) == 1 }
	patient := func(raw string) string { return strings.Replace(raw, "300m", "900m", 1) }
	for _, c := range []struct {
		name, raw, status string
		swaps             []string
		spoil             func(*deployment, *config.Gateway)
		cut               int // bytes that come before the order; 0 is all
		in                func(*deployment) bool
		subs              int // at most
	}{
		{name: "being read, in its head", raw: check("/check", mark), cut: 40, status: settled, subs: 1},
		{name: "being read, in its body", raw: sale("/sale", mark), cut: len(sale("/sale", mark)) - 2,
			status: settled, subs: 1},
		{name: "connecting", raw: check("/check", mark), swaps: connects, status: declined,
			spoil: func(d *deployment, c *config.Gateway) { c.KnownEndpoints.Workers[0].Address = deaf(d.t) },
			in:    inHand},
		{name: "sent, worker slow", raw: patient(issue("/issue?slow", mark)),
			status: settled, in: sent, subs: 1},
		{name: "sent, worker hung", raw: patient(issue("/issue?silence", mark)), status: voided, in: sent,
			subs: 1},
		{name: "half answered, and cut", raw: patient(issue("/issue?cutshort", mark)), status: voided, in: sent,
			subs: 1},
		{name: "half answered, and hung", raw: patient(issue("/issue?stall", mark)), status: voided, in: sent,
			subs: 1},
		{name: "half answered, tried again", raw: check("/check?cutshort", mark), status: declined, subs: 3},
		{name: "nobody to submit it to", raw: check("/check", mark), status: declined,
			spoil: func(_ *deployment, c *config.Gateway) { c.KnownEndpoints.Workers = nil }},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &deployment{t: t}
			d = deployWith(t, func(conf *config.Gateway) {
				if c.spoil != nil {
					c.spoil(d, conf)
				}
			}, 1, 5000, c.swaps...)
			kept := d.dial()
			cut := c.cut
			if cut == 0 {
				cut = len(c.raw)
			}
			fmt.Fprint(kept, c.raw[:cut])
			if c.in != nil {
				until(t, "it does not get there", func() bool { return c.in(d) })
			}
			took := d.stop()
			fmt.Fprint(kept, c.raw[cut:])
			kept.SetDeadline(time.Now().Add(5 * time.Second))
			r := bufio.NewReader(kept)
			got, err := http.ReadResponse(r, nil)
			if err != nil || !strings.HasSuffix(c.status, got.Status) {
				t.Fatalf("answered %+v, %v, want %q", got, err, c.status)
			}
			if _, err := io.Copy(io.Discard, got.Body); err != nil {
				t.Error(err)
			}
			subs := count(d)
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("behind its answer: %v", err)
			}
			kept.Close()
			if end := took(); end > 2*time.Second { // it waits for 2.5 s at least where it waits for what never comes
				t.Errorf("it ended after %v", end)
			}
			if n := count(d); n != subs || n > c.subs {
				t.Errorf("%d submissions, %d when it was answered", n, subs)
			}
			broken := inflight.Violations() // the process's, and so of the tests before it too
			delete(broken, "in_time")       // a machine that is busy with more may be late
			if len(broken) > 0 {
				t.Errorf("claims broken: %v", broken)
			}
		})
	}
}

// Connections that wait in the listener when the order comes, with a txn in them or without, are served.
func TestStopWithBacklog(t *testing.T) {
	d := deployWith(t, func(c *config.Gateway) { c.MaxSockets = policy.ReservedDescriptors + 4 }, 1, 5000)
	var all []net.Conn
	for i := range 6 { // of which two have places, and one is held back for one
		c := d.dial()
		fmt.Fprint(c, check("/check?slow", fmt.Sprint(i)))
		all = append(all, c)
	}
	took := d.stop()
	for i, c := range all {
		if status, _ := read(c); status != "HTTP/1.1 200 OK" && status != "HTTP/1.1 429 Too Many Requests" {
			t.Errorf("txn %d gets %q", i, status)
		}
		c.Close()
	}
	if end := took(); end > 3*time.Second {
		t.Errorf("it ended after %v", end)
	}
}

// Half a txn is waited for no longer than one that comes whole could be answered, whether its head is read or
// its body passes on. Guards against a txn that is whole just before SIGKILL, which would find it unanswered.
func TestStopInHalfTxn(t *testing.T) {
	long := strings.Replace(sale("/sale", "2"), "Length: 4\r\n\r\na\r\nb",
		fmt.Sprintf("Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 100<<10)), 1)
	for _, c := range []struct{ name, raw string }{
		{"of its head", check("/check", "1")[:40]},
		{"of its body", sale("/sale", "1")[:len(sale("/sale", "1"))-2]},
		{"of a body that passes on", long},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 1, 5000)
			half := d.dial()
			half.SetDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprint(half, c.raw)
			took := d.stop()
			if status, _ := read(half); status != "HTTP/1.1 408 Request Timeout" {
				t.Errorf("answered %q", status)
			}
			if _, err := half.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("behind its answer: %v", err)
			}
			half.Close()
			if end := took(); end > 2*time.Second { // a body may pause for as long
				t.Errorf("it ended after %v", end)
			}
			if n := len(d.got()); n > 0 {
				t.Errorf("%d whole submissions", n)
			}
		})
	}
}

// What may not be waited for any longer before SIGKILL is given up by the module and answered, once. Guards
// against a txn whose client waits for longer than the process may.
func TestStopGivesUp(t *testing.T) {
	// SIGKILL comes no sooner than the longest deadline, which counts as 3 s where it is longer, and 0.7 s more.
	// The bounds leave the time for an answer; a machine that is busy with more may take longer here.
	if policy.StopMaxWaitMillis > 3000 || policy.StopGraceMillis > 600 {
		t.Errorf("it gives up after %g and %g ms", policy.StopMaxWaitMillis, policy.StopGraceMillis)
	}
	for _, c := range []struct {
		name        string
		swaps       []string
		early, late time.Duration
	}{
		{"waits of clients are not stated", nil, 3 * time.Second, 4500 * time.Millisecond},
		{"one is long", []string{`"aim_us":400000`, `"aim_us":400000,"hard_limit_us":90000000`}, 3 * time.Second,
			4500 * time.Millisecond},
		{"all are short", []string{`"aim_us":400000`, `"aim_us":400000,"hard_limit_us":1000000`}, time.Second,
			2500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 1, 5000, append(c.swaps, `"cancel":true`, `"cancel":false`)...)
			stopGivesUp(t, d, c.early, c.late)
		})
	}
}

func stopGivesUp(t *testing.T, d *deployment, early, late time.Duration) {
	c := d.dial()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	fmt.Fprint(c, strings.Replace(issue("/issue?silence", "1"), "300m", "30000m", 1))
	until(t, "it is not sent", func() bool { return len(d.got()) == 1 })
	from := time.Now()
	took := d.stop()
	if status, _ := read(c); status != "HTTP/1.1 500 Internal Server Error" {
		t.Errorf("answered %q", status)
	}
	if end := time.Since(from); end > late || end < early {
		t.Errorf("answered after %v", end)
	}
	c.Close()
	if end := took(); end > late {
		t.Errorf("it ended after %v", end)
	}
	if n := len(d.got()); n != 1 {
		t.Errorf("%d submissions", n)
	}
}

// A client that is slow to take its answer has it whole although the order to stop came, and what it sends
// meanwhile is answered too.
func TestStopWithSlowReader(t *testing.T) {
	const size = 8 << 20
	body := long(size)
	d := before(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		w.Write(body)
	})
	c := d.dial()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	waits := func(id string) string { return strings.Replace(check("/check", id), "300m", "3000m", 1) }
	fmt.Fprint(c, waits("1"))
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatal(res, err)
	}
	took := d.stop()
	until(t, "it goes on", d.gk.front.Closing)
	fmt.Fprint(c, waits("2")) // it has crossed the end, which comes behind the answer: it is served
	n, err := io.Copy(io.Discard, res.Body)
	if n != size || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	if res, err = http.ReadResponse(r, nil); err != nil || !res.Close {
		t.Fatalf("the next: %+v, %v", res, err)
	}
	n, err = io.Copy(io.Discard, res.Body)
	declined := res.StatusCode == http.StatusTooManyRequests && n == 0 // so slow an answer may press its worker
	if settled := res.StatusCode == http.StatusOK && n == size; err != nil || !settled && !declined {
		t.Errorf("the next: %s, %d bytes, %v", res.Status, n, err)
	}
	c.Close()
	if end := took(); end > 3*time.Second {
		t.Errorf("it ended after %v", end)
	}
}

// An order to stop that came while the process started, and one that comes again beside reloads, stop it.
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
			kept := d.dial()
			fmt.Fprint(kept, strings.Replace(issue("/issue?slow", "1"), "300m", "3000m", 1))
			until(t, "it is not sent", func() bool { return len(d.got()) == 1 })
			ended := make(chan error, 1)
			go func() {
				ended <- d.gk.Run(stop, reload, func() (config.Gateway, error) { return d.conf, nil })
			}()
			for range 3 {
				if c.again {
					reload <- syscall.SIGHUP
					stop <- syscall.SIGTERM
					until(t, "the reload is not taken", func() bool { return len(reload) == 0 })
					if len(stop) > 0 {
						<-stop // a signal that finds its channel full is dropped
					}
				}
			}
			if status, _ := read(kept); status != "HTTP/1.1 200 OK" {
				t.Errorf("what was in hand gets %q", status)
			}
			kept.Close()
			select {
			case err := <-ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(3 * time.Second):
				t.Fatal("it does not end")
			}
		})
	}
}

// A client that only ends its sending has gone, as one that closes: nothing more is sent for it. It is
// answered all the same, at once.
func TestClientHalfCloses(t *testing.T) {
	for _, c := range []struct{ name, more string }{{"", ""}, {"behind more bytes", "GET"}} {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 1, 5000)
			kept := d.dial().(*net.TCPConn)
			fmt.Fprint(kept, strings.Replace(check("/check?silence", "1"), "300m", "30000m", 1)+c.more)
			until(t, "it is not sent", func() bool { return len(d.got()) == 1 })
			from := time.Now()
			kept.CloseWrite()
			if status, _ := read(kept); status != "HTTP/1.1 500 Internal Server Error" {
				t.Errorf("answered %q", status)
			}
			if took := time.Since(from); took > 300*time.Millisecond {
				t.Errorf("answered after %v", took)
			}
			tally := d.gk.desk.Tally()
			if tally.FinalByReason[policy.ReasonClientGone] != 1 || tally.InFlight != 0 || len(d.got()) != 1 {
				t.Errorf("%+v, %d submissions", tally, len(d.got()))
			}
		})
	}
}

// A client that sends much at once and goes is seen behind what it has sent: no attempt follows.
func TestClientSendsMuchAndGoes(t *testing.T) {
	d := deploy(t, 2, 5000)
	for _, w := range d.workers {
		w.mute = true
	}
	c := d.dial().(*net.TCPConn)
	waits := func(id string) string {
		return strings.Replace(check("/check?silence", id), "300m", "30000m", 1)
	}
	fmt.Fprint(c, waits("1"))
	until(t, "it is not sent", func() bool { return len(d.got()) == 1 })
	fmt.Fprint(c, waits("2")+waits("3")+waits("4"))
	c.Close()
	until(t, "it is not seen", func() bool { return d.gk.desk.Tally().FinalByReason[policy.ReasonClientGone] > 0 })
	n := len(d.got())
	time.Sleep(200 * time.Millisecond)
	if tally := d.gk.desk.Tally(); len(d.got()) != n || n > 1 || tally.InFlight != 0 {
		t.Errorf("%d submissions, %+v", len(d.got()), tally)
	}
}

// An heir that is told to stop before the place is its own ends, and the process before goes on as it was.
// One told so while the place is being left to it stays until it has been given all.
func TestStopOfHeir(t *testing.T) {
	d, change := heldListener(t)
	kept := d.dial()
	fmt.Fprint(kept, check("/check", "k1"))
	read(kept)
	g := d.second(change)
	ended := make(chan bool)
	go func() {
		g.Stop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Fatal("an heir without its place does not end")
	}
	fmt.Fprint(kept, check("/check", "k2"))
	if status, _ := read(kept); status != "HTTP/1.1 200 OK" || d.gk.owner.Load().HasSuccessor() {
		t.Errorf("the process before it answers %q", status)
	}

	busy := d.dial()
	fmt.Fprint(busy, strings.Replace(issue("/issue?silence", "b1"), "300m", "1500m", 1))
	until(t, "it is not sent", func() bool { return len(d.got()) == 3 })
	g = d.second(change)
	took := d.stop()
	until(t, "the place is not left", g.heir.took.Load)
	second := make(chan bool)
	go func() {
		g.Stop()
		close(second)
	}()
	if status, _ := read(busy); status != "HTTP/1.1 500 Internal Server Error" {
		t.Errorf("what was in hand gets %q", status)
	}
	select {
	case <-second:
		t.Error("the heir ended before all was handed on")
	default:
	}
	for _, c := range []net.Conn{kept, busy} {
		c.SetDeadline(time.Now().Add(2 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("a kept connection ends with %v", err)
		}
		c.Close()
	}
	took()
	select {
	case <-second:
	case <-time.After(3 * time.Second):
		t.Fatal("the heir does not end")
	}
}
