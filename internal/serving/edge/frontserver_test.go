package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"willowdeck/internal/serving/configuration"
)

const frontTestTimeout = 10 * time.Second

// startFront serves "ok" on loopback by limits that the test may replace, and returns the address.
func startFront(
	t *testing.T, limits *atomic.Pointer[connectionLimits], memoryBytes int64,
) (*frontServer, string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	front := newFrontServer(listener, handler, func() connectionLimits { return *limits.Load() },
		memoryBytes)
	go front.serve()
	t.Cleanup(func() {
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

func dialFront(t *testing.T, address string) *client {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(frontTestTimeout))
	return &client{Conn: connection, reader: bufio.NewReader(connection)}
}

// request sends a request with a header of so many bytes and returns the response's status.
func (c *client) request(t *testing.T, headerBytes int) int {
	t.Helper()
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX: %0*d\r\n\r\n", headerBytes, 0)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
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
	const connections = 3
	memoryBytes := connections * int64(connectionBytes+defaultConnectionLimits.headBytes)
	front, address := startFront(t, &limits, memoryBytes)
	var open []*client
	for range connections {
		open = append(open, dialFront(t, address))
		if status := open[len(open)-1].request(t, 10); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
	}
	refused := dialFront(t, address)
	fmt.Fprint(refused, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(refused.reader, nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable ||
		response.Header.Get("Retry-After") == "" || !response.Close {
		t.Fatalf("response %+v, error %v", response, err)
	}
	open[0].Close()
	for began := time.Now(); front.open.Load() == connections; time.Sleep(time.Millisecond) {
		if time.Since(began) > frontTestTimeout {
			t.Fatal("a connection that has ended counts")
		}
	}
	if status := dialFront(t, address).request(t, 10); status != http.StatusOK {
		t.Errorf("status %d after another connection has ended", status)
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
