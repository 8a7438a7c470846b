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
	TickInterval     = 25 * time.Millisecond  // between calls of Tick
	presenceInterval = 500 * time.Millisecond // between presence messages
	expiryInterval   = 500 * time.Millisecond // between searches for expired records

	// stabilizationTime is how long a process must have run without a stall before its view of workers and cores
	// counts as complete: each worker has then had time for several heartbeats.
	stabilizationTime = 5 * time.Second

	// stallThreshold is the time between two ticks above which the process has stalled. It is then treated as a
	// process that has just started.
	stallThreshold = 500 * time.Millisecond

	// tickGapRetention is how long the longest gap between two ticks is kept. Callers do not wait longer for a
	// reply, so older gaps do not affect pending requests.
	tickGapRetention = time.Second
)

// Sizes in bytes at which a snapshot is taken.
const (
	maxLogBytes     = 2 << 20 // of the log entries since the last snapshot
	maxSegmentBytes = 8 << 20 // of the current log segment on disk
)

// Environment does an engine's input and output. Its methods are called on the engine's goroutine and do not
// block.
type Environment interface {
	// Send sends an envelope to another core's internal address. The envelope may be lost.
	Send(address string, envelope *wirepb.Envelope)
	// Write makes a batch durable, after all earlier batches, and then calls done on the engine's goroutine.
	Write(batch consensus.WriteBatch, done func())
	// Rewrite begins a new log segment that contains stored, after all earlier writes are done, and then calls
	// done on the engine's goroutine.
	Rewrite(stored consensus.DurableState, done func())
	// SegmentBytes returns the size of the current log segment in bytes.
	SegmentBytes() int64
	// SaveWorkers replaces the saved list of workers atomically. It calls done on the engine's goroutine, also
	// if the list could not be written.
	SaveWorkers(data []byte, done func())
}

// Options configure a core.
type Options struct {
	Identity                string                   // of the replica; it is stored on the replica's disk
	Incarnation             string                   // unique to this run of the process
	Address                 string                   // internal address of this core, IP:PORT
	AddressOf               func(host string) string // returns the internal address of the core on a host
	Zone, Region            string
	Seeds                   []string // hosts of cores, from the settings
	Consensus               consensus.Options
	WorkerHeartbeatInterval time.Duration
	CatchUpTimeout          time.Duration // after which a warning is logged of a learner that has not caught up
	ShutdownGrace           time.Duration // time between the shutdown request and the kill of the process
	Clock                   func() time.Duration
	Random                  *rand.Rand
	Logger                  *zap.Logger
	SavedWorkers            []byte // the list that an earlier incarnation passed to SaveWorkers
}

// Engine is the state of one core. Its methods must be called on one goroutine, except StateView and
// OriginSilent, which are safe for concurrent use.
type Engine struct {
	options        Options
	environment    Environment
	logger         *zap.Logger
	node           *consensus.Node
	machine        *statemachine.Machine
	stateView      *stateview.Store
	requests       requestTable
	leaderRequests leaderRequestTable
	evacuations    []*evacuationRequest // in the order of their arrival
	workers        workerTable
	edges          map[string]*EdgeLink     // by edge name: the links of agents to this core
	coreContacts   map[string]time.Duration // by internal address: time of the last presence message
	origins        originTable
	savedWorkers   savedWorkersState
	learnerMonitor learnerMonitor

	acceptedEvacuations map[string]uint64 // by zone: commands that this core has accepted as the leader

	lastTick       time.Duration
	longestTickGap time.Duration // longest recent gap between two ticks
	tickGapExpiry  time.Duration // when longestTickGap may be replaced by a shorter gap
	runningSince   time.Duration // start of the process, or end of its last stall
	nextPresenceAt time.Duration
	nextExpiryAt   time.Duration
	lastLeader     string
	compacting     bool
	shutdownAt     time.Duration
	shuttingDown   bool
}

// New returns an engine with the state that is stored on its disk. It fails if the snapshot cannot be
// decoded.
func New(options Options, stored consensus.DurableState, environment Environment) (*Engine, error) {
	e := &Engine{
		options: options, environment: environment, logger: options.Logger, machine: statemachine.New(),
		requests: newRequestTable(), leaderRequests: newLeaderRequestTable(), workers: newWorkerTable(),
		learnerMonitor: newLearnerMonitor(), edges: map[string]*EdgeLink{},
		coreContacts: map[string]time.Duration{}, origins: newOriginTable(options.Incarnation),
		acceptedEvacuations: map[string]uint64{},
		lastTick:            options.Clock(), runningSince: options.Clock(),
	}
	e.stateView = stateview.New(options.Incarnation, options.Clock)
	if err := e.machine.Restore(stored.Snapshot.GetData()); err != nil {
		return nil, errors.Wrap(err, "cannot decode the snapshot: empty data_dir to join as a new replica")
	}
	e.node = consensus.New(options.Identity, stored, options.Consensus, options.Clock(), options.Random)
	e.processReady()
	e.restoreWorkers(options.SavedWorkers)
	e.publishCommitted()
	return e, nil
}

// now returns the time since the start of the process.
func (e *Engine) now() time.Duration { return e.options.Clock() }

// StateView returns the view of the core's state from which watches are served. It is safe for concurrent
// use.
func (e *Engine) StateView() *stateview.Store { return e.stateView }

// SetSeeds replaces the hosts of cores that the settings list.
func (e *Engine) SetSeeds(hosts []string) { e.options.Seeds = hosts }

// HandleEnvelope handles a message from another core.
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

// uniqueID returns a command id for the request with this number. No other request to any core has the same
// id.
func (e *Engine) uniqueID(number uint64) string {
	return e.options.Incarnation + "/" + strconv.FormatUint(number, 10)
}
