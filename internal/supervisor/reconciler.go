package supervisor

import (
	"math"
	"math/rand"
	"slices"
)

// never is the time of a request that has not been made; times on the reconciler's clock are not negative.
const never = -1

// maxBackoffDoublings limits the exponent of the backoff, for any MaxBackoffMillis.
const maxBackoffDoublings = 30

// Policy sets how processes are started, replaced and stopped.
type Policy struct {
	InitialBackoffMillis float64 // delay of the start after a first failure
	MaxBackoffMillis     float64 // upper bound of the backoff, which doubles with each consecutive failure
	BackoffResetMillis   float64 // running for longer resets the count of consecutive failures
	ReadyTimeoutMillis   float64 // a process not ready within this time is killed and counts as failed
	StopTimeoutMillis    float64 // a process not stopped within this time is killed
	MaxReplacing         int     // instances replaced at the same time; values under 1 count as 1
}

// ConfigChange is the kind of a change of an instance's desired configuration.
type ConfigChange uint8

// The kinds of changes.
const (
	Unchanged         ConfigChange = iota
	MembershipChanged              // only the fleet's members: a running process can reload them
	RestartNeeded                  // anything else: a new process has to replace the current one
)

// processState is one process of an instance. Times are milliseconds on the reconciler's clock.
type processState struct {
	number            int
	startedAt         float64
	ready             bool
	stopRequestedAt   float64 // never if it was not
	killed            bool
	generation        int     // number of the configuration that it runs
	reloadRequestedAt float64 // never if no reload is pending
}

func (p *processState) stopRequested() bool { return p.stopRequestedAt >= 0 }

// instanceState is the desired and the actual state of one instance.
type instanceState struct {
	name        string
	desired     bool
	generation  int           // number of the desired configuration; grows with each change
	reloadable  bool          // the current process can reload the desired configuration
	current     *processState // nil if none runs
	successor   *processState // will replace current once it is ready; nil if there is none
	failures    int           // consecutive failures
	nextStartAt float64       // ms; the earliest start of a process
	restarts    int
	exclusive   bool // two processes cannot run at once, since the daemon does not have the listener
	hasServed   bool // it has had a process since it last became desired
}

// outdated reports whether the current process runs another configuration than the desired one.
func (i *instanceState) outdated() bool {
	return i.current != nil && i.current.generation != i.generation
}

// Reconciler decides which processes to run. Its inputs are the desired state and the process events; Next
// returns the actions that lead from the actual state to the desired one. It does no I/O and reads no clock:
// the same seed and inputs give the same actions. It is not safe for concurrent use.
type Reconciler struct {
	policy              Policy
	rng                 *rand.Rand
	nowMillis           float64
	instances           []*instanceState // in the order in which they were first desired
	byName              map[string]*instanceState
	lastProcessNumber   int
	stopping            bool
	allStoppedReported  bool
	wakeAt              float64 // ms; infinite if no wake-up is needed
	anyOutdated         bool    // a desired instance runs an old configuration
	anyUndesiredRunning bool    // an instance that is not desired has a process
}

// NewReconciler returns a reconciler without instances. seed seeds the jitter of the backoff.
func NewReconciler(policy Policy, seed int64) *Reconciler {
	return &Reconciler{policy: policy, rng: rand.New(rand.NewSource(seed)), byName: map[string]*instanceState{}}
}

// SetTime sets the time of the following inputs and actions, in milliseconds. An earlier time is ignored.
func (r *Reconciler) SetTime(nowMillis float64) { r.nowMillis = math.Max(r.nowMillis, nowMillis) }

// SetDesired sets the names of the desired instances. changed holds how their configurations have changed
// since the previous call; the configuration of an instance that is not in it is unchanged.
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
			upToDate := instance.current != nil && !instance.outdated()
			instance.reloadable = change == MembershipChanged && (upToDate || instance.reloadable)
			instance.generation++
			// The cause of its failures may have been in the old configuration, so the new one starts without backoff.
			instance.failures = 0
			instance.nextStartAt = math.Min(instance.nextStartAt, r.nowMillis)
		}
	}
}

// Adopt records an already running process of an instance and returns its process number. The daemon does not
// have the listener that a second process would need, so this process has to stop before another one starts.
func (r *Reconciler) Adopt(name string) int {
	instance := r.byName[name]
	if instance == nil {
		r.lastProcessNumber++
		return r.lastProcessNumber
	}
	instance.current = r.newProcess(instance)
	instance.exclusive, instance.hasServed = true, true
	return instance.current.number
}

// SetPolicy replaces the policy.
func (r *Reconciler) SetPolicy(policy Policy) { r.policy = policy }

// Stop makes all instances undesired for good: a later SetDesired does not start any.
func (r *Reconciler) Stop() { r.stopping = true }

// ProcessReady records that a process is ready to serve.
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

// ProcessReloaded records that a process has reloaded the desired configuration.
func (r *Reconciler) ProcessReloaded(name string, number int) {
	instance := r.byName[name]
	if instance == nil || instance.current == nil || instance.current.number != number ||
		instance.current.reloadRequestedAt < 0 {
		return
	}
	instance.current.generation = instance.generation
	instance.current.reloadRequestedAt = never
	instance.reloadable = false
}

// ProcessEnded records that a process has exited. An exit that was not requested is a failure, and so is that
// of a successor that was killed.
func (r *Reconciler) ProcessEnded(name string, number int) {
	instance := r.byName[name]
	if instance == nil {
		return
	}
	switch {
	case instance.successor != nil && instance.successor.number == number:
		if !instance.successor.stopRequested() || instance.successor.killed {
			r.recordFailure(instance)
		}
		instance.successor = nil
	case instance.current != nil && instance.current.number == number:
		if !instance.current.stopRequested() {
			if r.nowMillis-instance.current.startedAt > r.policy.BackoffResetMillis {
				instance.failures = 0
			}
			r.recordFailure(instance)
			instance.restarts++
		}
		instance.current, instance.successor = instance.successor, nil
		instance.hasServed = instance.hasServed && instance.desired
	}
}

// recordFailure counts a failure and sets the earliest next start. The backoff doubles with each failure and
// has a jitter of plus or minus 50 %, so that instances that failed together do not start together.
func (r *Reconciler) recordFailure(instance *instanceState) {
	doublings := min(instance.failures, maxBackoffDoublings)
	backoff := math.Min(r.policy.InitialBackoffMillis*math.Pow(2, float64(doublings)), r.policy.MaxBackoffMillis)
	instance.failures++
	instance.nextStartAt = r.nowMillis + backoff*(0.5+r.rng.Float64())
}

// Next returns the next action, or false if no action is due until the next input.
func (r *Reconciler) Next() (Action, bool) {
	r.wakeAt = math.Inf(1)
	replacing := r.survey()
	anyRunning := false
	for _, instance := range r.instances {
		if action, ok := r.nextForInstance(instance, replacing); ok {
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

// survey sets anyOutdated and anyUndesiredRunning, on which the decisions for each instance depend, and
// returns how many instances are being replaced.
func (r *Reconciler) survey() (replacing int) {
	r.anyOutdated, r.anyUndesiredRunning = false, false
	for _, instance := range r.instances {
		r.anyOutdated = r.anyOutdated || instance.desired && instance.outdated()
		r.anyUndesiredRunning = r.anyUndesiredRunning || !instance.desired && instance.current != nil
		if instance.successor != nil || instance.current != nil && instance.current.stopRequested() {
			replacing++
		}
	}
	return replacing
}

// nextForInstance returns the next action for an instance; replacing is how many are being replaced.
func (r *Reconciler) nextForInstance(instance *instanceState, replacing int) (Action, bool) {
	for _, process := range []*processState{instance.successor, instance.current} {
		if action, ok := r.killIfOverdue(instance, process); ok {
			return action, true
		}
	}
	if r.stopping || !instance.desired {
		return r.stopInstance(instance)
	}
	current := instance.current
	if current == nil {
		return r.startInstance(instance)
	}
	if current.stopRequested() {
		return Action{}, false
	}
	if instance.successor != nil {
		if instance.successor.ready {
			return r.terminate(instance, current), true
		}
		return Action{}, false
	}
	if !current.ready || !instance.outdated() {
		return Action{}, false
	}
	// Undesired instances that still run keep their quota shares. A configuration without them would give
	// parts of these shares to this instance, so it waits until they have stopped.
	if r.anyUndesiredRunning {
		return Action{}, false
	}
	if instance.reloadable {
		if action, pending := r.reload(instance); pending {
			return action, action.Kind != 0
		}
	}
	return r.replace(instance, replacing)
}

// stopInstance returns the next action that stops an instance.
func (r *Reconciler) stopInstance(instance *instanceState) (Action, bool) {
	for _, process := range []*processState{instance.successor, instance.current} {
		if process != nil && !process.stopRequested() {
			return r.terminate(instance, process), true
		}
	}
	return Action{}, false
}

// startInstance returns the action that starts an instance without a process, once its backoff has passed. A
// new instance also waits until no desired instance is outdated: those that run an older configuration, which
// does not count the new one, still use its quota share.
func (r *Reconciler) startInstance(instance *instanceState) (Action, bool) {
	switch {
	case !instance.hasServed && r.anyOutdated:
		return Action{}, false
	case r.nowMillis < instance.nextStartAt:
		r.wakeNoLaterThan(instance.nextStartAt)
		return Action{}, false
	}
	instance.current, instance.exclusive, instance.hasServed = r.newProcess(instance), false, true
	return r.start(instance, instance.current), true
}

// reload returns the action that makes the current process reload the desired configuration. While the reload
// is in progress the action is empty and pending is true. After the timeout pending is false: the process has
// to be replaced.
func (r *Reconciler) reload(instance *instanceState) (action Action, pending bool) {
	current := instance.current
	if current.reloadRequestedAt < 0 {
		current.reloadRequestedAt = r.nowMillis
		return Action{Kind: ReloadProcess, Instance: instance.name, ProcessNumber: current.number}, true
	}
	deadline := current.reloadRequestedAt + r.policy.ReadyTimeoutMillis
	if r.nowMillis < deadline {
		r.wakeNoLaterThan(deadline)
		return Action{}, true
	}
	instance.reloadable = false
	return Action{}, false
}

// replace returns the action that begins the replacement of the current process: the start of its successor,
// or its own stop if two processes cannot run at once. It returns none during the backoff, or while
// MaxReplacing instances are being replaced.
func (r *Reconciler) replace(instance *instanceState, replacing int) (Action, bool) {
	if replacing >= max(r.policy.MaxReplacing, 1) {
		return Action{}, false
	}
	if r.nowMillis < instance.nextStartAt {
		r.wakeNoLaterThan(instance.nextStartAt)
		return Action{}, false
	}
	if instance.exclusive {
		return r.terminate(instance, instance.current), true
	}
	instance.successor = r.newProcess(instance)
	return r.start(instance, instance.successor), true
}

// killIfOverdue returns the action that kills a process which has not stopped, or has not become ready,
// within its timeout.
func (r *Reconciler) killIfOverdue(instance *instanceState, process *processState) (Action, bool) {
	if process == nil || process.killed {
		return Action{}, false
	}
	deadline := process.startedAt + r.policy.ReadyTimeoutMillis
	if process.stopRequested() {
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

func (r *Reconciler) start(instance *instanceState, process *processState) Action {
	return Action{Kind: StartProcess, Instance: instance.name, ProcessNumber: process.number}
}

func (r *Reconciler) terminate(instance *instanceState, process *processState) Action {
	process.stopRequestedAt = r.nowMillis
	return Action{Kind: TerminateProcess, Instance: instance.name, ProcessNumber: process.number}
}

// newProcess returns the state of a new process that runs the desired configuration.
func (r *Reconciler) newProcess(instance *instanceState) *processState {
	r.lastProcessNumber++
	return &processState{
		number:            r.lastProcessNumber,
		startedAt:         r.nowMillis,
		stopRequestedAt:   never,
		reloadRequestedAt: never,
		generation:        instance.generation,
	}
}
