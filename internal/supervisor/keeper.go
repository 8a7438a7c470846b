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
func (k *Reconciler) SetTime(nowMillis float64) { k.nowMillis = math.Max(k.nowMillis, nowMillis) }

// Want says which instances there are to be, and which of them have changed since they were last wanted.
func (k *Reconciler) SetDesired(names []string, changed map[string]ConfigChange) {
	for _, i := range k.instances {
		i.desired = slices.Contains(names, i.name)
		i.hasServed = i.hasServed && (i.desired || i.current != nil)
	}
	for _, name := range names {
		i := k.byName[name]
		if i == nil {
			i = &instanceState{name: name, desired: true, nextStartAt: k.nowMillis}
			k.byName[name] = i
			k.instances = append(k.instances, i)
		}
		if c := changed[name]; c != Unchanged {
			current := i.current != nil && i.current.generation == i.generation
			i.reloadable = c == MembershipChanged && (current || i.reloadable)
			i.generation++
			i.failures, i.nextStartAt = 0, math.Min(i.nextStartAt, k.nowMillis) // what failed before may not any more
		}
	}
}

// Adopt takes a process as it is, that runs for an instance already. The host does not hold what a second
// process beside it would need: it has to end before another starts.
func (k *Reconciler) Adopt(name string) int {
	k.lastProcessNumber++
	if i := k.byName[name]; i != nil {
		i.current = &processState{number: k.lastProcessNumber, startedAt: k.nowMillis, stopRequestedAt: -1, reloadRequestedAt: -1, generation: i.generation}
		i.exclusive, i.hasServed = true, true
	}
	return k.lastProcessNumber
}

// Pace changes the pace.
func (k *Reconciler) SetPolicy(policy Policy) { k.policy = policy }

// Stop says that all are to end.
func (k *Reconciler) Stop() { k.stopping = true }

// Ready tells that a process is ready to serve.
func (k *Reconciler) ProcessReady(name string, number int) {
	i := k.byName[name]
	if i == nil {
		return
	}
	for _, p := range []*processState{i.current, i.successor} {
		if p != nil && p.number == number {
			p.ready = true
		}
	}
}

// Renewed tells that a process has taken up what is wanted.
func (k *Reconciler) ProcessReloaded(name string, number int) {
	if i := k.byName[name]; i != nil && i.current != nil && i.current.number == number && i.current.reloadRequestedAt >= 0 {
		i.current.generation, i.current.reloadRequestedAt, i.reloadable = i.generation, -1, false
	}
}

// Ended tells that a process is no more.
func (k *Reconciler) ProcessEnded(name string, number int) {
	i := k.byName[name]
	if i == nil {
		return
	}
	switch {
	case i.successor != nil && i.successor.number == number:
		if i.successor.stopRequestedAt < 0 || i.successor.killed {
			k.recordFailure(i)
		}
		i.successor = nil
	case i.current != nil && i.current.number == number:
		if i.current.stopRequestedAt < 0 {
			if k.nowMillis-i.current.startedAt > k.policy.BackoffResetMillis {
				i.failures = 0
			}
			k.recordFailure(i)
			i.restarts++
		}
		i.current, i.successor = i.successor, nil // one that waited for its place has it now
		i.hasServed = i.hasServed && i.desired
	}
}

// failed books a failure: the next start waits, longer each time, and not for as long as others that fell
// with it.
func (k *Reconciler) recordFailure(i *instanceState) {
	backoff := math.Min(k.policy.InitialBackoffMillis*math.Pow(2, float64(min(i.failures, 30))), k.policy.MaxBackoffMillis)
	i.failures++
	i.nextStartAt = k.nowMillis + backoff*(0.5+k.rng.Float64())
}

// Next gives the next decision, or none.
func (k *Reconciler) Next() (Action, bool) {
	k.wakeAt = math.Inf(1)
	replacing := 0 // replaced at once
	k.anyOutdated, k.anyUndesiredRunning = false, false
	for _, i := range k.instances {
		k.anyOutdated = k.anyOutdated || i.desired && i.current != nil && i.current.generation != i.generation
		k.anyUndesiredRunning = k.anyUndesiredRunning || !i.desired && i.current != nil
		if i.successor != nil || i.current != nil && i.current.stopRequestedAt >= 0 {
			replacing++
		}
	}
	anyRunning := false
	for _, i := range k.instances {
		if action, ok := k.nextForInstance(i, &replacing); ok {
			return action, true
		}
		anyRunning = anyRunning || i.current != nil || i.successor != nil
	}
	if k.stopping && !anyRunning && !k.allStoppedReported {
		k.allStoppedReported = true
		return Action{Kind: AllStopped}, true
	}
	if !math.IsInf(k.wakeAt, 1) {
		return Action{Kind: WakeUp, AtMillis: k.wakeAt}, true
	}
	return Action{}, false
}

// decide gives the next decision on one instance.
func (k *Reconciler) nextForInstance(i *instanceState, replacing *int) (Action, bool) {
	for _, p := range []*processState{i.successor, i.current} {
		if action, ok := k.killIfOverdue(i, p); ok {
			return action, true
		}
	}
	if k.stopping || !i.desired {
		for _, p := range []*processState{i.successor, i.current} {
			if p != nil && p.stopRequestedAt < 0 {
				return k.terminate(i, p), true
			}
		}
		return Action{}, false
	}
	switch {
	case i.current == nil && !i.hasServed && k.anyOutdated: // its part is the others' until they reckon with it
	case i.current == nil && k.nowMillis >= i.nextStartAt:
		i.current, i.exclusive, i.hasServed = k.newProcess(i), false, true
		return Action{Kind: StartProcess, Instance: i.name, ProcessNumber: i.current.number}, true
	case i.current == nil:
		k.wakeNoLaterThan(i.nextStartAt)
	case i.successor != nil && i.successor.ready && i.current.stopRequestedAt < 0: // its heir is ready: it leaves its place
		return k.terminate(i, i.current), true
	case i.current.ready && i.current.stopRequestedAt < 0 && i.successor == nil && i.current.generation != i.generation && i.reloadable:
		switch {
		case k.anyUndesiredRunning: // their parts are not its yet
		case i.current.reloadRequestedAt < 0:
			i.current.reloadRequestedAt = k.nowMillis
			return Action{Kind: ReloadProcess, Instance: i.name, ProcessNumber: i.current.number}, true
		case k.nowMillis >= i.current.reloadRequestedAt+k.policy.ReadyTimeoutMillis: // it does not: another process takes its place after all
			i.reloadable = false
			return k.nextForInstance(i, replacing)
		default:
			k.wakeNoLaterThan(i.current.reloadRequestedAt + k.policy.ReadyTimeoutMillis)
		}
	case i.current.ready && i.current.stopRequestedAt < 0 && i.successor == nil && i.current.generation != i.generation:
		if *replacing >= max(k.policy.MaxReplacing, 1) || k.anyUndesiredRunning { // and theirs are not its yet
			break
		}
		if k.nowMillis < i.nextStartAt {
			k.wakeNoLaterThan(i.nextStartAt)
			break
		}
		*replacing++
		if i.exclusive {
			return k.terminate(i, i.current), true
		}
		i.successor = k.newProcess(i)
		return Action{Kind: StartProcess, Instance: i.name, ProcessNumber: i.successor.number}, true
	}
	return Action{}, false
}

// overdue ends a process that was told to end and has not, or is not ready in time.
func (k *Reconciler) killIfOverdue(i *instanceState, p *processState) (Action, bool) {
	if p == nil || p.killed {
		return Action{}, false
	}
	deadline := p.startedAt + k.policy.ReadyTimeoutMillis
	if p.stopRequestedAt >= 0 {
		deadline = p.stopRequestedAt + k.policy.StopTimeoutMillis
	} else if p.ready {
		return Action{}, false
	}
	if k.nowMillis < deadline {
		k.wakeNoLaterThan(deadline)
		return Action{}, false
	}
	p.killed = true
	return Action{Kind: KillProcess, Instance: i.name, ProcessNumber: p.number}, true
}

func (k *Reconciler) wakeNoLaterThan(atMillis float64) { k.wakeAt = math.Min(k.wakeAt, atMillis) }

func (k *Reconciler) terminate(i *instanceState, p *processState) Action {
	p.stopRequestedAt = k.nowMillis
	return Action{Kind: TerminateProcess, Instance: i.name, ProcessNumber: p.number}
}

func (k *Reconciler) newProcess(i *instanceState) *processState {
	k.lastProcessNumber++
	return &processState{number: k.lastProcessNumber, startedAt: k.nowMillis, stopRequestedAt: -1, reloadRequestedAt: -1, generation: i.generation}
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
func (k *Reconciler) Statuses() []InstanceStatus {
	var all []InstanceStatus
	for _, i := range k.instances {
		s := InstanceStatus{Name: i.name, Failures: i.failures, Restarts: i.restarts, Generation: i.generation}
		switch {
		case i.current == nil && (!i.desired || k.stopping):
			s.State = Stopped
		case i.current == nil:
			s.State = Waiting
		case !i.desired || k.stopping:
			s.State = Stopping
		case i.successor != nil || i.current.stopRequestedAt >= 0:
			s.State = Replacing
		case i.current.ready:
			s.State = Ready
		default:
			s.State = Starting
		}
		if i.current != nil {
			s.ProcessNumber, s.Outdated = i.current.number, i.current.generation != i.generation
		}
		all = append(all, s)
	}
	return all
}
