package ruleset

import "maps"

// leaseProcess is one gatekeeper process on a daemon's host.
type leaseProcess struct {
	granted   bool   // it may hold a lease
	ackedStep uint64 // the latest fencing step that it has acknowledged
}

// LeaseGrantor records which gatekeeper processes of a daemon's host may hold leases, and what they have
// acknowledged. Only the host's own daemon can, as it alone knows which processes there are. The records may
// be lost if the new LeaseGrantor is told of all processes that run. The zero value has none.
type LeaseGrantor struct{ processes map[int]leaseProcess }

// ProcessStarted adds a gatekeeper process. One that ran before this daemon did may hold any lease until it
// acknowledges a step.
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

// ProcessExited removes a process that has ended.
func (g *LeaseGrantor) ProcessExited(id int) { delete(g.processes, id) }

// RecordRequest notes a process's lease request with the step that it acknowledges. It is false where there
// are too many processes: then no lease may be granted. A process counts until ProcessExited.
func (g *LeaseGrantor) RecordRequest(id int, ackedStep uint64) bool {
	process, known := g.processes[id]
	if !known && len(g.processes) >= maxProcesses {
		return false
	}
	process.ackedStep = max(process.ackedStep, ackedStep)
	g.setProcess(id, process)
	return true
}

// RecordGrant notes that a process may hold a lease. It is called before the lease is sent.
func (g *LeaseGrantor) RecordGrant(id int) {
	process := g.processes[id]
	process.granted = true
	g.setProcess(id, process)
}

// AckedStep is the fencing step that no process of the host acts on anything older than, where grantedStep
// is that of the lease which the next request gets; it may be no lower than any that was granted before.
func (g *LeaseGrantor) AckedStep(grantedStep uint64) uint64 {
	for _, process := range g.processes {
		if process.granted {
			grantedStep = min(grantedStep, process.ackedStep)
		}
	}
	return grantedStep
}

// clone gives an independent copy.
func (g *LeaseGrantor) clone() LeaseGrantor { return LeaseGrantor{maps.Clone(g.processes)} }
