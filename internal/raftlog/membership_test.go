package raftlog

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Hosts that list the others in different orders bootstrap one group. While a host lists fewer, none is
// formed: it would else form a second one. Nor does a host that is back with an empty disk.
func TestBootstrapOnce(t *testing.T) {
	t.Parallel()
	group := newTestGroup(t, 3)
	for i, h := range group.hosts {
		group.startNode(h.Name, func(c *Config) {
			c.Hosts = append(append([]Host{h}, group.hosts[:i]...), group.hosts[i+1:]...)
			if i == 2 {
				c.Hosts = c.Hosts[:2]
			}
		})
	}
	time.Sleep(4 * defaultHelloInterval)
	for name, s := range group.nodes {
		if v := s.Status(); v.GroupID != "" || v.State == "member" {
			t.Errorf("%s: %+v", name, v)
		}
	}
	group.stopNode("h2")
	group.startNode("h2", nil)
	group.waitUntil("one group", func() bool {
		groupID := group.nodes["h0"].Status().GroupID
		for _, s := range group.nodes {
			if v := s.Status(); v.State != "member" || v.GroupID != groupID {
				return false
			}
		}
		return true
	})
	first := group.nodes["h0"].Status().GroupID
	group.stopNode("h0")
	group.waitForLeader()
	requireNoError(t, os.Remove(group.storePath("h0")))
	group.startNode("h0", nil)
	group.waitUntil("it is groupID member again", func() bool {
		v := group.nodes["h0"].Status()
		return v.State == "member" && v.GroupID == first
	})
}

// Another process with an empty disk can't join under a host's name while that host is in contact.
func TestHostNameInUse(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 3)
	leader := group.leader()
	other := "h1"
	if leader.config.HostName == other {
		other = "h2"
	}
	disk := group.nodes[other].Status().DiskID
	config := Config{Cluster: "till", HostName: other, Listen: "127.0.0.1:0",
		StorePath: filepath.Join(group.dir, "second"), Hosts: group.hosts}
	s, err := NewRulesetNode(config, nil, nil, zerolog.Nop())
	requireNoError(t, err)
	defer s.Close()
	group.waitUntil("it is rejected", func() bool {
		return strings.Contains(s.Status().Reason, "heard a moment ago")
	})
	if v := group.nodes[other].Status(); v.DiskID != disk || v.State != "member" {
		t.Errorf("%+v", v)
	}
}
