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
	walks     = flag.Int("walks", 200, "at random, of half a minute each")
	firstSeed = flag.Int64("seed", 0, "of the first walk")
)

const (
	maxStepMillis    = 250.0 // of accord: from the last check to the write that it allows
	clockSlackMillis = 2.0   // that clocks may miscount over a lease and the hops below a council, ms
)

// planted is a break that the walks have to find.
type injectedFault uint8

const (
	noFault        injectedFault = iota
	ageFromReceipt               // an age is counted from when the answer came
	// a relay tells the age of its parent's answer as it was, not with its own time
	ageNotAccumulated
	readBeforeStart   // words are taken that were read before the process began
	digestUnchecked   // a spoilt delta is taken, as if no digest were checked
	lastHostStepWins  // of a host's facts the last one holds, not the highest
	reportedForOthers // a relay says of the hosts below it what it knows itself
	lowerStepAccepted // a word of a lower step is taken
	checkpointTrusted // what a disk copy says is gone by
	nonceUnchecked    // an answer is taken for one to another question
	faultCount
)

var faultNames = [...]string{"none", "age from receipt", "age not added up", "read before it began",
	"digest not checked", "last fact wins", "said for others", "lower step taken", "disk copy as proof",
	"answer to another question"}

// node is one process: a council's daemon, a relay, a host's daemon or a gatekeeper. What is in it dies with
// it; the clock and the disk stay.
type node struct {
	name, host             string
	level, zone            int // zone: 0 of all
	upstreams              []*node
	interest               ruleset.Interest
	clockRate, clockOffset float64
	stalledUntil           float64 // until when it stands still, true time
	incarnation            int
	startedAt              float64 // true time
	follower               *Follower
	source                 *Source
	step                   uint64 // highest that it has gone by in this life
	version                uint64
	checkedRules           versioned.Mark
	knownHostSteps         map[string]uint64 // as its source knew them
	diskRules, diskPending *versioned.State
	diskSnapshot           Snapshot // beside them, which none may go by
	reportedStep           uint64   // highest Seen of the host, said by this life or one before
	council                *ruleset.Council
	steward                *ruleset.Steward
	applied                int
	warden                 *ruleset.Warden
	submittedAt            float64
	gateways               []*node // of a host's daemon
	daemon                 *node   // of a gatekeeper
	holder                 *ruleset.Holder
	permits                []permit
	processID              int
	checkedPair            [2]versioned.Mark
	replica                *Replica  // in place of a follower
	previousResponse       *Response // the one before, which may come once more in place of another
	decoded                [2]*ruleset.Rules
	leasedTurns            int
}

func (n *node) clock(now float64) float64      { return now*n.clockRate + n.clockOffset }
func (n *node) trueTime(clock float64) float64 { return (clock - n.clockOffset) / n.clockRate }

// wrote is what was checked at a time and may be written up to a step later.
type permit struct {
	at, rate, credit float64
	version, step    uint64 // by which version, 0: by a fallback or none; and the step that it rests on
	bare             bool
}

type event struct {
	at  float64
	run func()
}

// said is what a council says at a step.
type published struct {
	rules, pending versioned.Mark
	states         [2]*versioned.State
	endedAt        float64 // true time at which the next step came
}

type supersededVersion struct {
	endedAt, ceiling, boundMillis float64
	number                        uint64
}

type walk struct {
	rng        *rand.Rand
	now        float64
	log        []ruleset.Entry
	reference  *ruleset.Council
	nodes      []*node // those above before those below
	roots      []*node
	gateways   []*node
	events     []event
	superseded []supersededVersion
	ceiling    float64
	steps      map[uint64]*published
	states     map[string]*versioned.State // of a version, by its rules
	leaderFrom float64                     // when there is one again
	fault      injectedFault
	calm       bool
	counts     map[string]int
	violation  string
	versions   map[versioned.Mark]*ruleset.Rules
	processes  int
	nonces     uint64
	replicas   bool // gatekeepers keep them, as they do with relayd
}

func (w *walk) fail(form string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %.0f ", w.now) + fmt.Sprintf(form, args...)
	}
}

// in does something at a node after a random time, mostly soon and sometimes very late, never or twice; what
// comes to one that stands still waits until it goes on, and what comes to a former life is lost.
func (w *walk) deliver(to *node, do func()) {
	life := 0
	if to != nil {
		life = to.incarnation
	}
	var come func()
	come = func() {
		if to == nil {
			do()
		} else if to.incarnation != life {
			return
		} else if to.stalledUntil > w.now {
			w.events = append(w.events, event{to.stalledUntil, come})
		} else {
			do()
		}
	}
	if w.calm {
		w.events = append(w.events, event{w.now + 5, come})
		return
	}
	for n := []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2}[w.rng.Intn(15)]; n > 0; n-- {
		late := w.rng.ExpFloat64() * 10
		if w.rng.Intn(20) == 0 {
			late = w.rng.Float64() * 2500
		}
		w.events = append(w.events, event{w.now + late, come})
	}
}

// state gives a version as entries, the same for the same.
func (w *walk) state(v *ruleset.Version) *versioned.State {
	key := fmt.Sprintf("%d %+v", v.Number, v.Rules)
	if w.states[key] == nil {
		s, err := ruleset.Entries(v)
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

func (w *walk) commit(e ruleset.Entry) {
	if w.leaderFrom > w.now {
		return
	}
	st := w.reference.State()
	old, before := st.InForce, st.Step
	o := w.reference.Apply(e)
	w.log = append(w.log, e)
	if o.Refused != "" {
		w.counts["refused"]++
	}
	if o.Waits != "" {
		w.counts["waited"]++
	}
	if e.Act == ruleset.SeenAll && o.Refused == "" {
		w.counts["seen"] += len(e.Hosts)
	}
	if st = w.reference.State(); st.Step != before {
		for s := before; s < st.Step; s++ {
			if x := w.steps[s]; x != nil {
				x.endedAt = min(x.endedAt, w.now)
			}
		}
		x := &published{endedAt: math.Inf(1)}
		x.states = [2]*versioned.State{w.state(&st.InForce), w.pending(st)}
		x.rules, x.pending = x.states[0].Mark(), x.states[1].Mark()
		w.steps[st.Step] = x
	}
	if o.InForce > 0 {
		w.counts["in force"]++
		w.superseded = append(w.superseded, supersededVersion{w.now, w.ceiling, ruleset.Bound(&old.Rules),
			old.Number})
		w.ceiling = st.InForce.Rules.Plans[0].CeilingRate
	}
}

func (w *walk) randomRules() *ruleset.Rules {
	ceiling := []float64{12, 24, 48, 96, 192}[w.rng.Intn(5)]
	r := &ruleset.Rules{Form: ruleset.Form, Bound: ruleset.MostBound, Lease: 600 + w.rng.Float64()*1000,
		Fallback: ruleset.Fallback{Part: w.rng.Float64(), For: w.rng.Float64() * 3000},
		Plans: []ruleset.Plan{{Name: "p", Rate: ceiling, Burst: 1, CeilingRate: ceiling, CeilingDepth: ceiling,
			Credit: 1, Repay: 2000}}}
	members := []string{"abcd", "abc", "ab.d", "a", "ab", ".bc"}
	for _, m := range strings.Split(members[w.rng.Intn(len(members))], "") {
		if m == "." {
			r.Members = append(r.Members, ruleset.Member{})
		} else {
			r.Members = append(r.Members, ruleset.Member{Name: m, Host: hostOf(m)})
		}
	}
	for i := range w.rng.Intn(3) {
		r.Words = append(r.Words, ruleset.Word{Worker: fmt.Sprint("w", i), Barred: true})
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
		n.clockRate, n.clockOffset = 1+(2*w.rng.Float64()-1)*clockDrift, w.rng.Float64()*1e6
		w.nodes = append(w.nodes, n)
		return n
	}
	for i := range 2 {
		w.roots = append(w.roots, add(&node{name: fmt.Sprint("root", i), council: ruleset.NewCouncil()}))
	}
	branches, around := [2][]*node{w.roots, w.roots}, 1
	if w.replicas {
		around = RingRadius
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
					upstreams: branches[b], interest: ruleset.Interest{All: true}}))
			}
			branches[b] = two
		}
	}
	for b := range 2 {
		d := add(&node{name: fmt.Sprint("daemon", b), host: fmt.Sprint("h", b), level: depth, zone: b + 1,
			upstreams: branches[b], interest: ruleset.Interest{Host: fmt.Sprint("h", b), Around: around}})
		for _, g := range []string{"ab", "cd"}[b] {
			n := &node{name: string(g), host: d.host, level: depth + 1, zone: b + 1, upstreams: []*node{d}, daemon: d,
				interest: ruleset.Interest{Name: string(g), Around: around}}
			d.gateways, w.gateways = append(d.gateways, n), append(w.gateways, n)
		}
	}
	for _, g := range w.gateways {
		add(g)
	}
	for _, n := range w.nodes {
		w.start(n, 0)
	}
}

// start begins a life of a node. disk: 0 as it was kept, 1 an older one, 2 none or torn.
func (w *walk) start(n *node, disk int) {
	n.incarnation++
	n.startedAt, n.stalledUntil, n.step, n.version, n.checkedRules, n.knownHostSteps = w.now, 0, 0, 0,
		versioned.Mark{}, nil
	n.checkedPair, n.decoded = [2]versioned.Mark{}, [2]*ruleset.Rules{}
	switch {
	case n.council != nil: // it comes back with a snapshot, or with nothing
		raw, err := n.council.Snapshot()
		if n.council = ruleset.NewCouncil(); err != nil || n.council.Restore(raw) != nil {
			panic("snapshot")
		}
		if disk > 0 {
			n.council, n.applied = ruleset.NewCouncil(), 0
		}
		n.steward = ruleset.NewSteward(n.name, n.council)
		n.steward.Often(true)
		n.steward.Clock(n.clock(w.now))
		n.steward.Applied()
	case n.daemon != nil:
		n.daemon.warden.Ended(n.processID)
		w.processes++
		n.processID = w.processes
		n.daemon.warden.Began(n.processID, false)
		n.holder, n.permits = ruleset.NewHolder(n.name, ruleset.Rules{}), nil
	}
	if n.gateways != nil {
		n.warden = &ruleset.Warden{}
		for _, g := range n.gateways {
			if g.processID > 0 {
				n.warden.Began(g.processID, true)
			}
		}
	}
	if n.daemon == nil {
		n.source = NewSource(n.name, "c", SourceConfig{Incarnation: uint64(w.rng.Int63()) | 1,
			FullStateBytesPerSecond: 1000,
			FullStateBurstBytes:     300})
	}
	if n.upstreams == nil {
		return
	}
	c := FollowerConfig{Name: n.name, Cluster: "c", Upstreams: len(n.upstreams), Interest: n.interest,
		Seed:                  w.rng.Int63(),
		UpstreamTracksProcess: n.daemon != nil || w.fault == readBeforeStart}
	if n.daemon == nil && n.gateways == nil {
		c.RequestsPerLease = 20
	}
	if n.replica = nil; n.daemon != nil && w.replicas {
		n.replica = NewReplica(n.name, n.processID, c.Seed)
	}
	n.follower = NewFollower(c, n.clock(w.now))
	n.follower.SetHeldStep(n.processID, 0)
	switch {
	case n.daemon != nil: // a gatekeeper keeps none
	case disk == 0:
		n.follower.AddBases(n.diskRules, n.diskPending)
	case disk == 1:
		n.follower.AddBases(n.older(w), nil)
	}
	if w.fault == checkpointTrusted && n.diskRules != nil && n.daemon == nil {
		n.follower.hasSnapshot, n.follower.snapshot = true, n.diskSnapshot
		n.follower.lease = ruleset.LeaseOf(n.diskRules)
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
func (w *walk) runAll() {
	for _, n := range w.nodes {
		if n.stalledUntil <= w.now {
			w.runNode(n)
		}
		if n.holder == nil {
			continue
		}
		// One that stands still, and goes on between two of its own lines, writes what May allows.
		if t := n.holder.Current(); n.holder.May(n.clock(w.now)) && len(t.Plans) > 0 {
			x := permit{at: w.now, rate: t.Plans[0].Part.Rate, credit: t.Plans[0].Part.Credit, step: n.step,
				bare: t.Mode == ruleset.Bare}
			if t.Mode == ruleset.Leased {
				x.version = t.Version
				n.leasedTurns++
			}
			n.permits = append(n.permits, x)
		}
		n.permits = slices.DeleteFunc(n.permits, func(x permit) bool { return x.at+maxStepMillis < w.now })
	}
}

// turn pulls what a node decides.
func (w *walk) runNode(n *node) {
	if n.council != nil {
		w.runRoot(n)
		return
	}
	if n.replica != nil {
		n.holder.Clock(n.clock(w.now))
		for d, more := n.holder.Next(); more; d, more = n.holder.Next() {
			if d.Kind == ruleset.Ask {
				w.sendReplicaRequest(n)
			}
		}
		return
	}
	for done := false; !done; {
		done = true
		n.follower.AdvanceClock(n.clock(w.now))
		for {
			d, more := n.follower.NextAction()
			if !more {
				break
			}
			if d.Kind == SendRequest {
				w.sendFollowerRequest(n, d)
			}
		}
		w.checkFollower(n)
		if n.holder != nil {
			done = w.runHolder(n)
		}
	}
	if n.source != nil && n.daemon == nil {
		n.follower.ReportHostSteps(n.source.TakeHostSteps())
	}
	if n.warden != nil {
		w.reportSeen(n)
	}
	if w.fault == reportedForOthers && n.gateways == nil && n.daemon == nil && n.step > 0 {
		n.follower.ReportHostSteps([]HostStep{{Host: "h0", Step: n.step}, {Host: "h1", Step: n.step}})
	}
}

// say has a host's daemon say what all of its processes go by, and checks that it is so.
func (w *walk) reportSeen(d *node) {
	s := d.warden.Seen(d.step)
	if s == 0 {
		return
	}
	d.follower.ReportHostSteps([]HostStep{{Host: d.host, Step: s}})
	if s > d.reportedStep {
		d.reportedStep = s
		w.checkReported(d.host, s)
	}
}

// early tells where a host is said to have seen what one of its processes has not.
func (w *walk) checkReported(host string, step uint64) {
	for _, g := range w.gateways {
		if g.host != host {
			continue
		}
		for _, x := range g.permits {
			if !x.bare && x.step < step && x.at+maxStepMillis >= w.now {
				w.fail("%s is said to have seen step %d, and %s may write by step %d", host, step, g.name, x.step)
			}
		}
	}
}

// sit is a turn of a council's daemon.
func (w *walk) runRoot(n *node) {
	for n.applied < len(w.log) && w.rng.Intn(3) > 0 {
		w.applyEntry(n)
	}
	n.steward.Clock(n.clock(w.now))
	n.steward.Leads(w.rng.Intn(2) == 0)
	for {
		d, more := n.steward.Next()
		if !more {
			break
		}
		switch d.Kind {
		case ruleset.Submit:
			w.deliver(nil, func() { w.commit(d.Entry) })
		case ruleset.Read:
			began, index := n.clock(w.now), len(w.log)
			w.deliver(n, func() {
				if w.leaderFrom > w.now {
					return
				}
				for n.applied < index {
					w.applyEntry(n)
				}
				n.steward.Clock(n.clock(w.now))
				n.steward.ReadDone(began)
				if st := n.council.State(); st.InForce.Number > 0 {
					n.source.Publish(Snapshot{Step: st.Step, Settled: st.Settled(), ReadStartMillis: began,
						Rules: w.state(&st.InForce), Pending: w.pending(st), DiscoveryIndex: -1})
				}
			})
		}
	}
	if w.now-n.submittedAt >= 300 {
		if facts := n.council.State().Gains(n.source.HostSteps()); len(facts) > 0 {
			n.submittedAt = w.now
			w.deliver(nil, func() { w.commit(ruleset.Entry{Act: ruleset.SeenAll, Hosts: facts}) })
		}
	}
}

func (w *walk) applyEntry(n *node) {
	n.council.Apply(w.log[n.applied])
	n.applied++
	n.steward.Clock(n.clock(w.now))
	n.steward.Applied()
}

// ask sends a question on its way, and its answer back.
func (w *walk) sendFollowerRequest(n *node, d Action) {
	asked := n.clock(w.now)
	w.send(n, n.upstreams[d.Upstream], d.Request, func(r *Response) {
		f, asked := n.follower, asked
		f.AdvanceClock(n.clock(w.now))
		switch w.fault {
		case ageFromReceipt:
			asked, r.Nonce = n.clock(w.now), 0
		case lowerStepAccepted:
			f.hasSnapshot = false
		}
		if r.Nonce != d.Request.Nonce && w.fault == nonceUnchecked {
			r.Nonce = 0
		}
		f.HandleResponse(d.Upstream, asked, r)
		w.runNode(n)
	})
}

// askFor sends the question of a gatekeeper that keeps a replica, as its holder wants it, and has the holder
// hear what came.
func (w *walk) sendReplicaRequest(n *node) {
	asked, a := n.clock(w.now), n.replica.NewRequest(n.clock(w.now), n.holder.Holds(), -1)
	w.nonces++
	a.Cluster, a.Nonce = "c", w.nonces
	w.send(n, n.daemon, a, func(r *Response) {
		asked := asked
		switch {
		case w.fault == ageFromReceipt:
			asked = n.clock(w.now)
		case w.fault == lowerStepAccepted:
			n.replica.lease.Step = 0
		case r.Nonce != a.Nonce && w.fault != nonceUnchecked: // as relayd's client has it
			return
		}
		n.holder.Clock(n.clock(w.now))
		if l, _, err := n.replica.HandleResponse(r, n.clock(w.now)); err == nil && l.Version.Number > 0 {
			w.checkSnapshot(n, &Snapshot{Step: l.Step, ReadStartMillis: asked - l.Age, Rules: n.replica.rules,
				Pending: n.replica.pending})
			n.holder.Heard(l, asked)
		}
		w.runNode(n)
	})
}

// send sends a question on its way, and its answer back, if the life that asked is still there.
func (w *walk) send(n, up *node, a *Request, came func(*Response)) {
	life := n.incarnation
	w.counts["asks"]++
	w.deliver(up, func() {
		if up.warden != nil {
			if n.incarnation != life { // a daemon knows which of its processes have ended
				return
			}
			if up.warden.Asked(a.ProcessID, a.HeldStep); up.step > 0 {
				up.warden.Given(a.ProcessID)
			}
		}
		r, err := up.source.Respond(a, up.clock(w.now))
		if err != nil {
			w.fail("%s asks %s: %v", n.name, up.name, err)
			return
		}
		w.checkHostSteps(up)
		r = w.corrupt(r)
		w.deliver(n, func() {
			if n.incarnation != life {
				return
			}
			x := *r
			if before := n.previousResponse; w.calm || before == nil || w.rng.Intn(30) > 0 {
				n.previousResponse = r
			} else {
				x = *before
			}
			if w.fault == ageNotAccumulated {
				x.AgeMillis = 0
			}
			came(&x)
		})
	})
}

// spoil has the network turn some deltas into others, now and then.
func (w *walk) corrupt(r *Response) *Response {
	x := *r
	if r.RulesDelta == nil || w.calm || w.rng.Intn(10) > 0 {
		return &x
	}
	d := *r.RulesDelta
	if d.Set = slices.Clone(d.Set); len(d.Set) > 0 {
		i := w.rng.Intn(len(d.Set))
		d.Set = slices.Delete(d.Set, i, i+1)
	} else {
		d.Drop = append(slices.Clone(d.Drop), "rules")
	}
	// the marks are made to fit, as if they were not looked at
	if w.counts["spoilt"]++; w.fault == digestUnchecked {
		if d.From.None() {
			d.To = versioned.New(d.To.Number, d.Set).Mark()
			x.Rules = d.To
		}
	}
	x.RulesDelta = &d
	return &x
}

// remember checks that what a source knows of hosts never goes back.
func (w *walk) checkHostSteps(n *node) {
	now := map[string]uint64{}
	for _, h := range n.source.HostSteps() {
		now[h.Host] = h.Step
	}
	if w.fault == lastHostStepWins && len(now) > 0 && w.rng.Intn(50) == 0 { // one that came late
		for h := range now {
			n.source.hostSteps[h] = now[h] - 1
			now[h]--
		}
	}
	for h, step := range n.knownHostSteps {
		if now[h] < step {
			w.fail("%s knew that %s has seen step %d, and now %d", n.name, h, step, now[h])
		}
	}
	n.knownHostSteps = now
}

// look checks what a node goes by now, and gives it on.
func (w *walk) checkFollower(n *node) {
	v, ok := n.follower.Snapshot()
	if !ok {
		return
	}
	w.checkSnapshot(n, &v)
	if n.source != nil {
		n.source.Publish(v)
	}
}

// goes checks a view that a node goes by.
func (w *walk) checkSnapshot(n *node, v *Snapshot) {
	if v.Step < n.step || v.Rules.Mark().Number < n.version {
		w.fail("%s goes from step %d back to %d", n.name, n.step, v.Step)
	}
	n.step, n.version = v.Step, v.Rules.Mark().Number
	s := w.steps[v.Step]
	if s == nil {
		w.fail("%s goes by step %d, which never was", n.name, v.Step)
		return
	}
	if begun := n.trueTime(v.ReadStartMillis); begun > s.endedAt+clockSlackMillis {
		w.fail("%s goes by step %d as of %.1f, and that ended at %.1f", n.name, v.Step, begun, s.endedAt)
	} else if begun < n.startedAt-clockSlackMillis && n.daemon == nil {
		w.fail("%s began at %.1f and goes by what was read at %.1f", n.name, n.startedAt, begun)
	}
	if n.checkedRules == v.Rules.Mark() && n.checkedPair == [2]versioned.Mark{v.Rules.Mark(), v.Pending.Mark()} {
		return
	}
	n.checkedRules, n.checkedPair = v.Rules.Mark(), [2]versioned.Mark{v.Rules.Mark(), v.Pending.Mark()}
	for i, have := range []*versioned.State{v.Rules, v.Pending} {
		want := s.states[i]
		if want != nil {
			want = ruleset.Select(want, n.interest)
		}
		if have.Mark() != want.Mark() || have != nil && versioned.New(have.Mark().Number,
			versioned.Whole(have).Set).Mark() != want.Mark() {
			w.fail("%s goes by %v at step %d, where there is %v", n.name, have.Mark(), v.Step, want.Mark())
		}
	}
	if n.daemon == nil && w.rng.Intn(4) > 0 { // a write that did not come to be
		n.diskRules, n.diskPending, n.diskSnapshot = v.Rules, v.Pending, *v
	}
}

// hold has a gatekeeper's holder decide; false: its follower has news by that.
func (w *walk) runHolder(n *node) bool {
	holds := n.holder.Holds()
	n.holder.Clock(n.clock(w.now))
	w.feedHolder(n)
	for {
		d, more := n.holder.Next()
		if !more {
			break
		}
		if d.Kind == ruleset.Ask {
			w.feedHolder(n)
		}
	}
	now := n.holder.Holds()
	n.follower.SetHeldStep(n.processID, now)
	return now == holds
}

// tell gives the holder what the follower has.
func (w *walk) feedHolder(n *node) {
	v, ok := n.follower.Snapshot()
	if !ok {
		return
	}
	l := ruleset.Lease{Step: v.Step, Settled: v.Settled, Age: v.AgeMillis(n.clock(w.now))}
	for i, s := range []*versioned.State{v.Rules, v.Pending} {
		if s == nil {
			n.decoded[i] = nil
			continue
		}
		r := w.versions[s.Mark()]
		if r == nil {
			x, err := ruleset.FromState(s)
			if err != nil {
				w.fail("%s: %v", n.name, err)
				return
			}
			r = &x.Rules
			w.versions[s.Mark()] = r
		}
		n.decoded[i] = r
	}
	l.Version, l.Pending = ruleset.Version{Number: v.Rules.Mark().Number, Rules: *n.decoded[0]}, n.decoded[1]
	n.holder.Heard(l, n.clock(w.now))
}

// trouble is something at random.
func (w *walk) injectDisturbance() {
	n := w.nodes[w.rng.Intn(len(w.nodes))]
	base := w.reference.State().InForce.Number
	switch w.rng.Intn(16) {
	case 0, 1, 2, 3, 4, 5:
		w.commit(ruleset.Entry{Act: ruleset.Propose, ID: fmt.Sprint(len(w.log)), Base: base,
			Rules: w.randomRules()})
	case 6:
		w.commit(ruleset.Entry{Act: ruleset.Withdraw, ID: fmt.Sprint(len(w.log)), Base: base})
	case 7, 8, 9, 10:
		n.stalledUntil = w.now + w.rng.Float64()*4000
		w.counts["stalls"]++
	case 11, 12, 13:
		w.start(n, w.rng.Intn(3))
		w.counts["restarts"]++
	case 14:
		w.leaderFrom = w.now + w.rng.Float64()*1500
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
func (w *walk) deliverDue() {
	for i := 0; i < len(w.events); i++ {
		if e := w.events[i]; e.at <= w.now {
			w.events = slices.Delete(w.events, i, i+1)
			i--
			e.run()
		}
	}
}

// judge looks at the sum of what all may write, and by what.
func (w *walk) checkCeilings() {
	var rate, credit float64
	w.superseded = slices.DeleteFunc(w.superseded,
		func(e supersededVersion) bool { return w.now > e.endedAt+e.boundMillis })
	inForce := w.reference.State().InForce.Number
	for _, g := range w.gateways {
		var r, c float64
		for _, x := range g.permits {
			r, c = max(r, x.rate), max(c, x.credit)
			if x.version > 0 && x.version != inForce && !slices.ContainsFunc(w.superseded,
				func(e supersededVersion) bool {
					return e.number == x.version
				}) {
				w.fail("%s acts on version %d still", g.name, x.version)
			}
		}
		rate, credit = rate+r, credit+c
	}
	allowed := w.ceiling
	for _, e := range w.superseded {
		allowed = max(allowed, e.ceiling)
	}
	if most := allowed * (1 + 1e-9); rate > most || credit > most {
		w.fail("all write by %v and %v of %v", rate, credit, allowed)
	}
	if w.counts["moments"]++; allowed > 0 && rate >= allowed*(1-1e-9) {
		w.counts["full"]++
	}
}

// walking walks for a time in ms, and then ten seconds with no trouble; it gives what is wrong.
func runWalk(seed int64, until float64, plant injectedFault) (string, map[string]int) {
	w := &walk{rng: rand.New(rand.NewSource(seed)), reference: ruleset.NewCouncil(), counts: map[string]int{},
		fault: plant, steps: map[uint64]*published{}, states: map[string]*versioned.State{},
		versions: map[versioned.Mark]*ruleset.Rules{}}
	w.replicas = seed/8%3 > 0
	w.build(1+int(seed)%4, seed/4%2 == 0)
	w.commit(ruleset.Entry{Act: ruleset.Propose, ID: "first", Rules: w.randomRules()})
	for next := 1000.0; w.now < until && w.violation == ""; w.now += w.rng.ExpFloat64() * 15 {
		w.deliverDue()
		if w.now > next {
			w.injectDisturbance()
			next = w.now + w.rng.ExpFloat64()*[]float64{100, 1000, 3000}[w.rng.Intn(3)]
		}
		w.runAll()
		w.checkCeilings()
	}
	w.calm, w.leaderFrom = true, 0
	for _, n := range w.nodes {
		n.stalledUntil = 0
	}
	for end := w.now + 10000; w.now < end && w.violation == ""; w.now += w.rng.ExpFloat64() * 10 {
		w.deliverDue()
		w.runAll()
		w.checkCeilings()
	}
	if st := w.reference.State(); w.violation == "" {
		if st.Pending != nil {
			w.fail("ten seconds without trouble, and it waits: %s", st.Waits())
		}
		for _, g := range w.gateways {
			if t := g.holder.Current(); t.Mode != ruleset.Leased || t.Version != st.InForce.Number {
				w.fail("ten seconds without trouble, and %s is %v by version %d of %d: %+v", g.name, t.Mode, t.Version,
					st.InForce.Number, g.follower.Counts())
			}
		}
	}
	for _, n := range w.nodes {
		if n.follower != nil {
			c := n.follower.Counts()
			w.counts["taken"] += int(c.Updates)
			w.counts["deltas"] += int(c.Deltas)
			w.counts["wholes"] += int(c.FullStates)
			w.counts["digest"] += int(c.DigestMismatches)
			w.counts["base"] += int(c.BaseMismatches)
			w.counts["late"] += int(c.Stale)
			w.counts["before"] += int(c.BeforeStart)
			w.counts["busy"] += int(c.Deferred)
			w.counts["bad"] += int(c.Invalid)
			w.counts["switched"] += int(c.UpstreamSwitches)
		}
	}
	return w.violation, w.counts
}

func TestWalks(t *testing.T) {
	all := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+int64(*walks); seed++ {
		wrong, counts := runWalk(seed, 30000, noFault)
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

func TestWalksFindInjectedFaults(t *testing.T) {
	for p := ageFromReceipt; p < faultCount; p++ {
		found := false
		for seed := int64(0); seed < 60 && !found; seed++ {
			wrong, _ := runWalk(seed, 30000, p)
			if found = wrong != ""; found {
				t.Logf("%s: seed %d: %s", faultNames[p], seed, wrong)
			}
		}
		if !found {
			t.Errorf("%s: not found", faultNames[p])
		}
	}
}

// The harm that rule 3 keeps off, in its shortest order; walks find the word and not what comes of it, which
// takes a host that is cut off right after. Two gatekeepers under 96 hear that 24 is pending; both hosts say
// so, and 24 is in force at 950, as nobody has a fallback that passes more. Then one host begins anew, a
// relay that lags tells it 96 as of 900, with nothing pending, and it is cut off. From 2,200 on, when B is
// over, its fallback of 96 is 24, and beside the other's 12 that is more than 24.
func TestReadBeforeStart(t *testing.T) {
	r := testRules(2, 96)
	r.Fallback.For = 5000
	v1 := testState(t, 1, r)
	for booked, most := range map[bool]float64{false: 0, true: 24} {
		s := NewSource("lags", "c", SourceConfig{})
		s.Publish(Snapshot{Step: 2, Settled: true, ReadStartMillis: 900, Rules: v1, DiscoveryIndex: -1})
		f := NewFollower(FollowerConfig{Name: "g0", Cluster: "c", Upstreams: 1,
			Interest:              ruleset.Interest{Name: "g0"},
			UpstreamTracksProcess: booked}, 1000)
		h := ruleset.NewHolder("g0", ruleset.Rules{Plans: r.Plans})
		for now := 1000.0; now <= 2300; now += 10 {
			if now < 1300 {
				exchange(t, f, now, s)
			}
			h.Clock(now)
			if v, ok := f.Snapshot(); ok {
				x, err := ruleset.FromState(v.Rules)
				if err != nil {
					t.Fatal(err)
				}
				h.Heard(ruleset.Lease{Step: v.Step, Version: x, Settled: v.Settled, Age: v.AgeMillis(now)}, now)
			}
			for _, more := h.Next(); more; _, more = h.Next() {
			}
		}
		if got := h.Current().Plans[0].Part.Rate; !h.May(2300) || got != most {
			t.Errorf("booked %v: %v passes under a ceiling of 24, beside 12: %+v", booked, got, h.Current())
		}
		if n := f.Counts().BeforeStart; (n == 0) != booked {
			t.Errorf("booked %v: %d of before", booked, n)
		}
	}
}

// switched is how often any has left its upstream.
func (w *walk) upstreamSwitches() (n int64) {
	for _, x := range w.nodes {
		if x.follower != nil {
			n += x.follower.Counts().UpstreamSwitches
		}
	}
	return n
}

// A change, with all in touch and 5 ms each way, is gone by at the last gatekeeper below four hops within a
// lease; nobody leaves its upstream.
func TestTimeToActivation(t *testing.T) {
	for depth := 1; depth <= 4; depth++ {
		w := &walk{rng: rand.New(rand.NewSource(int64(depth))), reference: ruleset.NewCouncil(), calm: true,
			counts: map[string]int{}, steps: map[uint64]*published{}, states: map[string]*versioned.State{},
			versions: map[versioned.Mark]*ruleset.Rules{}}
		w.build(depth, true)
		var all, old []float64
		before := int64(0)
		next, since := 0.0, math.Inf(1)
		for i := 0; len(all) < 40 && w.violation == ""; w.now += 5 {
			w.deliverDue()
			if w.now >= next {
				r := w.randomRules()
				r.Lease, r.Fallback.Part = 1000, 0.1
				r.Members = []ruleset.Member{{Name: "a", Host: "h0"}, {Name: "b", Host: "h0"}, {Name: "c", Host: "h1"},
					{Name: "d", Host: "h1"}}
				w.commit(ruleset.Entry{Act: ruleset.Propose, ID: fmt.Sprint(i), Base: w.reference.State().InForce.Number,
					Rules: r})
				i++
				next, since = w.now+2000+w.rng.Float64()*100, w.now
			}
			w.runAll()
			w.checkCeilings()
			if w.now == 50000 { // all that found another one still empty have gone back
				before = w.upstreamSwitches()
			}
			last := !math.IsInf(since, 1)
			for _, g := range w.gateways {
				if v, ok := g.follower.Snapshot(); ok && w.now > 8000 {
					old = append(old, v.AgeMillis(g.clock(w.now)))
				}
				if c := g.holder.Current(); c.Version != w.reference.State().InForce.Number || c.Mode != ruleset.Leased {
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
		switched += w.upstreamSwitches()
		t.Logf("%d hops, 40 changes: at the last after %.0f ms, at worst %.0f; %.0f ms old, at worst %.0f",
			depth+1, all[len(all)/2], all[len(all)-1], old[len(old)/2], old[len(old)-1])
		if w.violation != "" || all[len(all)-1] > 1000 || old[len(old)-1] > 600 || switched > 0 {
			t.Errorf("%s; %d left their upstream", w.violation, switched)
		}
	}
}
