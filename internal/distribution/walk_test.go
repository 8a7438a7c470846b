package distribution

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

var (
	walks  = flag.Int("walks", 200, "at random, of half a minute each")
	walked = flag.Int64("seed", 0, "of the first walk")
)

const (
	stepMS  = 250.0 // of accord: from the last check to the write that it allows
	slackMS = 2.0   // that clocks may miscount over a lease and the hops below a council, ms
)

// planted is a break that the walks have to find.
type planted uint8

const (
	none        planted = iota
	fromReceipt         // an age is counted from when the answer came
	notAdded            // a relay tells the age of its parent's answer as it was, not with its own time
	fromBefore          // words are taken that were read before the process began
	unchecked           // a spoilt delta is taken, as if no digest were checked
	lastWins            // of a host's facts the last one holds, not the highest
	forOthers           // a relay says of the hosts below it what it knows itself
	lowerTaken          // a word of a lower step is taken
	diskIsProof         // what a disk copy says is gone by
	anyQuestion         // an answer is taken for one to another question
	plants
)

var plantedNames = [...]string{"none", "age from receipt", "age not added up", "read before it began",
	"digest not checked", "last fact wins", "said for others", "lower step taken", "disk copy as proof",
	"answer to another question"}

// node is one process: a council's daemon, a relay, a host's daemon or a gatekeeper. What is in it dies with
// it; the clock and the disk stay.
type node struct {
	name, host   string
	level, zone  int // zone: 0 of all
	ups          []*node
	interest     ruleset.Interest
	fast, offset float64
	still        float64 // until when it stands still, true time
	life         int
	began        float64 // true time
	follower     *Follower
	source       *Source
	step         uint64 // highest that it has gone by in this life
	version      uint64
	viewed       versioned.VersionID
	facts        map[string]uint64 // as its source knew them
	disk, coming *versioned.State
	kept         View   // beside them, which none may go by
	told         uint64 // highest Seen of the host, said by this life or one before
	council      *ruleset.StateMachine
	steward      *ruleset.HostAgent
	applied      int
	warden       *ruleset.LeaseGrantor
	submitted    float64
	gates        []*node // of a host's daemon
	daemon       *node   // of a gatekeeper
	holder       *ruleset.LeaseHolder
	writes       []wrote
	process      int
	pair         [2]versioned.VersionID
	replica      *Replica // in place of a follower
	before       *Answer  // the one before, which may come once more in place of another
	mine         [2]*ruleset.Rules
	leased       int
}

func (n *node) clock(now float64) float64    { return now*n.fast + n.offset }
func (n *node) moment(clock float64) float64 { return (clock - n.offset) / n.fast }

// wrote is what was checked at a time and may be written up to a step later.
type wrote struct {
	at, rate, credit float64
	of, step         uint64 // by which version, 0: by a fallback or none; and the step that it rests on
	bare             bool
}

type event struct {
	at float64
	do func()
}

// said is what a council says at a step.
type said struct {
	rules, pending versioned.VersionID
	states         [2]*versioned.State
	until          float64 // true time at which the next step came
}

type ended struct {
	at, allows, bound float64
	number            uint64
}

type walk struct {
	rng       *rand.Rand
	now       float64
	log       []ruleset.LogEntry
	truth     *ruleset.StateMachine
	nodes     []*node // those above before those below
	roots     []*node
	gates     []*node
	later     []event
	ended     []ended
	allows    float64
	steps     map[uint64]*said
	states    map[string]*versioned.State // of a version, by its rules
	leader    float64                     // when there is one again
	plant     planted
	calm      bool
	counts    map[string]int
	wrong     string
	versions  map[versioned.VersionID]*ruleset.Rules
	processes int
	numbers   uint64
	replicas  bool // gatekeepers keep them, as they do with relayd
}

func (w *walk) bad(form string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf("at %.0f ", w.now) + fmt.Sprintf(form, args...)
	}
}

// in does something at a node after a random time, mostly soon and sometimes very late, never or twice; what
// comes to one that stands still waits until it goes on, and what comes to a former life is lost.
func (w *walk) in(to *node, do func()) {
	life := 0
	if to != nil {
		life = to.life
	}
	var come func()
	come = func() {
		if to == nil {
			do()
		} else if to.life != life {
			return
		} else if to.still > w.now {
			w.later = append(w.later, event{to.still, come})
		} else {
			do()
		}
	}
	if w.calm {
		w.later = append(w.later, event{w.now + 5, come})
		return
	}
	for n := []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2}[w.rng.Intn(15)]; n > 0; n-- {
		late := w.rng.ExpFloat64() * 10
		if w.rng.Intn(20) == 0 {
			late = w.rng.Float64() * 2500
		}
		w.later = append(w.later, event{w.now + late, come})
	}
}

// state gives a version as entries, the same for the same.
func (w *walk) state(v *ruleset.Version) *versioned.State {
	key := fmt.Sprintf("%d %+v", v.Number, v.Rules)
	if w.states[key] == nil {
		s, err := ruleset.VersionToState(v)
		if err != nil {
			panic(err)
		}
		w.states[key] = s
	}
	return w.states[key]
}

// pending gives what waits as entries; nil where nothing does.
func (w *walk) pending(st *ruleset.State) *versioned.State {
	if st.Pending == nil {
		return nil
	}
	return w.state(&st.Pending.Version)
}

func (w *walk) commit(e ruleset.LogEntry) {
	if w.leader > w.now {
		return
	}
	st := w.truth.State()
	old, before := st.InForce, st.Step
	o := w.truth.Apply(e)
	w.log = append(w.log, e)
	if o.Rejection != "" {
		w.counts["refused"]++
	}
	if o.PendingReason != "" {
		w.counts["waited"]++
	}
	if e.Type == ruleset.EntryAckBatch && o.Rejection == "" {
		w.counts["seen"] += len(e.Acks)
	}
	if st = w.truth.State(); st.Step != before {
		for s := before; s < st.Step; s++ {
			if x := w.steps[s]; x != nil {
				x.until = min(x.until, w.now)
			}
		}
		x := &said{until: math.Inf(1)}
		x.states = [2]*versioned.State{w.state(&st.InForce), w.pending(st)}
		x.rules, x.pending = x.states[0].ID(), x.states[1].ID()
		w.steps[st.Step] = x
	}
	if o.Activated > 0 {
		w.counts["in force"]++
		w.ended = append(w.ended, ended{w.now, w.allows, ruleset.ConflictBoundMillis(&old.Rules), old.Number})
		w.allows = st.InForce.Rules.Plans[0].CeilingRate
	}
}

func (w *walk) rules() *ruleset.Rules {
	ceiling := []float64{12, 24, 48, 96, 192}[w.rng.Intn(5)]
	r := &ruleset.Rules{Format: ruleset.SupportedFormat,
		ConflictBoundMillis: ruleset.DefaultConflictBoundMillis, LeaseMillis: 600 + w.rng.Float64()*1000,
		Fallback: ruleset.Fallback{Fraction: w.rng.Float64(), DurationMillis: w.rng.Float64() * 3000},
		Plans: []ruleset.Plan{{Name: "p", Rate: ceiling, Burst: 1, CeilingRate: ceiling, CeilingDepth: ceiling,
			CreditSeconds: 1, RepayMillis: 2000}}}
	members := []string{"abcd", "abc", "ab.d", "a", "ab", ".bc"}
	for _, m := range strings.Split(members[w.rng.Intn(len(members))], "") {
		if m == "." {
			r.Members = append(r.Members, ruleset.Member{})
		} else {
			r.Members = append(r.Members, ruleset.Member{Name: m, Host: hostOf(m)})
		}
	}
	for i := range w.rng.Intn(3) {
		r.WorkerOverrides = append(r.WorkerOverrides, ruleset.WorkerOverride{Worker: fmt.Sprint("w", i),
			Barred: true})
	}
	return r
}

func hostOf(gate string) string {
	if gate < "c" {
		return "h0"
	}
	return "h1"
}

// build makes two council daemons, relays of a depth less one, two for each branch at each level, two hosts'
// daemons and four gatekeepers. A chain has one branch, a tree two from the second level on.
func (w *walk) build(depth int, tree bool) {
	add := func(n *node) *node {
		n.fast, n.offset = 1+(2*w.rng.Float64()-1)*drift, w.rng.Float64()*1e6
		w.nodes = append(w.nodes, n)
		return n
	}
	for i := range 2 {
		w.roots = append(w.roots, add(&node{name: fmt.Sprint("root", i), council: ruleset.NewStateMachine()}))
	}
	branches, around := [2][]*node{w.roots, w.roots}, 1
	if w.replicas {
		around = Around
	}
	for level := 1; level < depth; level++ {
		for b := range 2 {
			if b == 1 && (!tree || level == 1) {
				branches[1] = branches[0]
				continue
			}
			var two []*node
			for i := range 2 {
				zone := 0
				if tree && level > 1 {
					zone = b + 1
				}
				two = append(two, add(&node{name: fmt.Sprintf("r%d.%d.%d", level, b, i), level: level, zone: zone,
					ups: branches[b], interest: ruleset.Interest{All: true}}))
			}
			branches[b] = two
		}
	}
	for b := range 2 {
		d := add(&node{name: fmt.Sprint("daemon", b), host: fmt.Sprint("h", b), level: depth, zone: b + 1,
			ups: branches[b], interest: ruleset.Interest{Host: fmt.Sprint("h", b), Around: around}})
		for _, g := range []string{"ab", "cd"}[b] {
			n := &node{name: string(g), host: d.host, level: depth + 1, zone: b + 1, ups: []*node{d}, daemon: d,
				interest: ruleset.Interest{Name: string(g), Around: around}}
			d.gates, w.gates = append(d.gates, n), append(w.gates, n)
		}
	}
	for _, g := range w.gates {
		add(g)
	}
	for _, n := range w.nodes {
		w.start(n, 0)
	}
}

// start begins a life of a node. disk: 0 as it was kept, 1 an older one, 2 none or torn.
func (w *walk) start(n *node, disk int) {
	n.life++
	n.began, n.still, n.step, n.version, n.viewed, n.facts = w.now, 0, 0, 0, versioned.VersionID{}, nil
	n.pair, n.mine = [2]versioned.VersionID{}, [2]*ruleset.Rules{}
	switch {
	case n.council != nil: // it comes back with a snapshot, or with nothing
		raw, err := n.council.Snapshot()
		if n.council = ruleset.NewStateMachine(); err != nil || n.council.Restore(raw) != nil {
			panic("snapshot")
		}
		if disk > 0 {
			n.council, n.applied = ruleset.NewStateMachine(), 0
		}
		n.steward = ruleset.NewHostAgent(n.name, n.council)
		n.steward.SetFrequentReads(true)
		n.steward.SetTime(n.clock(w.now))
		n.steward.EntriesApplied()
	case n.daemon != nil:
		n.daemon.warden.ProcessExited(n.process)
		w.processes++
		n.process = w.processes
		n.daemon.warden.ProcessStarted(n.process, false)
		n.holder, n.writes = ruleset.NewLeaseHolder(n.name, ruleset.Rules{}), nil
	}
	if n.gates != nil {
		n.warden = &ruleset.LeaseGrantor{}
		for _, g := range n.gates {
			if g.process > 0 {
				n.warden.ProcessStarted(g.process, true)
			}
		}
	}
	if n.daemon == nil {
		n.source = NewSource(n.name, "c", Bounds{Life: uint64(w.rng.Int63()) | 1, WholeRate: 1000,
			WholeBurst: 300})
	}
	if n.ups == nil {
		return
	}
	c := Config{Name: n.name, Cluster: "c", Upstream: len(n.ups), Interest: n.interest, Seed: w.rng.Int63(),
		Booked: n.daemon != nil || w.plant == fromBefore}
	if n.daemon == nil && n.gates == nil {
		c.PerLease = 20
	}
	if n.replica = nil; n.daemon != nil && w.replicas {
		n.replica = NewReplica(n.name, n.process, c.Seed)
	}
	n.follower = NewFollower(c, n.clock(w.now))
	n.follower.Holds(n.process, 0)
	switch {
	case n.daemon != nil: // a gatekeeper keeps none
	case disk == 0:
		n.follower.Base(n.disk, n.coming)
	case disk == 1:
		n.follower.Base(n.older(w), nil)
	}
	if w.plant == diskIsProof && n.disk != nil && n.daemon == nil {
		n.follower.has, n.follower.v = true, n.kept
		n.follower.lease = ruleset.StateLeaseMillis(n.disk)
	}
}

// older is what an old copy of its disk may have.
func (n *node) older(w *walk) *versioned.State {
	var all []*versioned.State
	for _, at := range slices.Sorted(maps.Keys(w.steps)) {
		all = append(all, ruleset.Select(w.steps[at].states[0], n.interest))
	}
	if len(all) == 0 {
		return nil
	}
	return all[w.rng.Intn(len(all))]
}

// drive is one look at the clock by each that does not stand still.
func (w *walk) drive() {
	for _, n := range w.nodes {
		if n.still <= w.now {
			w.turn(n)
		}
		if n.holder == nil {
			continue
		}
		// One that stands still, and goes on between two of its own lines, writes what May allows.
		if t := n.holder.Effective(); n.holder.MayAct(n.clock(w.now)) && len(t.Plans) > 0 {
			x := wrote{at: w.now, rate: t.Plans[0].Allowance.Rate, credit: t.Plans[0].Allowance.Credit, step: n.step,
				bare: t.Mode == ruleset.ModeNoLease}
			if t.Mode == ruleset.ModeLeased {
				x.of = t.Version
				n.leased++
			}
			n.writes = append(n.writes, x)
		}
		n.writes = slices.DeleteFunc(n.writes, func(x wrote) bool { return x.at+stepMS < w.now })
	}
}

// turn pulls what a node decides.
func (w *walk) turn(n *node) {
	if n.council != nil {
		w.sit(n)
		return
	}
	if n.replica != nil {
		n.holder.SetTime(n.clock(w.now))
		for d, more := n.holder.NextAction(); more; d, more = n.holder.NextAction() {
			if d.Kind == ruleset.ActionRequestLease {
				w.askFor(n)
			}
		}
		return
	}
	for done := false; !done; {
		done = true
		n.follower.Clock(n.clock(w.now))
		for {
			d, more := n.follower.Next()
			if !more {
				break
			}
			if d.Kind == AskOf {
				w.ask(n, d)
			}
		}
		w.look(n)
		if n.holder != nil {
			done = w.hold(n)
		}
	}
	if n.source != nil && n.daemon == nil {
		n.follower.Tell(n.source.Told())
	}
	if n.warden != nil {
		w.say(n)
	}
	if w.plant == forOthers && n.gates == nil && n.daemon == nil && n.step > 0 {
		n.follower.Tell([]HostStep{{Host: "h0", Step: n.step}, {Host: "h1", Step: n.step}})
	}
}

// say has a host's daemon say what all of its processes go by, and checks that it is so.
func (w *walk) say(d *node) {
	s := d.warden.AckedStep(d.step)
	if s == 0 {
		return
	}
	d.follower.Tell([]HostStep{{Host: d.host, Step: s}})
	if s > d.told {
		d.told = s
		w.early(d.host, s)
	}
}

// early tells where a host is said to have seen what one of its processes has not.
func (w *walk) early(host string, step uint64) {
	for _, g := range w.gates {
		if g.host != host {
			continue
		}
		for _, x := range g.writes {
			if !x.bare && x.step < step && x.at+stepMS >= w.now {
				w.bad("%s is said to have seen step %d, and %s may write by step %d", host, step, g.name, x.step)
			}
		}
	}
}

// sit is a turn of a council's daemon.
func (w *walk) sit(n *node) {
	for n.applied < len(w.log) && w.rng.Intn(3) > 0 {
		w.apply(n)
	}
	n.steward.SetTime(n.clock(w.now))
	n.steward.SetLeader(w.rng.Intn(2) == 0)
	for {
		d, more := n.steward.NextAction()
		if !more {
			break
		}
		switch d.Kind {
		case ruleset.ActionSubmit:
			w.in(nil, func() { w.commit(d.Entry) })
		case ruleset.ActionReadState:
			began, index := n.clock(w.now), len(w.log)
			w.in(n, func() {
				if w.leader > w.now {
					return
				}
				for n.applied < index {
					w.apply(n)
				}
				n.steward.SetTime(n.clock(w.now))
				n.steward.ReadConfirmed(began)
				if st := n.council.State(); st.InForce.Number > 0 {
					n.source.Offer(View{Step: st.Step, Settled: st.TransitionComplete(), Begun: began,
						Rules: w.state(&st.InForce), Pending: w.pending(st), Index: -1})
				}
			})
		}
	}
	if w.now-n.submitted >= 300 {
		if facts := n.council.State().UsefulAcks(n.source.Facts()); len(facts) > 0 {
			n.submitted = w.now
			w.in(nil, func() { w.commit(ruleset.LogEntry{Type: ruleset.EntryAckBatch, Acks: facts}) })
		}
	}
}

func (w *walk) apply(n *node) {
	n.council.Apply(w.log[n.applied])
	n.applied++
	n.steward.SetTime(n.clock(w.now))
	n.steward.EntriesApplied()
}

// ask sends a question on its way, and its answer back.
func (w *walk) ask(n *node, d Decision) {
	asked := n.clock(w.now)
	w.send(n, n.ups[d.Upstream], d.Ask, func(r *Answer) {
		f, asked := n.follower, asked
		f.Clock(n.clock(w.now))
		switch w.plant {
		case fromReceipt:
			asked, r.Number = n.clock(w.now), 0
		case lowerTaken:
			f.has = false
		}
		if r.Number != d.Ask.Number && w.plant == anyQuestion {
			r.Number = 0
		}
		f.Heard(d.Upstream, asked, r)
		w.turn(n)
	})
}

// askFor sends the question of a gatekeeper that keeps a replica, as its holder wants it, and has the holder
// hear what came.
func (w *walk) askFor(n *node) {
	asked, a := n.clock(w.now), n.replica.Ask(n.clock(w.now), n.holder.AckedStep(), -1)
	w.numbers++
	a.Cluster, a.Number = "c", w.numbers
	w.send(n, n.daemon, a, func(r *Answer) {
		asked := asked
		switch {
		case w.plant == fromReceipt:
			asked = n.clock(w.now)
		case w.plant == lowerTaken:
			n.replica.lease.Step = 0
		case r.Number != a.Number && w.plant != anyQuestion: // as relayd's client has it
			return
		}
		n.holder.SetTime(n.clock(w.now))
		if l, _, err := n.replica.Hear(r, n.clock(w.now)); err == nil && l.Version.Number > 0 {
			w.goes(n, &View{Step: l.Step, Begun: asked - l.AgeMillis, Rules: n.replica.rules,
				Pending: n.replica.pending})
			n.holder.ReceiveLease(l, asked)
		}
		w.turn(n)
	})
}

// send sends a question on its way, and its answer back, if the life that asked is still there.
func (w *walk) send(n, up *node, a *Ask, came func(*Answer)) {
	life := n.life
	w.counts["asks"]++
	w.in(up, func() {
		if up.warden != nil {
			if n.life != life { // a daemon knows which of its processes have ended
				return
			}
			if up.warden.RecordRequest(a.Process, a.Holds); up.step > 0 {
				up.warden.RecordGrant(a.Process)
			}
		}
		r, err := up.source.Answer(a, up.clock(w.now))
		if err != nil {
			w.bad("%s asks %s: %v", n.name, up.name, err)
			return
		}
		w.remember(up)
		r = w.spoil(r)
		w.in(n, func() {
			if n.life != life {
				return
			}
			x := *r
			if before := n.before; w.calm || before == nil || w.rng.Intn(30) > 0 {
				n.before = r
			} else {
				x = *before
			}
			if w.plant == notAdded {
				x.Age = 0
			}
			came(&x)
		})
	})
}

// spoil has the network turn some deltas into others, now and then.
func (w *walk) spoil(r *Answer) *Answer {
	x := *r
	if r.RulesDelta == nil || w.calm || w.rng.Intn(10) > 0 {
		return &x
	}
	d := *r.RulesDelta
	if d.Set = slices.Clone(d.Set); len(d.Set) > 0 {
		i := w.rng.Intn(len(d.Set))
		d.Set = slices.Delete(d.Set, i, i+1)
	} else {
		d.Delete = append(slices.Clone(d.Delete), "rules")
	}
	if w.counts["spoilt"]++; w.plant == unchecked { // the marks are made to fit, as if they were not looked at
		if d.From.IsNone() {
			d.To = versioned.New(d.To.Number, d.Set).ID()
			x.Rules = d.To
		}
	}
	x.RulesDelta = &d
	return &x
}

// remember checks that what a source knows of hosts never goes back.
func (w *walk) remember(n *node) {
	now := map[string]uint64{}
	for _, h := range n.source.Facts() {
		now[h.Host] = h.Step
	}
	if w.plant == lastWins && len(now) > 0 && w.rng.Intn(50) == 0 { // one that came late
		for h := range now {
			n.source.facts[h] = now[h] - 1
			now[h]--
		}
	}
	for h, step := range n.facts {
		if now[h] < step {
			w.bad("%s knew that %s has seen step %d, and now %d", n.name, h, step, now[h])
		}
	}
	n.facts = now
}

// look checks what a node goes by now, and gives it on.
func (w *walk) look(n *node) {
	v, ok := n.follower.View()
	if !ok {
		return
	}
	w.goes(n, &v)
	if n.source != nil {
		n.source.Offer(v)
	}
}

// goes checks a view that a node goes by.
func (w *walk) goes(n *node, v *View) {
	if v.Step < n.step || v.Rules.ID().Number < n.version {
		w.bad("%s goes from step %d back to %d", n.name, n.step, v.Step)
	}
	n.step, n.version = v.Step, v.Rules.ID().Number
	s := w.steps[v.Step]
	if s == nil {
		w.bad("%s goes by step %d, which never was", n.name, v.Step)
		return
	}
	if begun := n.moment(v.Begun); begun > s.until+slackMS {
		w.bad("%s goes by step %d as of %.1f, and that ended at %.1f", n.name, v.Step, begun, s.until)
	} else if begun < n.began-slackMS && n.daemon == nil {
		w.bad("%s began at %.1f and goes by what was read at %.1f", n.name, n.began, begun)
	}
	if n.viewed == v.Rules.ID() && n.pair == [2]versioned.VersionID{v.Rules.ID(), v.Pending.ID()} {
		return
	}
	n.viewed, n.pair = v.Rules.ID(), [2]versioned.VersionID{v.Rules.ID(), v.Pending.ID()}
	for i, have := range []*versioned.State{v.Rules, v.Pending} {
		want := s.states[i]
		if want != nil {
			want = ruleset.Select(want, n.interest)
		}
		if have.ID() != want.ID() || have != nil && versioned.New(have.ID().Number,
			versioned.FullDelta(have).Set).ID() != want.ID() {
			w.bad("%s goes by %v at step %d, where there is %v", n.name, have.ID(), v.Step, want.ID())
		}
	}
	if n.daemon == nil && w.rng.Intn(4) > 0 { // a write that did not come to be
		n.disk, n.coming, n.kept = v.Rules, v.Pending, *v
	}
}

// hold has a gatekeeper's holder decide; false: its follower has news by that.
func (w *walk) hold(n *node) bool {
	holds := n.holder.AckedStep()
	n.holder.SetTime(n.clock(w.now))
	w.tell(n)
	for {
		d, more := n.holder.NextAction()
		if !more {
			break
		}
		if d.Kind == ruleset.ActionRequestLease {
			w.tell(n)
		}
	}
	now := n.holder.AckedStep()
	n.follower.Holds(n.process, now)
	return now == holds
}

// tell gives the holder what the follower has.
func (w *walk) tell(n *node) {
	v, ok := n.follower.View()
	if !ok {
		return
	}
	l := ruleset.Lease{Step: v.Step, TransitionComplete: v.Settled, AgeMillis: v.Age(n.clock(w.now))}
	for i, s := range []*versioned.State{v.Rules, v.Pending} {
		if s == nil {
			n.mine[i] = nil
			continue
		}
		r := w.versions[s.ID()]
		if r == nil {
			x, err := ruleset.VersionFromState(s)
			if err != nil {
				w.bad("%s: %v", n.name, err)
				return
			}
			r = &x.Rules
			w.versions[s.ID()] = r
		}
		n.mine[i] = r
	}
	l.Version, l.Pending = ruleset.Version{Number: v.Rules.ID().Number, Rules: *n.mine[0]}, n.mine[1]
	n.holder.ReceiveLease(l, n.clock(w.now))
}

// trouble is something at random.
func (w *walk) trouble() {
	n := w.nodes[w.rng.Intn(len(w.nodes))]
	base := w.truth.State().InForce.Number
	switch w.rng.Intn(16) {
	case 0, 1, 2, 3, 4, 5:
		w.commit(ruleset.LogEntry{Type: ruleset.EntryPropose, ID: fmt.Sprint(len(w.log)), Base: base,
			Rules: w.rules()})
	case 6:
		w.commit(ruleset.LogEntry{Type: ruleset.EntryWithdraw, ID: fmt.Sprint(len(w.log)), Base: base})
	case 7, 8, 9, 10:
		n.still = w.now + w.rng.Float64()*4000
		w.counts["stalls"]++
	case 11, 12, 13:
		w.start(n, w.rng.Intn(3))
		w.counts["restarts"]++
	case 14:
		w.leader = w.now + w.rng.Float64()*1500
		w.counts["leaders"]++
	default:
		zone := 1 + w.rng.Intn(2)
		for _, n := range w.nodes {
			if n.zone == zone {
				w.start(n, w.rng.Intn(3))
			}
		}
		w.counts["zones"]++
	}
}

// pass does what is due.
func (w *walk) pass() {
	for i := 0; i < len(w.later); i++ {
		if e := w.later[i]; e.at <= w.now {
			w.later = slices.Delete(w.later, i, i+1)
			i--
			e.do()
		}
	}
}

// judge looks at the sum of what all may write, and by what.
func (w *walk) judge() {
	var rate, credit float64
	w.ended = slices.DeleteFunc(w.ended, func(e ended) bool { return w.now > e.at+e.bound })
	inForce := w.truth.State().InForce.Number
	for _, g := range w.gates {
		var r, c float64
		for _, x := range g.writes {
			r, c = max(r, x.rate), max(c, x.credit)
			if x.of > 0 && x.of != inForce && !slices.ContainsFunc(w.ended, func(e ended) bool {
				return e.number == x.of
			}) {
				w.bad("%s acts on version %d still", g.name, x.of)
			}
		}
		rate, credit = rate+r, credit+c
	}
	allowed := w.allows
	for _, e := range w.ended {
		allowed = max(allowed, e.allows)
	}
	if most := allowed * (1 + 1e-9); rate > most || credit > most {
		w.bad("all write by %v and %v of %v", rate, credit, allowed)
	}
	if w.counts["moments"]++; allowed > 0 && rate >= allowed*(1-1e-9) {
		w.counts["full"]++
	}
}

// walking walks for a time in ms, and then ten seconds with no trouble; it gives what is wrong.
func walking(seed int64, until float64, plant planted) (string, map[string]int) {
	w := &walk{rng: rand.New(rand.NewSource(seed)), truth: ruleset.NewStateMachine(), counts: map[string]int{},
		plant: plant, steps: map[uint64]*said{}, states: map[string]*versioned.State{},
		versions: map[versioned.VersionID]*ruleset.Rules{}}
	w.replicas = seed/8%3 > 0
	w.build(1+int(seed)%4, seed/4%2 == 0)
	w.commit(ruleset.LogEntry{Type: ruleset.EntryPropose, ID: "first", Rules: w.rules()})
	for next := 1000.0; w.now < until && w.wrong == ""; w.now += w.rng.ExpFloat64() * 15 {
		w.pass()
		if w.now > next {
			w.trouble()
			next = w.now + w.rng.ExpFloat64()*[]float64{100, 1000, 3000}[w.rng.Intn(3)]
		}
		w.drive()
		w.judge()
	}
	w.calm, w.leader = true, 0
	for _, n := range w.nodes {
		n.still = 0
	}
	for end := w.now + 10000; w.now < end && w.wrong == ""; w.now += w.rng.ExpFloat64() * 10 {
		w.pass()
		w.drive()
		w.judge()
	}
	if st := w.truth.State(); w.wrong == "" {
		if st.Pending != nil {
			w.bad("ten seconds without trouble, and it waits: %s", st.PendingReason())
		}
		for _, g := range w.gates {
			if t := g.holder.Effective(); t.Mode != ruleset.ModeLeased || t.Version != st.InForce.Number {
				w.bad("ten seconds without trouble, and %s is %v by version %d of %d: %+v", g.name, t.Mode, t.Version,
					st.InForce.Number, g.follower.Counts())
			}
		}
	}
	for _, n := range w.nodes {
		if n.follower != nil {
			c := n.follower.Counts()
			w.counts["taken"] += int(c.Taken)
			w.counts["deltas"] += int(c.Deltas)
			w.counts["wholes"] += int(c.Wholes)
			w.counts["digest"] += int(c.Digest)
			w.counts["base"] += int(c.Base)
			w.counts["late"] += int(c.Late)
			w.counts["before"] += int(c.Before)
			w.counts["busy"] += int(c.Busy)
			w.counts["bad"] += int(c.Bad)
			w.counts["switched"] += int(c.Switched)
		}
	}
	return w.wrong, w.counts
}

func TestWalks(t *testing.T) {
	all := map[string]int{}
	for seed := *walked; seed < *walked+int64(*walks); seed++ {
		wrong, counts := walking(seed, 30000, none)
		if wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		for k, n := range counts {
			all[k] += n
		}
	}
	t.Logf("%d walks of half a minute: %v", *walks, all)
	for _, k := range []string{"waited", "in force", "seen", "digest", "deltas", "wholes", "late", "before",
		"switched", "zones", "leaders", "busy"} {
		if all[k] == 0 {
			t.Errorf("walks in which too little happens: %s: %v", k, all)
		}
	}
	if all["full"] < all["moments"]/20 {
		t.Errorf("walks in which too little is let through: %v", all)
	}
}

func TestWalksFindPlantedBreaks(t *testing.T) {
	for p := fromReceipt; p < plants; p++ {
		found := false
		for seed := int64(0); seed < 60 && !found; seed++ {
			wrong, _ := walking(seed, 30000, p)
			if found = wrong != ""; found {
				t.Logf("%s: seed %d: %s", plantedNames[p], seed, wrong)
			}
		}
		if !found {
			t.Errorf("%s: not found", plantedNames[p])
		}
	}
}

// The harm that rule 3 keeps off, in its shortest order; walks find the word and not what comes of it, which
// takes a host that is cut off right after. Two gatekeepers under 96 hear that 24 is pending; both hosts say
// so, and 24 is in force at 950, as nobody has a fallback that passes more. Then one host begins anew, a
// relay that lags tells it 96 as of 900, with nothing pending, and it is cut off. From 2,200 on, when B is
// over, its fallback of 96 is 24, and beside the other's 12 that is more than 24.
func TestLifeBefore(t *testing.T) {
	r := rules(2, 96)
	r.Fallback.DurationMillis = 5000
	v1 := state(t, 1, r)
	for booked, most := range map[bool]float64{false: 0, true: 24} {
		s := NewSource("lags", "c", Bounds{})
		s.Offer(View{Step: 2, Settled: true, Begun: 900, Rules: v1, Index: -1})
		f := NewFollower(Config{Name: "g0", Cluster: "c", Upstream: 1, Interest: ruleset.Interest{Name: "g0"},
			Booked: booked}, 1000)
		h := ruleset.NewLeaseHolder("g0", ruleset.Rules{Plans: r.Plans})
		for now := 1000.0; now <= 2300; now += 10 {
			if now < 1300 {
				told(t, f, now, s)
			}
			h.SetTime(now)
			if v, ok := f.View(); ok {
				x, err := ruleset.VersionFromState(v.Rules)
				if err != nil {
					t.Fatal(err)
				}
				h.ReceiveLease(ruleset.Lease{Step: v.Step, Version: x, TransitionComplete: v.Settled,
					AgeMillis: v.Age(now)}, now)
			}
			for _, more := h.NextAction(); more; _, more = h.NextAction() {
			}
		}
		if got := h.Effective().Plans[0].Allowance.Rate; !h.MayAct(2300) || got != most {
			t.Errorf("booked %v: %v passes under a ceiling of 24, beside 12: %+v", booked, got, h.Effective())
		}
		if n := f.Counts().Before; (n == 0) != booked {
			t.Errorf("booked %v: %d of before", booked, n)
		}
	}
}

// switched is how often any has left its upstream.
func (w *walk) switched() (n int64) {
	for _, x := range w.nodes {
		if x.follower != nil {
			n += x.follower.Counts().Switched
		}
	}
	return n
}

// A change, with all in touch and 5 ms each way, is gone by at the last gatekeeper below four hops within a
// lease; nobody leaves its upstream.
func TestTimeInForce(t *testing.T) {
	for depth := 1; depth <= 4; depth++ {
		w := &walk{rng: rand.New(rand.NewSource(int64(depth))), truth: ruleset.NewStateMachine(), calm: true,
			counts: map[string]int{}, steps: map[uint64]*said{}, states: map[string]*versioned.State{},
			versions: map[versioned.VersionID]*ruleset.Rules{}}
		w.build(depth, true)
		var all, old []float64
		before := int64(0)
		next, since := 0.0, math.Inf(1)
		for i := 0; len(all) < 40 && w.wrong == ""; w.now += 5 {
			w.pass()
			if w.now >= next {
				r := w.rules()
				r.LeaseMillis, r.Fallback.Fraction = 1000, 0.1
				r.Members = []ruleset.Member{{Name: "a", Host: "h0"}, {Name: "b", Host: "h0"}, {Name: "c", Host: "h1"},
					{Name: "d", Host: "h1"}}
				w.commit(ruleset.LogEntry{Type: ruleset.EntryPropose, ID: fmt.Sprint(i),
					Base:  w.truth.State().InForce.Number,
					Rules: r})
				i++
				next, since = w.now+2000+w.rng.Float64()*100, w.now
			}
			w.drive()
			w.judge()
			if w.now == 50000 { // all that found another one still empty have gone back
				before = w.switched()
			}
			last := !math.IsInf(since, 1)
			for _, g := range w.gates {
				if v, ok := g.follower.View(); ok && w.now > 8000 {
					old = append(old, v.Age(g.clock(w.now)))
				}
				if c := g.holder.Effective(); c.Version != w.truth.State().InForce.Number ||
					c.Mode != ruleset.ModeLeased {
					last = false
				}
			}
			if last {
				all, since = append(all, w.now-since), math.Inf(1)
			}
		}
		slices.Sort(all)
		slices.Sort(old)
		switched := -before
		switched += w.switched()
		t.Logf("%d hops, 40 changes: at the last after %.0f ms, at worst %.0f; %.0f ms old, at worst %.0f",
			depth+1, all[len(all)/2], all[len(all)-1], old[len(old)/2], old[len(old)-1])
		if w.wrong != "" || all[len(all)-1] > 1000 || old[len(old)-1] > 600 || switched > 0 {
			t.Errorf("%s; %d left their upstream", w.wrong, switched)
		}
	}
}
