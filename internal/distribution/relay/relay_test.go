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

// fullFile has every key.
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

// TestFile: what is wrong in a relay's file is named by its key.
func TestConfig(t *testing.T) {
	for _, c := range []struct{ was, is, says string }{
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
		text := strings.Replace(completeConfig, c.was, c.is, 1)
		path := filepath.Join(t.TempDir(), "relay.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := ReadConfig(path)
		if c.says == "" {
			if err != nil || f.CheckpointPath != filepath.Join(filepath.Dir(path), "relay.copy") {
				t.Errorf("the whole file: %+v, %v", f, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s in place of %s: %v, not %q", c.is, c.was, err, c.says)
		}
	}
}

// TestDeployed: the file that operators begin with is right.
func TestDeployedConfig(t *testing.T) {
	if _, err := ReadConfig("../../../deploy/relay.toml"); err != nil {
		t.Error(err)
	}
}

// some gives members of one host.
func membersOf(n int, host string) (all []ruleset.Member) {
	for i := range n {
		all = append(all, ruleset.Member{Name: fmt.Sprintf("g%d", i), Host: host})
	}
	return all
}

// stateOf makes a state of a generation.
func testState(t testing.TB, number uint64, gen int, members []ruleset.Member) *versioned.State {
	t.Helper()
	s, err := ruleset.Entries(&ruleset.Version{Number: number, Rules: generation(gen, members)})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestCopy: a copy comes back as it was; one that is spoilt anywhere, or is another's, is none.
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
		if err != nil || r.Mark() != rules.Mark() || q.Mark() != p.Mark() {
			t.Errorf("%v and %v came back as %v and %v: %v", rules.Mark(), p.Mark(), r.Mark(), q.Mark(), err)
		}
	}
	if _, _, err := readCheckpoint(path, "mill"); err == nil {
		t.Error("a copy of another cluster was taken")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range raw {
		spoilt := bytes.Clone(raw)
		spoilt[i] ^= 0x40
		for what, b := range map[string][]byte{"flipped": spoilt, "torn": raw[:i]} {
			if err := os.WriteFile(path, b, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, _, err := readCheckpoint(path, "till"); err == nil || errors.Is(err, errNoCheckpoint) {
				t.Fatalf("a copy that is %s at byte %d was taken: %v", what, i, err)
			}
		}
	}
}

// server answers asks from a source, at a port of its own.
func startTestServer(t testing.TB, s *distribution.Source, told func([]distribution.HostStep,
	int64)) *server {
	t.Helper()
	if told == nil {
		told = func([]distribution.HostStep, int64) {}
	}
	g, err := startServer("127.0.0.1:0", 64, 1000, s, told)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.close)
	return g
}

// TestSpoilt: a body with a byte changed anywhere is refused at either end, and what is refused is counted.
func TestCorruptMessages(t *testing.T) {
	s := distribution.NewSource("root", "till", distribution.SourceConfig{})
	s.Publish(
		distribution.Snapshot{Step: 3, ReadStartMillis: nowMillis(), Settled: true,
			Rules: testState(t, 1, 1, membersOf(2, "h")), DiscoveryIndex: -1},
	)
	var news []distribution.HostStep
	g := startTestServer(t, s, func(all []distribution.HostStep, _ int64) { news = append(news, all...) })
	ask := distribution.Request{
		FormatVersion:  distribution.FormatVersion,
		Cluster:        "till",
		Sender:         "h",
		Interest:       ruleset.Interest{Host: "h"},
		HostSteps:      []distribution.HostStep{{Host: "h", Step: 3}},
		DiscoveryIndex: -1,
	}
	raw, err := ask.Encode()
	if err != nil {
		t.Fatal(err)
	}
	post := func(body []byte) int {
		res, err := http.Post("http://"+g.address+RequestPath, contentType, bytes.NewReader(body))
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
			t.Fatalf("byte %d is another: status %d", i, status)
		}
	}
	if len(news) != 0 {
		t.Errorf("believed of spoilt asks: %v", news)
	}
	if f := g.handler.Traffic().Failures; f[reasonChecksum]+f[reasonMalformed] != int64(len(raw)) {
		t.Errorf("%v are counted of %d", f, len(raw))
	}
	if status := post(raw); status != http.StatusOK || len(news) != 1 {
		t.Errorf("a whole ask: status %d, news %v", status, news)
	}

	// An upstream that answers rightly, but for what is done with its answer.
	spoil := func(b []byte) []byte { return b }
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		_, b := g.handler.serve(raw)
		_, _ = w.Write(spoil(b))
	}))
	t.Cleanup(up.Close)
	c := NewClient([]string{up.Listener.Addr().String()}, RequestPath)
	t.Cleanup(c.Close)
	var last []byte
	spoil = func(b []byte) []byte { last = b; return b }
	if _, err := c.Fetch(0, &ask, 1000); err != nil {
		t.Fatal(err)
	}
	for i := range last {
		spoil = func(b []byte) []byte { b[i%len(b)] ^= 1; return b }
		if _, err := c.Fetch(0, &ask, 1000); !errors.Is(err, ErrCorruptResponse) {
			t.Fatalf("byte %d of an answer is another: %v", i, err)
		}
	}
	if f := c.Traffic().Failures; f[reasonChecksum]+f[reasonMalformed] != int64(len(last)) {
		t.Errorf("%v are counted of %d", f, len(last))
	}
	// Guards against an answer that is given again for a later question: its age would count from then.
	spoil = func([]byte) []byte { return last }
	if _, err := c.Fetch(0, &ask, 1000); !errors.Is(err, ErrCorruptResponse) ||
		c.Traffic().Failures[reasonWrongNonce] != 1 {
		t.Errorf("the answer to a question before: %v", err)
	}
}

// TestRefused: what is no ask, or one of another form or cluster, has a status and a reason.
func TestRejectedRequests(t *testing.T) {
	g := startTestServer(t, distribution.NewSource("root", "till", distribution.SourceConfig{}), nil)
	c := NewClient([]string{g.address}, RequestPath)
	t.Cleanup(c.Close)
	whole := distribution.Request{FormatVersion: distribution.FormatVersion, Cluster: "till", Sender: "h",
		DiscoveryIndex: -1}
	for what, change := range map[string]func(*distribution.Request){
		"other form":    func(a *distribution.Request) { a.FormatVersion = distribution.FormatVersion + 1 },
		"other cluster": func(a *distribution.Request) { a.Cluster = "mill" },
	} {
		a := whole
		change(&a)
		_, err := c.Fetch(0, &a, 1000)
		var status *StatusError
		if !errors.As(err, &status) || status.Code == http.StatusOK || status.Code == http.StatusNotFound {
			t.Errorf("%s: %v", what, err)
		}
	}
	if f := g.handler.Traffic().Failures; f[reasonUnacceptable]+f[reasonMalformed] != 2 {
		t.Errorf("counted: %v", f)
	}
	other := NewClient([]string{g.address}, "/fleet/ask")
	t.Cleanup(other.Close)
	var status *StatusError
	if _, err := other.Fetch(0, &whole, 1000); !errors.As(err, &status) || status.Code != http.StatusNotFound {
		t.Errorf("another path: %v", err)
	}
	long := bytes.Repeat([]byte("a"), distribution.MaxRequestBytes+1)
	res, err := http.Post("http://"+g.address+RequestPath, contentType, bytes.NewReader(long))
	if err == nil {
		res.Body.Close()
		if res.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("too long an ask: status %d", res.StatusCode)
		}
	}
}

// TestStill: an upstream that takes connections and says nothing costs no more than its time, and no more
// than its connections.
func TestSilentUpstream(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := NewClient([]string{l.Addr().String()}, RequestPath)
	defer c.Close()
	for range 3 {
		began := time.Now()
		if _, err := c.Fetch(0, &distribution.Request{FormatVersion: distribution.FormatVersion, Cluster: "till",
			Sender: "h"},
			100); err == nil {
			t.Error("an answer from one that lies still")
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("waited %v for 100 ms", took)
		}
	}
	if n := c.Traffic().Failures[reasonTimeout]; n != 3 {
		t.Errorf("%d of 3 are counted as late", n)
	}
}

// TestNothingLeft: a relay that is ended leaves no goroutine, however its upstream stands, and its address
// can be taken again at once.
func TestCloseLeavesNoGoroutines(t *testing.T) {
	s := distribution.NewSource("root", "till", distribution.SourceConfig{})
	s.Publish(distribution.Snapshot{Step: 1, ReadStartMillis: nowMillis(),
		Rules: testState(t, 1, 1, membersOf(2, "h")), DiscoveryIndex: -1})
	up := startTestServer(t, s, nil)
	still, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer still.Close()
	first := NewClient([]string{up.address}, RequestPath)
	defer first.Close()
	any := distribution.Request{FormatVersion: distribution.FormatVersion, Cluster: "till", Sender: "h",
		DiscoveryIndex: -1}
	if _, err := first.Fetch(0, &any, 1000); err != nil {
		t.Fatal(err) // its port is there with all of its goroutines
	}
	none := goleak.IgnoreCurrent()
	f := &Config{Name: "r", Cluster: "till", Listen: "127.0.0.1:0", Control: "127.0.0.1:0", LeaseMillis: 1000,
		Upstreams: []string{up.address, still.Addr().String()}, CheckpointPath: filepath.Join(t.TempDir(), "copy")}
	f.Limits.Connections, f.Limits.FullStateBurstKB, f.Limits.FullStateKBPerSecond = 16, 1024, 1024
	for range 2 {
		r, err := Start(f, nil, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		f.Listen = r.Address()
		c := NewClient([]string{r.Address()}, RequestPath)
		_, _ = c.Fetch(0, &any, 1000)
		time.Sleep(300 * time.Millisecond)
		c.Close()
		r.Close()
	}
	// The library's own goroutines sleep for a while before they look whether they are still of use.
	for end := time.Now().Add(2 * idleConnectionTimeout); goleak.Find(none) != nil && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	goleak.VerifyNone(t, none)
}
