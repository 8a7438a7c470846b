package supervisor

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
)

var pace = Policy{InitialBackoffMillis: 100, MaxBackoffMillis: 1000, BackoffResetMillis: 5000, ReadyTimeoutMillis: 2000, StopTimeoutMillis: 3000, MaxReplacing: 2}

// bench drives a keeper: processes come up after a while, and end a while after they are told to.
type bench struct {
	t      *testing.T
	k      *Reconciler
	now    float64
	up     map[int]string  // processes that run
	ready  map[int]float64 // when they will be
	ends   map[int]float64
	starts map[string]int
	sick   map[string]bool // their processes end at once
	deaf   map[string]bool // their processes heed no word
	killed int
	done   bool
	parts  map[int]float64 // how many instances a process reckons with
	renews map[int]float64 // when they will take up what is wanted
}

func newBench(t *testing.T, names ...string) *bench {
	b := &bench{t: t, k: NewReconciler(pace, 1), up: map[int]string{}, ready: map[int]float64{},
		ends:   map[int]float64{},
		starts: map[string]int{}, sick: map[string]bool{}, deaf: map[string]bool{},
		parts: map[int]float64{}, renews: map[int]float64{}}
	b.k.SetDesired(names, nil)
	return b
}

// run passes time in steps of 10 ms.
func (b *bench) run(ms float64) {
	b.t.Helper()
	for end := b.now + ms; b.now < end; b.now += 10 {
		b.k.SetTime(b.now)
		for p := 1; p <= b.k.lastProcessNumber; p++ {
			name, runs := b.up[p]
			if at, due := b.ready[p]; runs && due && at <= b.now {
				delete(b.ready, p)
				b.k.ProcessReady(name, p)
			}
			if at, due := b.renews[p]; runs && due && at <= b.now {
				delete(b.renews, p)
				b.parts[p] = b.wanted()
				b.k.ProcessReloaded(name, p)
			}
			if at, due := b.ends[p]; runs && due && at <= b.now {
				delete(b.up, p)
				b.k.ProcessEnded(name, p)
			}
		}
		for range 1000 {
			d, ok := b.k.Next()
			if !ok || d.Kind == WakeUp {
				if ok && d.AtMillis < b.now {
					b.t.Fatalf("woken at %v, %v ms ago", d.AtMillis, b.now-d.AtMillis)
				}
				break
			}
			b.carry(d)
		}
	}
}

func (b *bench) carry(d Action) {
	switch d.Kind {
	case StartProcess:
		b.starts[d.Instance]++
		b.parts[d.ProcessNumber] = b.wanted()
		b.up[d.ProcessNumber], b.ready[d.ProcessNumber] = d.Instance, b.now+200
		if b.sick[d.Instance] {
			b.ends[d.ProcessNumber] = b.now + 20
		}
		n := 0
		for _, name := range b.up {
			if name == d.Instance {
				n++
			}
		}
		if n > 2 {
			b.t.Fatalf("%d processes for %s", n, d.Instance)
		}
	case TerminateProcess:
		if !b.deaf[d.Instance] {
			b.ends[d.ProcessNumber] = b.now + 300
		}
	case ReloadProcess:
		if !b.deaf[d.Instance] {
			b.renews[d.ProcessNumber] = b.now + 60
		}
	case KillProcess:
		b.killed++
		b.ends[d.ProcessNumber] = b.now + 10
	case AllStopped:
		b.done = true
	}
}

// wanted counts the instances that there are to be.
func (b *bench) wanted() (n float64) {
	for _, i := range b.k.instances {
		if i.desired {
			n++
		}
	}
	return n
}

func (b *bench) states() string { return fmt.Sprint(b.list()) }

func (b *bench) list() (all []string) {
	for _, s := range b.k.Statuses() {
		all = append(all, s.State.String())
	}
	return all
}

func TestStartsAndStops(t *testing.T) {
	b := newBench(t, "n0", "n1", "n2")
	b.run(100)
	if b.states() != "[starting starting starting]" {
		t.Error(b.states())
	}
	b.run(300)
	if b.states() != "[ready ready ready]" || len(b.up) != 3 {
		t.Error(b.states())
	}
	b.deaf["n1"] = true
	b.k.Stop()
	b.run(2000)
	if b.done || b.states() != "[gone leaving gone]" {
		t.Errorf("done %v, %s", b.done, b.states())
	}
	b.run(2000)
	if !b.done || b.killed != 1 || len(b.up) > 0 {
		t.Errorf("done %v, %d killed, %d left", b.done, b.killed, len(b.up))
	}
}

// One that crashes at every start comes ever more rarely, up to a bound, and the others do not notice;
// those that fall together do not come back together.
func TestRestartPace(t *testing.T) {
	b := newBench(t, "n0", "n1", "n2", "n3", "n4", "n5")
	b.sick["n1"] = true
	b.run(20000)
	if n := b.starts["n1"]; n < 12 || n > 40 || b.starts["n0"] != 1 {
		t.Errorf("%d starts of the sick one in 20 s, %d of the other", n, b.starts["n0"])
	}
	b.sick["n1"] = false
	b.run(8000)
	const all = "[ready ready ready ready ready ready]"
	if b.states() != all {
		t.Error(b.states())
	}
	for p := range b.up {
		b.ends[p] = b.now
	}
	b.run(10)
	var due []float64
	for _, i := range b.k.instances {
		if i.failures != 1 {
			t.Errorf("%s: %d failures in a row after it was up", i.name, i.failures)
		}
		due = append(due, i.nextStartAt)
	}
	if slices.Max(due)-slices.Min(due) < 0.3*pace.InitialBackoffMillis {
		t.Errorf("all come back at %v", due)
	}
	b.run(1000)
	if b.states() != all {
		t.Error(b.states())
	}
}

// A reload replaces some at a time, each by a process that is ready before the old one leaves.
func TestReloadInSteps(t *testing.T) {
	names := []string{"n0", "n1", "n2", "n3", "n4"}
	b := newBench(t, names...)
	b.run(500)
	all := map[string]ConfigChange{}
	for _, n := range names {
		all[n] = RestartNeeded
	}
	b.k.SetDesired(names, all)
	for range 400 {
		b.run(10)
		replacing, serving := 0, 0
		for _, s := range b.k.Statuses() {
			if s.State == Replacing {
				replacing++
			}
		}
		for _, i := range b.k.instances {
			if i.current != nil && i.current.ready || i.successor != nil && i.successor.ready {
				serving++
			}
		}
		if replacing > pace.MaxReplacing || serving != len(names) {
			t.Fatalf("%d are replaced at once, %d serve", replacing, serving)
		}
	}
	for _, s := range b.k.Statuses() {
		if s.State != Ready || s.Outdated || b.starts[s.Name] != 2 {
			t.Errorf("%+v after %d starts", s, b.starts[s.Name])
		}
	}
}

// What is wanted changes while a reload is under way: the newest holds. A new one that dies before it is
// ready leaves the old one serving.
func TestReloadMeets(t *testing.T) {
	b := newBench(t, "n0", "n1")
	b.run(500)
	b.k.SetDesired([]string{"n0", "n1"}, map[string]ConfigChange{"n0": RestartNeeded, "n1": RestartNeeded})
	b.run(100)
	b.k.SetDesired([]string{"n0", "n2"}, map[string]ConfigChange{"n0": RestartNeeded}) // again, one less, one more
	b.run(4000)
	if b.states() != "[ready gone ready]" || b.k.Statuses()[0].Outdated || b.starts["n0"] != 3 {
		t.Errorf("%s, n0 started %d times", b.states(), b.starts["n0"])
	}
	b.sick["n0"] = true
	b.k.SetDesired([]string{"n0", "n2"}, map[string]ConfigChange{"n0": RestartNeeded})
	b.run(5000)
	if s := b.k.Statuses()[0]; !s.Outdated || b.k.byName["n0"].current == nil || !b.k.byName["n0"].current.ready ||
		s.Restarts > 0 {
		t.Errorf("while its new process dies: %+v", s)
	}
	b.k.Stop()
	b.run(5000)
	if !b.done || len(b.up) > 0 {
		t.Errorf("a stop in the middle: done %v, %d left", b.done, len(b.up))
	}
}

// While the number of instances changes, the parts that those which serve reckon with never add up to
// more than the whole: a new one starts once the others reckon with it, and the others grow once an old
// one has ended. Where they can take it up as they run, none is started for it, but one that does not.
func TestPartsWhileTheNumberChanges(t *testing.T) {
	names := []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}
	for _, change := range []ConfigChange{RestartNeeded, MembershipChanged} {
		b := newBench(t, names[:3]...)
		b.deaf["n1"] = change == MembershipChanged
		for _, n := range []int{7, 2, 5, 5, 1, 7} {
			b.run(500)
			all := map[string]ConfigChange{}
			for _, name := range names[:n] {
				all[name] = change
			}
			b.k.SetDesired(names[:n], all)
			for range 1200 {
				b.run(10)
				sum := 0.0
				for p, name := range b.up {
					if i := b.k.byName[name]; i.current != nil && i.current.number == p {
						sum += 1 / b.parts[p]
					}
				}
				if sum > 1+1e-9 {
					t.Fatalf("on the way to %d the parts add up to %.3f: %s", n, sum, b.states())
				}
			}
			serving := 0
			for _, s := range b.k.Statuses() {
				if s.State == Ready && !s.Outdated {
					serving++
				}
			}
			if serving != n {
				t.Errorf("%d of %d serve: %s", serving, n, b.states())
			}
		}
		if one := b.starts["n0"] == 1; one != (change == MembershipChanged) || b.starts["n1"] < 3 {
			t.Errorf("change %d: %d and %d starts", change, b.starts["n0"], b.starts["n1"])
		}
	}
}

// One that never gets ready is ended and counts as failed; one that is adopted is kept as it is.
func TestNeverReadyAndAdopted(t *testing.T) {
	b := newBench(t, "n0", "n1")
	p := b.k.Adopt("n1")
	b.up[p], b.ready[p] = "n1", 50
	b.k.SetTime(0)
	for range 3 {
		if d, ok := b.k.Next(); ok && d.Kind == StartProcess {
			b.carry(d)
			delete(b.ready, d.ProcessNumber)
		}
	}
	b.run(2100)
	if b.killed != 1 || b.starts["n1"] != 0 || b.states() == "[starting ready]" {
		t.Errorf("%d killed, n1 started %d times, %s", b.killed, b.starts["n1"], b.states())
	}
	b.run(1000)
	if b.states() != "[ready ready]" {
		t.Error(b.states())
	}
}

// Whatever was wanted, killed, deaf or never ready before, and however often the daemon itself was started
// anew over what ran, once that is over all that are wanted come to run what is wanted. Guards against
// instances that wait for one another for ever.
func TestWalksOfKeeper(t *testing.T) {
	names := []string{"n0", "n1", "n2", "n3"}
	for seed := range int64(400) {
		rng := rand.New(rand.NewSource(seed))
		b := newBench(t, names...)
		wanted := names
		for range 5 + rng.Intn(40) {
			switch who := names[rng.Intn(len(names))]; rng.Intn(8) {
			case 0, 1: // killed
				for p := 1; p <= b.k.lastProcessNumber; p++ {
					if b.up[p] == who {
						b.ends[p] = b.now
					}
				}
			case 2, 3: // other members, and all are told of it
				wanted = slices.DeleteFunc(slices.Clone(names), func(string) bool { return rng.Intn(4) == 0 })
				changed := map[string]ConfigChange{}
				for _, n := range wanted {
					changed[n] = MembershipChanged
				}
				b.k.SetDesired(wanted, changed)
			case 4:
				b.k.SetDesired(wanted, map[string]ConfigChange{who: ConfigChange(rng.Intn(3))})
			case 5:
				b.deaf[who] = !b.deaf[who]
			case 6:
				b.sick[who] = !b.sick[who]
			case 7: // the daemon is started anew, over what runs
				b.adopted(wanted, rng)
			}
			b.run(float64(rng.Intn(150)) * 10)
		}
		b.sick, b.deaf = map[string]bool{}, map[string]bool{}
		b.run(40000)
		for _, s := range b.k.Statuses() {
			if want := slices.Contains(wanted, s.Name); want != (s.State == Ready) || want && s.Outdated {
				t.Fatalf("seed %d: %s of %v is %v, behind %v, of %v", seed, s.Name, wanted, s.State, s.Outdated,
					b.k.Statuses())
			}
		}
	}
}

// adopted has another keeper take over what runs: one process each, the others are told to end.
func (b *bench) adopted(wanted []string, rng *rand.Rand) {
	was, from := b.up, b.k.lastProcessNumber
	b.k = NewReconciler(pace, rng.Int63())
	b.k.SetTime(b.now)
	b.up, b.ready, b.ends, b.renews = map[int]string{}, map[int]float64{}, map[int]float64{}, map[int]float64{}
	b.k.SetDesired(wanted, nil)
	for p := 1; p <= from; p++ {
		name := was[p]
		if slices.Contains(wanted, name) && !slices.Contains(slices.Collect(maps.Values(b.up)), name) {
			n := b.k.Adopt(name)
			if b.up[n], b.ready[n] = name, b.now+100; rng.Intn(3) == 0 { // what is wanted has changed meanwhile
				b.k.SetDesired(wanted, map[string]ConfigChange{name: RestartNeeded})
			}
		}
	}
}
