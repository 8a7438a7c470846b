// Package lifecycle starts a gatekeeper and stops it.
package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/forwardauth/authorizer"
	"willowdeck/internal/forwardauth/authserver"
	"willowdeck/internal/gateway/admin"
	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/hotrestart"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/proxy"
	"willowdeck/internal/gateway/recovery/bootstrap"
	"willowdeck/internal/gateway/recovery/checkpoint"
	"willowdeck/internal/gateway/recovery/crashstate"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
	"willowdeck/internal/txnjournal/store"
)

// socketSlack is by how much the protocol lengthens the rules' time limits, ms.
const socketSlack = 50

// Gatekeeper is a gatekeeper that runs.
type Gateway struct {
	Address             string // where clients connect
	config              config.Gatekeeper
	log                 zerolog.Logger
	dispatcher          *proxy.Dispatcher
	frontend            *transport.Front
	listener            *transport.Limited
	workerConns         *transport.Links
	adminServer         *admin.Port        // nil where operators do not call
	draining            atomic.Bool        // clients are sent away
	done                chan struct{}      // closed at the end
	peers               *transport.Peers   // nil where peers are not talked to
	cancelWatch         context.CancelFunc // ends the watch
	watchEnded          chan int64         // the version that it got to
	serveResult         chan error
	handoff             atomic.Pointer[hotrestart.Predecessor] // where another process may take over from this one
	memberCount         atomic.Int64                           // gatekeepers there are, this one included
	endpointsMu         sync.Mutex                             // of list, and of what the desk is told of it
	endpoints           *bootstrap.Book
	authServer          *authserver.Portal  // nil where portals do not ask
	authorizer          *authorizer.Voucher // nil where no auth service is asked
	corruptCheckpoints  atomic.Int64        // copies of a former life that could not be gone by
	requestingEndpoints atomic.Bool         // others are asked for their list
	ruleset             *rulesetClient      // nil where no rules are agreed on
	history             *history.Log        // nil where no record is kept
	watchErrorLogged    time.Time           // when the log last told that the watch had ended
	reporter            *loadReporter       // nil where no word is told
	firstWatchResult    chan struct{}       // closed at the watch's first word or failure
	firstWatchOnce      sync.Once           // of that
	borrowingEnabled    atomic.Bool         // credit is, or can't be
	standby             atomic.Bool         // its place is another process's, still or from here on
	takeover            *takeover           // nil where no process was before this one

	unrestoredCheckpoint atomic.Pointer[checkpoint.Left] // a former life's, until it is known which rules are in force
	rulesetPlans         atomic.Pointer[[]policy.Plan]   // as rules that were adopted last have them; nil before any

	proxy   *proxy.Proxy
	journal atomic.Pointer[store.Keeper] // nil where no txn is written down
}

// Start brings a gatekeeper up: when it returns, clients are served.
func Start(c config.Gatekeeper, log zerolog.Logger) (*Gateway, error) {
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Cores)), 1))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB) * (1 << 20) * policy.MemoryPart))
	debug.SetGCPercent(policy.GarbagePart)

	g := &Gateway{config: c, log: log, serveResult: make(chan error, 1), done: make(chan struct{}),
		firstWatchResult: make(chan struct{})}
	clients, workers := connectionLimits(c)
	g.workerConns = transport.NewLinks(workers, transport.Millis(c.Lines.IdleLimit*policy.IdleUse),
		transport.Millis(c.Lines.ConnectTimeout))
	tell := func(int, []byte) {}
	if len(c.Peers) > 0 {
		g.peers = transport.NewPeers(c.Peers, c.Charter.Me)
		tell = g.peers.Tell
		if c.Charter = peerCharter(c); c.Tells {
			g.peers.Bear(incarnation.MessageID{Incarnation: crashstate.Uptime()})
		}
	}
	l, err := listen(c.Listen, c.FD, log)
	if err != nil {
		return nil, err
	}
	if c.History != "" {
		path := filepath.Join(c.History, fmt.Sprintf("%s.%d.jsonl", c.Name, os.Getpid()))
		if g.history, err = history.Open(path, c.Name, crashstate.Uptime()); err != nil {
			_ = l.Close()
			return nil, err
		}
	}
	var before *hotrestart.Successor
	if c.Scratch != "" {
		if before, err = hotrestart.Connect(hotrestart.SocketPath(c.Scratch, c.Name), c.Name); err != nil {
			log.Info().Err(err).Msg("starting from nothing")
		}
	}
	if g.peers != nil && before == nil {
		switch err = g.peers.Bind(c.PeerPort); {
		case errors.Is(err, syscall.EADDRINUSE): // a former life lets it go last; peers are no reason to wait
			log.Warn().Err(err).Msg("serving without peers until their address is free")
		case err != nil && c.FD == 0:
			_ = l.Close()
			return nil, err
		}
	}
	g.dispatcher = proxy.NewDispatcher(c.Charter, c.Seed, c.Lines.AnswerSlack+socketSlack, tell, g.workerConns.Shed)
	if c.Hall != "" && c.Control != "" {
		g.reporter = g.newLoadReporter()
	}
	if g.history != nil {
		g.dispatcher.RecordHistory(g.history)
	}
	g.dispatcher.ApplyEndpoints(c.Known)
	g.endpoints = bootstrap.NewBook(c.Known)
	g.memberCount.Store(int64(c.Charter.Gatekeepers))
	g.proxy = proxy.New(g.dispatcher, g.workerConns)
	g.frontend = transport.NewFront(c.Names, c.Charter, g.enableForwardAuth(g.proxy), g.ready)
	g.frontend.Nameless = g.authorizer != nil && c.Forward.Asking.Customer != ""

	g.standby.Store(true) // until what was before it is known
	if c.Agree != "" {
		g.initRulesetClient()
	}

	g.listener = transport.Limit(l, clients)
	if err = nil; g.authServer != nil && before == nil {
		err = g.authServer.Bind()
	}
	if c.Control != "" && err == nil {
		g.adminServer, err = admin.Open(c.Control, g)
	}
	if err != nil {
		_ = l.Close()
		if g.peers != nil {
			_ = g.peers.Close()
		}
		if g.authServer != nil {
			g.authServer.Close()
		}
		return nil, err
	}
	if g.adminServer != nil {
		go admin.Every(g.done, g.refreshReports)
	}
	g.Address = l.Addr().String()
	g.startWatch(c.Known.Version, policy.WatchDue)
	if len(c.Ask) > 0 && g.requestingEndpoints.CompareAndSwap(false, true) {
		go g.requestEndpoints(c.Ask, rand.New(rand.NewSource(c.Seed)))
	}
	if !c.Lines.ListAsked {
		g.awaitFirstWatch()
	}
	switch {
	case before != nil:
		g.takeover = &takeover{successor: before, done: make(chan struct{})}
		go g.takeOver(g.takeover)
	default:
		g.openCrashState(true)
		g.openJournal(false)
		if g.peers != nil && g.peers.Bound() {
			go g.peers.Hear(g.dispatcher.ReceiveReports)
		} else if g.peers != nil { // a process that can't be talked to has it still
			go g.bindPeers()
		}
		g.serve()
	}
	if g.ruleset != nil { // what a former life has left is known by now
		go g.ruleset.run()
	}
	log.Info().Str("listen", g.Address).Int("workers", len(c.Known.Workers)).Msg("serving")
	return g, nil
}

// look renews the copies that operators' calls are answered from.
func (g *Gateway) refreshReports() {
	g.dispatcher.RefreshTally()
	if g.reporter != nil {
		g.reporter.refresh(g)
	}
}

// spoken is the charter of a gatekeeper by what its messages hold: among instances of one host, that may say
// more to each other than the platform's, a word takes some of their room.
func peerCharter(c config.Gatekeeper) policy.Charter {
	if c.Tells {
		c.Charter.ReportsPerTell = min(c.Charter.ReportsPerTell, transport.Room)
	}
	return c.Charter
}

// remember keeps what outlives a sudden end, and takes what one has left; of what fades, only where it was
// sudden. Without it the gatekeeper starts as ever.
func (g *Gateway) openCrashState(sudden bool) {
	g.standby.Store(false)
	plans := g.config.Charter.Plans
	if p := g.rulesetPlans.Load(); p != nil {
		plans = *p
	}
	g.enableBorrowing(plans)
	if g.config.Residue == "" {
		return
	}
	f, left, err := crashstate.Open(g.config.Residue, crashstate.Digest(g.config.Charter), g.dispatcher.Now())
	if err != nil {
		g.log.Warn().Err(err).Msg("nothing will outlive a sudden end")
		return
	}
	g.dispatcher.AttachCrashState(f, left)
	if left != nil {
		g.log.Info().Int("ceilings", len(left.Ceilings)).Float64("base_s", (g.dispatcher.Now()-left.Base)/1000).
			Msg("remembering what a former life has spent")
	}
	if g.config.Recall {
		g.openCheckpoints(sudden)
	}
}

// recall keeps copies of what fades beside the residue, and takes that of a former life: at once, or where
// rules are agreed on, with the first version of them that is gone by.
func (g *Gateway) openCheckpoints(sudden bool) {
	b, left, none, err := checkpoint.Open(g.config.Residue+".inventory", g.dispatcher.Now())
	if err != nil {
		g.log.Warn().Err(err).Msg("no copies of quotas and demand will be kept")
		return
	}
	switch {
	case !sudden:
	case left == nil:
		g.reportNoCheckpoint(none)
	default:
		if g.unrestoredCheckpoint.Store(left); g.ruleset == nil || g.ruleset.version.Load() > 0 {
			g.restoreCheckpoint()
		}
	}
	words := func(all []incarnation.MessageID) []incarnation.MessageID { return all[:0] }
	if g.peers != nil {
		words = g.peers.Heard
	}
	g.dispatcher.WriteCheckpoints(b, words)
}

// recollect goes by a former life's copy, if there is one, and it is of the charter in force.
func (g *Gateway) restoreCheckpoint() {
	l := g.unrestoredCheckpoint.Swap(nil)
	if l == nil {
		return
	}
	age := g.dispatcher.Now() - l.Estate.At
	n, fits := g.dispatcher.RestoreCheckpoint(l, g.config.Tells)
	if !fits {
		g.reportNoCheckpoint(checkpoint.ErrCharter)
		return
	}
	if n > 0 && g.peers != nil {
		for _, i := range g.peers.Recall(l.Words) {
			g.dispatcher.PeerReplaced(i)
		}
	}
	g.log.Info().Int("customers", n).Int("of", len(l.Estate.Customers)).Float64("age_ms", age).
		Msg("going by a copy of a former life's quotas and demand")
}

// doubt says why there is no copy to go by, and counts it where there was one.
func (g *Gateway) reportNoCheckpoint(why error) {
	if !errors.Is(why, checkpoint.ErrNone) {
		g.corruptCheckpoints.Add(1)
	}
	g.log.Info().AnErr("as", why).Msg("no copy of quotas and demand to go by")
}

var journalDisk = func(dir string) store.Disk { return store.Dir(dir) } // another in tests

// keepJournal has once-only txns written down from here on. beside tells that the process before still ends
// its own.
func (g *Gateway) openJournal(beside bool) {
	j := g.config.Journal
	if j == nil {
		return
	}
	who := store.Who{Name: g.config.Name}
	if mark, up, err := crashstate.Boot(); err == nil {
		who.Boot, who.Offset = crc32.ChecksumIEEE(mark), float64(time.Now().UnixMilli())-up
	}
	k := store.Keep(journalDisk(j.Of(g.config.Name)), j.Terms, who, beside, g.config.Seed, g.log)
	g.journal.Store(k)
	g.proxy.EnableJournal(k, j.Terms, g.config.Charter.Products, g.config.Names.ProductNames())
}

// forward puts forward authentication before a gate, in the roles that are on: a txn that a portal has had
// cleared needs nobody else's word.
func (g *Gateway) enableForwardAuth(to *proxy.Proxy) func(*transport.Txn) transport.Final {
	serve, f := to.Serve, g.config.Forward
	if f != nil && f.Asking != nil {
		g.authorizer = authorizer.New(f.Asking, g.config.Charter, to, g.config.Seed)
		serve = g.authorizer.Serve
	}
	if f != nil && f.Asked != nil {
		g.authServer = authserver.New(f.Asked, g.config.Names, g.config.Charter, to, serve)
		serve = g.authServer.Serve
	}
	return serve
}

// watch follows discovery's list from a version on. What discovery has to tell counts as told in due ms.
func (g *Gateway) startWatch(version int64, due float64) {
	ctx, cancel := context.WithCancel(context.Background())
	addr, ended := g.config.Discovery, make(chan int64, 1)
	g.cancelWatch, g.watchEnded = cancel, ended
	pace := transport.Pace{Askers: g.pollingInstances, Due: due, Chance: rand.New(rand.NewSource(g.config.Seed)).Float64}
	go func() {
		ended <- transport.Watch(ctx, addr, version, g.applyDiscoveryUpdate, g.discoveryResponded, g.logWatchError, pace)
	}()
}

// askers is how many gatekeepers may ask for the list at once; none where it is pushed.
func (g *Gateway) pollingInstances() int {
	if g.config.Lines.ListAsked {
		return int(g.memberCount.Load())
	}
	return 0
}

// await waits for the first word of the watch, or its first failure, but for FirstWord at most. Guards
// against txns that go by the list known at the start where a newer one is at hand and counts as told.
func (g *Gateway) awaitFirstWatch() {
	select {
	case <-g.firstWatchResult:
	case <-time.After(transport.Millis(policy.FirstWord)):
	}
}

// speaks notes the watch's first word, or its first failure.
func (g *Gateway) markFirstWatch() { g.firstWatchOnce.Do(func() { close(g.firstWatchResult) }) }

func (g *Gateway) applyDiscoveryUpdate(l endpoints.List) {
	g.endpointsMu.Lock()
	g.dispatcher.ApplyEndpoints(g.endpoints.Discovery(l, g.dispatcher.Now()))
	g.endpointsMu.Unlock()
	g.markFirstWatch()
	g.log.Debug().Int64("version", l.Version).Bool("whole", l.Whole).Int("workers", len(l.Workers)).Msg("list")
}

// unheard says at most once in WatchDue that the watch has ended: tries without end must not fill the log.
func (g *Gateway) logWatchError(err error) {
	g.markFirstWatch()
	if now := time.Now(); now.Sub(g.watchErrorLogged) > transport.Millis(policy.WatchDue) {
		g.watchErrorLogged = now
		g.log.Warn().Err(err).Msg("watch ended, opening it again")
	}
}
