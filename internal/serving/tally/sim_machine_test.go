package tally

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"willowdeck/internal/serving/tallylog"
	"willowdeck/internal/serving/wal/waltest"
	"willowdeck/internal/serving/wirepb"
	"willowdeck/internal/testkit/tallyhistory"
)

const (
	dataFolder          = "data"
	eventCost           = 20 * time.Microsecond // of the processor, for each event of a process
	slowDiskTime        = 120 * time.Millisecond
	maxGroup            = 64 // tasks that are written together
	maxCutOperations    = 6  // operations of a disk between its last completed task and its loss of power
	shutdownGrace       = 8 * time.Second
	shutdownMargin      = 2 * time.Second
	restartDelay        = 300 * time.Millisecond
	removedPeerInterval = 10 * time.Second // after which a removed machine is not listed any more
)

// machine is one core machine with its disk.
type machine struct {
	world        *world
	address      string
	zone         int
	seeds        []string
	files        *waltest.FileSystem
	process      *process // nil: down
	incarnations int
	removed      bool
	removedAt    time.Duration
	powerless    bool // while it is down: connections to it hang
	downSince    time.Duration
	wipedAt      time.Duration // of the last loss of its disk; 0: none

	frozenUntil  time.Duration
	stalledUntil time.Duration
	slowUntil    time.Duration
	fullUntil    time.Duration
}

// process is one incarnation of a core.
type process struct {
	machine     *machine
	replica     *Replica
	incarnation string
	started     time.Duration
	dead        bool
	inbox       []func()
	scheduled   bool // the next event of the inbox is scheduled
	tickPending bool
	links       map[string]*link
	known       map[string]bool // addresses of cores
	log         *tallylog.Log
	tasks       []diskTask
	group       []diskTask // that are being written
	stopping    bool
	onStop      func()
}

// diskTask is a write of the log.
type diskTask struct {
	records []*wirepb.TallyRecords
	done    func()
}

// start begins an incarnation.
func (m *machine) start() {
	w := m.world
	if m.removed || m.process != nil {
		return
	}
	m.incarnations++
	m.files.Restart()
	opened, err := tallylog.Open(m.files, dataFolder)
	if err != nil || opened.Corruption != nil {
		w.violation("%s opens its log with %v, %v", m.address, err, opened.Corruption)
		return
	}
	p := &process{
		machine: m, incarnation: fmt.Sprintf("%s/%d", m.address, m.incarnations), started: w.now,
		links: map[string]*link{}, known: map[string]bool{}, log: opened.Log,
	}
	for _, seed := range m.seeds {
		p.learn(seed)
	}
	p.replica = NewReplica(Options{
		Incarnation: p.incarnation, Address: m.address, Zone: fmt.Sprintf("zone-%d", m.zone),
		RequiredCopies: toleratedLosses + 1, RequiredZones: 2, ShutdownLimit: shutdownGrace - shutdownMargin,
		Clock: func() time.Duration { return w.now - p.started },
	}, p)
	if !w.planted.forgetLog {
		for records := range opened.Log.Earlier() {
			p.replica.Restore(records)
		}
	}
	if restored := p.replica.Vector(); len(restored) > 0 {
		p.submit(diskTask{done: func() { p.replica.ConfirmRestored(restored) }})
	}
	m.process = p
	if m.incarnations > 1 || w.now > catchUpTime {
		w.disturbances = append(w.disturbances, &disturbance{from: m.downSince, to: w.now})
	}
	p.tick()
}

// learn has a core's address replicated to from the next tick on.
func (p *process) learn(address string) {
	if address != p.machine.address {
		p.known[address] = true
	}
}

// tick has the periodic work done, until the process ends.
func (p *process) tick() {
	if p.dead {
		return
	}
	if !p.tickPending {
		p.tickPending = true
		p.post(func() {
			p.tickPending = false
			p.updateLinks()
			p.replica.Tick()
			p.replica.Flush()
		})
	}
	p.machine.world.after(tickInterval, p.tick)
}

// updateLinks keeps a link to each known core.
func (p *process) updateLinks() {
	w := p.machine.world
	for address := range p.known {
		if other := w.byAddress[address]; other.removed && w.now-other.removedAt > removedPeerInterval {
			delete(p.known, address)
		}
	}
	wanted := slices.Sorted(maps.Keys(p.known))
	p.replica.SetPeers(wanted)
	for _, address := range wanted {
		if p.links[address] == nil {
			p.links[address] = w.network.newLink(p, w.byAddress[address])
		}
	}
}

// post has an event handled on the process's goroutine.
func (p *process) post(event func()) {
	if p.dead {
		return
	}
	p.inbox = append(p.inbox, event)
	p.schedule()
}

func (p *process) schedule() {
	if !p.scheduled && len(p.inbox) > 0 {
		p.scheduled = true
		p.machine.world.after(eventCost, p.handleNext)
	}
}

// handleNext handles one event, unless the process is frozen or has ended.
func (p *process) handleNext() {
	m := p.machine
	if p.dead {
		return
	}
	if m.frozenUntil > m.world.now {
		m.world.at(m.frozenUntil, p.handleNext)
		return
	}
	p.scheduled = false
	event := p.inbox[0]
	p.inbox = p.inbox[1:]
	event()
	if len(p.inbox) == 0 {
		p.replica.Flush()
	}
	if p.stopping && (m.world.planted.stopAtOnce || p.replica.SafeToStop()) {
		onStop := p.onStop
		m.kill(false)
		onStop()
		return
	}
	p.schedule()
}

// Send sends a message over the link to another core.
func (p *process) Send(address string, message *wirepb.TallyMessage) {
	if change := p.machine.world.planted.send; change != nil {
		message = change(p, message)
	}
	if l := p.links[address]; l != nil {
		l.send(message)
	}
}

// Append appends records to the log.
func (p *process) Append(records []*wirepb.TallyRecords, done func()) {
	if p.machine.world.planted.confirmBeforeSync {
		p.submit(diskTask{records: records, done: func() {}})
		p.post(done)
		return
	}
	p.submit(diskTask{records: records, done: done})
}

func (p *process) submit(task diskTask) {
	p.tasks = append(p.tasks, task)
	p.beginWrite()
}

// beginWrite begins to write the tasks that wait, up to the size of a group.
func (p *process) beginWrite() {
	m := p.machine
	if p.dead || len(p.group) > 0 || len(p.tasks) == 0 {
		return
	}
	if m.frozenUntil > m.world.now {
		m.world.at(m.frozenUntil, p.beginWrite)
		return
	}
	count := min(len(p.tasks), maxGroup)
	p.group = p.tasks[:count:count]
	p.tasks = p.tasks[count:]
	duration := m.world.diskTime
	if m.slowUntil > m.world.now {
		duration = slowDiskTime
	}
	m.world.after(duration, p.completeWrite)
}

// completeWrite writes the group, again and again until that succeeds, and reports it.
func (p *process) completeWrite() {
	m := p.machine
	if p.dead {
		return
	}
	if m.stalledUntil > m.world.now {
		m.world.at(m.stalledUntil, p.completeWrite)
		return
	}
	if p.writeGroup() != nil {
		m.world.after(repairInterval, p.completeWrite)
		return
	}
	tasks := p.group
	p.group = nil
	p.post(func() {
		for _, task := range tasks {
			task.done()
		}
	})
	p.beginWrite()
}

func (p *process) writeGroup() error {
	if err := p.log.Consolidate(); err != nil {
		return err
	}
	var records []*wirepb.TallyRecords
	for _, task := range p.group {
		records = append(records, task.records...)
	}
	if len(records) == 0 {
		return nil
	}
	return p.log.Append(records)
}

// kill ends the process; with losePower the writes of the disk that were not synced may be lost as well.
func (m *machine) kill(losePower bool) {
	w := m.world
	if p := m.process; p != nil {
		p.dead = true
		m.downSince = w.now
		if len(p.group) > 0 {
			m.files.CutPowerAfter(w.random.Intn(maxCutOperations))
			p.writeGroup() // as far as it comes
		}
		for _, address := range slices.Sorted(maps.Keys(p.links)) {
			p.links[address].senderEnded(losePower)
		}
	}
	if losePower {
		m.files.LosePower()
	}
	m.process = nil
	m.powerless = losePower
	m.frozenUntil = min(m.frozenUntil, w.now)
}

// restart ends the process and starts another one after a time.
func (m *machine) restart(losePower bool, downtime time.Duration) {
	m.kill(losePower)
	m.world.after(downtime, m.start)
}

// wipe loses the disk, and restarts the machine.
func (m *machine) wipe(downtime time.Duration) {
	m.loseDisk()
	m.world.after(downtime, m.start)
}

// loseDisk ends the process and loses the disk.
func (m *machine) loseDisk() {
	w := m.world
	m.kill(true)
	m.files = waltest.New(w.random)
	m.wipedAt = w.now
	w.history = append(w.history, tallyhistory.Event{
		Kind: tallyhistory.DiskLoss, Core: m.address, Started: w.now, Ended: w.now,
	})
}

// beginStop asks the process to stop, as SIGTERM does, and calls onStop once it has.
func (m *machine) beginStop(onStop func()) {
	w, p := m.world, m.process
	if p == nil || p.stopping {
		m.kill(false)
		onStop()
		return
	}
	p.stopping, p.onStop = true, onStop
	m.downSince = w.now
	p.post(p.replica.BeginShutdown)
	w.after(shutdownGrace, func() {
		if !p.dead {
			m.kill(false)
			onStop()
		}
	})
}

// faulty reports whether the machine does not run, is frozen, or its disk is in trouble.
func (m *machine) faulty() bool {
	return m.process == nil || m.process.stopping ||
		max(m.frozenUntil, m.stalledUntil, m.slowUntil, m.fullUntil) > m.world.now
}

// lost reports whether the machine counts as lost: while it is faulty and for a time after.
func (m *machine) lost() bool {
	if m.faulty() {
		return true
	}
	faultyUntil := max(m.frozenUntil, m.stalledUntil, m.slowUntil, m.fullUntil)
	if m.incarnations > 1 || m.process.started > catchUpTime {
		faultyUntil = max(faultyUntil, m.process.started)
	}
	return faultyUntil > 0 && m.world.now < faultyUntil+catchUpTime
}
