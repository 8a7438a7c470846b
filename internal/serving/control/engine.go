package control

import (
	"math/rand"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/statemachine"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/wirepb"
)

// Intervals and durations of an engine.
const (
	TickInterval      = 25 * time.Millisecond
	presenceInterval  = 500 * time.Millisecond
	expiryInterval    = 500 * time.Millisecond
	stabilizationTime = 5 * time.Second        // after which each worker has had time for several heartbeats
	stallThreshold    = 500 * time.Millisecond // between ticks, after which the process counts as just started
	tickGapRetention  = time.Second            // callers do not wait longer for a reply
)

// Log sizes, in bytes, after which a snapshot is taken.
const (
	maxLogBytes     = 2 << 20 // of entries
	maxSegmentBytes = 8 << 20 // of a segment
)

// Environment is what an engine needs of its process. Its methods are called on the engine's goroutine and do
// not block.
type Environment interface {
	// Send sends an envelope to another core's internal address. The envelope may be lost.
	Send(address string, envelope *wirepb.Envelope)
	// Write makes a batch durable, after those before it, and calls done on the engine's goroutine.
	Write(batch consensus.WriteBatch, done func())
	// Rewrite begins a new segment that contains stored, after the writes before it, and calls done likewise.
	Rewrite(stored consensus.DurableState, done func())
	// SegmentBytes returns the size of the present segment in bytes.
	SegmentBytes() int64
	// SaveWorkers replaces the saved list of workers atomically, and calls done likewise.
	SaveWorkers(data []byte, done func())
}

// Options configure a core.
type Options struct {
	Identity                string // of its disk
	Incarnation             string // unique to this run of the process
	Address                 string // where other cores reach it, IP:PORT
	AddressOf               func(host string) string
	Zone, Region            string
	Seeds                   []string // hosts of cores
	Consensus               consensus.Options
	WorkerHeartbeatInterval time.Duration
	CatchUpTimeout          time.Duration // within which a learner should have become a voter
	ShutdownGrace           time.Duration // from the shutdown request until the process is killed
	Clock                   func() time.Duration
	Random                  *rand.Rand
	Logger                  *zap.Logger
	SavedWorkers            []byte // as an earlier incarnation passed it to Environment.SaveWorkers
}

// Engine is one core. All methods are called on one goroutine, except StateView and OriginSilent, which are
// safe for concurrent use.
type Engine struct {
	options        Options
	environment    Environment
	logger         *zap.Logger
	node           *consensus.Node
	machine        *statemachine.Machine
	stateView      *stateview.Store
	requests       requestTable
	leaderRequests leaderRequestTable
	workers        workerTable
	edges          map[string]*EdgeLink     // by edge name: links from agents to this core
	coreContacts   map[string]time.Duration // by internal address: when the last presence message came
	origins        originTable
	savedWorkers   savedWorkersState
	learnerMonitor learnerMonitor

	lastTick       time.Duration
	longestTickGap time.Duration // longest recent time between two ticks
	tickGapExpiry  time.Duration // when longestTickGap is dropped
	runningSince   time.Duration // since when the process has not stalled
	nextPresenceAt time.Duration
	nextExpiryAt   time.Duration
	lastLeader     string
	compacting     bool
	shutdownAt     time.Duration
	shuttingDown   bool
}

// New returns an engine with the state of its disk. It fails if the snapshot cannot be decoded.
func New(options Options, stored consensus.DurableState, environment Environment) (*Engine, error) {
	e := &Engine{
		options: options, environment: environment, logger: options.Logger, machine: statemachine.New(),
		requests: newRequestTable(), leaderRequests: newLeaderRequestTable(), workers: newWorkerTable(),
		learnerMonitor: newLearnerMonitor(), edges: map[string]*EdgeLink{},
		coreContacts: map[string]time.Duration{}, origins: newOriginTable(),
		lastTick: options.Clock(), runningSince: options.Clock(),
	}
	e.stateView = stateview.New(options.Incarnation, options.Clock)
	if err := e.machine.Restore(stored.Snapshot.GetData()); err != nil {
		return nil, errors.Wrap(err, "cannot read the snapshot: empty data_dir, so that the replica joins anew")
	}
	e.node = consensus.New(options.Identity, stored, options.Consensus, options.Clock(), options.Random)
	e.processReady()
	e.restoreWorkers(options.SavedWorkers)
	e.publishCommitted()
	return e, nil
}

// now returns the time since the start of the process.
func (e *Engine) now() time.Duration { return e.options.Clock() }

// StateView returns the view of the core's state that watches are served from. It is safe for concurrent use.
func (e *Engine) StateView() *stateview.Store { return e.stateView }

// SetSeeds replaces the hosts of cores that the settings name.
func (e *Engine) SetSeeds(hosts []string) { e.options.Seeds = hosts }

// HandleEnvelope handles a message of another core.
func (e *Engine) HandleEnvelope(envelope *wirepb.Envelope) {
	e.advanceTime()
	switch body := envelope.Body.(type) {
	case *wirepb.Envelope_Consensus:
		e.handleConsensus(body.Consensus)
	case *wirepb.Envelope_Catalog:
		e.handleCatalog(body.Catalog)
	case *wirepb.Envelope_Presence:
		e.handlePresence(body.Presence)
	case *wirepb.Envelope_Call:
		e.handleCall(body.Call)
	case *wirepb.Envelope_Reply:
		e.handleReply(body.Reply)
	}
	e.processReady()
}

// uniqueID returns a command id that no other request of any core has.
func (e *Engine) uniqueID(number uint64) string {
	return e.options.Incarnation + "/" + strconv.FormatUint(number, 10)
}
