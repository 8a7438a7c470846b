package raftlog

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
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

// testGroup is a raft group of several daemons on loopback, without gateway processes.
type testGroup struct {
	t            *testing.T
	dir          string
	hosts        []Host
	nodes        map[string]*RulesetNode
	history      history.Memory
	incarnations uint32

	mu        sync.Mutex
	cutLinks  map[[2]string]bool       // by the sending host's name and the receiver's address
	fullDisks map[string]bool          // by host name: writes to its store fail
	stalls    map[string]chan struct{} // by host name: writes to its store wait until it is closed
}

// newTestGroup makes a group of n hosts, h0 and on, whose nodes are yet to be started. At the test's end it
// checks that the versions in force were linearizable.
func newTestGroup(t *testing.T, n int) *testGroup {
	t.Helper()
	group := &testGroup{t: t, dir: t.TempDir(), nodes: map[string]*RulesetNode{}, cutLinks: map[[2]string]bool{},
		fullDisks: map[string]bool{}, stalls: map[string]chan struct{}{}}
	for i := range n {
		group.hosts = append(group.hosts, Host{fmt.Sprintf("h%d", i), ports.Address(t)})
	}
	t.Cleanup(func() {
		for _, s := range group.nodes {
			s.Close()
		}
		if v := history.Versions(group.history.Record()); v.Count > 0 || v.Checker == "Illegal" {
			t.Errorf("the versions in force are not linearizable: %+v", v.Result)
		}
	})
	return group
}

// newActiveGroup starts the nodes of a group, and waits for a leader and for a first version in force.
func newActiveGroup(t *testing.T, n int) *testGroup {
	t.Helper()
	group := newTestGroup(t, n)
	group.startAllNodes()
	group.waitForLeader()
	group.waitForOutcome(group.nodes["h0"], group.propose(group.nodes["h0"], 100))
	group.waitForVersion(1)
	return group
}

func (group *testGroup) storePath(name string) string { return filepath.Join(group.dir, name+".db") }

func (group *testGroup) startNode(name string, change func(*Config)) *RulesetNode {
	group.t.Helper()
	config := Config{Cluster: "till", HostName: name, StorePath: group.storePath(name), Hosts: group.hosts,
		Bootstrap: true, SnapshotEntries: 30}
	for _, h := range group.hosts {
		if h.Name == name {
			config.Listen = h.Address
		}
	}
	config.sendFault = func(to string) error {
		group.mu.Lock()
		defer group.mu.Unlock()
		if group.cutLinks[[2]string{name, to}] {
			return errors.New("cut")
		}
		return nil
	}
	config.writeFault = func() error {
		group.mu.Lock()
		stall := group.stalls[name]
		group.mu.Unlock()
		if stall != nil {
			<-stall
		}
		group.mu.Lock()
		defer group.mu.Unlock()
		if group.fullDisks[name] {
			return errors.New("no space left on device")
		}
		return nil
	}
	if change != nil {
		change(&config)
	}
	group.incarnations++
	s, err := NewRulesetNode(config, nil, group.history.As(name, group.incarnations),
		zerolog.New(zerolog.NewTestWriter(group.t)).Level(testLogLevel()))
	if err != nil {
		group.t.Fatal(err)
	}
	group.nodes[name] = s
	return s
}

func testLogLevel() zerolog.Level {
	if os.Getenv("WILLOWDECK_LOUD") != "" {
		return zerolog.DebugLevel
	}
	return zerolog.Disabled
}

func (group *testGroup) startAllNodes() {
	group.t.Helper()
	for _, h := range group.hosts {
		group.startNode(h.Name, nil)
	}
}

// stopNode stops a node at once: nothing more is sent or written.
func (group *testGroup) stopNode(name string) {
	group.nodes[name].Close()
	delete(group.nodes, name)
}

// partition cuts all links between some hosts and the others.
func (group *testGroup) partition(names ...string) {
	group.mu.Lock()
	defer group.mu.Unlock()
	inside := map[string]bool{}
	for _, name := range names {
		inside[name] = true
	}
	for _, a := range group.hosts {
		for _, b := range group.hosts {
			if inside[a.Name] != inside[b.Name] {
				group.cutLinks[[2]string{a.Name, b.Address}] = true
			}
		}
	}
}

// stallDisks stalls the disks of some hosts, and returns what ends that.
func (group *testGroup) stallDisks(names ...string) (resume func()) {
	stall := make(chan struct{})
	group.mu.Lock()
	defer group.mu.Unlock()
	for _, name := range names {
		group.stalls[name] = stall
	}
	resume = sync.OnceFunc(func() {
		group.mu.Lock()
		defer group.mu.Unlock()
		for _, name := range names {
			delete(group.stalls, name)
		}
		close(stall)
	})
	group.t.Cleanup(resume) // before the nodes are closed
	return resume
}

// heal restores all links.
func (group *testGroup) heal() {
	group.mu.Lock()
	defer group.mu.Unlock()
	clear(group.cutLinks)
}

// waitUntil waits until a condition holds, for 15 s at most, and returns how long it took.
func (group *testGroup) waitUntil(what string, condition func() bool) time.Duration {
	group.t.Helper()
	began := time.Now()
	for time.Since(began) < 15*time.Second {
		if condition() {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	for name, s := range group.nodes {
		group.t.Logf("%s: %.4000s", name, fmt.Sprintf("%+v; %+v", s.Status(), s.ActivationStatus()))
	}
	group.t.Fatalf("not in time: %s", what)
	return 0
}

// leader returns the node that leads; nil while there is none.
func (group *testGroup) leader() *RulesetNode {
	for _, s := range group.nodes {
		if v := s.Status(); v.LeaderName == v.HostName && v.State == "member" {
			return s
		}
	}
	return nil
}

// waitForLeader waits until a node leads.
func (group *testGroup) waitForLeader() time.Duration {
	group.t.Helper()
	return group.waitUntil("a leader", func() bool { return group.leader() != nil })
}

// fillUntilCompacted proposes entries until a node has compacted the beginning of its log, so that a node
// without it needs a snapshot. On a busy machine many of the entries are dropped: a fixed number of them
// was too few.
func (group *testGroup) fillUntilCompacted(s *RulesetNode) {
	group.t.Helper()
	step := 900
	group.waitUntil("the log is compacted", func() bool {
		step++
		_ = s.Node.Propose([]byte(fmt.Sprintf(`{"Act":4,"Step":%d}`, step)))
		n, err := s.currentStore.Load().memory.FirstIndex()
		return err == nil && n > 30
	})
}

// waitForVersion waits until all running nodes have confirmed by a read that a version is in force.
func (group *testGroup) waitForVersion(version uint64) time.Duration {
	group.t.Helper()
	return group.waitUntil(fmt.Sprintf("all confirm version %d", version), func() bool {
		for _, s := range group.nodes {
			if a := s.ActivationStatus(); a.Version != version || a.ReadAgeMillis < 0 || a.ReadAgeMillis > 1000 {
				return false
			}
		}
		return true
	})
}

// testRules returns rules that differ by a rate, which never contradicts a fallback.
func testRules(rate float64) *ruleset.Rules {
	return &ruleset.Rules{Format: ruleset.SupportedFormat, LeaseMillis: 1000, ConflictBoundMillis: 2000,
		Plans: []ruleset.Plan{{Name: "basic", Rate: rate, Burst: 10},
			{Name: "capped", Rate: 100, Burst: 10, CeilingRate: 40, CeilingDepth: 20}},
		Members:  []ruleset.Member{{Name: "g0", Host: "h0"}, {Name: "g1", Host: "h1"}, {Name: "g2", Host: "h2"}},
		Fallback: ruleset.Fallback{Fraction: 0.5, DurationMillis: 1000}}
}

// propose proposes testRules at a node, and returns the proposal's ID.
func (group *testGroup) propose(s *RulesetNode, rate float64) string {
	group.t.Helper()
	id, err := s.Propose(testRules(rate))
	if err != nil || id == "" {
		group.t.Fatalf("%q, %v", id, err)
	}
	return id
}

// waitForOutcome waits for the outcome of a proposal at the node that made it.
func (group *testGroup) waitForOutcome(s *RulesetNode, id string) (h ProposalOutcome) {
	group.t.Helper()
	group.waitUntil("the outcome of "+id, func() bool {
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

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// overwriteStretch overwrites half of a file, from a fraction of its size on, with one byte.
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
