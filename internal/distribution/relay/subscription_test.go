package relay

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/distribution"
)

// TestRenewalsAreForwarded guards against a relay that publishes changes alone: a renewal from its upstream
// has to make the snapshot of those below younger.
func TestRenewalsAreForwarded(t *testing.T) {
	source := distribution.NewSource("root", "till", distribution.SourceConfig{})
	upstream := startTestServer(t, source, nil)
	rules := testState(t, 1, 1, membersOf(2, "h"))
	config := &Config{Name: "r", Cluster: "till", Listen: "127.0.0.1:0", Control: "127.0.0.1:0",
		LeaseMillis: 1000,
		Upstreams:   []string{upstream.address}, CheckpointPath: filepath.Join(t.TempDir(), "copy")}
	config.Limits.Connections, config.Limits.FullStateBurstKB, config.Limits.FullStateKBPerSecond = 16, 1024,
		1024
	relay, err := Start(config, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	client := NewClient([]string{relay.Address()}, RequestPath)
	defer client.Close()
	request := distribution.Request{FormatVersion: distribution.FormatVersion, Cluster: "till", Sender: "h",
		DiscoveryIndex: -1}
	answered, oldest := 0, 0.0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		upstream.publish(distribution.Snapshot{Step: 1, ReadStartMillis: nowMillis(), TransitionComplete: true,
			Rules:          rules,
			DiscoveryIndex: -1})
		if response, err := client.Fetch(0, &request, 500); err == nil && response.Step > 0 {
			answered++
			oldest = max(oldest, response.AgeMillis)
		}
	}
	if answered < 20 || oldest > 800 {
		t.Errorf("%d responses, the oldest of %.0f ms, below a root that is confirmed each 20 ms", answered, oldest)
	}
}

// TestRestartWithCurrentCheckpoint: a relay whose checkpoint has the version in force needs no state once an
// upstream has confirmed its mark.
func TestRestartWithCurrentCheckpoint(t *testing.T) {
	status := distribution.NewSource("root", "till", distribution.SourceConfig{})
	upstream := startTestServer(t, status, nil)
	rules := testState(t, 1, 1, membersOf(2, "h"))
	config := &Config{Name: "r", Cluster: "till", Listen: "127.0.0.1:0", Control: "127.0.0.1:0",
		LeaseMillis: 1000,
		Upstreams:   []string{upstream.address}, CheckpointPath: filepath.Join(t.TempDir(), "copy")}
	config.Limits.Connections, config.Limits.FullStateBurstKB, config.Limits.FullStateKBPerSecond = 16, 1024,
		1024
	for start := range 2 {
		relay, err := Start(config, nil, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			upstream.publish(distribution.Snapshot{Step: 1, ReadStartMillis: nowMillis(), TransitionComplete: true,
				Rules:          rules,
				DiscoveryIndex: -1})
			if status := relay.Status(); status.Known && status.Checkpoint.Written+int64(start) > 0 {
				break
			}
		}
		if status := relay.Status(); !status.Known || status.Follower.FullStates != int64(1-start) ||
			status.Follower.Deltas != 0 {
			t.Errorf("start %d: %+v %+v", start, status, status.Follower)
		}
		relay.Close()
	}
}
