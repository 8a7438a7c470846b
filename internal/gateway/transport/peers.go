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
	conn    atomic.Pointer[net.UDPConn]      // nil until it is bound
	to      atomic.Pointer[[]netip.AddrPort] // by number
	me      int
	dropped atomic.Int64

	credit atomic.Pointer[func(int, incarnation.MessageID, []borrowing.Entry)] // nil where none is lent

	bears atomic.Bool   // messages bear a word
	life  atomic.Uint32 // incarnation
	said  atomic.Uint32 // messages of it so far
	mu    sync.Mutex    // of heard
	heard *incarnation.Tracker
}

// Heard gives the last word of each peer in place of what is in all.
func (p *Peers) Heard(all []incarnation.MessageID) []incarnation.MessageID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heard.Latest(all, len(*p.to.Load()))
}

// Recall takes peers' words as a former life had heard them, and gives those that have returned since, and
// were heard.
func (p *Peers) Recall(all []incarnation.MessageID) (returned []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heard.Restore(all)
}

// Room is how many reports fit a message that bears a word.
const Room = gossip.MaxReports - (wordBytes+7)/8

// A message that bears a word begins with a mark that no version of the form has, and the word.
const (
	bearing   = 0xF1
	wordBytes = 9
)

// Bear has messages say which life of this gatekeeper they are of, and their place in it; those that do not
// say so are dropped from then on.
func (p *Peers) Bear(w incarnation.MessageID) {
	p.life.Store(w.Incarnation)
	p.said.Store(w.Sequence)
	p.bears.Store(true)
}

// Word gives the word of the last message.
func (p *Peers) Word() incarnation.MessageID {
	return incarnation.MessageID{Incarnation: p.life.Load(), Sequence: p.said.Load()}
}

// NewPeers exchanges nothing until it is bound.
func NewPeers(peers []netip.AddrPort, me int) *Peers {
	p := &Peers{me: me, heard: incarnation.NewTracker()}
	p.Among(peers)
	return p
}

// Among changes who the peers are; this one keeps its number. It gives the numbers of those that are others
// now than were there before.
func (p *Peers) Among(peers []netip.AddrPort) (others []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard.Truncate(len(peers))
	if was := p.to.Load(); was != nil {
		for i := range min(len(*was), len(peers)) {
			if (*was)[i] != peers[i] && i != p.me {
				p.heard.Forget(i)
				others = append(others, i)
			}
		}
	}
	p.to.Store(&peers)
	return others
}

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
	if p.bears.Load() {
		head := binary.BigEndian.AppendUint32([]byte{bearing}, p.life.Load())
		b = append(binary.BigEndian.AppendUint32(head, p.said.Add(1)), b...)
	}
	if _, err := conn.WriteToUDPAddrPort(b, to[peer]); err != nil {
		p.dropped.Add(1)
	}
}

// Credit has peers' words on credit be taken; until then they are dropped.
func (p *Peers) Credit(take func(from int, w incarnation.MessageID, entries []borrowing.Entry)) {
	p.credit.Store(&take)
}

// Hear gives each peer's reports to take, until Close, and says which are the first of one that has returned.
// What comes from elsewhere, makes no sense or is no news is dropped.
func (p *Peers) Hear(take func(from int, reports []policy.Report, returned bool)) {
	conn := p.conn.Load()
	var reports []policy.Report
	var entries []borrowing.Entry
	buf := make([]byte, 2*gossip.MaxMessageBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		who, b := p.number(from), buf[:n]
		word, bears := wordOf(&b)
		lends := p.credit.Load()
		if entries = entries[:0]; lends != nil && bears && len(b) > 0 && b[0] == creditwire.Magic {
			reports = reports[:0]
			entries, err = creditwire.Decode(entries, b)
		} else {
			reports, err = gossip.Decode(reports[:0], b)
		}
		verdict := incarnation.Fresh
		if who >= 0 && err == nil && bears {
			p.mu.Lock()
			verdict = p.heard.Observe(who, word)
			p.mu.Unlock()
		}
		if who < 0 || err != nil || bears != p.bears.Load() || verdict == incarnation.Stale {
			p.dropped.Add(1)
			continue
		}
		if len(entries) == 0 || verdict == incarnation.Restarted {
			take(who, reports, verdict == incarnation.Restarted)
		}
		if len(entries) > 0 {
			(*lends)(who, word, entries)
		}
	}
}

// wordOf takes the word that a message bears off it.
func wordOf(b *[]byte) (incarnation.MessageID, bool) {
	m := *b
	if len(m) < wordBytes || m[0] != bearing {
		return incarnation.MessageID{}, false
	}
	*b = m[wordBytes:]
	w := incarnation.MessageID{Incarnation: binary.BigEndian.Uint32(m[1:])}
	w.Sequence = binary.BigEndian.Uint32(m[5:])
	return w, true
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
