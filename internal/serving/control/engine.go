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
	sweepInterval    = 500 * time.Millisecond
	settledAfter     = 5 * time.Second        // of a core's life: workers were heard several times
	stoodStill       = 500 * time.Millisecond // between ticks, after which a life counts as begun anew
	lagMemory        = time.Second            // callers wait no longer for an answer
)

// Log sizes, in bytes, after which a snapshot is taken.
const (
	compactLog     = 2 << 20 // of entries
	compactSegment = 8 << 20 // of a segment
)

// Environment is what an engine needs of its process.
type Environment interface {
	// Send sends an envelope to another core's internal address. It may be lost.
	Send(address string, envelope *wirepb.Envelope)
	// Write puts a batch on disk, behind those before it, and calls done on the engine's goroutine.
	Write(batch consensus.Persist, done func())
	// Rewrite begins a new segment that holds stored, behind the writes before it, and calls done likewise.
	Rewrite(stored consensus.Stored, done func())
	// SegmentBytes returns the size of the present segment.
	SegmentBytes() int64
	// SaveWorkers writes the list of workers whole or not at all, and calls done likewise.
	SaveWorkers(data []byte, done func())
}

// Options describe a core.
type Options struct {
	Identity       string // of its disk
	Life           string // new with each life of the process
	Address        string // where other cores reach it, IP:PORT
	AddressOf      func(host string) string
	Zone, Region   string
	Seeds          []string // hosts of cores
	Consensus      consensus.Options
	HeartbeatEvery time.Duration // of workers
	CatchUp        time.Duration // within which a new replica should have its seat
	Grace          time.Duration // from the order to stop to the end of the process
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
	mirror      *stateview.Store
	orders      orderTable
	asked       askedTable
	workers     workerTable
	edges       map[string]*EdgeLink     // by edge name: links of agents to this core
	heardCores  map[string]time.Duration // by internal address: when a core last spoke
	writers     writerTable
	saved       savedWorkers
	joining     joinWatch

	lastTick     time.Duration
	lag          time.Duration // the longest time between two ticks, lately
	lagUntil     time.Duration // when that is forgotten
	steadySince  time.Duration // since when the process has not stood still
	nextPresence time.Duration
	nextSweep    time.Duration
	lastLeader   string
	compacting   bool
	leavingSince time.Duration
	leaving      bool
}

// New makes an engine of what a disk holds.
func New(options Options, stored consensus.Stored, environment Environment) (*Engine, error) {
	e := &Engine{
		options: options, environment: environment, logger: options.Logger, machine: statemachine.New(),
		orders: newOrderTable(), asked: newAskedTable(), workers: newWorkerTable(), joining: newJoinWatch(),
		edges: map[string]*EdgeLink{}, heardCores: map[string]time.Duration{},
		writers:  newWriterTable(),
		lastTick: options.Clock(), steadySince: options.Clock(),
	}
	e.mirror = stateview.New(options.Life, options.Clock)
	if err := e.machine.Restore(stored.Snapshot.GetData()); err != nil {
		return nil, errors.Wrap(err, "cannot read the snapshot: empty data_dir, so that the replica joins anew")
	}
	e.node = consensus.New(options.Identity, stored, options.Consensus, options.Clock(), options.Random)
	e.carryOut()
	e.loadSavedWorkers(options.SavedWorkers)
	e.tellCommitted()
	return e, nil
}

func (e *Engine) now() time.Duration { return e.options.Clock() }

// Mirror returns the copy of the core's state that feeds are served from. It is safe for concurrent use.
func (e *Engine) Mirror() *stateview.Store { return e.mirror }

// SetSeeds takes up the hosts of cores that the settings name now.
func (e *Engine) SetSeeds(hosts []string) { e.options.Seeds = hosts }

// Tick tells that time has passed. It is called every TickInterval.
func (e *Engine) Tick() {
	now := e.awake()
	e.lastTick = now
	if e.node.InTouch() {
		e.mirror.ConfirmQuorumContact(e.settled())
	}
	e.noteLeader()
	e.pursueOrders()
	e.watchJoining()
	if now >= e.nextPresence {
		e.nextPresence = now + presenceInterval
		e.tellPresence()
		e.writers.publish(now, e.node.InTouch() && e.settled())
	}
	if now >= e.nextSweep {
		e.nextSweep = now + sweepInterval
		e.sweep()
		e.saveWorkers()
	}
	e.carryOut()
}

// awake brings the replica to the present before anything else is asked of it: the process may have stood
// still, and a leader that has must not act before it has noticed.
func (e *Engine) awake() time.Duration {
	now := e.now()
	e.noteLag(now)
	if now-e.lastTick > stoodStill {
		e.steadySince = now
		e.lastTick = now
	}
	e.node.Tick(now)
	return now
}

// noteLag keeps how long an order may have waited for this process before it was taken up.
func (e *Engine) noteLag(now time.Duration) {
	gap := now - e.lastTick
	if gap >= e.lag || now >= e.lagUntil {
		e.lag = gap
		e.lagUntil = now + lagMemory
	}
}

// settled reports whether this core has run for long enough to have heard of all that lives.
func (e *Engine) settled() bool { return e.now()-e.steadySince > settledAfter }

func (e *Engine) noteLeader() {
	if leader := e.node.Leader(); leader != e.lastLeader {
		e.lastLeader = leader
		e.logger.Info("leader", zap.String("replica", leader), zap.Uint64("epoch", e.node.Term()))
	}
}

// Take carries out what another core says.
func (e *Engine) Take(envelope *wirepb.Envelope) {
	e.awake()
	switch body := envelope.Body.(type) {
	case *wirepb.Envelope_Consensus:
		e.takeConsensus(body.Consensus)
	case *wirepb.Envelope_Catalog:
		e.takeCatalog(body.Catalog)
	case *wirepb.Envelope_Presence:
		e.takePresence(body.Presence)
	case *wirepb.Envelope_Call:
		e.takeCall(body.Call)
	case *wirepb.Envelope_Reply:
		e.takeReply(body.Reply)
	}
	e.carryOut()
}

func (e *Engine) takeConsensus(message *wirepb.Consensus) {
	if message.To != "" && message.To != e.options.Identity {
		return // meant for another disk at this address
	}
	if message.From != e.options.Identity {
		e.node.Step(e.now(), message)
	}
}

// carryOut does what the replica has decided.
func (e *Engine) carryOut() {
	output := e.node.Take()
	for _, message := range output.Messages {
		e.sendConsensus(message)
	}
	for _, batch := range output.Persist {
		e.environment.Write(batch, func() { e.written(batch) })
	}
	if output.Restore != nil {
		if err := e.machine.Restore(output.Restore.Data); err != nil {
			e.logger.Fatal("cannot take a snapshot", zap.Error(err))
		}
	}
	for _, entry := range output.Committed {
		e.apply(entry)
	}
	if output.Restore != nil {
		e.applyDepartures()
	}
	if output.Restore != nil || len(output.Committed) > 0 {
		e.tellCommitted()
		e.compact()
	}
	for _, read := range output.Reads {
		e.finishRead(read.ID)
	}
}

// written goes on once a batch is on disk.
func (e *Engine) written(batch consensus.Persist) {
	e.awake()
	for _, message := range batch.Messages {
		e.sendConsensus(message)
	}
	e.node.Persisted(e.now(), batch)
	e.carryOut()
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
	e.finishCommand(result)
}

func (e *Engine) tellCommitted() {
	e.mirror.SetCommitted(e.node.Applied(), e.machine.Document(), e.machine.Evacuated())
}

// compact takes a snapshot where the log has grown long.
func (e *Engine) compact() {
	if e.compacting || e.node.LogBytes() < compactLog && e.environment.SegmentBytes() < compactSegment {
		return
	}
	data, err := e.machine.Snapshot()
	if err != nil {
		e.logger.Error("cannot take a snapshot", zap.Error(err))
		return
	}
	snapshot := e.node.SnapshotAt(data)
	e.compacting = true
	e.environment.Rewrite(e.node.Tail(snapshot), func() {
		e.compacting = false
		e.node.Compact(snapshot)
	})
}

// Leave begins the end of this core's part: it hands the lead over and asks that its seat be taken over. Its
// caller goes on with everything until MayStop.
func (e *Engine) Leave() {
	e.awake()
	if !e.leaving {
		e.leaving = true
		e.leavingSince = e.now()
		e.logger.Info("leaving", zap.Bool("seated", e.node.Seated()))
	}
	e.node.Leave()
	e.carryOut()
}

// Times of leaving.
const (
	leaveLinger = 600 * time.Millisecond  // at least, so that a replica that has just started is heard of
	graceMargin = 1300 * time.Millisecond // under the time after which the process is killed
)

// MayStop reports whether a leaving core is not needed any more, or has no time left.
func (e *Engine) MayStop() bool {
	passed := e.now() - e.leavingSince
	return passed > leaveLinger && e.node.MayStop() || passed > e.options.Grace-graceMargin
}

func (e *Engine) uniqueID(number uint64) string {
	return e.options.Life + "/" + strconv.FormatUint(number, 10)
}
