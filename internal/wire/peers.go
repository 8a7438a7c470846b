package wire

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"willowdeck/internal/wire/gossip"
	"willowdeck/logic"
)

// Peers exchanges datagrams with the other gatekeepers.
type Peers struct {
	conn    *net.UDPConn
	to      []netip.AddrPort
	me      int
	dropped atomic.Int64
}

// ListenPeers takes peers' datagrams at an address.
func ListenPeers(at netip.AddrPort, peers []netip.AddrPort, me int) (*Peers, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return &Peers{conn: conn, to: peers, me: me}, nil
}

// Tell sends a message to a peer. One that cannot be sent is as good as lost on the way.
func (p *Peers) Tell(peer int, b []byte) {
	if _, err := p.conn.WriteToUDPAddrPort(b, p.to[peer]); err != nil {
		p.dropped.Add(1)
	}
}

// Hear gives each peer's reports to take, until Close. What comes from elsewhere or makes no sense is
// dropped.
func (p *Peers) Hear(take func(from int, reports []logic.Report)) {
	var reports []logic.Report
	buf := make([]byte, 2*gossip.Limit)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		who := p.number(from)
		if reports, err = gossip.Decode(reports[:0], buf[:n]); who < 0 || err != nil {
			p.dropped.Add(1)
			continue
		}
		take(who, reports)
	}
}

func (p *Peers) number(from netip.AddrPort) int {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	for i, a := range p.to {
		if a == from && i != p.me {
			return i
		}
	}
	return -1
}

// Dropped tells how many datagrams went nowhere.
func (p *Peers) Dropped() int64 { return p.dropped.Load() }

// Close ends Hear.
func (p *Peers) Close() error { return p.conn.Close() }
