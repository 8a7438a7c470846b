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
type Gatekeeper struct {
	At      string // where clients connect
	conf    config.Gateway
	log     zerolog.Logger
	desk    *proxy.Dispatcher
	front   *transport.Frontend
	limit   *transport.LimitListener
	links   *transport.WorkerPool
	port    *admin.Server      // nil where operators do not call
	drains  atomic.Bool        // clients are sent away
	over    chan struct{}      // closed at the end
	peers   *transport.Peers   // nil where peers are not talked to
	unwind  context.CancelFunc // ends the watch
	ended   chan int64         // the version that it got to
	served  chan error
	owner   atomic.Pointer[hotrestart.Predecessor] // where another process may take over from this one
	members atomic.Int64                           // gatekeepers there are, this one included
	lists   sync.Mutex                             // of list, and of what the desk is told of it
	list    *bootstrap.Registry
	portal  *authserver.Server     // nil where portals do not ask
	vouch   *authorizer.Authorizer // nil where no auth service is asked
	spoilt  atomic.Int64           // copies of a former life that could not be gone by
	asking  atomic.Bool            // others are asked for their list
	agreed  *agreement             // nil where no rules are agreed on
	history *history.Log           // nil where no record is kept
	said    time.Time              // when the log last told that the watch had ended
	word    *speaker               // nil where no word is told
	first   chan struct{}          // closed at the watch's first word or failure
	once    sync.Once              // of that
	lends   atomic.Bool            // credit is, or can't be
	away    atomic.Bool            // its place is another process's, still or from here on
	heir    *heir                  // nil where no process was before this one

	copied   atomic.Pointer[checkpoint.Snapshot] // a former life's, until it is known which rules are in force
	agreedOn atomic.Pointer[[]policy.Plan]       // as rules that were adopted last have them; nil before any

	gate    *proxy.Proxy
	journal atomic.Pointer[store.Journal] // nil where no txn is written down
}

// Start brings a gatekeeper up: when it returns, clients are served.
func Start(c config.Gateway, log zerolog.Logger) (*Gatekeeper, error) {
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Cores)), 1))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB) * (1 << 20) * policy.MemoryLimitFraction))
	debug.SetGCPercent(policy.GCTargetPercent)

	g := &Gatekeeper{conf: c, log: log, served: make(chan error, 1), over: make(chan struct{}),
		first: make(chan struct{})}
	clients, workers := places(c)
	g.links = transport.NewWorkerPool(workers,
		transport.Millis(c.Connections.IdleTimeoutMillis*policy.WorkerIdleFraction),
		transport.Millis(c.Connections.ConnectTimeoutMillis))
	tell := func(int, []byte) {}
	if len(c.PeerAddresses) > 0 {
		g.peers = transport.NewPeers(c.PeerAddresses, c.Charter.GatewayIndex)
		tell = g.peers.Send
		if c.Charter = spoken(c); c.SharesEndpoints {
			g.peers.Identify(incarnation.MessageID{Incarnation: crashstate.UptimeCentiseconds()})
		}
	}
	l, err := listen(c.ListenAddress, c.ListenerFD, log)
	if err != nil {
		return nil, err
	}
	if c.HistoryDir != "" {
		path := filepath.Join(c.HistoryDir, fmt.Sprintf("%s.%d.jsonl", c.Name, os.Getpid()))
		if g.history, err = history.Open(path, c.Name, crashstate.UptimeCentiseconds()); err != nil {
			_ = l.Close()
			return nil, err
		}
	}
	var before *hotrestart.Successor
	if c.SharedDir != "" {
		if before, err = hotrestart.Connect(hotrestart.SocketPath(c.SharedDir, c.Name), c.Name); err != nil {
			log.Info().Err(err).Msg("starting from nothing")
		}
	}
	if g.peers != nil && before == nil {
		switch err = g.peers.Bind(c.PeerListenAddress); {
		case errors.Is(err, syscall.EADDRINUSE): // a former life lets it go last; peers are no reason to wait
			log.Warn().Err(err).Msg("serving without peers until their address is free")
		case err != nil && c.ListenerFD == 0:
			_ = l.Close()
			return nil, err
		}
	}
	g.desk = proxy.NewDispatcher(c.Charter, c.Seed, c.Connections.AnswerSlackMillis+socketSlack, tell,
		g.links.CloseIdle)
	if c.Region != "" && c.AdminAddress != "" {
		g.word = g.teller()
	}
	if g.history != nil {
		g.desk.RecordHistory(g.history)
	}
	g.desk.ApplyEndpoints(c.KnownEndpoints)
	g.list = bootstrap.NewRegistry(c.KnownEndpoints)
	g.members.Store(int64(c.Charter.GatewayCount))
	g.gate = proxy.New(g.desk, g.links)
	g.front = transport.NewFrontend(c.Names, c.Charter, g.forward(g.gate), g.up)
	g.front.AllowAnonymous = g.vouch != nil && c.ForwardAuth.Authorizer.CustomerHeader != ""

	g.away.Store(true) // until what was before it is known
	if c.RulesetAddress != "" {
		g.agree()
	}

	g.limit = transport.NewLimitListener(l, clients)
	if err = nil; g.portal != nil && before == nil {
		err = g.portal.Listen()
	}
	if c.AdminAddress != "" && err == nil {
		g.port, err = admin.Open(c.AdminAddress, g)
	}
	if err != nil {
		_ = l.Close()
		if g.peers != nil {
			_ = g.peers.Close()
		}
		if g.portal != nil {
			g.portal.Close()
		}
		return nil, err
	}
	if g.port != nil {
		go admin.RunPeriodically(g.over, g.look)
	}
	g.At = l.Addr().String()
	g.watch(c.KnownEndpoints.Version, policy.WatchCatchUpMillis)
	if len(c.PeerAdminAddresses) > 0 && g.asking.CompareAndSwap(false, true) {
		go g.ask(c.PeerAdminAddresses, rand.New(rand.NewSource(c.Seed)))
	}
	if !c.Connections.PollsDiscovery {
		g.await()
	}
	switch {
	case before != nil:
		g.heir = &heir{from: before, over: make(chan struct{})}
		go g.inherit(g.heir)
	default:
		g.remember(true)
		g.keepJournal(false)
		if g.peers != nil && g.peers.Bound() {
			go g.peers.Receive(g.desk.ReceiveReports)
		} else if g.peers != nil { // a process that can't be talked to has it still
			go g.bindPeers()
		}
		g.serve()
	}
	if g.agreed != nil { // what a former life has left is known by now
		go g.agreed.run()
	}
	log.Info().Str("listen", g.At).Int("workers", len(c.KnownEndpoints.Workers)).Msg("serving")
	return g, nil
}

// look renews the copies that operators' calls are answered from.
func (g *Gatekeeper) look() {
	g.desk.RefreshTally()
	if g.word != nil {
		g.word.renew(g)
	}
}

// spoken is the charter of a gatekeeper by what its messages hold: among instances of one host, that may say
// more to each other than the platform's, a word takes some of their room.
func spoken(c config.Gateway) policy.Settings {
	if c.SharesEndpoints {
		c.Charter.ReportsPerMessage = min(c.Charter.ReportsPerMessage, transport.MaxReportsPerMessage)
	}
	return c.Charter
}

// remember keeps what outlives a sudden end, and takes what one has left; of what fades, only where it was
// sudden. Without it the gatekeeper starts as ever.
func (g *Gatekeeper) remember(sudden bool) {
	g.away.Store(false)
	plans := g.conf.Charter.Plans
	if p := g.agreedOn.Load(); p != nil {
		plans = *p
	}
	g.lend(plans)
	if g.conf.CrashStatePath == "" {
		return
	}
	f, left, err := crashstate.Open(g.conf.CrashStatePath, crashstate.Digest(g.conf.Charter), g.desk.Now())
	if err != nil {
		g.log.Warn().Err(err).Msg("nothing will outlive a sudden end")
		return
	}
	g.desk.AttachCrashState(f, left)
	if left != nil {
		g.log.Info().Int("ceilings", len(left.RateLimits)).Float64("base_s", (g.desk.Now()-left.RateLimitBaseMillis)/1000).
			Msg("remembering what a former life has spent")
	}
	if g.conf.KeepsCheckpoint {
		g.recall(sudden)
	}
}

// recall keeps copies of what fades beside the residue, and takes that of a former life: at once, or where
// rules are agreed on, with the first version of them that is gone by.
func (g *Gatekeeper) recall(sudden bool) {
	b, left, none, err := checkpoint.Open(g.conf.CrashStatePath+".inventory", g.desk.Now())
	if err != nil {
		g.log.Warn().Err(err).Msg("no copies of quotas and demand will be kept")
		return
	}
	switch {
	case !sudden:
	case left == nil:
		g.doubt(none)
	default:
		if g.copied.Store(left); g.agreed == nil || g.agreed.version.Load() > 0 {
			g.recollect()
		}
	}
	words := func(all []incarnation.MessageID) []incarnation.MessageID { return all[:0] }
	if g.peers != nil {
		words = g.peers.LastSeen
	}
	g.desk.WriteCheckpoints(b, words)
}

// recollect goes by a former life's copy, if there is one, and it is of the charter in force.
func (g *Gatekeeper) recollect() {
	l := g.copied.Swap(nil)
	if l == nil {
		return
	}
	age := g.desk.Now() - l.State.AtMillis
	n, fits := g.desk.RestoreCheckpoint(l, g.conf.SharesEndpoints)
	if !fits {
		g.doubt(checkpoint.ErrDigestMismatch)
		return
	}
	if n > 0 && g.peers != nil {
		for _, i := range g.peers.Restore(l.LastMessages) {
			g.desk.PeerReplaced(i)
		}
	}
	g.log.Info().Int("customers", n).Int("of", len(l.State.Customers)).Float64("age_ms", age).
		Msg("going by a copy of a former life's quotas and demand")
}

// doubt says why there is no copy to go by, and counts it where there was one.
func (g *Gatekeeper) doubt(why error) {
	if !errors.Is(why, checkpoint.ErrNotFound) {
		g.spoilt.Add(1)
	}
	g.log.Info().AnErr("as", why).Msg("no copy of quotas and demand to go by")
}

var diskOf = func(dir string) store.Disk { return store.Dir(dir) } // another in tests

// keepJournal has once-only txns written down from here on. beside tells that the process before still ends
// its own.
func (g *Gatekeeper) keepJournal(beside bool) {
	j := g.conf.Journal
	if j == nil {
		return
	}
	who := store.Writer{Instance: g.conf.Name}
	if mark, up, err := crashstate.ReadBoot(); err == nil {
		who.BootID, who.ClockOffsetMillis = crc32.ChecksumIEEE(mark), float64(time.Now().UnixMilli())-up
	}
	k := store.Start(diskOf(j.InstanceDir(g.conf.Name)), j.Terms, who, beside, g.conf.Seed, g.log)
	g.journal.Store(k)
	g.gate.EnableJournal(k, j.Terms, g.conf.Charter.Products, g.conf.Names.ProductNames())
}

// forward puts forward authentication before a gate, in the roles that are on: a txn that a portal has had
// cleared needs nobody else's word.
func (g *Gatekeeper) forward(to *proxy.Proxy) func(*transport.Request) transport.FinalAnswer {
	serve, f := to.Serve, g.conf.ForwardAuth
	if f != nil && f.Authorizer != nil {
		g.vouch = authorizer.New(f.Authorizer, g.conf.Charter, to, g.conf.Seed)
		serve = g.vouch.Serve
	}
	if f != nil && f.Server != nil {
		g.portal = authserver.New(f.Server, g.conf.Names, g.conf.Charter, to, serve)
		serve = g.portal.Serve
	}
	return serve
}

// watch follows discovery's list from a version on. What discovery has to tell counts as told in due ms.
func (g *Gatekeeper) watch(version int64, due float64) {
	ctx, cancel := context.WithCancel(context.Background())
	addr, ended := g.conf.DiscoveryAddress, make(chan int64, 1)
	g.unwind, g.ended = cancel, ended
	pace := transport.WatchTiming{PollingInstances: g.askers, DueMillis: due,
		Random: rand.New(rand.NewSource(g.conf.Seed)).Float64}
	go func() {
		ended <- transport.Watch(ctx, addr, version, g.news, g.alive, g.unheard, pace)
	}()
}

// askers is how many gatekeepers may ask for the list at once; none where it is pushed.
func (g *Gatekeeper) askers() int {
	if g.conf.Connections.PollsDiscovery {
		return int(g.members.Load())
	}
	return 0
}

// await waits for the first word of the watch, or its first failure, but for FirstWord at most. Guards
// against txns that go by the list known at the start where a newer one is at hand and counts as told.
func (g *Gatekeeper) await() {
	select {
	case <-g.first:
	case <-time.After(transport.Millis(policy.StartupListWaitMillis)):
	}
}

// speaks notes the watch's first word, or its first failure.
func (g *Gatekeeper) speaks() { g.once.Do(func() { close(g.first) }) }

func (g *Gatekeeper) news(l endpoints.List) {
	g.lists.Lock()
	g.desk.ApplyEndpoints(g.list.ApplyDiscovery(l, g.desk.Now()))
	g.lists.Unlock()
	g.speaks()
	g.log.Debug().Int64("version", l.Version).Bool("whole", l.Snapshot).Int("workers",
		len(l.Workers)).Msg("list")
}

// unheard says at most once in WatchDue that the watch has ended: tries without end must not fill the log.
func (g *Gatekeeper) unheard(err error) {
	g.speaks()
	if now := time.Now(); now.Sub(g.said) > transport.Millis(policy.WatchCatchUpMillis) {
		g.said = now
		g.log.Warn().Err(err).Msg("watch ended, opening it again")
	}
}
