package core

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/wal"
)

const (
	savedFile    = "workers"
	rewritePause = 100 * time.Millisecond // between attempts at a disk that refuses writes
	diskTasks    = 4096                   // that wait beside the disk's goroutine
	tasksAtOnce  = 256                    // that are written together
	folderRights = 0o755
)

// openDisk returns the identity of the disk and what it holds.
func openDisk(config *settings.Settings, logger *zap.Logger) (wal.OpenedReplica, error) {
	if err := os.MkdirAll(config.DataDir, folderRights); err != nil {
		return wal.OpenedReplica{}, errors.Wrap(err, "cannot make data_dir: check its path and rights")
	}
	opened, err := wal.OpenReplica(wal.Disk, config.DataDir, consensus.FounderIdentity(config.IP),
		founders(config), consensus.Identity(config.IP, randomTag()))
	if opened.Corruption != nil {
		logger.Error("the disk has lost what it held: this replica joins anew", zap.Error(opened.Corruption))
	}
	return opened, err
}

// founders returns the identities of the first replicas: the seeds, on the first start alone.
func founders(config *settings.Settings) wal.InitialMembers {
	if !config.Bootstrap {
		return nil
	}
	var identities wal.InitialMembers
	for _, host := range hostsOf(config.Seeds) {
		identities = append(identities, consensus.FounderIdentity(host))
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
	store  *wal.Store // owned by the disk's goroutine
	tasks  chan diskTask
	queue  []diskTask // owned by the core's goroutine: what did not fit into tasks
	events chan func()
	size   int64 // of the present segment; owned by the core's goroutine
}

func newDisk(store *wal.Store, events chan func()) *disk {
	return &disk{store: store, tasks: make(chan diskTask, diskTasks), events: events}
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
			for len(d.tasks) > 0 && len(tasks) < tasksAtOnce {
				tasks = append(tasks, <-d.tasks)
			}
			d.carryOut(tasks, stop)
		case <-stop:
			return
		}
	}
}

func (d *disk) carryOut(tasks []diskTask, stop <-chan struct{}) {
	var batches []consensus.Persist
	for _, task := range tasks {
		if task.rewrite == nil {
			batches = append(batches, task.batch)
			continue
		}
		// What comes before a rewrite is part of it.
		batches = nil
		if !d.insist(d.store.Rewrite(*task.rewrite), stop) {
			return
		}
	}
	if len(batches) > 0 && !d.insist(d.store.Write(batches), stop) {
		return
	}
	size := d.store.Size()
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

// insist goes on after a failed write until the disk holds what it should. It returns false where the process
// stops before.
func (d *disk) insist(err error, stop <-chan struct{}) bool {
	for err != nil {
		select {
		case <-stop:
			return false
		case <-time.After(rewritePause):
		}
		err = d.store.Repair()
	}
	return true
}

// environment is what the engine needs of this process.
type environment struct{ core *Core }

func (v *environment) Write(batch consensus.Persist, done func()) {
	v.core.disk.submit(diskTask{batch: batch, done: done})
}

func (v *environment) Rewrite(stored consensus.Stored, done func()) {
	v.core.disk.submit(diskTask{rewrite: &stored, done: done})
}

func (v *environment) SegmentBytes() int64 { return v.core.disk.size }

func (v *environment) SaveWorkers(data []byte, done func()) {
	go func() {
		if err := wal.WriteFile(wal.Disk, v.core.settings.DataDir, savedFile, data); err != nil {
			v.core.logger.Debug("workers not saved", zap.Error(err))
		}
		v.core.do(done)
	}()
}
