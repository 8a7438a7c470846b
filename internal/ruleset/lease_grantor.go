package ruleset

import "maps"

// leaseProcess is the record of one instance process on a daemon's host.
type leaseProcess struct {
	granted   bool   // the process may hold a lease
	ackedStep uint64 // the highest fencing step that the process has acknowledged
}

// LeaseGrantor records which instance processes of a daemon's host may hold leases, and the steps that they
// have acknowledged. Only the host's own daemon can record this, as only it knows which processes run. The
// records may be lost if ProcessStarted is called on the new LeaseGrantor for every running process. The zero
// value has no processes.
type LeaseGrantor struct{ processes map[int]leaseProcess }

// ProcessStarted adds an instance process. A process that started before this daemon may hold any lease until
// it acknowledges a step.
func (g *LeaseGrantor) ProcessStarted(id int, ranBefore bool) {
	if _, known := g.processes[id]; !known {
		g.setProcess(id, leaseProcess{granted: ranBefore})
	}
}

// setProcess stores the record of a process.
func (g *LeaseGrantor) setProcess(id int, process leaseProcess) {
	if g.processes == nil {
		g.processes = map[int]leaseProcess{}
	}
	g.processes[id] = process
}

// ProcessExited removes a process that has exited.
func (g *LeaseGrantor) ProcessExited(id int) { delete(g.processes, id) }

// RecordRequest records a process's lease request with the step that it acknowledges. It returns false if
// there are too many processes; no lease may be granted then. A process counts until ProcessExited.
func (g *LeaseGrantor) RecordRequest(id int, ackedStep uint64) bool {
	process, known := g.processes[id]
	if !known && len(g.processes) >= maxProcesses {
		return false
	}
	process.ackedStep = max(process.ackedStep, ackedStep)
	g.setProcess(id, process)
	return true
}

// RecordGrant records that a process may hold a lease. It has to be called before the lease is sent.
func (g *LeaseGrantor) RecordGrant(id int) {
	process := g.processes[id]
	process.granted = true
	g.setProcess(id, process)
}

// AckedStep returns the highest fencing step that the host can acknowledge: no process of the host acts on an
// older one. grantedStep is the step of the lease that the next request would get. It must be at least the
// step of every lease granted before.
func (g *LeaseGrantor) AckedStep(grantedStep uint64) uint64 {
	for _, process := range g.processes {
		if process.granted {
			grantedStep = min(grantedStep, process.ackedStep)
		}
	}
	return grantedStep
}

// clone returns an independent copy.
func (g *LeaseGrantor) clone() LeaseGrantor { return LeaseGrantor{maps.Clone(g.processes)} }
