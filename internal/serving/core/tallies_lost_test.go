package core

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"
)

// tallyCallTimeout bounds the retries of a tally call: an isolated core refuses for up to 3 s after a start.
const tallyCallTimeout = 10 * time.Second

// mustCallTally retries a call within tallyCallTimeout.
func mustCallTally(t *testing.T, c *Core, method, path, body string) (code int, response string) {
	t.Helper()
	code, response = callTally(c, method, path, body, time.Now().Add(tallyCallTimeout))
	if code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout {
		t.Fatalf("%s %s gets 503 or 504 for %s", method, path, tallyCallTimeout)
	}
	return code, response
}

// Guards against LOST: an add to a tally that was acknowledged, but cannot be read after the core has
// restarted.
func TestAcknowledgedTallyAddIsReadAfterRestart(t *testing.T) {
	const add = `{"instance_id":"5c0e7a21d94b36f8","lease_owner":4}`
	dataDir := t.TempDir()
	acknowledged := t.Run("before the restart", func(t *testing.T) {
		c := startCore(t, dataDir, true)
		for attempt := range 2 { // the second is a retry: it counts once
			code, body := mustCallTally(t, c, "POST", "/Tallies.Update/t3", add)
			if code != http.StatusOK {
				t.Fatalf("attempt %d of the add: %d %s", attempt+1, code, body)
			}
		}
		checkTotal(t, c, "t3", 4)
	})
	if !acknowledged {
		return
	}
	c := startCore(t, dataDir, false)
	checkTotal(t, c, "t3", 4)
	if code, body := mustCallTally(t, c, "POST", "/Tallies.Update/t3", add); code != http.StatusOK {
		t.Fatalf("the add repeated after the restart: %d %s", code, body)
	}
	checkTotal(t, c, "t3", 4)
}

func checkTotal(t *testing.T, c *Core, name string, want int) {
	t.Helper()
	code, body := mustCallTally(t, c, "GET", "/Tallies.Get/"+name, "")
	var total struct{ Total *int }
	err := json.Unmarshal([]byte(body), &total)
	if code != http.StatusOK || err != nil || total.Total == nil {
		t.Fatalf("read of tally %s: %d %q (%v)", name, code, body, err)
	}
	if *total.Total != want {
		t.Errorf("tally %s has the total %d instead of %d", name, *total.Total, want)
	}
}
