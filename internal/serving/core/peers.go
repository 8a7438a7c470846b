package core

import (
	"context"
	"net"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/feed"
	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/wirepb"
)

const (
	peerDialTimeout = 700 * time.Millisecond
	peerSilence     = 3 * time.Second // of an inbound link, after which it is closed
	peerQueue       = 512             // envelopes that wait for a link; more are dropped, and told again later
	redialFirst     = 50 * time.Millisecond
	redialMost      = 600 * time.Millisecond
	forgetPeer      = 30 * time.Second // after it last spoke, unless it is a member or a seed
)

// peerLink sends envelopes to another core. What cannot be sent is dropped: consensus repeats itself, and
// records are handed over again from the vector in the other's next presence.
type peerLink struct {
	address string
	queue   chan *wirepb.Envelope
	stop    context.CancelFunc
}

func newPeerLink(address string) *peerLink {
	ctx, cancel := context.WithCancel(context.Background())
	link := &peerLink{address: address, queue: make(chan *wirepb.Envelope, peerQueue), stop: cancel}
	go link.run(ctx)
	return link
}

func (l *peerLink) send(envelope *wirepb.Envelope) {
	select {
	case l.queue <- envelope:
	default:
	}
}

func (l *peerLink) run(ctx context.Context) {
	pause := redialFirst
	for ctx.Err() == nil {
		connection, err := framing.Dial(ctx, l.address, peerDialTimeout, linkWriteTimeout)
		if err == nil {
			pause = redialFirst
			l.drop()
			l.forward(ctx, connection)
			connection.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, redialMost)
	}
}

// drop empties the queue: what waited for a link that was down is out of date.
func (l *peerLink) drop() {
	for {
		select {
		case <-l.queue:
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
		select {
		case <-ctx.Done():
			return
		case <-broken:
			return
		case envelope := <-l.queue:
			if connection.WriteMessage(envelope) != nil {
				return
			}
		}
	}
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func (c *Core) internalAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(c.settings.FirstPort))
}

// keepLinks works out which cores to speak to, and makes the links so.
func (c *Core) keepLinks() {
	wanted := map[string]bool{}
	for _, member := range c.node.Members() {
		wanted[c.internalAddress(consensus.Address(member))] = true
	}
	for _, seed := range c.settings.Seeds {
		wanted[c.internalAddress(hostOf(seed))] = true
	}
	for address, heard := range c.inbound {
		if c.now()-heard < forgetPeer {
			wanted[address] = true
		} else {
			delete(c.inbound, address)
		}
	}
	delete(wanted, c.internal)
	for address := range wanted {
		if c.links[address] == nil {
			c.links[address] = newPeerLink(address)
		}
	}
	for address, link := range c.links {
		if !wanted[address] {
			link.stop()
			delete(c.links, address)
		}
	}
}

func (c *Core) broadcast(envelope *wirepb.Envelope) {
	for _, link := range c.links {
		link.send(envelope)
	}
}

func (c *Core) sendConsensus(message *wirepb.Consensus) {
	envelope := &wirepb.Envelope{Body: &wirepb.Envelope_Consensus{Consensus: message}}
	if message.To == "" {
		c.broadcast(envelope)
		return
	}
	if link := c.links[c.internalAddress(consensus.Address(message.To))]; link != nil {
		link.send(envelope)
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
		if !c.do(func() { c.take(envelope) }) {
			return
		}
	}
}

// take carries out what another core says.
func (c *Core) take(envelope *wirepb.Envelope) {
	switch body := envelope.Body.(type) {
	case *wirepb.Envelope_Consensus:
		c.takeConsensus(body.Consensus)
	case *wirepb.Envelope_Catalog:
		c.takeCatalog(body.Catalog)
	case *wirepb.Envelope_CatalogAck:
		c.acks.acknowledge(body.CatalogAck)
	case *wirepb.Envelope_Presence:
		c.takePresence(body.Presence)
	case *wirepb.Envelope_Call:
		c.takeCall(body.Call)
	case *wirepb.Envelope_Reply:
		c.callers.finishCall(body.Reply)
	}
}

func (c *Core) takeConsensus(message *wirepb.Consensus) {
	if message.To != "" && message.To != c.identity {
		return // meant for another disk at this address
	}
	if message.From != c.identity {
		c.node.Step(c.now(), message)
	}
}

func (c *Core) takeCatalog(batch *wirepb.CatalogBatch) {
	c.replica.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		return len(held.Merge(now, batch.Records, batch.Vector)) > 0
	})
	if batch.Acknowledge != 0 {
		ack := &wirepb.CatalogAck{Number: batch.Acknowledge, From: c.identity}
		c.sendTo(batch.From, &wirepb.Envelope{Body: &wirepb.Envelope_CatalogAck{CatalogAck: ack}})
	}
}

func (c *Core) sendTo(address string, envelope *wirepb.Envelope) {
	if link := c.links[address]; link != nil {
		link.send(envelope)
	}
}

// publish writes a record and hands it to the other cores.
func (c *Core) publish(record *wirepb.Record) *wirepb.Record {
	var published *wirepb.Record
	c.replica.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		published = held.Publish(now, record)
		return published != nil
	})
	if published != nil {
		c.broadcast(c.batchOf([]*wirepb.Record{published}, 0))
	}
	return published
}

func (c *Core) batchOf(records []*wirepb.Record, acknowledge uint64) *wirepb.Envelope {
	batch := &wirepb.CatalogBatch{Records: records, From: c.internal, Acknowledge: acknowledge}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Catalog{Catalog: batch}}
}

// tellPresence tells the other cores that this one lives, what it holds, and which workers it hears.
func (c *Core) tellPresence() {
	c.tellSelf()
	presence := &wirepb.Presence{
		Node:   c.selfRecord(),
		Vector: c.replica.Position().Vector,
		Heard:  c.workers.heardLately(c.now(), presenceInterval),
	}
	c.broadcast(&wirepb.Envelope{Body: &wirepb.Envelope_Presence{Presence: presence}})
}

func (c *Core) selfRecord() *wirepb.CoreNode {
	return &wirepb.CoreNode{
		Replica: c.identity, Address: c.internal, Zone: c.settings.Zone, Region: c.settings.Region,
	}
}

// takePresence hands over what the other core lacks (the repair that hinted handoff stands for: the hint is
// the vector), and notes which workers it hears.
func (c *Core) takePresence(presence *wirepb.Presence) {
	address := presence.Node.GetAddress()
	c.inbound[address] = c.now()
	for _, heard := range presence.Heard {
		c.workers.hear(heard.InstanceId, c.now()-time.Duration(heard.AgeMs)*time.Millisecond)
	}
	var missing []*wirepb.Record
	var vector *wirepb.VersionVector
	c.replica.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		missing = held.Since(now, presence.Vector)
		vector = held.Vector()
		return false
	})
	if len(missing) == 0 {
		return
	}
	batch := &wirepb.CatalogBatch{Records: missing, Vector: vector, From: c.internal}
	c.sendTo(address, &wirepb.Envelope{Body: &wirepb.Envelope_Catalog{Catalog: batch}})
}

// tellSelf keeps this core's own record in the catalog.
func (c *Core) tellSelf() {
	own := c.selfRecord()
	c.publishIfChanged(catalog.CoreKey(c.identity), func(held *wirepb.Record) bool {
		return !held.Deleted && proto.Equal(held.GetCore(), own)
	}, func(record *wirepb.Record) { record.Value = &wirepb.Record_Core{Core: own} })
}

// publishIfChanged writes a record whose subject is this process's to describe, unless the held one is right.
func (c *Core) publishIfChanged(key string, right func(*wirepb.Record) bool, fill func(*wirepb.Record)) {
	record := &wirepb.Record{Key: key, Order: 1}
	current := false
	c.replica.WithCatalog(func(_ time.Duration, held *catalog.Catalog) bool {
		if entry := held.Get(key); entry != nil {
			record.Order = entry.Record.Order + 1
			current = right(entry.Record)
		}
		return false
	})
	if current {
		return
	}
	fill(record)
	c.publish(record)
}

// serveAgent feeds an agent for as long as its link lasts.
func (c *Core) serveAgent(connection *framing.Conn, first *wirepb.FeedRequest) {
	link := &edgeLink{}
	onRequest := func(request *wirepb.FeedRequest) {
		c.replica.SetDemands(request.Demands)
		if request.Edge != nil {
			c.do(func() { c.linkEdge(link, request) })
		}
	}
	feed.Provide(connection, first, c.replica, onRequest, c.stop)
	c.do(func() { c.unlinkEdge(link) })
}
