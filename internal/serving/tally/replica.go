package tally

import (
	"maps"
	"slices"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// Times of a replica. All are measured in its active time, which does not advance while the process is
// stalled.
const (
	stateInterval    = 250 * time.Millisecond  // interval of the state messages to the peers
	contactTimeout   = 750 * time.Millisecond  // a peer that has sent nothing for this long is late
	confirmTimeout   = 400 * time.Millisecond  // a peer that takes longer to make a record durable is late
	giveUpTimeout    = 1200 * time.Millisecond // a peer that has been late for this long is given up
	pullTimeout      = 400 * time.Millisecond  // if a pull is not answered in this time, another is sent
	pullDelay        = 150 * time.Millisecond  // missing records are not pulled earlier: they may be in flight
	answerTimeout    = 800 * time.Millisecond  // an add is then answered with Unknown: callers wait for 1 s
	startGrace       = 2 * time.Second         // for this long after a start, adds need RequiredCopies
	readGrace        = 2500 * time.Millisecond // for this long after a start, reads wait for silent peers
	catchUpLimit     = 10 * time.Second        // for this long after a start, reads wait for catch-up
	maxLag           = 1500 * time.Millisecond // reads are refused if a peer's records are missing for longer
	announceTime     = 400 * time.Millisecond  // time for the peers to learn of a shutdown
	maxMessageDelay  = 2 * time.Second         // for this long, a previous incarnation's messages are dropped
	peerRetention    = 30 * time.Second        // an unlisted peer is removed this long after its last message
	maxActiveTimeGap = 100 * time.Millisecond  // most by which the active time advances between two calls
)

// Limits of a replica.
const (
	maxPendingAdds = 2000      // adds that wait for durable copies
	maxUnsentAdds  = 64        // adds that wait for Flush; Add calls it at this number
	maxSetBytes    = 140 << 20 // of memory for all records; at this size new adds are refused
	maxBatchBytes  = 128 << 10 // of records in the answer to a pull, approximately
)

// Options configure a replica.
type Options struct {
	Incarnation    string // unique to this run of the process: the origin of the adds that it records
	Address        string // where other cores reach it, IP:PORT
	Zone           string
	RequiredCopies int           // durable copies before an add is acknowledged, while enough cores respond
	RequiredZones  int           // number of zones that those copies have to be in
	ShutdownLimit  time.Duration // after BeginShutdown, until SafeToStop no longer waits for peers
	Clock          func() time.Duration
}

// Environment sends messages and writes the log for a replica. Its methods are called on the replica's
// goroutine and do not block.
type Environment interface {
	// Send sends a message to the core at an internal address. The message may be lost.
	Send(address string, message *wirepb.TallyMessage)
	// Append makes records durable after all earlier ones, and then calls done on the replica's goroutine.
	Append(records []*wirepb.TallyRecords, done func())
}

// Replica is one core's replica of all tallies. All methods must be called on one goroutine. The caller
// calls Tick periodically, and Flush after each group of other calls. A replica's own records are those
// with its Incarnation as their origin.
type Replica struct {
	options       Options
	environment   Environment
	set           *Set
	durable       Vector // records of the set that are on this core's disk
	peers         map[string]*peer
	peerAddresses []string // addresses of the cores to replicate to, set by SetPeers
	peersSet      bool     // SetPeers has been called

	lastTime    time.Duration // reading of the clock when the active time was last advanced
	active      time.Duration // time since the start, without stalls of the process
	nextStateAt time.Duration // active time at which the next state message is due

	pending      []pendingAdd
	unsent       []*wirepb.TallyAdd // own records that Flush will send and write
	sent         []sendTime         // send times of the own records after overdue
	overdue      uint64             // own records up to this sequence number were sent confirmTimeout ago
	pullSentAt   time.Duration      // time of the last pull
	pulledFrom   string             // address of the peer that the last pull was sent to
	pullPending  bool               // the last pull has not been answered
	shuttingDown bool
	shutdownAt   time.Duration // when the shutdown began
	handover     Vector        // records held announceTime after the shutdown began; nil before
}

// NewReplica returns a replica without records. The caller passes those on its disk to Restore.
func NewReplica(options Options, environment Environment) *Replica {
	return &Replica{
		options: options, environment: environment, set: NewSet(), durable: Vector{}, peers: map[string]*peer{},
		lastTime: options.Clock(),
	}
}

// Restore merges records that earlier incarnations have written. It is called in the order of each origin's
// sequence. Records that follow a gap in that sequence are ignored; peers send them again.
func (r *Replica) Restore(records *wirepb.TallyRecords) { r.set.Merge(records) }

// ConfirmRestored reports that the restored records are durable. They do not count as durable before,
// because an earlier incarnation may have written them without a sync.
func (r *Replica) ConfirmRestored(restored Vector) {
	r.advanceTime()
	r.durable.advance(restored)
}

// Vector returns the version vector of the records that the replica holds.
func (r *Replica) Vector() Vector { return r.set.Vector() }

// SetPeers sets the internal addresses of the cores to replicate to. A peer that is no longer listed is
// removed once its last message is older than peerRetention.
func (r *Replica) SetPeers(addresses []string) {
	r.peerAddresses = addresses
	r.peersSet = true
	for _, address := range addresses {
		r.peerAt(address)
	}
	for address, p := range r.peers {
		if r.active-p.lastContact > peerRetention && !slices.Contains(addresses, address) {
			delete(r.peers, address)
		}
	}
}

// Tick does the periodic work: it sends the state, pulls missing records and completes adds.
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

// Flush sends the adds that were recorded since the last call to the peers, and writes them to the log.
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

// advanceTime advances the active time, by at most maxActiveTimeGap. A longer gap between two calls means
// that the process was stalled and has not yet handled the messages that its peers sent meanwhile.
func (r *Replica) advanceTime() {
	now := r.options.Clock()
	r.active += min(now-r.lastTime, maxActiveTimeGap)
	r.lastTime = now
	for len(r.sent) > 0 && r.active-r.sent[0].at >= confirmTimeout {
		r.overdue = r.sent[0].sequence
		r.sent = r.sent[1:]
	}
}

// write makes records durable, then advances the durable vector and calls done.
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

// message returns a message in which only the kind and the fields about the sender are set.
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

// vectorMessage returns a message with a copy of a vector, because the vector may change afterwards.
func vectorMessage(vector Vector) *wirepb.VersionVector {
	return &wirepb.VersionVector{Sequences: maps.Clone(vector)}
}

// broadcast sends a message to all listed peers.
func (r *Replica) broadcast(message *wirepb.TallyMessage) {
	for _, address := range r.peerAddresses {
		r.environment.Send(address, message)
	}
}

// BeginShutdown begins the graceful shutdown: new adds are refused from now on, and peers make the records
// of this replica durable. The caller keeps the replica running until SafeToStop returns true.
func (r *Replica) BeginShutdown() {
	r.advanceTime()
	if r.shuttingDown {
		return
	}
	r.shuttingDown = true
	r.shutdownAt = r.active
	r.broadcast(r.stateMessage())
}

// SafeToStop reports whether enough other cores have made durable all records that may depend on this
// replica's disk, or ShutdownLimit has passed. These records are its own, and those that it held when its
// peers had learnt that its copies no longer count: later records of other origins do not depend on it.
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
