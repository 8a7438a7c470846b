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
	Leaving                // its process has been told to end, and what is wanted is none
	Gone                   // there is none, and none is wanted
)

var stateNames = [...]string{"waiting", "starting", "ready", "replacing", "leaving", "gone"}

func (s State) String() string { return stateNames[s] }

// Pace is how processes are started and ended. Times in ms.
type Pace struct {
	First, Most float64 // the pause before a start that follows a failure, and what it doubles up to
	Calm        float64 // an instance that has been up for so long has no failures any more
	Within      float64 // in which a process has to be ready, or counts as failed
	Grace       float64 // in which one has to end
	Step        int     // instances that are replaced at once
}

// Kind is what a Decision asks of the host.
type Kind uint8

// The kinds.
const (
	Start Kind = iota + 1 // a process for an instance; it gets a new number
	Term                  // tell a process to end
	Kill                  // end it
	Renew                 // have it take up what is wanted as it runs
	Wake                  // call Clock again at time At
	Done                  // all have ended that were to
)

// Decision is one thing for the host to do.
type Decision struct {
	Kind     Kind
	Instance string
	Process  int // Start: the number of the new one
	At       float64
}

// process is one process of an instance.
type process struct {
	number  int
	began   float64
	ready   bool
	told    float64 // when it was told to end; below nought it was not
	killed  bool
	version int     // of the wanted, when it was started or took it up
	renewed float64 // when it was last told to take up what is wanted; below nought it was not
}

// Change tells how what is wanted of an instance has changed.
type Change uint8

// The changes.
const (
	Same    Change = iota
	Members        // in who the others are alone: it can take that up as it runs
	More           // in more: another process has to take its place
)

// instance is one gatekeeper of the fleet, through its processes.
type instance struct {
	name     string
	wanted   bool
	version  int  // what it is to run; grows with each change
	renews   bool // what runs can take that up
	now      *process
	next     *process // gets ready to take the place of now
	failures int
	due      float64 // the earliest next start
	restarts int
	alone    bool // two processes can't be there at once
	served   bool // it has had a process
}

// Keeper decides which processes run. It is told what happens, and pulled for decisions; the same seed
// and inputs give the same ones.
type Keeper struct {
	pace     Pace
	rng      *rand.Rand
	at       float64
	order    []*instance
	by       map[string]*instance
	numbers  int
	stopping bool
	done     bool
	wake     float64
	behind   bool // some wanted one runs what it should not any more
	unwanted bool // some that is not wanted runs still
}

// NewKeeper makes a keeper of none.
func NewKeeper(p Pace, seed int64) *Keeper {
	return &Keeper{pace: p, rng: rand.New(rand.NewSource(seed)), by: map[string]*instance{}}
}

// Clock sets the time, ms, of what follows.
func (k *Keeper) Clock(now float64) { k.at = math.Max(k.at, now) }

// Want says which instances there are to be, and which of them have changed since they were last wanted.
func (k *Keeper) Want(names []string, changed map[string]Change) {
	for _, i := range k.order {
		i.wanted = slices.Contains(names, i.name)
		i.served = i.served && (i.wanted || i.now != nil)
	}
	for _, name := range names {
		i := k.by[name]
		if i == nil {
			i = &instance{name: name, wanted: true, due: k.at}
			k.by[name] = i
			k.order = append(k.order, i)
		}
		if c := changed[name]; c != Same {
			current := i.now != nil && i.now.version == i.version
			i.renews = c == Members && (current || i.renews)
			i.version++
			i.failures, i.due = 0, math.Min(i.due, k.at) // what failed before may not any more
		}
	}
}

// Adopt takes a process as it is, that runs for an instance already. The host does not hold what a second
// process beside it would need: it has to end before another starts.
func (k *Keeper) Adopt(name string) int {
	k.numbers++
	if i := k.by[name]; i != nil {
		i.now = &process{number: k.numbers, began: k.at, told: -1, renewed: -1, version: i.version}
		i.alone, i.served = true, true
	}
	return k.numbers
}

// Pace changes the pace.
func (k *Keeper) Pace(p Pace) { k.pace = p }

// Stop says that all are to end.
func (k *Keeper) Stop() { k.stopping = true }

// Ready tells that a process is ready to serve.
func (k *Keeper) Ready(name string, number int) {
	i := k.by[name]
	if i == nil {
		return
	}
	for _, p := range []*process{i.now, i.next} {
		if p != nil && p.number == number {
			p.ready = true
		}
	}
}

// Renewed tells that a process has taken up what is wanted.
func (k *Keeper) Renewed(name string, number int) {
	if i := k.by[name]; i != nil && i.now != nil && i.now.number == number && i.now.renewed >= 0 {
		i.now.version, i.now.renewed, i.renews = i.version, -1, false
	}
}

// Ended tells that a process is no more.
func (k *Keeper) Ended(name string, number int) {
	i := k.by[name]
	if i == nil {
		return
	}
	switch {
	case i.next != nil && i.next.number == number:
		if i.next.told < 0 || i.next.killed {
			k.failed(i)
		}
		i.next = nil
	case i.now != nil && i.now.number == number:
		if i.now.told < 0 {
			if k.at-i.now.began > k.pace.Calm {
				i.failures = 0
			}
			k.failed(i)
			i.restarts++
		}
		i.now, i.next = i.next, nil // one that waited for its place has it now
		i.served = i.served && i.wanted
	}
}

// failed books a failure: the next start waits, longer each time, and not for as long as others that fell
// with it.
func (k *Keeper) failed(i *instance) {
	pause := math.Min(k.pace.First*math.Pow(2, float64(min(i.failures, 30))), k.pace.Most)
	i.failures++
	i.due = k.at + pause*(0.5+k.rng.Float64())
}

// Next gives the next decision, or none.
func (k *Keeper) Next() (Decision, bool) {
	k.wake = math.Inf(1)
	busy := 0 // replaced at once
	k.behind, k.unwanted = false, false
	for _, i := range k.order {
		k.behind = k.behind || i.wanted && i.now != nil && i.now.version != i.version
		k.unwanted = k.unwanted || !i.wanted && i.now != nil
		if i.next != nil || i.now != nil && i.now.told >= 0 {
			busy++
		}
	}
	left := false
	for _, i := range k.order {
		if d, ok := k.decide(i, &busy); ok {
			return d, true
		}
		left = left || i.now != nil || i.next != nil
	}
	if k.stopping && !left && !k.done {
		k.done = true
		return Decision{Kind: Done}, true
	}
	if !math.IsInf(k.wake, 1) {
		return Decision{Kind: Wake, At: k.wake}, true
	}
	return Decision{}, false
}

// decide gives the next decision on one instance.
func (k *Keeper) decide(i *instance, busy *int) (Decision, bool) {
	for _, p := range []*process{i.next, i.now} {
		if d, ok := k.overdue(i, p); ok {
			return d, true
		}
	}
	if k.stopping || !i.wanted {
		for _, p := range []*process{i.next, i.now} {
			if p != nil && p.told < 0 {
				return k.term(i, p), true
			}
		}
		return Decision{}, false
	}
	switch {
	case i.now == nil && !i.served && k.behind: // its part is the others' until they reckon with it
	case i.now == nil && k.at >= i.due:
		i.now, i.alone, i.served = k.process(i), false, true
		return Decision{Kind: Start, Instance: i.name, Process: i.now.number}, true
	case i.now == nil:
		k.look(i.due)
	case i.next != nil && i.next.ready && i.now.told < 0: // its heir is ready: it leaves its place
		return k.term(i, i.now), true
	case i.now.ready && i.now.told < 0 && i.next == nil && i.now.version != i.version && i.renews:
		switch {
		case k.unwanted: // their parts are not its yet
		case i.now.renewed < 0:
			i.now.renewed = k.at
			return Decision{Kind: Renew, Instance: i.name, Process: i.now.number}, true
		case k.at >= i.now.renewed+k.pace.Within: // it does not: another process takes its place after all
			i.renews = false
			return k.decide(i, busy)
		default:
			k.look(i.now.renewed + k.pace.Within)
		}
	case i.now.ready && i.now.told < 0 && i.next == nil && i.now.version != i.version:
		if *busy >= max(k.pace.Step, 1) || k.unwanted { // and theirs are not its yet
			break
		}
		if k.at < i.due {
			k.look(i.due)
			break
		}
		*busy++
		if i.alone {
			return k.term(i, i.now), true
		}
		i.next = k.process(i)
		return Decision{Kind: Start, Instance: i.name, Process: i.next.number}, true
	}
	return Decision{}, false
}

// overdue ends a process that was told to end and has not, or is not ready in time.
func (k *Keeper) overdue(i *instance, p *process) (Decision, bool) {
	if p == nil || p.killed {
		return Decision{}, false
	}
	end := p.began + k.pace.Within
	if p.told >= 0 {
		end = p.told + k.pace.Grace
	} else if p.ready {
		return Decision{}, false
	}
	if k.at < end {
		k.look(end)
		return Decision{}, false
	}
	p.killed = true
	return Decision{Kind: Kill, Instance: i.name, Process: p.number}, true
}

func (k *Keeper) look(at float64) { k.wake = math.Min(k.wake, at) }

func (k *Keeper) term(i *instance, p *process) Decision {
	p.told = k.at
	return Decision{Kind: Term, Instance: i.name, Process: p.number}
}

func (k *Keeper) process(i *instance) *process {
	k.numbers++
	return &process{number: k.numbers, began: k.at, told: -1, renewed: -1, version: i.version}
}

// Standing is how an instance stands, for operators.
type Standing struct {
	Name     string
	State    State
	Process  int // the one that serves
	Failures int // in a row
	Restarts int // after ends that nobody asked for
	Version  int
	Behind   bool // it does not run what is wanted yet
}

// Standings gives how all stand, in their order.
func (k *Keeper) Standings() []Standing {
	var all []Standing
	for _, i := range k.order {
		s := Standing{Name: i.name, Failures: i.failures, Restarts: i.restarts, Version: i.version}
		switch {
		case i.now == nil && (!i.wanted || k.stopping):
			s.State = Gone
		case i.now == nil:
			s.State = Waiting
		case !i.wanted || k.stopping:
			s.State = Leaving
		case i.next != nil || i.now.told >= 0:
			s.State = Replacing
		case i.now.ready:
			s.State = Ready
		default:
			s.State = Starting
		}
		if i.now != nil {
			s.Process, s.Behind = i.now.number, i.now.version != i.version
		}
		all = append(all, s)
	}
	return all
}
