package tally

import (
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	reviewTick     = 25 * time.Millisecond
	reviewLatency  = 55 * time.Millisecond // between regions, one way
	reviewSync     = 5 * time.Millisecond
	reviewGrace    = 6 * time.Second // ShutdownLimit
	reviewMerge    = 3 * time.Second // merge_ms of the sites
	reviewRedial   = 1300 * time.Millisecond
	reviewTally    = "t"
	reviewReplicas = 5
)

// reviewEvent is an event of a reviewNetwork.
type reviewEvent struct {
	at  time.Duration
	run func()
}

// reviewNetwork connects replicas in virtual time.
type reviewNetwork struct {
	now    time.Duration
	events []reviewEvent
	nodes  map[string]*reviewNode
	// drops reports whether a message between two addresses is lost.
	drops func(from, to string, message *wirepb.TallyMessage) bool
	// latency is the one-way delay.
	latency time.Duration
}

// reviewNode is a core; it is the Environment of its replica.
type reviewNode struct {
	network *reviewNetwork
	address string
	zone    string
	replica *Replica
	down    bool
	frozen  bool
	stalled bool // disk
}

func newReviewNetwork() *reviewNetwork {
	return &reviewNetwork{
		nodes: map[string]*reviewNode{}, latency: reviewLatency,
		drops: dropNothing,
	}
}

func dropNothing(string, string, *wirepb.TallyMessage) bool { return false }

func (n *reviewNetwork) after(delay time.Duration, run func()) {
	at := n.now + delay
	index := sort.Search(len(n.events), func(i int) bool { return n.events[i].at > at })
	n.events = slices.Insert(n.events, index, reviewEvent{at, run})
}

// run advances virtual time.
func (n *reviewNetwork) run(duration time.Duration) {
	end := n.now + duration
	for len(n.events) > 0 && n.events[0].at <= end {
		event := n.events[0]
		n.events = n.events[1:]
		n.now = event.at
		event.run()
	}
	n.now = end
}

// start starts a process with an empty disk at an address.
func (n *reviewNetwork) start(index, life int, addresses []string) *reviewNode {
	address := reviewAddress(index)
	node := &reviewNode{network: n, address: address, zone: fmt.Sprint("zone-", index)}
	if earlier := n.nodes[address]; earlier != nil {
		earlier.down = true
	}
	n.nodes[address] = node
	node.replica = NewReplica(Options{
		Incarnation: fmt.Sprintf("core-%d/%d", index, life), Address: address, Zone: node.zone,
		RequiredCopies: 3, RequiredZones: 2, ShutdownLimit: reviewGrace,
		Clock: func() time.Duration { return n.now },
	}, node)
	node.tick(addresses)
	return node
}

func (v *reviewNode) tick(addresses []string) {
	if v.down {
		return
	}
	if !v.frozen {
		listed := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == v.address })
		v.replica.SetPeers(listed)
		v.replica.Tick()
		v.replica.Flush()
	}
	v.network.after(reviewTick, func() { v.tick(addresses) })
}

// Send implements Environment.
func (v *reviewNode) Send(address string, message *wirepb.TallyMessage) {
	if v.network.drops(v.address, address, message) {
		return
	}
	v.network.after(v.network.latency, func() {
		if peer := v.network.nodes[address]; peer != nil && !peer.down && !peer.frozen {
			peer.replica.HandleMessage(message)
			peer.replica.Flush()
		}
	})
}

// Append implements Environment.
func (v *reviewNode) Append(_ []*wirepb.TallyRecords, done func()) {
	v.network.after(reviewSync, func() {
		if v.stalled {
			v.Append(nil, done)
		} else if !v.down {
			done()
		}
	})
}

func reviewAddress(index int) string { return fmt.Sprintf("10.0.0.%d:7660", index) }

// startAll starts count replicas.
func (n *reviewNetwork) startAll(count int) []*reviewNode {
	var addresses []string
	for i := range count {
		addresses = append(addresses, reviewAddress(i+1))
	}
	var nodes []*reviewNode
	for i := range count {
		nodes = append(nodes, n.start(i+1, 1, addresses))
	}
	return nodes
}

func (v *reviewNode) add(id string, outcomes *[]Outcome) {
	add := Add{Tally: reviewTally, ID: id, Amount: 1}
	v.replica.Add(add, func(outcome Outcome) { *outcomes = append(*outcomes, outcome) })
	v.replica.Flush()
}

// copies returns how many replicas have an add on disk.
func (n *reviewNetwork) copies(id string) int {
	count := 0
	for _, node := range n.nodes {
		for origin, held := range node.replica.set.origins {
			for i, entry := range held.records {
				if entry.id == id && node.replica.durable[origin] >= uint64(i)+1 {
					count++
				}
			}
		}
	}
	return count
}

// None of these troubles is a cut, and none lasts longer than 1.3 s (the time-out and the longest pause of a
// link that is dialled again). An add must not be acknowledged on fewer than three disks meanwhile: the disk
// of the core that acknowledged it may be lost right after (LOST).
func TestReviewShortTroubleDoesNotLowerTheCopies(t *testing.T) {
	silence := func(network *reviewNetwork, node *reviewNode, duration time.Duration) {
		network.drops = func(from, to string, _ *wirepb.TallyMessage) bool {
			return from == node.address || to == node.address
		}
		network.after(duration, func() { network.drops = dropNothing })
	}
	troubles := map[string]func(network *reviewNetwork, nodes []*reviewNode){
		"connections reset, dialled again after 200 ms": func(network *reviewNetwork, nodes []*reviewNode) {
			silence(network, nodes[0], 200*time.Millisecond)
		},
		"frozen for 5 s, links back 1.3 s after": func(network *reviewNetwork, nodes []*reviewNode) {
			nodes[0].frozen = true
			network.run(5 * time.Second)
			nodes[0].frozen = false
			silence(network, nodes[0], reviewRedial)
		},
		"three peers killed, back after 1 s": func(network *reviewNetwork, nodes []*reviewNode) {
			addresses := append(slices.Clone(nodes[0].replica.peerAddresses), nodes[0].address)
			for i := 2; i <= 4; i++ {
				nodes[i-1].down = true
				network.after(time.Second, func() { network.start(i, 2, addresses) })
			}
		},
		"250 ms one way on all links": func(network *reviewNetwork, _ []*reviewNode) {
			network.latency = 250 * time.Millisecond
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			network := newReviewNetwork()
			nodes := network.startAll(reviewReplicas)
			network.run(5 * time.Second)
			trouble(network, nodes)
			begun := network.now
			outcomes := map[string]*[]Outcome{}
			for i := 0; network.now < begun+reviewRedial; i++ {
				id := fmt.Sprint("a", i)
				outcomes[id] = new([]Outcome)
				nodes[0].add(id, outcomes[id])
				network.run(reviewTick)
				for id, got := range outcomes {
					if copies := network.copies(id); slices.Contains(*got, Acknowledged) && copies < 3 {
						t.Fatalf("after %v: acknowledged on %d disk(s)", network.now-begun, copies)
					}
				}
			}
		})
	}
}

// The records of a core that has to catch up take longer than the start's grace. Until they have arrived, a
// read must be refused: it lacks adds that were acknowledged long ago.
func TestReviewStartingReplicaRefusesReadsUntilItHasCaughtUp(t *testing.T) {
	const acknowledged = 40000
	earlier := &wirepb.TallyRecords{Origin: "core-9/1", First: 1}
	for i := range acknowledged {
		earlier.Adds = append(earlier.Adds, &wirepb.TallyAdd{
			Tally: reviewTally, Id: fmt.Sprintf("5c0e7a21d94b36f8-%016d", i), Amount: 1,
		})
	}
	network := newReviewNetwork()
	nodes := network.startAll(reviewReplicas)
	for _, node := range nodes[:4] {
		node.replica.Restore(earlier)
		node.replica.ConfirmRestored(node.replica.Vector())
	}
	network.run(time.Second)
	addresses := append(slices.Clone(nodes[0].replica.peerAddresses), nodes[0].address)
	wiped := network.start(5, 2, addresses)
	started := network.now
	for network.now < started+10*time.Second {
		network.run(reviewTick)
		if total, ok := wiped.replica.Read(reviewTally); ok && total < acknowledged {
			t.Fatalf("%v after its start: reads %d of %d", network.now-started, total, acknowledged)
		}
	}
}

// A core that has lost its disk starts 2 s before the others, as after a loss of power of all. A read within
// merge_ms of its start must not be answered from the empty disk.
func TestReviewEmptyReplicaRefusesReadsBeforeItHasHeardOfAnother(t *testing.T) {
	network := newReviewNetwork()
	wiped := network.start(1, 2, []string{reviewAddress(1), reviewAddress(2), reviewAddress(3)})
	for network.now < 2*time.Second {
		network.run(reviewTick)
		if total, ok := wiped.replica.Read(reviewTally); ok {
			t.Fatalf("%v after its start, before any core was heard: reads %d", network.now, total)
		}
	}
}

// The first event of a core may be a read, before the first tick has named the peers.
func TestReviewReadBeforePeersAreNamed(t *testing.T) {
	now := time.Duration(0)
	node := &reviewNode{network: newReviewNetwork(), address: reviewAddress(1)}
	replica := NewReplica(Options{
		Incarnation: "core-1/2", Address: node.address, Zone: "a", RequiredCopies: 3, RequiredZones: 2,
		Clock: func() time.Duration { return now },
	}, node)
	if total, ok := replica.Read(reviewTally); ok {
		t.Errorf("answered with %d before any peer was named", total)
	}
}

// A peer whose first message is a push has not said what it holds. Reads are refused until its state has
// come.
func TestReviewPushIsNotTakenForState(t *testing.T) {
	network := newReviewNetwork()
	network.drops = func(string, string, *wirepb.TallyMessage) bool { return true }
	starting := network.start(1, 2, []string{reviewAddress(1), reviewAddress(2)})
	network.run(500 * time.Millisecond)
	starting.replica.HandleMessage(&wirepb.TallyMessage{
		Kind: wirepb.TallyMessageKind_TALLY_PUSH, Address: reviewAddress(2), Zone: "b", Incarnation: "core-2/7",
		Records: []*wirepb.TallyRecords{{
			Origin: "core-2/7", First: 1,
			Adds: []*wirepb.TallyAdd{{Tally: reviewTally, Id: "new", Amount: 1}},
		}},
	})
	if total, ok := starting.replica.Read(reviewTally); ok {
		t.Errorf("answered with %d before the peer has said what it holds", total)
	}
}

// Cores add all the time while one of them shuts down. It has handed over what it held after a second.
func TestReviewShutdownDuringSteadyTrafficIsShort(t *testing.T) {
	network := newReviewNetwork()
	nodes := network.startAll(reviewReplicas)
	network.run(3 * time.Second)
	var outcomes []Outcome
	traffic := func(duration time.Duration, stopped func() bool) {
		for end, i := network.now+duration, 0; network.now < end && !stopped(); i++ {
			nodes[1+i%4].add(fmt.Sprint(network.now, "/", i), &outcomes)
			network.run(13 * time.Millisecond)
		}
	}
	traffic(2*time.Second, func() bool { return false })
	leaving := nodes[0].replica
	leaving.BeginShutdown()
	begun := network.now
	traffic(10*time.Second, leaving.SafeToStop)
	if took := network.now - begun; took > 2*time.Second {
		t.Errorf("safe to stop after %v with 77 adds a second", took)
	}
}

// A peer's disk stalls while a core shuts down: that peer does not hold it up.
func TestReviewShutdownWithStalledPeer(t *testing.T) {
	network := newReviewNetwork()
	nodes := network.startAll(reviewReplicas)
	network.run(3 * time.Second)
	nodes[4].stalled = true
	var outcomes []Outcome
	nodes[0].add("a", &outcomes)
	network.run(time.Second)
	leaving := nodes[0].replica
	leaving.BeginShutdown()
	begun := network.now
	for !leaving.SafeToStop() {
		network.run(reviewTick)
	}
	if took := network.now - begun; took > 2*time.Second {
		t.Errorf("safe to stop after %v", took)
	}
}

// A peer that is heard and ahead, but does not answer pulls, does not keep a core from catching up with the
// others.
func TestReviewPullGoesToAnotherPeerAfterTimeout(t *testing.T) {
	network := newReviewNetwork()
	nodes := network.startAll(reviewReplicas)
	lagging := nodes[4]
	network.run(3 * time.Second)
	var outcomes []Outcome
	network.drops = func(from, to string, _ *wirepb.TallyMessage) bool {
		return from == lagging.address || to == lagging.address
	}
	for i := range 10 {
		nodes[1].add(fmt.Sprint(i), &outcomes)
	}
	network.run(2 * time.Second)
	healed := network.now
	network.drops = func(from, to string, _ *wirepb.TallyMessage) bool {
		return from == lagging.address && to == nodes[0].address // one way
	}
	for network.now < healed+reviewMerge {
		network.run(reviewTick)
	}
	if total := lagging.replica.set.Total(reviewTally); total != 10 {
		t.Errorf("holds %d of 10 after %v", total, reviewMerge)
	}
}

// A confirmation of an earlier process of a peer is handled after the first message of the new one, which has
// lost its disk. It must not count as a copy.
func TestReviewLateConfirmationOfAnEarlierIncarnation(t *testing.T) {
	network := newReviewNetwork()
	network.drops = func(string, string, *wirepb.TallyMessage) bool { return true }
	addresses := []string{reviewAddress(1), reviewAddress(2), reviewAddress(3)}
	node := network.start(1, 1, addresses)
	message := func(index, life int, kind wirepb.TallyMessageKind, durable Vector) *wirepb.TallyMessage {
		return &wirepb.TallyMessage{
			Kind: kind, Address: reviewAddress(index), Zone: fmt.Sprint("zone-", index),
			Incarnation: fmt.Sprintf("core-%d/%d", index, life), Durable: vectorMessage(durable),
		}
	}
	const state, confirm = wirepb.TallyMessageKind_TALLY_STATE, wirepb.TallyMessageKind_TALLY_CONFIRM
	handle := func(m *wirepb.TallyMessage) { node.replica.HandleMessage(m) }
	handle(message(2, 1, state, nil))
	handle(message(3, 1, state, nil))
	var outcomes []Outcome
	node.add("a", &outcomes)
	network.run(50 * time.Millisecond)
	handle(message(2, 1, confirm, Vector{"core-1/1": 1}))
	handle(message(3, 2, state, nil))                     // wiped
	handle(message(3, 1, confirm, Vector{"core-1/1": 1})) // was under way
	if len(outcomes) != 0 {
		t.Errorf("acknowledged (%v) on two disks", outcomes)
	}
}

// A disk stalls and comes back, a core is cut off and comes back: all respond again, and all read the same.
func TestReviewUnresponsiveFlagsClear(t *testing.T) {
	network := newReviewNetwork()
	nodes := network.startAll(reviewReplicas)
	network.run(3 * time.Second)
	nodes[3].stalled = true
	network.drops = func(from, to string, _ *wirepb.TallyMessage) bool {
		return (from == nodes[4].address) != (to == nodes[4].address)
	}
	var outcomes []Outcome
	for i := range 200 {
		nodes[i%5].add(fmt.Sprint(i), &outcomes)
		network.run(20 * time.Millisecond)
	}
	nodes[3].stalled = false
	network.drops = dropNothing
	network.run(reviewMerge)
	accepted := uint64(0)
	for _, outcome := range outcomes {
		if outcome != Unavailable {
			accepted++
		}
	}
	for _, node := range nodes {
		if total, ok := node.replica.Read(reviewTally); !ok || total != accepted || total < 180 {
			t.Errorf("%s reads %d of %d, %v", node.address, total, accepted, ok)
		}
		for _, p := range node.replica.peers {
			if p.late {
				t.Errorf("%s: %s does not respond", node.address, p.address)
			}
		}
	}
}

// All cores start at once with their disks, as after a loss of power. Adds and reads are served soon.
func TestReviewAllStartAtOnce(t *testing.T) {
	network := newReviewNetwork()
	nodes := network.startAll(reviewReplicas)
	network.run(time.Second)
	for _, node := range nodes {
		var outcomes []Outcome
		node.add(node.address, &outcomes)
		network.run(500 * time.Millisecond)
		if !slices.Contains(outcomes, Acknowledged) || network.copies(node.address) < 3 {
			t.Errorf("%s: add %v", node.address, outcomes)
		}
		if _, ok := node.replica.Read(reviewTally); !ok {
			t.Errorf("%s refuses a read after %v", node.address, network.now)
		}
	}
}

// An address that never answers stays listed, as a seed that is gone. It holds nothing up after the start.
func TestReviewListedAddressThatNeverExisted(t *testing.T) {
	network := newReviewNetwork()
	addresses := []string{reviewAddress(1), reviewAddress(2), reviewAddress(9)}
	nodes := []*reviewNode{network.start(1, 1, addresses), network.start(2, 1, addresses)}
	network.run(2*time.Second + reviewTick)
	var outcomes []Outcome
	nodes[0].add("a", &outcomes)
	network.run(500 * time.Millisecond)
	total, ok := nodes[1].replica.Read(reviewTally)
	if !slices.Contains(outcomes, Acknowledged) || !ok || total != 1 {
		t.Errorf("add %v, read %d, %v", outcomes, total, ok)
	}
}

// A core reaches only one other, which reaches all: what they add arrives everywhere within merge_ms.
func TestReviewChainOfReplicas(t *testing.T) {
	network := newReviewNetwork()
	nodes := network.startAll(reviewReplicas)
	network.drops = func(from, to string, _ *wirepb.TallyMessage) bool {
		outer := nodes[0].address
		return from == outer && to != nodes[1].address || to == outer && from != nodes[1].address
	}
	network.run(3 * time.Second)
	var outcomes []Outcome
	for i := range 20 {
		nodes[0].add(fmt.Sprint("outer-", i), &outcomes)
		nodes[4].add(fmt.Sprint("inner-", i), &outcomes)
		network.run(50 * time.Millisecond)
	}
	network.run(reviewMerge)
	for _, node := range nodes {
		if total, ok := node.replica.Read(reviewTally); !ok || total != 40 {
			t.Errorf("%s reads %d, %v", node.address, total, ok)
		}
	}
}

// A core that is shutting down gets an add again that it holds: it may count, so it is not refused.
func TestReviewRepeatedAddDuringShutdown(t *testing.T) {
	network := newReviewNetwork()
	nodes := network.startAll(reviewReplicas)
	network.run(3 * time.Second)
	var outcomes, repeated, fresh []Outcome
	nodes[1].add("a", &outcomes)
	network.run(200 * time.Millisecond)
	nodes[0].replica.BeginShutdown()
	nodes[0].add("a", &repeated)
	nodes[0].add("b", &fresh)
	network.run(time.Second)
	if !slices.Equal(repeated, []Outcome{Acknowledged}) || !slices.Equal(fresh, []Outcome{Unavailable}) {
		t.Errorf("repeated %v, new %v", repeated, fresh)
	}
	if total, ok := nodes[2].replica.Read(reviewTally); !ok || total != 1 {
		t.Errorf("reads %d, %v", total, ok)
	}
}

// All cores leave at once during traffic: none waits for another, and nothing acknowledged is on one disk.
func TestReviewAllShutDownAtOnce(t *testing.T) {
	network := newReviewNetwork()
	nodes := network.startAll(reviewReplicas)
	network.run(3 * time.Second)
	outcomes := map[string]*[]Outcome{}
	for i := range 20 {
		id := fmt.Sprint(i)
		outcomes[id] = new([]Outcome)
		nodes[i%5].add(id, outcomes[id])
	}
	for _, node := range nodes {
		node.replica.BeginShutdown()
	}
	begun := network.now
	waits := func(node *reviewNode) bool { return !node.replica.SafeToStop() }
	for slices.ContainsFunc(nodes, waits) {
		network.run(reviewTick)
		for id, got := range outcomes {
			if copies := network.copies(id); slices.Contains(*got, Acknowledged) && copies < 3 {
				t.Fatalf("%v: acknowledged on %d disk(s)", network.now-begun, copies)
			}
		}
	}
	if took := network.now - begun; took > 2*time.Second {
		t.Errorf("stopped after %v", took)
	}
}

// A peer confirms, loses its disk and returns at its old address before a third copy exists. Its earlier
// confirmation counts no longer.
func TestReviewWipedPeerDoesNotCount(t *testing.T) {
	network := newReviewNetwork()
	network.drops = func(string, string, *wirepb.TallyMessage) bool { return true }
	node := network.start(1, 1, []string{reviewAddress(1), reviewAddress(2), reviewAddress(3)})
	hear := func(index, life int, durable Vector) {
		node.replica.HandleMessage(&wirepb.TallyMessage{
			Kind: wirepb.TallyMessageKind_TALLY_STATE, Address: reviewAddress(index),
			Zone: fmt.Sprint("zone-", index), Incarnation: fmt.Sprintf("core-%d/%d", index, life),
			Durable: vectorMessage(durable),
		})
	}
	var outcomes []Outcome
	hear(2, 1, nil)
	hear(3, 1, nil)
	node.add("a", &outcomes)
	network.run(50 * time.Millisecond)
	hear(2, 1, Vector{"core-1/1": 1})
	hear(2, 2, nil)
	hear(3, 1, Vector{"core-1/1": 1})
	if len(outcomes) != 0 {
		t.Errorf("acknowledged (%v) on two disks", outcomes)
	}
	hear(2, 2, Vector{"core-1/1": 1})
	if !slices.Equal(outcomes, []Outcome{Acknowledged}) {
		t.Errorf("outcomes %v with three copies", outcomes)
	}
}

// A killed process had written records without a sync. Its successor, which has read them, does not tell
// others that they are durable before they are.
func TestReviewRestoredRecordsAreNotDurable(t *testing.T) {
	network := newReviewNetwork()
	replica := network.start(1, 2, []string{reviewAddress(1)}).replica
	adds := []*wirepb.TallyAdd{{Tally: reviewTally, Id: "a"}}
	replica.Restore(&wirepb.TallyRecords{Origin: "core-2/1", First: 1, Adds: adds})
	if durable := replica.stateMessage().Durable.Sequences["core-2/1"]; durable != 0 {
		t.Errorf("durable up to %d", durable)
	}
	replica.ConfirmRestored(replica.Vector())
	if durable := replica.stateMessage().Durable.Sequences["core-2/1"]; durable != 1 {
		t.Errorf("durable up to %d once synced", durable)
	}
}
