package core

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"willowdeck/internal/testkit/ports"
)

// callerTimeout is how long callers wait for a response: no call may have an effect later than that.
const callerTimeout = time.Second

// evacuationCalls are forms in which a caller may send a call that needs no body.
var evacuationCalls = map[string]string{
	"no body":       "POST /Evacuations.%s/b HTTP/1.1\r\nHost: h\r\n\r\n",
	"length 0":      "POST /Evacuations.%s/b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
	"empty chunked": "POST /Evacuations.%s/b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"empty object":  "POST /Evacuations.%s/b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}",
}

// startControlPlane runs a core with a quorum of one, and returns the address of its control plane.
func startControlPlane(t *testing.T) (*Core, string) {
	t.Helper()
	c := startCore(t, t.TempDir(), true)
	address := fmt.Sprintf("127.0.0.1:%d", ports.Span(t, 1))
	server, err := c.listenHTTP("listen.control_plane", address, c.controlHandler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	if got := mustCall(t, c, "POST", "/Evacuations.Start/b", "", ""); got.Code != http.StatusOK {
		t.Fatal(got.Code)
	}
	return c, address
}

func dialCore(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// exchange sends a call as a sound caller does and returns the status of the response.
func exchange(t *testing.T, connection net.Conn, call string) int {
	t.Helper()
	if _, err := io.WriteString(connection, call); err != nil {
		t.Fatal(err)
	}
	_ = connection.SetReadDeadline(time.Now().Add(callerTimeout))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// TestEvacuationCallWithCloseBehindItHasNoEffect guards against EVAC (review/4): a call that a cut held up
// arrives, and the close of its caller, who has gone on with other calls at another core, some time behind
// it. It ended an evacuation that the operator had started since.
func TestEvacuationCallWithCloseBehindItHasNoEffect(t *testing.T) {
	c, address := startControlPlane(t)
	for name, form := range evacuationCalls {
		var calls sync.WaitGroup
		for _, lag := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond} {
			for _, kept := range []bool{false, true} {
				connection := dialCore(t, address)
				if kept && exchange(t, connection, "GET /status HTTP/1.1\r\nHost: h\r\n\r\n") != http.StatusOK {
					t.Fatal("the first call on the connection has failed")
				}
				calls.Go(func() {
					_, _ = fmt.Fprintf(connection, form, "Stop")
					time.Sleep(lag)
					_ = connection.Close()
				})
			}
		}
		calls.Wait()
		time.Sleep(callerTimeout)
		if got := c.engine.StateView().Snapshot().Evacuated; !slices.Contains(got, "b") {
			t.Fatalf("calls with %s, closed up to 50 ms behind: the evacuation has ended", name)
		}
	}
}

// TestEvacuationCallOfWaitingCallerIsAcknowledged has callers in all forms, which wait up to a second for
// their response, on new and kept connections.
func TestEvacuationCallOfWaitingCallerIsAcknowledged(t *testing.T) {
	c, address := startControlPlane(t)
	for name, form := range evacuationCalls {
		connection := dialCore(t, address)
		for _, verb := range []string{"Stop", "Start"} {
			if status := exchange(t, connection, fmt.Sprintf(form, verb)); status != http.StatusOK {
				t.Errorf("%s of %s: status %d", verb, name, status)
			}
			evacuated := slices.Contains(c.engine.StateView().Snapshot().Evacuated, "b")
			if evacuated != (verb == "Start") {
				t.Errorf("%s of %s is acknowledged, evacuated: %v", verb, name, evacuated)
			}
		}
	}
}

// TestHalfClosedEvacuationCallIsNotAcknowledged has a caller close its side alone and read on: a close can't
// be told from this one, so the call has no effect, and the response is no acknowledgement.
func TestHalfClosedEvacuationCallIsNotAcknowledged(t *testing.T) {
	c, address := startControlPlane(t)
	connection := dialCore(t, address).(*net.TCPConn)
	if _, err := fmt.Fprintf(connection, evacuationCalls["no body"], "Stop"); err != nil {
		t.Fatal(err)
	}
	if err := connection.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d", response.StatusCode)
	}
	time.Sleep(callerTimeout)
	if got := c.engine.StateView().Snapshot().Evacuated; !slices.Contains(got, "b") {
		t.Error("the evacuation has ended")
	}
}
