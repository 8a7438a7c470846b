package transport

import (
	"bytes"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/transport/gossip"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/ports"
)

// Datagrams of other senders, to itself, or malformed are dropped and counted.
func TestPeersDropForeignDatagrams(t *testing.T) {
	bind := func() (*net.UDPConn, netip.AddrPort) {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	peer, peerAt := bind()
	stranger, _ := bind()
	selfAt := netip.MustParseAddrPort(ports.Address(t))
	peers := NewPeers([]netip.AddrPort{selfAt, peerAt}, 0)
	if err := peers.Bind(selfAt); err != nil {
		t.Fatal(err)
	}
	defer peers.Close()
	received := make(chan int, 9)
	go peers.Receive(func(from int, reports []policy.Report, _ bool) { received <- 10*from + len(reports) })
	valid := gossip.Append(nil, []policy.Report{{Customer: 7, DemandPerSecond: 3}})
	to := net.UDPAddrFromAddrPort(selfAt)
	stranger.WriteTo(valid, to)
	peers.Send(0, valid) // itself
	peer.WriteTo([]byte("nonsense"), to)
	peer.WriteTo(nil, to)
	peer.WriteTo(bytes.Repeat([]byte{4}, 400), to)
	peer.WriteTo(valid, to)
	select {
	case got := <-received:
		if got != 11 || peers.Dropped() != 5 {
			t.Errorf("received %d after %d dropped, want 11 after 5", got, peers.Dropped())
		}
	case <-time.After(time.Second):
		t.Fatal("a peer's report is not received")
	}
}

// Where messages carry their sender's identity each is received once and in order, those of an earlier
// incarnation or without an identity are dropped, and a peer that has restarted is recognized. Full messages
// stay within their limit.
func TestPeersIdentifyMessages(t *testing.T) {
	addresses := make([]netip.AddrPort, 2)
	for i := range addresses {
		addresses[i] = netip.MustParseAddrPort(ports.Address(t))
	}
	type delivery struct {
		reports  int
		returned bool
	}
	start := func(self int, id incarnation.MessageID, received chan delivery) *Peers {
		peers := NewPeers(addresses, self)
		peers.Identify(id)
		if err := peers.Bind(addresses[self]); err != nil {
			t.Fatal(err)
		}
		go peers.Receive(func(_ int, reports []policy.Report, returned bool) {
			received <- delivery{len(reports),
				returned}
		})
		return peers
	}
	received := make(chan delivery, 9)
	a := start(0, incarnation.MessageID{Incarnation: 5}, nil)
	b := start(1, incarnation.MessageID{Incarnation: 9}, received)
	defer b.Close()
	shortest := gossip.Append(nil, make([]policy.Report, MaxReportsPerMessage))
	full := gossip.Append(
		nil,
		slices.Repeat([]policy.Report{{Customer: 7, DemandPerSecond: 3, PreviousDemandPerSecond: 2, SpentUnits: 1}},
			MaxReportsPerMessage),
	)
	if len(full)+identityBytes > gossip.MaxMessageBytes || len(full)+identityBytes < gossip.MaxMessageBytes-16 {
		t.Errorf("a full message has %d bytes", len(full)+identityBytes)
	}
	expect := func(what string, want delivery, dropped int64) {
		t.Helper()
		select {
		case g := <-received:
			if g != want || b.Dropped() != dropped {
				t.Errorf("%s: %+v after %d dropped", what, g, b.Dropped())
			}
		case <-time.After(time.Second):
			t.Fatalf("%s is not received", what)
		}
	}
	a.Send(1, shortest)
	expect("the first", delivery{MaxReportsPerMessage, false}, 0)
	a.Send(1, full)
	expect("the next", delivery{MaxReportsPerMessage, false}, 0)
	a.sequence.Store(0)
	a.Send(1, full) // as one that was delayed on its way
	a.identified.Store(false)
	a.Send(1, full)
	a.Identify(incarnation.MessageID{Incarnation: 4, Sequence: 100})
	a.Send(1, full) // of an earlier incarnation
	a.Identify(incarnation.MessageID{Incarnation: 6})
	a.Send(1, full)
	expect("one that has restarted", delivery{MaxReportsPerMessage, true}, 3)
	id := a.LastSent()
	a.Close()
	c := start(0, id, nil) // its successor
	c.Send(1, full)
	expect("a successor", delivery{MaxReportsPerMessage, false}, 3)
	b.SetAddresses(addresses[:0])
	c.Send(1, full)
	time.Sleep(20 * time.Millisecond)
	b.SetAddresses(addresses)
	c.Identify(incarnation.MessageID{Incarnation: 1}) // another peer, under the index of one that was removed
	c.Send(1, full)
	expect("another", delivery{MaxReportsPerMessage, false}, 4)
	c.Close()
}

// A peer under another's index is reported as replaced, and is received whatever the former peer has sent.
func TestSetAddressesForgetsReplacedPeers(t *testing.T) {
	addresses := func(ports ...uint16) (list []netip.AddrPort) {
		for _, peers := range ports {
			list = append(list, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), peers))
		}
		return list
	}
	peers := NewPeers(addresses(1, 2, 3), 0)
	peers.tracker.Observe(2, incarnation.MessageID{Incarnation: 9})
	if got := peers.SetAddresses(addresses(4, 2, 3, 5)); len(got) > 0 {
		t.Errorf("%v are reported as replaced", got)
	}
	if got := peers.SetAddresses(addresses(4, 2, 6)); len(got) != 1 || got[0] != 2 {
		t.Errorf("%v are reported as replaced", got)
	}
	if verdict := peers.tracker.Observe(2, incarnation.MessageID{Incarnation: 1}); verdict != incarnation.Fresh {
		t.Errorf("its first message is %v", verdict)
	}
}
