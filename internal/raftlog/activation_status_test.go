package raftlog

import (
	"testing"
)

// The nodes exchange the indices of their discovery lists, and list an instance that lags behind the highest.
func TestDiscoveryLag(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 3)
	group.nodes["h0"].RenewLease(1, "g0", 0, 5)
	group.nodes["h1"].RenewLease(2, "g1", 0, 9)
	group.waitUntil("all know the highest index", func() bool {
		return group.nodes["h0"].HighestDiscoveryIndex() == 9 && group.nodes["h2"].HighestDiscoveryIndex() == 9
	})
	group.waitUntil("the lagging instance is listed", func() bool {
		group.nodes["h0"].RenewLease(1, "g0", 0, 5)
		for _, b := range group.nodes["h0"].ActivationStatus().LaggingMembers {
			if b.Name == "g0" && b.HighestIndex == 9 && b.LagMillis > lagThresholdMillis {
				return true
			}
		}
		return false
	})
	group.nodes["h0"].RenewLease(1, "g0", 0, 9)
	for _, b := range group.nodes["h0"].ActivationStatus().LaggingMembers {
		if b.Name == "g0" {
			t.Errorf("%+v, which has caught up", b)
		}
	}
}
