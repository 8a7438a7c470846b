package raftlog

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/testkit/history"
	"willowdeck/internal/testkit/ports"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m) // Close leaves none behind
}

// parley is several daemons' councils on loopback, without instances.
type testGroup struct {
	t            *testing.T
	dir          string
	hosts        []Host
	nodes        map[string]*RulesetNode
	history      history.Memory
	incarnations uint32

	mu        sync.Mutex
	cutLinks  map[[2]string]bool // from a name to an address
	fullDisks map[string]bool    // disks that take nothing more
}

func newTestGroup(t *testing.T, n int) *testGroup {
	p := &testGroup{t: t, dir: t.TempDir(), nodes: map[string]*RulesetNode{}, cutLinks: map[[2]string]bool{},
		fullDisks: map[string]bool{}}
	for i := range n {
		p.hosts = append(p.hosts, Host{fmt.Sprintf("h%d", i), ports.Address(t)})
	}
	t.Cleanup(func() {
		for _, s := range p.nodes {
			s.Close()
		}
		if v := history.Versions(p.history.Record()); v.Count > 0 || v.Checker == "Illegal" {
			t.Errorf("versions in force are no register: %+v", v.Found)
		}
	})
	return p
}

func (p *testGroup) storePath(name string) string { return filepath.Join(p.dir, name+".db") }

func (p *testGroup) startNode(name string, change func(*Config)) *RulesetNode {
	p.t.Helper()
	ch := Config{Cluster: "till", HostName: name, StorePath: p.storePath(name), Hosts: p.hosts, Bootstrap: true,
		SnapshotEntries: 30}
	for _, h := range p.hosts {
		if h.Name == name {
			ch.Listen = h.Address
		}
	}
	ch.sendFault = func(to string) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cutLinks[[2]string{name, to}] {
			return errors.New("cut")
		}
		return nil
	}
	ch.writeFault = func() error {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.fullDisks[name] {
			return errors.New("no space left on device")
		}
		return nil
	}
	if change != nil {
		change(&ch)
	}
	p.incarnations++
	s, err := NewRulesetNode(ch, nil, p.history.As(name, p.incarnations),
		zerolog.New(zerolog.NewTestWriter(p.t)).Level(testLogLevel()))
	if err != nil {
		p.t.Fatal(err)
	}
	p.nodes[name] = s
	return s
}

func testLogLevel() zerolog.Level {
	if os.Getenv("WILLOWDECK_LOUD") != "" {
		return zerolog.DebugLevel
	}
	return zerolog.Disabled
}

func (p *testGroup) startAllNodes() {
	p.t.Helper()
	for _, h := range p.hosts {
		p.startNode(h.Name, nil)
	}
}

// end ends one as suddenly as its goroutines allow: nothing more is said or written.
func (p *testGroup) stopNode(name string) {
	p.nodes[name].Close()
	delete(p.nodes, name)
}

// part cuts all ways between two groups.
func (p *testGroup) partition(some ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := map[string]bool{}
	for _, s := range some {
		in[s] = true
	}
	for _, a := range p.hosts {
		for _, b := range p.hosts {
			if in[a.Name] != in[b.Name] {
				p.cutLinks[[2]string{a.Name, b.Address}] = true
			}
		}
	}
}

func (p *testGroup) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cutLinks)
}

// until waits for something to be so.
func (p *testGroup) waitUntil(what string, so func() bool) time.Duration {
	p.t.Helper()
	began := time.Now()
	for time.Since(began) < 15*time.Second {
		if so() {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	for name, s := range p.nodes {
		p.t.Logf("%s: %.4000s", name, fmt.Sprintf("%+v; %+v", s.Status(), s.ActivationStatus()))
	}
	p.t.Fatalf("not in time: %s", what)
	return 0
}

func (p *testGroup) leader() *RulesetNode {
	for _, s := range p.nodes {
		if v := s.Status(); v.LeaderName == v.HostName && v.State == "member" {
			return s
		}
	}
	return nil
}

// cutOff fills the log until its beginning is cut off at a daemon, so that one which has less needs a
// snapshot. On a busy machine many of the entries are dropped on their way: a fixed number of them was too
// few.
func (p *testGroup) fillUntilCompacted(s *RulesetNode) {
	p.t.Helper()
	step := 900
	p.waitUntil("the log's beginning is cut off", func() bool {
		step++
		_ = s.Node.Propose([]byte(fmt.Sprintf(`{"Act":4,"Step":%d}`, step)))
		n, err := s.currentStore.Load().memory.FirstIndex()
		return err == nil && n > 30
	})
}

// agree waits until all that run have read that a version is in force.
func (p *testGroup) waitForVersion(version uint64) time.Duration {
	p.t.Helper()
	return p.waitUntil(fmt.Sprintf("all read version %d", version), func() bool {
		for _, s := range p.nodes {
			if a := s.ActivationStatus(); a.Version != version || a.ReadAgeMillis < 0 || a.ReadAgeMillis > 1000 {
				return false
			}
		}
		return true
	})
}

// rules are a set in which only what can't contradict a fallback differs.
func testRules(rate float64) *ruleset.Rules {
	return &ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Plans: []ruleset.Plan{{Name: "basic", Rate: rate, Burst: 10},
			{Name: "capped", Rate: 100, Burst: 10, CeilingRate: 40, CeilingDepth: 20}},
		Members:  []ruleset.Member{{Name: "g0", Host: "h0"}, {Name: "g1", Host: "h1"}, {Name: "g2", Host: "h2"}},
		Fallback: ruleset.Fallback{Fraction: 0.5, DurationMillis: 1000}}
}

func (p *testGroup) propose(s *RulesetNode, rate float64) string {
	p.t.Helper()
	id, err := s.Propose(testRules(rate))
	if err != nil || id == "" {
		p.t.Fatalf("%q, %v", id, err)
	}
	return id
}

// outcome waits for the answer to a proposal at the daemon that made it.
func (p *testGroup) waitForOutcome(s *RulesetNode, id string) (h ProposalOutcome) {
	p.t.Helper()
	p.waitUntil("an answer to "+id, func() bool {
		for _, x := range s.ProposalOutcomes() {
			if x.ID == id {
				h = x
				return true
			}
		}
		return false
	})
	return h
}

// Three and five daemons found a council, agree, and go on when the leader is gone between commit and
// telling: what it proposed is in force once, and another leads.
func TestProposalsSurviveLeaderLoss(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			p := newTestGroup(t, n)
			p.startAllNodes()
			p.waitUntil("a leader", func() bool { return p.leader() != nil })
			first := p.nodes["h0"]
			if h := p.waitForOutcome(first, p.propose(first, 100)); h.Rejection != "" || h.Version != 1 {
				t.Fatalf("%+v", h)
			}
			p.waitForVersion(1)
			if n == 1 {
				return
			}
			leader := p.leader()
			id := p.propose(leader, 200)
			p.waitUntil("an entry that another has", func() bool {
				for _, s := range p.nodes {
					if s != leader && s.InForce().Number == 2 {
						return true
					}
				}
				return false
			})
			p.stopNode(leader.config.HostName) // it may or may not have told
			took := p.waitUntil("another leader", func() bool { return p.leader() != nil })
			p.waitForVersion(2)
			t.Logf("%s: another leader after %v", id, took)
			other := p.leader()
			if h := p.waitForOutcome(other, p.propose(other, 300)); h.Version != 3 {
				t.Errorf("%+v", h)
			}
			p.startNode(leader.config.HostName, nil)
			p.waitForVersion(3)
		})
	}
}

// Rules that a daemon thinks to be in force because it is behind are proposed all the same; those that are,
// are not; and they take back what waits to follow them.
func TestProposalFromLaggingNode(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	p.partition("h2")
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 200))
	id := p.propose(p.nodes["h2"], 100) // what it takes to be in force
	p.heal()
	if h := p.waitForOutcome(p.nodes["h2"], id); h.Version != 3 || h.BaseVersion != 2 {
		t.Errorf("%+v", h)
	}
	p.waitForVersion(3)
	if h := p.waitForOutcome(p.nodes["h1"], p.propose(p.nodes["h1"], 100)); h.Version != 3 || h.Rejection != "" {
		t.Errorf("%+v", h)
	}
	low := testRules(100)
	low.Plans[1].CeilingRate = 10 // less than a fallback that g0 may hold, which tells nobody
	p.nodes["h0"].ProcessStarted(1, true)
	id, err := p.nodes["h1"].Propose(low)
	requireNoError(t, err)
	if h := p.waitForOutcome(p.nodes["h1"], id); h.Version != 4 || h.WaitReason == "" {
		t.Errorf("%+v", h)
	}
	p.waitForOutcome(p.nodes["h2"], p.propose(p.nodes["h2"], 100))
	if a := p.nodes["h2"].ActivationStatus(); a.Version != 3 || a.PendingVersion != 0 {
		t.Errorf("%+v", a)
	}
}

// Of two proposals at once exactly one is taken, and the other is told why it is not.
func TestConcurrentProposals(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	version := uint64(1)
	for round := range 5 {
		a, b := p.nodes["h1"], p.nodes["h2"]
		x, y := p.propose(a, float64(200+round)), p.propose(b, float64(300+round))
		hx, hy := p.waitForOutcome(a, x), p.waitForOutcome(b, y)
		switch {
		case hx.BaseVersion != hy.BaseVersion: // one came after the other
			version += 2
		case (hx.Rejection == "") == (hy.Rejection == "") || !strings.Contains(hx.Rejection+hy.Rejection, "base"):
			t.Errorf("round %d: %+v, %+v", round, hx, hy)
		default:
			version++
		}
		p.waitForVersion(version)
	}
}

// The side with few hosts reads nothing, so that its leases run out, and takes no proposal; healed, it
// catches up, and its proposal is put on top of what it finds.
func TestMinorityPartition(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	few := p.leader()
	name := few.config.HostName
	few.ProcessStarted(4711, false)
	p.waitUntil("a lease", func() bool { _, ok := few.RenewLease(4711, "g", 0, -1); return ok })
	p.partition(name)
	p.waitUntil("no lease", func() bool { _, ok := few.RenewLease(4711, "g", 0, -1); return !ok })
	var many *RulesetNode
	p.waitUntil("another leader", func() bool {
		for n, s := range p.nodes {
			if v := s.Status(); n != name && v.LeaderName == n {
				many = s
			}
		}
		return many != nil
	})
	id := p.propose(few, 900)
	if h := p.waitForOutcome(many, p.propose(many, 200)); h.Version != 2 {
		t.Fatalf("%+v", h)
	}
	if few.InForce().Number != 1 || len(few.ProposalOutcomes()) > 1 {
		t.Errorf("the side that is cut off has %d, %+v", few.InForce().Number, few.ProposalOutcomes())
	}
	p.heal()
	if h := p.waitForOutcome(few, id); h.BaseVersion != 2 || h.Version != 3 {
		t.Errorf("%+v", h)
	}
	p.waitForVersion(3)
}

// A link that carries one way alone is worked around or waited for; nothing is agreed twice.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	leader := p.leader()
	for _, h := range p.hosts { // it hears all and is heard by none
		if h.Name != leader.config.HostName {
			p.mu.Lock()
			p.cutLinks[[2]string{leader.config.HostName, h.Address}] = true
			p.mu.Unlock()
		}
	}
	var other *RulesetNode
	p.waitUntil("another leader", func() bool {
		for n, s := range p.nodes {
			if v := s.Status(); n != leader.config.HostName && v.LeaderName == n {
				other = s
			}
		}
		return other != nil
	})
	if h := p.waitForOutcome(other, p.propose(other, 200)); h.Version != 2 {
		t.Errorf("%+v", h)
	}
	p.heal()
	p.waitForVersion(2)
}

// Three of five are lost: the two have no voice, and say so. Back, all go on.
func TestMajorityLost(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 5)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	for _, n := range []string{"h0", "h1", "h2"} {
		p.stopNode(n)
	}
	p.waitUntil("no leader", func() bool {
		a, b := p.nodes["h3"].Status(), p.nodes["h4"].Status()
		return a.State == "no leader" && b.State == "no leader" && strings.Contains(a.Reason, "majority")
	})
	id := p.propose(p.nodes["h3"], 200)
	for _, n := range []string{"h0", "h1", "h2"} {
		p.startNode(n, nil)
	}
	if h := p.waitForOutcome(p.nodes["h3"], id); h.Version != 2 {
		t.Errorf("%+v", h)
	}
	p.waitForVersion(2)
}

// What becomes of a disk while its daemon is away.
func TestDiskReplacement(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, reason string
		spoil        func(t *testing.T, path, copy string)
	}{
		{"kept", "", func(*testing.T, string, string) {}},
		{"empty", "", func(t *testing.T, path, _ string) { requireNoError(t, os.Remove(path)) }},
		{"cut short", "torn", func(t *testing.T, path, _ string) { requireNoError(t, os.Truncate(path, 9000)) }},
		{"cut to its first page", "torn", func(t *testing.T, path,
			_ string) {
			requireNoError(t, os.Truncate(path, 4096))
		}},
		{"a stretch of nought", "torn", func(t *testing.T, path, _ string) { overwriteStretch(t, path, 0.3, 0) }},
		{"a stretch of noise", "torn", func(t *testing.T, path, _ string) { overwriteStretch(t, path, 0.2, 0xa7) }},
		{"no store", "torn", func(t *testing.T, path, _ string) {
			requireNoError(t, os.WriteFile(path, bytes.Repeat([]byte("letters "), 9000), 0o600))
		}},
		{"of an earlier day", "old", func(t *testing.T, path,
			copy string) {
			requireNoError(t, os.Rename(copy, path))
		}},
	}
	p := newTestGroup(t, 3)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	version := uint64(1)
	for _, c := range cases {
		// The copy is made while nothing is written.
		raw, err := os.ReadFile(p.storePath("h1"))
		requireNoError(t, err)
		copy := filepath.Join(p.dir, "copy")
		requireNoError(t, os.WriteFile(copy, raw, 0o600))
		p.waitForOutcome(p.nodes["h2"], p.propose(p.nodes["h2"], 1000+float64(version)))
		version++
		p.waitForVersion(version)
		before := p.nodes["h1"].Status().DiskID
		p.stopNode("h1")
		c.spoil(t, p.storePath("h1"), copy)
		p.waitUntil("a leader of two", func() bool { return p.leader() != nil })
		x := p.leader()
		if h := p.waitForOutcome(x, p.propose(x, 1000+float64(version))); h.Rejection != "" {
			t.Fatalf("%s: %+v", c.name, h)
		}
		version++
		began := time.Now()
		p.startNode("h1", nil)
		p.waitForVersion(version)
		p.waitUntil("a member again", func() bool { return p.nodes["h1"].Status().State == "member" })
		v := p.nodes["h1"].Status()
		if same := v.DiskID == before; same != (c.name == "kept") || c.reason != "" && v.MovedAside[c.reason] != 1 {
			t.Errorf("%s: disk %s after %s, moved aside %v", c.name, v.DiskID, before, v.MovedAside)
		}
		for _, h := range p.leader().Status().Hosts {
			if h.Name == "h1" && h.DiskID != v.DiskID {
				t.Errorf("%s: %s is a member, not %s", c.name, h.DiskID, v.DiskID)
			}
		}
		t.Logf("%s: back after %v", c.name, time.Since(began).Round(time.Millisecond))
	}
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// scribble overwrites a third of a file.
func overwriteStretch(t *testing.T, path string, from float64, with byte) {
	t.Helper()
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	requireNoError(t, err)
	defer f.Close()
	info, err := f.Stat()
	requireNoError(t, err)
	_, err = f.WriteAt(bytes.Repeat([]byte{with}, int(info.Size()/2)), int64(from*float64(info.Size())))
	requireNoError(t, err)
}

// One that was away for longer than the log goes back is caught up by a snapshot.
func TestCatchUpBySnapshot(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	p.stopNode("h2")
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.fillUntilCompacted(p.leader())
	x := p.leader()
	p.waitForOutcome(x, p.propose(x, 200))
	p.startNode("h2", nil)
	p.waitForVersion(2)
}

// A disk that takes nothing more ends that daemon's voice and no other's; with room again it is back by
// itself.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	full := p.leader()
	p.mu.Lock()
	p.fullDisks[full.config.HostName] = true
	p.mu.Unlock()
	id := p.propose(full, 200) // its own write of it fails
	p.waitUntil("no voice", func() bool {
		v := full.Status()
		return v.State == "mute" && strings.Contains(v.Reason, "no space")
	})
	p.waitUntil("another leader", func() bool { l := p.leader(); return l != nil && l != full })
	x := p.leader()
	if h := p.waitForOutcome(x, p.propose(x, 300)); h.Rejection != "" {
		t.Errorf("%+v", h)
	}
	if _, ok := full.RenewLease(1, "g", 0, -1); full.Status().State != "mute" {
		t.Errorf("%v, %+v", ok, full.Status())
	}
	p.mu.Lock()
	p.fullDisks[full.config.HostName] = false
	p.mu.Unlock()
	p.waitForOutcome(full, id)
	p.waitUntil("one version", func() bool {
		n := full.InForce().Number
		for _, s := range p.nodes {
			if s.InForce().Number != n {
				return false
			}
		}
		return n >= 2
	})
}

// What is too long, of another form, of another cluster or from a stranger is refused with a reason,
// counted, and changes nothing.
func TestRejectedMessages(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	me := p.nodes["h0"]
	disk := me.Status().DiskID
	other := p.nodes["h1"].Status()
	say := func(path, body string) (int, string) {
		res, err := http.Post("http://"+me.Address()+path, "application/json", strings.NewReader(body))
		requireNoError(t, err)
		defer res.Body.Close()
		var b bytes.Buffer
		_, _ = b.ReadFrom(res.Body)
		return res.StatusCode, b.String()
	}
	cases := []struct{ name, path, body, reason, says string }{
		{"too long", "/council/raft", `{"form":1,"name":"` + strings.Repeat("x", maxMessageBytes) + `"}`,
			reasonTooLong,
			"more than"},
		{"no JSON", "/council/raft", "GET me", reasonMalformed, "not a message"},
		{"another form", "/council/hello", `{"form":2,"cluster":"till","name":"h1"}`, reasonProtocolVersion,
			"form 2"},
		{"another cluster", "/council/hello", `{"form":1,"cluster":"rill","name":"h1","id":"1"}`,
			reasonOtherCluster,
			`"rill"`},
		{"a stranger", "/council/hello", `{"form":1,"cluster":"till","name":"h9","id":"1"}`, reasonUnknownHost,
			`"h9"`},
		{"its own name", "/council/hello", `{"form":1,"cluster":"till","name":"h0","id":"1"}`, reasonUnknownHost,
			`"h0"`},
		{"no id", "/council/hello", `{"form":1,"cluster":"till","name":"h1","id":"z"}`, reasonMalformed, "no id"},
		{"to another disk", "/council/raft", `{"form":1,"cluster":"till","name":"h1","id":"1","to":"2"}`,
			reasonOtherDisk,
			"not here"},
		{"of another council", "/council/raft", `{"form":1,"cluster":"till","name":"h1","id":"1","council":"x",` +
			`"to":"` + disk + `"}`, reasonOtherCluster, "council x"},
		{"no message", "/council/raft", `{"form":1,"cluster":"till","name":"h1","id":"1","council":"` +
			other.GroupID + `","to":"` + disk + `","messages":["AAAA"]}`, reasonMalformed, "no message"},
		{"in another's name", "/council/raft", `{"form":1,"cluster":"till","name":"h1","id":"1","council":"` +
			other.GroupID + `","to":"` + disk + `","messages":["CBMQAhgDIAUoADAAOABCAA=="]}`, "", ""},
		{"joins with a full disk", "/council/join", `{"form":1,"cluster":"till","name":"h1","id":"1"}`, "", ""},
	}
	for _, c := range cases {
		before := me.Status()
		status, says := say(c.path, c.body)
		v := me.Status()
		if c.reason == "" {
			if v.AppliedIndex < before.AppliedIndex || status == http.StatusInternalServerError {
				t.Errorf("%s: %d %s", c.name, status, says)
			}
			continue
		}
		if status != http.StatusForbidden || !strings.Contains(says, c.says) ||
			v.Rejections[c.reason] != before.Rejections[c.reason]+1 {
			t.Errorf("%s: %d %q, counted %v", c.name, status, says, v.Rejections)
		}
	}
	p.waitForOutcome(me, p.propose(me, 200)) // and all goes on
	p.waitForVersion(2)
	if _, err := me.Propose(&ruleset.Rules{Format: 2}); err == nil {
		t.Error("rules of another form are proposed")
	}
	if err := me.Node.Propose(make([]byte, maxEntryBytes+1)); err == nil {
		t.Error("an entry that is too long is proposed")
	}
}

// A store that another process has open, or that is another daemon's, is neither moved aside nor written.
func TestStoreOfAnotherProcess(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 1)
	p.startAllNodes()
	ch := Config{Cluster: "till", HostName: "h0", StorePath: p.storePath("h0"), Hosts: p.hosts,
		Listen: "127.0.0.1:0"}
	s, err := NewRulesetNode(ch, nil, nil, zerolog.Nop())
	if err == nil || !strings.Contains(err.Error(), "has it open") {
		t.Errorf("%v, %v", s, err)
	}
	p.stopNode("h0")
	ch.HostName = "h7"
	if s, err := NewRulesetNode(ch, nil, nil, zerolog.Nop()); err == nil ||
		!strings.Contains(err.Error(), `"h0"`) {
		t.Errorf("%v, %v", s, err)
	}
	if _, err := os.Stat(p.storePath("h0")); err != nil {
		t.Error(err)
	}
}

// Two hosts that list the others in different orders found one council, and one that lists fewer none: each
// would else have one of its own. Nor does one that is back with an empty disk found a second.
func TestBootstrapOnce(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	for i, h := range p.hosts {
		p.startNode(h.Name, func(c *Config) {
			c.Hosts = append(append([]Host{h}, p.hosts[:i]...), p.hosts[i+1:]...)
			if i == 2 {
				c.Hosts = c.Hosts[:2]
			}
		})
	}
	time.Sleep(4 * defaultHelloInterval)
	for name, s := range p.nodes {
		if v := s.Status(); v.GroupID != "" || v.State == "member" {
			t.Errorf("%s: %+v", name, v)
		}
	}
	p.stopNode("h2")
	p.startNode("h2", nil)
	p.waitUntil("one council", func() bool {
		a := p.nodes["h0"].Status().GroupID
		for _, s := range p.nodes {
			if v := s.Status(); v.State != "member" || v.GroupID != a {
				return false
			}
		}
		return true
	})
	first := p.nodes["h0"].Status().GroupID
	p.stopNode("h0")
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	requireNoError(t, os.Remove(p.storePath("h0")))
	p.startNode("h0", nil)
	p.waitUntil("a member of it", func() bool {
		v := p.nodes["h0"].Status()
		return v.State == "member" && v.GroupID == first
	})
}

// An answer to a question of a former life is none to one of this life: numbers do not begin anew.
func TestReadIDsDifferAcrossSessions(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 1)
	seen := map[uint64]bool{}
	for range 3 {
		s := p.startNode("h0", nil)
		got := make(chan uint64, 1)
		p.waitUntil("it takes part", func() bool { return p.leader() != nil })
		s.enqueue(func(v *session) { got <- v.lastReadID })
		n := <-got
		for i := range uint64(100) {
			if seen[n+i] || seen[n-i] {
				t.Fatalf("number %d is of a former life too", n)
			}
		}
		seen[n] = true
		p.stopNode("h0")
	}
}

// One host's name cannot be taken by another process with an empty disk while the one is heard of.
func TestHostNameInUse(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	lead := p.leader()
	other := "h1"
	if lead.config.HostName == other {
		other = "h2"
	}
	disk := p.nodes[other].Status().DiskID
	ch := Config{Cluster: "till", HostName: other, Listen: "127.0.0.1:0",
		StorePath: filepath.Join(p.dir, "second"),
		Hosts:     p.hosts}
	s, err := NewRulesetNode(ch, nil, nil, zerolog.Nop())
	requireNoError(t, err)
	defer s.Close()
	p.waitUntil("it is turned away", func() bool {
		return strings.Contains(s.Status().Reason,
			"heard a moment ago")
	})
	if v := p.nodes[other].Status(); v.DiskID != disk || v.State != "member" {
		t.Errorf("%+v", v)
	}
}

// Indices of discovery's list are told among hosts: one that lags behind any is named, here and elsewhere.
func TestDiscoveryLag(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	p.nodes["h0"].RenewLease(1, "g0", 0, 5)
	p.nodes["h1"].RenewLease(2, "g1", 0, 9)
	p.waitUntil("the highest is told", func() bool {
		return p.nodes["h0"].HighestDiscoveryIndex() == 9 && p.nodes["h2"].HighestDiscoveryIndex() == 9
	})
	p.waitUntil("the one behind is named", func() bool {
		p.nodes["h0"].RenewLease(1, "g0", 0, 5)
		for _, b := range p.nodes["h0"].ActivationStatus().Lags {
			if b.Name == "g0" && b.HighestIndex == 9 && b.LagMillis > lagThresholdMillis {
				return true
			}
		}
		return false
	})
	p.nodes["h0"].RenewLease(1, "g0", 0, 9)
	for _, b := range p.nodes["h0"].ActivationStatus().Lags {
		if b.Name == "g0" {
			t.Errorf("%+v, which has caught up", b)
		}
	}
}

// Disks that take 300 ms for each write delay what is agreed on, and no more. Guards against a goroutine
// that is kept by what it says again from what comes in: it was so from 300 ms on, as that is when the
// steward says again what it has not seen to be taken.
func TestSlowDisks(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	for _, h := range p.hosts {
		p.startNode(h.Name, func(c *Config) {
			c.writeFault = func() error {
				time.Sleep(300 * time.Millisecond)
				return nil
			}
		})
	}
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	for i := range 3 {
		if h := p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], float64(100+i))); h.Rejection != "" {
			t.Errorf("%+v", h)
		}
	}
}

// A copy of a disk is found out by what the others have written down, even if all of them have been started
// anew since: by nothing else, as their logs would only take it for one that is behind.
func TestStaleDisk(t *testing.T) {
	t.Parallel()
	p := newTestGroup(t, 3)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	p.waitForOutcome(p.nodes["h0"], p.propose(p.nodes["h0"], 100))
	p.waitForVersion(1)
	p.stopNode("h1")
	raw, err := os.ReadFile(p.storePath("h1"))
	requireNoError(t, err)
	p.startNode("h1", nil)
	p.waitForVersion(1)
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	x := p.leader()
	p.waitForOutcome(x, p.propose(x, 200))
	p.waitForVersion(2)
	wrote := p.nodes["h1"].writeSeq.Load()
	p.waitUntil("the others have written down how far it is", func() bool {
		for _, name := range []string{"h0", "h2"} {
			s := p.nodes[name].currentStore.Load()
			s.mu.Lock()
			told := s.peerSeqs[p.nodes["h1"].Status().DiskID] >= wrote && !s.peerSeqsDirty
			s.mu.Unlock()
			if !told {
				return false
			}
		}
		return true
	})
	p.stopNode("h1")
	requireNoError(t, os.WriteFile(p.storePath("h1"), raw, 0o600))
	for _, name := range []string{"h0", "h2"} {
		p.stopNode(name)
		p.startNode(name, nil)
	}
	p.startNode("h1", nil)
	p.waitForVersion(2)
	if v := p.nodes["h1"].Status(); v.MovedAside["old"] != 1 {
		t.Errorf("%+v", v)
	}
}

// Rules of the coming fleet's size are agreed, one after the other before the last has settled, and a daemon
// that comes back with nothing catches up by a snapshot of several of them.
func TestManyMembers(t *testing.T) {
	p := newTestGroup(t, 5)
	p.startAllNodes()
	p.waitUntil("a leader", func() bool { return p.leader() != nil })
	many := func(rate float64) *ruleset.Rules {
		r := testRules(rate)
		r.Needs = []string{ruleset.FeatureManyMembers}
		for i := len(r.Members); i < 7900; i++ {
			r.Members = append(r.Members, ruleset.Member{Name: fmt.Sprintf("g%04d", i),
				Host: fmt.Sprintf("host-%04d", i), Peers: fmt.Sprintf("10.0.%d.%d:9000", i>>8, i&255)})
		}
		return r
	}
	propose := func(s *RulesetNode, rate float64) time.Duration {
		began := time.Now()
		id, err := s.Propose(many(rate))
		if err != nil {
			t.Fatal(err)
		}
		if h := p.waitForOutcome(s, id); h.Rejection != "" {
			t.Fatalf("%+v", h)
		}
		return time.Since(began)
	}
	var took []time.Duration
	for i := range 2 {
		took = append(took, propose(p.nodes["h0"], float64(100+i)))
	}
	p.waitForVersion(2)
	p.stopNode("h4")
	took = append(took, propose(p.nodes["h0"], 200))
	p.fillUntilCompacted(p.nodes["h0"])
	requireNoError(t, os.Remove(p.storePath("h4")))
	p.startNode("h4", nil)
	back := p.waitForVersion(3)
	t.Logf("7,900 members: proposals answered after %v; one without a disk is back after %v", took, back)
}
