package transport

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"willowdeck/internal/borrowing"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/transport/creditwire"
	"willowdeck/internal/gateway/transport/gossip"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/goldentest"
)

// The golden files are datagrams as Send wrote them in an earlier version, with an incarnation and a sequence
// number ahead of the content. They are what peers of older versions send, and must never be written again.
var goldenMessageID = incarnation.MessageID{Incarnation: 0x01020304, Sequence: 0x05060708}

func goldenReports() []policy.Report {
	return []policy.Report{{Customer: 0x11121314, Plan: 5, DemandPerSecond: 8, PreviousDemandPerSecond: 4, SpentUnits: 2}}
}

func goldenEntries() []borrowing.Entry {
	return []borrowing.Entry{{Customer: 0x01020304, Plan: 5, N: 6, First: 0x0708, Form: 0x090a, Known: true,
		Virgin: true, Asks: true, Answers: true, Nonce: 0x0b0c, Echo: 0x0d0e, GaveR: 1001, GaveD: 1002, GotR: 1003,
		GotD: 1004, Left: 51.0 / 255, Want: 1005, Spare: 0.5, Fill: 8}}
}

// goldenPeer is an instance with one peer, which is a bare socket.
func goldenPeer(t *testing.T) (*Peers, *net.UDPConn) {
	t.Helper()
	bare, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { bare.Close() })
	if err := bare.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	own := netip.MustParseAddrPort("127.0.0.1:0")
	peers := NewPeers([]netip.AddrPort{own, netip.MustParseAddrPort(bare.LocalAddr().String())}, 0)
	if err := peers.Bind(own); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peers.Close() })
	return peers, bare
}

// goldenSent gives the datagrams that Send writes with reports and with entries.
func goldenSent(t *testing.T) (reports, entries []byte) {
	t.Helper()
	peers, bare := goldenPeer(t)
	peers.Identify(incarnation.MessageID{Incarnation: goldenMessageID.Incarnation,
		Sequence: goldenMessageID.Sequence - 1})
	peers.Send(1, gossip.Append(nil, goldenReports()))
	message, _ := creditwire.Append(nil, goldenEntries())
	peers.Send(1, message)
	read := func() []byte {
		b := make([]byte, 1<<16)
		n, err := bare.Read(b)
		if err != nil {
			t.Fatal(err)
		}
		return b[:n]
	}
	return read(), read()
}

func TestGoldenDatagramsSent(t *testing.T) {
	reports, entries := goldenSent(t)
	goldentest.SameBytes(t, reports, goldentest.Hex(t, "reports.hex"))
	goldentest.SameBytes(t, entries, goldentest.Hex(t, "entries.hex"))
}

func TestGoldenDatagramsReceived(t *testing.T) {
	peers, bare := goldenPeer(t)
	peers.Identify(incarnation.MessageID{Incarnation: 1})
	reports, entries := make(chan []policy.Report, 1), make(chan []borrowing.Entry, 1)
	ids := make(chan incarnation.MessageID, 1)
	peers.OnCredit(func(_ int, id incarnation.MessageID, all []borrowing.Entry) {
		ids <- id
		entries <- append([]borrowing.Entry(nil), all...)
	})
	go peers.Receive(func(_ int, all []policy.Report, _ bool) {
		reports <- append([]policy.Report(nil),
			all...)
	})
	to := peers.conn.Load().LocalAddr().(*net.UDPAddr).AddrPort()
	for _, name := range []string{"reports.hex", "entries.hex"} {
		if _, err := bare.WriteToUDPAddrPort(goldentest.Hex(t, name), to); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case got := <-reports:
		goldentest.Same(t, got, goldenReports())
	case <-time.After(10 * time.Second):
		t.Fatal("the reports are not received")
	}
	select {
	case id := <-ids:
		goldentest.Same(
			t,
			id,
			incarnation.MessageID{Incarnation: goldenMessageID.Incarnation, Sequence: goldenMessageID.Sequence + 1},
		)
		goldentest.Same(t, <-entries, goldenEntries())
	case <-time.After(10 * time.Second):
		t.Fatal("the entries are not received")
	}
	if n := peers.Dropped(); n != 0 {
		t.Errorf("%d datagrams are dropped", n)
	}
}
