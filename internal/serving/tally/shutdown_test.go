package tally

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

const (
	testLinkDelay   = 55 * time.Millisecond // one way, between regions
	testSyncTime    = 5 * time.Millisecond
	testTick        = 20 * time.Millisecond
	testAddInterval = 25 * time.Millisecond // at each core that stays
	testGrace       = 6 * time.Second
)

// event is a call at a time of the test's clock.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// network connects replicas on one clock, with a delay for each message and each sync.
type network struct {
	now      time.Duration
	events   eventQueue
	order    int
	replicas map[string]*Replica
}

func (n *network) after(delay time.Duration, run func()) {
	n.order++
	heap.Push(&n.events, event{n.now + delay, n.order, run})
}

// every calls run at intervals, until the test ends.
func (n *network) every(interval time.Duration, run func()) {
	n.after(interval, func() {
		run()
		n.every(interval, run)
	})
}

// runUntil runs events until a time, or until done returns true.
func (n *network) runUntil(until time.Duration, done func() bool) {
	for len(n.events) > 0 && n.now < until && !done() {
		next := heap.Pop(&n.events).(event)
		n.now = next.at
		next.run()
	}
}

// endpoint implements Environment for one replica.
type endpoint struct{ network *network }

// Send delivers a message after the delay of the link.
func (e endpoint) Send(address string, message *wirepb.TallyMessage) {
	copied := proto.CloneOf(message)
	e.network.after(testLinkDelay, func() { e.network.replicas[address].HandleMessage(copied) })
}

// Append calls done after the time of a sync.
func (e endpoint) Append(_ []*wirepb.TallyRecords, done func()) { e.network.after(testSyncTime, done) }

// Guards against a core that leaves only once its grace period is over: its peers have all that it held long
// before, but adds go on at them.
func TestCoreLeavesBeforeGraceEndsWhileAddsGoOn(t *testing.T) {
	const begin = 4 * time.Second
	network := &network{replicas: map[string]*Replica{}}
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"}
	for i, address := range addresses {
		replica := NewReplica(Options{
			Incarnation: address, Address: address, Zone: fmt.Sprint(i), RequiredCopies: 3, RequiredZones: 2,
			ShutdownLimit: testGrace, Clock: func() time.Duration { return network.now },
		}, endpoint{network})
		network.replicas[address] = replica
		replica.SetPeers(append(append([]string{}, addresses[:i]...), addresses[i+1:]...))
		network.every(testTick, func() {
			replica.Tick()
			replica.Flush()
		})
		id := 0
		network.every(testAddInterval, func() {
			id++
			add := Add{Tally: "t", ID: fmt.Sprint(address, "/", id), Amount: 1}
			replica.Add(add, func(Outcome) {})
			replica.Flush()
		})
	}
	leaving := network.replicas[addresses[0]]
	network.runUntil(begin, func() bool { return false })
	leaving.BeginShutdown()
	network.runUntil(begin+2*testGrace, leaving.SafeToStop)
	if took := network.now - begin; took > testGrace/2 {
		t.Errorf("the core was not safe to stop for %s", took)
	}
}
