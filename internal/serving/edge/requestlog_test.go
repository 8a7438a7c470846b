package edge

import (
	"io"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestRefusalIsLoggedWithItsAttempts has a worker reject a request: the log says by which evidence its client
// got 503.
func TestRefusalIsLoggedWithItsAttempts(t *testing.T) {
	w := newFakeWorker(t, complete(503, "full", "Not-Executed: 1"))
	e, server := startEdge(t, w)
	core, lines := observer.New(zap.InfoLevel)
	e.requestLogger = newRequestLogger(zap.New(core))
	if got := post(t, server, "/once/"); got.status != 503 {
		t.Fatalf("response %+v", got)
	}
	if lines.Len() != 1 {
		t.Fatalf("%d lines", lines.Len())
	}
	fields := lines.All()[0].ContextMap()
	attempts, _ := fields["attempts"].([]any)
	if fields["request"] != "q-1" || fields["status"] != int64(503) || len(attempts) != 1 {
		t.Fatalf("fields %+v", fields)
	}
	attempt, _ := attempts[0].(map[string]any)
	if attempt["instance"] != "i-0" || attempt["outcome"] != "not executed" || attempt["status"] != 503 {
		t.Errorf("attempt %+v", attempt)
	}
}

// TestUnprovenRefusalIsLoggedAsUnknown has a worker refuse a request without Not-Executed, with a body that
// does not end: the log does not claim that the worker executed it, and the client need not wait.
func TestUnprovenRefusalIsLoggedAsUnknown(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	w := newFakeWorker(t, func(connection net.Conn, request *http.Request, _ string) {
		io.WriteString(connection, head(request, 503, "Content-Length: 100")+"begun")
		<-release
	})
	e, server := startEdge(t, w)
	core, lines := observer.New(zap.InfoLevel)
	e.requestLogger = newRequestLogger(zap.New(core))
	if got := post(t, server, "/once/"); got.status != 502 { // 504 at the deadline
		t.Errorf("response %+v", got)
	}
	for _, line := range lines.All() {
		attempts, _ := line.ContextMap()["attempts"].([]any)
		if attempt, _ := attempts[0].(map[string]any); attempt["outcome"] != "unknown" {
			t.Errorf("%s: attempt %+v", line.Message, attempt)
		}
	}
}

// TestManyRefusalsAreLoggedInPart has more requests refused than lines may be logged.
func TestManyRefusalsAreLoggedInPart(t *testing.T) {
	const requests = 4 * requestLogFirst
	core, lines := observer.New(zap.InfoLevel)
	logger := newRequestLogger(zap.New(core))
	for range requests {
		logger.Info("request refused")
	}
	if got := lines.Len(); got < requestLogFirst || got >= requests {
		t.Errorf("%d lines for %d requests", got, requests)
	}
}
