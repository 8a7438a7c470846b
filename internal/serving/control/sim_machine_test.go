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
	dataFolder                   = "data"
	workersFile                  = "workers"
	normalWriteTime              = 4 * time.Millisecond
	slowWriteTime                = 120 * time.Millisecond
	repairInterval               = 100 * time.Millisecond
	maxOperationsBeforePowerLoss = 6 // operations of a disk between its last completed task and a power loss
	simHeartbeat                 = 1200 * time.Millisecond
	catchUpTimeout               = 4 * time.Second
	shutdownGrace                = 8 * time.Second
	internalPort                 = ":7660"
	saveDelay                    = 10 * time.Millisecond
	restartDelay                 = 300 * time.Millisecond
	founderCount                 = 3
)

// machine is one core machine, with its disk.
type machine struct {
	world       *world
	host        string
	zone        int
	files       *waltest.FileSystem
	process     *process // nil: down
	incarnation int      // from 1
	restartAt   time.Duration
	removed     bool // it never restarts
	seeds       []string

	bootstrap    bool
	frozenUntil  time.Duration
	stalledUntil time.Duration
	slowUntil    time.Duration
	fullUntil    time.Duration

	healthyFor  time.Duration // for how long it has run and been able to reach all others
	diskLost    bool          // and it has not had its time to catch up yet
	catchUpTime time.Duration // that it has had
}

// process is one incarnation of a core.
type process struct {
	machine      *machine
	engine       *Engine
	started      time.Duration
	inbox        []func(e *Engine)
	nextTick     time.Duration
	tasks        []simTask
	running      []simTask
	completeAt   time.Duration
	repairing    bool
	store        *wal.Store
	shuttingDown bool
	onStop       func() // called when a process that shuts down has stopped
	killAt       time.Duration
	checkedIndex uint64 // log index at which the state was last checked
}

// simTask is a write of the disk.
type simTask struct {
	batch   consensus.WriteBatch
	rewrite *consensus.DurableState
	done    func()
}

func (p *process) post(event func(e *Engine)) { p.inbox = append(p.inbox, event) }

// Send, Write, Rewrite, SegmentBytes and SaveWorkers are the engine's environment.
func (p *process) Send(address string, envelope *wirepb.Envelope) {
	p.machine.world.network.send(p.machine.host, hostPart(address), envelope)
}

func (p *process) Write(batch consensus.WriteBatch, done func()) {
	if p.machine.world.planted.ackBeforeSync {
		p.tasks = append(p.tasks, simTask{batch: batch, done: func() {}})
		p.post(func(*Engine) { done() })
		return
	}
	p.tasks = append(p.tasks, simTask{batch: batch, done: done})
}

func (p *process) Rewrite(stored consensus.DurableState, done func()) {
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

// start begins an incarnation.
func (m *machine) start() {
	w := m.world
	m.incarnation++
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
	m.files.Full = false // a start needs space
	opened, err := wal.OpenReplica(m.files, dataFolder, consensus.FounderIdentity(m.host), founders, fresh)
	if err != nil {
		m.restartAt = w.now + restartDelay // the platform restarts it
		return
	}
	m.bootstrap = false
	p := &process{machine: m, started: w.now, nextTick: w.now, store: opened.Store}
	saved, _ := m.files.ReadFile(dataFolder + "/" + workersFile)
	options := Options{
		Identity: opened.Identity, Incarnation: m.host + "/" + strconv.Itoa(m.incarnation),
		Address:   m.host + internalPort,
		AddressOf: func(host string) string { return host + internalPort }, Zone: w.zoneName(m.zone),
		Region: "r", Seeds: m.seeds, Consensus: w.consensusOptions(), WorkerHeartbeatInterval: simHeartbeat,
		CatchUpTimeout: catchUpTimeout,
		ShutdownGrace:  shutdownGrace, Clock: func() time.Duration { return w.now - p.started },
		Random: rand.New(rand.NewSource(w.random.Int63())), Logger: zap.NewNop(), SavedWorkers: saved,
	}
	p.engine, err = New(options, opened.State, p)
	if err != nil {
		w.violation("%s cannot start: %v", m.host, err)
		return
	}
	m.process = p
}

// step simulates the disk, and the process unless it is frozen.
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
	if m.process == p && p.shuttingDown && (p.safeToStop() || m.world.now >= p.killAt) {
		ends := p.onStop
		m.kill(false, 0)
		ends()
	}
}

func (p *process) safeToStop() bool {
	return p.machine.world.planted.stopImmediately || p.engine.SafeToStop()
}

// stepDisk begins and completes writes. Tasks that wait together are written together.
func (m *machine) stepDisk() {
	w, p := m.world, m.process
	if m.stalledUntil > w.now {
		return
	}
	if len(p.running) == 0 && len(p.tasks) > 0 {
		p.running, p.tasks = p.tasks, nil
		duration := normalWriteTime
		if m.slowUntil > w.now {
			duration = slowWriteTime
		}
		p.completeAt = w.now + duration
	}
	if len(p.running) == 0 || p.completeAt > w.now {
		return
	}
	if m.writeTasks() != nil {
		p.repairing = true
		p.completeAt = w.now + repairInterval
		return
	}
	tasks := p.running
	p.running, p.repairing = nil, false
	p.post(func(*Engine) {
		for _, task := range tasks {
			task.done()
		}
	})
}

// writeTasks writes the tasks that are running, as the program's disk goroutine does.
func (m *machine) writeTasks() error {
	p := m.process
	if p.repairing {
		return p.store.Repair()
	}
	var batches []consensus.WriteBatch
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

// kill ends the process. With losePower the unsynced writes of the disk are lost as well. The machine
// restarts after downtime; with 0 its restart time does not change.
func (m *machine) kill(losePower bool, downtime time.Duration) {
	if m.removed {
		return
	}
	w := m.world
	if p := m.process; p != nil {
		m.files.CutPowerAfter(w.random.Intn(maxOperationsBeforePowerLoss))
		if len(p.running) > 0 {
			m.writeTasks()
		}
		w.network.dropUnsent(m.host, losePower)
	}
	if losePower {
		m.files.LosePower()
	}
	m.process = nil
	m.frozenUntil = 0
	if downtime > 0 {
		m.restartAt = max(m.restartAt, w.now+downtime)
	}
}

// wipe loses the disk.
func (m *machine) wipe(downtime time.Duration) {
	m.kill(true, downtime)
	m.files = waltest.New(m.world.random)
	m.bootstrap = false
	m.diskLost, m.catchUpTime = true, 0
}

// diskFaulty reports whether the disk is stalled, slow or full.
func (m *machine) diskFaulty() bool {
	return max(m.stalledUntil, m.slowUntil, m.fullUntil) > m.world.now
}

// up reports whether the machine runs, is not frozen and is not shutting down.
func (m *machine) up() bool {
	return m.process != nil && m.frozenUntil <= m.world.now && !m.process.shuttingDown
}
