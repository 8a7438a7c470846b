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

// TestLaterForm: rules of a form that this program does not know go through its relays as they are, to those
// below that may know it; what it can't read of them it says in its record.
func TestLaterFormat(t *testing.T) {
	r := generation(7, membersOf(2, "h"))
	r.Form, r.Needs = ruleset.Form+8, []string{"what comes later"}
	rules, err := ruleset.Entries(&ruleset.Version{Number: 7, Rules: r})
	if err != nil {
		t.Fatal(err)
	}
	all := []versioned.Entry{{Key: "what/0000", Value: []byte("is not known here")}}
	for k, v := range rules.All() {
		all = append(all, versioned.Entry{Key: k, Value: v})
	}
	rules = versioned.New(7, all)
	s := distribution.NewSource("root", "till", distribution.SourceConfig{})
	up := startTestServer(t, s, nil)
	f := &Config{Name: "r", Cluster: "till", Listen: "127.0.0.1:0", Control: "127.0.0.1:0", LeaseMillis: 1000,
		Upstreams: []string{up.address}, CheckpointPath: filepath.Join(t.TempDir(), "copy")}
	f.Limits.Connections, f.Limits.FullStateBurstKB, f.Limits.FullStateKBPerSecond = 16, 1024, 1024
	m := &history.Memory{}
	below, err := Start(f, m.As("r", 1), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer below.Close()
	c := NewClient([]string{below.Address()}, RequestPath)
	defer c.Close()
	a := distribution.Request{
		FormatVersion:  distribution.FormatVersion,
		Cluster:        "till",
		Sender:         "h",
		Interest:       ruleset.Interest{Host: "h"},
		DiscoveryIndex: -1,
	}
	var got *versioned.State
	for end := time.Now().Add(3 * time.Second); got == nil && time.Now().Before(end); {
		up.publish(distribution.Snapshot{Step: 1, ReadStartMillis: nowMillis(), Settled: true, Rules: rules,
			DiscoveryIndex: -1})
		if an, err := c.Fetch(0, &a, 500); err == nil && an.RulesDelta != nil {
			var none *versioned.State
			if got, err = none.Apply(an.RulesDelta); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if v, there := got.Get("what/0000"); !there || string(v) != "is not known here" {
		t.Errorf("an entry of a later form has come through as %q", v)
	}
	if l := ruleset.LeaseOf(got); l != 1000 {
		t.Errorf("the lease is %v in rules of a later form", l)
	}
	said := false
	for _, e := range m.Record().Events {
		said = said || e.Kind == history.Gives && e.Version == 7 && e.Says != ""
	}
	if !said {
		t.Errorf("the record does not say that the rules can't be read here: %v", m.Record().Events)
	}
}
