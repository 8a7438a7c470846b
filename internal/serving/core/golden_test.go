package core

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/control"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wirepb"
)

// testdata/data is the data_dir of a core as the code of 2 December 2026 wrote it: log segment, identity and
// saved workers, written by wal.Log, wal.SaveIdentity and control.Engine. It is never rewritten: cores in
// use start from such directories. A core keeps no other file there; its peers are in the log's membership.
const (
	goldenDataDir  = "testdata/data"
	goldenIdentity = "127.0.0.1#0a1b2c3d4e5f"
)

// goldenCore returns a core, which does not run, on a copy of the golden directory.
func goldenCore(t *testing.T) (c *Core, dataDir string) {
	t.Helper()
	dataDir = t.TempDir()
	if err := os.CopyFS(dataDir, os.DirFS(goldenDataDir)); err != nil {
		t.Fatal(err)
	}
	config, err := settings.Parse("node_name=core-1\nip=127.0.0.1\nzone=a\nregion=south\n" +
		"internal_port_range=7660,7675\nseeds=127.0.0.1:9\ndata_dir=" + dataDir + "\n")
	if err != nil {
		t.Fatal(err)
	}
	c, err = newCore(config, "", zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return c, dataDir
}

// TestGoldenDataDir starts a core from the golden directory and compares its complete status.
func TestGoldenDataDir(t *testing.T) {
	c, _ := goldenCore(t)
	status := c.engine.Status()
	if status.Replica != goldenIdentity || status.Term != 6 || status.Generation != 7 || status.Index != 22 {
		t.Errorf("status %+v", status)
	}
	members := []string{goldenIdentity, "10.0.0.2#founder", "10.0.0.3#founder"}
	if !slices.Equal(status.Members, members) {
		t.Errorf("members %v", status.Members)
	}
	if !slices.Equal(status.Evacuated, []string{"x", "z"}) {
		t.Errorf("evacuated %v", status.Evacuated)
	}
	want := []control.WorkerStatus{
		{Instance: "w-1", Service: "s1", Address: "10.0.1.1:8000", Zone: "a", State: "cold"},
		{Instance: "w-2", Service: "s2", Address: "10.0.1.2:8000", Zone: "b", State: "draining"},
		{Instance: "w-draining", Service: "s1", Address: "10.0.1.4:8000", Zone: "a", State: "draining"},
	}
	if !slices.Equal(status.Workers, want) {
		t.Errorf("workers %+v", status.Workers)
	}
}

// TestGoldenDataDirUnchanged compares the files after a start, which writes nothing.
func TestGoldenDataDirUnchanged(t *testing.T) {
	_, dataDir := goldenCore(t)
	names, err := wal.Disk.ReadDir(dataDir)
	if err != nil || !slices.Equal(names, []string{"identity", "segment-0000000000000002", "workers"}) {
		t.Errorf("files %v, error %v", names, err)
	}
	for _, name := range names {
		got, err := os.ReadFile(filepath.Join(dataDir, name))
		if err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(filepath.Join(goldenDataDir, name))
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: %x instead of %x, error %v", name, got, want, err)
		}
	}
}

// TestGoldenWorkersSaved saves a list of workers in the file that the next start reads.
func TestGoldenWorkersSaved(t *testing.T) {
	c, dataDir := goldenCore(t)
	saved := make(chan struct{})
	(&environment{c}).SaveWorkers([]byte("saved"), func() { close(saved) })
	(<-c.events)()
	<-saved
	if data, err := os.ReadFile(filepath.Join(dataDir, "workers")); err != nil || string(data) != "saved" {
		t.Errorf("saved %q, error %v", data, err)
	}
	if data := loadSavedWorkers(dataDir); string(data) != "saved" {
		t.Errorf("read %q", data)
	}
}

// TestGoldenHeartbeat decodes a heartbeat by the keys that workers send.
func TestGoldenHeartbeat(t *testing.T) {
	const text = `{"backend":"s1","address":"10.0.1.1:8000","zone":"a","generation":"v2","capacity":64,` +
		`"state":"draining","cold_remaining_ms":4500,"sequence":12}`
	var body heartbeatRequest
	if err := json.Unmarshal([]byte(text), &body); err != nil {
		t.Fatal(err)
	}
	got := body.heartbeat("w-1")
	want := &wirepb.Worker{
		InstanceId: "w-1", Service: "s1", Address: "10.0.1.1:8000", Zone: "a", Capacity: 64, Draining: true,
		WarmupRemainingMs: 4500, Software: "v2",
	}
	if !proto.Equal(got.Worker, want) || got.Sequence != 12 {
		t.Errorf("heartbeat %v, sequence %d", got.Worker, got.Sequence)
	}
	if again, err := json.Marshal(body); err != nil || string(again) != text {
		t.Errorf("encoded to %s, error %v", again, err)
	}
}

// TestGoldenResponses guards the bodies that operators, workers and clients receive.
func TestGoldenResponses(t *testing.T) {
	cases := []struct {
		value any
		want  string
	}{
		{errorResponse{"why"}, `{"error":"why"}`},
		{acceptedResponse{OK: true}, `{"ok":true}`},
		{resolveResponse{Addresses: []string{"10.0.2.1:80"}, TTL: 0.5},
			`{"addresses":["10.0.2.1:80"],"ttl_s":0.5}`},
	}
	for _, pair := range cases {
		recorder := httptest.NewRecorder()
		writeJSON(recorder, http.StatusOK, pair.value)
		if got := recorder.Body.String(); got != pair.want {
			t.Errorf("%s instead of %s", got, pair.want)
		}
	}
	outcomes := map[wirepb.Outcome]int{
		wirepb.Outcome_OUTCOME_ACCEPTED: http.StatusOK,
		wirepb.Outcome_OUTCOME_CONFLICT: http.StatusPreconditionFailed,
		wirepb.Outcome_OUTCOME_STALE:    http.StatusBadRequest,
		wirepb.Outcome_OUTCOME_UNKNOWN:  http.StatusGatewayTimeout,
		control.OutcomeNotForwarded:     http.StatusServiceUnavailable,
	}
	for outcome, code := range outcomes {
		recorder := httptest.NewRecorder()
		writeOutcome(recorder, outcome)
		if recorder.Code != code {
			t.Errorf("%v: %d instead of %d", outcome, recorder.Code, code)
		}
	}
}

// TestGoldenPaths requests each path that operators, workers and clients use. Each handler responds with an
// error, since the core does not run.
func TestGoldenPaths(t *testing.T) {
	c, _ := goldenCore(t)
	close(c.stop) // so that handlers do not wait
	control := [][2]string{
		{http.MethodPost, "/Config.Replace"}, {http.MethodGet, "/Config.Get"},
		{http.MethodPost, "/Evacuations.Start/z"}, {http.MethodPost, "/Evacuations.Stop/z"},
		{http.MethodPost, "/Instances.Heartbeat/w-1"}, {http.MethodPost, "/Instances.Deregister/w-1"},
		{http.MethodGet, "/status"},
	}
	for _, path := range control {
		recorder := httptest.NewRecorder()
		c.controlHandler().ServeHTTP(recorder, httptest.NewRequest(path[0], path[1], nil))
		if !bytes.HasPrefix(recorder.Body.Bytes(), []byte(`{"error":`)) {
			t.Errorf("%s: %d %s", path, recorder.Code, recorder.Body)
		}
	}
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "/resolve?zone=a&region=south", nil)
	c.directoryHandler().ServeHTTP(recorder, request)
	if !bytes.HasPrefix(recorder.Body.Bytes(), []byte(`{"error":`)) {
		t.Errorf("resolve: %d %s", recorder.Code, recorder.Body)
	}
}

// TestGoldenBaseVersion guards the header with the generation that a change is based on.
func TestGoldenBaseVersion(t *testing.T) {
	c, _ := goldenCore(t)
	request := httptest.NewRequest(http.MethodPost, "/Config.Replace", strings.NewReader("{"))
	request.Header.Set("Base-Version", "7")
	recorder := httptest.NewRecorder()
	c.controlHandler().ServeHTTP(recorder, request)
	if !strings.HasPrefix(recorder.Body.String(), `{"error":"configuration: `) {
		t.Errorf("the header was not accepted: %s", recorder.Body)
	}
}
