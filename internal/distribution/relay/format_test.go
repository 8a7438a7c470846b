package relay

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/distribution"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
	"willowdeck/internal/versioned"
)

// TestLaterFormat: rules of a format that this program does not support pass its relays unchanged, to those
// below that may support it; the relay records that it can't decode them.
func TestLaterFormat(t *testing.T) {
	r := generation(7, membersOf(2, "h"))
	r.Format, r.Needs = ruleset.SupportedFormat+8, []string{"later feature"}
	rules, err := ruleset.VersionToState(&ruleset.Version{Number: 7, Rules: r})
	if err != nil {
		t.Fatal(err)
	}
	all := []versioned.Entry{{Key: "later/0000", Value: []byte("unsupported value")}}
	for k, v := range rules.All() {
		all = append(all, versioned.Entry{Key: k, Value: v})
	}
	rules = versioned.New(7, all)
	source := distribution.NewSource("root", "till", distribution.SourceConfig{})
	upstream := startTestServer(t, source, nil)
	config := &Config{Name: "r", Cluster: "till", Listen: "127.0.0.1:0", Control: "127.0.0.1:0",
		LeaseMillis: 1000,
		Upstreams:   []string{upstream.address}, CheckpointPath: filepath.Join(t.TempDir(), "copy")}
	config.Limits.Connections, config.Limits.FullStateBurstKB, config.Limits.FullStateKBPerSecond = 16, 1024,
		1024
	recorded := &history.Memory{}
	relay, err := Start(config, recorded.As("r", 1), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	client := NewClient([]string{relay.Address()}, RequestPath)
	defer client.Close()
	request := distribution.Request{
		FormatVersion:  distribution.FormatVersion,
		Cluster:        "till",
		Sender:         "h",
		Interest:       ruleset.Interest{Host: "h"},
		DiscoveryIndex: -1,
	}
	var got *versioned.State
	for end := time.Now().Add(3 * time.Second); got == nil && time.Now().Before(end); {
		upstream.publish(distribution.Snapshot{Step: 1, ReadStartMillis: nowMillis(), TransitionComplete: true,
			Rules:          rules,
			DiscoveryIndex: -1})
		if response, err := client.Fetch(0, &request, 500); err == nil && response.RulesDelta != nil {
			var none *versioned.State
			if got, err = none.Apply(response.RulesDelta); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if v, there := got.Get("later/0000"); !there || string(v) != "unsupported value" {
		t.Errorf("an entry of a later format is received as %q", v)
	}
	if l := ruleset.StateLeaseMillis(got); l != 1000 {
		t.Errorf("the lease is %v in rules of a later format", l)
	}
	recordedError := false
	for _, e := range recorded.Record().Events {
		recordedError = recordedError || e.Kind == history.ReportedInForce && e.Version == 7 && e.Says != ""
	}
	if !recordedError {
		t.Errorf("it is not recorded that the rules can't be decoded: %v", recorded.Record().Events)
	}
}
