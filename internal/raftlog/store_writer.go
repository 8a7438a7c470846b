package raftlog

import (
	"fmt"
	"sync"

	"go.etcd.io/raft/v3/raftpb"
)

// storeUpdate is what one of raft's append messages writes to the store.
type storeUpdate struct {
	hardState raftpb.HardState
	entries   []raftpb.Entry
	snapshot  raftpb.Snapshot
}

// storeTask is a write of the store. Either update is set, or write.
type storeTask struct {
	update *storeUpdate
	write  func() error
	done   func(s *session) // called by the session's goroutine once the write is durable; it may be nil
}

// storeWriter writes a session's store in a goroutine of its own, in the order of the tasks: while the disk
// stalls, the session still answers heartbeats and confirms reads, which need no disk. Updates that wait
// together are written by one transaction.
type storeWriter struct {
	store *store
	ready chan struct{} // has an element where tasks wait

	mu    sync.Mutex // guards the field below
	tasks []storeTask
}

func newStoreWriter(s *store) *storeWriter {
	return &storeWriter{store: s, ready: make(chan struct{}, 1)}
}

// enqueue adds a task. It does not wait.
func (w *storeWriter) enqueue(task storeTask) {
	w.mu.Lock()
	w.tasks = append(w.tasks, task)
	w.mu.Unlock()
	signal(w.ready)
}

// takeAll returns the tasks that wait.
func (w *storeWriter) takeAll() []storeTask {
	w.mu.Lock()
	defer w.mu.Unlock()
	tasks := w.tasks
	w.tasks = nil
	return tasks
}

// run writes until stop is closed or a write fails. It passes on what was written, and the error.
func (w *storeWriter) run(stop <-chan struct{}, results chan<- storeResult) {
	for {
		select {
		case <-stop:
			return
		case <-w.ready:
		}
		result := w.writeTasks(w.takeAll())
		select {
		case results <- result:
		case <-stop:
			return
		}
		if result.err != nil {
			return // what the disk holds is unknown: the session ends
		}
	}
}

// storeResult is what became of tasks: those that are durable, in their order, and the first error.
type storeResult struct {
	written []storeTask
	err     error
}

// writeTasks writes tasks in their order, until one fails. A panic of a library is an error.
func (w *storeWriter) writeTasks(tasks []storeTask) (result storeResult) {
	defer func() {
		if p := recover(); p != nil {
			result.err = fmt.Errorf("raft: store: %v", p)
		}
	}()
	for first := 0; first < len(tasks); {
		end := first + 1
		if tasks[first].update == nil {
			result.err = tasks[first].write()
		} else {
			updates := []*storeUpdate{tasks[first].update}
			for ; end < len(tasks) && tasks[end].update != nil; end++ {
				updates = append(updates, tasks[end].update)
			}
			result.err = w.store.save(updates...)
		}
		if result.err != nil {
			return result
		}
		result.written = append(result.written, tasks[first:end]...)
		first = end
	}
	return result
}
