package core

import (
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"willowdeck/internal/serving/boot"
	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wirepb"
)

const (
	compactBytes = 2 << 20 // of entries, after which a snapshot is taken
	compactFiles = 8 << 20 // of a segment, after which a new one is begun
	rewritePause = 100 * time.Millisecond
)

// openDisk returns the identity of the disk and what it holds. A disk without an identity gets one: that of
// a founder on the first start of the whole system, else a new one that no quorum knows yet.
func openDisk(settings *boot.Settings, logger *zap.Logger) (string, *wal.Log, consensus.Stored, error) {
	folder := settings.DataDir
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", nil, consensus.Stored{}, errors.Wrap(err, "cannot make data_dir: check its path and rights")
	}
	identity, err := wal.LoadIdentity(folder)
	if err != nil {
		return "", nil, consensus.Stored{}, err
	}
	log, stored, exists, err := wal.Open(folder)
	if errors.Is(err, wal.ErrDamaged) {
		logger.Error("the disk has lost what it held: this replica joins anew", zap.Error(err))
		identity = ""
	} else if err != nil {
		return "", nil, consensus.Stored{}, err
	}
	if identity != "" && exists {
		return identity, log, stored, nil
	}
	return newDiskIdentity(settings)
}

func newDiskIdentity(settings *boot.Settings) (string, *wal.Log, consensus.Stored, error) {
	var stored consensus.Stored
	identity := consensus.Identity(settings.IP, randomTag())
	if founders := founders(settings); slices.Contains(founders, consensus.FounderIdentity(settings.IP)) {
		identity = consensus.FounderIdentity(settings.IP)
		stored = consensus.Founding(founders)
	}
	if err := wal.Clear(settings.DataDir); err != nil {
		return "", nil, stored, err
	}
	if stored.Snapshot == nil {
		stored.Snapshot = &wirepb.Snapshot{}
	}
	log, _, _, err := wal.Open(settings.DataDir)
	if err != nil {
		return "", nil, stored, err
	}
	if err := log.Rewrite(stored); err != nil {
		return "", nil, stored, err
	}
	return identity, log, stored, wal.SaveIdentity(settings.DataDir, identity)
}

// founders returns the identities of the first members: the seeds, on the first start alone.
func founders(settings *boot.Settings) []string {
	if !settings.Bootstrap {
		return nil
	}
	var identities []string
	for _, seed := range settings.Seeds {
		identities = append(identities, consensus.FounderIdentity(hostOf(seed)))
	}
	return identities
}

// diskTask is something for the disk, and what follows once it is done.
type diskTask struct {
	batch   consensus.Persist
	rewrite *consensus.Stored // instead of the batch
	done    func()
}

// disk writes in its own goroutine, in order, so that a slow disk holds up nothing else. A write that fails
// is made good by a new segment, tried again until the disk takes it: until then nothing counts as written.
type disk struct {
	log    *wal.Log
	tasks  chan diskTask
	queue  []diskTask // owned by the core's goroutine: what did not fit into tasks
	events chan func()
	held   consensus.Stored // what the disk should hold; owned by the disk's goroutine
	size   int64            // of the present segment; owned by the core's goroutine
	busy   bool             // a rewrite is under way; owned by the core's goroutine
}

// newDisk takes a log that was opened, with what it held.
func newDisk(log *wal.Log, stored consensus.Stored, events chan func()) *disk {
	return &disk{log: log, tasks: make(chan diskTask, 4096), events: events, held: stored}
}

func (d *disk) write(batch consensus.Persist, done func()) {
	d.submit(diskTask{batch: batch, done: done})
}

// rewrite begins a new segment that holds stored.
func (d *disk) rewrite(stored consensus.Stored, done func()) {
	d.busy = true
	d.submit(diskTask{rewrite: &stored, done: func() {
		d.busy = false
		done()
	}})
}

func (d *disk) submit(task diskTask) {
	d.queue = append(d.queue, task)
	d.flush()
}

func (d *disk) flush() {
	for len(d.queue) > 0 {
		select {
		case d.tasks <- d.queue[0]:
			d.queue = d.queue[1:]
		default:
			return
		}
	}
}

// run carries out tasks. Tasks that wait together are written together.
func (d *disk) run(stop <-chan struct{}) {
	for {
		select {
		case task := <-d.tasks:
			tasks := []diskTask{task}
			for len(d.tasks) > 0 && len(tasks) < 256 {
				tasks = append(tasks, <-d.tasks)
			}
			d.carryOut(tasks, stop)
		case <-stop:
			return
		}
	}
}

func (d *disk) carryOut(tasks []diskTask, stop <-chan struct{}) {
	rewrite := d.log == nil || !d.log.Healthy()
	var batches []consensus.Persist
	for _, task := range tasks {
		if task.rewrite != nil {
			rewrite = true
			d.held = *task.rewrite
			continue
		}
		batches = append(batches, task.batch)
		d.hold(task.batch)
	}
	if !rewrite && d.log.Append(batches) != nil {
		rewrite = true
	}
	for rewrite && d.log.Rewrite(d.held) != nil {
		select {
		case <-stop:
			return
		case <-time.After(rewritePause):
		}
	}
	size := d.log.Size()
	event := func() {
		d.size = size
		for _, task := range tasks {
			task.done()
		}
		d.flush()
	}
	select {
	case d.events <- event:
	case <-stop:
	}
}

// hold keeps a copy of what the disk should hold, for a segment that has to be written anew.
func (d *disk) hold(batch consensus.Persist) {
	if batch.Snapshot != nil {
		d.held.Snapshot = batch.Snapshot
		d.held.Entries = nil
	}
	if batch.HardState != nil {
		d.held.HardState = batch.HardState
	}
	if len(batch.Entries) > 0 {
		kept := batch.Entries[0].Index - d.held.Snapshot.GetIndex() - 1
		d.held.Entries = append(d.held.Entries[:kept:kept], batch.Entries...)
	}
}

// compact takes a snapshot where the log has grown long.
func (c *Core) compact() {
	if c.disk.busy || c.node.LogBytes() < compactBytes && c.disk.size < compactFiles {
		return
	}
	data, err := c.machine.Snapshot()
	if err != nil {
		c.logger.Error("cannot take a snapshot", zap.Error(err))
		return
	}
	snapshot := c.node.SnapshotAt(data)
	c.disk.rewrite(c.node.Tail(snapshot), func() { c.node.Compact(snapshot) })
}
