package core

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Retries of a tally call. An isolated core refuses for up to 3 s after a start.
const (
	tallyCallTimeout = 10 * time.Second
	tallyCallPause   = 50 * time.Millisecond
)

// callTally retries a call as applications do: after 503 (nothing was done) and 504 (the outcome is unknown).
func callTally(t *testing.T, c *Core, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	for deadline := time.Now().Add(tallyCallTimeout); time.Now().Before(deadline); time.Sleep(tallyCallPause) {
		recorder := call(c, method, path, "", body)
		if recorder.Code != http.StatusServiceUnavailable && recorder.Code != http.StatusGatewayTimeout {
			return recorder
		}
	}
	t.Fatalf("%s %s gets 503 or 504 for %s", method, path, tallyCallTimeout)
	return nil
}

// Guards against LOST: an acknowledged add to a tally that cannot be read after the core has restarted.
func TestAcknowledgedTallyAddIsReadAfterRestart(t *testing.T) {
	const add = `{"instance_id":"5c0e7a21d94b36f8","lease_owner":4}`
	dataDir := t.TempDir()
	acknowledged := t.Run("before the restart", func(t *testing.T) {
		c := startCore(t, dataDir, true)
		for attempt := range 2 { // the second is a retry: it counts once
			if got := callTally(t, c, "POST", "/Tallies.Update/t3", add); got.Code != http.StatusOK {
				t.Fatalf("attempt %d of the add: %d %s", attempt+1, got.Code, got.Body)
			}
		}
		checkTotal(t, c, "t3", 4)
	})
	if !acknowledged {
		return
	}
	c := startCore(t, dataDir, false)
	checkTotal(t, c, "t3", 4)
	if got := callTally(t, c, "POST", "/Tallies.Update/t3", add); got.Code != http.StatusOK {
		t.Fatalf("the add repeated after the restart: %d %s", got.Code, got.Body)
	}
	checkTotal(t, c, "t3", 4)
}

func checkTotal(t *testing.T, c *Core, name string, want int) {
	t.Helper()
	got := callTally(t, c, "GET", "/Tallies.Get/"+name, "")
	var total struct{ Total *int }
	err := json.Unmarshal(got.Body.Bytes(), &total)
	if got.Code != http.StatusOK || err != nil || total.Total == nil {
		t.Fatalf("read of tally %s: %d %q (%v)", name, got.Code, got.Body, err)
	}
	if *total.Total != want {
		t.Errorf("tally %s has the total %d instead of %d", name, *total.Total, want)
	}
}
