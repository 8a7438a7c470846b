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

// Peers exchanges datagrams with the other gatekeepers.
type Peers struct {
	conn      atomic.Pointer[net.UDPConn]      // nil until it is bound
	addresses atomic.Pointer[[]netip.AddrPort] // by number
	self      int
	dropped   atomic.Int64

	onCredit atomic.Pointer[func(int, incarnation.MessageID, []borrowing.Entry)] // nil where none is lent

	identified  atomic.Bool   // messages bear a word
	incarnation atomic.Uint32 // incarnation
	sequence    atomic.Uint32 // messages of it so far
	mu          sync.Mutex    // of heard
	tracker     *incarnation.Tracker
}

// LastSeen gives the last word of each peer in place of what is in all.
func (p *Peers) LastSeen(all []incarnation.MessageID) []incarnation.MessageID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Latest(all, len(*p.addresses.Load()))
}

// Restore takes peers' words as a former life had heard them, and gives those that have returned since, and
// were heard.
func (p *Peers) Restore(all []incarnation.MessageID) (returned []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Restore(all)
}

// MaxReportsPerMessage is how many reports fit a message that bears a word.
const MaxReportsPerMessage = gossip.MaxReports - (identityBytes+7)/8

// A message that bears a word begins with a mark that no version of the form has, and the word.
const (
	identityMagic = 0xF1
	identityBytes = 9
)

// Identify has messages say which life of this gatekeeper they are of, and their place in it; those that do not
// say so are dropped from then on.
func (p *Peers) Identify(id incarnation.MessageID) {
	p.incarnation.Store(id.Incarnation)
	p.sequence.Store(id.Sequence)
	p.identified.Store(true)
}

// LastSent gives the word of the last message.
func (p *Peers) LastSent() incarnation.MessageID {
	return incarnation.MessageID{Incarnation: p.incarnation.Load(), Sequence: p.sequence.Load()}
}

// NewPeers exchanges nothing until it is bound.
func NewPeers(addresses []netip.AddrPort, self int) *Peers {
	p := &Peers{self: self, tracker: incarnation.NewTracker()}
	p.SetAddresses(addresses)
	return p
}

// SetAddresses changes who the peers are; this one keeps its number. It gives the numbers of those that are others
// now than were there before.
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

// Bind takes peers' datagrams at an address.
func (p *Peers) Bind(at netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	p.UseSocket(conn)
	return nil
}

// UseSocket takes peers' datagrams from a socket that another process has bound.
func (p *Peers) UseSocket(conn *net.UDPConn) { p.conn.Store(conn) }

// Bound tells whether there is a socket.
func (p *Peers) Bound() bool { return p.conn.Load() != nil }

// SyscallConn gives the socket's descriptor.
func (p *Peers) SyscallConn() (syscall.RawConn, error) { return p.conn.Load().SyscallConn() }

// Send sends a message to a peer. One that cannot be sent is as good as lost on the way.
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

// OnCredit has peers' words on credit be taken; until then they are dropped.
func (p *Peers) OnCredit(take func(from int, id incarnation.MessageID, entries []borrowing.Entry)) {
	p.onCredit.Store(&take)
}

// Receive gives each peer's reports to take, until Close, and says which are the first of one that has returned.
// What comes from elsewhere, makes no sense or is no news is dropped.
func (p *Peers) Receive(onReports func(from int, reports []policy.Report, returned bool)) {
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

// cutMessageID takes the word that a message bears off it.
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

func (p *Peers) peerIndex(from netip.AddrPort) int {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	for i, address := range *p.addresses.Load() {
		if address == from && i != p.self {
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
