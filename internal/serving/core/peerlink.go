package core

import (
	"context"
	"sync/atomic"
	"time"

	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/wirepb"
)

const (
	peerDialTimeout   = 700 * time.Millisecond
	peerQueueCapacity = 512 // envelopes of each class that wait for a link; the oldest are dropped
	minRedialBackoff  = 50 * time.Millisecond
	maxRedialBackoff  = 600 * time.Millisecond
)

// peerLink sends envelopes to another core over one connection, which it dials again after a failure.
// Envelopes that cannot be sent are dropped: consensus retransmits, and records are sent again on the version
// vector in the peer's next presence. Chunks of snapshots and batches of records, those of tallies included,
// have lower priority than all else.
type peerLink struct {
	address   string
	urgent    chan *wirepb.Envelope
	bulk      chan *wirepb.Envelope
	connected atomic.Bool
	stop      context.CancelFunc // ends the link's goroutine
}

// newPeerLink starts a link to an internal address. Its owner calls stop.
func newPeerLink(address string) *peerLink {
	ctx, cancel := context.WithCancel(context.Background())
	link := &peerLink{
		address: address, urgent: make(chan *wirepb.Envelope, peerQueueCapacity),
		bulk: make(chan *wirepb.Envelope, peerQueueCapacity), stop: cancel,
	}
	go link.run(ctx)
	return link
}

// isBulk reports whether an envelope has low priority.
func isBulk(envelope *wirepb.Envelope) bool {
	if envelope.GetCatalog() != nil || envelope.GetTally().GetKind() == wirepb.TallyMessageKind_TALLY_BATCH {
		return true
	}
	return envelope.GetConsensus().GetKind() == wirepb.ConsensusKind_CONSENSUS_SNAPSHOT_CHUNK
}

// send queues an envelope without blocking, if the link is connected. Where the queue is full, the oldest
// envelope is dropped: later ones supersede it.
func (l *peerLink) send(envelope *wirepb.Envelope) {
	if !l.connected.Load() {
		return
	}
	queue := l.urgent
	if isBulk(envelope) {
		queue = l.bulk
	}
	for {
		select {
		case queue <- envelope:
			return
		default:
		}
		select {
		case <-queue:
		default:
		}
	}
}

// run keeps the link connected until ctx is done.
func (l *peerLink) run(ctx context.Context) {
	backoff := minRedialBackoff
	for ctx.Err() == nil {
		connection, err := framing.Dial(ctx, l.address, peerDialTimeout, linkWriteTimeout)
		if err == nil {
			backoff = minRedialBackoff
			l.connected.Store(true)
			l.sendQueued(ctx, connection)
			l.connected.Store(false)
			_ = connection.Close() // the connection has failed already
			discardQueued(l.urgent)
			discardQueued(l.bulk)
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxRedialBackoff)
	}
}

// discardQueued empties a queue after a disconnection: its envelopes would be outdated after the next dial.
func discardQueued(queue chan *wirepb.Envelope) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// sendQueued writes queued envelopes until the connection fails or ctx is done.
func (l *peerLink) sendQueued(ctx context.Context, connection *framing.Conn) {
	closedByPeer := make(chan struct{})
	go func() { // the peer sends nothing on this connection: a read returns when it is closed
		_, _ = connection.Read(make([]byte, 1))
		close(closedByPeer)
	}()
	for {
		envelope := l.next(ctx, closedByPeer)
		if envelope == nil || connection.WriteMessage(envelope) != nil {
			return
		}
	}
}

// next waits for the next envelope to send, urgent ones first. It returns nil where the connection ends.
func (l *peerLink) next(ctx context.Context, closedByPeer <-chan struct{}) *wirepb.Envelope {
	select {
	case envelope := <-l.urgent:
		return envelope
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case <-closedByPeer:
		return nil
	case envelope := <-l.urgent:
		return envelope
	case envelope := <-l.bulk:
		return envelope
	}
}
