package core

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"willowdeck/internal/serving/control"
	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/watch"
	"willowdeck/internal/serving/wirepb"
)

const (
	peerDialTimeout = 700 * time.Millisecond
	peerSilence     = 3 * time.Second // of an inbound link, after which it is closed
	peerQueue       = 512             // envelopes that wait for a link; the oldest give way
	redialFirst     = 50 * time.Millisecond
	redialMost      = 600 * time.Millisecond
)

// peerLink sends envelopes to another core. What cannot be sent is dropped: consensus repeats itself, and
// records are handed over again from the vector in the other's next presence. Parts of snapshots and batches
// of records wait until everything else has gone.
type peerLink struct {
	address string
	urgent  chan *wirepb.Envelope
	bulk    chan *wirepb.Envelope
	up      atomic.Bool // the connection stands
	stop    context.CancelFunc
}

func newPeerLink(address string) *peerLink {
	ctx, cancel := context.WithCancel(context.Background())
	link := &peerLink{
		address: address, urgent: make(chan *wirepb.Envelope, peerQueue),
		bulk: make(chan *wirepb.Envelope, peerQueue), stop: cancel,
	}
	go link.run(ctx)
	return link
}

func isBulk(envelope *wirepb.Envelope) bool {
	if envelope.GetCatalog() != nil {
		return true
	}
	return envelope.GetConsensus().GetKind() == wirepb.ConsensusKind_CONSENSUS_SNAPSHOT_PART
}

// send queues an envelope, if the link is up. Where the queue is full, the oldest one in it is dropped: newer
// ones say more.
func (l *peerLink) send(envelope *wirepb.Envelope) {
	if !l.up.Load() {
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

func (l *peerLink) run(ctx context.Context) {
	pause := redialFirst
	for ctx.Err() == nil {
		connection, err := framing.Dial(ctx, l.address, peerDialTimeout, linkWriteTimeout)
		if err == nil {
			pause = redialFirst
			l.up.Store(true)
			l.forward(ctx, connection)
			l.up.Store(false)
			connection.Close()
			drop(l.urgent)
			drop(l.bulk)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, redialMost)
	}
}

// drop empties a queue: what waited for a link that has gone down will be out of date.
func drop(queue chan *wirepb.Envelope) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

func (l *peerLink) forward(ctx context.Context, connection *framing.Conn) {
	broken := make(chan struct{})
	go func() { // nothing comes back on this connection: a read ends when the other end closes it
		connection.Conn.Read(make([]byte, 1))
		close(broken)
	}()
	for {
		envelope := l.next(ctx, broken)
		if envelope == nil || connection.WriteMessage(envelope) != nil {
			return
		}
	}
}

// next returns what is to be sent next, or nil where the link ends.
func (l *peerLink) next(ctx context.Context, broken <-chan struct{}) *wirepb.Envelope {
	select {
	case envelope := <-l.urgent:
		return envelope
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case <-broken:
		return nil
	case envelope := <-l.urgent:
		return envelope
	case envelope := <-l.bulk:
		return envelope
	}
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func hostsOf(addresses []string) []string {
	var hosts []string
	for _, address := range addresses {
		hosts = append(hosts, hostOf(address))
	}
	return hosts
}

func (c *Core) internalAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(c.settings.FirstInternalPort))
}

// Send hands an envelope to the link to another core, which is made where there is none yet.
func (v *environment) Send(address string, envelope *wirepb.Envelope) {
	if address == v.core.internal {
		return
	}
	link := v.core.links[address]
	if link == nil {
		link = newPeerLink(address)
		v.core.links[address] = link
	}
	link.send(envelope)
}

// keepLinks makes the links as the engine wants them.
func (c *Core) keepLinks() {
	wanted := c.engine.Links()
	for _, address := range wanted {
		if c.links[address] == nil {
			c.links[address] = newPeerLink(address)
		}
	}
	for address, link := range c.links {
		if !slices.Contains(wanted, address) {
			link.stop()
			delete(c.links, address)
		}
	}
}

// acceptLinks takes links of other cores and of agents; the first frame says which.
func (c *Core) acceptLinks(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			select {
			case <-c.stop:
				return
			case <-time.After(redialFirst):
				continue
			}
		}
		go c.serveLink(framing.NewConn(accepted, linkWriteTimeout))
	}
}

func (c *Core) serveLink(connection *framing.Conn) {
	defer connection.Close()
	for {
		envelope := &wirepb.Envelope{}
		if err := connection.ReadMessage(envelope, peerSilence); err != nil {
			return
		}
		if request := envelope.GetSubscribe(); request != nil {
			c.serveAgent(connection, request)
			return
		}
		if !c.do(func() { c.engine.Take(envelope) }) {
			return
		}
	}
}

// serveAgent feeds an agent for as long as its link lasts.
func (c *Core) serveAgent(connection *framing.Conn, first *wirepb.FeedRequest) {
	replica := c.engine.Mirror()
	link := &control.EdgeLink{}
	onRequest := func(request *wirepb.FeedRequest) {
		replica.SetDemands(request.Demands)
		if request.Edge != nil {
			c.do(func() { c.engine.LinkEdge(link, request) })
		}
	}
	watch.Provide(connection, first, replica, onRequest, c.stop)
	c.do(func() { c.engine.UnlinkEdge(link) })
}
