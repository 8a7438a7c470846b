// Package core is the control program: the core's replicas agree on the configuration and the evacuations,
// hear the workers, tell the edges, and answer clients who ask where to go. Package control decides; this one
// brings it time, messages, a disk and callers.
//
// One goroutine, run, owns the engine; everything else sends it functions to carry out.
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
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/control"
	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/settings"
)

const (
	settingsInterval = 2 * time.Second
	stopLinger       = 250 * time.Millisecond
	linkWriteTimeout = 3 * time.Second
)

// Core is one process of the core.
type Core struct {
	settings     *settings.Settings
	settingsPath string
	logger       *zap.Logger
	started      time.Time
	internal     string // IP:PORT of the internal listener
	events       chan func()
	stop         chan struct{}

	engine *control.Engine
	disk   *disk
	links  map[string]*peerLink // by internal address

	nextSettings time.Time
}

// Run serves until the process is told to stop.
func Run(settingsPath string, logger *zap.Logger) error {
	config, err := settings.Load(settingsPath)
	if err != nil {
		return err
	}
	if config.DataDir == "" {
		return &settings.ValueError{Key: "data_dir", Remedy: "give the folder of a disk, for the state"}
	}
	c, err := newCore(config, settingsPath, logger)
	if err != nil {
		return err
	}
	return c.serve()
}

func newCore(config *settings.Settings, settingsPath string, logger *zap.Logger) (*Core, error) {
	c := &Core{
		settings: config, settingsPath: settingsPath, logger: logger, started: time.Now(),
		internal: net.JoinHostPort(config.IP, strconv.Itoa(config.FirstInternalPort)),
		events:   make(chan func(), 256), stop: make(chan struct{}), links: map[string]*peerLink{},
	}
	opened, err := openDisk(config, logger)
	if err != nil {
		return nil, err
	}
	c.disk = newDisk(opened.Store, c.events)
	options := control.Options{
		Identity: opened.Identity, Life: config.NodeName + "/" + randomTag(),
		Address: c.internal, AddressOf: c.internalAddress, Zone: config.Zone, Region: config.Region,
		Seeds: hostsOf(config.Seeds), Consensus: consensus.Options{Seats: seats(config)},
		HeartbeatEvery: config.HeartbeatInterval,
		CatchUp:        config.Bounds.CatchUpTimeout, Grace: config.Bounds.GracePeriod,
		Clock:  func() time.Duration { return time.Since(c.started) },
		Random: mathrand.New(mathrand.NewSource(randomSeed())), Logger: logger,
		SavedWorkers: savedWorkers(config.DataDir),
	}
	c.engine, err = control.New(options, opened.State, &environment{c})
	return c, err
}

// seats returns how many replicas are to vote: as many as bear the loss of those that may be lost at once.
func seats(config *settings.Settings) int { return 2*config.ToleratedMachineLosses + 1 }

// savedWorkers reads what an earlier life has saved. Without it, workers are known by their heartbeats.
func savedWorkers(folder string) []byte {
	data, err := os.ReadFile(filepath.Join(folder, savedFile))
	if err != nil {
		return nil
	}
	return data
}

func randomTag() string {
	var tag [6]byte
	rand.Read(tag[:])
	return hex.EncodeToString(tag[:])
}

func randomSeed() int64 {
	var seed [8]byte
	rand.Read(seed[:])
	return int64(binary.LittleEndian.Uint64(seed[:]))
}

// serve opens the ports and works until SIGTERM.
func (c *Core) serve() error {
	internal, err := framing.Listen(c.internal)
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
	go c.acceptLinks(internal)
	go c.disk.run(c.stop)
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	status := c.engine.Status()
	c.logger.Info("core started", zap.String("replica", status.Replica), zap.Strings("members", status.Members))
	c.run(signals)
	ctx, cancel := context.WithTimeout(context.Background(), stopLinger)
	defer cancel()
	controlPlane.Shutdown(ctx)
	directory.Shutdown(ctx)
	internal.Close()
	c.logger.Info("core stopped")
	return nil
}

func (c *Core) listenHTTP(key, address string, handler http.Handler) (*http.Server, error) {
	if address == "" {
		return nil, &settings.ValueError{Key: key, Remedy: "give IP:PORT: the core serves it"}
	}
	listener, err := framing.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot listen at %s: free the port or change %s", address, key)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	go server.Serve(listener)
	return server, nil
}

// run carries out events until the process is told to stop and is not needed any more.
func (c *Core) run(signals <-chan os.Signal) {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	leaving := false
	for !leaving || !c.engine.MayStop() {
		select {
		case event := <-c.events:
			event()
		case <-ticker.C:
			c.tick()
		case received := <-signals:
			if received == syscall.SIGHUP {
				c.readSettings()
				break
			}
			leaving = true
			c.engine.Leave()
		}
	}
	close(c.stop) // feeds end, so that agents go elsewhere
}

// do hands f to the goroutine that owns the engine. It returns false where the process is stopping.
func (c *Core) do(f func()) bool {
	select {
	case c.events <- f:
		return true
	case <-c.stop:
		return false
	}
}

func (c *Core) tick() {
	c.engine.Tick()
	c.keepLinks()
	if now := time.Now(); now.After(c.nextSettings) {
		c.nextSettings = now.Add(settingsInterval)
		c.readSettings()
	}
}

// readSettings takes up seeds that have changed.
func (c *Core) readSettings() {
	config, err := settings.Load(c.settingsPath)
	if err != nil {
		c.logger.Warn("settings kept as they were", zap.Error(err))
		return
	}
	c.engine.SetSeeds(hostsOf(config.Seeds))
}
