package proxy

import (
	"willowdeck/internal/gateway/recovery/crashstate"
	"willowdeck/internal/policy"
)

// HandOff gives the policy's state for the successor of a hot restart, with the names of workers and kinds of
// machines by their numbers. From then on the policy only ends the requests in flight.
func (d *Dispatcher) HandOff() (state policy.HandoffState, workers, kinds map[int]string) {
	d.lockPolicy()
	d.discardCrashState()
	d.handedOff = true
	state = d.policy.HandOff()
	d.stopLending()
	workers, kinds = d.workers.Names()
	d.flushAndUnlock()
	return state, workers, kinds
}

// Resume takes over the state that another process handed off.
func (d *Dispatcher) Resume(state policy.HandoffState, workers, kinds map[int]string) {
	d.lockPolicy()
	d.workers.Remap(&state, workers, kinds)
	d.policy.RestoreHandoff(state)
	d.flushAndUnlock()
}

// PredecessorEnded tells the policy that the predecessor of a hot restart has ended.
func (d *Dispatcher) PredecessorEnded() {
	d.lockPolicy()
	d.policy.PredecessorEnded()
	d.flushAndUnlock()
}

// AttachCrashState keeps crash state in a file from here on, beginning with what this policy knows. It
// restores what a run that was killed has left; nil for nothing.
func (d *Dispatcher) AttachCrashState(f *crashstate.File, left *policy.CrashState) {
	d.lockPolicy()
	// What was spent under another version's rate limits is not restored.
	if left != nil && (d.ruleset.lastVersion == 0 || d.ruleset.lastVersion == f.RulesVersion()) {
		d.policy.RestoreCrashState(*left)
		d.crash.restoredVersion = f.RulesVersion()
	}
	if d.ruleset.lastVersion > 0 {
		f.SetRulesVersion(d.ruleset.lastVersion)
	}
	base, spent := d.policy.CrashState()
	f.Import(base, spent, d.clock.now())
	d.crash.file = f
	d.flushAndUnlock()
}

// discardCrashState voids the crash state, under the lock: another process spends from here on.
func (d *Dispatcher) discardCrashState() {
	if d.crash.file != nil {
		d.crash.file.Invalidate()
		d.crash.file = nil
	}
}

// RestoredRulesetVersion gives the version of the ruleset by which a run that was killed spent what was
// restored of it; 0 where nothing was restored, or no ruleset was agreed on.
func (d *Dispatcher) RestoredRulesetVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crash.restoredVersion
}
