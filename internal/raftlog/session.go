package raftlog

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const maxInflightMessages = 64 // appends in flight to one follower

// Why a store may not take part any more.
var (
	errStaleDisk     = errors.New("stale disk")
	errRemovedMember = errors.New("removed from the group")
)

// session is the part that one open store takes in the group. Its goroutine alone touches it.
type session struct {
	node       *Node
	ctx        context.Context // ends with the session
	store      *store
	writer     *storeWriter
	results    chan storeResult // of the writer
	rawNode    *raft.RawNode    // nil until the peers have reported on this disk
	goroutines sync.WaitGroup
	sendQueues map[uint64]*sendQueue // by the peer's disk ID

	members       map[uint64]string // host names by disk ID
	removed       []uint64          // disks that were members, the latest last
	confState     raftpb.ConfState
	appliedIndex  uint64
	snapshotIndex uint64
	lastIndex     uint64 // of the log, with entries that are still being written
	leaderID      uint64 // as of the last update; 0: none

	lastReadID     uint64
	requestedReads map[uint64]float64 // by read ID: when it was requested, ms of BootClockMillis
	confirmedReads []pendingRead
	readDue        bool // the leader changed: the reads it did not confirm are lost

	membershipChanged   bool  // since the last snapshot
	failure             error // ends the session at its next turn
	startedAt           time.Time
	lastMembershipCheck time.Time
	lastPeerSeqsSave    time.Time
	savingPeerSeqs      bool // a write of them is in progress
}

// publishedState is what other goroutines see of a session; immutable.
type publishedState struct {
	diskID       uint64
	groupID      string
	isBlank      bool // the store belongs to no group yet
	isVoter      bool
	leaderName   string
	term         uint64
	appliedIndex uint64
	removed      map[string]bool   // by disk ID in hex
	members      map[uint64]string // host names by disk ID
}

// fail ends the session with an error; the first one counts.
func (s *session) fail(err error) {
	if s.failure == nil {
		s.failure = err
	}
}

// runSession takes part in the group with one store until that fails, may not take part any more, or the
// node is closed.
func (n *Node) runSession(st *store) (err error) {
	ctx, cancel := context.WithCancel(n.ctx)
	s := &session{node: n, ctx: ctx, store: st, sendQueues: map[uint64]*sendQueue{},
		members: map[uint64]string{}, requestedReads: map[uint64]float64{}, startedAt: time.Now()}
	// A leader keeps reads by their IDs, and responses to those of an earlier session may still be in flight.
	s.lastReadID = randomUint64()
	st.writeFault = n.config.writeFault
	s.lastIndex, _ = st.memory.LastIndex() // the memory storage has no error
	s.writer, s.results = newStoreWriter(st), make(chan storeResult)
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		s.writer.run(ctx.Done(), s.results)
	}()
	n.writeSeq.Store(st.writeSeq.Load())
	n.currentStore.Store(st)
	defer func() {
		n.currentStore.Store(nil)
		n.published.Store(nil)
		cancel()
		s.goroutines.Wait()
	}()
	defer func() {
		if p := recover(); p != nil {
			if err = fmt.Errorf("raft: %v", p); strings.Contains(err.Error(), "tocommit") {
				err = fmt.Errorf("%w: %v", errStaleDisk, p) // it lacks entries that it has acknowledged
			}
		}
	}()
	if err := s.restoreFromStore(); err != nil {
		return err
	}
	s.publish()
	n.setState(StateWaiting, errors.New("for the peers to report what they have seen of this disk"))
	if !s.waitUntil(s.peerReportsComplete) {
		return s.failure
	}
	return s.run()
}

// publish makes the session's state visible to other goroutines.
func (s *session) publish() {
	published := &publishedState{diskID: s.store.diskID(), groupID: s.store.groupID(),
		isBlank: s.store.isBlank(), appliedIndex: s.appliedIndex,
		removed: map[string]bool{}, members: map[uint64]string{}}
	for _, id := range s.removed {
		published.removed[formatDiskID(id)] = true
	}
	for id, name := range s.members {
		published.members[id] = name
	}
	published.isVoter = slices.Contains(s.confState.Voters, published.diskID)
	if s.rawNode != nil {
		status := s.rawNode.BasicStatus()
		published.term, published.leaderName = status.Term, s.members[status.Lead]
	}
	s.node.writeSeq.Store(s.store.writeSeq.Load())
	s.node.published.Store(published)
}

// waitUntil serves calls until a condition holds, and drops raft messages meanwhile. It returns false when
// the session ends first.
func (s *session) waitUntil(condition func() bool) bool {
	ticker := time.NewTicker(s.node.config.TickInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-s.ctx.Done():
			return false
		case call := <-s.node.calls:
			call(s)
		case <-s.node.inbound:
		case <-ticker.C:
		}
		if s.failure != nil {
			return false
		}
		s.node.stateMachine.Poll(GroupState{Now: time.Now()})
	}
	return true
}

// peerReportsComplete tells whether the peers have reported what they have seen of this disk: all of them,
// or most after peerReportsTimeout. A stale copy of a disk could else vote a second time in a term, or lack
// entries that it has acknowledged.
func (s *session) peerReportsComplete() bool {
	n := s.node
	hosts, diskID := *n.hosts.Load(), formatDiskID(s.store.diskID())
	n.mu.Lock()
	defer n.mu.Unlock()
	reports := 1 // its own
	for _, host := range hosts {
		peer := n.peers[host.Name]
		if host.Name != n.config.HostName && peer != nil && peer.lastResponse != nil &&
			peer.lastResponse.ForDiskID == diskID {
			reports++
		}
	}
	return reports >= len(hosts) || reports > len(hosts)/2 && time.Since(s.startedAt) > peerReportsTimeout
}

// raftLogWriter passes the raft library's log on at debug level.
type raftLogWriter struct{ log zerolog.Logger }

// Write logs one line.
func (w raftLogWriter) Write(p []byte) (int, error) {
	w.log.Debug().Msg(string(bytes.TrimSpace(p)))
	return len(p), nil
}

// newRawNode creates the raft state machine from what the store holds.
func (s *session) newRawNode() (*raft.RawNode, error) {
	return raft.NewRawNode(&raft.Config{
		ID:                        s.store.diskID(),
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   s.store.memory,
		Applied:                   s.appliedIndex,
		MaxSizePerMsg:             maxEntryBytes,
		MaxCommittedSizePerReady:  4 * maxEntryBytes,
		MaxUncommittedEntriesSize: 4 * maxEntryBytes,
		MaxInflightMsgs:           maxInflightMessages,
		AsyncStorageWrites:        true,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		StepDownOnRemoval:         true,
		Logger:                    &raft.DefaultLogger{Logger: log.New(raftLogWriter{s.node.log}, "", 0)},
	})
}
