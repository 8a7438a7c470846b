package relay

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/distribution"
)

// TestAgeStaysYoung guards against a relay that gives on what it knows at changes alone: what its parent says
// anew, with nothing changed, has to make what those below are told younger.
func TestRenewalsAreForwarded(t *testing.T) {
	s := distribution.NewSource("root", "till", distribution.SourceConfig{})
	up := startTestServer(t, s, nil)
	rules := testState(t, 1, 1, membersOf(2, "h"))
	f := &Config{Name: "r", Cluster: "till", Listen: "127.0.0.1:0", Control: "127.0.0.1:0", LeaseMillis: 1000,
		Upstreams: []string{up.address}, CheckpointPath: filepath.Join(t.TempDir(), "copy")}
	f.Limits.Connections, f.Limits.FullStateBurstKB, f.Limits.FullStateKBPerSecond = 16, 1024, 1024
	r, err := Start(f, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c := NewClient([]string{r.Address()}, RequestPath)
	defer c.Close()
	a := distribution.Request{FormatVersion: distribution.FormatVersion, Cluster: "till", Sender: "h",
		DiscoveryIndex: -1}
	answered, oldest := 0, 0.0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		up.publish(distribution.Snapshot{Step: 1, ReadStartMillis: nowMillis(), Settled: true, Rules: rules,
			DiscoveryIndex: -1})
		if got, err := c.Fetch(0, &a, 500); err == nil && got.Step > 0 {
			answered++
			oldest = max(oldest, got.AgeMillis)
		}
	}
	if answered < 20 || oldest > 800 {
		t.Errorf("%d answers, the oldest of %.0f ms, below a root that is confirmed each 20 ms", answered, oldest)
	}
}

// TestSameVersionAgain: a relay whose copy is of the version in force goes by it as soon as one above it says
// that this is so.
func TestRestartWithCurrentCheckpoint(t *testing.T) {
	s := distribution.NewSource("root", "till", distribution.SourceConfig{})
	up := startTestServer(t, s, nil)
	rules := testState(t, 1, 1, membersOf(2, "h"))
	f := &Config{Name: "r", Cluster: "till", Listen: "127.0.0.1:0", Control: "127.0.0.1:0", LeaseMillis: 1000,
		Upstreams: []string{up.address}, CheckpointPath: filepath.Join(t.TempDir(), "copy")}
	f.Limits.Connections, f.Limits.FullStateBurstKB, f.Limits.FullStateKBPerSecond = 16, 1024, 1024
	for life := range 2 {
		r, err := Start(f, nil, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			up.publish(distribution.Snapshot{Step: 1, ReadStartMillis: nowMillis(), Settled: true, Rules: rules,
				DiscoveryIndex: -1})
			if s := r.Status(); s.Known && s.Checkpoint.Written+int64(life) > 0 {
				break
			}
		}
		if s := r.Status(); !s.Known || s.Follower.FullStates != int64(1-life) || s.Follower.Deltas != 0 {
			t.Errorf("life %d: %+v %+v", life, s, s.Follower)
		}
		r.Close()
	}
}
