package edge

import (
	"context"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"willowdeck/internal/serving/connlimit"
	"willowdeck/internal/serving/drain"
	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/memorybudget"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/wirepb"
	"willowdeck/internal/serving/workerlink"
)

// Edge is the process.
type Edge struct {
	settings *settings.Settings
	logger   *zap.Logger
	// requestLogger logs single requests, a part of them where there are many.
	requestLogger *zap.Logger
	startedAt     time.Time
	store         *stateview.Store // fed by the agent

	table      atomic.Pointer[routingTable] // nil: no configuration was received
	tableReady chan struct{}                // closed once there is a table

	decisions     *decisions
	connections   *workerlink.Pool
	healthChecker *healthChecker
	paths         *pathMonitor
	datagrams     atomic.Pointer[datagramSocket] // nil until the socket is open
	gate          *drain.Gate                    // of clients' requests
	requestMemory *memorybudget.Budget

	unreachableRoute  atomic.Bool       // some route has workers, but none that there is a path to
	reachabilityInput reachabilityInput // of the last check; only monitorPaths uses it

	mu            sync.Mutex       // guards what follows
	statusChanged chan struct{}    // closed when status has changed
	demands       []*wirepb.Demand // for workers that are warming up, as reported last
}

// Run serves until the process receives SIGTERM or SIGINT.
func Run(settingsPath string, logger *zap.Logger) error {
	config, err := settings.Load(settingsPath)
	if err != nil {
		return err
	}
	if config.FrontAddress == "" {
		return &settings.ValueError{Key: "listen.front", Remedy: "give IP:PORT: clients come there"}
	}
	config.LimitHeap()
	e := newEdge(config, logger)
	return e.serve()
}

func newEdge(config *settings.Settings, logger *zap.Logger) *Edge {
	e := &Edge{
		settings: config, logger: logger, requestLogger: newRequestLogger(logger), startedAt: time.Now(),
		connections: workerlink.NewPool(), healthChecker: newHealthChecker(),
		gate: drain.NewGate(), requestMemory: newRequestMemory(config),
		statusChanged: make(chan struct{}), tableReady: make(chan struct{}),
	}
	e.store = stateview.New("", e.now)
	e.paths = newPathMonitor(config, uint64(e.startedAt.UnixMicro()))
	e.decisions = newDecisions(config, e.paths, rand.New(rand.NewSource(time.Now().UnixNano())))
	return e
}

// now returns the time since the process started, the clock of all packages that decide.
func (e *Edge) now() time.Duration { return time.Since(e.startedAt) }

func (e *Edge) serve() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGHUP) // no setting can be reloaded
	front, err := framing.Listen(e.settings.FrontAddress)
	if err != nil {
		return errors.Wrap(err, "cannot listen for clients: free the port or change listen.front")
	}
	if e.settings.ReadinessAddress != "" {
		readiness, err := framing.Listen(e.settings.ReadinessAddress)
		if err != nil {
			return errors.Wrap(err, "cannot listen for readiness checks: free the port or change listen.readiness")
		}
		go e.serveReadiness(readiness)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.subscribe(ctx)
	go e.keepTableCurrent(ctx)
	go e.runMaintenance(ctx)
	go e.runHealthChecks(ctx)
	go e.exchangeDatagrams(ctx)
	server := newFrontServer(front, e, e.connectionLimits, e.settings.MemoryLimitBytes/10*connectionMemoryTenths)
	go server.serve()
	e.logger.Info("edge started", zap.String("front", e.settings.FrontAddress))
	<-signals
	e.drain(server)
	e.logger.Info("edge stopped", zap.Int("unfinished", e.gate.InFlight()))
	return nil
}

// connectionLimits returns the limits on clients' connections that are in force.
func (e *Edge) connectionLimits() connectionLimits {
	if table := e.table.Load(); table != nil {
		return connectionLimitsOf(table.limits)
	}
	return defaultConnectionLimits
}

// ready reports whether new clients may come.
func (e *Edge) ready() bool { return e.table.Load() != nil && !e.gate.Draining() }

// serveReadiness serves the platform's readiness checks until the listener is closed, within a memory of
// their own: clients' connections do not keep the platform from an answer.
func (e *Edge) serveReadiness(listener net.Listener) {
	server := newHTTPServer(http.HandlerFunc(e.readyz), readinessLimits)
	memory := connlimit.New(e.settings.MemoryLimitBytes / 100 * readinessMemoryHundredths)
	_ = server.Serve(memory.Listener(listener)) // always returns an error
}

func (e *Edge) readyz(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
