package core

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"go.uber.org/zap"

	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/tally"
	"willowdeck/internal/serving/tallylog"
	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wirepb"
)

// testdata/tallies is the data_dir of a core as the code of 3 December 2026 wrote it: the files of
// testdata/data, and the log of tallies of package tallylog's golden test. It is never rewritten.
const goldenTalliesDir = "testdata/tallies"

// goldenTalliesCore returns a core, which does not run, on a copy of the golden directory with tallies.
func goldenTalliesCore(t *testing.T) (c *Core, dataDir string) {
	t.Helper()
	dataDir = t.TempDir()
	if err := os.CopyFS(dataDir, os.DirFS(goldenTalliesDir)); err != nil {
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

// TestGoldenTalliesDataDir starts a core from the golden directory with tallies.
func TestGoldenTalliesDataDir(t *testing.T) {
	c, dataDir := goldenTalliesCore(t)
	status := c.tallies.Status()
	if status.Tallies != 3 || status.Records != 5 {
		t.Errorf("status %+v", status)
	}
	want := tally.Vector{"core-a-1/0a1b2c3d4e5f": 4, "core-b-1/aabbccddeeff": 1}
	held := c.tallies.Vector()
	for origin, sequence := range want {
		if held[origin] != sequence {
			t.Errorf("%s: %d instead of %d", origin, held[origin], sequence)
		}
	}
	if len(held) != len(want) {
		t.Errorf("vector %v", held)
	}
	if replica := c.engine.Status().Replica; replica != goldenIdentity {
		t.Errorf("replica %s", replica)
	}
	opened, err := tallylog.Open(wal.Disk, dataDir)
	if err != nil || opened.Corruption != nil {
		t.Error(opened.Corruption, err)
	}
}

// TestGoldenTallyCalls guards the calls of tallies: paths, keys and statuses.
func TestGoldenTallyCalls(t *testing.T) {
	outcomes := map[tally.Outcome]struct {
		status     int
		retryAfter string
	}{
		tally.Acknowledged: {http.StatusOK, ""},
		tally.Conflict:     {http.StatusConflict, ""},
		tally.Overloaded:   {http.StatusTooManyRequests, "0.2"},
		tally.Unavailable:  {http.StatusServiceUnavailable, "0.2"},
		tally.Unknown:      {http.StatusGatewayTimeout, ""},
	}
	for outcome, want := range outcomes {
		recorder := httptest.NewRecorder()
		writeTallyOutcome(recorder, outcome)
		retryAfter := recorder.Header().Get("Retry-After")
		if recorder.Code != want.status || retryAfter != want.retryAfter {
			t.Errorf("%v: %d, Retry-After %q", outcome, recorder.Code, retryAfter)
		}
	}
	recorder := httptest.NewRecorder()
	writeJSON(recorder, http.StatusOK, tallyResponse{Total: 1873})
	if got := recorder.Body.String(); got != `{"total":1873}` {
		t.Errorf("total %s", got)
	}
	add, err := parseTallyAdd("t3", []byte(`{"instance_id":"5c0e7a21d94b36f8","lease_owner":4}`))
	if err != nil || add != (tally.Add{Tally: "t3", ID: "5c0e7a21d94b36f8", Amount: 4}) {
		t.Errorf("add %+v, error %v", add, err)
	}
	c, _ := goldenCore(t)
	close(c.stop) // so that handlers do not wait
	for path, method := range map[string]string{
		"/Tallies.Update/t3": http.MethodPost, "/Tallies.Get/t3": http.MethodGet,
	} {
		recorder := httptest.NewRecorder()
		c.controlHandler().ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader("{")))
		if !strings.HasPrefix(recorder.Body.String(), `{"error":`) {
			t.Errorf("%s: %d %s", path, recorder.Code, recorder.Body)
		}
	}
}

// TestEngineIgnoresUnknownEnvelope hands the engine an envelope without a body, as a program decodes a
// message that a later one has introduced.
func TestEngineIgnoresUnknownEnvelope(t *testing.T) {
	c, _ := goldenCore(t)
	before := c.engine.Status()
	c.engine.HandleEnvelope(&wirepb.Envelope{})
	if after := c.engine.Status(); after.Term != before.Term || after.Index != before.Index {
		t.Errorf("status %+v instead of %+v", after, before)
	}
}
