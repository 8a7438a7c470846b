package control

import (
	"math/rand"
	"slices"
	"time"
)

// faultEvent is one fault of a run. Times are in milliseconds, and the JSON form is that of kept schedules.
type faultEvent struct {
	At       int    `json:"at"`
	Kind     string `json:"kind"`
	Machine  int    `json:"machine"` // index among those present, or currentLeader
	Duration int    `json:"for"`
	X        int    `json:"x"`
}

const currentLeader = -1

// The kinds of faults, with their names in kept schedules.
const (
	killProcess        = "kill"
	losePower          = "power"
	loseDisk           = "wipe"
	replaceUnplanned   = "replace" // removed; an empty one starts x later
	replacePlanned     = "planned" // an empty one starts; x later the old one is shut down and removed
	restartPlanned     = "roll"    // shut down and started again
	stallDisk          = "stall"
	slowDisk           = "slow"
	diskFull           = "full"
	failSyncs          = "syncs"
	partitionBoth      = "cut"     // from the other cores
	partitionOutbound  = "cut-out" // its own messages are lost
	partitionInbound   = "cut-in"  // messages to it are lost
	partitionWithEdges = "near"    // also from the edges but one
	splitCores         = "split"   // half of the cores from the others
	freezeProcess      = "freeze"
	resetLinks         = "reset"
	killAll            = "kill-all"
	powerAll           = "power-all"
	laggingMinority    = "behind" // misses changes; one of the others loses its disk, the rest lose power
	loseReplies        = "answers"
	restartEdges       = "edges"
)

var faultKinds = []string{
	killProcess, losePower, loseDisk, loseDisk, replaceUnplanned, replaceUnplanned, replacePlanned,
	replacePlanned, restartPlanned, stallDisk, slowDisk, diskFull, failSyncs, partitionBoth, partitionBoth,
	partitionOutbound, partitionInbound, partitionWithEdges, splitCores, splitCores,
	freezeProcess, freezeProcess,
	resetLinks, killAll, powerAll, laggingMinority, loseReplies, restartEdges,
}

const (
	firstFaultMillis = 4000  // ms
	lastFaultMillis  = 26000 // ms
	maxFaults        = 9
	faultFreeEnd     = 9 * time.Second
)

// drawSchedule draws the faults of a run, in the order of their times.
func drawSchedule(random *rand.Rand) []faultEvent {
	schedule := make([]faultEvent, 2+random.Intn(maxFaults-1))
	for i := range schedule {
		schedule[i] = faultEvent{
			At:   firstFaultMillis + random.Intn(lastFaultMillis-firstFaultMillis),
			Kind: faultKinds[random.Intn(len(faultKinds))], Machine: random.Intn(8),
			Duration: 50 + random.Intn(6000), X: 50 + random.Intn(2000),
		}
		if random.Intn(3) == 0 {
			schedule[i].Machine = currentLeader
		}
		if i > 0 && random.Intn(2) == 0 { // close to the one before it
			schedule[i].At = schedule[i-1].At + random.Intn(1500)
		}
	}
	slices.SortStableFunc(schedule, func(x, y faultEvent) int { return x.At - y.At })
	return schedule
}

func (w *world) target(t faultEvent) *machine {
	present := w.presentMachines()
	if t.Machine == currentLeader {
		if m := w.leader(); m != nil {
			return m
		}
		return present[0]
	}
	return present[t.Machine%len(present)]
}

func milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// injectFault injects a fault. It returns false, and injects nothing, if more disks would be lost than are
// tolerated; the fault waits then.
func (w *world) injectFault(t faultEvent) bool {
	m := w.target(t)
	span := milliseconds(t.Duration)
	until := w.now + span
	switch t.Kind {
	case killProcess, losePower:
		m.kill(t.Kind == losePower, span)
	case loseDisk, replaceUnplanned, replacePlanned, laggingMinority:
		return w.injectDiskLoss(t, m)
	case restartPlanned:
		w.requestStop(m, func() { m.restartAt = w.now + restartDelay })
	case stallDisk:
		m.stalledUntil = until
	case slowDisk:
		m.slowUntil = until
	case diskFull:
		m.fullUntil = until
	case failSyncs:
		m.files.FailSyncs += 1 + t.X%3
	case partitionBoth, partitionOutbound, partitionInbound, partitionWithEdges:
		w.partitionMachine(t.Kind, m, until)
	case splitCores:
		w.split(until)
	case freezeProcess:
		m.frozenUntil = until
	case resetLinks:
		for _, d := range w.network.order {
			w.network.reset(w.network.pipes[d])
		}
	case killAll, powerAll:
		for _, other := range w.presentMachines() {
			other.kill(t.Kind == powerAll, 1+time.Duration(w.random.Intn(t.X))*time.Millisecond)
		}
	case loseReplies:
		w.clients.replyLossRate = 0.6
	case restartEdges:
		for _, e := range w.edges {
			e.restart(milliseconds(t.X))
		}
	}
	return true
}

// injectDiskLoss loses a disk, if one more may be lost.
func (w *world) injectDiskLoss(t faultEvent, m *machine) bool {
	if m.diskLost {
		// The same loss once more. It is tolerated while no other machine counts as lost; otherwise the quorum
		// would have to guess which voter the learner replaces (docs/control-safety.md, "Bound").
		if !w.othersHealthy(m) {
			return false
		}
	} else if w.disksLost() >= w.shape.tolerated {
		return false
	}
	switch t.Kind {
	case loseDisk:
		m.wipe(milliseconds(t.X))
	case replaceUnplanned:
		m.kill(true, 0)
		m.removed = true
		w.addSuccessor(milliseconds(t.X))
	case replacePlanned:
		w.addSuccessor(0)
		m.restartAt = max(m.restartAt, w.now)
		w.schedule(milliseconds(t.X), func() {
			w.requestStop(m, func() { m.removed = true })
		})
	case laggingMinority:
		w.lagThenLoseDisks(t, m)
	}
	return true
}

func (w *world) othersHealthy(m *machine) bool {
	for _, other := range w.presentMachines() {
		if other != m && other.healthyFor < catchUpTimeout {
			return false
		}
	}
	return true
}

// lagThenLoseDisks lets a minority miss changes; then another machine loses its disk, and the rest lose
// power, until the partition has healed.
func (w *world) lagThenLoseDisks(t faultEvent, m *machine) {
	w.partitionMachine(partitionBoth, m, w.now+milliseconds(t.Duration))
	w.schedule(milliseconds(t.Duration)*3/4, func() {
		wiped := false
		for _, other := range w.presentMachines() {
			switch {
			case other == m:
			case !wiped && w.disksLost() < w.shape.tolerated:
				wiped = true
				other.wipe(milliseconds(t.X))
			default:
				other.kill(true, milliseconds(t.X))
			}
		}
	})
}

// addSuccessor adds an empty machine, whose seeds are drawn among those present.
func (w *world) addSuccessor(after time.Duration) {
	var seeds []string
	for _, m := range w.presentMachines() {
		seeds = append(seeds, m.host)
	}
	w.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	fresh := w.addMachine(seeds[:min(len(seeds), founderCount)])
	fresh.restartAt = w.now + after
	fresh.diskLost = true
}

// requestStop requests a graceful shutdown of a process, as SIGTERM does.
func (w *world) requestStop(m *machine, onStop func()) {
	p := m.process
	if p == nil || p.shuttingDown {
		m.kill(false, 0)
		onStop()
		return
	}
	p.shuttingDown, p.onStop, p.killAt = true, onStop, w.now+shutdownGrace
	p.post(func(e *Engine) { e.BeginShutdown() })
}

func (w *world) partitionMachine(kind string, m *machine, until time.Duration) {
	for _, other := range w.presentMachines() {
		if other == m {
			continue
		}
		if kind != partitionInbound {
			w.network.partition(direction{m.host, other.host}, until)
		}
		if kind != partitionOutbound {
			w.network.partition(direction{other.host, m.host}, until)
		}
	}
	if kind != partitionWithEdges {
		return
	}
	for _, e := range w.edges[1:] {
		w.network.partition(direction{m.host, e.name}, until)
	}
}

func (w *world) split(until time.Duration) {
	present := w.presentMachines()
	w.random.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	half := present[:len(present)/2]
	for _, m := range half {
		for _, other := range present[len(present)/2:] {
			w.network.partition(direction{m.host, other.host}, until)
			w.network.partition(direction{other.host, m.host}, until)
		}
	}
}

// scheduledAction is an action at a later time of a run.
type scheduledAction struct {
	at  time.Duration
	run func()
}

func (w *world) schedule(span time.Duration, do func()) {
	w.scheduled = append(w.scheduled, scheduledAction{w.now + span, do})
}

func (w *world) runScheduled() {
	due := w.scheduled
	w.scheduled = nil
	for _, d := range due {
		if d.at <= w.now {
			d.run()
		} else {
			w.scheduled = append(w.scheduled, d)
		}
	}
}

// runSchedule runs a schedule, a final fault and a time without faults, and returns the violations found.
func runSchedule(seed int64, s shape, schedule []faultEvent, planted plantedFault) []string {
	w := newWorld(seed, s, planted)
	waiting := slices.Clone(schedule)
	end := milliseconds(lastFaultMillis) + 2*time.Second
	for w.now < end {
		w.runScheduled()
		for len(waiting) > 0 && milliseconds(waiting[0].At) <= w.now && w.injectFault(waiting[0]) {
			waiting = waiting[1:]
		}
		w.step()
	}
	w.injectFinalFault()
	w.clients.replyLossRate = 0
	w.finish()
	return w.violations
}

// finish runs without faults, lets operations in progress end, and checks what has to hold then.
func (w *world) finish() {
	w.run(faultFreeEnd)
	w.clients.idle = true
	for limit := w.now + operatorTimeout + time.Second; w.clients.busy() && w.now < limit; {
		w.step()
	}
	w.run(time.Second)
	w.checkEnd()
}

// injectFinalFault injects the fault at the end: right after an acknowledgement, or a change whose outcome
// may be unknown, disks are lost and all other machines lose power.
func (w *world) injectFinalFault() {
	acknowledged := len(w.clients.acknowledged)
	for limit := w.now + 2*time.Second; len(w.clients.acknowledged) == acknowledged && w.now < limit; {
		w.runScheduled()
		w.step()
	}
	w.run(time.Duration(w.random.Intn(3)*w.random.Intn(200)) * time.Millisecond)
	for _, m := range w.presentMachines() {
		down := time.Duration(500+w.random.Intn(1300)) * time.Millisecond
		if !m.diskLost && w.disksLost() < w.shape.tolerated && w.random.Intn(2) == 0 {
			m.wipe(down)
			continue
		}
		m.kill(true, down)
	}
	for _, e := range w.edges {
		e.restart(time.Duration(w.random.Intn(800)) * time.Millisecond)
	}
	w.scheduled = nil
	for d := range w.network.partitionedUntil {
		w.network.partitionedUntil[d] = min(w.network.partitionedUntil[d], w.now)
	}
	for _, m := range w.presentMachines() {
		m.stalledUntil, m.slowUntil, m.fullUntil = 0, 0, 0
	}
}

// checkEnd checks what has to hold after a time without faults.
func (w *world) checkEnd() {
	leader := w.leader()
	if leader == nil {
		w.violation("no leader after a time without faults")
		return
	}
	e := leader.process.engine
	w.checkVoters(e)
	for _, m := range w.presentMachines() {
		if m.process == nil {
			w.violation("%s does not run", m.host)
			continue
		}
		if got := m.process.engine.machine.Generation(); got != e.machine.Generation() {
			w.violation("%s has version %d, the leader %d", m.host, got, e.machine.Generation())
		}
	}
	var final []*operation
	for zone := range simZones {
		active := slices.Contains(e.machine.Evacuated(), w.zoneName(zone))
		final = append(final, &operation{kind: readConfiguration, zone: zone, active: active})
	}
	last := &operation{
		operator: operatorCount, kind: readConfiguration, startedAt: w.now, completedAt: w.now + 1, outcome: 1,
		generation: e.machine.Generation(), body: decompressed(e.machine.Body()),
	}
	w.clients.history = append(w.clients.history, last)
	w.checkHistories(final)
	for instance := range w.clients.departures {
		if e.machine.Departure(instance) == nil {
			w.violation("the departure of %s was acknowledged and is lost", instance)
		}
	}
	if len(w.clients.acknowledged) == 0 {
		w.violation("no configuration was accepted in the entire run")
	}
}

// checkVoters checks that all voters run, and that there are as many as intended.
func (w *world) checkVoters(e *Engine) {
	var running []string
	for _, m := range w.presentMachines() {
		if m.process != nil {
			running = append(running, m.process.engine.options.Identity)
		}
	}
	voters := e.node.Voters()
	for _, member := range voters {
		if !slices.Contains(running, member) {
			w.violation("%s is a voter and does not run; machines %v, voters %v", member, running, voters)
		}
	}
	if len(voters) != w.shape.cores {
		w.violation("%d voters: %v", len(voters), voters)
	}
}
