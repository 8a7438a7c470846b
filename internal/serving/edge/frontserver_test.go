package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"willowdeck/internal/serving/configuration"
)

const frontTestTimeout = 10 * time.Second

// startFront serves "ok" on loopback by limits that the test may replace, and returns the address.
func startFront(
	tb testing.TB, limits *atomic.Pointer[connectionLimits], memoryBytes int64,
) (*frontServer, string) {
	tb.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	front := newFrontServer(listener, handler, func() connectionLimits { return *limits.Load() },
		memoryBytes)
	go front.serve()
	tb.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		front.Shutdown(ctx)
	})
	return front, listener.Addr().String()
}

// client is a client's connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dialFront(tb testing.TB, address string) *client {
	tb.Helper()
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(frontTestTimeout))
	return &client{Conn: connection, reader: bufio.NewReader(connection)}
}

// request sends a request with a header of so many bytes and returns the response's status.
func (c *client) request(tb testing.TB, headerBytes int) int {
	tb.Helper()
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX: %0*d\r\n\r\n", headerBytes, 0)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		tb.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// closedByServer waits for the end of the connection, and skips a rejection before it.
func (c *client) closedByServer() bool {
	_, err := io.Copy(io.Discard, c.reader)
	return err == nil
}

// TestConfiguredConnectionLimits puts each limit in force for new connections, while an older connection
// keeps those under which it was accepted.
func TestConfiguredConnectionLimits(t *testing.T) {
	var limits atomic.Pointer[connectionLimits]
	limits.Store(&defaultConnectionLimits)
	_, address := startFront(t, &limits, 0)
	older := dialFront(t, address)
	if status := older.request(t, 60_000); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	stated := connectionLimitsOf(configuration.Limits{
		MaxHeaderBytes: 16384, HeaderTimeoutMs: 300, IdleTimeoutMs: 400,
	})
	limits.Store(&stated)
	if status := dialFront(t, address).request(t, 60_000); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d for a head over max_header_bytes", status)
	}
	idle := dialFront(t, address)
	if status := idle.request(t, 1000); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	slow := dialFront(t, address)
	fmt.Fprint(slow, "GET / HT")
	if !idle.closedByServer() {
		t.Error("an idle connection stays beyond idle_timeout_ms")
	}
	if !slow.closedByServer() {
		t.Error("a head may take longer than header_timeout_ms")
	}
	if status := older.request(t, 60_000); status != http.StatusOK {
		t.Errorf("status %d on a connection from before the limits", status)
	}
}

// TestConnectionsAreLimitedByMemory opens as many connections as the memory bears: a further one gets 503 and
// a time to come back, and is served once another one has ended.
func TestConnectionsAreLimitedByMemory(t *testing.T) {
	var limits atomic.Pointer[connectionLimits]
	limits.Store(&defaultConnectionLimits)
	const memoryBytes = 160 << 10
	front, address := startFront(t, &limits, memoryBytes)
	var open []*client
	for connections := int64(1); int64(len(open)) < connections; {
		open = append(open, dialFront(t, address))
		if status := open[len(open)-1].request(t, 10); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		// A quarter of the memory is for the heads of requests.
		connections = memoryBytes * 3 / 4 / (front.memory.Reserved() / int64(len(open)))
	}
	refused := dialFront(t, address)
	fmt.Fprint(refused, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(refused.reader, nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable ||
		response.Header.Get("Retry-After") == "" || !response.Close {
		t.Fatalf("response %+v, error %v", response, err)
	}
	reserved := front.memory.Reserved()
	if reserved > memoryBytes {
		t.Errorf("%d bytes are reserved", reserved)
	}
	open[0].Close()
	for began := time.Now(); front.memory.Reserved() == reserved; time.Sleep(time.Millisecond) {
		if time.Since(began) > frontTestTimeout {
			t.Fatal("a connection that has ended counts")
		}
	}
	if status := dialFront(t, address).request(t, 10); status != http.StatusOK {
		t.Errorf("status %d after another connection has ended", status)
	}
}

// TestReadinessChecksAreLimitedByMemory opens connections to the readiness checks until there is no memory
// for more. Any number of them was served.
func TestReadinessChecksAreLimitedByMemory(t *testing.T) {
	const connections = 10
	e, _ := startEdge(t)
	e.settings.MemoryLimitBytes = 100 * (160 << 10) // of which a hundredth bears some of the connections
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go e.serveReadiness(listener)
	statuses := map[int]int{}
	for range connections {
		statuses[dialFront(t, listener.Addr().String()).request(t, 10)]++
	}
	if statuses[http.StatusOK] == 0 || statuses[http.StatusServiceUnavailable] == 0 || len(statuses) != 2 {
		t.Errorf("connections by status: %v", statuses)
	}
}

// TestUnstatedLimitsAreDefaults leaves what a configuration does not state as it is.
func TestUnstatedLimitsAreDefaults(t *testing.T) {
	if got := connectionLimitsOf(configuration.Limits{}); got != defaultConnectionLimits {
		t.Errorf("limits %+v", got)
	}
}

// TestFrontShutdown accepts nothing after Shutdown.
func TestFrontShutdown(t *testing.T) {
	var limits atomic.Pointer[connectionLimits]
	limits.Store(&defaultConnectionLimits)
	front, address := startFront(t, &limits, 0)
	kept := dialFront(t, address)
	if status := kept.request(t, 10); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	front.Shutdown(context.Background())
	if !kept.closedByServer() {
		t.Error("an idle connection outlasts the front")
	}
	if connection, err := net.Dial("tcp4", address); err == nil {
		connection.Close()
		t.Error("a connection is accepted after the shutdown")
	}
	if front.serverFor(defaultConnectionLimits) != nil {
		t.Error("a server is started after the shutdown")
	}
}

// TestUnfinishedHeadsStayWithinTheMemory has clients send heads of short fields, within the limit on a head,
// and not their ends: what an edge holds for all of them together is bounded, and a head that does not fit
// gets 503 with a time to come back. Without a bound a few hundred connections take the edge over its memory.
func TestUnfinishedHeadsStayWithinTheMemory(t *testing.T) {
	const (
		memoryBytes = 16 << 20
		connections = 400
		headBytes   = 16 << 10
	)
	var limits atomic.Pointer[connectionLimits]
	limits.Store(&connectionLimits{headBytes: headBytes, headTimeout: time.Minute, idleTimeout: time.Minute})
	_, address := startFront(t, &limits, memoryBytes)
	head := shortFields(headBytes)
	before := heapInUse()
	clients := make([]net.Conn, connections)
	for i := range clients {
		clients[i] = dialFront(t, address).Conn
		go io.WriteString(clients[i], head)
	}
	refused := 0
	for _, c := range clients {
		c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		response, err := http.ReadResponse(bufio.NewReaderSize(c, 64), nil)
		if err != nil {
			continue // the edge waits for the end of the head, or has too many to refuse
		}
		refused++
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("response %+v", response)
		}
	}
	if held := heapInUse() - before; held > memoryBytes || refused == 0 || refused == connections {
		t.Errorf("%d bytes are held for %d connections; %d were refused", held, connections, refused)
	}
}

// shortFields returns the begin of a head of so many bytes, in fields of few bytes each.
func shortFields(bytes int) string {
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for field := 0; head.Len() < bytes; field++ {
		head.WriteString(strconv.FormatInt(int64(field), 36) + ":\n")
	}
	return head.String()
}

// heapInUse returns how many bytes live objects take.
func heapInUse() int64 {
	var statistics runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&statistics)
	return int64(statistics.HeapAlloc)
}

// BenchmarkFrontRequest measures a request without a body on a kept connection to the front alone.
func BenchmarkFrontRequest(b *testing.B) {
	var limits atomic.Pointer[connectionLimits]
	limits.Store(&defaultConnectionLimits)
	_, address := startFront(b, &limits, 64<<20)
	c := dialFront(b, address)
	_ = c.SetDeadline(time.Time{})
	b.ReportAllocs()
	for b.Loop() {
		if status := c.request(b, 400); status != http.StatusOK {
			b.Fatal(status)
		}
	}
}

// BenchmarkFrontConnection measures a connection with one request.
func BenchmarkFrontConnection(b *testing.B) {
	var limits atomic.Pointer[connectionLimits]
	limits.Store(&defaultConnectionLimits)
	_, address := startFront(b, &limits, 64<<20)
	b.ReportAllocs()
	for b.Loop() {
		c := dialFront(b, address)
		if status := c.request(b, 400); status != http.StatusOK {
			b.Fatal(status)
		}
		_ = c.Close()
	}
}
