package agent

import (
	"context"
	"net"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/watch"
	"willowdeck/internal/serving/wirepb"
)

const (
	coreDialTimeout        = 280 * time.Millisecond
	linkWriteTimeout       = 2 * time.Second
	settingsReloadInterval = 2 * time.Second
	proxyPollInterval      = 80 * time.Millisecond // for the end of the proxy's links during a graceful shutdown
	stopMargin             = time.Second / 2       // from the end of the shutdown to that of the grace period
)

// Agent is the process beside one edge proxy.
type Agent struct {
	settingsPath string
	logger       *zap.Logger
	store        *stateview.Store // of what the core publishes; safe for concurrent use
	started      time.Time

	mu           sync.Mutex // guards the fields below
	settings     *settings.Settings
	edge         *wirepb.Edge     // as last reported by the proxy, nil before; replaced, never changed
	edgeVersion  uint64           // of edge, as it is published; rises with each change
	statusChange chan struct{}    // closed and replaced when the edge's state changes
	proxyLinks   int              // connections of the proxy, with lost ones that are not noticed yet
	demands      []*wirepb.Demand // as last reported by the proxy
}

// LoopbackAddress returns the address at which an agent with these settings serves its proxy. It is on the
// machine's own address where that is a loopback address, as with several edges on one machine.
func LoopbackAddress(config *settings.Settings) string {
	host := "127.0.0.1"
	if ip := net.ParseIP(config.IP); ip.IsLoopback() {
		host = config.IP
	}
	return net.JoinHostPort(host, strconv.Itoa(config.FirstInternalPort+1))
}

// Run runs the agent with a settings file until SIGTERM or SIGINT.
func Run(settingsPath string, logger *zap.Logger) error {
	signal.Ignore(syscall.SIGHUP) // the settings are reloaded periodically in any case
	config, err := settings.Load(settingsPath)
	if err != nil {
		return err
	}
	config.LimitHeap()
	a := &Agent{
		settingsPath: settingsPath, logger: logger, settings: config, started: time.Now(),
		statusChange: make(chan struct{}),
	}
	a.store = stateview.New("", func() time.Duration { return time.Since(a.started) })
	listener, err := framing.Listen(LoopbackAddress(config))
	if err != nil {
		return errors.Wrap(err, "cannot listen for the proxy: check internal_port_range")
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	go a.acceptProxies(ctx, listener)
	go a.reloadSettings(ctx)
	logger.Info("agent started", zap.String("edge", config.NodeName))
	subscriber := watch.Subscriber{
		Store: a.store, DialTimeout: coreDialTimeout, Providers: a.providers,
		Status: a.status, StatusChanged: a.statusChanged, OnLinkChange: a.onLinkChange,
		WrapFirst: func(request *wirepb.WatchRequest) proto.Message {
			return &wirepb.Envelope{Body: &wirepb.Envelope_Subscribe{Subscribe: request}}
		},
	}
	go subscriber.Run(context.WithoutCancel(ctx))
	a.awaitStop(ctx)
	logger.Info("agent stopped")
	return nil
}

// awaitStop waits for the signal to stop, and then until the proxy has disconnected or the grace period is
// nearly over: the proxy needs updates until its last request has ended.
func (a *Agent) awaitStop(ctx context.Context) {
	<-ctx.Done()
	deadline := time.Now().Add(a.currentSettings().Bounds.GracePeriod - stopMargin)
	for time.Now().Before(deadline) {
		a.mu.Lock()
		links := a.proxyLinks
		a.mu.Unlock()
		if links == 0 {
			time.Sleep(proxyPollInterval)
			return
		}
		time.Sleep(proxyPollInterval)
	}
}

// currentSettings returns the settings that were loaded last. They are replaced, never changed.
func (a *Agent) currentSettings() *settings.Settings {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.settings
}

// reloadSettings loads the settings periodically until ctx is done: they may change with or without a signal.
func (a *Agent) reloadSettings(ctx context.Context) {
	ticker := time.NewTicker(settingsReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		config, err := settings.Load(a.settingsPath)
		if err != nil {
			a.logger.Warn("settings not reloaded", zap.Error(err))
			continue
		}
		a.mu.Lock()
		a.settings = config
		a.mu.Unlock()
	}
}
