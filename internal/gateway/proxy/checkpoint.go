package proxy

import (
	"sync/atomic"
	"time"

	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/recovery/checkpoint"
	"willowdeck/internal/policy"
)

// checkpointIntervalRatio is how many times longer than a checkpoint took the pause after it is, at least:
// checkpoints of very many customers are taken less often, and use no more than a fiftieth of a core.
const checkpointIntervalRatio = 49

// CheckpointStats counts what is kept of the state that decays, for operators.
type CheckpointStats struct {
	Restored atomic.Int64 // customers
	Written  atomic.Int64 // checkpoints
	Failed   atomic.Int64 // checkpoints that could not be written
}

// CheckpointStats gives the counts.
func (d *Dispatcher) CheckpointStats() *CheckpointStats { return &d.checkpointStats }

// RestoreCheckpoint restores an earlier run's checkpoint, after AttachCrashState, and gives the number of
// restored customers. It is false where the checkpoint is of another charter or ruleset than those in
// force. peersKnow tells that the peers see this process as a new incarnation.
func (d *Dispatcher) RestoreCheckpoint(c *checkpoint.Snapshot, peersKnow bool) (customers int, fits bool) {
	d.lockPolicy()
	if fits = c.Digest == checkpoint.Digest(d.ruleset.settings, d.ruleset.lease.Version()); fits {
		customers = d.policy.RestoreCheckpoint(c.State, peersKnow)
	}
	d.flushAndUnlock()
	d.checkpointStats.Restored.Add(int64(customers))
	return customers, fits
}

// WriteCheckpoints writes checkpoints of the state that decays from here on, until Stop or HandOff, and
// closes the book then. latest gives the peers' newest messages. A checkpoint is taken in parts, so that
// the lock is held for some microseconds at a time; it is encoded and written without the lock.
func (d *Dispatcher) WriteCheckpoints(b *checkpoint.Writer,
	latest func([]incarnation.MessageID) []incarnation.MessageID) {
	go d.checkpointLoop(b, latest)
}

func (d *Dispatcher) checkpointLoop(b *checkpoint.Writer,
	latest func([]incarnation.MessageID) []incarnation.MessageID) {
	defer b.Close()
	var c checkpoint.Snapshot
	timer := time.NewTimer(0)
	defer timer.Stop()
	for generation, idle := 0, false; ; {
		select {
		case <-d.stop:
			return
		case <-timer.C:
		}
		began := time.Now()
		of, owner := d.snapshot(&c.State)
		if !owner {
			return
		}
		c.LastMessages = latest(c.LastMessages)
		if generation != of.generation {
			generation, idle = of.generation, false
			c.Digest = checkpoint.Digest(of.settings, of.rulesetVersion)
		}
		if empty := len(c.State.Customers) == 0; !empty || !idle { // an empty state is written once
			if err := b.Write(&c); err != nil {
				d.checkpointStats.Failed.Add(1)
			} else {
				d.checkpointStats.Written.Add(1)
			}
			idle = empty
		}
		timer.Reset(max(time.Duration(policy.CheckpointIntervalMillis*float64(time.Millisecond)),
			checkpointIntervalRatio*time.Since(began)))
	}
}

// snapshotBase is what a snapshot's figures are relative to.
type snapshotBase struct {
	settings       policy.Settings
	rulesetVersion uint64 // 0 where none is in force
	generation     int    // of the charter
}

// snapshot copies the state that decays, and tells whether this process still owns it. Guards against parts
// of a snapshot that are relative to another charter than the rest: it begins anew.
func (d *Dispatcher) snapshot(state *policy.HandoffState) (of snapshotBase, owner bool) {
	for from := 0; ; {
		d.mu.Lock()
		if of.generation != d.ruleset.generation {
			of = snapshotBase{d.ruleset.settings, d.ruleset.lease.Version(), d.ruleset.generation}
			from = 0
		}
		if owner = !d.handedOff; owner {
			from = d.policy.Checkpoint(state, from, d.clock.now())
		}
		if d.mu.Unlock(); !owner || from == 0 {
			return of, owner
		}
	}
}
