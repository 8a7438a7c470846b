package lifecycle

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/gateway/hotrestart"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
)

// placeWithin is how long a start waits for its clients' address: a process is to be ready within it, and one
// that is ended is gone from there sooner.
const placeWithin = 10 * time.Second

// listen opens the clients' address, or takes the listening socket that the platform holds for it. Guards
// against a former life that is still ending there: a start that gave up would leave the place empty.
func listen(at string, fd int, log zerolog.Logger) (net.Listener, error) {
	if fd == 0 {
		l, err := net.Listen("tcp", at)
		if errors.Is(err, syscall.EADDRINUSE) {
			log.Warn().Str("listen", at).Msg("address still taken, waiting for it")
		}
		for end := time.Now().Add(placeWithin); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
			time.Sleep(transport.Millis(policy.AcceptRetryMillis))
			l, err = net.Listen("tcp", at)
		}
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return l, nil
	}
	if on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, fmt.Errorf("NODE_FD: descriptor %d is no listening socket", fd)
	}
	f := os.NewFile(uintptr(fd), "clients")
	l, err := net.FileListener(f) // a duplicate: the one that was inherited is of no more use
	_ = f.Close()
	if err != nil {
		return nil, fmt.Errorf("NODE_FD: %w", err)
	}
	return l, nil
}

// heir is a process's part in taking over from the one before it.
type heir struct {
	from  *hotrestart.Successor
	took  atomic.Bool   // the place is its
	stops atomic.Bool   // it stops, and takes no place any more
	over  chan struct{} // closed once nothing more is handed on
}

// stop waits for all that is still handed on, or has nothing be. Guards against a process that ends before
// the one that leaves its place to it: the connections that it has not been given would be nobody's.
func (h *heir) stop() {
	if h.stops.Store(true); !h.took.Load() {
		h.from.Close()
	}
	<-h.over
}

// inherit waits, ready but without clients, until the process before this one leaves its place, and takes it.
func (g *Gatekeeper) inherit(h *heir) {
	defer close(h.over)
	whole, err := h.from.Receive(hotrestart.Handlers{
		State: func(w hotrestart.HandoffState) {
			h.took.Store(true)
			g.desk.Resume(w.Policy, w.WorkerNames, w.KindNames)
			if g.peers != nil && g.conf.SharesEndpoints {
				g.peers.Identify(w.LastSentToPeer)
			}
			g.remember(false) // the process before has let it go
			g.keepJournal(true)
			g.log.Info().Int("customers", len(w.Policy.Customers)).Int("workers", len(w.Policy.Workers)).
				Msg("taking over")
			if g.portal != nil {
				g.portal.Adopt(w.Clearances)
				go g.portal.ListenWhenFree(g.over)
			}
			g.serve()
			if w.Draining {
				g.Quiesce()
			}
		},
		PeerSocket: g.hear,
		Client: func(c net.Conn, as hotrestart.ClientConnection) {
			g.front.Adopt(g.limit, c, as.Proven,
				as.ReadAhead)
		},
	})
	g.log.Info().Bool("whole", whole).Err(err).Msg("the process before has ended")
	if !whole && h.stops.Load() {
		return
	}
	g.desk.PredecessorEnded()
	if k := g.journal.Load(); whole && k != nil {
		k.PredecessorEnded()
	}
	if !whole { // as after any sudden end
		g.remember(true)
		g.keepJournal(false)
		if g.portal != nil {
			go g.portal.ListenWhenFree(g.over)
		}
		g.serve()
	}
	if g.peers != nil && !g.peers.Bound() {
		go g.bindPeers()
	}
}

// serve takes clients, and waits for an heir where this process can have one.
func (g *Gatekeeper) serve() {
	go func() { g.served <- g.front.Serve(g.limit) }()
	if g.conf.SharedDir == "" {
		return
	}
	o, err := hotrestart.Listen(hotrestart.SocketPath(g.conf.SharedDir, g.conf.Name), g.conf.Name)
	if err != nil {
		g.log.Warn().Err(err).Msg("no process can take over from this one")
		return
	}
	g.owner.Store(o)
}

// hear exchanges datagrams with peers on a socket that is bound.
func (g *Gatekeeper) hear(c *net.UDPConn) {
	if g.peers == nil {
		_ = c.Close()
		return
	}
	g.peers.UseSocket(c)
	go g.peers.Receive(g.desk.ReceiveReports)
}

// bindPeers binds the peers' address as soon as it is free: another process may not have ended yet.
func (g *Gatekeeper) bindPeers() {
	for {
		err := g.peers.Bind(g.conf.PeerListenAddress)
		if err == nil {
			go g.peers.Receive(g.desk.ReceiveReports)
			return
		}
		select {
		case <-g.over:
			return
		case <-time.After(transport.Millis(policy.WatchRetryMillis)):
		}
	}
}

// handOver leaves this process's place to its heir, if one waits: what the module knows, the peers'
// socket, and every client's connection once no txn of it is in hand. It is false where there is no heir, or
// none that says yes: then what is there goes on here to its end, and nothing new is let in.
func (g *Gatekeeper) handOver() bool {
	o := g.owner.Load()
	if o == nil || !o.HasSuccessor() {
		return false
	}
	g.away.Store(true)
	told := make(chan struct{}) // closed once the heir has the will, or could not be given it
	var err error
	g.front.HandOver(g.limit, func(c syscall.RawConn, proven bool, ahead []byte) bool {
		<-told
		return err == nil && o.SendClient(c, hotrestart.ClientConnection{Proven: proven, ReadAhead: ahead}) == nil
	})
	g.links.Retire()
	w := hotrestart.HandoffState{Draining: g.drains.Load()}
	if g.portal != nil {
		g.portal.Close()
		w.Clearances = g.portal.HandOver() // before the module's own, which would count them as spent
	}
	w.Policy, w.WorkerNames, w.KindNames = g.desk.HandOff()
	if k := g.journal.Load(); k != nil {
		k.Retire()
	}
	if g.peers != nil {
		w.LastSentToPeer = g.peers.LastSent()
	}
	if err = o.SendState(w); err != nil {
		close(told)
		o.Close()
		g.log.Warn().Err(err).Msg("nobody has taken the place over")
		return false
	}
	_ = g.limit.Close() // from here on the heir is to accept
	if g.peers != nil && g.peers.Bound() {
		raw, failed := g.peers.SyscallConn()
		if failed == nil {
			failed = o.SendPeerSocket(raw)
		}
		if failed != nil {
			g.log.Warn().Err(failed).Msg("handing the peers' socket on")
		}
		_ = g.peers.Close()
	}
	close(told)
	g.log.Info().Err(err).Msg("place left to another process")
	if g.heir != nil {
		g.heir.stop()
	}
	g.front.Wait()
	o.Close()
	return true
}
