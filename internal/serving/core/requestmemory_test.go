package core

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/connlimit"
	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/memorybudget"
	"willowdeck/internal/serving/statemachine"
	"willowdeck/internal/serving/wirepb"
)

const requestTestTimeout = 5 * time.Second

// TestReportsShareTheirMemory has reports and adds come while others fill the memory for them: they are
// refused before they are read, with a time to come back. Any number of them was read at once.
func TestReportsShareTheirMemory(t *testing.T) {
	c, _ := goldenCore(t)
	c.reportMemory = newReportMemory(1 << 20)
	others := c.reportMemory.Open()
	for others.Admit(1 << 10) {
		continue // until the memory is full
	}
	for _, path := range []string{"/Instances.Heartbeat/w1", "/Tallies.Update/t1"} {
		send := func() *httptest.ResponseRecorder {
			request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(strings.Repeat("x", 200)))
			recorder := httptest.NewRecorder()
			c.controlHandler().ServeHTTP(recorder, request)
			return recorder
		}
		refused := send()
		if refused.Code != http.StatusServiceUnavailable || refused.Header().Get("Retry-After") == "" {
			t.Errorf("%s: status %d, Retry-After %q", path, refused.Code, refused.Header().Get("Retry-After"))
		}
		others.Shrink(0, 16<<10)
		if taken := send(); taken.Code != http.StatusBadRequest {
			t.Errorf("%s, with room: status %d", path, taken.Code)
		}
		for others.Admit(1 << 10) {
			continue
		}
	}
	held := others.Bytes()
	if reserved := c.reportMemory.Reserved(); reserved != held {
		t.Errorf("%d bytes are reserved, %d by others", reserved, held)
	}
}

// TestCallersShareTheMemoryOfConnections opens connections to both servers of a core until there is no memory
// for more: a further one gets 503 and a time to come back. Any number of them was served.
func TestCallersShareTheMemoryOfConnections(t *testing.T) {
	c, _ := goldenCore(t)
	c.connections = connlimit.New(160 << 10)
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, 1) })
	var addresses []string
	for range 2 {
		free, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, free.Addr().String())
		free.Close()
		server, err := c.listenHTTP("listen.directory", addresses[len(addresses)-1], ok)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { server.Close() })
	}
	served, refused := 0, 0
	for i := range 10 {
		connection, err := net.Dial("tcp4", addresses[i%2])
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { connection.Close() })
		connection.SetDeadline(time.Now().Add(requestTestTimeout))
		io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			t.Fatal(err)
		}
		switch {
		case response.StatusCode == http.StatusOK:
			served++
		case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "":
			refused++
		}
	}
	if served == 0 || refused == 0 || served+refused != 10 || c.connections.Reserved() > 160<<10 {
		t.Errorf("%d served, %d refused, %d bytes reserved", served, refused, c.connections.Reserved())
	}
}

// stalledWriter is the response to a caller that reads nothing until it is released.
type stalledWriter struct {
	*httptest.ResponseRecorder
	writing  func()
	released chan struct{}
}

func (w *stalledWriter) Write(body []byte) (int, error) {
	w.writing()
	<-w.released
	return len(body), nil
}

// TestReadersShareTheirMemory reads a configuration while others that are being sent fill the memory: it is
// refused with a time to come back. Each reader at a core that is not the leader has a copy of its own.
func TestReadersShareTheirMemory(t *testing.T) {
	c := startCore(t, t.TempDir(), true)
	replaced := mustCall(t, c, http.MethodPost, "/Config.Replace", "0", configurationBody(3, "x"))
	if replaced.Code != http.StatusOK {
		t.Fatalf("status %d", replaced.Code)
	}
	others := c.readerMemory.Open()
	if !others.Admit(maxConfigurationBytes) {
		t.Fatal("the longest configuration does not fit")
	}
	refused := call(c, http.MethodGet, "/Config.Get", "", "")
	if refused.Code != http.StatusServiceUnavailable || refused.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", refused.Code, refused.Header().Get("Retry-After"))
	}
	others.Release(0)
	if read := mustCall(t, c, http.MethodGet, "/Config.Get", "", ""); read.Code != http.StatusOK {
		t.Errorf("with room: status %d", read.Code)
	}
	if held := c.readerMemory.Reserved(); held != 0 {
		t.Errorf("%d bytes are held", held)
	}
}

// TestSlowReadersHoldNoConfiguration has callers read a long configuration and stall: they hold none of it.
// Each held all of it, for as long as it liked.
func TestSlowReadersHoldNoConfiguration(t *testing.T) {
	const (
		readers = 16
		length  = 4 << 20
	)
	c, _ := goldenCore(t)
	compressed, err := statemachine.Compress([]byte(strings.Repeat(" ", length)))
	if err != nil {
		t.Fatal(err)
	}
	released := make(chan struct{})
	var stalled, ended sync.WaitGroup
	stalled.Add(readers)
	before := liveBytes()
	for range readers {
		w := &stalledWriter{httptest.NewRecorder(), sync.OnceFunc(stalled.Done), released}
		ended.Go(func() { c.writeConfiguration(w, compressed) })
	}
	stalled.Wait()
	if held := liveBytes() - before; held > length {
		t.Errorf("%d bytes are held for %d readers of %d", held, readers, length)
	}
	close(released)
	ended.Wait()
}

// deadlineWriter is a response that records the write deadline of its connection.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (w *deadlineWriter) SetWriteDeadline(deadline time.Time) error {
	w.deadlines = append(w.deadlines, deadline)
	return nil
}

// TestReadOfConfigurationHasATimeLimit reads the configuration: a caller that does not read the response
// holds its connection for the time limit at most. The server takes the deadline back after the response, see
// connlimit.TestWriteDeadlineEndsWithItsResponse.
func TestReadOfConfigurationHasATimeLimit(t *testing.T) {
	c, _ := goldenCore(t)
	compressed, err := statemachine.Compress([]byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
	earliest := time.Now().Add(configurationTimeout)
	c.writeConfiguration(w, compressed)
	if len(w.deadlines) != 1 {
		t.Fatalf("deadlines %v", w.deadlines)
	}
	if got := w.deadlines[0]; got.Before(earliest) || time.Until(got) > configurationTimeout {
		t.Errorf("deadline %v, %v is wanted", got, earliest)
	}
	if w.Body.String() != "{}" {
		t.Errorf("body %q", w.Body.String())
	}
}

// liveBytes returns how many bytes live objects take.
func liveBytes() int64 {
	var statistics runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&statistics)
	return int64(statistics.HeapAlloc)
}

// startLinks has a core accept links, and returns a function that opens one and sends its first envelope.
// That reports whether the link stays open for a while.
func startLinks(t *testing.T, c *Core) (open func(first *wirepb.Envelope) (*framing.Conn, bool)) {
	t.Helper()
	listener, err := framing.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { close(c.stop); listener.Close() })
	go c.acceptLinks(listener)
	return func(first *wirepb.Envelope) (*framing.Conn, bool) {
		connection, err := framing.Dial(context.Background(), listener.Addr().String(), time.Second, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { connection.Close() })
		_ = connection.WriteMessage(first) // fails where the link is closed
		err = connection.ReadMessage(&wirepb.WatchUpdate{}, 100*time.Millisecond)
		return connection, err == nil || errors.Is(err, os.ErrDeadlineExceeded)
	}
}

// TestLinksShareTheirMemory opens more links to a core than there is memory for: agents get their part of it,
// cores the rest as well, and one is taken again once another one has ended. Any number of them was served.
func TestLinksShareTheirMemory(t *testing.T) {
	const links = 4 // of which agents may have three
	c, _ := goldenCore(t)
	c.linkMemory, c.agentMemory = memorybudget.New(links*linkBytes), memorybudget.New(links*linkBytes)
	open := startLinks(t, c)
	agent := &wirepb.Envelope{Body: &wirepb.Envelope_Subscribe{Subscribe: &wirepb.WatchRequest{}}}
	peer := &wirepb.Envelope{}
	var agents []*framing.Conn
	for range links + 1 {
		if connection, taken := open(agent); taken {
			agents = append(agents, connection)
		}
	}
	if len(agents) != links-1 {
		t.Fatalf("%d links of agents are served", len(agents))
	}
	if _, taken := open(peer); !taken {
		t.Error("agents have left no link for a core")
	}
	if _, taken := open(peer); taken {
		t.Error("a link is taken beyond the memory")
	}
	agents[0].Close()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if _, taken := open(agent); taken {
			break
		}
		if time.Since(began) > requestTestTimeout {
			t.Fatal("a link that has ended counts")
		}
	}
}

// TestServersEndTogether has a request hang at one server, and a client come to another one meanwhile: what
// that one takes it finishes. The servers ended one after the other within one time-out, so that the second
// took requests until the end, and cut them off.
func TestServersEndTogether(t *testing.T) {
	begun := make(chan struct{})
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		time.Sleep(2 * httpShutdownTimeout)
	}))
	var inFlight atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		inFlight.Add(1)
		defer inFlight.Add(-1)
		time.Sleep(httpShutdownTimeout)
	}))
	t.Cleanup(func() { hanging.Close(); other.Close() })
	get := func(server *httptest.Server) {
		if response, err := http.Get(server.URL); err == nil {
			response.Body.Close()
		}
	}
	go get(hanging)
	<-begun
	time.AfterFunc(httpShutdownTimeout/2, func() { get(other) })
	shutDown(hanging.Config, other.Config)
	if cut := inFlight.Load(); cut != 0 {
		t.Errorf("%d requests would be cut off by the end of the process", cut)
	}
}
