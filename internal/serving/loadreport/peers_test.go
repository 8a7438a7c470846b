package loadreport

import (
	"testing"

	"willowdeck/internal/serving/wirepb"
)

func loadReport(edge string, number uint64, inHand uint32) *wirepb.LoadReport {
	return &wirepb.LoadReport{Edge: edge, Number: number, Loads: []*wirepb.WorkerLoad{
		{InstanceId: "w", InHand: inHand, UnreadTokens: 100 * inHand},
	}}
}

func TestNewestReportOfEachCounts(t *testing.T) {
	peers := New()
	peers.Take(0, loadReport("a", 2, 3))
	peers.Take(0, loadReport("a", 1, 9)) // late
	peers.Take(0, loadReport("b", 1, 4))
	if sum, known := peers.Sum(0, "w", 3); !known || sum.InHand != 7 || sum.Unread != 700 {
		t.Errorf("%+v %v", sum, known)
	}
	peers.Take(0, loadReport("a", 3, 0))
	if sum, _ := peers.Sum(0, "w", 3); sum.InHand != 4 {
		t.Errorf("%+v", sum)
	}
}

func TestSilentEdgesDropOut(t *testing.T) {
	peers := New()
	peers.Take(0, loadReport("a", 1, 3))
	later := 4 * Period(3)
	peers.Take(later, loadReport("b", 1, 1))
	if sum, known := peers.Sum(later, "w", 3); known || sum.InHand != 1 {
		t.Errorf("one of three is heard: %+v %v", sum, known)
	}
}

func TestBytesDoNotGrowWithPeers(t *testing.T) {
	if Worthwhile(0) || !Worthwhile(7) || Worthwhile(329) {
		t.Error("who reports")
	}
	for peers := 10; peers < 400; peers++ {
		if perSecond := float64(peers) / Period(peers).Seconds(); perSecond > 100 {
			t.Fatalf("%d peers: %.0f datagrams a second", peers, perSecond)
		}
	}
}
