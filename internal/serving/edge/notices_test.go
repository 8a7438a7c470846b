package edge

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/pathhealth"
	"willowdeck/internal/serving/wirepb"
)

// fakePeer is another edge, which receives datagrams.
type fakePeer struct {
	t          *testing.T
	connection *net.UDPConn
	peer       peer
}

func newFakePeer(t *testing.T, name, region string) *fakePeer {
	t.Helper()
	connection, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	connection.SetReadDeadline(time.Now().Add(10 * time.Second))
	domain := pathhealth.FailureDomain{Zone: region, Region: region}
	return &fakePeer{t: t, connection: connection, peer: peer{
		Target:  pathhealth.Target{Name: name, FailureDomain: domain, Linked: true},
		address: netip.MustParseAddrPort(connection.LocalAddr().String()),
	}}
}

// next returns the next message received.
func (p *fakePeer) next() *wirepb.EdgeDatagram {
	p.t.Helper()
	buffer := make([]byte, maxDatagramBytes)
	length, err := p.connection.Read(buffer)
	if err != nil {
		p.t.Fatal(err)
	}
	message := &wirepb.EdgeDatagram{}
	if err := proto.Unmarshal(buffer[:length], message); err != nil {
		p.t.Fatal(err)
	}
	return message
}

// startEdgeWithPeers runs an edge of the region south with one peer there and one in the north.
func startEdgeWithPeers(t *testing.T) (e *Edge, near, far *fakePeer) {
	t.Helper()
	e, _ = startEdge(t)
	near, far = newFakePeer(t, "near", "south"), newFakePeer(t, "far", "north")
	known := *e.table.Load()
	known.peers = []peer{near.peer, far.peer}
	e.table.Store(&known)
	sender, err := listenDatagrams("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sender.connection.Close() })
	e.datagrams.Store(sender)
	return e, near, far
}

// TestUnhealthyNoticesStayInTheRegion has a worker break a connection, once behind a suspected path: only the
// peers of the edge's own region are notified, and none where the path may be what broke.
func TestUnhealthyNoticesStayInTheRegion(t *testing.T) {
	e, near, far := startEdgeWithPeers(t)
	broken := worker{Worker: loadbalancer.Worker{Instance: "broken", Zone: "n", Region: "north", Engine: true}}
	e.paths.suspectedZones.Store(&map[string]bool{"n": true})
	e.reportConnectionBreak(broken)
	e.notifyUnhealthy(broken.Zone, &wirepb.WorkerFailureNotice{InstanceId: "behind a suspected path"})
	e.paths.suspectedZones.Store(&map[string]bool{})
	e.reportConnectionBreak(broken)
	long := loadbalancer.PrefillNotice{Instance: "long", PrefillMillis: 900, Long: true}
	e.notifyPrefill(e.table.Load(), broken, long)
	if notice := near.next().GetWorkerFailure(); notice.GetInstanceId() != "broken" ||
		!notice.GetConnectionBroken() {
		t.Errorf("the near peer receives %v first", notice)
	}
	if got := far.next(); got.GetPrompt().GetInstanceId() != "long" {
		t.Errorf("the far peer receives %v first", got)
	}
}

// TestPrefillNoticesReachAffectedPeers announces a short prompt, a longer one, and a long one.
func TestPrefillNoticesReachAffectedPeers(t *testing.T) {
	e, near, far := startEdgeWithPeers(t)
	here := worker{Worker: loadbalancer.Worker{Instance: "i", Zone: "a", Region: "south", Engine: true}}
	plain := worker{Worker: loadbalancer.Worker{Instance: "i", Zone: "a", Region: "south"}}
	known := e.table.Load()
	tooShort := loadbalancer.PrefillNotice{Instance: "short", PrefillMillis: minNoticedPrefillMillis - 1}
	longEnough := loadbalancer.PrefillNotice{Instance: "some time", PrefillMillis: minNoticedPrefillMillis}
	e.notifyPrefill(known, here, tooShort)
	e.notifyPrefill(known, plain, loadbalancer.PrefillNotice{Instance: "no engine", PrefillMillis: 900})
	e.notifyPrefill(known, here, longEnough)
	e.notifyPrefill(known, here, loadbalancer.PrefillNotice{Instance: "long", PrefillMillis: 900, Long: true})
	for _, want := range []string{"some time", "long"} {
		if got := near.next().GetPrompt().GetInstanceId(); got != want {
			t.Errorf("the near peer receives %q, not %q", got, want)
		}
	}
	if got := far.next().GetPrompt().GetInstanceId(); got != "long" {
		t.Errorf("the far peer receives %q first", got)
	}
}
