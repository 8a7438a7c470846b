package raftlog

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// A store may be lost, corrupted or replaced by a stale copy while its daemon is down: only an intact one
// keeps its identity.
func TestDiskReplacement(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, reason string
		damage       func(t *testing.T, path, stale string)
	}{
		{"intact", "", func(*testing.T, string, string) {}},
		{"empty", "", func(t *testing.T, path, _ string) {
			t.Helper()
			requireNoError(t, os.Remove(path))
		}},
		{"truncated", "torn", func(t *testing.T, path, _ string) {
			t.Helper()
			requireNoError(t, os.Truncate(path, 9000))
		}},
		{"truncated to its first page", "torn", func(t *testing.T, path, _ string) {
			t.Helper()
			requireNoError(t, os.Truncate(path, 4096))
		}},
		{"a stretch of zeros", "torn", func(t *testing.T, path, _ string) {
			t.Helper()
			overwriteStretch(t, path, 0.3, 0)
		}},
		{"a stretch of noise", "torn", func(t *testing.T, path, _ string) {
			t.Helper()
			overwriteStretch(t, path, 0.2, 0xa7)
		}},
		{"another file", "torn", func(t *testing.T, path, _ string) {
			t.Helper()
			requireNoError(t, os.WriteFile(path, bytes.Repeat([]byte("letters "), 9000), 0o600))
		}},
		{"stale copy", "old", func(t *testing.T, path, stale string) {
			t.Helper()
			requireNoError(t, os.Rename(stale, path))
		}},
	}
	group := newActiveGroup(t, 3)
	version := uint64(1)
	for _, c := range cases {
		// The copy is made while nothing is written.
		raw, err := os.ReadFile(group.storePath("h1"))
		requireNoError(t, err)
		stale := filepath.Join(group.dir, "copy")
		requireNoError(t, os.WriteFile(stale, raw, 0o600))
		group.waitForOutcome(group.nodes["h2"], group.propose(group.nodes["h2"], 1000+float64(version)))
		version++
		group.waitForVersion(version)
		before := group.nodes["h1"].Status().DiskID
		group.stopNode("h1")
		c.damage(t, group.storePath("h1"), stale)
		group.waitUntil("a leader of two", func() bool { return group.leader() != nil })
		leader := group.leader()
		if h := group.waitForOutcome(leader, group.propose(leader, 1000+float64(version))); h.Rejection != "" {
			t.Fatalf("%s: %+v", c.name, h)
		}
		version++
		began := time.Now()
		group.startNode("h1", nil)
		group.waitForVersion(version)
		group.waitUntil("a member again", func() bool { return group.nodes["h1"].Status().State == "member" })
		v := group.nodes["h1"].Status()
		if same := v.DiskID == before; same != (c.name == "intact") ||
			c.reason != "" && v.MovedAside[c.reason] != 1 {
			t.Errorf("%s: disk %s after %s, moved aside %v", c.name, v.DiskID, before, v.MovedAside)
		}
		for _, h := range group.leader().Status().Hosts {
			if h.Name == "h1" && h.DiskID != v.DiskID {
				t.Errorf("%s: %s is a member, not %s", c.name, h.DiskID, v.DiskID)
			}
		}
		t.Logf("%s: back after %v", c.name, time.Since(began).Round(time.Millisecond))
	}
}

// A full disk makes its node mute and no other. With space again the node is back by itself.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 3)
	full := group.leader()
	group.mu.Lock()
	group.fullDisks[full.config.HostName] = true
	group.mu.Unlock()
	id := group.propose(full, 200) // the write of it fails here
	group.waitUntil("it is mute", func() bool {
		v := full.Status()
		return v.State == "mute" && strings.Contains(v.Reason, "no space")
	})
	group.waitUntil("another leader", func() bool { l := group.leader(); return l != nil && l != full })
	leader := group.leader()
	if h := group.waitForOutcome(leader, group.propose(leader, 300)); h.Rejection != "" {
		t.Errorf("%+v", h)
	}
	if _, ok := full.RenewLease(1, "g", 0, -1); full.Status().State != "mute" {
		t.Errorf("%v, %+v", ok, full.Status())
	}
	group.mu.Lock()
	group.fullDisks[full.config.HostName] = false
	group.mu.Unlock()
	group.waitForOutcome(full, id)
	group.waitUntil("one version", func() bool {
		n := full.InForce().Number
		for _, s := range group.nodes {
			if s.InForce().Number != n {
				return false
			}
		}
		return n >= 2
	})
}

// A store that another process has open, or that is another host's, is neither moved aside nor written.
func TestStoreOfAnotherProcess(t *testing.T) {
	t.Parallel()
	group := newTestGroup(t, 1)
	group.startAllNodes()
	config := Config{Cluster: "till", HostName: "h0", StorePath: group.storePath("h0"), Hosts: group.hosts,
		Listen: "127.0.0.1:0"}
	s, err := NewRulesetNode(config, nil, nil, zerolog.Nop())
	if err == nil || !strings.Contains(err.Error(), "has it open") {
		t.Errorf("%v, %v", s, err)
	}
	group.stopNode("h0")
	config.HostName = "h7"
	if s, err := NewRulesetNode(config, nil, nil, zerolog.Nop()); err == nil ||
		!strings.Contains(err.Error(), `"h0"`) {
		t.Errorf("%v, %v", s, err)
	}
	if _, err := os.Stat(group.storePath("h0")); err != nil {
		t.Error(err)
	}
}

// Disks that take 300 ms for each write delay the activation, and no more. Guards against a session that is
// kept from its inbound messages by repeated requests: it was so from 300 ms on, when the host agent repeats
// what it has not seen applied.
func TestSlowDisks(t *testing.T) {
	t.Parallel()
	group := newTestGroup(t, 3)
	for _, h := range group.hosts {
		group.startNode(h.Name, func(c *Config) {
			c.writeFault = func() error {
				time.Sleep(300 * time.Millisecond)
				return nil
			}
		})
	}
	group.waitForLeader()
	for i := range 3 {
		if h := group.waitForOutcome(group.nodes["h0"],
			group.propose(group.nodes["h0"], float64(100+i))); h.Rejection != "" {
			t.Errorf("%+v", h)
		}
	}
}

// A stale copy of a disk is found out by the sequence numbers that the peers have stored, even if all of
// them were restarted since. Raft alone would take it for a follower that is behind.
func TestStaleDisk(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 3)
	group.stopNode("h1")
	raw, err := os.ReadFile(group.storePath("h1"))
	requireNoError(t, err)
	group.startNode("h1", nil)
	group.waitForVersion(1)
	group.waitForLeader()
	leader := group.leader()
	group.waitForOutcome(leader, group.propose(leader, 200))
	group.waitForVersion(2)
	wrote := group.nodes["h1"].writeSeq.Load()
	group.waitUntil("the peers have stored its sequence number", func() bool {
		for _, name := range []string{"h0", "h2"} {
			s := group.nodes[name].currentStore.Load()
			s.mu.Lock()
			stored := s.peerSeqs[group.nodes["h1"].Status().DiskID] >= wrote && !s.peerSeqsDirty
			s.mu.Unlock()
			if !stored {
				return false
			}
		}
		return true
	})
	group.stopNode("h1")
	requireNoError(t, os.WriteFile(group.storePath("h1"), raw, 0o600))
	for _, name := range []string{"h0", "h2"} {
		group.stopNode(name)
		group.startNode(name, nil)
	}
	group.startNode("h1", nil)
	group.waitForVersion(2)
	if v := group.nodes["h1"].Status(); v.MovedAside["old"] != 1 {
		t.Errorf("%+v", v)
	}
}

// readsDuringStall is for how many confirmed reads a stall lasts: leases are renewed by each.
const readsDuringStall = 30

// awaitReads waits for confirmed reads at a node, which come in the order in which they began.
func awaitReads(t *testing.T, s *RulesetNode, count int) {
	t.Helper()
	began, last := BootClockMillis(), 0.0
	for reads := 0; reads < count; {
		select {
		case <-s.Confirmations():
		case <-time.After(15 * time.Second):
			t.Fatalf("%s: %d reads were confirmed", s.Status().HostName, reads)
		}
		if state, ok := s.LastConfirmed(); ok && state.ReadStartMillis > max(began, last) {
			last = state.ReadStartMillis
			reads++
		}
	}
}

// While all disks stall nothing is committed, the leader stays, and reads are confirmed at every host, so
// that no lease is lost. What was proposed comes in force once the disks are back.
func TestAllDisksStall(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 3)
	leader := group.leader()
	term := leader.Status().Term
	resume := group.stallDisks("h0", "h1", "h2")
	id := group.propose(group.nodes["h0"], 200)
	for _, s := range group.nodes {
		awaitReads(t, s, readsDuringStall)
	}
	for name, s := range group.nodes {
		if version := s.InForce().Number; version != 1 {
			t.Errorf("%s: version %d is in force while no disk writes", name, version)
		}
	}
	if status := leader.Status(); status.LeaderName != status.HostName || status.Term != term {
		t.Errorf("the leader of term %d has lost the lead: %+v", term, status)
	}
	resume()
	group.waitForOutcome(group.nodes["h0"], id)
	group.waitForVersion(2)
}

// While the leader's disk alone stalls, the others commit with it as their leader, and apply what it
// proposes.
func TestLeaderDiskStalls(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 3)
	leader := group.leader()
	name, term := leader.Status().HostName, leader.Status().Term
	resume := group.stallDisks(name)
	var other *RulesetNode
	for otherName, s := range group.nodes {
		if otherName != name {
			other = s
		}
	}
	group.waitForOutcome(other, group.propose(other, 200))
	awaitReads(t, other, readsDuringStall)
	if status := other.Status(); status.LeaderName != name || status.Term != term {
		t.Errorf("the leader of term %d is lost with its disk stalled: %+v", term, status)
	}
	if version := leader.InForce().Number; version != 1 {
		t.Errorf("version %d is in force at the leader before its disk has it", version)
	}
	resume()
	group.waitForVersion(2)
}
