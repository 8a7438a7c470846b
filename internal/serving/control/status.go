package control

import (
	"slices"
	"time"

	"willowdeck/internal/serving/catalog"
)

// Status is what an operator is told of a core.
type Status struct {
	Replica    string          `json:"replica"`
	Leader     string          `json:"acting"`
	Epoch      uint64          `json:"epoch"`
	InTouch    bool            `json:"in_touch"`
	Members    []string        `json:"members"`
	Waits      string          `json:"waits,omitempty"`    // why this replica has no seat
	Learners   []LearnerStatus `json:"learners,omitempty"` // at the leader: replicas that wait for a seat
	Index      uint64          `json:"index"`
	Generation uint64          `json:"generation"`
	Evacuated  []string        `json:"evacuated"`
	Edges      []EdgeStatus    `json:"edges"`
	Workers    []WorkerStatus  `json:"workers"`
}

// LearnerStatus is what is told of a replica that waits for a seat.
type LearnerStatus struct {
	Replica  string  `json:"replica"`
	WaitsS   float64 `json:"waits_s"`
	Index    uint64  `json:"index"` // up to which it has the log
	CaughtUp bool    `json:"caught_up"`
}

// EdgeStatus is what is told of an edge.
type EdgeStatus struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Ready      bool   `json:"ready"`
	Linked     bool   `json:"linked"`
	Generation uint64 `json:"generation,omitempty"` // of edges whose agents are linked to this core
}

// WorkerStatus is what is told of a worker.
type WorkerStatus struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"` // ready, cold or draining
}

// Status describes the core as it is now.
func (e *Engine) Status() Status {
	status := Status{
		Replica: e.options.Identity, Leader: e.node.Leader(), Epoch: e.node.Term(), InTouch: e.node.InTouch(),
		Members: slices.Clone(e.node.Members()), Waits: e.WaitReason(), Index: e.node.Applied(),
		Generation: e.machine.Generation(), Evacuated: e.machine.Evacuated(),
	}
	for _, learner := range e.Learners() {
		status.Learners = append(status.Learners, LearnerStatus{
			Replica: learner.Replica, WaitsS: (e.now() - learner.Since).Seconds(), Index: learner.Match,
			CaughtUp: learner.CaughtUp,
		})
	}
	for _, entry := range e.mirror.Snapshot().Entries {
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

func workerState(now time.Duration, entry *catalog.Entry) string {
	switch {
	case entry.Record.GetWorker().Draining:
		return "draining"
	case entry.WarmingUntil > now:
		return "cold"
	}
	return "ready"
}
