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

// listenTimeout is how long a start waits for the clients' address. A process has to be ready within it, and
// one that was told to end has released the address sooner.
const listenTimeout = 10 * time.Second

// listen opens the clients' address, or takes the listening socket that the platform passes as a descriptor
// (0 for none). It waits for an address in use: an earlier process may still be ending there, and a start
// that gave up would leave nobody serving.
func listen(address string, fd int, log zerolog.Logger) (net.Listener, error) {
	if fd != 0 {
		return inheritListener(fd)
	}
	listener, err := net.Listen("tcp", address)
	if errors.Is(err, syscall.EADDRINUSE) {
		log.Warn().Str("listen", address).Msg("address in use, waiting for it")
	}
	deadline := time.Now().Add(listenTimeout)
	for errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(deadline) {
		time.Sleep(transport.Millis(policy.AcceptRetryMillis))
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// inheritListener takes over a listening socket. Go duplicates the descriptor, so the inherited one is
// closed.
func inheritListener(fd int) (net.Listener, error) {
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || listening == 0 {
		return nil, fmt.Errorf("NODE_FD: descriptor %d is no listening socket", fd)
	}
	file := os.NewFile(uintptr(fd), "clients")
	listener, err := net.FileListener(file)
	_ = file.Close()
	if err != nil {
		return nil, fmt.Errorf("NODE_FD: %w", err)
	}
	return listener, nil
}

// takeover is a process's side of taking over from its predecessor.
type takeover struct {
	successor *hotrestart.Successor
	started   atomic.Bool   // the handoff state has arrived: this process serves from then on
	stopping  atomic.Bool   // this process stops, and takes over no more
	done      chan struct{} // closed once the predecessor hands off nothing more
}

// stop waits for a handoff that has started, or refuses one that has not. A process that ended before its
// predecessor has handed everything off would lose the connections that are still to come.
func (t *takeover) stop() {
	t.stopping.Store(true)
	if !t.started.Load() {
		t.successor.Close()
	}
	<-t.done
}

// takeOver waits, ready but without clients, until the predecessor hands off or ends, and then serves. It
// runs on a goroutine of its own.
func (g *Gateway) takeOver(t *takeover) {
	defer close(t.done)
	complete, err := t.successor.Receive(hotrestart.Handlers{
		State: func(state hotrestart.HandoffState) {
			t.started.Store(true)
			g.resume(state)
		},
		PeerSocket: g.usePeerSocket,
		Client: func(conn net.Conn, connection hotrestart.ClientConnection) {
			g.frontend.Adopt(g.listener, conn, connection.Proven, connection.ReadAhead)
		},
	})
	g.log.Info().Bool("complete", complete).Err(err).Msg("predecessor has ended")
	if !complete && t.stopping.Load() {
		return
	}
	g.dispatcher.PredecessorEnded()
	if journal := g.journal.Load(); complete && journal != nil {
		journal.PredecessorEnded()
	}
	if !complete {
		g.serveAfterCrash()
	}
	if g.peers != nil && !g.peers.Bound() {
		go g.bindPeers()
	}
}

// resume goes on from a predecessor's state, and serves.
func (g *Gateway) resume(state hotrestart.HandoffState) {
	g.dispatcher.Resume(state.Policy, state.WorkerNames, state.KindNames)
	if g.peers != nil && g.config.SharesEndpoints {
		g.peers.Identify(state.LastSentToPeer)
	}
	g.openCrashState(false) // the predecessor has closed it
	g.openJournal(true)
	g.log.Info().Int("customers", len(state.Policy.Customers)).Int("workers", len(state.Policy.Workers)).
		Msg("taking over")
	if g.authServer != nil {
		g.authServer.Adopt(state.Clearances)
		go g.authServer.ListenWhenFree(g.done)
	}
	g.serve()
	if state.Draining {
		g.Quiesce()
	}
}

// serveAfterCrash serves where the predecessor has ended without a handoff, by what it has left on disk.
func (g *Gateway) serveAfterCrash() {
	g.openCrashState(true)
	g.openJournal(false)
	if g.authServer != nil {
		go g.authServer.ListenWhenFree(g.done)
	}
	g.serve()
}

// serve accepts clients, and listens for a successor where this process can have one.
func (g *Gateway) serve() {
	go func() { g.serveResult <- g.frontend.Serve(g.listener) }()
	if g.config.SharedDir == "" {
		return
	}
	path := hotrestart.SocketPath(g.config.SharedDir, g.config.Name)
	predecessor, err := hotrestart.Listen(path, g.config.Name)
	if err != nil {
		g.log.Warn().Err(err).Msg("no successor can take over from this process")
		return
	}
	g.handoff.Store(predecessor)
}

// usePeerSocket exchanges messages with peers on a socket that is bound already.
func (g *Gateway) usePeerSocket(socket *net.UDPConn) {
	if g.peers == nil {
		_ = socket.Close()
		return
	}
	g.peers.UseSocket(socket)
	go g.peers.Receive(g.dispatcher.ReceiveReports)
}

// bindPeers binds the peers' address as soon as it is free: another process may not have ended yet.
func (g *Gateway) bindPeers() {
	for {
		err := g.peers.Bind(g.config.PeerListenAddress)
		if err == nil {
			go g.peers.Receive(g.dispatcher.ReceiveReports)
			return
		}
		select {
		case <-g.done:
			return
		case <-time.After(transport.Millis(policy.WatchRetryMillis)):
		}
	}
}

// handOff hands this process's work to its successor, if one is connected: the state, the peers' socket, and
// each client's connection once no request of it is in flight. It returns true when all of that is done. It
// returns false where there is no successor, or none that acknowledges the state: then requests in flight
// are completed here, and new ones are rejected.
func (g *Gateway) handOff() bool {
	predecessor := g.handoff.Load()
	if predecessor == nil || !predecessor.HasSuccessor() {
		return false
	}
	g.standby.Store(true)
	stateSent := make(chan struct{}) // closed once err tells whether the successor has the state
	var err error
	g.frontend.HandOver(g.listener, func(socket syscall.RawConn, proven bool, readAhead []byte) bool {
		<-stateSent
		connection := hotrestart.ClientConnection{Proven: proven, ReadAhead: readAhead}
		return err == nil && predecessor.SendClient(socket, connection) == nil
	})
	if err = predecessor.SendState(g.detachState()); err != nil {
		close(stateSent)
		predecessor.Close()
		g.log.Warn().Err(err).Msg("handoff failed, stopping without a successor")
		return false
	}
	_ = g.listener.Close() // from here on the successor accepts
	g.handOffPeerSocket(predecessor)
	close(stateSent)
	g.log.Info().Msg("handed off to the successor")
	if g.takeover != nil {
		g.takeover.stop()
	}
	g.frontend.Wait()
	predecessor.Close()
	return true
}

// detachState takes the state that a successor goes on from. Nothing here changes it any more.
func (g *Gateway) detachState() hotrestart.HandoffState {
	g.workerConns.Retire()
	state := hotrestart.HandoffState{Draining: g.draining.Load()}
	if g.authServer != nil {
		g.authServer.Close()
		state.Clearances = g.authServer.HandOver() // ahead of the dispatcher's, which would count them as spent
	}
	state.Policy, state.WorkerNames, state.KindNames = g.dispatcher.HandOff()
	if journal := g.journal.Load(); journal != nil {
		journal.Retire()
	}
	if g.peers != nil {
		state.LastSentToPeer = g.peers.LastSent()
	}
	return state
}

// handOffPeerSocket hands the datagram socket off, and closes it here.
func (g *Gateway) handOffPeerSocket(predecessor *hotrestart.Predecessor) {
	if g.peers == nil || !g.peers.Bound() {
		return
	}
	socket, err := g.peers.SyscallConn()
	if err == nil {
		err = predecessor.SendPeerSocket(socket)
	}
	if err != nil {
		g.log.Warn().Err(err).Msg("handing off the peers' socket failed")
	}
	_ = g.peers.Close()
}
