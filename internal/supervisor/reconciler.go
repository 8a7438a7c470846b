// Package supervisor is the daemon that keeps many instances of the gatekeeper on one host.
package supervisor

import (
	"math"
	"math/rand"
	"slices"
)

// State is how an instance stands.
type State uint8

// The states.
const (
	Waiting   State = iota // to be started, after a pause if it has failed
	Starting               // its process runs and is not ready yet
	Ready                  // it serves
	Replacing              // it serves while another process gets ready to take its place
	Stopping               // its process has been told to end, and what is wanted is none
	Stopped                // there is none, and none is wanted
)

var stateNames = [...]string{"waiting", "starting", "ready", "replacing", "leaving", "gone"}

func (s State) String() string { return stateNames[s] }

// Pace is how processes are started and ended. Times in ms.
type Policy struct {
	InitialBackoffMillis, MaxBackoffMillis float64 // the pause before a start that follows a failure, and what it doubles up to
	BackoffResetMillis                     float64 // an instance that has been up for so long has no failures any more
	ReadyTimeoutMillis                     float64 // in which a process has to be ready, or counts as failed
	StopTimeoutMillis                      float64 // in which one has to end
	MaxReplacing                           int     // instances that are replaced at once
}

// Kind is what a Decision asks of the host.
type ActionKind uint8

// The kinds.
const (
	StartProcess     ActionKind = iota + 1 // a process for an instance; it gets a new number
	TerminateProcess                       // tell a process to end
	KillProcess                            // end it
	ReloadProcess                          // have it take up what is wanted as it runs
	WakeUp                                 // call Clock again at time At
	AllStopped                             // all have ended that were to
)

// Decision is one thing for the host to do.
type Action struct {
	Kind          ActionKind
	Instance      string
	ProcessNumber int // Start: the number of the new one
	AtMillis      float64
}

// process is one process of an instance.
type processState struct {
	number            int
	startedAt         float64
	ready             bool
	stopRequestedAt   float64 // when it was told to end; below nought it was not
	killed            bool
	generation        int     // of the wanted, when it was started or took it up
	reloadRequestedAt float64 // when it was last told to take up what is wanted; below nought it was not
}

// Change tells how what is wanted of an instance has changed.
type ConfigChange uint8

// The changes.
const (
	Unchanged         ConfigChange = iota
	MembershipChanged              // in who the others are alone: it can take that up as it runs
	RestartNeeded                  // in more: another process has to take its place
)

// instance is one gatekeeper of the fleet, through its processes.
type instanceState struct {
	name        string
	desired     bool
	generation  int  // what it is to run; grows with each change
	reloadable  bool // what runs can take that up
	current     *processState
	successor   *processState // gets ready to take the place of now
	failures    int
	nextStartAt float64 // the earliest next start
	restarts    int
	exclusive   bool // two processes can't be there at once
	hasServed   bool // it has had a process
}

// Keeper decides which processes run. It is told what happens, and pulled for decisions; the same seed
// and inputs give the same ones.
type Reconciler struct {
	policy              Policy
	rng                 *rand.Rand
	nowMillis           float64
	instances           []*instanceState
	byName              map[string]*instanceState
	lastProcessNumber   int
	stopping            bool
	allStoppedReported  bool
	wakeAt              float64
	anyOutdated         bool // some wanted one runs what it should not any more
	anyUndesiredRunning bool // some that is not wanted runs still
}

// NewKeeper makes a keeper of none.
func NewReconciler(policy Policy, seed int64) *Reconciler {
	return &Reconciler{policy: policy, rng: rand.New(rand.NewSource(seed)), byName: map[string]*instanceState{}}
}

// Clock sets the time, ms, of what follows.
func (r *Reconciler) SetTime(nowMillis float64) { r.nowMillis = math.Max(r.nowMillis, nowMillis) }

// Want says which instances there are to be, and which of them have changed since they were last wanted.
func (r *Reconciler) SetDesired(names []string, changed map[string]ConfigChange) {
	for _, instance := range r.instances {
		instance.desired = slices.Contains(names, instance.name)
		instance.hasServed = instance.hasServed && (instance.desired || instance.current != nil)
	}
	for _, name := range names {
		instance := r.byName[name]
		if instance == nil {
			instance = &instanceState{name: name, desired: true, nextStartAt: r.nowMillis}
			r.byName[name] = instance
			r.instances = append(r.instances, instance)
		}
		if change := changed[name]; change != Unchanged {
			current := instance.current != nil && instance.current.generation == instance.generation
			instance.reloadable = change == MembershipChanged && (current || instance.reloadable)
			instance.generation++
			instance.failures, instance.nextStartAt = 0, math.Min(instance.nextStartAt, r.nowMillis) // what failed before may not any more
		}
	}
}

// Adopt takes a process as it is, that runs for an instance already. The host does not hold what a second
// process beside it would need: it has to end before another starts.
func (r *Reconciler) Adopt(name string) int {
	r.lastProcessNumber++
	if instance := r.byName[name]; instance != nil {
		instance.current = &processState{number: r.lastProcessNumber, startedAt: r.nowMillis, stopRequestedAt: -1, reloadRequestedAt: -1, generation: instance.generation}
		instance.exclusive, instance.hasServed = true, true
	}
	return r.lastProcessNumber
}

// Pace changes the pace.
func (r *Reconciler) SetPolicy(policy Policy) { r.policy = policy }

// Stop says that all are to end.
func (r *Reconciler) Stop() { r.stopping = true }

// Ready tells that a process is ready to serve.
func (r *Reconciler) ProcessReady(name string, number int) {
	instance := r.byName[name]
	if instance == nil {
		return
	}
	for _, process := range []*processState{instance.current, instance.successor} {
		if process != nil && process.number == number {
			process.ready = true
		}
	}
}

// Renewed tells that a process has taken up what is wanted.
func (r *Reconciler) ProcessReloaded(name string, number int) {
	if instance := r.byName[name]; instance != nil && instance.current != nil && instance.current.number == number && instance.current.reloadRequestedAt >= 0 {
		instance.current.generation, instance.current.reloadRequestedAt, instance.reloadable = instance.generation, -1, false
	}
}

// Ended tells that a process is no more.
func (r *Reconciler) ProcessEnded(name string, number int) {
	instance := r.byName[name]
	if instance == nil {
		return
	}
	switch {
	case instance.successor != nil && instance.successor.number == number:
		if instance.successor.stopRequestedAt < 0 || instance.successor.killed {
			r.recordFailure(instance)
		}
		instance.successor = nil
	case instance.current != nil && instance.current.number == number:
		if instance.current.stopRequestedAt < 0 {
			if r.nowMillis-instance.current.startedAt > r.policy.BackoffResetMillis {
				instance.failures = 0
			}
			r.recordFailure(instance)
			instance.restarts++
		}
		instance.current, instance.successor = instance.successor, nil // one that waited for its place has it now
		instance.hasServed = instance.hasServed && instance.desired
	}
}

// failed books a failure: the next start waits, longer each time, and not for as long as others that fell
// with it.
func (r *Reconciler) recordFailure(instance *instanceState) {
	backoff := math.Min(r.policy.InitialBackoffMillis*math.Pow(2, float64(min(instance.failures, 30))), r.policy.MaxBackoffMillis)
	instance.failures++
	instance.nextStartAt = r.nowMillis + backoff*(0.5+r.rng.Float64())
}

// Next gives the next decision, or none.
func (r *Reconciler) Next() (Action, bool) {
	r.wakeAt = math.Inf(1)
	replacing := 0 // replaced at once
	r.anyOutdated, r.anyUndesiredRunning = false, false
	for _, instance := range r.instances {
		r.anyOutdated = r.anyOutdated || instance.desired && instance.current != nil && instance.current.generation != instance.generation
		r.anyUndesiredRunning = r.anyUndesiredRunning || !instance.desired && instance.current != nil
		if instance.successor != nil || instance.current != nil && instance.current.stopRequestedAt >= 0 {
			replacing++
		}
	}
	anyRunning := false
	for _, instance := range r.instances {
		if action, ok := r.nextForInstance(instance, &replacing); ok {
			return action, true
		}
		anyRunning = anyRunning || instance.current != nil || instance.successor != nil
	}
	if r.stopping && !anyRunning && !r.allStoppedReported {
		r.allStoppedReported = true
		return Action{Kind: AllStopped}, true
	}
	if !math.IsInf(r.wakeAt, 1) {
		return Action{Kind: WakeUp, AtMillis: r.wakeAt}, true
	}
	return Action{}, false
}

// decide gives the next decision on one instance.
func (r *Reconciler) nextForInstance(instance *instanceState, replacing *int) (Action, bool) {
	for _, process := range []*processState{instance.successor, instance.current} {
		if action, ok := r.killIfOverdue(instance, process); ok {
			return action, true
		}
	}
	if r.stopping || !instance.desired {
		for _, process := range []*processState{instance.successor, instance.current} {
			if process != nil && process.stopRequestedAt < 0 {
				return r.terminate(instance, process), true
			}
		}
		return Action{}, false
	}
	switch {
	case instance.current == nil && !instance.hasServed && r.anyOutdated: // its part is the others' until they reckon with it
	case instance.current == nil && r.nowMillis >= instance.nextStartAt:
		instance.current, instance.exclusive, instance.hasServed = r.newProcess(instance), false, true
		return Action{Kind: StartProcess, Instance: instance.name, ProcessNumber: instance.current.number}, true
	case instance.current == nil:
		r.wakeNoLaterThan(instance.nextStartAt)
	case instance.successor != nil && instance.successor.ready && instance.current.stopRequestedAt < 0: // its heir is ready: it leaves its place
		return r.terminate(instance, instance.current), true
	case instance.current.ready && instance.current.stopRequestedAt < 0 && instance.successor == nil && instance.current.generation != instance.generation && instance.reloadable:
		switch {
		case r.anyUndesiredRunning: // their parts are not its yet
		case instance.current.reloadRequestedAt < 0:
			instance.current.reloadRequestedAt = r.nowMillis
			return Action{Kind: ReloadProcess, Instance: instance.name, ProcessNumber: instance.current.number}, true
		case r.nowMillis >= instance.current.reloadRequestedAt+r.policy.ReadyTimeoutMillis: // it does not: another process takes its place after all
			instance.reloadable = false
			return r.nextForInstance(instance, replacing)
		default:
			r.wakeNoLaterThan(instance.current.reloadRequestedAt + r.policy.ReadyTimeoutMillis)
		}
	case instance.current.ready && instance.current.stopRequestedAt < 0 && instance.successor == nil && instance.current.generation != instance.generation:
		if *replacing >= max(r.policy.MaxReplacing, 1) || r.anyUndesiredRunning { // and theirs are not its yet
			break
		}
		if r.nowMillis < instance.nextStartAt {
			r.wakeNoLaterThan(instance.nextStartAt)
			break
		}
		*replacing++
		if instance.exclusive {
			return r.terminate(instance, instance.current), true
		}
		instance.successor = r.newProcess(instance)
		return Action{Kind: StartProcess, Instance: instance.name, ProcessNumber: instance.successor.number}, true
	}
	return Action{}, false
}

// overdue ends a process that was told to end and has not, or is not ready in time.
func (r *Reconciler) killIfOverdue(instance *instanceState, process *processState) (Action, bool) {
	if process == nil || process.killed {
		return Action{}, false
	}
	deadline := process.startedAt + r.policy.ReadyTimeoutMillis
	if process.stopRequestedAt >= 0 {
		deadline = process.stopRequestedAt + r.policy.StopTimeoutMillis
	} else if process.ready {
		return Action{}, false
	}
	if r.nowMillis < deadline {
		r.wakeNoLaterThan(deadline)
		return Action{}, false
	}
	process.killed = true
	return Action{Kind: KillProcess, Instance: instance.name, ProcessNumber: process.number}, true
}

func (r *Reconciler) wakeNoLaterThan(atMillis float64) { r.wakeAt = math.Min(r.wakeAt, atMillis) }

func (r *Reconciler) terminate(instance *instanceState, process *processState) Action {
	process.stopRequestedAt = r.nowMillis
	return Action{Kind: TerminateProcess, Instance: instance.name, ProcessNumber: process.number}
}

func (r *Reconciler) newProcess(instance *instanceState) *processState {
	r.lastProcessNumber++
	return &processState{number: r.lastProcessNumber, startedAt: r.nowMillis, stopRequestedAt: -1, reloadRequestedAt: -1, generation: instance.generation}
}

// Standing is how an instance stands, for operators.
type InstanceStatus struct {
	Name          string
	State         State
	ProcessNumber int // the one that serves
	Failures      int // in a row
	Restarts      int // after ends that nobody asked for
	Generation    int
	Outdated      bool // it does not run what is wanted yet
}

// Standings gives how all stand, in their order.
func (r *Reconciler) Statuses() []InstanceStatus {
	var statuses []InstanceStatus
	for _, instance := range r.instances {
		status := InstanceStatus{Name: instance.name, Failures: instance.failures, Restarts: instance.restarts, Generation: instance.generation}
		switch {
		case instance.current == nil && (!instance.desired || r.stopping):
			status.State = Stopped
		case instance.current == nil:
			status.State = Waiting
		case !instance.desired || r.stopping:
			status.State = Stopping
		case instance.successor != nil || instance.current.stopRequestedAt >= 0:
			status.State = Replacing
		case instance.current.ready:
			status.State = Ready
		default:
			status.State = Starting
		}
		if instance.current != nil {
			status.ProcessNumber, status.Outdated = instance.current.number, instance.current.generation != instance.generation
		}
		statuses = append(statuses, status)
	}
	return statuses
}
