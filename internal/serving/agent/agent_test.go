package agent

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/wirepb"
)

func newAgent(seeds ...string) *Agent {
	a := &Agent{
		logger: zap.NewNop(), statusChange: make(chan struct{}),
		settings: &settings.Settings{
			NodeName: "e1", IP: "10.1.0.5", Zone: "a", Region: "south", FirstInternalPort: 7660, Seeds: seeds,
		},
	}
	a.store = stateview.New("", func() time.Duration { return 0 })
	return a
}

// merge adds records to the agent's catalog.
func (a *Agent) merge(records ...*wirepb.Record) {
	a.store.WithCatalog(func(now time.Duration, c *catalog.Catalog) bool {
		return len(c.Merge(now, records, nil)) > 0
	})
}

func coreRecord(address, zone, region string) *wirepb.Record {
	core := &wirepb.CoreNode{Replica: address, Address: address, Zone: zone, Region: region}
	return &wirepb.Record{
		Key: catalog.CoreKey(address), Origin: "c", Version: 1, Value: &wirepb.Record_Core{Core: core},
	}
}

func TestProvidersAreSortedByDistance(t *testing.T) {
	a := newAgent("10.9.0.1:8146", "10.2.0.1:8146", "nonsense")
	a.merge(coreRecord("10.3.0.1:7660", "n", "north"), coreRecord("10.2.0.1:7660", "b", "south"),
		coreRecord("10.1.0.1:7660", "a", "south"))
	var addresses []string
	for _, provider := range a.providers() {
		addresses = append(addresses, provider.Address)
	}
	want := []string{"10.1.0.1:7660", "10.2.0.1:7660", "10.3.0.1:7660", "10.9.0.1:7660"}
	if len(addresses) != len(want) {
		t.Fatalf("providers %v", addresses)
	}
	for i := range want {
		if addresses[i] != want[i] {
			t.Errorf("providers %v, want %v", addresses, want)
		}
	}
}

// TestStatusSupersedesStaleRecord merges a record of this edge with a later version than the agent's, as
// after a clock that was ahead: the agent has to publish its state with a still later one.
func TestStatusSupersedesStaleRecord(t *testing.T) {
	a := newAgent()
	a.receiveProxyStatus(&wirepb.WatchRequest{Edge: &wirepb.Edge{Name: "e1", Ready: true}})
	ahead := a.edgeVersion + 100_000
	a.merge(&wirepb.Record{
		Key: catalog.EdgeKey("e1"), Origin: "c", Version: ahead,
		Value: &wirepb.Record_Edge{Edge: &wirepb.Edge{Name: "e1"}},
	})
	if request := a.status(); request.EdgeVersion <= ahead || !request.Edge.Ready {
		t.Errorf("status %v after a record of version %d", request, ahead)
	}
}

func TestProxyStatusChangesArePublished(t *testing.T) {
	a := newAgent()
	for i, ready := range []bool{true, false, true} {
		changed, previous := a.statusChanged(), a.edgeVersion
		a.receiveProxyStatus(&wirepb.WatchRequest{Edge: &wirepb.Edge{Name: "e1", Ready: ready}})
		select {
		case <-changed:
		default:
			t.Errorf("change %d is not published at once", i)
		}
		if a.edgeVersion <= previous {
			t.Errorf("change %d: version %d after %d", i, a.edgeVersion, previous)
		}
	}
	changed := a.statusChanged()
	a.receiveProxyStatus(&wirepb.WatchRequest{Edge: &wirepb.Edge{Name: "e1", Ready: true}})
	select {
	case <-changed:
		t.Error("a heartbeat without a change is published at once")
	default:
	}
}

func TestLoopbackAddress(t *testing.T) {
	for ip, want := range map[string]string{"10.1.0.5": "127.0.0.1:7661", "127.0.2.3": "127.0.2.3:7661"} {
		if got := LoopbackAddress(&settings.Settings{IP: ip, FirstInternalPort: 7660}); got != want {
			t.Errorf("%s: %s", ip, got)
		}
	}
}

// TestStopWhileSettingsAreReloaded replaces the settings while the agent waits for its end: the race detector
// sees an access without the lock.
func TestStopWhileSettingsAreReloaded(t *testing.T) {
	a := newAgent()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	replaced := make(chan struct{})
	go func() {
		defer close(replaced)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.settings = &settings.Settings{Bounds: settings.Bounds{GracePeriod: time.Second}}
	}()
	a.awaitStop(ctx)
	<-replaced
}
