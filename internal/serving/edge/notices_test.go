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

// listener is another edge that hears datagrams.
type listener struct {
	t          *testing.T
	connection *net.UDPConn
	target     target
}

func newListener(t *testing.T, name, region string) *listener {
	t.Helper()
	connection, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	connection.SetReadDeadline(time.Now().Add(10 * time.Second))
	place := pathhealth.FailureDomain{Zone: region, Region: region}
	return &listener{t: t, connection: connection, target: target{
		Target:  pathhealth.Target{Name: name, FailureDomain: place, Linked: true},
		address: netip.MustParseAddrPort(connection.LocalAddr().String()),
	}}
}

// next returns the next message that comes.
func (l *listener) next() *wirepb.EdgeDatagram {
	l.t.Helper()
	buffer := make([]byte, maxDatagram)
	length, err := l.connection.Read(buffer)
	if err != nil {
		l.t.Fatal(err)
	}
	message := &wirepb.EdgeDatagram{}
	if err := proto.Unmarshal(buffer[:length], message); err != nil {
		l.t.Fatal(err)
	}
	return message
}

// startNoticing makes an edge of the region south that knows one edge there and one in the north.
func startNoticing(t *testing.T) (e *Edge, near, far *listener) {
	t.Helper()
	e, _ = startEdge(t)
	near, far = newListener(t, "near", "south"), newListener(t, "far", "north")
	known := *e.table.Load()
	known.targets = []target{near.target, far.target}
	e.table.Store(&known)
	sender, err := listenDatagrams("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sender.connection.Close() })
	e.datagrams.Store(sender)
	return e, near, far
}

// TestDeadWorkersAreToldWithinTheRegion breaks a worker off, once behind a suspected path: only edges that
// see it from where this one does are told, and none where the path may be what broke.
func TestDeadWorkersAreToldWithinTheRegion(t *testing.T) {
	e, near, far := startNoticing(t)
	broken := worker{Worker: loadbalancer.Worker{Instance: "broken", Zone: "n", Region: "north", Engine: true}}
	e.paths.published.Store(&map[string]bool{"n": true})
	e.tellBroken(broken)
	e.tellDead(broken.Zone, &wirepb.DeadNotice{InstanceId: "behind a cut"})
	e.paths.published.Store(&map[string]bool{})
	e.tellBroken(broken)
	long := loadbalancer.PrefillNotice{Instance: "long", PrefillMillis: 900, Long: true}
	e.tellPrompt(e.table.Load(), broken, long)
	if notice := near.next().GetDead(); notice.GetInstanceId() != "broken" || !notice.GetBroke() {
		t.Errorf("the near edge hears %v first", notice)
	}
	if got := far.next(); got.GetPrompt().GetInstanceId() != "long" {
		t.Errorf("the far edge hears %v first", got)
	}
}

// TestPromptsAreToldWhereTheyMatter sends a prompt that is soon read, one that takes some time, and a long
// one.
func TestPromptsAreToldWhereTheyMatter(t *testing.T) {
	e, near, far := startNoticing(t)
	here := worker{Worker: loadbalancer.Worker{Instance: "i", Zone: "a", Region: "south", Engine: true}}
	plain := worker{Worker: loadbalancer.Worker{Instance: "i", Zone: "a", Region: "south"}}
	known := e.table.Load()
	e.tellPrompt(known, here, loadbalancer.PrefillNotice{Instance: "soon read", PrefillMillis: noticedRead - 1})
	e.tellPrompt(known, plain, loadbalancer.PrefillNotice{Instance: "no engine", PrefillMillis: 900})
	e.tellPrompt(known, here, loadbalancer.PrefillNotice{Instance: "some time", PrefillMillis: noticedRead})
	e.tellPrompt(known, here, loadbalancer.PrefillNotice{Instance: "long", PrefillMillis: 900, Long: true})
	for _, want := range []string{"some time", "long"} {
		if got := near.next().GetPrompt().GetInstanceId(); got != want {
			t.Errorf("the near edge hears of %q, not of %q", got, want)
		}
	}
	if got := far.next().GetPrompt().GetInstanceId(); got != "long" {
		t.Errorf("the far edge hears of %q first", got)
	}
}
