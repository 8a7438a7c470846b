package soak

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/wirepb"
)

const (
	relayDialTimeout  = time.Second
	relayWriteTimeout = 3 * time.Second
	relayIdleTimeout  = time.Hour
	// cutHoldTime is for how long a cut link holds a frame before its connection ends, as TCP_USER_TIMEOUT ends
	// those of the cores.
	cutHoldTime = 1500 * time.Millisecond
)

// direction is the way from one machine to another, by their numbers.
type direction struct{ from, to int }

// linkNetwork carries the connections between cores and cuts them.
//
// A core dials each other one at its own internal port, since all cores are to have the same. Here each
// machine has an internal port of its own, and where a core dials another machine's address at its own port,
// a relay of that direction listens. Messages that state a core's internal address get the receiver's port on
// the way.
type linkNetwork struct {
	t *testing.T

	mu        sync.Mutex
	cuts      map[direction]int // how many cuts of a direction are in force
	changed   chan struct{}     // closed at the next change of cuts
	listeners []net.Listener
}

// newLinkNetwork returns a network without links, which is closed when the test ends.
func newLinkNetwork(t *testing.T) *linkNetwork {
	t.Helper()
	n := &linkNetwork{t: t, cuts: map[direction]int{}, changed: make(chan struct{})}
	t.Cleanup(n.close)
	return n
}

// internalAddress returns where the processes of one machine expect the core of another one.
func internalAddress(dialing, dialed *machine) string {
	return net.JoinHostPort(dialed.ip, strconv.Itoa(dialing.internalPort))
}

// connect starts the relay for the connections from one machine to another.
func (n *linkNetwork) connect(from, to *machine) {
	n.t.Helper()
	listener, err := framing.Listen(internalAddress(from, to))
	if err != nil {
		n.t.Fatal(err)
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, listener)
	n.mu.Unlock()
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go n.relay(framing.NewConn(accepted, relayWriteTimeout), from, to)
		}
	}()
}

// relay passes the frames of one connection on until it ends.
func (n *linkNetwork) relay(source *framing.Conn, from, to *machine) {
	defer func() { _ = source.Close() }()
	way := direction{from.number, to.number}
	if !n.passable(way) {
		return
	}
	address := internalAddress(to, to)
	target, err := framing.Dial(context.Background(), address, relayDialTimeout, relayWriteTimeout)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	go func() { // the target sends nothing: a read returns when it closes the connection
		_, _ = target.Read(make([]byte, 1))
		_ = source.Close()
	}()
	for {
		envelope := &wirepb.Envelope{}
		if source.ReadMessage(envelope, relayIdleTimeout) != nil || !n.passable(way) {
			return
		}
		readdress(envelope, to.internalPort)
		if target.WriteMessage(envelope) != nil {
			return
		}
	}
}

// passable waits while a direction is cut. It returns false where the cut outlasts cutHoldTime.
func (n *linkNetwork) passable(way direction) bool {
	deadline := time.After(cutHoldTime)
	for {
		n.mu.Lock()
		cut, changed := n.cuts[way] > 0, n.changed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-deadline:
			return false
		}
	}
}

// isCut reports whether a direction is cut.
func (n *linkNetwork) isCut(from, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[direction{from, to}] > 0
}

// cut cuts directions until heal is called with the same ones.
func (n *linkNetwork) cut(ways []direction) { n.change(ways, 1) }

// heal ends a cut of directions.
func (n *linkNetwork) heal(ways []direction) { n.change(ways, -1) }

func (n *linkNetwork) change(ways []direction, by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, way := range ways {
		n.cuts[way] += by
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *linkNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
}

// readdress replaces the port of each core's internal address in an envelope by that of the receiver.
func readdress(envelope *wirepb.Envelope, port int) {
	switch body := envelope.Body.(type) {
	case *wirepb.Envelope_Presence:
		readdressNode(body.Presence.Node, port)
	case *wirepb.Envelope_Call:
		body.Call.From = withPort(body.Call.From, port)
	case *wirepb.Envelope_Tally:
		body.Tally.Address = withPort(body.Tally.Address, port)
	case *wirepb.Envelope_Catalog:
		for _, record := range body.Catalog.Records {
			readdressNode(record.GetCore(), port)
		}
	}
}

func readdressNode(node *wirepb.CoreNode, port int) {
	if node != nil {
		node.Address = withPort(node.Address, port)
	}
}

// withPort returns an address with another port, or the address where it has another form than HOST:PORT.
func withPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}
