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

// Times that an engine goes by.
const (
	TickInterval     = 25 * time.Millisecond
	presenceInterval = 500 * time.Millisecond
	expiryInterval    = 500 * time.Millisecond
	settlingTime     = 5 * time.Second        // of a core's life: workers were heard several times
	stallThreshold       = 500 * time.Millisecond // between ticks, after which a life counts as begun anew
	tickGapRetention        = time.Second            // callers wait no longer for an answer
)

// Log sizes, in bytes, after which a snapshot is taken.
const (
	maxLogBytes     = 2 << 20 // of entries
	maxSegmentBytes = 8 << 20 // of a segment
)

// Environment is what an engine needs of its process.
type Environment interface {
	// Send sends an envelope to another core's internal address. It may be lost.
	Send(address string, envelope *wirepb.Envelope)
	// Write puts a batch on disk, behind those before it, and calls done on the engine's goroutine.
	Write(batch consensus.WriteBatch, done func())
	// Rewrite begins a new segment that holds stored, behind the writes before it, and calls done likewise.
	Rewrite(stored consensus.DurableState, done func())
	// SegmentBytes returns the size of the present segment.
	SegmentBytes() int64
	// SaveWorkers writes the list of workers whole or not at all, and calls done likewise.
	SaveWorkers(data []byte, done func())
}

// Options describe a core.
type Options struct {
	Identity       string // of its disk
	Incarnation           string // new with each life of the process
	Address        string // where other cores reach it, IP:PORT
	AddressOf      func(host string) string
	Zone, Region   string
	Seeds          []string // hosts of cores
	Consensus      consensus.Options
	WorkerHeartbeatInterval time.Duration // of workers
	CatchUpTimeout        time.Duration // within which a new replica should have its seat
	ShutdownGrace          time.Duration // from the order to stop to the end of the process
	Clock          func() time.Duration
	Random         *rand.Rand
	Logger         *zap.Logger
	SavedWorkers   []byte // what an earlier life has saved
}

// Engine is one core. It is not safe for concurrent use, but for Replica.
type Engine struct {
	options     Options
	environment Environment
	logger      *zap.Logger
	node        *consensus.Node
	machine     *statemachine.Machine
	mirror      *stateview.Mirror
	requests      requestTable
	leaderRequests       leaderRequestTable
	workers     workerTable
	edges       map[string]*EdgeLink     // by edge name: links of agents to this core
	coreContacts  map[string]time.Duration // by internal address: when a core last spoke
	origins     originTable
	savedWorkers       savedWorkersState
	learnerMonitor     learnerMonitor

	lastTick     time.Duration
	longestTickGap          time.Duration // the longest time between two ticks, lately
	tickGapExpiry     time.Duration // when that is forgotten
	runningSince  time.Duration // since when the process has not stood still
	nextPresenceAt time.Duration
	nextExpiryAt    time.Duration
	lastLeader   string
	compacting   bool
	shutdownAt time.Duration
	shuttingDown      bool
}

// New makes an engine of what a disk holds.
func New(options Options, stored consensus.DurableState, environment Environment) (*Engine, error) {
	e := &Engine{
		options: options, environment: environment, logger: options.Logger, machine: statemachine.New(),
		requests: newRequestTable(), leaderRequests: newLeaderRequestTable(), workers: newWorkerTable(), learnerMonitor: newLearnerMonitor(),
		edges: map[string]*EdgeLink{}, coreContacts: map[string]time.Duration{},
		origins:  newOriginTable(),
		lastTick: options.Clock(), runningSince: options.Clock(),
	}
	e.mirror = stateview.New(options.Incarnation, options.Clock)
	if err := e.machine.Restore(stored.Snapshot.GetData()); err != nil {
		return nil, errors.Wrap(err, "cannot read the snapshot: empty data_dir, so that the replica joins anew")
	}
	e.node = consensus.New(options.Identity, stored, options.Consensus, options.Clock(), options.Random)
	e.processReady()
	e.restoreWorkers(options.SavedWorkers)
	e.publishCommitted()
	return e, nil
}

func (e *Engine) now() time.Duration { return e.options.Clock() }

// Mirror returns the copy of the core's state that feeds are served from. It is safe for concurrent use.
func (e *Engine) Mirror() *stateview.Mirror { return e.mirror }

// SetSeeds takes up the hosts of cores that the settings name now.
func (e *Engine) SetSeeds(hosts []string) { e.options.Seeds = hosts }

// Tick tells that time has passed. It is called every TickInterval.
func (e *Engine) Tick() {
	now := e.advanceTime()
	e.lastTick = now
	if e.node.InSync() {
		e.mirror.Touch(e.settled())
	}
	e.logLeaderChange()
	e.retryRequests()
	e.monitorLearners()
	if now >= e.nextPresenceAt {
		e.nextPresenceAt = now + presenceInterval
		e.broadcastPresence()
		e.origins.publish(now, e.node.InSync() && e.settled())
	}
	if now >= e.nextExpiryAt {
		e.nextExpiryAt = now + expiryInterval
		e.expireRecords()
		e.saveWorkers()
	}
	e.processReady()
}

// awake brings the replica to the present before anything else is asked of it: the process may have stood
// still, and a leader that has must not act before it has noticed.
func (e *Engine) advanceTime() time.Duration {
	now := e.now()
	e.recordTickGap(now)
	if now-e.lastTick > stallThreshold {
		e.runningSince = now
		e.lastTick = now
	}
	e.node.Tick(now)
	return now
}

// noteLag keeps how long an order may have waited for this process before it was taken up.
func (e *Engine) recordTickGap(now time.Duration) {
	gap := now - e.lastTick
	if gap >= e.longestTickGap || now >= e.tickGapExpiry {
		e.longestTickGap = gap
		e.tickGapExpiry = now + tickGapRetention
	}
}

// settled reports whether this core has run for long enough to have heard of all that lives.
func (e *Engine) settled() bool { return e.now()-e.runningSince > settlingTime }

func (e *Engine) logLeaderChange() {
	if leader := e.node.Leader(); leader != e.lastLeader {
		e.lastLeader = leader
		e.logger.Info("leader", zap.String("replica", leader), zap.Uint64("epoch", e.node.Term()))
	}
}

// Take carries out what another core says.
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

func (e *Engine) handleConsensus(message *wirepb.Consensus) {
	if message.To != "" && message.To != e.options.Identity {
		return // meant for another disk at this address
	}
	if message.From != e.options.Identity {
		e.node.Step(e.now(), message)
	}
}

// carryOut does what the replica has decided.
func (e *Engine) processReady() {
	ready := e.node.Ready()
	for _, message := range ready.Messages {
		e.sendConsensus(message)
	}
	for _, batch := range ready.Writes {
		e.environment.Write(batch, func() { e.completeWrite(batch) })
	}
	if ready.Snapshot != nil {
		if err := e.machine.Restore(ready.Snapshot.Data); err != nil {
			e.logger.Fatal("cannot take a snapshot", zap.Error(err))
		}
	}
	for _, entry := range ready.CommittedEntries {
		e.apply(entry)
	}
	if ready.Snapshot != nil {
		e.applyDepartures()
	}
	if ready.Snapshot != nil || len(ready.CommittedEntries) > 0 {
		e.publishCommitted()
		e.compact()
	}
	for _, read := range ready.ReadStates {
		e.completeRead(read.RequestID)
	}
}

// written goes on once a batch is on disk.
func (e *Engine) completeWrite(batch consensus.WriteBatch) {
	e.advanceTime()
	for _, message := range batch.Messages {
		e.sendConsensus(message)
	}
	e.node.Persisted(e.now(), batch)
	e.processReady()
}

func (e *Engine) sendConsensus(message *wirepb.Consensus) {
	envelope := &wirepb.Envelope{Body: &wirepb.Envelope_Consensus{Consensus: message}}
	if message.To == "" {
		e.broadcast(envelope)
		return
	}
	e.environment.Send(e.options.AddressOf(consensus.Address(message.To)), envelope)
}

func (e *Engine) apply(entry *wirepb.Entry) {
	if entry.Kind != wirepb.EntryKind_ENTRY_COMMAND {
		return
	}
	before := e.machine.Generation()
	result, err := e.machine.Apply(entry.Data)
	if err != nil {
		e.logger.Fatal("cannot apply a committed command", zap.Uint64("index", entry.Index), zap.Error(err))
	}
	if generation := e.machine.Generation(); generation != before {
		e.logger.Info("configuration in force", zap.Uint64("generation", generation))
	}
	if departure := result.Departure; departure != nil {
		e.applyDeparture(departure)
	}
	e.completeCommand(result)
}

func (e *Engine) publishCommitted() {
	e.mirror.SetCommitted(e.node.Applied(), e.machine.Document(), e.machine.Evacuated())
}

// compact takes a snapshot where the log has grown long.
func (e *Engine) compact() {
	if e.compacting || e.node.LogBytes() < maxLogBytes && e.environment.SegmentBytes() < maxSegmentBytes {
		return
	}
	data, err := e.machine.Snapshot()
	if err != nil {
		e.logger.Error("cannot take a snapshot", zap.Error(err))
		return
	}
	snapshot := e.node.CreateSnapshot(data)
	e.compacting = true
	e.environment.Rewrite(e.node.DurableStateAfter(snapshot), func() {
		e.compacting = false
		e.node.Compact(snapshot)
	})
}

// Leave begins the end of this core's part: it hands the lead over and asks that its seat be taken over. Its
// caller goes on with everything until MayStop.
func (e *Engine) BeginShutdown() {
	e.advanceTime()
	if !e.shuttingDown {
		e.shuttingDown = true
		e.shutdownAt = e.now()
		e.logger.Info("leaving", zap.Bool("seated", e.node.IsVoter()))
	}
	e.node.BeginShutdown()
	e.processReady()
}

// Times of leaving.
const (
	minimumShutdown = 600 * time.Millisecond  // at least, so that a replica that has just started is heard of
	shutdownGraceMargin = 1300 * time.Millisecond // under the time after which the process is killed
)

// MayStop reports whether a leaving core is not needed any more, or has no time left.
func (e *Engine) SafeToStop() bool {
	elapsed := e.now() - e.shutdownAt
	return elapsed > minimumShutdown && e.node.SafeToStop() || elapsed > e.options.ShutdownGrace-shutdownGraceMargin
}

func (e *Engine) uniqueID(number uint64) string {
	return e.options.Incarnation + "/" + strconv.FormatUint(number, 10)
}
