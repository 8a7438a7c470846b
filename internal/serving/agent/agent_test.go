package agent

import (
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
		logger: zap.NewNop(), changed: make(chan struct{}),
		settings: &settings.Settings{
			NodeName: "e1", IP: "10.1.0.5", Zone: "a", Region: "south", FirstInternalPort: 7660, Seeds: seeds,
		},
	}
	a.mirror = stateview.New("", func() time.Duration { return 0 })
	return a
}

func (a *Agent) hold(records ...*wirepb.Record) {
	a.mirror.WithCatalog(func(now time.Duration, c *catalog.Catalog) bool {
		return len(c.Merge(now, records, nil)) > 0
	})
}

func coreRecord(address, zone, region string) *wirepb.Record {
	core := &wirepb.CoreNode{Replica: address, Address: address, Zone: zone, Region: region}
	return &wirepb.Record{
		Key: catalog.CoreKey(address), Origin: "c", Order: 1, Value: &wirepb.Record_Core{Core: core},
	}
}

func TestNearCoresComeFirstAndSeedsLast(t *testing.T) {
	a := newAgent("10.9.0.1:8146", "10.2.0.1:8146", "nonsense")
	a.hold(coreRecord("10.3.0.1:7660", "n", "north"), coreRecord("10.2.0.1:7660", "b", "south"),
		coreRecord("10.1.0.1:7660", "a", "south"))
	var addresses []string
	for _, provider := range a.cores() {
		addresses = append(addresses, provider.Address)
	}
	want := []string{"10.1.0.1:7660", "10.2.0.1:7660", "10.3.0.1:7660", "10.9.0.1:7660"}
	if len(addresses) != len(want) {
		t.Fatalf("cores %v", addresses)
	}
	for i := range want {
		if addresses[i] != want[i] {
			t.Errorf("cores %v, want %v", addresses, want)
		}
	}
}

// TestStateOvertakesAnOldRecord holds a record of this edge that is newer than what the agent says, as
// after a clock that was ahead: what the agent says has to come to count.
func TestStateOvertakesAnOldRecord(t *testing.T) {
	a := newAgent()
	a.takeProxyStatus(&wirepb.FeedRequest{Edge: &wirepb.Edge{Name: "e1", Ready: true}})
	ahead := a.order + 100_000
	a.hold(&wirepb.Record{
		Key: catalog.EdgeKey("e1"), Origin: "c", Order: ahead,
		Value: &wirepb.Record_Edge{Edge: &wirepb.Edge{Name: "e1"}},
	})
	if request := a.status(); request.EdgeOrder <= ahead || !request.Edge.Ready {
		t.Errorf("told %v after a record of order %d", request, ahead)
	}
}

func TestChangeOfTheProxyIsTold(t *testing.T) {
	a := newAgent()
	for i, ready := range []bool{true, false, true} {
		changed, before := a.statusChanged(), a.order
		a.takeProxyStatus(&wirepb.FeedRequest{Edge: &wirepb.Edge{Name: "e1", Ready: ready}})
		select {
		case <-changed:
		default:
			t.Errorf("change %d is not told at once", i)
		}
		if a.order <= before {
			t.Errorf("change %d: order %d after %d", i, a.order, before)
		}
	}
	changed := a.statusChanged()
	a.takeProxyStatus(&wirepb.FeedRequest{Edge: &wirepb.Edge{Name: "e1", Ready: true}})
	select {
	case <-changed:
		t.Error("a heartbeat that says nothing new is told at once")
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
