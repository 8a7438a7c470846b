package control

import (
	"math/rand"
	"slices"
	"time"
)

// trouble is one thing that happens in a run. Times are in milliseconds, so that a schedule can be kept as
// text.
type trouble struct {
	At      int    `json:"at"`
	Kind    string `json:"kind"`
	Machine int    `json:"machine"` // among those present; leaderMachine: the one that acts
	For     int    `json:"for"`
	X       int    `json:"x"`
}

const leaderMachine = -1

// The kinds of trouble.
const (
	killProcess  = "kill"
	losePower    = "power"
	loseDisk     = "wipe"
	replaceLost  = "replace" // gone for good; an empty one comes x later
	replacePlan  = "planned" // an empty one comes; x later the old one is told to stop, for good
	restartPlan  = "roll"    // told to stop, and started again
	stallDisk    = "stall"
	slowDisk     = "slow"
	fillDisk     = "full"
	failSyncs    = "syncs"
	cutOff       = "cut"     // from the other cores
	cutOut       = "cut-out" // what it says is lost
	cutIn        = "cut-in"  // what it is told is lost
	cutNear      = "near"    // also from the edges but one
	split        = "split"   // half of the cores from the others
	freeze       = "freeze"
	resetLinks   = "reset"
	killAll      = "kill-all"
	powerAll     = "power-all"
	minority     = "behind" // a minority misses changes; one of the others loses its disk, the rest their power
	loseAnswers  = "answers"
	restartEdges = "edges"
)

var troubleKinds = []string{
	killProcess, losePower, loseDisk, loseDisk, replaceLost, replaceLost, replacePlan, replacePlan, restartPlan,
	stallDisk, slowDisk, fillDisk, failSyncs, cutOff, cutOff, cutOut, cutIn, cutNear, split, split,
	freeze, freeze,
	resetLinks, killAll, powerAll, minority, loseAnswers, restartEdges,
}

const (
	troubleBegins = 4000  // ms
	troubleEnds   = 26000 // ms
	mostTroubles  = 9
	calmAtEnd     = 9 * time.Second
)

// drawSchedule draws the troubles of a run, in the order of their times.
func drawSchedule(random *rand.Rand) []trouble {
	schedule := make([]trouble, 2+random.Intn(mostTroubles-1))
	for i := range schedule {
		schedule[i] = trouble{
			At:   troubleBegins + random.Intn(troubleEnds-troubleBegins),
			Kind: troubleKinds[random.Intn(len(troubleKinds))], Machine: random.Intn(8),
			For: 50 + random.Intn(6000), X: 50 + random.Intn(2000),
		}
		if random.Intn(3) == 0 {
			schedule[i].Machine = leaderMachine
		}
		if i > 0 && random.Intn(2) == 0 { // close to the one before it
			schedule[i].At = schedule[i-1].At + random.Intn(1500)
		}
	}
	slices.SortStableFunc(schedule, func(x, y trouble) int { return x.At - y.At })
	return schedule
}

func (w *world) target(t trouble) *machine {
	present := w.present()
	if t.Machine == leaderMachine {
		if m := w.leader(); m != nil {
			return m
		}
		return present[0]
	}
	return present[t.Machine%len(present)]
}

func milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// begin carries a trouble out. It returns false where that would lose more disks than are to be borne: the
// trouble waits then.
func (w *world) begin(t trouble) bool {
	m := w.target(t)
	span := milliseconds(t.For)
	until := w.now + span
	switch t.Kind {
	case killProcess, losePower:
		m.kill(t.Kind == losePower, span)
	case loseDisk, replaceLost, replacePlan, minority:
		return w.beginLoss(t, m)
	case restartPlan:
		w.stop(m, func() { m.upAt = w.now + restartPause })
	case stallDisk:
		m.stalledUntil = until
	case slowDisk:
		m.slowUntil = until
	case fillDisk:
		m.fullUntil = until
	case failSyncs:
		m.files.FailSyncs += 1 + t.X%3
	case cutOff, cutOut, cutIn, cutNear:
		w.cutMachine(t.Kind, m, until)
	case split:
		w.split(until)
	case freeze:
		m.frozenUntil = until
	case resetLinks:
		for _, d := range w.network.order {
			w.network.reset(w.network.pipes[d])
		}
	case killAll, powerAll:
		for _, other := range w.present() {
			other.kill(t.Kind == powerAll, 1+time.Duration(w.random.Intn(t.X))*time.Millisecond)
		}
	case loseAnswers:
		w.callers.loss = 0.6
	case restartEdges:
		for _, e := range w.edges {
			e.restart(milliseconds(t.X))
		}
	}
	return true
}

// beginLoss takes a disk away, if one more may be lost.
func (w *world) beginLoss(t trouble, m *machine) bool {
	if m.diskLost {
		// The same loss once more. It is to be borne while no other machine counts as lost: else the quorum had
		// to guess whose seat the newcomer was to take (docs/control-safety.md, "Bound").
		if !w.othersSteady(m) {
			return false
		}
	} else if w.disksLost() >= w.shape.tolerated {
		return false
	}
	switch t.Kind {
	case loseDisk:
		m.wipe(milliseconds(t.X))
	case replaceLost:
		m.kill(true, 0)
		m.gone = true
		w.addSuccessor(milliseconds(t.X))
	case replacePlan:
		w.addSuccessor(0)
		m.upAt = max(m.upAt, w.now)
		w.after(milliseconds(t.X), func() {
			w.stop(m, func() { m.gone = true })
		})
	case minority:
		w.behind(t, m)
	}
	return true
}

func (w *world) othersSteady(m *machine) bool {
	for _, other := range w.present() {
		if other != m && other.steady < simCatchUp {
			return false
		}
	}
	return true
}

// behind lets a minority miss changes; then another machine loses its disk, and the rest their power, until
// the cut has healed.
func (w *world) behind(t trouble, m *machine) {
	w.cutMachine(cutOff, m, w.now+milliseconds(t.For))
	w.after(milliseconds(t.For)*3/4, func() {
		wiped := false
		for _, other := range w.present() {
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
	for _, m := range w.present() {
		seeds = append(seeds, m.host)
	}
	w.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	fresh := w.addMachine(seeds[:min(len(seeds), foundingSeeds)])
	fresh.upAt = w.now + after
	fresh.diskLost = true
}

// stop tells a process to stop, as SIGTERM does.
func (w *world) stop(m *machine, ends func()) {
	p := m.process
	if p == nil || p.leaving {
		m.kill(false, 0)
		ends()
		return
	}
	p.leaving, p.ends, p.killAt = true, ends, w.now+simGrace
	p.post(func(e *Engine) { e.Leave() })
}

func (w *world) cutMachine(kind string, m *machine, until time.Duration) {
	for _, other := range w.present() {
		if other == m {
			continue
		}
		if kind != cutIn {
			w.network.cut(direction{m.host, other.host}, until)
		}
		if kind != cutOut {
			w.network.cut(direction{other.host, m.host}, until)
		}
	}
	if kind != cutNear {
		return
	}
	for _, e := range w.edges[1:] {
		w.network.cut(direction{m.host, e.name}, until)
	}
}

func (w *world) split(until time.Duration) {
	present := w.present()
	w.random.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	half := present[:len(present)/2]
	for _, m := range half {
		for _, other := range present[len(present)/2:] {
			w.network.cut(direction{m.host, other.host}, until)
			w.network.cut(direction{other.host, m.host}, until)
		}
	}
}

// delayed is something that happens later in a run.
type delayed struct {
	at time.Duration
	do func()
}

func (w *world) after(span time.Duration, do func()) {
	w.delayed = append(w.delayed, delayed{w.now + span, do})
}

func (w *world) stepDelayed() {
	due := w.delayed
	w.delayed = nil
	for _, d := range due {
		if d.at <= w.now {
			d.do()
		} else {
			w.delayed = append(w.delayed, d)
		}
	}
}

// play runs a schedule, a fault at the end, and a calm time, and returns what is wrong.
func play(seed int64, s shape, schedule []trouble, planted plant) []string {
	w := newWorld(seed, s, planted)
	waiting := slices.Clone(schedule)
	end := milliseconds(troubleEnds) + 2*time.Second
	for w.now < end {
		w.stepDelayed()
		for len(waiting) > 0 && milliseconds(waiting[0].At) <= w.now && w.begin(waiting[0]) {
			waiting = waiting[1:]
		}
		w.step()
	}
	w.close()
	w.callers.loss = 0
	w.settle()
	return w.problems
}

// settle brings calm, lets what is under way end, and looks at what should hold then.
func (w *world) settle() {
	w.run(calmAtEnd)
	w.callers.quiet = true
	for limit := w.now + patience + time.Second; w.callers.busy() && w.now < limit; {
		w.step()
	}
	w.run(time.Second)
	w.checkEnd()
}

// close is the fault at the end: right after an acknowledgement, or a change that may not have been, disks
// are lost and all other machines lose power.
func (w *world) close() {
	acknowledged := len(w.callers.acked)
	for limit := w.now + 2*time.Second; len(w.callers.acked) == acknowledged && w.now < limit; {
		w.stepDelayed()
		w.step()
	}
	w.run(time.Duration(w.random.Intn(3)*w.random.Intn(200)) * time.Millisecond)
	for _, m := range w.present() {
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
	w.delayed = nil
	for d := range w.network.cutUntil {
		w.network.cutUntil[d] = min(w.network.cutUntil[d], w.now)
	}
	for _, m := range w.present() {
		m.stalledUntil, m.slowUntil, m.fullUntil = 0, 0, 0
	}
}

// checkEnd looks at what calm should have brought.
func (w *world) checkEnd() {
	leader := w.leader()
	if leader == nil {
		w.problem("nobody leads after a calm time")
		return
	}
	e := leader.process.engine
	w.checkSeats(e)
	for _, m := range w.present() {
		if m.process == nil {
			w.problem("%s does not run", m.host)
			continue
		}
		if got := m.process.engine.machine.Generation(); got != e.machine.Generation() {
			w.problem("%s has version %d, the leader %d", m.host, got, e.machine.Generation())
		}
	}
	var final []*operation
	for zone := range simZones {
		active := slices.Contains(e.machine.Evacuated(), w.zoneName(zone))
		final = append(final, &operation{kind: readConfiguration, zone: zone, active: active})
	}
	last := &operation{
		operator: operatorCount, kind: readConfiguration, start: w.now, end: w.now + 1, outcome: 1,
		generation: e.machine.Generation(), body: unpacked(e.machine.Body()),
	}
	w.callers.history = append(w.callers.history, last)
	w.checkHistories(final)
	for instance := range w.callers.departures {
		if e.machine.Departure(instance) == nil {
			w.problem("the leaving of %s was acknowledged and is forgotten", instance)
		}
	}
	if len(w.callers.acked) == 0 {
		w.problem("no order was taken in the whole run")
	}
}

// checkSeats looks that all seats are taken by machines that run.
func (w *world) checkSeats(e *Engine) {
	var running []string
	for _, m := range w.present() {
		if m.process != nil {
			running = append(running, m.process.engine.options.Identity)
		}
	}
	seated := e.node.Voters()
	for _, member := range seated {
		if !slices.Contains(running, member) {
			w.problem("%s has a seat and does not run; machines %v, seats %v", member, running, seated)
		}
	}
	if len(seated) != w.shape.cores {
		w.problem("%d seats: %v", len(seated), seated)
	}
}
