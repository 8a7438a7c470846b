package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
	"willowdeck/internal/txnjournal"
	"willowdeck/internal/txnjournal/store"
)

// waits is how long the client of each txn here waits, ms.
const waits = 4000

// told is a gate behind a front, before workers on loopback, that notes what each submission told and what
// was left of its client's time: when its first byte was about to go out, and when the worker had its head.
type told struct {
	*testing.T
	d     *Desk
	links *transport.Links
	at    string // the front's address

	mu     sync.Mutex
	before hook      // called ahead of each first byte, if set
	most   []float64 // by submission, ms
	told   []float64
	least  []float64
	came   float64          // when the txn was taken, by the desk's clock
	heard  chan struct{}    // a word for each submission that a worker has got
	answer func(n int) bool // what a worker does with the n-th, and whether it reads on
}

// Write is called right before the first byte of each submission goes out, and bounds what it may tell.
func (w *told) Write(e history.Event) {
	if e.Kind != history.Sends {
		return
	}
	w.mu.Lock()
	before := w.before
	w.mu.Unlock()
	if before != nil {
		before()
	}
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	for _, h := range w.d.txns {
		w.mu.Lock()
		w.came = min(h.ArrivedMillis, h.ExpiryMillis-waits) // less the wait for its mark, some us
		w.most = append(w.most, w.came+waits-w.d.clock.now())
		w.mu.Unlock()
	}
}

// tells starts one with workers at some addresses. A journal's disk may be slow.
func tells(t *testing.T, overlap bool, disk *store.Memory, at ...netip.AddrPort) *told {
	t.Helper()
	c := charter()
	c.Plans[0] = policy.Plan{Rate: 1000, Burst: 1000, Factor: 1}
	sla := float64(waits) // so that nothing is moved that is only late
	if c.MayOverlap = overlap; overlap {
		sla = 600
	}
	c.Products = []policy.Product{{SLA: sla, Value: 1},
		{SLA: sla, Value: 1, Repeat: policy.Referenced, Window: waits},
		{SLA: 1000, Value: 1, Repeat: policy.OnceOnly}}
	w := &told{T: t, heard: make(chan struct{}, 9), links: transport.NewLinks(8, 5*time.Second, 3*time.Second)}
	w.d = NewDesk(c, 1, 5, func(int, []byte) {}, w.links.Shed)
	w.d.Record(w)
	list := endpoints.List{Whole: true}
	for i, a := range at {
		list.Workers = append(list.Workers, endpoints.Worker{Name: fmt.Sprint("w", i), Address: a, Active: true})
	}
	w.d.Roster(list)
	g := New(w.d, w.links)
	names := config.Names{Products: map[string]int{"check": 0, "store": 1, "issue": 2},
		Plans: map[string]int{"basic": 0}}
	if disk != nil {
		terms := txnjournal.DefaultTerms()
		terms.Wait = 1000
		k := store.Keep(disk, terms, store.Who{Name: "g"}, false, 1, zerolog.Nop())
		t.Cleanup(k.Close)
		g.Journal(k, terms, c.Products, []string{"check", "store", "issue"})
	}
	f := transport.NewFront(names, c, g.Serve, func() bool { return true })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited := transport.Limit(l, 9)
	go f.Serve(limited)
	t.Cleanup(func() {
		limited.Close()
		limited.GiveUp()
		w.d.Turn()
		limited.Drain()
		f.Close()
		f.Wait()
		w.d.Stop()
	})
	w.at = l.Addr().String()
	return w
}

// asks sends a txn and gives its answer's status, and what went wrong.
func (w *told) asks(head, body string) <-chan string {
	c, err := net.Dial("tcp", w.at)
	if err != nil {
		w.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(8 * time.Second))
	line, more, _ := strings.Cut(head, "\r\n")
	if more != "" {
		more += "\r\n"
	}
	fmt.Fprintf(c, "%s HTTP/1.1\r\n%sHost: h\r\nX-Request-Id: 1\r\nPlan: basic\r\n"+
		"Cookie: key=00000000b4d65521\r\nX-Deadline: %dm\r\n"+
		"Quota-Info: units=1,spread=1,first=0\r\n\r\n%s", line, more, waits, body)
	got := make(chan string, 1)
	go func() {
		defer c.Close()
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			got <- err.Error()
			return
		}
		got <- r.Status
	}()
	return got
}

// reads is a worker's side of a connection: each submission's figure is noted, and answered as the test says.
func (w *told) reads(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	in := bufio.NewReader(c)
	for on := true; on; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		figure, unit := strings.CutSuffix(r.Header.Get("X-Deadline"), "u")
		us, err := strconv.ParseInt(figure, 10, 64)
		if err != nil || !unit {
			w.Errorf("told %q", r.Header.Get("X-Deadline"))
		}
		w.mu.Lock()
		w.told, w.least = append(w.told, float64(us)/1000), append(w.least, w.came+waits-w.d.clock.now())
		n, answer := len(w.told), w.answer
		w.mu.Unlock()
		w.heard <- struct{}{}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.Error(err)
		}
		if on = answer == nil || answer(n); on {
			c.Write([]byte(okay))
		} else {
			c.(*net.TCPConn).CloseWrite() // its descriptor is another's too, and would keep it up
		}
	}
}

// takes has a worker read from the connections that have come up.
func (w *told) takes(fds []int) {
	for _, fd := range fds {
		if dup, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0); err == nil {
			f := os.NewFile(uintptr(dup), "worker")
			c, err := net.FileConn(f)
			f.Close()
			if err != nil {
				w.Error(err)
				continue
			}
			go w.reads(c)
		}
	}
}

// judge compares, once so many submissions have come.
func (w *told) judge(n int, late float64) {
	w.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.told) != n || len(w.most) != n {
		w.Fatalf("%d submissions came, and %d went out; want %d", len(w.told), len(w.most), n)
	}
	for i, v := range w.told {
		if v > w.most[i] || v < w.least[i]-0.001 { // it is in whole us
			w.Errorf("submission %d told %.3f ms; %.3f were left before its first byte, %.3f behind its head", i, v,
				w.most[i], w.least[i])
		}
	}
	if last := w.most[n-1]; last > waits-late {
		w.Errorf("%.3f ms were left: the last was not late", last)
	}
}

// serves has workers at narrow listeners take what comes up from when a first SYN of a submission was dropped
// there, so that it comes a second later.
func (w *told) serves(held int, takes ...func() []int) (stop func()) {
	over, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for w.links.Open() <= held {
			select {
			case <-over:
				return
			case <-time.After(time.Millisecond):
			}
		}
		time.Sleep(100 * time.Millisecond) // its first SYN has been sent, and dropped
		for {
			for _, take := range takes {
				w.takes(take())
			}
			select {
			case <-over:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() {
		close(over)
		<-done
	}
}

// What a submission tells its worker is what is left of its client's time right before its first byte,
// however late its connection came up, for each kind of txn. That it comes late is forced: its first SYN
// meets a full queue, which is emptied before the next, a second later. Guards against a figure of the moment
// at which the submission was decided on: on two of the bench's short days over a fifth of the further
// submissions told more than was left.
func TestTellsWhatIsLeft(t *testing.T) {
	long := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 100<<10, strings.Repeat("x", 100<<10))
	for _, c := range []struct{ name, head, body string }{
		{"inquiry-like", "GET /check", ""},
		{"referenced", "POST /store", ""},
		{"once-only", "POST /issue", ""},
		{"once-only, written down", "POST /issue", ""},
		{"body that passes on as it comes", "POST /issue", long},
		{"body of a stated length that passes on", "POST /issue", strings.Repeat("x", 100<<10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			at, fill, take := narrow(t)
			var disk *store.Memory
			if c.name == "once-only, written down" {
				disk = store.NewMemory(1)
			}
			w := tells(t, false, disk, at)
			fill()
			stop := w.serves(0, take)
			defer stop()
			head := c.head
			switch {
			case c.body == long:
				head += "\r\nTransfer-Encoding: chunked"
			case c.head == "POST /store":
				head += "\r\nIdempotency-Key: k\r\nContent-Length: 0"
			case c.head != "GET /check":
				head += fmt.Sprintf("\r\nContent-Length: %d", len(c.body))
			}
			if s := <-w.asks(head, c.body); s != "200 OK" {
				t.Errorf("answered %s", s)
			}
			w.judge(1, 500)
		})
	}
}

// The same of further submissions: of a copy beside one that is out, and of one behind another that was cut.
func TestFurtherTellsWhatIsLeft(t *testing.T) {
	for _, c := range []struct {
		name, head string
		overlap    bool
	}{
		{"copy, inquiry-like", "GET /check", true},
		{"copy, referenced", "POST /store\r\nIdempotency-Key: k\r\nContent-Length: 0", true},
		{"behind a cut, inquiry-like", "GET /check", false},
		{"behind a cut, referenced", "POST /store\r\nIdempotency-Key: k\r\nContent-Length: 0", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			at1, fill1, take1 := narrow(t)
			at2, fill2, take2 := narrow(t)
			w := tells(t, c.overlap, nil, at1, at2)
			first := true
			w.mu.Lock()
			w.before = func() {
				if first { // its own connection is up
					first = false
					w.takes(take1())
					w.takes(take2())
					fill1()
					fill2()
				}
			}
			over := make(chan struct{})
			w.answer = func(n int) bool {
				if n == 1 && c.overlap {
					<-over
				}
				return n > 1
			}
			w.mu.Unlock()
			got := w.asks(c.head, "")
			select {
			case <-w.heard:
			case s := <-got:
				t.Fatalf("answered %s before a worker had it", s)
			}
			held := 1
			if !c.overlap {
				held = 0
			}
			stop := w.serves(held, take1, take2)
			defer stop()
			if s := <-got; s != "200 OK" {
				t.Errorf("answered %s", s)
			}
			close(over)
			w.judge(2, 500)
		})
	}
}

// The same where a connection stands idle, and something else is waited for: the journal, or the record.
func TestTellsWhatIsLeftBehindWaits(t *testing.T) {
	const wait = 60 * time.Millisecond
	for _, c := range []struct {
		name, head string
		written    bool
	}{
		{"the record", "GET /check", false},
		{"the journal", "POST /issue\r\nContent-Length: 0", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			at, _, take := narrow(t)
			var disk *store.Memory
			var slow atomic.Bool
			if c.written {
				disk = store.NewMemory(1)
				disk.Slow = func() {
					if slow.Load() {
						time.Sleep(wait)
					}
				}
			}
			w := tells(t, false, disk, at)
			stop := w.serves(-1, take)
			defer stop()
			if s := <-w.asks(strings.Replace(c.head, "issue", "check", 1), ""); c.written == (s == "200 OK") {
				t.Fatalf("the first was answered %s", s)
			}
			w.mu.Lock()
			w.most, w.told, w.least = nil, nil, nil
			if slow.Store(c.written); !c.written {
				w.before = func() { time.Sleep(wait) }
			}
			w.mu.Unlock()
			if s := <-w.asks(c.head, ""); s != "200 OK" {
				t.Errorf("answered %s", s)
			}
			w.judge(1, float64(wait.Milliseconds()))
		})
	}
}

// Nothing goes out once the window of a repeat, or the txn's time, has passed between the last look at what
// is learned and the first byte. Guards against a wait for the record there.
func TestNothingGoesOutLate(t *testing.T) {
	const soon = 20 * time.Millisecond
	for _, c := range []struct {
		name   string
		window bool
	}{{"window", true}, {"time", false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := before(t, time.Second, 4)
			w := b.kept()
			j := b.takes()
			until := time.Now().Add(time.Second)
			if c.window {
				j.word.Decision.Latest = b.g.desk.Now() + float64(soon.Milliseconds())
			} else {
				until = time.Now().Add(soon)
			}
			b.at = func() { time.Sleep(2 * soon) }
			a, l, _ := b.g.exchange(j, until)
			if n, _ := io.Copy(io.Discard, w); l != nil || a == nil || a.Outcome != policy.NotSent || n != 0 {
				t.Errorf("ended with %+v, %d bytes written", a, n)
			}
		})
	}
}
