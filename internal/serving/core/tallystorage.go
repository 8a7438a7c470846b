package core

import (
	"go.uber.org/zap"

	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/tallylog"
	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wirepb"
)

// maxTallyTasksPerWrite is the number of tasks that share a frame of the log of tallies and its sync.
const maxTallyTasksPerWrite = 64

// tallyTask is a write of the log of tallies.
type tallyTask struct {
	records []*wirepb.TallyRecords // none: the task makes the records of earlier processes durable
	done    func()                 // called on the core's goroutine once the records are durable
}

// openTallyLog opens the log of tallies in the data directory.
func openTallyLog(config *settings.Settings, logger *zap.Logger) (tallylog.Opened, error) {
	opened, err := tallylog.Open(wal.Disk, config.DataDir)
	if opened.Corruption != nil {
		logger.Error("log of tallies is corrupted", zap.Error(opened.Corruption))
	}
	return opened, err
}

// tallyWriter writes the log of tallies. A write that has failed is repeated until it succeeds.
type tallyWriter struct {
	groupWriter[tallyTask]
	log    *tallylog.Log // owned by the writer's goroutine
	logger *zap.Logger
}

func newTallyWriter(log *tallylog.Log, events chan<- func(), logger *zap.Logger) *tallyWriter {
	w := &tallyWriter{log: log, logger: logger}
	w.groupWriter = groupWriter[tallyTask]{
		write: w.execute, completed: completeTallyTasks, maxGroup: maxTallyTasksPerWrite,
		tasks: make(chan tallyTask, diskQueueCapacity), events: events,
	}
	return w
}

// execute makes the records of tasks durable.
func (w *tallyWriter) execute(tasks []tallyTask, stop <-chan struct{}) bool {
	var records []*wirepb.TallyRecords
	for _, task := range tasks {
		records = append(records, task.records...)
	}
	write := func() error {
		if err := w.log.Consolidate(); err != nil {
			return err
		}
		if len(records) == 0 {
			return nil
		}
		return w.log.Append(records)
	}
	err := write()
	if err != nil {
		w.logger.Warn("tallies not written, trying again", zap.Error(err))
	}
	return retryUntilDurable(err, write, stop)
}

// completeTallyTasks calls the functions done of tasks.
func completeTallyTasks(tasks []tallyTask) {
	for _, task := range tasks {
		task.done()
	}
}
