// Package edge is the proxy: it takes clients' requests, chooses a worker for each, and passes the answer
// on. What it goes by comes from the agent beside it; it decides alone, and waits for nobody but the
// worker.
package edge

import (
	"context"
	"math/rand"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"willowdeck/internal/serving/agent"
	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/watch"
	"willowdeck/internal/serving/wirepb"
	"willowdeck/internal/serving/workerlink"
)

const (
	agentDialTimeout = 300 * time.Millisecond
	headTimeout      = 6 * time.Second
	idleTimeout      = 60 * time.Second // clients take up connections that rested for as long as the limits say
	maxHeadBytes     = 128 << 10
	sweepInterval    = 500 * time.Millisecond
	reportInterval   = time.Second // of demands for cold workers
	tableRest        = 2           // times as long as a table took to make, until the next one
	longestTableRest = 150 * time.Millisecond
	stopPoll         = 50 * time.Millisecond
	stopMargin       = 400 * time.Millisecond  // before SIGKILL
	directoryLag     = 3300 * time.Millisecond // until clients with old answers have gone elsewhere
	evacuationMargin = 0.5                     // seconds
)

// Edge is the process.
type Edge struct {
	settings *settings.Settings
	logger   *zap.Logger
	started  time.Time
	mirror   *stateview.Store
	table    atomic.Pointer[table]

	firstTable chan struct{} // closed once there is a table

	decide    *decisions
	pool      *workerlink.Pool
	liveness  *liveness
	paths     *paths
	datagrams atomic.Pointer[datagrams] // nil until the socket is there
	draining  atomic.Bool
	impaired  atomic.Bool // some route has no worker that there is a path to

	impairment impairment // of the goroutine that watches paths
	inHand     atomic.Int64

	mu      sync.Mutex
	changed chan struct{} // closed when what the agent is told changes
	demands []*wirepb.Demand
}

// Run serves until the process is told to stop.
func Run(settingsPath string, logger *zap.Logger) error {
	config, err := settings.Load(settingsPath)
	if err != nil {
		return err
	}
	if config.FrontAddress == "" {
		return &settings.ValueError{Key: "listen.front", Remedy: "give IP:PORT: clients come there"}
	}
	e := newEdge(config, logger)
	return e.serve()
}

func newEdge(config *settings.Settings, logger *zap.Logger) *Edge {
	e := &Edge{
		settings: config, logger: logger, started: time.Now(),
		pool: workerlink.NewPool(), liveness: newLiveness(),
		changed: make(chan struct{}), firstTable: make(chan struct{}),
	}
	e.mirror = stateview.New("", e.now)
	e.paths = newPaths(config, uint64(e.started.UnixMicro()))
	e.decide = newDecisions(config, e.paths, rand.New(rand.NewSource(time.Now().UnixNano())))
	return e
}

func (e *Edge) now() time.Duration { return time.Since(e.started) }

func (e *Edge) serve() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGHUP) // nothing that may change is read from the settings
	front, err := framing.Listen(e.settings.FrontAddress)
	if err != nil {
		return errors.Wrap(err, "cannot listen for clients: free the port or change listen.front")
	}
	if e.settings.ReadinessAddress != "" {
		readiness, err := framing.Listen(e.settings.ReadinessAddress)
		if err != nil {
			return errors.Wrap(err, "cannot listen for readiness checks: free the port or change listen.readiness")
		}
		go http.Serve(readiness, http.HandlerFunc(e.readyz))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.subscribe(ctx)
	go e.keepTable(ctx)
	go e.keepHouse(ctx)
	go e.keepLiveness(ctx)
	go e.exchangeDatagrams(ctx)
	server := e.frontServer()
	go server.Serve(front)
	e.logger.Info("edge started", zap.String("front", e.settings.FrontAddress))
	<-signals
	e.drain(server)
	e.logger.Info("edge stopped", zap.Int64("unfinished", e.inHand.Load()))
	return nil
}

func (e *Edge) frontServer() *http.Server {
	return &http.Server{
		Handler: e, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
		ErrorLog: zap.NewStdLog(zap.NewNop()),
	}
}

// drain lets clients go elsewhere, and ends what is in hand, within the grace of the platform.
func (e *Edge) drain(server *http.Server) {
	e.draining.Store(true)
	e.tellAgent()
	began := time.Now()
	limit := e.settings.Bounds.GracePeriod - stopMargin
	for time.Since(began) < limit {
		if time.Since(began) > directoryLag && e.inHand.Load() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	server.Shutdown(ctx)
}

func (e *Edge) ready() bool { return e.table.Load() != nil && !e.draining.Load() }

func (e *Edge) readyz(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// subscribe keeps the mirror up to date from the agent.
func (e *Edge) subscribe(ctx context.Context) {
	address := agent.LoopbackAddress(e.settings)
	subscriber := watch.Subscriber{
		Store: e.mirror, DialTimeout: agentDialTimeout,
		Providers:     func() []watch.Provider { return []watch.Provider{{Address: address}} },
		Status:        e.status,
		StatusChanged: e.statusChanged,
		OnLinkChange:  func(string) {},
	}
	subscriber.Run(ctx)
}

func (e *Edge) status() *wirepb.FeedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &wirepb.FeedRequest{
		Subscriber: e.settings.NodeName,
		Demands:    e.demands,
		Edge: &wirepb.Edge{
			Name: e.settings.NodeName, Address: e.settings.FrontAddress,
			Zone: e.settings.Zone, Region: e.settings.Region,
			Ready: e.ready() && !e.impaired.Load(), InternalAddress: e.datagramAddress(),
		},
	}
}

func (e *Edge) statusChanged() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

func (e *Edge) tellAgent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.changed)
	e.changed = make(chan struct{})
}

// keepTable makes a new table whenever the mirror changes.
func (e *Edge) keepTable(ctx context.Context) {
	builder := newTableBuilder(e.settings)
	for {
		changed := e.mirror.Changed()
		begun := time.Now()
		e.makeTable(builder)
		rest := min(tableRest*time.Since(begun), longestTableRest)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		time.Sleep(rest) // many changes in a row make one table
	}
}

func (e *Edge) makeTable(builder *tableBuilder) {
	before := e.table.Load()
	next, err := builder.build(e.now(), e.mirror.Snapshot())
	if err != nil {
		e.logger.Error("configuration kept as it was", zap.Error(err))
		return
	}
	if next == nil {
		return
	}
	e.table.Store(next)
	if before == nil {
		close(e.firstTable)
		e.tellAgent()
	}
	if before == nil || before.generation != next.generation {
		e.logger.Info("configuration in force", zap.Uint64("generation", next.generation))
	}
}

// keepHouse closes what is idle, and reports demands for cold workers.
func (e *Edge) keepHouse(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			e.sweep()
		case <-report.C:
			e.reportDemands()
		}
	}
}

func (e *Edge) sweep() {
	t := e.table.Load()
	if t == nil {
		return
	}
	addresses := map[string]bool{}
	for _, workers := range t.workers {
		for _, worker := range workers {
			addresses[worker.Address] = true
		}
	}
	e.pool.CloseExpired(func(address string) bool { return addresses[address] })
	e.decide.keep(t)
}

func (e *Edge) reportDemands() {
	t := e.table.Load()
	if t == nil {
		return
	}
	demands := e.decide.reports(e.now(), t)
	e.mu.Lock()
	changed := len(demands) > 0 || len(e.demands) > 0
	e.demands = demands
	e.mu.Unlock()
	if changed {
		e.tellAgent()
	}
}

// mayDeny reports whether what this edge knows is fresh enough to say that a route does not exist.
func (e *Edge) mayDeny() bool { return e.mirror.HasQuorumContact() }
