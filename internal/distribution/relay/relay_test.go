package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"willowdeck/internal/distribution"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// completeConfig has every key.
const completeConfig = `name = "south-1"
cluster = "till"
listen = "127.0.0.1:7900"
control = "127.0.0.1:7901"
upstream = ["127.0.0.2:7900", "127.0.0.3:7900"]
store = "relay.copy"
lease_ms = 1000
[limits]
connections = 4096
whole_kb_s = 8192
whole_kb = 8192
`

// TestConfig: an error of a configuration names its key.
func TestConfig(t *testing.T) {
	for _, test := range []struct{ old, replacement, wantError string }{
		{"", "", ""},
		{"", "colour = 1\n", "colour: unknown key"},
		{`name = "south-1"`, `name = ""`, "name:"},
		{`cluster = "till"`, "", "cluster:"},
		{`listen = "127.0.0.1:7900"`, `listen = "nowhere"`, "listen:"},
		{`control = "127.0.0.1:7901"`, `control = "127.0.0.1:7900"`, "control:"},
		{`["127.0.0.2:7900", "127.0.0.3:7900"]`, "[]", "upstream:"},
		{`"127.0.0.3:7900"]`, `"127.0.0.2:7900"]`, "upstream.1:"},
		{`"127.0.0.3:7900"]`, `"127.0.0.1:7900"]`, "upstream.1:"},
		{`"127.0.0.3:7900"]`, `"there"]`, "upstream.1:"},
		{`"relay.copy"`, `"relay.toml/relay.copy"`, "store:"},
		{"lease_ms = 1000", "lease_ms = 50", "lease_ms:"},
		{"lease_ms = 1000", "lease_ms = nan", "lease_ms:"},
		{"connections = 4096", "connections = 0", "limits.connections:"},
		{"whole_kb_s = 8192", "whole_kb_s = 0", "limits.whole_kb_s:"},
		{"whole_kb = 8192", "whole_kb = inf", "limits.whole_kb:"},
		{"whole_kb = 8192", "whole_kb = \"8\"", "whole_kb"},
	} {
		text := strings.Replace(completeConfig, test.old, test.replacement, 1)
		path := filepath.Join(t.TempDir(), "relay.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		config, err := ReadConfig(path)
		if test.wantError == "" {
			if err != nil || config.CheckpointPath != filepath.Join(filepath.Dir(path), "relay.copy") {
				t.Errorf("the complete file: %+v, %v", config, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), test.wantError) {
			t.Errorf("%s in place of %s: %v, not %q", test.replacement, test.old, err, test.wantError)
		}
	}
}

// TestDeployedConfig: the file that operators begin with is valid.
func TestDeployedConfig(t *testing.T) {
	if _, err := ReadConfig("../../../deploy/relay.toml"); err != nil {
		t.Error(err)
	}
}

// membersOf gives members of one host.
func membersOf(n int, host string) (members []ruleset.Member) {
	for i := range n {
		members = append(members, ruleset.Member{Name: fmt.Sprintf("g%d", i), Host: host})
	}
	return members
}

// testState gives the state of a version with the rules of a generation.
func testState(tb testing.TB, number uint64, generationNumber int,
	members []ruleset.Member) *versioned.State {
	tb.Helper()
	s, err := ruleset.VersionToState(&ruleset.Version{Number: number,
		Rules: generation(generationNumber, members)})
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// TestCheckpoint: a checkpoint is read as it was written; a damaged one, or one of another cluster, is an
// error.
func TestCheckpoint(t *testing.T) {
	path := filepath.Join(t.TempDir(), "relay.copy")
	if _, _, err := readCheckpoint(path, "till"); !errors.Is(err, errNoCheckpoint) {
		t.Errorf("no file: %v", err)
	}
	rules, pending := testState(t, 4, 4, membersOf(3, "h")), testState(t, 5, 5, membersOf(3, "h"))
	for _, p := range []*versioned.State{nil, pending} {
		if err := writeCheckpoint(path, "till", rules, p); err != nil {
			t.Fatal(err)
		}
		r, q, err := readCheckpoint(path, "till")
		if err != nil || r.ID() != rules.ID() || q.ID() != p.ID() {
			t.Errorf("%v and %v are read as %v and %v: %v", rules.ID(), p.ID(), r.ID(), q.ID(), err)
		}
	}
	if _, _, err := readCheckpoint(path, "mill"); err == nil {
		t.Error("a checkpoint of another cluster was accepted")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range raw {
		flipped := bytes.Clone(raw)
		flipped[i] ^= 0x40
		for damage, b := range map[string][]byte{"flipped": flipped, "truncated": raw[:i]} {
			if err := os.WriteFile(path, b, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, _, err := readCheckpoint(path, "till"); err == nil || errors.Is(err, errNoCheckpoint) {
				t.Fatalf("a checkpoint that is %s at byte %d was accepted: %v", damage, i, err)
			}
		}
	}
}

// startTestServer serves a source at a port of its own.
func startTestServer(tb testing.TB, source *distribution.Source, onReports func([]distribution.HostAck,
	int64)) *server {
	tb.Helper()
	if onReports == nil {
		onReports = func([]distribution.HostAck, int64) {}
	}
	server, err := startServer("127.0.0.1:0", 64, 1000, source, onReports)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(server.close)
	return server
}

// TestCorruptMessages: a body with any byte changed is rejected at either end, and counted.
func TestCorruptMessages(t *testing.T) {
	source := distribution.NewSource("root", "till", distribution.SourceConfig{})
	source.Publish(
		distribution.Snapshot{Step: 3, ReadStartMillis: nowMillis(), TransitionComplete: true,
			Rules: testState(t, 1, 1, membersOf(2, "h")), DiscoveryIndex: -1},
	)
	var facts []distribution.HostAck
	server := startTestServer(t, source, func(all []distribution.HostAck,
		_ int64) {
		facts = append(facts, all...)
	})
	request := distribution.Request{
		FormatVersion:  distribution.FormatVersion,
		Cluster:        "till",
		Sender:         "h",
		Interest:       ruleset.Interest{Host: "h"},
		HostAcks:       []distribution.HostAck{{Host: "h", Step: 3}},
		DiscoveryIndex: -1,
	}
	raw, err := request.Encode()
	if err != nil {
		t.Fatal(err)
	}
	post := func(body []byte) int {
		res, err := http.Post("http://"+server.address+RequestPath, contentType, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		return res.StatusCode
	}
	for i := range raw {
		b := bytes.Clone(raw)
		b[i] ^= 1
		if status := post(b); status != http.StatusBadRequest {
			t.Fatalf("byte %d changed: status %d", i, status)
		}
	}
	if len(facts) != 0 {
		t.Errorf("facts of corrupt requests: %v", facts)
	}
	if f := server.handler.Traffic().Failures; f[reasonChecksum]+f[reasonMalformed] != int64(len(raw)) {
		t.Errorf("%v are counted of %d corrupt messages", f, len(raw))
	}
	if status := post(raw); status != http.StatusOK || len(facts) != 1 {
		t.Errorf("a valid request: status %d, facts %v", status, facts)
	}

	// An upstream whose responses are valid before corrupt changes them.
	corrupt := func(b []byte) []byte { return b }
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		_, b := server.handler.serve(raw)
		_, _ = w.Write(corrupt(b))
	}))
	t.Cleanup(upstream.Close)
	client := NewClient([]string{upstream.Listener.Addr().String()}, RequestPath)
	t.Cleanup(client.Close)
	var lastBody []byte
	corrupt = func(b []byte) []byte { lastBody = b; return b }
	if _, err := client.Fetch(0, &request, 1000); err != nil {
		t.Fatal(err)
	}
	for i := range lastBody {
		corrupt = func(b []byte) []byte { b[i%len(b)] ^= 1; return b }
		if _, err := client.Fetch(0, &request, 1000); !errors.Is(err, ErrCorruptResponse) {
			t.Fatalf("byte %d of a response changed: %v", i, err)
		}
	}
	if f := client.Traffic().Failures; f[reasonChecksum]+f[reasonMalformed] != int64(len(lastBody)) {
		t.Errorf("%v are counted of %d corrupt messages", f, len(lastBody))
	}
	// Guards against a response that is delivered again for a later request: its age would count from that.
	corrupt = func([]byte) []byte { return lastBody }
	if _, err := client.Fetch(0, &request, 1000); !errors.Is(err, ErrCorruptResponse) ||
		client.Traffic().Failures[reasonWrongNonce] != 1 {
		t.Errorf("the response to an earlier request: %v", err)
	}
}

// TestRejectedRequests: an invalid request, or one of another format version or cluster, has a status and a
// reason.
func TestRejectedRequests(t *testing.T) {
	server := startTestServer(t, distribution.NewSource("root", "till", distribution.SourceConfig{}), nil)
	client := NewClient([]string{server.address}, RequestPath)
	t.Cleanup(client.Close)
	valid := distribution.Request{FormatVersion: distribution.FormatVersion, Cluster: "till", Sender: "h",
		DiscoveryIndex: -1}
	for what, change := range map[string]func(*distribution.Request){
		"other format version": func(a *distribution.Request) { a.FormatVersion = distribution.FormatVersion + 1 },
		"other cluster":        func(a *distribution.Request) { a.Cluster = "mill" },
	} {
		a := valid
		change(&a)
		_, err := client.Fetch(0, &a, 1000)
		var status *StatusError
		if !errors.As(err, &status) || status.Code == http.StatusOK || status.Code == http.StatusNotFound {
			t.Errorf("%s: %v", what, err)
		}
	}
	if f := server.handler.Traffic().Failures; f[reasonUnacceptable]+f[reasonMalformed] != 2 {
		t.Errorf("counted by reason: %v", f)
	}
	otherPath := NewClient([]string{server.address}, "/fleet/ask")
	t.Cleanup(otherPath.Close)
	var status *StatusError
	if _, err := otherPath.Fetch(0, &valid, 1000); !errors.As(err, &status) ||
		status.Code != http.StatusNotFound {
		t.Errorf("another path: %v", err)
	}
	tooLong := bytes.Repeat([]byte("a"), distribution.MaxRequestBytes+1)
	res, err := http.Post("http://"+server.address+RequestPath, contentType, bytes.NewReader(tooLong))
	if err == nil {
		res.Body.Close()
		if res.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("too long a request: status %d", res.StatusCode)
		}
	}
}

// TestSilentUpstream: an upstream that accepts connections and never responds costs no more than its
// time-out, and no more than its connections.
func TestSilentUpstream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := NewClient([]string{listener.Addr().String()}, RequestPath)
	defer client.Close()
	for range 3 {
		start := time.Now()
		if _, err := client.Fetch(0, &distribution.Request{FormatVersion: distribution.FormatVersion,
			Cluster: "till",
			Sender:  "h"},
			100); err == nil {
			t.Error("a response from a silent upstream")
		}
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Errorf("waited %v for 100 ms", elapsed)
		}
	}
	if n := client.Traffic().Failures[reasonTimeout]; n != 3 {
		t.Errorf("%d of 3 are counted as timed out", n)
	}
}

// TestCloseLeavesNoGoroutines: a closed relay leaves no goroutine, whether or not its upstreams respond, and
// its address can be used again at once.
func TestCloseLeavesNoGoroutines(t *testing.T) {
	source := distribution.NewSource("root", "till", distribution.SourceConfig{})
	source.Publish(distribution.Snapshot{Step: 1, ReadStartMillis: nowMillis(),
		Rules: testState(t, 1, 1, membersOf(2, "h")), DiscoveryIndex: -1})
	upstream := startTestServer(t, source, nil)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	first := NewClient([]string{upstream.address}, RequestPath)
	defer first.Close()
	request := distribution.Request{FormatVersion: distribution.FormatVersion, Cluster: "till", Sender: "h",
		DiscoveryIndex: -1}
	if _, err := first.Fetch(0, &request, 1000); err != nil {
		t.Fatal(err) // the upstream now has all of its goroutines
	}
	before := goleak.IgnoreCurrent()
	config := &Config{Name: "r", Cluster: "till", Listen: "127.0.0.1:0", Control: "127.0.0.1:0",
		LeaseMillis:    1000,
		Upstreams:      []string{upstream.address, silent.Addr().String()},
		CheckpointPath: filepath.Join(t.TempDir(), "copy")}
	config.Limits.Connections, config.Limits.FullStateBurstKB, config.Limits.FullStateKBPerSecond = 16, 1024,
		1024
	for range 2 {
		relay, err := Start(config, nil, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		config.Listen = relay.Address()
		c := NewClient([]string{relay.Address()}, RequestPath)
		_, _ = c.Fetch(0, &request, 1000)
		time.Sleep(300 * time.Millisecond)
		c.Close()
		relay.Close()
	}
	// The library's own goroutines sleep for a while before they check whether they are still used.
	for end := time.Now().Add(2 * idleConnectionTimeout); goleak.Find(before) != nil && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	goleak.VerifyNone(t, before)
}
