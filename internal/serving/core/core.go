// Package core is the control program: the core's replicas agree on the configuration and the evacuations,
// hear the workers, tell the edges, and answer clients who ask where to go.
//
// One goroutine, run, owns all state but the replica for the feeds; everything else sends it functions to
// carry out.
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
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"willowdeck/internal/serving/boot"
	"willowdeck/internal/serving/committed"
	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/feed"
	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/wirepb"
)

const (
	tickInterval     = 25 * time.Millisecond
	presenceInterval = 500 * time.Millisecond
	settingsInterval = 2 * time.Second
	settledAfter     = 5 * time.Second // of a core's life: each worker has had time for several heartbeats
	stopLinger       = 250 * time.Millisecond
	linkWriteTimeout = 3 * time.Second
)

// Core is one process of the core.
type Core struct {
	settings     *boot.Settings
	settingsPath string
	logger       *zap.Logger
	started      time.Time
	identity     string
	internal     string // IP:PORT of the internal listener
	events       chan func()
	stop         chan struct{}

	node    *consensus.Node
	machine *committed.Machine
	disk    *disk
	replica *feed.Replica
	links   map[string]*peerLink // by internal address
	inbound map[string]time.Duration
	workers workerTable
	edges   map[string]*edgeLink // by edge name: links of agents to this core
	callers callTable
	acks    ackTable
	saved   savedWorkers

	nextPresence time.Duration
	nextSettings time.Duration
	nextSweep    time.Duration
	lastLeader   string
}

// Run serves until the process is told to stop.
func Run(settingsPath string, logger *zap.Logger) error {
	settings, err := boot.Load(settingsPath)
	if err != nil {
		return err
	}
	if settings.DataDir == "" {
		return &boot.ValueError{Key: "data_dir", Remedy: "give the folder of a disk, for the state"}
	}
	c, err := newCore(settings, settingsPath, logger)
	if err != nil {
		return err
	}
	return c.serve()
}

func newCore(settings *boot.Settings, settingsPath string, logger *zap.Logger) (*Core, error) {
	c := &Core{
		settings: settings, settingsPath: settingsPath, logger: logger, started: time.Now(),
		internal: net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort)),
		events:   make(chan func(), 256), stop: make(chan struct{}),
		machine: committed.New(), links: map[string]*peerLink{}, inbound: map[string]time.Duration{},
		workers: newWorkerTable(), edges: map[string]*edgeLink{}, callers: newCallTable(), acks: newAckTable(),
	}
	c.replica = feed.NewReplica(settings.NodeName+"/"+randomTag(), c.now)
	identity, log, stored, err := openDisk(settings, logger)
	if err != nil {
		return nil, err
	}
	c.identity = identity
	if err := c.machine.Restore(stored.Snapshot.GetData()); err != nil {
		return nil, err
	}
	c.node = consensus.New(identity, stored, c.now(), mathrand.New(mathrand.NewSource(randomSeed())))
	c.disk = newDisk(log, stored, c.events)
	c.loadWorkers()
	c.carryOut()
	c.tellCommitted()
	return c, nil
}

func (c *Core) now() time.Duration { return time.Since(c.started) }

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
	control, err := c.listenHTTP("listen.control_plane", c.settings.ControlPlane, c.controlHandler())
	if err != nil {
		return err
	}
	directory, err := c.listenHTTP("listen.directory", c.settings.Directory, c.directoryHandler())
	if err != nil {
		return err
	}
	go c.acceptLinks(internal)
	go c.disk.run(c.stop)
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	c.logger.Info("core started", zap.String("replica", c.identity), zap.Strings("members", c.node.Members()))
	c.run(signals)
	ctx, cancel := context.WithTimeout(context.Background(), stopLinger)
	defer cancel()
	control.Shutdown(ctx)
	directory.Shutdown(ctx)
	internal.Close()
	c.logger.Info("core stopped")
	return nil
}

func (c *Core) listenHTTP(key, address string, handler http.Handler) (*http.Server, error) {
	if address == "" {
		return nil, &boot.ValueError{Key: key, Remedy: "give IP:PORT: the core serves it"}
	}
	listener, err := framing.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot listen at %s: free the port or change %s", address, key)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	go server.Serve(listener)
	return server, nil
}

// run carries out events until the process is told to stop.
func (c *Core) run(signals <-chan os.Signal) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
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
			c.leave()
			return
		}
		c.carryOut()
	}
}

// leave ends this process's part: a surplus seat is given up, and the feeds are ended so that agents go
// elsewhere.
func (c *Core) leave() {
	c.node.Leave()
	c.carryOut()
	close(c.stop)
	time.Sleep(stopLinger / 5) // the farewell leaves the queues
}

// do hands f to the goroutine that owns the state. It returns false where the process is stopping.
func (c *Core) do(f func()) bool {
	select {
	case c.events <- f:
		return true
	case <-c.stop:
		return false
	}
}

func (c *Core) tick() {
	now := c.now()
	c.node.Tick(now)
	if c.node.InTouch() {
		c.replica.Touch(now > settledAfter)
	}
	c.noteLeader()
	c.keepLinks()
	if now >= c.nextPresence {
		c.nextPresence = now + presenceInterval
		c.tellPresence()
	}
	if now >= c.nextSweep {
		c.nextSweep = now + presenceInterval
		c.sweep()
		c.saveWorkers()
	}
	if now >= c.nextSettings {
		c.nextSettings = now + settingsInterval
		c.readSettings()
	}
}

func (c *Core) noteLeader() {
	if leader := c.node.Leader(); leader != c.lastLeader {
		c.lastLeader = leader
		c.logger.Info("acting replica", zap.String("leader", leader), zap.Uint64("epoch", c.node.Term()))
	}
}

// readSettings takes up seeds that have changed.
func (c *Core) readSettings() {
	settings, err := boot.Load(c.settingsPath)
	if err != nil {
		c.logger.Warn("settings kept as they were", zap.Error(err))
		return
	}
	c.settings.Seeds = settings.Seeds
}

// carryOut does what the replica has decided.
func (c *Core) carryOut() {
	output := c.node.Take()
	for _, message := range output.Messages {
		c.sendConsensus(message)
	}
	for _, batch := range output.Persist {
		c.disk.write(batch, func() {
			for _, message := range batch.Messages {
				c.sendConsensus(message)
			}
			c.node.Persisted(c.now(), batch)
		})
	}
	if output.Restore != nil {
		if err := c.machine.Restore(output.Restore.Data); err != nil {
			c.logger.Fatal("cannot take a snapshot", zap.Error(err))
		}
	}
	for _, entry := range output.Committed {
		c.apply(entry)
	}
	if output.Restore != nil || len(output.Committed) > 0 {
		c.tellCommitted()
		c.compact()
	}
	for _, read := range output.Reads {
		c.callers.finishRead(read.ID, c.machine)
	}
}

func (c *Core) apply(entry *wirepb.Entry) {
	if entry.Kind != wirepb.EntryKind_ENTRY_COMMAND {
		return
	}
	before := c.machine.Generation()
	result, err := c.machine.Apply(entry.Data)
	if err != nil {
		c.logger.Fatal("cannot apply a committed command", zap.Uint64("index", entry.Index), zap.Error(err))
	}
	if generation := c.machine.Generation(); generation != before {
		c.logger.Info("configuration in force", zap.Uint64("generation", generation))
	}
	c.callers.finish(result)
}

func (c *Core) tellCommitted() {
	c.replica.SetCommitted(c.node.Applied(), c.machine.Document(), c.machine.Evacuated())
}
