// Package raftlog is one daemon's part in a replicated log: the library go.etcd.io/raft/v3 with its log in
// go.etcd.io/bbolt, messages between daemons over HTTP, and the identity of disks. What the entries mean is a
// Machine's to say.
package raftlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"willowdeck/internal/bootclock"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	// Form is the version of what daemons say to each other. Another one is refused.
	ProtocolVersion = 1

	maxMessageBytes        = 32 << 20                // bytes of a message: a snapshot of ten of the longest rules
	maxEntryBytes          = 2 << 20                 // bytes of an entry: 10,000 members and 4,096 words are half of it
	maxQueuedMessages      = 512                     // messages that wait for one daemon: seconds of them
	maxConcurrentRequests  = 32                      // posts that are read at once, from all daemons
	maxInboundBatches      = 256                     // posts that wait for the log
	maxPeerSeqs            = 64                      // disks whose writes are remembered
	maxRequestedReads      = 16                      // that are under way
	maxRemovedMembers      = 64                      // disks remembered as members once
	requestTimeout         = time.Second             // for one post: longer than it takes a leader to be missed
	retainedEntries        = 64                      // entries kept before a snapshot
	maxUnappliedEntries    = 32                      // entries under way, before more are proposed
	defaultSnapshotEntries = 256                     // entries applied between two snapshots
	storeReopenDelay       = 2 * time.Second         // pause before a store that failed is opened again
	peerReportsTimeout     = 1500 * time.Millisecond // a disk waits so long for all others to say what they heard of it
	livenessWindow         = 2 * time.Second         // a disk heard of within it is not replaced by another
	defaultTickInterval    = 50 * time.Millisecond   // the library's unit of time
	defaultHelloInterval   = 250 * time.Millisecond  // hellos
	electionTicks          = 8                       // a leader is missed after 400 to 800 ms
	heartbeatTicks         = 1
)

// Host is one daemon of the council.
type Host struct{ Name, Address string }

// Charter is what a daemon's file says of the council. Fields that are zero take their usual values.
type Config struct {
	Cluster          string            // the council's name, the same at all its daemons
	HostName         string            // this daemon's name among the hosts
	Listen           string            // HOST:PORT for the others
	StorePath        string            // the file of its log
	Hosts            []Host            // all of them
	AddressOverrides map[string]string // address that is used in place of a host's
	Bootstrap        bool              // a council is founded, once all hosts are there and have nothing of any
	HelloInterval    time.Duration     // between two hellos
	TickInterval     time.Duration     // the library's unit of time
	SnapshotEntries  uint64            // entries between two snapshots

	writeFault func() error          // for tests: what the disk says to a write
	sendFault  func(to string) error // for tests: what becomes of a post to an address
}

// Machine is what the log is about. Its methods are called from one goroutine, and may not wait.
type StateMachine interface {
	// Apply takes an entry. All daemons' machines take the same ones in the same order. After an error this
	// one can't go on: the daemon has no voice in the council any more.
	Apply(data []byte) error
	// Save gives all state that Apply has made, and Load takes it in its place; nothing is the state at first.
	Snapshot() ([]byte, error)
	Restore([]byte) error
	// Turn is called each time something may have changed, at least once a tick.
	Poll(GroupState) Requests
	// Read tells that all that had been decided at begun, ms of Clock's, has been applied.
	ReadConfirmed(begun float64)
}

// Clock is the time by which reads are aged, ms: it goes on while the process stands still and the machine
// sleeps, as the clocks of the gatekeepers do that count what they are told from it.
func BootClockMillis() float64 { return float64(bootclock.Nanos()) / 1e6 }

// Wish is what a Machine wants done.
type Requests struct {
	ReadIndex bool     // what is the latest, as of now; it may be lost
	Proposals [][]byte // entries, which may be lost
}

// Turn is how things stand for a Machine.
type GroupState struct {
	Now        time.Time
	IsLeader   bool
	Term       uint64
	LeaderName string // its name, if there is one that is known
	IsVoter    bool   // this daemon has a vote
}

// Council is one daemon's part.
type Node struct {
	config           Config
	log              zerolog.Logger
	stateMachine     StateMachine
	client           http.Client
	server           *http.Server
	address          string
	inbound          chan inboundBatch
	requestSlots     chan struct{} // for posts that are being taken in
	calls            chan func(*session)
	cancel           context.CancelFunc
	ctx              context.Context
	goroutines       sync.WaitGroup
	rejections       rejectionCounters
	hosts            atomic.Pointer[[]Host]
	addressOverrides atomic.Pointer[map[string]string]
	writeSeq         atomic.Uint64
	discoveryIndex   atomic.Int64 // of discovery's list, told to the others
	published        atomic.Pointer[publishedState]
	currentStore     atomic.Pointer[store]

	mu          sync.Mutex            // of what follows
	peers       map[string]*peerState // by name
	state       string
	stateReason string
	movedAside  map[string]int // disks moved aside, by reason
}

// who is what a daemon makes known of itself; replaced whole.
type publishedState struct {
	ID           uint64
	GroupID      string
	Blank        bool
	IsVoter      bool
	LeaderName   string
	LeaderID     uint64
	Term         uint64
	AppliedIndex uint64
	removed      map[string]bool
	members      map[uint64]string
}

// peer is what is known of another host.
type peerState struct {
	messageHeader
	lastResponse    *response
	lastContact     time.Time
	sendErrors      int64
	lastError       string
	diskLastContact map[string]time.Time // when each of its disks was last heard of
}

type inboundBatch struct {
	groupID    string
	fromDiskID uint64
	writeSeq   uint64
	messages   []raftpb.Message
}

type sendResult struct {
	diskID   uint64
	snapshot bool
	err      error
}

// New opens a daemon's part and starts it. It returns an error for what no wait can mend: an address that is
// taken, a store that is another's. A store that fails later ends its voice until it can be opened again.
func New(ch Config, m StateMachine, log zerolog.Logger) (*Node, error) {
	for _, d := range []struct {
		at    *time.Duration
		usual time.Duration
	}{{&ch.TickInterval, defaultTickInterval}, {&ch.HelloInterval, defaultHelloInterval}} {
		if *d.at <= 0 {
			*d.at = d.usual
		}
	}
	if ch.SnapshotEntries == 0 {
		ch.SnapshotEntries = defaultSnapshotEntries
	}
	s, aside, why, err := openStore(ch.StorePath, ch.HostName)
	if err != nil {
		return nil, fmt.Errorf("council.store: %w", err)
	}
	l, err := listen(ch.Listen)
	if err != nil {
		s.close()
		return nil, fmt.Errorf("council.listen: %w", err)
	}
	c := &Node{config: ch, log: log, stateMachine: m, address: l.Addr().String(),
		inbound:      make(chan inboundBatch, maxInboundBatches),
		requestSlots: make(chan struct{}, maxConcurrentRequests),
		calls: make(chan func(*session),
			maxInboundBatches), peers: map[string]*peerState{}, movedAside: map[string]int{},
		client: http.Client{Transport: &http.Transport{MaxConnsPerHost: 4, MaxIdleConnsPerHost: 4,
			IdleConnTimeout: 30 * time.Second}}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.SetHosts(ch.Hosts, ch.AddressOverrides)
	c.recordCorruptStore(aside, why)
	c.server = &http.Server{Handler: c.handler(), ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 8192}
	c.goroutines.Add(3)
	go func() {
		defer c.goroutines.Done()
		_ = c.server.Serve(l)
	}()
	go c.helloLoop(c.ctx)
	go c.runSessions(s)
	return c, nil
}

// At is the address that it listens at.
func (c *Node) Address() string { return c.address }

// Hosts takes up which hosts there are and where they are reached.
func (c *Node) SetHosts(all []Host, reach map[string]string) {
	c.hosts.Store(&all)
	c.addressOverrides.Store(&reach)
}

// Close ends it and waits for all of its goroutines.
func (c *Node) Close() {
	c.cancel()
	_ = c.server.Close()
	c.goroutines.Wait()
	c.client.CloseIdleConnections()
}

func (c *Node) hostAddress(name string) string {
	for _, h := range *c.hosts.Load() {
		if h.Name == name {
			return h.Address
		}
	}
	return ""
}

// reached is where a host is spoken to from here.
func (c *Node) dialAddress(name string) string {
	a := c.hostAddress(name)
	if to := (*c.addressOverrides.Load())[a]; to != "" {
		return to
	}
	return a
}

func (c *Node) hostName(id uint64) string {
	if me := c.published.Load(); me != nil && me.members[id] != "" {
		return me.members[id]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.peers {
		if p.DiskID == formatDiskID(id) {
			return name
		}
	}
	return ""
}

func (c *Node) peerState(name string) *peerState {
	p := c.peers[name]
	if p == nil {
		p = &peerState{diskLastContact: map[string]time.Time{}}
		c.peers[name] = p
	}
	return p
}

// heardFrom books that a host has spoken.
func (c *Node) recordContact(name string, id uint64, h messageHeader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peerState(name)
	now := time.Now()
	if len(p.diskLastContact) > maxRemovedMembers {
		clear(p.diskLastContact)
	}
	p.diskLastContact[formatDiskID(id)] = now
	hosts := p.Hosts
	if p.messageHeader = h; p.Hosts == nil {
		p.Hosts = hosts
	}
	p.lastContact = now
}

// answered books an answer, and gives up a disk of which others know more than it does itself.
func (c *Node) handleResponse(r *response) {
	id, err := parseDiskID(r.DiskID)
	if err != nil { // it has no disk yet
		return
	}
	c.recordContact(r.HostName, id, r.messageHeader)
	c.mu.Lock()
	p := c.peerState(r.HostName)
	p.lastResponse, p.lastError = r, ""
	c.mu.Unlock()
	if s := c.currentStore.Load(); s != nil {
		s.recordPeerSeq(id, r.WriteSeq)
	}
	me := c.published.Load()
	if me == nil || r.ForDiskID != formatDiskID(me.ID) {
		return
	}
	var why error
	switch {
	case r.HighestWriteSeq > c.writeSeq.Load():
		why = fmt.Errorf("%w: %s has heard of its write %d, the disk has %d", errStaleDisk, r.HostName,
			r.HighestWriteSeq, c.writeSeq.Load())
	case r.Removed:
		why = fmt.Errorf("%w: %s says so", errRemovedMember, r.HostName)
	default:
		return
	}
	c.enqueue(func(v *session) {
		if formatDiskID(v.store.identity.diskID()) == r.ForDiskID {
			v.fail(why)
		}
	})
}

func (c *Node) recordSendError(name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peerState(name)
	p.sendErrors++
	p.lastError = err.Error()
}

// call has the log's goroutine do something. It does not wait; false where there is no room.
func (c *Node) enqueue(f func(*session)) bool {
	select {
	case c.calls <- f:
		return true
	default:
		return false
	}
}

func (c *Node) reportSend(s sendResult) {
	c.enqueue(func(v *session) {
		if v.rawNode == nil {
			return
		}
		if s.err != nil {
			v.rawNode.ReportUnreachable(s.diskID)
		}
		if s.snapshot {
			status := raft.SnapshotFinish
			if s.err != nil {
				status = raft.SnapshotFailure
			}
			v.rawNode.ReportSnapshot(s.diskID, status)
		}
	})
}

// Propose puts an entry to the council; what becomes of it is the Machine's to see, and it may be lost. An
// error says why it can't be.
func (c *Node) Propose(data []byte) error {
	if len(data) > maxEntryBytes {
		return fmt.Errorf("an entry of %d bytes, more than %d", len(data), maxEntryBytes)
	}
	if !c.enqueue(func(v *session) { v.propose(data) }) {
		return errors.New("more is proposed than can be taken in")
	}
	return nil
}

var (
	errStaleDisk     = errors.New("an old disk")
	errRemovedMember = errors.New("a member no more")
)

func (c *Node) recordCorruptStore(aside string, why error) {
	if aside == "" {
		return
	}
	c.mu.Lock()
	c.movedAside["torn"]++
	c.mu.Unlock()
	c.log.Error().Err(why).Str("aside", aside).Msg("store spoilt: moved aside, this daemon joins anew")
}

func (c *Node) setState(state string, why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != state {
		c.log.Info().Str("was", c.state).AnErr("why", why).Msg("council: " + state)
	}
	c.state, c.stateReason = state, ""
	if why != nil {
		c.stateReason = why.Error()
	}
}

// keep lives one life after another: each with the disk as it is then.
func (c *Node) runSessions(s *store) {
	defer c.goroutines.Done()
	for {
		var err error
		if s != nil {
			err = c.runSession(s)
			s.close()
			s = nil
		}
		if c.ctx.Err() != nil {
			return
		}
		reason := ""
		switch {
		case errors.Is(err, errStaleDisk):
			reason = "old"
		case errors.Is(err, errRemovedMember):
			reason = "gone"
		}
		if reason != "" {
			aside, moved := moveAside(c.config.StorePath, reason)
			c.mu.Lock()
			c.movedAside[reason]++
			c.mu.Unlock()
			c.log.Error().Err(err).Str("aside", aside).AnErr("moved", moved).Msg("disk given up")
		} else {
			if err != nil {
				c.setState("mute", err)
				c.log.Error().Err(err).Msg("store failed: no voice in the council until it can be written")
			}
			select {
			case <-c.ctx.Done():
				return
			case <-time.After(storeReopenDelay):
			}
		}
		var aside string
		var why error
		if s, aside, why, err = openStore(c.config.StorePath, c.config.HostName); err != nil {
			c.setState("mute", err)
		}
		c.recordCorruptStore(aside, why)
	}
}

// life is one disk's time in the council, all of it one goroutine's.
type session struct {
	node                *Node
	ctx                 context.Context
	store               *store
	rawNode             *raft.RawNode
	goroutines          sync.WaitGroup
	sendQueues          map[uint64]*sendQueue
	members             map[uint64]string
	removed             []uint64
	confState           raftpb.ConfState
	appliedIndex        uint64
	snapshotIndex       uint64
	leaderID            uint64
	requestedReads      map[uint64]float64
	lastReadID          uint64
	readDue             bool // a read is due
	membershipChanged   bool // who the members are has changed since the last snapshot
	failure             error
	startedAt           time.Time
	lastMembershipCheck time.Time // when it last asked to be a member, or saw to it who is one
	lastPeerSeqsSave    time.Time // when what is heard was last written
	confirmedReads      []pendingRead
}

// pending is a read that waits for entries to be applied.
type pendingRead struct {
	index       uint64
	startMillis float64
}

func (v *session) fail(err error) {
	if v.failure == nil {
		v.failure = err
	}
}

// live takes part with one disk until that fails, is given up, or the daemon ends.
func (c *Node) runSession(s *store) (err error) {
	ctx, end := context.WithCancel(c.ctx)
	v := &session{node: c, ctx: ctx, store: s, sendQueues: map[uint64]*sendQueue{}, members: map[uint64]string{},
		requestedReads: map[uint64]float64{}, startedAt: time.Now()}
	// Others hold questions by their numbers, and answers to those of a former life may still be on the way.
	v.lastReadID = randomUint64()
	s.writeFault = c.config.writeFault
	c.writeSeq.Store(s.writeSeq)
	c.currentStore.Store(s)
	defer func() {
		c.currentStore.Store(nil)
		c.published.Store(nil)
		end()
		v.goroutines.Wait()
	}()
	defer func() {
		if p := recover(); p != nil {
			if err = fmt.Errorf("the log: %v", p); strings.Contains(err.Error(), "tocommit") {
				err = fmt.Errorf("%w: %v", errStaleDisk, p) // it denies what it has acknowledged
			}
		}
	}()
	if err := v.restoreFromStore(); err != nil {
		return err
	}
	v.publish()
	c.setState("waiting", errors.New("for the others to say what they have heard of this disk"))
	if !v.waitUntil(v.peerReportsComplete) {
		return v.failure
	}
	return v.run()
}

// load takes up what the disk has.
func (v *session) restoreFromStore() error {
	snap, err := v.store.memory.Snapshot()
	if err != nil {
		return err
	}
	return v.restoreSnapshot(snap)
}

// kept is the council's own part of a snapshot.
type snapshotData struct {
	Members      map[uint64]string `json:"members"`
	Removed      []uint64          `json:"gone"`
	StateMachine json.RawMessage   `json:"machine"`
}

func (v *session) restoreSnapshot(snap raftpb.Snapshot) error {
	k := snapshotData{Members: map[uint64]string{}}
	if !raft.IsEmptySnap(snap) {
		if err := json.Unmarshal(snap.Data, &k); err != nil {
			return fmt.Errorf("%w: snapshot: %w", errCorruptStore, err)
		}
	}
	if err := v.node.stateMachine.Restore(k.StateMachine); err != nil {
		return fmt.Errorf("%w: snapshot: %w", errCorruptStore, err)
	}
	v.members, v.removed, v.confState = k.Members, k.Removed, snap.Metadata.ConfState
	v.appliedIndex, v.snapshotIndex = snap.Metadata.Index, snap.Metadata.Index
	return nil
}

func (v *session) encodeSnapshot() ([]byte, error) {
	m, err := v.node.stateMachine.Snapshot()
	if err != nil {
		return nil, err
	}
	return json.Marshal(snapshotData{Members: v.members, Removed: v.removed, StateMachine: m})
}

// tell makes known how things stand.
func (v *session) publish() {
	w := &publishedState{ID: v.store.identity.diskID(), GroupID: v.store.identity.GroupID,
		Blank: v.store.isBlank(), AppliedIndex: v.appliedIndex,
		removed: map[string]bool{}, members: map[uint64]string{}}
	for _, id := range v.removed {
		w.removed[formatDiskID(id)] = true
	}
	for id, name := range v.members {
		w.members[id] = name
	}
	w.IsVoter = slices.Contains(v.confState.Voters, w.ID)
	if v.rawNode != nil {
		st := v.rawNode.BasicStatus()
		w.LeaderID, w.Term, w.LeaderName = st.Lead, st.Term, v.members[st.Lead]
	}
	v.node.writeSeq.Store(v.store.writeSeq)
	v.node.published.Store(w)
}

// until does what is asked of it until something is so; false where the life has ended first.
func (v *session) waitUntil(so func() bool) bool {
	t := time.NewTicker(v.node.config.TickInterval)
	defer t.Stop()
	for !so() {
		select {
		case <-v.ctx.Done():
			return false
		case f := <-v.node.calls:
			f(v)
		case <-v.node.inbound: // it has no part yet
		case <-t.C:
		}
		if v.failure != nil {
			return false
		}
		v.node.stateMachine.Poll(GroupState{Now: time.Now()})
	}
	return true
}

// heardEnough tells that what others know of this disk has come: of all, or of most after a while. A disk of
// an earlier day would else vote a second time, or deny what it has acknowledged.
func (v *session) peerReportsComplete() bool {
	c := v.node
	hosts, me := *c.hosts.Load(), formatDiskID(v.store.identity.diskID())
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 1
	for _, h := range hosts {
		if p := c.peers[h.Name]; h.Name != c.config.HostName && p != nil && p.lastResponse != nil &&
			p.lastResponse.ForDiskID == me {
			n++
		}
	}
	return n >= len(hosts) || n > len(hosts)/2 && time.Since(v.startedAt) > peerReportsTimeout
}
