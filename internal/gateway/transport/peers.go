package transport

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"

	"willowdeck/internal/borrowing"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/transport/creditwire"
	"willowdeck/internal/gateway/transport/gossip"
	"willowdeck/internal/policy"
)

// Peers exchanges datagrams with the other instances. Receive runs on one goroutine; all else may be called
// from any. Datagrams of unknown senders, malformed ones and stale ones are counted and dropped.
type Peers struct {
	conn      atomic.Pointer[net.UDPConn]      // nil until it is bound
	addresses atomic.Pointer[[]netip.AddrPort] // by index
	self      int                              // index
	dropped   atomic.Int64

	onCredit atomic.Pointer[func(int, incarnation.MessageID, []borrowing.Entry)] // nil where nothing is lent

	identified  atomic.Bool   // messages carry the incarnation and a sequence number
	incarnation atomic.Uint32 // of this process
	sequence    atomic.Uint32 // of the last message that was sent
	mu          sync.Mutex    // guards tracker
	tracker     *incarnation.Tracker
}

// LastSeen gives the newest message of each peer that was received, by its index, in the place of what ids
// holds.
func (p *Peers) LastSeen(ids []incarnation.MessageID) []incarnation.MessageID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Latest(ids, len(*p.addresses.Load()))
}

// Restore takes over what LastSeen gave in an earlier run of this process. It gives the peers that have been
// received since in another incarnation than at that time.
func (p *Peers) Restore(ids []incarnation.MessageID) (restarted []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Restore(ids)
}

// MaxReportsPerMessage is how many reports fit a message that carries its sender's identity.
const MaxReportsPerMessage = gossip.MaxReports - (identityBytes+7)/8

// A message with an identity begins with a byte that no format has as its version, the incarnation and the
// sequence number.
const (
	identityMagic = 0xF1
	identityBytes = 9
)

// Identify has messages carry the incarnation of this process and a sequence number, which continue from id.
// Messages of peers without these are dropped from then on.
func (p *Peers) Identify(id incarnation.MessageID) {
	p.incarnation.Store(id.Incarnation)
	p.sequence.Store(id.Sequence)
	p.identified.Store(true)
}

// LastSent numbers the last message that was sent.
func (p *Peers) LastSent() incarnation.MessageID {
	return incarnation.MessageID{Incarnation: p.incarnation.Load(), Sequence: p.sequence.Load()}
}

// NewPeers makes a Peers that exchanges nothing until it has a socket. self is the index of this instance.
func NewPeers(addresses []netip.AddrPort, self int) *Peers {
	p := &Peers{self: self, tracker: incarnation.NewTracker()}
	p.SetAddresses(addresses)
	return p
}

// SetAddresses changes the peers, by index; this instance keeps its own. It gives the indexes whose address
// is another than before.
func (p *Peers) SetAddresses(addresses []netip.AddrPort) (replaced []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Truncate(len(addresses))
	if previous := p.addresses.Load(); previous != nil {
		for i := range min(len(*previous), len(addresses)) {
			if (*previous)[i] != addresses[i] && i != p.self {
				p.tracker.Forget(i)
				replaced = append(replaced, i)
			}
		}
	}
	p.addresses.Store(&addresses)
	return replaced
}

// Bind opens a socket at an address.
func (p *Peers) Bind(at netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	p.UseSocket(conn)
	return nil
}

// UseSocket takes a socket that another process has bound.
func (p *Peers) UseSocket(conn *net.UDPConn) { p.conn.Store(conn) }

// Bound tells whether there is a socket.
func (p *Peers) Bound() bool { return p.conn.Load() != nil }

// SyscallConn gives access to the socket's descriptor.
func (p *Peers) SyscallConn() (syscall.RawConn, error) { return p.conn.Load().SyscallConn() }

// Send sends a message to a peer. One that cannot be sent counts as dropped, as if it were lost on its way.
func (p *Peers) Send(peer int, message []byte) {
	conn, addresses := p.conn.Load(), *p.addresses.Load()
	if conn == nil || peer >= len(addresses) {
		return
	}
	if p.identified.Load() {
		head := binary.BigEndian.AppendUint32([]byte{identityMagic}, p.incarnation.Load())
		message = append(binary.BigEndian.AppendUint32(head, p.sequence.Add(1)), message...)
	}
	if _, err := conn.WriteToUDPAddrPort(message, addresses[peer]); err != nil {
		p.dropped.Add(1)
	}
}

// OnCredit sets what takes the entries of package creditwire; until then these messages are dropped.
func (p *Peers) OnCredit(take func(from int, id incarnation.MessageID, entries []borrowing.Entry)) {
	p.onCredit.Store(&take)
}

// Receive calls onReports with the reports of each message until Close, and tells it which are the first of a
// peer that has restarted. The slices are valid until the call returns.
func (p *Peers) Receive(onReports func(from int, reports []policy.Report, restarted bool)) {
	conn := p.conn.Load()
	var reports []policy.Report
	var entries []borrowing.Entry
	buf := make([]byte, 2*gossip.MaxMessageBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		peer, message := p.peerIndex(from), buf[:n]
		id, identified := cutMessageID(&message)
		onCredit := p.onCredit.Load()
		if entries = entries[:0]; onCredit != nil && identified && len(message) > 0 &&
			message[0] == creditwire.Magic {
			reports = reports[:0]
			entries, err = creditwire.Decode(entries, message)
		} else {
			reports, err = gossip.Decode(reports[:0], message)
		}
		verdict := incarnation.Fresh
		if peer >= 0 && err == nil && identified {
			p.mu.Lock()
			verdict = p.tracker.Observe(peer, id)
			p.mu.Unlock()
		}
		if peer < 0 || err != nil || identified != p.identified.Load() || verdict == incarnation.Stale {
			p.dropped.Add(1)
			continue
		}
		if len(entries) == 0 || verdict == incarnation.Restarted {
			onReports(peer, reports, verdict == incarnation.Restarted)
		}
		if len(entries) > 0 {
			(*onCredit)(peer, id, entries)
		}
	}
}

// cutMessageID cuts the sender's identity off a message, and tells whether it carried one.
func cutMessageID(message *[]byte) (incarnation.MessageID, bool) {
	all := *message
	if len(all) < identityBytes || all[0] != identityMagic {
		return incarnation.MessageID{}, false
	}
	*message = all[identityBytes:]
	id := incarnation.MessageID{Incarnation: binary.BigEndian.Uint32(all[1:])}
	id.Sequence = binary.BigEndian.Uint32(all[5:])
	return id, true
}

// peerIndex gives the index of the peer with an address, or -1.
func (p *Peers) peerIndex(from netip.AddrPort) int {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	for i, address := range *p.addresses.Load() {
		if address == from && i != p.self {
			return i
		}
	}
	return -1
}

// Dropped counts the datagrams that were dropped, sent and received.
func (p *Peers) Dropped() int64 { return p.dropped.Load() }

// Close closes the socket, which ends Receive.
func (p *Peers) Close() error {
	if conn := p.conn.Load(); conn != nil {
		return conn.Close()
	}
	return nil
}
