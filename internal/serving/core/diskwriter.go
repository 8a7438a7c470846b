package core

import (
	"time"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wal"
)

const (
	repairInterval    = 100 * time.Millisecond // between attempts to repair the log after a failed write
	diskQueueCapacity = 4096                   // tasks that wait for the writer's goroutine
	maxTasksPerWrite  = 256                    // tasks that share a frame and its sync
)

// diskTask is a write of the log.
type diskTask struct {
	batch   consensus.WriteBatch
	rewrite *consensus.DurableState // the complete new content, instead of the batch
	done    func()                  // called on the core's goroutine once the write is durable
}

// diskWriter writes the log in order in a goroutine of its own, so that a slow disk does not block the
// engine. After a failed write it rewrites the log until that succeeds; until then no write is acknowledged.
type diskWriter struct {
	store    *wal.Store // owned by the writer's goroutine
	tasks    chan diskTask
	overflow []diskTask    // tasks that did not fit into the channel; owned by the core's goroutine
	events   chan<- func() // to the core's goroutine
	size     int64         // of the current segment in bytes; owned by the core's goroutine
}

func newDiskWriter(store *wal.Store, events chan<- func()) *diskWriter {
	return &diskWriter{store: store, tasks: make(chan diskTask, diskQueueCapacity), events: events}
}

// submit queues a task without blocking. It must be called on the core's goroutine.
func (d *diskWriter) submit(task diskTask) {
	d.overflow = append(d.overflow, task)
	d.flush()
}

// flush moves tasks from overflow to the channel as far as they fit.
func (d *diskWriter) flush() {
	for len(d.overflow) > 0 {
		select {
		case d.tasks <- d.overflow[0]:
			d.overflow = d.overflow[1:]
		default:
			return
		}
	}
}

// run executes tasks until stop is closed. Queued tasks are written together.
func (d *diskWriter) run(stop <-chan struct{}) {
	for {
		select {
		case task := <-d.tasks:
			tasks := []diskTask{task}
			for len(d.tasks) > 0 && len(tasks) < maxTasksPerWrite {
				tasks = append(tasks, <-d.tasks)
			}
			d.execute(tasks, stop)
		case <-stop:
			return
		}
	}
}

// execute makes tasks durable and calls their functions done on the core's goroutine.
func (d *diskWriter) execute(tasks []diskTask, stop <-chan struct{}) {
	var batches []consensus.WriteBatch
	for _, task := range tasks {
		if task.rewrite == nil {
			batches = append(batches, task.batch)
			continue
		}
		// A rewrite contains the batches before it.
		batches = nil
		if !d.repairUntilDurable(d.store.Rewrite(*task.rewrite), stop) {
			return
		}
	}
	if len(batches) > 0 && !d.repairUntilDurable(d.store.Write(batches), stop) {
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

// repairUntilDurable repairs the log after a failed write until it is durable. It returns false where the
// process stops before that.
func (d *diskWriter) repairUntilDurable(err error, stop <-chan struct{}) bool {
	for err != nil {
		select {
		case <-stop:
			return false
		case <-time.After(repairInterval):
		}
		err = d.store.Repair()
	}
	return true
}
