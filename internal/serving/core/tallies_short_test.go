package core

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"
)

const (
	// tallyStartLimit bounds how long after its start a core may answer calls of tallies with 503 or 504.
	tallyStartLimit = 5 * time.Second
	tallyRetryPause = 20 * time.Millisecond
	addOfFour       = `{"instance_id":"5c0e7a21d94b36f8","lease_owner":4}`
)

// TestCoreWithoutQuorumServesTallies guards against SHORT: the minority of a partition refuses tallies.
func TestCoreWithoutQuorumServesTallies(t *testing.T) {
	c := startCore(t, t.TempDir(), false)
	deadline := time.Now().Add(tallyStartLimit)
	if code, body := callTally(c, "POST", "/Tallies.Update/t3", addOfFour, deadline); code != http.StatusOK {
		t.Fatalf("add without a quorum: %d %s", code, body)
	}
	if got := call(c, "POST", "/Evacuations.Start/b", "", ""); got.Code != http.StatusServiceUnavailable {
		t.Errorf("evacuation without a quorum: %d", got.Code)
	}
	if code, body := callTally(c, "POST", "/Tallies.Update/t3", addOfFour, deadline); code != http.StatusOK {
		t.Errorf("retry of the add: %d %s", code, body)
	}
	code, body := callTally(c, "GET", "/Tallies.Get/t3", "", deadline)
	var read struct {
		Total int `json:"total"`
	}
	if err := json.Unmarshal([]byte(body), &read); code != http.StatusOK || err != nil || read.Total != 4 {
		t.Errorf("read without a quorum: %d %s", code, body)
	}
}

// callTally retries a call until the deadline while its response is 503 or 504, as applications do.
func callTally(c *Core, method, path, body string, deadline time.Time) (code int, response string) {
	for {
		got := call(c, method, path, "", body)
		mayRetry := got.Code == http.StatusServiceUnavailable || got.Code == http.StatusGatewayTimeout
		if !mayRetry || time.Now().After(deadline) {
			return got.Code, got.Body.String()
		}
		time.Sleep(tallyRetryPause)
	}
}
