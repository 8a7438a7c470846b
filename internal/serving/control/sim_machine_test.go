package control

import (
	"math/rand"
	"strconv"
	"time"

	"go.uber.org/zap"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wal/waltest"
	"willowdeck/internal/serving/wirepb"
)

const (
	dataFolder    = "data"
	workersFile   = "workers"
	usualDisk     = 4 * time.Millisecond
	slowDiskTime  = 120 * time.Millisecond
	repairPause   = 100 * time.Millisecond
	powerLossOps  = 6 // operations at most that a disk does between the last whole task and a loss of power
	simHeartbeat  = 1200 * time.Millisecond
	simCatchUp    = 4 * time.Second
	simGrace      = 8 * time.Second
	internalPort  = ":7660"
	savedAfter    = 10 * time.Millisecond
	restartPause  = 300 * time.Millisecond
	foundingSeeds = 3
)

// machine is one core machine, with its disk.
type machine struct {
	world   *world
	host    string
	zone    int
	files   *waltest.FileSystem
	process *process // nil: down
	life    int      // counted from 1
	upAt    time.Duration
	gone    bool // for good
	seeds   []string

	bootstrap    bool
	frozenUntil  time.Duration
	stalledUntil time.Duration
	slowUntil    time.Duration
	fullUntil    time.Duration

	steady   time.Duration // for how long it has run and reached all others
	diskLost bool          // its disk was lost and it has not had its time to catch up
	caughtUp time.Duration // how much of that time it has had
}

// process is one life of a core.
type process struct {
	machine  *machine
	engine   *Engine
	started  time.Duration
	inbox    []func(e *Engine)
	nextTick time.Duration
	tasks    []simTask
	running  []simTask
	doneAt   time.Duration
	repairs  bool
	store    *wal.Store
	leaving  bool
	ends     func() // what happens when a leaving process stops
	killAt   time.Duration
	checked  uint64 // index of the log at which the state was looked at last
}

// simTask is something for the disk.
type simTask struct {
	batch   consensus.Persist
	rewrite *consensus.Stored
	done    func()
}

func (p *process) post(event func(e *Engine)) { p.inbox = append(p.inbox, event) }

// Send, Write, Rewrite, SegmentBytes and SaveWorkers are the engine's environment.
func (p *process) Send(address string, envelope *wirepb.Envelope) {
	p.machine.world.network.send(p.machine.host, hostPart(address), envelope)
}

func (p *process) Write(batch consensus.Persist, done func()) {
	if p.machine.world.planted.ackAtOnce {
		p.tasks = append(p.tasks, simTask{batch: batch, done: func() {}})
		p.post(func(*Engine) { done() })
		return
	}
	p.tasks = append(p.tasks, simTask{batch: batch, done: done})
}

func (p *process) Rewrite(stored consensus.Stored, done func()) {
	p.tasks = append(p.tasks, simTask{rewrite: &stored, done: done})
}

func (p *process) SegmentBytes() int64 { return p.store.Size() * p.machine.world.segmentScale }

func (p *process) SaveWorkers(data []byte, done func()) {
	if p.machine.stalledUntil <= p.machine.world.now {
		wal.WriteFile(p.machine.files, dataFolder, workersFile, data)
	}
	p.post(func(*Engine) { done() })
}

func hostPart(address string) string { return address[:len(address)-len(internalPort)] }

// start begins a life.
func (m *machine) start() {
	w := m.world
	m.life++
	m.files.Restart()
	var founders wal.InitialMembers
	if m.bootstrap {
		for _, host := range m.seeds {
			founders = append(founders, consensus.FounderIdentity(host))
		}
	}
	fresh := consensus.Identity(m.host, "d"+strconv.Itoa(w.random.Int()))
	if w.planted.identity != nil {
		fresh = w.planted.identity(m, fresh)
	}
	m.files.Full = false // a start on a full disk waits for it
	opened, err := wal.OpenReplica(m.files, dataFolder, consensus.FounderIdentity(m.host), founders, fresh)
	if err != nil {
		m.upAt = w.now + restartPause // the platform starts it again
		return
	}
	m.bootstrap = false
	p := &process{machine: m, started: w.now, nextTick: w.now, store: opened.Store}
	saved, _ := m.files.ReadFile(dataFolder + "/" + workersFile)
	options := Options{
		Identity: opened.Identity, Life: m.host + "/" + strconv.Itoa(m.life), Address: m.host + internalPort,
		AddressOf: func(host string) string { return host + internalPort }, Zone: w.zoneName(m.zone),
		Region: "r", Seeds: m.seeds, Consensus: w.consensusOptions(), HeartbeatEvery: simHeartbeat,
		CatchUp: simCatchUp,
		Grace:   simGrace, Clock: func() time.Duration { return w.now - p.started },
		Random: rand.New(rand.NewSource(w.random.Int63())), Logger: zap.NewNop(), SavedWorkers: saved,
	}
	p.engine, err = New(options, opened.State, p)
	if err != nil {
		w.problem("%s cannot start: %v", m.host, err)
		return
	}
	m.process = p
}

// step plays the disk, and the process unless it stands still.
func (m *machine) step() {
	p := m.process
	if p == nil {
		return
	}
	m.files.Full = m.fullUntil > m.world.now
	m.stepDisk()
	if m.frozenUntil > m.world.now {
		return
	}
	for len(p.inbox) > 0 && m.process == p {
		event := p.inbox[0]
		p.inbox = p.inbox[1:]
		event(p.engine)
	}
	if m.process == p && m.world.now >= p.nextTick {
		p.nextTick = m.world.now + TickInterval
		p.engine.Tick()
	}
	if m.process == p && p.leaving && (p.mayStop() || m.world.now >= p.killAt) {
		ends := p.ends
		m.kill(false, 0)
		ends()
	}
}

func (p *process) mayStop() bool { return p.machine.world.planted.stopAtOnce || p.engine.MayStop() }

// stepDisk begins and completes writes. Tasks that wait together are written together.
func (m *machine) stepDisk() {
	w, p := m.world, m.process
	if m.stalledUntil > w.now {
		return
	}
	if len(p.running) == 0 && len(p.tasks) > 0 {
		p.running, p.tasks = p.tasks, nil
		took := usualDisk
		if m.slowUntil > w.now {
			took = slowDiskTime
		}
		p.doneAt = w.now + took
	}
	if len(p.running) == 0 || p.doneAt > w.now {
		return
	}
	if m.carryOut() != nil {
		p.repairs = true
		p.doneAt = w.now + repairPause
		return
	}
	tasks := p.running
	p.running, p.repairs = nil, false
	p.post(func(*Engine) {
		for _, task := range tasks {
			task.done()
		}
	})
}

// carryOut does what the disk has at hand, as the program's disk goroutine does.
func (m *machine) carryOut() error {
	p := m.process
	if p.repairs {
		return p.store.Repair()
	}
	var batches []consensus.Persist
	var err error
	for _, task := range p.running {
		if task.rewrite == nil {
			batches = append(batches, task.batch)
			continue
		}
		batches = nil
		err = p.store.Rewrite(*task.rewrite)
	}
	if len(batches) > 0 {
		err = p.store.Write(batches)
	}
	return err
}

// kill ends the process. power: what the disk has not synced is lost as well. The machine comes back after
// down, or not before something starts it where that is 0.
func (m *machine) kill(power bool, down time.Duration) {
	if m.gone {
		return
	}
	w := m.world
	if p := m.process; p != nil {
		m.files.CutPowerAfter(w.random.Intn(powerLossOps))
		if len(p.running) > 0 {
			m.carryOut()
		}
		w.network.forget(m.host, power)
	}
	if power {
		m.files.LosePower()
	}
	m.process = nil
	m.frozenUntil = 0
	if down > 0 {
		m.upAt = max(m.upAt, w.now+down)
	}
}

// wipe takes the disk away.
func (m *machine) wipe(down time.Duration) {
	m.kill(true, down)
	m.files = waltest.New(m.world.random)
	m.bootstrap = false
	m.diskLost, m.caughtUp = true, 0
}

// diskTrouble reports whether the disk does not take writes as it should.
func (m *machine) diskTrouble() bool {
	return max(m.stalledUntil, m.slowUntil, m.fullUntil) > m.world.now
}

// up reports whether the machine runs and can speak.
func (m *machine) up() bool {
	return m.process != nil && m.frozenUntil <= m.world.now && !m.process.leaving
}
