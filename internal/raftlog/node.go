package raftlog

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3"
)

const (
	serverReadTimeout  = 5 * time.Second
	serverWriteTimeout = 5 * time.Second
	serverIdleTimeout  = time.Minute
	maxHeaderBytes     = 8192

	maxPeerConnections = 4 // to each peer, open and idle
	clientIdleTimeout  = 30 * time.Second
)

// Node is a daemon's replica of the log. It opens the store, runs a session on it, and starts over with the
// store that is there then when a session ends. It is safe for concurrent use; only Close waits.
type Node struct {
	config       Config
	log          zerolog.Logger
	stateMachine StateMachine
	client       http.Client
	server       *http.Server
	address      string
	inbound      chan inboundBatch   // raft messages from peers, for the session
	calls        chan func(*session) // what else the session's goroutine does
	requestSlots chan struct{}       // one for each request that is being handled
	ctx          context.Context     // ends with Close
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	rejections   rejectionCounters

	hosts            atomic.Pointer[[]Host]
	addressOverrides atomic.Pointer[map[string]string]
	writeSeq         atomic.Uint64                  // of the open store, as of the last publish
	discoveryIndex   atomic.Int64                   // the highest discovery index here, sent to peers
	published        atomic.Pointer[publishedState] // nil between sessions
	currentStore     atomic.Pointer[store]          // nil between sessions

	mu          sync.Mutex            // guards the fields below
	peers       map[string]*peerState // by host name
	state       string                // one of the State constants
	stateReason string
	movedAside  map[string]int // stores moved aside, by reason
}

// New opens a daemon's replica and starts it. It returns an error for what waiting does not cure: an
// address in use, or a store that is locked or another host's. When the store fails later, the node is mute
// until the store can be opened again.
func New(config Config, machine StateMachine, log zerolog.Logger) (*Node, error) {
	config = config.withDefaults()
	opened, err := openStore(config.StorePath, config.HostName)
	if err != nil {
		return nil, fmt.Errorf("council.store: %w", err)
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		opened.store.close()
		return nil, fmt.Errorf("council.listen: %w", err)
	}
	n := &Node{
		config:       config,
		log:          log,
		stateMachine: machine,
		address:      listener.Addr().String(),
		inbound:      make(chan inboundBatch, maxInboundBatches),
		calls:        make(chan func(*session), maxInboundBatches),
		requestSlots: make(chan struct{}, maxConcurrentRequests),
		peers:        map[string]*peerState{},
		movedAside:   map[string]int{},
		client: http.Client{Transport: &http.Transport{
			MaxConnsPerHost:     maxPeerConnections,
			MaxIdleConnsPerHost: maxPeerConnections,
			IdleConnTimeout:     clientIdleTimeout,
		}},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.SetHosts(config.Hosts, config.AddressOverrides)
	n.recordCorruptStore(opened)
	n.server = &http.Server{Handler: n.handler(), ReadTimeout: serverReadTimeout,
		WriteTimeout: serverWriteTimeout, IdleTimeout: serverIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
	n.goroutines.Add(3)
	go func() {
		defer n.goroutines.Done()
		_ = n.server.Serve(listener) // ends with Close
	}()
	go n.helloLoop(n.ctx)
	go n.runSessions(opened.store)
	return n, nil
}

// Address is the HOST:PORT at which the node listens.
func (n *Node) Address() string { return n.address }

// SetHosts replaces the hosts of the group and the addresses that are dialled in place of theirs.
func (n *Node) SetHosts(hosts []Host, addressOverrides map[string]string) {
	n.hosts.Store(&hosts)
	n.addressOverrides.Store(&addressOverrides)
}

// Close ends the node and waits for all of its goroutines.
func (n *Node) Close() {
	n.cancel()
	_ = n.server.Close()
	n.goroutines.Wait()
	n.client.CloseIdleConnections()
}

// Propose submits an entry to the group. It may still be lost: the StateMachine sees what becomes of it. An
// error says why it can't be submitted.
func (n *Node) Propose(data []byte) error {
	if len(data) > maxEntryBytes {
		return fmt.Errorf("an entry of %d bytes, more than %d", len(data), maxEntryBytes)
	}
	if !n.enqueue(func(s *session) { s.propose(data) }) {
		return errors.New("the queue of proposals is full")
	}
	return nil
}

// enqueue has the session's goroutine call f. It does not wait, and returns false if the queue is full.
func (n *Node) enqueue(f func(*session)) bool {
	select {
	case n.calls <- f:
		return true
	default:
		return false
	}
}

// reportSend tells raft what became of a request to a peer.
func (n *Node) reportSend(result sendResult) {
	n.enqueue(func(s *session) {
		if s.rawNode == nil {
			return
		}
		if result.err != nil {
			s.rawNode.ReportUnreachable(result.diskID)
		}
		if result.snapshot {
			status := raft.SnapshotFinish
			if result.err != nil {
				status = raft.SnapshotFailure
			}
			s.rawNode.ReportSnapshot(result.diskID, status)
		}
	})
}

// recordCorruptStore counts and logs that a corrupt store was moved aside, if one was.
func (n *Node) recordCorruptStore(opened openedStore) {
	if opened.movedTo == "" {
		return
	}
	n.mu.Lock()
	n.movedAside[movedCorrupt]++
	n.mu.Unlock()
	n.log.Error().Err(opened.corruption).Str("aside", opened.movedTo).
		Msg("store corrupt: moved aside, this daemon joins as a new member")
}

// runSessions runs one session after another, each on the store as it is then, until Close.
func (n *Node) runSessions(s *store) {
	defer n.goroutines.Done()
	for {
		var err error
		if s != nil {
			err = n.runSession(s)
			s.close()
			s = nil
		}
		if n.ctx.Err() != nil {
			return
		}
		if reason := abandonReason(err); reason != "" {
			n.abandonStore(reason, err)
		} else if !n.awaitReopen(err) {
			return
		}
		opened, err := openStore(n.config.StorePath, n.config.HostName)
		if s = opened.store; err != nil {
			n.setState(StateMute, err)
		}
		n.recordCorruptStore(opened)
	}
}

// abandonReason returns for which reason a store is moved aside after a session's error; empty if it is kept.
func abandonReason(err error) string {
	switch {
	case errors.Is(err, errStaleDisk):
		return movedStale
	case errors.Is(err, errRemovedMember):
		return movedRemoved
	default:
		return ""
	}
}

// abandonStore moves a store aside that may not take part any more.
func (n *Node) abandonStore(reason string, cause error) {
	movedTo, err := moveAside(n.config.StorePath, reason)
	n.mu.Lock()
	n.movedAside[reason]++
	n.mu.Unlock()
	n.log.Error().Err(cause).Str("aside", movedTo).AnErr("moved", err).Msg("store abandoned: moved aside")
}

// awaitReopen waits before a store is opened again after a session's error, if any. It returns false when the
// node is closed meanwhile.
func (n *Node) awaitReopen(cause error) bool {
	if cause != nil {
		n.setState(StateMute, cause)
		n.log.Error().Err(cause).Msg("store failed: mute until it can be written again")
	}
	select {
	case <-n.ctx.Done():
		return false
	case <-time.After(storeReopenDelay):
		return true
	}
}
