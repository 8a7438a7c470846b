package core

import "time"

const (
	repairInterval    = 100 * time.Millisecond // between attempts to write after a failure
	diskQueueCapacity = 4096                   // tasks that wait for the writer's goroutine
)

// groupWriter executes the writes of one log in order in a goroutine of its own, so that a slow disk does not
// block the core's goroutine. Tasks that wait together are written together (group commit).
type groupWriter[Task any] struct {
	// write makes tasks durable. It returns false where the process has stopped before that.
	write     func(tasks []Task, stop <-chan struct{}) bool
	completed func(tasks []Task) // called on the core's goroutine once tasks are durable
	maxGroup  int                // tasks that are written together
	tasks     chan Task
	overflow  []Task        // tasks that did not fit into the channel; owned by the core's goroutine
	events    chan<- func() // to the core's goroutine
}

// submit queues a task without blocking. It must be called on the core's goroutine.
func (g *groupWriter[Task]) submit(task Task) {
	g.overflow = append(g.overflow, task)
	g.flush()
}

// flush moves tasks from overflow to the channel as far as they fit.
func (g *groupWriter[Task]) flush() {
	for len(g.overflow) > 0 {
		select {
		case g.tasks <- g.overflow[0]:
			g.overflow = g.overflow[1:]
		default:
			return
		}
	}
}

// run executes tasks until stop is closed.
func (g *groupWriter[Task]) run(stop <-chan struct{}) {
	for {
		select {
		case task := <-g.tasks:
			tasks := []Task{task}
			for len(g.tasks) > 0 && len(tasks) < g.maxGroup {
				tasks = append(tasks, <-g.tasks)
			}
			if !g.write(tasks, stop) {
				return
			}
			g.report(tasks, stop)
		case <-stop:
			return
		}
	}
}

// report calls completed on the core's goroutine.
func (g *groupWriter[Task]) report(tasks []Task, stop <-chan struct{}) {
	event := func() {
		g.completed(tasks)
		g.flush()
	}
	select {
	case g.events <- event:
	case <-stop:
	}
}

// retryUntilDurable calls repair at intervals until it succeeds, if err is not nil. It returns false where
// the process stops before that.
func retryUntilDurable(err error, repair func() error, stop <-chan struct{}) bool {
	for err != nil {
		select {
		case <-stop:
			return false
		case <-time.After(repairInterval):
		}
		err = repair()
	}
	return true
}
