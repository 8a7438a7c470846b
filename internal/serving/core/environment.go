package core

import (
	"go.uber.org/zap"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wirepb"
)

// environment implements control.Environment with this process's disk and links. Its methods are called on
// the core's goroutine.
type environment struct{ core *Core }

// Write appends a batch to the log.
func (v *environment) Write(batch consensus.WriteBatch, done func()) {
	v.core.diskWriter.submit(diskTask{batch: batch, done: done})
}

// Rewrite replaces the content of the log.
func (v *environment) Rewrite(state consensus.DurableState, done func()) {
	v.core.diskWriter.submit(diskTask{rewrite: &state, done: done})
}

// SegmentBytes returns the size of the current segment of the log, in bytes.
func (v *environment) SegmentBytes() int64 { return v.core.diskWriter.size.Load() }

// SaveWorkers writes the list of workers atomically, in a goroutine of its own. A failure is not reported to
// the engine: without the list, workers are learnt from their heartbeats.
func (v *environment) SaveWorkers(data []byte, done func()) {
	go func() {
		if err := wal.WriteFile(wal.Disk, v.core.settings.DataDir, workersFile, data); err != nil {
			v.core.logger.Debug("workers not saved", zap.Error(err))
		}
		v.core.enqueue(done)
	}()
}

// Send sends an envelope over the link to another core, which is created where there is none.
func (v *environment) Send(address string, envelope *wirepb.Envelope) {
	if address == v.core.internalAddress {
		return
	}
	link := v.core.links[address]
	if link == nil {
		link = newPeerLink(address)
		v.core.links[address] = link
	}
	link.send(envelope)
}
