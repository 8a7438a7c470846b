package core

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	mathrand "math/rand"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"willowdeck/internal/serving/connlimit"
	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/control"
	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/memorybudget"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/tally"
)

const (
	settingsReloadInterval = 2 * time.Second
	httpShutdownTimeout    = 250 * time.Millisecond
	httpReadHeaderTimeout  = 3 * time.Second
	httpIdleTimeout        = 30 * time.Second
	httpMaxHeaderBytes     = 64 << 10
	linkWriteTimeout       = 3 * time.Second
	eventQueueCapacity     = 256
	signalQueueCapacity    = 8
)

// Core is one process of the core. The core's goroutine is the one that calls run; it also calls the
// functions passed to enqueue. What it owns must not be used by other goroutines.
type Core struct {
	settings        *settings.Settings
	settingsPath    string
	logger          *zap.Logger
	started         time.Time
	internalAddress string        // IP:PORT of the listener for other cores and agents
	events          chan func()   // to the core's goroutine
	stop            chan struct{} // closed when the process stops

	engine              *control.Engine // owned by the core's goroutine, except for StateView and OriginSilent
	diskWriter          *diskWriter
	tallies             *tally.Replica // owned by the core's goroutine
	tallyWriter         *tallyWriter
	configurationMemory *memorybudget.Budget // of the operators' configurations that are being handled
	readerMemory        *memorybudget.Budget // of compressed configurations that are being sent to readers
	reportMemory        *memorybudget.Budget // of workers' reports and adds to tallies that are being handled
	connections         *connlimit.Limiter   // of callers of the control plane and the directory
	linkMemory          *memorybudget.Budget // of the inbound links of other cores and of agents
	agentMemory         *memorybudget.Budget // the part of linkMemory that agents may take
	frameMemory         *memorybudget.Budget // of the long messages on those links

	links      map[string]*peerLink // by internal address; owned by the core's goroutine
	nextReload time.Time            // of the settings; owned by the core's goroutine
}

// Run runs the process with a settings file until SIGTERM or SIGINT.
func Run(settingsPath string, logger *zap.Logger) error {
	// Before the data directory is read, which takes a while: a signal without a handler ends the process.
	signals := make(chan os.Signal, signalQueueCapacity)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	logger.Info("core starting")
	config, err := settings.Load(settingsPath)
	if err != nil {
		return err
	}
	if config.DataDir == "" {
		return &settings.ValueError{Key: "data_dir", Remedy: "give the directory for the replica's state"}
	}
	config.LimitHeap()
	c, err := newCore(config, settingsPath, logger)
	if err != nil {
		return err
	}
	return c.serve(signals)
}

// newCore opens the data directory and creates the engine. It starts no goroutines and opens no ports.
func newCore(config *settings.Settings, settingsPath string, logger *zap.Logger) (*Core, error) {
	c := &Core{
		settings: config, settingsPath: settingsPath, logger: logger, started: time.Now(),
		internalAddress: net.JoinHostPort(config.IP, strconv.Itoa(config.FirstInternalPort)),
		events:          make(chan func(), eventQueueCapacity), stop: make(chan struct{}),
		links: map[string]*peerLink{}, configurationMemory: memorybudget.New(configurationMemoryBytes),
		readerMemory: memorybudget.New(configurationMemoryBytes),
		reportMemory: newReportMemory(config.MemoryLimitBytes),
		connections:  connlimit.New(config.MemoryLimitBytes / 10 * connectionMemoryTenths),
		linkMemory:   memorybudget.New(config.MemoryLimitBytes / 10 * linkMemoryTenths),
		agentMemory:  memorybudget.New(config.MemoryLimitBytes / 10 * linkMemoryTenths),
		frameMemory:  framing.NewFrameMemory(config.MemoryLimitBytes),
	}
	opened, err := openReplica(config, logger)
	if err != nil {
		return nil, err
	}
	tallyLog, err := openTallyLog(config, logger)
	if err != nil {
		return nil, err
	}
	incarnation := config.NodeName + "/" + randomTag()
	c.diskWriter = newDiskWriter(opened.Store, c.events)
	c.tallyWriter = newTallyWriter(tallyLog.Log, c.events, logger)
	c.tallies = c.newTallies(config, incarnation, tallyLog)
	options := control.Options{
		Identity: opened.Identity, Incarnation: incarnation,
		Address: c.internalAddress, AddressOf: c.peerAddress, Zone: config.Zone, Region: config.Region,
		Seeds: hostsOf(config.Seeds), Consensus: consensus.Options{Voters: voterCount(config)},
		WorkerHeartbeatInterval: config.HeartbeatInterval,
		CatchUpTimeout:          config.Bounds.CatchUpTimeout, ShutdownGrace: config.Bounds.GracePeriod,
		Clock:  func() time.Duration { return time.Since(c.started) },
		Random: mathrand.New(mathrand.NewSource(randomSeed())), Logger: logger,
		SavedWorkers: loadSavedWorkers(config.DataDir),
	}
	c.engine, err = control.New(options, opened.State, &environment{c})
	if err != nil {
		return nil, err
	}
	c.tallies.SetPeers(c.engine.Links()) // before the first call: reads wait until these are heard
	return c, nil
}

// voterCount returns the number of voters of which a majority remains after the tolerated losses.
func voterCount(config *settings.Settings) int { return 2*config.ToleratedMachineLosses + 1 }

// randomTag returns a random suffix that makes an identity unique.
func randomTag() string {
	var tag [6]byte
	_, _ = rand.Read(tag[:]) // never fails
	return hex.EncodeToString(tag[:])
}

func randomSeed() int64 {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // never fails
	return int64(binary.LittleEndian.Uint64(seed[:]))
}

// serve opens the ports, runs until a signal stops the process, and closes the ports.
func (c *Core) serve(signals <-chan os.Signal) error {
	internalListener, err := framing.Listen(c.internalAddress)
	if err != nil {
		return errors.Wrap(err, "cannot listen for other cores and agents: check internal_port_range")
	}
	controlPlane, err := c.listenHTTP("listen.control_plane", c.settings.ControlPlaneAddress, c.controlHandler())
	if err != nil {
		return err
	}
	directory, err := c.listenHTTP("listen.directory", c.settings.DirectoryAddress, c.directoryHandler())
	if err != nil {
		return err
	}
	go c.acceptLinks(internalListener)
	go c.diskWriter.run(c.stop)
	go c.tallyWriter.run(c.stop)
	status := c.engine.Status()
	c.logger.Info("core started", zap.String("replica", status.Replica), zap.Strings("members", status.Members))
	c.run(signals)
	shutDown(controlPlane, directory)
	_ = internalListener.Close()
	c.logger.Info("core stopped")
	return nil
}

// shutDown ends servers together, so that requests at one of them take no time from those at another one.
// Requests that outlast the time-out are cut off by the end of the process.
func shutDown(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	var stopping sync.WaitGroup
	for _, server := range servers {
		stopping.Go(func() { _ = server.Shutdown(ctx) })
	}
	stopping.Wait()
}

// listenHTTP starts a server at the address that the settings give for key.
func (c *Core) listenHTTP(key, address string, handler http.Handler) (*http.Server, error) {
	if address == "" {
		return nil, &settings.ValueError{Key: key, Remedy: "give IP:PORT: the core serves it"}
	}
	listener, err := framing.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot listen at %s: free the port or change %s", address, key)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: httpReadHeaderTimeout, IdleTimeout: httpIdleTimeout,
		MaxHeaderBytes: httpMaxHeaderBytes, ConnState: connlimit.TrackState,
	}
	go func() { _ = server.Serve(c.connections.Listener(listener)) }() // returns after Shutdown
	return server, nil
}

// run is the core's goroutine. It returns after a signal to stop, once the engine has handed over its roles.
func (c *Core) run(signals <-chan os.Signal) {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	stopping := false
	for !stopping || !c.engine.SafeToStop() || !c.tallies.SafeToStop() {
		select {
		case event := <-c.events:
			event()
			if len(c.events) == 0 {
				c.tallies.Flush()
			}
		case <-ticker.C:
			c.tick()
		case received := <-signals:
			if received == syscall.SIGHUP {
				c.reloadSettings()
				break
			}
			stopping = true
			c.engine.BeginShutdown()
			c.tallies.BeginShutdown()
		}
	}
	close(c.stop) // ends the streams to agents, so that they connect to another core
}

// enqueue has f called on the core's goroutine. It returns false where the process has stopped.
func (c *Core) enqueue(f func()) bool {
	select {
	case c.events <- f:
		return true
	case <-c.stop:
		return false
	}
}

// tick advances the engine, and does the periodic work of the process.
func (c *Core) tick() {
	c.engine.Tick()
	c.updateLinks()
	c.tallies.Tick()
	c.tallies.Flush()
	if now := time.Now(); now.After(c.nextReload) {
		c.nextReload = now.Add(settingsReloadInterval)
		c.reloadSettings()
	}
}

// reloadSettings loads the settings file again. Only changes of the seeds take effect.
func (c *Core) reloadSettings() {
	config, err := settings.Load(c.settingsPath)
	if err != nil {
		c.logger.Warn("settings not reloaded", zap.Error(err))
		return
	}
	c.engine.SetSeeds(hostsOf(config.Seeds))
}
