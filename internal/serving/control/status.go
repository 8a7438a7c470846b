package control

import (
	"slices"
	"time"

	"willowdeck/internal/serving/catalog"
)

// Status is the state of a core as /status shows it. Operators' tools read its JSON keys.
type Status struct {
	Replica    string          `json:"replica"`
	Leader     string          `json:"acting"`
	Term       uint64          `json:"epoch"`
	InSync     bool            `json:"in_touch"`
	Members    []string        `json:"members"`
	WaitReason string          `json:"waits,omitempty"`    // why this replica is not a voter
	Learners   []LearnerStatus `json:"learners,omitempty"` // only on the leader
	Index      uint64          `json:"index"`
	Generation uint64          `json:"generation"`
	Evacuated  []string        `json:"evacuated"`
	Edges      []EdgeStatus    `json:"edges"`
	Workers    []WorkerStatus  `json:"workers"`
}

// LearnerStatus is the state of a learner.
type LearnerStatus struct {
	Replica     string  `json:"replica"`
	WaitSeconds float64 `json:"waits_s"`
	Index       uint64  `json:"index"` // last log entry that is durable at the learner
	CaughtUp    bool    `json:"caught_up"`
}

// EdgeStatus is the state of an edge.
type EdgeStatus struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Ready      bool   `json:"ready"`
	Linked     bool   `json:"linked"`
	Generation uint64 `json:"generation,omitempty"` // in force there; only if its agent is linked to this core
}

// WorkerStatus is the state of a worker.
type WorkerStatus struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"` // ready, cold or draining
}

// Status returns the current state of the core.
func (e *Engine) Status() Status {
	status := Status{
		Replica: e.options.Identity, Leader: e.node.Leader(), Term: e.node.Term(), InSync: e.node.InSync(),
		Members: slices.Clone(e.node.Voters()), WaitReason: e.WaitReason(), Index: e.node.Applied(),
		Generation: e.machine.Generation(), Evacuated: e.machine.Evacuated(),
	}
	for _, learner := range e.Learners() {
		status.Learners = append(status.Learners, LearnerStatus{
			Replica: learner.Replica, WaitSeconds: (e.now() - learner.Since).Seconds(), Index: learner.MatchIndex,
			CaughtUp: learner.CaughtUp,
		})
	}
	for _, entry := range e.stateView.Snapshot().Entries {
		if entry.Record.Deleted {
			continue
		}
		if edge := entry.Record.GetEdge(); edge != nil {
			status.Edges = append(status.Edges, EdgeStatus{
				Name: edge.Name, Address: edge.Address, Zone: edge.Zone, Ready: edge.Ready, Linked: edge.Linked,
				Generation: e.linkedGeneration(edge.Name),
			})
		}
		if worker := entry.Record.GetWorker(); worker != nil {
			status.Workers = append(status.Workers, WorkerStatus{
				Instance: worker.InstanceId, Service: worker.Service, Address: worker.Address, Zone: worker.Zone,
				State: workerState(e.now(), entry),
			})
		}
	}
	return status
}

// workerState returns a worker's state as /status shows it.
func workerState(now time.Duration, entry *catalog.Entry) string {
	switch {
	case entry.Record.GetWorker().Draining:
		return "draining"
	case entry.WarmingUntil > now:
		return "cold"
	}
	return "ready"
}
