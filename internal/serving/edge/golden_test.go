package edge

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/wirepb"
	"willowdeck/internal/serving/workerlink"
)

// Datagrams as edges of 2 December 2026 send them. Edges of different versions speak to each other while
// one replaces the other: the bytes stay. Package wirepb pins the numbers of all fields.
const (
	goldenBreak    = "2a070a03772d311001"                       // worker w-1 has broken a connection
	goldenNoAnswer = "2a050a03772d32"                           // worker w-2 does not answer
	goldenPrefill  = "220a0a03772d331084071801"                 // w-3 prefills a long prompt for 900 ms
	goldenProbe    = "1203088827"                               // number 5000
	goldenAnswer   = "1a03088827"                               // to it
	goldenLoad     = "0a120a02653110071a0a0a03692d30100118c801" // of e1, number 7: 1 request, 200 tokens: i-0
)

func (p *fakePeer) nextBytes() string {
	p.t.Helper()
	buffer := make([]byte, maxDatagramBytes)
	length, err := p.connection.Read(buffer)
	if err != nil {
		p.t.Fatal(err)
	}
	return hex.EncodeToString(buffer[:length])
}

// TestGoldenDatagramsSent compares the bytes of notices and of the answer to a probe.
func TestGoldenDatagramsSent(t *testing.T) {
	e, near, _ := startEdgeWithPeers(t)
	here := worker{Worker: loadbalancer.Worker{Instance: "w-1", Zone: "a", Region: "south", Engine: true}}
	e.reportConnectionBreak(here)
	e.notifyUnhealthy("a", &wirepb.WorkerFailureNotice{InstanceId: "w-2"})
	long := loadbalancer.PrefillNotice{Instance: "w-3", PrefillMillis: 900, Long: true}
	e.notifyPrefill(e.table.Load(), here, long)
	probe := &wirepb.EdgeDatagram{}
	decodeGolden(t, goldenProbe, probe)
	e.handleDatagram(e.datagrams.Load(), near.peer.address, probe)
	for _, want := range []string{goldenBreak, goldenNoAnswer, goldenPrefill, goldenAnswer} {
		if got := near.nextBytes(); got != want {
			t.Errorf("datagram %s instead of %s", got, want)
		}
	}
}

func decodeGolden(t *testing.T, text string, message proto.Message) {
	t.Helper()
	data, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(data, message); err != nil {
		t.Fatal(err)
	}
}

// TestGoldenLoadSent reports a request that a worker has not answered yet: its prompt has a part that others
// may share, which does not count, and 200 tokens of its own.
func TestGoldenLoadSent(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	w := newFakeWorker(t, func(connection net.Conn, _ *http.Request, _ string) {
		close(arrived)
		<-release
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n\r\n")
	})
	e, server := startEdge(t, w)
	request, err := http.NewRequest(http.MethodGet, server.URL+"/prompt/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Request-Id", "id-1")
	request.Header.Set("Prompt-Prefix", "a:100, b:200")
	answered := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
		}
		answered <- err
	}()
	<-arrived
	report := e.decisions.loadReport(maxReportedLoads)
	report.Edge, report.Sequence = "e1", 7
	data, err := proto.Marshal(&wirepb.EdgeDatagram{Body: &wirepb.EdgeDatagram_Load{Load: report}})
	if got := hex.EncodeToString(data); err != nil || got != goldenLoad {
		t.Errorf("report %s instead of %s, error %v", got, goldenLoad, err)
	}
	close(release)
	if err := <-answered; err != nil {
		t.Error(err)
	}
}

// TestGoldenDatagramsReceived handles notices and compares what the edge makes of them.
func TestGoldenDatagramsReceived(t *testing.T) {
	e, near, _ := startEdgeWithPeers(t)
	for _, text := range []string{goldenLoad, goldenPrefill, goldenBreak, goldenNoAnswer, goldenAnswer} {
		message := &wirepb.EdgeDatagram{}
		decodeGolden(t, text, message)
		e.handleDatagram(e.datagrams.Load(), near.peer.address, message)
		if again, err := proto.Marshal(message); err != nil || hex.EncodeToString(again) != text {
			t.Errorf("encoded to %x instead of %s, error %v", again, text, err)
		}
	}
	total, _ := e.decisions.peerLoads.Total(e.now(), "i-0", 1)
	if total.InFlight != 1 || total.PrefillTokens != 200 {
		t.Errorf("load of another edge: %+v", total)
	}
}

// TestGoldenStatus compares what an edge reports of itself to its agent, and where it receives datagrams.
func TestGoldenStatus(t *testing.T) {
	config := &settings.Settings{
		NodeName: "edge-1", IP: "10.0.0.1", Zone: "a", Region: "south", FrontAddress: "10.0.0.1:80",
		FirstInternalPort: 7660,
	}
	e, _ := startEdge(t)
	e.settings = config
	status := e.status()
	want := &wirepb.Edge{
		Name: "edge-1", Address: "10.0.0.1:80", Zone: "a", Region: "south", Ready: status.Edge.Ready,
		InternalAddress: "10.0.0.1:7662",
	}
	if status.Subscriber != "edge-1" || !proto.Equal(status.Edge, want) {
		t.Errorf("status %v", status)
	}
}

// TestGoldenHeaders compares the headers that a worker gets, and how a client's deadline is read.
func TestGoldenHeaders(t *testing.T) {
	route := &configuration.Route{TargetLatencyMs: 1600}
	p := &proxiedRequest{
		workerRequest: &workerlink.Request{Header: http.Header{"Request-Id": {"id-1"}}},
		lastEventID:   41, hasLastEventID: true,
		route: route, priorityRank: priorityRanks([]*configuration.Route{route})[route],
		deadline: time.Now().Add(time.Hour),
	}
	got := p.workerRequestFor(worker{Worker: loadbalancer.Worker{Instance: "w-1", Engine: true}}).Header
	for name, want := range map[string]string{
		"Request-Id": "id-1", "Target-Instance": "w-1", "Priority": "4", "Last-Event-Id": "41",
	} {
		if got.Get(name) != want {
			t.Errorf("%s: %q instead of %q", name, got.Get(name), want)
		}
	}
	var left int
	if _, err := fmt.Sscan(got.Get("Deadline-Ms"), &left); err != nil || left < 3_000_000 || left > 3_600_000 {
		t.Errorf("Deadline-Ms: %q", got.Get("Deadline-Ms"))
	}
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("Deadline-Ms", "1500")
	if got := requestTimeout(r, &configuration.Route{}); got != 1500*time.Millisecond {
		t.Errorf("time-out %v", got)
	}
}
