package tally

import (
	"testing"
	"time"
)

// Guards against a read from the own disk alone: calls are served from the start of the process, before the
// replica has been told of its peers.
func TestReadIsRefusedBeforePeersAreNamed(t *testing.T) {
	network := &network{replicas: map[string]*Replica{}}
	replica := NewReplica(Options{
		Incarnation: "core-1/1", Address: "10.0.0.1:1", Zone: "a", RequiredCopies: 3, RequiredZones: 2,
		Clock: func() time.Duration { return network.now },
	}, endpoint{network, "10.0.0.1:1"})
	if total, ok := replica.Read("t"); ok {
		t.Errorf("read of %d before any peer was named", total)
	}
	replica.SetPeers([]string{})
	if _, ok := replica.Read("t"); !ok {
		t.Error("a core without peers refuses a read")
	}
}
