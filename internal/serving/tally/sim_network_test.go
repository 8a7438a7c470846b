package tally

import (
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

// Times and sizes of the simulated network.
const (
	connectionTimeout = 1500 * time.Millisecond // without acknowledgements, until a connection breaks
	dialTimeout       = 700 * time.Millisecond
	minRedialBackoff  = 50 * time.Millisecond
	maxRedialBackoff  = 600 * time.Millisecond
	retransmission    = 20 * time.Millisecond
	maxQueuedMessages = 512
	headerBytes       = 60
	linkBandwidth     = 1000e6 / 8 // bytes a second
)

// zonePair is an ordered pair of zones.
type zonePair struct{ from, to int }

// simNetwork carries messages between cores.
type simNetwork struct {
	world     *world
	acksPass  bool // a cut of one direction leaves connections of the other one intact
	bandwidth float64
	cutUntil  map[zonePair]time.Duration
	cutSince  map[zonePair]time.Duration
	links     []*link
	messages  int // that were delivered
	bytes     int
	byKind    map[wirepb.TallyMessageKind]int // bytes
}

func newNetwork(w *world) *simNetwork {
	return &simNetwork{
		world: w, acksPass: w.random.Intn(2) == 0, bandwidth: linkBandwidth,
		cutUntil: map[zonePair]time.Duration{}, cutSince: map[zonePair]time.Duration{},
		byKind: map[wirepb.TallyMessageKind]int{},
	}
}

// cut interrupts one direction between two zones for a time.
func (n *simNetwork) cut(pair zonePair, duration time.Duration) {
	if !n.isCut(pair.from, pair.to) {
		n.cutSince[pair] = n.world.now
	}
	n.cutUntil[pair] = max(n.cutUntil[pair], n.world.now+duration)
}

func (n *simNetwork) isCut(from, to int) bool { return n.cutUntil[zonePair{from, to}] > n.world.now }

// heal ends all cuts.
func (n *simNetwork) heal() {
	for pair := range n.cutUntil {
		n.cutUntil[pair] = min(n.cutUntil[pair], n.world.now)
	}
}

// delay returns the delay between two zones.
func (n *simNetwork) delay(from, to int) time.Duration {
	if (from < nearZones) != (to < nearZones) {
		return farDelay
	}
	return nearDelay
}

// gossip lets cores that reach one another learn of all cores that either knows.
func (n *simNetwork) gossip() {
	for _, l := range n.links {
		if !l.connected || l.receiver.dead || n.isCut(l.sender.machine.zone, l.receiver.machine.zone) {
			continue
		}
		l.receiver.learn(l.sender.machine.address)
		for address := range l.sender.known {
			l.receiver.learn(address)
		}
	}
}

// transit is a message in flight.
type transit struct {
	sentAt, deliverAt time.Duration
	message           *wirepb.TallyMessage
}

// link is what one process sends to another machine, over one connection at a time.
type link struct {
	network      *simNetwork
	sender       *process
	target       *machine
	connected    bool
	connection   int // number of the connection
	receiver     *process
	urgent, bulk []*wirepb.TallyMessage
	busy         bool
	inFlight     []transit
	lastArrival  time.Duration
	unackedSince time.Duration // 0: nothing that was delivered is without acknowledgement
	backoff      time.Duration
}

func (n *simNetwork) newLink(sender *process, target *machine) *link {
	l := &link{network: n, sender: sender, target: target, backoff: minRedialBackoff}
	n.links = append(n.links, l)
	l.dial()
	return l
}

// dial connects, or tries again later.
func (l *link) dial() {
	w, n := l.network.world, l.network
	if l.sender.dead {
		return
	}
	delay := n.delay(l.sender.machine.zone, l.target.zone)
	w.after(delay, func() {
		receiver := l.target.process
		if n.isCut(l.sender.machine.zone, l.target.zone) || receiver == nil && l.target.powerless {
			w.after(dialTimeout-delay, l.redial)
			return
		}
		w.after(delay, func() { l.completeDial(receiver) })
	})
}

// completeDial connects the link, unless its receiver does not run or cannot answer.
func (l *link) completeDial(receiver *process) {
	n := l.network
	if receiver == nil || receiver.dead {
		l.redial()
		return
	}
	if n.isCut(l.target.zone, l.sender.machine.zone) {
		n.world.after(dialTimeout, l.redial)
		return
	}
	l.connected, l.receiver, l.backoff = true, receiver, minRedialBackoff
	l.connection++
	l.busy, l.lastArrival, l.unackedSince = false, 0, 0
}

// redial dials again after the backoff.
func (l *link) redial() {
	if l.sender.dead {
		return
	}
	l.network.world.after(l.backoff, l.dial)
	l.backoff = min(2*l.backoff, maxRedialBackoff)
}

// breakConnection loses what is in flight, and dials again.
func (l *link) breakConnection() {
	if !l.connected {
		return
	}
	l.connected = false
	l.connection++
	l.inFlight, l.urgent, l.bulk = nil, nil, nil
	l.redial()
}

// senderEnded drops what is not sent, and after a loss of power also what is in flight.
func (l *link) senderEnded(losePower bool) {
	l.urgent, l.bulk = nil, nil
	if losePower {
		l.connected = false
		l.connection++
		l.inFlight = nil
	}
}

// send queues a message, if the link is connected.
func (l *link) send(message *wirepb.TallyMessage) {
	if !l.connected {
		return
	}
	queue := &l.urgent
	if message.Kind == wirepb.TallyMessageKind_TALLY_BATCH {
		queue = &l.bulk
	}
	*queue = append(*queue, message)
	if len(*queue) > maxQueuedMessages {
		*queue = (*queue)[1:]
	}
	l.transmit()
}

// transmit sends the next message of the queues, urgent ones first.
func (l *link) transmit() {
	if l.busy || len(l.urgent)+len(l.bulk) == 0 {
		return
	}
	queue := &l.urgent
	if len(*queue) == 0 {
		queue = &l.bulk
	}
	message := (*queue)[0]
	*queue = (*queue)[1:]
	n, w := l.network, l.network.world
	size := proto.Size(message) + headerBytes
	n.messages++
	n.bytes += size
	n.byKind[message.Kind] += size
	duration := time.Duration(float64(size) / n.bandwidth * float64(time.Second))
	l.busy = true
	connection := l.connection
	w.after(duration, func() {
		if l.connection == connection {
			l.busy = false
			l.transmit()
		}
	})
	arrival := w.now + duration + n.delay(l.sender.machine.zone, l.target.zone) + w.duration(time.Millisecond)
	l.lastArrival = max(l.lastArrival, arrival)
	l.inFlight = append(l.inFlight, transit{sentAt: w.now, deliverAt: l.lastArrival, message: message})
	w.at(l.lastArrival, func() { l.deliver(connection) })
}

// deliver delivers the messages that have arrived, or notices that the connection is broken.
func (l *link) deliver(connection int) {
	n, w := l.network, l.network.world
	for l.connection == connection && len(l.inFlight) > 0 && l.inFlight[0].deliverAt <= w.now {
		head := l.inFlight[0]
		unreachable := n.isCut(l.sender.machine.zone, l.target.zone) || l.receiver.dead && l.target.powerless
		if unreachable {
			if w.now-head.sentAt >= connectionTimeout {
				l.breakConnection()
				return
			}
			w.after(retransmission, func() { l.deliver(connection) })
			return
		}
		if l.receiver.dead {
			l.breakConnection()
			return
		}
		l.inFlight = l.inFlight[1:]
		receiver := l.receiver
		receiver.post(func() { receiver.replica.HandleMessage(head.message) })
		l.acknowledge(connection)
	}
}

// acknowledge breaks the connection later, if the acknowledgements of what was delivered are cut off.
func (l *link) acknowledge(connection int) {
	n, w := l.network, l.network.world
	if n.acksPass || !n.isCut(l.target.zone, l.sender.machine.zone) || l.unackedSince > 0 {
		return
	}
	l.unackedSince = w.now
	w.after(connectionTimeout, func() {
		if l.connection != connection {
			return
		}
		back := zonePair{l.target.zone, l.sender.machine.zone}
		if n.isCut(back.from, back.to) && n.cutSince[back] <= l.unackedSince {
			l.breakConnection()
			return
		}
		l.unackedSince = 0
	})
}
