package control

import (
	"testing"
	"time"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wirepb"
)

// TestLateReportOfEarlierLink guards against DRAIN: a report of an agent is held up on a link that it has
// given up, and comes after reports on its next link to the same core. The loss of that next one was not
// published then, so that clients were led to the edge for good.
func TestLateReportOfEarlierLink(t *testing.T) {
	w := startWorld(8, shape{cores: 3, tolerated: 1})
	e := w.leader().process.engine
	edge := &wirepb.Edge{Name: "edge-9", Address: "10.1.0.9:80", Zone: "zone-0", Ready: true}
	report := func(link *EdgeLink, version uint64) {
		e.LinkEdge(link, &wirepb.WatchRequest{Subscriber: edge.Name, EdgeVersion: version, Edge: edge})
	}
	listed := func() *wirepb.Edge { return e.StateView().Get(catalog.EdgeKey(edge.Name)).Record.GetEdge() }
	earlier, next := &EdgeLink{}, &EdgeLink{}
	report(earlier, 10)
	report(next, 30)
	report(earlier, 20)
	e.UnlinkEdge(earlier)
	report(next, 30)
	w.run(time.Second)
	if !listed().Linked || !listed().Ready {
		t.Errorf("the edge has a link, and is listed as %v", listed())
	}
	e.UnlinkEdge(next)
	w.run(time.Second)
	if listed().Linked || listed().Ready {
		t.Errorf("the edge has no link, and is listed as %v", listed())
	}
}
