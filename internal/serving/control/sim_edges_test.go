package control

import (
	"fmt"
	"time"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/wirepb"
)

const (
	feedInterval = 100 * time.Millisecond
	linkSilence  = 1300 * time.Millisecond
	calmContact  = 5 * time.Second // after trouble, until what is promised to machines in touch holds
	simConfig    = 3 * time.Second // until a configuration is in force at machines in touch
	simDrain     = 3 * time.Second // until nothing is sent to a worker that is leaving
)

// simEdge is an edge machine: a copy of the core's state, fed by a core.
type simEdge struct {
	world      *world
	name       string
	mirror     *stateview.Store
	started    time.Duration
	downUntil  time.Duration
	core       *machine
	coreLife   int
	link       *EdgeLink
	order      uint64
	heard      time.Duration
	nextFeed   time.Duration
	generation uint64 // the newest that this life has seen
}

func newSimEdge(w *world, i int) *simEdge {
	e := &simEdge{world: w, name: fmt.Sprintf("edge-%d", i)}
	e.restart(0)
	return e
}

// restart begins a life that knows nothing.
func (e *simEdge) restart(down time.Duration) {
	e.downUntil = e.world.now + down
	e.started = e.downUntil
	e.mirror = stateview.New("", func() time.Duration { return e.world.now - e.started })
	e.core = nil
	e.generation = 0
}

func (e *simEdge) step() {
	w := e.world
	if w.now < e.downUntil || w.now < e.nextFeed {
		return
	}
	e.nextFeed = w.now + feedInterval
	if e.core == nil {
		e.connect()
	}
	if e.core == nil {
		return
	}
	if e.core.process == nil || e.core.life != e.coreLife || w.now-e.heard > linkSilence {
		e.disconnect()
		return
	}
	if e.core.frozenUntil > w.now || !w.network.reaches(e.name, e.core.host) {
		return
	}
	e.heard = w.now
	e.pull()
	e.check()
}

// connect links to a core that can be reached.
func (e *simEdge) connect() {
	present := e.world.present()
	m := present[e.world.random.Intn(len(present))]
	if !m.up() || !e.world.network.reaches(e.name, m.host) {
		return
	}
	e.core, e.coreLife, e.heard = m, m.life, e.world.now
	e.link = &EdgeLink{}
	e.order += 10
	edge := &wirepb.Edge{Name: e.name, Address: e.name + ":80", Ready: true}
	request := &wirepb.FeedRequest{Subscriber: e.name, EdgeOrder: e.order, Edge: edge}
	link := e.link
	m.process.post(func(engine *Engine) { engine.LinkEdge(link, request) })
}

func (e *simEdge) disconnect() {
	if p := e.core.process; p != nil && e.core.life == e.coreLife {
		link := e.link
		p.post(func(engine *Engine) { engine.UnlinkEdge(link) })
	}
	e.core = nil
}

// pull takes what is missing.
func (e *simEdge) pull() {
	update, _ := e.core.process.engine.Mirror().UpdateSince(e.mirror.Position())
	e.mirror.Apply(update)
}

// check looks that versions never go back in one life, and that what was acknowledged holds at an edge in
// touch.
func (e *simEdge) check() {
	w := e.world
	view := e.mirror.Snapshot()
	generation := uint64(0)
	if view.Document != nil {
		generation = view.Document.Generation
	}
	if generation < e.generation {
		w.problem("%s went back from version %d to %d", e.name, e.generation, generation)
	}
	e.generation = generation
	if !w.callers.possible(generation) {
		w.problem("%s has version %d, which was never sent or was refused", e.name, generation)
	}
	if !view.QuorumContact {
		return
	}
	e.checkLiveWorkers()
	if due := w.callers.dueVersion(w.now - simConfig); generation < due {
		w.problem("%s is in touch with version %d long after %d was acknowledged", e.name, generation, due)
	}
	if w.now-w.lastTrouble < calmContact || w.now-e.started < calmContact {
		return
	}
	e.checkWorkers(view)
}

func (e *simEdge) checkWorkers(view stateview.Snapshot) {
	w := e.world
	for _, entry := range view.Entries {
		worker := entry.Record.GetWorker()
		if worker == nil || entry.Record.Deleted || worker.Draining {
			continue
		}
		if at, leaving := w.callers.departures[worker.InstanceId]; leaving && w.now-at > simDrain {
			w.problem("%s still uses %s, whose leaving was acknowledged at %v", e.name, worker.InstanceId, at)
		}
	}
}

// checkLiveWorkers looks that no worker is dropped which lives and is answered by some core.
func (e *simEdge) checkLiveWorkers() {
	w := e.world
	for _, worker := range w.callers.workers {
		held := e.mirror.Get(catalog.WorkerKey(worker.name()))
		if held != nil && held.Record.Deleted && worker.steady() {
			w.problem("%s has dropped %s, which is alive and was answered all the while", e.name, worker.name())
		}
	}
}
