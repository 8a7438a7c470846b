// Package agent is the small program beside each edge proxy: it keeps the link to the core, holds a copy of
// what the core tells, and feeds the proxy over loopback. A proxy that restarts finds all it needs here; a
// proxy whose agent restarts goes on with what it has.
package agent

import (
	"context"
	"net"
	"os/signal"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/watch"
	"willowdeck/internal/serving/wirepb"
)

const (
	coreDialTimeout  = 280 * time.Millisecond
	linkWriteTimeout = 2 * time.Second
	settingsInterval = 2 * time.Second
	stopLinger       = 80 * time.Millisecond
	orderStep        = 10 // between two states of the edge, so that a core can put a lost link between them
)

// Distances of cores.
const (
	sameZone = iota
	sameRegion
	elsewhere
	unknownPlace
)

// Agent is the process.
type Agent struct {
	settingsPath string
	logger       *zap.Logger
	mirror       *stateview.Mirror
	started      time.Time

	mu       sync.Mutex
	settings *settings.Settings
	edge     *wirepb.Edge // nil until the proxy has spoken
	order    uint64
	changed  chan struct{} // closed when the edge's state changes
	proxies  int           // links of the proxy; more than one only while an old one is being noticed
	demands  []*wirepb.Demand
}

// LoopbackAddress returns where an agent with these settings feeds its proxy. Where the machine's own
// address is one of loopback, as with several edges on one machine, it is that.
func LoopbackAddress(config *settings.Settings) string {
	host := "127.0.0.1"
	if ip := net.ParseIP(config.IP); ip.IsLoopback() {
		host = config.IP
	}
	return net.JoinHostPort(host, strconv.Itoa(config.FirstInternalPort+1))
}

// Run serves until the process is told to stop.
func Run(settingsPath string, logger *zap.Logger) error {
	config, err := settings.Load(settingsPath)
	if err != nil {
		return err
	}
	a := &Agent{
		settingsPath: settingsPath, logger: logger, settings: config, started: time.Now(),
		changed: make(chan struct{}),
	}
	a.mirror = stateview.New("", func() time.Duration { return time.Since(a.started) })
	listener, err := framing.Listen(LoopbackAddress(config))
	if err != nil {
		return errors.Wrap(err, "cannot listen for the proxy: check internal_port_range")
	}
	signal.Ignore(syscall.SIGHUP) // the settings are read again all the while
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	go a.accept(ctx, listener)
	go a.keepSettings(ctx)
	logger.Info("agent started", zap.String("edge", config.NodeName))
	subscriber := watch.Subscriber{
		Mirror: a.mirror, DialTimeout: coreDialTimeout, Providers: a.cores,
		Status: a.status, StatusChanged: a.statusChanged, Linked: a.linked,
		Wrap: func(request *wirepb.FeedRequest) proto.Message {
			return &wirepb.Envelope{Body: &wirepb.Envelope_Subscribe{Subscribe: request}}
		},
	}
	go subscriber.Run(context.WithoutCancel(ctx))
	a.awaitStop(ctx)
	logger.Info("agent stopped")
	return nil
}

// awaitStop returns once the proxy has stopped after SIGTERM, or the time for it is over: the proxy's
// requests still need what this process holds.
func (a *Agent) awaitStop(ctx context.Context) {
	<-ctx.Done()
	deadline := time.Now().Add(a.settings.Bounds.GracePeriod - time.Second/2)
	for time.Now().Before(deadline) {
		a.mu.Lock()
		proxies := a.proxies
		a.mu.Unlock()
		if proxies == 0 {
			time.Sleep(stopLinger)
			return
		}
		time.Sleep(stopLinger)
	}
}

// keepSettings reads the settings again all the while: they may change with or without a signal.
func (a *Agent) keepSettings(ctx context.Context) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		config, err := settings.Load(a.settingsPath)
		if err != nil {
			a.logger.Warn("settings kept as they were", zap.Error(err))
			continue
		}
		a.mu.Lock()
		a.settings = config
		a.mu.Unlock()
	}
}

// cores returns the cores to subscribe at, the near ones first, and then the seeds that no core has told of.
func (a *Agent) cores() []watch.Provider {
	a.mu.Lock()
	config := a.settings
	a.mu.Unlock()
	var providers []watch.Provider
	known := map[string]bool{}
	for _, entry := range a.mirror.Of(catalog.Cores) {
		core := entry.Record.GetCore()
		if core == nil || entry.Record.Deleted || known[core.Address] {
			continue
		}
		known[core.Address] = true
		providers = append(providers, watch.Provider{Address: core.Address, Distance: distance(config, core)})
	}
	for _, seed := range config.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		address := net.JoinHostPort(host, strconv.Itoa(config.FirstInternalPort))
		if !known[address] {
			known[address] = true
			providers = append(providers, watch.Provider{Address: address, Distance: unknownPlace})
		}
	}
	slices.SortStableFunc(providers, func(x, y watch.Provider) int { return x.Distance - y.Distance })
	return providers
}

func distance(config *settings.Settings, core *wirepb.CoreNode) int {
	switch {
	case core.Zone == config.Zone:
		return sameZone
	case core.Region == config.Region:
		return sameRegion
	}
	return elsewhere
}

func (a *Agent) linked(address string) {
	if address == "" {
		a.logger.Info("link to the core lost")
		return
	}
	a.logger.Info("linked to the core", zap.String("core", address))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.raiseOrder()
}

// raiseOrder makes the edge's state newer than any that was told before, also by an earlier life of this
// process.
func (a *Agent) raiseOrder() {
	a.order = max(a.order+orderStep, uint64(time.Now().UnixMilli()))
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) statusChanged() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// status is what the core is told of the edge.
func (a *Agent) status() *wirepb.FeedRequest {
	a.overtakeOldRecord()
	a.mu.Lock()
	defer a.mu.Unlock()
	request := &wirepb.FeedRequest{Subscriber: a.settings.NodeName, EdgeOrder: a.order, Demands: a.demands}
	if a.edge != nil {
		request.Edge = proto.Clone(a.edge).(*wirepb.Edge)
	}
	return request
}

// overtakeOldRecord raises the order where the catalog holds something newer of this edge that is not true:
// an earlier life's state, told by a clock that was ahead, or a link that a core has taken for lost.
func (a *Agent) overtakeOldRecord() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.edge == nil {
		return
	}
	if entry := a.mirror.Get(catalog.EdgeKey(a.edge.Name)); entry != nil && entry.Record.Order > a.order {
		a.order = entry.Record.Order + orderStep
	}
}

// accept takes links of the proxy.
func (a *Agent) accept(ctx context.Context, listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(stopLinger):
				continue
			}
		}
		go a.serveProxy(framing.NewConn(accepted, linkWriteTimeout))
	}
}

func (a *Agent) serveProxy(connection *framing.Conn) {
	defer connection.Close()
	first := &wirepb.FeedRequest{}
	if err := connection.ReadMessage(first, watch.LinkSilence); err != nil {
		return
	}
	a.mu.Lock()
	a.proxies++
	a.mu.Unlock()
	watch.Provide(connection, first, a.mirror, a.takeProxyStatus, nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.proxies--
	if a.proxies == 0 && a.edge != nil && a.edge.Ready {
		a.edge = proto.Clone(a.edge).(*wirepb.Edge)
		a.edge.Ready = false
		a.raiseOrder()
	}
}

func (a *Agent) takeProxyStatus(request *wirepb.FeedRequest) {
	a.mirror.SetDemands(request.Demands)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demands = request.Demands
	if request.Edge != nil && !proto.Equal(a.edge, request.Edge) {
		a.edge = request.Edge
		a.raiseOrder()
	}
}
