package ruleset

import "maps"

// process is one process of a gatekeeper on a daemon's host.
type leaseProcess struct {
	granted   bool   // it may go by something
	ackedStep uint64 // as it last said
}

// Warden is a daemon's books on the processes of its host's gatekeepers: what they may go by. Only the
// host's own daemon can keep them, as it alone knows which processes there are. It may be lost and begun
// anew, if it is told of all that run. The zero value knows of none. It is not safe for concurrent use.
type LeaseGrantor struct{ processes map[int]leaseProcess }

// Began tells of a process of a gatekeeper. One that ran before this daemon did may go by anything until it
// says what it holds.
func (w *LeaseGrantor) ProcessStarted(id int, ranBefore bool) {
	if _, known := w.processes[id]; !known {
		w.setProcess(id, leaseProcess{granted: ranBefore})
	}
}

func (w *LeaseGrantor) setProcess(id int, p leaseProcess) {
	if w.processes == nil {
		w.processes = map[int]leaseProcess{}
	}
	w.processes[id] = p
}

// Ended tells that a process is no more.
func (w *LeaseGrantor) ProcessExited(id int) { delete(w.processes, id) }

// Asked takes a process's question, with the step that it holds; false where there are too many of them, and
// it is to be told nothing. One that is not known to have ended counts.
func (w *LeaseGrantor) RecordRequest(id int, ackedStep uint64) bool {
	p, known := w.processes[id]
	if !known && len(w.processes) >= maxProcesses {
		return false
	}
	p.ackedStep = max(p.ackedStep, ackedStep)
	w.setProcess(id, p)
	return true
}

// Given notes that a process has been told something, and may go by it. To be called before the answer goes
// out.
func (w *LeaseGrantor) RecordGrant(id int) {
	p := w.processes[id]
	p.granted = true
	w.setProcess(id, p)
}

// Seen is the step that no process of the host goes by anything older than, where told is the step that the
// next one that asks is told; it is to be no lower than any that was told before.
func (w *LeaseGrantor) AckedStep(grantedStep uint64) uint64 {
	for _, p := range w.processes {
		if p.granted {
			grantedStep = min(grantedStep, p.ackedStep)
		}
	}
	return grantedStep
}

// clone is for those that try what may come next.
func (w *LeaseGrantor) clone() LeaseGrantor { return LeaseGrantor{maps.Clone(w.processes)} }
