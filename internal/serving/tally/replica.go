package tally

import (
	"maps"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// Times of a replica. All are measured on its active time, which does not pass while the process is stalled.
const (
	stateInterval    = 250 * time.Millisecond
	contactTimeout   = 750 * time.Millisecond  // after which a peer that sends nothing is late
	confirmTimeout   = 400 * time.Millisecond  // after which a peer that lacks a durable record is late
	giveUpTimeout    = 1200 * time.Millisecond // of being late, after which a peer counts as unreachable
	pullTimeout      = 400 * time.Millisecond  // after which another pull may be sent
	pullDelay        = 150 * time.Millisecond  // for records that are on their way
	answerTimeout    = 800 * time.Millisecond  // after which an add is answered as unknown: callers wait for 1 s
	startGrace       = 2 * time.Second         // after a start, until fewer copies may do
	readGrace        = 2500 * time.Millisecond // after a start, until reads do without unheard peers
	catchUpLimit     = 10 * time.Second        // after a start, for peers that are heard to send what they hold
	maxLag           = 1500 * time.Millisecond // of missing records, after which reads are refused
	announceTime     = 400 * time.Millisecond  // after a shutdown has begun, for the peers to learn of it
	maxMessageDelay  = 2 * time.Second         // of a message that its sender has not outlived
	peerRetention    = 30 * time.Second        // after the last message of a peer that is not listed any more
	maxActiveTimeGap = 100 * time.Millisecond
)

// Limits of a replica.
const (
	maxPendingAdds = 2000      // adds that wait for copies
	maxUnsentAdds  = 64        // adds that wait for Flush
	maxSetBytes    = 140 << 20 // of memory for all records
	maxBatchBytes  = 128 << 10
)

// Options configure a replica.
type Options struct {
	Incarnation    string // unique to this run of the process: the origin of the adds that it records
	Address        string // where other cores reach it, IP:PORT
	Zone           string
	RequiredCopies int           // durable copies of an add that is acknowledged while enough cores respond
	RequiredZones  int           // zones that those copies are in
	ShutdownLimit  time.Duration // after a shutdown has begun, until SafeToStop gives up waiting for peers
	Clock          func() time.Duration
}

// Environment is what a replica needs of its process. Its methods are called on the replica's goroutine and
// do not block.
type Environment interface {
	// Send sends a message to the core at an internal address. The message may be lost.
	Send(address string, message *wirepb.TallyMessage)
	// Append makes records durable after those before them, and then calls done on the replica's goroutine.
	Append(records []*wirepb.TallyRecords, done func())
}

// Replica is the tallies of one core. All methods are called on one goroutine. The caller calls Tick at
// intervals, and Flush after each group of other calls.
type Replica struct {
	options       Options
	environment   Environment
	set           *Set
	durable       Vector // what of the set is on the own disk
	peers         map[string]*peer
	peerAddresses []string // addresses of the cores to replicate to, as SetPeers named them
	peersNamed    bool     // SetPeers has been called

	lastTime    time.Duration // of the clock, when the active time was advanced
	active      time.Duration // active time since the start
	nextStateAt time.Duration

	pending      []pendingAdd
	unsent       []*wirepb.TallyAdd // own records that Flush sends
	sent         []sendTime         // own records by the time of sending, not yet overdue
	overdue      uint64             // own sequence number that each peer that is not late has made durable
	pullSentAt   time.Duration      // of the pull that has not been answered
	pulledFrom   string             // address of the peer that was asked last
	pullPending  bool
	shuttingDown bool
	shutdownAt   time.Duration
	handover     Vector // what was held once all peers knew of the shutdown; nil before
}

// NewReplica returns a replica without records. Restore is called with those of its disk.
func NewReplica(options Options, environment Environment) *Replica {
	return &Replica{
		options: options, environment: environment, set: NewSet(), durable: Vector{}, peers: map[string]*peer{},
		lastTime: options.Clock(),
	}
}

// Restore takes records that an earlier incarnation has written, in the order in which they were written.
// Records without those before them in their origin's sequence are ignored: peers send them again.
func (r *Replica) Restore(records *wirepb.TallyRecords) { r.set.Merge(records) }

// ConfirmRestored reports that the restored records are durable: an earlier incarnation may have written them
// without a sync.
func (r *Replica) ConfirmRestored(restored Vector) {
	r.advanceTime()
	r.durable.advance(restored)
}

// Vector returns the version vector of the records that the replica holds.
func (r *Replica) Vector() Vector { return r.set.Vector() }

// SetPeers names the internal addresses of the cores to replicate to.
func (r *Replica) SetPeers(addresses []string) {
	r.peerAddresses = addresses
	r.peersNamed = true
	for _, address := range addresses {
		r.peerAt(address)
	}
	for address, p := range r.peers {
		if r.active-p.lastContact > peerRetention && !slices.Contains(addresses, address) {
			delete(r.peers, address)
		}
	}
}

// Tick does the periodic work.
func (r *Replica) Tick() {
	r.advanceTime()
	if r.active >= r.nextStateAt {
		r.nextStateAt = r.active + stateInterval
		r.broadcast(r.stateMessage())
	}
	r.updateLateness()
	r.pullMissing()
	r.completeAdds()
	if r.shuttingDown && r.handover == nil && r.active-r.shutdownAt >= announceTime {
		r.handover = r.set.Vector()
	}
}

// Flush sends the adds that were recorded since the last call, and has them written.
func (r *Replica) Flush() {
	if len(r.unsent) == 0 {
		return
	}
	last := r.set.Sequence(r.options.Incarnation)
	records := &wirepb.TallyRecords{
		Origin: r.options.Incarnation, First: last + 1 - uint64(len(r.unsent)), Adds: r.unsent,
	}
	r.unsent = nil
	r.sent = append(r.sent, sendTime{sequence: last, at: r.active})
	r.write([]*wirepb.TallyRecords{records}, r.completeAdds)
	push := r.message(wirepb.TallyMessageKind_TALLY_PUSH)
	push.Records = []*wirepb.TallyRecords{records}
	r.broadcast(push)
}

// advanceTime advances the active time. A longer gap means that the process was stalled, and that whatever
// its peers sent meanwhile has not been handled yet.
func (r *Replica) advanceTime() {
	now := r.options.Clock()
	r.active += min(now-r.lastTime, maxActiveTimeGap)
	r.lastTime = now
	for len(r.sent) > 0 && r.active-r.sent[0].at >= confirmTimeout {
		r.overdue = r.sent[0].sequence
		r.sent = r.sent[1:]
	}
}

// write makes records durable, advances the durable vector and calls done.
func (r *Replica) write(records []*wirepb.TallyRecords, done func()) {
	written := Vector{}
	for _, part := range records {
		written[part.Origin] = part.First + uint64(len(part.Adds)) - 1
	}
	r.environment.Append(records, func() {
		r.advanceTime()
		r.durable.advance(written)
		done()
	})
}

// message returns a message of this replica.
func (r *Replica) message(kind wirepb.TallyMessageKind) *wirepb.TallyMessage {
	return &wirepb.TallyMessage{
		Kind: kind, Address: r.options.Address, Zone: r.options.Zone, Incarnation: r.options.Incarnation,
		ShuttingDown: r.shuttingDown,
	}
}

// stateMessage returns a message with the complete vectors.
func (r *Replica) stateMessage() *wirepb.TallyMessage {
	state := r.message(wirepb.TallyMessageKind_TALLY_STATE)
	state.Received = vectorMessage(r.set.Vector())
	state.Durable = vectorMessage(r.durable)
	return state
}

// vectorMessage returns the message of a vector, which may change afterwards.
func vectorMessage(vector Vector) *wirepb.VersionVector {
	return &wirepb.VersionVector{Sequences: maps.Clone(vector)}
}

// broadcast sends a message to all listed peers.
func (r *Replica) broadcast(message *wirepb.TallyMessage) {
	for _, address := range r.peerAddresses {
		r.environment.Send(address, message)
	}
}

// BeginShutdown begins the graceful shutdown: adds are refused from now on, and the peers take over what this
// replica holds. The caller goes on running it until SafeToStop.
func (r *Replica) BeginShutdown() {
	r.advanceTime()
	if r.shuttingDown {
		return
	}
	r.shuttingDown = true
	r.shutdownAt = r.active
	r.broadcast(r.stateMessage())
}

// SafeToStop reports whether enough other cores have on their disks what may depend on this replica's, or no
// time is left to wait for them. Those are its own records, and what it held when the peers had learnt that
// its copies count no more: later records of others do not depend on it.
func (r *Replica) SafeToStop() bool {
	if r.active-r.shutdownAt > r.options.ShutdownLimit {
		return true
	}
	if r.handover == nil || len(r.pending) > 0 {
		return false
	}
	handover := maps.Clone(r.handover)
	handover.advance(Vector{r.options.Incarnation: r.set.Sequence(r.options.Incarnation)})
	holding, waiting := 0, 0
	for _, p := range r.peers {
		switch {
		case p.shuttingDown || !r.isActive(p):
		case p.durable.covers(handover):
			holding++
		default:
			waiting++
		}
	}
	return waiting == 0 || holding >= r.options.RequiredCopies
}
