package lifecycle

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"willowdeck/internal/gateway/admin"
	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/hotrestart"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/proxy"
	"willowdeck/internal/gateway/recovery/bootstrap"
	"willowdeck/internal/gateway/recovery/crashstate"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
)

// socketSlackMillis is by how much a protocol on sockets lengthens the time limits of the settings, which do
// not count transmission.
const socketSlackMillis = 50

// Start brings a gateway up. When it returns, clients are served: by this process, or by the predecessor that
// it takes over from. An error means that nothing of it is left running.
func Start(c config.Gateway, log zerolog.Logger) (*Gateway, error) {
	setRuntimeLimits(c)
	g := &Gateway{
		config:           c,
		log:              log,
		serveResult:      make(chan error, 1),
		done:             make(chan struct{}),
		firstWatchResult: make(chan struct{}),
	}
	maxClients, maxWorkerConns := connectionLimits(c)
	g.workerConns = transport.NewWorkerPool(maxWorkerConns,
		transport.Millis(c.Connections.IdleTimeoutMillis*policy.WorkerIdleFraction),
		transport.Millis(c.Connections.ConnectTimeoutMillis))
	sendToPeer := func(int, []byte) {}
	if len(c.PeerAddresses) > 0 {
		g.peers = transport.NewPeers(c.PeerAddresses, c.Policy.GatewayIndex)
		sendToPeer = g.peers.Send
		if c.Policy = peerSettings(c); c.SharesEndpoints {
			g.peers.Identify(incarnation.MessageID{Incarnation: crashstate.UptimeCentiseconds()})
		}
	}
	listener, err := listen(c.ListenAddress, c.ListenerFD, log)
	if err != nil {
		return nil, err
	}
	predecessor, err := g.openBeforeServing()
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	g.initRequestPath(c, sendToPeer)
	g.standby.Store(true) // until it is known whether there is a predecessor's state to take over
	if c.RulesetAddress != "" {
		g.initRulesetClient()
	}
	g.listener = transport.NewLimitListener(listener, maxClients)
	if err := g.openServers(predecessor == nil); err != nil {
		g.closeAfterFailedStart(listener)
		return nil, err
	}
	g.Address = listener.Addr().String()
	g.followDiscovery()
	g.serveOrTakeOver(predecessor)
	if g.ruleset != nil { // only now is it known what an earlier incarnation has left
		go g.ruleset.run()
	}
	log.Info().Str("listen", g.Address).Int("workers", len(c.KnownEndpoints.Workers)).Msg("serving")
	return g, nil
}

// setRuntimeLimits fits Go's scheduler and garbage collector to the configured processor share and memory.
func setRuntimeLimits(c config.Gateway) {
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Cores)), 1))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB) * (1 << 20) * policy.MemoryLimitFraction))
	debug.SetGCPercent(policy.GCTargetPercent)
}

// openBeforeServing opens the history, connects to a predecessor if there is one, and binds the peers' socket
// unless it comes from that one.
func (g *Gateway) openBeforeServing() (*hotrestart.Successor, error) {
	if err := g.openHistory(); err != nil {
		return nil, err
	}
	predecessor := g.connectToPredecessor()
	if g.peers != nil && predecessor == nil {
		if err := g.bindPeersAtStart(); err != nil {
			return nil, err
		}
	}
	return predecessor, nil
}

func (g *Gateway) openHistory() (err error) {
	c := &g.config
	if c.HistoryDir == "" {
		return nil
	}
	path := filepath.Join(c.HistoryDir, fmt.Sprintf("%s.%d.jsonl", c.Name, os.Getpid()))
	g.history, err = history.Open(path, c.Name, crashstate.UptimeCentiseconds())
	return err
}

// connectToPredecessor gives the connection to the process that serves now; nil where there is none.
func (g *Gateway) connectToPredecessor() *hotrestart.Successor {
	c := &g.config
	if c.SharedDir == "" {
		return nil
	}
	predecessor, err := hotrestart.Connect(hotrestart.SocketPath(c.SharedDir, c.Name), c.Name)
	if err != nil {
		g.log.Info().Err(err).Msg("no predecessor to take over from")
		return nil
	}
	return predecessor
}

// bindPeersAtStart binds the peers' socket. An address in use is no error: an earlier process that is still
// ending releases it last, and serving clients need not wait for peers. A process that the platform gave its
// clients' listener (FD) starts with any error, and binds later.
func (g *Gateway) bindPeersAtStart() error {
	err := g.peers.Bind(g.config.PeerListenAddress)
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		g.log.Warn().Err(err).Msg("peer address in use, serving without peers until it is free")
	case err != nil && g.config.ListenerFD == 0:
		return err
	}
	return nil
}

// initRequestPath makes what requests pass through: dispatcher, proxy, forward authentication and frontend.
func (g *Gateway) initRequestPath(c config.Gateway, sendToPeer func(int, []byte)) {
	g.dispatcher = proxy.NewDispatcher(c.Policy, c.Seed,
		c.Connections.AnswerSlackMillis+socketSlackMillis, sendToPeer, g.workerConns.CloseIdle)
	if c.Region != "" && c.AdminAddress != "" {
		g.reporter = g.newLoadReporter()
	}
	if g.history != nil {
		g.dispatcher.RecordHistory(g.history)
	}
	g.dispatcher.ApplyEndpoints(c.KnownEndpoints)
	g.endpoints = bootstrap.NewRegistry(c.KnownEndpoints)
	g.memberCount.Store(int64(c.Policy.GatewayCount))
	g.proxy = proxy.New(g.dispatcher, g.workerConns)
	g.frontend = transport.NewFrontend(c.Names, c.Policy, g.enableForwardAuth(g.proxy), g.ready)
	g.frontend.AllowAnonymous = g.authorizer != nil && c.ForwardAuth.Authorizer.CustomerHeader != ""
}

// openServers opens the admin server and, unless a predecessor still has its address, that of forward
// authentication.
func (g *Gateway) openServers(bindAuthServer bool) (err error) {
	if g.authServer != nil && bindAuthServer {
		err = g.authServer.Listen()
	}
	if g.config.AdminAddress != "" && err == nil {
		g.adminServer, err = admin.Open(g.config.AdminAddress, g)
	}
	if err != nil {
		return err
	}
	if g.adminServer != nil {
		go admin.RunPeriodically(g.done, g.refreshReports)
	}
	return nil
}

// closeAfterFailedStart closes the sockets of a start that openServers has ended.
func (g *Gateway) closeAfterFailedStart(listener net.Listener) {
	_ = listener.Close()
	if g.peers != nil {
		_ = g.peers.Close()
	}
	if g.authServer != nil {
		g.authServer.Close()
	}
}

// followDiscovery starts the watch and, where it is configured, asks peers for their endpoints until
// discovery has responded. Where endpoints are pushed it waits for the first update, for
// StartupListWaitMillis at most.
func (g *Gateway) followDiscovery() {
	c := &g.config
	g.startWatch(c.KnownEndpoints.Version, policy.WatchCatchUpMillis)
	if len(c.PeerAdminAddresses) > 0 && g.requestingEndpoints.CompareAndSwap(false, true) {
		go g.requestEndpoints(c.PeerAdminAddresses, rand.New(rand.NewSource(c.Seed)))
	}
	if !c.Connections.PollsDiscovery {
		g.awaitFirstWatch()
	}
}

// serveOrTakeOver serves clients at once, by what an earlier incarnation has left, or once a predecessor has
// handed off.
func (g *Gateway) serveOrTakeOver(predecessor *hotrestart.Successor) {
	if predecessor != nil {
		g.takeover = &takeover{successor: predecessor, done: make(chan struct{})}
		go g.takeOver(g.takeover)
		return
	}
	g.openCrashState(true)
	g.openJournal(false)
	if g.peers != nil && g.peers.Bound() {
		go g.peers.Receive(g.dispatcher.ReceiveReports)
	} else if g.peers != nil { // a process that does not hand off still has the address
		go g.bindPeers()
	}
	g.serve()
}

// refreshReports renews the copies that admin calls are answered from.
func (g *Gateway) refreshReports() {
	g.dispatcher.RefreshTally()
	if g.reporter != nil {
		g.reporter.refresh(g)
	}
}

// peerSettings gives the settings with the number of reports that fit a message to peers. Messages that carry
// an incarnation have room for fewer.
func peerSettings(c config.Gateway) policy.Settings {
	if c.SharesEndpoints {
		c.Policy.ReportsPerMessage = min(c.Policy.ReportsPerMessage, transport.MaxReportsPerMessage)
	}
	return c.Policy
}
