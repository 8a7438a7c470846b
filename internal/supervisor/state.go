package supervisor

// State is the state of an instance.
type State uint8

// The states of an instance.
const (
	Waiting   State = iota // waiting to be started, after a backoff if it has failed
	Starting               // its process runs and is not ready yet
	Ready                  // it serves requests
	Replacing              // its process serves until a successor is ready, or is stopping to be replaced
	Stopping               // its process runs and is not desired any more
	Stopped                // no process runs, and none is desired
)

// stateNames are the names of the states in the control port's answers.
var stateNames = [...]string{"waiting", "starting", "ready", "replacing", "leaving", "gone"}

// String returns the state's name in the control port's answers.
func (s State) String() string { return stateNames[s] }

// InstanceStatus is the status of an instance, for operators.
type InstanceStatus struct {
	Name          string
	State         State
	ProcessNumber int  // of the current process; 0 if there is none
	Failures      int  // consecutive failures
	Restarts      int  // exits that the daemon did not request
	Generation    int  // number of the desired configuration
	Outdated      bool // the current process does not run the desired configuration
}

// Statuses returns the status of each instance, in the order in which they were first desired.
func (r *Reconciler) Statuses() []InstanceStatus {
	var statuses []InstanceStatus
	for _, instance := range r.instances {
		status := InstanceStatus{
			Name:       instance.name,
			State:      r.stateOf(instance),
			Failures:   instance.failures,
			Restarts:   instance.restarts,
			Generation: instance.generation,
			Outdated:   instance.outdated(),
		}
		if instance.current != nil {
			status.ProcessNumber = instance.current.number
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (r *Reconciler) stateOf(instance *instanceState) State {
	switch {
	case instance.current == nil && (!instance.desired || r.stopping):
		return Stopped
	case instance.current == nil:
		return Waiting
	case !instance.desired || r.stopping:
		return Stopping
	case instance.successor != nil || instance.current.stopRequested():
		return Replacing
	case instance.current.ready:
		return Ready
	default:
		return Starting
	}
}
