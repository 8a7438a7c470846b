package wire

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"

	"willowdeck/internal/wire/gossip"
	"willowdeck/logic"
)

// Peers exchanges datagrams with the other gatekeepers.
type Peers struct {
	conn    atomic.Pointer[net.UDPConn]      // nil until it is bound
	to      atomic.Pointer[[]netip.AddrPort] // by number
	me      int
	dropped atomic.Int64
}

// NewPeers exchanges nothing until it is bound.
func NewPeers(peers []netip.AddrPort, me int) *Peers {
	p := &Peers{me: me}
	p.Among(peers)
	return p
}

// Among changes who the peers are; this one keeps its number.
func (p *Peers) Among(peers []netip.AddrPort) { p.to.Store(&peers) }

// Bind takes peers' datagrams at an address.
func (p *Peers) Bind(at netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	p.Use(conn)
	return nil
}

// Use takes peers' datagrams from a socket that another process has bound.
func (p *Peers) Use(conn *net.UDPConn) { p.conn.Store(conn) }

// Bound tells whether there is a socket.
func (p *Peers) Bound() bool { return p.conn.Load() != nil }

// Raw gives the socket's descriptor.
func (p *Peers) Raw() (syscall.RawConn, error) { return p.conn.Load().SyscallConn() }

// Tell sends a message to a peer. One that cannot be sent is as good as lost on the way.
func (p *Peers) Tell(peer int, b []byte) {
	conn, to := p.conn.Load(), *p.to.Load()
	if conn == nil || peer >= len(to) {
		return
	}
	if _, err := conn.WriteToUDPAddrPort(b, to[peer]); err != nil {
		p.dropped.Add(1)
	}
}

// Hear gives each peer's reports to take, until Close. What comes from elsewhere or makes no sense is
// dropped.
func (p *Peers) Hear(take func(from int, reports []logic.Report)) {
	conn := p.conn.Load()
	var reports []logic.Report
	buf := make([]byte, 2*gossip.Limit)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
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
	for i, a := range *p.to.Load() {
		if a == from && i != p.me {
			return i
		}
	}
	return -1
}

// Dropped tells how many datagrams went nowhere.
func (p *Peers) Dropped() int64 { return p.dropped.Load() }

// Close ends Hear.
func (p *Peers) Close() error {
	if conn := p.conn.Load(); conn != nil {
		return conn.Close()
	}
	return nil
}
