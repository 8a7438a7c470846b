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

// clientWaitMillis is how long the client of each request here waits.
const clientWaitMillis = 4000

// deadlineRig is a proxy behind a frontend, before workers on loopback. It records the time left that each
// attempt told its worker, and what was left of the client's time when the first byte was about to be sent
// and when the worker had read the head.
type deadlineRig struct {
	*testing.T
	dispatcher *Dispatcher
	links      *transport.WorkerPool
	address    string // the frontend's address

	mu              sync.Mutex
	beforeSend      onSend    // called before each first byte, if set
	atSendMillis    []float64 // by attempt, as the two below
	toldMillis      []float64
	atReceiptMillis []float64
	arrivedMillis   float64          // when the request was admitted, by the dispatcher's clock
	received        chan struct{}    // one value for each attempt that a worker has read
	answers         func(n int) bool // whether a worker answers the n-th attempt and reads on
}

// Write is called right before the first byte of each attempt is sent, and records the upper bound of what
// it may tell.
func (rig *deadlineRig) Write(e history.Event) {
	if e.Kind != history.Sends {
		return
	}
	rig.mu.Lock()
	before := rig.beforeSend
	rig.mu.Unlock()
	if before != nil {
		before()
	}
	rig.dispatcher.mu.Lock()
	defer rig.dispatcher.mu.Unlock()
	for _, r := range rig.dispatcher.requests.byID {
		rig.mu.Lock()
		// less the wait for the request's mark, some us
		rig.arrivedMillis = min(r.ArrivedMillis, r.ExpiryMillis-clientWaitMillis)
		rig.atSendMillis = append(rig.atSendMillis, rig.arrivedMillis+clientWaitMillis-rig.dispatcher.clock.now())
		rig.mu.Unlock()
	}
}

// newDeadlineRig starts a rig with workers at some addresses, and a journal on disk unless that is nil.
func newDeadlineRig(t *testing.T, overlap bool, disk *store.MemoryDisk, at ...netip.AddrPort) *deadlineRig {
	t.Helper()
	charter := testCharter()
	charter.Plans[0] = policy.Plan{QuotaPerSecond: 1000, QuotaBurst: 1000, ValueFactor: 1}
	targetMillis := float64(clientWaitMillis) // so that no request is retried only for being late
	if charter.AllowHedging = overlap; overlap {
		targetMillis = 600
	}
	charter.Products = []policy.Product{{LatencyTargetMillis: targetMillis, Value: 1},
		{
			LatencyTargetMillis: targetMillis,
			Value:               1,
			Idempotency:         policy.Deduplicated,
			DedupWindowMillis:   clientWaitMillis,
		},
		{LatencyTargetMillis: 1000, Value: 1, Idempotency: policy.NonIdempotent}}
	rig := &deadlineRig{T: t, received: make(chan struct{}, 9),
		links: transport.NewWorkerPool(8, 5*time.Second, 3*time.Second)}
	rig.dispatcher = NewDispatcher(charter, 1, 5, func(int, []byte) {}, rig.links.CloseIdle)
	rig.dispatcher.RecordHistory(rig)
	list := endpoints.List{Snapshot: true}
	for i, a := range at {
		list.Workers = append(list.Workers, endpoints.Worker{Name: fmt.Sprint("w", i), Address: a, Active: true})
	}
	rig.dispatcher.ApplyEndpoints(list)
	proxy := New(rig.dispatcher, rig.links)
	names := config.Names{Products: map[string]int{"check": 0, "store": 1, "issue": 2},
		Plans: map[string]int{"basic": 0}}
	if disk != nil {
		terms := txnjournal.DefaultConfig()
		terms.CommitWaitMillis = 1000
		keeper := store.Start(disk, terms, store.Writer{Instance: "g"}, false, 1, zerolog.Nop())
		t.Cleanup(keeper.Close)
		proxy.EnableJournal(keeper, terms, charter.Products, []string{"check", "store", "issue"})
	}
	frontend := transport.NewFrontend(names, charter, proxy.Serve, func() bool { return true })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited := transport.NewLimitListener(listener, 9)
	go frontend.Serve(limited)
	t.Cleanup(func() {
		limited.Close()
		limited.AbandonRequests()
		rig.dispatcher.WakeNow()
		limited.Drain()
		frontend.Close()
		frontend.Wait()
		rig.dispatcher.Stop()
	})
	rig.address = listener.Addr().String()
	return rig
}

// sendRequest sends a request, and gives its answer's status or the error.
func (rig *deadlineRig) sendRequest(head, body string) <-chan string {
	conn, err := net.Dial("tcp", rig.address)
	if err != nil {
		rig.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(8 * time.Second))
	line, headers, _ := strings.Cut(head, "\r\n")
	if headers != "" {
		headers += "\r\n"
	}
	fmt.Fprintf(conn, "%s HTTP/1.1\r\n%sHost: h\r\nX-Request-Id: 1\r\nPlan: basic\r\n"+
		"Cookie: key=00000000b4d65521\r\nX-Deadline: %dm\r\n"+
		"Quota-Info: units=1,spread=1,first=0\r\n\r\n%s", line, headers, clientWaitMillis, body)
	status := make(chan string, 1)
	go func() {
		defer conn.Close()
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			status <- err.Error()
			return
		}
		status <- r.Status
	}()
	return status
}

// serveConnection is a worker's side of a connection: it records the time left of each attempt, and answers
// as the test says.
func (rig *deadlineRig) serveConnection(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(8 * time.Second))
	reader := bufio.NewReader(conn)
	for keepAlive := true; keepAlive; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		figure, unit := strings.CutSuffix(r.Header.Get("X-Deadline"), "u")
		micros, err := strconv.ParseInt(figure, 10, 64)
		if err != nil || !unit {
			rig.Errorf("told %q", r.Header.Get("X-Deadline"))
		}
		rig.mu.Lock()
		leftMillis := rig.arrivedMillis + clientWaitMillis - rig.dispatcher.clock.now()
		rig.toldMillis = append(rig.toldMillis, float64(micros)/1000)
		rig.atReceiptMillis = append(rig.atReceiptMillis, leftMillis)
		n, answer := len(rig.toldMillis), rig.answers
		rig.mu.Unlock()
		rig.received <- struct{}{}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			rig.Error(err)
		}
		if keepAlive = answer == nil || answer(n); keepAlive {
			conn.Write([]byte(answerBytes))
		} else {
			conn.(*net.TCPConn).CloseWrite() // the descriptor is duplicated, so that a close would not end it
		}
	}
}

// acceptAll serves the connections that have come up.
func (rig *deadlineRig) acceptAll(fds []int) {
	for _, fd := range fds {
		if dup, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0); err == nil {
			f := os.NewFile(uintptr(dup), "worker")
			conn, err := net.FileConn(f)
			f.Close()
			if err != nil {
				rig.Error(err)
				continue
			}
			go rig.serveConnection(conn)
		}
	}
}

// check compares what n attempts told with the bounds. The last was sent at least lateMillis after its
// arrival.
func (rig *deadlineRig) check(n int, lateMillis float64) {
	rig.Helper()
	rig.mu.Lock()
	defer rig.mu.Unlock()
	if len(rig.toldMillis) != n || len(rig.atSendMillis) != n {
		rig.Fatalf("%d attempts were received, and %d sent; want %d", len(rig.toldMillis), len(rig.atSendMillis), n)
	}
	for i, told := range rig.toldMillis {
		if told > rig.atSendMillis[i] || told < rig.atReceiptMillis[i]-0.001 { // it is told in whole us
			rig.Errorf("attempt %d told %.3f ms; %.3f were left before its first byte, %.3f after its head", i, told,
				rig.atSendMillis[i], rig.atReceiptMillis[i])
		}
	}
	if last := rig.atSendMillis[n-1]; last > clientWaitMillis-lateMillis {
		rig.Errorf("%.3f ms were left: the last attempt was not late", last)
	}
}

// serveLate has workers at single-slot listeners accept connections once the first SYN of an attempt was
// dropped there, so that it comes up a second later.
func (rig *deadlineRig) serveLate(openBefore int, accepts ...func() []int) (stop func()) {
	stopping, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for rig.links.OpenConns() <= openBefore {
			select {
			case <-stopping:
				return
			case <-time.After(time.Millisecond):
			}
		}
		time.Sleep(100 * time.Millisecond) // its first SYN has been sent, and dropped
		for {
			for _, accept := range accepts {
				rig.acceptAll(accept())
			}
			select {
			case <-stopping:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() {
		close(stopping)
		<-done
	}
}

// An attempt tells its worker what is left of its client's time right before its first byte, however late
// its connection came up, for each kind of request. The delay is forced: its first SYN meets a full
// backlog, which is emptied before the next, a second later. Guards against a figure of the time of the
// decision: on two of the bench's short days over a fifth of the retries told more than was left.
func TestDeadlineHeader(t *testing.T) {
	long := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 100<<10, strings.Repeat("x", 100<<10))
	for _, c := range []struct{ name, head, body string }{
		{"read-only", "GET /check", ""},
		{"idempotency key", "POST /store", ""},
		{"non-idempotent", "POST /issue", ""},
		{"non-idempotent, journaled", "POST /issue", ""},
		{"streamed body, chunked", "POST /issue", long},
		{"streamed body of a known length", "POST /issue", strings.Repeat("x", 100<<10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, fill, accept := singleSlotListener(t)
			var disk *store.MemoryDisk
			if c.name == "non-idempotent, journaled" {
				disk = store.NewMemoryDisk(1)
			}
			rig := newDeadlineRig(t, false, disk, address)
			fill()
			stop := rig.serveLate(0, accept)
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
			if status := <-rig.sendRequest(head, c.body); status != "200 OK" {
				t.Errorf("answered %s", status)
			}
			rig.check(1, 500)
		})
	}
}

// The same for later attempts: a hedged request, and a retry after an attempt that was cut.
func TestDeadlineHeaderOfRetries(t *testing.T) {
	for _, c := range []struct {
		name, head string
		overlap    bool
	}{
		{"hedged, read-only", "GET /check", true},
		{"hedged, idempotency key", "POST /store\r\nIdempotency-Key: k\r\nContent-Length: 0", true},
		{"retry after a cut, read-only", "GET /check", false},
		{"retry after a cut, idempotency key", "POST /store\r\nIdempotency-Key: k\r\nContent-Length: 0", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address1, fill1, accept1 := singleSlotListener(t)
			address2, fill2, accept2 := singleSlotListener(t)
			rig := newDeadlineRig(t, c.overlap, nil, address1, address2)
			first := true
			rig.mu.Lock()
			rig.beforeSend = func() {
				if first { // the first attempt's connection is up
					first = false
					rig.acceptAll(accept1())
					rig.acceptAll(accept2())
					fill1()
					fill2()
				}
			}
			releaseFirst := make(chan struct{})
			rig.answers = func(n int) bool {
				if n == 1 && c.overlap {
					<-releaseFirst
				}
				return n > 1
			}
			rig.mu.Unlock()
			answered := rig.sendRequest(c.head, "")
			select {
			case <-rig.received:
			case status := <-answered:
				t.Fatalf("answered %s before a worker had it", status)
			}
			openBefore := 1
			if !c.overlap {
				openBefore = 0
			}
			stop := rig.serveLate(openBefore, accept1, accept2)
			defer stop()
			if status := <-answered; status != "200 OK" {
				t.Errorf("answered %s", status)
			}
			close(releaseFirst)
			rig.check(2, 500)
		})
	}
}

// The same on an idle connection, where the attempt waits for the journal or for history instead.
func TestDeadlineHeaderAfterWaits(t *testing.T) {
	const wait = 60 * time.Millisecond
	for _, c := range []struct {
		name, head string
		journaled  bool
	}{
		{"history", "GET /check", false},
		{"journal", "POST /issue\r\nContent-Length: 0", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, _, accept := singleSlotListener(t)
			var disk *store.MemoryDisk
			var slow atomic.Bool
			if c.journaled {
				disk = store.NewMemoryDisk(1)
				disk.OnSync = func() {
					if slow.Load() {
						time.Sleep(wait)
					}
				}
			}
			rig := newDeadlineRig(t, false, disk, address)
			stop := rig.serveLate(-1, accept)
			defer stop()
			status := <-rig.sendRequest(strings.Replace(c.head, "issue", "check", 1), "")
			if c.journaled == (status == "200 OK") {
				t.Fatalf("the first request was answered %s", status)
			}
			rig.mu.Lock()
			rig.atSendMillis, rig.toldMillis, rig.atReceiptMillis = nil, nil, nil
			if slow.Store(c.journaled); !c.journaled {
				rig.beforeSend = func() { time.Sleep(wait) }
			}
			rig.mu.Unlock()
			if status := <-rig.sendRequest(c.head, ""); status != "200 OK" {
				t.Errorf("answered %s", status)
			}
			rig.check(1, float64(wait.Milliseconds()))
		})
	}
}

// Nothing is sent once the window of a retry, or the request's time, has passed between the last check and
// the first byte. Guards against a wait for history there.
func TestNothingSentAfterDeadline(t *testing.T) {
	const limit = 20 * time.Millisecond
	for _, c := range []struct {
		name   string
		window bool
	}{{"retry window", true}, {"expiry", false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rig := newWorkerRig(t, time.Second, 4)
			conn := rig.idleConnection()
			attempt := rig.admitAttempt()
			deadline := time.Now().Add(time.Second)
			if c.window {
				attempt.command.Decision.SendBeforeMillis = rig.proxy.dispatcher.Now() + float64(limit.Milliseconds())
			} else {
				deadline = time.Now().Add(limit)
			}
			rig.beforeSend = func() { time.Sleep(2 * limit) }
			answer, link, _ := rig.proxy.exchange(attempt, deadline)
			n, _ := io.Copy(io.Discard, conn)
			if link != nil || answer == nil || answer.Outcome != policy.NotSent || n != 0 {
				t.Errorf("ended with %+v, %d bytes written", answer, n)
			}
		})
	}
}
