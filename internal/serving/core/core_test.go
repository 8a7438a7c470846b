package core

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/wirepb"
	"willowdeck/internal/testkit/ports"
)

// startCore runs a core with a quorum of one until the end of the test.
func startCore(t *testing.T, dataDir string, bootstrap bool) *Core {
	t.Helper()
	first := ports.Span(t, 2)
	text := fmt.Sprintf("node_name=core-1\nip=127.0.0.1\nzone=a\nregion=south\nzones.a=south\nzones.b=north\n"+
		"internal_port_range=%d,%d\nseeds=127.0.0.1:9\nbootstrap=%v\ndata_dir=%s\nheartbeat_ms=100\n",
		first, first+1, bootstrap, dataDir)
	path := filepath.Join(t.TempDir(), "boot.conf")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	config, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	c, err := newCore(config, path, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	listener, err := framing.Listen(c.internalAddress)
	if err != nil {
		t.Fatal(err)
	}
	go c.acceptLinks(listener)
	go c.diskWriter.run(c.stop)
	go c.tallyWriter.run(c.stop)
	signals := make(chan os.Signal, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(signals)
	}()
	t.Cleanup(func() {
		signals <- os.Interrupt
		<-ended
		listener.Close()
	})
	return c
}

// call sends a request to the control plane. base is the Base-Version, or empty for none.
func call(c *Core, method, path, base, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if base != "" {
		request.Header.Set("Base-Version", base)
	}
	recorder := httptest.NewRecorder()
	c.controlHandler().ServeHTTP(recorder, request)
	return recorder
}

// mustCall retries a request for as long as its outcome is unknown, as an operator does.
func mustCall(t *testing.T, c *Core, method, path, base, body string) *httptest.ResponseRecorder {
	t.Helper()
	for range 20 {
		recorder := call(c, method, path, base, body)
		if recorder.Code != http.StatusServiceUnavailable && recorder.Code != http.StatusGatewayTimeout {
			return recorder
		}
	}
	t.Fatalf("the outcome of %s %s is still unknown", method, path)
	return nil
}

func configurationBody(generation int, mark string) string {
	return fmt.Sprintf(`{"generation":%d,"routes":[{"name":%q,"hostname":"h","path_prefix":"/a/",`+
		`"route_type":"idempotent","timeout_ms":100,"backend":"s"}],"services":[{"name":"s"}]}`, generation, mark)
}

func TestReplaceConfiguration(t *testing.T) {
	c := startCore(t, t.TempDir(), true)
	unknownBackend := strings.Replace(configurationBody(5, "y"), `"backend":"s"`, `"backend":"t"`, 1)
	steps := []struct {
		name, base, body string
		want             int
	}{
		{"no base version", "", configurationBody(3, "x"), 400},
		{"first configuration", "0", configurationBody(3, "x"), 200},
		{"retry of the first", "0", configurationBody(3, "x"), 200},
		{"another change of the same base version", "0", configurationBody(5, "y"), 412},
		{"invalid configuration", "3", unknownBackend, 400},
		{"older generation", "3", configurationBody(2, "y"), 400},
		{"next configuration", "3", configurationBody(9, "y"), 200},
		{"retry of the first after a newer one", "0", configurationBody(3, "x"), 200},
		{"body over the limit", "9", configurationBody(10, strings.Repeat("z", maxConfigurationBytes)), 413},
	}
	for _, step := range steps {
		got := mustCall(t, c, "POST", "/Config.Replace", step.base, step.body)
		if got.Code != step.want {
			t.Errorf("%s: %d %s instead of %d", step.name, got.Code, got.Body, step.want)
		}
	}
	if got := mustCall(t, c, "GET", "/Config.Get", "", ""); got.Body.String() != configurationBody(9, "y") {
		t.Errorf("read back %s", got.Body)
	}
	if got := mustCall(t, c, "POST", "/Evacuations.Start/nowhere", "", ""); got.Code != 404 {
		t.Errorf("evacuation of an unknown zone: %d", got.Code)
	}
}

// TestRestartRestoresState stops a core and starts it again. The committed configuration is published at
// once, the saved workers once the core knows which of them have departed since.
func TestRestartRestoresState(t *testing.T) {
	dataDir := t.TempDir()
	t.Run("before the restart", func(t *testing.T) {
		c := startCore(t, dataDir, true)
		if got := mustCall(t, c, "POST", "/Config.Replace", "0", configurationBody(3, "x")); got.Code != 200 {
			t.Fatal(got.Code)
		}
		if got := mustCall(t, c, "POST", "/Evacuations.Start/b", "", ""); got.Code != 200 {
			t.Fatal(got.Code)
		}
		for sequence, instance := range []string{"i-1", "i-2"} {
			heartbeat := heartbeatBody("10.0.0.1:8"+instance[2:], "ready", sequence+1)
			if got := mustCall(t, c, "POST", "/Instances.Heartbeat/"+instance, "", heartbeat); got.Code != 200 {
				t.Fatal(got.Code)
			}
		}
		for saved := false; !saved; {
			data, err := os.ReadFile(filepath.Join(dataDir, workersFile))
			saved = err == nil && strings.Contains(string(data), "i-1") && strings.Contains(string(data), "i-2")
		}
		saved, err := os.ReadFile(filepath.Join(dataDir, workersFile))
		if err != nil {
			t.Fatal(err)
		}
		if got := mustCall(t, c, "POST", "/Instances.Deregister/i-2", "", ""); got.Code != 200 {
			t.Fatal(got.Code)
		}
		t.Cleanup(func() { // the list on disk is older than the last acknowledgement
			if err := os.WriteFile(filepath.Join(dataDir, workersFile), saved, 0o644); err != nil {
				t.Fatal(err)
			}
		})
	})
	c := startCore(t, dataDir, false)
	update, _ := c.engine.StateView().UpdateSince(stateview.Position{})
	if update.Configuration.GetGeneration() != 3 || len(update.Evacuated) != 1 {
		t.Errorf("published configuration %v, evacuated %v", update.Configuration, update.Evacuated)
	}
	deadline := time.After(10 * time.Second)
	for lookup(c, catalog.WorkerKey("i-1")) == nil {
		changed := c.engine.StateView().Changed()
		select {
		case <-changed:
		case <-deadline:
			t.Fatal("the worker is not known")
		}
	}
	if entry := lookup(c, catalog.WorkerKey("i-2")); entry != nil && !entry.Record.Deleted {
		t.Error("a deregistered worker is published")
	}
	update, _ = c.engine.StateView().UpdateSince(stateview.Position{})
	agent := stateview.New("", func() time.Duration { return 0 })
	for range 2 { // the second time as from a provider that has settled
		agent.Apply(update)
		update.Synced, update.QuorumContact = true, true
	}
	if agent.Get(catalog.WorkerKey("i-1")) == nil {
		t.Error("an agent takes the worker for one of a previous incarnation of the core")
	}
}

// lookup returns the entry in the core's view, or nil.
func lookup(c *Core, key string) *catalog.Entry { return c.engine.StateView().Get(key) }

func heartbeatBody(address, state string, sequence int) string {
	return fmt.Sprintf(`{"backend":"s","address":%q,"zone":"a","capacity":4,"state":%q,"sequence":%d}`,
		address, state, sequence)
}

func TestWorkers(t *testing.T) {
	c := startCore(t, t.TempDir(), true)
	heartbeat := func(instance, body string) int {
		return mustCall(t, c, "POST", "/Instances.Heartbeat/"+instance, "", body).Code
	}
	worker := func(instance string) *wirepb.Record {
		if entry := lookup(c, catalog.WorkerKey(instance)); entry != nil {
			return entry.Record
		}
		return nil
	}
	for _, body := range []string{"", "{", `{"backend":"s"}`, `{"backend":"s","address":"nowhere"}`, `[]`} {
		if code := heartbeat("i-1", body); code != 400 {
			t.Errorf("heartbeat %q: %d", body, code)
		}
	}
	ready := heartbeatBody("10.0.0.1:80", "ready", 5)
	if heartbeat("i-1", ready) != 200 || worker("i-1").GetWorker().GetDraining() {
		t.Fatal("a heartbeat was not applied")
	}
	draining := heartbeatBody("10.0.0.1:80", "draining", 6)
	if heartbeat("i-1", draining) != 200 || !worker("i-1").GetWorker().GetDraining() {
		t.Error("draining was not applied")
	}
	late := heartbeatBody("10.0.0.1:80", "ready", 4)
	if heartbeat("i-1", late) != 200 || !worker("i-1").GetWorker().GetDraining() {
		t.Error("a late heartbeat undid draining")
	}
	if heartbeat("i-2", heartbeatBody("10.0.0.1:80", "ready", 1)) != 200 || !worker("i-1").Deleted {
		t.Error("the previous incarnation at an address was kept")
	}
	code := mustCall(t, c, "POST", "/Instances.Deregister/i-2", "", "").Code
	if code != 200 || !worker("i-2").Deleted {
		t.Errorf("deregistration: status %d", code)
	}
	heartbeat("i-2", heartbeatBody("10.0.0.1:80", "ready", 9))
	if !worker("i-2").Deleted {
		t.Error("a deregistered incarnation was registered again")
	}
}

// TestDirectoryFollowsLinks connects agents: an edge is resolved while it is ready and linked.
func TestDirectoryFollowsLinks(t *testing.T) {
	c := startCore(t, t.TempDir(), true)
	resolved := func() []string {
		recorder := httptest.NewRecorder()
		c.directoryHandler().ServeHTTP(recorder, httptest.NewRequest("GET", "/resolve?zone=a&region=south", nil))
		var body resolveResponse
		if recorder.Code == 200 {
			if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil || body.TTL <= 0 {
				t.Fatalf("%s %v", recorder.Body, err)
			}
		}
		return body.Addresses
	}
	if addresses := resolved(); addresses != nil {
		t.Fatalf("addresses %v before any edge", addresses)
	}
	connections := map[string]*framing.Conn{}
	for order, name := range []string{"e1", "e2"} {
		connection, err := framing.Dial(context.Background(), c.internalAddress, time.Second, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		connections[name] = connection
		link(t, connection, name, uint64(order+1))
	}
	awaitAddresses(t, c, resolved, 2)
	connections["e1"].Close()
	awaitAddresses(t, c, resolved, 1)
	if addresses := resolved(); addresses[0] != "e2:80" {
		t.Errorf("addresses %v", addresses)
	}
}

// link subscribes as the agent of a ready edge.
func link(t *testing.T, connection *framing.Conn, name string, order uint64) {
	t.Helper()
	edge := &wirepb.Edge{Name: name, Address: name + ":80", Zone: "a", Region: "south", Ready: true}
	request := &wirepb.WatchRequest{Subscriber: name, Edge: edge, EdgeVersion: order}
	envelope := &wirepb.Envelope{Body: &wirepb.Envelope_Subscribe{Subscribe: request}}
	if err := connection.WriteMessage(envelope); err != nil {
		t.Fatal(err)
	}
}

// awaitAddresses resolves after each change of the core's view until there are count addresses.
func awaitAddresses(t *testing.T, c *Core, resolved func() []string, count int) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	for {
		changed := c.engine.StateView().Changed()
		if len(resolved()) == count {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("addresses %v, not %d", resolved(), count)
		}
	}
}

func TestSelectEdges(t *testing.T) {
	entry := func(address, zone, region string, ready bool) *catalog.Entry {
		edge := &wirepb.Edge{Name: address, Address: address, Zone: zone, Region: region, Ready: ready}
		return &catalog.Entry{Record: &wirepb.Record{Value: &wirepb.Record_Edge{Edge: edge}}}
	}
	a1, a2, b1 := entry("a1", "a", "s", true), entry("a2", "a", "s", true), entry("b1", "b", "s", true)
	n1, notReady := entry("n1", "n", "t", true), entry("a3", "a", "s", false)
	n2 := entry("n2", "n", "t", false)
	ofSilentCore := func(entry *catalog.Entry) *catalog.Entry {
		record := proto.Clone(entry.Record).(*wirepb.Record)
		record.Origin = "silent"
		return &catalog.Entry{Record: record}
	}
	isSilent := func(origin string) bool { return origin == "silent" }
	cases := []struct {
		name    string
		entries []*catalog.Entry
		want    string
	}{
		{"enough in the zone", []*catalog.Entry{a1, a2, b1, n1, notReady}, "[a1 a2]"},
		{"few in the zone", []*catalog.Entry{a1, b1, n1}, "[a1 b1]"},
		{"few in the region", []*catalog.Entry{a1, n1}, "[a1 n1]"},
		{"none ready", []*catalog.Entry{notReady}, "[a3]"},
		{"none known", nil, "[]"},
		{"most of the zone is gone", []*catalog.Entry{a1, a2, b1, notReady, notReady, notReady}, "[a1 a2 b1]"},
		{"the zone's core is silent", []*catalog.Entry{ofSilentCore(a1), ofSilentCore(a2), b1, n1}, "[b1 n1]"},
		{"all cores are silent", []*catalog.Entry{ofSilentCore(a1), ofSilentCore(a2), ofSilentCore(b1)}, "[a1 a2]"},
		{"no ready edge in the region", []*catalog.Entry{notReady, entry("b2", "b", "s", false), n1}, "[n1]"},
		{"no ready edge at all", []*catalog.Entry{notReady, entry("a4", "a", "s", false), n2}, "[a3 a4]"},
	}
	for _, c := range cases {
		if got := fmt.Sprint(selectEdges(c.entries, isSilent, "a", "s")); got != c.want {
			t.Errorf("%s: %s instead of %s", c.name, got, c.want)
		}
	}
}
