package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/statemachine"
	"willowdeck/internal/serving/wirepb"
)

// The tests in this file reproduce faults of earlier versions, found in random schedules or by review, each
// in a simulated world with a fixed sequence of events.

const (
	scenarioSeeds = 12
	startupTime   = 4 * time.Second // within which all replicas of a new world become voters
)

func startWorld(seed int64, s shape) *world {
	w := newWorld(seed, s, plantedFault{})
	w.run(startupTime)
	return w
}

// finishWorld runs a world without further faults, and reports the violations that its checks find.
func finishWorld(t *testing.T, w *world, name string) {
	t.Helper()
	w.finish()
	if len(w.violations) > 0 {
		t.Errorf("%s: %s", name, strings.Join(w.violations, "\n"))
	}
}

// TestPartitionThenDisksLost partitions two of five cores for four seconds. Then two of the other three
// lose their disks, and the third loses power. Three disks with data are left, so no acknowledged change
// may be lost, and a leader must be elected again.
func TestPartitionThenDisksLost(t *testing.T) {
	t.Parallel()
	for seed := range int64(scenarioSeeds) {
		w := startWorld(seed, shape{cores: 5, tolerated: 2, edges: 2})
		until := w.now + 4*time.Second
		w.partitionMachine(partitionBoth, w.machines[1], until)
		w.partitionMachine(partitionBoth, w.machines[2], until)
		w.run(4 * time.Second)
		w.machines[0].wipe(800 * time.Millisecond)
		w.machines[3].wipe(900 * time.Millisecond)
		w.machines[4].kill(true, 700*time.Millisecond)
		finishWorld(t, w, fmt.Sprintf("seed %d", seed))
	}
}

// TestLossAfterPlannedReplacement adds a core, and shuts an old one down after the time to catch up. At
// different times after the old one has stopped, another core loses its disk and the rest lose power. The
// new core has had its time to catch up, so this loss must be tolerated at any time.
func TestLossAfterPlannedReplacement(t *testing.T) {
	t.Parallel()
	pauses := []time.Duration{0, 20, 100, 200, 1000, 2000, 3000}
	for seed := range int64(scenarioSeeds) {
		for _, pause := range pauses {
			w := startWorld(seed, shape{cores: 3, tolerated: 1, edges: 2})
			old := w.machines[seed%3]
			w.addSuccessor(0)
			w.run(catchUpTimeout)
			w.requestStop(old, func() { old.removed = true })
			for !old.removed {
				w.step()
			}
			w.run(pause * time.Millisecond)
			present := w.presentMachines()
			present[seed%2].wipe(800 * time.Millisecond)
			present[1-seed%2].kill(true, 700*time.Millisecond)
			present[2].kill(true, 700*time.Millisecond)
			finishWorld(t, w, fmt.Sprintf("seed %d, disk lost %v ms after the stop", seed, int(pause)))
		}
	}
}

// TestJoinWhileNoSeedLeads replaces a core by one whose seeds do not include the leader. The new core must
// become a voter within the time to catch up, although its request to join has to be forwarded.
func TestJoinWhileNoSeedLeads(t *testing.T) {
	t.Parallel()
	for seed := range int64(scenarioSeeds) {
		w := startWorld(seed, shape{cores: 5, tolerated: 2, edges: 2})
		leader := w.leader()
		w.addSuccessor(0)
		fresh := w.machines[len(w.machines)-1]
		fresh.seeds = nil
		for _, m := range w.machines[:5] {
			if m != leader && len(fresh.seeds) < founderCount {
				fresh.seeds = append(fresh.seeds, m.host)
			}
		}
		replaced := w.machines[seed%5]
		if replaced == leader {
			replaced = w.machines[(seed+1)%5]
		}
		replaced.kill(true, 0)
		replaced.removed = true
		w.run(catchUpTimeout)
		if members := w.leader().process.engine.node.Voters(); !slices.Contains(members, identityOf(fresh)) {
			t.Errorf("seed %d: the voters %v do not include the new core %s", seed, members, identityOf(fresh))
		}
	}
}

func identityOf(m *machine) string { return m.process.engine.options.Identity }

// TestWorkersOfPartitionedCore partitions the core that alone receives the heartbeats of all workers. The
// workers are alive, so no other core may delete them.
func TestWorkersOfPartitionedCore(t *testing.T) {
	t.Parallel()
	for seed := range int64(scenarioSeeds) {
		w := startWorld(seed, shape{cores: 3, tolerated: 1, edges: 2})
		partitioned := w.machines[2]
		for _, worker := range w.clients.workers {
			worker.drainAt = time.Hour
			worker.core = partitioned.host
		}
		w.run(stabilizationTime)
		w.partitionMachine(partitionWithEdges, partitioned, w.now+20*time.Second)
		w.run(19 * time.Second)
		for _, worker := range w.clients.workers {
			for _, m := range w.machines[:2] {
				held := m.process.engine.stateView.Get(catalog.WorkerKey(worker.name()))
				if held == nil || held.Record.Deleted {
					t.Errorf("seed %d: core %s has deleted worker %s, which is alive", seed, m.host, worker.name())
				}
			}
		}
	}
}

// TestWorkersAfterHealedPartition has all workers of a zone silent, which is inconclusive, as in a
// partition. Then heartbeats of all but one arrive again. The last worker must be kept for the full
// time-out from then on, and deleted after it.
func TestWorkersAfterHealedPartition(t *testing.T) {
	t.Parallel()
	w := startWorld(1, shape{cores: 3, tolerated: 1, edges: 1})
	names := []string{"first", "second", "third", "last"}
	w.run(stabilizationTime)
	e := w.leader().process.engine
	for i, name := range names {
		address := fmt.Sprintf("10.8.0.%d:80", i+1)
		worker := &wirepb.Worker{InstanceId: name, Service: "s", Address: address, Zone: "partitioned zone"}
		e.Heartbeat(Heartbeat{Worker: worker, Sequence: 1}, func(bool) {})
	}
	deleted := func(name string) bool { return e.stateView.Get(catalog.WorkerKey(name)).Record.Deleted }
	limit := time.Duration(missedHeartbeats * float64(e.options.WorkerHeartbeatInterval))
	now := e.now() + 2*limit
	e.expireWorkers(now)
	for _, name := range names[:3] {
		e.workers.observe(name, "", now)
	}
	for _, c := range []struct {
		after   time.Duration
		deleted bool
	}{{0, false}, {limit / 2, false}, {limit + time.Millisecond, true}} {
		for _, name := range names[:3] {
			e.workers.observe(name, "", now+c.after)
		}
		e.expireWorkers(now + c.after)
		if deleted("last") != c.deleted || deleted("first") {
			t.Errorf("%v after the others' heartbeats: want last worker deleted %v, no other one", c.after, c.deleted)
		}
	}
}

// TestDeadWorkerIsDropped has one worker of a zone silent while heartbeats of the rest of the zone arrive.
// It must be deleted.
func TestDeadWorkerIsDropped(t *testing.T) {
	t.Parallel()
	w := startWorld(1, shape{cores: 3, tolerated: 1, edges: 1})
	silent := &wirepb.Worker{InstanceId: "silent", Service: "s", Address: "10.8.0.1:80", Zone: w.zoneName(0)}
	w.machines[0].process.post(func(e *Engine) {
		e.Heartbeat(Heartbeat{Worker: silent, Sequence: 1}, func(bool) {})
	})
	for _, worker := range w.clients.workers {
		worker.drainAt = time.Hour
		worker.number = 0 // all in that zone
	}
	w.run(stabilizationTime + 5*simHeartbeat)
	held := w.leader().process.engine.stateView.Get(catalog.WorkerKey("silent"))
	if held == nil || !held.Record.Deleted {
		t.Error("a worker without heartbeats at any core has not been deleted")
	}
}

// replaceConfigurations submits count configurations, each of which replaces the one before, and returns
// once the leader has applied the last one, whose body has about bodyBytes bytes.
func (w *world) replaceConfigurations(t *testing.T, count, bodyBytes int) {
	t.Helper()
	generation := w.leader().process.engine.machine.Generation()
	for target := generation + uint64(count); generation < target; {
		batch := min(50, target-generation)
		e := w.leader().process.engine
		for i := range batch {
			size := 0
			if generation+i+1 == target {
				size = bodyBytes / 2
			}
			body := fmt.Sprintf(`{"generation":%d,"routes":[],"services":[],"mark":"%x"}`, generation+i+1,
				randomBytes(w.random, size))
			command, err := statemachine.ReplaceCommand(generation+i, generation+i+1, []byte(body))
			if err != nil {
				t.Fatal(err)
			}
			e.Submit(command, func(*wirepb.CallReply) {})
		}
		for e.machine.Generation() < generation+batch {
			w.step()
		}
		generation += batch
	}
}

// TestCatchesUpOnSlowLinks partitions a core during thousands of changes, the last of which has a large
// configuration. Afterwards the core must catch up within catchUpTimeout over links of 10 Mbit/s and 55 ms,
// while the leader does not change and serves reads.
func TestCatchesUpOnSlowLinks(t *testing.T) {
	t.Parallel()
	for _, size := range []int{10_000, 500_000, 3_000_000} {
		w := newWorld(1, shape{cores: 3, tolerated: 1, slow: true}, plantedFault{})
		w.clients.idle = true
		w.run(startupTime)
		lagging := w.machines[1]
		w.partitionMachine(partitionBoth, lagging, w.now+time.Hour)
		w.replaceConfigurations(t, 3000, size)
		w.run(2 * time.Second)
		leader := w.leader()
		term := leader.process.engine.node.Term()
		for d := range w.network.partitionedUntil {
			w.network.partitionedUntil[d] = w.now
		}
		healed, answered := w.now, 0
		target := leader.process.engine.machine.Generation()
		for lagging.process.engine.machine.Generation() < target && w.now < healed+30*time.Second {
			before := w.now
			leader.process.engine.Submit(nil, func(reply *wirepb.CallReply) {
				if reply.Outcome == wirepb.Outcome_OUTCOME_ACCEPTED {
					answered++
				}
			})
			w.run(100 * time.Millisecond)
			if w.now == before {
				t.Fatal("the simulated time does not advance")
			}
		}
		elapsed := w.now - healed
		t.Logf("3,000 changes and %d bytes: caught up in %v", size, elapsed)
		if elapsed > catchUpTimeout {
			t.Errorf("3,000 changes and %d bytes: caught up in %v, which is too long", size, elapsed)
		}
		if w.leader() != leader || leader.process.engine.node.Term() != term {
			t.Errorf("%d bytes: the leader or its term changed during the catch-up", size)
		}
		if answered < int(elapsed/(200*time.Millisecond)) {
			t.Errorf("%d bytes: only %d reads were served in %v", size, answered, elapsed)
		}
	}
}

// TestDeparturesOutlastPower has all cores lose power right after a worker's departure was acknowledged;
// one of them also loses its disk. The departure must not be lost.
func TestDeparturesOutlastPower(t *testing.T) {
	t.Parallel()
	for seed := range int64(scenarioSeeds) {
		w := startWorld(seed, shape{cores: 3, tolerated: 1, edges: 2})
		worker := w.clients.workers[0]
		worker.drainAt = w.now
		for w.clients.departures[worker.name()] == 0 {
			w.step()
		}
		for i, m := range w.machines {
			if int64(i) == seed%3 {
				m.wipe(time.Second)
			} else {
				m.kill(true, 800*time.Millisecond)
			}
		}
		for _, e := range w.edges {
			e.restart(500 * time.Millisecond)
		}
		finishWorld(t, w, fmt.Sprintf("seed %d", seed))
	}
}

// TestReplyToAnotherIncarnation sends a core a reply to a request of its earlier incarnation that has the
// number of a pending request. This reply must be ignored. A reply to the core's own incarnation completes
// the request once.
func TestReplyToAnotherIncarnation(t *testing.T) {
	w := startWorld(3, shape{cores: 3, tolerated: 1})
	follower := w.machines[0]
	if follower == w.leader() {
		follower = w.machines[1]
	}
	e := follower.process.engine
	outcomes := []wirepb.Outcome{}
	e.Submit(statemachine.EvacuationCommand("zone-0", true), func(reply *wirepb.CallReply) {
		outcomes = append(outcomes, reply.Outcome)
	})
	number := e.requests.pending[len(e.requests.pending)-1].number
	reply := &wirepb.CallReply{
		Number:      number,
		Incarnation: "an earlier incarnation",
		Outcome:     wirepb.Outcome_OUTCOME_ACCEPTED,
	}
	e.HandleEnvelope(&wirepb.Envelope{Body: &wirepb.Envelope_Reply{Reply: reply}})
	if len(outcomes) > 0 {
		t.Fatal("a reply to another incarnation has completed a request")
	}
	reply.Incarnation = e.options.Incarnation
	e.HandleEnvelope(&wirepb.Envelope{Body: &wirepb.Envelope_Reply{Reply: reply}})
	e.HandleEnvelope(&wirepb.Envelope{Body: &wirepb.Envelope_Reply{Reply: reply}})
	if len(outcomes) != 1 {
		t.Fatalf("the request was not completed exactly once: outcomes %v", outcomes)
	}
}

// TestLateCallIsRejected delays a forwarded request until its caller has timed out. The leader must not
// accept it.
func TestLateCallIsRejected(t *testing.T) {
	w := startWorld(4, shape{cores: 3, tolerated: 1})
	leader := w.leader()
	follower := w.machines[0]
	if follower == leader {
		follower = w.machines[1]
	}
	e := follower.process.engine
	command := statemachine.EvacuationCommand("zone-1", true)
	o := &pendingRequest{command: command, deadline: e.now() + requestTimeout, number: 1}
	call := e.callEnvelope(o)
	w.run(requestTimeout)
	acceptedBefore := len(leader.process.engine.leaderRequests.commands)
	leader.process.engine.HandleEnvelope(call)
	if len(leader.process.engine.leaderRequests.commands) != acceptedBefore {
		t.Error("the leader accepted a call whose caller had timed out")
	}
	call = e.callEnvelope(&pendingRequest{command: o.command, deadline: e.now() + requestTimeout, number: 2})
	leader.process.engine.HandleEnvelope(call)
	if len(leader.process.engine.leaderRequests.commands) != acceptedBefore+1 {
		t.Error("the leader did not accept a call whose caller still waits")
	}
}

// TestLateHeartbeatDoesNotRemoveTheWorkerAtItsAddress guards against Starved: the heartbeat of a worker that
// is lost comes late, after its address was given to another one. The record of that one was deleted for
// good.
func TestLateHeartbeatDoesNotRemoveTheWorkerAtItsAddress(t *testing.T) {
	for _, expired := range []bool{false, true} {
		w := startWorld(7, shape{cores: 3, tolerated: 1})
		w.clients.idle = true
		e := w.leader().process.engine
		heartbeat := func(instance string, sequence uint64) {
			worker := &wirepb.Worker{
				InstanceId: instance, Service: "s-" + instance, Address: "10.9.0.1:80", Zone: "zone-0",
			}
			e.Heartbeat(Heartbeat{Worker: worker, Sequence: sequence}, func(bool) {})
			w.run(100 * time.Millisecond)
		}
		check := func(moment string) {
			for _, m := range w.machines {
				for instance, want := range map[string]bool{"lost": false, "successor": true} {
					entry := m.process.engine.StateView().Get(catalog.WorkerKey(instance))
					if listed := entry != nil && !entry.Record.Deleted; listed != want {
						t.Errorf("%s, expired before: %v: %s is listed: %v", moment, expired, instance, listed)
					}
				}
			}
		}
		heartbeat("lost", 1)
		if expired {
			lost := e.stateView.Get(catalog.WorkerKey("lost"))
			e.publishDeletion(lost.Record, lost.Record.Version)
		}
		heartbeat("successor", 1)
		check("after the first heartbeat at the address")
		heartbeat("lost", 2)
		check("after the late heartbeat")
		heartbeat("successor", 2)
		check("after the next heartbeat at the address")
	}
}

// TestOnlyUnforwardedRequestsAreRefused guards against REFUSED at a core (issue 78): a request that a leader
// may have accepted was refused with 503. A leader that is cut off accepts one: its outcome is unknown. Once
// it knows no leader, a request is forwarded to none, and never takes effect.
func TestOnlyUnforwardedRequestsAreRefused(t *testing.T) {
	w := startWorld(6, shape{cores: 3, tolerated: 1})
	w.clients.idle = true
	cutOff := w.leader()
	w.partitionMachine(partitionBoth, cutOff, w.now+time.Hour)
	e := cutOff.process.engine
	outcomeOf := func(zone string) wirepb.Outcome {
		var outcomes []wirepb.Outcome
		e.Submit(statemachine.EvacuationCommand(zone, true), func(reply *wirepb.CallReply) {
			outcomes = append(outcomes, reply.Outcome)
		})
		w.run(2 * requestTimeout)
		if len(outcomes) != 1 {
			t.Fatalf("outcomes %v", outcomes)
		}
		return outcomes[0]
	}
	if got := outcomeOf("zone-0"); got != wirepb.Outcome_OUTCOME_UNKNOWN {
		t.Errorf("a request that the leader has accepted: outcome %v", got)
	}
	for e.node.Leader() != "" {
		w.step()
	}
	if got := outcomeOf("zone-1"); got != OutcomeNotForwarded {
		t.Errorf("a request without a leader: outcome %v", got)
	}
	for d := range w.network.partitionedUntil {
		w.network.partitionedUntil[d] = w.now
	}
	w.run(5 * time.Second)
	if evacuated := w.leader().process.engine.machine.Evacuated(); slices.Contains(evacuated, "zone-1") {
		t.Errorf("a request that was refused has taken effect: evacuated %v", evacuated)
	}
}

// TestTablesAreBounded submits requests to a partitioned leader. All of them must end, and none may remain
// in its tables.
func TestTablesAreBounded(t *testing.T) {
	w := startWorld(5, shape{cores: 3, tolerated: 1})
	e := w.leader().process.engine
	w.partitionMachine(partitionBoth, w.leader(), w.now+time.Hour)
	done := 0
	for range 50 {
		e.Submit(statemachine.EvacuationCommand("zone-1", true), func(*wirepb.CallReply) { done++ })
		e.SubmitEvacuation(statemachine.EvacuationCommand("zone-1", true), func(*wirepb.CallReply) { done++ })
		w.step()
	}
	w.clients.idle = true
	w.run(3 * time.Second)
	if len(e.evacuations) > 0 {
		t.Errorf("%d evacuation requests have not ended", len(e.evacuations))
	}
	if done != 100 || len(e.requests.pending)+len(e.leaderRequests.commands)+len(e.leaderRequests.reads) > 0 {
		t.Errorf("%d of 100 requests ended; in the tables: %d, %d commands, %d reads", done,
			len(e.requests.pending), len(e.leaderRequests.commands), len(e.leaderRequests.reads))
	}
}

// quotaPeriod is the period of a CPU quota: a process runs until it has used its quota, and then not before
// the next period.
const quotaPeriod = 100 * time.Millisecond

// freezeByQuota freezes each machine for the rest of its period once the time quota has passed in the
// period. The periods of the machines begin at different times.
func freezeByQuota(w *world, quota time.Duration) {
	for i, m := range w.machines {
		phase := time.Duration(i) * 35 * time.Millisecond
		if elapsed := (w.now + phase) % quotaPeriod; elapsed >= quota && m.frozenUntil < w.now {
			m.frozenUntil = w.now + quotaPeriod - elapsed
		}
	}
}

// TestProcessorQuotaKeepsLeader limits each core to a CPU quota of 20, 50 or 80 ms per 100 ms, for a
// minute. The leader must keep the leadership, and commands must be committed.
func TestProcessorQuotaKeepsLeader(t *testing.T) {
	t.Parallel()
	for seed := range int64(scenarioSeeds) {
		for _, quota := range []time.Duration{20, 50, 80} {
			w := startWorld(seed, shape{cores: 3 + 2*int(seed%2), tolerated: 1 + int(seed%2), edges: 2})
			leader := w.leader()
			if leader == nil {
				t.Fatalf("seed %d: there is no leader after the start", seed)
			}
			term, applied := leader.process.engine.node.Term(), leader.process.engine.node.Applied()
			for end := w.now + time.Minute; w.now < end; {
				freezeByQuota(w, quota*time.Millisecond)
				w.step()
			}
			name := fmt.Sprintf("seed %d, quota of %d ms per 100 ms", seed, quota)
			node := leader.process.engine.node
			if !node.IsEstablishedLeader() || node.Term() != term {
				t.Errorf("%s: the leader of term %d has lost the leadership; its term is now %d", name, term, node.Term())
			}
			if node.Applied() <= applied {
				t.Errorf("%s: nothing was committed after index %d", name, applied)
			}
			finishWorld(t, w, name)
		}
	}
}
