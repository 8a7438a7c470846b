package control

import (
	"crypto/sha256"
	"fmt"
	"math/rand"
	"time"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wal/waltest"
)

const (
	simStep  = 5 * time.Millisecond // simulated time of one step
	slowLink = 10e6 / 8             // 10 Mbit/s in bytes per second
	fastLink = 1000e6 / 8           // 1 Gbit/s in bytes per second
)

// shape is the size of a simulated deployment.
type shape struct {
	cores     int // number of core machines, each with a disk
	tolerated int // number of disks that may be lost at the same time
	edges     int
	slow      bool // links have 10 Mbit/s instead of 1 Gbit/s
	large     bool // configurations have up to some kilobytes, and snapshots are taken and sent often
}

// world is a simulated deployment: core machines, their network, edges, workers and operators. Its seed
// determines the run.
type world struct {
	shape        shape
	random       *rand.Rand
	now          time.Duration
	machines     []*machine
	byHost       map[string]*machine
	network      *simNetwork
	edges        []*simEdge
	clients      *clients
	states       map[uint64]string // by log index: the state that a machine had at this index
	segmentScale int64             // factor of the sizes that SegmentBytes returns, for more snapshots
	planted      plantedFault
	violations   []string
	lastFaultAt  time.Duration
	scheduled    []scheduledAction
}

func newWorld(seed int64, s shape, planted plantedFault) *world {
	random := rand.New(rand.NewSource(seed))
	w := &world{
		shape: s, random: random, byHost: map[string]*machine{}, states: map[uint64]string{}, planted: planted,
		segmentScale: 1,
	}
	bandwidth := fastLink
	if s.slow {
		bandwidth = slowLink
	}
	if s.large {
		w.segmentScale = 400
	}
	w.network = newNetwork(w, rand.New(rand.NewSource(random.Int63())), bandwidth)
	w.clients = newClients(w, newCallerLinks(seed))
	var seeds []string
	for i := range min(s.cores, founderCount) {
		seeds = append(seeds, hostName(i))
	}
	for range s.cores {
		m := w.addMachine(seeds)
		m.bootstrap = true
	}
	for i := range s.edges {
		w.edges = append(w.edges, newSimEdge(w, i))
	}
	return w
}

// consensusOptions returns the consensus options of all cores. If configurations are large, little of the
// log is retained and snapshot chunks are small, so that snapshots are sent in many chunks.
func (w *world) consensusOptions() consensus.Options {
	options := consensus.Options{Voters: w.shape.cores}
	if w.shape.large {
		options.RetainedLogBytes, options.SnapshotChunkBytes = 2000, 700
	}
	return options
}

func hostName(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

func (w *world) zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func (w *world) addMachine(seeds []string) *machine {
	m := &machine{
		world: w, host: hostName(len(w.machines)), zone: len(w.machines) % w.shape.cores, seeds: seeds,
		files: waltest.New(w.random), restartAt: w.now,
	}
	w.machines = append(w.machines, m)
	w.byHost[m.host] = m
	return m
}

func (w *world) machine(host string) *machine { return w.byHost[host] }

// delay returns the one-way delay of a link. Zones with even and with odd numbers are far from each other.
func (w *world) delay(d direction) time.Duration {
	if w.byHost[d.from] != nil && w.byHost[d.to] != nil && (w.byHost[d.from].zone+w.byHost[d.to].zone)%2 == 1 {
		return farDelay
	}
	return nearDelay
}

func (w *world) violation(format string, arguments ...any) {
	if len(w.violations) < 6 {
		w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, arguments...))
	}
}

// presentMachines returns the machines that have not been removed from the deployment.
func (w *world) presentMachines() []*machine {
	var present []*machine
	for _, m := range w.machines {
		if !m.removed {
			present = append(present, m)
		}
	}
	return present
}

func (w *world) step() {
	w.now += simStep
	for _, m := range w.machines {
		if m.process == nil && !m.removed && w.now >= m.restartAt {
			m.start()
		}
	}
	w.network.step()
	for _, m := range w.machines {
		m.step()
		w.checkState(m)
	}
	w.recordFault()
	w.creditCatchUp()
	for _, e := range w.edges {
		e.step()
	}
	w.clients.step()
	if w.planted.afterStep != nil {
		w.planted.afterStep(w)
	}
}

func (w *world) run(duration time.Duration) {
	for end := w.now + duration; w.now < end; {
		w.step()
	}
}

// checkState checks that a machine has the same state as any other machine had at the same log index.
func (w *world) checkState(m *machine) {
	if m.process == nil || m.process.checkedIndex == m.process.engine.node.Applied() {
		return
	}
	e := m.process.engine
	m.process.checkedIndex = e.node.Applied()
	state := fmt.Sprintf("version %d (%x), evacuated %v, departures %d", e.machine.Generation(),
		sha256.Sum256(e.machine.Body()), e.machine.Evacuated(), len(e.machine.Departures()))
	known, seen := w.states[e.node.Applied()]
	if seen && known != state {
		w.violation("%s has a different state at index %d: %s, not %s", m.host, e.node.Applied(), state, known)
	}
	w.states[e.node.Applied()] = state
}

// recordFault sets lastFaultAt to the present if any machine, disk or link is faulty.
func (w *world) recordFault() {
	for _, m := range w.presentMachines() {
		if !m.up() || m.diskFaulty() {
			w.lastFaultAt = w.now
		}
	}
	for _, d := range w.network.directions {
		if w.network.partitionedUntil[d] > w.now {
			w.lastFaultAt = w.now
		}
	}
}

// creditCatchUp measures how long each machine with a new disk has been up and has reached all others, while
// enough connected machines with intact disks for a majority of the cores were among those. After
// catchUpTimeout of such time, its disk no longer counts as lost.
func (w *world) creditCatchUp() {
	for _, m := range w.machines {
		m.healthyFor += simStep
		if !m.up() || m.diskFaulty() || !w.reachesAll(m) {
			m.healthyFor = 0
		}
		if !m.diskLost || m.removed {
			continue
		}
		if m.healthyFor == 0 {
			m.catchUpTime = 0
			continue
		}
		if w.connectedIntact(m) < w.shape.cores/2+1 {
			continue
		}
		m.catchUpTime += simStep
		if m.catchUpTime > catchUpTimeout {
			m.diskLost = false
		}
	}
}

func (w *world) reachesAll(m *machine) bool {
	for _, other := range w.presentMachines() {
		if !w.network.reaches(m.host, other.host) {
			return false
		}
	}
	return true
}

// connectedIntact returns the number of machines with intact disks that run, reach m, and reach one another.
func (w *world) connectedIntact(m *machine) int {
	var connected []*machine
	for _, other := range w.machines {
		if other.diskLost || !other.up() || other.diskFaulty() || !w.network.reaches(m.host, other.host) {
			continue
		}
		reached := true
		for _, third := range connected {
			reached = reached && w.network.reaches(third.host, other.host)
		}
		if reached {
			connected = append(connected, other)
		}
	}
	return len(connected)
}

// disksLost returns the number of machines whose disk was lost and that have not had time to catch up since.
func (w *world) disksLost() int {
	lost := 0
	for _, m := range w.machines {
		if m.diskLost && !m.removed {
			lost++
		}
	}
	return lost
}

// leader returns the machine that is the established leader, or nil.
func (w *world) leader() *machine {
	for _, m := range w.machines {
		if m.process != nil && m.frozenUntil <= w.now && m.process.engine.node.IsEstablishedLeader() {
			return m
		}
	}
	return nil
}
