package core

import (
	"sync/atomic"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wal"
)

// maxTasksPerWrite is the number of tasks that share a frame of the log and its sync.
const maxTasksPerWrite = 256

// diskTask is a write of the log.
type diskTask struct {
	batch   consensus.WriteBatch
	rewrite *consensus.DurableState // the complete new content, instead of the batch
	done    func()                  // called on the core's goroutine once the write is durable
}

// diskWriter writes the log of consensus. After a failed write it rewrites the log until that succeeds; until
// then no write is acknowledged.
type diskWriter struct {
	groupWriter[diskTask]
	store *wal.Store   // owned by the writer's goroutine
	size  atomic.Int64 // of the current segment in bytes
}

func newDiskWriter(store *wal.Store, events chan<- func()) *diskWriter {
	d := &diskWriter{store: store}
	d.groupWriter = groupWriter[diskTask]{
		write: d.execute, completed: completeDiskTasks, maxGroup: maxTasksPerWrite,
		tasks: make(chan diskTask, diskQueueCapacity), events: events,
	}
	return d
}

// execute makes tasks durable.
func (d *diskWriter) execute(tasks []diskTask, stop <-chan struct{}) bool {
	var batches []consensus.WriteBatch
	for _, task := range tasks {
		if task.rewrite == nil {
			batches = append(batches, task.batch)
			continue
		}
		// A rewrite contains the batches before it.
		batches = nil
		if !retryUntilDurable(d.store.Rewrite(*task.rewrite), d.store.Repair, stop) {
			return false
		}
	}
	if len(batches) > 0 && !retryUntilDurable(d.store.Write(batches), d.store.Repair, stop) {
		return false
	}
	d.size.Store(d.store.Size())
	return true
}

// completeDiskTasks calls the functions done of tasks.
func completeDiskTasks(tasks []diskTask) {
	for _, task := range tasks {
		task.done()
	}
}
