package core

import (
	"net"
	"slices"
	"time"

	"willowdeck/internal/serving/control"
	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/watch"
	"willowdeck/internal/serving/wirepb"
)

const (
	peerIdleTimeout = 3 * time.Second       // after which an inbound link without envelopes is closed
	acceptBackoff   = 50 * time.Millisecond // after a failed accept

	linkBytes        = 40 << 10 // of an inbound link: stacks and buffers
	linkMemoryTenths = 1        // part of the process's memory that inbound links may take together
)

// updateLinks creates and closes links, so that there is one to each core that the engine names.
func (c *Core) updateLinks() {
	wanted := c.engine.Links()
	c.tallies.SetPeers(wanted)
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

// acceptLinks serves the connections of other cores and of agents until the process stops.
func (c *Core) acceptLinks(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			select {
			case <-c.stop:
				return
			case <-time.After(acceptBackoff):
				continue
			}
		}
		memory := c.linkMemory.Open()
		if !memory.Grow(linkBytes) {
			_ = accepted.Close() // the other end connects again, an agent to another core
			continue
		}
		go func() {
			defer memory.Cancel()
			connection := framing.NewConn(accepted, linkWriteTimeout)
			connection.LimitFrames(c.frameMemory)
			c.serveLink(connection)
		}()
	}
}

// serveLink reads the envelopes of another core, or serves an agent, whose first envelope is a subscription.
func (c *Core) serveLink(connection *framing.Conn) {
	defer func() { _ = connection.Close() }() // the other end or the link has failed
	for {
		envelope := &wirepb.Envelope{}
		if err := connection.ReadMessage(envelope, peerIdleTimeout); err != nil {
			return
		}
		if request := envelope.GetSubscribe(); request != nil {
			c.serveAgent(connection, request)
			return
		}
		handled := make(chan struct{})
		if !c.enqueue(func() { c.handleEnvelope(envelope); close(handled) }) {
			return
		}
		if !connection.HoldsMemory() {
			continue
		}
		select { // before the memory of a long envelope is given back
		case <-handled:
		case <-c.stop:
			return
		}
	}
}

// handleEnvelope handles a message of another core.
func (c *Core) handleEnvelope(envelope *wirepb.Envelope) {
	if message := envelope.GetTally(); message != nil {
		c.tallies.HandleMessage(message)
		return
	}
	c.engine.HandleEnvelope(envelope)
}

// serveAgent streams updates to an agent until its link or the process ends. Where agents fill their part of
// the links' memory it returns at once: the rest is for other cores.
func (c *Core) serveAgent(connection *framing.Conn, subscription *wirepb.WatchRequest) {
	memory := c.agentMemory.Open()
	if !memory.Admit(linkBytes) {
		return
	}
	defer memory.Cancel()
	view := c.engine.StateView()
	link := &control.EdgeLink{}
	onRequest := func(request *wirepb.WatchRequest) {
		view.MergeDemands(request.Demands)
		if request.Edge != nil {
			c.enqueue(func() { c.engine.LinkEdge(link, request) })
		}
	}
	watch.Serve(connection, subscription, view, onRequest, c.stop)
	c.enqueue(func() { c.engine.UnlinkEdge(link) })
}
